//! The crashes of engines under one request, as one box knows them.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineKey};
use crate::signature::Signature;

/// The crashes one after the other at which a request is held back: the users allow three, and few
/// repeats after them.
pub const MAX_CRASHES: usize = 3;

/// How long a crash that was not proven counts. An engine that has crashed is back, or its entry
/// lapses, within some seconds; a connection that was cut leaves neither.
const PROOF_TIMEOUT: Duration = Duration::from_secs(10);

/// The least pause between two answers to word of an ended case.
const MIN_CORRECTION_INTERVAL: Duration = Duration::from_millis(200);

/// How long a case lasts that holds nothing back, after its last change.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);

/// How long a request is held back: until engines may have got other software, which operators
/// install by day.
pub const HOLD_DURATION: Duration = Duration::from_secs(24 * 3600);

/// How long an ended case is kept, so that word of it that comes late does not open it again.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

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

/// A life of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnation {
    /// The engine.
    pub engine: EngineKey,
    /// When the life began, if that is known.
    pub started_at: Option<u64>,
}

impl Crash {
    /// Tells whether it may have ended a life, as far as the beginnings are known.
    fn matches(&self, incarnation: Incarnation) -> bool {
        let is_same = self.born.is_none()
            || incarnation.started_at.is_none()
            || self.born == incarnation.started_at;
        self.engine == incarnation.engine && is_same
    }
}

/// The crashes under one request, in their places.
pub type Crashes = [Option<Crash>; MAX_CRASHES];

/// How far a case was when a call was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// The case's epoch.
    pub(super) epoch: u32,
    /// The crashes that counted.
    pub(super) crashes: usize,
}

impl Progress {
    /// Tells whether one more crash would hold the request back.
    pub fn is_next_to_last(self) -> bool {
        self.crashes + 1 == MAX_CRASHES
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
    Unconfirmed,
    /// It is held back.
    Held,
}

/// What operators see of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSummary {
    /// The customer that sent it, if it is known.
    pub customer: Option<Arc<str>>,
    /// Its path.
    pub path: Arc<str>,
}

/// What boxes tell each other of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
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
    pub(super) epoch: u32,
    /// The crashes.
    pub(super) crashes: Crashes,
    /// When the last crash was counted, in seconds of Unix time.
    pub at: u64,
    /// What operators see of the request, if this box has seen it.
    pub about: Option<RequestSummary>,
    /// Whether it was noted that the request is held back.
    pub(super) is_held: bool,
    /// When it last changed here.
    pub(super) changed: Time,
    /// When the request last came here, or word of it.
    pub(super) seen: Time,
    /// From when on the store is to have it, if it has yet to.
    pub(super) save_due_at: Option<Time>,
    /// When word of an earlier epoch was last answered.
    pub(super) corrected_at: Option<Time>,
}

impl Case {
    /// Makes a case without a crash.
    pub(super) fn new(now: Time) -> Case {
        Case {
            epoch: 0,
            crashes: Crashes::default(),
            at: 0,
            about: None,
            is_held: false,
            changed: now,
            seen: now,
            save_due_at: None,
            corrected_at: None,
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
    pub(super) fn is_proven(&self) -> bool {
        self.crashes().all(|it| it.proof == Proof::Proven)
    }

    /// Tells whether the request is held back and was not the last time.
    pub(super) fn update_held(&mut self) -> bool {
        let is_held = self.count() == MAX_CRASHES;
        let was_held = std::mem::replace(&mut self.is_held, is_held);
        is_held && !was_held
    }

    /// Gives what may be done with the request.
    pub(super) fn verdict(&self) -> Verdict {
        match self.count() {
            0 => Verdict::Clear,
            MAX_CRASHES if self.is_proven() => Verdict::Held,
            MAX_CRASHES => Verdict::Unconfirmed,
            it if it + 1 == MAX_CRASHES => Verdict::Trial,
            _ => Verdict::Suspect,
        }
    }

    /// Gives what others are told: the crashes that are more than a broken connection.
    pub(super) fn announcement(&self, signature: Signature) -> Announcement {
        let is_announced = |it: &Crash| it.proof >= Proof::Likely;
        let crashes = self.crashes.map(|it| it.filter(is_announced));
        Announcement { signature, epoch: self.epoch, crashes, at: self.at }
    }

    /// Ends the case; what is left of its crashes begins the next one.
    pub(super) fn end(&mut self, left: Crashes) {
        self.epoch += 1;
        self.crashes = left;
    }

    /// Takes over word of a case; tells whether that changed something.
    pub(super) fn merge(&mut self, announcement: &Announcement) -> bool {
        if announcement.epoch < self.epoch {
            return false;
        }
        let before = (self.epoch, self.crashes);
        if announcement.epoch > self.epoch {
            (self.epoch, self.at) = (announcement.epoch, 0);
            self.crashes = Crashes::default();
        }
        for (own, announced) in self.crashes.iter_mut().zip(announcement.crashes) {
            *own = better_known(*own, announced);
        }
        self.at = self.at.max(announcement.at);
        before != (self.epoch, self.crashes)
    }

    /// Tells whether nothing is left to be known of it.
    pub(super) fn is_over(&self, now: Time, unix: u64) -> bool {
        let unchanged_for = now.since(self.changed);
        match self.count() {
            0 => unchanged_for >= ENDED_RETENTION,
            MAX_CRASHES => unix.saturating_sub(self.at) >= HOLD_DURATION.as_secs(),
            _ => unchanged_for >= SUSPECT_RETENTION,
        }
    }

    /// Counts a crash of a life of an engine as it is being asked, unless it is counted; tells whether
    /// it counts.
    pub(super) fn suspect(&mut self, engine: &Engine) -> bool {
        let Engine { key, started_at: born, .. } = *engine;
        let is_counted = self.crashes().any(|it| (it.engine, it.born) == (key, born));
        let place = self.crashes.iter_mut().find(|it| it.is_none());
        let Some(place) = place.filter(|_| !is_counted) else { return false };
        *place = Some(Crash { engine: key, born, proof: Proof::Asked });
        true
    }

    /// Drops the crashes of a life that goes on; tells whether others were told of one.
    pub(super) fn clear(&mut self, running: Incarnation) -> bool {
        let is_refuted = |it: &Crash| it.matches(running) && it.proof != Proof::Proven;
        let strongest = self.crashes().filter(|it| is_refuted(it)).map(|it| it.proof).max();
        let left = self.crashes.map(|it| it.filter(|it| !is_refuted(it)));
        match strongest {
            Some(Proof::Likely | Proof::Proven) => {
                self.end(left);
                true
            }
            Some(Proof::Asked) | None => {
                self.crashes = left;
                false
            }
        }
    }

    /// Notes how well it is known that a life has ended; tells whether that is news.
    pub(super) fn confirm(&mut self, ended: Incarnation, proof: Proof) -> bool {
        let mut has_changed = false;
        for crash in self.crashes.iter_mut().flatten() {
            if crash.matches(ended) && crash.proof < proof {
                crash.proof = proof;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Drops the crashes that were not proven in time; tells whether there were any.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let is_overdue = now.since(self.changed) >= PROOF_TIMEOUT;
        if !is_overdue || self.count() == 0 || self.is_proven() {
            return false;
        }
        let left = self.crashes.map(|it| it.filter(|it| it.proof == Proof::Proven));
        self.end(left);
        true
    }

    /// Tells whether word of an ended case is to be told again, to a box that missed it.
    pub(super) fn should_correct(&mut self, now: Time) -> bool {
        let is_due = self.corrected_at.is_none_or(|it| now.since(it) >= MIN_CORRECTION_INTERVAL);
        if is_due {
            self.corrected_at = Some(now);
        }
        is_due
    }
}

/// Gives the better known of two crashes that stand in one place, the same on all boxes.
fn better_known(own: Option<Crash>, announced: Option<Crash>) -> Option<Crash> {
    let rank = |it: &Crash| (it.proof, std::cmp::Reverse((it.engine, it.born)));
    [own, announced].into_iter().flatten().max_by_key(rank)
}
