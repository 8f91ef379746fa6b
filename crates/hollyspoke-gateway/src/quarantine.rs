//! Requests under which engines have crashed, and which of them are held back.
//!
//! A crash breaks all that an engine has under way, so that each of these requests is a suspect, and
//! most are innocent. A [`Case`] collects the crashes of one request. They count one after the
//! other: a run counts only if it was sent when all the crashes counted so far were known, so that
//! one failure of many engines counts once, however often the request ran there. A whole answer ends
//! the case: a request that crashes its engines never gets one.
//!
//! Cases of several boxes are joined like this: a case has an epoch, which rises when it ends; the
//! higher epoch wins, and of one epoch each crash stands in its place, so that boxes that see the
//! same engine crash count it once.

mod case;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hollyspoke::time::Time;

use crate::engine::Engine;
use crate::signature::Signature;

pub use case::{
    Announcement, Case, Crash, Crashes, HOLD_DURATION, Incarnation, MAX_CRASHES, Progress, Proof,
    RequestSummary, Verdict,
};

/// The most cases at one box: some 300 bytes each.
const MAX_CASES: usize = 2048;

/// The cases that are told with each heartbeat, at most.
pub const MAX_ANNOUNCED: usize = 24;

/// All cases that one box knows.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    /// The cases.
    cases: HashMap<Signature, Case>,
    /// The cases that the other boxes have yet to hear of. Kept apart, since it is looked at with each
    /// event.
    unannounced: BTreeSet<Signature>,
    /// When the first of the cases is to be saved that the store lacks.
    save_due_at: Option<Time>,
}

impl Quarantine {
    /// Gives what may be done with a request.
    pub fn verdict(&self, signature: Signature) -> Verdict {
        self.cases.get(&signature).map_or(Verdict::Clear, Case::verdict)
    }

    /// Gives how far a request's case is.
    pub fn progress(&self, signature: Signature) -> Progress {
        self.cases
            .get(&signature)
            .map_or(Progress::default(), |it| Progress { epoch: it.epoch, crashes: it.count() })
    }

    /// Gives a case.
    pub fn case(&self, signature: Signature) -> Option<&Case> {
        self.cases.get(&signature)
    }

    /// Goes over the cases of requests that are held back, in a fixed order.
    pub fn held(&self) -> impl Iterator<Item = (Signature, &Case)> {
        let held = self.cases.iter().filter(|(_, it)| it.count() == MAX_CRASHES);
        let held: BTreeMap<_, _> = held.map(|(&signature, it)| (signature, it)).collect();
        held.into_iter()
    }

    /// Notes that a call broke that was sent when its request's case stood somewhere; tells whether
    /// that counts, so that its engine is to be asked.
    pub fn suspect(
        &mut self,
        signature: Signature,
        stand: Progress,
        engine: &Engine,
        about: RequestSummary,
        now: Time,
    ) -> bool {
        self.evict_for(signature);
        let case = self.cases.entry(signature).or_insert_with(|| Case::new(now));
        case.about.get_or_insert(about);
        if case.epoch != stand.epoch || case.count() > stand.crashes {
            return false;
        }
        if !case.suspect(engine) {
            return false;
        }
        case.changed = now;
        true
    }

    /// Notes that a life of an engine goes on that was asked: what broke there was the connection
    /// alone.
    pub fn clear(&mut self, running: Incarnation, now: Time) {
        let changed_keys =
            self.cases.iter_mut().filter_map(|(&key, it)| it.clear(running).then_some(key));
        let ended = changed_keys.collect();
        self.mark_changed(ended, now);
    }

    /// Notes how well it is known that a life of an engine has ended, at a Unix time in seconds. If
    /// the life is not known, that holds for all of it. Gives the requests that are held back from
    /// now on.
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

    /// Notes changes of cases that others are to hear of, and the store is to have.
    fn mark_changed(&mut self, signatures: Vec<Signature>, now: Time) {
        for signature in signatures {
            let Some(case) = self.cases.get_mut(&signature) else { continue };
            (case.changed, case.save_due_at) = (now, Some(now));
            self.unannounced.insert(signature);
            self.save_due_at = Some(now);
        }
    }

    /// Ends the case of a request that was answered whole, or that an operator lets go; tells whether
    /// there was one.
    pub fn close_case(&mut self, signature: Signature, now: Time) -> bool {
        let Some(case) = self.cases.get_mut(&signature).filter(|it| it.count() > 0) else {
            return false;
        };
        case.end(Crashes::default());
        self.mark_changed(vec![signature], now);
        true
    }

    /// Finds the held requests whose signature begins as shown.
    pub fn find_held(&self, short: &str) -> Vec<Signature> {
        let held = self.held().map(|(signature, _)| signature);
        held.filter(|it| !short.is_empty() && it.text().starts_with(short)).collect()
    }

    /// Takes what another box, or the store, tells of a case, which this box saves from a time on if
    /// nobody else has; tells whether a request is held back from now on.
    pub fn receive(
        &mut self,
        announcement: &Announcement,
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

    /// Drops crashes that were not proven in time, and cases that are over.
    pub fn sweep(&mut self, now: Time, unix: u64) {
        let expired = self.cases.iter_mut().filter_map(|(&key, it)| it.expire(now).then_some(key));
        let expired = expired.collect();
        self.mark_changed(expired, now);
        self.cases.retain(|_, it| !it.is_over(now, unix));
    }

    /// Gives the lives of engines whose crashes are likely and not proven, and since when nothing has
    /// changed about them.
    pub fn unproven(&self) -> Vec<(Incarnation, Time)> {
        let cases = self.cases.values();
        let crashes = cases.flat_map(|case| case.crashes().map(|it| (it, case.changed)));
        let likely = crashes.filter(|(it, _)| it.proof == Proof::Likely);
        likely
            .map(|(it, at)| (Incarnation { engine: it.engine, started_at: it.born }, at))
            .collect()
    }

    /// Takes the words that the other boxes have yet to hear.
    pub fn take_unannounced(&mut self) -> Vec<Announcement> {
        let mut announcements = Vec::new();
        while announcements.len() < MAX_ANNOUNCED
            && let Some(signature) = self.unannounced.pop_first()
        {
            announcements.extend(self.cases.get(&signature).map(|it| it.announcement(signature)));
        }
        announcements
    }

    /// Tells whether the other boxes have yet to hear of a case.
    pub fn has_unannounced(&self) -> bool {
        !self.unannounced.is_empty()
    }

    /// Gives what each heartbeat tells, for boxes that missed it: the requests that are held back or
    /// nearly so, those with the latest crash if there are many.
    pub fn reminder(&self) -> Vec<Announcement> {
        let mut announcements: Vec<_> = self
            .cases
            .iter()
            .filter(|(_, it)| it.count() + 1 >= MAX_CRASHES)
            .map(|(&signature, it)| it.announcement(signature))
            .collect();
        announcements.sort_by_key(|it| (std::cmp::Reverse(it.at), it.signature));
        announcements.truncate(MAX_ANNOUNCED);
        announcements
    }

    /// Tells whether the store is to have something that it lacks: of cases with at least so many
    /// crashes, and of those that it had and that have ended.
    pub fn has_unsaved(&self, min: usize, now: Time) -> bool {
        if self.save_due_at.is_none_or(|it| it > now) {
            return false;
        }
        let is_due = |it: &Case| it.save_due_at.is_some_and(|it| it <= now);
        self.cases.values().any(|it| is_due(it) && (it.count() >= min || it.epoch > 0))
    }

    /// Gives the cases for the store: of those with at least so many crashes the latest ones.
    pub fn to_save(&self, min: usize, max: usize) -> Vec<(Announcement, Option<RequestSummary>)> {
        let mut mark_saved: Vec<_> = self
            .cases
            .iter()
            .filter(|(_, it)| it.count() >= min)
            .map(|(&signature, it)| (it.announcement(signature), it.about.clone()))
            .collect();
        mark_saved.sort_by_key(|(it, _)| (std::cmp::Reverse(it.at), it.signature));
        mark_saved.truncate(max);
        mark_saved
    }

    /// Notes that the store has what was to be saved, or will have.
    pub fn mark_saved(&mut self) {
        self.save_due_at = None;
        for case in self.cases.values_mut() {
            case.save_due_at = None;
        }
    }

    /// Notes that the store may lack everything.
    pub fn mark_unsaved(&mut self, now: Time) {
        self.save_due_at = Some(now);
        for case in self.cases.values_mut().filter(|it| it.count() > 0) {
            case.save_due_at.get_or_insert(now);
        }
    }

    /// Notes that a request with a case has come, and what operators see of it.
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

    /// Gives the number of cases.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Tells whether there is no case.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Makes room for a request's case. The case with the fewest crashes goes, and of those the one
    /// whose request has not come for the longest: whoever fills the list with requests that come
    /// once displaces these first.
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
