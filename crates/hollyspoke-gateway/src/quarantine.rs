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

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineKey};
use crate::signature::Signature;

/// The crashes one after the other at which a request is held back: the users allow three, and few
/// repeats after them.
pub const MOST_CRASHES: usize = 3;

/// How long a crash that was not proven counts. An engine that has crashed is back, or its entry
/// lapses, within some seconds; a connection that was cut leaves neither.
const PROVEN_WITHIN: Duration = Duration::from_secs(10);

/// How long a case lasts that holds nothing back, after its last change.
const SUSPECT_FOR: Duration = Duration::from_secs(600);

/// How long a request is held back: until engines may have got other software, which operators
/// install by day.
pub const HELD_FOR: Duration = Duration::from_secs(24 * 3600);

/// How long an ended case is kept, so that word of it that comes late does not open it again.
const ENDED_FOR: Duration = Duration::from_secs(60);

/// The most cases at one box: some 300 bytes each.
const MOST_CASES: usize = 2048;

/// The cases that are told with each heartbeat, at most.
pub const MOST_TOLD: usize = 24;

/// The least pause between two answers to word of an ended case.
const SET_RIGHT_EVERY: Duration = Duration::from_millis(200);

/// How well it is known that an engine has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Proof {
    /// A connection broke, and the engine is being asked.
    Asked,
    /// It does not take connections, or does not answer.
    Likely,
    /// It has started again, or its entry is gone.
    Proven,
}

/// A crash of an engine that had a request under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The engine.
    pub engine: EngineKey,
    /// When the life of the engine began that ended so, if it tells.
    pub born: Option<u64>,
    /// How well it is known.
    pub proof: Proof,
}

/// The crashes under one request, in their places.
pub type Crashes = [Option<Crash>; MOST_CRASHES];

/// How far a case was when a call was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stand {
    /// The case's epoch.
    epoch: u32,
    /// The crashes that counted.
    crashes: usize,
}

impl Stand {
    /// Tells whether one more crash would hold the request back.
    pub fn is_last(self) -> bool {
        self.crashes + 1 == MOST_CRASHES
    }
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// Engines have crashed under it: it runs where it harms least.
    Suspect,
    /// One more crash holds it back: it runs once at a time.
    Trial,
    /// It is held back while it is found out whether its engines have crashed.
    Doubted,
    /// It is held back.
    Held,
}

/// What operators see of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct About {
    /// The customer that sent it, if it is known.
    pub customer: Option<Arc<str>>,
    /// Its path.
    pub path: Arc<str>,
}

/// What boxes tell each other of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The request.
    pub signature: Signature,
    /// The epoch.
    pub epoch: u32,
    /// The crashes.
    pub crashes: Crashes,
    /// When the last crash was counted, in seconds of Unix time.
    pub at: u64,
}

/// The crashes under one request.
#[derive(Debug, Clone)]
pub struct Case {
    /// The epoch.
    epoch: u32,
    /// The crashes.
    crashes: Crashes,
    /// When the last crash was counted, in seconds of Unix time.
    pub at: u64,
    /// What operators see of the request, if this box has seen it.
    pub about: Option<About>,
    /// Whether it was noted that the request is held back.
    is_held: bool,
    /// When it last changed here.
    changed: Time,
    /// When the request last came here, or word of it.
    seen: Time,
    /// From when on the store is to have it, if it has yet to.
    saves_at: Option<Time>,
    /// When word of an earlier epoch was last answered.
    set_right: Option<Time>,
}

impl Case {
    /// Makes a case without a crash.
    fn new(now: Time) -> Case {
        Case {
            epoch: 0,
            crashes: Crashes::default(),
            at: 0,
            about: None,
            is_held: false,
            changed: now,
            seen: now,
            saves_at: None,
            set_right: None,
        }
    }

    /// Gives the number of crashes.
    pub fn count(&self) -> usize {
        self.crashes.iter().flatten().count()
    }

    /// Goes over the crashes.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().flatten()
    }

    /// Tells whether all crashes are proven.
    fn is_proven(&self) -> bool {
        self.crashes().all(|it| it.proof == Proof::Proven)
    }

    /// Tells whether the request is held back and was not the last time.
    fn becomes_held(&mut self) -> bool {
        let is_held = self.count() == MOST_CRASHES;
        let was_held = std::mem::replace(&mut self.is_held, is_held);
        is_held && !was_held
    }

    /// Gives what may be done with the request.
    fn verdict(&self) -> Verdict {
        match self.count() {
            0 => Verdict::Clear,
            MOST_CRASHES if self.is_proven() => Verdict::Held,
            MOST_CRASHES => Verdict::Doubted,
            it if it + 1 == MOST_CRASHES => Verdict::Trial,
            _ => Verdict::Suspect,
        }
    }

    /// Gives what others are told: the crashes that are more than a broken connection.
    fn word(&self, signature: Signature) -> Word {
        let is_told = |it: &Crash| it.proof >= Proof::Likely;
        let crashes = self.crashes.map(|it| it.filter(is_told));
        Word { signature, epoch: self.epoch, crashes, at: self.at }
    }

    /// Ends the case; what is left of its crashes begins the next one.
    fn end(&mut self, left: Crashes) {
        self.epoch += 1;
        self.crashes = left;
    }

    /// Takes over word of a case; tells whether that changed something.
    fn join(&mut self, word: &Word) -> bool {
        if word.epoch < self.epoch {
            return false;
        }
        let before = (self.epoch, self.crashes);
        if word.epoch > self.epoch {
            (self.epoch, self.at) = (word.epoch, 0);
            self.crashes = Crashes::default();
        }
        for (own, told) in self.crashes.iter_mut().zip(word.crashes) {
            *own = stronger(*own, told);
        }
        self.at = self.at.max(word.at);
        before != (self.epoch, self.crashes)
    }

    /// Tells whether nothing is left to be known of it.
    fn is_over(&self, now: Time, unix: u64) -> bool {
        let rests = now.since(self.changed);
        match self.count() {
            0 => rests >= ENDED_FOR,
            MOST_CRASHES => unix.saturating_sub(self.at) >= HELD_FOR.as_secs(),
            _ => rests >= SUSPECT_FOR,
        }
    }
}

/// Gives the better known of two crashes that stand in one place, the same on all boxes.
fn stronger(own: Option<Crash>, told: Option<Crash>) -> Option<Crash> {
    let rank = |it: &Crash| (it.proof, std::cmp::Reverse((it.engine, it.born)));
    [own, told].into_iter().flatten().max_by_key(rank)
}

/// Tells whether two lives of an engine may be the same one, as far as their beginnings are known.
fn is_same_life(own: Option<u64>, other: Option<u64>) -> bool {
    own.is_none() || other.is_none() || own == other
}

/// A life of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    /// The engine.
    pub engine: EngineKey,
    /// When the life began, if that is known.
    pub born: Option<u64>,
}

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
        let Engine { key, born, .. } = *engine;
        let is_counted = case.crashes().any(|it| (it.engine, it.born) == (key, born));
        let place = case.crashes.iter_mut().find(|it| it.is_none());
        let Some(place) = place.filter(|_| !is_counted) else { return false };
        *place = Some(Crash { engine: key, born, proof: Proof::Asked });
        case.changed = now;
        true
    }

    /// Notes that a life of an engine goes on that was asked: what broke there was the connection
    /// alone.
    pub fn clear(&mut self, lives: Life, now: Time) {
        let is_wrong = |it: &Crash| {
            let is_of = it.engine == lives.engine && is_same_life(it.born, lives.born);
            is_of && it.proof != Proof::Proven
        };
        let mut ended = Vec::new();
        for (&signature, case) in &mut self.cases {
            let wrong: Vec<Proof> =
                case.crashes().filter(|it| is_wrong(it)).map(|it| it.proof).collect();
            let left = case.crashes.map(|it| it.filter(|it| !is_wrong(it)));
            match wrong.into_iter().max() {
                None => {}
                Some(Proof::Asked) => case.crashes = left,
                Some(_) => {
                    case.end(left);
                    ended.push(signature);
                }
            }
        }
        self.change(ended, now);
    }

    /// Notes how well it is known that a life of an engine has ended, at a Unix time in seconds. If
    /// the life is not known, that holds for all of it. Gives the requests that are held back from
    /// now on.
    pub fn confirm(&mut self, ended: Life, proof: Proof, now: Time, unix: u64) -> Vec<Signature> {
        let is_of = |it: &Crash| it.engine == ended.engine && is_same_life(it.born, ended.born);
        let mut changed = Vec::new();
        for (&signature, case) in &mut self.cases {
            let mut is_news = false;
            for crash in case.crashes.iter_mut().flatten() {
                if is_of(crash) && crash.proof < proof {
                    crash.proof = proof;
                    is_news = true;
                }
            }
            if is_news {
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
        } else if word.epoch < case.epoch && set_right(case, now) {
            self.untold.insert(word.signature);
        }
        case.becomes_held()
    }

    /// Drops crashes that were not proven in time, and cases that are over.
    pub fn sweep(&mut self, now: Time, unix: u64) {
        let mut lapsed = Vec::new();
        for (&signature, case) in &mut self.cases {
            let is_late = now.since(case.changed) >= PROVEN_WITHIN;
            if is_late && case.count() > 0 && !case.is_proven() {
                let left = case.crashes.map(|it| it.filter(|it| it.proof == Proof::Proven));
                case.end(left);
                lapsed.push(signature);
            }
        }
        self.change(lapsed, now);
        self.cases.retain(|_, it| !it.is_over(now, unix));
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

/// Tells whether word of an ended case is to be told again, to a box that missed it.
fn set_right(case: &mut Case, now: Time) -> bool {
    let is_due = case.set_right.is_none_or(|it| now.since(it) >= SET_RIGHT_EVERY);
    if is_due {
        case.set_right = Some(now);
    }
    is_due
}
