//! What engines say of themselves, whichever answer brings it.

use std::net::SocketAddr;
use std::time::Duration;

use super::Gateway;
use crate::back_off;
use crate::departure;
use crate::directory::Record;
use crate::effect::{LogEvent, NotRunReason};
use crate::engine::{Engine, EngineKey, Stage};
use crate::in_flight::{Call, Exclusion, InFlight};
use crate::message::{Extension, Message};
use crate::request::RequestKey;
use crate::statement::Statement;
use crate::terms::{Restriction, Terms};

/// By which share of itself a rest is drawn out at most, so that boxes that were told together do not
/// come back together.
const SPREAD_SHARE: f64 = 0.1;

/// What each box adds to that.
const SPREAD_PER_BOX: Duration = Duration::from_millis(10);

/// The share of its drain for which an engine that leaves is used where no other can serve.
const DRAIN_USED_SHARE: f64 = 0.5;

/// The engines that leave of which a box looks with one heartbeat whether it tells of them: each look
/// goes over all boxes.
const MAX_CHECKED_PER_HEARTBEAT: usize = 256;

/// The most engines that leave that one heartbeat tells, of about 25 bytes each.
const MAX_ANNOUNCED: usize = 32;

/// The most that a box that has just started is told at once.
const MAX_ANNOUNCED_TO_NEW: usize = 128;

/// The most engines that one request is noted to be kept from.
const MAX_LOGGED: usize = 8;

/// The engines of a service that are looked at for the time at which a client may come back.
const MAX_COMPARED: usize = 64;

/// The least time after which a client may come back whose engines are all closed by their own word.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The spread of the times at which such clients come back, so that they do not come together.
const RETRY_SPREAD: f64 = 0.5;

/// For how long a request is kept from all engines that could take it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wait {
    /// The time.
    pub(super) duration: Duration,
    /// Why it can't go to the engine that takes it first.
    by: Restriction,
}

impl Gateway {
    /// Takes what an engine says of itself in an answer that is not that to a call. What an earlier
    /// life said says nothing of this one.
    pub(super) fn handle_statement(&mut self, engine: EngineKey, says: &Statement) {
        let listed = self.directory.get(engine).map(|it| it.engine.started_at);
        if says.born.is_some() && listed.is_some_and(|it| says.born < it) {
            return;
        }
        self.learn_reported_limit(engine, says.limit);
        let incarnation = says.born.or(listed.flatten());
        self.learn_departure(engine, incarnation, says);
        self.learn_back_off(engine, says.back_off);
    }

    /// Learns from the answer to a call.
    pub(super) fn learn_terms(&mut self, call: &Call, says: &Statement) {
        self.learn_departure(call.engine.key, call.engine.started_at, says);
        if !call.has_begun {
            self.learn_back_off(call.engine.key, says.back_off);
        }
    }

    /// Learns whether a life of an engine is about to leave.
    fn learn_departure(&mut self, engine: EngineKey, incarnation: Option<u64>, says: &Statement) {
        if says.is_leaving && self.terms.departures.record_own(engine, incarnation, self.now) {
            self.unannounced.departures.push(engine);
            self.handle_departure(engine, None, Duration::ZERO);
        }
    }

    /// Takes what another box tells of engines that leave.
    pub(super) fn receive_departures(
        &mut self,
        sender: SocketAddr,
        told: &[departure::Announcement],
    ) {
        for word in told {
            if self.terms.departures.receive(word, self.now) {
                let age = Duration::from_millis(u64::from(word.age_ms));
                self.handle_departure(word.engine, Some(sender), age);
            }
        }
    }

    /// Goes by the news that an engine leaves: it is sent nothing that is not sent yet.
    fn handle_departure(
        &mut self,
        engine: EngineKey,
        announced_by: Option<SocketAddr>,
        age: Duration,
    ) {
        let id = self.engine_name(engine).into();
        self.log(LogEvent::ShuttingDown { id, announced_by, age });
        self.drop_unordered(engine, "engine leaves");
        self.may_have_capacity = true;
    }

    /// Tells all boxes at once of the engines that have told this one that they leave.
    pub(super) fn announce_departures(&mut self) {
        let told = std::mem::take(&mut self.unannounced.departures);
        let departures = self.departure_announcements(told);
        if !departures.is_empty() {
            let extension = Extension { departures, ..Extension::default() }.non_empty();
            let message = Message { extension, ..self.message(false) };
            self.send_to_all(message);
        }
    }

    /// Gives what this box's heartbeat tells: the engines that it would issue permits of, so that each is
    /// told by one box, and those that have told it themselves a short time ago.
    pub(super) fn departures_to_announce(&mut self) -> Vec<departure::Announcement> {
        if self.terms.departures.is_empty() {
            return Vec::new();
        }
        let mut leaving: Vec<_> = self.terms.departures.engines().collect();
        if leaving.len() > MAX_CHECKED_PER_HEARTBEAT {
            let first = (self.draw() % leaving.len() as u64) as usize;
            leaving.rotate_left(first);
            leaving.truncate(MAX_CHECKED_PER_HEARTBEAT);
        }
        let now = self.now;
        leaving.retain(|&it| self.terms.departures.is_fresh(it, now) || self.issues(it));
        leaving.truncate(MAX_ANNOUNCED);
        self.departure_announcements(leaving)
    }

    /// Gives all that a box that has just started is told, as far as it goes into a datagram.
    pub(super) fn all_departures(&self) -> Vec<departure::Announcement> {
        let leaving = self.terms.departures.engines().take(MAX_ANNOUNCED_TO_NEW);
        self.departure_announcements(leaving.collect())
    }

    /// Gives what there is to tell of engines.
    fn departure_announcements(&self, engines: Vec<EngineKey>) -> Vec<departure::Announcement> {
        let departures = &self.terms.departures;
        engines.into_iter().filter_map(|it| departures.announcement(it, self.now)).collect()
    }

    /// Gives for how long an engine may be known to leave that is used for a request all the same; none
    /// if another engine can serve it. An engine that leaves goes on serving for the time of its drain
    /// from its entry on, which this box may not have seen: half of that is counted on.
    pub(super) fn leaving_for(&self, flight: &InFlight) -> Option<Duration> {
        if self.terms.departures.is_empty() {
            return None;
        }
        let is_able = |it: &&Record| is_able(it) && self.is_allowed_at(flight, it);
        let mut open = self.directory.open(&flight.service.name, self.now).filter(is_able);
        let is_last = open.all(|it| self.terms.is_leaving(&it.engine));
        is_last.then(|| self.settings.drain.mul_f64(DRAIN_USED_SHARE))
    }

    /// Tells whether an engine may be asked whether it lives: one in need too, since nothing else tells
    /// whether a request has crashed it.
    pub(super) fn accepts_probe(&self, engine: EngineKey) -> bool {
        let known = self.directory.get(engine).filter(|it| !it.is_evacuated());
        let restriction = known.map(|it| self.terms.restriction(&it.engine, None, self.now));
        matches!(restriction, Some(None | Some(Restriction::RateLimit)))
    }

    /// Notes which engines a request is kept from by what they have said, for the log.
    pub(super) fn record_exclusions(&mut self, key: RequestKey) {
        let Some(flight) = self.in_flight.get(&key) else { return };
        let leaving = self.terms.departures.engines();
        let leaving = leaving.map(|engine| Exclusion { engine, reason: Restriction::Leaving });
        let backing_off = self.terms.back_offs.engines(self.now);
        let backing_off =
            backing_off.map(|engine| Exclusion { engine, reason: Restriction::BackOff });
        let kept = leaving.chain(backing_off);
        let is_concerned = |it: &Exclusion| {
            let known = self.directory.get(it.engine);
            let known = known.filter(|it| it.engine.service == flight.service.name);
            known.is_some_and(|it| it.is_open(self.now) && self.is_allowed_at(flight, it))
        };
        let kept: Vec<_> = kept.filter(is_concerned).take(MAX_LOGGED).collect();
        if let Some(flight) = self.in_flight.get_mut(&key) {
            kept.into_iter().for_each(|it| flight.exclude(it));
        }
    }

    /// Tells whether something that is no request may be sent to an engine: a question, an order, the
    /// freeing of a prompt. All of it can be left out.
    pub(super) fn accepts_auxiliary(&self, engine: EngineKey) -> bool {
        let known = self.directory.get(engine).filter(|it| !it.is_evacuated());
        known.is_some_and(|it| self.terms.restriction(&it.engine, None, self.now).is_none())
    }

    /// Learns for how long an engine wants nothing from this box.
    fn learn_back_off(&mut self, engine: EngineKey, told: back_off::Reported) {
        if told == back_off::Reported::Nothing {
            return;
        }
        let boxes = u32::try_from(self.members.count(self.now)).unwrap_or(u32::MAX);
        let random = (self.draw() % 1000) as f64 / 1000.0;
        let spread = |span: Duration| {
            let most = span.mul_f64(SPREAD_SHARE) + SPREAD_PER_BOX.saturating_mul(boxes);
            most.min(span).mul_f64(random)
        };
        let Some(known) = self.directory.get(engine) else { return };
        if let Some(change) = self.terms.back_offs.learn(&known.engine, told, spread, self.now) {
            let id = known.engine.id.clone();
            self.log(LogEvent::BackOff { id, change });
            if matches!(change, back_off::Change::Begun(_)) {
                self.drop_unordered(engine, "engine rests");
            }
        }
    }

    /// Goes by how an engine answered a call, if this box is coming back to it after its rest.
    pub(super) fn record_return_answer(&mut self, call: &Call, is_good: bool) {
        if !call.has_begun {
            self.terms.back_offs.record_answer(call.engine.key, call.sent, is_good);
        }
    }

    /// Gives for how long a request is kept from all engines that could take it, and by what; none if
    /// one of them takes it as far as its own word goes.
    pub(super) fn blocked_for(&self, flight: &InFlight) -> Option<Wait> {
        let Terms { limits, back_offs, .. } = &self.terms;
        if limits.is_empty() && back_offs.is_empty() {
            return None;
        }
        let leaving_for = self.leaving_for(flight);
        let is_able = |it: &&Record| {
            let is_usable = self.terms.is_usable(&it.engine, leaving_for, self.now);
            is_able(it) && self.is_allowed_at(flight, it) && is_usable
        };
        let engines = self.directory.open(&flight.service.name, self.now).filter(is_able);
        let mut shortest: Option<Wait> = None;
        for known in engines.take(MAX_COMPARED) {
            let wait = self.wait_for(&known.engine, leaving_for)?;
            shortest = Some(
                shortest.map_or(wait, |it| if wait.duration < it.duration { wait } else { it }),
            );
        }
        shortest
    }

    /// Gives for how long an engine's own word keeps requests from it, and by what.
    fn wait_for(&self, engine: &Engine, leaving_for: Option<Duration>) -> Option<Wait> {
        let limited = self.permit_wait(engine.key);
        match self.terms.restriction(engine, leaving_for, self.now)? {
            Restriction::BackOff => {
                // One whose rest is over may take more with the next answer.
                let back_off = self.terms.back_offs.wait(engine, self.now).unwrap_or_default();
                let duration = limited.map_or(back_off, |it| it.max(back_off));
                Some(Wait { duration, by: Restriction::BackOff })
            }
            Restriction::RateLimit => Some(Wait { duration: limited?, by: Restriction::RateLimit }),
            Restriction::Leaving => None,
        }
    }

    /// Has a request wait for the end of a rest that comes in time, or refuses it.
    pub(super) fn wait_or_refuse(&mut self, key: RequestKey, wait: Wait) {
        let Some(flight) = self.in_flight.get(&key) else { return };
        let until = flight.waits_until.unwrap_or_else(|| self.permit_deadline(flight));
        if wait.by == Restriction::BackOff && self.now + wait.duration < until {
            return self.wait_until(key, until);
        }
        self.refuse_blocked(key, wait);
    }

    /// Refuses a request that all engines are closed to by their own word.
    pub(super) fn refuse_blocked(&mut self, key: RequestKey, wait: Wait) {
        let spread = (self.draw() % 1000) as f64 / 1000.0;
        let retry = wait.duration.max(MIN_RETRY_DELAY).mul_f64(1.0 + RETRY_SPREAD * spread);
        let reason = match wait.by {
            Restriction::BackOff => NotRunReason::BackingOff,
            Restriction::Leaving => NotRunReason::ShuttingDown,
            Restriction::RateLimit => NotRunReason::RateLimited,
        };
        self.give_up_with_retry(key, reason, retry);
    }

    /// Notes the departures and rests that have ended.
    pub(super) fn sweep_terms(&mut self) {
        let (now, directory) = (self.now, &self.directory);
        let listed = |it: EngineKey| directory.get(it).map(|it| &*it.engine);
        let left = self.terms.departures.sweep(now, listed);
        let ended_back_offs = self.terms.back_offs.sweep(now, listed);
        for ended in left {
            let id = self.engine_name(ended.engine).into();
            self.log(LogEvent::ShutDown { id, end: ended.end, age: ended.age });
        }
        for ended in ended_back_offs {
            let id = self.engine_name(ended.engine).into();
            self.log(LogEvent::BackOff { id, change: back_off::Change::Ended(ended.after) });
        }
    }
}

/// Tells whether an engine can serve a request to its end, as those that only read prompts can't.
fn is_able(known: &Record) -> bool {
    known.engine.stage != Some(Stage::Prefill)
}
