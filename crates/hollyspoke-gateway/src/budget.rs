//! How often requests of a service may be sent to a second engine.
//!
//! The bound holds over all boxes without a message: each takes a share of its own requests and an
//! equal part of the fixed allowance. With the others' word on what they spend, a box may use more
//! than its part.

use std::collections::VecDeque;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::message::Spending;

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

/// The part of the bound that is used, so that requests counted at the window's edge, and boxes
/// that have just joined, don't break it.
const USED_SHARE: f64 = 0.7;

/// How many times its own part one box may use while all together keep the bound. What others
/// spend is known with a delay, in which all may spend.
const MOST_PARTS: f64 = 3.0;

/// One service's requests and repeats of late at one box.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// When requests arrived.
    requests: VecDeque<Time>,
    /// When repeats were sent.
    repeats: VecDeque<Time>,
}

impl Budget {
    /// Notes a request.
    pub fn arrive(&mut self, now: Time, bound: &Bound) {
        forget(&mut self.requests, now, bound.window);
        self.requests.push_back(now);
    }

    /// Notes a call beyond a request's first that was not asked for, such as one turned away.
    pub fn charge(&mut self, now: Time) {
        self.repeats.push_back(now);
    }

    /// Gives what was spent within the window.
    pub fn spending(&mut self, now: Time, bound: &Bound) -> Spending {
        forget(&mut self.requests, now, bound.window);
        forget(&mut self.repeats, now, bound.window);
        let narrow = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Spending { requests: narrow(self.requests.len()), repeats: narrow(self.repeats.len()) }
    }

    /// Tells whether a repeat may be sent now by one of `nodes` boxes.
    ///
    /// A box that knows what the others have spent may use some times its own part, as long as
    /// all together keep the bound. Without the others' word it keeps to its own part.
    pub fn allows(
        &mut self,
        now: Time,
        bound: &Bound,
        nodes: usize,
        others: Option<Spending>,
    ) -> bool {
        let own = self.spending(now, bound);
        let earned = f64::from(own.requests) * bound.ratio;
        let part = (earned + bound.allowance / nodes.max(1) as f64) * USED_SHARE;
        let next = f64::from(own.repeats) + 1.0;
        let Some(others) = others else { return next <= part };
        let requests = f64::from(own.requests) + f64::from(others.requests);
        let whole = (requests * bound.ratio + bound.allowance) * USED_SHARE;
        let is_whole_kept = next + f64::from(others.repeats) <= whole;
        next <= part || (is_whole_kept && next <= part * MOST_PARTS)
    }
}

/// Drops the times that lie before the window.
fn forget(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|&it| now.since(it) > window) {
        times.pop_front();
    }
}
