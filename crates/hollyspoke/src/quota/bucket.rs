//! One customer's bucket at one box.

use std::time::Duration;

use super::{Account, Limit, Tolerance, Visibility};
use crate::time::{Time, seconds};

/// The level from which a request is admitted while all boxes are reachable, in units. A request
/// larger than the level is admitted too and leaves a debt, so that small requests can't starve
/// large ones.
const MIN_LEVEL: f64 = 1.0;

/// The share of the tolerance that is in a bucket at the start of its box, up to the burst. All
/// boxes may start at once, and twice within a window; the customer gets this share each time.
const START_SHARE: f64 = 0.33;

/// How long a box that has just started adopts the levels of others, which have the history that it
/// lacks.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// How many times a changed total is announced, to make up for lost messages. At a loss of 3 %,
/// both of two are lost once in 1,100 times; the complete list of totals corrects that some seconds
/// later.
const ANNOUNCEMENT_COUNT: u8 = 2;

/// The silence after which a box's next total is assumed to include units that it admitted while
/// unreachable.
const SILENCE_THRESHOLD: Duration = Duration::from_secs(1);

/// The time constant over which the others' rate of admission for a customer is averaged: long
/// compared to the heartbeat interval, short compared to [`Tolerance::window`].
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The maximum share of a burst that is reserved for usage that others have not announced yet, so
/// that late announcements can't block a customer that is far below its limit.
const MAX_UNANNOUNCED_SHARE: f64 = 0.5;

/// The inputs that all buckets of a box share at a time.
#[derive(Debug, Clone, Copy)]
pub(super) struct View {
    /// The time.
    pub(super) now: Time,
    /// The boxes and their reachability.
    pub(super) visibility: Visibility,
    /// How exactly limits are enforced.
    pub(super) tolerance: Tolerance,
    /// The mean age of the others' last announcements.
    pub(super) age: Duration,
}

/// The bucket of one customer.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    /// The limit.
    limit: Limit,
    /// The units that all boxes together may still admit.
    level: f64,
    /// When the level was last refilled.
    filled: Time,
    /// Whether the level is the guess of a box that has just started and may be replaced by
    /// another's.
    is_guessed: bool,
    /// What the box has earned for the customer since its start, less what it has admitted; `None`
    /// once another box has announced the level. A starting box does not know of debts from before
    /// its restart, so it must not make another at once.
    earned: Option<f64>,
    /// The units that others have announced recently, which decay over [`RATE_WINDOW`].
    recent_units: f64,
    /// All units that this box has admitted; the counter wraps.
    total: u32,
    /// How many more times the total is to be announced.
    announcements_left: u8,
}

impl View {
    /// Returns the share of a limit that the reachable boxes have together.
    pub(super) fn share(&self, limit: Limit) -> f64 {
        self.visibility.reachable_share(&self.tolerance, limit)
    }
}

impl Bucket {
    /// Creates the bucket of a customer that the box has not seen since its start.
    pub(super) fn new(limit: Limit, view: &View) -> Bucket {
        let share = view.share(limit);
        let age = view.now.since(Time::ZERO);
        let earned = limit.rate * share * age.as_secs_f64();
        let level = earned + start_level(&view.tolerance, limit) * share;
        let mut bucket = Bucket {
            limit,
            level,
            filled: view.now,
            is_guessed: age < STARTUP_PERIOD,
            earned: Some(level),
            recent_units: 0.0,
            total: 0,
            announcements_left: 0,
        };
        bucket.fill(view);
        bucket
    }

    /// Refills the bucket up to a time.
    pub(super) fn fill(&mut self, view: &View) {
        let share = view.share(self.limit);
        let elapsed_s = view.now.since(self.filled).as_secs_f64();
        let earned = self.limit.rate * share * elapsed_s;
        self.recent_units *= (-elapsed_s / RATE_WINDOW.as_secs_f64()).exp();
        self.level = (self.level + earned).min(max_level(share, self.limit));
        self.earned = self.earned.map(|it| it + earned);
        self.filled = view.now;
    }

    /// Applies the limit of a new configuration.
    pub(super) fn set_limit(&mut self, limit: Limit, view: &View) {
        self.limit = limit;
        self.fill(view);
    }

    /// Applies a change in the number of boxes or of reachable ones.
    pub(super) fn set_visibility(&mut self, old: &View, new: &View) {
        self.fill(old);
        self.share_start(old, new);
        let part = new.visibility.reachable_part() / old.visibility.reachable_part();
        self.recent_units *= part.min(1.0);
    }

    /// Admits a request if the level allows it.
    ///
    /// # Errors
    ///
    /// The time after which the bucket can admit the request.
    pub(super) fn take(&mut self, units: u64, view: &View) -> Result<(), Duration> {
        let missing = self.missing(units, view);
        if missing > 0.0 {
            return Err(seconds(missing / (self.limit.rate * view.share(self.limit))));
        }
        self.change(units as f64);
        self.total = self.total.wrapping_add(units as u32);
        self.announcements_left = ANNOUNCEMENT_COUNT;
        Ok(())
    }

    /// Refunds the units of a request that has not run.
    pub(super) fn give_back(&mut self, units: u64) {
        self.change(-(units as f64));
        self.total = self.total.wrapping_sub(units as u32);
        self.announcements_left = ANNOUNCEMENT_COUNT;
    }

    /// Applies the units that another box has admitted since its previous announcement, `silence`
    /// ago. A new bucket starts at its full level, so only these units have to be subtracted.
    pub(super) fn apply_announcement(
        &mut self,
        units: f64,
        level: Option<i32>,
        silence: Duration,
        view: &View,
    ) {
        if self.is_guessed_at(view.now)
            && let Some(level) = level
        {
            self.is_guessed = false;
            self.earned = None;
            self.level = f64::from(level) - f64::from(self.total);
            return;
        }
        self.recent_units += units;
        self.level -= units - unreachable_allowance(self.limit, view.visibility, units, silence);
    }

    /// Returns the units that a customer may still use.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// Returns whether the box has admitted anything that others may need to know.
    pub(super) fn is_used(&self) -> bool {
        self.total != 0 || self.announcements_left > 0
    }

    /// Returns whether there is a change that must be announced soon, since less than half of the
    /// burst is left.
    pub(super) fn is_urgent(&self) -> bool {
        self.announcements_left == ANNOUNCEMENT_COUNT && self.level < self.limit.burst * 0.5
    }

    /// Returns whether a change is to be announced now, and counts the announcement.
    pub(super) fn take_announcement(&mut self) -> bool {
        let is_unannounced = self.announcements_left > 0;
        self.announcements_left = self.announcements_left.saturating_sub(1);
        is_unannounced
    }

    /// Returns the units that are missing for a request to be admitted.
    fn missing(&self, units: u64, view: &View) -> f64 {
        let share = view.share(self.limit);
        let owed = units as f64 * (1.0 - share);
        let needed = needed(units, share, self.limit) + self.unannounced(share, view.age);
        // A full bucket is enough while others keep announcing. Without others, what they announced
        // before soon decays, so the needed level is not capped.
        let is_alone = view.visibility.unreachable + 1 >= view.visibility.boxes;
        let max = if is_alone { f64::INFINITY } else { max_level(share, self.limit) };
        let of_level = needed.min(max) - self.level;
        let of_earned = self.earned.map_or(0.0, |it| owed - it);
        of_level.max(of_earned).max(0.0)
    }

    /// Estimates the units that others have admitted and not announced yet, from their recent rate.
    fn unannounced(&self, share: f64, age: Duration) -> f64 {
        let rate = self.recent_units / RATE_WINDOW.as_secs_f64();
        let max = self.limit.burst * share * MAX_UNANNOUNCED_SHARE;
        (rate * age.as_secs_f64()).clamp(0.0, max)
    }

    /// Adds the start level for boxes that have become reachable, if the level is still a guess.
    fn share_start(&mut self, old: &View, new: &View) {
        let more = new.share(self.limit) - old.share(self.limit);
        if self.is_guessed_at(new.now) && more > 0.0 {
            let start = start_level(&new.tolerance, self.limit) * more;
            self.level += start;
            self.earned = self.earned.map(|it| it + start);
        }
    }

    /// Returns whether the level is still the guess of a box that has just started.
    fn is_guessed_at(&self, now: Time) -> bool {
        self.is_guessed && now.since(Time::ZERO) < STARTUP_PERIOD
    }

    /// Subtracts units from the level and from the earned units.
    fn change(&mut self, units: f64) {
        self.level -= units;
        self.earned = self.earned.map(|it| it - units);
    }

    /// Returns the announcement of the bucket.
    pub(super) fn account<K>(&self, customer: K, now: Time) -> Account<K> {
        let level = (!self.is_guessed_at(now)).then_some(self.level as i32);
        Account { customer, total: self.total, level }
    }
}

/// Returns the level with which all boxes together begin if all start at once.
fn start_level(tolerance: &Tolerance, limit: Limit) -> f64 {
    (tolerance.units(limit) * START_SHARE).min(limit.burst)
}

/// Returns the level up to which a bucket is refilled.
fn max_level(share: f64, limit: Limit) -> f64 {
    (limit.burst * share).max(MIN_LEVEL)
}

/// Returns the level at which a request is admitted. Boxes that can't reach each other could all
/// make a debt at once, so each may do so only by its share of the request.
fn needed(units: u64, share: f64, limit: Limit) -> f64 {
    (units as f64 * (1.0 - share)).clamp(MIN_LEVEL, max_level(share, limit))
}

/// Returns the part of announced units that was already reserved for a box while it was
/// unreachable, and must not be counted again.
fn unreachable_allowance(
    limit: Limit,
    visibility: Visibility,
    units: f64,
    silence: Duration,
) -> f64 {
    if silence < SILENCE_THRESHOLD {
        return 0.0;
    }
    let part = limit.rate * silence.as_secs_f64() / visibility.boxes.max(1) as f64;
    units.clamp(0.0, part)
}
