//! The state read from the platform's store, and the choice of the boxes that follow the store.
//!
//! A few boxes follow the store and forward the changes that they read. The others read it once
//! when they learn that they are behind. For each follower that gets no answers, the next box
//! follows as well.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::store::Revision;
use hollyspoke::time::Time;

use super::Gateway;
use super::permits::millis_rounded_up;
use crate::effect::{Effect, LogEvent};
use crate::engine::{Engine, EngineChange};
use crate::event::Kind;
use crate::member::address_hash;
use crate::message::{EngineUpdate, StoreView};
use crate::route::Configuration;

/// The minimum number of boxes that follow the store.
const MIN_FOLLOWERS: usize = 3;

/// One more box follows the store per this many boxes. In larger deployments a failed box is
/// detected later, so that more followers may be lost at once.
const BOXES_PER_FOLLOWER: usize = 100;

/// The maximum number of additional followers while others get no answers. If the store is
/// unreachable for all boxes, a few are enough to detect its return.
const MAX_CUT_OFF_FOLLOWERS: usize = 8;

/// The time without an answer after which a follower counts as cut off. A watch may take almost
/// this long.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

/// The time for which calls must fail until a follower counts as cut off.
const FAILURE_DURATION: Duration = Duration::from_millis(700);

/// The minimum duration of an outage after which entries may have expired that are not renewed.
const MIN_OUTAGE: Duration = Duration::from_millis(1500);

/// The time without an answer after which a follower whose call then fails counts as having met an
/// outage. It is the longest time that a watch takes: when one fails, the store may have been silent
/// since the one before.
const MIN_SILENCE: Duration = Duration::from_millis(2300);

/// The time after the store's return within which all live engines have registered again.
const RETURN_TIMEOUT: Duration = Duration::from_secs(2);

/// The time after start before a box decides whether it follows the store. It receives the other
/// boxes' heartbeats meanwhile. If all boxes followed from the start, each would read every change
/// while the engines register.
const FOLLOW_DECISION_DELAY: Duration = Duration::from_millis(800);

/// The consecutive heartbeats for which a box must be behind before it asks for what it lacks. At
/// the first one, the announcement of the change may still be on its way.
const ASK_AFTER_HEARTBEATS: u32 = 2;

/// Like [`ASK_AFTER_HEARTBEATS`], for asking another box for a newer configuration in a large
/// deployment. The boxes that read it from the store have it by then.
const LARGE_ASK_AFTER_HEARTBEATS: u32 = 1;

/// The number of boxes from which on a new configuration is forwarded instead of read from the
/// store by each box. Forwarding delays it by up to three heartbeats: 2.5 s at 300 boxes, where
/// some sites require it within 2 s. Sites with this many boxes allow 5 s.
const FORWARD_CONFIGURATION_MIN_BOXES: usize = 500;

/// Where configurations are forwarded, one box in this many reads a new one from the store at once,
/// and the others get it from these. If all boxes read it, each version would cost one call per
/// box.
const BOXES_PER_READER: u64 = 8;

/// The maximum number of changes in one datagram. At about 85 bytes each, the datagram fits into
/// one packet.
const MAX_CHANGES_PER_DATAGRAM: usize = 16;

/// The maximum number of engine changes between two heartbeats that are logged one by one.
const MAX_LOGGED_CHANGES: usize = 4;

/// The maximum number of forwarded changes of one revision. They share one datagram of at most
/// 8,192 bytes.
const MAX_CHANGES_PER_REVISION: usize = 64;

/// The maximum number of changes that are forwarded at once. Beyond it, the other boxes read the
/// store themselves. When a large site starts, tens of engines register between two answers of the
/// store. If all boxes read the list for that, it causes most of the calls to the store.
const MAX_FORWARDED_CHANGES: usize = 512;

/// The availability of the store for one kind of object.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    /// The time of the last answer.
    last_answer: Option<Time>,
    /// The time since which calls fail; none if the last one succeeded.
    failing_since: Option<Time>,
}

impl Contact {
    /// Returns whether a box that follows the store since `since` gets no answers.
    fn is_lost(&self, now: Time, since: Time) -> bool {
        let last = self.last_answer.map_or(since, |it| it.max(since));
        let is_failing =
            self.failing_since.is_some_and(|it| now.since(it.max(since)) >= FAILURE_DURATION);
        is_failing || now.since(last) >= ANSWER_TIMEOUT
    }

    /// Returns whether calls fail and the store may have been away for so long that entries have
    /// expired. `since` is when this box began to follow the store, if it does.
    fn is_in_outage(&self, now: Time, since: Option<Time>) -> bool {
        let Some(failing_since) = self.failing_since else { return false };
        let silent_since = since.map(|it| self.last_answer.map_or(it, |last| last.max(it)));
        let is_silent = silent_since.is_some_and(|it| now.since(it) >= MIN_SILENCE);
        is_silent || now.since(failing_since) >= MIN_OUTAGE
    }
}

/// The engine changes since the last heartbeat, for the log.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineChanges {
    /// Changes that were logged one by one.
    logged: usize,
    /// Further engines that were added or changed.
    put: usize,
    /// Further engines that were removed.
    left: usize,
}

/// The state of following the store, and of reading what is missing.
#[derive(Debug, Clone)]
pub(super) struct StoreState {
    /// The newest known era of the store; none before the first announcement.
    pub(super) era: Option<u64>,
    /// Whether this box follows the store.
    pub(super) follows: bool,
    /// The time since which `follows` has its value.
    since: Time,
    /// The store's availability for the configuration.
    configuration: Contact,
    /// The store's availability for engines.
    engines: Contact,
    /// The store's availability for evacuations.
    evacuations: Contact,
    /// The time when the store last answered about engines again after an outage, or entered a new
    /// era.
    pub(super) engines_back: Option<Time>,
    /// The time until which engines may register again by what other boxes have announced.
    announced_until: Option<Time>,
    /// The newest configuration version that another box has announced.
    newest_known_version: u64,
    /// The newest configuration version that was read from the store because another box announced
    /// it.
    requested_version: u64,
    /// The consecutive heartbeats for which the configuration was older than another box's.
    configuration_lag: u32,
    /// The consecutive heartbeats for which the list of engines was older than another box's.
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
            announced_until: None,
            newest_known_version: 0,
            requested_version: 0,
            configuration_lag: 0,
            engines_lag: 0,
        }
    }
}

impl StoreState {
    /// Returns the store's availability for a kind of object.
    fn contact(&mut self, kind: Kind) -> &mut Contact {
        match kind {
            Kind::Configuration => &mut self.configuration,
            Kind::Engines => &mut self.engines,
            Kind::Evacuations => &mut self.evacuations,
        }
    }

    /// Returns when this box began to follow the store, if it does.
    fn follows_since(&self) -> Option<Time> {
        self.follows.then_some(self.since)
    }

    /// Returns whether this box follows the store but gets no answers.
    fn has_lost_store(&self, now: Time) -> bool {
        let contacts = [self.configuration, self.engines, self.evacuations];
        self.follows && contacts.iter().any(|it| it.is_lost(now, self.since))
    }
}

impl Gateway {
    /// Applies a version of the configuration. Versions that aren't newer than the one in force are
    /// ignored.
    pub(super) fn configure(&mut self, configuration: Arc<Configuration>) {
        if self.version().is_some_and(|it| it >= configuration.version) {
            return;
        }
        let routes = configuration.route_count();
        self.log(LogEvent::Configured { version: configuration.version, routes });
        let services = configuration.services().map(|it| it.name.clone()).collect();
        self.directory.set_services(services);
        self.configuration = Some(configuration);
        self.apply_customers();
        self.schedule_heartbeat();
    }

    /// Applies a complete list of engines.
    pub(super) fn apply_engine_list(&mut self, engines: Vec<Engine>, revision: Revision) {
        let known = self.directory.complete();
        let enters_era = self.are_engines_listed && revision.era > known.era;
        // Across eras, the changes apply only to boxes that know the same revision as this one.
        let since = if enters_era { known } else { self.directory.base_revision() };
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
        if enters_era {
            self.schedule_heartbeat();
        }
        if !self.are_engines_listed {
            self.are_engines_listed = true;
            self.schedule_heartbeat();
        }
        self.observe_versions();
    }

    /// Applies changes that this box read from the store. A follower forwards them. A box that
    /// doesn't follow the store has read changes that it had missed, which the others know already.
    pub(super) fn apply_engine_changes(&mut self, changes: Vec<EngineChange>) {
        let since = self.directory.base_revision();
        let own = self.directory.complete();
        let newer: Vec<_> = changes.into_iter().filter(|it| it.revision() > own).collect();
        self.apply(&newer);
        if self.store.follows {
            self.forward_changes(since, newer);
        }
    }

    /// Forwards changes in datagrams that build on each other. If there are too many, the other
    /// boxes read the store themselves.
    ///
    /// Nothing is forwarded if another box already knows more. In a data centre of 200 boxes, 500
    /// changes are 10 MB to send, and a follower that is behind on a slow link would never catch up.
    fn forward_changes(&mut self, since: Revision, changes: Vec<EngineChange>) {
        let newest = self.members.newest_store_view().revision;
        if changes.last().is_none_or(|it| it.revision() < newest) {
            return;
        }
        let count = changes.len();
        if count > MAX_FORWARDED_CHANGES {
            return self.log(LogEvent::NotForwarded { changes: count });
        }
        let parts = split_into_datagrams(changes);
        if parts.iter().any(|it| it.len() > MAX_CHANGES_PER_REVISION) {
            return self.log(LogEvent::NotForwarded { changes: count });
        }
        let mut since = since;
        for part in parts {
            let last = part.last().map_or(since, EngineChange::revision);
            self.send_engine_update(EngineUpdate { since, changes: part });
            since = last;
        }
    }

    /// Applies changes that another box forwarded, if none is missing between them and this box's
    /// list.
    pub(super) fn apply_engine_update(&mut self, update: &EngineUpdate) {
        let own = self.directory.complete();
        let last = update.changes.last().map_or(update.since, EngineChange::revision);
        let enters_era = last.era > own.era;
        // A box at another revision may know changes of the previous era that the new one has lost.
        if enters_era && self.are_engines_listed && own != update.since {
            self.request_snapshot();
            return;
        }
        if !self.are_engines_listed || own < update.since {
            return;
        }
        let newer: Vec<_> =
            update.changes.iter().filter(|it| it.revision() > own).cloned().collect();
        self.apply(&newer);
    }

    /// Applies the changes that lead from this box's revision, or an earlier one, to `revision`.
    pub(super) fn catch_up(&mut self, changes: &[EngineChange], revision: Revision) {
        let own = self.directory.complete();
        let newer: Vec<_> = changes.iter().filter(|it| it.revision() > own).cloned().collect();
        self.apply(&newer);
        self.directory.mark_complete(revision, self.now);
    }

    /// Applies changes in order and logs them.
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

    /// Logs engine changes: the first ones between two heartbeats one by one, the others as a
    /// count.
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

    /// Logs the count of the changes that were not logged one by one.
    pub(super) fn log_engine_change_counts(&mut self) {
        let EngineChanges { put, left, .. } = std::mem::take(&mut self.engine_changes);
        if put + left > 0 {
            self.log(LogEvent::ManyEngines { put, left });
        }
    }

    /// Applies an addition or change of an engine.
    fn apply_put(&mut self, engine: &Engine, revision: Revision) -> Option<LogEvent> {
        let old = self.directory.get(engine.key).map(|it| it.engine.is_draining);
        let is_relevant = old != Some(engine.is_draining);
        let is_taken = self.directory.apply_change(engine.clone(), revision, self.now);
        self.observe_version(&engine.service, engine.version.as_ref());
        (is_taken && is_relevant).then(|| {
            let (id, address) = (engine.id.clone(), engine.address);
            let (is_draining, version) = (engine.is_draining, engine.version.clone());
            LogEvent::Engine { id, address, is_draining, version }
        })
    }

    /// Applies the removal of an engine.
    fn apply_left(&mut self, id: &Arc<str>, revision: Revision) -> Option<LogEvent> {
        let missing_until = self.missing_until();
        let has_left = self.directory.remove(id, revision, missing_until, self.now);
        (has_left && missing_until.is_none()).then(|| LogEvent::EngineRemoved { id: id.clone() })
    }

    /// Records that the store answered.
    pub(super) fn record_store_answer(&mut self, kind: Kind) {
        let (now, follows_since) = (self.now, self.store.follows_since());
        let contact = self.store.contact(kind);
        let was_away = contact.is_in_outage(now, follows_since);
        contact.last_answer = Some(now);
        contact.failing_since = None;
        if kind == Kind::Engines && was_away {
            self.store.engines_back = Some(now);
        }
    }

    /// Records that the store did not answer.
    pub(super) fn record_store_failure(&mut self, kind: Kind) {
        self.store.contact(kind).failing_since.get_or_insert(self.now);
    }

    /// Returns how long an engine without an entry in the store is kept. Entries expire while the
    /// store is unreachable, and live engines register soon after its return. None if there was no
    /// outage.
    pub(super) fn missing_until(&self) -> Option<Time> {
        if self.store.engines.is_in_outage(self.now, self.store.follows_since()) {
            return Some(self.now + RETURN_TIMEOUT);
        }
        let own = self.store.engines_back.map(|it| it + RETURN_TIMEOUT);
        own.max(self.store.announced_until).filter(|it| self.now < *it)
    }

    /// Returns the time left in which engines may register again, as announced to other boxes: those
    /// that don't follow the store meet no outage themselves.
    pub(super) fn registration_ms(&self) -> Option<u32> {
        let end = self.store.engines_back? + RETURN_TIMEOUT;
        (self.now < end).then(|| millis_rounded_up(end.since(self.now)))
    }

    /// Records the time in which engines may register again by what another box announces.
    pub(super) fn receive_registration(&mut self, left_ms: Option<u32>) {
        let left = left_ms.map(|it| Duration::from_millis(u64::from(it)));
        let until = left.map(|it| self.now + it.min(RETURN_TIMEOUT));
        self.store.announced_until = self.store.announced_until.max(until);
    }

    /// Removes the engines that have not registered again after an outage of the store.
    pub(super) fn remove_missing(&mut self) {
        for engine in self.directory.remove_missing(self.now) {
            self.log(LogEvent::EngineRemoved { id: engine.id.clone() });
        }
    }

    /// Returns whether this box follows the store.
    pub(super) fn follows_store(&self) -> bool {
        self.store.follows
    }

    /// Returns what this box knows of the store.
    pub(super) fn store_view(&self) -> StoreView {
        StoreView {
            version: self.version().unwrap_or(0),
            revision: self.directory.changed(),
            has_lost_store: self.store.has_lost_store(self.now),
        }
    }

    /// Decides whether this box follows the store, and requests what it has lacked for several
    /// heartbeats. In a large deployment, missing engine changes aren't left to heartbeats, which
    /// are seconds apart.
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
        let lacks_engines = !self.are_engines_listed || known < newest.revision;
        let behind = lacks_engines && !self.members.is_large();
        let lacked_engines = count_consecutive(&mut self.store.engines_lag, behind);
        let lacks_era = self.are_engines_listed && known.era < newest.revision.era;
        if lacked_configuration >= ASK_AFTER_HEARTBEATS && self.reads_store() {
            self.effects.push(Effect::Read(Kind::Configuration));
        }
        if lacked_engines >= ASK_AFTER_HEARTBEATS && self.are_engines_listed {
            self.effects.push(Effect::Read(Kind::Engines));
        }
        // The store doesn't provide in time what is missing for this long.
        let lacks_configuration = lacked_configuration >= self.ask_after_heartbeats();
        if lacks_configuration || lacked_engines >= ASK_AFTER_HEARTBEATS || lacks_era {
            self.request_snapshot();
        }
    }

    /// Returns whether new configurations are forwarded instead of read by each box.
    fn forwards_configurations(&self) -> bool {
        self.members.peak_count() >= FORWARD_CONFIGURATION_MIN_BOXES
    }

    /// Returns the consecutive heartbeats after which a box that lacks a configuration asks another
    /// box.
    fn ask_after_heartbeats(&self) -> u32 {
        if self.forwards_configurations() {
            LARGE_ASK_AFTER_HEARTBEATS
        } else {
            ASK_AFTER_HEARTBEATS
        }
    }

    /// Returns whether another box has announced a newer configuration.
    pub(super) fn is_behind(&self) -> bool {
        self.store.newest_known_version > self.version().unwrap_or(0)
    }

    /// Reads the configuration from the store as soon as another box announces a newer one. A
    /// follower gets it from its watch.
    pub(super) fn read_newer_configuration(&mut self, version: u64) {
        self.store.newest_known_version = self.store.newest_known_version.max(version);
        let is_newer = version > self.version().unwrap_or(0);
        let was_asked = self.store.requested_version >= version;
        if !is_newer || was_asked || self.store.follows || !self.reads_store() {
            return;
        }
        self.store.requested_version = version;
        let weight = rank::weight(version, address_hash(&self.settings.peer));
        if !self.forwards_configurations() || weight.is_multiple_of(BOXES_PER_READER) {
            self.effects.push(Effect::Read(Kind::Configuration));
        }
    }

    /// Returns whether this box should follow the store.
    fn should_follow(&self) -> bool {
        self.is_among_followers(self.follower_count())
    }

    /// Returns whether this box is among those that read their first list from the store, after
    /// their number has doubled as many times. These are the followers first.
    pub(super) fn is_reader(&self, doublings: u32) -> bool {
        self.is_among_followers(self.follower_count() << doublings)
    }

    /// Returns the number of boxes that follow the store.
    pub(super) fn follower_count(&self) -> usize {
        MIN_FOLLOWERS + self.members.peak_count() / BOXES_PER_FOLLOWER
    }

    /// Returns whether this box is among the first `count` that get answers from the store.
    fn is_among_followers(&self, count: usize) -> bool {
        self.members.is_follower(
            self.settings.peer,
            count,
            count + MAX_CUT_OFF_FOLLOWERS,
            self.store_era() > 0,
        )
    }
}

/// Counts the consecutive checks at which a condition holds.
fn count_consecutive(checks: &mut u32, holds: bool) -> u32 {
    *checks = if holds { checks.saturating_add(1) } else { 0 };
    *checks
}

/// Splits changes into datagrams. Changes of one revision, which the difference between two lists
/// consists of, stay together: a box that misses one datagram must not apply the next.
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
