//! The clock of both daemons' reducers: the runtime's monotonic time plus the time for which the
//! machine was suspended.
//!
//! The monotonic clock stops during a suspension, so a lease, a deadline or another box's last
//! message would not age. `CLOCK_BOOTTIME` keeps counting.

use std::cell::Cell;
use std::time::Duration;

use hollyspoke::time::Time;
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// The shortest suspension that is recorded; shorter ones are negligible for all time limits.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// A clock that keeps counting while the machine is suspended.
#[derive(Debug)]
pub struct Clock {
    /// When the clock was created: its time zero.
    origin: Instant,
    /// The suspended time since boot, as of the last recorded suspension.
    last_total: Cell<Duration>,
    /// The suspended time that was added to the clock.
    suspended: Cell<Duration>,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock {
            origin: Instant::now(),
            last_total: Cell::new(suspended_since_boot().unwrap_or_default()),
            suspended: Cell::default(),
        }
    }
}

impl Clock {
    /// Returns the time, including the suspensions added so far.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed() + self.suspended.get()
    }

    /// Returns the instant of the runtime's clock at which a time is reached if no suspension
    /// comes first.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO).saturating_sub(self.suspended.get())
    }

    /// Returns the suspended time since the last recorded suspension; `None` below
    /// `MIN_SUSPENSION`.
    pub fn take_suspension(&self) -> Option<Duration> {
        let total = suspended_since_boot()?;
        let duration = total.saturating_sub(self.last_total.get());
        if duration < MIN_SUSPENSION {
            return None;
        }
        self.last_total.set(total);
        Some(duration)
    }

    /// Advances the clock by the duration of a suspension.
    pub fn add_suspension(&self, duration: Duration) {
        self.suspended.set(self.suspended.get() + duration);
    }
}

/// Returns how long the machine was suspended since boot; `None` where the system does not
/// report it.
/// The monotonic clock is read last: a pause between the readings makes the result smaller, never
/// larger.
fn suspended_since_boot() -> Option<Duration> {
    let boot_time = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?);
    let monotonic_time = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?);
    Some(boot_time.saturating_sub(monotonic_time))
}
