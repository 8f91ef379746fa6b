//! Ejection of failing upstreams.

use std::time::Duration;

use crate::time::Time;

/// The number of consecutive failures after which an upstream is ejected.
pub const EJECTION_FAILURES: u32 = 3;

/// The duration of an upstream's first ejection; it doubles with each further one.
pub const INITIAL_EJECTION: Duration = Duration::from_secs(2);

/// The maximum duration of an ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(60);

/// How long an upstream gets a reduced share of requests after an ejection.
pub const SLOW_START: Duration = Duration::from_secs(5);

/// The maximum share of a group that may be ejected at once.
pub const MAX_EJECTED_SHARE: f64 = 0.5;

/// The failures and ejections of one upstream.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    /// Consecutive ejections, without a success after the slow start in between.
    ejections: u32,
    /// The end of the last ejection.
    out_until: Option<Time>,
}

impl Health {
    /// Records a success, which ends a series of failures.
    pub fn succeed(&mut self, now: Time) {
        self.failures = 0;
        if self.is_settled(now) {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns whether it causes an ejection.
    ///
    /// `may_eject` is false while too large a share of the group is ejected already.
    pub fn fail(&mut self, now: Time, may_eject: bool) -> bool {
        self.failures += 1;
        if self.failures < EJECTION_FAILURES || !may_eject || self.is_out(now) {
            return false;
        }
        let doubled = INITIAL_EJECTION * 2u32.saturating_pow(self.ejections.min(5));
        self.out_until = Some(now + doubled.min(MAX_EJECTION));
        self.ejections += 1;
        self.failures = 0;
        true
    }

    /// Ends the current ejection, whose cause has gone, without a slow start.
    pub fn readmit(&mut self) {
        self.failures = 0;
        self.out_until = None;
    }

    /// Returns whether the last request there failed.
    pub fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the upstream is ejected.
    pub fn is_out(&self, now: Time) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Returns the share of its capacity that the upstream may use, from 0 to 1.
    pub fn weight(&self, now: Time) -> f64 {
        let Some(until) = self.out_until else { return 1.0 };
        if now < until {
            return 0.0;
        }
        let back = now.since(until).as_secs_f64() / SLOW_START.as_secs_f64();
        back.clamp(0.1, 1.0)
    }

    /// Returns whether the slow start after the last ejection is over.
    fn is_settled(&self, now: Time) -> bool {
        self.out_until.is_none_or(|until| now.since(until) > SLOW_START)
    }
}

/// Returns whether one more member of a group may be ejected.
pub fn may_eject(out: usize, group: usize) -> bool {
    (out + 1) as f64 <= group as f64 * MAX_EJECTED_SHARE
}
