//! Rate limits of customers over several boxes, without a shared counter.
//!
//! Each box keeps a token bucket for each customer that it has seen: what all boxes together may
//! still admit. It subtracts what it admits itself and what other boxes announce, and refills the
//! bucket at the customer's rate. Announcements carry running totals, so that the next message
//! makes up for a lost one.
//!
//! A box that receives nothing from some of the others does not know what those admit, and they do
//! not know what it admits. Each side then reserves an equal part of the rate for every unreachable
//! box; a box that receives nothing from any other uses only its own part. A site whose boxes
//! exchange no announcements is the same case ([`Visibility::isolated`]).
//!
//! Usage that others have yet to announce is estimated from their recent announcements. A box that
//! has just started has no history: until others announce the level to it, it admits only what it
//! has earned since its start.

mod bucket;
mod peer;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;
use bucket::{Bucket, View};
use peer::{MeanAge, PeerTotals};

/// The share of the tolerance that may cover what unreachable boxes admit, before the others
/// reserve a part of the rate for them. The rest covers starts, and the time until boxes that are
/// cut off are detected as missing (`docs/design/shifted.md`).
const UNREACHABLE_SHARE: f64 = 0.2;

/// How long the totals of a box are kept after its last announcement. Members are removed after the
/// same time.
const SILENT_PEER_TTL: Duration = Duration::from_secs(60);

/// The number of boxes that a box assumes if it has received nothing from others and has no other
/// information on their number: the largest supported deployment (`docs/CAPACITY.md`). Too high a
/// number only makes its part of a limit small until it receives an announcement. With too low a
/// number, boxes that start while they are cut off exceed their part.
pub const MAX_BOXES: usize = 1500;

/// A customer's rate limit, in the customer's own unit: requests or tokens.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
}

/// How exactly limits are enforced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The interval over which a customer's usage is bounded.
    pub window: Duration,
    /// The share of the limit by which the usage may exceed it.
    pub overrun: f64,
    /// The units by which the usage may exceed the limit in addition to that share.
    pub slack: f64,
}

impl Tolerance {
    /// Allows no usage beyond the limit.
    pub const NONE: Tolerance = Tolerance { window: Duration::ZERO, overrun: 0.0, slack: 0.0 };

    /// Returns the units by which a customer's usage over the window may exceed its limit.
    fn units(&self, limit: Limit) -> f64 {
        (limit.rate * self.window.as_secs_f64() + limit.burst) * self.overrun + self.slack
    }

    /// Returns the share of the rate that unreachable boxes may use while the total usage stays
    /// within bounds.
    fn unreachable_share(&self, limit: Limit) -> f64 {
        let whole = limit.rate * self.window.as_secs_f64();
        if whole > 0.0 { self.units(limit) * UNREACHABLE_SHARE / whole } else { 0.0 }
    }
}

/// How many boxes there are, and from how many of them this box receives no announcements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Visibility {
    /// The number of boxes that may admit requests, this one included.
    pub boxes: usize,
    /// The number of those from which nothing is received.
    pub unreachable: usize,
}

impl Visibility {
    /// Returns the visibility of a box that receives announcements from `others` boxes.
    pub fn connected(boxes: usize, others: usize) -> Visibility {
        Visibility { boxes, unreachable: boxes.saturating_sub(1 + others) }
    }

    /// Returns the visibility of one of several boxes that exchange no announcements.
    pub fn isolated(boxes: usize) -> Visibility {
        let boxes = boxes.max(1);
        Visibility { boxes, unreachable: boxes - 1 }
    }

    /// Returns the fraction of the boxes that are reachable, this one included.
    fn reachable_part(self) -> f64 {
        1.0 - self.unreachable as f64 / self.boxes.max(1) as f64
    }

    /// Returns the share of a limit that the reachable boxes have together. Only a side of a
    /// partition with more than half of the boxes may use the tolerance, since there is at most one
    /// such side.
    fn reachable_share(self, tolerance: &Tolerance, limit: Limit) -> f64 {
        let boxes = self.boxes.max(1) as f64;
        let unreachable = self.unreachable as f64 / boxes;
        let covered = if unreachable < 0.5 { tolerance.unreachable_share(limit) } else { 0.0 };
        (1.0 - (unreachable - covered).max(0.0)).max(1.0 / boxes)
    }
}

/// What a box announces about one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account<K> {
    /// The customer.
    pub customer: K,
    /// All units that the box has admitted since its start, less those given back; the counter
    /// wraps.
    pub total: u32,
    /// The box's estimate of what all boxes may still admit; negative for a debt. `None` if the box
    /// has just started and has no better estimate than others that have just started.
    pub level: Option<i32>,
}

/// The buckets of all customers at one box.
#[derive(Debug, Clone)]
pub struct Quota<K> {
    /// How exactly limits are enforced.
    tolerance: Tolerance,
    /// The boxes and their reachability.
    visibility: Visibility,
    /// The limits in force.
    limits: BTreeMap<K, Limit>,
    /// The buckets of customers seen so far.
    buckets: BTreeMap<K, Bucket>,
    /// The totals that other boxes have announced.
    peers: BTreeMap<SocketAddr, PeerTotals<K>>,
    /// The mean age of the others' last announcements.
    mean_age: MeanAge,
}

impl<K: Copy + Ord> Quota<K> {
    /// Creates the buckets of a box that has just started.
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

    /// Applies the limits of a new configuration. Buckets keep their levels, as far as the new
    /// limits allow.
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

    /// Returns whether any customer has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Updates how many boxes there are and are reachable, and removes those that have been silent
    /// for `SILENT_PEER_TTL`.
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

    /// Admits a customer's request if its limit allows that; a customer without a limit is always
    /// admitted.
    ///
    /// # Errors
    ///
    /// The time after which the bucket can admit the request.
    pub fn take(&mut self, now: Time, customer: K, units: u64) -> Result<(), Duration> {
        let view = self.view(now);
        self.bucket(now, customer).map_or(Ok(()), |it| it.take(units, &view))
    }

    /// Refunds the units of a request that has not run.
    pub fn give_back(&mut self, customer: K, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(&customer) {
            bucket.give_back(units);
        }
    }

    /// Applies the usage announced by another box. A complete list contains all customers for which
    /// that box has admitted anything.
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
            // The totals of a new incarnation of a known box start at zero.
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

    /// Returns the totals that are still to be announced to other boxes.
    pub fn take_unannounced(&mut self, now: Time) -> Vec<Account<K>> {
        let mut unannounced = Vec::new();
        for (&customer, bucket) in &mut self.buckets {
            if bucket.take_announcement() {
                unannounced.push(bucket.account(customer, now));
            }
        }
        unannounced
    }

    /// Returns all totals.
    pub fn accounts(&self, now: Time) -> Vec<Account<K>> {
        let used = self.buckets.iter().filter(|(_, it)| it.is_used());
        used.map(|(&customer, it)| it.account(customer, now)).collect()
    }

    /// Returns whether any customer has a change that must be announced soon, since less than half
    /// of its burst is left.
    pub fn is_urgent(&self) -> bool {
        self.buckets.values().any(Bucket::is_urgent)
    }

    /// Returns this box's estimate of the units that a customer may still use, or `None` without a
    /// limit.
    pub fn level(&mut self, now: Time, customer: K) -> Option<f64> {
        self.bucket(now, customer).map(|it| it.level())
    }

    /// Applies what another box has admitted for a customer.
    fn learn(&mut self, now: Time, account: Account<K>, units: f64, silence: Duration) {
        let view = self.view(now);
        let is_known = self.buckets.contains_key(&account.customer);
        let units = if is_known { units } else { units.max(0.0) };
        if let Some(bucket) = self.bucket(now, account.customer) {
            bucket.apply_announcement(units, account.level, silence, &view);
        }
    }

    /// Returns a customer's bucket, filled up to now, or `None` without a limit.
    fn bucket(&mut self, now: Time, customer: K) -> Option<&mut Bucket> {
        let limit = *self.limits.get(&customer)?;
        let view = self.view(now);
        let bucket = self.buckets.entry(customer).or_insert_with(|| Bucket::new(limit, &view));
        bucket.fill(&view);
        Some(bucket)
    }

    /// Returns the inputs that all buckets share at a time.
    fn view(&self, now: Time) -> View {
        let (visibility, tolerance) = (self.visibility, self.tolerance);
        View { now, visibility, tolerance, age: self.mean_age.age_at(now) }
    }
}
