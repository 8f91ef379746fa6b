//! The planned stop of this process, which ends by force when the grace period is over. The period
//! counts from when the process was told, which may be long before it could handle the signal.

use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::LogEvent;

/// The share of what is left of the grace period after which a stopping box accepts no new requests.
const LAST_REQUEST_SHARE: f64 = 0.6;

/// The share of the grace period in which a stopping box accepts all requests. Later it accepts
/// only those whose whole timeout fits into the remaining time.
const ALL_REQUESTS_SHARE: f64 = 0.35;

/// The end of the grace period in which no request may be in flight.
const GRACE_MARGIN: Duration = Duration::from_millis(600);

/// The share of the grace period for which a stopping box stays to refuse requests, from when others
/// can know that it stops: clients hold on to its address.
const STAY_SHARE: f64 = 0.6;

/// The stop of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Stop {
    /// When the process was told, at the earliest.
    told_at: Time,
    /// When it handled the signal.
    handled_at: Time,
}

impl Gateway {
    /// Returns whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Returns whether a stopped process has no work left at a time.
    pub fn is_done(&self, now: Time) -> bool {
        let stay = self.settings.grace.mul_f64(STAY_SHARE);
        let is_over = self.stop.is_some_and(|it| now.since(it.handled_at) >= stay);
        is_over && self.in_flight.is_empty() && !self.reservations.has_asks()
    }

    /// Returns the time until a stopping process is ended by force; the whole grace period for one
    /// that is not stopping.
    pub fn grace_left(&self, now: Time) -> Duration {
        let since = self.stop.map_or(Duration::ZERO, |it| now.since(it.told_at));
        self.settings.grace.saturating_sub(since)
    }

    /// Returns whether a stopping box no longer accepts requests.
    pub(super) fn is_closing(&self) -> bool {
        let Some(Stop { handled_at, .. }) = self.stop else { return false };
        let open = self.grace_left(handled_at).mul_f64(LAST_REQUEST_SHARE);
        self.now.since(handled_at) >= open
    }

    /// Returns whether a request with a timeout could still be in flight when a stopping process
    /// must end.
    pub(super) fn exceeds_grace(&self, timeout: Duration) -> bool {
        let Some(Stop { told_at, .. }) = self.stop else { return false };
        let since = self.now.since(told_at);
        let left = self.grace_left(self.now).saturating_sub(GRACE_MARGIN);
        since >= self.settings.grace.mul_f64(ALL_REQUESTS_SHARE) && timeout > left
    }

    /// Records that the process was told to stop, since the last event at the earliest. A signal
    /// that came during a pause is handled behind it: then the period may have begun with the
    /// pause. Too early a time refuses requests, too late a one cuts accepted ones.
    pub(super) fn stop(&mut self, last_event_at: Time) {
        if self.stop.is_none() {
            let paused_at = self.last_pause.and_then(|it| it.reaches(self.now));
            let told_at = paused_at.map_or(last_event_at, |it| it.min(last_event_at));
            self.stop = Some(Stop { told_at, handled_at: self.now });
            self.log(LogEvent::Stopping(self.grace_left(self.now)));
            self.schedule_heartbeat_to_all();
        }
    }
}
