//! What becomes of a call to an engine.

use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::{Effect, NotRunReason, Note, Prompt, Source, Task};
use crate::event::{Answer, CallEvent, Execution};
use crate::flight::Call;
use crate::load::Urgency;
use crate::message::{Full, Load};
use crate::prompt::CachedPrompt;
use crate::request::{CallKey, FlightKey};
use crate::rest;

/// The status of an answer as asked for.
const OK: u16 = 200;

/// Statuses that promise a client that its request has not run; an engine's answer with one of
/// them that does not prove it is not passed on.
const PROMISES: [u16; 3] = [408, 429, 503];

/// The lowest status of an engine's own failure.
const SERVER_ERROR: u16 = 500;

impl Gateway {
    /// Takes what happened to a call; one that was dropped before is ignored.
    pub(super) fn called(&mut self, key: CallKey, event: CallEvent) {
        match event {
            CallEvent::Unsent => self.call_unsent(key),
            CallEvent::Began(answer) => self.call_began(key, &answer),
            CallEvent::Answered(answer) => self.call_answered(key, answer),
            CallEvent::Passed(id) => self.call_passed(key, id),
            CallEvent::Broken => self.call_broken(key),
        }
    }

    /// The connection never opened: another engine can be asked at no charge.
    fn call_unsent(&mut self, key: CallKey) {
        let Some(call) = self.take_call(key) else { return };
        self.miss(&call);
        self.judge_return(&call, false);
        self.note_failure(&call, "not reached", 0);
        self.give_repeat_back(&call);
        if call.is_run()
            && let Some(flight) = self.flights.get_mut(&call.flight)
        {
            flight.arrivals = flight.arrivals.saturating_sub(1);
        }
        self.proceed(call.flight);
    }

    /// The head of a stream has come: the client gets it, or the stream goes on behind what the
    /// client has.
    fn call_began(&mut self, key: CallKey, answer: &Answer) {
        let Some(call) = self.calls.get(&key).cloned() else { return };
        self.learn(&call, answer);
        self.terms.rests.release(call.engine.key, call.sent);
        self.finish_reading(key);
        if let Some(call) = self.calls.get_mut(&key) {
            call.has_begun = true;
            call.last_event_at = self.now;
        }
        let now = self.now;
        let Some(flight) = self.flights.get_mut(&call.flight) else { return };
        flight.runs += 1;
        flight.trace.mark_sent();
        flight.source = None;
        if let Some(prompt) = flight.request.prompt {
            self.prompts.observe(CachedPrompt { prompt, engine: call.engine.key }, now);
        }
        flight.patience = flight.gap_patience().map(|it| now + it);
        let patience = flight.patience;
        let effect = if flight.has_begun {
            Effect::Join(call.flight, key)
        } else {
            Effect::Deliver(call.flight, key)
        };
        flight.has_begun = true;
        self.wake_at(call.flight, patience);
        self.effects.push(effect);
    }

    /// Events were given to the client.
    fn call_passed(&mut self, key: CallKey, id: Option<u64>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&key) else { return };
        let pause = now.since(call.last_event_at);
        call.last_event_at = now;
        let call = call.clone();
        let Some(flight) = self.flights.get_mut(&call.flight) else { return };
        flight.last_event = id.or(flight.last_event);
        flight.patience = flight.gap_patience().map(|it| now + it);
        if flight.route.max_gap.is_some_and(|it| pause > it) {
            self.fail(&call);
        }
    }

    /// A whole answer has come.
    fn call_answered(&mut self, key: CallKey, answer: Answer) {
        let Some(call) = self.take_call(key) else { return };
        self.learn(&call, &answer);
        match (answer.execution, &call.task) {
            (Execution::Refused | Execution::Moved, _) => self.turned_away(&call, &answer),
            (Execution::Ran, Task::Read) => self.prompt_read(&call, answer),
            (Execution::Ran, _) => self.ran(key, &call, &answer),
        }
    }

    /// An engine has not run the request and said so.
    fn turned_away(&mut self, call: &Call, answer: &Answer) {
        self.note_failure(call, "turned away", answer.status);
        let now = self.now;
        if answer.execution == Execution::Moved {
            self.directory.mark_misdirected(call.engine.key, now);
            self.untold.replaced.push(call.engine.key);
        } else if let Some(known) = self.directory.get_mut(call.engine.key) {
            known.record_rejection(call.load.held, now);
            self.untold.full.push(Full { engine: call.engine.key, held: call.load.held });
        }
        let rests = matches!(answer.says.rest, rest::Told::Span(_));
        let Some(flight) = self.flights.get_mut(&call.flight) else { return };
        flight.rejections += 1;
        match call.task {
            Task::Read => {
                flight.arrivals += 1;
                // Another engine may read for it that does not rest; one try more is worth it.
                flight.reading_failed = !rests || flight.rejections > 1;
            }
            // One that rests says nothing of the prompt.
            Task::Generate(Prompt::Read(_)) if rests => {}
            Task::Generate(Prompt::Read(_)) => self.handle_turned_away(call.flight),
            Task::Generate(_) | Task::Plain => {}
        }
        self.proceed(call.flight);
    }

    /// An engine that was to generate turned a prompt away that was read for it. It was full, or
    /// the prompt is gone, which a second engine shows.
    fn handle_turned_away(&mut self, key: FlightKey) {
        let now = self.now;
        let Some(flight) = self.flights.get_mut(&key) else { return };
        let is_first = !flight.handle_refused;
        flight.handle_refused = true;
        if is_first && now < flight.handle_end() {
            return;
        }
        flight.reading_failed = true;
        let source = flight.source.take();
        self.free(source);
    }

    /// A prompt was read for another engine.
    fn prompt_read(&mut self, call: &Call, answer: Answer) {
        let handle = answer.handle.filter(|_| answer.status == OK);
        let Some(handle) = handle else {
            self.note_failure(call, "prompt not read", answer.status);
            self.fail(call);
            return self.reading_failed(call.flight);
        };
        self.give_repeat_back(call);
        let now = self.now;
        let Some(flight) = self.flights.get_mut(&call.flight) else { return };
        flight.read_at = now;
        if let Some(prompt) = flight.request.prompt {
            self.prompts.record(CachedPrompt { prompt, engine: call.engine.key }, now);
        }
        flight.source =
            Some(Source { engine: call.engine.key, address: call.engine.address, handle });
        self.proceed(call.flight);
    }

    /// The reading of a prompt failed; the engine that generates reads it itself.
    fn reading_failed(&mut self, key: FlightKey) {
        if let Some(flight) = self.flights.get_mut(&key) {
            flight.reading_failed = true;
            flight.arrivals += 1;
        }
        self.proceed(key);
    }

    /// An engine ran the request to an end.
    fn ran(&mut self, key: CallKey, call: &Call, answer: &Answer) {
        let is_failure = answer.status >= SERVER_ERROR;
        let Some(flight) = self.flights.get_mut(&call.flight) else { return };
        flight.trace.mark_sent();
        let signature = flight.signature;
        self.acquit(signature);
        if call.has_begun {
            self.effects.push(Effect::Finish(call.flight));
            return self.end(call.flight, "whole");
        }
        if let Some(flight) = self.flights.get_mut(&call.flight) {
            flight.runs += 1;
        }
        if is_failure {
            self.note_failure(call, "failed", answer.status);
            self.fail(call);
            if self.can_repeat(call.flight) {
                return self.proceed(call.flight);
            }
        }
        let Some(flight) = self.flights.get(&call.flight) else { return };
        if flight.has_begun {
            return self.break_off(call.flight);
        }
        if PROMISES.contains(&answer.status) {
            return self.give_up(call.flight, NotRunReason::TurnedAway);
        }
        self.effects.push(Effect::Deliver(call.flight, key));
        self.end(call.flight, "answered");
    }

    /// A call ended without a whole answer after it was sent.
    fn call_broken(&mut self, key: CallKey) {
        let Some(call) = self.take_call(key) else { return };
        self.note_failure(&call, "broken", 0);
        self.judge_return(&call, false);
        self.fail(&call);
        self.suspect(&call);
        self.lost(&call);
    }

    /// Goes on after a call whose outcome is unknown.
    pub(super) fn lost(&mut self, call: &Call) {
        if !call.is_run() {
            return self.reading_failed(call.flight);
        }
        let Some(flight) = self.flights.get_mut(&call.flight) else { return };
        if !call.has_begun {
            flight.runs += 1;
        }
        flight.trace.mark_sent();
        flight.source = None;
        flight.reading_failed = true;
        if self.can_repeat(call.flight) {
            return self.proceed(call.flight);
        }
        self.give_up(call.flight, NotRunReason::TurnedAway);
    }

    /// Tells whether a request may be sent to one more engine.
    fn can_repeat(&self, key: FlightKey) -> bool {
        let Some(flight) = self.flights.get(&key) else { return false };
        flight.route.is_idempotent() && flight.may_run_again() && self.now < flight.ends
    }

    /// Takes a call out, with its work.
    pub(super) fn take_call(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        if !call.has_begun {
            self.terms.rests.release(call.engine.key, call.sent);
        }
        let urgency = self.end_urgency(&call);
        self.ledger.remove(call.engine.key, call.load, urgency);
        if matches!(call.task, Task::Generate(_)) {
            self.runs.end(self.now);
        }
        if let Some(flight) = self.flights.get_mut(&call.flight) {
            flight.call = None;
            flight.patience = None;
        }
        Some(call)
    }

    /// Gives how soon others must hear that a call has ended. Where boxes are many, the end of a run
    /// at an engine with much free memory can wait: nobody waits for what it frees.
    fn end_urgency(&self, call: &Call) -> Urgency {
        let is_free = !self.is_scarce(call.engine.key);
        let can_wait = self.members.is_large() && call.load.reading == 0 && is_free;
        if can_wait { Urgency::Later } else { Urgency::Now }
    }

    /// Notes that an engine has read the prompt of a call that goes on.
    fn finish_reading(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let read = Load { reading: call.load.reading, calls: 0, held: 0 };
        call.load.reading = 0;
        if read.reading > 0 {
            self.ledger.remove(call.engine.key, read, Urgency::Now);
        }
    }

    /// Learns from an answer: load, health (an answer that comes late counts as failed), and the
    /// rate of reading. One of another engine at the same address says nothing of this one.
    fn learn(&mut self, call: &Call, answer: &Answer) {
        if !self.is_of_this_life(call) || answer.execution == Execution::Moved {
            return;
        }
        self.learn_limit(call, answer);
        self.learn_terms(call, &answer.says);
        let now = self.now;
        let is_good = answer.status < SERVER_ERROR && answer.execution == Execution::Ran;
        self.judge_return(call, is_good);
        if let Some(known) = self.directory.get_mut(call.engine.key) {
            known.reported_load = answer.says.load.map(|it| (it, now)).or(known.reported_load);
            match self.flights.get(&call.flight) {
                Some(flight) if is_good && call.is_slow(now, flight) => {
                    known.health.record_failure(now)
                }
                _ if is_good => known.health.record_success(now),
                _ => {}
            }
        }
        let has_read = match call.task {
            Task::Read => answer.handle.is_some(),
            Task::Generate(Prompt::Unread) => answer.status == OK,
            _ => false,
        };
        if has_read && call.engine.stage.is_some() {
            self.measure(call, now);
        }
    }

    /// Measures an engine's rate of reading.
    fn measure(&mut self, call: &Call, now: Time) {
        self.directory.measure(call.engine.key, call.ahead, now.since(call.sent), now);
    }

    /// Notes that an engine failed a call.
    fn fail(&mut self, call: &Call) {
        let now = self.now;
        if self.is_of_this_life(call)
            && let Some(known) = self.directory.get_mut(call.engine.key)
        {
            known.health.record_failure(now);
        }
    }

    /// Notes that an engine could not be reached, or fell silent.
    pub(super) fn miss(&mut self, call: &Call) {
        if !self.is_of_this_life(call) {
            return;
        }
        let now = self.now;
        let Some(known) = self.directory.get_mut(call.engine.key) else { return };
        let span = known.health.record_unreachable(now);
        self.untold.missed.push(call.engine.key);
        self.note(Note::Avoided { id: call.engine.id.clone(), span });
    }

    /// Adds a failed call to the log.
    pub(super) fn note_failure(&mut self, call: &Call, how: &'static str, status: u16) {
        let Some(flight) = self.flights.get(&call.flight) else { return };
        let request = flight.request.id.clone();
        let (signature, path) = (flight.signature, flight.request.path.as_str().into());
        let engine = call.engine.id.clone();
        let told =
            self.directory.get(call.engine.key).and_then(|it| it.reported_load).map(|it| it.0);
        let known = self.ledger.at(call.engine.key);
        self.note(Note::Failed { request, signature, path, engine, how, status, told, known });
    }
}
