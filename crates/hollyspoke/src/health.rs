//! When an upstream is out of service.

use std::time::Duration;

use crate::time::Time;

/// Failures in a row that put an upstream out of service.
pub const EJECTION_FAILURES: u32 = 3;

/// How long an upstream stays out the first time; it doubles each time after.
pub const INITIAL_EJECTION: Duration = Duration::from_secs(2);

/// The longest time an upstream stays out before it is tried again.
pub const MAX_EJECTION: Duration = Duration::from_secs(60);

/// How long an upstream that comes back is given less than its share.
pub const SLOW_START: Duration = Duration::from_secs(5);

/// The share of a group that may be out by ejection at once.
pub const MAX_EJECTED_SHARE: f64 = 0.5;

/// What is known of one upstream's health.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Failures in a row.
    failures: u32,
    /// Ejections without a long good time between.
    ejections: u32,
    /// Until when it is out of service.
    out_until: Option<Time>,
}

impl Health {
    /// Notes a success.
    pub fn succeed(&mut self, now: Time) {
        self.failures = 0;
        if self.is_settled(now) {
            self.ejections = 0;
        }
    }

    /// Notes a failure; tells whether it has put the upstream out of service.
    ///
    /// `may_eject` is false while too large a share of the group is out already.
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

    /// Tells whether the upstream is out of service.
    pub fn is_out(&self, now: Time) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Gives the share of its capacity that the upstream may be given, from 0 to 1.
    pub fn weight(&self, now: Time) -> f64 {
        let Some(until) = self.out_until else { return 1.0 };
        if now < until {
            return 0.0;
        }
        let back = now.since(until).as_secs_f64() / SLOW_START.as_secs_f64();
        back.clamp(0.1, 1.0)
    }

    /// Tells whether the upstream has been back for longer than the slow start.
    fn is_settled(&self, now: Time) -> bool {
        self.out_until.is_none_or(|until| now.since(until) > SLOW_START)
    }
}

/// Tells whether one more member of a group may be ejected.
pub fn may_eject(out: usize, group: usize) -> bool {
    (out + 1) as f64 <= group as f64 * MAX_EJECTED_SHARE
}
