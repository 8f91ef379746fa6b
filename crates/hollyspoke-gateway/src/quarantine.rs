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
    About, Case, Crash, Crashes, HELD_FOR, Life, MOST_CRASHES, Proof, Stand, Verdict, Word,
};

/// The most cases at one box: some 300 bytes each.
const MOST_CASES: usize = 2048;

/// The cases that are told with each heartbeat, at most.
pub const MOST_TOLD: usize = 24;

/// All cases that one box knows.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    /// The cases.
    cases: HashMap<Signature, Case>,
    /// The cases that the other boxes have yet to hear of. Kept apart, since it is looked at with each
    /// event.
    untold: BTreeSet<Signature>,
    /// When the first of the cases is to be saved that the store lacks.
    saves_at: Option<Time>,
}

impl Quarantine {
    /// Gives what may be done with a request.
    pub fn verdict(&self, signature: Signature) -> Verdict {
        self.cases.get(&signature).map_or(Verdict::Clear, Case::verdict)
    }

    /// Gives how far a request's case is.
    pub fn stand(&self, signature: Signature) -> Stand {
        self.cases
            .get(&signature)
            .map_or(Stand::default(), |it| Stand { epoch: it.epoch, crashes: it.count() })
    }

    /// Gives a case.
    pub fn case(&self, signature: Signature) -> Option<&Case> {
        self.cases.get(&signature)
    }

    /// Goes over the cases of requests that are held back, in a fixed order.
    pub fn held(&self) -> impl Iterator<Item = (Signature, &Case)> {
        let held = self.cases.iter().filter(|(_, it)| it.count() == MOST_CRASHES);
        let held: BTreeMap<_, _> = held.map(|(&signature, it)| (signature, it)).collect();
        held.into_iter()
    }

    /// Notes that a call broke that was sent when its request's case stood somewhere; tells whether
    /// that counts, so that its engine is to be asked.
    pub fn suspect(
        &mut self,
        signature: Signature,
        stand: Stand,
        engine: &Engine,
        about: About,
        now: Time,
    ) -> bool {
        self.make_room(signature);
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
    pub fn clear(&mut self, lives: Life, now: Time) {
        let cleared = self.cases.iter_mut().filter_map(|(&key, it)| it.clear(lives).then_some(key));
        let ended = cleared.collect();
        self.change(ended, now);
    }

    /// Notes how well it is known that a life of an engine has ended, at a Unix time in seconds. If
    /// the life is not known, that holds for all of it. Gives the requests that are held back from
    /// now on.
    pub fn confirm(&mut self, ended: Life, proof: Proof, now: Time, unix: u64) -> Vec<Signature> {
        let mut changed = Vec::new();
        for (&signature, case) in &mut self.cases {
            if case.confirm(ended, proof) {
                case.at = unix;
                changed.push(signature);
            }
        }
        changed.sort();
        let mut held = changed.clone();
        held.retain(|it| self.cases.get_mut(it).is_some_and(Case::becomes_held));
        self.change(changed, now);
        held
    }

    /// Notes changes of cases that others are to hear of, and the store is to have.
    fn change(&mut self, signatures: Vec<Signature>, now: Time) {
        for signature in signatures {
            let Some(case) = self.cases.get_mut(&signature) else { continue };
            (case.changed, case.saves_at) = (now, Some(now));
            self.untold.insert(signature);
            self.saves_at = Some(now);
        }
    }

    /// Ends the case of a request that was answered whole, or that an operator lets go; tells whether
    /// there was one.
    pub fn acquit(&mut self, signature: Signature, now: Time) -> bool {
        let Some(case) = self.cases.get_mut(&signature).filter(|it| it.count() > 0) else {
            return false;
        };
        case.end(Crashes::default());
        self.change(vec![signature], now);
        true
    }

    /// Finds the held requests whose signature begins as shown.
    pub fn find(&self, short: &str) -> Vec<Signature> {
        let held = self.held().map(|(signature, _)| signature);
        held.filter(|it| !short.is_empty() && it.text().starts_with(short)).collect()
    }

    /// Takes what another box, or the store, tells of a case, which this box saves from a time on if
    /// nobody else has; tells whether a request is held back from now on.
    pub fn hear(&mut self, word: &Word, now: Time, saves_at: Option<Time>) -> bool {
        let is_empty = word.crashes.iter().flatten().next().is_none();
        if is_empty && !self.cases.contains_key(&word.signature) {
            return false;
        }
        self.make_room(word.signature);
        let case = self.cases.entry(word.signature).or_insert_with(|| Case::new(now));
        if case.join(word) {
            (case.changed, case.seen) = (now, now);
            case.saves_at = case.saves_at.or(saves_at);
            self.saves_at = [self.saves_at, saves_at].into_iter().flatten().min();
        } else if word.epoch < case.epoch && case.sets_right(now) {
            self.untold.insert(word.signature);
        }
        case.becomes_held()
    }

    /// Drops crashes that were not proven in time, and cases that are over.
    pub fn sweep(&mut self, now: Time, unix: u64) {
        let lapsed = self.cases.iter_mut().filter_map(|(&key, it)| it.lapse(now).then_some(key));
        let lapsed = lapsed.collect();
        self.change(lapsed, now);
        self.cases.retain(|_, it| !it.is_over(now, unix));
    }

    /// Gives the lives of engines whose crashes are likely and not proven, and since when nothing has
    /// changed about them.
    pub fn unproven(&self) -> Vec<(Life, Time)> {
        let cases = self.cases.values();
        let crashes = cases.flat_map(|case| case.crashes().map(|it| (it, case.changed)));
        let likely = crashes.filter(|(it, _)| it.proof == Proof::Likely);
        likely.map(|(it, at)| (Life { engine: it.engine, born: it.born }, at)).collect()
    }

    /// Takes the words that the other boxes have yet to hear.
    pub fn take_untold(&mut self) -> Vec<Word> {
        let mut words = Vec::new();
        while words.len() < MOST_TOLD
            && let Some(signature) = self.untold.pop_first()
        {
            words.extend(self.cases.get(&signature).map(|it| it.word(signature)));
        }
        words
    }

    /// Tells whether the other boxes have yet to hear of a case.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Gives what each heartbeat tells, for boxes that missed it: the requests that are held back or
    /// nearly so, those with the latest crash if there are many.
    pub fn reminder(&self) -> Vec<Word> {
        let mut words: Vec<_> = self
            .cases
            .iter()
            .filter(|(_, it)| it.count() + 1 >= MOST_CRASHES)
            .map(|(&signature, it)| it.word(signature))
            .collect();
        words.sort_by_key(|it| (std::cmp::Reverse(it.at), it.signature));
        words.truncate(MOST_TOLD);
        words
    }

    /// Tells whether the store is to have something that it lacks: of cases with at least so many
    /// crashes, and of those that it had and that have ended.
    pub fn has_unsaved(&self, least: usize, now: Time) -> bool {
        if self.saves_at.is_none_or(|it| it > now) {
            return false;
        }
        let is_due = |it: &Case| it.saves_at.is_some_and(|it| it <= now);
        self.cases.values().any(|it| is_due(it) && (it.count() >= least || it.epoch > 0))
    }

    /// Gives the cases for the store: of those with at least so many crashes the latest ones.
    pub fn to_save(&self, least: usize, most: usize) -> Vec<(Word, Option<About>)> {
        let mut saved: Vec<_> = self
            .cases
            .iter()
            .filter(|(_, it)| it.count() >= least)
            .map(|(&signature, it)| (it.word(signature), it.about.clone()))
            .collect();
        saved.sort_by_key(|(it, _)| (std::cmp::Reverse(it.at), it.signature));
        saved.truncate(most);
        saved
    }

    /// Notes that the store has what was to be saved, or will have.
    pub fn saved(&mut self) {
        self.saves_at = None;
        for case in self.cases.values_mut() {
            case.saves_at = None;
        }
    }

    /// Notes that the store may lack everything.
    pub fn not_saved(&mut self, now: Time) {
        self.saves_at = Some(now);
        for case in self.cases.values_mut().filter(|it| it.count() > 0) {
            case.saves_at.get_or_insert(now);
        }
    }

    /// Notes that a request with a case has come, and what operators see of it.
    pub fn see(&mut self, signature: Signature, now: Time, about: impl FnOnce() -> About) {
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
    fn make_room(&mut self, signature: Signature) {
        if self.cases.len() < MOST_CASES || self.cases.contains_key(&signature) {
            return;
        }
        let least = self.cases.iter().min_by_key(|(key, it)| (it.count(), it.seen, **key));
        if let Some((&key, _)) = least {
            self.cases.remove(&key);
        }
    }
}
