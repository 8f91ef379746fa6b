//! The number of live boxes, stored in the platform's store.
//!
//! Boxes learn from each other's datagrams how many share the limits for all together. Boxes that
//! start at the same moment in a part that is cut off receive only from that part; the number in
//! the store counts the others too. Each box reads it at its start: where there are few, it need not
//! find out who else reads the lists. Each box that follows the store reads it once more and
//! includes it in its heartbeats. Boxes that serve have their configuration from the store, or
//! from a box that has read it. The first box writes the number when it has changed.

use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;

use super::Gateway;
use crate::cadence::ALL_TO_ALL_MAX_BOXES;
use crate::effect::LogEvent;

/// The kind of the object in the store.
const KIND: &str = "census";

/// The name of the object in the store.
const NAME: &str = "boxes";

/// The time after start before a box writes. Boxes that start together have received from each
/// other by then, so that one write is enough for all.
const WRITE_DELAY: Duration = Duration::from_secs(3);

/// The pause between two operations, so that boxes that join one after the other cost few
/// operations.
const OPERATION_PAUSE: Duration = Duration::from_secs(2);

/// The time for which fewer boxes must be counted before the number is lowered. A box that was shut
/// down may come back within it, and the membership counts it as long.
const LOWER_DELAY: Duration = Duration::from_secs(60);

/// The content of the object.
#[derive(Debug, Clone, Copy)]
struct Stored {
    /// The version of the object; 0 if it doesn't exist.
    version: u64,
    /// The number of boxes; 0 if the object doesn't exist.
    boxes: usize,
}

/// The first look at the number of boxes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Peeked {
    /// The box has not looked yet.
    #[default]
    NotYet,
    /// The store is asked, by this operation.
    UnderWay(u64),
    /// The number of boxes; 0 if the store doesn't tell.
    Boxes(usize),
}

/// The state of the census at this box.
#[derive(Debug, Clone, Default)]
pub(super) struct Census {
    /// The content of the object; none until it was read.
    stored: Option<Stored>,
    /// Whether this box has counted as many boxes itself. From then on it uses its own count, which
    /// leaves out boxes that were shut down since.
    is_confirmed: bool,
    /// The number of boxes that the store told at the start, which may be out of date.
    peeked: Peeked,
    /// The number of the operation under way, and the number of boxes that it writes if it is a
    /// write.
    under_way: Option<(u64, Option<usize>)>,
    /// The time when the next operation may start.
    paused_until: Time,
    /// The time since which fewer boxes are counted than the store contains.
    fewer_since: Option<Time>,
}

impl Census {
    /// Returns the number of boxes in the store, as long as this box has not counted as many.
    fn boxes(&self) -> Option<usize> {
        let stored = self.stored.filter(|it| it.boxes > 0 && !self.is_confirmed);
        stored.map(|it| it.boxes)
    }
}

impl Gateway {
    /// Returns the peak number of live boxes by this box's count and by the store; none if neither
    /// is known.
    pub(super) fn known_boxes(&self) -> Option<usize> {
        self.members.peak_serving().max(self.census.boxes())
    }

    /// Asks the store for the number of boxes, once.
    pub(super) fn peek_census(&mut self) {
        if self.census.peeked != Peeked::NotYet {
            return;
        }
        let operation = Operation::Peek { kind: KIND.to_owned(), name: NAME.to_owned() };
        self.census.peeked = Peeked::UnderWay(self.start_operation(operation));
    }

    /// Returns whether the store tells that all boxes may read the lists.
    pub(super) fn has_few_boxes(&self) -> bool {
        matches!(self.census.peeked, Peeked::Boxes(1..=ALL_TO_ALL_MAX_BOXES))
    }

    /// Handles the answer to the first look. Returns whether the operation was that.
    fn apply_peeked(&mut self, number: u64, answer: &Answer) -> bool {
        if self.census.peeked != Peeked::UnderWay(number) {
            return false;
        }
        let boxes = match answer {
            Answer::Found { value, .. } => value.parse().unwrap_or(0),
            _ => 0,
        };
        self.census.peeked = Peeked::Boxes(boxes);
        self.catch_up.decide_now();
        true
    }

    /// Reads or writes the number if that is due.
    pub(super) fn update_census(&mut self) {
        let counted = self.members.peak_serving().unwrap_or(0);
        self.census.is_confirmed |= self.census.stored.is_some_and(|it| counted >= it.boxes);
        let may_begin = self.census.under_way.is_none() && self.now >= self.census.paused_until;
        if !may_begin || !self.follows_store() || self.is_stopping() {
            return;
        }
        let Some(stored) = self.census.stored else { return self.read_census() };
        if self.should_write(stored, counted) {
            self.write_census(stored, counted);
        }
    }

    /// Returns whether the number in the store needs to be changed.
    fn should_write(&mut self, stored: Stored, counted: usize) -> bool {
        let fewer = (counted < stored.boxes).then_some(self.now);
        self.census.fewer_since = fewer.map(|it| self.census.fewer_since.unwrap_or(it));
        let is_lower = self
            .census
            .fewer_since
            .is_some_and(|it| self.census.is_confirmed && self.now.since(it) >= LOWER_DELAY);
        let is_old = self.now.since(Time::ZERO) >= WRITE_DELAY;
        (counted > stored.boxes || is_lower) && is_old && self.is_leader()
    }

    /// Starts reading the number.
    fn read_census(&mut self) {
        let operation = Operation::Get { kind: KIND.to_owned(), name: NAME.to_owned() };
        let number = self.start_operation(operation);
        self.census.under_way = Some((number, None));
    }

    /// Starts writing the number.
    fn write_census(&mut self, stored: Stored, boxes: usize) {
        let operation = Operation::Put {
            kind: KIND.to_owned(),
            name: NAME.to_owned(),
            expected: stored.version,
            value: boxes.to_string(),
        };
        let number = self.start_operation(operation);
        self.census.under_way = Some((number, Some(boxes)));
    }

    /// Records that the store may have lost the number, so that it is read and written again.
    pub(super) fn invalidate_census(&mut self) {
        self.census.stored = None;
        self.census.under_way = None;
    }

    /// Handles the store's answer to an operation of the census. Returns whether the operation was
    /// one.
    pub(super) fn apply_census_answer(&mut self, number: u64, answer: &Answer) -> bool {
        if self.apply_peeked(number, answer) {
            return true;
        }
        let Some((_, written)) = self.census.under_way.take_if(|it| it.0 == number) else {
            return false;
        };
        self.census.paused_until = self.now + OPERATION_PAUSE;
        self.census.stored = match (answer, written) {
            (Answer::Found { version, value }, _) => {
                // Content that is not a number was not written by a box. It counts as missing and
                // is overwritten.
                let boxes = value.parse().unwrap_or(0);
                Some(Stored { version: *version, boxes })
            }
            (Answer::Absent, None) => Some(Stored { version: 0, boxes: 0 }),
            (Answer::Written { version }, Some(boxes)) => Some(Stored { version: *version, boxes }),
            // The object is read again: another box has written it, or this write may have taken
            // effect.
            (Answer::Conflict | Answer::Away | Answer::Absent | Answer::Written { .. }, _) => None,
        };
        if let Some(Stored { boxes, .. }) = self.census.stored {
            self.log(LogEvent::Census { boxes, is_written: written.is_some() });
        }
        true
    }
}
