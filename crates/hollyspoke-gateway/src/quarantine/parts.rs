//! Tracks parts of prompts that crash engines, whatever else a prompt contains.
//!
//! A crash breaks the calls of many requests, and each of their prompts has several parts. A part that
//! most requests share is present at nearly every crash, as the harmful one is. They differ in what
//! follows: no engine completes an answer on a harmful part. A complete answer therefore clears its
//! parts at engines of the same software version, whatever crashes there are before or after it.
//!
//! Parts that were not cleared have cases as requests do. A box that has cleared a part corrects the
//! boxes that suspect it.

use std::collections::BTreeMap;
use std::sync::Arc;

use hollyspoke::time::Time;

use super::Quarantine;
use super::answered::Answered;
use super::case::{Announcement, MAX_PART_CRASHES, Progress, RequestSummary, Verdict};
use crate::engine::Engine;
use crate::signature::Signature;
use crate::version::VersionKey;

/// A part's case as boxes announce it to each other.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedAnnouncement {
    /// The case.
    pub case: Announcement<MAX_PART_CRASHES>,
    /// The name of the part, for operators.
    pub name: Option<Arc<str>>,
}

/// The cases of parts and the parts that are cleared, as known to one box.
#[derive(Debug, Clone, Default)]
pub struct Parts {
    /// The cases, by the signature of a part at a software version.
    pub cases: Quarantine<MAX_PART_CRASHES>,
    /// The parts that complete answers have cleared.
    answered: Answered,
    /// When to correct other boxes that suspect a cleared part.
    corrections: BTreeMap<Signature, Time>,
}

impl Parts {
    /// Returns what may be done with requests that have a part.
    pub fn verdict(&self, part: Signature) -> Verdict {
        let verdict = self.cases.verdict(part);
        if verdict != Verdict::Clear && self.answered.contains(part) {
            return Verdict::Clear;
        }
        verdict
    }

    /// Returns the progress of the cases of a prompt's parts at engines of a version, for those that
    /// have one.
    pub fn progress(
        &self,
        parts: &[Signature],
        version: Option<VersionKey>,
    ) -> Vec<(Signature, Progress)> {
        if self.cases.is_empty() {
            return Vec::new();
        }
        let parts = parts.iter().map(|it| it.at_version(version));
        let states = parts.map(|it| (it, self.cases.progress(it)));
        states.filter(|it| it.1 != Progress::default()).collect()
    }

    /// Records that a call broke whose prompt has a part, with the progress of the part's case when
    /// the call was sent, the part's name and a summary of the request. Returns whether the break
    /// counts, in which case the engine has to be probed.
    pub fn suspect(
        &mut self,
        part: Signature,
        progress: Progress,
        engine: &Engine,
        about: (&Arc<str>, RequestSummary),
        now: Time,
    ) -> bool {
        if self.answered.contains(part) {
            return false;
        }
        let (name, about) = about;
        let counts = self.cases.suspect(part, progress, engine, about, now);
        self.cases.record_name(part, name);
        counts
    }

    /// Records a complete answer on a part. Returns whether that closes a case.
    pub fn clear(&mut self, part: Signature, now: Time) -> bool {
        self.answered.record(part, now);
        self.cases.close_case(part, now)
    }

    /// Merges a case received from another box or read from the store, which this box saves at
    /// `save_due_at`. If the part is cleared here, the others are corrected at `correct_at`. Returns
    /// whether the part is held back from now on.
    pub fn receive(
        &mut self,
        announcement: &NamedAnnouncement,
        now: Time,
        save_due_at: Option<Time>,
        correct_at: Time,
    ) -> bool {
        let part = announcement.case.signature;
        let is_held = self.cases.receive(&announcement.case, now, save_due_at);
        if let Some(name) = &announcement.name {
            self.cases.record_name(part, name);
        }
        if !self.answered.contains(part) {
            return is_held;
        }
        if self.cases.verdict(part) != Verdict::Clear {
            self.corrections.entry(part).or_insert(correct_at);
        }
        false
    }

    /// Removes and returns the next announcements for the other boxes.
    pub fn take_unannounced(&mut self) -> Vec<NamedAnnouncement> {
        let announcements = self.cases.take_unannounced();
        announcements.into_iter().map(|it| self.named(it)).collect()
    }

    /// Returns the announcements that each heartbeat repeats.
    pub fn reminder(&self) -> Vec<NamedAnnouncement> {
        self.cases.reminder().into_iter().map(|it| self.named(it)).collect()
    }

    /// Adds the name of the part to an announcement.
    fn named(&self, case: Announcement<MAX_PART_CRASHES>) -> NamedAnnouncement {
        let name = self.cases.case(case.signature).and_then(|it| it.name.clone());
        NamedAnnouncement { case, name }
    }

    /// Closes the cases of cleared parts that are due to be corrected, unless another box has done so.
    pub fn correct(&mut self, now: Time) {
        while let Some((&part, _)) = self.corrections.iter().find(|(_, due)| **due <= now) {
            self.corrections.remove(&part);
            self.cases.close_case(part, now);
        }
    }

    /// Returns when the first correction is due.
    pub fn next_correction(&self) -> Option<Time> {
        self.corrections.values().min().copied()
    }

    /// Drops what has expired, at a Unix time in seconds.
    pub fn sweep(&mut self, now: Time, unix: u64) {
        self.cases.sweep(now, unix);
        self.answered.sweep(now);
    }
}
