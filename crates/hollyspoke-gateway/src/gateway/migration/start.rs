//! Decides which streams are moved, and starts their moves.

use std::sync::Arc;
use std::time::Duration;

use super::super::Gateway;
use super::copy_between;
use super::progress::{Move, Phase};
use crate::effect::Task;
use crate::engine::Engine;
use crate::in_flight::{Call, InFlight};
use crate::message::Load;
use crate::migration::{self, Reason};
use crate::quarantine::Verdict;
use crate::request::CallKey;

impl Gateway {
    /// Starts moves of streams that would outlive their engines, the longest first.
    pub(super) fn start_moves(&mut self) {
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

    /// Returns how long an engine that is shutting down is certain to serve.
    fn time_left(&self, engine: &Engine) -> Option<Duration> {
        let known = self.leaving_age(engine)?;
        Some(self.settings.drain.saturating_sub(known))
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
}
