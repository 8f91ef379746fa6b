//! Moves running streams away from engines that are shutting down.
//!
//! A stream's memory is copied twice: first while the stream runs, which copies most of it, then
//! after the source has stopped the stream. The stream continues at the target from the event after
//! the last one forwarded, which is known once the source's connection has closed.

mod backup;
mod continuation;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::{Effect, LogEvent, Source, Task};
use crate::engine::{Engine, EngineKey};
use crate::in_flight::{Call, InFlight};
use crate::load::Urgency;
use crate::message::Load;
use crate::migration::{self, Answer, Copy, EventSize, Link, Reason, Transfer};
use crate::origin::Origin;
use crate::placement::{PermitState, Selector};
use crate::quarantine::Verdict;
use crate::request::{CallKey, RequestKey};
use crate::terms::Restriction;

use backup::Backup;
use continuation::Continuation;

/// How often the running streams are checked. A stream loses at most this much of the time that its
/// engine has left.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the events that a source sent before it stopped a stream may take to arrive. What is
/// still missing then is sent again by the target.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a stream is watched after the answer to its final copy was lost. If the source had
/// stopped it, the stream closes within this time, unless the source is silent.
const WATCH_DURATION: Duration = Duration::from_secs(1);

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

/// The move of a stream.
#[derive(Debug, Clone)]
struct Move {
    /// The request whose stream is moved.
    request: RequestKey,
    /// Why it is moved.
    reason: Reason,
    /// The engine at which it runs.
    source: Arc<Engine>,
    /// The engine at which it is to continue.
    target: Arc<Engine>,
    /// The copy, for the bound on links.
    copy: Copy,
    /// The load reserved at the target.
    load: Load,
    /// The source's handle for the copy, once known.
    handle: Option<String>,
    /// When the move began.
    began: Time,
    /// Whether the source's connection closed without the end of the stream.
    has_closed: bool,
    /// The progress.
    phase: Phase,
}

/// The progress of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The memory is copied while the stream runs.
    Copying,
    /// The source has been told to stop the stream and to copy the rest.
    Stopping,
    /// The stream continues once the source's connection has closed.
    Closing(Closing),
    /// The stream has ended; the answer to the transfer shows what has to be freed.
    Abandoned,
}

/// The wait for the end of the source's connection.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Closing {
    /// When the wait began, or was last extended.
    since: Time,
    /// The end of the wait.
    until: Time,
    /// Whether the source has certainly stopped the stream, so that it continues elsewhere in any
    /// case. Otherwise it stays if it is still open at the end of the wait.
    is_stopped: bool,
    /// Whether the wait was extended because the source is silent.
    is_extended: bool,
    /// The engines at which the stream can continue, the best first.
    destinations: Vec<Arc<Engine>>,
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

    /// Starts moves of streams that would outlive their engines, the longest first.
    fn start_moves(&mut self) {
        let due = self.calls.iter().filter_map(|(&key, call)| {
            let (reason, remaining) = self.reason_to_move(key, call)?;
            Some((remaining, key, reason))
        });
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|&(remaining, key, _)| (std::cmp::Reverse(remaining), key));
        for (_, key, reason) in due {
            self.start_move(key, reason);
        }
    }

    /// Returns why a stream has to move, and how long it still runs.
    fn reason_to_move(&self, key: CallKey, call: &Call) -> Option<(Reason, Duration)> {
        let is_stream = call.has_begun() && matches!(call.task, Task::Decode(_));
        let is_active = self.in_flight.get(&call.request).is_some_and(|it| it.call == Some(key));
        if !is_stream || !is_active || self.migrations.moves.contains_key(&key) {
            return None;
        }
        let left = self.time_left(&call.engine)?;
        let in_flight = self.in_flight.get(&call.request)?;
        if !self.is_movable(call, in_flight) {
            return None;
        }
        let remaining = self.remaining_time(call, in_flight);
        migration::outlives_engine(remaining, left).then_some((Reason::Leaving, remaining))
    }

    /// Returns whether a stream may be moved at all.
    fn is_movable(&self, call: &Call, in_flight: &InFlight) -> bool {
        let incarnation = (call.engine.key, call.engine.started_at);
        let is_supported = in_flight.service.staged.is_some_and(|it| it.operations.can_migrate)
            && !self.migrations.unsupported.contains(&incarnation);
        is_supported
            && self.migrations.may_try(call.request, self.now)
            && self.verdict(in_flight) == Verdict::Clear
            && self.accepts_transfers(&call.engine)
    }

    /// Returns how long a stream is expected to run on.
    fn remaining_time(&self, call: &Call, in_flight: &InFlight) -> Duration {
        let tokens = in_flight.request.expected_answer_tokens_or_estimate();
        let size = self.migrations.event_sizes.get(&in_flight.service.name);
        let remaining = call.progress.remaining(size.copied().unwrap_or_default().events(tokens));
        remaining.min(in_flight.deadline.since(self.now))
    }

    /// Returns how long an engine that is shutting down is certain to serve.
    fn time_left(&self, engine: &Engine) -> Option<Duration> {
        let known = self.leaving_age(engine)?;
        Some(self.settings.drain.saturating_sub(known))
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

    /// Starts the move of a stream, if an engine has memory for it and the links have capacity.
    fn start_move(&mut self, key: CallKey, reason: Reason) {
        let draw = self.draw();
        let Some(call) = self.calls.get(&key).cloned() else { return };
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        let request = call.request;
        let Some(target) = self.move_target(&call, in_flight, draw) else {
            return self.record_failed_move(request, &call.engine, None, reason, "no memory");
        };
        let Some(copy) = copy_between(in_flight, &call.engine, &target) else { return };
        let held_tokens = in_flight.capacity_units();
        let in_progress: Vec<_> = self.migrations.moves.values().map(|it| it.copy).collect();
        if !migration::may_copy(&in_progress, copy) {
            return;
        }
        if !self.take_retry(request) {
            return self.record_failed_move(request, &call.engine, Some(&target), reason, "budget");
        }
        let load = Load { prefill_tokens: 0, calls: 1, held_tokens };
        self.ledger.add(target.key, load);
        let moved = Move {
            request,
            reason,
            source: call.engine,
            target,
            copy,
            load,
            handle: None,
            began: self.now,
            has_closed: false,
            phase: Phase::Copying,
        };
        self.order_transfer(key, &moved, false);
        self.migrations.moves.insert(key, moved);
    }

    /// Chooses the engine at which a stream is to continue.
    fn move_target(&self, call: &Call, in_flight: &InFlight, draw: u64) -> Option<Arc<Engine>> {
        let refused_by = self.migrations.failed.get(&call.request).map(|it| &it.refused_by);
        let mut excluded = refused_by.cloned().unwrap_or_default();
        excluded.push(call.engine.key);
        self.copy_target(in_flight, &call.engine, &excluded, draw)
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

    /// Orders the source of a move to copy the stream's memory.
    fn order_transfer(&mut self, call: CallKey, moved: &Move, is_final: bool) {
        self.effects.push(Effect::Transfer(Transfer {
            request: moved.request,
            call,
            source: moved.source.clone(),
            target: moved.target.address,
            is_final,
        }));
    }

    /// Handles the answer to a transfer.
    pub(super) fn handle_transfer_answer(&mut self, key: CallKey, answer: &Answer) {
        let Some(moved) = self.migrations.moves.get_mut(&key) else { return };
        if let Answer::Copied { handle, .. } | Answer::Refused { handle: Some(handle) } = answer {
            moved.handle = Some(handle.clone());
        }
        match moved.phase {
            Phase::Copying => self.first_copy_ended(key, answer),
            Phase::Stopping => self.final_copy_ended(key, answer),
            Phase::Closing(_) => {}
            Phase::Abandoned => {
                if let Some(moved) = self.migrations.moves.remove(&key) {
                    self.free_copy(&moved);
                }
            }
        }
    }

    /// Handles the end of the copy that was made while the stream ran: the source is told to stop
    /// it.
    fn first_copy_ended(&mut self, key: CallKey, answer: &Answer) {
        if !matches!(answer, Answer::Copied { .. }) {
            return self.transfer_failed(key, answer);
        }
        let Some(call) = self.calls.get(&key) else { return };
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        let remaining = self.remaining_time(call, in_flight);
        let moved = self.migrations.moves.get(&key).cloned();
        if !moved.is_some_and(|it| self.may_continue_at(&it.target, &it.source)) {
            return self.cancel_move(key, "target leaving");
        }
        if !migration::outlives_engine(remaining, Duration::ZERO) {
            return self.cancel_move(key, "nearly complete");
        }
        let Some(moved) = self.migrations.moves.get_mut(&key) else { return };
        moved.phase = Phase::Stopping;
        let moved = moved.clone();
        self.order_transfer(key, &moved, true);
    }

    /// Handles the end of the copy for which the source was told to stop the stream.
    fn final_copy_ended(&mut self, key: CallKey, answer: &Answer) {
        let Some(moved) = self.migrations.moves.get(&key) else { return };
        let (source, target) = (moved.source.clone(), moved.target.clone());
        let has_closed = moved.has_closed;
        let wait = |duration, is_stopped, destinations| Closing {
            since: self.now,
            until: self.now + duration,
            is_stopped,
            is_extended: false,
            destinations,
        };
        let closing = match answer {
            Answer::Copied { .. } => wait(CLOSE_TIMEOUT, true, vec![target, source]),
            Answer::Refused { handle: Some(_) } => wait(CLOSE_TIMEOUT, true, vec![source, target]),
            Answer::Unknown => wait(WATCH_DURATION, false, vec![target, source]),
            // The stream wasn't stopped by this order: if it closed, its source has failed.
            _ if has_closed => wait(CLOSE_TIMEOUT, false, vec![target]),
            _ => return self.transfer_failed(key, answer),
        };
        if has_closed {
            return self.continue_stream(key, closing.destinations);
        }
        if let Some(moved) = self.migrations.moves.get_mut(&key) {
            moved.phase = Phase::Closing(closing);
        }
    }

    /// Handles a transfer that failed without stopping the stream.
    fn transfer_failed(&mut self, key: CallKey, answer: &Answer) {
        let Some(moved) = self.migrations.moves.get(&key) else { return };
        let (request, target) = (moved.request, moved.target.key);
        let incarnation = (moved.source.key, moved.source.started_at);
        match answer {
            Answer::Refused { .. } => {
                let failed = self.migrations.failed.entry(request).or_default();
                failed.refused_by.push(target);
            }
            Answer::Unsupported => {
                self.migrations.unsupported.insert(incarnation);
            }
            _ => {}
        }
        self.cancel_move(key, outcome_name(answer));
    }

    /// Ends the waits for closing connections that are over.
    fn end_closings(&mut self) {
        let now = self.now;
        let over = self.migrations.moves.iter().filter_map(|(&key, moved)| match &moved.phase {
            Phase::Closing(closing) if closing.until <= now => Some((key, closing.clone())),
            _ => None,
        });
        let over: Vec<_> = over.collect();
        for (key, closing) in over {
            if closing.is_stopped {
                self.continue_stream(key, closing.destinations);
            } else if self.is_silent_since(key, closing.since) {
                self.extend_watch(key, closing);
            } else {
                self.cancel_move(key, "no answer");
            }
        }
    }

    /// Returns whether a call has brought no event since a time.
    fn is_silent_since(&self, key: CallKey, since: Time) -> bool {
        self.calls.get(&key).is_some_and(|it| it.last_event_at < since)
    }

    /// Watches a stream for longer whose source is silent: the source may carry the order to stop it
    /// out once it goes on, and the stream then needs the copy.
    fn extend_watch(&mut self, key: CallKey, closing: Closing) {
        let Some(moved) = self.migrations.moves.get_mut(&key) else { return };
        let (since, until) = (self.now, self.now + WATCH_DURATION);
        moved.phase = Phase::Closing(Closing { since, until, is_extended: true, ..closing });
    }

    /// Handles that the connection of a call closed without the end of its stream. Returns whether a
    /// move has stopped the stream, so that this is expected.
    pub(super) fn stream_closed(&mut self, key: CallKey) -> bool {
        let Some(moved) = self.migrations.moves.get_mut(&key) else { return false };
        moved.has_closed = true;
        match &moved.phase {
            Phase::Copying | Phase::Abandoned => false,
            Phase::Stopping => true,
            Phase::Closing(closing) => {
                let destinations = closing.destinations.clone();
                self.continue_stream(key, destinations);
                true
            }
        }
    }

    /// Ends a move whose stream goes on at its source.
    fn cancel_move(&mut self, key: CallKey, outcome: &'static str) {
        let Some(moved) = self.migrations.moves.remove(&key) else { return };
        self.release_target(&moved);
        self.refund_retry_of(moved.request);
        self.free_copy(&moved);
        let target = Some(&*moved.target);
        self.record_failed_move(moved.request, &moved.source, target, moved.reason, outcome);
    }

    /// Ends the move of a stream that has ended.
    pub(super) fn abandon_move(&mut self, key: CallKey) {
        let moved = self.migrations.moves.get_mut(&key);
        let Some(moved) = moved.filter(|it| it.phase != Phase::Abandoned) else { return };
        let awaits_answer = matches!(moved.phase, Phase::Copying | Phase::Stopping);
        moved.phase = Phase::Abandoned;
        let moved = moved.clone();
        self.release_target(&moved);
        self.refund_retry_of(moved.request);
        let target = Some(&*moved.target);
        self.record_failed_move(moved.request, &moved.source, target, moved.reason, "ended");
        if !awaits_answer {
            self.migrations.moves.remove(&key);
            self.free_copy(&moved);
        }
    }

    /// Releases the load that a move has reserved at its target.
    fn release_target(&mut self, moved: &Move) {
        self.ledger.remove(moved.target.key, moved.load, Urgency::Now);
    }

    /// Frees the copy of a move that isn't used, at the target if the source has failed.
    fn free_copy(&mut self, moved: &Move) {
        let Some(handle) = moved.handle.clone() else { return };
        let engine = if moved.has_closed { &moved.target } else { &moved.source };
        if self.accepts_transfers(engine) {
            let source = Source { engine: engine.key, address: engine.address, handle };
            self.effects.push(Effect::Free(source));
        }
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

/// Returns the name of an answer because of which a stream stays.
fn outcome_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Copied { .. } => "copied",
        Answer::NotRunning => "not running",
        Answer::InProgress => "copy in progress",
        Answer::Refused { .. } => "no memory",
        Answer::Unsupported => "not supported",
        Answer::NotConnected => "not reached",
        Answer::Unknown => "no answer",
    }
}
