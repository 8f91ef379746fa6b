//! The budget for retries of a service's requests at another engine.
//!
//! The bound applies to all boxes together and holds without communication between them. Each box
//! has a token bucket per service, and a retry takes one token. A request adds a fraction of a
//! token at the box where it arrived. The fixed allowance is divided evenly among all boxes that
//! may be alive; a part of it accrues over time and a part is the bucket's capacity. A bucket is
//! empty at the start of each incarnation of a box, so that in any window all incarnations of all
//! boxes spend at most what the buckets held at the start of the window and what was added since.

use std::time::Duration;

use hollyspoke::time::Time;

/// The bound on the retries of all boxes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The retries allowed per request.
    pub ratio: f64,
    /// The retries allowed in addition to the ratio, for all boxes together.
    pub allowance: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

/// The share of the bound that is used. Retries count when they arrive at engines: those delayed by
/// less than a ninth of the window may arrive together with later ones.
const USED_SHARE: f64 = 0.9;

/// The share of a box's part of the allowance that it may use at once, when many calls fail
/// together. The rest accrues evenly over the window, for failures that last.
const BURST_SHARE: f64 = 0.6;

/// The lowest capacity of a bucket, in tokens. With less than one whole token no retry could be
/// sent. That would be so where the allowance is less than 1.9 per box, and at a box that has not
/// received from any other and assumes 1,500 of them. All boxes together then hold one token each,
/// which the allowance covers up to as many boxes as it has retries; nothing accrues over time
/// then.
const MIN_CAPACITY_TOKENS: f64 = 1.0;

/// A bound and the number of boxes that share it, from which the part of one box follows.
#[derive(Debug, Clone, Copy)]
pub struct BoxShare<'a> {
    /// The bound.
    pub bound: &'a Bound,
    /// The number of boxes that may be alive.
    pub box_count: usize,
}

/// The retries that one box may send for one service.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// The tokens in the bucket.
    available: f64,
    /// When the bucket was last refilled; initially the start of the box.
    refilled_at: Time,
    /// The number of boxes that shared the bound at that time.
    box_count: usize,
}

impl BoxShare<'_> {
    /// Returns this box's part of the allowance.
    fn allowance(self) -> f64 {
        self.bound.allowance * USED_SHARE / self.box_count.max(1) as f64
    }

    /// Returns the capacity of the bucket, in tokens.
    fn capacity(self) -> f64 {
        (self.allowance() * BURST_SHARE).max(MIN_CAPACITY_TOKENS)
    }

    /// Returns the tokens that accrue per second regardless of requests.
    fn tokens_per_s(self) -> f64 {
        (self.allowance() - self.capacity()).max(0.0) / self.bound.window.as_secs_f64()
    }
}

impl Budget {
    /// Adds the tokens for a request that arrived.
    pub fn add_request(&mut self, now: Time, share: BoxShare<'_>) {
        self.refill(now, share);
        self.add(share.bound.ratio * USED_SHARE, share);
    }

    /// Takes a token for a retry. Returns whether one was available.
    pub fn take(&mut self, now: Time, share: BoxShare<'_>) -> bool {
        self.refill(now, share);
        let has_one = self.available >= 1.0;
        if has_one {
            self.available -= 1.0;
        }
        has_one
    }

    /// Returns the token of a call that turned out not to count.
    pub fn refund(&mut self, now: Time, share: BoxShare<'_>) {
        self.refill(now, share);
        self.add(1.0, share);
    }

    /// Returns the tokens in the bucket, as of the last operation.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Adds the tokens accrued up to a time. If there are fewer boxes than before, the time up to
    /// now accrues at the rate for the larger number.
    fn refill(&mut self, now: Time, share: BoxShare<'_>) {
        let before = BoxShare { box_count: share.box_count.max(self.box_count), ..share };
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = now;
        self.box_count = share.box_count;
        self.add(before.tokens_per_s() * elapsed.as_secs_f64(), share);
    }

    /// Adds tokens, up to the capacity of the bucket.
    fn add(&mut self, tokens: f64, share: BoxShare<'_>) {
        self.available = (self.available + tokens).min(share.capacity());
    }
}
