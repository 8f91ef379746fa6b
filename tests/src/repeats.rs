//! What arrived at engines beyond the first call of each request, against what is allowed over all
//! boxes together.

use std::collections::BTreeSet;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::budget::Bound;

/// A request that a client has sent.
#[derive(Debug, Clone, Copy)]
pub struct ClientRequest {
    /// Its service.
    pub service: &'static str,
    /// When.
    pub at: Time,
}

/// A call that has come to an engine.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The service.
    pub service: &'static str,
    /// The request: its box, the box's life, and its number there.
    pub request: (usize, u64, u64),
    /// When.
    pub at: Time,
    /// Whether it is a reading that the engine took up, of which the first does not count.
    pub is_accepted_prefill: bool,
}

/// A repeat that a box did not allow.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRetry {
    /// The service.
    pub service: &'static str,
    /// When.
    pub at: Time,
}

/// All that was seen.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// The requests.
    pub requests: Vec<ClientRequest>,
    /// The calls at engines.
    pub arrivals: Vec<Arrival>,
    /// The repeats not allowed.
    pub refused: Vec<RefusedRetry>,
}

impl Records {
    /// Returns the most repeats in any window over what is allowed there.
    pub fn bound_used(&self, service: &str, bound: &Bound) -> f64 {
        let repeats = self.repeats(service);
        let requested = self.request_times(service);
        let used = repeats.iter().map(|&end| {
            count_in_window(&repeats, end, bound.window) as f64 / allowed(&requested, end, bound)
        });
        used.fold(0.0, f64::max)
    }

    /// Returns how many repeats there were.
    pub fn repeat_count(&self, service: &str) -> usize {
        self.repeats(service).len()
    }

    /// Returns how many repeats were not allowed though all boxes together had room for them, and how
    /// many were not allowed at all.
    pub fn refused_with_capacity(&self, service: &str, bound: &Bound) -> (usize, usize) {
        let repeats = self.repeats(service);
        let requested = self.request_times(service);
        let refused: Vec<_> = self.refused.iter().filter(|it| it.service == service).collect();
        let has_capacity = |it: &&&RefusedRetry| {
            let spent = count_in_window(&repeats, it.at, bound.window) as f64;
            spent < allowed(&requested, it.at, bound)
        };
        (refused.iter().filter(has_capacity).count(), refused.len())
    }

    /// Returns when each call arrived beyond the first of its request, in order.
    fn repeats(&self, service: &str) -> Vec<Time> {
        let mut prefilled = BTreeSet::new();
        let mut started = BTreeSet::new();
        let mut arrivals: Vec<_> =
            self.arrivals.iter().filter(|it| it.service == service).collect();
        arrivals.sort_by_key(|it| it.at);
        arrivals.retain(|it| {
            let is_exempt = it.is_accepted_prefill && prefilled.insert(it.request);
            !is_exempt && !started.insert(it.request)
        });
        arrivals.iter().map(|it| it.at).collect()
    }

    /// Returns when the requests for a service were sent.
    fn request_times(&self, service: &str) -> Vec<Time> {
        self.requests.iter().filter(|it| it.service == service).map(|it| it.at).collect()
    }
}

/// Returns the repeats allowed in the window that ends at a time: for the requests in it, in the one
/// before or in the one half a window before, whichever has the most.
fn allowed(requested: &[Time], end: Time, bound: &Bound) -> f64 {
    let ends = [end, end - bound.window / 2, end - bound.window];
    let most = ends.into_iter().map(|it| count_in_window(requested, it, bound.window)).max();
    most.unwrap_or(0) as f64 * bound.ratio + bound.allowance
}

/// Counts the times in the window that ends at a time; they are in order.
fn count_in_window(times: &[Time], end: Time, window: Duration) -> usize {
    let until = times.partition_point(|&it| it <= end);
    let before = times.partition_point(|&it| it + window <= end);
    until.saturating_sub(before)
}
