//! How often requests of a service may be sent to one more engine.
//!
//! The bound is over all boxes, and holds without a word between them. Each box has a token bucket
//! for each service; a repeat takes a token. A request brings its share of one, at the box that it
//! came to, and the fixed allowance comes evenly to all boxes that may live, in part over time and
//! in part as what a bucket holds at most. A bucket begins empty with each life of a box, so that
//! in any window all lives of all boxes spend at most what the buckets held at its start and what
//! came since.

use std::time::Duration;

use hollyspoke::time::Time;

/// The bound that all boxes together keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside the ratio, over all boxes.
    pub allowance: f64,
    /// The span over which both are counted.
    pub window: Duration,
}

/// The part of the bound that is used. Repeats count when they arrive at engines: those that are
/// held up on the way by less than a ninth of the window may arrive with later ones.
const USED_SHARE: f64 = 0.9;

/// The share of a box's part of the allowance that it may have at once, when many calls fail
/// together; the rest comes evenly over the window, for troubles that last.
const BURST_SHARE: f64 = 0.6;

/// The tokens that a bucket holds at least. With less than one whole token no repeat could be sent,
/// which is so where the allowance is less than 1.9 for each box, and at a box that has heard nobody
/// and takes 1,500 others to be there. All boxes together then hold one each, which the allowance
/// covers up to as many boxes as it has repeats; nothing comes over time then.
const MIN_CAPACITY_TOKENS: f64 = 1.0;

/// The boxes that share a bound, and what each of them gets of it.
#[derive(Debug, Clone, Copy)]
pub struct Part<'a> {
    /// The bound.
    pub bound: &'a Bound,
    /// How many boxes may live.
    pub boxes: usize,
}

/// The repeats that one box may send for one service.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// The tokens.
    available: f64,
    /// When they were last brought up to the time; at first the start of the box.
    refilled_at: Time,
    /// The boxes that shared the bound then.
    boxes: usize,
}

impl Part<'_> {
    /// Gives this box's part of the allowance.
    fn allowance(self) -> f64 {
        self.bound.allowance * USED_SHARE / self.boxes.max(1) as f64
    }

    /// Gives the tokens that the bucket holds at most.
    fn capacity(self) -> f64 {
        (self.allowance() * BURST_SHARE).max(MIN_CAPACITY_TOKENS)
    }

    /// Gives the tokens that come in a second whatever is asked.
    fn tokens_per_s(self) -> f64 {
        (self.allowance() - self.capacity()).max(0.0) / self.bound.window.as_secs_f64()
    }
}

impl Budget {
    /// Takes in a request.
    pub fn arrive(&mut self, now: Time, part: Part<'_>) {
        self.refill(now, part);
        self.add(part.bound.ratio * USED_SHARE, part);
    }

    /// Takes the token for a repeat; tells whether there was one.
    pub fn take(&mut self, now: Time, part: Part<'_>) -> bool {
        self.refill(now, part);
        let has_one = self.available >= 1.0;
        if has_one {
            self.available -= 1.0;
        }
        has_one
    }

    /// Gives back the token of a call that turned out not to count.
    pub fn refund(&mut self, now: Time, part: Part<'_>) {
        self.refill(now, part);
        self.add(1.0, part);
    }

    /// Gives the tokens, as they were after the last call.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Brings the tokens up to a time. Where the boxes have become fewer since, the time before
    /// brings as much as it did for more.
    fn refill(&mut self, now: Time, part: Part<'_>) {
        let before = Part { boxes: part.boxes.max(self.boxes), ..part };
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = now;
        self.boxes = part.boxes;
        self.add(before.tokens_per_s() * elapsed.as_secs_f64(), part);
    }

    /// Adds tokens, as far as the bucket holds them.
    fn add(&mut self, tokens: f64, part: Part<'_>) {
        self.available = (self.available + tokens).min(part.capacity());
    }
}
