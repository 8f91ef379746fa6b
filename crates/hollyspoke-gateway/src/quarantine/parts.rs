//! Tracks parts of prompts that crash engines, whatever else a prompt contains.
//!
//! A crash breaks the calls of many requests, and each of their prompts has several parts. A part that
//! most requests share is present at nearly every crash, as the harmful one is. They differ in what
//! follows: no engine completes an answer on a harmful part. A complete answer therefore clears its
//! parts at engines of the same software version, whatever crashes there are before or after it.
//!
//! Parts that were not cleared have cases as requests do. Crashes of engines of all versions count
//! together, since a part that crashes one version mostly crashes the others. A box that has cleared
//! a part corrects the boxes that suspect it.

use std::collections::BTreeMap;
use std::sync::Arc;

use hollyspoke::time::Time;

use super::Quarantine;
use super::answered::Answered;
use super::case::{
    Announcement, Incarnation, MAX_PART_CRASHES, PROOF_TIMEOUT, Progress, Proof, RequestSummary,
    Verdict,
};
use crate::engine::Engine;
use crate::signature::Signature;
use crate::version::{SoftwareVersion, VersionKey};

/// A part's case as boxes announce it to each other.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedAnnouncement {
    /// The case.
    pub case: Announcement<MAX_PART_CRASHES>,
    /// The name of the part, for operators.
    pub name: Option<Arc<str>>,
    /// The software versions of the engines that crashed.
    pub versions: Vec<VersionKey>,
}

/// The cases of parts and the parts that are cleared, as known to one box.
#[derive(Debug, Clone, Default)]
pub struct Parts {
    /// The cases, by the signature of the part.
    pub cases: Quarantine<MAX_PART_CRASHES>,
    /// The parts that complete answers have cleared, by their signature at a software version.
    answered: Answered,
    /// When to correct other boxes that suspect a cleared part.
    corrections: BTreeMap<Signature, Time>,
    /// The versions whose engines may have crashed.
    unconfirmed: Vec<UnconfirmedVersion>,
}

/// A version of which an engine may have crashed under a part.
#[derive(Debug, Clone)]
struct UnconfirmedVersion {
    /// The part.
    part: Signature,
    /// The version.
    version: VersionKey,
    /// The incarnation of the engine.
    incarnation: Incarnation,
    /// When the call broke.
    since: Time,
}

impl Parts {
    /// Returns what may be done with requests that have a part, at engines of a version. Where a held
    /// part has crashed no engine of a version, it is tried, unless the outcome of the last trial is not
    /// known yet.
    pub fn verdict(&self, part: Signature, version: Option<VersionKey>) -> Verdict {
        let Some(case) = self.cases.case(part) else { return Verdict::Clear };
        if self.is_cleared(part, version) {
            return Verdict::Clear;
        }
        let verdict = case.verdict();
        match version {
            Some(version)
                if verdict >= Verdict::Unconfirmed && !case.versions.contains(&version) =>
            {
                let is_open = |it: &UnconfirmedVersion| (it.part, it.version) == (part, version);
                let is_unconfirmed = self.unconfirmed.iter().any(is_open);
                if is_unconfirmed { Verdict::Unconfirmed } else { Verdict::Trial }
            }
            _ => verdict,
        }
    }

    /// Returns whether a part needs no case at a version, since an answer has cleared it.
    pub fn is_cleared(&self, part: Signature, version: Option<VersionKey>) -> bool {
        self.answered.contains(part.at_version(version))
    }

    /// Returns the progress of the cases of a prompt's parts, for those that have one.
    pub fn progress(&self, parts: &[Signature]) -> Vec<(Signature, Progress)> {
        if self.cases.is_empty() {
            return Vec::new();
        }
        let states = parts.iter().map(|it| (*it, self.cases.progress(*it)));
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
        let version = engine.version.as_ref().map(SoftwareVersion::key);
        if self.is_cleared(part, version) {
            return false;
        }
        let (name, about) = about;
        let counts = self.cases.suspect(part, progress, engine, about, now);
        self.cases.record_name(part, name);
        let Some(version) = version else { return counts };
        let case = self.cases.case(part);
        let is_trial = case.is_some_and(|it| it.is_held && !it.has_crashed(version));
        if counts || is_trial {
            let incarnation = Incarnation { engine: engine.key, started_at: engine.started_at };
            self.unconfirmed.push(UnconfirmedVersion { part, version, incarnation, since: now });
        }
        counts || is_trial
    }

    /// Records that an incarnation of an engine has ended. Returns the parts that are held back from
    /// now on.
    pub fn confirm(
        &mut self,
        ended: Incarnation,
        proof: Proof,
        now: Time,
        unix: u64,
    ) -> Vec<Signature> {
        let is_ended = |it: &mut UnconfirmedVersion| it.incarnation.may_be(ended);
        for confirmed in self.unconfirmed.extract_if(.., is_ended) {
            if self.cases.record_versions(confirmed.part, &[confirmed.version]) {
                self.cases.mark_changed(vec![confirmed.part], now);
            }
        }
        self.cases.confirm(ended, proof, now, unix)
    }

    /// Records that an incarnation of an engine is still running.
    pub fn refute(&mut self, running: Incarnation, now: Time) {
        self.unconfirmed.retain(|it| !it.incarnation.may_be(running));
        self.cases.clear(running, now);
    }

    /// Records an answer on a part at a version that is complete, or that its engine has been writing for
    /// long enough. Returns whether that closes a case: one of engines of other versions goes on.
    pub fn clear(&mut self, part: Signature, version: Option<VersionKey>, now: Time) -> bool {
        self.answered.record(part.at_version(version), now);
        self.is_refuted(part) && self.cases.close_case(part, now)
    }

    /// Returns whether a part is cleared at all versions whose engines crashed.
    fn is_refuted(&self, part: Signature) -> bool {
        let Some(case) = self.cases.case(part) else { return false };
        let is_cleared = |it| self.is_cleared(part, it);
        if case.versions.is_empty() {
            return is_cleared(None);
        }
        case.versions.iter().all(|it| is_cleared(Some(*it)))
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
        if self.cases.progress(part).epoch == announcement.case.epoch {
            self.cases.record_versions(part, &announcement.versions);
        }
        if self.cases.verdict(part) != Verdict::Clear && self.is_refuted(part) {
            self.corrections.entry(part).or_insert(correct_at);
            return false;
        }
        is_held
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

    /// Adds the name of the part and the versions to an announcement.
    fn named(&self, case: Announcement<MAX_PART_CRASHES>) -> NamedAnnouncement {
        let known = self.cases.case(case.signature);
        let name = known.and_then(|it| it.name.clone());
        let versions = known.map_or(Vec::new(), |it| it.versions.iter().copied().collect());
        NamedAnnouncement { case, name, versions }
    }

    /// Closes the cases of cleared parts that are due to be corrected, unless another box has done so.
    pub fn correct(&mut self, now: Time) {
        while let Some((&part, _)) = self.corrections.iter().find(|(_, due)| **due <= now) {
            self.corrections.remove(&part);
            if self.is_refuted(part) {
                self.cases.close_case(part, now);
            }
        }
    }

    /// Returns when the first correction is due.
    pub fn next_correction(&self) -> Option<Time> {
        self.corrections.values().min().copied()
    }

    /// Drops what has expired, at a Unix time in seconds.
    pub fn sweep(&mut self, now: Time, unix: u64) {
        self.cases.sweep(now, unix);
        self.unconfirmed.retain(|it| now.since(it.since) < PROOF_TIMEOUT);
        self.answered.sweep(now);
    }
}
