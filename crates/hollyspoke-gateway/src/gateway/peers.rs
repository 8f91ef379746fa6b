//! What boxes tell each other: that they live, and the work that they have sent to engines.

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

/// The most boxes that one datagram names.
const MAX_PEERS_PER_DATAGRAM: usize = 8;

/// The most boxes that the answer to a new box names. All may start at once, and each learns the
/// others soonest from those that it greets first.
const MAX_PEERS_TO_NEW: usize = 64;

/// The time after a box's start in which it names as many to all: two heartbeats of a large
/// deployment, after which all were named.
const STARTUP_DURATION: Duration = Duration::from_millis(900);

/// The least time for which memory that another box freed is left to others.
const MIN_FREED_MEMORY_DELAY: Duration = Duration::from_millis(3);

/// What each box adds to the longest such time.
const FREED_MEMORY_DELAY_PER_NODE: Duration = Duration::from_micros(500);

/// How long changes gather that are not urgent, for each box: the more boxes there are, the more
/// datagrams each change costs, and the less it counts.
const BATCH_DELAY_PER_NODE: Duration = Duration::from_millis(4);

/// What a box has found out about engines and not told yet.
#[derive(Debug, Clone, Default)]
pub(super) struct Unannounced {
    /// Engines whose address another incarnation has.
    pub(super) replaced: Vec<EngineKey>,
    /// Engines that were not reached, or fell silent.
    pub(super) unreachable: Vec<EngineKey>,
    /// Engines that had no room.
    pub(super) rejections: Vec<Rejection>,
    /// Engines whose limit has changed by their own word.
    pub(super) limits: Vec<EngineKey>,
    /// Engines that have said that they leave.
    pub(super) departures: Vec<EngineKey>,
}

/// The boxes that were first heard or fell silent since the last heartbeat.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerChanges {
    /// Those heard.
    heard: Vec<SocketAddr>,
    /// Those that fell silent.
    silent: Vec<SocketAddr>,
}

impl Unannounced {
    /// Tells whether there is nothing to tell.
    fn is_empty(&self) -> bool {
        self.replaced.is_empty() && self.unreachable.is_empty() && self.rejections.is_empty()
    }
}

/// Gives the name of a service that boxes use among themselves.
pub(super) fn service_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Gateway {
    /// Takes in a datagram.
    pub(super) fn receive(&mut self, message: &Message) {
        if message.sender == self.settings.peer {
            return;
        }
        if message.is_relayed {
            self.relay(message);
        }
        if let Some(extension) = &message.extension {
            // It holds also if a later datagram has overtaken it.
            self.receive_limits(message.sender, extension);
            self.receive_departures(message.sender, &extension.departures);
            self.receive_permits(message.sender, extension);
        }
        self.receive_era(message.era, message.sender);
        let knows_this_one = self.members.was_greeted(message.sender, self.now);
        let hearing = self.members.receive(message, self.now);
        if hearing == Receipt::Stale {
            return;
        }
        if hearing == Receipt::New {
            self.ledger.forget(message.sender);
            self.peer_changes.heard.push(message.sender);
            if !knows_this_one && self.should_answer(message) {
                self.answer_new_peer(message);
            }
        }
        self.receive_usage(message);
        self.receive_cases(message);
        self.members.add_peers(self.settings.peer, &message.peers, self.now);
        self.read_newer_configuration(message.store_view.version);
        if message.evacuation.revision > self.evacuations.newest().revision {
            self.apply_evacuation(message.evacuation.clone());
        }
        if let Some(news) = &message.engine_update {
            self.apply_engine_update(news);
        }
        for &engine in &message.replaced {
            self.directory.mark_misdirected(engine, self.now);
        }
        for switching in &message.stage_switches {
            self.apply_stage_switch(switching);
        }
        for &engine in &message.unreachable {
            if let Some(known) = self.directory.get_mut(engine) {
                known.health.suspect(message.sender, self.now);
            }
        }
        for full in &message.rejections {
            if let Some(known) = self.directory.get_mut(full.engine) {
                known.record_rejection(full.held_tokens, self.now);
            }
        }
        for &kept in &message.cached_prompts {
            self.prompts.record(kept, self.now);
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

    /// Tells whether a box that was not known needs an answer. One of many that is heard with a
    /// heartbeat from another data centre, and names others, hears this one with its heartbeats.
    fn should_answer(&self, message: &Message) -> bool {
        let is_local = message.data_centre == self.data_centre();
        !self.members.is_large() || is_local || message.peers.len() < MAX_PEERS_PER_DATAGRAM
    }

    /// Answers a box that was not known. One that names few others is told of many.
    fn answer_new_peer(&mut self, message: &Message) {
        let mut answer = self.message(true);
        answer.usage = self.complete_usage();
        if message.peers.len() < MAX_PEERS_PER_DATAGRAM {
            answer.peers = self.sample_peers(MAX_PEERS_TO_NEW);
        }
        let departures = self.all_departures();
        answer.extension = Extension { departures, ..Extension::default() }.non_empty();
        self.effects.push(Effect::Announce(vec![message.sender], Box::new(answer)));
    }

    /// Sends the heartbeat if it is due.
    pub(super) fn send_due_heartbeat(&mut self) {
        if self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now + self.cadence().local_interval();
        for silent in self.members.sweep(self.now) {
            self.ledger.forget(silent);
            self.peer_changes.silent.push(silent);
        }
        self.log_peer_changes();
        self.log_engine_change_counts();
        self.sync_with_store();
        self.update_census();
        self.balance_stages();
        self.sweep_quarantine();
        self.sweep_permits();
        self.sweep_terms();
        let mut message = self.message(true);
        let greeted = self.members.due_greetings(self.now);
        if !greeted.is_empty() {
            let greeting = Message { usage: self.complete_usage(), ..message.clone() };
            self.send_to(greeted, greeting);
        }
        message.usage = self.heartbeat_usage();
        message.crashes = self.quarantine.reminder();
        let limits = self.limits_to_announce();
        let departures = self.departures_to_announce();
        message.extension = Extension { limits, departures, ..Extension::default() }.non_empty();
        // Where boxes are many, keepers of prompts are not told by themselves.
        message.cached_prompts = self.prompts.take_unannounced();
        // The heartbeat tells all work, so that no changes are left to tell.
        self.ledger.take_changed();
        self.batch_started_at = None;
        let reach = self.heartbeat_reach();
        self.send_within(&reach, message);
    }

    /// Adds the boxes to the log that were heard or fell silent since the last heartbeat, in one
    /// line however many they are.
    fn log_peer_changes(&mut self) {
        let PeerChanges { heard, silent } = std::mem::take(&mut self.peer_changes);
        if !heard.is_empty() || !silent.is_empty() {
            let alive = self.members.alive().len();
            self.log(LogEvent::Peers { heard, silent, alive });
        }
    }

    /// Gives how far this heartbeat goes: to all boxes if they are few, if something new is to be
    /// told to all, and now and then; else to the own data centre.
    fn heartbeat_reach(&mut self) -> Reach {
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let is_turn = self.heartbeats.is_multiple_of(HEARTBEATS_PER_REMOTE_HEARTBEAT);
        if !self.members.is_large() || self.has_global_duty() || self.heartbeat_to_all || is_turn {
            self.heartbeat_to_all = false;
            return Reach::All;
        }
        Reach::DataCentres(BTreeSet::new())
    }

    /// Tells whether this box has a duty for all boxes, which must notice its death soon.
    fn has_global_duty(&self) -> bool {
        self.follows_store() || self.has_stage_changes()
    }

    /// Gives how often this box tells the others that it lives.
    pub(super) fn cadence(&self) -> Cadence {
        self.members.cadence(self.has_global_duty())
    }

    /// Draws for how long memory that another box freed is left to others. The more boxes there
    /// are, the longer, so that one of them takes it and is heard before the next tries.
    fn draw_freed_memory_delay(&mut self) -> Duration {
        let spread = self.draw() % 1000;
        let longest = MIN_FREED_MEMORY_DELAY
            + FREED_MEMORY_DELAY_PER_NODE * self.members.max_receivers() as u32;
        MIN_FREED_MEMORY_DELAY + longest.mul_f64(spread as f64 / 1000.0)
    }

    /// Has the heartbeat sent with this event, to all boxes.
    pub(super) fn schedule_heartbeat_to_all(&mut self) {
        self.next_heartbeat = self.now;
        self.heartbeat_to_all = true;
    }

    /// Has the heartbeat sent with this event, since this box has learnt what all learn. Of many
    /// boxes only those tell all that have it from the store; the others pass it on in their data
    /// centre. If each told all, a new version would be a million datagrams among 1,000 boxes.
    pub(super) fn schedule_heartbeat(&mut self) {
        self.next_heartbeat = self.now;
        self.heartbeat_to_all |= !self.members.is_large() || self.has_global_duty();
    }

    /// Tells the living boxes what work has changed, which engines keep new prompts, and which
    /// were replaced, not reached or full.
    pub(super) fn send_changes(&mut self) {
        let has_urgent_kept = self.prompts.has_unannounced() && !self.members.is_large();
        let is_urgent = self.ledger.is_urgent() || has_urgent_kept || !self.unannounced.is_empty();
        if !is_urgent && !self.is_batch_due() {
            return;
        }
        self.batch_started_at = None;
        let kept = self.prompts.take_unannounced();
        let untold = std::mem::take(&mut self.unannounced);
        let changed = self.ledger.take_changed();
        let mut message = self.message(false);
        message.loads = changed;
        message.cached_prompts = kept;
        message.replaced = untold.replaced;
        message.unreachable = untold.unreachable;
        message.rejections = untold.rejections;
        message.usage = self.changed_usage();
        self.send_to_concerned(message);
    }

    /// Tells whether changes that are not urgent have gathered for long enough to be told.
    fn is_batch_due(&mut self) -> bool {
        if !self.ledger.has_changed() && !self.quota.is_urgent() {
            return false;
        }
        self.batch_started_at.get_or_insert(self.now);
        self.batch_due_at().is_some_and(|it| it <= self.now)
    }

    /// Gives when the changes that are not urgent are told at the latest.
    pub(super) fn batch_due_at(&self) -> Option<Time> {
        let nodes = u32::try_from(self.members.peak_count()).unwrap_or(u32::MAX);
        let span = BATCH_DELAY_PER_NODE.saturating_mul(nodes).min(self.cadence().local_interval());
        self.batch_started_at.map(|it| it + span)
    }

    /// Passes on changes of engines that were read from the store.
    pub(super) fn send_engine_update(&mut self, news: EngineUpdate) {
        let mut message = self.message(false);
        message.engine_update = Some(Box::new(news));
        self.send_to_all(message);
    }

    /// Adds a datagram to boxes, if there are any.
    pub(super) fn send_to(&mut self, audience: Vec<SocketAddr>, message: Message) {
        if !audience.is_empty() {
            self.effects.push(Effect::Announce(audience, Box::new(message)));
        }
    }

    /// Makes a datagram, with all own work if it is whole.
    pub(super) fn message(&mut self, is_whole: bool) -> Message {
        self.next_sequence += 1;
        let loads: Vec<(EngineKey, Load)> = if is_whole { self.ledger.own() } else { Vec::new() };
        let demand = if is_whole { self.own_demand() } else { Vec::new() };
        let stage_switches = if is_whole { self.own_stage_switches() } else { Vec::new() };
        let most_named =
            if self.is_starting_up() { MAX_PEERS_TO_NEW } else { MAX_PEERS_PER_DATAGRAM };
        let peers = if is_whole { self.sample_peers(most_named) } else { Vec::new() };
        Message {
            incarnation: self.settings.incarnation,
            sequence: self.next_sequence,
            sender: self.settings.peer,
            front: self.settings.front,
            data_centre: self.data_centre(),
            is_relayed: false,
            readiness: self.standing(),
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
            format: Some(Format::Eras),
            extension: None,
        }
    }

    /// Tells whether this box has just started, perhaps with all others: what it has heard may be
    /// news to them.
    fn is_starting_up(&self) -> bool {
        self.now.since(Time::ZERO) < STARTUP_DURATION
    }

    /// Draws some of the living boxes.
    fn sample_peers(&mut self, most: usize) -> Vec<PeerAddress> {
        let mut alive = self.members.peer_addresses();
        if alive.len() > most {
            let first = (self.draw() % alive.len() as u64) as usize;
            alive.rotate_left(first);
            alive.truncate(most);
        }
        alive
    }

    /// Greets boxes that are to be greeted before the next heartbeat.
    pub(super) fn send_greetings(&mut self) {
        if self.members.next_greeting_at(self.now).is_some_and(|it| it <= self.now) {
            let mut message = self.message(true);
            message.usage = self.complete_usage();
            let greeted = self.members.due_greetings(self.now);
            self.send_to(greeted, message);
        }
    }
}
