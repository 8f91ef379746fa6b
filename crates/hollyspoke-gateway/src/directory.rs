//! The engines that the platform lists, and what their answers have told.

mod departed;
mod history;
mod index;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;

use crate::engine::{Engine, EngineChange, EngineKey, Stage};
use crate::health::Health;
use crate::statement::ReportedLoad;

pub use index::Group;

use departed::Departures;
use history::History;
use index::Index;

/// The rate at which a prompt is read before any was measured, in tokens a millisecond.
const INITIAL_PREFILL_RATE_TOKENS_PER_MS: f64 = 30.0;

/// The weight of the newest measurement of a rate.
const SAMPLE_WEIGHT: f64 = 0.3;

/// The weights of a measurement above and below what a reader is taken to be able to read. Most
/// measurements are too low, since they include the wait for work of others that was not known.
const BEST_RATE_WEIGHTS: (f64, f64) = (0.2, 0.02);

/// How long an engine's own measurements are preferred to those of its whole service.
const MEASUREMENT_TTL: Duration = Duration::from_secs(8);

/// What is known of one engine.
#[derive(Debug, Clone)]
pub struct Record {
    /// The engine as listed.
    pub engine: Arc<Engine>,
    /// What its answers tell of its health.
    pub health: Health,
    /// The load that it last told, and when.
    pub reported_load: Option<(ReportedLoad, Time)>,
    /// Its measured rate of reading, in tokens a millisecond, and when it was measured.
    rate: Option<(f64, Time)>,
    /// Whether another incarnation answered at its address.
    is_replaced: bool,
    /// The request that it last turned away, and when.
    rejected: Option<(u32, Time)>,
    /// Set if its entry was missing after the store had been away: until when it may come back.
    missing_until: Option<Time>,
    /// The stage that it changes to, and until when that is counted on.
    switching: Option<(Stage, Time)>,
    /// Until when it is passed over since it said that it has another stage, or another id.
    misdirected_until: Option<Time>,
    /// Whether its data centre is evacuated.
    is_evacuated: bool,
    /// Until when it is cold after its start.
    cold_until: Option<Time>,
    /// Until when its entry may be that of an engine that has left, from an older copy of the store.
    unconfirmed_until: Option<Time>,
}

/// How long an engine with a stage is passed over that says that a call was not meant for it: its
/// entry shows a new stage within about a heartbeat of the engines, 1.2 s on the users' sites.
const MISDIRECTED_INTERVAL: Duration = Duration::from_millis(1500);

/// How long an entry is doubted that an older copy of the store has and that had gone: it lapses after
/// three heartbeats of its engine, 3.6 s on the users' sites, unless that lives.
const UNCONFIRMED_INTERVAL: Duration = Duration::from_secs(5);

/// How long an engine that turned a request away is taken to have no room.
const FULL_INTERVAL: Duration = Duration::from_millis(200);

impl Record {
    /// Notes that the engine turned a request away that would have held some tokens.
    pub fn record_rejection(&mut self, held: u32, now: Time) {
        let smallest = match self.rejected {
            Some((known, at)) if now.since(at) < FULL_INTERVAL => known.min(held),
            _ => held,
        };
        self.rejected = Some((smallest, now));
    }

    /// Tells whether the engine has of late turned away a request that held as much, or less.
    pub fn is_full(&self, held: u64, now: Time) -> bool {
        self.rejected.is_some_and(|(smallest, at)| {
            now.since(at) < FULL_INTERVAL && held >= u64::from(smallest)
        })
    }

    /// Notes that the engine's entry is missing, and until when it may come back.
    fn mark_missing(self, until: Time) -> Record {
        let until = self.missing_until.map_or(until, |it| it.min(until));
        Record { missing_until: Some(until), ..self }
    }

    /// Tells whether its entry is missing and may come back.
    pub fn is_missing(&self) -> bool {
        self.missing_until.is_some()
    }

    /// Tells whether the engine's data centre is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Tells whether the engine is cold after its start.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold_until.is_some_and(|it| now < it)
    }

    /// Tells whether the engine takes new requests.
    pub fn is_open(&self, now: Time) -> bool {
        let is_misdirected = self.misdirected_until.is_some_and(|it| now < it);
        !self.engine.is_draining
            && !self.is_unconfirmed(now)
            && !self.is_replaced
            && !self.is_evacuated
            && !is_misdirected
            && self.switching(now).is_none()
    }

    /// Tells whether its entry may be that of an engine that has left.
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        self.unconfirmed_until.is_some_and(|it| now < it)
    }

    /// Gives the stage that the engine changes to, while it does.
    pub fn switching(&self, now: Time) -> Option<Stage> {
        self.switching.filter(|(_, until)| now < *until).map(|(stage, _)| stage)
    }

    /// Gives the stage that the engine has, or will have soon.
    pub fn next_stage(&self, now: Time) -> Option<Stage> {
        self.switching(now).or(self.engine.stage)
    }
}

/// All engines.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The engines by key.
    engines: BTreeMap<EngineKey, Record>,
    /// The same by what they are looked up by.
    index: Index,
    /// The rate of reading measured over a service's engines, by stage.
    rates: HashMap<(Arc<str>, bool), f64>,
    /// The rate at which a service's engines can read for others when nothing holds them up.
    best_rates: HashMap<Arc<str>, f64>,
    /// The revision of the newest change that was seen. None if all that is known comes from the
    /// first list, which does not tell when the last change was.
    changed: Option<Revision>,
    /// The revision up to which nothing is missing.
    complete: Revision,
    /// When the next missing engine is to be taken as gone.
    next_removal: Option<Time>,
    /// The engines that have ended without a word, and were not told of yet.
    ended: Vec<Arc<Engine>>,
    /// The data centres that are evacuated.
    evacuated: BTreeSet<Arc<str>>,
    /// The newest changes.
    history: History,
    /// The engines that have left of late.
    departures: Departures,
    /// The revision at which the present era was entered, and until when lists may be as old as the
    /// copy that it began with.
    entered: Option<(Revision, Time)>,
}

impl Directory {
    /// Takes a whole list and gives what it changes; none if it was older than what is known.
    /// Engines that are missing in it stay until `missing_until`, if that is given.
    ///
    /// The lists at the beginning of a later era may be older than what is known. Engines that have
    /// left and are in one are doubted for a time, and one that is about to leave does not stay.
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
        for known in old.into_values() {
            match missing_until.filter(|_| !known.engine.is_draining) {
                Some(until) => self.insert(known.mark_missing(until)),
                None => self.record_departure(&known, now),
            }
        }
        self.mark_all_replaced();
        self.update_next_removal();
        Some(changes)
    }

    /// Notes that what is told from now on is of a later era; tells whether it is.
    fn enter_era(&mut self, revision: Revision, now: Time) -> bool {
        if self.complete == Revision::default() || revision.era <= self.complete.era {
            return false;
        }
        self.entered = Some((revision, now + UNCONFIRMED_INTERVAL));
        true
    }

    /// Gives an entry as it holds: one from an older copy of the store does not take back that its
    /// engine leaves.
    fn keep_draining(&self, engine: Engine, is_copy: bool) -> Engine {
        let known = self.engines.get(&engine.key).filter(|_| is_copy);
        let leaves =
            known.is_some_and(|it| it.engine.is_draining && it.engine.is_same_incarnation(&engine));
        Engine { is_draining: engine.is_draining || leaves, ..engine }
    }

    /// Gives the changes that lead from what is known to a list.
    fn difference(&self, engines: &[Engine], revision: Revision) -> Vec<EngineChange> {
        let listed: HashSet<EngineKey> = engines.iter().map(|it| it.key).collect();
        let is_new = |it: &&Engine| self.engines.get(&it.key).is_none_or(|old| *old.engine != **it);
        let put = engines.iter().filter(is_new).map(|it| EngineChange::Put(it.clone(), revision));
        let gone = self.engines.values().filter(|it| !listed.contains(&it.engine.key));
        let left = gone.map(|it| EngineChange::Left(it.engine.id.clone(), revision));
        put.chain(left).collect()
    }

    /// Notes a change; tells whether it was newer than what is known.
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

    /// Gives the changes since a revision, if none of them is forgotten.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<EngineChange>> {
        self.history.since(revision)
    }

    /// Notes that nothing is missing up to a revision.
    pub fn mark_complete(&mut self, revision: Revision, now: Time) {
        let from = self.complete;
        if self.enter_era(revision, now) {
            self.changed = Some(revision);
            self.history.enter(from, &[], revision);
        }
        self.complete = self.complete.max(revision);
    }

    /// Takes one engine's change; tells whether it was newer than what is known.
    pub fn apply_change(&mut self, engine: Engine, revision: Revision, now: Time) -> bool {
        if !self.advance(revision, now) {
            return false;
        }
        // Those of this revision lead to the list with which the era began.
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

    /// Removes an engine; tells whether it was there. One that was not about to leave stays until
    /// `missing_until`, if that is given.
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
            None => self.record_departure(&known, now),
        }
        true
    }

    /// Takes the engines that have ended without a word since they were last taken: those that have
    /// started again, whose address another one has, or that left without draining.
    pub fn take_ended(&mut self) -> Vec<Arc<Engine>> {
        std::mem::take(&mut self.ended)
    }

    /// Notes that an engine's entry is gone.
    fn record_departure(&mut self, known: &Record, now: Time) {
        self.departures.record(&known.engine, now);
        self.record_end(known);
    }

    /// Notes that an engine has ended, unless that was announced.
    fn record_end(&mut self, known: &Record) {
        if !known.engine.is_draining {
            self.ended.push(known.engine.clone());
        }
    }

    /// Joins what was known of an engine with its newest entry. A new life of it begins with
    /// nothing known; an entry of an earlier life, written late, changes nothing. One from an older
    /// copy of the store is doubted if its engine has left.
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
            (true, Some((_, until))) if is_new && self.departures.includes(&engine, now) => {
                Some(until)
            }
            (true, _) => known.as_ref().and_then(|it| it.unconfirmed_until),
            (false, _) => None,
        };
        let known = merge(known, engine, now);
        self.insert(Record { is_evacuated, unconfirmed_until, ..known });
    }

    /// Notes that a new engine has an address; the one that had it has ended, unless it began later.
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

    /// Finds, in a list, the engines whose address another one has that began later.
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

    /// Removes the engines that were missing for long enough to be gone, and gives them.
    pub fn remove_missing(&mut self, now: Time) -> Vec<Arc<Engine>> {
        if self.next_removal.is_none_or(|it| now < it) {
            return Vec::new();
        }
        let is_gone = |it: &Record| it.missing_until.is_some_and(|until| until <= now);
        let missing = self.index.missing().filter_map(|it| self.engines.get(&it));
        let gone: Vec<_> = missing.filter(|it| is_gone(it)).map(|it| it.engine.clone()).collect();
        self.ended.extend(gone.iter().cloned());
        for engine in &gone {
            self.departures.record(engine, now);
            self.take(engine.key);
        }
        gone
    }

    /// Gives when the next missing engine is to be taken as gone.
    pub fn next_removal(&self) -> Option<Time> {
        self.next_removal
    }

    /// Notes that an engine said that a call was not meant for it: another incarnation has its
    /// address, or it has another stage than its entry tells.
    pub fn mark_misdirected(&mut self, engine: EngineKey, now: Time) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        if known.engine.stage.is_some() {
            known.misdirected_until = Some(now + MISDIRECTED_INTERVAL);
        } else {
            known.is_replaced = true;
        }
    }

    /// Notes that an engine changes its stage, until when that is counted on; a time that has
    /// passed says that it stays as it is.
    pub fn set_switching(&mut self, engine: EngineKey, stage: Stage, until: Time) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        known.switching = (known.engine.stage != Some(stage)).then_some((stage, until));
    }

    /// Goes over the engines of a service that do not leave.
    pub fn active(&self, service: &str, now: Time) -> impl Iterator<Item = &Record> {
        self.of_service(service).filter(move |it| {
            let is_there = it.missing_until.is_none() && !it.is_unconfirmed(now);
            !it.engine.is_draining && is_there && !it.is_evacuated
        })
    }

    /// Notes which data centres are evacuated.
    pub fn set_evacuated(&mut self, data_centres: &BTreeSet<Arc<str>>) {
        self.evacuated.clone_from(data_centres);
        for known in self.engines.values_mut() {
            known.is_evacuated = data_centres.contains(&known.engine.data_centre);
        }
    }

    /// Finds an engine.
    pub fn get(&self, engine: EngineKey) -> Option<&Record> {
        self.engines.get(&engine)
    }

    /// Finds an engine to change what is known of it.
    pub fn get_mut(&mut self, engine: EngineKey) -> Option<&mut Record> {
        self.engines.get_mut(&engine)
    }

    /// Goes over the engines of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Record> {
        self.index.of_service(service).filter_map(|it| self.engines.get(&it))
    }

    /// Goes over the engines of a service that take new requests.
    pub fn open(&self, service: &str, now: Time) -> impl Iterator<Item = &Record> {
        self.of_service(service).filter(move |it| it.is_open(now))
    }

    /// Goes over the engines whose entries are there, those that leave too.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        self.engines.values().filter(|it| it.missing_until.is_none())
    }

    /// Goes over all engines, those that leave too.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        self.engines.values()
    }

    /// Gives the number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Tells whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Gives the revision of the newest change that was seen, 0 if none was. Boxes that know a
    /// lower one may be behind.
    pub fn changed(&self) -> Revision {
        self.changed.unwrap_or_default()
    }

    /// Gives the revision up to which nothing is missing.
    pub fn complete(&self) -> Revision {
        self.complete
    }

    /// Gives the revision that another box must know for the next change to follow on what it
    /// knows.
    pub fn next_since(&self) -> Revision {
        self.changed.unwrap_or(self.complete)
    }

    /// Notes how long an engine took for the tokens before and of one prompt.
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

    /// Gives the rate at which an engine reads prompts, in tokens a millisecond.
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
            INITIAL_PREFILL_RATE_TOKENS_PER_MS / 2.0
        };
        self.rates.get(&group).copied().unwrap_or(first)
    }

    /// Gives the rate at which an engine of a service can read prompts for others when nothing
    /// holds it up, in tokens a millisecond.
    pub fn best_prefill_rate(&self, service: &str) -> f64 {
        self.best_rates.get(service).copied().unwrap_or(INITIAL_PREFILL_RATE_TOKENS_PER_MS)
    }

    /// Gives at most so many engines of some groups of a service, from a drawn place on.
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

    /// Gives the number of engines in some groups of a service.
    pub fn count(&self, service: &str, is_chosen: impl Fn(&Group) -> bool) -> usize {
        self.index.count(service, is_chosen)
    }

    /// Adds an engine.
    fn insert(&mut self, known: Record) {
        self.index.add(&known);
        let until = known.missing_until;
        self.engines.insert(known.engine.key, known);
        self.next_removal = self.next_removal.into_iter().chain(until).min();
    }

    /// Takes an engine out.
    fn take(&mut self, engine: EngineKey) -> Option<Record> {
        let known = self.engines.remove(&engine)?;
        self.index.remove(&known);
        if known.is_missing() {
            self.update_next_removal();
        }
        Some(known)
    }

    /// Finds when the next missing engine is to be taken as gone.
    fn update_next_removal(&mut self) {
        let missing = self.index.missing().filter_map(|it| self.engines.get(&it));
        self.next_removal = missing.filter_map(|it| it.missing_until).min();
    }
}

/// Joins what was known of an incarnation with its newest entry.
fn merge(known: Option<Record>, engine: Engine, now: Time) -> Record {
    let cold_until = match &known {
        // An entry that is read once more tells nothing new.
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
            missing_until: None,
            switching: None,
            misdirected_until: None,
            is_evacuated: false,
            cold_until,
            unconfirmed_until: None,
        },
    }
}

/// Gives until when an engine is cold by an entry that has just come. It was written a little
/// earlier, so that the time is rather too late.
fn cold_until(engine: &Engine, now: Time) -> Option<Time> {
    let left = Duration::from_millis(u64::from(engine.cold_left_ms));
    (!left.is_zero()).then(|| now + left)
}
