//! The engines that the platform lists, and the state learned from their answers.

mod history;
mod index;
mod listing;
mod rate;
mod record;
mod removed;
mod report;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey, Stage};
use crate::version::VersionKey;

pub use index::Group;
pub use record::Record;

use history::History;
use index::Index;
use removed::RemovedEngines;

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
    /// The engines that another one's entry has ended, and that have not been taken.
    challenged: Vec<EngineKey>,
    /// The services of the configuration. Only entries of these say anything about an address.
    services: BTreeSet<Arc<str>>,
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
    /// Returns the engines that ended without an announcement since the last call: those that
    /// restarted, whose address is taken by another engine, or that went without draining.
    pub fn take_ended(&mut self) -> Vec<Arc<Engine>> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the engines that another one's entry has ended since the last call. They may run all the
    /// same.
    pub fn take_challenged(&mut self) -> Vec<EngineKey> {
        std::mem::take(&mut self.challenged)
    }

    /// Sets the services of the configuration.
    pub fn set_services(&mut self, services: BTreeSet<Arc<str>>) {
        if self.services != services {
            self.services = services;
            self.mark_all_replaced();
        }
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
