//! One customer's bucket at one box.

use std::time::Duration;

use super::{Account, Limit, Tolerance, Visibility};
use crate::time::{Time, seconds};

/// The level from which on a request passes at boxes that all hear each other, in units. One that
/// is larger than what is left passes too and leaves a debt, so that small requests can't starve
/// large ones.
const MIN_LEVEL: f64 = 1.0;

/// The share of the tolerance that a bucket starts with at the start of its box, up to the burst.
/// All boxes may start at once, and twice within a window; each time the customer gets this part
/// anew.
const START_SHARE: f64 = 0.33;

/// How long a box that has just started takes its levels from the others: they have the history
/// that it lacks.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// How often a total that has changed is told, so that it arrives although messages are lost. Where
/// 3 in 100 are lost, two in a row are one in 1,100; all totals together mend that some seconds later.
const ANNOUNCEMENT_COUNT: u8 = 2;

/// The silence after which a box's next total holds what it let through unheard.
const SILENCE_THRESHOLD: Duration = Duration::from_secs(1);

/// The span over which it is measured how fast the others let through for a customer: long against
/// the time between two heartbeats, short against the window of a bound.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The share of a burst that is kept at most for what the others may have let through and not told
/// yet, so that late news can't stop a customer that is far below its limit.
const MAX_UNANNOUNCED_SHARE: f64 = 0.5;

/// What all buckets of a box go by at a time.
#[derive(Debug, Clone, Copy)]
pub(super) struct View {
    /// The time.
    pub(super) now: Time,
    /// The boxes.
    pub(super) visibility: Visibility,
    /// How exactly limits are kept.
    pub(super) tolerance: Tolerance,
    /// How old the others' last words are in the mean.
    pub(super) age: Duration,
}

/// One customer's bucket.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
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
    /// What the others told of late, which fades over [`RATE_WINDOW`].
    recent_units: f64,
    /// All units that this box has let through; it wraps.
    total: u32,
    /// How often the total is still to be told.
    announcements_left: u8,
}

impl View {
    /// Gives the share of a limit that the heard boxes have together.
    pub(super) fn share(&self, limit: Limit) -> f64 {
        self.visibility.reachable_share(&self.tolerance, limit)
    }
}

impl Bucket {
    /// Makes the bucket of a customer that a box has not seen since its start.
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

    /// Brings the level up to a time.
    pub(super) fn fill(&mut self, view: &View) {
        let share = view.share(self.limit);
        let elapsed_s = view.now.since(self.filled).as_secs_f64();
        let earned = self.limit.rate * share * elapsed_s;
        self.recent_units *= (-elapsed_s / RATE_WINDOW.as_secs_f64()).exp();
        self.level = (self.level + earned).min(max_level(share, self.limit));
        self.earned = self.earned.map(|it| it + earned);
        self.filled = view.now;
    }

    /// Takes the limit of a new configuration.
    pub(super) fn set_limit(&mut self, limit: Limit, view: &View) {
        self.limit = limit;
        self.fill(view);
    }

    /// Takes that more boxes or fewer are heard.
    pub(super) fn set_visibility(&mut self, old: &View, new: &View) {
        self.fill(old);
        self.share_start(old, new);
        let part = new.visibility.reachable_part() / old.visibility.reachable_part();
        self.recent_units *= part.min(1.0);
    }

    /// Lets a request through.
    ///
    /// # Errors
    ///
    /// The time after which there is enough.
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

    /// Gives back what was taken for a request that has not run.
    pub(super) fn give_back(&mut self, units: u64) {
        self.change(-(units as f64));
        self.total = self.total.wrapping_sub(units as u32);
        self.announcements_left = ANNOUNCEMENT_COUNT;
    }

    /// Takes in what another box has let through since it told before, and after which silence. A
    /// bucket that is new was full until now, so that this is all that is missing.
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

    /// Gives what a customer may still use.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// Tells whether the box has let anything through that others may have to hear.
    pub(super) fn is_used(&self) -> bool {
        self.total != 0 || self.announcements_left > 0
    }

    /// Tells whether there is a change that others must hear soon, since less than half of the
    /// burst is left.
    pub(super) fn is_urgent(&self) -> bool {
        self.announcements_left == ANNOUNCEMENT_COUNT && self.level < self.limit.burst * 0.5
    }

    /// Tells whether a change is to be told now, and counts that it is.
    pub(super) fn take_announcement(&mut self) -> bool {
        let is_unannounced = self.announcements_left > 0;
        self.announcements_left = self.announcements_left.saturating_sub(1);
        is_unannounced
    }

    /// Gives the units that are missing for a request to pass.
    fn missing(&self, units: u64, view: &View) -> f64 {
        let share = view.share(self.limit);
        let owed = units as f64 * (1.0 - share);
        let needed = needed(units, share, self.limit) + self.unannounced(share, view.age);
        // A full bucket is enough where others go on telling; alone, what they told soon fades.
        let is_alone = view.visibility.unreachable + 1 >= view.visibility.boxes;
        let max = if is_alone { f64::INFINITY } else { max_level(share, self.limit) };
        let of_level = needed.min(max) - self.level;
        let of_earned = self.earned.map_or(0.0, |it| owed - it);
        of_level.max(of_earned).max(0.0)
    }

    /// Gives what the others have let through and not told yet if they go on as before.
    fn unannounced(&self, share: f64, age: Duration) -> f64 {
        let rate = self.recent_units / RATE_WINDOW.as_secs_f64();
        let max = self.limit.burst * share * MAX_UNANNOUNCED_SHARE;
        (rate * age.as_secs_f64()).clamp(0.0, max)
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
        self.is_guessed && now.since(Time::ZERO) < STARTUP_PERIOD
    }

    /// Takes units away.
    fn change(&mut self, units: f64) {
        self.level -= units;
        self.earned = self.earned.map(|it| it - units);
    }

    /// Gives what is told of the bucket.
    pub(super) fn account<K>(&self, customer: K, now: Time) -> Account<K> {
        let level = (!self.is_guessed_at(now)).then_some(self.level as i32);
        Account { customer, total: self.total, level }
    }
}

/// Gives what all boxes together begin with if all start at once.
fn start_level(tolerance: &Tolerance, limit: Limit) -> f64 {
    (tolerance.units(limit) * START_SHARE).min(limit.burst)
}

/// Gives the level up to which a bucket fills.
fn max_level(share: f64, limit: Limit) -> f64 {
    (limit.burst * share).max(MIN_LEVEL)
}

/// Gives the level that lets a request through. Boxes that don't hear each other would all make a
/// debt at once: each may do so only by its share of the request.
fn needed(units: u64, share: f64, limit: Limit) -> f64 {
    (units as f64 * (1.0 - share)).clamp(MIN_LEVEL, max_level(share, limit))
}

/// Gives what of a total was left to a box while it was not heard, and is not to be counted again.
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
