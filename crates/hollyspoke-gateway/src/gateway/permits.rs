//! Permits for engines in need: asked of the box that issues them, issued, and used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::engine::EngineKey;
use crate::in_flight::{Exclusion, InFlight, PermitRequest};
use crate::message::{DataCentreKey, Extension, Message};
use crate::permit::{
    ANSWER_TIMEOUT, Ask, Holder, Issuer, Outcome, PART_COUNT, RETRY_DELAY, Reply, Side,
};
use crate::placement::PermitWait;
use crate::rate_limit::Announcement;
use crate::request::RequestKey;
use crate::terms::Restriction;

/// The most questions for permits of one call. Each takes a datagram and its answer; where all
/// engines of a service are in need, a fifth one seldom finds what four did not.
const MAX_ASKS: u32 = 4;

/// The share of the target for which a request waits for permits before it is refused: as for room.
const WAIT_SHARE: f64 = 0.22;

/// The engines in need of which a box looks with one heartbeat whether it issues their permits. Each
/// look goes over all boxes: what a heartbeat costs must not grow with boxes times engines.
const MAX_CHECKED_PER_HEARTBEAT: usize = 256;

/// How long a question is kept for its answer.
const QUESTION_RETENTION: Duration = Duration::from_secs(1);

/// Whether a request may be sent to an engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permission {
    /// It may.
    Granted,
    /// It waits for a permit.
    Pending,
    /// There is no permit in time.
    Refused,
}

/// A question that has no answer yet.
#[derive(Debug, Clone, Copy)]
struct Question {
    /// The request.
    flight: RequestKey,
    /// The engine.
    engine: EngineKey,
    /// When it was asked.
    at: Time,
}

/// What this box has of permits.
#[derive(Debug, Clone, Default)]
pub(super) struct Permits {
    /// Those that it holds.
    pub(super) held: Holder,
    /// Those that it issues.
    issuer: Issuer,
    /// Its questions for others.
    questions: BTreeMap<u64, Question>,
    /// The number of the last question.
    last_number: u64,
    /// The engines whose permits this box issues, of those that it looked at with its last heartbeat.
    issued: Vec<EngineKey>,
    /// The last of the engines in need that it looked at, if there are more.
    last_checked: Option<EngineKey>,
}

impl Permits {
    /// Gives when a permit can be used that can't be yet.
    pub(super) fn next_start(&self, now: Time) -> Option<Time> {
        self.held.next_start(now)
    }
}

impl Gateway {
    /// Tells whether a request may ask for permits.
    pub(super) fn asking(&self, flight: &InFlight) -> PermitWait {
        match flight.permit_request {
            Some(asked) if self.is_waiting_for(&asked) => PermitWait::At(asked.engine),
            _ if flight.permit_request_count >= MAX_ASKS
                || self.permit_deadline(flight) <= self.now =>
            {
                PermitWait::Never
            }
            _ => PermitWait::Open(self.patience(flight)),
        }
    }

    /// Tells whether a question may still bring a permit.
    fn is_waiting_for(&self, asked: &PermitRequest) -> bool {
        let is_left = !asked.is_issued || self.permits.held.expects(asked.engine, self.now);
        self.now < asked.until && is_left
    }

    /// Tells whether a request has asked for a permit that does not come.
    pub(super) fn has_failed_question(&self, flight: &InFlight) -> bool {
        flight.permit_request.is_some_and(|it| !self.is_waiting_for(&it))
    }

    /// Gives until when a request may wait for permits.
    pub(super) fn permit_deadline(&self, flight: &InFlight) -> Time {
        let duration = flight.route.target_latency.mul_f64(WAIT_SHARE);
        if flight.source.is_some() {
            return flight.handle_end();
        }
        let begun = if flight.call_count == 0 { flight.arrived } else { self.now };
        (begun + duration).min(flight.deadline)
    }

    /// Gets a permit for a request that is to go to an engine, if it needs one.
    pub(super) fn acquire_permit(&mut self, key: RequestKey, engine: EngineKey) -> Permission {
        if self.terms.limits.of(engine).is_none() || self.permits.held.has(engine, self.now) {
            return Permission::Granted;
        }
        self.drop_failed_question(key);
        let Some(flight) = self.in_flight.get_mut(&key) else { return Permission::Refused };
        if flight.permit_request.is_some_and(|it| it.engine == engine) {
            return Permission::Pending;
        }
        flight.permit_request_count += 1;
        let patience = self.in_flight.get(&key).map_or(Duration::ZERO, |it| self.patience(it));
        let issuer = self.issuer(engine);
        if issuer == self.settings.peer {
            self.issue_locally(key, engine, patience)
        } else {
            self.ask_for_permit(key, engine, patience, issuer);
            Permission::Pending
        }
    }

    /// Forgets a question that brings no permit any more: one without an answer is not asked again at
    /// once.
    fn drop_failed_question(&mut self, key: RequestKey) {
        let Some(asked) = self.in_flight.get(&key).and_then(|it| it.permit_request) else { return };
        if self.is_waiting_for(&asked) {
            return;
        }
        if !asked.is_issued {
            self.permits.held.refuse(asked.engine, RETRY_DELAY, self.now);
        }
        self.end_question(key, asked.engine);
    }

    /// Notes that a request's question for a permit of an engine brings none. It may have asked for
    /// another one since.
    fn end_question(&mut self, key: RequestKey, engine: EngineKey) {
        let Some(flight) = self.in_flight.get_mut(&key) else { return };
        flight.permit_request.take_if(|it| it.engine == engine);
        flight.exclude(Exclusion { engine, reason: Restriction::RateLimit });
    }

    /// Issues a permit to a request of this box.
    fn issue_locally(
        &mut self,
        key: RequestKey,
        engine: EngineKey,
        patience: Duration,
    ) -> Permission {
        match self.issue(engine, patience) {
            Outcome::Issued(0) => {
                self.permits.held.add(engine, self.now);
                Permission::Granted
            }
            Outcome::Unlimited => Permission::Granted,
            Outcome::Issued(in_ms) => {
                let from = self.now + millis(in_ms);
                self.permits.held.add(engine, from);
                let until = from + ANSWER_TIMEOUT;
                self.await_permit(key, PermitRequest { engine, until, is_issued: true });
                Permission::Pending
            }
            Outcome::Refused(wait_ms) => {
                self.exclude_engine(key, engine, millis(wait_ms));
                Permission::Refused
            }
        }
    }

    /// Asks another box for a permit.
    fn ask_for_permit(
        &mut self,
        key: RequestKey,
        engine: EngineKey,
        patience: Duration,
        issuer: SocketAddr,
    ) {
        let Some(word) = self.terms.limits.announcement(engine, self.now) else { return };
        self.permits.last_number += 1;
        let number = self.permits.last_number;
        let patience_ms = millis_rounded_up(patience);
        let question = Question { flight: key, engine, at: self.now };
        self.permits.questions.insert(number, question);
        let until = self.now + ANSWER_TIMEOUT;
        self.await_permit(key, PermitRequest { engine, until, is_issued: false });
        let asks = vec![Ask { number, word, patience_ms }];
        let extension = Extension { asks, ..Extension::default() }.non_empty();
        let message = Message { extension, ..self.message(false) };
        self.send_to(vec![issuer], message);
    }

    /// Gives for how long a request may wait for its turn: the higher its rank, the longer, so that
    /// the next turns are left to the higher ranks.
    fn patience(&self, flight: &InFlight) -> Duration {
        let left = self.permit_deadline(flight).since(self.now);
        left / (1 + u32::from(flight.priority()))
    }

    /// Has a request wait for a permit.
    fn await_permit(&mut self, key: RequestKey, asked: PermitRequest) {
        let Some(flight) = self.in_flight.get_mut(&key) else { return };
        flight.permit_request = Some(asked);
        flight.waits_for_permit |= flight.waits_until.is_none();
        let until = flight.waits_until.map_or(asked.until, |it| it.max(asked.until));
        self.wait_until(key, until);
        self.wake_at(key, Some(asked.until));
    }

    /// Notes that a request can't go to an engine, and that no other can for a time.
    fn exclude_engine(&mut self, key: RequestKey, engine: EngineKey, wait: Duration) {
        self.permits.held.refuse(engine, wait, self.now);
        self.end_question(key, engine);
    }

    /// Gives the box that issues an engine's permits.
    fn issuer(&self, engine: EngineKey) -> SocketAddr {
        let known = self.directory.get(engine);
        let data_centre = known.map(|it| DataCentreKey::of(&it.engine.data_centre));
        let data_centre = data_centre.unwrap_or_default();
        self.members.issuer(self.settings.peer, self.is_ready(), engine, data_centre)
    }

    /// Decides on a permit for an engine whose permits this box issues.
    fn issue(&mut self, engine: EngineKey, patience: Duration) -> Outcome {
        let Some(limit) = self.terms.limits.of(engine) else { return Outcome::Unlimited };
        let side = self.side(engine);
        match self.permits.issuer.issue(engine, limit.rate, side, patience, self.now) {
            Ok(wait) => Outcome::Issued(millis_rounded_up(wait)),
            Err(wait) => Outcome::Refused(millis_rounded_up(wait).max(1)),
        }
    }

    /// Tells how this box stands to the others as an issuer.
    fn side(&self, engine: EngineKey) -> Side {
        let boxes = self.sharing_boxes();
        if (1 + self.members.on_time_count(self.now)) * 2 > boxes {
            return Side::Majority;
        }
        Side::Minority(self.members.alive_among_first(
            self.settings.peer,
            engine,
            PART_COUNT,
            boxes,
        ))
    }

    /// Takes in questions for permits, and answers to this box's own.
    pub(super) fn receive_permits(&mut self, sender: SocketAddr, told: &Extension) {
        let replies: Vec<_> = told.asks.iter().map(|it| self.answer(it)).collect();
        if !replies.is_empty() {
            let extension = Extension { replies, ..Extension::default() }.non_empty();
            let answer = Message { extension, ..self.message(false) };
            self.send_to(vec![sender], answer);
        }
        for reply in &told.replies {
            self.handle_reply(reply);
        }
    }

    /// Answers a question for a permit. A box that does not issue the engine's permits, as it knows the
    /// others, refuses it: two that issue them would issue them twice.
    fn answer(&mut self, ask: &Ask) -> Reply {
        let engine = ask.word.engine;
        let outcome = if self.issuer(engine) == self.settings.peer {
            self.issue(engine, millis(ask.patience_ms))
        } else {
            Outcome::Refused(millis_rounded_up(RETRY_DELAY))
        };
        Reply { number: ask.number, engine, outcome }
    }

    /// Takes the answer to a question for a permit.
    fn handle_reply(&mut self, reply: &Reply) {
        let Some(question) = self.permits.questions.remove(&reply.number) else { return };
        let Question { flight: key, engine, at } = question;
        if engine != reply.engine || self.now.since(at) > ANSWER_TIMEOUT {
            return;
        }
        self.may_have_capacity = true;
        match reply.outcome {
            Outcome::Issued(in_ms) => {
                let from = self.now + millis(in_ms);
                self.permits.held.add(engine, from);
                let until = from + ANSWER_TIMEOUT;
                self.extend_wait(key, PermitRequest { engine, until, is_issued: true });
            }
            Outcome::Refused(wait_ms) => self.exclude_engine(key, engine, millis(wait_ms)),
            Outcome::Unlimited => self.forget_limit(engine),
        }
    }

    /// Has a request that asked go on waiting, for a permit that can be used later.
    fn extend_wait(&mut self, key: RequestKey, asked: PermitRequest) {
        let waits = self.in_flight.get(&key).and_then(|it| it.permit_request);
        if waits.is_some_and(|it| it.engine == asked.engine) {
            self.await_permit(key, asked);
        }
    }

    /// Gives after which time an engine in need takes one more request, if it is in need.
    pub(super) fn permit_wait(&self, engine: EngineKey) -> Option<Duration> {
        let limit = self.terms.limits.of(engine)?;
        let average = Duration::from_secs_f64(1.0 / limit.rate);
        Some(self.permits.held.wait(engine, self.now).unwrap_or(average))
    }

    /// Forgets permits and questions that are over, and goes by which engines' permits this box issues
    /// now.
    pub(super) fn sweep_permits(&mut self) {
        let now = self.now;
        let directory = &self.directory;
        self.terms.limits.sweep(now, |engine, born| {
            directory.get(engine).is_some_and(|it| born.is_none() || it.engine.started_at <= born)
        });
        self.permits.held.sweep(now);
        self.permits.questions.retain(|_, it| now.since(it.at) < QUESTION_RETENTION);
        let limits = &self.terms.limits;
        self.permits.issuer.retain(|it| limits.of(it).is_some());
        let checked =
            self.terms.limits.limited_after(self.permits.last_checked, MAX_CHECKED_PER_HEARTBEAT);
        let has_more = checked.len() == MAX_CHECKED_PER_HEARTBEAT;
        self.permits.last_checked = checked.last().copied().filter(|_| has_more);
        let (issued, others): (Vec<_>, Vec<_>) =
            checked.into_iter().partition(|&it| self.issues(it));
        others.into_iter().for_each(|it| self.permits.issuer.end(it));
        issued.iter().for_each(|&it| self.permits.issuer.begin(it, now));
        self.permits.issued = issued;
    }

    /// Gives the limits that this box's heartbeat tells: those of the engines whose permits it issues,
    /// so that each is told by one box, and those that were lifted of late.
    pub(super) fn limits_to_announce(&self) -> Vec<Announcement> {
        let issued = self.permits.issued.iter().copied();
        let lifted = self.terms.limits.lifted().filter(|&it| self.issues(it));
        issued.chain(lifted).filter_map(|it| self.terms.limits.announcement(it, self.now)).collect()
    }

    /// Begins to issue the permits of an engine that has just named a limit, if this box issues them.
    pub(super) fn begin_to_issue(&mut self, engine: EngineKey) {
        if self.terms.limits.of(engine).is_some() && self.issues(engine) {
            self.permits.issuer.begin(engine, self.now);
        }
    }

    /// Tells whether this box issues an engine's permits.
    pub(super) fn issues(&self, engine: EngineKey) -> bool {
        self.issuer(engine) == self.settings.peer
    }
}

/// Gives a span of whole milliseconds.
fn millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}

/// Gives a span in milliseconds, rounded up.
fn millis_rounded_up(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
