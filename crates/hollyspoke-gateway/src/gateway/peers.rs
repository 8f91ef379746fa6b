//! What boxes tell each other: that they live, and the work that they have sent to engines.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;
use xxhash_rust::xxh3::xxh3_64;

use super::Gateway;
use crate::cadence::{Cadence, FAR_BEATS};
use crate::effect::{Effect, Note};
use crate::engine::EngineKey;
use crate::evacuation::Evacuation;
use crate::member::{Hearing, Reach};
use crate::message::{EngineNews, Extension, Format, Full, Load, Message, Named, Usage};

/// The most boxes that one datagram names.
const MOST_NAMED: usize = 8;

/// The most boxes that the answer to a new box names. All may start at once, and each learns the
/// others soonest from those that it greets first.
const MOST_NAMED_TO_NEW: usize = 64;

/// The time after a box's start in which it names as many to all: two heartbeats of a large
/// deployment, after which all were named.
const YOUNG_FOR: Duration = Duration::from_millis(900);

/// The least time for which memory that another box freed is left to others.
const LEAVE_LEAST: Duration = Duration::from_millis(3);

/// What each box adds to the longest such time.
const LEAVE_A_NODE: Duration = Duration::from_micros(500);

/// How long changes gather that are not urgent, for each box: the more boxes there are, the more
/// datagrams each change costs, and the less it counts.
const GATHER_A_NODE: Duration = Duration::from_millis(4);

/// What a box has found out about engines and not told yet.
#[derive(Debug, Clone, Default)]
pub(super) struct Untold {
    /// Engines whose address another incarnation has.
    pub(super) replaced: Vec<EngineKey>,
    /// Engines that were not reached, or fell silent.
    pub(super) missed: Vec<EngineKey>,
    /// Engines that had no room.
    pub(super) full: Vec<Full>,
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

impl Untold {
    /// Tells whether there is nothing to tell.
    fn is_empty(&self) -> bool {
        self.replaced.is_empty() && self.missed.is_empty() && self.full.is_empty()
    }
}

/// Gives the name of a service that boxes use among themselves.
pub(super) fn service_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Gateway {
    /// Takes in a datagram.
    pub(super) fn hear(&mut self, message: &Message) {
        if message.sender == self.settings.peer {
            return;
        }
        if message.is_relayed {
            self.relay(message);
        }
        if let Some(extension) = &message.extension {
            // It holds also if a later datagram has overtaken it.
            self.hear_limits(message.sender, extension);
            self.hear_departures(message.sender, &extension.departures);
            self.hear_permits(message.sender, extension);
        }
        self.hear_era(message.era, message.sender);
        let knows_this_one = self.members.was_greeted(message.sender, self.now);
        let hearing = self.members.hear(message, self.now);
        if hearing == Hearing::Stale {
            return;
        }
        if hearing == Hearing::New {
            self.ledger.forget(message.sender);
            self.peer_changes.heard.push(message.sender);
            if !knows_this_one && self.is_to_answer(message) {
                self.answer_new(message);
            }
        }
        self.hear_usage(message);
        self.hear_words(message);
        self.members.introduce(self.settings.peer, &message.peers, self.now);
        self.read_if_newer(message.knowledge.version);
        if message.evacuation.revision > self.evacuations.newest().revision {
            self.apply_evacuation(message.evacuation.clone());
        }
        if let Some(news) = &message.news {
            self.take_news(news);
        }
        for &engine in &message.replaced {
            self.directory.mark_misdirected(engine, self.now);
        }
        for switching in &message.switching {
            self.hear_switching(switching);
        }
        for &engine in &message.missed {
            if let Some(known) = self.directory.get_mut(engine) {
                known.health.suspect(message.sender, self.now);
            }
        }
        for full in &message.full {
            if let Some(known) = self.directory.get_mut(full.engine) {
                known.record_rejection(full.held, self.now);
            }
        }
        for &kept in &message.kept {
            self.prompts.record(kept, self.now);
        }
        let until = self.now + self.leave_span();
        let loads = &message.loads;
        let has_freed = self.ledger.receive(message.sender, loads, message.is_whole, until);
        self.may_have_room |= has_freed || !message.kept.is_empty() || message.news.is_some();
        if has_freed && let Some(&first) = self.waiting.first() {
            self.wake_at(first, Some(until));
        }
    }

    /// Tells whether a box that was not known needs an answer. One of many that is heard with a
    /// heartbeat from another data centre, and names others, hears this one with its heartbeats.
    fn is_to_answer(&self, message: &Message) -> bool {
        let is_near = message.data_centre == self.data_centre();
        !self.members.is_large() || is_near || message.peers.len() < MOST_NAMED
    }

    /// Answers a box that was not known. One that names few others is told of many.
    fn answer_new(&mut self, message: &Message) {
        let mut answer = self.message(true);
        answer.usage = self.complete_usage();
        if message.peers.len() < MOST_NAMED {
            answer.peers = self.some_peers(MOST_NAMED_TO_NEW);
        }
        let departures = self.all_departures();
        answer.extension = Extension { departures, ..Extension::default() }.filled();
        self.effects.push(Effect::Tell(vec![message.sender], Box::new(answer)));
    }

    /// Sends the heartbeat if it is due.
    pub(super) fn beat(&mut self) {
        if self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now + self.cadence().every();
        for silent in self.members.sweep(self.now) {
            self.ledger.forget(silent);
            self.peer_changes.silent.push(silent);
        }
        self.note_peers();
        self.note_engine_count();
        self.keep_up();
        self.take_census();
        self.balance();
        self.sweep_quarantine();
        self.sweep_permits();
        self.sweep_terms();
        let mut message = self.message(true);
        let greeted = self.members.greeting(self.now);
        if !greeted.is_empty() {
            let greeting = Message { usage: self.complete_usage(), ..message.clone() };
            self.tell(greeted, greeting);
        }
        message.usage = self.heartbeat_usage();
        message.crashes = self.quarantine.reminder();
        let limits = self.limits_to_tell();
        let departures = self.departures_to_tell();
        message.extension = Extension { limits, departures, ..Extension::default() }.filled();
        // Where boxes are many, keepers of prompts are not told by themselves.
        message.kept = self.prompts.take_unannounced();
        // The heartbeat tells all work, so that no changes are left to tell.
        self.ledger.take_changed();
        self.gathering_since = None;
        let reach = self.heartbeat_reach();
        self.tell_within(&reach, message);
    }

    /// Adds the boxes to the log that were heard or fell silent since the last heartbeat, in one
    /// line however many they are.
    fn note_peers(&mut self) {
        let PeerChanges { heard, silent } = std::mem::take(&mut self.peer_changes);
        if !heard.is_empty() || !silent.is_empty() {
            let alive = self.members.alive().len();
            self.note(Note::Peers { heard, silent, alive });
        }
    }

    /// Gives how far this heartbeat goes: to all boxes if they are few, if something new is to be
    /// told to all, and now and then; else to the own data centre.
    fn heartbeat_reach(&mut self) -> Reach {
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let is_turn = self.heartbeats.is_multiple_of(FAR_BEATS);
        if !self.members.is_large() || self.is_wide() || self.beats_wide || is_turn {
            self.beats_wide = false;
            return Reach::All;
        }
        Reach::DataCentres(BTreeSet::new())
    }

    /// Tells whether this box has a duty for all boxes, which must notice its death soon.
    fn is_wide(&self) -> bool {
        self.follows_store() || self.gives_orders()
    }

    /// Gives how often this box tells the others that it lives.
    pub(super) fn cadence(&self) -> Cadence {
        self.members.cadence(self.is_wide())
    }

    /// Draws for how long memory that another box freed is left to others. The more boxes there
    /// are, the longer, so that one of them takes it and is heard before the next tries.
    fn leave_span(&mut self) -> Duration {
        let spread = self.draw() % 1000;
        let longest = LEAVE_LEAST + LEAVE_A_NODE * self.members.most_told() as u32;
        LEAVE_LEAST + longest.mul_f64(spread as f64 / 1000.0)
    }

    /// Has the heartbeat sent with this event, to all boxes.
    pub(super) fn beat_at_once(&mut self) {
        self.next_heartbeat = self.now;
        self.beats_wide = true;
    }

    /// Has the heartbeat sent with this event, since this box has learnt what all learn. Of many
    /// boxes only those tell all that have it from the store; the others pass it on in their data
    /// centre. If each told all, a new version would be a million datagrams among 1,000 boxes.
    pub(super) fn beat_with_news(&mut self) {
        self.next_heartbeat = self.now;
        self.beats_wide |= !self.members.is_large() || self.is_wide();
    }

    /// Tells the living boxes what work has changed, which engines keep new prompts, and which
    /// were replaced, not reached or full.
    pub(super) fn tell_changes(&mut self) {
        let has_urgent_kept = self.prompts.has_unannounced() && !self.members.is_large();
        let is_urgent = self.ledger.is_urgent() || has_urgent_kept || !self.untold.is_empty();
        if !is_urgent && !self.has_gathered() {
            return;
        }
        self.gathering_since = None;
        let kept = self.prompts.take_unannounced();
        let untold = std::mem::take(&mut self.untold);
        let changed = self.ledger.take_changed();
        let mut message = self.message(false);
        message.loads = changed;
        message.kept = kept;
        message.replaced = untold.replaced;
        message.missed = untold.missed;
        message.full = untold.full;
        message.usage = self.changed_usage();
        self.tell_concerned(message);
    }

    /// Tells whether changes that are not urgent have gathered for long enough to be told.
    fn has_gathered(&mut self) -> bool {
        if !self.ledger.has_changed() && !self.quota.is_urgent() {
            return false;
        }
        self.gathering_since.get_or_insert(self.now);
        self.gathered_at().is_some_and(|it| it <= self.now)
    }

    /// Gives when the changes that are not urgent are told at the latest.
    pub(super) fn gathered_at(&self) -> Option<Time> {
        let nodes = u32::try_from(self.members.most()).unwrap_or(u32::MAX);
        let span = GATHER_A_NODE.saturating_mul(nodes).min(self.cadence().every());
        self.gathering_since.map(|it| it + span)
    }

    /// Passes on changes of engines that were read from the store.
    pub(super) fn tell_news(&mut self, news: EngineNews) {
        let mut message = self.message(false);
        message.news = Some(Box::new(news));
        self.tell_all(message);
    }

    /// Adds a datagram to boxes, if there are any.
    pub(super) fn tell(&mut self, audience: Vec<SocketAddr>, message: Message) {
        if !audience.is_empty() {
            self.effects.push(Effect::Tell(audience, Box::new(message)));
        }
    }

    /// Makes a datagram, with all own work if it is whole.
    pub(super) fn message(&mut self, is_whole: bool) -> Message {
        self.next_sequence += 1;
        let loads: Vec<(EngineKey, Load)> = if is_whole { self.ledger.own() } else { Vec::new() };
        let demand = if is_whole { self.own_demand() } else { Vec::new() };
        let switching = if is_whole { self.own_switching() } else { Vec::new() };
        let most_named = if self.is_young() { MOST_NAMED_TO_NEW } else { MOST_NAMED };
        let peers = if is_whole { self.some_peers(most_named) } else { Vec::new() };
        Message {
            incarnation: self.settings.incarnation,
            sequence: self.next_sequence,
            sender: self.settings.peer,
            front: self.settings.front,
            data_centre: self.data_centre(),
            is_relayed: false,
            standing: self.standing(),
            loads,
            is_whole,
            cadence: is_whole.then(|| self.cadence()),
            knowledge: self.knowledge(),
            evacuation: if is_whole {
                self.evacuations.newest().clone()
            } else {
                Evacuation::default()
            },
            demand,
            usage: Usage::default(),
            switching,
            replaced: Vec::new(),
            missed: Vec::new(),
            crashes: Vec::new(),
            full: Vec::new(),
            news: None,
            kept: Vec::new(),
            peers,
            era: self.store_era(),
            format: Some(Format::Eras),
            extension: None,
        }
    }

    /// Tells whether this box has just started, perhaps with all others: what it has heard may be
    /// news to them.
    fn is_young(&self) -> bool {
        self.now.since(Time::ZERO) < YOUNG_FOR
    }

    /// Draws some of the living boxes.
    fn some_peers(&mut self, most: usize) -> Vec<Named> {
        let mut alive = self.members.named();
        if alive.len() > most {
            let first = (self.draw() % alive.len() as u64) as usize;
            alive.rotate_left(first);
            alive.truncate(most);
        }
        alive
    }

    /// Greets boxes that are to be greeted before the next heartbeat.
    pub(super) fn seek(&mut self) {
        if self.members.next_greeting(self.now).is_some_and(|it| it <= self.now) {
            let mut message = self.message(true);
            message.usage = self.complete_usage();
            let greeted = self.members.greeting(self.now);
            self.tell(greeted, message);
        }
    }
}
