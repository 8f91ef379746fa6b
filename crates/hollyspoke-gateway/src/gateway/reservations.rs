//! Reservations at decode engines whose memory is short, made before the prompt is prefilled.
//!
//! A request waits for the engine's answer, bounded by [`ANSWER_TIMEOUT`], and meanwhile holds the
//! memory in the ledger. A reservation belongs to its request until the next call, which uses it or
//! drops it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use super::start::NextCall;
use crate::class::Phase;
use crate::effect::{Effect, LogEvent, Task};
use crate::engine::{Engine, EngineKey};
use crate::in_flight::{Call, InFlight};
use crate::request::RequestKey;
use crate::reservation::{
    ANSWER_TIMEOUT, Answer, Ask, Grant, MAX_ASK_COUNT, Memory, Pending, Reservation, ttl,
};

/// An ask that the engine has not answered.
#[derive(Debug, Clone)]
struct Asked {
    /// The ask.
    ask: Ask,
    /// When it was sent.
    sent: Time,
}

/// The asks of this box.
#[derive(Debug, Clone, Default)]
pub(super) struct Reservations {
    /// The unanswered asks by number, including those whose requests no longer wait.
    asks: BTreeMap<u64, Asked>,
    /// The number of the last ask.
    last_number: u64,
}

impl Reservations {
    /// Returns whether an ask is unanswered.
    pub(super) fn has_asks(&self) -> bool {
        !self.asks.is_empty()
    }
}

/// A reservation that a request needs before its prompt is prefilled.
pub(super) struct Required {
    /// The decode engine.
    engine: Arc<Engine>,
    /// The tokens to reserve.
    tokens: u64,
    /// The TTL of the reservation.
    ttl: Duration,
}

impl Gateway {
    /// Returns the reservation that a request needs before its next call, if the call is a prefill
    /// for a decode engine whose memory is short.
    pub(super) fn required_reservation(
        &self,
        in_flight: &InFlight,
        next: &NextCall,
    ) -> Option<Required> {
        if !self.settings.features.reservations || next.task != Task::Prefill {
            return None;
        }
        let max = in_flight.service.staged?.operations.max_reservation?;
        let engine = next.decode_engine?;
        if self.granted_engine(in_flight) == Some(engine) || !self.accepts_auxiliary(engine) {
            return None;
        }
        let has_asked_enough = in_flight.reservation.failed_count >= MAX_ASK_COUNT;
        if in_flight.reservation.meets_silence() || has_asked_enough && in_flight.call_count > 0 {
            return None;
        }
        let record = self.directory.get(engine).filter(|it| !it.lacks_reservations)?;
        self.memory(in_flight, engine)?.is_short().then(|| Required {
            engine: record.engine.clone(),
            tokens: in_flight.request.final_held_tokens(),
            ttl: ttl(max),
        })
    }

    /// Returns what this box knows about the memory of an engine for a request.
    fn memory(&self, in_flight: &InFlight, engine: EngineKey) -> Option<Memory> {
        let record = self.directory.get(engine)?;
        let heard = self.members.count(self.now);
        let boxes = self.known_boxes().unwrap_or(heard).max(heard);
        let own = in_flight.reserved.filter(|(at, _)| *at == engine);
        let own = own.map_or(0, |(_, load)| u64::from(load.held_tokens));
        Some(Memory {
            capacity: in_flight.service.staged?.memory_tokens,
            held: u64::from(self.ledger.at(engine).held_tokens).saturating_sub(own),
            needed: in_flight.request.mean_held_tokens(),
            is_contested: self.ledger.is_contested(engine, self.now),
            since_rejection: record.since_rejection(self.now),
            heard_share: heard as f64 / boxes as f64,
        })
    }

    /// Asks for a reservation, or lets the request wait for capacity if it has asked often enough.
    pub(super) fn ask_or_wait(&mut self, key: RequestKey, required: Required) {
        match self.in_flight.get(&key) {
            Some(it) if it.reservation.may_ask() => self.ask(key, required),
            _ => self.wait_for_capacity(key),
        }
    }

    /// Asks an engine for a reservation. Until its answer, the request waits for nothing else and
    /// holds the memory in the ledger.
    fn ask(&mut self, key: RequestKey, required: Required) {
        self.discard_grant(key);
        self.unreserve(key);
        self.reserve(key, Some(required.engine.key));
        self.set_phase(key, Some(Phase::Running));
        self.waiting.retain(|it| *it != key);
        self.reservations.last_number += 1;
        let number = self.reservations.last_number;
        let until = self.now + ANSWER_TIMEOUT;
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        in_flight.waits_until = None;
        in_flight.waits_for_permit = false;
        in_flight.reservation.pending = Some(Pending { number, until });
        self.wake_at(key, Some(until));
        let Required { engine, tokens, ttl } = required;
        let ask = Ask { request: key, number, engine, tokens, ttl };
        self.reservations.asks.insert(number, Asked { ask: ask.clone(), sent: self.now });
        self.effects.push(Effect::Reserve(ask));
    }

    /// Handles an engine's answer. A reservation that no request waits for any more is dropped.
    pub(super) fn handle_reservation(&mut self, number: u64, answer: Answer) {
        let Some(Asked { ask, sent }) = self.reservations.asks.remove(&number) else { return };
        self.log_ask(&ask, answer.name(), sent);
        let is_awaited =
            self.in_flight.get(&ask.request).is_some_and(|it| it.reservation.awaits(number));
        match answer {
            Answer::Granted(id) => self.handle_grant(&ask, id, sent, is_awaited),
            _ if is_awaited => self.handle_failed_ask(&ask, &answer),
            _ => self.record_failed_ask(&ask, &answer),
        }
    }

    /// Gives a reservation to the request that waits for it, which then continues, or drops it.
    fn handle_grant(&mut self, ask: &Ask, id: Arc<str>, sent: Time, is_awaited: bool) {
        let grant = Grant {
            reservation: Reservation { engine: ask.engine.clone(), id },
            tokens: ask.tokens,
            asked_at: sent,
            granted_at: self.now,
            ttl: ask.ttl,
        };
        let in_flight = self.in_flight.get_mut(&ask.request).filter(|_| is_awaited);
        let Some(in_flight) = in_flight else { return self.drop_grant(grant) };
        if !grant.is_usable(self.now) {
            self.drop_grant(grant);
            return self.end_failed_ask(ask, true);
        }
        in_flight.reservation.pending = None;
        in_flight.reservation.grant = Some(grant);
        self.proceed(ask.request);
    }

    /// Records what an answer without a reservation shows about the engine, and continues with the
    /// request.
    fn handle_failed_ask(&mut self, ask: &Ask, answer: &Answer) {
        self.record_failed_ask(ask, answer);
        if *answer == Answer::Unknown {
            self.count_unanswered_ask(ask);
        }
        self.end_failed_ask(ask, *answer != Answer::Unsupported);
    }

    /// Counts an ask that was not answered.
    fn count_unanswered_ask(&mut self, ask: &Ask) {
        if let Some(in_flight) = self.in_flight.get_mut(&ask.request) {
            in_flight.reservation.unanswered_count += 1;
        }
    }

    /// Records what an answer without a reservation shows about the engine.
    fn record_failed_ask(&mut self, ask: &Ask, answer: &Answer) {
        let engine = ask.engine.key;
        if !self.has_incarnation(&ask.engine) {
            return;
        }
        match answer {
            Answer::Full => {
                let held = self.in_flight.get(&ask.request).map(|it| it.capacity_units());
                let asked = u32::try_from(ask.tokens).unwrap_or(u32::MAX / 4);
                self.record_rejection(engine, held.unwrap_or(asked));
            }
            Answer::Unsupported => {
                if let Some(record) = self.directory.get_mut(engine) {
                    record.lacks_reservations = true;
                }
            }
            Answer::Replaced => {
                self.mark_misdirected(&ask.engine);
            }
            Answer::NotConnected => self.mark_unreachable(engine),
            Answer::Granted(_) | Answer::Exhausted | Answer::Unknown => {}
        }
    }

    /// Continues with a request whose ask failed. Other engines are preferred, if the ask `counts`.
    fn end_failed_ask(&mut self, ask: &Ask, counts: bool) {
        self.unreserve(ask.request);
        let Some(in_flight) = self.in_flight.get_mut(&ask.request) else { return };
        in_flight.reservation.pending = None;
        if counts {
            in_flight.reservation.failed_count += 1;
            // The last engine is the one that the request was last sent to.
            in_flight.tried.insert(0, ask.engine.key);
        }
        self.proceed(ask.request);
    }

    /// Returns whether a request waits for an engine's answer to an ask.
    pub(super) fn is_asking(&self, key: RequestKey) -> bool {
        self.in_flight.get(&key).is_some_and(|it| it.reservation.pending.is_some())
    }

    /// Returns whether a request has waited too long for an engine's answer.
    pub(super) fn has_unanswered_ask(&self, in_flight: &InFlight) -> bool {
        in_flight.reservation.pending.is_some_and(|it| it.until <= self.now)
    }

    /// Continues with a request whose ask was not answered in time.
    pub(super) fn abandon_ask(&mut self, key: RequestKey) {
        let pending = self.in_flight.get(&key).and_then(|it| it.reservation.pending);
        let asked = pending.and_then(|it| self.reservations.asks.get(&it.number));
        let Some(Asked { ask, .. }) = asked.cloned() else { return };
        self.count_unanswered_ask(&ask);
        self.end_failed_ask(&ask, true);
    }

    /// Returns the engine that has a usable reservation for a request.
    pub(super) fn granted_engine(&self, in_flight: &InFlight) -> Option<EngineKey> {
        let grant = in_flight.reservation.grant.as_ref().filter(|it| it.is_usable(self.now))?;
        let granted = &grant.reservation.engine;
        self.has_incarnation(granted).then_some(granted.key)
    }

    /// Returns whether an engine is still listed with the same incarnation.
    fn has_incarnation(&self, engine: &Engine) -> bool {
        self.directory.get(engine.key).is_some_and(|it| it.engine.is_same_incarnation(engine))
    }

    /// Takes a request's reservation for its next call, and returns the id if the engine that
    /// reserved memory decodes. Otherwise the reservation is dropped.
    pub(super) fn use_grant(&mut self, key: RequestKey, next: &NextCall) -> Option<Arc<str>> {
        let granted = self.in_flight.get(&key).and_then(|it| self.granted_engine(it));
        if granted != Some(next.choice.engine.key) || next.task == Task::Prefill {
            self.discard_grant(key);
            return None;
        }
        let grant = self.in_flight.get_mut(&key)?.reservation.grant.take()?;
        Some(grant.reservation.id)
    }

    /// Gives up a request's reservation that can't be used any more, with the memory in the ledger.
    pub(super) fn expire_grant(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        if in_flight.reservation.grant.is_some() && self.granted_engine(in_flight).is_none() {
            self.discard_grant(key);
            self.unreserve(key);
        }
    }

    /// Drops a request's reservation, if it has one.
    pub(super) fn discard_grant(&mut self, key: RequestKey) {
        let in_flight = self.in_flight.get_mut(&key);
        if let Some(grant) = in_flight.and_then(|it| it.reservation.grant.take()) {
            self.drop_grant(grant);
        }
    }

    /// Drops an unused reservation, unless it is gone. An engine that accepts no calls from this box
    /// for now drops it by itself.
    fn drop_grant(&mut self, grant: Grant) {
        self.log(LogEvent::ReservationUnused {
            engine: grant.reservation.engine.id.clone(),
            tokens: grant.tokens,
            duration: grant.duration(self.now),
        });
        let engine = &grant.reservation.engine;
        let may_exist = grant.may_exist(self.now) && self.has_incarnation(engine);
        if may_exist && self.accepts_auxiliary(engine.key) {
            self.effects.push(Effect::DropReservation(grant.reservation));
        }
    }

    /// Drops the reservation of a call that its engine rejected. The request did not run, so the
    /// engine keeps the reservation until its TTL ends.
    pub(super) fn drop_unused_reservation(&mut self, call: &Call) {
        let Some(id) = call.reservation.clone() else { return };
        if self.has_incarnation(&call.engine) && self.accepts_auxiliary(call.engine.key) {
            let reservation = Reservation { engine: call.engine.clone(), id };
            self.effects.push(Effect::DropReservation(reservation));
        }
    }

    /// Logs how an engine answered an ask.
    fn log_ask(&mut self, ask: &Ask, outcome: &'static str, sent: Time) {
        let request = self.in_flight.get(&ask.request).map(|it| it.request.id.clone());
        self.log(LogEvent::ReservationAsked {
            request: request.unwrap_or_default(),
            engine: ask.engine.id.clone(),
            tokens: ask.tokens,
            outcome,
            after: self.now.since(sent),
        });
    }
}
