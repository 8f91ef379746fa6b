//! Applies the cases of prompts' parts to requests: what a broken call makes suspect, what a complete
//! answer clears, and at which software versions a request may run.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use super::quarantine::summary;
use crate::effect::LogEvent;
use crate::engine::{Engine, Stage};
use crate::in_flight::{Call, InFlight};
use crate::message::{Extension, Message};
use crate::quarantine::{Case, HOLD_DURATION, NamedAnnouncement, Verdict};
use crate::request::{Request, RequestKey};
use crate::signature::Signature;
use crate::version::{SoftwareVersion, VersionKey};

/// How long after the head of its answer a call may be the one that crashes its engine. A harmful
/// request or part crashes an engine as it begins to write.
pub(super) const ONSET_DURATION: Duration = Duration::from_secs(1);

/// The maximum number of parts of one prompt that are suspected or cleared, so that one request does
/// not displace the cases of others.
const MAX_TRACKED_PARTS: usize = 64;

/// Period over which the boxes of a large deployment spread their corrections. Most of them are
/// needless after the first.
const CORRECTION_SPREAD: Duration = Duration::from_millis(300);

/// How long after the end of a stream something must come from its engine to show that it has not
/// crashed then: longer than what it had sent before takes to be read.
const SURVIVAL_DELAY: Duration = Duration::from_millis(100);

/// How long an engine is awaited to speak.
const SURVIVAL_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of streams whose engines are awaited to speak again.
const MAX_UNMARKED_ENDS: usize = 256;

/// The end of a stream without a mark, which is complete unless its engine has crashed.
#[derive(Debug, Clone)]
pub(super) struct UnmarkedEnd {
    /// The engine.
    engine: Arc<Engine>,
    /// The parts of the prompt.
    parts: Vec<Signature>,
    /// When the stream ended.
    ended_at: Time,
}

impl Gateway {
    /// Returns what may be done with a request, by its own case and by those of its prompt's parts.
    pub(super) fn verdict(&self, in_flight: &InFlight) -> Verdict {
        let own = self.quarantine.verdict(in_flight.signature);
        own.max(self.parts_verdict(in_flight))
    }

    /// Returns what the parts of a prompt allow at the version where they allow the most.
    fn parts_verdict(&self, in_flight: &InFlight) -> Verdict {
        let verdicts = self.version_verdicts(in_flight);
        verdicts.iter().map(|it| it.1).min().unwrap_or(Verdict::Clear)
    }

    /// Returns the versions at which a part of a request's prompt is held, unless it is at all.
    pub(super) fn held_versions(&self, in_flight: &InFlight) -> Vec<Option<VersionKey>> {
        let best = self.parts_verdict(in_flight);
        let verdicts = self.version_verdicts(in_flight).into_iter();
        let held = verdicts.filter(|it| it.1 > best && it.1 >= Verdict::Unconfirmed);
        held.map(|it| it.0).collect()
    }

    /// Returns the parts of a prompt that are tried by one request at a time.
    pub(super) fn tried_parts(&self, in_flight: &InFlight) -> Vec<Signature> {
        let versions = self.version_verdicts(in_flight);
        let is_tried = |part: &Signature| {
            versions.iter().any(|it| self.parts.verdict(*part, it.0) == Verdict::Trial)
        };
        in_flight.parts.iter().copied().filter(is_tried).collect()
    }

    /// Returns whether a part of a prompt is tried at the version of an engine.
    pub(super) fn tries_part(&self, in_flight: &InFlight, engine: &Engine) -> bool {
        let version = version_key(engine.version.as_ref());
        in_flight.parts.iter().any(|it| self.parts.verdict(*it, version) == Verdict::Trial)
    }

    /// Returns what the parts of a prompt allow at each version that may write the answer; empty if
    /// no part has a case. Nothing is known of the engines whose version isn't: the strictest verdict
    /// applies there.
    fn version_verdicts(&self, in_flight: &InFlight) -> Vec<(Option<VersionKey>, Verdict)> {
        if in_flight.parts.is_empty() || self.parts.cases.is_empty() {
            return Vec::new();
        }
        let writes = |stage: Option<Stage>| stage != Some(Stage::Prefill);
        let versions: BTreeSet<_> =
            self.directory.versions_of(&in_flight.service.name, writes).collect();
        let verdict_at = |version: Option<VersionKey>| {
            let parts = in_flight.parts.iter().map(|it| self.parts.verdict(*it, version));
            parts.max().unwrap_or(Verdict::Clear)
        };
        let strictest = versions.iter().map(|it| verdict_at(*it)).max().unwrap_or(Verdict::Clear);
        let verdict =
            |it: Option<VersionKey>| if it.is_some() { verdict_at(it) } else { strictest };
        let verdicts: Vec<_> = versions.into_iter().map(|it| (it, verdict(it))).collect();
        let mut fitting = verdicts.clone();
        fitting.retain(|it| in_flight.origin.allows(it.0));
        if fitting.is_empty() { verdicts } else { fitting }
    }

    /// Makes the parts of a broken call's prompt suspect. Returns whether the break counts for any. None
    /// does beside a box of an older version: requests that it sends crash engines again and again, and
    /// it reports neither these crashes nor answers, so that harmless parts would be suspected.
    pub(super) fn suspect_parts(&mut self, call: &Call) -> bool {
        if self.members.has_box_without_parts() {
            return false;
        }
        let Some(in_flight) = self.in_flight.get(&call.request) else { return false };
        if in_flight.parts.is_empty() || !self.may_crash_engine(call) {
            return false;
        }
        let (about, names) = (summary(in_flight), in_flight.request.shared_parts.clone());
        let version = version_key(call.engine.version.as_ref());
        let parts = in_flight.parts.iter().copied().zip(names.iter());
        let mut parts: Vec<_> = parts.filter(|it| !self.parts.is_cleared(it.0, version)).collect();
        parts.sort_by_key(|it| self.parts.cases.verdict(it.0) == Verdict::Clear);
        parts.truncate(MAX_TRACKED_PARTS);
        let mut counts = false;
        for (part, name) in parts {
            let before = call.part_states.iter().find(|it| it.0 == part);
            let before = before.map(|it| it.1).unwrap_or_default();
            let about = (name, about.clone());
            counts |= self.parts.suspect(part, before, &call.engine, about, self.now);
        }
        counts
    }

    /// Returns whether a call is in the time in which a harmful part of its prompt crashes its engine.
    pub(super) fn may_crash_engine(&self, call: &Call) -> bool {
        call.begun_at.is_none_or(|it| self.now.since(it) < ONSET_DURATION)
    }

    /// Clears the parts of the prompt of a call whose answer is complete. The answer to a client that
    /// resumes a stream may be complete without an event.
    pub(super) fn clear_parts(&mut self, call: &Call) {
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        if in_flight.request.last_event.is_some() && !call.progress.has_events() {
            return;
        }
        let parts = self.parts_to_clear(in_flight);
        self.clear_all(&parts, &call.engine);
    }

    /// Clears the suspected parts of the prompt of a call that is writing for longer than a harmful part
    /// lets its engine live. Waiting for the end of a long answer would hold up the other requests with
    /// a popular part.
    pub(super) fn clear_outlived_parts(&mut self, call: &Call) {
        if self.parts.cases.is_empty() {
            return;
        }
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        let version = version_key(call.engine.version.as_ref());
        let is_suspected = |it: &Signature| {
            self.parts.cases.case(*it).is_some() && !self.parts.is_cleared(*it, version)
        };
        let parts: Vec<_> = in_flight.parts.iter().copied().filter(is_suspected).collect();
        self.clear_all(&parts, &call.engine);
    }

    /// Records that a stream has ended without a mark. Its parts are cleared once something comes from
    /// its engine, which has not crashed then.
    pub(super) fn await_survival(&mut self, call: &Call) {
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        let parts = self.parts_to_clear(in_flight);
        if parts.is_empty() || self.unmarked_ends.len() >= MAX_UNMARKED_ENDS {
            return;
        }
        let (engine, ended_at) = (call.engine.clone(), self.now);
        self.unmarked_ends.push(UnmarkedEnd { engine, parts, ended_at });
    }

    /// Clears the parts of streams that ended at an engine before something came from it.
    pub(super) fn clear_survived(&mut self, engine: &Engine) {
        if self.unmarked_ends.is_empty() {
            return;
        }
        let now = self.now;
        let has_survived = |it: &mut UnmarkedEnd| {
            it.engine.is_same_incarnation(engine) && now.since(it.ended_at) >= SURVIVAL_DELAY
        };
        let survived: Vec<_> = self.unmarked_ends.extract_if(.., has_survived).collect();
        for end in survived {
            self.clear_all(&end.parts, &end.engine);
        }
    }

    /// Drops streams that ended without a mark, and whose engines have not spoken since.
    pub(super) fn sweep_unmarked_ends(&mut self) {
        let now = self.now;
        self.unmarked_ends.retain(|it| now.since(it.ended_at) < SURVIVAL_TIMEOUT);
    }

    /// Returns the parts of a prompt that an answer clears: the first ones, and those with a case.
    fn parts_to_clear(&self, in_flight: &InFlight) -> Vec<Signature> {
        let has_case = |it: &Signature| self.parts.cases.case(*it).is_some();
        let parts = in_flight.parts.iter().enumerate();
        let cleared = parts.filter(|(place, it)| *place < MAX_TRACKED_PARTS || has_case(it));
        cleared.map(|it| *it.1).collect()
    }

    /// Clears parts at the version of an engine.
    fn clear_all(&mut self, parts: &[Signature], engine: &Engine) {
        let version = version_key(engine.version.as_ref());
        for &signature in parts {
            if self.parts.clear(signature, version, self.now) {
                self.log(LogEvent::Released { signature, outcome: "answered" });
            }
        }
    }

    /// Records that a request has arrived whose prompt has parts with a case.
    pub(super) fn record_parts_seen(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        let about = summary(in_flight);
        for (part, name) in in_flight.parts.iter().zip(&*in_flight.request.shared_parts) {
            self.parts.cases.record_seen(*part, self.now, || about.clone());
            self.parts.cases.record_name(*part, name);
        }
    }

    /// Handles the cases of parts that another box announces or that the store has.
    pub(super) fn receive_parts(
        &mut self,
        announcements: &[NamedAnnouncement],
        save_due_at: Option<Time>,
    ) {
        let mut held = Vec::new();
        for announcement in announcements {
            let correct_at = self.now + self.correction_delay();
            if self.parts.receive(announcement, self.now, save_due_at, correct_at) {
                held.push(announcement.case.signature);
            }
        }
        self.hold_parts(&held);
    }

    /// Returns when this box corrects others that suspect a part which it has cleared.
    fn correction_delay(&mut self) -> Duration {
        if self.members.is_large() {
            CORRECTION_SPREAD.mul_f64(self.draw_share())
        } else {
            Duration::ZERO
        }
    }

    /// Logs parts that are held back from now on. The crashes of their cases don't count for others
    /// any more, unless those are held as well: nothing tells apart parts that always come together.
    pub(super) fn hold_parts(&mut self, signatures: &[Signature]) {
        for &signature in signatures {
            let Some(case) = self.parts.cases.case(signature) else { continue };
            let crashes: Vec<_> = case.crashes().copied().collect();
            let engines: Vec<_> = crashes.iter().map(|it| self.engine_name(it.engine)).collect();
            let event = LogEvent::Quarantined {
                signature,
                part: Some(part_name(signature, case)),
                about: case.about.clone(),
                engines: engines.join(" "),
                until: case.at + HOLD_DURATION.as_secs(),
            };
            self.log(event);
            self.parts.cases.drop_explained(&crashes);
            self.quarantine.drop_explained(&crashes);
        }
    }

    /// Announces all changed cases of parts to all boxes.
    pub(super) fn announce_parts(&mut self) {
        self.parts.correct(self.now);
        while self.parts.cases.has_unannounced() {
            let parts = self.parts.take_unannounced();
            if !parts.is_empty() {
                let extension = Extension { parts, ..Extension::default() }.non_empty();
                let message = Message { extension, ..self.message(false) };
                self.send_to_all(message);
            }
        }
    }
}

/// Returns the name of a held part, or its displayed signature if no name is known.
pub(super) fn part_name<const N: usize>(signature: Signature, case: &Case<N>) -> Arc<str> {
    case.name.clone().unwrap_or_else(|| signature.short().into())
}

/// Returns the signatures of the parts of a prompt that other requests to a service may share.
pub(super) fn part_signatures(service: &str, request: &Request) -> Box<[Signature]> {
    request.shared_parts.iter().map(|it| Signature::of_part(service, it)).collect()
}

/// Returns the key of a version, if known.
fn version_key(version: Option<&SoftwareVersion>) -> Option<VersionKey> {
    version.map(SoftwareVersion::key)
}
