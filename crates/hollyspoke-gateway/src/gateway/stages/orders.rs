//! The orders for planned stage changes: the lease in the store, sending the orders, and their
//! outcome.

use std::time::Duration;

use hollyspoke::store::{Answer, Operation};

use super::super::Gateway;
use super::{PLANNED_TIMEOUT, Phase, StageChange};
use crate::effect::{Effect, LogEvent, ORDER_TIMEOUT, Order};
use crate::engine::EngineKey;
use crate::event::OrderAnswer;

/// The interval between checks whether an order can be sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of times that an order without an answer is sent.
const MAX_ATTEMPT_COUNT: u32 = 3;

/// The pause after a cancelled change before another one is planned.
const CANCEL_PAUSE: Duration = Duration::from_secs(4);

/// The maximum time for which requests that run at an engine delay its change, not including the
/// change itself.
const MAX_DRAIN: Duration = Duration::from_secs(16);

/// The time in which an announced change reaches all boxes.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(40);

/// The time after which an engine is ordered even if prompts are queued there. It rejects these.
const MAX_PREFILL_WAIT: Duration = Duration::from_millis(600);

impl Gateway {
    /// Advances the planned changes and sends the orders that can be sent now.
    pub(in crate::gateway) fn advance_stage_changes(&mut self) {
        if self.stages.changes.is_empty() && !self.wants_lease() {
            self.stages.next_check = None;
            return;
        }
        self.drop_finished();
        self.tick_lease();
        self.send_orders();
        self.stages.next_check = self.wants_lease().then_some(self.now + CHECK_INTERVAL);
    }

    /// Returns whether there is an order to send, or a change worth one.
    fn wants_lease(&self) -> bool {
        let has_planned = self.stages.changes.iter().any(|it| it.phase == Phase::Announced);
        has_planned || self.now < self.stages.wanted_until
    }

    /// Acquires or renews the lease while there is an order to send.
    fn tick_lease(&mut self) {
        let wanted = self.wants_lease();
        let (number, started) = (self.stages.last_operation + 1, &mut None);
        self.stages.lease.tick(self.now, wanted, |operation| {
            *started = Some(operation);
            number
        });
        self.begin(number, started.take());
        self.log_lease();
    }

    /// Handles the store's answer to an operation.
    pub(in crate::gateway) fn apply_store_answer(&mut self, number: u64, answer: &Answer) {
        let is_applied = self.apply_census_answer(number, answer)
            || self.apply_cases_answer(number, answer)
            || self.apply_register_answer(number, answer)
            || self.apply_confirmation(number, answer)
            || self.apply_archive_answer(number, answer);
        if is_applied {
            return;
        }
        let (next, started) = (self.stages.last_operation + 1, &mut None);
        self.stages.lease.answer(self.now, number, answer, |operation| {
            *started = Some(operation);
            next
        });
        self.begin(next, started.take());
        self.log_lease();
        if self.may_order() {
            self.balance_stages();
        }
    }

    /// Starts an operation on the store and returns its number.
    pub(in crate::gateway) fn start_operation(&mut self, operation: Operation) -> u64 {
        let number = self.stages.last_operation + 1;
        self.begin(number, Some(operation));
        number
    }

    /// Starts an operation on the store, if there is one.
    fn begin(&mut self, number: u64, operation: Option<Operation>) {
        if let Some(operation) = operation {
            self.stages.last_operation = number;
            self.effects.push(Effect::Store(number, operation));
        }
    }

    /// Logs when the lease is acquired or lost.
    fn log_lease(&mut self) {
        let token = self.stages.lease.held(self.now).map(|it| it.token);
        if token.is_some() != self.stages.logged_token.is_some() {
            self.log(LogEvent::Lease(token));
        }
        self.stages.logged_token = token;
    }

    /// Returns whether this box may send an order now: the lease lasts longer than an order may
    /// take, and the orders of the previous holder have ended.
    pub(super) fn may_order(&self) -> bool {
        let now = self.now;
        let Some(held) = self.stages.lease.held(now) else { return false };
        let pause = self.settings.order_pause;
        let must_wait = held.taken_over.is_some_and(|it| now.since(it) < pause);
        !must_wait && now + ORDER_TIMEOUT <= held.until
    }

    /// Sends the orders for announced changes once no prompt is queued at the engine, or
    /// [`MAX_PREFILL_WAIT`] has passed.
    fn send_orders(&mut self) {
        let now = self.now;
        let Some(held) = self.stages.lease.held(now).filter(|_| self.may_order()) else { return };
        for index in 0..self.stages.changes.len() {
            let change = self.stages.changes[index];
            let prefill_tokens = self.ledger.at(change.engine).prefill_tokens;
            let waited = now.since(change.planned_at);
            let is_settled =
                waited >= ANNOUNCEMENT_DELAY && (prefill_tokens == 0 || waited >= MAX_PREFILL_WAIT);
            let Some(expected_count) = change.order_count else { continue };
            if change.phase != Phase::Announced || !is_settled {
                continue;
            }
            let record = self.directory.get(change.engine);
            let Some(record) = record.filter(|_| self.accepts_auxiliary(change.engine)) else {
                continue;
            };
            let engine = record.engine.clone();
            self.stages.changes[index].phase = Phase::Sent;
            self.stages.changes[index].attempts += 1;
            let (id, stage, token) = (engine.id.clone(), change.stage, held.token);
            self.log(LogEvent::Ordered { id, stage, token, before: change.attempts });
            let holder = self.stages.holder.clone();
            let order = Order { engine, stage, holder, token, expected_count };
            self.effects.push(Effect::Order(order));
        }
    }

    /// Handles an engine's report of how many orders it has accepted. An engine without a report is
    /// not ordered.
    pub(in crate::gateway) fn apply_order_count(&mut self, engine: EngineKey, count: Option<u64>) {
        let Some(change) = self.stages.find(engine) else { return };
        if change.order_count.is_some() {
            return;
        }
        change.order_count = count;
        if count.is_none() {
            self.cancel_change(engine, "no report");
        }
    }

    /// Handles an engine's answer to an order.
    ///
    /// An order without an answer is sent again with the same count. If the engine accepted the
    /// first one, or accepts it later, it refuses one of the two.
    pub(in crate::gateway) fn apply_order_answer(
        &mut self,
        engine: EngineKey,
        answer: OrderAnswer,
    ) {
        let now = self.now;
        let is_leader = self.is_leader();
        let Some(change) = self.stages.find(engine) else { return };
        if change.phase != Phase::Sent {
            return;
        }
        let was_sent_before = change.attempts > 1;
        match answer {
            OrderAnswer::Accepted => self.mark_under_way(engine, "taken"),
            OrderAnswer::AlreadyApplied => self.mark_under_way(engine, "held already"),
            OrderAnswer::Conflict if was_sent_before => self.mark_under_way(engine, "taken before"),
            OrderAnswer::Unknown if change.attempts < MAX_ATTEMPT_COUNT && is_leader => {
                change.phase = Phase::Announced;
                self.stages.next_check = Some(now);
            }
            OrderAnswer::Unknown => self.cancel_change(engine, "no answer"),
            OrderAnswer::Conflict => self.cancel_change(engine, "conflict"),
            OrderAnswer::Refused => self.cancel_change(engine, "refused"),
        }
    }

    /// Records that an engine carries out its order.
    fn mark_under_way(&mut self, engine: EngineKey, outcome: &'static str) {
        let Some(record) = self.directory.get(engine) else { return };
        let id = record.engine.id.clone();
        let until = self.now + self.switch_duration(&record.engine.service.clone()) + MAX_DRAIN;
        let Some(change) = self.stages.find(engine) else { return };
        change.phase = Phase::UnderWay(until);
        let change = *change;
        self.log(LogEvent::OrderEnded { id, outcome });
        self.announce_change(&change);
    }

    /// Returns how long a service's engines take to change their stage.
    fn switch_duration(&self, service: &str) -> Duration {
        let service = self.configuration.as_ref().and_then(|it| it.service(service));
        service.and_then(|it| it.staged?.switch_duration).unwrap_or_default()
    }

    /// Cancels a change, and plans no other one for a while.
    fn cancel_change(&mut self, engine: EngineKey, outcome: &'static str) {
        let Some(change) = self.stages.find(engine).copied() else { return };
        self.stages.changes.retain(|it| it.engine != engine);
        self.stages.paused_until = self.now + CANCEL_PAUSE;
        if let Some(record) = self.directory.get(engine) {
            let id = record.engine.id.clone();
            self.log(LogEvent::OrderEnded { id, outcome });
        }
        self.announce_cancelled(&change);
    }

    /// Cancels the change of an engine that has ended. The engine's next incarnation has
    /// received no order.
    pub(in crate::gateway) fn drop_change(&mut self, engine: EngineKey) {
        if self.stages.find(engine).is_some() {
            self.cancel_change(engine, "engine ended");
        }
    }

    /// Cancels the change of an engine that was not ordered yet.
    pub(in crate::gateway) fn drop_unordered(&mut self, engine: EngineKey, outcome: &'static str) {
        if self.stages.find(engine).is_some_and(|it| it.phase == Phase::Announced) {
            self.cancel_change(engine, outcome);
        }
    }

    /// Cancels the changes that are not ordered yet, since another box decides from now on.
    pub(super) fn drop_planned(&mut self) {
        let is_planned = |it: &&StageChange| it.phase == Phase::Announced;
        let planned: Vec<_> = self.stages.changes.iter().filter(is_planned).copied().collect();
        for change in planned {
            self.cancel_change(change.engine, "not the first box any more");
        }
    }

    /// Removes changes that are complete, whose engine is gone, or that took too long.
    fn drop_finished(&mut self) {
        let now = self.now;
        let directory = &self.directory;
        let is_finished = |it: &StageChange| {
            let record = directory.get(it.engine);
            let is_done = record.is_none_or(|record| record.engine.stage == Some(it.stage));
            is_done || matches!(it.phase, Phase::UnderWay(until) if until <= now)
        };
        self.stages.changes.retain(|it| !is_finished(it));
        let is_stuck = |it: &&StageChange| {
            it.phase == Phase::Announced && now.since(it.planned_at) >= PLANNED_TIMEOUT
        };
        let stuck: Vec<_> = self.stages.changes.iter().filter(is_stuck).copied().collect();
        for change in stuck {
            self.cancel_change(change.engine, "no lease");
        }
    }
}
