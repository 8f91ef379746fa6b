//! Asks for, issues and uses permits for rate-limited engines.

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
use crate::placement::PermitState;
use crate::rate_limit::Announcement;
use crate::request::RequestKey;
use crate::terms::Restriction;

/// Maximum number of permit questions per call. Each takes a datagram and its answer, and when all
/// engines of a service are rate-limited, a fifth question seldom succeeds where four did not.
const MAX_QUESTION_COUNT: u32 = 4;

/// Share of the latency target for which a request waits for permits before it is refused, the same
/// as for free capacity.
const WAIT_SHARE: f64 = 0.22;

/// Maximum number of rate-limited engines per heartbeat for which a box checks whether it issues
/// their permits. Each check iterates over all boxes, and the cost of a heartbeat must not grow
/// with boxes times engines.
const MAX_CHECKED_ENGINES_PER_HEARTBEAT: usize = 256;

/// How long a question is retained for its answer.
const QUESTION_RETENTION: Duration = Duration::from_secs(1);

/// Whether a request may be sent to an engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permission {
    /// It may be sent.
    Granted,
    /// It waits for a permit.
    Pending,
    /// No permit is available in time.
    Refused,
}

/// A question that has not been answered.
#[derive(Debug, Clone, Copy)]
struct Question {
    /// The request that waits for the permit.
    request: RequestKey,
    /// The engine asked about.
    engine: EngineKey,
    /// When the question was sent.
    at: Time,
}

/// Permit state of this box.
#[derive(Debug, Clone, Default)]
pub(super) struct Permits {
    /// Permits that this box holds.
    pub(super) held: Holder,
    /// Permits that this box issues.
    issuer: Issuer,
    /// This box's questions to other boxes, by number.
    questions: BTreeMap<u64, Question>,
    /// Number of the last question.
    last_number: u64,
    /// The engines whose permits this box issues, out of those checked with its last heartbeat.
    issued: Vec<EngineKey>,
    /// The last rate-limited engine checked, if there are more.
    last_checked: Option<EngineKey>,
}

impl Permits {
    /// Returns when the next permit becomes valid that is not valid yet.
    pub(super) fn next_start(&self, now: Time) -> Option<Time> {
        self.held.next_start(now)
    }
}

impl Gateway {
    /// Returns whether a request may ask for permits, and from which engines.
    pub(super) fn permit_state(&self, in_flight: &InFlight) -> PermitState {
        match in_flight.permit_request {
            Some(asked) if self.is_waiting_for(&asked) => PermitState::Requested(asked.engine),
            _ if in_flight.permit_request_count >= MAX_QUESTION_COUNT
                || self.permit_deadline(in_flight) <= self.now =>
            {
                PermitState::Exhausted
            }
            _ => PermitState::MayRequest(self.patience(in_flight)),
        }
    }

    /// Returns whether a question may still result in a permit.
    fn is_waiting_for(&self, asked: &PermitRequest) -> bool {
        let is_left = !asked.is_issued || self.permits.held.expects(asked.engine, self.now);
        self.now < asked.until && is_left
    }

    /// Returns whether a request's question for a permit can no longer succeed.
    pub(super) fn has_failed_question(&self, in_flight: &InFlight) -> bool {
        in_flight.permit_request.is_some_and(|it| !self.is_waiting_for(&it))
    }

    /// Returns until when a request may wait for permits.
    pub(super) fn permit_deadline(&self, in_flight: &InFlight) -> Time {
        let duration = in_flight.route.target_latency.mul_f64(WAIT_SHARE);
        if in_flight.source.is_some() {
            return in_flight.handle_end();
        }
        let begun = if in_flight.call_count == 0 { in_flight.arrived } else { self.now };
        (begun + duration).min(in_flight.deadline)
    }

    /// Obtains or asks for a permit for a request that is about to be sent to an engine, if the
    /// engine requires one.
    pub(super) fn acquire_permit(&mut self, key: RequestKey, engine: EngineKey) -> Permission {
        if self.terms.limits.of(engine).is_none() || self.permits.held.has(engine, self.now) {
            return Permission::Granted;
        }
        self.drop_failed_question(key);
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return Permission::Refused };
        if let Some(asked) = in_flight.permit_request.filter(|it| it.engine == engine) {
            // A request that has asked for a reservation meanwhile no longer waits.
            if in_flight.waits_until.is_none() {
                self.await_permit(key, asked);
            }
            return Permission::Pending;
        }
        in_flight.permit_request_count += 1;
        let patience = self.in_flight.get(&key).map_or(Duration::ZERO, |it| self.patience(it));
        let issuer = self.issuer(engine);
        if issuer == self.settings.peer {
            self.issue_locally(key, engine, patience)
        } else {
            self.ask_for_permit(key, engine, patience, issuer);
            Permission::Pending
        }
    }

    /// Drops a request's question that can no longer succeed. If it was not answered, the engine's
    /// permits are not asked for again for a short time.
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

    /// Records that a request's question for an engine's permit has failed. The request may have
    /// asked for another engine's since.
    fn end_question(&mut self, key: RequestKey, engine: EngineKey) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        in_flight.permit_request.take_if(|it| it.engine == engine);
        in_flight.exclude(Exclusion { engine, reason: Restriction::RateLimit });
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
        let Some(limit) = self.terms.limits.announcement(engine, self.now) else { return };
        self.permits.last_number += 1;
        let number = self.permits.last_number;
        let patience_ms = millis_rounded_up(patience);
        let question = Question { request: key, engine, at: self.now };
        self.permits.questions.insert(number, question);
        let until = self.now + ANSWER_TIMEOUT;
        self.await_permit(key, PermitRequest { engine, until, is_issued: false });
        let asks = vec![Ask { number, limit, patience_ms }];
        let extension = Extension { asks, ..Extension::default() }.non_empty();
        let message = Message { extension, ..self.message(false) };
        self.send_to(vec![issuer], message);
    }

    /// Returns how long a request may wait for a permit. A higher priority waits longer, so that
    /// later permits are left to the higher priorities.
    fn patience(&self, in_flight: &InFlight) -> Duration {
        let left = self.permit_deadline(in_flight).since(self.now);
        left / (1 + u32::from(in_flight.priority()))
    }

    /// Lets a request wait for a permit.
    fn await_permit(&mut self, key: RequestKey, asked: PermitRequest) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        in_flight.permit_request = Some(asked);
        in_flight.waits_for_permit |= in_flight.waits_until.is_none();
        let until = in_flight.waits_until.map_or(asked.until, |it| it.max(asked.until));
        self.wait_until(key, until);
        self.wake_at(key, Some(asked.until));
    }

    /// Records that a request can't be sent to an engine, and that no other request can for `wait`.
    fn exclude_engine(&mut self, key: RequestKey, engine: EngineKey, wait: Duration) {
        self.permits.held.refuse(engine, wait, self.now);
        self.end_question(key, engine);
    }

    /// Returns the box that issues an engine's permits.
    fn issuer(&self, engine: EngineKey) -> SocketAddr {
        let record = self.directory.get(engine);
        let data_centre = record.map(|it| DataCentreKey::of(&it.engine.data_centre));
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

    /// Returns which side of a possible partition this box is on as an issuer.
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

    /// Handles another box's permit questions, and its answers to this box's questions.
    pub(super) fn receive_permits(&mut self, sender: SocketAddr, extension: &Extension) {
        let replies: Vec<_> = extension.asks.iter().map(|it| self.answer(it)).collect();
        if !replies.is_empty() {
            let extension = Extension { replies, ..Extension::default() }.non_empty();
            let answer = Message { extension, ..self.message(false) };
            self.send_to(vec![sender], answer);
        }
        for reply in &extension.replies {
            self.handle_reply(reply);
        }
    }

    /// Answers a permit question. A box that is not the engine's issuer by its own view of the
    /// boxes refuses it, since two issuers would exceed the limit.
    fn answer(&mut self, ask: &Ask) -> Reply {
        let engine = ask.limit.engine;
        let outcome = if self.issuer(engine) == self.settings.peer {
            self.issue(engine, millis(ask.patience_ms))
        } else {
            Outcome::Refused(millis_rounded_up(RETRY_DELAY))
        };
        Reply { number: ask.number, engine, outcome }
    }

    /// Handles the answer to a permit question.
    fn handle_reply(&mut self, reply: &Reply) {
        let Some(question) = self.permits.questions.remove(&reply.number) else { return };
        let Question { request: key, engine, at } = question;
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

    /// Extends the wait of a request that asked until its permit becomes valid.
    fn extend_wait(&mut self, key: RequestKey, asked: PermitRequest) {
        let waits = self.in_flight.get(&key).and_then(|it| it.permit_request);
        if waits.is_some_and(|it| it.engine == asked.engine) {
            self.await_permit(key, asked);
        }
    }

    /// Returns the time until a rate-limited engine accepts one more request. `None` if the engine
    /// is not rate-limited.
    pub(super) fn permit_wait(&self, engine: EngineKey) -> Option<Duration> {
        let limit = self.terms.limits.of(engine)?;
        let average = Duration::from_secs_f64(1.0 / limit.rate);
        Some(self.permits.held.wait(engine, self.now).unwrap_or(average))
    }

    /// Drops expired permits and questions, and updates the set of engines whose permits this box
    /// issues.
    pub(super) fn sweep_permits(&mut self) {
        let now = self.now;
        let directory = &self.directory;
        self.terms.limits.sweep(now, |engine, started_at| {
            directory
                .get(engine)
                .is_some_and(|it| started_at.is_none() || it.engine.started_at <= started_at)
        });
        self.permits.held.sweep(now);
        self.permits.questions.retain(|_, it| now.since(it.at) < QUESTION_RETENTION);
        let limits = &self.terms.limits;
        self.permits.issuer.retain(|it| limits.of(it).is_some());
        let checked = self
            .terms
            .limits
            .limited_after(self.permits.last_checked, MAX_CHECKED_ENGINES_PER_HEARTBEAT);
        let has_more = checked.len() == MAX_CHECKED_ENGINES_PER_HEARTBEAT;
        self.permits.last_checked = checked.last().copied().filter(|_| has_more);
        let (issued, others): (Vec<_>, Vec<_>) =
            checked.into_iter().partition(|&it| self.issues(it));
        others.into_iter().for_each(|it| self.permits.issuer.end(it));
        issued.iter().for_each(|&it| self.permits.issuer.begin(it, now));
        self.permits.issued = issued;
    }

    /// Returns the limits that this box's heartbeat announces: those of engines whose permits it
    /// issues, so that one box announces each, and those that were lifted recently.
    pub(super) fn limits_to_announce(&self) -> Vec<Announcement> {
        let issued = self.permits.issued.iter().copied();
        let lifted = self.terms.limits.lifted().filter(|&it| self.issues(it));
        issued.chain(lifted).filter_map(|it| self.terms.limits.announcement(it, self.now)).collect()
    }

    /// Begins to issue the permits of an engine that has just reported a limit, if this box is its
    /// issuer.
    pub(super) fn start_issuing(&mut self, engine: EngineKey) {
        if self.terms.limits.of(engine).is_some() && self.issues(engine) {
            self.permits.issuer.begin(engine, self.now);
        }
    }

    /// Returns whether this box issues an engine's permits.
    pub(super) fn issues(&self, engine: EngineKey) -> bool {
        self.issuer(engine) == self.settings.peer
    }
}

/// Converts milliseconds to a duration.
fn millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}

/// Returns a duration in milliseconds, rounded up.
pub(super) fn millis_rounded_up(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
