//! The rate limit of engines that have just started, which applies to all boxes together.
//!
//! The limit holds without communication between boxes, because boxes that are cut off from each
//! other also send requests. For each cold engine, a hash that every box computes by itself selects
//! about as many boxes as the engine can handle requests per second. Each selected box sends one
//! request per second.

use std::collections::HashMap;
use std::time::Duration;

use hollyspoke::time::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::EngineKey;

/// The share of a cold engine's rate that is used. Boxes are selected at random, so there may be
/// more of them than on average. With half, by the binomial distribution for 30 to 985 boxes, an
/// engine that can handle 10 requests per second receives more in 2 to 3 cases of 100, and twice as
/// many in fewer than one of a million.
const USED_SHARE: f64 = 0.5;

/// The minimum interval between two requests of a box to a cold engine that not every box may send
/// to. It is a little over a second, so that no second contains two.
const MIN_INTERVAL: Duration = Duration::from_millis(1050);

/// What determines a box's share of the requests that cold engines can handle.
#[derive(Debug, Clone, Copy)]
pub struct BoxShare {
    /// The hash of this box's address, which every box computes alike.
    pub box_hash: u64,
    /// The number of boxes that may be alive.
    pub box_count: usize,
}

/// When this box last sent to each cold engine.
#[derive(Debug, Clone, Default)]
pub struct SendTimes {
    /// The time of the last request to each engine.
    sent: HashMap<EngineKey, Time>,
}

impl SendTimes {
    /// Returns whether a box may send a request to a cold engine that can handle `rate` requests
    /// per second.
    pub fn may_send(&self, engine: EngineKey, rate: f64, box_share: BoxShare, now: Time) -> bool {
        let share = rate * USED_SHARE / box_share.box_count.max(1) as f64;
        if unit_hash(engine, box_share.box_hash) >= share {
            return false;
        }
        let interval = MIN_INTERVAL.div_f64(share.max(1.0));
        self.sent.get(&engine).is_none_or(|&it| now.since(it) >= interval)
    }

    /// Records that a request was sent to a cold engine.
    pub fn record(&mut self, engine: EngineKey, now: Time) {
        self.sent.retain(|_, it| now.since(*it) < MIN_INTERVAL);
        self.sent.insert(engine, now);
    }
}

/// Returns a pseudorandom number from 0 to 1 that is always the same for an engine and a box.
fn unit_hash(engine: EngineKey, box_hash: u64) -> f64 {
    let hash = xxh3_64_with_seed(&engine.0.to_le_bytes(), box_hash);
    hash as f64 / u64::MAX as f64
}
