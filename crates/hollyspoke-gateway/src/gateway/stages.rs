//! Orders to engines to change their stage, so that as many read and as many generate as the load
//! asks for.
//!
//! The first of the living boxes looks at the load with each heartbeat. It gives an order only
//! while it holds the lease in the store, and takes the lease only while it has one to give. All
//! boxes stop sending to an engine before it is ordered to change.

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

/// The spans of the lease. It is held for single orders, which take milliseconds; the next box can
/// have it after `ttl` and a `margin`.
const TERMS: Terms = Terms {
    ttl: Duration::from_secs(4),
    margin: Duration::from_millis(500),
    renew: Duration::from_secs(1),
};

/// The requests of late below which the load is not known well enough: the mean length of a prompt
/// is then known to about a tenth.
const MIN_REQUESTS: u32 = 16;

/// The share of a service's engines that may change their stage at once.
const MAX_SWITCHING_SHARE: f64 = 0.25;

/// How long the other direction has to wait, so that a load that swings moves nothing back and
/// forth: a change costs an engine some 6 s on the users' sites.
const REVERSAL_DELAY: Duration = Duration::from_secs(15);

/// For how long the lease is wanted after a change was last seen to be worth it.
const LEASE_WANTED_DURATION: Duration = Duration::from_millis(1500);

/// For how long the boxes leave an engine out that is to be ordered, and not ordered yet.
const PLANNED_TIMEOUT: Duration = Duration::from_secs(3);

/// The share of what an engine could bear that one in need must take to count as an engine.
const MIN_COUNTED_SHARE: f64 = 0.5;

/// The requests a second that one engine could bear.
#[derive(Debug, Clone, Copy)]
struct Throughput {
    /// One that reads.
    prefill: f64,
    /// One that generates.
    decode: f64,
}

impl Throughput {
    /// Gives what engines could bear of requests such as those of late.
    fn of(demand: Demand, capacity: Capacity) -> Throughput {
        let asked = f64::from(demand.requests) / DECAY_TIME.as_secs_f64();
        let borne = |by_one: f64, in_all: u32| by_one * asked / f64::from(in_all.max(1));
        Throughput {
            prefill: borne(capacity.prefill_rate, demand.prefill_tokens_per_s),
            decode: borne(capacity.memory_tokens, demand.held_tokens),
        }
    }
}

/// How far an order is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The boxes are told to leave the engine out.
    Announced,
    /// The order was sent.
    Sent,
    /// The engine carries it out, and is to be done by a time.
    UnderWay(Time),
}

/// An engine's change of stage.
#[derive(Debug, Clone, Copy)]
struct StageChange {
    /// The engine.
    engine: EngineKey,
    /// The stage that it is to have.
    stage: Stage,
    /// When it was decided.
    planned_at: Time,
    /// How many orders the engine has taken before, once it has told.
    order_count: Option<u64>,
    /// How far it is.
    phase: Phase,
    /// The orders sent for it.
    attempts: u32,
}

/// The changes that this box orders.
#[derive(Debug, Clone)]
pub(super) struct Stages {
    /// The lease.
    lease: Lease,
    /// This box's name as a holder.
    holder: Arc<str>,
    /// The fencing token that was last logged as held.
    logged_token: Option<u64>,
    /// Until when the lease is wanted for changes that are not planned yet.
    wanted_until: Time,
    /// The changes that are planned or under way.
    changes: Vec<StageChange>,
    /// The number of the last operation on the store.
    last_operation: u64,
    /// When the next look at the moves is due.
    next_check: Option<Time>,
    /// Until when nothing new is decided.
    paused_until: Time,
    /// The direction of the last change, and when it was decided.
    last_change: Option<(Change, Time)>,
}

impl Stages {
    /// Makes the stages of a box that has ordered nothing.
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

    /// Notes the store's era: its lease may be lost.
    pub(super) fn enter_era(&mut self, now: Time, era: u64) {
        self.lease.enter_era(now, era);
    }

    /// Gives when the moves are to be looked at.
    pub(super) fn next_check_at(&self) -> Option<Time> {
        self.next_check
    }

    /// Finds the change of an engine.
    fn find(&mut self, engine: EngineKey) -> Option<&mut StageChange> {
        self.changes.iter_mut().find(|it| it.engine == engine)
    }
}

impl Gateway {
    /// Counts what a request asks of a service with stages.
    pub(super) fn record_demand(&mut self, service: &Service, request: &Request) {
        if service.staged.is_some() {
            let meter = self.meters.entry(service.name.clone()).or_default();
            meter.record(request.prompt_tokens_or_estimate(), request.mean_held_tokens(), self.now);
        }
    }

    /// Gives what clients ask of each service at this box.
    pub(super) fn own_demand(&mut self) -> Vec<(u64, Demand)> {
        let (now, run) = (self.now, self.runs.mean(self.now));
        let meters = self.meters.iter_mut();
        meters.map(|(name, it)| (service_hash(name), it.demand(now, run))).collect()
    }

    /// Gives the changes that this box orders, for the others.
    pub(super) fn own_stage_switches(&self) -> Vec<StageSwitch> {
        self.stages.changes.iter().map(|it| self.stage_switch(it)).collect()
    }

    /// Takes word of an engine that is to change its stage.
    pub(super) fn apply_stage_switch(&mut self, switching: &StageSwitch) {
        let span = Duration::from_millis(u64::from(switching.duration_ms));
        self.directory.set_switching(switching.engine, switching.stage, self.now + span);
    }

    /// Looks whether the engines' stages fit the load, if that is this box's to decide.
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

    /// Tells whether this box has engines change their stage.
    pub(super) fn has_stage_changes(&self) -> bool {
        !self.stages.changes.is_empty()
    }

    /// Tells whether this box is the one to give orders. The tokens of boxes that know no eras are
    /// lower than those of this one, which must not go before them.
    pub(super) fn is_leader(&self) -> bool {
        let keeps_tokens = self.store_era() == 0 || self.members.all_support_eras();
        let is_able = self.is_ready() && !self.store_view().has_lost_store && keeps_tokens;
        is_able && self.members.is_first(self.settings.peer)
    }

    /// Plans the changes that a service's load asks for.
    fn balance_service(&mut self, service: &Service, staged: &Staged) {
        let hash = service_hash(&service.name);
        let own = self.own_demand().into_iter().find(|it| it.0 == hash);
        let demand = self.members.demand(hash).plus(own.map(|it| it.1).unwrap_or_default());
        if demand.requests < MIN_REQUESTS {
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
            let most = (f64::from(engines) * MAX_SWITCHING_SHARE).max(1.0) as u32;
            if changing >= most {
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

    /// Gives the engines of a service by the stage that they have or will have, and those of them
    /// that work now. One in need counts if it takes at least half of what it could bear.
    fn count_stages(&self, service: &str, demand: Demand, capacity: Capacity) -> (Split, Split) {
        let mut split = Split { prefill: 0, decode: 0 };
        let mut working = split;
        let bears = Throughput::of(demand, capacity);
        for known in self.staying(service) {
            let is_reader = known.next_stage(self.now) == Some(Stage::Prefill);
            let usual = if is_reader { bears.prefill } else { bears.decode };
            let limit = self.terms.limits.of(known.engine.key);
            if limit.is_some_and(|it| it.rate < usual * MIN_COUNTED_SHARE) {
                continue;
            }
            let works = u32::from(known.switching(self.now).is_none());
            if is_reader {
                split.prefill += 1;
                working.prefill += works;
            } else {
                split.decode += 1;
                working.decode += works;
            }
        }
        (split, working)
    }

    /// Goes over the engines of a service that do not leave.
    fn staying(&self, service: &str) -> impl Iterator<Item = &Record> {
        self.directory.active(service, self.now).filter(|it| !self.terms.is_leaving(&it.engine))
    }

    /// Chooses the engine that changes: of the data centre with the most readers to generate, of
    /// the one with the fewest to read; there the one with the least work.
    fn choose_engine(&self, service: &str, change: Change) -> Option<EngineKey> {
        let from = match change {
            Change::ToDecode => Stage::Prefill,
            Change::ToPrefill => Stage::Decode,
        };
        let mut readers_in: HashMap<&str, i64> = HashMap::new();
        for known in self.staying(service) {
            let is_reader = known.next_stage(self.now) == Some(Stage::Prefill);
            *readers_in.entry(&known.engine.data_centre).or_default() += i64::from(is_reader);
        }
        let readers_near =
            |it: &Record| readers_in.get(&*it.engine.data_centre).copied().unwrap_or_default();
        let open = self.directory.open(service, self.now);
        // Orders are requests too, and one in need or about to leave is of little use in another stage.
        let candidates = open.filter(|it| it.engine.stage == Some(from));
        let candidates = candidates.filter(|it| self.accepts_auxiliary(it.engine.key));
        let chosen = candidates.min_by_key(|it| {
            let readers = readers_near(it);
            let readers = if change == Change::ToDecode { -readers } else { readers };
            (readers, self.ledger.at(it.engine.key).held_tokens, it.engine.key)
        });
        chosen.map(|it| it.engine.key)
    }

    /// Plans a change, and has all boxes leave the engine out.
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
        if let Some(known) = self.directory.get(engine) {
            let known = known.engine.clone();
            self.log(LogEvent::Switch { id: known.id.clone(), stage, engines, demand });
            self.effects.push(Effect::QueryOrderCount(known));
        }
        self.announce_change(&stage_change);
    }

    /// Tells all boxes, this one too, how far a change is.
    fn announce_change(&mut self, change: &StageChange) {
        let stage_switch = self.stage_switch(change);
        self.announce_stage_switch(stage_switch);
    }

    /// Tells all boxes that an engine stays as it is.
    fn announce_cancelled(&mut self, change: &StageChange) {
        self.announce_stage_switch(StageSwitch { duration_ms: 0, ..self.stage_switch(change) });
    }

    /// Tells all boxes of a change.
    fn announce_stage_switch(&mut self, switching: StageSwitch) {
        self.apply_stage_switch(&switching);
        let mut message = self.message(false);
        message.stage_switches = vec![switching];
        self.send_to_all(message);
    }

    /// Gives what the other boxes need to know of a change.
    fn stage_switch(&self, change: &StageChange) -> StageSwitch {
        let remaining = match change.phase {
            Phase::Announced | Phase::Sent => PLANNED_TIMEOUT,
            Phase::UnderWay(until) => until.since(self.now),
        };
        let duration_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
        StageSwitch { engine: change.engine, stage: change.stage, duration_ms }
    }
}
