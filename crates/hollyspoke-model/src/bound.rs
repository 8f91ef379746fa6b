//! Upper bounds on the goodput of any scheduler, even one that knows all requests in advance.

use std::time::Duration;

use crate::load::{Request, User};

/// Returns the most requests per second that any scheduler could answer within both targets.
///
/// Each resource bounds the number on its own: the engines' prefill time, and the decode engines'
/// memory over time. For each, the cheapest requests are counted first, the last one in part.
/// Prefix caches are assumed to hold every common prefix. The bound is loose, since it lets a
/// scheduler choose only short requests, which a fair one may not.
pub fn size_selective(user: &User, requests: &[Request], span: Duration) -> f64 {
    let prefill =
        affordable_count(requests, prefill_seconds(user, span), |it| prefill_cost(user, it));
    let memory = affordable_count(requests, memory_seconds(user, span), |it| memory_cost(user, it));
    prefill.min(memory).min(requests.len() as f64) / span.as_secs_f64()
}

/// Returns the same bound for schedulers that don't choose by size: each request has the mean cost.
pub fn size_blind(user: &User, requests: &[Request], span: Duration) -> f64 {
    let count = requests.len().max(1) as f64;
    let mean = |cost: &dyn Fn(&Request) -> f64| requests.iter().map(cost).sum::<f64>() / count;
    let prefill = prefill_seconds(user, span) / mean(&|it| prefill_cost(user, it));
    let memory = memory_seconds(user, span) / mean(&|it| memory_cost(user, it));
    prefill.min(memory).min(count) / span.as_secs_f64()
}

/// Returns how many of the cheapest requests fit into a budget.
fn affordable_count(requests: &[Request], budget: f64, cost: impl Fn(&Request) -> f64) -> f64 {
    let mut costs: Vec<f64> = requests.iter().map(cost).collect();
    costs.sort_by(f64::total_cmp);
    let mut left = budget;
    let mut count = 0.0;
    for cost in costs {
        if cost > left {
            return count + left / cost;
        }
        left -= cost;
        count += 1.0;
    }
    count
}

/// Returns the total prefill time of all engines, in seconds.
fn prefill_seconds(user: &User, span: Duration) -> f64 {
    span.as_secs_f64() * user.plan.prefills as f64
}

/// Returns the total decode memory of all engines over time, in token-seconds.
fn memory_seconds(user: &User, span: Duration) -> f64 {
    span.as_secs_f64() * user.plan.decodes as f64 * user.plan.memory_tokens as f64
}

/// Returns the prefill time of a request, in seconds, with its common prefix cached.
fn prefill_cost(user: &User, request: &Request) -> f64 {
    let cached = request.prefix.len() as f64 * f64::from(hollyspoke::pool::admission::BLOCK_TOKENS);
    (f64::from(request.prompt_tokens) - cached).max(1.0) / user.plan.prefill_rate as f64
}

/// Returns the memory that a request occupies over time, in token-seconds.
fn memory_cost(user: &User, request: &Request) -> f64 {
    let time = user.plan.token_time.as_secs_f64() * f64::from(request.length);
    f64::from(request.tokens()) * time
}
