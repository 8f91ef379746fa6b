//! How often requests of a service may be sent to a second engine.
//!
//! The bound holds over all nodes without a message: each takes a share of its own requests and an
//! equal part of the fixed allowance.

use std::collections::VecDeque;
use std::time::Duration;

use hollyspoke::time::Time;

/// The bound that all nodes together keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside the ratio, over all nodes.
    pub allowance: f64,
    /// The span over which both are counted.
    pub window: Duration,
}

/// The part of the bound that is used, so that requests counted at the window's edge, and nodes
/// that have just joined, don't break it.
const USED_SHARE: f64 = 0.7;

/// One service's requests and repeats of late at one node.
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

    /// Tells whether a repeat may be sent now by one of `nodes` nodes.
    pub fn allows(&mut self, now: Time, bound: &Bound, nodes: usize) -> bool {
        forget(&mut self.requests, now, bound.window);
        forget(&mut self.repeats, now, bound.window);
        let earned = self.requests.len() as f64 * bound.ratio;
        let allowance = bound.allowance / nodes.max(1) as f64;
        (self.repeats.len() + 1) as f64 <= (earned + allowance) * USED_SHARE
    }
}

/// Drops the times that lie before the window.
fn forget(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|&it| now.since(it) > window) {
        times.pop_front();
    }
}
