//! The end of a request: by its answer, its deadline, its client, or because no engine can take it.

use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::{Effect, Exclusion, LogEvent, NotRunReason, Refusal, Source};
use crate::request::{CallKey, RequestKey};

/// When a client may retry a request that no engine could take.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(600);

impl Gateway {
    /// Checks the requests that are due: their deadline has passed, or their engine is silent.
    pub(super) fn check_due_requests(&mut self) {
        while let Some(&(due, key)) = self.due.first() {
            if due > self.now {
                return;
            }
            self.due.pop_first();
            self.check_due_request(key);
        }
    }

    /// Checks one request that is due.
    fn check_due_request(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        if in_flight.deadline <= self.now {
            return self.time_out(key);
        }
        if self.has_unanswered_ask(in_flight) {
            return self.abandon_ask(key);
        }
        if self.has_failed_question(in_flight) {
            return self.proceed(key);
        }
        if in_flight.waits_until.is_some_and(|it| it <= self.now) {
            return self.refuse_for_capacity(key);
        }
        let Some(check_at) = in_flight.silence_check_at else { return };
        if check_at > self.now {
            self.due.insert((check_at, key));
            return;
        }
        self.check_silence(key);
    }

    /// Schedules a check of a request at a time.
    pub(super) fn wake_at(&mut self, key: RequestKey, time: Option<Time>) {
        if let Some(time) = time {
            self.due.insert((time, key));
        }
    }

    /// Ends a request because its deadline has passed.
    fn time_out(&mut self, key: RequestKey) {
        self.give_up(key, NotRunReason::TimedOut);
    }

    /// Returns whether the request of an active call may be sent to another engine.
    pub(super) fn can_move(&self, call_key: CallKey) -> bool {
        let Some(call) = self.calls.get(&call_key) else { return false };
        let Some(in_flight) = self.in_flight.get(&call.request) else { return false };
        let run_count = in_flight.run_count + u32::from(call.may_begin_run());
        !call.runs_request() || run_count < in_flight.route.max_attempts
    }

    /// Ends a request whose client has disconnected.
    pub(super) fn handle_disconnect(&mut self, key: RequestKey) {
        self.drop_calls(key);
        if self.in_flight.get(&key).is_some_and(|it| !it.trace.is_sent()) {
            self.refund_units(key);
        }
        self.end(key, "client left");
    }

    /// Gives a request up.
    pub(super) fn give_up(&mut self, key: RequestKey, reason: NotRunReason) {
        self.give_up_with_retry(key, reason, RETRY_AFTER);
    }

    /// Gives a request up, unless a silent call is kept that may still answer it. If it has not run,
    /// the client may retry after `retry`.
    pub(super) fn give_up_with_retry(
        &mut self,
        key: RequestKey,
        reason: NotRunReason,
        retry: Duration,
    ) {
        if reason != NotRunReason::TimedOut && self.return_to_kept(key) {
            return;
        }
        self.drop_calls(key);
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        if in_flight.has_begun {
            return self.abort(key);
        }
        let refusal = match in_flight.trace.not_run() {
            Some(proof) => Refusal::NotRun(proof, reason, retry),
            None if in_flight.deadline <= self.now => Refusal::TimedOut,
            None => Refusal::Failed,
        };
        let outcome = match refusal {
            Refusal::NotRun(_, reason, _) => reason.name(),
            Refusal::OverLimit(..) => "over limit",
            Refusal::UnknownKey => "unknown key",
            Refusal::Quarantined(_) => "held back",
            Refusal::NoRoute => "no route",
            Refusal::Failed => "broken",
            Refusal::TimedOut => "time passed",
        };
        if matches!(refusal, Refusal::NotRun(..)) {
            self.refund_units(key);
        }
        self.effects.push(Effect::Refuse(key, refusal));
        self.end(key, outcome);
    }

    /// Aborts an answer that has begun, so that the client sees that it is incomplete, unless a silent
    /// call is kept that may still complete it.
    pub(super) fn abort(&mut self, key: RequestKey) {
        if self.return_to_kept(key) {
            return;
        }
        self.drop_calls(key);
        self.effects.push(Effect::Abort(key));
        self.end(key, "broken off");
    }

    /// Frees a prefilled prompt, if there is one. An engine that accepts no calls from this box for
    /// now drops the prompt by itself.
    pub(super) fn free(&mut self, source: Option<Source>) {
        if let Some(source) = source
            && self.accepts_auxiliary(source.engine)
        {
            self.effects.push(Effect::Free(source));
        }
    }

    /// Removes a request and frees its prefilled prompt if no engine has imported it.
    pub(super) fn end(&mut self, key: RequestKey, outcome: &'static str) {
        self.cancel_kept(key);
        self.unreserve(key);
        self.discard_grant(key);
        self.end_migration(key);
        self.set_phase(key, None);
        let Some(in_flight) = self.in_flight.remove(&key) else { return };
        self.log_return(&in_flight, outcome);
        self.due.remove(&(in_flight.deadline, key));
        self.free(in_flight.source);
        let after = self.now.since(in_flight.arrived);
        let customer = in_flight.customer.map(|it| it.name.clone());
        let (request, units) = (in_flight.request.id, in_flight.units);
        let exclusions = in_flight.exclusions.iter().map(|it| {
            let engine = self.engine_name(it.engine).into();
            Exclusion { engine, reason: it.reason }
        });
        let exclusions = exclusions.collect();
        let last_failure = in_flight.last_failure;
        self.log(LogEvent::Ended {
            request,
            customer,
            units,
            exclusions,
            outcome,
            last_failure,
            after,
        });
    }

    /// Drops all calls of a request.
    fn drop_calls(&mut self, key: RequestKey) {
        self.drop_proxied(key);
        self.cancel_kept(key);
        if let Some(call) = self.in_flight.get(&key).and_then(|it| it.call) {
            self.cancel(call);
        }
    }
}
