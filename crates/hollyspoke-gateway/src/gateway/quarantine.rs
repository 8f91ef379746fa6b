//! Requests that crash their engines: found out, held back, told to the other boxes and let go.
//!
//! A call that breaks makes its request a suspect at once, and its engine is asked whether it lives.
//! Waiting for the answer, or for the engine to be back, would let the request crash another engine
//! with each try meanwhile; being a suspect costs an innocent request little.

use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::cases::BACKUP_AFTER;
use crate::effect::{Effect, LogEvent, NotRunReason, Refusal};
use crate::engine::{Engine, EngineKey};
use crate::event::Probe;
use crate::in_flight::{Call, InFlight};
use crate::message::Message;
use crate::quarantine::{About, HELD_FOR, Life, Proof, Verdict};
use crate::request::RequestKey;
use crate::signature::Signature;

/// When a client may come back whose request is held back until it is known whether its engines
/// have crashed: about as long as these take to be back.
const DOUBTED_RETRY: Duration = Duration::from_secs(2);

/// How long a request waits while the same one is tried: most are answered or broken by then.
const TRIAL_WAIT: Duration = Duration::from_millis(600);

/// How long an engine must be missing in the list for its crash to be taken for proven: longer than
/// word of an engine that has just entered itself takes to come to all boxes.
const UNLISTED_FOR: Duration = Duration::from_secs(4);

/// A request that is held back, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
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
    pub(super) fn unix(&self) -> u64 {
        self.settings.unix_start + self.now.since(hollyspoke::time::Time::ZERO).as_secs()
    }

    /// Notes that a call broke, or that its engine fell silent. One at an engine that is about to
    /// leave proves nothing: it may have ended as planned.
    pub(super) fn suspect(&mut self, call: &Call) {
        let Some(known) = self.directory.get(call.engine.key) else { return };
        if known.engine.is_draining || known.is_missing() || self.terms.is_leaving(&known.engine) {
            return;
        }
        let is_back = known.engine.born != call.engine.born;
        let Some(flight) = self.in_flight.get(&call.request) else { return };
        let (signature, about) = (flight.signature, about(flight));
        let engine = &call.engine;
        if !self.quarantine.suspect(signature, call.case_state, engine, about, self.now) {
            return;
        }
        if is_back {
            return self.confirm(Life { engine: engine.key, born: engine.born }, Proof::Proven);
        }
        if self.takes_probe(engine.key) && self.probing.insert(engine.key) {
            self.effects.push(Effect::Probe(call.engine.clone()));
        }
    }

    /// Takes an engine's answer to the question whether it lives.
    pub(super) fn probed(&mut self, engine: EngineKey, probe: Probe) {
        self.probing.remove(&engine);
        let asked = Life { engine, born: None };
        match probe {
            Probe::Alive(born) => {
                self.quarantine.clear(Life { engine, born }, self.now);
                // What is still in question broke in an earlier life.
                self.confirm(asked, Proof::Proven);
            }
            Probe::Replaced => self.confirm(asked, Proof::Proven),
            Probe::Silent => self.confirm(asked, Proof::Likely),
        }
    }

    /// Notes how well it is known that an engine has crashed.
    fn confirm(&mut self, ended: Life, proof: Proof) {
        let unix = self.unix();
        let held = self.quarantine.confirm(ended, proof, self.now, unix);
        self.note_held(&held);
    }

    /// Takes the engines that have ended without a word: whatever broke there crashed with them, and
    /// nothing that was known of them holds.
    pub(super) fn take_ended(&mut self) {
        for engine in self.directory.take_ended() {
            // One that had said that it leaves has ended as planned.
            if !self.terms.is_leaving(&engine) {
                self.confirm(Life { engine: engine.key, born: engine.born }, Proof::Proven);
            }
            self.prompts.forget(engine.key);
            self.terms.limits.forget(engine.key);
            self.drop_handles(&engine);
            self.drop_move(engine.key);
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
    pub(super) fn acquit(&mut self, signature: Signature) {
        if self.quarantine.acquit(signature, self.now) {
            self.log(LogEvent::Released { signature, outcome: "answered" });
        }
    }

    /// Lets the requests go whose signature begins as shown.
    pub(super) fn lift(&mut self, short: &str) {
        for signature in self.quarantine.find(short) {
            self.quarantine.acquit(signature, self.now);
            self.log(LogEvent::Released { signature, outcome: "lifted" });
        }
    }

    /// Gives the requests that are held back.
    pub fn held(&self) -> Vec<Held> {
        let held = self.quarantine.held();
        held.map(|(signature, case)| Held {
            short: signature.short(),
            customer: case.about.as_ref().and_then(|it| it.customer.clone()),
            path: case.about.as_ref().map(|it| it.path.clone()),
            engines: case.crashes().map(|it| self.engine_name(it.engine)).collect(),
            is_proven: case.crashes().all(|it| it.proof == Proof::Proven),
            since: case.at,
            until: case.at + HELD_FOR.as_secs(),
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
        let about = about(flight);
        self.quarantine.see(signature, self.now, || about);
        match verdict {
            Verdict::Clear | Verdict::Suspect => return true,
            Verdict::Trial if !self.is_tried(key, signature) => return true,
            Verdict::Trial => self.wait_for_trial(key),
            Verdict::Doubted => {
                self.give_up_with_retry(key, NotRunReason::UnderSuspicion, DOUBTED_RETRY)
            }
            Verdict::Held => self.hold_back(key),
        }
        false
    }

    /// Gives an answer to a request that is held back that does not ask the client to come again. One
    /// that has run at an engine can't be told that it has not.
    fn hold_back(&mut self, key: RequestKey) {
        let Some(flight) = self.in_flight.get(&key) else { return };
        let Some(proof) = flight.trace.not_run().filter(|_| !flight.has_begun) else {
            return self.give_up(key, NotRunReason::UnderSuspicion);
        };
        self.give_units_back(key);
        self.effects.push(Effect::Refuse(key, Refusal::Quarantined(proof)));
        self.end(key, "held back");
    }

    /// Tells whether another try of the same request is under way.
    fn is_tried(&self, key: RequestKey, signature: Signature) -> bool {
        let of = |it: &Call| self.in_flight.get(&it.request).map(|it| it.signature);
        self.calls.values().any(|it| it.request != key && of(it) == Some(signature))
    }

    /// Has a request wait until the same one was tried.
    fn wait_for_trial(&mut self, key: RequestKey) {
        let Some(flight) = self.in_flight.get_mut(&key) else { return };
        if flight.waits_until.is_some() {
            return;
        }
        let until = flight.deadline.min(self.now + TRIAL_WAIT);
        flight.waits_until = Some(until);
        self.waiting.push(key);
        self.wake_at(key, Some(until));
    }

    /// Gives the engines at which requests are tried that are all but held back.
    pub(super) fn trials(&self) -> Vec<EngineKey> {
        self.calls.values().filter(|it| it.case_state.is_last()).map(|it| it.engine.key).collect()
    }

    /// Takes what another box tells of requests under which engines have crashed.
    pub(super) fn hear_words(&mut self, message: &Message) {
        if message.crashes.is_empty() {
            return;
        }
        let saves_at = self.follows_store().then(|| self.now + BACKUP_AFTER);
        for word in &message.crashes {
            if self.quarantine.hear(word, self.now, saves_at) {
                self.note_held(&[word.signature]);
            }
        }
        self.may_have_capacity = true;
    }

    /// Tells all boxes of the cases that have changed.
    pub(super) fn tell_words(&mut self) {
        while self.quarantine.has_untold() {
            let crashes = self.quarantine.take_untold();
            if !crashes.is_empty() {
                let message = Message { crashes, ..self.message(false) };
                self.tell_all(message);
            }
        }
    }

    /// Takes the crashes for proven whose engine is listed in a later life, or not any more. A box that
    /// has started since sees no change that tells it.
    fn prove_by_list(&mut self) {
        if self.quarantine.is_empty() || !self.are_engines_listed || self.missing_until().is_some()
        {
            return;
        }
        for (life, since) in self.quarantine.unproven() {
            let is_gone = match self.directory.get(life.engine) {
                Some(known) => life.born.is_some() && known.engine.born > life.born,
                None => self.now.since(since) >= UNLISTED_FOR,
            };
            if is_gone {
                self.confirm(life, Proof::Proven);
            }
        }
    }

    /// Proves what can be proven, and drops what is out of date.
    pub(super) fn sweep_quarantine(&mut self) {
        self.prove_by_list();
        let unix = self.unix();
        self.quarantine.sweep(self.now, unix);
    }

    /// Logs requests that are held back from now on.
    pub(super) fn note_held(&mut self, signatures: &[Signature]) {
        for &signature in signatures {
            let Some(case) = self.quarantine.case(signature) else { continue };
            let engines: Vec<_> = case.crashes().map(|it| self.engine_name(it.engine)).collect();
            let (about, until) = (case.about.clone(), case.at + HELD_FOR.as_secs());
            self.log(LogEvent::Quarantined { signature, about, engines: engines.join(" "), until });
        }
    }

    /// Tells whether a call goes to the life of its engine that is listed: what became of one that
    /// went to an earlier life says nothing about this one.
    pub(super) fn is_of_this_life(&self, call: &Call) -> bool {
        let known = self.directory.get(call.engine.key);
        known.is_none_or(|it| it.engine.born == call.engine.born)
    }
}

/// Gives what operators see of a request.
fn about(flight: &InFlight) -> About {
    About {
        customer: flight.customer.as_ref().map(|it| it.name.clone()),
        path: flight.request.path.as_str().into(),
    }
}
