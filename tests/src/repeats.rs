//! The calls at engines beyond the first call of each request, compared with the bound for all
//! boxes together.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::budget::Bound;
use hollyspoke_gateway::request::RequestKey;

/// A request that a client has sent.
#[derive(Debug, Clone, Copy)]
pub struct ClientRequest {
    /// The service.
    pub service: &'static str,
    /// The time at which it was sent.
    pub at: Time,
}

/// A call that has arrived at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The service.
    pub service: &'static str,
    /// The request: its box, the box's count of starts, and its number at the box.
    pub request: (usize, u64, u64),
    /// The time of arrival.
    pub at: Time,
    /// Whether this is a prefill that the engine accepted; the first one of a request does not
    /// count.
    pub is_accepted_prefill: bool,
}

/// A retry that a box refused.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRetry {
    /// The service.
    pub service: &'static str,
    /// The time of the refusal.
    pub at: Time,
}

/// A request at the box that received it from its client.
#[derive(Debug, Clone, Copy)]
pub struct Taken {
    /// The number of the box.
    pub number: usize,
    /// The request.
    pub request: RequestKey,
    /// The time at which it arrived.
    pub at: Time,
    /// Whether its client has got an engine's answer.
    pub is_served: bool,
}

/// The requests, calls and refused retries of a run.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// The requests that clients sent.
    pub requests: Vec<ClientRequest>,
    /// The calls that arrived at engines.
    pub arrivals: Vec<Arrival>,
    /// The refused retries.
    pub refused: Vec<RefusedRetry>,
    /// The requests at the boxes that received them.
    pub taken: Vec<Taken>,
    /// The number of times that a box told others of an engine that it could not reach.
    pub unreachable_reports: usize,
    /// The number of requests that boxes passed on.
    pub passed_on: usize,
    /// How often a box has lost contact with a service.
    pub contact_losses: usize,
}

impl Records {
    /// Records that a box delivers an answer to a client, or refuses its request.
    pub fn record_end(&mut self, number: usize, request: RequestKey, is_served: bool) {
        let is_it = |it: &&mut Taken| it.number == number && it.request == request;
        if let Some(taken) = self.taken.iter_mut().rev().find(is_it) {
            taken.is_served = is_served;
        }
    }

    /// Returns the number of requests that some boxes received in a period, and the share of them
    /// that was served.
    pub fn served(&self, boxes: &[usize], period: Range<Time>) -> (usize, f64) {
        let taken = self.taken.iter();
        let taken: Vec<_> =
            taken.filter(|it| boxes.contains(&it.number) && period.contains(&it.at)).collect();
        let served = taken.iter().filter(|it| it.is_served).count();
        (taken.len(), served as f64 / taken.len().max(1) as f64)
    }

    /// Returns the number of some requests that were received in a period, and the share of them that
    /// was served.
    pub fn served_of(&self, requests: &BTreeSet<RequestKey>, period: Range<Time>) -> (usize, f64) {
        let is_it = |it: &&Taken| requests.contains(&it.request) && period.contains(&it.at);
        let taken: Vec<_> = self.taken.iter().filter(is_it).collect();
        let served = taken.iter().filter(|it| it.is_served).count();
        (taken.len(), served as f64 / taken.len().max(1) as f64)
    }

    /// Returns the maximum number of retries in any window, divided by the number allowed there.
    pub fn bound_used(&self, service: &str, bound: &Bound) -> f64 {
        let repeats = self.repeats(service);
        let requested = self.request_times(service);
        let used = repeats.iter().map(|&end| {
            count_in_window(&repeats, end, bound.window) as f64 / allowed(&requested, end, bound)
        });
        used.fold(0.0, f64::max)
    }

    /// Returns the number of retries.
    pub fn repeat_count(&self, service: &str) -> usize {
        self.repeats(service).len()
    }

    /// Returns how many retries were refused although the bound for all boxes together allowed
    /// them, and how many were refused in total.
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

    /// Returns the time of each call beyond the first one of its request, in order.
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

    /// Returns the times at which requests for a service were sent.
    fn request_times(&self, service: &str) -> Vec<Time> {
        self.requests.iter().filter(|it| it.service == service).map(|it| it.at).collect()
    }
}

/// Returns the number of retries allowed in the window that ends at a time. It depends on the
/// requests in that window, the one before or the one half a window before, whichever has the most.
fn allowed(requested: &[Time], end: Time, bound: &Bound) -> f64 {
    let ends = [end, end - bound.window / 2, end - bound.window];
    let most = ends.into_iter().map(|it| count_in_window(requested, it, bound.window)).max();
    most.unwrap_or(0) as f64 * bound.ratio + bound.allowance
}

/// Counts the times in the window that ends at a time. The times must be sorted.
fn count_in_window(times: &[Time], end: Time, window: Duration) -> usize {
    let until = times.partition_point(|&it| it <= end);
    let before = times.partition_point(|&it| it + window <= end);
    until.saturating_sub(before)
}
