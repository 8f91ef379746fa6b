//! One shared link in a shard's ledger.

use std::time::Duration;

use crate::time::Time;

/// The weight of a new measurement of a link's rate.
const RATE_WEIGHT: f64 = 0.3;

/// The shortest expected time of a transfer from which the rate is learnt.
const MIN_MEASURED_TRANSFER: Duration = Duration::from_millis(5);

/// How much slower than described a link may be taken to be.
const MAX_SLOWNESS: f64 = 100.0;

/// How much slower than described a link must be for a stalled transfer to be blamed on it and
/// not on the engine.
const STALL_SLOWNESS: f64 = 2.0;

/// A link's row: what was granted that has yet to cross it.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// How long what has yet to cross takes at the described rate.
    outstanding: Duration,
    /// How much slower than the site's file says it is; 1 is as described.
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
    /// Gives when all that was granted is expected to have crossed.
    pub fn free_at(&self, now: Time) -> Time {
        now + self.outstanding.mul_f64(self.slowness)
    }

    /// Gives how long a transfer takes that takes some time at the described rate.
    pub fn transfer_time(&self, described: Duration) -> Duration {
        described.mul_f64(self.slowness)
    }

    /// Books a transfer by its time at the described rate.
    pub fn book(&mut self, described: Duration) {
        self.outstanding += described;
    }

    /// Takes a transfer off that has crossed or won't.
    pub fn unbook(&mut self, described: Duration) {
        self.outstanding = self.outstanding.saturating_sub(described);
    }

    /// Learns from a transfer that began at a time and has ended now.
    ///
    /// Transfers cross one after another, or share the link, which comes to the same: between two
    /// ends the link carried one transfer's bytes.
    pub fn record_transfer(&mut self, now: Time, began: Time, described: Duration) {
        let took = now.since(began.max(self.last_end));
        self.last_end = now;
        if described < MIN_MEASURED_TRANSFER {
            return;
        }
        let seen = (took.as_secs_f64() / described.as_secs_f64()).clamp(1.0, MAX_SLOWNESS);
        self.slowness += RATE_WEIGHT * (seen - self.slowness);
    }

    /// Learns from a transfer that has not ended after a time.
    pub fn record_stall(&mut self, waited: Duration, described: Duration) {
        if described < MIN_MEASURED_TRANSFER {
            return;
        }
        let min_slowness = (waited.as_secs_f64() / described.as_secs_f64()).min(MAX_SLOWNESS);
        if min_slowness > self.slowness {
            self.slowness += RATE_WEIGHT * (min_slowness - self.slowness);
        }
    }

    /// Tells whether the link is so slow that it explains a stalled transfer.
    pub fn explains_stall(&self) -> bool {
        self.slowness >= STALL_SLOWNESS
    }
}
