//! Engines that have just started bear only so many requests a second, from all boxes together.
//!
//! The bound holds without a word between boxes, since boxes that are cut off from each other send
//! too: for each cold engine about as many boxes as it bears requests in a second may send to it,
//! drawn by a hash that each box works out for itself, and each of them once a second.

use std::collections::HashMap;
use std::time::Duration;

use hollyspoke::time::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::EngineKey;

/// The share of what a cold engine bears that is given out. The boxes that may send to an engine
/// are drawn, so that there may be more of them than on the mean. With half, by the binomial
/// distribution for 30 to 985 boxes, an engine that bears 10 requests a second gets more in 2 to 3
/// cases of 100, and twice as many in fewer than one of a million.
const USED_SHARE: f64 = 0.5;

/// The least time between two requests of a box to a cold engine where not every box may send to
/// it: a little over a second, so that no second holds two.
const MIN_INTERVAL: Duration = Duration::from_millis(1050);

/// The boxes that share what cold engines bear.
#[derive(Debug, Clone, Copy)]
pub struct Part {
    /// This box's number, the same for all boxes.
    pub number: u64,
    /// How many boxes may live.
    pub boxes: usize,
}

/// When this box last sent to each cold engine.
#[derive(Debug, Clone, Default)]
pub struct SendTimes {
    /// The times.
    sent: HashMap<EngineKey, Time>,
}

impl SendTimes {
    /// Tells whether a box may send a request to a cold engine that bears so many a second.
    pub fn may_send(&self, engine: EngineKey, rate: f64, part: Part, now: Time) -> bool {
        let share = rate * USED_SHARE / part.boxes.max(1) as f64;
        if draw(engine, part.number) >= share {
            return false;
        }
        let interval = MIN_INTERVAL.div_f64(share.max(1.0));
        self.sent.get(&engine).is_none_or(|&it| now.since(it) >= interval)
    }

    /// Notes that a request was sent to a cold engine.
    pub fn record(&mut self, engine: EngineKey, now: Time) {
        self.sent.retain(|_, it| now.since(*it) < MIN_INTERVAL);
        self.sent.insert(engine, now);
    }
}

/// Draws a number from 0 to 1 for an engine and a box, the same each time.
fn draw(engine: EngineKey, number: u64) -> f64 {
    let hash = xxh3_64_with_seed(&engine.0.to_le_bytes(), number);
    hash as f64 / u64::MAX as f64
}
