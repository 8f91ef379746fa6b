//! Points in time on the driver's monotonic clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an origin that the driver chooses.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin of the driver's clock.
    pub const ZERO: Time = Time(0);

    /// Creates a point from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Creates a point from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since an earlier point, zero if that point is later.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

/// Converts seconds to a duration; values that are not positive and representable become zero.
pub fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}
