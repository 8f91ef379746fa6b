//! Boxes that share a customer's limit, in virtual time and with no other part of the router.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::quota::{Account, Limit, MAX_BOXES, Quota, Tolerance, Visibility};
use hollyspoke::time::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The time step of a run.
pub const STEP: Duration = Duration::from_millis(10);

/// The interval at which boxes announce their totals.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(350);

/// The interval at which a box updates which others are reachable.
const VISIBILITY_INTERVAL: Duration = Duration::from_millis(50);

/// The silence after which a box counts as unreachable.
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(402);

/// The customer whose limit is shared.
const CUSTOMER: u32 = 7;

/// How boxes share the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Each box has an equal part.
    Parts,
    /// Each box announces its totals to the others.
    Totals,
    /// Boxes announce totals but ignore that others are unreachable: a deliberate fault that a test
    /// must detect.
    TotalsIgnoringSilence,
    /// Boxes announce nothing, and each has the whole limit: a deliberate fault that a test must
    /// detect.
    Unshared,
}

/// One box.
#[derive(Debug)]
struct Member {
    /// Its token buckets.
    quota: Quota<u32>,
    /// Its incarnation.
    incarnation: u64,
    /// The start time of this incarnation.
    started_at: Time,
    /// The time of its next announcement.
    next_announcement: Time,
    /// The time at which it next updates which others are reachable.
    next_visibility_update: Time,
    /// The time of the last announcement from each box.
    heard: BTreeMap<usize, Time>,
    /// The maximum number of boxes reachable at once in this incarnation, itself included.
    max_heard: usize,
    /// The maximum number that others have reported.
    max_reported: usize,
    /// The side of the partition that it is on.
    side: Side,
}

/// The side of a partition; boxes receive announcements only from those of the same side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    /// The boxes that are not partitioned off.
    Main,
    /// The boxes that are partitioned off together.
    Split,
    /// A box that is isolated alone, by its number.
    Alone(usize),
}

/// The result of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// The admitted units, as a share of what one common bucket would have admitted.
    pub share: f64,
    /// The largest sum within the window, divided by what the limit allows without the tolerance.
    pub most: f64,
}

/// Boxes that share a customer's limit.
#[derive(Debug)]
pub struct Fleet {
    /// The boxes.
    members: Vec<Member>,
    /// The customer's limit.
    limit: Limit,
    /// The tolerance of the limit.
    tolerance: Tolerance,
    /// How the boxes share the limit.
    sharing: Sharing,
    /// The current time.
    now: Time,
    /// The units admitted within the window, and when.
    admitted: VecDeque<(Time, u64)>,
    /// The sum of `admitted`.
    sum: u64,
    /// The largest sum within the window.
    most: u64,
    /// All units admitted.
    total: f64,
    /// The level of one common bucket that the boxes are compared with.
    ideal: f64,
    /// The units that the common bucket admitted.
    ideal_total: f64,
    /// The share of announcements that are lost.
    pub lost: f64,
    /// The random number generator.
    pub random: Pcg64Mcg,
}

impl Fleet {
    /// Creates boxes that have run long enough for their buckets to be full.
    pub fn new(
        boxes: usize,
        limit: Limit,
        tolerance: Tolerance,
        sharing: Sharing,
        seed: u64,
    ) -> Fleet {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let members = (0..boxes)
            .map(|_| Member {
                quota: Quota::new(tolerance),
                incarnation: random.random(),
                started_at: Time::ZERO,
                next_announcement: Time::ZERO + ANNOUNCE_INTERVAL.mul_f64(random.random()),
                next_visibility_update: Time::ZERO,
                heard: BTreeMap::new(),
                max_heard: 1,
                max_reported: 1,
                side: Side::Main,
            })
            .collect();
        let mut fleet = Fleet {
            members,
            limit,
            tolerance,
            sharing,
            now: Time::ZERO,
            admitted: VecDeque::new(),
            sum: 0,
            most: 0,
            total: 0.0,
            ideal: limit.burst,
            ideal_total: 0.0,
            lost: 0.0,
            random,
        };
        for member in &mut fleet.members {
            member.quota.set_limits(Time::ZERO, BTreeMap::from([(CUSTOMER, limit)]));
        }
        fleet.run(Duration::from_secs(5), |_, _| Vec::new());
        fleet
    }

    /// Runs the boxes for a time; the function returns the box and the units of each request in a
    /// step.
    pub fn run(
        &mut self,
        duration: Duration,
        mut load: impl FnMut(&mut Pcg64Mcg, Time) -> Vec<(usize, u64)>,
    ) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.announce_due();
            let asked = load(&mut self.random, self.now);
            let earned = self.limit.rate * STEP.as_secs_f64();
            self.ideal = (self.ideal + earned).min(self.limit.burst);
            for (member, units) in asked {
                self.request(member % self.members.len(), units);
            }
        }
    }

    /// Isolates each of the first boxes, or heals them.
    pub fn isolate(&mut self, count: usize, is_isolated: bool) {
        for (number, member) in self.members.iter_mut().take(count).enumerate() {
            member.side = if is_isolated { Side::Alone(number) } else { Side::Main };
        }
    }

    /// Partitions the first boxes off together, so that they still receive each other's
    /// announcements.
    pub fn split(&mut self, count: usize) {
        for member in self.members.iter_mut().take(count) {
            member.side = Side::Split;
        }
    }

    /// Restarts boxes without their state.
    pub fn restart(&mut self, members: impl IntoIterator<Item = usize>) {
        for number in members {
            let incarnation = self.random.random();
            let limit = self.limit;
            let member = &mut self.members[number];
            *member = Member {
                quota: Quota::new(self.tolerance),
                incarnation,
                started_at: self.now,
                next_announcement: self.now,
                next_visibility_update: self.now,
                heard: BTreeMap::new(),
                max_heard: 1,
                max_reported: 1,
                side: member.side,
            };
            member.quota.set_limits(Time::ZERO, BTreeMap::from([(CUSTOMER, limit)]));
        }
    }

    /// Restarts all boxes with full buckets: a deliberate fault that a test must detect.
    pub fn restart_full(&mut self) {
        let full = Account { customer: CUSTOMER, total: 0, level: Some(self.limit.burst as i32) };
        let nobody = SocketAddr::from(([10, 0, 0, 2], 0));
        self.restart(0..self.members.len());
        for member in &mut self.members {
            member.quota.apply_announcement(Time::ZERO, nobody, 0, &[full], true);
        }
    }

    /// Changes the limit at all boxes.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
        for member in &mut self.members {
            let now = Time::ZERO + self.now.since(member.started_at);
            member.quota.set_limits(now, BTreeMap::from([(CUSTOMER, limit)]));
        }
        self.ideal = self.ideal.min(limit.burst);
    }

    /// Returns the result of the run so far.
    pub fn outcome(&self) -> Outcome {
        let allowed = self.limit.rate * self.tolerance.window.as_secs_f64() + self.limit.burst;
        Outcome { share: self.total / self.ideal_total.max(1.0), most: self.most as f64 / allowed }
    }

    /// Returns the largest sum within the window, divided by the bound that includes the tolerance.
    pub fn bound_used(&self) -> f64 {
        let Tolerance { window, overrun, slack } = self.tolerance;
        let limit = self.limit.rate * window.as_secs_f64() + self.limit.burst;
        self.most as f64 / (limit * (1.0 + overrun) + slack)
    }

    /// Resets the totals and the largest sum.
    pub fn reset_counts(&mut self) {
        (self.total, self.ideal_total, self.most) = (0.0, 0.0, self.sum);
    }

    /// Requests units at a box.
    fn request(&mut self, number: usize, units: u64) {
        if self.ideal >= 1.0 {
            self.ideal -= units as f64;
            self.ideal_total += units as f64;
        }
        let member = &mut self.members[number];
        let now = Time::ZERO + self.now.since(member.started_at);
        if member.quota.take(now, CUSTOMER, units).is_err() {
            return;
        }
        self.total += units as f64;
        self.admitted.push_back((self.now, units));
        self.sum += units;
        while let Some(&(at, units)) = self.admitted.front()
            && self.now.since(at) > self.tolerance.window
        {
            self.sum -= units;
            self.admitted.pop_front();
        }
        self.most = self.most.max(self.sum);
    }

    /// Sends the announcements that are due, and updates which boxes are reachable.
    fn announce_due(&mut self) {
        for number in 0..self.members.len() {
            if self.members[number].next_visibility_update <= self.now {
                self.members[number].next_visibility_update = self.now + VISIBILITY_INTERVAL;
                self.update_visibility(number);
            }
            if self.members[number].next_announcement > self.now {
                continue;
            }
            self.members[number].next_announcement = self.now + ANNOUNCE_INTERVAL;
            let is_first = self.now.since(self.members[number].started_at) < ANNOUNCE_INTERVAL;
            let member = &mut self.members[number];
            let since = Time::ZERO + self.now.since(member.started_at);
            let accounts = member.quota.take_unannounced(since);
            let (incarnation, side) = (member.incarnation, member.side);
            for other in 0..self.members.len() {
                if other == number || self.members[other].side != side {
                    continue;
                }
                if self.random.random_bool(self.lost) {
                    continue;
                }
                self.receive(other, number, incarnation, &accounts, is_first);
                // A box that has just started is answered at once, with all totals.
                if is_first {
                    let since = Time::ZERO + self.now.since(self.members[other].started_at);
                    let answer = self.members[other].quota.accounts(since);
                    let incarnation = self.members[other].incarnation;
                    self.receive(number, other, incarnation, &answer, true);
                }
            }
        }
    }

    /// Applies a box's announcement at another one.
    fn receive(
        &mut self,
        to: usize,
        from: usize,
        incarnation: u64,
        accounts: &[Account<u32>],
        is_complete: bool,
    ) {
        let (now, sharing) = (self.now, self.sharing);
        let most = self.members[from].max_heard.max(self.members[from].max_reported);
        let member = &mut self.members[to];
        member.max_reported = member.max_reported.max(most);
        member.heard.insert(from, now);
        if matches!(sharing, Sharing::Totals | Sharing::TotalsIgnoringSilence) {
            let sender = SocketAddr::from(([10, 0, 0, 1], from as u16));
            let now = Time::ZERO + now.since(member.started_at);
            member.quota.apply_announcement(now, sender, incarnation, accounts, is_complete);
        }
    }

    /// Updates which other boxes a box can reach.
    fn update_visibility(&mut self, number: usize) {
        let boxes = self.members.len();
        let now = self.now;
        let member = &mut self.members[number];
        let heard = member.heard.values().filter(|&&it| now.since(it) <= REACHABLE_TIMEOUT).count();
        member.max_heard = member.max_heard.max(1 + heard);
        let visibility = match self.sharing {
            Sharing::Parts => Visibility::isolated(boxes),
            // A box that has received no announcement assumes many other boxes.
            Sharing::Totals if member.heard.is_empty() => Visibility::isolated(MAX_BOXES),
            Sharing::Totals => {
                Visibility::connected(member.max_heard.max(member.max_reported), heard)
            }
            Sharing::TotalsIgnoringSilence | Sharing::Unshared => {
                Visibility { boxes, unreachable: 0 }
            }
        };
        let now = Time::ZERO + now.since(member.started_at);
        member.quota.set_visibility(now, visibility);
    }
}
