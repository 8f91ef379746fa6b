//! The datagrams between boxes: heartbeats, and announcements of the work sent to engines.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;
use xxhash_rust::xxh3::xxh3_64;

use super::Gateway;
use crate::cadence::{Cadence, HEARTBEATS_PER_REMOTE_HEARTBEAT};
use crate::effect::{Effect, LogEvent};
use crate::engine::EngineKey;
use crate::evacuation::Evacuation;
use crate::member::{Reach, Receipt};
use crate::message::{
    EngineUpdate, Extension, Format, Load, Message, PeerAddress, Rejection, Usage,
};
use crate::quarantine::Incarnation;

/// The maximum number of peers listed in one datagram.
const MAX_PEERS_PER_DATAGRAM: usize = 8;

/// The maximum number of peers listed in the answer to a new box. If all boxes start at once, each
/// learns of the others soonest from those that it greets first.
const MAX_PEERS_TO_NEW: usize = 64;

/// The time after start in which a box lists [`MAX_PEERS_TO_NEW`] peers to all: two heartbeats of a
/// large deployment, after which all boxes have been listed.
const STARTUP_DURATION: Duration = Duration::from_millis(900);

/// The minimum time for which memory that another box freed is left to other boxes.
const MIN_FREED_MEMORY_DELAY: Duration = Duration::from_millis(3);

/// The increase per box of the maximum of that time.
const FREED_MEMORY_DELAY_PER_BOX: Duration = Duration::from_micros(500);

/// The time per box for which changes that aren't urgent are batched. With more boxes, each change
/// costs more datagrams and matters less.
const BATCH_DELAY_PER_BOX: Duration = Duration::from_millis(4);

/// What this box has found out about engines and not announced yet.
#[derive(Debug, Clone, Default)]
pub(super) struct Unannounced {
    /// Incarnations whose address belongs to another one.
    pub(super) replaced: Vec<Incarnation>,
    /// Engines that could not be reached, or that timed out.
    pub(super) unreachable: Vec<EngineKey>,
    /// Engines that were announced as unreachable, and from which something has come since.
    pub(super) reached: Vec<EngineKey>,
    /// Engines that had no free capacity.
    pub(super) rejections: Vec<Rejection>,
    /// Engines that have changed their limit themselves.
    pub(super) limits: Vec<EngineKey>,
    /// Engines that have announced that they are shutting down.
    pub(super) departures: Vec<EngineKey>,
}

/// The boxes that joined or timed out since the last heartbeat, for the log.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerChanges {
    /// The boxes that joined.
    joined: Vec<SocketAddr>,
    /// The boxes that timed out.
    timed_out: Vec<SocketAddr>,
}

impl Unannounced {
    /// Returns whether there is nothing urgent to announce.
    fn is_empty(&self) -> bool {
        self.replaced.is_empty()
            && self.unreachable.is_empty()
            && self.reached.is_empty()
            && self.rejections.is_empty()
    }
}

/// Returns the hash that identifies a service between boxes.
pub(super) fn service_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Gateway {
    /// Handles a datagram from another box.
    pub(super) fn receive(&mut self, message: &Message) {
        if message.sender == self.settings.peer {
            return;
        }
        if message.is_relayed {
            self.relay(message);
        }
        if let Some(extension) = &message.extension {
            // These parts are valid even if a later datagram has overtaken this one.
            self.receive_limits(message.sender, extension);
            self.receive_departures(message.sender, &extension.departures);
            self.receive_permits(message.sender, extension);
            self.receive_paces(&extension.paces);
            self.receive_registration(extension.registration_ms);
        }
        self.receive_era(message.era, message.sender);
        let knows_this_one = self.members.was_greeted(message.sender, self.now);
        let receipt = self.members.receive(message, self.now);
        if receipt == Receipt::Stale {
            return;
        }
        if receipt == Receipt::New {
            self.ledger.forget(message.sender);
            self.classes.forget(message.sender);
            self.peer_changes.joined.push(message.sender);
            if !knows_this_one && self.should_answer(message) {
                self.answer_new_peer(message);
            }
        }
        if message.is_whole {
            let classes = message.extension.as_ref().map_or(&[][..], |it| &it.classes);
            self.receive_classes(message.sender, classes);
        }
        self.receive_appointments(message);
        self.receive_usage(message);
        self.receive_cases(message);
        self.members.add_peers(self.settings.peer, &message.peers, self.now);
        self.read_newer_configuration(message.store_view.version);
        if message.evacuation.revision > self.evacuations.newest().revision {
            self.apply_evacuation(message.evacuation.clone());
        }
        if let Some(update) = &message.engine_update {
            self.apply_engine_update(update);
        }
        self.receive_store_view(message.store_view);
        self.receive_replaced(message);
        for stage_switch in &message.stage_switches {
            self.apply_stage_switch(stage_switch);
        }
        for &engine in &message.unreachable {
            if let Some(record) = self.directory.get_mut(engine) {
                record.health.suspect(message.sender, self.now);
            }
        }
        for &engine in message.extension.iter().flat_map(|it| &it.reached) {
            if let Some(record) = self.directory.get_mut(engine) {
                record.health.withdraw_suspicion(message.sender);
            }
        }
        for rejection in &message.rejections {
            if let Some(record) = self.directory.get_mut(rejection.engine) {
                record.record_rejection(rejection.held_tokens, self.now);
            }
        }
        for &cached in &message.cached_prompts {
            self.prompts.record(cached, self.now);
        }
        let until = self.now + self.draw_freed_memory_delay();
        let loads = &message.loads;
        let has_freed = self.ledger.receive(message.sender, loads, message.is_whole, until);
        self.may_have_capacity |=
            has_freed || !message.cached_prompts.is_empty() || message.engine_update.is_some();
        if has_freed && let Some(&first) = self.waiting.first() {
            self.wake_at(first, Some(until));
        }
    }

    /// Returns whether a new box needs an answer. In a large deployment, a box in another data
    /// centre that lists other peers receives this box's heartbeats anyway.
    fn should_answer(&self, message: &Message) -> bool {
        let is_local = message.data_centre == self.data_centre();
        !self.members.is_large() || is_local || message.peers.len() < MAX_PEERS_PER_DATAGRAM
    }

    /// Answers a new box. One that lists few peers is sent many.
    fn answer_new_peer(&mut self, message: &Message) {
        let mut answer = self.message(true);
        answer.usage = self.complete_usage();
        if message.peers.len() < MAX_PEERS_PER_DATAGRAM {
            answer.peers = self.sample_peers(MAX_PEERS_TO_NEW);
        }
        let departures = self.departures_for_new();
        answer.extension = Extension { departures, ..self.load_extension() }.non_empty();
        self.effects.push(Effect::Announce(vec![message.sender], Box::new(answer)));
    }

    /// Sends the heartbeat if it is due.
    pub(super) fn send_due_heartbeat(&mut self) {
        if self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now + self.cadence().local_interval();
        for address in self.members.sweep(self.now) {
            self.ledger.forget(address);
            self.classes.forget(address);
            self.peer_changes.timed_out.push(address);
        }
        self.probe_silent_boxes();
        self.log_peer_changes();
        self.log_engine_change_counts();
        self.sync_with_store();
        self.update_census();
        self.observe_versions();
        self.complete_versions();
        self.sync_register();
        self.archive_running_streams();
        self.balance_stages();
        self.sweep_quarantine();
        self.sweep_permits();
        self.sweep_terms();
        self.end_overloads();
        let mut message = self.message(true);
        let greeted = self.members.due_greetings(self.now);
        if !greeted.is_empty() {
            let extension = self.load_extension().non_empty();
            let usage = self.complete_usage();
            let greeting = Message { usage, extension, ..message.clone() };
            self.send_to(greeted, greeting);
        }
        message.usage = self.heartbeat_usage();
        message.crashes = self.quarantine.reminder();
        let limits = self.limits_to_announce();
        let departures = self.departures_to_announce();
        let paces = self.paces_to_announce();
        let parts = self.parts.reminder();
        let extension = Extension { limits, departures, paces, parts, ..self.load_extension() };
        message.extension = extension.non_empty();
        // In a large deployment, cached prompts are announced only with heartbeats.
        message.cached_prompts = self.prompts.take_unannounced();
        // The heartbeat contains all work, so that no changes are left to announce.
        self.ledger.take_changed();
        self.batch_started_at = None;
        let reach = self.heartbeat_reach();
        if reach == Reach::All {
            self.appointments.mark_announced();
        }
        self.send_within(&reach, message);
    }

    /// Returns the load that each whole datagram announces: a missing one stands for none.
    fn load_extension(&mut self) -> Extension {
        let (classes, appointments) = (self.own_classes(), self.own_appointments());
        let (proxy, registration_ms) = (self.proxy_announcement(), self.registration_ms());
        Extension { classes, appointments, proxy, registration_ms, ..Extension::default() }
    }

    /// Logs the boxes that joined or timed out since the last heartbeat, in a single line.
    fn log_peer_changes(&mut self) {
        let PeerChanges { joined, timed_out } = std::mem::take(&mut self.peer_changes);
        if !joined.is_empty() || !timed_out.is_empty() {
            let alive = self.members.alive().len();
            self.log(LogEvent::Peers { joined, timed_out, alive });
        }
    }

    /// Returns which boxes this heartbeat reaches: all if the deployment is small, if there is news
    /// for all, or on every [`HEARTBEATS_PER_REMOTE_HEARTBEAT`]th one; otherwise the local data
    /// centre.
    fn heartbeat_reach(&mut self) -> Reach {
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let is_turn = self.heartbeats.is_multiple_of(HEARTBEATS_PER_REMOTE_HEARTBEAT);
        if !self.members.is_large() || self.has_global_duty() || self.heartbeat_to_all || is_turn {
            self.heartbeat_to_all = false;
            return Reach::All;
        }
        Reach::DataCentres(BTreeSet::new())
    }

    /// Returns whether this box has a duty for all boxes, which must detect its failure soon.
    fn has_global_duty(&self) -> bool {
        self.follows_store() || self.has_stage_changes()
    }

    /// Returns the intervals between this box's heartbeats.
    pub(super) fn cadence(&self) -> Cadence {
        self.members.cadence(self.has_global_duty())
    }

    /// Draws how long memory that another box freed is left to others. The maximum grows with the
    /// number of boxes, so that one of them takes the memory and announces it before the next one
    /// tries.
    fn draw_freed_memory_delay(&mut self) -> Duration {
        let spread = self.draw() % 1000;
        let longest = MIN_FREED_MEMORY_DELAY
            + FREED_MEMORY_DELAY_PER_BOX * self.members.max_receivers() as u32;
        MIN_FREED_MEMORY_DELAY + longest.mul_f64(spread as f64 / 1000.0)
    }

    /// Schedules the heartbeat for the end of this event, to all boxes.
    pub(super) fn schedule_heartbeat_to_all(&mut self) {
        self.next_heartbeat = self.now;
        self.heartbeat_to_all = true;
    }

    /// Schedules the heartbeat for the end of this event, since this box has learnt something that
    /// all boxes need. In a large deployment, only boxes with a global duty, such as followers of
    /// the store, send it to all; the others send it within their data centre. If each sent it to
    /// all, a new version would cost a million datagrams among 1,000 boxes.
    pub(super) fn schedule_heartbeat(&mut self) {
        self.next_heartbeat = self.now;
        self.heartbeat_to_all |= !self.members.is_large() || self.has_global_duty();
    }

    /// Announces changed work, newly cached prompts, and engines that were replaced, unreachable or
    /// full.
    pub(super) fn send_changes(&mut self) {
        let has_urgent_prompts = self.prompts.has_unannounced() && !self.members.is_large();
        let is_urgent =
            self.ledger.is_urgent() || has_urgent_prompts || !self.unannounced.is_empty();
        if !is_urgent && !self.is_batch_due() {
            return;
        }
        self.batch_started_at = None;
        let cached_prompts = self.prompts.take_unannounced();
        let unannounced = std::mem::take(&mut self.unannounced);
        let changed = self.ledger.take_changed();
        let mut message = self.message(false);
        message.loads = changed;
        message.cached_prompts = cached_prompts;
        message.replaced = unannounced.replaced.iter().map(|it| it.engine).collect();
        message.unreachable = unannounced.unreachable;
        message.rejections = unannounced.rejections;
        let Unannounced { reached, replaced, .. } = unannounced;
        message.extension = Extension { reached, replaced, ..Extension::default() }.non_empty();
        message.usage = self.changed_usage();
        self.send_to_concerned(message);
    }

    /// Returns whether the batch of changes that aren't urgent is due.
    fn is_batch_due(&mut self) -> bool {
        if !self.ledger.has_changed() && !self.quota.is_urgent() {
            return false;
        }
        self.batch_started_at.get_or_insert(self.now);
        self.batch_due_at().is_some_and(|it| it <= self.now)
    }

    /// Returns the latest time at which the batched changes are sent.
    pub(super) fn batch_due_at(&self) -> Option<Time> {
        let nodes = u32::try_from(self.members.peak_count()).unwrap_or(u32::MAX);
        let delay = BATCH_DELAY_PER_BOX.saturating_mul(nodes).min(self.cadence().local_interval());
        self.batch_started_at.map(|it| it + delay)
    }

    /// Forwards engine changes that were read from the store.
    pub(super) fn send_engine_update(&mut self, update: EngineUpdate) {
        let registration_ms = self.registration_ms();
        let extension = Extension { registration_ms, ..Extension::default() }.non_empty();
        let mut message = Message { extension, ..self.message(false) };
        message.engine_update = Some(Box::new(update));
        self.send_to_all(message);
    }

    /// Sends a datagram to boxes, if there are any.
    pub(super) fn send_to(&mut self, recipients: Vec<SocketAddr>, message: Message) {
        if !recipients.is_empty() {
            self.effects.push(Effect::Announce(recipients, Box::new(message)));
        }
    }

    /// Creates a datagram, with all of this box's work if it is whole.
    pub(super) fn message(&mut self, is_whole: bool) -> Message {
        self.next_sequence += 1;
        let loads: Vec<(EngineKey, Load)> = if is_whole { self.ledger.own() } else { Vec::new() };
        let demand = if is_whole { self.own_demand() } else { Vec::new() };
        let stage_switches = if is_whole { self.own_stage_switches() } else { Vec::new() };
        let max_peers =
            if self.is_starting_up() { MAX_PEERS_TO_NEW } else { MAX_PEERS_PER_DATAGRAM };
        let peers = if is_whole { self.sample_peers(max_peers) } else { Vec::new() };
        Message {
            incarnation: self.settings.incarnation,
            sequence: self.next_sequence,
            sender: self.settings.peer,
            front: self.settings.front,
            data_centre: self.data_centre(),
            is_relayed: false,
            readiness: self.readiness(),
            loads,
            is_whole,
            cadence: is_whole.then(|| self.cadence()),
            store_view: self.store_view(),
            evacuation: if is_whole {
                self.evacuations.newest().clone()
            } else {
                Evacuation::default()
            },
            demand,
            usage: Usage::default(),
            stage_switches,
            replaced: Vec::new(),
            unreachable: Vec::new(),
            crashes: Vec::new(),
            rejections: Vec::new(),
            engine_update: None,
            cached_prompts: Vec::new(),
            peers,
            era: self.store_era(),
            format: Some(Format::Records),
            extension: None,
        }
    }

    /// Returns whether this box has just started, possibly together with all others. The peers that
    /// it knows may be new to them.
    pub(super) fn is_starting_up(&self) -> bool {
        self.now.since(Time::ZERO) < STARTUP_DURATION
    }

    /// Returns a random sample of the live boxes.
    fn sample_peers(&mut self, max_count: usize) -> Vec<PeerAddress> {
        let mut alive = self.members.peer_addresses();
        if alive.len() > max_count {
            let first = (self.draw() % alive.len() as u64) as usize;
            alive.rotate_left(first);
            alive.truncate(max_count);
        }
        alive
    }

    /// Greets the boxes that are due before the next heartbeat.
    pub(super) fn send_greetings(&mut self) {
        if self.members.next_greeting_at(self.now).is_some_and(|it| it <= self.now) {
            let mut message = self.message(true);
            message.usage = self.complete_usage();
            message.extension = self.load_extension().non_empty();
            let greeted = self.members.due_greetings(self.now);
            self.send_to(greeted, message);
        }
    }
}
