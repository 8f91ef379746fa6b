//! Calls that are silent: they are kept until another one has replaced them, or until they go on.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use super::call::{MIN_SERVER_ERROR_STATUS, NOT_RUN_STATUSES};
use crate::class::Phase;
use crate::effect::{Effect, LogEvent, Source, Task};
use crate::engine::{Engine, EngineKey, Stage};
use crate::event::{Answer, CallEvent, Execution};
use crate::framing::Framing;
use crate::health::SilenceEnd;
use crate::in_flight::Call;
use crate::quarantine::Incarnation;
use crate::request::{CallKey, RequestKey};
use crate::silence::{Standing, Step, Timeouts};

/// The time after which a silent call is checked again that could not be replaced.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The shortest time between two checks of a call. The clock counts whole microseconds, so that a
/// check could otherwise be due at once and come too early again.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The largest number of engines that are probed at a time. Where more are silent at once, the
/// others wait for their turn, so that the probes of a whole service's silence stay bounded.
pub(super) const MAX_PROBE_COUNT: usize = 64;

/// The time after which a silent engine is considered again that could not be probed yet.
const PROBE_TURN: Duration = Duration::from_millis(100);

/// The time within which a probe is certain to end.
const MAX_PROBE_DURATION: Duration = Duration::from_millis(500);

impl Gateway {
    /// Checks whether the active call of a request is silent, and acts on it.
    pub(super) fn check_silence(&mut self, key: RequestKey) {
        let Some(call_key) = self.in_flight.get(&key).and_then(|it| it.call) else { return };
        let Some(call) = self.calls.get(&call_key) else { return };
        let Some(timeouts) = call.timeouts.filter(|_| !call.is_held_up) else { return };
        if self.migrations.is_stopping(call_key) {
            return self.check_silence_in(key, timeouts.usual);
        }
        if !self.can_move(call_key) {
            return;
        }
        let (engine, silent_for) = (call.engine.clone(), self.silence(call));
        let standing = self.standing(call, timeouts);
        if standing == Standing::Unknown
            && let Some(counted) = silent_for.checked_sub(timeouts.min())
            && let Some(wait) = self.await_probe(&engine, self.now - counted)
        {
            return self.check_silence_in(key, wait);
        }
        match timeouts.next_step(silent_for, standing) {
            Step::Wait(duration) => self.check_silence_in(key, duration),
            Step::Replace => self.replace(key, call_key, standing),
        }
    }

    /// Probes a silent engine, once since a time. Returns how long to wait for what that shows; none
    /// if nothing more is to be expected.
    fn await_probe(&mut self, engine: &Arc<Engine>, since: Time) -> Option<Duration> {
        if let Some(&sent) = self.probing.get(&engine.key) {
            let end = sent + MAX_PROBE_DURATION;
            return (end > self.now).then(|| end.since(self.now));
        }
        let record = self.directory.get(engine.key)?;
        if record.health.was_probed_after(since) || !self.accepts_probe(engine.key) {
            return None;
        }
        if self.probing.len() >= MAX_PROBE_COUNT {
            return Some(PROBE_TURN);
        }
        self.probe(engine);
        Some(MAX_PROBE_DURATION)
    }

    /// Schedules the next check of a request's active call.
    fn check_silence_in(&mut self, key: RequestKey, duration: Duration) {
        let at = Some(self.now + duration.max(MIN_CHECK_INTERVAL));
        if let Some(in_flight) = self.in_flight.get_mut(&key) {
            in_flight.silence_check_at = at;
        }
        self.wake_at(key, at);
    }

    /// Returns how long a call has been silent since its engine last went on after a silence.
    fn silence(&self, call: &Call) -> Duration {
        let silent_for = call.silent_for(self.now);
        let record = self.directory.get(call.engine.key);
        let went_on_at = record.and_then(|it| it.health.went_on_at());
        went_on_at.map_or(silent_for, |it| silent_for.min(self.now.since(it)))
    }

    /// Returns what is known of a call's engine since the call fell silent.
    fn standing(&self, call: &Call, timeouts: Timeouts) -> Standing {
        if !self.is_current_incarnation(call) {
            return Standing::Unreachable;
        }
        let Some(record) = self.directory.get(call.engine.key) else { return Standing::Unknown };
        record.health.standing(self.now - self.silence(call) + timeouts.min())
    }

    /// Sends the request of a silent call to another engine, too. The call is kept.
    fn replace(&mut self, key: RequestKey, call_key: CallKey, standing: Standing) {
        let Some(call) = self.calls.get(&call_key).cloned() else { return };
        if standing == Standing::Still && !self.has_heard_other(key, &call) {
            // Engines that are as silent are no better. Some are probed at a time, however many calls
            // wait.
            if self.probing.is_empty() {
                self.probe_engines(&call.engine.service);
            }
            return self.check_silence_in(key, RETRY_INTERVAL);
        }
        if call.found_silent != Some(standing) {
            self.blame(call_key, &call, standing);
        }
        self.keep(call_key);
        if let Some(in_flight) = self.in_flight.get_mut(&key) {
            let since = self.now - call.silent_for(self.now);
            in_flight.heard_since = (standing == Standing::Still).then_some(since);
        }
        let continues = self.continue_from_copy(key) || self.continue_from_backup(&call);
        if !continues {
            self.proceed(key);
        }
    }

    /// Records what the silence of a call says of its engine, once for each thing that is found.
    fn blame(&mut self, call_key: CallKey, call: &Call, standing: Standing) {
        if let Some(call) = self.calls.get_mut(&call_key) {
            call.found_silent = Some(standing);
        }
        self.log_silent(call, standing);
        match standing {
            Standing::Unreachable => {
                if self.is_current_incarnation(call) {
                    self.blame_for_silence(call.engine.key);
                }
                self.suspect(call);
            }
            Standing::Responsive | Standing::Unknown => self.record_failure(call),
            Standing::Still => {}
        }
    }

    /// Returns whether another engine that could take a silent call's request has been heard since.
    fn has_heard_other(&mut self, key: RequestKey, call: &Call) -> bool {
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        let since = self.now - call.silent_for(self.now);
        let service = &call.engine.service;
        if self.unheard_since.get(service).is_some_and(|it| *it <= since) {
            return false;
        }
        let heard = self.directory.open(service, self.now).filter(|it| {
            let is_other = it.engine.key != call.engine.key;
            is_other && it.engine.stage != Some(Stage::Prefill) && it.health.was_heard_after(since)
        });
        let mut heard = heard.peekable();
        if heard.peek().is_some() {
            return heard.any(|it| self.is_allowed_at(in_flight, it));
        }
        drop(heard);
        self.unheard_since.insert(service.clone(), since);
        false
    }

    /// Keeps an active call beside the one that is to replace it.
    fn keep(&mut self, call_key: CallKey) {
        self.abandon_move(call_key);
        self.count_run(call_key);
        let Some(call) = self.calls.get(&call_key) else { return };
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        if call.runs_request() {
            in_flight.trace.mark_sent();
            in_flight.source = None;
        } else {
            // A second call in place of a prefill counts as a retry.
            in_flight.arrivals += 1;
        }
        in_flight.prefill_failed = true;
        in_flight.call = None;
        in_flight.silence_check_at = None;
        in_flight.kept.push(call_key);
    }

    /// Counts the run that an engine may have begun through a call, once.
    pub(super) fn count_run(&mut self, call_key: CallKey) {
        let Some(call) = self.calls.get_mut(&call_key) else { return };
        if call.may_begin_run() {
            call.is_counted = true;
            if let Some(in_flight) = self.in_flight.get_mut(&call.request) {
                in_flight.run_count += 1;
            }
        }
    }

    /// Handles an event of a kept call. Returns whether the call is active again, so that the event
    /// has still to be handled.
    pub(super) fn handle_kept_event(&mut self, key: CallKey, event: &CallEvent) -> bool {
        let Some(call) = self.calls.get(&key) else { return false };
        let Some(in_flight) = self.in_flight.get(&call.request) else { return false };
        let goes_on = match event {
            // A second call may have run the request by then.
            CallEvent::Answered(answer) if call.task == Task::Prefill => {
                in_flight.call.is_none() && answer.handle.is_some()
            }
            CallEvent::Answered(answer) if call.has_begun() => answer.framing == Framing::Marked,
            CallEvent::Answered(answer) => !in_flight.has_begun && is_final(answer),
            CallEvent::Began(_) => self.fits_origin(call),
            CallEvent::Forwarded(_) | CallEvent::ForwardedLate(_) | CallEvent::HeldUp => true,
            CallEvent::NotConnected
            | CallEvent::NoPort
            | CallEvent::Exhausted
            | CallEvent::Broken
            | CallEvent::NoMemory
            | CallEvent::Garbled => false,
        };
        if goes_on {
            self.recall(key);
        } else {
            self.drop_kept(key, event);
        }
        goes_on
    }

    /// Makes a kept call, which goes on, the active one, and drops the other calls of its request.
    fn recall(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key).cloned() else { return };
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        in_flight.kept.retain(|it| *it != key);
        let others: Vec<_> =
            in_flight.call.take().into_iter().chain(in_flight.kept.drain(..)).collect();
        self.log_recall(&call, others.len());
        for other in others {
            self.cancel(other);
        }
        if !call.is_continuation() {
            self.drop_continuation(call.request, "not needed");
        }
        self.reactivate(call.request, key);
        self.check_silence_in(call.request, RETRY_INTERVAL);
    }

    /// Returns to the call that was kept last, if there is one, because nothing can replace it for
    /// now.
    pub(super) fn return_to_kept(&mut self, key: RequestKey) -> bool {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return false };
        let may_run_again = in_flight.may_run_again();
        let Some(call) = in_flight.kept.pop() else { return false };
        if !may_run_again && self.calls.get(&call).is_some_and(|it| !it.runs_request()) {
            // Nothing could use its prompt.
            self.cancel(call);
            return self.return_to_kept(key);
        }
        self.reactivate(key, call);
        self.check_silence_in(key, RETRY_INTERVAL);
        true
    }

    /// Makes a call active again. Its request waits for nothing else.
    fn reactivate(&mut self, key: RequestKey, call: CallKey) {
        let is_prefill = self.calls.get(&call).is_some_and(|it| !it.runs_request());
        self.discard_grant(key);
        self.unreserve(key);
        self.waiting.retain(|it| *it != key);
        self.set_phase(key, Some(Phase::Running));
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        in_flight.waits_until = None;
        in_flight.waits_for_permit = false;
        in_flight.permit_request = None;
        in_flight.reservation.pending = None;
        in_flight.heard_since = None;
        in_flight.call = Some(call);
        if is_prefill {
            in_flight.arrivals = in_flight.arrivals.saturating_sub(1);
            in_flight.prefill_failed = false;
        }
    }

    /// Drops the kept calls of a request that another call has replaced, or that has ended.
    pub(super) fn cancel_kept(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        for call in std::mem::take(&mut in_flight.kept) {
            self.cancel(call);
        }
    }

    /// Cancels a call. If the engine could run the request through it, the request may have run.
    pub(super) fn cancel(&mut self, key: CallKey) {
        self.count_run(key);
        let Some(call) = self.take_call(key) else { return };
        self.effects.push(Effect::Cancel(key));
        if call.runs_request()
            && let Some(in_flight) = self.in_flight.get_mut(&call.request)
        {
            in_flight.trace.mark_sent();
        }
    }

    /// Drops a kept call that has failed, while its request goes on with another or waits for one.
    fn drop_kept(&mut self, key: CallKey, event: &CallEvent) {
        let Some(call) = self.take_call(key) else { return };
        match event {
            CallEvent::Began(_) => {
                self.effects.push(Effect::Cancel(key));
                self.log_failure(&call, "other version", 0);
            }
            CallEvent::Answered(answer) => {
                self.log_failure(&call, "replaced", answer.status);
                self.apply_answer(&call, answer);
                self.free_unused(&call, answer);
                if answer.execution != Execution::Ran {
                    self.discount_run(&call);
                }
            }
            CallEvent::NotConnected | CallEvent::NoPort | CallEvent::Exhausted => {
                self.log_failure(&call, "not reached", 0);
                self.discount_run(&call);
                self.refund_unsent(&call);
            }
            _ => {
                let is_garbled = *event == CallEvent::Garbled;
                self.log_failure(&call, if is_garbled { "garbled" } else { "broken" }, 0);
                self.record_failure(&call);
                self.suspect(&call);
            }
        }
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        if in_flight.kept.is_empty() {
            in_flight.heard_since = None;
            if in_flight.call.is_none() {
                self.proceed(call.request);
            }
        }
    }

    /// Takes back the run that was counted for a call which has not run its request.
    fn discount_run(&mut self, call: &Call) {
        if call.is_counted
            && let Some(in_flight) = self.in_flight.get_mut(&call.request)
        {
            in_flight.run_count -= 1;
        }
    }

    /// Frees the prompt that an engine has prefilled for a request that has gone on without it.
    fn free_unused(&mut self, call: &Call, answer: &Answer) {
        let Some(handle) = answer.handle.clone() else { return };
        let (engine, address) = (call.engine.key, call.engine.address);
        self.free(Some(Source { engine, address, handle }));
    }

    /// Records that something has come from an engine. What its silence has set off ends.
    pub(super) fn hear(&mut self, engine: &Engine) {
        let now = self.now;
        self.unheard_since.remove(&engine.service);
        self.clear_survived(engine);
        let Some(record) = self.directory.get_mut(engine.key) else { return };
        if !record.engine.is_same_incarnation(engine) {
            return;
        }
        let Some(SilenceEnd { was_avoided }) = record.health.record_heard(now) else { return };
        if was_avoided {
            let running = Incarnation { engine: engine.key, started_at: engine.started_at };
            self.clear_crashes(running);
            self.drop_findings(engine.key);
            self.unannounced.reached.push(engine.key);
        }
        self.log(LogEvent::WentOn { id: engine.id.clone(), was_avoided });
    }

    /// Records that an engine has answered a probe, with the start time of its incarnation if it
    /// reports that.
    pub(super) fn hear_probed(&mut self, engine: EngineKey, started_at: Option<u64>) {
        let Some(record) = self.directory.get(engine) else { return };
        let engine = record.engine.clone();
        if started_at.is_none_or(|it| engine.started_at.is_none_or(|known| known == it)) {
            self.hear(&engine);
        }
    }

    /// Records that an engine left a probe unanswered, although a connection opened.
    pub(super) fn record_unanswered(&mut self, engine: EngineKey) {
        let now = self.now;
        if let Some(record) = self.directory.get_mut(engine) {
            record.health.record_unanswered(now);
        }
    }

    /// Records that no connection to an engine opens. If calls to it are silent, it is avoided.
    pub(super) fn record_silent_unreached(&mut self, engine: EngineKey) {
        if !self.silent_requests(engine).is_empty() {
            self.blame_for_silence(engine);
        }
    }

    /// Avoids an engine that can't be reached and whose calls are silent, until something comes from
    /// it.
    fn blame_for_silence(&mut self, engine: EngineKey) {
        self.mark_unreachable(engine);
        if let Some(record) = self.directory.get_mut(engine) {
            record.health.blame_for_silence();
        }
    }

    /// Checks the silent calls at an engine of which something new is known.
    pub(super) fn recheck_silent(&mut self, engine: EngineKey) {
        for key in self.silent_requests(engine) {
            self.check_silence_in(key, Duration::ZERO);
        }
    }

    /// Returns the requests whose active call at an engine is silent.
    fn silent_requests(&self, engine: EngineKey) -> Vec<RequestKey> {
        let is_silent = |call: &Call| {
            let timeouts = call.timeouts.filter(|_| !call.is_held_up);
            timeouts.is_some_and(|it| self.silence(call) >= it.min())
        };
        let at_engine =
            self.calls.iter().filter(|(_, it)| it.engine.key == engine && is_silent(it));
        let is_active = |key: CallKey, call: &Call| {
            self.in_flight.get(&call.request).is_some_and(|it| it.call == Some(key))
        };
        let mut requests: Vec<_> =
            at_engine.filter(|(key, it)| is_active(**key, it)).map(|(_, it)| it.request).collect();
        requests.sort();
        requests
    }

    /// Returns whether an engine stood still, or could not be reached, at some time since the last
    /// event of a call. What the call measures then says nothing about the engine's speed.
    pub(super) fn has_stood_still(&self, call: &Call) -> bool {
        let record = self.directory.get(call.engine.key);
        record.is_some_and(|it| it.health.went_on_at() > Some(call.last_event_at))
    }

    /// Logs that a call is silent and another engine is tried.
    fn log_silent(&mut self, call: &Call, standing: Standing) {
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        in_flight.last_failure = Some("silent");
        let request = in_flight.request.id.clone();
        self.log(LogEvent::Silent {
            request,
            engine: call.engine.id.clone(),
            silent_for: call.silent_for(self.now),
            has_begun: call.has_begun(),
            standing,
        });
    }

    /// Logs that a silent call goes on.
    fn log_recall(&mut self, call: &Call, dropped: usize) {
        let Some(in_flight) = self.in_flight.get_mut(&call.request) else { return };
        in_flight.last_failure = None;
        let request = in_flight.request.id.clone();
        let (engine, silent_for) = (call.engine.id.clone(), call.silent_for(self.now));
        self.log(LogEvent::Recalled { request, engine, silent_for, dropped });
    }
}

/// Returns whether an answer that is no stream may be delivered although another call might bring a
/// better one.
fn is_final(answer: &Answer) -> bool {
    answer.execution == Execution::Ran
        && answer.status < MIN_SERVER_ERROR_STATUS
        && !NOT_RUN_STATUSES.contains(&answer.status)
}
