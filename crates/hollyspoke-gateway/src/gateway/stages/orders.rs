//! How planned changes of stages are ordered: the lease in the store, the orders, and what becomes of
//! them.

use std::time::Duration;

use hollyspoke::store::{Answer, Operation};

use super::super::Gateway;
use super::{Move, PLANNED_SPAN, Phase};
use crate::effect::{Effect, LONGEST_ORDER, Note, Order};
use crate::engine::EngineKey;
use crate::event::OrderAnswer;

/// How often it is looked whether an order can be given.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// How often one order is sent that gets no answer.
const MOST_TRIES: u32 = 3;

/// The pause after an order that was not taken.
const REST: Duration = Duration::from_secs(4);

/// How long what runs at an engine may take to end before it changes, beside the change itself.
const LONGEST_DRAIN: Duration = Duration::from_secs(16);

/// The time in which all boxes hear that an engine is to change.
const SETTLES_AFTER: Duration = Duration::from_millis(40);

/// The time after which an engine is ordered even if prompts wait there: it turns those away.
const SETTLED_BY: Duration = Duration::from_millis(600);

impl Gateway {
    /// Gives the orders that can be given now.
    pub(in crate::gateway) fn give_orders(&mut self) {
        if self.stages.moves.is_empty() && !self.wants_lease() {
            self.stages.next_look = None;
            return;
        }
        self.drop_finished();
        self.tick_lease();
        self.send_orders();
        self.stages.next_look = self.wants_lease().then_some(self.now + LOOK_EVERY);
    }

    /// Tells whether there is an order to give, or a change worth one.
    fn wants_lease(&self) -> bool {
        let has_planned = self.stages.moves.iter().any(|it| it.phase == Phase::Settling);
        has_planned || self.now < self.stages.wanted_until
    }

    /// Takes or renews the lease while there is an order to give.
    fn tick_lease(&mut self) {
        let wanted = self.wants_lease();
        let (number, begun) = (self.stages.last_operation + 1, &mut None);
        self.stages.lease.tick(self.now, wanted, |operation| {
            *begun = Some(operation);
            number
        });
        self.begin(number, begun.take());
        self.note_lease();
    }

    /// Takes the store's answer to an operation.
    pub(in crate::gateway) fn stored(&mut self, number: u64, answer: &Answer) {
        if self.census_stored(number, answer) || self.cases_stored(number, answer) {
            return;
        }
        let (next, begun) = (self.stages.last_operation + 1, &mut None);
        self.stages.lease.answer(self.now, number, answer, |operation| {
            *begun = Some(operation);
            next
        });
        self.begin(next, begun.take());
        self.note_lease();
        if self.may_order() {
            self.balance();
        }
    }

    /// Begins an operation on the store and gives its number.
    pub(in crate::gateway) fn begin_operation(&mut self, operation: Operation) -> u64 {
        let number = self.stages.last_operation + 1;
        self.begin(number, Some(operation));
        number
    }

    /// Begins an operation on the store, if there is one.
    fn begin(&mut self, number: u64, operation: Option<Operation>) {
        if let Some(operation) = operation {
            self.stages.last_operation = number;
            self.effects.push(Effect::Store(number, operation));
        }
    }

    /// Logs that the lease was gained or lost.
    fn note_lease(&mut self) {
        let token = self.stages.lease.held(self.now).map(|it| it.token);
        if token.is_some() != self.stages.noted.is_some() {
            self.note(Note::Lease(token));
        }
        self.stages.noted = token;
    }

    /// Tells whether this box may give an order now: the lease lasts longer than the order may
    /// take, and those of the holder before are long over.
    pub(super) fn may_order(&self) -> bool {
        let now = self.now;
        let Some(held) = self.stages.lease.held(now) else { return false };
        let pause = self.settings.order_pause;
        let must_wait = held.taken_over.is_some_and(|it| now.since(it) < pause);
        !must_wait && now + LONGEST_ORDER <= held.until
    }

    /// Sends the orders whose engines the boxes have left.
    fn send_orders(&mut self) {
        let now = self.now;
        let Some(held) = self.stages.lease.held(now).filter(|_| self.may_order()) else { return };
        for index in 0..self.stages.moves.len() {
            let step = self.stages.moves[index];
            let reading = self.ledger.at(step.engine).reading;
            let waited = now.since(step.planned);
            let is_settled = waited >= SETTLES_AFTER && (reading == 0 || waited >= SETTLED_BY);
            let Some(expected_count) = step.count else { continue };
            if step.phase != Phase::Settling || !is_settled {
                continue;
            }
            let known = self.directory.get(step.engine);
            let Some(known) = known.filter(|_| self.takes_aside(step.engine)) else { continue };
            let engine = known.engine.clone();
            self.stages.moves[index].phase = Phase::Sent;
            self.stages.moves[index].tries += 1;
            let (id, stage, token) = (engine.id.clone(), step.stage, held.token);
            self.note(Note::Ordered { id, stage, token, before: step.tries });
            let holder = self.stages.holder.clone();
            let order = Order { engine, stage, holder, token, expected_count };
            self.effects.push(Effect::Order(order));
        }
    }

    /// Takes word of how many orders an engine has taken. One that does not tell is not ordered.
    pub(in crate::gateway) fn inspected(&mut self, engine: EngineKey, count: Option<u64>) {
        let Some(step) = self.stages.of(engine) else { return };
        if step.count.is_some() {
            return;
        }
        step.count = count;
        if count.is_none() {
            self.cancel_move(engine, "no report");
        }
    }

    /// Takes an engine's answer to an order.
    ///
    /// An order without an answer is sent again with the same count: if the first was taken, or is
    /// taken later, the engine refuses one of the two.
    pub(in crate::gateway) fn ordered(&mut self, engine: EngineKey, answer: OrderAnswer) {
        let now = self.now;
        let leads = self.leads();
        let Some(step) = self.stages.of(engine) else { return };
        if step.phase != Phase::Sent {
            return;
        }
        let was_sent_before = step.tries > 1;
        match answer {
            OrderAnswer::Taken => self.under_way(engine, "taken"),
            OrderAnswer::Held => self.under_way(engine, "held already"),
            OrderAnswer::Conflict if was_sent_before => self.under_way(engine, "taken before"),
            OrderAnswer::Unknown if step.tries < MOST_TRIES && leads => {
                step.phase = Phase::Settling;
                self.stages.next_look = Some(now);
            }
            OrderAnswer::Unknown => self.cancel_move(engine, "no answer"),
            OrderAnswer::Conflict => self.cancel_move(engine, "conflict"),
            OrderAnswer::Refused => self.cancel_move(engine, "refused"),
        }
    }

    /// Notes that an engine carries its order out.
    fn under_way(&mut self, engine: EngineKey, how: &'static str) {
        let Some(known) = self.directory.get(engine) else { return };
        let id = known.engine.id.clone();
        let until = self.now + self.switch_span(&known.engine.service.clone()) + LONGEST_DRAIN;
        let Some(step) = self.stages.of(engine) else { return };
        step.phase = Phase::UnderWay(until);
        let step = *step;
        self.note(Note::OrderEnded { id, how });
        self.announce(&step);
    }

    /// Gives how long a service's engines take to change.
    fn switch_span(&self, service: &str) -> Duration {
        let service = self.configuration.as_ref().and_then(|it| it.service(service));
        service.and_then(|it| it.staged?.switch_duration).unwrap_or_default()
    }

    /// Gives a change up, and decides nothing new for a while.
    fn cancel_move(&mut self, engine: EngineKey, how: &'static str) {
        let Some(step) = self.stages.of(engine).copied() else { return };
        self.stages.moves.retain(|it| it.engine != engine);
        self.stages.rests_until = self.now + REST;
        if let Some(known) = self.directory.get(engine) {
            let id = known.engine.id.clone();
            self.note(Note::OrderEnded { id, how });
        }
        self.release(&step);
    }

    /// Drops the change of an engine that has ended: it knows of no order any more.
    pub(in crate::gateway) fn drop_move(&mut self, engine: EngineKey) {
        if self.stages.of(engine).is_some() {
            self.cancel_move(engine, "engine ended");
        }
    }

    /// Gives up the change of an engine that was not ordered yet.
    pub(in crate::gateway) fn drop_unordered(&mut self, engine: EngineKey, how: &'static str) {
        if self.stages.of(engine).is_some_and(|it| it.phase == Phase::Settling) {
            self.cancel_move(engine, how);
        }
    }

    /// Gives up the changes that are not ordered yet: another box decides from now on.
    pub(super) fn drop_planned(&mut self) {
        let is_planned = |it: &&Move| it.phase == Phase::Settling;
        let planned: Vec<_> = self.stages.moves.iter().filter(is_planned).copied().collect();
        for step in planned {
            self.cancel_move(step.engine, "not the first box any more");
        }
    }

    /// Drops the changes that are done, whose engine is gone, or that took too long.
    fn drop_finished(&mut self) {
        let now = self.now;
        let directory = &self.directory;
        let is_finished = |it: &Move| {
            let known = directory.get(it.engine);
            let is_done = known.is_none_or(|known| known.engine.stage == Some(it.stage));
            is_done || matches!(it.phase, Phase::UnderWay(until) if until <= now)
        };
        self.stages.moves.retain(|it| !is_finished(it));
        let is_stuck =
            |it: &&Move| it.phase == Phase::Settling && now.since(it.planned) >= PLANNED_SPAN;
        let stuck: Vec<_> = self.stages.moves.iter().filter(is_stuck).copied().collect();
        for step in stuck {
            self.cancel_move(step.engine, "no lease");
        }
    }
}
