//! Applies the platform's lists of engines and their changes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;

use super::record::merge;
use super::{Directory, Index, Record};
use crate::engine::{Engine, EngineChange, EngineKey};

/// How long an entry from an older copy of the store stays unconfirmed if the engine had gone.
/// Unless the engine is alive, the entry expires after three heartbeats (3.6 s).
const UNCONFIRMED_INTERVAL: Duration = Duration::from_secs(5);

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
            self.mark_replaced_by(&engine);
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

    /// Marks the engines that had a new engine's address as ended.
    fn mark_replaced_by(&mut self, newer: &Engine) {
        for key in self.index.at(newer.address).to_vec() {
            if self.engines.get(&key).is_some_and(|it| self.may_end(newer, it)) {
                self.mark_replaced(key);
            }
        }
    }

    /// Marks the engines whose address is taken by an engine that started later.
    pub(super) fn mark_all_replaced(&mut self) {
        let mut newest: HashMap<SocketAddr, &Record> = HashMap::new();
        for known in self.engines.values().filter(|it| self.is_of_service(&it.engine)) {
            let first = newest.entry(known.engine.address).or_insert(known);
            if known.engine.started_at > first.engine.started_at {
                *first = known;
            }
        }
        let is_replaced = |it: &&Record| {
            let newer = newest.get(&it.engine.address);
            newer.is_some_and(|newer| {
                let is_refuted = it.confirmed_at.is_some() && it.confirmed_at >= newer.appeared_at;
                self.may_end(&newer.engine, it) && !is_refuted
            })
        };
        let replaced = self.engines.values().filter(is_replaced).map(|it| it.engine.key);
        for key in replaced.collect::<Vec<_>>() {
            self.mark_replaced(key);
        }
    }

    /// Returns whether an entry may show that an engine at its address has ended. Others may write
    /// entries, too: one without a start, or of no service of the configuration, shows nothing.
    fn may_end(&self, newer: &Engine, known: &Record) -> bool {
        let is_later = newer.started_at.is_some() && newer.started_at > known.engine.started_at;
        is_later && !known.is_replaced && self.is_of_service(newer)
    }

    /// Returns whether an engine belongs to a service of the configuration.
    fn is_of_service(&self, engine: &Engine) -> bool {
        self.services.contains(&engine.service)
    }

    /// Marks an engine as ended, until it answers itself.
    fn mark_replaced(&mut self, key: EngineKey) {
        let Some(known) = self.engines.get_mut(&key) else { return };
        known.is_replaced = true;
        let known = known.clone();
        self.record_end(&known);
        self.challenged.push(key);
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
}
