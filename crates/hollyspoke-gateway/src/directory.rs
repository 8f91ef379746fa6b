//! The engines that the platform lists, and the state learned from their answers.

mod history;
mod index;
mod removed;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;

use crate::engine::{Engine, EngineChange, EngineKey, Stage};
use crate::health::Health;
use crate::statement::ReportedLoad;
use crate::version::{SoftwareVersion, VersionKey};

pub use index::Group;

use history::History;
use index::Index;
use removed::RemovedEngines;

/// The prefill rate that is assumed before the first measurement, in tokens per millisecond.
const INITIAL_PREFILL_RATE_TOKENS_PER_MS: f64 = 30.0;

/// The prefill rate of decode engines as a share of that of prefill engines.
const DECODE_RATE_SHARE: f64 = 0.5;

/// The weight of the newest sample in a moving average of rates.
const SAMPLE_WEIGHT: f64 = 0.3;

/// The weights of samples above and below the best prefill rate. Most samples are too low, since
/// they include the wait for other work that this box did not know of.
const BEST_RATE_WEIGHTS: (f64, f64) = (0.2, 0.02);

/// How long an engine's own measurements are preferred to those of its whole service.
const MEASUREMENT_TTL: Duration = Duration::from_secs(8);

/// The record of one engine in the [`Directory`]: its listed entry, and the state learned from its
/// answers.
#[derive(Debug, Clone)]
pub struct Record {
    /// The engine's entry in the platform's list.
    pub engine: Arc<Engine>,
    /// The engine's health, derived from its answers.
    pub health: Health,
    /// The load that it last reported, and when.
    pub reported_load: Option<(ReportedLoad, Time)>,
    /// Its measured prefill rate in tokens per millisecond, and when it was measured.
    rate: Option<(f64, Time)>,
    /// Whether another incarnation answered at its address.
    is_replaced: bool,
    /// The size in tokens of the request that it last rejected, and when.
    rejected: Option<(u32, Time)>,
    /// Whether it has answered that it doesn't support reservations.
    pub lacks_reservations: bool,
    /// The time until which its entry may reappear, if it was missing after the store had been
    /// unreachable.
    missing_until: Option<Time>,
    /// The stage that it is switching to, and until when the switch is assumed to take place.
    switching: Option<(Stage, Time)>,
    /// The time until which it is skipped because it reported another stage or another id.
    misdirected_until: Option<Time>,
    /// Whether its data centre is evacuated.
    is_evacuated: bool,
    /// The time until which it is cold after its start.
    cold_until: Option<Time>,
    /// The time until which its entry, which comes from an older copy of the store, may be that of
    /// an engine that has gone.
    unconfirmed_until: Option<Time>,
    /// When its incarnation was first listed, unless the first list contained it.
    appeared_at: Option<Time>,
    /// Whether it has told a later start than its entry shows. Its version isn't known then.
    has_restarted: bool,
    /// When the newest probe was sent that it answered with the start that its entry shows.
    confirmed_at: Option<Time>,
}

/// How long an engine with a stage is skipped after it reported that a call was not meant for it.
/// Its entry shows the new stage within about one heartbeat of the engines (1.2 s).
const MISDIRECTED_INTERVAL: Duration = Duration::from_millis(1500);

/// How long an entry from an older copy of the store stays unconfirmed if the engine had gone.
/// Unless the engine is alive, the entry expires after three heartbeats (3.6 s).
const UNCONFIRMED_INTERVAL: Duration = Duration::from_secs(5);

/// How long an engine that rejected a request is assumed to have no free capacity.
const FULL_INTERVAL: Duration = Duration::from_millis(200);

impl Record {
    /// Records that the engine rejected a request that would have held `held` tokens.
    pub fn record_rejection(&mut self, held: u32, now: Time) {
        let smallest = match self.rejected {
            Some((known, at)) if now.since(at) < FULL_INTERVAL => known.min(held),
            _ => held,
        };
        self.rejected = Some((smallest, now));
    }

    /// Returns the time since the engine last rejected a request.
    pub fn since_rejection(&self, now: Time) -> Option<Duration> {
        self.rejected.map(|(_, at)| now.since(at))
    }

    /// Returns whether the engine recently rejected a request that held as many tokens or fewer.
    pub fn is_full(&self, held: u64, now: Time) -> bool {
        self.rejected.is_some_and(|(smallest, at)| {
            now.since(at) < FULL_INTERVAL && held >= u64::from(smallest)
        })
    }

    /// Returns when the engine came back: as a new incarnation, or after it was unreachable.
    pub fn returned_at(&self, now: Time) -> Option<Time> {
        self.appeared_at.max(self.health.returned_at(now))
    }

    /// Returns the key of the version of the software that runs now; none if it isn't known.
    pub fn version(&self) -> Option<VersionKey> {
        let version = self.engine.version.as_ref().filter(|_| !self.has_restarted);
        version.map(SoftwareVersion::key)
    }

    /// Returns whether the engine has told a later start than its entry shows.
    pub fn has_restarted(&self) -> bool {
        self.has_restarted
    }

    /// Returns whether the engine has shown since a time that it is the incarnation of its entry.
    pub fn was_confirmed_after(&self, time: Time) -> bool {
        self.confirmed_at >= Some(time)
    }

    /// Marks the engine's entry as missing. It may reappear until the given time.
    fn mark_missing(self, until: Time) -> Record {
        let until = self.missing_until.map_or(until, |it| it.min(until));
        Record { missing_until: Some(until), ..self }
    }

    /// Returns whether its entry is missing and may reappear.
    pub fn is_missing(&self) -> bool {
        self.missing_until.is_some()
    }

    /// Returns whether the engine's data centre is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Returns whether the engine is cold after its start.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold_until.is_some_and(|it| now < it)
    }

    /// Returns whether the engine accepts new requests.
    pub fn is_open(&self, now: Time) -> bool {
        let is_misdirected = self.misdirected_until.is_some_and(|it| now < it);
        !self.engine.is_draining
            && !self.is_unconfirmed(now)
            && !self.is_replaced
            && !self.is_evacuated
            && !is_misdirected
            && self.switching(now).is_none()
    }

    /// Returns whether its entry may be that of an engine that has gone.
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        self.unconfirmed_until.is_some_and(|it| now < it)
    }

    /// Returns the stage that the engine is switching to, if any.
    pub fn switching(&self, now: Time) -> Option<Stage> {
        self.switching.filter(|(_, until)| now < *until).map(|(stage, _)| stage)
    }

    /// Returns the engine's stage, or the one that it is switching to.
    pub fn next_stage(&self, now: Time) -> Option<Stage> {
        self.switching(now).or(self.engine.stage)
    }
}

/// All known engines.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The engines by key.
    engines: BTreeMap<EngineKey, Record>,
    /// An index of the engines by service, data centre, stage and address.
    index: Index,
    /// The prefill rate averaged over the engines of a service, separately for prefill engines.
    rates: HashMap<(Arc<str>, bool), f64>,
    /// The prefill rate of a service's prefill engines when nothing delays them.
    best_rates: HashMap<Arc<str>, f64>,
    /// The revision of the newest change. `None` if only the first list is known, which does not
    /// include the revision of its last change.
    changed: Option<Revision>,
    /// The revision up to which all changes are known.
    complete: Revision,
    /// When the next missing engine is treated as gone.
    next_removal: Option<Time>,
    /// The engines that ended without an announcement and are not yet reported by `take_ended`.
    ended: Vec<Arc<Engine>>,
    /// The data centres that are evacuated.
    evacuated: BTreeSet<Arc<str>>,
    /// The most recent changes.
    history: History,
    /// The engines that were removed recently.
    removed: RemovedEngines,
    /// The revision at which the current era was entered, and the time until which lists may be as
    /// old as the copy of the store that it began with.
    entered: Option<(Revision, Time)>,
}

impl Directory {
    /// Applies a complete list and returns the changes it makes. Returns `None` if the list is
    /// older than what is known. Engines that are missing from it are kept until `missing_until`,
    /// if given.
    ///
    /// The first lists of a later era may be older than what is known. Engines in them that had
    /// gone stay unconfirmed for a time. A missing engine that was draining is not kept.
    pub fn apply_list(
        &mut self,
        engines: Vec<Engine>,
        revision: Revision,
        missing_until: Option<Time>,
        now: Time,
    ) -> Option<Vec<EngineChange>> {
        if revision < self.complete {
            return None;
        }
        let is_first = self.complete == Revision::default();
        let from = self.complete;
        let enters = self.enter_era(revision, now);
        let is_copy = self.entered.is_some_and(|(_, until)| now < until);
        let engines: Vec<_> =
            engines.into_iter().map(|it| self.keep_draining(it, is_copy)).collect();
        let changes = self.difference(&engines, revision);
        if is_first {
            self.history.begin(revision);
        } else if enters {
            self.changed = Some(revision);
            self.history.enter(from, &changes, revision);
        } else if !changes.is_empty() {
            self.changed = Some(revision);
            changes.iter().for_each(|it| self.history.add(it.clone()));
        }
        self.complete = revision;
        let mut old = std::mem::take(&mut self.engines);
        self.index = Index::default();
        for engine in engines {
            let known = old.remove(&engine.key);
            self.merge(known, engine, is_copy, now);
        }
        if is_first {
            self.engines.values_mut().for_each(|it| it.appeared_at = None);
        }
        for known in old.into_values() {
            match missing_until.filter(|_| !known.engine.is_draining) {
                Some(until) => self.insert(known.mark_missing(until)),
                None => self.record_removal(&known, now),
            }
        }
        self.mark_all_replaced();
        self.update_next_removal();
        Some(changes)
    }

    /// Records that a revision belongs to a later era, if it does, and returns whether it does.
    fn enter_era(&mut self, revision: Revision, now: Time) -> bool {
        if self.complete == Revision::default() || revision.era <= self.complete.era {
            return false;
        }
        self.entered = Some((revision, now + UNCONFIRMED_INTERVAL));
        true
    }

    /// Returns an entry with its draining state corrected. An entry from an older copy of the store
    /// does not undo that its engine drains.
    fn keep_draining(&self, engine: Engine, is_copy: bool) -> Engine {
        let known = self.engines.get(&engine.key).filter(|_| is_copy);
        let drains =
            known.is_some_and(|it| it.engine.is_draining && it.engine.is_same_incarnation(&engine));
        Engine { is_draining: engine.is_draining || drains, ..engine }
    }

    /// Returns the changes that lead from the known engines to a list.
    fn difference(&self, engines: &[Engine], revision: Revision) -> Vec<EngineChange> {
        let listed: HashSet<EngineKey> = engines.iter().map(|it| it.key).collect();
        let is_new = |it: &&Engine| self.engines.get(&it.key).is_none_or(|old| *old.engine != **it);
        let put = engines.iter().filter(is_new).map(|it| EngineChange::Put(it.clone(), revision));
        let gone = self.engines.values().filter(|it| !listed.contains(&it.engine.key));
        let left = gone.map(|it| EngineChange::Left(it.engine.id.clone(), revision));
        put.chain(left).collect()
    }

    /// Advances to a revision; returns whether it is not older than the known one.
    fn advance(&mut self, revision: Revision, now: Time) -> bool {
        if revision < self.complete {
            return false;
        }
        if self.enter_era(revision, now) {
            self.history.enter(self.complete, &[], revision);
        }
        self.changed = Some(revision);
        self.complete = revision;
        true
    }

    /// Returns the changes since a revision, or `None` if some of them have been dropped.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<EngineChange>> {
        self.history.since(revision)
    }

    /// Records that all changes up to a revision are known.
    pub fn mark_complete(&mut self, revision: Revision, now: Time) {
        let from = self.complete;
        if self.enter_era(revision, now) {
            self.changed = Some(revision);
            self.history.enter(from, &[], revision);
        }
        self.complete = self.complete.max(revision);
    }

    /// Applies a change of one engine; returns whether it was not older than what is known.
    pub fn apply_change(&mut self, engine: Engine, revision: Revision, now: Time) -> bool {
        if !self.advance(revision, now) {
            return false;
        }
        // The changes of this revision lead to the list with which the era began.
        let is_copy = self.entered.is_some_and(|(entered, _)| entered == revision);
        let engine = self.keep_draining(engine, is_copy);
        self.history.add(EngineChange::Put(engine.clone(), revision));
        let known = self.take(engine.key);
        if known.is_none() {
            self.mark_replaced_at(engine.address, engine.started_at);
        }
        self.merge(known, engine, is_copy, now);
        true
    }

    /// Removes an engine; returns whether it was known. An engine that was not draining is kept as
    /// missing until `missing_until`, if given.
    pub fn remove(
        &mut self,
        id: &str,
        revision: Revision,
        missing_until: Option<Time>,
        now: Time,
    ) -> bool {
        if !self.advance(revision, now) {
            return false;
        }
        self.history.add(EngineChange::Left(id.into(), revision));
        let Some(known) = self.take(EngineKey::of(id)) else { return false };
        match missing_until.filter(|_| !known.engine.is_draining) {
            Some(until) => self.insert(known.mark_missing(until)),
            None => self.record_removal(&known, now),
        }
        true
    }

    /// Returns the engines that ended without an announcement since the last call: those that
    /// restarted, whose address is taken by another engine, or that went without draining.
    pub fn take_ended(&mut self) -> Vec<Arc<Engine>> {
        std::mem::take(&mut self.ended)
    }

    /// Records that an engine's entry is gone.
    fn record_removal(&mut self, known: &Record, now: Time) {
        self.removed.record(&known.engine, now);
        self.record_end(known);
    }

    /// Records that an engine has ended, unless it was draining.
    fn record_end(&mut self, known: &Record) {
        if !known.engine.is_draining {
            self.ended.push(known.engine.clone());
        }
    }

    /// Merges an engine's newest entry into its known state. A new incarnation starts without known
    /// state. A late entry of an earlier incarnation changes nothing. An entry from an older copy
    /// of the store is unconfirmed if its engine had gone.
    fn merge(&mut self, known: Option<Record>, engine: Engine, is_copy: bool, now: Time) {
        let known = match known {
            Some(known) if known.engine.is_superseded_by(&engine) => {
                self.record_end(&known);
                None
            }
            Some(known) if engine.is_superseded_by(&known.engine) => {
                return self.insert(Record { missing_until: None, ..known });
            }
            known => known,
        };
        let is_evacuated = self.evacuated.contains(&engine.data_centre);
        let is_new = known.is_none();
        let unconfirmed_until = match (is_copy, self.entered) {
            (true, Some((_, until))) if is_new && self.removed.includes(&engine, now) => {
                Some(until)
            }
            (true, _) => known.as_ref().and_then(|it| it.unconfirmed_until),
            (false, _) => None,
        };
        let known = merge(known, engine, now);
        self.insert(Record { is_evacuated, unconfirmed_until, ..known });
    }

    /// Marks the engine that had a new engine's address as ended, unless it started later.
    fn mark_replaced_at(&mut self, address: SocketAddr, started_at: Option<u64>) {
        let is_ended = |it: &Record| {
            let is_later = it.engine.started_at > started_at && started_at.is_some();
            !it.is_replaced && !is_later
        };
        for key in self.index.at(address).to_vec() {
            let known = self.engines.get_mut(&key).filter(|it| is_ended(it));
            let Some(known) = known else { continue };
            known.is_replaced = true;
            let known = known.clone();
            self.record_end(&known);
        }
    }

    /// Marks the engines whose address is taken by an engine that started later.
    fn mark_all_replaced(&mut self) {
        let mut newest: HashMap<SocketAddr, (u64, EngineKey)> = HashMap::new();
        let mut replaced = Vec::new();
        for (&key, known) in &self.engines {
            let Some(started_at) = known.engine.started_at.filter(|_| !known.is_replaced) else {
                continue;
            };
            let first = newest.entry(known.engine.address).or_insert((started_at, key));
            if first.1 != key {
                replaced.push(if started_at > first.0 {
                    std::mem::replace(first, (started_at, key)).1
                } else {
                    key
                });
            }
        }
        for key in replaced {
            let Some(known) = self.engines.get_mut(&key) else { continue };
            known.is_replaced = true;
            let known = known.clone();
            self.record_end(&known);
        }
    }

    /// Removes the missing engines whose time is over, and returns them.
    pub fn remove_missing(&mut self, now: Time) -> Vec<Arc<Engine>> {
        if self.next_removal.is_none_or(|it| now < it) {
            return Vec::new();
        }
        let is_gone = |it: &Record| it.missing_until.is_some_and(|until| until <= now);
        let missing = self.index.missing().filter_map(|it| self.engines.get(&it));
        let gone: Vec<_> = missing.filter(|it| is_gone(it)).map(|it| it.engine.clone()).collect();
        self.ended.extend(gone.iter().cloned());
        for engine in &gone {
            self.removed.record(engine, now);
            self.take(engine.key);
        }
        gone
    }

    /// Returns when the next missing engine is treated as gone.
    pub fn next_removal(&self) -> Option<Time> {
        self.next_removal
    }

    /// Records the start that an engine has told. It may be back before its new entry is read.
    pub fn record_start(&mut self, engine: EngineKey, started_at: u64) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        known.has_restarted |= known.engine.started_at.is_some_and(|it| it < started_at);
    }

    /// Records the start that an engine has told in answer to a probe, and when that was sent.
    pub fn record_confirmed(&mut self, engine: EngineKey, started_at: Option<u64>, asked_at: Time) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        if started_at.is_some() && known.engine.started_at == started_at {
            known.confirmed_at = known.confirmed_at.max(Some(asked_at));
        }
    }

    /// Records that an engine reported that a call was not meant for it: its address belongs to
    /// another incarnation, or it has another stage than its entry shows.
    pub fn mark_misdirected(&mut self, engine: EngineKey, now: Time) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        if known.engine.stage.is_some() {
            known.misdirected_until = Some(now + MISDIRECTED_INTERVAL);
        } else {
            known.is_replaced = true;
        }
    }

    /// Records that an engine switches to a stage, and until when this is assumed. A time in the
    /// past means that it does not switch.
    pub fn set_switching(&mut self, engine: EngineKey, stage: Stage, until: Time) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        known.switching = (known.engine.stage != Some(stage)).then_some((stage, until));
    }

    /// Iterates over the engines of a service that are listed, confirmed, not draining and not
    /// evacuated.
    pub fn active(&self, service: &str, now: Time) -> impl Iterator<Item = &Record> {
        self.of_service(service).filter(move |it| {
            let is_there = it.missing_until.is_none() && !it.is_unconfirmed(now);
            !it.engine.is_draining && is_there && !it.is_evacuated
        })
    }

    /// Sets the data centres that are evacuated.
    pub fn set_evacuated(&mut self, data_centres: &BTreeSet<Arc<str>>) {
        self.evacuated.clone_from(data_centres);
        for known in self.engines.values_mut() {
            known.is_evacuated = data_centres.contains(&known.engine.data_centre);
        }
    }

    /// Returns the known state of an engine.
    pub fn get(&self, engine: EngineKey) -> Option<&Record> {
        self.engines.get(&engine)
    }

    /// Returns the known state of an engine for modification.
    pub fn get_mut(&mut self, engine: EngineKey) -> Option<&mut Record> {
        self.engines.get_mut(&engine)
    }

    /// Iterates over the engines of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Record> {
        self.index.of_service(service).filter_map(|it| self.engines.get(&it))
    }

    /// Iterates over the versions of each service's engines, some of them more than once; none for
    /// engines whose version isn't known.
    pub fn versions(&self) -> impl Iterator<Item = (&Arc<str>, Option<VersionKey>)> {
        self.index.versions()
    }

    /// Iterates over the versions of a service's engines of some stages, some of them more than once;
    /// none for engines whose version isn't known.
    pub fn versions_of(
        &self,
        service: &str,
        is_chosen: impl Fn(Option<Stage>) -> bool,
    ) -> impl Iterator<Item = Option<VersionKey>> {
        self.index.versions_of(service, is_chosen)
    }

    /// Iterates over the engines of a service that accept new requests.
    pub fn open(&self, service: &str, now: Time) -> impl Iterator<Item = &Record> {
        self.of_service(service).filter(move |it| it.is_open(now))
    }

    /// Iterates over the engines whose entries are present, including draining ones.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        self.engines.values().filter(|it| it.missing_until.is_none())
    }

    /// Iterates over all engines, including draining and missing ones.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        self.engines.values()
    }

    /// Returns the number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns the revision of the newest change, or 0 if there was none. Boxes that know an older
    /// one may have missed changes.
    pub fn changed(&self) -> Revision {
        self.changed.unwrap_or_default()
    }

    /// Returns the revision up to which all changes are known.
    pub fn complete(&self) -> Revision {
        self.complete
    }

    /// Returns the revision that another box must know so that the next change follows directly on
    /// what it knows.
    pub fn base_revision(&self) -> Revision {
        self.changed.unwrap_or(self.complete)
    }

    /// Records how long an engine took to prefill a prompt and the tokens queued before it.
    pub fn measure(&mut self, engine: EngineKey, tokens: u64, took: Duration, now: Time) {
        let millis = took.as_secs_f64() * 1e3;
        if millis <= 0.0 {
            return;
        }
        let sample = tokens as f64 / millis;
        let Some(known) = self.engines.get_mut(&engine) else { return };
        let fresh = known.rate.filter(|(_, at)| now.since(*at) < MEASUREMENT_TTL);
        let rate = fresh.map_or(sample, |(rate, _)| rate + SAMPLE_WEIGHT * (sample - rate));
        known.rate = Some((rate, now));
        if known.engine.stage == Some(Stage::Prefill) {
            let service = known.engine.service.clone();
            let best = self.best_rates.entry(service).or_insert(INITIAL_PREFILL_RATE_TOKENS_PER_MS);
            let weight = if sample > *best { BEST_RATE_WEIGHTS.0 } else { BEST_RATE_WEIGHTS.1 };
            *best += weight * (sample - *best);
        }
        let group = (known.engine.service.clone(), known.engine.stage == Some(Stage::Prefill));
        let shared = self.rates.entry(group).or_insert(sample);
        *shared += SAMPLE_WEIGHT * (sample - *shared);
    }

    /// Returns the rate at which an engine prefills prompts, in tokens per millisecond.
    pub fn prefill_rate(&self, known: &Record, now: Time) -> f64 {
        if let Some((rate, at)) = known.rate
            && now.since(at) < MEASUREMENT_TTL
        {
            return rate;
        }
        let is_prefill = known.engine.stage == Some(Stage::Prefill);
        let group = (known.engine.service.clone(), is_prefill);
        let first = if is_prefill {
            INITIAL_PREFILL_RATE_TOKENS_PER_MS
        } else {
            INITIAL_PREFILL_RATE_TOKENS_PER_MS * DECODE_RATE_SHARE
        };
        self.rates.get(&group).copied().unwrap_or(first)
    }

    /// Returns the rate at which a prefill engine of a service prefills prompts when nothing delays
    /// it, in tokens per millisecond.
    pub fn best_prefill_rate(&self, service: &str) -> f64 {
        self.best_rates.get(service).copied().unwrap_or(INITIAL_PREFILL_RATE_TOKENS_PER_MS)
    }

    /// Returns the rate at which an engine of this stage and service prefills prompts when nothing
    /// delays it, in tokens per millisecond.
    pub fn idle_prefill_rate(&self, known: &Record) -> f64 {
        let share =
            if known.engine.stage == Some(Stage::Prefill) { 1.0 } else { DECODE_RATE_SHARE };
        self.best_prefill_rate(&known.engine.service) * share
    }

    /// Returns up to `max_count` engines from the chosen groups of a service, starting at a random
    /// position.
    pub fn sample(
        &self,
        service: &str,
        is_chosen: impl Fn(&Group) -> bool,
        max_count: usize,
        draw: u64,
    ) -> impl Iterator<Item = &Record> {
        let keys = self.index.sample(service, is_chosen, max_count, draw);
        keys.into_iter().filter_map(|it| self.engines.get(&it))
    }

    /// Returns the number of engines in the chosen groups of a service.
    pub fn count(&self, service: &str, is_chosen: impl Fn(&Group) -> bool) -> usize {
        self.index.count(service, is_chosen)
    }

    /// Adds an engine to the map and the index.
    fn insert(&mut self, known: Record) {
        self.index.add(&known);
        let until = known.missing_until;
        self.engines.insert(known.engine.key, known);
        self.next_removal = self.next_removal.into_iter().chain(until).min();
    }

    /// Removes an engine from the map and the index, and returns it.
    fn take(&mut self, engine: EngineKey) -> Option<Record> {
        let known = self.engines.remove(&engine)?;
        self.index.remove(&known);
        if known.is_missing() {
            self.update_next_removal();
        }
        Some(known)
    }

    /// Recomputes when the next missing engine is treated as gone.
    fn update_next_removal(&mut self) {
        let missing = self.index.missing().filter_map(|it| self.engines.get(&it));
        self.next_removal = missing.filter_map(|it| it.missing_until).min();
    }
}

/// Merges the newest entry of an incarnation into its known state.
fn merge(known: Option<Record>, engine: Engine, now: Time) -> Record {
    let cold_until = match &known {
        // An entry that is read a second time contains nothing new.
        Some(known) if *known.engine == engine => known.cold_until,
        _ => cold_until(&engine, now),
    };
    let engine = Arc::new(engine);
    match known {
        Some(known) if known.engine.stage != engine.stage => Record {
            engine,
            missing_until: None,
            switching: None,
            misdirected_until: None,
            rate: None,
            cold_until,
            ..known
        },
        Some(known) => Record { engine, missing_until: None, cold_until, ..known },
        None => Record {
            engine,
            health: Health::default(),
            reported_load: None,
            rate: None,
            is_replaced: false,
            rejected: None,
            lacks_reservations: false,
            missing_until: None,
            switching: None,
            misdirected_until: None,
            is_evacuated: false,
            cold_until,
            unconfirmed_until: None,
            appeared_at: Some(now),
            has_restarted: false,
            confirmed_at: None,
        },
    }
}

/// Returns the time until which an engine is cold, by an entry that has just arrived. The entry was
/// written slightly earlier, so the result is at most too late.
fn cold_until(engine: &Engine, now: Time) -> Option<Time> {
    let left = Duration::from_millis(u64::from(engine.cold_left_ms));
    (!left.is_zero()).then(|| now + left)
}
