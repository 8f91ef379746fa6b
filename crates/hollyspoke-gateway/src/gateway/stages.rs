//! Changes of engines' stages, which adapt the numbers of prefill and decode engines to the load.
//!
//! The first of the live boxes checks the load with each heartbeat. It sends an order only while it
//! holds the lease in the store, and acquires the lease only while it has an order to send. All
//! boxes stop sending requests to an engine before it is ordered to change.

mod orders;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::lease::{Lease, Terms};
use hollyspoke::time::Time;

use super::peers::service_hash;
use super::{Gateway, Settings};
use crate::demand::DECAY_TIME;
use crate::directory::Record;
use crate::effect::{Effect, LogEvent};
use crate::engine::{EngineKey, Stage};
use crate::message::{Demand, StageSwitch};
use crate::ratio::{self, Capacity, Change, Split};
use crate::request::Request;
use crate::route::{Service, Staged};

/// The name of the lease in the store.
const LEASE: &str = "stages";

/// The timing of the lease. It is held for single orders, which take milliseconds. The next box can
/// acquire it after `ttl` and `margin`.
const TERMS: Terms = Terms {
    ttl: Duration::from_secs(4),
    margin: Duration::from_millis(500),
    renew: Duration::from_secs(1),
};

/// The minimum number of recent requests for an estimate of the load. With this many, the mean
/// prompt length is known to about 10 %.
const MIN_REQUEST_COUNT: u32 = 16;

/// The maximum share of a service's engines that change their stage at the same time.
const MAX_SWITCHING_SHARE: f64 = 0.25;

/// The delay before a change in the opposite direction, so that a fluctuating load doesn't move
/// engines back and forth. A change costs an engine about 6 s.
const REVERSAL_DELAY: Duration = Duration::from_secs(15);

/// The time for which the lease is wanted after a change was last worthwhile.
const LEASE_WANTED_DURATION: Duration = Duration::from_millis(1500);

/// The time for which the boxes send nothing to an engine whose order is planned and not sent yet.
const PLANNED_TIMEOUT: Duration = Duration::from_secs(3);

/// The minimum share of its usual throughput that a rate-limited engine must accept to be counted.
const MIN_COUNTED_SHARE: f64 = 0.5;

/// The requests per second that one engine can handle.
#[derive(Debug, Clone, Copy)]
struct Throughput {
    /// The throughput of a prefill engine.
    prefill: f64,
    /// The throughput of a decode engine.
    decode: f64,
}

impl Throughput {
    /// Returns the throughput for requests like the recent ones.
    fn of(demand: Demand, capacity: Capacity) -> Throughput {
        let requests_per_s = f64::from(demand.requests) / DECAY_TIME.as_secs_f64();
        let of_type = |by_one: f64, in_all: u32| by_one * requests_per_s / f64::from(in_all.max(1));
        Throughput {
            prefill: of_type(capacity.prefill_rate, demand.prefill_tokens_per_s),
            decode: of_type(capacity.memory_tokens, demand.held_tokens),
        }
    }
}

/// The progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The change is announced to the boxes, which send the engine nothing.
    Announced,
    /// The order was sent.
    Sent,
    /// The engine carries the order out, until the given time at the latest.
    UnderWay(Time),
}

/// A change of an engine's stage.
#[derive(Debug, Clone, Copy)]
struct StageChange {
    /// The engine.
    engine: EngineKey,
    /// The stage that it changes to.
    stage: Stage,
    /// The time when the change was planned.
    planned_at: Time,
    /// The number of orders that the engine has accepted before; none until it has reported it.
    order_count: Option<u64>,
    /// The progress of the order.
    phase: Phase,
    /// The number of times that the order was sent.
    attempts: u32,
}

/// The stage changes that this box orders.
#[derive(Debug, Clone)]
pub(super) struct Stages {
    /// The lease that permits sending orders.
    lease: Lease,
    /// This box's name as the lease's holder.
    holder: Arc<str>,
    /// The fencing token in the last log line on the lease; none if the lease was not held.
    logged_token: Option<u64>,
    /// The time until which the lease is wanted for changes that are not planned yet.
    wanted_until: Time,
    /// The changes that are planned or under way.
    changes: Vec<StageChange>,
    /// The number of the last operation on the store.
    last_operation: u64,
    /// The time when the changes are checked next.
    next_check: Option<Time>,
    /// The time until which no change is planned.
    paused_until: Time,
    /// The direction of the last change, and the time when it was planned.
    last_change: Option<(Change, Time)>,
}

impl Stages {
    /// Creates the state of a box that has ordered nothing.
    pub(super) fn new(settings: &Settings) -> Stages {
        let holder = format!("{}-{:016x}", settings.peer, settings.incarnation);
        Stages {
            lease: Lease::new(Time::ZERO, LEASE.to_owned(), holder.clone(), TERMS),
            holder: holder.into(),
            logged_token: None,
            wanted_until: Time::ZERO,
            changes: Vec::new(),
            last_operation: 0,
            next_check: None,
            paused_until: Time::ZERO,
            last_change: None,
        }
    }

    /// Enters an era of the store, in which the lease may be lost.
    pub(super) fn enter_era(&mut self, now: Time, era: u64) {
        self.lease.enter_era(now, era);
    }

    /// Returns when the changes are to be checked.
    pub(super) fn next_check_at(&self) -> Option<Time> {
        self.next_check
    }

    /// Returns the change of an engine, if there is one.
    fn find(&mut self, engine: EngineKey) -> Option<&mut StageChange> {
        self.changes.iter_mut().find(|it| it.engine == engine)
    }
}

impl Gateway {
    /// Records the demand of a request for a service with stages.
    pub(super) fn record_demand(&mut self, service: &Service, request: &Request) {
        if service.staged.is_some() {
            let meter = self.meters.entry(service.name.clone()).or_default();
            meter.record(request.prompt_tokens_or_estimate(), request.mean_held_tokens(), self.now);
        }
    }

    /// Returns the demand of clients for each service at this box.
    pub(super) fn own_demand(&mut self) -> Vec<(u64, Demand)> {
        let (now, run) = (self.now, self.runs.mean(self.now));
        let meters = self.meters.iter_mut();
        meters.map(|(name, it)| (service_hash(name), it.demand(now, run))).collect()
    }

    /// Returns the changes that this box orders, as announced to other boxes.
    pub(super) fn own_stage_switches(&self) -> Vec<StageSwitch> {
        self.stages.changes.iter().map(|it| self.stage_switch(it)).collect()
    }

    /// Applies the announcement of a stage change: nothing new is sent to the engine for its
    /// duration.
    pub(super) fn apply_stage_switch(&mut self, stage_switch: &StageSwitch) {
        let duration = Duration::from_millis(u64::from(stage_switch.duration_ms));
        self.directory.set_switching(stage_switch.engine, stage_switch.stage, self.now + duration);
    }

    /// Plans stage changes that the load requires, if this box is the leader.
    pub(super) fn balance_stages(&mut self) {
        if !self.is_leader() {
            return self.drop_planned();
        }
        if self.now < self.stages.paused_until {
            return;
        }
        let Some(configuration) = self.configuration.clone() else { return };
        for service in configuration.services() {
            if let Some(staged) = service.staged
                && staged.switch_duration.is_some()
            {
                self.balance_service(service, &staged);
            }
        }
    }

    /// Returns whether this box has stage changes planned or under way.
    pub(super) fn has_stage_changes(&self) -> bool {
        !self.stages.changes.is_empty()
    }

    /// Returns whether this box is the one that sends orders. Boxes that don't support eras have
    /// lower fencing tokens than this box, which must not send orders while they are alive.
    pub(super) fn is_leader(&self) -> bool {
        let keeps_tokens = self.store_era() == 0 || self.members.all_support_eras();
        let is_cut_off = self.store_view().has_lost_store || self.is_cut_off();
        let is_able = self.is_ready() && !is_cut_off && keeps_tokens;
        is_able && self.members.is_first(self.settings.peer)
    }

    /// Plans the changes that a service's load requires.
    fn balance_service(&mut self, service: &Service, staged: &Staged) {
        let hash = service_hash(&service.name);
        let own = self.own_demand().into_iter().find(|it| it.0 == hash);
        let demand = self.members.demand(hash).plus(own.map(|it| it.1).unwrap_or_default());
        if demand.requests < MIN_REQUEST_COUNT {
            return;
        }
        let capacity = Capacity {
            prefill_rate: self.directory.best_prefill_rate(&service.name) * 1e3,
            memory_tokens: staged.memory_tokens as f64,
        };
        loop {
            let (split, working) = self.count_stages(&service.name, demand, capacity);
            let engines = split.prefill + split.decode;
            let changing = engines - working.prefill - working.decode;
            let max = (f64::from(engines) * MAX_SWITCHING_SHARE).max(1.0) as u32;
            if changing >= max {
                return;
            }
            let Some(change) = ratio::change(demand, capacity, split, working) else { return };
            let is_reverse = |&(last, at): &(Change, Time)| {
                last != change && self.now.since(at) < REVERSAL_DELAY
            };
            if self.stages.last_change.as_ref().is_some_and(is_reverse) {
                return;
            }
            self.stages.wanted_until = self.now + LEASE_WANTED_DURATION;
            if !self.may_order() {
                self.stages.next_check = Some(self.now);
                return;
            }
            let Some(engine) = self.choose_engine(&service.name, change) else { return };
            self.plan(engine, change, split, demand);
        }
    }

    /// Returns the number of a service's engines by their present or future stage, and the number
    /// of those that work now. A rate-limited engine counts if it accepts at least
    /// [`MIN_COUNTED_SHARE`] of its usual throughput.
    fn count_stages(&self, service: &str, demand: Demand, capacity: Capacity) -> (Split, Split) {
        let mut split = Split { prefill: 0, decode: 0 };
        let mut working = split;
        let throughput = Throughput::of(demand, capacity);
        for record in self.active_engines(service) {
            let is_prefill = record.next_stage(self.now) == Some(Stage::Prefill);
            let usual = if is_prefill { throughput.prefill } else { throughput.decode };
            let limit = self.terms.limits.of(record.engine.key);
            if limit.is_some_and(|it| it.rate < usual * MIN_COUNTED_SHARE) {
                continue;
            }
            let works = u32::from(record.switching(self.now).is_none());
            if is_prefill {
                split.prefill += 1;
                working.prefill += works;
            } else {
                split.decode += 1;
                working.decode += works;
            }
        }
        (split, working)
    }

    /// Returns the engines of a service that are not shutting down.
    fn active_engines(&self, service: &str) -> impl Iterator<Item = &Record> {
        self.directory.active(service, self.now).filter(|it| !self.terms.is_leaving(&it.engine))
    }

    /// Chooses the engine that changes its stage: to decode in the data centre with the most
    /// prefill engines, to prefill in the one with the fewest. There, it is the engine with the
    /// least work.
    fn choose_engine(&self, service: &str, change: Change) -> Option<EngineKey> {
        let from = match change {
            Change::ToDecode => Stage::Prefill,
            Change::ToPrefill => Stage::Decode,
        };
        let mut prefill_counts: HashMap<&str, i64> = HashMap::new();
        for record in self.active_engines(service) {
            let is_prefill = record.next_stage(self.now) == Some(Stage::Prefill);
            *prefill_counts.entry(&record.engine.data_centre).or_default() += i64::from(is_prefill);
        }
        let local_prefill_count =
            |it: &Record| prefill_counts.get(&*it.engine.data_centre).copied().unwrap_or_default();
        let open = self.directory.open(service, self.now);
        // Orders are requests too, and an engine that is rate-limited or shutting down is of little
        // use in another stage.
        let candidates = open.filter(|it| it.engine.stage == Some(from));
        let candidates = candidates.filter(|it| self.accepts_auxiliary(it.engine.key));
        let chosen = candidates.min_by_key(|it| {
            let count = local_prefill_count(it);
            let count = if change == Change::ToDecode { -count } else { count };
            (count, self.ledger.at(it.engine.key).held_tokens, it.engine.key)
        });
        chosen.map(|it| it.engine.key)
    }

    /// Plans a change, and has all boxes stop sending to the engine.
    fn plan(&mut self, engine: EngineKey, change: Change, engines: Split, demand: Demand) {
        let stage = match change {
            Change::ToDecode => Stage::Decode,
            Change::ToPrefill => Stage::Prefill,
        };
        let planned_at = self.now;
        let stage_change = StageChange {
            engine,
            stage,
            planned_at,
            order_count: None,
            phase: Phase::Announced,
            attempts: 0,
        };
        self.stages.changes.push(stage_change);
        self.stages.last_change = Some((change, planned_at));
        if let Some(record) = self.directory.get(engine) {
            let record = record.engine.clone();
            self.log(LogEvent::Switch { id: record.id.clone(), stage, engines, demand });
            self.effects.push(Effect::QueryOrderCount(record));
        }
        self.announce_change(&stage_change);
    }

    /// Announces the progress of a change to all boxes, including this one.
    fn announce_change(&mut self, change: &StageChange) {
        let stage_switch = self.stage_switch(change);
        self.announce_stage_switch(stage_switch);
    }

    /// Announces to all boxes that an engine keeps its stage.
    fn announce_cancelled(&mut self, change: &StageChange) {
        self.announce_stage_switch(StageSwitch { duration_ms: 0, ..self.stage_switch(change) });
    }

    /// Announces a stage change to all boxes, including this one.
    fn announce_stage_switch(&mut self, stage_switch: StageSwitch) {
        self.apply_stage_switch(&stage_switch);
        let mut message = self.message(false);
        message.stage_switches = vec![stage_switch];
        self.send_to_all(message);
    }

    /// Returns the announcement of a change.
    fn stage_switch(&self, change: &StageChange) -> StageSwitch {
        let remaining = match change.phase {
            Phase::Announced | Phase::Sent => PLANNED_TIMEOUT,
            Phase::UnderWay(until) => until.since(self.now),
        };
        let duration_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
        StageSwitch { engine: change.engine, stage: change.stage, duration_ms }
    }
}
