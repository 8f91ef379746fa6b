//! Handles what engines report about themselves in any of their answers: limits, shutdowns and
//! back-off.

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

/// Maximum share of its own duration by which a back-off is extended, so that boxes that were asked
/// at the same time do not return together.
const SPREAD_SHARE: f64 = 0.1;

/// Additional extension of a back-off per box.
const SPREAD_PER_BOX: Duration = Duration::from_millis(10);

/// Share of its drain time for which an engine that is shutting down is still used if no other
/// engine can serve a request.
const DRAIN_USED_SHARE: f64 = 0.5;

/// Maximum number of engines that are shutting down for which a box checks with one heartbeat
/// whether it announces them. Each check iterates over all boxes.
const MAX_CHECKED_ENGINES_PER_HEARTBEAT: usize = 256;

/// Maximum number of shutdowns announced with one heartbeat, about 25 bytes each.
const MAX_ANNOUNCED: usize = 32;

/// Maximum number of shutdowns announced at once to a box that has just started.
const MAX_ANNOUNCED_TO_NEW_COUNT: usize = 128;

/// Maximum number of excluded engines recorded for one request.
const MAX_LOGGED_COUNT: usize = 8;

/// Maximum number of a service's engines that are compared for a retry delay.
const MAX_COMPARED_COUNT: usize = 64;

/// Minimum retry delay for a client whose request all engines exclude by their own reports.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Share by which the retry delays of such clients are spread, so that they do not return together.
const RETRY_SPREAD: f64 = 0.5;

/// How long all engines that could serve a request are unavailable for it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wait {
    /// Time until the first engine accepts the request.
    pub(super) duration: Duration,
    /// What restricts that engine until then.
    by: Restriction,
}

impl Gateway {
    /// Handles what an engine reports in an answer to anything other than a call. Reports of an
    /// earlier incarnation are ignored.
    pub(super) fn handle_statement(&mut self, engine: EngineKey, statement: &Statement) {
        let listed = self.directory.get(engine).map(|it| it.engine.started_at);
        if statement.born.is_some() && listed.is_some_and(|it| statement.born < it) {
            return;
        }
        self.learn_start(engine, statement.born);
        self.learn_reported_limit(engine, statement.limit);
        let incarnation = statement.born.or(listed.flatten());
        self.learn_departure(engine, incarnation, statement);
        self.learn_back_off(engine, statement.back_off);
    }

    /// Records the start that an engine reports, if any.
    pub(super) fn learn_start(&mut self, engine: EngineKey, started_at: Option<u64>) {
        if let Some(started_at) = started_at {
            self.directory.record_start(engine, started_at);
        }
    }

    /// Applies what an engine reports in its answer to a call.
    pub(super) fn learn_terms(&mut self, call: &Call, statement: &Statement) {
        self.learn_departure(call.engine.key, call.engine.started_at, statement);
        if !call.has_begun() {
            self.learn_back_off(call.engine.key, statement.back_off);
        }
    }

    /// Records whether an incarnation of an engine is shutting down.
    fn learn_departure(
        &mut self,
        engine: EngineKey,
        incarnation: Option<u64>,
        statement: &Statement,
    ) {
        if statement.is_leaving && self.terms.departures.record_own(engine, incarnation, self.now) {
            self.unannounced.departures.push(engine);
            self.handle_departure(engine, None, Duration::ZERO);
        }
    }

    /// Handles another box's announcements of engines that are shutting down.
    pub(super) fn receive_departures(
        &mut self,
        sender: SocketAddr,
        announcements: &[departure::Announcement],
    ) {
        for announcement in announcements {
            if self.terms.departures.receive(announcement, self.now) {
                let age = Duration::from_millis(u64::from(announcement.age_ms));
                self.handle_departure(announcement.engine, Some(sender), age);
            }
        }
    }

    /// Handles the news that an engine is shutting down: calls that are not sent to it yet are
    /// dropped.
    fn handle_departure(
        &mut self,
        engine: EngineKey,
        announced_by: Option<SocketAddr>,
        age: Duration,
    ) {
        let id = self.engine_name(engine).into();
        self.log(LogEvent::ShuttingDown { id, announced_by, age });
        self.drop_unordered(engine, "engine leaves");
        self.recheck_streams();
        self.may_have_capacity = true;
    }

    /// Announces to all boxes immediately the engines that have reported their shutdown to this
    /// box.
    pub(super) fn announce_departures(&mut self) {
        let engines = std::mem::take(&mut self.unannounced.departures);
        let departures = self.departure_announcements(engines);
        if !departures.is_empty() {
            let extension = Extension { departures, ..Extension::default() }.non_empty();
            let message = Message { extension, ..self.message(false) };
            self.send_to_all(message);
        }
    }

    /// Returns the shutdowns that this box's heartbeat announces: engines whose permits it would
    /// issue, so that one box announces each, and engines that reported it to this box recently.
    pub(super) fn departures_to_announce(&mut self) -> Vec<departure::Announcement> {
        if self.terms.departures.is_empty() {
            return Vec::new();
        }
        let mut leaving: Vec<_> = self.terms.departures.engines().collect();
        if leaving.len() > MAX_CHECKED_ENGINES_PER_HEARTBEAT {
            let first = (self.draw() % leaving.len() as u64) as usize;
            leaving.rotate_left(first);
            leaving.truncate(MAX_CHECKED_ENGINES_PER_HEARTBEAT);
        }
        let now = self.now;
        leaving.retain(|&it| self.terms.departures.is_fresh(it, now) || self.issues(it));
        leaving.truncate(MAX_ANNOUNCED);
        self.departure_announcements(leaving)
    }

    /// Returns the known shutdowns for a box that has just started, as far as they fit into a
    /// datagram. A snapshot has all of them.
    pub(super) fn departures_for_new(&self) -> Vec<departure::Announcement> {
        let leaving = self.terms.departures.engines().take(MAX_ANNOUNCED_TO_NEW_COUNT);
        self.departure_announcements(leaving.collect())
    }

    /// Returns all known shutdowns.
    pub(super) fn all_departures(&self) -> Vec<departure::Announcement> {
        self.departure_announcements(self.terms.departures.engines().collect())
    }

    /// Returns the shutdown announcements of some engines.
    fn departure_announcements(&self, engines: Vec<EngineKey>) -> Vec<departure::Announcement> {
        let departures = &self.terms.departures;
        engines.into_iter().filter_map(|it| departures.announcement(it, self.now)).collect()
    }

    /// Returns how long an engine may have been known to be shutting down and still be used for a
    /// request; `None` if another engine can serve the request. Such an engine keeps serving for
    /// its drain time, counted from its entry, which this box may not have seen, so only half of
    /// the drain time is relied on.
    pub(super) fn max_drain_age(&self, in_flight: &InFlight) -> Option<Duration> {
        if self.terms.departures.is_empty() {
            return None;
        }
        let is_able = |it: &&Record| is_able(it) && self.is_allowed_at(in_flight, it);
        let mut open = self.directory.open(&in_flight.service.name, self.now).filter(is_able);
        let is_last = open.all(|it| self.terms.is_leaving(&it.engine));
        is_last.then(|| self.settings.drain.mul_f64(DRAIN_USED_SHARE))
    }

    /// Returns whether an engine may be probed. Rate-limited engines are probed too, since nothing
    /// else shows whether a request has crashed them.
    pub(super) fn accepts_probe(&self, engine: EngineKey) -> bool {
        let record = self.directory.get(engine).filter(|it| !it.is_evacuated());
        let restriction = record.map(|it| self.terms.restriction(&it.engine, None, self.now));
        matches!(restriction, Some(None | Some(Restriction::RateLimit)))
    }

    /// Records, for the log, which engines are excluded for a request by their own reports.
    pub(super) fn record_exclusions(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        let leaving = self.terms.departures.engines();
        let leaving = leaving.map(|engine| Exclusion { engine, reason: Restriction::ShuttingDown });
        let backing_off = self.terms.back_offs.engines(self.now);
        let backing_off =
            backing_off.map(|engine| Exclusion { engine, reason: Restriction::BackOff });
        let exclusions = leaving.chain(backing_off);
        let is_concerned = |it: &Exclusion| {
            let record = self.directory.get(it.engine);
            let record = record.filter(|it| it.engine.service == in_flight.service.name);
            record.is_some_and(|it| it.is_open(self.now) && self.is_allowed_at(in_flight, it))
        };
        let exclusions: Vec<_> = exclusions.filter(is_concerned).take(MAX_LOGGED_COUNT).collect();
        if let Some(in_flight) = self.in_flight.get_mut(&key) {
            exclusions.into_iter().for_each(|it| in_flight.exclude(it));
        }
    }

    /// Returns whether something other than a request may be sent to an engine: a query, an order,
    /// the release of a prompt. All of these can be omitted.
    pub(super) fn accepts_auxiliary(&self, engine: EngineKey) -> bool {
        let record = self.directory.get(engine).filter(|it| !it.is_evacuated());
        record.is_some_and(|it| self.terms.restriction(&it.engine, None, self.now).is_none())
    }

    /// Records for how long an engine asks this box to back off.
    fn learn_back_off(&mut self, engine: EngineKey, reported: back_off::Reported) {
        if reported == back_off::Reported::Nothing {
            return;
        }
        let boxes = u32::try_from(self.members.count(self.now)).unwrap_or(u32::MAX);
        let random = self.draw_share();
        let spread = |duration: Duration| {
            let max = duration.mul_f64(SPREAD_SHARE) + SPREAD_PER_BOX.saturating_mul(boxes);
            max.min(duration).mul_f64(random)
        };
        let Some(record) = self.directory.get(engine) else { return };
        if let Some(change) = self.terms.back_offs.learn(&record.engine, reported, spread, self.now)
        {
            let id = record.engine.id.clone();
            self.log(LogEvent::BackOff { id, change });
            if matches!(change, back_off::Change::Begun(_)) {
                self.drop_unordered(engine, "engine rests");
            }
        }
    }

    /// Records the answer to a call, if this box is resuming use of the engine after a back-off.
    pub(super) fn record_return_answer(&mut self, call: &Call, is_good: bool) {
        if !call.has_begun() {
            self.terms.back_offs.record_answer(call.engine.key, call.sent, is_good);
        }
    }

    /// Returns how long all engines that could serve a request exclude it by their own reports, and
    /// by which restriction. `None` if one of them accepts it.
    pub(super) fn blocked_for(&self, in_flight: &InFlight) -> Option<Wait> {
        let Terms { limits, back_offs, .. } = &self.terms;
        if limits.is_empty() && back_offs.is_empty() {
            return None;
        }
        let max_drain_age = self.max_drain_age(in_flight);
        let is_able = |it: &&Record| {
            let is_usable = self.terms.is_usable(&it.engine, max_drain_age, self.now);
            is_able(it) && self.is_allowed_at(in_flight, it) && is_usable
        };
        let engines = self.directory.open(&in_flight.service.name, self.now).filter(is_able);
        let mut shortest: Option<Wait> = None;
        for record in engines.take(MAX_COMPARED_COUNT) {
            let wait = self.wait_for(&record.engine, max_drain_age)?;
            shortest = Some(
                shortest.map_or(wait, |it| if wait.duration < it.duration { wait } else { it }),
            );
        }
        shortest
    }

    /// Returns how long an engine's own reports exclude requests, and by which restriction.
    fn wait_for(&self, engine: &Engine, max_drain_age: Option<Duration>) -> Option<Wait> {
        let limited = self.permit_wait(engine.key);
        match self.terms.restriction(engine, max_drain_age, self.now)? {
            Restriction::BackOff => {
                // An engine whose back-off has ended may accept more after its next answer.
                let back_off = self.terms.back_offs.wait(engine, self.now).unwrap_or_default();
                let duration = limited.map_or(back_off, |it| it.max(back_off));
                Some(Wait { duration, by: Restriction::BackOff })
            }
            Restriction::RateLimit => Some(Wait { duration: limited?, by: Restriction::RateLimit }),
            Restriction::ShuttingDown => None,
        }
    }

    /// Lets a request wait if a back-off ends in time, and refuses it otherwise.
    pub(super) fn wait_or_refuse(&mut self, key: RequestKey, wait: Wait) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        let until = in_flight.waits_until.unwrap_or_else(|| self.permit_deadline(in_flight));
        if wait.by == Restriction::BackOff && self.now + wait.duration < until {
            return self.wait_until(key, until);
        }
        self.refuse_blocked(key, wait);
    }

    /// Refuses a request that all engines exclude by their own reports.
    pub(super) fn refuse_blocked(&mut self, key: RequestKey, wait: Wait) {
        let spread = self.draw_share();
        let retry = wait.duration.max(MIN_RETRY_DELAY).mul_f64(1.0 + RETRY_SPREAD * spread);
        let reason = match wait.by {
            Restriction::BackOff => NotRunReason::BackingOff,
            Restriction::ShuttingDown => NotRunReason::ShuttingDown,
            Restriction::RateLimit => NotRunReason::RateLimited,
        };
        self.give_up_with_retry(key, reason, retry);
    }

    /// Logs shutdowns and back-offs that have ended.
    pub(super) fn sweep_terms(&mut self) {
        let (now, directory) = (self.now, &self.directory);
        let listed = |it: EngineKey| directory.get(it).map(|it| &*it.engine);
        let left = self.terms.departures.sweep(now, listed);
        let ended_back_offs = self.terms.back_offs.sweep(now, listed);
        for ended in left {
            let id = self.engine_name(ended.engine).into();
            self.log(LogEvent::ShutDown { id, end: ended.reason, age: ended.age });
        }
        for ended in ended_back_offs {
            let id = self.engine_name(ended.engine).into();
            self.log(LogEvent::BackOff { id, change: back_off::Change::Ended(ended.after) });
        }
    }
}

/// Returns whether an engine can serve a request to its end, which prefill engines can't.
fn is_able(record: &Record) -> bool {
    record.engine.stage != Some(Stage::Prefill)
}
