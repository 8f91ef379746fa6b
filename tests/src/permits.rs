//! Permits alone, with any number of boxes and any rate. Boxes request, issue and use permits for
//! one engine, over datagrams that may be lost, while boxes are partitioned and restarted.
//!
//! Each box knows which others are alive from their heartbeats: a box that stops is missed some
//! time later, and one that starts has received no heartbeat yet.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::time::Time;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::permit::{Holder, Issuer, PART_COUNT, Side};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::rate_limits::{WINDOW, allowed};

/// The engine that all requests are for.
const ENGINE: EngineKey = EngineKey(41);

/// The maximum time that a request waits for its permit.
const PATIENCE: Duration = Duration::from_millis(60);

/// The time from a box to the engine, in milliseconds.
const TRANSIT_MS: RangeInclusive<u64> = 1..=4;

/// The delay of a datagram, in milliseconds.
const DELAY_MS: RangeInclusive<u64> = 1..=4;

/// The silence after which a box counts as missing, and after which it counts as dead, in heartbeat
/// intervals. Both are the means of the timeouts that boxes use.
const TIMEOUT_BEATS: (f64, f64) = (1.15, 3.6);

/// One box.
#[derive(Debug)]
struct Member {
    /// The permits that it issues.
    issuer: Issuer,
    /// The permits that it holds.
    holder: Holder,
    /// The start time of this incarnation.
    started_at: Time,
    /// The end of the previous incarnation.
    stopped_at: Time,
    /// The time until which it is down.
    down_until: Time,
    /// The side of a partition: boxes exchange datagrams only with those of the same side.
    side: usize,
}

/// What is scheduled to happen.
#[derive(Debug, Clone, Copy)]
enum Scheduled {
    /// A request arrives at a box.
    Request(usize),
    /// A query for a permit arrives at a box, from another one.
    Query(usize, usize),
    /// The reply arrives at a box: the time until its permit is valid, or until it may ask again.
    Reply(usize, Result<Duration, Duration>),
    /// A box uses a permit.
    Use(usize),
    /// A request arrives at the engine.
    Arrival,
    /// A box updates whether it issues the permits.
    Beat(usize),
}

/// Boxes and one rate-limited engine.
#[derive(Debug)]
pub struct Site {
    /// The engine's limit, in requests per second.
    rate: f64,
    /// The boxes.
    members: Vec<Member>,
    /// The boxes in the order in which they take over the issuing of the engine's permits.
    order: Vec<usize>,
    /// The time of the last change of the sides, and the sides before it.
    partition_change: (Time, Vec<usize>),
    /// The current time.
    now: Time,
    /// What is scheduled, by time and number.
    scheduled: BTreeMap<(Time, u64), Scheduled>,
    /// The number of the next entry of `scheduled`.
    next: u64,
    /// The share of datagrams that are lost.
    pub lost: f64,
    /// The times at which requests arrived at the engine.
    arrivals: Vec<Time>,
    /// The random number generator.
    random: Pcg64Mcg,
}

impl Site {
    /// Creates boxes that have received each other's heartbeats, and an engine with this limit in
    /// requests per second.
    pub fn new(boxes: usize, rate: f64, seed: u64) -> Site {
        let member = |_| Member {
            issuer: Issuer::default(),
            holder: Holder::default(),
            started_at: Time::ZERO,
            stopped_at: Time::ZERO,
            down_until: Time::ZERO,
            side: 0,
        };
        let mut order: Vec<_> = (0..boxes).collect();
        rank::order(ENGINE.0, &mut order, |it| *it as u64);
        let mut site = Site {
            rate,
            members: (0..boxes).map(member).collect(),
            order,
            partition_change: (Time::ZERO, vec![0; boxes]),
            now: Time::from_millis(60_000),
            scheduled: BTreeMap::new(),
            next: 0,
            lost: 0.0,
            arrivals: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for number in 0..boxes {
            site.schedule(site.now, Scheduled::Beat(number));
        }
        site
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Partitions the boxes: assigns each the number of its side.
    pub fn partition(&mut self, side: impl Fn(usize) -> usize) {
        self.partition_change = (self.now, self.members.iter().map(|it| it.side).collect());
        for (number, member) in self.members.iter_mut().enumerate() {
            member.side = side(number);
        }
    }

    /// Stops boxes and restarts them after a time, without their state.
    pub fn restart(&mut self, members: impl IntoIterator<Item = usize>, down: Duration) {
        for number in members {
            let member = &mut self.members[number];
            member.issuer = Issuer::default();
            member.holder = Holder::default();
            member.stopped_at = self.now;
            member.down_until = self.now + down;
            member.started_at = member.down_until;
        }
    }

    /// Runs the site for a time, with requests at random boxes and, at an optional interval, a
    /// request at every box at the same moment.
    pub fn run(&mut self, duration: Duration, rate_per_s: f64, all_every: Option<Duration>) {
        let end = self.now + duration;
        self.draw_requests(rate_per_s, end);
        let mut at = all_every.map(|it| self.now + it);
        while let (Some(moment), Some(every)) = (at.filter(|it| *it < end), all_every) {
            for number in 0..self.members.len() {
                self.schedule(moment, Scheduled::Request(number));
            }
            at = Some(moment + every);
        }
        while let Some((&(at, _), _)) = self.scheduled.first_key_value() {
            if at > end {
                break;
            }
            let Some((_, due)) = self.scheduled.pop_first() else { break };
            self.now = at;
            self.handle(due);
        }
        self.now = end;
    }

    /// Returns the maximum number of arrivals at the engine within the window, as a share of what
    /// is allowed.
    pub fn bound_used(&self) -> f64 {
        let mut first = 0;
        let mut max = 0;
        for (last, at) in self.arrivals.iter().enumerate() {
            while self.arrivals[first] + WINDOW <= *at {
                first += 1;
            }
            max = max.max(last + 1 - first);
        }
        max as f64 / allowed(self.rate)
    }

    /// Returns the share of the limit that was used since a time.
    pub fn limit_used(&self, from: Time) -> f64 {
        let count = self.arrivals.iter().filter(|it| **it >= from).count();
        count as f64 / (self.rate * self.now.since(from).as_secs_f64())
    }

    /// Schedules requests at random boxes until a time.
    fn draw_requests(&mut self, rate_per_s: f64, end: Time) {
        let mut at = self.now;
        loop {
            let pause = -(1.0 - self.random.random::<f64>()).ln() / rate_per_s;
            at = at + Duration::from_secs_f64(pause);
            if at >= end {
                return;
            }
            let number = self.random.random_range(0..self.members.len());
            self.schedule(at, Scheduled::Request(number));
        }
    }

    /// Schedules an entry.
    fn schedule(&mut self, at: Time, due: Scheduled) {
        self.next += 1;
        self.scheduled.insert((at, self.next), due);
    }

    /// Schedules an entry after a random number of milliseconds.
    fn schedule_in(&mut self, millis: RangeInclusive<u64>, due: Scheduled) {
        let duration = Duration::from_millis(self.random.random_range(millis));
        self.schedule(self.now + duration, due);
    }

    /// Handles a scheduled entry. Entries for a box that is down are lost.
    fn handle(&mut self, due: Scheduled) {
        let concerned = match due {
            Scheduled::Request(number) | Scheduled::Use(number) | Scheduled::Reply(number, _) => {
                Some(number)
            }
            Scheduled::Beat(number) => return self.update_issuer(number),
            Scheduled::Query(_, to) => Some(to),
            Scheduled::Arrival => None,
        };
        if concerned.is_some_and(|it| self.now < self.members[it].down_until) {
            return;
        }
        match due {
            Scheduled::Request(number) => self.handle_request(number),
            Scheduled::Query(from, to) => self.handle_query(from, to),
            Scheduled::Reply(number, reply) => self.handle_reply(number, reply),
            Scheduled::Use(number) => self.send(number),
            Scheduled::Arrival => self.arrivals.push(self.now),
            Scheduled::Beat(_) => {}
        }
    }

    /// Updates whether a box issues the permits, as boxes do at each heartbeat.
    fn update_issuer(&mut self, number: usize) {
        if self.now >= self.members[number].down_until {
            let is_issuer = self.issuer(number) == number;
            let issuer = &mut self.members[number].issuer;
            if is_issuer {
                issuer.begin(ENGINE, self.now);
            } else {
                issuer.end(ENGINE);
            }
        }
        self.schedule(self.now + self.beat_interval(), Scheduled::Beat(number));
    }

    /// Handles a request at a box: sends it with a permit, or asks for one.
    fn handle_request(&mut self, number: usize) {
        let now = self.now;
        let holder = &self.members[number].holder;
        if holder.has(ENGINE, now) {
            return self.send(number);
        }
        if holder.is_refused(ENGINE, PATIENCE, now) {
            return;
        }
        let issuer = self.issuer(number);
        if issuer == number {
            let issued = self.issue(number);
            return self.handle_reply(number, issued);
        }
        self.send_datagram(number, issuer, Scheduled::Query(number, issuer));
    }

    /// Answers another box's query for a permit.
    fn handle_query(&mut self, from: usize, to: usize) {
        let issued =
            if self.issuer(to) == to { self.issue(to) } else { Err(Duration::from_millis(100)) };
        self.send_datagram(to, from, Scheduled::Reply(from, issued));
    }

    /// Issues or refuses a permit at a box.
    fn issue(&mut self, number: usize) -> Result<Duration, Duration> {
        let side = self.side(number);
        self.members[number].issuer.issue(ENGINE, self.rate, side, PATIENCE, self.now)
    }

    /// Handles the reply to a box's query.
    fn handle_reply(&mut self, number: usize, reply: Result<Duration, Duration>) {
        let now = self.now;
        match reply {
            Ok(wait) => {
                self.members[number].holder.add(ENGINE, now + wait);
                self.schedule(now + wait, Scheduled::Use(number));
            }
            Err(wait) => self.members[number].holder.refuse(ENGINE, wait, now),
        }
    }

    /// Sends a request if the box has a permit.
    fn send(&mut self, number: usize) {
        let now = self.now;
        let holder = &mut self.members[number].holder;
        if holder.has(ENGINE, now) {
            holder.take(ENGINE, now);
            self.schedule_in(TRANSIT_MS, Scheduled::Arrival);
        }
    }

    /// Sends a datagram from one box to another, unless it is lost or the two are partitioned.
    fn send_datagram(&mut self, from: usize, to: usize, due: Scheduled) {
        let is_lost = self.random.random_bool(self.lost);
        if !is_lost && self.members[from].side == self.members[to].side {
            self.schedule_in(DELAY_MS, due);
        }
    }

    /// Returns the interval between heartbeats.
    fn beat_interval(&self) -> Duration {
        Duration::from_millis(if self.members.len() > 100 { 800 } else { 350 })
    }

    /// Returns whether a box has received another one's heartbeat within a number of intervals.
    fn hears(&self, number: usize, other: usize, beats: f64) -> bool {
        let spread = rank::weight(number as u64, other as u64) as f64 / u64::MAX as f64;
        let (own, its) = (&self.members[number], &self.members[other]);
        let (partition_change, before) = &self.partition_change;
        let is_together = own.side == its.side;
        let was_together = before[number] == before[other];
        let is_up = self.now >= its.down_until;
        let healed = if was_together { Time::ZERO } else { *partition_change };
        let first =
            own.started_at.max(its.started_at).max(healed) + self.beat_interval().mul_f64(spread);
        if is_up && is_together && self.now >= first {
            return true;
        }
        let last = match (is_together, was_together) {
            (true, _) => its.stopped_at,
            (false, true) if its.started_at > *partition_change => its.stopped_at,
            (false, true) => *partition_change,
            (false, false) => return false,
        };
        let silence = self.beat_interval().mul_f64(beats - spread);
        own.started_at <= last && self.now.since(last) < silence
    }

    /// Returns the box that issues the permits, by the boxes that this box takes for alive.
    fn issuer(&self, number: usize) -> usize {
        let (_, dead) = TIMEOUT_BEATS;
        let is_alive = |it: &&usize| **it == number || self.hears(number, **it, dead);
        self.order.iter().find(is_alive).copied().unwrap_or(number)
    }

    /// Returns whether an issuing box receives heartbeats from a majority; if not, how many of the
    /// first boxes in order are alive to it, and 0 in the first 5 s after its start.
    fn side(&self, number: usize) -> Side {
        let (late, dead) = TIMEOUT_BEATS;
        let boxes = self.members.len();
        let others = (0..boxes).filter(|it| *it != number);
        let heard = others.filter(|it| self.hears(number, *it, late + 1.0)).count();
        if (1 + heard) * 2 > boxes {
            return Side::Majority;
        }
        // A box knows all others once it has received their heartbeats, and then for a minute.
        let has_heard_all =
            self.now.since(self.members[number].started_at) > Duration::from_secs(5);
        let leaders = self.order.iter().take(PART_COUNT);
        let is_heard = |it: &&usize| **it == number || self.hears(number, **it, dead);
        Side::Minority(if has_heard_all { leaders.filter(is_heard).count() } else { 0 })
    }
}
