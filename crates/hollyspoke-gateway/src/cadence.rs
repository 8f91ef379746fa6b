//! How often a box tells the others that it lives, and which silence means that it does not.
//!
//! Up to [`SMALL`] boxes everybody tells everybody everything at once. Beyond, a box's own data
//! centre hears it more often than the others do, so that what each box hears grows with its data
//! centre and not with all of them (`docs/SCALE.md`).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of boxes up to which all hear each other equally often. Beyond, each would hear more
/// than the 290 heartbeats a second that 100 boxes send.
pub const SMALL: usize = 100;

/// How often a box tells the others that it lives, up to [`SMALL`] boxes, in milliseconds.
const SMALL_EVERY_MS: u32 = 350;

/// How often a box tells its own data centre that it lives, beyond [`SMALL`] boxes, in
/// milliseconds.
const LARGE_EVERY_MS: u32 = 800;

/// Of how many heartbeats one goes to all data centres, beyond [`SMALL`] boxes: what is known of
/// the engines elsewhere serves to send work there when the own ones are full, and that is rare.
pub const FAR_BEATS: u32 = 4;

/// The silence after which a heartbeat is overdue, in heartbeats. One that is lost or late makes a
/// box miss for a moment, which costs customers near their limits its part. A later notice lets boxes
/// that are cut off go on by what is not theirs: at 1.6 heartbeats 78 boxes that were all cut off in
/// a flood let 1.06 of the bound through (`quota.rs` among the tests).
const DUE_AFTER_BEATS: f64 = 1.15;

/// The silence after which a box is taken for dead, in heartbeats.
const DEAD_AFTER_BEATS: f64 = 3.6;

/// The same for boxes of other data centres whose heartbeats come less often. Two that are lost in
/// a row, each over two ways that lose 3 in 100, are 4 in 1,000.
const DEAD_AFTER_FAR_BEATS: f64 = 2.6;

/// How often a box sends whole heartbeats, as it tells with each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cadence {
    /// The time between those to its own data centre, in milliseconds.
    pub near_ms: u32,
    /// The time between those to the other data centres, in milliseconds.
    pub far_ms: u32,
}

impl Cadence {
    /// Gives the cadence of one of `all` boxes, of which `near` are in its data centre. One that is
    /// wide has a duty for all, so that they must notice its death soon.
    pub fn of(all: usize, near: usize, is_wide: bool) -> Cadence {
        if all <= SMALL {
            return Cadence { near_ms: SMALL_EVERY_MS, far_ms: SMALL_EVERY_MS };
        }
        // Beyond SMALL boxes in one data centre each one's part of the heartbeats stays the same.
        // In whole steps, so that it does not change with each box that is heard.
        let share = near.max(SMALL).div_ceil(SMALL) as f64;
        let near_ms = (f64::from(LARGE_EVERY_MS) * share) as u32;
        let far_ms = if is_wide { near_ms } else { near_ms * FAR_BEATS };
        Cadence { near_ms, far_ms }
    }

    /// Gives the time between two heartbeats.
    pub fn every(self) -> Duration {
        Duration::from_millis(u64::from(self.near_ms))
    }

    /// Gives the silence after which a box's next heartbeat is overdue.
    pub fn due_after(self, is_near: bool) -> Duration {
        let every = if is_near { self.near_ms } else { self.far_ms };
        Duration::from_millis(u64::from(every)).mul_f64(DUE_AFTER_BEATS)
    }

    /// Gives the silence after which a box with this cadence is taken for dead.
    pub fn dead_after(self, is_near: bool) -> Duration {
        if is_near || self.far_ms <= self.near_ms {
            return Duration::from_millis(u64::from(self.near_ms)).mul_f64(DEAD_AFTER_BEATS);
        }
        Duration::from_millis(u64::from(self.far_ms)).mul_f64(DEAD_AFTER_FAR_BEATS)
    }
}
