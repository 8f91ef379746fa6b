//! Detects requests that crash their engines, holds them back, announces them to the other boxes
//! and releases them.
//!
//! A broken call makes its request a suspect immediately, and its engine is probed. If the request
//! stayed unsuspected until the probe was answered or the engine was back, each retry could crash
//! another engine meanwhile. Being a suspect costs an innocent request little.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::time::Time;

use super::Gateway;
use super::cases::BACKUP_DELAY;
use super::contact::Finding;
use super::parts::{ONSET_DURATION, part_name};
use crate::effect::{Effect, LogEvent, NotRunReason, Refusal};
use crate::engine::{Engine, EngineKey};
use crate::event::Probe;
use crate::in_flight::{Call, InFlight};
use crate::member::address_hash;
use crate::message::Message;
use crate::placement::Separation;
use crate::quarantine::{Case, HOLD_DURATION, Incarnation, Proof, RequestSummary, Verdict};
use crate::request::{CallKey, RequestKey};
use crate::signature::Signature;

/// Retry delay for a request that is held back until the crashes of its engines are confirmed:
/// about the time that engines take to restart.
const UNCONFIRMED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How long a request waits while another try of it runs. Most tries are answered or broken by
/// then.
const MAX_TRIAL_WAIT: Duration = Duration::from_millis(600);

/// How long an engine must be missing from the directory before its crash counts as proven: longer
/// than the entry of an engine that has just registered takes to reach all boxes.
const UNLISTED_PROOF_DELAY: Duration = Duration::from_secs(4);

/// A held request or part of prompts, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRequest {
    /// The displayed prefix of its signature.
    pub short: String,
    /// The name of the part; none if the request as such is held.
    pub part: Option<Arc<str>>,
    /// The customer that sent it, if known.
    pub customer: Option<Arc<str>>,
    /// Its path, if this box knows it.
    pub path: Option<Arc<str>>,
    /// The engines that crashed: their ids, or the hexadecimal keys of those no longer listed.
    pub engines: Vec<String>,
    /// Whether all crashes are proven.
    pub is_proven: bool,
    /// When the last crash was recorded, in seconds of Unix time.
    pub since: u64,
    /// When the hold ends, in seconds of Unix time.
    pub until: u64,
}

impl Gateway {
    /// Returns the Unix time in seconds.
    pub(super) fn unix_time(&self) -> u64 {
        self.settings.unix_start + self.now.since(Time::ZERO).as_secs()
    }

    /// Records that a call broke, or that its engine timed out. At an engine that is shutting down
    /// this proves nothing, since the engine may have stopped as planned.
    pub(super) fn suspect(&mut self, call: &Call) {
        let Some(record) = self.directory.get(call.engine.key) else { return };
        if record.engine.is_draining || record.is_missing() || self.terms.is_leaving(&record.engine)
        {
            return;
        }
        let is_back = record.engine.started_at != call.engine.started_at;
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        let (signature, about) = (in_flight.signature, summary(in_flight));
        let engine = &call.engine;
        let counts = !call.has_outlived_onset
            && self.quarantine.suspect(signature, call.case_state, engine, about, self.now);
        if !self.suspect_parts(call) && !counts {
            return;
        }
        if is_back {
            return self.confirm(
                Incarnation { engine: engine.key, started_at: engine.started_at },
                Proof::Proven,
            );
        }
        self.probe(&call.engine);
    }

    /// Probes an engine, unless it is being probed or accepts no probes for now.
    pub(super) fn probe(&mut self, engine: &Arc<Engine>) {
        if self.accepts_probe(engine.key) && !self.probing.contains_key(&engine.key) {
            let now = self.now;
            self.probing.insert(engine.key, now);
            if let Some(record) = self.directory.get_mut(engine.key) {
                record.health.record_probed(now);
            }
            self.effects.push(Effect::Probe(engine.clone()));
        }
    }

    /// Handles the result of an engine's liveness probe.
    pub(super) fn apply_probe(&mut self, engine: EngineKey, probe: Probe) {
        self.record_probe(engine, probe);
        self.repeat_probe(engine, probe);
    }

    /// Records what a probe has shown of an engine.
    fn record_probe(&mut self, engine: EngineKey, probe: Probe) {
        let probed_at = self.probing.remove(&engine).unwrap_or(self.now);
        let (id, after) = (self.engine_name(engine).into(), self.now.since(probed_at));
        self.log(LogEvent::Probed { id, probe, after });
        self.record_probe_contact(engine, probe, probed_at);
        let asked = Incarnation { engine, started_at: None };
        // What has come from the engine since the probe was sent says more than its failure.
        let is_heard =
            self.directory.get(engine).is_some_and(|it| it.health.was_heard_after(probed_at));
        match probe {
            Probe::NoAnswer | Probe::Broken | Probe::NotConnected if is_heard => {}
            Probe::Alive(started_at) => {
                self.learn_start(engine, started_at);
                self.directory.record_confirmed(engine, started_at, probed_at);
                self.answer_challenge(engine, false);
                self.hear_probed(engine, started_at);
                self.clear_crashes(Incarnation { engine, started_at });
                // The remaining unconfirmed crashes belong to an earlier incarnation.
                self.confirm(asked, Proof::Proven);
            }
            Probe::Replaced => {
                self.answer_challenge(engine, true);
                self.record_silent_unreached(engine);
                self.confirm(asked, Proof::Proven);
            }
            // A process that accepts connections has not crashed.
            // The calls that wait for this are checked by the time at which the probe ends.
            Probe::NoAnswer => return self.record_unanswered(engine),
            Probe::Broken | Probe::NotConnected => {
                self.record_silent_unreached(engine);
                self.report_finding(engine, Finding::Crashed);
            }
            // This shows nothing about the engine.
            Probe::Exhausted => return,
        }
        self.recheck_silent(engine);
    }

    /// Records what a probe shows about the contact with the engine's service.
    fn record_probe_contact(&mut self, engine: EngineKey, probe: Probe, probed_at: Time) {
        let Some(record) = self.directory.get(engine) else { return };
        let engine = record.engine.clone();
        match probe {
            Probe::Alive(_) | Probe::Replaced | Probe::NoAnswer | Probe::Broken => {
                self.record_reached(&engine, probed_at);
            }
            Probe::NotConnected => self.record_unreached(&engine, probed_at),
            Probe::Exhausted => {}
        }
    }

    /// Records how certain it is that an engine has crashed.
    pub(super) fn confirm(&mut self, ended: Incarnation, proof: Proof) {
        let unix = self.unix_time();
        let held_parts = self.parts.confirm(ended, proof, self.now, unix);
        self.hold_parts(&held_parts);
        let held = self.quarantine.confirm(ended, proof, self.now, unix);
        self.log_held(&held);
    }

    /// Records that an incarnation of an engine is still running.
    pub(super) fn clear_crashes(&mut self, running: Incarnation) {
        self.quarantine.clear(running, self.now);
        self.parts.refute(running, self.now);
    }

    /// Handles engines that ended without announcing it: every call that broke there is attributed
    /// to a crash, and whatever was known of the engine is dropped.
    pub(super) fn handle_ended_engines(&mut self) {
        for engine in self.directory.take_ended() {
            // An engine that announced its shutdown has stopped as planned.
            if !self.terms.is_leaving(&engine) {
                self.confirm(
                    Incarnation { engine: engine.key, started_at: engine.started_at },
                    Proof::Proven,
                );
            }
            self.prompts.forget(engine.key);
            self.terms.limits.forget(engine.key);
            self.paces.forget(engine.key);
            self.works.forget(engine.key);
            self.drop_handles(&engine);
            self.drop_change(engine.key);
        }
    }

    /// Drops the prefilled prompts at an engine that no request has used yet: the engine no longer
    /// holds them.
    fn drop_handles(&mut self, engine: &Engine) {
        for in_flight in self.in_flight.values_mut() {
            in_flight.source.take_if(|it| it.address == engine.address);
        }
    }

    /// Records that a request was answered completely, or for long enough.
    pub(super) fn close_case(&mut self, signature: Signature) {
        if self.quarantine.close_case(signature, self.now) {
            self.log(LogEvent::Released { signature, outcome: "answered" });
        }
    }

    /// Records that an event has come from the engine of a call. If it has been writing for longer than
    /// a harmful request lets an engine live, neither the request nor its prompt is harmful there, as
    /// if the answer were complete.
    pub(super) fn record_outlived(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let is_outlived = |it| self.now.since(it) >= ONSET_DURATION + call.paused;
        if !call.first_event_at.is_some_and(is_outlived) {
            return;
        }
        call.has_outlived_onset = true;
        if self.quarantine.is_empty() && self.parts.cases.is_empty() {
            return;
        }
        let call = call.clone();
        self.clear_outlived_parts(&call);
        let signature = self.in_flight.get(&call.request).map(|it| it.signature);
        if let Some(signature) = signature {
            self.close_case(signature);
        }
    }

    /// Releases the held requests and parts whose signature starts with `short`.
    pub(super) fn release_held(&mut self, short: &str) {
        for signature in self.quarantine.find_held(short) {
            self.quarantine.close_case(signature, self.now);
            self.log(LogEvent::Released { signature, outcome: "lifted" });
        }
        for signature in self.parts.cases.find_held(short) {
            self.parts.cases.close_case(signature, self.now);
            self.log(LogEvent::Released { signature, outcome: "lifted" });
        }
    }

    /// Returns the held requests and parts.
    pub fn held(&self) -> Vec<HeldRequest> {
        let requests = self.quarantine.held().map(|(signature, it)| self.held_entry(signature, it));
        let parts = self.parts.cases.held().map(|(signature, it)| HeldRequest {
            part: Some(part_name(signature, it)),
            ..self.held_entry(signature, it)
        });
        requests.chain(parts).collect()
    }

    /// Returns a held request as shown to operators.
    fn held_entry<const N: usize>(&self, signature: Signature, case: &Case<N>) -> HeldRequest {
        HeldRequest {
            short: signature.short(),
            part: None,
            customer: case.about.as_ref().and_then(|it| it.customer.clone()),
            path: case.about.as_ref().map(|it| it.path.clone()),
            engines: case.crashes().map(|it| self.engine_name(it.engine)).collect(),
            is_proven: case.crashes().all(|it| it.proof == Proof::Proven),
            since: case.at,
            until: case.at + HOLD_DURATION.as_secs(),
        }
    }

    /// Returns an engine's id, or its key in hexadecimal if it is no longer listed.
    pub(super) fn engine_name(&self, engine: EngineKey) -> String {
        let record = self.directory.get(engine);
        record.map_or_else(|| format!("{:016x}", engine.0), |it| it.engine.id.to_string())
    }

    /// Returns whether a request may be sent now. If not, it waits or is refused.
    pub(super) fn may_run(&mut self, key: RequestKey) -> bool {
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        let verdict = self.verdict(in_flight);
        if verdict == Verdict::Clear {
            return true;
        }
        let (signature, about) = (in_flight.signature, summary(in_flight));
        self.quarantine.record_seen(signature, self.now, || about);
        self.record_parts_seen(key);
        match verdict {
            Verdict::Clear | Verdict::Suspect => return true,
            Verdict::Trial if !self.has_running_trial(key) => return true,
            Verdict::Trial => self.wait_for_trial(key),
            Verdict::Unconfirmed => {
                self.give_up_with_retry(key, NotRunReason::UnderSuspicion, UNCONFIRMED_RETRY_DELAY)
            }
            Verdict::Held => self.refuse_held(key),
        }
        false
    }

    /// Refuses a held request with an answer that does not invite a retry. A request that has run
    /// at an engine can't be reported as not run.
    fn refuse_held(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        let Some(proof) = in_flight.trace.not_run().filter(|_| !in_flight.has_begun) else {
            return self.give_up(key, NotRunReason::UnderSuspicion);
        };
        if self.return_to_kept(key) {
            return;
        }
        self.refund_units(key);
        self.effects.push(Effect::Refuse(key, Refusal::Quarantined(proof)));
        self.end(key, "held back");
    }

    /// Returns whether another try of the same request is running, or a request with the same
    /// suspected part that may crash its engine yet.
    fn has_running_trial(&self, key: RequestKey) -> bool {
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        let is_request_tried = self.quarantine.verdict(in_flight.signature) == Verdict::Trial;
        let tried_parts = self.tried_parts(in_flight);
        let others = self.calls.values().filter(|it| it.request != key);
        let mut others = others.filter_map(|it| Some((it, self.in_flight.get(&it.request)?)));
        others.any(|(call, other)| {
            is_request_tried && !call.has_outlived_onset && other.signature == in_flight.signature
                || self.may_crash_engine(call)
                    && tried_parts.iter().any(|it| other.parts.contains(it))
        })
    }

    /// Returns whether a request may run at an engine only as a trial, by its own case or by that of a
    /// part of its prompt.
    pub(super) fn is_trial(&self, key: RequestKey, engine: &Engine) -> bool {
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        self.quarantine.verdict(in_flight.signature) == Verdict::Trial
            || self.tries_part(in_flight, engine)
    }

    /// Lets a request wait until the running try of the same request has ended.
    fn wait_for_trial(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        if in_flight.waits_until.is_some() {
            return;
        }
        let until = in_flight.deadline.min(self.now + MAX_TRIAL_WAIT);
        in_flight.waits_until = Some(until);
        self.waiting.push(key);
        self.wake_at(key, Some(until));
    }

    /// Returns what keeps a request and others apart that may crash their engines.
    pub(super) fn separation(&self, in_flight: &InFlight) -> Separation {
        let trials = self.calls.values().filter(|it| it.is_trial).map(|it| it.engine.key);
        Separation {
            is_suspect: self.verdict(in_flight) != Verdict::Clear,
            trials: trials.collect(),
            held_versions: self.held_versions(in_flight),
        }
    }

    /// Handles the cases that another box announces.
    pub(super) fn receive_cases(&mut self, message: &Message) {
        let parts = message.extension.as_ref().map_or(&[][..], |it| &it.parts);
        if message.crashes.is_empty() && parts.is_empty() {
            return;
        }
        let save_due_at = self.follows_store().then(|| self.now + BACKUP_DELAY);
        self.receive_parts(parts, save_due_at);
        for announcement in &message.crashes {
            if self.quarantine.receive(announcement, self.now, save_due_at) {
                self.log_held(&[announcement.signature]);
            }
        }
        self.may_have_capacity = true;
    }

    /// Announces all changed cases to all boxes.
    pub(super) fn announce_cases(&mut self) {
        while self.quarantine.has_unannounced() {
            let crashes = self.quarantine.take_unannounced();
            if !crashes.is_empty() {
                let message = Message { crashes, ..self.message(false) };
                self.send_to_all(message);
            }
        }
        self.announce_parts();
    }

    /// Marks crashes as proven whose engine is listed with a later incarnation, or no longer
    /// listed. A box that has started since then receives no change event that would show it.
    fn prove_from_directory(&mut self) {
        let is_empty = self.quarantine.is_empty() && self.parts.cases.is_empty();
        if is_empty || !self.are_engines_listed || self.missing_until().is_some() {
            return;
        }
        let unproven = [self.quarantine.unproven(), self.parts.cases.unproven()].concat();
        for (incarnation, since) in unproven {
            let is_gone = match self.directory.get(incarnation.engine) {
                Some(record) => {
                    incarnation.started_at.is_some()
                        && record.engine.started_at > incarnation.started_at
                }
                None => self.now.since(since) >= UNLISTED_PROOF_DELAY,
            };
            if is_gone {
                self.confirm(incarnation, Proof::Proven);
            }
        }
    }

    /// Probes the engines that are listed again as they were when they counted as crashed: the entry
    /// of an engine that is silent for some seconds lapses, and the engine comes back. In a large
    /// deployment, one box probes each engine.
    fn probe_returned_engines(&mut self) {
        let mut proven = self.quarantine.proven();
        proven.append(&mut self.parts.cases.proven());
        if proven.is_empty() {
            return;
        }
        let own = address_hash(&self.settings.peer);
        let others = self.members.is_large().then(|| self.members.alive_hashes(false));
        let others = others.unwrap_or_default();
        let is_assigned = |engine: EngineKey| {
            rank::first(engine.0, others.iter().copied().chain([own])) == Some(own)
        };
        for (engine, started_at) in proven {
            let Some(record) = self.directory.get(engine) else { continue };
            let is_back = record.engine.started_at == Some(started_at)
                && record.is_open(self.now)
                && is_assigned(engine);
            if is_back {
                self.probe(&record.engine.clone());
            }
        }
    }

    /// Proves crashes from the directory or has them refuted, and drops what has expired.
    pub(super) fn sweep_quarantine(&mut self) {
        self.prove_from_directory();
        self.probe_returned_engines();
        let unix = self.unix_time();
        self.quarantine.sweep(self.now, unix);
        self.parts.sweep(self.now, unix);
        self.sweep_unmarked_ends();
    }

    /// Logs requests that are held back from now on.
    pub(super) fn log_held(&mut self, signatures: &[Signature]) {
        for &signature in signatures {
            let Some(case) = self.quarantine.case(signature) else { continue };
            let engines: Vec<_> = case.crashes().map(|it| self.engine_name(it.engine)).collect();
            let (about, until) = (case.about.clone(), case.at + HOLD_DURATION.as_secs());
            let engines = engines.join(" ");
            self.log(LogEvent::Quarantined { signature, part: None, about, engines, until });
        }
    }

    /// Returns whether a call was sent to the currently listed incarnation of its engine. The
    /// outcome of a call to an earlier one says nothing about the current one.
    pub(super) fn is_current_incarnation(&self, call: &Call) -> bool {
        let record = self.directory.get(call.engine.key);
        record.is_none_or(|it| it.engine.started_at == call.engine.started_at)
    }
}

/// Returns the summary of a request for operators.
pub(super) fn summary(in_flight: &InFlight) -> RequestSummary {
    RequestSummary {
        customer: in_flight.customer.as_ref().map(|it| it.name.clone()),
        path: in_flight.request.path.as_str().into(),
    }
}
