//! Admission of requests while a service has less capacity than its clients ask for.
//!
//! Each box decides for its own requests, over figures that all boxes share: the capacity of the
//! service's engines, and the load of each traffic class. While capacity is short, a request may
//! take some only if enough stays for the classes before it (trunk reservation).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::class::{Class, Load, Phase};
use crate::pool::Pool;

/// The share of the capacity that is free while capacity is plentiful. Boxes that take capacity at
/// the same time can't use up as much before they hear of each other.
const PLENTIFUL_SHARE: f64 = 0.25;

/// The part of its proportional share that a priority always gets, so that nobody starves. Since it
/// follows the priority's own arrivals, no priority gets a larger share of its requests served by
/// it than a more urgent one.
pub const FLOOR_SHARE: f64 = 0.2;

/// A request that asks for capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// The traffic class.
    pub class: Class,
    /// The capacity that it needs, in the units of the pool.
    pub units: f64,
    /// Whether it already waits for capacity.
    pub is_waiting: bool,
    /// Whether its client returns after a refusal.
    pub is_returning: bool,
    /// The time for which it can wait and still be served in time.
    pub patience: Duration,
    /// A random number from 0 to 1 that stays the same for the request.
    pub draw: f64,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may take capacity.
    Admit,
    /// Capacity is expected to become free for it in time.
    Wait,
    /// It can't be served in time.
    Reject,
}

/// The load of one priority, in units of the pool.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    /// The priority.
    priority: u8,
    /// The load of all its customers.
    total: Flow,
    /// The load of the customers that need no more than their fair share.
    modest: Flow,
    /// The load of the customers that need more, and use less than their fair share.
    below: Flow,
    /// The units that a customer may use before others of the priority have a better claim.
    fair_share: f64,
    /// The units that the priority always gets.
    floor: f64,
    /// The share of the units in use that are still in use when other boxes hear of this moment.
    lasting_share: f64,
}

/// How good a customer's claim to capacity is among those of its priority, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Claim {
    /// It needs no more than its fair share.
    Modest,
    /// It needs more, and uses less than its fair share.
    Below,
    /// It uses its fair share.
    Above,
}

/// A sum of loads.
#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    /// The units that arrive per second.
    arriving_per_s: f64,
    /// The units that wait.
    waiting: f64,
    /// The units in use.
    running: f64,
}

/// The units that a class needs and uses.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    /// The units that it would use if all its requests were served.
    needed: f64,
    /// The units in use.
    running: f64,
}

/// How the classes of one service compete for its capacity.
#[derive(Debug, Clone, Default)]
pub struct Contention {
    /// The priorities that have load, the most urgent first.
    levels: Vec<Level>,
    /// The units that each class needs and uses.
    classes: BTreeMap<Class, Usage>,
    /// The time until a box hears of what arrives at another one.
    horizon: Duration,
    /// The mean size of a request, in units.
    mean_units: f64,
}

impl Flow {
    /// Adds a load.
    fn add(&mut self, load: Load) {
        self.arriving_per_s += load.arriving_per_s();
        self.waiting += f64::from(load.waiting);
        self.running += f64::from(load.running);
    }

    /// Adds another flow.
    fn include(&mut self, other: Flow) {
        self.arriving_per_s += other.arriving_per_s;
        self.waiting += other.waiting;
        self.running += other.running;
    }

    /// Adds or removes units in a phase.
    fn add_units(&mut self, phase: Phase, units: f64) {
        let known = match phase {
            Phase::Waiting => &mut self.waiting,
            Phase::Running => &mut self.running,
        };
        *known = (*known + units).max(0.0);
    }
}

impl Usage {
    /// Returns the usage of a class whose requests run for `run_s` seconds on average.
    fn of(load: Load, run_s: f64) -> Usage {
        let running = f64::from(load.running);
        let known = running + f64::from(load.waiting);
        Usage { needed: known.max(load.arriving_per_s() * run_s), running }
    }
}

impl Level {
    /// Returns the load with which the priority comes up to its floor.
    fn missing_flow(&self, horizon: Duration) -> Flow {
        let missing = self.missing();
        let arriving_per_s = missing / horizon.as_secs_f64().max(f64::EPSILON);
        Flow {
            arriving_per_s: self.total.arriving_per_s.min(arriving_per_s),
            waiting: self.total.waiting.min(missing),
            running: 0.0,
        }
    }

    /// Returns the units that the priority will be short of its floor unless some are admitted.
    fn missing(&self) -> f64 {
        (self.floor - self.total.running * self.lasting_share).max(0.0)
    }
}

/// Returns whether a service's capacity is short. A service without usable engines isn't short of
/// capacity: its requests can't be served at any time.
pub fn is_short(pool: &Pool) -> bool {
    pool.capacity > 0.0 && usable(pool) < pool.capacity * PLENTIFUL_SHARE
}

/// Decides about a request.
pub fn decide(pool: &Pool, contention: &Contention, ask: &Ask) -> Decision {
    if !is_short(pool) {
        return Decision::Admit;
    }
    let reserve = contention.reserve(pool, ask);
    // Without anybody before it, a request may try to find capacity in pieces that are too small to
    // count, unless boxes that this one doesn't hear may hold them.
    let may_try = reserve <= 0.0 && pool.heard_share >= 1.0;
    if may_try || usable(pool) >= reserve + ask.units {
        return Decision::Admit;
    }
    contention.outlook(pool, ask)
}

/// Returns the free capacity that this box may count on: all boxes that it doesn't hear may hold
/// their share of the rest.
fn usable(pool: &Pool) -> f64 {
    let own_part = pool.capacity * pool.heard_share - pool.held;
    if pool.heard_share >= 1.0 { pool.placeable } else { pool.placeable.min(own_part).max(0.0) }
}

impl Contention {
    /// Arranges the load of a service's classes at all boxes. Requests have `mean_units` units on
    /// average, and boxes hear of each other's load within `horizon`.
    pub fn new(
        pool: &Pool,
        classes: &BTreeMap<Class, Load>,
        mean_units: f64,
        horizon: Duration,
    ) -> Contention {
        let arriving_per_s: f64 = classes.values().map(|it| it.arriving_per_s()).sum();
        let run_s = run_time(pool);
        let usages = classes.iter().map(|(&class, &load)| (class, Usage::of(load, run_s)));
        let mut contention =
            Contention { levels: Vec::new(), classes: usages.collect(), horizon, mean_units };
        let mut rest = usable(pool);
        for classes in classes.iter().collect::<Vec<_>>().chunk_by(is_same_priority) {
            let mut level = Level { priority: classes[0].0.priority, ..Level::default() };
            classes.iter().for_each(|(_, load)| level.total.add(**load));
            let needs = classes.iter().map(|(class, _)| contention.classes[class].needed);
            level.fair_share = fair_share(needs.collect(), level.total.running + rest);
            for (class, load) in classes {
                match contention.claim_at(&level, **class) {
                    Claim::Modest => level.modest.add(**load),
                    Claim::Below => level.below.add(**load),
                    Claim::Above => {}
                }
            }
            let part = level.total.arriving_per_s / arriving_per_s.max(f64::EPSILON);
            level.floor = pool.capacity * FLOOR_SHARE * part;
            level.lasting_share = (1.0 - horizon.as_secs_f64() / run_s.max(f64::EPSILON)).max(0.0);
            rest = (rest - level.total.waiting).max(0.0);
            contention.levels.push(level);
        }
        contention
    }

    /// Accounts for a request of this box that has changed its phase since.
    pub fn advance(&mut self, class: Class, units: f64, from: Option<Phase>, to: Option<Phase>) {
        let Some(level) = self.levels.iter_mut().find(|it| it.priority == class.priority) else {
            return;
        };
        for (phase, units) in [(from, -units), (to, units)] {
            let Some(phase) = phase else { continue };
            level.total.add_units(phase, units);
            if phase == Phase::Running {
                let known = self.classes.entry(class).or_default();
                known.running = (known.running + units).max(0.0);
            }
        }
    }

    /// Returns the capacity that must stay free for the classes before a request: what they have
    /// waiting, and what arrives of them, beyond what becomes free meanwhile, until this box hears
    /// of it.
    pub fn reserve(&self, pool: &Pool, ask: &Ask) -> f64 {
        let before = self.before(ask);
        let horizon_s = self.horizon.as_secs_f64();
        let excess = (before.arriving_per_s - pool.released_per_s).max(0.0) * horizon_s;
        // The number of arrivals deviates from its mean by about its root.
        let deviation = (before.arriving_per_s * horizon_s * self.mean_units).sqrt();
        before.waiting + excess + deviation
    }

    /// Returns whether a request that finds no capacity can expect some in time.
    pub fn outlook(&self, pool: &Pool, ask: &Ask) -> Decision {
        let before = self.before(ask);
        let free_per_s = pool.released_per_s - before.arriving_per_s;
        let is_ahead = ask.is_waiting || ask.is_returning;
        let alike = if is_ahead { 0.0 } else { self.waiting_alike(ask) };
        let missing = before.waiting + alike + ask.units - usable(pool);
        // What waits elsewhere is known up to a heartbeat late, and may have been served since.
        let known_before = ask.patience + self.horizon;
        let is_in_time = missing <= free_per_s * known_before.as_secs_f64();
        if free_per_s > 0.0 && is_in_time { Decision::Wait } else { Decision::Reject }
    }

    /// Returns how good the claim of a class is within its priority.
    pub fn claim(&self, class: Class) -> Claim {
        self.level(class.priority).map_or(Claim::Modest, |it| self.claim_at(it, class))
    }

    /// Returns how good the claim of a class is at the level of its priority.
    fn claim_at(&self, level: &Level, class: Class) -> Claim {
        let usage = self.classes.get(&class).copied().unwrap_or_default();
        if usage.needed <= level.fair_share {
            Claim::Modest
        } else if usage.running + self.mean_units <= level.fair_share {
            Claim::Below
        } else {
            Claim::Above
        }
    }

    /// Returns the load of the classes before a request: the more urgent ones, and those of its
    /// priority whose customers have a better claim. A priority below its floor is before all
    /// others, with as much as it is short of.
    fn before(&self, ask: &Ask) -> Flow {
        let mut before = Flow::default();
        let own = ask.class.priority;
        let is_first = self.level(own).is_some_and(|it| self.takes_floor(it, ask));
        for level in &self.levels {
            if level.priority > own {
                before.include(level.missing_flow(self.horizon));
            } else if level.priority == own {
                let claim = self.claim_at(level, ask.class);
                if claim > Claim::Modest {
                    before.include(level.modest);
                }
                if claim > Claim::Below {
                    before.include(level.below);
                }
            } else if !is_first {
                before.include(level.total);
            }
        }
        before
    }

    /// Returns whether a request is one of those that bring its priority up to its floor. As boxes
    /// hear of each other late, each lets only a part of its requests do so.
    fn takes_floor(&self, level: &Level, ask: &Ask) -> bool {
        let expected =
            level.total.waiting + level.total.arriving_per_s * self.horizon.as_secs_f64();
        ask.draw * expected.max(ask.units) < level.missing()
    }

    /// Returns the units that wait with the same claim as a request.
    fn waiting_alike(&self, ask: &Ask) -> f64 {
        let Some(level) = self.level(ask.class.priority) else { return 0.0 };
        match self.claim_at(level, ask.class) {
            Claim::Modest => level.modest.waiting,
            Claim::Below => level.below.waiting,
            Claim::Above => {
                (level.total.waiting - level.modest.waiting - level.below.waiting).max(0.0)
            }
        }
    }

    /// Returns the load of a priority.
    fn level(&self, priority: u8) -> Option<&Level> {
        self.levels.iter().find(|it| it.priority == priority)
    }
}

/// Returns the mean time for which requests hold capacity, in seconds.
fn run_time(pool: &Pool) -> f64 {
    if pool.released_per_s > 0.0 { pool.held / pool.released_per_s } else { 0.0 }
}

/// Returns whether two classes have the same priority.
fn is_same_priority(a: &(&Class, &Load), b: &(&Class, &Load)) -> bool {
    a.0.priority == b.0.priority
}

/// Returns the max-min fair share of each customer in a supply: whoever needs less gets what it
/// needs, the others equal parts of the rest. It is infinite if the supply suffices for all.
fn fair_share(mut needs: Vec<f64>, supply: f64) -> f64 {
    needs.sort_by(f64::total_cmp);
    let mut rest = supply;
    for (index, need) in needs.iter().enumerate() {
        let part = rest / (needs.len() - index) as f64;
        if *need > part {
            return part;
        }
        rest -= need;
    }
    f64::INFINITY
}
