//! Moves running streams away from engines that are shutting down.
//!
//! A stream's memory is copied twice: first while the stream runs, which copies most of it, then
//! after the source has stopped the stream. The stream continues at the target from the event after
//! the last one forwarded, which is known once the source's connection has closed.

mod backup;
mod continuation;
mod progress;
mod start;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::LogEvent;
use crate::engine::{Engine, EngineKey};
use crate::in_flight::{Call, InFlight};
use crate::migration::{Copy, EventSize, Link, Reason};
use crate::origin::Origin;
use crate::placement::{PermitState, Selector};
use crate::request::{CallKey, RequestKey};
use crate::terms::Restriction;

use backup::Backup;
use continuation::Continuation;
use progress::{Move, Phase};

/// How often the running streams are checked. A stream loses at most this much of the time that its
/// engine has left.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after a move that failed before the next one of the same stream.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The maximum number of moves of one stream that may fail.
const MAX_FAILED_MOVES: u32 = 3;

/// The share of its drain time in which a stream may still return to an engine that is shutting
/// down.
const RETURN_SHARE: f64 = 0.5;

/// How long the answer to the copy of a stream that has ended is awaited. The driver gives transfers
/// up earlier.
const ABANDONED_TTL: Duration = Duration::from_secs(10);

/// The state of all moves and backups of this box.
#[derive(Debug, Clone, Default)]
pub(super) struct Migrations {
    /// The moves in progress, by the call through which the stream runs at its source.
    moves: BTreeMap<CallKey, Move>,
    /// The streams that are about to continue from a copy.
    continuations: BTreeMap<RequestKey, Continuation>,
    /// The backups of running streams.
    backups: BTreeMap<RequestKey, Backup>,
    /// The moves of each running stream that failed.
    failed: BTreeMap<RequestKey, FailedMoves>,
    /// When the entry of each engine with streams of this box was first seen draining or gone.
    leaving: BTreeMap<EngineKey, Time>,
    /// The incarnations that don't support transfers.
    unsupported: BTreeSet<(EngineKey, Option<u64>)>,
    /// The mean tokens per event of each service's streams.
    event_sizes: HashMap<Arc<str>, EventSize>,
    /// When the running streams are checked next.
    next_check: Time,
}

/// The moves of one stream that failed.
#[derive(Debug, Clone, Default)]
struct FailedMoves {
    /// Their number.
    count: u32,
    /// The time until which no other move is started.
    until: Time,
    /// The engines that had no memory for the stream.
    refused_by: Vec<EngineKey>,
}

impl Migrations {
    /// Returns when the next wait for a closing connection ends.
    fn next_closing(&self) -> Option<Time> {
        let ends = self.moves.values().filter_map(|it| match &it.phase {
            Phase::Closing(closing) => Some(closing.until),
            _ => None,
        });
        ends.min()
    }

    /// Returns whether the stream of a call has been told to stop, so that its silence means nothing
    /// for now.
    pub(super) fn is_stopping(&self, call: CallKey) -> bool {
        self.moves.get(&call).is_some_and(|it| match &it.phase {
            Phase::Stopping => true,
            Phase::Closing(closing) => !closing.is_extended,
            Phase::Copying | Phase::Abandoned => false,
        })
    }

    /// Returns whether another move of a stream may be started.
    fn may_try(&self, request: RequestKey, now: Time) -> bool {
        let failed = self.failed.get(&request);
        failed.is_none_or(|it| it.count < MAX_FAILED_MOVES && it.until <= now)
    }
}

impl Gateway {
    /// Returns when moves need a tick.
    pub(super) fn next_migration_at(&self) -> Option<Time> {
        if !self.settings.features.migration || self.calls.is_empty() {
            return None;
        }
        let next_check = self.migrations.next_check;
        Some(self.migrations.next_closing().map_or(next_check, |it| it.min(next_check)))
    }

    /// Checks the running streams at the next step, because the engines have changed.
    pub(super) fn recheck_streams(&mut self) {
        self.migrations.next_check = self.now;
    }

    /// Continues the moves that are due and starts new ones.
    pub(super) fn advance_migrations(&mut self) {
        if !self.settings.features.migration {
            return;
        }
        self.end_closings();
        if self.migrations.next_check <= self.now {
            self.migrations.next_check = self.now + CHECK_INTERVAL;
            self.update_leaving();
            self.start_moves();
        }
    }

    /// Records the events that a call has forwarded.
    pub(super) fn record_progress(&mut self, key: CallKey, id: Option<u64>) {
        if let (Some(call), Some(id)) = (self.calls.get_mut(&key), id) {
            call.progress.record(id, self.now);
        }
    }

    /// Records the length of a complete stream.
    pub(super) fn record_stream_length(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        if let Some(events) = in_flight.last_event {
            let tokens = in_flight.request.expected_answer_tokens_or_estimate();
            let service = in_flight.service.name.clone();
            self.migrations.event_sizes.entry(service).or_default().record(tokens, events);
        }
    }

    /// Updates which engines with streams of this box are draining or gone according to their
    /// entries, and forgets what is no longer needed.
    fn update_leaving(&mut self) {
        let now = self.now;
        let engines = self.calls.values().map(|it| &it.engine);
        let is_leaving = |it: &&Arc<Engine>| match self.directory.get(it.key) {
            Some(record) => record.engine.is_draining && it.is_same_incarnation(&record.engine),
            None => true,
        };
        let leaving: BTreeSet<_> = engines.filter(is_leaving).map(|it| it.key).collect();
        self.migrations.leaving.retain(|it, _| leaving.contains(it));
        for engine in leaving {
            self.migrations.leaving.entry(engine).or_insert(now);
        }
        let directory = &self.directory;
        self.migrations.unsupported.retain(|it| directory.get(it.0).is_some());
        self.migrations
            .moves
            .retain(|_, it| it.phase != Phase::Abandoned || now.since(it.began) < ABANDONED_TTL);
    }

    /// Returns how long a stream is expected to run on.
    fn remaining_time(&self, call: &Call, in_flight: &InFlight) -> Duration {
        let tokens = in_flight.request.expected_answer_tokens_or_estimate();
        let size = self.migrations.event_sizes.get(&in_flight.service.name);
        let remaining = call.progress.remaining(size.copied().unwrap_or_default().events(tokens));
        remaining.min(in_flight.deadline.since(self.now))
    }

    /// Returns how long it has been known that an engine is shutting down.
    fn leaving_age(&self, engine: &Engine) -> Option<Duration> {
        let announced = self.terms.departures.of(engine).map(|it| it.age(self.now));
        let listed = self.migrations.leaving.get(&engine.key).map(|it| self.now.since(*it));
        announced.max(listed)
    }

    /// Returns whether orders for transfers may be sent to an engine. One that is shutting down
    /// accepts them.
    fn accepts_transfers(&self, engine: &Engine) -> bool {
        let is_evacuated = self.directory.get(engine.key).is_some_and(|it| it.is_evacuated());
        let restriction = self.terms.restriction(engine, Some(Duration::MAX), self.now);
        !is_evacuated && restriction.is_none()
    }

    /// Chooses an engine of the same version that has memory for a copy of another one's.
    fn copy_target(
        &self,
        in_flight: &InFlight,
        source: &Engine,
        excluded: &[EngineKey],
        draw: u64,
    ) -> Option<Arc<Engine>> {
        let staged = in_flight.service.staged?;
        let separation = self.separation(in_flight);
        let view = Selector {
            tried: excluded,
            origin: Origin::of(source.version.as_ref()),
            permit_state: PermitState::Exhausted,
            max_drain_age: None,
            ..self.selector(in_flight, &separation, draw)
        };
        let held = in_flight.request.mean_held_tokens();
        let choice = view.choose_decode(&staged, held, &source.data_centre, None)?;
        let is_excluded = excluded.contains(&choice.engine.key);
        let is_limited = self.terms.limits.of(choice.engine.key).is_some();
        (!is_excluded && !is_limited).then_some(choice.engine)
    }

    /// Records and logs that a stream was not moved.
    fn record_failed_move(
        &mut self,
        request: RequestKey,
        source: &Engine,
        target: Option<&Engine>,
        reason: Reason,
        outcome: &'static str,
    ) {
        let until = self.now + RETRY_PAUSE;
        let failed = self.migrations.failed.entry(request).or_default();
        failed.count += 1;
        failed.until = until;
        let Some(in_flight) = self.in_flight.get(&request) else { return };
        self.log(LogEvent::NotMoved {
            request: in_flight.request.id.clone(),
            source: source.id.clone(),
            target: target.map(|it| it.id.clone()),
            reason: reason.name(),
            outcome,
        });
    }

    /// Returns whether a stream may continue at an engine from the memory of another one: it has the
    /// same version and accepts requests, or has been shutting down only for a short time.
    fn may_continue_at(&self, engine: &Engine, source: &Engine) -> bool {
        let max_drain_age = self.settings.drain.mul_f64(RETURN_SHARE);
        let is_early = self.leaving_age(engine).is_none_or(|it| it <= max_drain_age);
        let record = self.directory.get(engine.key);
        let record = record.filter(|it| it.engine.has_same_version(source));
        let is_listed = record.is_some_and(|it| it.engine.is_same_incarnation(engine));
        let has_permit = match self.terms.restriction(engine, Some(max_drain_age), self.now) {
            None => true,
            Some(Restriction::RateLimit) => self.permits.held.has(engine.key, self.now),
            Some(Restriction::ShuttingDown | Restriction::BackOff) => false,
        };
        is_early && is_listed && has_permit && !record.is_some_and(|it| it.is_evacuated())
    }

    /// Forgets the moves, the copies and the backup of a request that ends.
    pub(super) fn end_migration(&mut self, key: RequestKey) {
        self.drop_continuation(key, "ended");
        self.release_backup(key);
        self.migrations.failed.remove(&key);
    }
}

/// Returns the copy of a request's memory from one engine to another.
fn copy_between(in_flight: &InFlight, source: &Engine, target: &Engine) -> Option<Copy> {
    let staged = in_flight.service.staged?;
    let link = Link { token_bytes: staged.token_bytes, mbps: staged.link_mbps };
    let is_same_data_centre = source.data_centre == target.data_centre;
    let duration = link.copy_duration(in_flight.request.mean_held_tokens(), is_same_data_centre);
    Some(Copy { source: source.key, target: target.key, duration })
}
