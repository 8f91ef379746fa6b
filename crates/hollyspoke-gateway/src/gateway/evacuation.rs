//! Evacuated data centres: until the evacuation is lifted, their engines receive no calls, probes
//! or orders. Requests that already run there are completed.

use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::LogEvent;
use crate::evacuation::{Change, Difference, Evacuation};

/// How long after its start a box waits to learn which data centres are evacuated. The store and
/// the other boxes answer within milliseconds, and a box that waited longer would reject requests
/// that all engines could serve.
const MAX_EVACUATION_WAIT: Duration = Duration::from_secs(1);

impl Gateway {
    /// Returns whether the evacuated data centres are known, or the wait for them is over.
    pub(super) fn knows_evacuation(&self) -> bool {
        self.evacuations.newest().is_known() || self.now.since(Time::ZERO) >= MAX_EVACUATION_WAIT
    }

    /// Returns the evacuated data centres that are in effect.
    pub fn evacuation(&self) -> Evacuation {
        let revision = self.evacuations.newest().revision;
        Evacuation { revision, data_centres: self.evacuations.effective() }
    }

    /// Applies changes that this box read from the store.
    pub(super) fn apply_evacuation_changes(&mut self, changes: Vec<Change>, revision: Revision) {
        let difference = self.evacuations.apply_changes(changes, revision, self.now);
        self.apply_difference(difference);
    }

    /// Lifts evacuations that the store had lost, once their hold has expired.
    pub(super) fn lift_expired_evacuations(&mut self) {
        if self.evacuations.next_expiry().is_some_and(|it| it <= self.now) {
            let difference = self.evacuations.sweep(self.now);
            self.apply_difference(difference);
        }
    }

    /// Applies a state from the store or from another box if it is newer, and announces the
    /// difference.
    pub(super) fn apply_evacuation(&mut self, newer: Evacuation) {
        let difference = self.evacuations.apply(newer, self.now);
        self.apply_difference(difference);
    }

    /// Applies a difference to the directory, and announces it.
    fn apply_difference(&mut self, difference: Difference) {
        if difference.is_empty() {
            return;
        }
        self.directory.set_evacuated(&self.evacuations.effective());
        for data_centre in difference.begun {
            self.log(LogEvent::Evacuated { data_centre, is_lifted: false });
        }
        for data_centre in difference.lifted {
            self.log(LogEvent::Evacuated { data_centre, is_lifted: true });
        }
        self.schedule_heartbeat();
    }
}
