//! How often a box tells the others that it lives, and which silence means that it does not.
//!
//! Up to [`ALL_TO_ALL_MAX_BOXES`] boxes everybody tells everybody everything at once. Beyond, a box's own data
//! centre hears it more often than the others do, so that what each box hears grows with its data
//! centre and not with all of them (`docs/SCALE.md`).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of boxes up to which all hear each other equally often. Beyond, each would hear more
/// than the 290 heartbeats a second that 100 boxes send.
pub const ALL_TO_ALL_MAX_BOXES: usize = 100;

/// How often a box tells the others that it lives, up to [`ALL_TO_ALL_MAX_BOXES`] boxes, in milliseconds.
const SMALL_INTERVAL_MS: u32 = 350;

/// How often a box tells its own data centre that it lives, beyond [`ALL_TO_ALL_MAX_BOXES`] boxes, in
/// milliseconds.
const LARGE_INTERVAL_MS: u32 = 800;

/// Of how many heartbeats one goes to all data centres, beyond [`ALL_TO_ALL_MAX_BOXES`] boxes: what is known of
/// the engines elsewhere serves to send work there when the own ones are full, and that is rare.
pub const HEARTBEATS_PER_REMOTE_HEARTBEAT: u32 = 4;

/// The silence after which a heartbeat is overdue, in heartbeats. One that is lost or late makes a
/// box miss for a moment, which costs customers near their limits its part. A later notice lets boxes
/// that are cut off go on by what is not theirs: at 1.6 heartbeats 78 boxes that were all cut off in
/// a flood let 1.06 of the bound through (`quota.rs` among the tests).
const OVERDUE_AFTER_INTERVALS: f64 = 1.15;

/// The silence after which a box is taken for dead, in heartbeats.
const DEAD_AFTER_INTERVALS: f64 = 3.6;

/// The same for boxes of other data centres whose heartbeats come less often. Two that are lost in
/// a row, each over two ways that lose 3 in 100, are 4 in 1,000.
const DEAD_AFTER_REMOTE_INTERVALS: f64 = 2.6;

/// How often a box sends whole heartbeats, as it tells with each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cadence {
    /// The time between those to its own data centre, in milliseconds.
    pub local_interval_ms: u32,
    /// The time between those to the other data centres, in milliseconds.
    pub remote_interval_ms: u32,
}

impl Cadence {
    /// Gives the cadence of one of `box_count` boxes, of which `local_count` are in its data centre. One that is
    /// wide has a duty for all, so that they must notice its death soon.
    pub fn of(box_count: usize, local_count: usize, has_global_duty: bool) -> Cadence {
        if box_count <= ALL_TO_ALL_MAX_BOXES {
            return Cadence {
                local_interval_ms: SMALL_INTERVAL_MS,
                remote_interval_ms: SMALL_INTERVAL_MS,
            };
        }
        // Beyond ALL_TO_ALL_MAX_BOXES boxes in one data centre each one's part of the heartbeats stays the same.
        // In whole steps, so that it does not change with each box that is heard.
        let share = local_count.max(ALL_TO_ALL_MAX_BOXES).div_ceil(ALL_TO_ALL_MAX_BOXES) as f64;
        let local_interval_ms = (f64::from(LARGE_INTERVAL_MS) * share) as u32;
        let remote_interval_ms = if has_global_duty {
            local_interval_ms
        } else {
            local_interval_ms * HEARTBEATS_PER_REMOTE_HEARTBEAT
        };
        Cadence { local_interval_ms, remote_interval_ms }
    }

    /// Gives the time between two heartbeats.
    pub fn local_interval(self) -> Duration {
        Duration::from_millis(u64::from(self.local_interval_ms))
    }

    /// Gives the silence after which a box's next heartbeat is overdue.
    pub fn overdue_after(self, is_local: bool) -> Duration {
        let every = if is_local { self.local_interval_ms } else { self.remote_interval_ms };
        Duration::from_millis(u64::from(every)).mul_f64(OVERDUE_AFTER_INTERVALS)
    }

    /// Gives the silence after which a box with this cadence is taken for dead.
    pub fn dead_after(self, is_local: bool) -> Duration {
        if is_local || self.remote_interval_ms <= self.local_interval_ms {
            return Duration::from_millis(u64::from(self.local_interval_ms))
                .mul_f64(DEAD_AFTER_INTERVALS);
        }
        Duration::from_millis(u64::from(self.remote_interval_ms))
            .mul_f64(DEAD_AFTER_REMOTE_INTERVALS)
    }
}
