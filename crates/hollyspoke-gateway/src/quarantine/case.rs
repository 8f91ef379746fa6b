//! The engine crashes attributed to one request, as known to one box.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineKey};
use crate::signature::Signature;
use crate::version::VersionKey;

/// Number of successive crashes after which a request is held back. Three crashes are allowed, and
/// few repeats beyond them.
pub const MAX_CRASHES: usize = 3;

/// Number of successive crashes after which a part of prompts is held back. Five are allowed. Some
/// are not counted, because a call that was sent before the last one was known breaks too, or because
/// the box that counted them is gone. Holding a harmless part back affects more requests than one, so
/// that more crashes are required than for a request.
pub const MAX_PART_CRASHES: usize = 4;

/// Maximum number of software versions of a case.
pub(super) const MAX_VERSIONS: usize = 16;

/// How long an unproven crash counts. A crashed engine is back, or its entry expires, within
/// seconds; a connection that was merely cut causes neither.
pub(super) const PROOF_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum interval between two corrections of announcements of an earlier epoch.
const MIN_CORRECTION_INTERVAL: Duration = Duration::from_millis(200);

/// How long a case that holds nothing back is retained after its last change.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);

/// How long a request is held back: until engines may have been upgraded, which operators do in the
/// daytime.
pub const HOLD_DURATION: Duration = Duration::from_secs(24 * 3600);

/// How long a closed case is retained, so that a late announcement does not reopen it.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// How certain it is that an engine has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Proof {
    /// A connection broke, and the engine is being probed.
    Asked,
    /// The engine refuses connections or does not answer.
    Likely,
    /// The engine has restarted, or its entry is gone.
    Proven,
}

/// A crash of an engine while a request was running there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The engine that crashed.
    pub engine: EngineKey,
    /// Start time of the incarnation that crashed, if the engine reports it.
    pub born: Option<u64>,
    /// How certain the crash is.
    pub proof: Proof,
}

/// An incarnation of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnation {
    /// The engine's key.
    pub engine: EngineKey,
    /// Start time of the incarnation, if it is known.
    pub started_at: Option<u64>,
}

impl Incarnation {
    /// Returns whether this may be the same incarnation as another one. An unknown start time matches
    /// any.
    pub(super) fn may_be(self, other: Incarnation) -> bool {
        let is_same = self.started_at.is_none()
            || other.started_at.is_none()
            || self.started_at == other.started_at;
        self.engine == other.engine && is_same
    }
}

impl Crash {
    /// Returns whether this crash may have ended `incarnation`. An unknown start time matches any.
    fn matches(&self, incarnation: Incarnation) -> bool {
        Incarnation { engine: self.engine, started_at: self.born }.may_be(incarnation)
    }
}

/// The crashes of one request or part, by slot.
pub type Crashes<const N: usize> = [Option<Crash>; N];

/// Progress of a case when a call was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Epoch of the case.
    pub(super) epoch: u32,
    /// Number of crashes counted.
    pub(super) crashes: usize,
}

/// What may be done with a request, from the least to the most strict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// No crash is counted.
    Clear,
    /// Engines have crashed while running it. It runs where a crash does the least harm.
    Suspect,
    /// One more crash holds it back. It runs at one engine at a time.
    Trial,
    /// It is held back until the crashes of its engines are confirmed or refuted.
    Unconfirmed,
    /// It is held back, and all crashes are proven.
    Held,
}

/// Information about a request for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSummary {
    /// The customer that sent it, if known.
    pub customer: Option<Arc<str>>,
    /// Path of the request.
    pub path: Arc<str>,
}

/// A case as boxes announce it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(serialize = "Crashes<N>: Serialize", deserialize = "Crashes<N>: Deserialize<'de>"))]
pub struct Announcement<const N: usize> {
    /// Signature of the request or part.
    pub signature: Signature,
    /// Epoch of the case.
    pub epoch: u32,
    /// The crashes, by slot.
    pub crashes: Crashes<N>,
    /// When the last crash was counted, in seconds of Unix time.
    pub at: u64,
}

/// The crashes attributed to one request or part of prompts, up to the number that holds it back.
#[derive(Debug, Clone)]
pub struct Case<const N: usize> {
    /// Epoch of the case, which increases when the case is closed.
    pub(super) epoch: u32,
    /// The crashes, by slot.
    pub(super) crashes: Crashes<N>,
    /// When the last crash was counted, in seconds of Unix time.
    pub at: u64,
    /// The summary for operators, if this box has received the request, or one with the part.
    pub about: Option<RequestSummary>,
    /// The name of the part, if the case is about one and the name is known.
    pub name: Option<Arc<str>>,
    /// The software versions of the engines that crashed under the part, as far as they are known.
    pub versions: BTreeSet<VersionKey>,
    /// Whether the hold has been reported.
    pub(super) is_held: bool,
    /// When the case last changed at this box.
    pub(super) changed: Time,
    /// When the request, or an announcement that changed the case, last arrived.
    pub(super) seen: Time,
    /// When the case is due to be stored, if the store lacks it.
    pub(super) save_due_at: Option<Time>,
    /// When an announcement of an earlier epoch was last corrected.
    pub(super) corrected_at: Option<Time>,
}

impl<const N: usize> Case<N> {
    /// Creates a case without a crash.
    pub(super) fn new(now: Time) -> Case<N> {
        Case {
            epoch: 0,
            crashes: [None; N],
            at: 0,
            about: None,
            name: None,
            versions: BTreeSet::new(),
            is_held: false,
            changed: now,
            seen: now,
            save_due_at: None,
            corrected_at: None,
        }
    }

    /// Returns the number of crashes.
    pub fn count(&self) -> usize {
        self.crashes.iter().flatten().count()
    }

    /// Iterates over the crashes.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().flatten()
    }

    /// Returns the progress of the case.
    pub(super) fn progress(&self) -> Progress {
        Progress { epoch: self.epoch, crashes: self.count() }
    }

    /// Returns whether all crashes are proven.
    pub(super) fn is_proven(&self) -> bool {
        self.crashes().all(|it| it.proof == Proof::Proven)
    }

    /// Updates whether the request is held back. Returns whether that has just begun.
    pub(super) fn update_held(&mut self) -> bool {
        let is_held = self.count() == N;
        let was_held = std::mem::replace(&mut self.is_held, is_held);
        is_held && !was_held
    }

    /// Returns what may be done with the request.
    pub(super) fn verdict(&self) -> Verdict {
        match self.count() {
            0 => Verdict::Clear,
            it if it == N && self.is_proven() => Verdict::Held,
            it if it == N => Verdict::Unconfirmed,
            it if it + 1 == N => Verdict::Trial,
            _ => Verdict::Suspect,
        }
    }

    /// Returns the announcement for other boxes, without crashes for which only a connection broke.
    pub(super) fn announcement(&self, signature: Signature) -> Announcement<N> {
        let is_announced = |it: &Crash| it.proof >= Proof::Likely;
        let crashes = self.crashes.map(|it| it.filter(is_announced));
        Announcement { signature, epoch: self.epoch, crashes, at: self.at }
    }

    /// Closes the case; the crashes that are `left` start the next epoch.
    pub(super) fn end(&mut self, left: Crashes<N>) {
        self.epoch += 1;
        self.crashes = left;
        if self.count() == 0 {
            self.versions.clear();
        }
    }

    /// Merges an announcement of the case. Returns whether that changed it.
    pub(super) fn merge(&mut self, announcement: &Announcement<N>) -> bool {
        if announcement.epoch < self.epoch {
            return false;
        }
        let before = (self.epoch, self.crashes);
        if announcement.epoch > self.epoch {
            (self.epoch, self.at) = (announcement.epoch, 0);
            self.crashes = [None; N];
            self.versions.clear();
        }
        for (own, announced) in self.crashes.iter_mut().zip(announcement.crashes) {
            *own = better_known(*own, announced);
        }
        self.at = self.at.max(announcement.at);
        before != (self.epoch, self.crashes)
    }

    /// Returns whether the case has expired.
    pub(super) fn is_over(&self, now: Time, unix: u64) -> bool {
        let unchanged_for = now.since(self.changed);
        match self.count() {
            0 => unchanged_for >= ENDED_RETENTION,
            it if it == N => unix.saturating_sub(self.at) >= HOLD_DURATION.as_secs(),
            _ => unchanged_for >= SUSPECT_RETENTION,
        }
    }

    /// Counts an unconfirmed crash of an engine's incarnation, unless it is counted already.
    /// Returns whether it counts.
    pub(super) fn suspect(&mut self, engine: &Engine) -> bool {
        let Engine { key, started_at: born, .. } = *engine;
        let is_counted = self.crashes().any(|it| (it.engine, it.born) == (key, born));
        let slot = self.crashes.iter_mut().find(|it| it.is_none());
        let Some(slot) = slot.filter(|_| !is_counted) else { return false };
        *slot = Some(Crash { engine: key, born, proof: Proof::Asked });
        true
    }

    /// Drops the crashes of a running incarnation; those that are proven only if it is certainly the
    /// same: its entry was gone for a time. Returns whether other boxes may know of one.
    pub(super) fn clear(&mut self, running: Incarnation) -> bool {
        let is_refuted = |it: &Crash| {
            let is_same = it.born.is_some() && it.born == running.started_at;
            it.matches(running) && (it.proof != Proof::Proven || is_same)
        };
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

    /// Drops crashes that are explained by the case of another request or part, which has reached its
    /// limit. All boxes do the same, so that the epoch stays.
    pub(super) fn drop_explained(&mut self, explained: &[Crash]) {
        let is_explained = |it: &Crash| {
            explained.iter().any(|other| (other.engine, other.born) == (it.engine, it.born))
        };
        self.crashes = self.crashes.map(|it| it.filter(|it| !is_explained(it)));
    }

    /// Returns whether engines of a version have crashed. If there are too many versions to tell, they
    /// have.
    pub(super) fn has_crashed(&self, version: VersionKey) -> bool {
        self.versions.contains(&version) || self.versions.len() >= MAX_VERSIONS
    }

    /// Raises the proof that an incarnation has ended. Returns whether that changed a crash.
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

    /// Drops the crashes that were not proven in time. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let is_overdue = now.since(self.changed) >= PROOF_TIMEOUT;
        if !is_overdue || self.count() == 0 || self.is_proven() {
            return false;
        }
        let left = self.crashes.map(|it| it.filter(|it| it.proof == Proof::Proven));
        self.end(left);
        true
    }

    /// Returns whether to announce a closed case again to a box that missed it, and limits how
    /// often.
    pub(super) fn should_correct(&mut self, now: Time) -> bool {
        let is_due = self.corrected_at.is_none_or(|it| now.since(it) >= MIN_CORRECTION_INTERVAL);
        if is_due {
            self.corrected_at = Some(now);
        }
        is_due
    }
}

/// Returns the better known of two crashes in the same slot. The result is the same on all boxes.
fn better_known(own: Option<Crash>, announced: Option<Crash>) -> Option<Crash> {
    let rank = |it: &Crash| (it.proof, std::cmp::Reverse((it.engine, it.born)));
    [own, announced].into_iter().flatten().max_by_key(rank)
}
