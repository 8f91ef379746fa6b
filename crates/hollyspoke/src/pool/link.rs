//! The state of one shared link in a shard's ledger.

use std::time::Duration;

use crate::time::Time;

/// The weight of a new sample in the moving average of a link's slowness.
const RATE_WEIGHT: f64 = 0.3;

/// The minimum expected duration of a transfer that is used as a sample.
const MIN_MEASURED_TRANSFER: Duration = Duration::from_millis(5);

/// The maximum slowness that is assumed for a link.
const MAX_SLOWNESS: f64 = 100.0;

/// The slowness from which a stalled transfer is attributed to the link and not to the engine.
const STALL_SLOWNESS: f64 = 2.0;

/// A link's outstanding transfers and measured slowness.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// The duration of all outstanding transfers at the configured rate.
    outstanding: Duration,
    /// The ratio of the actual to the configured transfer time; 1 means as configured.
    slowness: f64,
    /// When the last transfer ended.
    last_end: Time,
}

impl Default for Link {
    fn default() -> Link {
        Link { outstanding: Duration::ZERO, slowness: 1.0, last_end: Time::ZERO }
    }
}

impl Link {
    /// Returns when all outstanding transfers are expected to have ended.
    pub fn free_at(&self, now: Time) -> Time {
        now + self.outstanding.mul_f64(self.slowness)
    }

    /// Returns the expected duration of a transfer, given its duration at the configured rate.
    pub fn transfer_time(&self, described: Duration) -> Duration {
        described.mul_f64(self.slowness)
    }

    /// Adds a transfer, given its duration at the configured rate.
    pub fn book(&mut self, described: Duration) {
        self.outstanding += described;
    }

    /// Removes a transfer that has ended or was cancelled.
    pub fn unbook(&mut self, described: Duration) {
        self.outstanding = self.outstanding.saturating_sub(described);
    }

    /// Updates the slowness from a transfer that has ended now.
    ///
    /// Whether transfers run one after another or share the link, it carries the bytes of one
    /// transfer between the ends of two.
    pub fn record_transfer(&mut self, now: Time, began: Time, described: Duration) {
        let took = now.since(began.max(self.last_end));
        self.last_end = now;
        if described < MIN_MEASURED_TRANSFER {
            return;
        }
        let seen = (took.as_secs_f64() / described.as_secs_f64()).clamp(1.0, MAX_SLOWNESS);
        self.slowness += RATE_WEIGHT * (seen - self.slowness);
    }

    /// Raises the slowness after a transfer that has not ended within `waited`.
    pub fn record_stall(&mut self, waited: Duration, described: Duration) {
        if described < MIN_MEASURED_TRANSFER {
            return;
        }
        let min_slowness = (waited.as_secs_f64() / described.as_secs_f64()).min(MAX_SLOWNESS);
        if min_slowness > self.slowness {
            self.slowness += RATE_WEIGHT * (min_slowness - self.slowness);
        }
    }

    /// Returns whether the link is slow enough to explain a stalled transfer.
    pub fn explains_stall(&self) -> bool {
        self.slowness >= STALL_SLOWNESS
    }
}
