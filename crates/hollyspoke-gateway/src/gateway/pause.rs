//! Pauses of this process, whose time does not count against engines and other boxes: what they sent
//! meanwhile is still to be read.

use std::time::Duration;

use super::Gateway;
use crate::effect::LogEvent;

impl Gateway {
    /// Extends the timeouts of engines and other boxes by a time in which this process handled no
    /// events. The deadlines of requests stay as they are.
    pub(super) fn recover_from_pause(&mut self, pause: Duration) {
        self.log(LogEvent::Paused(pause));
        self.extend_timeouts(pause);
    }

    /// Extends the timeouts of engines and other boxes.
    pub(super) fn extend_timeouts(&mut self, pause: Duration) {
        self.members.extend_timeouts(pause);
        self.contacts.extend_doubts(pause);
        self.paces.ignore_current(self.now);
        self.probing.values_mut().for_each(|it| *it = *it + pause);
        for in_flight in self.in_flight.values_mut() {
            in_flight.silence_check_at = in_flight.silence_check_at.map(|it| it + pause);
        }
        for call in self.calls.values_mut() {
            call.paused += pause;
            call.last_event_at = call.last_event_at + pause;
        }
    }
}
