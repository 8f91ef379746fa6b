//! Evacuated data centres: their engines get no call, no question and no order, until that is
//! lifted. What already runs there goes on to its end.

use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::LogEvent;
use crate::evacuation::{Change, Difference, Evacuation};

/// The time after a box's start by which it serves even if nobody has told which data centres are
/// evacuated: the store and the other boxes answer within milliseconds, and a box that waits for
/// longer would refuse what all engines could serve.
const MAX_EVACUATION_WAIT: Duration = Duration::from_secs(1);

impl Gateway {
    /// Tells whether it is known which data centres are evacuated, or was not to be learnt.
    pub(super) fn knows_evacuation(&self) -> bool {
        self.evacuations.newest().is_known() || self.now.since(Time::ZERO) >= MAX_EVACUATION_WAIT
    }

    /// Gives the data centres that are evacuated.
    pub fn evacuation(&self) -> Evacuation {
        let revision = self.evacuations.newest().revision;
        Evacuation { revision, data_centres: self.evacuations.effective() }
    }

    /// Takes changes that this box read from the store.
    pub(super) fn apply_evacuation_changes(&mut self, changes: Vec<Change>, revision: Revision) {
        let difference = self.evacuations.apply_changes(changes, revision, self.now);
        self.apply_difference(difference);
    }

    /// Lifts the evacuations that were held for long enough after the store had lost them.
    pub(super) fn lift_expired(&mut self) {
        if self.evacuations.next_expiry().is_some_and(|it| it <= self.now) {
            let difference = self.evacuations.sweep(self.now);
            self.apply_difference(difference);
        }
    }

    /// Takes a state from the store or from another box, if it is newer, and passes on what has
    /// changed.
    pub(super) fn apply_evacuation(&mut self, newer: Evacuation) {
        let difference = self.evacuations.apply(newer, self.now);
        self.apply_difference(difference);
    }

    /// Has the engines of the evacuated data centres, and no others, left alone.
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
