//! Requests that crash their engines: found out, held back, told to the other boxes and let go.
//!
//! A call that breaks makes its request a suspect at once, and its engine is asked whether it lives.
//! Waiting for the answer, or for the engine to be back, would let the request crash another engine
//! with each try meanwhile; being a suspect costs an innocent request little.

use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::cases::BACKUP_DELAY;
use crate::effect::{Effect, LogEvent, NotRunReason, Refusal};
use crate::engine::{Engine, EngineKey};
use crate::event::Probe;
use crate::in_flight::{Call, InFlight};
use crate::message::Message;
use crate::quarantine::{HOLD_DURATION, Incarnation, Proof, RequestSummary, Verdict};
use crate::request::RequestKey;
use crate::signature::Signature;

/// When a client may come back whose request is held back until it is known whether its engines
/// have crashed: about as long as these take to be back.
const UNCONFIRMED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How long a request waits while the same one is tried: most are answered or broken by then.
const MAX_TRIAL_WAIT: Duration = Duration::from_millis(600);

/// How long an engine must be missing in the list for its crash to be taken for proven: longer than
/// word of an engine that has just entered itself takes to come to all boxes.
const UNLISTED_PROOF_DELAY: Duration = Duration::from_secs(4);

/// A request that is held back, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRequest {
    /// The shown part of its signature.
    pub short: String,
    /// The customer that sent it, if it is known.
    pub customer: Option<Arc<str>>,
    /// Its path, if this box knows it.
    pub path: Option<Arc<str>>,
    /// The engines that crashed: their ids, or short names where they are not listed any more.
    pub engines: Vec<String>,
    /// Whether all crashes are proven.
    pub is_proven: bool,
    /// When the last crash was noted, in seconds of Unix time.
    pub since: u64,
    /// Until when it is held back, in seconds of Unix time.
    pub until: u64,
}

impl Gateway {
    /// Gives the Unix time, in seconds.
    pub(super) fn unix_time(&self) -> u64 {
        self.settings.unix_start + self.now.since(hollyspoke::time::Time::ZERO).as_secs()
    }

    /// Notes that a call broke, or that its engine fell silent. One at an engine that is about to
    /// leave proves nothing: it may have ended as planned.
    pub(super) fn suspect(&mut self, call: &Call) {
        let Some(known) = self.directory.get(call.engine.key) else { return };
        if known.engine.is_draining || known.is_missing() || self.terms.is_leaving(&known.engine) {
            return;
        }
        let is_back = known.engine.started_at != call.engine.started_at;
        let Some(flight) = self.in_flight.get(&call.request) else { return };
        let (signature, about) = (flight.signature, summary(flight));
        let engine = &call.engine;
        if !self.quarantine.suspect(signature, call.case_state, engine, about, self.now) {
            return;
        }
        if is_back {
            return self.confirm(
                Incarnation { engine: engine.key, started_at: engine.started_at },
                Proof::Proven,
            );
        }
        if self.accepts_probe(engine.key) && self.probing.insert(engine.key) {
            self.effects.push(Effect::Probe(call.engine.clone()));
        }
    }

    /// Takes an engine's answer to the question whether it lives.
    pub(super) fn probed(&mut self, engine: EngineKey, probe: Probe) {
        self.probing.remove(&engine);
        let asked = Incarnation { engine, started_at: None };
        match probe {
            Probe::Alive(started_at) => {
                self.quarantine.clear(Incarnation { engine, started_at }, self.now);
                // What is still in question broke in an earlier life.
                self.confirm(asked, Proof::Proven);
            }
            Probe::Replaced => self.confirm(asked, Proof::Proven),
            Probe::Silent => self.confirm(asked, Proof::Likely),
        }
    }

    /// Notes how well it is known that an engine has crashed.
    fn confirm(&mut self, ended: Incarnation, proof: Proof) {
        let unix = self.unix_time();
        let held = self.quarantine.confirm(ended, proof, self.now, unix);
        self.log_held(&held);
    }

    /// Takes the engines that have ended without a word: whatever broke there crashed with them, and
    /// nothing that was known of them holds.
    pub(super) fn take_ended(&mut self) {
        for engine in self.directory.take_ended() {
            // One that had said that it leaves has ended as planned.
            if !self.terms.is_leaving(&engine) {
                self.confirm(
                    Incarnation { engine: engine.key, started_at: engine.started_at },
                    Proof::Proven,
                );
            }
            self.prompts.forget(engine.key);
            self.terms.limits.forget(engine.key);
            self.drop_handles(&engine);
            self.drop_change(engine.key);
        }
    }

    /// Drops the prompts that an engine had read for requests and that nobody has taken: it does not
    /// keep them any more.
    fn drop_handles(&mut self, engine: &Engine) {
        for flight in self.in_flight.values_mut() {
            flight.source.take_if(|it| it.address == engine.address);
        }
    }

    /// Notes that a request was answered whole.
    pub(super) fn close_case(&mut self, signature: Signature) {
        if self.quarantine.close_case(signature, self.now) {
            self.log(LogEvent::Released { signature, outcome: "answered" });
        }
    }

    /// Lets the requests go whose signature begins as shown.
    pub(super) fn release_held(&mut self, short: &str) {
        for signature in self.quarantine.find_held(short) {
            self.quarantine.close_case(signature, self.now);
            self.log(LogEvent::Released { signature, outcome: "lifted" });
        }
    }

    /// Gives the requests that are held back.
    pub fn held(&self) -> Vec<HeldRequest> {
        let held = self.quarantine.held();
        held.map(|(signature, case)| HeldRequest {
            short: signature.short(),
            customer: case.about.as_ref().and_then(|it| it.customer.clone()),
            path: case.about.as_ref().map(|it| it.path.clone()),
            engines: case.crashes().map(|it| self.engine_name(it.engine)).collect(),
            is_proven: case.crashes().all(|it| it.proof == Proof::Proven),
            since: case.at,
            until: case.at + HOLD_DURATION.as_secs(),
        })
        .collect()
    }

    /// Gives an engine's id, or its short name if it is not listed any more.
    pub(super) fn engine_name(&self, engine: EngineKey) -> String {
        let known = self.directory.get(engine);
        known.map_or_else(|| format!("{:016x}", engine.0), |it| it.engine.id.to_string())
    }

    /// Tells whether a request may be sent now; one that may not waits or is refused.
    pub(super) fn may_run(&mut self, key: RequestKey) -> bool {
        let Some(flight) = self.in_flight.get(&key) else { return false };
        let signature = flight.signature;
        let verdict = self.quarantine.verdict(signature);
        if verdict == Verdict::Clear {
            return true;
        }
        let about = summary(flight);
        self.quarantine.record_seen(signature, self.now, || about);
        match verdict {
            Verdict::Clear | Verdict::Suspect => return true,
            Verdict::Trial if !self.has_running_trial(key, signature) => return true,
            Verdict::Trial => self.wait_for_trial(key),
            Verdict::Unconfirmed => {
                self.give_up_with_retry(key, NotRunReason::UnderSuspicion, UNCONFIRMED_RETRY_DELAY)
            }
            Verdict::Held => self.refuse_held(key),
        }
        false
    }

    /// Gives an answer to a request that is held back that does not ask the client to come again. One
    /// that has run at an engine can't be told that it has not.
    fn refuse_held(&mut self, key: RequestKey) {
        let Some(flight) = self.in_flight.get(&key) else { return };
        let Some(proof) = flight.trace.not_run().filter(|_| !flight.has_begun) else {
            return self.give_up(key, NotRunReason::UnderSuspicion);
        };
        self.refund_units(key);
        self.effects.push(Effect::Refuse(key, Refusal::Quarantined(proof)));
        self.end(key, "held back");
    }

    /// Tells whether another try of the same request is under way.
    fn has_running_trial(&self, key: RequestKey, signature: Signature) -> bool {
        let of = |it: &Call| self.in_flight.get(&it.request).map(|it| it.signature);
        self.calls.values().any(|it| it.request != key && of(it) == Some(signature))
    }

    /// Has a request wait until the same one was tried.
    fn wait_for_trial(&mut self, key: RequestKey) {
        let Some(flight) = self.in_flight.get_mut(&key) else { return };
        if flight.waits_until.is_some() {
            return;
        }
        let until = flight.deadline.min(self.now + MAX_TRIAL_WAIT);
        flight.waits_until = Some(until);
        self.waiting.push(key);
        self.wake_at(key, Some(until));
    }

    /// Gives the engines at which requests are tried that are all but held back.
    pub(super) fn trials(&self) -> Vec<EngineKey> {
        self.calls
            .values()
            .filter(|it| it.case_state.is_next_to_last())
            .map(|it| it.engine.key)
            .collect()
    }

    /// Takes what another box tells of requests under which engines have crashed.
    pub(super) fn receive_cases(&mut self, message: &Message) {
        if message.crashes.is_empty() {
            return;
        }
        let save_due_at = self.follows_store().then(|| self.now + BACKUP_DELAY);
        for announcement in &message.crashes {
            if self.quarantine.receive(announcement, self.now, save_due_at) {
                self.log_held(&[announcement.signature]);
            }
        }
        self.may_have_capacity = true;
    }

    /// Tells all boxes of the cases that have changed.
    pub(super) fn announce_cases(&mut self) {
        while self.quarantine.has_unannounced() {
            let crashes = self.quarantine.take_unannounced();
            if !crashes.is_empty() {
                let message = Message { crashes, ..self.message(false) };
                self.send_to_all(message);
            }
        }
    }

    /// Takes the crashes for proven whose engine is listed in a later life, or not any more. A box that
    /// has started since sees no change that tells it.
    fn prove_from_directory(&mut self) {
        if self.quarantine.is_empty() || !self.are_engines_listed || self.missing_until().is_some()
        {
            return;
        }
        for (incarnation, since) in self.quarantine.unproven() {
            let is_gone = match self.directory.get(incarnation.engine) {
                Some(known) => {
                    incarnation.started_at.is_some()
                        && known.engine.started_at > incarnation.started_at
                }
                None => self.now.since(since) >= UNLISTED_PROOF_DELAY,
            };
            if is_gone {
                self.confirm(incarnation, Proof::Proven);
            }
        }
    }

    /// Proves what can be proven, and drops what is out of date.
    pub(super) fn sweep_quarantine(&mut self) {
        self.prove_from_directory();
        let unix = self.unix_time();
        self.quarantine.sweep(self.now, unix);
    }

    /// Logs requests that are held back from now on.
    pub(super) fn log_held(&mut self, signatures: &[Signature]) {
        for &signature in signatures {
            let Some(case) = self.quarantine.case(signature) else { continue };
            let engines: Vec<_> = case.crashes().map(|it| self.engine_name(it.engine)).collect();
            let (about, until) = (case.about.clone(), case.at + HOLD_DURATION.as_secs());
            self.log(LogEvent::Quarantined { signature, about, engines: engines.join(" "), until });
        }
    }

    /// Tells whether a call goes to the life of its engine that is listed: what became of one that
    /// went to an earlier life says nothing about this one.
    pub(super) fn is_current_incarnation(&self, call: &Call) -> bool {
        let known = self.directory.get(call.engine.key);
        known.is_none_or(|it| it.engine.started_at == call.engine.started_at)
    }
}

/// Gives what operators see of a request.
fn summary(flight: &InFlight) -> RequestSummary {
    RequestSummary {
        customer: flight.customer.as_ref().map(|it| it.name.clone()),
        path: flight.request.path.as_str().into(),
    }
}
