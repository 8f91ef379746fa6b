//! What is known of the platform's store, and which boxes follow it.
//!
//! A few boxes follow the store and pass on what they see; the others read it once when they learn
//! that they are behind. For each follower that gets no answers the next box follows too.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::store::Revision;
use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::{Effect, LogEvent};
use crate::engine::{Engine, EngineChange};
use crate::event::Kind;
use crate::member::address_hash;
use crate::message::{EngineUpdate, StoreView};
use crate::route::Configuration;

/// How many boxes follow the store, at least.
const MIN_FOLLOWERS: usize = 3;

/// For how many boxes there is one more: where silence is noticed later, more may be lost at once.
const NODES_PER_FOLLOWER: usize = 100;

/// How many more boxes may follow while others get no answers. If the store is away for all, a few
/// are enough to notice its return.
const MAX_CUT_OFF_FOLLOWERS: usize = 8;

/// The time without an answer after which a follower is blind: a watch may take almost this long.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

/// The time for which calls must fail for the same.
const FAILURE_DURATION: Duration = Duration::from_millis(700);

/// The least time without an answer after which entries may have lapsed that are not renewed.
const MIN_OUTAGE: Duration = Duration::from_millis(1500);

/// How long after the store's return the engines that live are back in it.
const RETURN_TIMEOUT: Duration = Duration::from_secs(2);

/// The time after a box's start in which it hears the others, before it decides whether it follows
/// the store: if all followed until then, each would read every change while engines enter
/// themselves.
const FOLLOW_DECISION_DELAY: Duration = Duration::from_millis(800);

/// The heartbeats in a row at which a box must be behind before it asks: at the first the word of
/// what is new may still be on its way.
const ASK_AFTER_HEARTBEATS: u32 = 2;

/// The same before one of many boxes reads the engines from the store: by then several boxes that
/// know more have not handed it over.
const LARGE_READ_AFTER_HEARTBEATS: u32 = 8;

/// The same before one of many boxes asks another for a newer configuration: those that read it from
/// the store have it by then.
const LARGE_ASK_AFTER_HEARTBEATS: u32 = 1;

/// The boxes from which on a new configuration is passed on and not read by each. It comes up to
/// three heartbeats later so: 2.5 s at 300 boxes, measured, where some sites want it in force within
/// 2 s; those that have so many boxes allow 5 s.
const FORWARD_CONFIGURATION_MIN_BOXES: usize = 500;

/// Of how many boxes one reads a new configuration from the store as soon as it is heard of, where
/// it is passed on; the others get it from these. If all read, each version costs a call a box.
const BOXES_PER_READER: u64 = 8;

/// The most changes that are passed on in one datagram: about 85 bytes each, so that one fits into
/// a packet.
const MAX_CHANGES_PER_DATAGRAM: usize = 16;

/// The most changes of engines between two heartbeats that get a line of their own in the log.
const MAX_LOGGED_CHANGES: usize = 4;

/// The most changes of one revision that are passed on, which must go in one datagram of at most
/// 8,192 bytes.
const MAX_CHANGES_PER_REVISION: usize = 64;

/// The most changes that are passed on at once; beyond, the others read for themselves. When a
/// large site starts, its engines enter by tens between two answers of the store, and all boxes
/// reading the list for that were most of the calls to the store (`docs/SCALE.md`).
const MAX_FORWARDED_CHANGES: usize = 512;

/// How the store answers about one kind of object.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    /// When it last answered.
    last_answer: Option<Time>,
    /// Since when calls have failed.
    failing_since: Option<Time>,
}

impl Contact {
    /// Tells whether a box that has followed the store since a time gets no answers.
    fn is_lost(&self, now: Time, since: Time) -> bool {
        let last = self.last_answer.map_or(since, |it| it.max(since));
        let is_failing =
            self.failing_since.is_some_and(|it| now.since(it.max(since)) >= FAILURE_DURATION);
        is_failing || now.since(last) >= ANSWER_TIMEOUT
    }
}

/// The changes of engines since the last heartbeat.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineChanges {
    /// Those with a line of their own in the log.
    logged: usize,
    /// Others that were added or changed.
    put: usize,
    /// Others that left.
    left: usize,
}

/// What a box has from the store itself, and what it asked for.
#[derive(Debug, Clone)]
pub(super) struct StoreState {
    /// The newest era of the store, once it was told.
    pub(super) era: Option<u64>,
    /// Whether this box follows the store.
    pub(super) follows: bool,
    /// Since when it does, or does not.
    since: Time,
    /// How the store answers about the configuration.
    configuration: Contact,
    /// How the store answers about engines.
    engines: Contact,
    /// How the store answers about evacuations.
    evacuations: Contact,
    /// When the store last answered about engines again after an outage, or came back.
    pub(super) engines_back: Option<Time>,
    /// The newest version that another box was heard to have.
    newest_known_version: u64,
    /// The newest version for which the configuration was read as soon as it was heard of.
    requested_version: u64,
    /// At how many heartbeats in a row the configuration was behind others'.
    configuration_lag: u32,
    /// At how many heartbeats in a row the engines were behind others'.
    engines_lag: u32,
}

impl Default for StoreState {
    fn default() -> StoreState {
        StoreState {
            era: None,
            follows: false,
            since: Time::ZERO,
            configuration: Contact::default(),
            engines: Contact::default(),
            evacuations: Contact::default(),
            engines_back: None,
            newest_known_version: 0,
            requested_version: 0,
            configuration_lag: 0,
            engines_lag: 0,
        }
    }
}

impl StoreState {
    /// Gives how the store answers about a kind.
    fn contact(&mut self, kind: Kind) -> &mut Contact {
        match kind {
            Kind::Configuration => &mut self.configuration,
            Kind::Engines => &mut self.engines,
            Kind::Evacuations => &mut self.evacuations,
        }
    }

    /// Tells whether the box follows the store and gets no answers.
    fn is_blind(&self, now: Time) -> bool {
        let contacts = [self.configuration, self.engines, self.evacuations];
        self.follows && contacts.iter().any(|it| it.is_lost(now, self.since))
    }
}

impl Gateway {
    /// Takes a version of the configuration; an older one than that in force is ignored.
    pub(super) fn configure(&mut self, configuration: Arc<Configuration>) {
        if self.version().is_some_and(|it| it >= configuration.version) {
            return;
        }
        let routes = configuration.route_count();
        self.log(LogEvent::Configured { version: configuration.version, routes });
        self.configuration = Some(configuration);
        self.apply_customers();
        self.schedule_heartbeat();
    }

    /// Takes a whole list of engines.
    pub(super) fn apply_engine_list(&mut self, engines: Vec<Engine>, revision: Revision) {
        let known = self.directory.complete();
        let enters = self.are_engines_listed && revision.era > known.era;
        // Only what was known at the same revision adds up with the changes to a later era's list.
        let since = if enters { known } else { self.directory.base_revision() };
        let missing_until = self.missing_until();
        match self.directory.apply_list(engines, revision, missing_until, self.now) {
            Some(changes) => {
                self.log(LogEvent::Listed { engines: self.directory.len(), revision });
                if self.are_engines_listed && self.store.follows {
                    self.forward_changes(since, changes);
                }
            }
            None => self.log(LogEvent::ListDropped { revision, known }),
        }
        if enters {
            self.schedule_heartbeat();
        }
        if !self.are_engines_listed {
            self.are_engines_listed = true;
            self.schedule_heartbeat();
        }
    }

    /// Takes changes that this box read from the store. One that follows it passes them on; the
    /// others have read what they had missed, which the rest knows.
    pub(super) fn apply_engine_changes(&mut self, changes: Vec<EngineChange>) {
        let since = self.directory.base_revision();
        let own = self.directory.complete();
        let newer: Vec<_> = changes.into_iter().filter(|it| it.revision() > own).collect();
        self.apply(&newer);
        if self.store.follows {
            self.forward_changes(since, newer);
        }
    }

    /// Passes changes on, in datagrams that build on each other, if they are not too many: then the
    /// others read for themselves.
    fn forward_changes(&mut self, since: Revision, changes: Vec<EngineChange>) {
        if changes.len() > MAX_FORWARDED_CHANGES {
            return;
        }
        let parts = split_into_datagrams(changes);
        if parts.iter().any(|it| it.len() > MAX_CHANGES_PER_REVISION) {
            return;
        }
        let mut since = since;
        for part in parts {
            let last = part.last().map_or(since, EngineChange::revision);
            self.send_engine_update(EngineUpdate { since, changes: part });
            since = last;
        }
    }

    /// Takes changes that another box passed on, if none between is missing.
    pub(super) fn apply_engine_update(&mut self, news: &EngineUpdate) {
        let own = self.directory.complete();
        let last = news.changes.last().map_or(news.since, EngineChange::revision);
        let enters = last.era > own.era;
        // A box that knows more of the era before knows what is lost.
        if enters && self.are_engines_listed && own != news.since {
            return self.request_snapshot();
        }
        if !self.are_engines_listed || own < news.since {
            return;
        }
        let newer: Vec<_> = news.changes.iter().filter(|it| it.revision() > own).cloned().collect();
        self.apply(&newer);
    }

    /// Takes the changes that lead from what this box knew at a revision, or later, to another
    /// revision.
    pub(super) fn catch_up(&mut self, changes: &[EngineChange], revision: Revision) {
        let own = self.directory.complete();
        let newer: Vec<_> = changes.iter().filter(|it| it.revision() > own).cloned().collect();
        self.apply(&newer);
        self.directory.mark_complete(revision, self.now);
    }

    /// Applies changes.
    fn apply(&mut self, changes: &[EngineChange]) {
        let mut notes = Vec::new();
        for change in changes {
            notes.extend(match change {
                EngineChange::Put(engine, revision) => self.apply_put(engine, *revision),
                EngineChange::Left(id, revision) => self.apply_left(id, *revision),
            });
        }
        self.log_engine_changes(notes);
    }

    /// Adds changes of engines to the log: the first between two heartbeats one by one, the others
    /// by their number.
    fn log_engine_changes(&mut self, notes: Vec<LogEvent>) {
        for note in notes {
            let changes = &mut self.engine_changes;
            if changes.logged < MAX_LOGGED_CHANGES {
                changes.logged += 1;
                self.log(note);
            } else if matches!(note, LogEvent::EngineRemoved { .. }) {
                changes.left += 1;
            } else {
                changes.put += 1;
            }
        }
    }

    /// Adds the number of changes to the log that have no line of their own.
    pub(super) fn log_engine_change_counts(&mut self) {
        let EngineChanges { put, left, .. } = std::mem::take(&mut self.engine_changes);
        if put + left > 0 {
            self.log(LogEvent::ManyEngines { put, left });
        }
    }

    /// Takes one engine's change.
    fn apply_put(&mut self, engine: &Engine, revision: Revision) -> Option<LogEvent> {
        let old = self.directory.get(engine.key).map(|it| it.engine.is_draining);
        let is_news = old != Some(engine.is_draining);
        let is_taken = self.directory.apply_change(engine.clone(), revision, self.now);
        (is_taken && is_news).then(|| {
            let (id, address) = (engine.id.clone(), engine.address);
            LogEvent::Engine { id, address, is_draining: engine.is_draining }
        })
    }

    /// Takes one engine's leaving.
    fn apply_left(&mut self, id: &Arc<str>, revision: Revision) -> Option<LogEvent> {
        let missing_until = self.missing_until();
        let has_left = self.directory.remove(id, revision, missing_until, self.now);
        (has_left && missing_until.is_none()).then(|| LogEvent::EngineRemoved { id: id.clone() })
    }

    /// Notes that the store answered.
    pub(super) fn store_answered(&mut self, kind: Kind) {
        let now = self.now;
        let contact = self.store.contact(kind);
        contact.last_answer = Some(now);
        let away = contact.failing_since.take();
        let was_away = away.is_some_and(|it| now.since(it) >= MIN_OUTAGE);
        if kind == Kind::Engines && was_away {
            self.store.engines_back = Some(now);
        }
    }

    /// Notes that the store did not answer.
    pub(super) fn store_failed(&mut self, kind: Kind) {
        self.store.contact(kind).failing_since.get_or_insert(self.now);
    }

    /// Gives until when an engine stays whose entry is missing: entries lapse while the store is
    /// away, and engines that live are back soon after its return. None if the store was there.
    pub(super) fn missing_until(&self) -> Option<Time> {
        let is_away = |it: Time| self.now.since(it) >= MIN_OUTAGE;
        if self.store.engines.failing_since.is_some_and(is_away) {
            return Some(self.now + RETURN_TIMEOUT);
        }
        let end = self.store.engines_back? + RETURN_TIMEOUT;
        (self.now < end).then_some(end)
    }

    /// Takes the engines as gone that did not come back after an outage of the store.
    pub(super) fn remove_missing(&mut self) {
        for engine in self.directory.remove_missing(self.now) {
            self.log(LogEvent::EngineRemoved { id: engine.id.clone() });
        }
    }

    /// Tells whether this box follows the store.
    pub(super) fn follows_store(&self) -> bool {
        self.store.follows
    }

    /// Tells what this box knows.
    pub(super) fn store_view(&self) -> StoreView {
        StoreView {
            version: self.version().unwrap_or(0),
            revision: self.directory.changed(),
            has_lost_store: self.store.is_blind(self.now),
        }
    }

    /// Decides whether this box follows the store, and reads what it has been behind with since
    /// the last heartbeat.
    pub(super) fn sync_with_store(&mut self) {
        let follows = self.should_follow() && self.now.since(Time::ZERO) >= FOLLOW_DECISION_DELAY;
        if follows != self.store.follows {
            self.store.follows = follows;
            self.store.since = self.now;
            self.log(LogEvent::WatchesStore(follows));
            self.effects.push(Effect::WatchStore(follows));
        }
        let newest = self.members.newest_store_view();
        let behind = self.version().unwrap_or(0) < newest.version;
        let lacked_configuration = count_consecutive(&mut self.store.configuration_lag, behind);
        let known = self.directory.complete();
        let behind = !self.are_engines_listed || known < newest.revision;
        let lacked_engines = count_consecutive(&mut self.store.engines_lag, behind);
        let lacks_era = self.are_engines_listed && known.era < newest.revision.era;
        if lacked_configuration >= ASK_AFTER_HEARTBEATS {
            self.effects.push(Effect::Read(Kind::Configuration));
        }
        if lacked_engines >= self.read_after_heartbeats() && self.are_engines_listed {
            self.effects.push(Effect::Read(Kind::Engines));
        }
        // Whatever it lacks for so long the store does not give it, or not soon.
        let lacks_configuration = lacked_configuration >= self.ask_after_heartbeats();
        if lacks_configuration || lacked_engines >= ASK_AFTER_HEARTBEATS || lacks_era {
            self.request_snapshot();
        }
    }

    /// Tells whether there are so many boxes that not each reads a new configuration.
    fn forwards_configurations(&self) -> bool {
        self.members.peak_count() >= FORWARD_CONFIGURATION_MIN_BOXES
    }

    /// Gives the heartbeats in a row after which a box that is behind with the configuration asks
    /// another.
    fn ask_after_heartbeats(&self) -> u32 {
        if self.forwards_configurations() {
            LARGE_ASK_AFTER_HEARTBEATS
        } else {
            ASK_AFTER_HEARTBEATS
        }
    }

    /// Gives the heartbeats in a row after which a box that is behind with the engines reads the
    /// store. Where boxes are many one of them is asked first, which costs the store nothing: a
    /// datagram that is lost at a relay leaves hundreds behind.
    fn read_after_heartbeats(&self) -> u32 {
        if self.members.is_large() { LARGE_READ_AFTER_HEARTBEATS } else { ASK_AFTER_HEARTBEATS }
    }

    /// Tells whether another box is known to have a newer configuration.
    pub(super) fn is_behind(&self) -> bool {
        self.store.newest_known_version > self.version().unwrap_or(0)
    }

    /// Has the configuration read as soon as another box knows a newer one. A box that follows
    /// the store gets it from there.
    pub(super) fn read_newer_configuration(&mut self, version: u64) {
        self.store.newest_known_version = self.store.newest_known_version.max(version);
        let is_newer = version > self.version().unwrap_or(0);
        let was_asked = self.store.requested_version >= version;
        if !is_newer || was_asked || self.store.follows {
            return;
        }
        self.store.requested_version = version;
        let weight = rank::weight(version, address_hash(&self.settings.peer));
        if !self.forwards_configurations() || weight.is_multiple_of(BOXES_PER_READER) {
            self.effects.push(Effect::Read(Kind::Configuration));
        }
    }

    /// Tells whether this box is to follow the store.
    fn should_follow(&self) -> bool {
        let count = MIN_FOLLOWERS + self.members.peak_count() / NODES_PER_FOLLOWER;
        self.members.is_follower(
            self.settings.peer,
            count,
            count + MAX_CUT_OFF_FOLLOWERS,
            self.store_era() > 0,
        )
    }
}

/// Counts for how many looks in a row something holds.
fn count_consecutive(looks: &mut u32, holds: bool) -> u32 {
    *looks = if holds { looks.saturating_add(1) } else { 0 };
    *looks
}

/// Parts changes into datagrams. Changes of one revision, as the difference between two lists has
/// them, stay together: a box that misses one datagram must not take the next.
fn split_into_datagrams(changes: Vec<EngineChange>) -> Vec<Vec<EngineChange>> {
    let mut parts: Vec<Vec<EngineChange>> = Vec::new();
    for change in changes {
        let last = parts.last_mut().filter(|part| {
            let is_same = part.last().map(EngineChange::revision) == Some(change.revision());
            is_same || part.len() < MAX_CHANGES_PER_DATAGRAM
        });
        match last {
            Some(part) => part.push(change),
            None => parts.push(vec![change]),
        }
    }
    parts
}
