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
//! ([`Picture::alone`]).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::{Time, seconds};

/// The level from which on a request passes at boxes that all hear each other, in units. One that
/// is larger than what is left passes too and leaves a debt, so that small requests can't starve
/// large ones.
const LEAST_LEVEL: f64 = 1.0;

/// The share of the tolerance that a bucket starts with at the start of its box, up to the burst.
/// All boxes may start at once, and twice within a window; each time the customer gets this part
/// anew.
const START_SHARE: f64 = 0.33;

/// The share of the tolerance that may cover what unheard boxes let through, before the others
/// leave a part of the rate to them. The rest is for starts, and for the moments until boxes that are
/// cut off are missed (`docs/design/shifted.md`).
const UNHEARD_SHARE: f64 = 0.2;

/// How long a box that has just started takes its levels from the others: they have the history
/// that it lacks.
const YOUNG_FOR: Duration = Duration::from_secs(3);

/// How often a total that has changed is told, so that it arrives although messages are lost. Where
/// 3 in 100 are lost, two in a row are one in 1,100; all totals together mend that some seconds later.
const TOLD_TIMES: u8 = 2;

/// The silence after which a box's next total holds what it let through unheard.
const UNHEARD_AFTER: Duration = Duration::from_secs(1);

/// The span over which it is measured how fast the others let through for a customer: long against
/// the time between two heartbeats, short against the window of a bound.
const PACE_SPAN: Duration = Duration::from_secs(1);

/// The share of a burst that is kept at most for what the others may have let through and not told
/// yet, so that late news can't stop a customer that is far below its limit.
const MOST_UNTOLD: f64 = 0.5;

/// How long the totals of a silent box are kept. Members are forgotten after the same time.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// The boxes that one takes to be there which has heard nobody and was not told how many there are:
/// the largest deployment that is designed for (`docs/CAPACITY.md`). Too many only make its part of
/// a limit small until it hears somebody; too few let boxes that start while they are cut off use
/// what is not theirs.
pub const MOST_BOXES: usize = 1500;

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
    fn unheard_share(&self, limit: Limit) -> f64 {
        let whole = limit.rate * self.window.as_secs_f64();
        if whole > 0.0 { self.units(limit) * UNHEARD_SHARE / whole } else { 0.0 }
    }
}

/// How many boxes there are, and how many of them this one does not hear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Picture {
    /// All boxes that may let requests through, this one included.
    pub boxes: usize,
    /// Those of them that are not heard.
    pub unheard: usize,
}

impl Picture {
    /// Gives the picture of a box that hears others.
    pub fn heard(boxes: usize, others: usize) -> Picture {
        Picture { boxes, unheard: boxes.saturating_sub(1 + others) }
    }

    /// Gives the picture of one of several boxes that tell each other nothing.
    pub fn alone(boxes: usize) -> Picture {
        let boxes = boxes.max(1);
        Picture { boxes, unheard: boxes - 1 }
    }

    /// Gives the part of the boxes that is heard, this one included.
    fn heard_part(self) -> f64 {
        1.0 - self.unheard as f64 / self.boxes.max(1) as f64
    }

    /// Gives the share of a limit that the heard boxes have together. Only a side with most of the
    /// boxes may count on the tolerance: there is one such side at most.
    fn heard_share(self, tolerance: &Tolerance, limit: Limit) -> f64 {
        let boxes = self.boxes.max(1) as f64;
        let unheard = self.unheard as f64 / boxes;
        let covered = if unheard < 0.5 { tolerance.unheard_share(limit) } else { 0.0 };
        (1.0 - (unheard - covered).max(0.0)).max(1.0 / boxes)
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

/// One customer's bucket.
#[derive(Debug, Clone)]
struct Bucket {
    /// The limit.
    limit: Limit,
    /// What all boxes may still let through.
    level: f64,
    /// When the level was last brought up to the time.
    filled: Time,
    /// Whether the level was guessed by a young box, and the others may know better.
    is_guessed: bool,
    /// What the box has earned for the customer since it started, less what it let through; none
    /// once others have told the level. A box that starts does not know of debts that it made
    /// before: it must not make another at once.
    earned: Option<f64>,
    /// What the others told of late, which fades over [`PACE_SPAN`].
    told: f64,
    /// All units that this box has let through; it wraps.
    total: u32,
    /// How often the total is still to be told.
    telling: u8,
}

/// What one other box has told.
#[derive(Debug, Clone)]
struct Heard<K> {
    /// The number of its life.
    incarnation: u64,
    /// When it was last heard.
    at: Time,
    /// Whether all its totals are known, so that one that is new began at zero.
    is_complete: bool,
    /// Its totals.
    totals: BTreeMap<K, u32>,
}

/// What all buckets of a box go by at a time.
#[derive(Debug, Clone, Copy)]
struct View {
    /// The time.
    now: Time,
    /// The boxes.
    picture: Picture,
    /// How exactly limits are kept.
    tolerance: Tolerance,
    /// How old the others' last words are in the mean.
    age: Duration,
}

/// All customers' buckets at one box.
#[derive(Debug, Clone)]
pub struct Quota<K> {
    /// How exactly limits are kept.
    tolerance: Tolerance,
    /// The boxes.
    picture: Picture,
    /// The limits in force.
    limits: BTreeMap<K, Limit>,
    /// The buckets of customers that were seen.
    buckets: BTreeMap<K, Bucket>,
    /// What the others have told.
    heard: BTreeMap<SocketAddr, Heard<K>>,
    /// How old the others' last words are in the mean.
    news: News,
}

/// How old the last words of the others are that are heard.
#[derive(Debug, Clone, Copy)]
struct News {
    /// The mean of their ages.
    age: Duration,
    /// When that was so.
    at: Time,
}

impl<K: Copy + Ord> Quota<K> {
    /// Makes the buckets of a box that has just started.
    pub fn new(tolerance: Tolerance) -> Quota<K> {
        Quota {
            tolerance,
            picture: Picture { boxes: 1, unheard: 0 },
            limits: BTreeMap::new(),
            buckets: BTreeMap::new(),
            heard: BTreeMap::new(),
            news: News { age: Duration::ZERO, at: Time::ZERO },
        }
    }

    /// Takes the limits of a new configuration. Buckets keep their levels, as far as the new limits
    /// allow them.
    pub fn set_limits(&mut self, now: Time, limits: BTreeMap<K, Limit>) {
        let view = self.view(now);
        for (customer, bucket) in &mut self.buckets {
            bucket.fill(&view);
            if let Some(&limit) = limits.get(customer) {
                bucket.limit = limit;
                bucket.fill(&view);
            }
        }
        self.limits = limits;
    }

    /// Tells whether any customer has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Takes how many boxes there are and are heard now, and forgets those silent for long.
    pub fn see(&mut self, now: Time, picture: Picture) {
        self.heard.retain(|_, it| now.since(it.at) < FORGOTTEN_AFTER);
        if picture == self.picture {
            return;
        }
        let old = self.view(now);
        let new = View { picture, ..old };
        for bucket in self.buckets.values_mut() {
            bucket.fill(&old);
            bucket.share_start(&old, &new);
            bucket.told *= (picture.heard_part() / self.picture.heard_part()).min(1.0);
        }
        self.picture = picture;
    }

    /// Lets a customer's request through if its limit allows that; a customer without a limit is
    /// always let through.
    ///
    /// # Errors
    ///
    /// The time after which the bucket has something again.
    pub fn take(&mut self, now: Time, customer: K, units: u64) -> Result<(), Duration> {
        let view = self.view(now);
        let Some(bucket) = self.bucket(now, customer) else { return Ok(()) };
        let missing = bucket.missing(units, &view);
        if missing > 0.0 {
            return Err(seconds(missing / (bucket.limit.rate * view.share(bucket.limit))));
        }
        bucket.spend(units);
        Ok(())
    }

    /// Gives back what was taken for a request that has not run.
    pub fn give_back(&mut self, customer: K, units: u64) {
        let Some(bucket) = self.buckets.get_mut(&customer) else { return };
        bucket.level += units as f64;
        bucket.earned = bucket.earned.map(|it| it + units as f64);
        bucket.total = bucket.total.wrapping_sub(units as u32);
        bucket.telling = TOLD_TIMES;
    }

    /// Takes in what another box has let through. A complete list names all customers that the box
    /// has let through anything for.
    pub fn hear(
        &mut self,
        now: Time,
        sender: SocketAddr,
        incarnation: u64,
        accounts: &[Account<K>],
        is_complete: bool,
    ) {
        self.news.take(now, self.picture);
        let heard = self.heard.entry(sender).or_insert_with(|| Heard::new(incarnation, now));
        if heard.incarnation != incarnation {
            // A new life of a known box began at zero.
            *heard = Heard { is_complete: true, ..Heard::new(incarnation, now) };
        }
        let silence = now.since(heard.at);
        heard.at = now;
        let knows_all = heard.is_complete;
        heard.is_complete |= is_complete;
        let mut changes = Vec::new();
        for account in accounts {
            let before = heard.totals.insert(account.customer, account.total);
            let before = before.or(knows_all.then_some(0)).unwrap_or(account.total);
            changes.push((*account, account.total.wrapping_sub(before) as i32));
        }
        for (account, units) in changes {
            self.learn(now, account, f64::from(units), silence);
        }
    }

    /// Gives the totals that others have yet to hear.
    pub fn take_untold(&mut self, now: Time) -> Vec<Account<K>> {
        let mut untold = Vec::new();
        for (&customer, bucket) in &mut self.buckets {
            if bucket.telling > 0 {
                bucket.telling -= 1;
                untold.push(bucket.account(customer, now));
            }
        }
        untold
    }

    /// Gives all totals.
    pub fn accounts(&self, now: Time) -> Vec<Account<K>> {
        let used = self.buckets.iter().filter(|(_, it)| it.total != 0 || it.telling > 0);
        used.map(|(&customer, it)| it.account(customer, now)).collect()
    }

    /// Tells whether a customer has a change that others must hear soon, since less than half of
    /// its burst is left.
    pub fn is_urgent(&self) -> bool {
        self.buckets.values().any(|it| it.telling == TOLD_TIMES && it.level < it.limit.burst * 0.5)
    }

    /// Gives what a customer may still use, as this box believes; none without a limit.
    pub fn level(&mut self, now: Time, customer: K) -> Option<f64> {
        self.bucket(now, customer).map(|it| it.level)
    }

    /// Learns what another box let through for a customer.
    fn learn(&mut self, now: Time, account: Account<K>, units: f64, silence: Duration) {
        let picture = self.picture;
        let is_known = self.buckets.contains_key(&account.customer);
        let Some(bucket) = self.bucket(now, account.customer) else { return };
        if bucket.is_guessed_at(now)
            && let Some(level) = account.level
        {
            bucket.is_guessed = false;
            bucket.earned = None;
            bucket.level = f64::from(level) - f64::from(bucket.total);
            return;
        }
        // The bucket was full until now: what the other let through is all that is missing.
        let units = if is_known { units } else { units.max(0.0) };
        bucket.told += units;
        bucket.level -= units - left_to_unheard(bucket.limit, picture, units, silence);
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
        let (picture, tolerance) = (self.picture, self.tolerance);
        View { now, picture, tolerance, age: self.news.age_at(now) }
    }
}

impl View {
    /// Gives the share of a limit that the heard boxes have together.
    fn share(&self, limit: Limit) -> f64 {
        self.picture.heard_share(&self.tolerance, limit)
    }
}

impl Bucket {
    /// Makes the bucket of a customer that a box has not seen since its start.
    fn new(limit: Limit, view: &View) -> Bucket {
        let share = view.share(limit);
        let age = view.now.since(Time::ZERO);
        let earned = limit.rate * share * age.as_secs_f64();
        let level = earned + start_level(&view.tolerance, limit) * share;
        let mut bucket = Bucket {
            limit,
            level,
            filled: view.now,
            is_guessed: age < YOUNG_FOR,
            earned: Some(level),
            told: 0.0,
            total: 0,
            telling: 0,
        };
        bucket.fill(view);
        bucket
    }

    /// Brings the level up to a time.
    fn fill(&mut self, view: &View) {
        let share = view.share(self.limit);
        let span = view.now.since(self.filled).as_secs_f64();
        let earned = self.limit.rate * share * span;
        self.told *= (-span / PACE_SPAN.as_secs_f64()).exp();
        self.level = (self.level + earned).min(most_level(share, self.limit));
        self.earned = self.earned.map(|it| it + earned);
        self.filled = view.now;
    }

    /// Gives the units that are missing for a request to pass.
    fn missing(&self, units: u64, view: &View) -> f64 {
        let share = view.share(self.limit);
        let owed = units as f64 * (1.0 - share);
        let needed = needed(units, share, self.limit) + self.untold(share, view.age);
        // A full bucket is enough where others go on telling; alone, what they told soon fades.
        let is_alone = view.picture.unheard + 1 >= view.picture.boxes;
        let most = if is_alone { f64::INFINITY } else { most_level(share, self.limit) };
        let of_level = needed.min(most) - self.level;
        let of_earned = self.earned.map_or(0.0, |it| owed - it);
        of_level.max(of_earned).max(0.0)
    }

    /// Gives what the others have let through and not told yet if they go on as before.
    fn untold(&self, share: f64, age: Duration) -> f64 {
        let pace = self.told / PACE_SPAN.as_secs_f64();
        let most = self.limit.burst * share * MOST_UNTOLD;
        (pace * age.as_secs_f64()).clamp(0.0, most)
    }

    /// Adds what a bucket of a box that has just started has from the boxes that it hears since.
    fn share_start(&mut self, old: &View, new: &View) {
        let more = new.share(self.limit) - old.share(self.limit);
        if self.is_guessed_at(new.now) && more > 0.0 {
            let start = start_level(&new.tolerance, self.limit) * more;
            self.level += start;
            self.earned = self.earned.map(|it| it + start);
        }
    }

    /// Tells whether the level is no more than a guess of a box that has just started.
    fn is_guessed_at(&self, now: Time) -> bool {
        self.is_guessed && now.since(Time::ZERO) < YOUNG_FOR
    }

    /// Takes what this box lets through.
    fn spend(&mut self, units: u64) {
        self.level -= units as f64;
        self.earned = self.earned.map(|it| it - units as f64);
        self.total = self.total.wrapping_add(units as u32);
        self.telling = TOLD_TIMES;
    }

    /// Gives what is told of the bucket.
    fn account<K>(&self, customer: K, now: Time) -> Account<K> {
        let level = (!self.is_guessed_at(now)).then_some(self.level as i32);
        Account { customer, total: self.total, level }
    }
}

impl News {
    /// Gives the age at a time.
    fn age_at(&self, now: Time) -> Duration {
        self.age + now.since(self.at)
    }

    /// Takes in that one of the others is heard.
    fn take(&mut self, now: Time, picture: Picture) {
        let others = picture.boxes.saturating_sub(1 + picture.unheard).max(1) as f64;
        self.age = self.age_at(now).mul_f64(1.0 - 1.0 / others);
        self.at = now;
    }
}

impl<K> Heard<K> {
    /// Makes what is known of a box that is heard for the first time.
    fn new(incarnation: u64, now: Time) -> Heard<K> {
        Heard { incarnation, at: now, is_complete: false, totals: BTreeMap::new() }
    }
}

/// Gives what all boxes together begin with if all start at once.
fn start_level(tolerance: &Tolerance, limit: Limit) -> f64 {
    (tolerance.units(limit) * START_SHARE).min(limit.burst)
}

/// Gives the level up to which a bucket fills.
fn most_level(share: f64, limit: Limit) -> f64 {
    (limit.burst * share).max(LEAST_LEVEL)
}

/// Gives the level that lets a request through. Boxes that don't hear each other would all make a
/// debt at once: each may do so only by its share of the request.
fn needed(units: u64, share: f64, limit: Limit) -> f64 {
    (units as f64 * (1.0 - share)).clamp(LEAST_LEVEL, most_level(share, limit))
}

/// Gives what of a total was left to a box while it was not heard, and is not to be counted again.
fn left_to_unheard(limit: Limit, picture: Picture, units: f64, silence: Duration) -> f64 {
    if silence < UNHEARD_AFTER {
        return 0.0;
    }
    let part = limit.rate * silence.as_secs_f64() / picture.boxes.max(1) as f64;
    units.clamp(0.0, part)
}
