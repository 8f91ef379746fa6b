//! Pauses of this process, whose time does not count against engines and other boxes: what they sent
//! meanwhile is still to be read. What was sent to this process meanwhile is as old as the pause.

use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use super::origins::MIN_RESTART_DURATION;
use crate::effect::{Effect, LogEvent};
use crate::event::Kind;

/// The time after a pause in which a signal that came during it may still be unhandled, behind
/// everything else that waited.
const HANDLING_DELAY: Duration = Duration::from_millis(500);

/// A time in which this process handled no events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Pause {
    /// When the last event before it was handled.
    began_at: Time,
    /// When it was noticed.
    ended_at: Time,
}

impl Pause {
    /// Returns when a pause began within which something may have arrived that is handled now.
    pub(super) fn reaches(self, now: Time) -> Option<Time> {
        (now.since(self.ended_at) < HANDLING_DELAY).then_some(self.began_at)
    }
}

impl Gateway {
    /// Extends the timeouts of engines and other boxes by a time in which this process handled no
    /// events. The deadlines of requests stay as they are.
    pub(super) fn recover_from_pause(&mut self, pause: Duration, began_at: Time) {
        self.log(LogEvent::Paused(pause));
        if self.note_pause(began_at) {
            self.effects.push(Effect::Read(Kind::Engines));
        }
        self.extend_timeouts(pause);
    }

    /// Resumes after the machine was suspended: state that was read before may be out of date.
    pub(super) fn resume(&mut self, duration: Duration, began_at: Time) {
        self.log(LogEvent::Suspended(duration));
        self.note_pause(began_at);
        self.extend_timeouts(duration);
        self.effects.push(Effect::Read(Kind::Configuration));
        self.effects.push(Effect::Read(Kind::Engines));
        self.effects.push(Effect::Read(Kind::Evacuations));
    }

    /// Records a pause that has just ended. One that began before what waited since an earlier one can
    /// have been handled is part of that one. Returns whether engines can have restarted meanwhile.
    fn note_pause(&mut self, began_at: Time) -> bool {
        let earlier = self.last_pause.and_then(|it| it.reaches(began_at));
        let began_at = earlier.unwrap_or(began_at);
        self.last_pause = Some(Pause { began_at, ended_at: self.now });
        let is_long = self.now.since(began_at) >= MIN_RESTART_DURATION;
        if is_long {
            self.mark_list_stale();
        }
        is_long
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
