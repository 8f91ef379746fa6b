//! The paces of engines: what this box measures in its calls, and what boxes tell each other.

use super::Gateway;
use crate::effect::{LogEvent, Task};
use crate::health::MIN_STANDSTILL;
use crate::in_flight::{Call, InFlight};
use crate::pace::Announcement;
use crate::placement::Tempo;
use crate::request::CallKey;

impl Gateway {
    /// Returns what the choice for a request considers of the engines' paces, if that is switched
    /// on.
    pub(super) fn tempo(&self, in_flight: &InFlight) -> Option<Tempo<'_>> {
        self.settings.features.pace.then(|| Tempo {
            paces: &self.paces,
            max_gap: in_flight.route.max_gap,
            target: in_flight.route.target_latency,
        })
    }

    /// Measures the time between the events of a stream. Those that the client has held up, and the
    /// first one after a standstill, say nothing about the engine's pace.
    pub(super) fn measure_events(&mut self, key: CallKey, id: Option<u64>, is_held_up: bool) {
        let Some(call) = self.calls.get(&key).filter(|it| self.is_measured(it)) else { return };
        let stood_still = self.now.since(call.last_event_at) >= MIN_STANDSTILL;
        if is_held_up || stood_still {
            self.paces.record_hold_up(key, id, self.now);
        } else {
            self.paces.record_events(key, &call.engine, id, self.now);
        }
    }

    /// Measures the time that a prefill engine took for a prompt.
    pub(super) fn measure_prefill(&mut self, call: &Call) {
        if call.task == Task::Prefill && self.is_measured(call) {
            let took = call.waited(self.now);
            self.paces.record_prefill(&call.engine, call.queued_tokens, took, self.now);
        }
    }

    /// Applies another box's announcements of paces.
    pub(super) fn receive_paces(&mut self, announcements: &[Announcement]) {
        if !self.settings.features.pace {
            return;
        }
        for announcement in announcements {
            if let Some(record) = self.directory.get(announcement.engine) {
                self.paces.receive(&record.engine, announcement, self.now);
            }
        }
    }

    /// Logs the engines that have become slow or are no longer slow, and returns the paces to
    /// announce.
    pub(super) fn paces_to_announce(&mut self) -> Vec<Announcement> {
        for change in self.paces.take_changes(self.now) {
            let id = self.engine_name(change.engine).into();
            self.log(LogEvent::Pace { id, is_slow: change.is_slow, percent: change.percent });
        }
        self.paces.take_announcements(self.now)
    }

    /// Returns whether a call says something about the pace of an engine as it is now.
    fn is_measured(&self, call: &Call) -> bool {
        self.settings.features.pace
            && call.engine.stage.is_some()
            && self.is_current_incarnation(call)
    }
}
