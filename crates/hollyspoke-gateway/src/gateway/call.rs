//! The handling of the events of a call to an engine.

use hollyspoke::time::Time;

use super::Gateway;
use super::contact::Finding;
use crate::back_off;
use crate::effect::{Effect, LogEvent, NotRunReason, Prompt, Source, Task};
use crate::engine::EngineKey;
use crate::event::{Answer, CallEvent, Execution};
use crate::framing::Framing;
use crate::in_flight::Call;
use crate::load::Urgency;
use crate::message::{Load, Rejection};
use crate::numbering::Numbering;
use crate::prompt::CachedPrompt;
use crate::request::{CallKey, RequestKey};
use crate::work::turns;

/// The status of a successful answer.
const OK: u16 = 200;

/// Statuses that promise a client that its request has not run. An engine's answer with one of them
/// is not forwarded unless it proves that.
pub(super) const NOT_RUN_STATUSES: [u16; 3] = [408, 429, 503];

/// The lowest status that reports a failure of the engine itself.
pub(super) const MIN_SERVER_ERROR_STATUS: u16 = 500;

impl Gateway {
    /// Handles an event of a call. Events of calls that were dropped before are ignored.
    pub(super) fn handle_call_event(&mut self, key: CallKey, event: CallEvent) {
        self.hear_call(key, &event);
        if self.is_kept(key) && !self.handle_kept_event(key, &event) {
            return;
        }
        match event {
            CallEvent::NotConnected => self.call_not_connected(key),
            CallEvent::NoPort => self.call_without_port(key),
            CallEvent::Exhausted => self.call_exhausted(key),
            CallEvent::Began(answer) => self.call_began(key, &answer),
            CallEvent::Answered(answer) => self.call_answered(key, answer),
            CallEvent::Forwarded(id) => self.call_forwarded(key, id, false),
            CallEvent::ForwardedLate(id) => self.call_forwarded(key, id, true),
            CallEvent::HeldUp => self.call_held_up(key),
            CallEvent::Broken => self.call_broken(key, "broken"),
            CallEvent::Garbled => self.call_broken(key, "garbled"),
            CallEvent::NoMemory => self.call_discarded(key),
        }
    }

    /// The connection could not be opened: another engine can be tried without using the retry
    /// budget.
    fn call_not_connected(&mut self, key: CallKey) {
        let Some(call) = self.take_call(key) else { return };
        self.record_unreached(&call.engine, call.sent);
        self.record_unreachable(&call);
        self.record_return_answer(&call, false);
        self.log_failure(&call, "not reached", 0);
        self.refund_unsent(&call);
        if let Some(in_flight) = self.in_flight.get_mut(&call.request) {
            in_flight.unsent_count += 1;
        }
        self.proceed_or_continue(call.request);
    }

    /// This box had no local port for an engine's address. Ports for other addresses may be free, so
    /// another engine is tried. This one is avoided here for a time, and no other box is told.
    fn call_without_port(&mut self, key: CallKey) {
        let Some(call) = self.take_call(key) else { return };
        self.log_failure(&call, "no port", 0);
        self.refund_unsent(&call);
        let now = self.now;
        if let Some(record) = self.directory.get_mut(call.engine.key) {
            record.health.avoid(now);
        }
        if let Some(in_flight) = self.in_flight.get_mut(&call.request) {
            in_flight.unsent_count += 1;
        }
        self.proceed_or_continue(call.request);
    }

    /// This box could not open a connection for lack of descriptors or memory. The engine is not to
    /// blame, and any other one would need the same.
    fn call_exhausted(&mut self, key: CallKey) {
        let Some(call) = self.take_call(key) else { return };
        self.log_failure(&call, "box exhausted", 0);
        self.refund_unsent(&call);
        self.give_up(call.request, NotRunReason::Exhausted);
    }

    /// Refunds what a call was charged that was never sent.
    pub(super) fn refund_unsent(&mut self, call: &Call) {
        self.refund_retry(call);
        if call.runs_request()
            && let Some(in_flight) = self.in_flight.get_mut(&call.request)
        {
            in_flight.arrivals = in_flight.arrivals.saturating_sub(1);
        }
    }

    /// Sends the next call of a request: to the next engine that has a copy of its stream, if any.
    fn proceed_or_continue(&mut self, key: RequestKey) {
        if !self.continue_from_copy(key) {
            self.release_backup(key);
            self.proceed(key);
        }
    }

    /// The head of a stream arrived: it is delivered to the client, or the stream resumes after the
    /// events that the client already has.
    fn call_began(&mut self, key: CallKey, answer: &Answer) {
        let Some(call) = self.calls.get(&key).cloned() else { return };
        self.apply_answer(&call, answer);
        if !self.fits_origin(&call) {
            return self.drop_other_version(key);
        }
        self.terms.back_offs.release(call.engine.key, call.sent);
        self.finish_prefill(key);
        self.stream_continued(call.request);
        self.count_run(key);
        self.cancel_kept(call.request);
        let now = self.now;
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        let timeouts = in_flight.gap_timeouts();
        if let Some(call) = self.calls.get_mut(&key) {
            call.begun_at = Some(now);
            call.last_event_at = now;
            call.timeouts = timeouts;
        }
        in_flight.heard_since = None;
        in_flight.trace.mark_sent();
        in_flight.source = None;
        if let Some(prompt) = in_flight.request.prompt {
            self.prompts.observe(CachedPrompt { prompt, engine: call.engine.key }, now);
        }
        in_flight.silence_check_at = timeouts.map(|it| now + it.min());
        let check_at = in_flight.silence_check_at;
        let effect = if in_flight.has_begun {
            Effect::Resume(call.request, key)
        } else {
            Effect::Deliver(call.request, key)
        };
        if !in_flight.has_begun {
            in_flight.framing = answer.framing;
        }
        in_flight.has_begun = true;
        self.wake_at(call.request, check_at);
        self.effects.push(effect);
    }

    /// Drops a call whose events don't fit those that the client has, and continues the stream elsewhere.
    fn drop_other_version(&mut self, key: CallKey) {
        let Some(call) = self.take_call(key) else { return };
        self.effects.push(Effect::Cancel(key));
        let request = self.in_flight.get(&call.request).map(|it| it.request.id.clone());
        let engine = call.engine.id.clone();
        self.log(LogEvent::OtherVersion { request: request.unwrap_or_default(), engine });
        self.call_lost(&call);
    }

    /// Events were forwarded to the client, which may have held them up.
    fn call_forwarded(&mut self, key: CallKey, id: Option<u64>, is_held_up: bool) {
        let now = self.now;
        self.bind_origin(key);
        let stood_still = self.calls.get(&key).is_some_and(|it| self.has_stood_still(it));
        self.measure_events(key, id, is_held_up || stood_still);
        let is_blamed = !stood_still && (!is_held_up || !self.settings.features.pace);
        self.record_progress(key, id);
        let Some(call) = self.calls.get_mut(&key) else { return };
        let before = std::mem::replace(&mut call.last_event_at, now);
        call.is_held_up = false;
        call.first_event_at.get_or_insert(now);
        let call = call.clone();
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        in_flight.last_event = id.or(in_flight.last_event);
        in_flight.silence_check_at = call.timeouts.map(|it| now + it.min());
        let check_at = in_flight.silence_check_at.filter(|_| is_held_up);
        self.wake_at(call.request, check_at);
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        if is_blamed && in_flight.route.max_gap.is_some_and(|it| now.since(before) > it) {
            self.record_pause(&call, before);
        }
        if !is_held_up && !stood_still {
            self.record_outlived(key);
        }
    }

    /// The client takes no events for now, so that the silence of the call is not the engine's.
    fn call_held_up(&mut self, key: CallKey) {
        let now = self.now;
        if let Some(call) = self.calls.get_mut(&key) {
            call.is_held_up = true;
            call.last_event_at = now;
        }
    }

    /// Records that an engine has spoken, if an event of a call shows it.
    fn hear_call(&mut self, key: CallKey, event: &CallEvent) {
        let is_heard = match event {
            CallEvent::Began(answer) | CallEvent::Answered(answer) => {
                answer.execution != Execution::Replaced
            }
            CallEvent::Forwarded(_) | CallEvent::HeldUp => true,
            // These events had come before.
            CallEvent::ForwardedLate(_)
            | CallEvent::NotConnected
            | CallEvent::NoPort
            | CallEvent::Exhausted
            | CallEvent::Broken
            | CallEvent::NoMemory
            | CallEvent::Garbled => false,
        };
        if is_heard && let Some(call) = self.calls.get(&key) {
            self.hear(&call.engine.clone());
        }
    }

    /// Returns whether a call is kept beside the one that is to replace it.
    fn is_kept(&self, key: CallKey) -> bool {
        let request = self.calls.get(&key).and_then(|it| self.in_flight.get(&it.request));
        request.is_some_and(|it| it.kept.contains(&key))
    }

    /// A complete answer arrived.
    fn call_answered(&mut self, key: CallKey, answer: Answer) {
        // The final copy of a stream closes its connection, which here looks like the stream's end.
        if answer.framing == Framing::Close && self.stream_closed(key) {
            return;
        }
        let Some(call) = self.take_call(key) else { return };
        self.apply_answer(&call, &answer);
        match (answer.execution, &call.task) {
            (Execution::Refused | Execution::Replaced, _) => self.engine_rejected(&call, &answer),
            (Execution::Ran, Task::Prefill) => self.prefill_ended(&call, answer),
            (Execution::Ran, _) => self.request_ran(key, &call, &answer),
        }
    }

    /// An engine rejected the request and stated that it has not run it.
    fn engine_rejected(&mut self, call: &Call, answer: &Answer) {
        self.log_failure(call, "turned away", answer.status);
        if answer.execution == Execution::Refused {
            self.drop_unused_reservation(call);
        }
        if answer.execution == Execution::Replaced {
            self.mark_misdirected(&call.engine);
        } else {
            self.record_rejection(call.engine.key, call.load.held_tokens);
        }
        let backs_off = matches!(answer.statement.back_off, back_off::Reported::Duration(_));
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        in_flight.rejections += 1;
        match call.task {
            Task::Prefill => {
                in_flight.arrivals += 1;
                // If the engine backs off, another one may do the prefill; one more attempt is
                // allowed.
                in_flight.prefill_failed = !backs_off || in_flight.rejections > 1;
            }
            // A rejection by an engine that backs off doesn't show whether the prompt still exists.
            Task::Decode(Prompt::Prefilled(_)) if backs_off => {}
            Task::Decode(Prompt::Prefilled(_)) => self.prefill_handle_rejected(call.request),
            Task::Decode(_) | Task::Plain => {}
        }
        self.proceed_or_continue(call.request);
    }

    /// Records that an engine lacked free capacity for a request of a size, and announces it.
    pub(super) fn record_rejection(&mut self, engine: EngineKey, held_tokens: u32) {
        let now = self.now;
        let Some(record) = self.directory.get_mut(engine) else { return };
        record.record_rejection(held_tokens, now);
        self.unannounced.rejections.push(Rejection { engine, held_tokens });
    }

    /// A decode engine rejected the handle of a prefilled prompt. Either the engine was full, or
    /// the prompt is gone, which the rejection by a second engine shows.
    fn prefill_handle_rejected(&mut self, key: RequestKey) {
        let now = self.now;
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        let is_first = !in_flight.handle_rejected;
        in_flight.handle_rejected = true;
        if is_first && now < in_flight.handle_end() {
            return;
        }
        in_flight.prefill_failed = true;
        let source = in_flight.source.take();
        self.free(source);
    }

    /// A prefill for another engine ended.
    fn prefill_ended(&mut self, call: &Call, answer: Answer) {
        let handle = answer.handle.filter(|_| answer.status == OK);
        let Some(handle) = handle else {
            self.log_failure(call, "prompt not read", answer.status);
            self.record_failure(call);
            return self.prefill_failed(call.request);
        };
        self.refund_retry(call);
        let now = self.now;
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        in_flight.prefilled_at = now;
        if let Some(prompt) = in_flight.request.prompt {
            self.prompts.record(CachedPrompt { prompt, engine: call.engine.key }, now);
        }
        in_flight.source =
            Some(Source { engine: call.engine.key, address: call.engine.address, handle });
        self.proceed(call.request);
    }

    /// A prefill failed; the decode engine prefills the prompt itself.
    fn prefill_failed(&mut self, key: RequestKey) {
        if let Some(in_flight) = self.in_flight.get_mut(&key) {
            in_flight.prefill_failed = true;
            in_flight.arrivals += 1;
        }
        self.proceed(key);
    }

    /// An engine ran the request to its end.
    fn request_ran(&mut self, key: CallKey, call: &Call, answer: &Answer) {
        let is_failure = answer.status >= MIN_SERVER_ERROR_STATUS;
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        in_flight.trace.mark_sent();
        if call.has_begun() && answer.framing == Framing::Close {
            self.await_survival(call);
            return self.end_unmarked_stream(call.request);
        }
        let signature = in_flight.signature;
        self.close_case(signature);
        if answer.status == OK {
            self.clear_parts(call);
        }
        if call.has_begun() {
            self.record_stream_length(call.request);
            self.effects.push(Effect::Finish(call.request));
            return self.end(call.request, "whole");
        }
        self.drop_continuation(call.request, "failed");
        if call.may_begin_run()
            && let Some(in_flight) = self.in_flight.get_mut(&call.request)
        {
            in_flight.run_count += 1;
        }
        if is_failure {
            self.log_failure(call, "failed", answer.status);
            self.record_failure(call);
            if self.can_retry(call.request) {
                self.release_backup(call.request);
                return self.proceed(call.request);
            }
            if self.return_to_kept(call.request) {
                return;
            }
        }
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        if in_flight.has_begun {
            return self.abort(call.request);
        }
        if NOT_RUN_STATUSES.contains(&answer.status) {
            return self.give_up(call.request, NotRunReason::Rejected);
        }
        self.effects.push(Effect::Deliver(call.request, key));
        self.end(call.request, "answered");
    }

    /// A stream ended with its connection, so it may be complete or not. Its client is told neither:
    /// if the answer has a framing that marks its end, it is left without that end.
    fn end_unmarked_stream(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        if in_flight.framing == Framing::Marked {
            return self.abort(key);
        }
        self.effects.push(Effect::Finish(key));
        self.end(key, "end not marked");
    }

    /// A call that was sent ended without a complete answer. Its engine may have crashed, which a probe
    /// shows, also behind bytes that are no part of an answer.
    fn call_broken(&mut self, key: CallKey, outcome: &'static str) {
        if self.stream_closed(key) {
            return;
        }
        let Some(call) = self.take_call(key) else { return };
        self.record_reached(&call.engine, call.sent);
        self.log_failure(&call, outcome, 0);
        self.record_return_answer(&call, false);
        self.record_failure(&call);
        self.suspect(&call);
        self.call_lost(&call);
    }

    /// Gives a request up whose answer this box could not keep. Its engine is sound, and another one would
    /// only answer the same.
    fn call_discarded(&mut self, key: CallKey) {
        let Some(call) = self.take_call(key) else { return };
        self.record_reached(&call.engine, call.sent);
        self.log_failure(&call, "no memory", 0);
        self.record_return_answer(&call, false);
        if !call.runs_request() {
            return self.prefill_failed(call.request);
        }
        if let Some(in_flight) = self.in_flight.get_mut(&call.request) {
            in_flight.run_count += 1;
            in_flight.trace.mark_sent();
            in_flight.source = None;
        }
        self.give_up(call.request, NotRunReason::Exhausted);
    }

    /// Continues after a call whose outcome is unknown: continues the stream from a copy, retries the
    /// request or gives it up.
    pub(super) fn call_lost(&mut self, call: &Call) {
        if !call.runs_request() {
            return self.prefill_failed(call.request);
        }
        if self.continue_from_copy(call.request) || self.continue_from_backup(call) {
            return;
        }
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        if call.may_begin_run() {
            in_flight.run_count += 1;
        }
        in_flight.trace.mark_sent();
        in_flight.source = None;
        in_flight.prefill_failed = true;
        if self.can_retry(call.request) {
            return self.proceed(call.request);
        }
        self.give_up(call.request, NotRunReason::Rejected);
    }

    /// Returns whether a request may be sent to another engine. An answer whose events have no numbers
    /// can't be continued, since nothing tells which of them the client has.
    fn can_retry(&self, key: RequestKey) -> bool {
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        let is_lost = in_flight.has_begun && in_flight.numbering() == Numbering::Free;
        !is_lost
            && in_flight.route.is_idempotent()
            && in_flight.may_run_again()
            && self.now < in_flight.deadline
    }

    /// Removes a call and the load that it added to its engine.
    pub(super) fn take_call(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        self.paces.end_stream(key);
        if !call.has_begun() {
            self.terms.back_offs.release(call.engine.key, call.sent);
        }
        let urgency = self.end_urgency(&call);
        self.ledger.remove(call.engine.key, call.load, urgency);
        if matches!(call.task, Task::Decode(_)) {
            self.runs.end(self.now);
        }
        if let Some(in_flight) = self.in_flight.get_mut(&call.request) {
            in_flight.kept.retain(|it| *it != key);
            if in_flight.call == Some(key) {
                in_flight.call = None;
                in_flight.silence_check_at = None;
            }
        }
        self.abandon_move(key);
        Some(call)
    }

    /// Returns how soon the end of a call must be announced. Where there are many boxes, the end of
    /// a run at an engine with plenty of free memory can wait, because no request waits for that
    /// memory.
    fn end_urgency(&self, call: &Call) -> Urgency {
        let is_free = !self.is_scarce(call.engine.key);
        let can_wait = self.members.is_large() && call.load.prefill_tokens == 0 && is_free;
        if can_wait { Urgency::Later } else { Urgency::Now }
    }

    /// Records that an engine has prefilled the prompt of a call that continues.
    fn finish_prefill(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let prefilled = Load { prefill_tokens: call.load.prefill_tokens, calls: 0, held_tokens: 0 };
        call.load.prefill_tokens = 0;
        if prefilled.prefill_tokens > 0 {
            self.ledger.remove(call.engine.key, prefilled, Urgency::Now);
        }
    }

    /// Updates the engine's reported load, its health and its prefill rate from an answer. A late
    /// answer counts as a failure. An answer of another engine at the same address is ignored.
    pub(super) fn apply_answer(&mut self, call: &Call, answer: &Answer) {
        self.record_reached(&call.engine, call.sent);
        if !self.is_current_incarnation(call) || answer.execution == Execution::Replaced {
            return;
        }
        self.learn_limit(call, answer);
        self.learn_terms(call, &answer.statement);
        let now = self.now;
        let is_good = answer.status < MIN_SERVER_ERROR_STATUS && answer.execution == Execution::Ran;
        let stood_still = self.has_stood_still(call);
        self.record_return_answer(call, is_good);
        if let Some(record) = self.directory.get_mut(call.engine.key) {
            record.reported_load =
                answer.statement.load.map(|it| (it, now)).or(record.reported_load);
            match self.in_flight.get(&call.request) {
                Some(in_flight) if is_good && !stood_still && call.is_slow(now, in_flight) => {
                    record.health.record_failure(now)
                }
                _ if is_good => record.health.record_success(now),
                _ => {}
            }
        }
        if is_good && !stood_still && call.task == Task::Plain {
            let engine = &call.engine;
            let turns = turns(call.calls_ahead, engine.slots);
            self.works.record(&engine.service, engine.key, call.waited(now), turns, now);
        }
        let has_prefilled = match call.task {
            Task::Prefill => answer.handle.is_some(),
            Task::Decode(Prompt::NotPrefilled) => answer.status == OK,
            _ => false,
        };
        if has_prefilled && !stood_still && call.engine.stage.is_some() {
            self.measure(call, now);
        }
    }

    /// Measures the prefill rate of an engine.
    fn measure(&mut self, call: &Call, now: Time) {
        self.directory.measure(call.engine.key, call.queued_tokens, call.waited(now), now);
        self.measure_prefill(call);
    }

    /// Records that an engine failed a call.
    pub(super) fn record_failure(&mut self, call: &Call) {
        let now = self.now;
        if self.is_current_incarnation(call)
            && let Some(record) = self.directory.get_mut(call.engine.key)
        {
            record.health.record_failure(now);
        }
    }

    /// Records that an event of a stream came too late after the one before.
    fn record_pause(&mut self, call: &Call, before: Time) {
        let now = self.now;
        if self.is_current_incarnation(call)
            && let Some(record) = self.directory.get_mut(call.engine.key)
        {
            record.health.record_pause(before, now);
        }
    }

    /// Records that an engine could not be reached or timed out.
    pub(super) fn record_unreachable(&mut self, call: &Call) {
        if self.is_current_incarnation(call) {
            self.mark_unreachable(call.engine.key);
        }
    }

    /// Avoids an engine that could not be reached for a time, and announces it.
    pub(super) fn mark_unreachable(&mut self, engine: EngineKey) {
        let now = self.now;
        let Some(record) = self.directory.get_mut(engine) else { return };
        let duration = record.health.record_unreachable(now);
        let id = record.engine.id.clone();
        self.report_finding(engine, Finding::Unreachable);
        self.log(LogEvent::Avoided { id, duration });
    }

    /// Logs a failed call.
    pub(super) fn log_failure(&mut self, call: &Call, outcome: &'static str, status: u16) {
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        in_flight.last_failure = Some(outcome);
        let request = in_flight.request.id.clone();
        let (signature, path) = (in_flight.signature, in_flight.request.path.as_str().into());
        let shared_parts = in_flight.request.shared_parts.clone();
        let engine = call.engine.id.clone();
        let reported_load =
            self.directory.get(call.engine.key).and_then(|it| it.reported_load).map(|it| it.0);
        let total_load = self.ledger.at(call.engine.key);
        self.log(LogEvent::Failed {
            request,
            signature,
            path,
            shared_parts,
            engine,
            outcome,
            status,
            reported_load,
            total_load,
            silent_for: call.silent_for(self.now),
            has_begun: call.has_begun(),
        });
    }
}
