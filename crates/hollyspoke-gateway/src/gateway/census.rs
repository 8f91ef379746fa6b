//! How many boxes live, as the platform's store keeps it.
//!
//! Boxes know by hearing each other how many share what is bounded for all together. Those that all
//! start at the same moment in a part that is cut off hear only that part; the number in the store
//! tells them of the others. Each box that follows the store reads it once in its life and tells it
//! with its heartbeats; a box that serves has its configuration from the store, or from one that
//! has. The first box writes it when it has changed.

use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::LogEvent;

/// The kind of the object.
const KIND: &str = "census";

/// The name of the object.
const NAME: &str = "boxes";

/// The time after a box's start from which on it writes: boxes that start together have then heard
/// each other, so that one write does for all.
const WRITE_DELAY: Duration = Duration::from_secs(3);

/// The pause between two operations, so that boxes that come one after the other cost few.
const OPERATION_PAUSE: Duration = Duration::from_secs(2);

/// How long fewer boxes must have been there before the number is lowered: as long as the members
/// count a box that was stopped, and may be back.
const LOWER_DELAY: Duration = Duration::from_secs(60);

/// What the store holds.
#[derive(Debug, Clone, Copy)]
struct Stored {
    /// The version of the object; 0 if there is none.
    version: u64,
    /// The boxes; 0 if there is none.
    boxes: usize,
}

/// What this box knows of the number.
#[derive(Debug, Clone, Default)]
pub(super) struct Census {
    /// What the store holds, once it was read.
    stored: Option<Stored>,
    /// Whether this box has heard as many itself: then it goes by its hearing, which knows of those
    /// that were stopped since.
    is_confirmed: bool,
    /// The operation under way, and the boxes that it writes if it does.
    under_way: Option<(u64, Option<usize>)>,
    /// When the next operation may begin.
    paused_until: Time,
    /// Since when fewer boxes are there than the store holds.
    fewer_since: Option<Time>,
}

impl Census {
    /// Gives the boxes by the store, as long as this box has not heard as many.
    fn boxes(&self) -> Option<usize> {
        let stored = self.stored.filter(|it| it.boxes > 0 && !self.is_confirmed);
        stored.map(|it| it.boxes)
    }
}

impl Gateway {
    /// Gives the most boxes that may live, by hearing and by the store; none if neither tells.
    pub(super) fn known_boxes(&self) -> Option<usize> {
        self.members.peak_serving().max(self.census.boxes())
    }

    /// Reads the number or writes it, if it is time to.
    pub(super) fn update_census(&mut self) {
        let heard = self.members.peak_serving().unwrap_or(0);
        self.census.is_confirmed |= self.census.stored.is_some_and(|it| heard >= it.boxes);
        let may_begin = self.census.under_way.is_none() && self.now >= self.census.paused_until;
        if !may_begin || !self.follows_store() || self.is_stopping() {
            return;
        }
        let Some(stored) = self.census.stored else { return self.read_census() };
        if self.should_write(stored, heard) {
            self.write_census(stored, heard);
        }
    }

    /// Tells whether the number in the store is to be changed.
    fn should_write(&mut self, stored: Stored, heard: usize) -> bool {
        let fewer = (heard < stored.boxes).then_some(self.now);
        self.census.fewer_since = fewer.map(|it| self.census.fewer_since.unwrap_or(it));
        let is_lower = self
            .census
            .fewer_since
            .is_some_and(|it| self.census.is_confirmed && self.now.since(it) >= LOWER_DELAY);
        let is_old = self.now.since(Time::ZERO) >= WRITE_DELAY;
        (heard > stored.boxes || is_lower) && is_old && self.is_leader()
    }

    /// Begins to read the number.
    fn read_census(&mut self) {
        let operation = Operation::Get { kind: KIND.to_owned(), name: NAME.to_owned() };
        let number = self.begin_operation(operation);
        self.census.under_way = Some((number, None));
    }

    /// Begins to write the number.
    fn write_census(&mut self, stored: Stored, boxes: usize) {
        let operation = Operation::Put {
            kind: KIND.to_owned(),
            name: NAME.to_owned(),
            expected: stored.version,
            value: boxes.to_string(),
        };
        let number = self.begin_operation(operation);
        self.census.under_way = Some((number, Some(boxes)));
    }

    /// Notes that the store may have lost the number, so that it is read and written again.
    pub(super) fn invalidate_census(&mut self) {
        self.census.stored = None;
        self.census.under_way = None;
    }

    /// Takes the store's answer to an operation of the census; tells whether it was one.
    pub(super) fn apply_census_answer(&mut self, number: u64, answer: &Answer) -> bool {
        let Some((_, written)) = self.census.under_way.take_if(|it| it.0 == number) else {
            return false;
        };
        self.census.paused_until = self.now + OPERATION_PAUSE;
        self.census.stored = match (answer, written) {
            (Answer::Found { version, value }, _) => {
                // What is no number was not written by a box; it counts as none and is replaced.
                let boxes = value.parse().unwrap_or(0);
                Some(Stored { version: *version, boxes })
            }
            (Answer::Absent, None) => Some(Stored { version: 0, boxes: 0 }),
            (Answer::Written { version }, Some(boxes)) => Some(Stored { version: *version, boxes }),
            // The object is read again: another box has written, or this write may have taken effect.
            (Answer::Conflict | Answer::Away | Answer::Absent | Answer::Written { .. }, _) => None,
        };
        if let Some(Stored { boxes, .. }) = self.census.stored {
            self.log(LogEvent::Census { boxes, is_written: written.is_some() });
        }
        true
    }
}
