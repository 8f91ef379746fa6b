//! Customers' limits over several boxes, without a shared counter.
//!
//! Each box keeps a token bucket for each customer that it has seen: what all boxes together may
//! still let through. It takes away what it lets through itself and what the others tell, and fills
//! it at the customer's rate. What the others tell is a running total, so that a lost message is
//! mended by the next.
//!
//! A box that does not hear some of the others can't know what those let through, nor can they know
//! about it. Each then leaves the others an equal part of the rate; a box that hears nobody has its
//! own part alone. A site whose boxes tell each other nothing is the same case
//! ([`Visibility::isolated`]).
//!
//! What others have yet to tell counts as much as they told of late. A box that has just started has
//! no history: until others tell it the level, it lets through what it has earned since.

mod bucket;
mod peer;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;
use bucket::{Bucket, View};
use peer::{MeanAge, PeerTotals};

/// The share of the tolerance that may cover what unheard boxes let through, before the others
/// leave a part of the rate to them. The rest is for starts, and for the moments until boxes that are
/// cut off are missed (`docs/design/shifted.md`).
const UNREACHABLE_SHARE: f64 = 0.2;

/// How long the totals of a silent box are kept. Members are forgotten after the same time.
const SILENT_PEER_TTL: Duration = Duration::from_secs(60);

/// The boxes that one takes to be there which has heard nobody and was not told how many there are:
/// the largest deployment that is designed for (`docs/CAPACITY.md`). Too many only make its part of
/// a limit small until it hears somebody; too few let boxes that start while they are cut off use
/// what is not theirs.
pub const MAX_BOXES: usize = 1500;

/// What a customer may ask for, in units of its own: requests, or tokens.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units at once beyond the rate.
    pub burst: f64,
}

/// How exactly limits are to be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The span over which a customer's sum is bounded.
    pub window: Duration,
    /// The share of the limit by which the sum may exceed it.
    pub overrun: f64,
    /// The units by which the sum may exceed it beside that share.
    pub slack: f64,
}

impl Tolerance {
    /// Allows nothing beyond the limit.
    pub const NONE: Tolerance = Tolerance { window: Duration::ZERO, overrun: 0.0, slack: 0.0 };

    /// Gives the units by which a customer's sum over the window may exceed its limit.
    fn units(&self, limit: Limit) -> f64 {
        (limit.rate * self.window.as_secs_f64() + limit.burst) * self.overrun + self.slack
    }

    /// Gives the share of the rate that unheard boxes may use while the sum stays within bounds.
    fn unreachable_share(&self, limit: Limit) -> f64 {
        let whole = limit.rate * self.window.as_secs_f64();
        if whole > 0.0 { self.units(limit) * UNREACHABLE_SHARE / whole } else { 0.0 }
    }
}

/// How many boxes there are, and how many of them this one does not hear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Visibility {
    /// All boxes that may let requests through, this one included.
    pub boxes: usize,
    /// Those of them that are not heard.
    pub unreachable: usize,
}

impl Visibility {
    /// Gives the picture of a box that hears others.
    pub fn connected(boxes: usize, others: usize) -> Visibility {
        Visibility { boxes, unreachable: boxes.saturating_sub(1 + others) }
    }

    /// Gives the picture of one of several boxes that tell each other nothing.
    pub fn isolated(boxes: usize) -> Visibility {
        let boxes = boxes.max(1);
        Visibility { boxes, unreachable: boxes - 1 }
    }

    /// Gives the part of the boxes that is heard, this one included.
    fn reachable_part(self) -> f64 {
        1.0 - self.unreachable as f64 / self.boxes.max(1) as f64
    }

    /// Gives the share of a limit that the heard boxes have together. Only a side with most of the
    /// boxes may count on the tolerance: there is one such side at most.
    fn reachable_share(self, tolerance: &Tolerance, limit: Limit) -> f64 {
        let boxes = self.boxes.max(1) as f64;
        let unreachable = self.unreachable as f64 / boxes;
        let covered = if unreachable < 0.5 { tolerance.unreachable_share(limit) } else { 0.0 };
        (1.0 - (unreachable - covered).max(0.0)).max(1.0 / boxes)
    }
}

/// What a box tells of one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account<K> {
    /// The customer.
    pub customer: K,
    /// All units that the box has let through in this life, without those given back; it wraps.
    pub total: u32,
    /// What the box believes that all may still let through; negative for a debt. None if it has
    /// just started and knows no more than others that have.
    pub level: Option<i32>,
}

/// All customers' buckets at one box.
#[derive(Debug, Clone)]
pub struct Quota<K> {
    /// How exactly limits are kept.
    tolerance: Tolerance,
    /// The boxes.
    visibility: Visibility,
    /// The limits in force.
    limits: BTreeMap<K, Limit>,
    /// The buckets of customers that were seen.
    buckets: BTreeMap<K, Bucket>,
    /// What the others have told.
    peers: BTreeMap<SocketAddr, PeerTotals<K>>,
    /// How old the others' last words are in the mean.
    mean_age: MeanAge,
}

impl<K: Copy + Ord> Quota<K> {
    /// Makes the buckets of a box that has just started.
    pub fn new(tolerance: Tolerance) -> Quota<K> {
        Quota {
            tolerance,
            visibility: Visibility { boxes: 1, unreachable: 0 },
            limits: BTreeMap::new(),
            buckets: BTreeMap::new(),
            peers: BTreeMap::new(),
            mean_age: MeanAge { age: Duration::ZERO, at: Time::ZERO },
        }
    }

    /// Takes the limits of a new configuration. Buckets keep their levels, as far as the new limits
    /// allow them.
    pub fn set_limits(&mut self, now: Time, limits: BTreeMap<K, Limit>) {
        let view = self.view(now);
        for (customer, bucket) in &mut self.buckets {
            bucket.fill(&view);
            if let Some(&limit) = limits.get(customer) {
                bucket.set_limit(limit, &view);
            }
        }
        self.limits = limits;
    }

    /// Tells whether any customer has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Takes how many boxes there are and are heard now, and forgets those silent for long.
    pub fn set_visibility(&mut self, now: Time, visibility: Visibility) {
        self.peers.retain(|_, it| now.since(it.at) < SILENT_PEER_TTL);
        if visibility == self.visibility {
            return;
        }
        let old = self.view(now);
        let new = View { visibility, ..old };
        for bucket in self.buckets.values_mut() {
            bucket.set_visibility(&old, &new);
        }
        self.visibility = visibility;
    }

    /// Lets a customer's request through if its limit allows that; a customer without a limit is
    /// always let through.
    ///
    /// # Errors
    ///
    /// The time after which the bucket has something again.
    pub fn take(&mut self, now: Time, customer: K, units: u64) -> Result<(), Duration> {
        let view = self.view(now);
        self.bucket(now, customer).map_or(Ok(()), |it| it.take(units, &view))
    }

    /// Gives back what was taken for a request that has not run.
    pub fn give_back(&mut self, customer: K, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(&customer) {
            bucket.give_back(units);
        }
    }

    /// Takes in what another box has let through. A complete list names all customers that the box
    /// has let through anything for.
    pub fn apply_announcement(
        &mut self,
        now: Time,
        sender: SocketAddr,
        incarnation: u64,
        accounts: &[Account<K>],
        is_complete: bool,
    ) {
        self.mean_age.record_contact(now, self.visibility);
        let peer = self.peers.entry(sender).or_insert_with(|| PeerTotals::new(incarnation, now));
        if peer.incarnation != incarnation {
            // A new life of a known box began at zero.
            *peer = PeerTotals { is_complete: true, ..PeerTotals::new(incarnation, now) };
        }
        let silence = now.since(peer.at);
        peer.at = now;
        let knows_all = peer.is_complete;
        peer.is_complete |= is_complete;
        let mut changes = Vec::new();
        for account in accounts {
            let before = peer.totals.insert(account.customer, account.total);
            let before = before.or(knows_all.then_some(0)).unwrap_or(account.total);
            changes.push((*account, account.total.wrapping_sub(before) as i32));
        }
        for (account, units) in changes {
            self.learn(now, account, f64::from(units), silence);
        }
    }

    /// Gives the totals that others have yet to hear.
    pub fn take_unannounced(&mut self, now: Time) -> Vec<Account<K>> {
        let mut unannounced = Vec::new();
        for (&customer, bucket) in &mut self.buckets {
            if bucket.take_announcement() {
                unannounced.push(bucket.account(customer, now));
            }
        }
        unannounced
    }

    /// Gives all totals.
    pub fn accounts(&self, now: Time) -> Vec<Account<K>> {
        let used = self.buckets.iter().filter(|(_, it)| it.is_used());
        used.map(|(&customer, it)| it.account(customer, now)).collect()
    }

    /// Tells whether a customer has a change that others must hear soon, since less than half of
    /// its burst is left.
    pub fn is_urgent(&self) -> bool {
        self.buckets.values().any(Bucket::is_urgent)
    }

    /// Gives what a customer may still use, as this box believes; none without a limit.
    pub fn level(&mut self, now: Time, customer: K) -> Option<f64> {
        self.bucket(now, customer).map(|it| it.level())
    }

    /// Learns what another box let through for a customer.
    fn learn(&mut self, now: Time, account: Account<K>, units: f64, silence: Duration) {
        let view = self.view(now);
        let is_known = self.buckets.contains_key(&account.customer);
        let units = if is_known { units } else { units.max(0.0) };
        if let Some(bucket) = self.bucket(now, account.customer) {
            bucket.apply_announcement(units, account.level, silence, &view);
        }
    }

    /// Gives a customer's bucket as it is now; none without a limit.
    fn bucket(&mut self, now: Time, customer: K) -> Option<&mut Bucket> {
        let limit = *self.limits.get(&customer)?;
        let view = self.view(now);
        let bucket = self.buckets.entry(customer).or_insert_with(|| Bucket::new(limit, &view));
        bucket.fill(&view);
        Some(bucket)
    }

    /// Gives what all buckets go by at a time.
    fn view(&self, now: Time) -> View {
        let (visibility, tolerance) = (self.visibility, self.tolerance);
        View { now, visibility, tolerance, age: self.mean_age.age_at(now) }
    }
}
