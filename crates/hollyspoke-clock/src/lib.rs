//! The clock of both daemons' reducers: the runtime's steady time, and the time for which the machine was suspended.
//!
//! The steady clock stands still meanwhile, so that a lease, a deadline or another box's last word
//! would seem as fresh after some seconds away as before. Another clock of the system counts on.

use std::cell::Cell;
use std::time::Duration;

use hollyspoke::time::Time;
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// The least time of suspension that is noted; shorter ones count for nothing in any bound.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// A clock that does not stand still while the machine is suspended.
#[derive(Debug)]
pub struct Clock {
    /// The beginning of its time.
    origin: Instant,
    /// How long the machine had been suspended when it was last looked, since it was booted.
    last_total: Cell<Duration>,
    /// How long it was suspended since the beginning.
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
    /// Gives the time, as far as it is known for how long the machine was suspended.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed() + self.suspended.get()
    }

    /// Gives when a time comes by the runtime's clock, unless the machine is suspended until then.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO).saturating_sub(self.suspended.get())
    }

    /// Tells for how long the machine was suspended since this was last asked, if it was.
    pub fn take_suspension(&self) -> Option<Duration> {
        let total = suspended_since_boot()?;
        let duration = total.saturating_sub(self.last_total.get());
        if duration < MIN_SUSPENSION {
            return None;
        }
        self.last_total.set(total);
        Some(duration)
    }

    /// Adds a time for which the machine was suspended.
    pub fn add_suspension(&self, duration: Duration) {
        self.suspended.set(self.suspended.get() + duration);
    }
}

/// Gives how long the machine was suspended since it was booted; none where the system does not tell.
/// The steady clock is read last: a pause between the two readings makes it less, never more.
fn suspended_since_boot() -> Option<Duration> {
    let boot_time = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?);
    let monotonic_time = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?);
    Some(boot_time.saturating_sub(monotonic_time))
}
