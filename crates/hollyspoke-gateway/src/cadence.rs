//! The intervals between a box's heartbeats, and the time without one after which it counts as
//! dead.
//!
//! Up to [`ALL_TO_ALL_MAX_BOXES`] boxes, each box sends everything to all others at once. Beyond,
//! boxes of the same data centre receive its heartbeats more often than the others, so that what
//! each box receives grows with the size of its data centre and not with the size of the
//! deployment.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of boxes up to which all receive each other's heartbeats equally often. Beyond it,
/// each would receive more than the 290 heartbeats per second that 100 boxes send.
pub const ALL_TO_ALL_MAX_BOXES: usize = 100;

/// The interval between heartbeats up to [`ALL_TO_ALL_MAX_BOXES`] boxes, in milliseconds.
const SMALL_INTERVAL_MS: u32 = 350;

/// The interval between heartbeats to the local data centre beyond [`ALL_TO_ALL_MAX_BOXES`] boxes,
/// in milliseconds.
const LARGE_INTERVAL_MS: u32 = 800;

/// One heartbeat in this many is sent to all data centres beyond [`ALL_TO_ALL_MAX_BOXES`] boxes.
/// The state of remote engines only matters when the local ones are full, which is rare.
pub const HEARTBEATS_PER_REMOTE_HEARTBEAT: u32 = 4;

/// The time after which a heartbeat is overdue, in intervals. A lost or late heartbeat makes a box
/// seem absent for a moment, which costs customers near their limits its share. With a longer time,
/// boxes that are cut off go on using the shares of others: at 1.6 intervals, 78 boxes that were
/// all cut off in a flood admitted 1.06 times the bound (test `quota.rs`).
const OVERDUE_AFTER_INTERVALS: f64 = 1.15;

/// The time without a heartbeat after which a box counts as dead, in intervals.
const DEAD_AFTER_INTERVALS: f64 = 3.6;

/// The same for boxes of other data centres that send heartbeats less often. Over two links that
/// each lose 3 in 100, the loss of two heartbeats in a row has a probability of 4 in 1,000.
const DEAD_AFTER_REMOTE_INTERVALS: f64 = 2.6;

/// The intervals between a box's whole heartbeats, which each of them contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cadence {
    /// The interval of heartbeats to the local data centre, in milliseconds.
    pub local_interval_ms: u32,
    /// The interval of heartbeats to the other data centres, in milliseconds.
    pub remote_interval_ms: u32,
}

impl Cadence {
    /// Returns the cadence of one of `box_count` boxes, of which `local_count` are in its data
    /// centre. A box with a duty for all boxes sends to all more often, so that they detect its
    /// failure soon.
    pub fn of(box_count: usize, local_count: usize, has_global_duty: bool) -> Cadence {
        if box_count <= ALL_TO_ALL_MAX_BOXES {
            return Cadence {
                local_interval_ms: SMALL_INTERVAL_MS,
                remote_interval_ms: SMALL_INTERVAL_MS,
            };
        }
        // With more than `ALL_TO_ALL_MAX_BOXES` boxes in one data centre, the heartbeats that each
        // box receives stay as many. Whole steps keep the interval from changing with each box that
        // joins.
        let share = local_count.max(ALL_TO_ALL_MAX_BOXES).div_ceil(ALL_TO_ALL_MAX_BOXES) as f64;
        let local_interval_ms = (f64::from(LARGE_INTERVAL_MS) * share) as u32;
        let remote_interval_ms = if has_global_duty {
            local_interval_ms
        } else {
            local_interval_ms * HEARTBEATS_PER_REMOTE_HEARTBEAT
        };
        Cadence { local_interval_ms, remote_interval_ms }
    }

    /// Returns the interval between two heartbeats.
    pub fn local_interval(self) -> Duration {
        Duration::from_millis(u64::from(self.local_interval_ms))
    }

    /// Returns the time without a heartbeat after which the next one is overdue.
    pub fn overdue_after(self, is_local: bool) -> Duration {
        let every = if is_local { self.local_interval_ms } else { self.remote_interval_ms };
        Duration::from_millis(u64::from(every)).mul_f64(OVERDUE_AFTER_INTERVALS)
    }

    /// Returns the time without a heartbeat after which a box with this cadence counts as dead.
    pub fn dead_after(self, is_local: bool) -> Duration {
        if is_local || self.remote_interval_ms <= self.local_interval_ms {
            return Duration::from_millis(u64::from(self.local_interval_ms))
                .mul_f64(DEAD_AFTER_INTERVALS);
        }
        Duration::from_millis(u64::from(self.remote_interval_ms))
            .mul_f64(DEAD_AFTER_REMOTE_INTERVALS)
    }
}
