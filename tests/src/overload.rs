//! Boxes that admit requests to one pool of capacity, in virtual time and with no other part of the
//! router.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::admission::{self, Ask, Contention, Decision};
use hollyspoke_gateway::class::{Announcement, Class, Load, Phase, Table};
use hollyspoke_gateway::customer::CustomerKey;
use hollyspoke_gateway::pool::Pool;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The time step of a run.
const STEP: Duration = Duration::from_millis(10);

/// The interval at which boxes announce the load of their classes.
const HEARTBEAT: Duration = Duration::from_millis(350);

/// The size of a request.
const UNITS: u32 = 100;

/// The requests that the pool can run at once.
const PLACES: u32 = 300;

/// The mean time for which a request runs.
const RUN_S: f64 = 2.0;

/// The time for which a request can wait.
const PATIENCE: Duration = Duration::from_millis(250);

/// The time after which requests are counted: the first runs have ended by then.
const WARM_UP: Duration = Duration::from_secs(6);

/// The length of a run.
const LENGTH: Duration = Duration::from_secs(18);

/// The requests per second that the pool can run.
pub const SERVED_PER_S: f64 = PLACES as f64 / RUN_S;

/// One class of requests.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// The priority.
    pub priority: u8,
    /// The number of the customer.
    pub customer: u64,
    /// The requests that arrive per second, as a share of those that the pool can run.
    pub load: f64,
}

/// What became of the requests of one class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    /// The requests that arrived.
    pub arrived: u32,
    /// The requests that ran.
    pub ran: u32,
}

/// The result of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// What became of the requests of each class.
    pub classes: Vec<Served>,
    /// The mean share of the pool in use.
    pub used_share: f64,
}

/// A request that waits at a box.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    /// The number of its traffic.
    traffic: usize,
    /// When it arrived.
    arrived: Time,
    /// Its random number.
    draw: f64,
}

/// One box.
#[derive(Debug, Default)]
struct Member {
    /// The load of its classes.
    table: Table,
    /// What it announced last.
    announced: Vec<Announcement>,
    /// The requests that wait.
    waiting: Vec<Waiting>,
}

/// A pool and the boxes that share it.
#[derive(Debug)]
struct Site<'a> {
    /// The classes.
    traffic: &'a [Traffic],
    /// Whether requests are admitted, or else take capacity in the order of arrival.
    is_admitting: bool,
    /// The boxes.
    members: Vec<Member>,
    /// The sum of what all boxes announced last.
    announced: BTreeMap<Class, Load>,
    /// The ends of the runs, with their boxes and their traffic.
    runs: BinaryHeap<Reverse<(Time, usize, usize)>>,
    /// The random number generator.
    random: Pcg64Mcg,
    /// The current time.
    now: Time,
    /// What became of the requests.
    served: Vec<Served>,
}

impl Served {
    /// Returns the share of the requests that ran.
    pub fn share(self) -> f64 {
        f64::from(self.ran) / f64::from(self.arrived.max(1))
    }
}

/// Plays requests of some classes at a number of boxes.
pub fn play(boxes: usize, traffic: &[Traffic], is_admitting: bool, seed: u64) -> Outcome {
    let mut site = Site {
        traffic,
        is_admitting,
        members: (0..boxes).map(|_| Member::default()).collect(),
        announced: BTreeMap::new(),
        runs: BinaryHeap::new(),
        random: Pcg64Mcg::seed_from_u64(seed),
        now: Time::ZERO,
        served: vec![Served::default(); traffic.len()],
    };
    let (mut used, mut steps) = (0.0, 0.0);
    let (mut next_heartbeat, end) = (Time::ZERO, Time::ZERO + LENGTH);
    while site.now < end {
        site.now = site.now + STEP;
        if site.now >= next_heartbeat {
            next_heartbeat = site.now + HEARTBEAT;
            site.announce();
        }
        site.end_runs();
        site.arrive();
        for number in 0..boxes {
            site.decide(number);
        }
        if site.is_counted() {
            used += site.runs.len() as f64 / f64::from(PLACES);
            steps += 1.0;
        }
    }
    Outcome { classes: site.served, used_share: used / steps }
}

/// Returns the class of some traffic.
fn class(traffic: Traffic) -> Class {
    let customer = Some(CustomerKey(traffic.customer));
    Class { service: 1, priority: traffic.priority, customer }
}

impl Site<'_> {
    /// Returns whether requests are counted.
    fn is_counted(&self) -> bool {
        self.now.since(Time::ZERO) > WARM_UP
    }

    /// Has all boxes announce their load.
    fn announce(&mut self) {
        self.announced.clear();
        for member in &mut self.members {
            member.announced = member.table.own(self.now);
            for it in &member.announced {
                self.announced.entry(it.class).or_default().add(it.load);
            }
        }
    }

    /// Ends the runs that are due.
    fn end_runs(&mut self) {
        while let Some(&Reverse((end, number, traffic))) = self.runs.peek() {
            if end > self.now {
                return;
            }
            self.runs.pop();
            self.advance(number, traffic, Some(Phase::Running), None);
        }
    }

    /// Draws the arrivals of one step.
    fn arrive(&mut self) {
        for (index, traffic) in self.traffic.iter().enumerate() {
            let mean = traffic.load * SERVED_PER_S * STEP.as_secs_f64();
            let mut left = mean + self.random.random_range(0.0..1.0);
            while left >= 1.0 {
                left -= 1.0;
                let number = self.random.random_range(0..self.members.len());
                let draw = self.random.random_range(0.0..1.0);
                let member = &mut self.members[number];
                member.table.arrive(class(*traffic), UNITS, self.now);
                member.table.advance(class(*traffic), UNITS, None, Some(Phase::Waiting));
                member.waiting.push(Waiting { traffic: index, arrived: self.now, draw });
                if self.now.since(Time::ZERO) > WARM_UP {
                    self.served[index].arrived += 1;
                }
            }
        }
    }

    /// Records that a request has changed its phase.
    fn advance(&mut self, number: usize, traffic: usize, from: Option<Phase>, to: Option<Phase>) {
        self.members[number].table.advance(class(self.traffic[traffic]), UNITS, from, to);
    }

    /// Returns the state of the pool, which boxes announce at once.
    fn pool(&self) -> Pool {
        let held = self.runs.len() as f64 * f64::from(UNITS);
        let capacity = f64::from(PLACES * UNITS);
        let (placeable, released_per_s) = (capacity - held, held / RUN_S);
        Pool { capacity, held, placeable, released_per_s, heard_share: 1.0 }
    }

    /// Returns the load of all classes as a box knows it: its own, and that of the others as
    /// announced last.
    fn known(&self, number: usize) -> BTreeMap<Class, Load> {
        let mut table = self.members[number].table.clone();
        let mut others = self.announced.clone();
        for it in &self.members[number].announced {
            let Some(sum) = others.get_mut(&it.class) else { continue };
            sum.arriving_milli_per_s -= it.load.arriving_milli_per_s;
            sum.waiting -= it.load.waiting;
            sum.running -= it.load.running;
        }
        let others = others.into_iter().map(|(class, load)| Announcement { class, load });
        table.receive(([10, 0, 0, 1], 7000).into(), &others.collect::<Vec<_>>());
        table.of_service(1, self.now)
    }

    /// Decides about the requests that wait at a box.
    fn decide(&mut self, number: usize) {
        let mut waiting = std::mem::take(&mut self.members[number].waiting);
        if waiting.is_empty() {
            return;
        }
        let known = self.known(number);
        let mut contention = Contention::new(&self.pool(), &known, f64::from(UNITS), HEARTBEAT);
        if self.is_admitting {
            waiting.sort_by_key(|it| {
                let class = class(self.traffic[it.traffic]);
                (class.priority, contention.claim(class), it.arrived)
            });
        }
        for request in waiting {
            let class = class(self.traffic[request.traffic]);
            let patience = (request.arrived + PATIENCE).since(self.now);
            let decision = match self.decision(&contention, class, &request, patience) {
                Decision::Wait if patience.is_zero() => Decision::Reject,
                decision => decision,
            };
            let to = match decision {
                Decision::Admit => Some(Phase::Running),
                Decision::Wait => Some(Phase::Waiting),
                Decision::Reject => None,
            };
            let from = Some(Phase::Waiting);
            self.advance(number, request.traffic, from, to);
            contention.advance(class, f64::from(UNITS), from, to);
            match decision {
                Decision::Admit => self.run(number, request.traffic),
                Decision::Wait => self.members[number].waiting.push(request),
                Decision::Reject => {}
            }
        }
    }

    /// Decides about one request.
    fn decision(
        &self,
        contention: &Contention,
        class: Class,
        request: &Waiting,
        patience: Duration,
    ) -> Decision {
        let ask = Ask {
            class,
            units: f64::from(UNITS),
            is_waiting: request.arrived < self.now,
            is_returning: false,
            patience,
            draw: request.draw,
        };
        let pool = self.pool();
        let decision = if self.is_admitting {
            admission::decide(&pool, contention, &ask)
        } else {
            Decision::Admit
        };
        let is_full = pool.placeable < ask.units;
        match decision {
            Decision::Admit if is_full && self.is_admitting => contention.outlook(&pool, &ask),
            Decision::Admit if is_full => Decision::Wait,
            decision => decision,
        }
    }

    /// Runs a request.
    fn run(&mut self, number: usize, traffic: usize) {
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let end = self.now + Duration::from_secs_f64(-draw.ln() * RUN_S);
        self.runs.push(Reverse((end, number, traffic)));
        if self.is_counted() {
            self.served[traffic].ran += 1;
        }
    }
}
