//! An index of the engines, so that no change and no selection has to scan all of them.
//!
//! Without it, when 10,000 engines register one by one, the work takes 68 s in a debug build; with
//! it, less than 0.4 s (`tests/tests/directory.rs`).

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use super::Record;
use crate::engine::{Engine, EngineKey, Stage};
use crate::version::{SoftwareVersion, VersionKey};

/// The engines of one service that have the same data centre, stage and version.
#[derive(Debug, Clone)]
pub struct Group {
    /// The data centre of the engines.
    pub data_centre: Arc<str>,
    /// The stage, for services with stages.
    pub stage: Option<Stage>,
    /// The version of their software, if known.
    pub version: Option<VersionKey>,
    /// The keys of the engines, sorted.
    keys: Vec<EngineKey>,
}

/// The engines by service and group, by address, and those that are missing.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    /// The groups of engines of each service.
    services: HashMap<Arc<str>, Vec<Group>>,
    /// The engines at each address. An old engine may still be known next to the one that has its
    /// address now.
    addresses: HashMap<SocketAddr, Vec<EngineKey>>,
    /// The engines whose entries are missing.
    missing: BTreeSet<EngineKey>,
}

impl Group {
    /// Returns whether an engine belongs to this group.
    fn matches(&self, engine: &Engine) -> bool {
        let is_same_version = self.version == version_key(engine);
        is_same_version && self.stage == engine.stage && self.data_centre == engine.data_centre
    }

    /// Adds an engine to the group.
    fn add(&mut self, key: EngineKey) {
        if let Err(place) = self.keys.binary_search(&key) {
            self.keys.insert(place, key);
        }
    }

    /// Removes an engine from the group.
    fn remove(&mut self, key: EngineKey) {
        if let Ok(place) = self.keys.binary_search(&key) {
            self.keys.remove(place);
        }
    }
}

impl Index {
    /// Adds an engine to the index.
    pub(super) fn add(&mut self, record: &Record) {
        let engine = &record.engine;
        let groups = self.services.entry(engine.service.clone()).or_default();
        let place = groups.iter().position(|it| it.matches(engine)).unwrap_or_else(|| {
            let (data_centre, stage) = (engine.data_centre.clone(), engine.stage);
            groups.push(Group {
                data_centre,
                stage,
                version: version_key(engine),
                keys: Vec::new(),
            });
            groups.len() - 1
        });
        groups[place].add(engine.key);
        self.addresses.entry(engine.address).or_default().push(engine.key);
        if record.is_missing() {
            self.missing.insert(engine.key);
        }
    }

    /// Removes an engine from the index.
    pub(super) fn remove(&mut self, record: &Record) {
        let engine = &record.engine;
        let groups = self.services.get_mut(&engine.service);
        if let Some(group) = groups.and_then(|it| it.iter_mut().find(|it| it.matches(engine))) {
            group.remove(engine.key);
        }
        if let Some(keys) = self.addresses.get_mut(&engine.address) {
            keys.retain(|it| *it != engine.key);
            if keys.is_empty() {
                self.addresses.remove(&engine.address);
            }
        }
        self.missing.remove(&engine.key);
    }

    /// Iterates over the engines of a service.
    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = EngineKey> {
        self.groups(service).iter().flat_map(|it| it.keys.iter().copied())
    }

    /// Returns the engines at an address.
    pub(super) fn at(&self, address: SocketAddr) -> &[EngineKey] {
        self.addresses.get(&address).map(Vec::as_slice).unwrap_or_default()
    }

    /// Iterates over the engines whose entries are missing.
    pub(super) fn missing(&self) -> impl Iterator<Item = EngineKey> {
        self.missing.iter().copied()
    }

    /// Returns up to `max_count` engines from the chosen groups of a service, starting at a random
    /// position. Keys are hashes, so neighbours are unrelated.
    pub(super) fn sample(
        &self,
        service: &str,
        is_chosen: impl Fn(&Group) -> bool,
        max_count: usize,
        draw: u64,
    ) -> Vec<EngineKey> {
        let chosen: Vec<_> = self.groups(service).iter().filter(|it| is_chosen(it)).collect();
        let count: usize = chosen.iter().map(|it| it.keys.len()).sum();
        let Some(mut skipped) = draw.checked_rem(count as u64).map(|it| it as usize) else {
            return Vec::new();
        };
        let mut sample = Vec::new();
        // The second pass over the groups wraps around from the last to the first.
        for group in chosen.iter().chain(&chosen) {
            let keys = &group.keys[skipped.min(group.keys.len())..];
            skipped = skipped.saturating_sub(group.keys.len());
            let wanted = max_count.min(count) - sample.len();
            sample.extend(keys.iter().take(wanted));
        }
        sample
    }

    /// Returns the number of engines in the chosen groups of a service.
    pub(super) fn count(&self, service: &str, is_chosen: impl Fn(&Group) -> bool) -> usize {
        self.groups(service).iter().filter(|it| is_chosen(it)).map(|it| it.keys.len()).sum()
    }

    /// Iterates over the versions of each service's engines, some of them more than once.
    pub(super) fn versions(&self) -> impl Iterator<Item = (&Arc<str>, Option<VersionKey>)> {
        self.services.iter().flat_map(|(service, groups)| {
            let groups = groups.iter().filter(|it| !it.keys.is_empty());
            groups.map(move |it| (service, it.version))
        })
    }

    /// Iterates over the versions of a service's engines of some stages, some of them more than once.
    pub(super) fn versions_of(
        &self,
        service: &str,
        is_chosen: impl Fn(Option<Stage>) -> bool,
    ) -> impl Iterator<Item = Option<VersionKey>> {
        let groups = self.groups(service).iter().filter(|it| !it.keys.is_empty());
        groups.filter(move |it| is_chosen(it.stage)).map(|it| it.version)
    }

    /// Returns the groups of a service.
    fn groups(&self, service: &str) -> &[Group] {
        self.services.get(service).map(Vec::as_slice).unwrap_or_default()
    }
}

/// Returns the key of an engine's version, if known.
fn version_key(engine: &Engine) -> Option<VersionKey> {
    engine.version.as_ref().map(SoftwareVersion::key)
}
