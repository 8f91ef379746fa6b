//! Tracks requests that crash engines and decides which of them are held back.
//!
//! A crash breaks all calls in progress at the engine, so each of their requests becomes a suspect
//! although most are innocent. A [`Case`] collects the crashes of one request. Crashes count only
//! in sequence: a run counts only if it was sent when all crashes counted so far were known. A
//! failure of many engines at once therefore counts once, however often the request ran there. A
//! complete answer closes the case, since a request that crashes its engines never gets one.
//!
//! Cases of several boxes are merged as follows. A case has an epoch, which increases when the case
//! is closed, and the higher epoch wins. Within one epoch, crashes are merged slot by slot, so that
//! boxes that see the same engine crash count it once.

mod answered;
mod case;
mod parts;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};
use crate::signature::Signature;
use crate::version::VersionKey;

pub use case::{
    Announcement, Case, Crash, Crashes, HOLD_DURATION, Incarnation, MAX_CRASHES, MAX_PART_CRASHES,
    Progress, Proof, RequestSummary, Verdict,
};
pub use parts::{NamedAnnouncement, Parts};

/// Maximum number of cases at one box, about 300 bytes each.
const MAX_CASES: usize = 2048;

/// Maximum number of cases announced with each heartbeat.
pub const MAX_ANNOUNCED: usize = 24;

/// Maximum length of the name of a part, in bytes. It is only displayed.
const MAX_NAME_BYTES: usize = 32;

/// All cases known to one box, of requests or parts that are held back after N crashes.
#[derive(Debug, Clone, Default)]
pub struct Quarantine<const N: usize> {
    /// The cases by signature.
    cases: HashMap<Signature, Case<N>>,
    /// The cases that are not announced to the other boxes yet. Kept separately because it is
    /// checked after each event.
    unannounced: BTreeSet<Signature>,
    /// When the first case that the store lacks is due to be saved.
    save_due_at: Option<Time>,
}

impl<const N: usize> Quarantine<N> {
    /// Returns what may be done with a request.
    pub fn verdict(&self, signature: Signature) -> Verdict {
        self.cases.get(&signature).map_or(Verdict::Clear, Case::verdict)
    }

    /// Returns the current progress of a request's case.
    pub fn progress(&self, signature: Signature) -> Progress {
        self.cases.get(&signature).map_or(Progress::default(), Case::progress)
    }

    /// Returns a request's case, if there is one.
    pub fn case(&self, signature: Signature) -> Option<&Case<N>> {
        self.cases.get(&signature)
    }

    /// Iterates over the cases of held requests, in a fixed order.
    pub fn held(&self) -> impl Iterator<Item = (Signature, &Case<N>)> {
        let held = self.cases.iter().filter(|(_, it)| it.count() == N);
        let held: BTreeMap<_, _> = held.map(|(&signature, it)| (signature, it)).collect();
        held.into_iter()
    }

    /// Records that a call broke, with its case's progress when the call was sent. Returns whether
    /// the break counts, in which case the engine has to be probed.
    pub fn suspect(
        &mut self,
        signature: Signature,
        progress: Progress,
        engine: &Engine,
        about: RequestSummary,
        now: Time,
    ) -> bool {
        self.evict_for(signature);
        let case = self.cases.entry(signature).or_insert_with(|| Case::new(now));
        case.about.get_or_insert(about);
        if case.epoch != progress.epoch || case.count() > progress.crashes {
            return false;
        }
        if !case.suspect(engine) {
            return false;
        }
        case.changed = now;
        true
    }

    /// Records that a probed incarnation of an engine is still running: only the connection broke,
    /// or its entry was gone for a time.
    pub fn clear(&mut self, running: Incarnation, now: Time) {
        let changed_keys =
            self.cases.iter_mut().filter_map(|(&key, it)| it.clear(running).then_some(key));
        let ended = changed_keys.collect();
        self.mark_changed(ended, now);
    }

    /// Records how certain it is that an incarnation of an engine has ended, at a Unix time in
    /// seconds. If the incarnation's start time is unknown, the proof applies to every incarnation
    /// of the engine. Returns the requests that are held back from now on.
    pub fn confirm(
        &mut self,
        ended: Incarnation,
        proof: Proof,
        now: Time,
        unix: u64,
    ) -> Vec<Signature> {
        let mut changed = Vec::new();
        for (&signature, case) in &mut self.cases {
            if case.confirm(ended, proof) {
                case.at = unix;
                changed.push(signature);
            }
        }
        changed.sort();
        let mut held = changed.clone();
        held.retain(|it| self.cases.get_mut(it).is_some_and(Case::update_held));
        self.mark_changed(changed, now);
        held
    }

    /// Drops the crashes that a case explains which has reached its limit, from all cases below it.
    pub fn drop_explained(&mut self, explained: &[Crash]) {
        for case in self.cases.values_mut().filter(|it| it.count() < N) {
            case.drop_explained(explained);
        }
    }

    /// Marks cases as changed, to be announced and stored.
    fn mark_changed(&mut self, signatures: Vec<Signature>, now: Time) {
        for signature in signatures {
            let Some(case) = self.cases.get_mut(&signature) else { continue };
            (case.changed, case.save_due_at) = (now, Some(now));
            self.unannounced.insert(signature);
            self.save_due_at = Some(now);
        }
    }

    /// Closes the case of a request that was answered completely, or that an operator releases.
    /// Returns whether there was one.
    pub fn close_case(&mut self, signature: Signature, now: Time) -> bool {
        let Some(case) = self.cases.get_mut(&signature).filter(|it| it.count() > 0) else {
            return false;
        };
        case.end([None; N]);
        self.mark_changed(vec![signature], now);
        true
    }

    /// Finds the held requests whose signature starts with `short`.
    pub fn find_held(&self, short: &str) -> Vec<Signature> {
        let held = self.held().map(|(signature, _)| signature);
        held.filter(|it| !short.is_empty() && it.text().starts_with(short)).collect()
    }

    /// Merges a case received from another box or read from the store. This box saves it at
    /// `save_due_at` unless another one has. Returns whether the request is held back from now on.
    pub fn receive(
        &mut self,
        announcement: &Announcement<N>,
        now: Time,
        save_due_at: Option<Time>,
    ) -> bool {
        let is_empty = announcement.crashes.iter().flatten().next().is_none();
        if is_empty && !self.cases.contains_key(&announcement.signature) {
            return false;
        }
        self.evict_for(announcement.signature);
        let case = self.cases.entry(announcement.signature).or_insert_with(|| Case::new(now));
        if case.merge(announcement) {
            (case.changed, case.seen) = (now, now);
            case.save_due_at = case.save_due_at.or(save_due_at);
            self.save_due_at = [self.save_due_at, save_due_at].into_iter().flatten().min();
        } else if announcement.epoch < case.epoch && case.should_correct(now) {
            self.unannounced.insert(announcement.signature);
        }
        case.update_held()
    }

    /// Drops crashes that were not proven in time, and expired cases.
    pub fn sweep(&mut self, now: Time, unix: u64) {
        let expired = self.cases.iter_mut().filter_map(|(&key, it)| it.expire(now).then_some(key));
        let expired = expired.collect();
        self.mark_changed(expired, now);
        self.cases.retain(|_, it| !it.is_over(now, unix));
    }

    /// Returns the engine incarnations, with known start times, whose crashes are proven.
    pub fn proven(&self) -> BTreeSet<(EngineKey, u64)> {
        let crashes = self.cases.values().flat_map(Case::crashes);
        let proven = crashes.filter(|it| it.proof == Proof::Proven);
        proven.filter_map(|it| Some((it.engine, it.born?))).collect()
    }

    /// Returns the engine incarnations whose crashes are likely but not proven, with the time of
    /// the last change of their cases.
    pub fn unproven(&self) -> Vec<(Incarnation, Time)> {
        let cases = self.cases.values();
        let crashes = cases.flat_map(|case| case.crashes().map(|it| (it, case.changed)));
        let likely = crashes.filter(|(it, _)| it.proof == Proof::Likely);
        likely
            .map(|(it, at)| (Incarnation { engine: it.engine, started_at: it.born }, at))
            .collect()
    }

    /// Removes and returns the next announcements for the other boxes, at most [`MAX_ANNOUNCED`].
    pub fn take_unannounced(&mut self) -> Vec<Announcement<N>> {
        let mut announcements = Vec::new();
        while announcements.len() < MAX_ANNOUNCED
            && let Some(signature) = self.unannounced.pop_first()
        {
            announcements.extend(self.cases.get(&signature).map(|it| it.announcement(signature)));
        }
        announcements
    }

    /// Returns whether any case is not announced yet.
    pub fn has_unannounced(&self) -> bool {
        !self.unannounced.is_empty()
    }

    /// Returns the announcements that each heartbeat repeats for boxes that missed them: requests
    /// that are held back or one crash short of it. If there are many, those with the latest
    /// crashes.
    pub fn reminder(&self) -> Vec<Announcement<N>> {
        let mut announcements: Vec<_> = self
            .cases
            .iter()
            .filter(|(_, it)| it.count() + 1 >= N)
            .map(|(&signature, it)| it.announcement(signature))
            .collect();
        announcements.sort_by_key(|it| (std::cmp::Reverse(it.at), it.signature));
        announcements.truncate(MAX_ANNOUNCED);
        announcements
    }

    /// Returns whether the store lacks a case that is due: one with at least `min` crashes, or one
    /// that was stored and has been closed since.
    pub fn has_unsaved(&self, min: usize, now: Time) -> bool {
        if self.save_due_at.is_none_or(|it| it > now) {
            return false;
        }
        let is_due = |it: &Case<N>| it.save_due_at.is_some_and(|it| it <= now);
        self.cases.values().any(|it| is_due(it) && (it.count() >= min || it.epoch > 0))
    }

    /// Returns the latest cases with at least `min` crashes for the store, at most `max`.
    pub fn to_save(&self, min: usize, max: usize) -> Vec<(Announcement<N>, &Case<N>)> {
        let mut cases: Vec<_> = self
            .cases
            .iter()
            .filter(|(_, it)| it.count() >= min)
            .map(|(&signature, it)| (it.announcement(signature), it))
            .collect();
        cases.sort_by_key(|(it, _)| (std::cmp::Reverse(it.at), it.signature));
        cases.truncate(max);
        cases
    }

    /// Records that the pending cases have been sent to the store.
    pub fn mark_saved(&mut self) {
        self.save_due_at = None;
        for case in self.cases.values_mut() {
            case.save_due_at = None;
        }
    }

    /// Records that the store may have lost all cases.
    pub fn mark_unsaved(&mut self, now: Time) {
        self.save_due_at = Some(now);
        for case in self.cases.values_mut().filter(|it| it.count() > 0) {
            case.save_due_at.get_or_insert(now);
        }
    }

    /// Records that a request with a case has arrived, with the summary that operators see.
    pub fn record_seen(
        &mut self,
        signature: Signature,
        now: Time,
        about: impl FnOnce() -> RequestSummary,
    ) {
        if let Some(case) = self.cases.get_mut(&signature) {
            case.seen = now;
            case.about.get_or_insert_with(about);
        }
    }

    /// Records the name of the part that a case is about.
    pub fn record_name(&mut self, signature: Signature, name: &Arc<str>) {
        if let Some(case) = self.cases.get_mut(&signature) {
            case.name.get_or_insert_with(|| beginning(name));
        }
    }

    /// Records versions of engines that crashed under a part. Returns whether any was not known.
    fn record_versions(&mut self, signature: Signature, versions: &[VersionKey]) -> bool {
        let Some(case) = self.cases.get_mut(&signature) else { return false };
        let before = case.versions.len();
        let room = case::MAX_VERSIONS.saturating_sub(before);
        let new: Vec<_> = versions.iter().filter(|it| !case.versions.contains(it)).collect();
        case.versions.extend(new.into_iter().take(room));
        case.versions.len() > before
    }

    /// Returns the number of cases.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Returns whether there are no cases.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Evicts a case if there is no space for a request's one: the one with the fewest crashes, and
    /// of those the one whose request has not arrived for the longest time. Filling the list with
    /// requests that are sent once thus evicts these first.
    fn evict_for(&mut self, signature: Signature) {
        if self.cases.len() < MAX_CASES || self.cases.contains_key(&signature) {
            return;
        }
        let min = self.cases.iter().min_by_key(|(key, it)| (it.count(), it.seen, **key));
        if let Some((&key, _)) = min {
            self.cases.remove(&key);
        }
    }
}

/// Returns the beginning of a part's name that is kept.
fn beginning(name: &Arc<str>) -> Arc<str> {
    if name.len() <= MAX_NAME_BYTES {
        return name.clone();
    }
    let end = (0..=MAX_NAME_BYTES).rev().find(|it| name.is_char_boundary(*it));
    name[..end.unwrap_or_default()].into()
}
