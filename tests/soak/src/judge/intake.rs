//! Checks the rate limits that upstreams announce for all boxes together.

use std::collections::BTreeMap;

use super::records::{Attempt, Records};
use super::{Bounds, Finding, Promise, finding};
use crate::observation::{MILLISECOND, Micros, SECOND};

/// The window in which the requests to an upstream are counted.
const WINDOW: Micros = 4 * SECOND;

/// How long after a box learned of a limit its requests count, with a margin for a loaded machine.
const COUNTS_AFTER: Micros = 700 * MILLISECOND;

/// The factor by which a limit may be exceeded.
const OVERRUN: f64 = 1.5;

/// The number of requests by which a limit may be exceeded in addition.
const SLACK: f64 = 5.0;

/// The arrival of a request or of a prefill at an upstream.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// When it arrived.
    at: Micros,
    /// The box that sent it.
    node: usize,
    /// When the box received the head of the answer.
    answered: Option<Micros>,
}

/// Checks that upstreams receive no more than their limit from undisturbed boxes that know the
/// limit.
pub(super) fn limit_kept(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    if !bounds.reads_terms || records.limits.is_empty() {
        return Vec::new();
    }
    let mut arrivals: BTreeMap<&str, Vec<Arrival>> = BTreeMap::new();
    for attempt in records.attempts.values() {
        for (engine, arrival) in arrivals_of(attempt) {
            arrivals.entry(engine).or_default().push(arrival);
        }
    }
    let findings = records.limits.iter().filter_map(|(engine, named)| {
        let arrivals = arrivals.remove(engine.as_str()).unwrap_or_default();
        check(engine, named, arrivals, records, bounds)
    });
    findings.collect()
}

/// Returns the upstreams that an attempt was sent to, with its arrivals. A stream counts as
/// answered when its run begins, a plain request when its run ends.
fn arrivals_of(attempt: &Attempt) -> Vec<(&str, Arrival)> {
    let node = attempt.node;
    let runs = attempt.runs.iter().map(|run| {
        let is_early = attempt.kind.is_stream() && !run.is_reading;
        let answered = if is_early { Some(run.began) } else { run.end.map(|it| it.at) };
        (run.engine.as_str(), Arrival { at: run.began, node, answered })
    });
    let rejections = attempt.rejections.iter().zip(&attempt.rejected_by);
    let rejections =
        rejections.map(|(&at, engine)| (engine.as_str(), Arrival { at, node, answered: Some(at) }));
    runs.chain(rejections).collect()
}

/// Checks the arrivals at one upstream.
fn check(
    engine: &str,
    named: &[(Micros, u64)],
    mut arrivals: Vec<Arrival>,
    records: &Records,
    bounds: &Bounds,
) -> Option<Finding> {
    arrivals.sort_by_key(|it| it.at);
    for (begun, until) in spans(named) {
        let told = first_answers(&arrivals, begun, until);
        let counts = |it: &&Arrival| {
            let is_told = told.get(&it.node).is_some_and(|told| it.at >= told + COUNTS_AFTER);
            let from = it.at.saturating_sub(bounds.contact);
            is_told && it.at < until && !records.is_disturbed(it.node, from, it.at)
        };
        let counted: Vec<Micros> = arrivals.iter().filter(counts).map(|it| it.at).collect();
        for &end in counted.iter().filter(|it| **it >= begun + bounds.contact) {
            let within = counted.iter().filter(|it| **it <= end && **it + WINDOW > end).count();
            let rate = max_limit_milli(named, end) as f64 / 1e3;
            let allowed = rate * (WINDOW / SECOND) as f64 * OVERRUN + SLACK;
            if within as f64 > allowed {
                let what = format!("{engine} takes {rate} a second and got {within} in 4 s");
                return Some(finding(Promise::LimitKept, end, what));
            }
        }
    }
    None
}

/// Returns the intervals in which an upstream announced limits without a break.
fn spans(named: &[(Micros, u64)]) -> Vec<(Micros, Micros)> {
    let mut spans = Vec::new();
    let mut begun = None;
    for &(at, milli) in named {
        match (begun, milli) {
            (None, 1..) => begun = Some(at),
            (Some(since), 0) => {
                spans.push((since, at));
                begun = None;
            }
            _ => {}
        }
    }
    spans.extend(begun.map(|it| (it, Micros::MAX)));
    spans
}

/// Returns when each box received its first answer in an interval.
fn first_answers(arrivals: &[Arrival], begun: Micros, until: Micros) -> BTreeMap<usize, Micros> {
    let mut told = BTreeMap::new();
    for arrival in arrivals.iter().filter(|it| it.at >= begun && it.at < until) {
        if let Some(answered) = arrival.answered {
            let first = told.entry(arrival.node).or_insert(answered);
            *first = answered.min(*first);
        }
    }
    told
}

/// Returns the highest limit in the window that ends at `end`, in thousandths of a request a
/// second.
fn max_limit_milli(named: &[(Micros, u64)], end: Micros) -> u64 {
    let begun = end.saturating_sub(WINDOW);
    let ends = named.iter().skip(1).map(|it| it.0).chain([Micros::MAX]);
    let in_window = named.iter().zip(ends).filter(|(it, until)| it.0 <= end && *until > begun);
    in_window.map(|(it, _)| it.1).max().unwrap_or(0)
}
