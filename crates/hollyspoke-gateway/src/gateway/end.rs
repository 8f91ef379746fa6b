//! The end of a request: by its answer, its time, its client, or because nobody can take it.

use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::{Effect, KeptFrom, NotRunReason, Note, Refusal, Source};
use crate::request::{CallKey, FlightKey};

/// When a client may come back whose request no engine could take.
const RETRY_AFTER: Duration = Duration::from_millis(600);

impl Gateway {
    /// Looks at the requests that are due: their time has passed, or their engine is silent.
    pub(super) fn expire(&mut self) {
        while let Some(&(due, key)) = self.due.first() {
            if due > self.now {
                return;
            }
            self.due.pop_first();
            self.expire_one(key);
        }
    }

    /// Looks at one request that is due.
    fn expire_one(&mut self, key: FlightKey) {
        let Some(flight) = self.flights.get(&key) else { return };
        if flight.ends <= self.now {
            return self.time_out(key);
        }
        if self.has_failed_question(flight) {
            return self.proceed(key);
        }
        if flight.waits_until.is_some_and(|it| it <= self.now) {
            return self.refuse_for_room(key);
        }
        let Some(patience) = flight.patience else { return };
        if patience > self.now {
            self.due.insert((patience, key));
            return;
        }
        self.fall_silent(key);
    }

    /// Has a request looked at again at a time.
    pub(super) fn wake_at(&mut self, key: FlightKey, time: Option<Time>) {
        if let Some(time) = time {
            self.due.insert((time, key));
        }
    }

    /// Gives a request its final answer because its time has passed.
    fn time_out(&mut self, key: FlightKey) {
        self.give_up(key, NotRunReason::TimedOut);
    }

    /// Drops a call whose engine is silent and goes on elsewhere, if the request may be sent
    /// elsewhere. Else silence is no reason to end it.
    fn fall_silent(&mut self, key: FlightKey) {
        let Some(call_key) = self.flights.get(&key).and_then(|it| it.call) else { return };
        if !self.can_leave(call_key) {
            return;
        }
        let Some(call) = self.take_call(call_key) else { return };
        self.effects.push(Effect::Cancel(call_key));
        self.note_failure(&call, "silent", 0);
        self.miss(&call);
        self.suspect(&call);
        self.lost(&call);
    }

    /// Tells whether a request may be sent elsewhere while a call is under way.
    fn can_leave(&self, call_key: CallKey) -> bool {
        let Some(call) = self.calls.get(&call_key) else { return false };
        let Some(flight) = self.flights.get(&call.flight) else { return false };
        let runs = flight.runs + u32::from(call.is_run() && !call.has_begun);
        !call.is_run() || runs < flight.route.max_attempts
    }

    /// Ends a request whose client has left.
    pub(super) fn client_left(&mut self, key: FlightKey) {
        self.drop_call(key);
        if self.flights.get(&key).is_some_and(|it| !it.trace.is_sent()) {
            self.refund_units(key);
        }
        self.end(key, "client left");
    }

    /// Gives a request up.
    pub(super) fn give_up(&mut self, key: FlightKey, reason: NotRunReason) {
        self.give_up_until(key, reason, RETRY_AFTER);
    }

    /// Gives a request up; if it has not run, the client may come back after a time.
    pub(super) fn give_up_until(&mut self, key: FlightKey, reason: NotRunReason, retry: Duration) {
        self.drop_call(key);
        let Some(flight) = self.flights.get(&key) else { return };
        if flight.has_begun {
            return self.break_off(key);
        }
        let refusal = match flight.trace.not_run() {
            Some(proof) => Refusal::NotRun(proof, reason, retry),
            None if flight.ends <= self.now => Refusal::Late,
            None => Refusal::Broken,
        };
        let how = match refusal {
            Refusal::NotRun(_, reason, _) => reason.name(),
            Refusal::OverLimit(..) => "over limit",
            Refusal::UnknownKey => "unknown key",
            Refusal::Harmful(_) => "held back",
            Refusal::NoRoute => "no route",
            Refusal::Broken => "broken",
            Refusal::Late => "time passed",
        };
        if matches!(refusal, Refusal::NotRun(..)) {
            self.refund_units(key);
        }
        self.effects.push(Effect::Refuse(key, refusal));
        self.end(key, how);
    }

    /// Ends a begun answer visibly unfinished.
    pub(super) fn break_off(&mut self, key: FlightKey) {
        self.drop_call(key);
        self.effects.push(Effect::Break(key));
        self.end(key, "broken off");
    }

    /// Frees a prompt that was read, if there is one. An engine that takes nothing aside drops the
    /// prompt by itself.
    pub(super) fn free(&mut self, source: Option<Source>) {
        if let Some(source) = source
            && self.accepts_auxiliary(source.engine)
        {
            self.effects.push(Effect::Free(source));
        }
    }

    /// Removes a request and frees its prompt if nobody has taken it.
    pub(super) fn end(&mut self, key: FlightKey, how: &'static str) {
        self.unreserve(key);
        let Some(flight) = self.flights.remove(&key) else { return };
        self.due.remove(&(flight.ends, key));
        self.free(flight.source);
        let after = self.now.since(flight.arrived);
        let customer = flight.customer.map(|it| it.name.clone());
        let (request, units) = (flight.request.id, flight.units);
        let kept_from = flight.kept_from.iter().map(|it| {
            let engine = self.engine_name(it.engine).into();
            KeptFrom { engine, by: it.by }
        });
        let kept_from = kept_from.collect();
        self.note(Note::Ended { request, customer, units, kept_from, how, after });
    }

    /// Drops the call under way. If it could run the request, it may have.
    fn drop_call(&mut self, key: FlightKey) {
        let Some(call_key) = self.flights.get(&key).and_then(|it| it.call) else { return };
        let Some(call) = self.take_call(call_key) else { return };
        self.effects.push(Effect::Cancel(call_key));
        if call.is_run()
            && let Some(flight) = self.flights.get_mut(&key)
        {
            flight.trace.mark_sent();
        }
    }
}
