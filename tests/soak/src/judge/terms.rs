//! Checks that boxes respect upstreams that are shutting down or ask a box to back off.

use super::records::{Attempt, Records};
use super::{Bounds, Finding, Promise, finding};
use crate::observation::{MILLISECOND, Micros, SECOND};

/// How long requests may be sent to an upstream after a box has learned that it is shutting down.
const DRAIN: Micros = 2 * SECOND;

/// How long after a box was asked to back off its requests count, with a margin for a loaded
/// machine.
const COUNTS_AFTER: Micros = 700 * MILLISECOND;

/// The time within which a box continues with a request after it receives a rejection. If it takes
/// longer, it may have continued without that answer.
const CONTINUES_WITHIN: Micros = 300 * MILLISECOND;

/// How many requests a box may send to an upstream that asked it to back off.
const MAX_WHILE_BACKING_OFF: usize = 2;

/// A back-off that an upstream asked a box for.
#[derive(Debug, Clone)]
pub(super) struct Rest {
    /// The upstream that asked.
    pub(super) engine: String,
    /// The attempt that was rejected.
    pub(super) attempt: String,
    /// When it was rejected.
    pub(super) at: Micros,
    /// How long the upstream asked the box to back off.
    pub(super) span: Micros,
}

/// The interval from an upstream's shutdown announcement to the end of its incarnation.
#[derive(Debug, Clone, Copy)]
pub(super) struct Leaving {
    /// The time of the announcement.
    pub(super) since: Micros,
    /// The end of the incarnation; the maximum while it is alive.
    pub(super) until: Micros,
}

/// Checks that upstreams that are shutting down receive nothing from boxes that forwarded an answer
/// with this announcement some time before, and were neither down nor paused since.
pub(super) fn leaving_kept(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    if !bounds.reads_terms {
        return Vec::new();
    }
    let mut findings = Vec::new();
    for (engine, leavings) in &records.leavings {
        for leaving in leavings {
            findings.extend(late_arrival(records, engine, *leaving));
        }
    }
    findings
}

/// Checks that upstreams whose entries are marked as draining receive nothing some time later from
/// undisturbed boxes while the store was available.
pub(super) fn entry_kept(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (engine, leavings) in &records.entry_leavings {
        for leaving in leavings {
            findings.extend(late_by_entry(records, engine, *leaving, bounds));
        }
    }
    findings
}

/// Returns a finding for the first request that arrived too long after an upstream's entry changed.
fn late_by_entry(
    records: &Records,
    engine: &str,
    leaving: Leaving,
    bounds: &Bounds,
) -> Option<Finding> {
    let in_touch_since = leaving.since.saturating_sub(bounds.contact);
    let late = records.attempts.values().filter_map(|attempt| {
        let arrived = arrivals_at(attempt, engine).find(|it| *it < leaving.until)?;
        let after = attempt.sent.checked_sub(leaving.since).filter(|it| *it > DRAIN)?;
        let is_excused = records.is_disturbed(attempt.node, in_touch_since, arrived)
            || records.is_store_disturbed(leaving.since, arrived);
        (!is_excused).then_some((arrived, after))
    });
    let (at, after) = late.min()?;
    let what = format!(
        "{engine} got a request sent {} ms after its entry said that it leaves",
        after / MILLISECOND
    );
    Some(finding(Promise::EntryKept, at, what))
}

/// Returns a finding for the first request that arrived too long after its box learned of a
/// shutdown.
fn late_arrival(records: &Records, engine: &str, leaving: Leaving) -> Option<Finding> {
    let attempts = || records.attempts.values();
    let passed_on = attempts().filter_map(|it| Some((it.node, passed_on_at(it, engine, leaving)?)));
    let told: Vec<(usize, Micros)> = passed_on.collect();
    let late = attempts().filter_map(|attempt| {
        let arrived = arrivals_at(attempt, engine).find(|it| *it < leaving.until)?;
        let of_box = told.iter().filter(|it| it.0 == attempt.node).map(|it| it.1);
        let first =
            of_box.filter(|it| !records.is_interrupted(attempt.node, *it, arrived)).min()?;
        let after = attempt.sent.saturating_sub(first);
        (after > DRAIN).then_some((arrived, after))
    });
    let (at, after) = late.min()?;
    let after = after / MILLISECOND;
    let what = format!(
        "{engine} got a request sent {after} ms after its box had passed on that it leaves"
    );
    Some(finding(Promise::LeavingKept, at, what))
}

/// Returns when a client received an answer in which its upstream announced its shutdown.
fn passed_on_at(attempt: &Attempt, engine: &str, leaving: Leaving) -> Option<Micros> {
    let answer = attempt.answer.as_ref()?;
    let is_own = answer.status == 200 && answer.stamp.as_deref() == Some(engine);
    let mut runs = attempt.runs.iter().filter(|it| it.engine == engine && !it.is_reading);
    let says = runs.any(|it| it.began >= leaving.since && it.began < leaving.until);
    (is_own && says).then_some(answer.at)
}

/// Returns when an attempt arrived at an upstream, whether it ran or was rejected.
fn arrivals_at<'a>(attempt: &'a Attempt, engine: &'a str) -> impl Iterator<Item = Micros> + 'a {
    let runs = attempt.runs.iter().filter(move |it| it.engine == engine).map(|it| it.began);
    let rejections = attempt.rejections.iter().zip(&attempt.rejected_by);
    runs.chain(rejections.filter(move |(_, by)| **by == engine).map(|(&at, _)| at))
}

/// Checks that upstreams receive few requests from a box that they asked to back off, if it was not
/// disturbed since.
pub(super) fn rest_kept(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    if !bounds.reads_terms {
        return Vec::new();
    }
    records.rests.iter().filter_map(|rest| check_rest(records, rest)).collect()
}

/// Checks one back-off. An upstream that stood still may answer on connections that the box has lost, so
/// that the box doesn't learn of it.
fn check_rest(records: &Records, rest: &Rest) -> Option<Finding> {
    let asked = records.attempts.get(&rest.attempt)?;
    if records.may_lose_connections(asked.node, asked.sent, rest.at) {
        return None;
    }
    let continued = continued_at(asked, rest)?;
    // A later incarnation under the id has asked for nothing.
    let mut ends = records.engine_ends.get(&rest.engine).into_iter().flatten();
    let ended = ends.find(|it| **it > rest.at);
    let until = (rest.at + rest.span).min(ended.copied().unwrap_or(Micros::MAX));
    let from = continued + COUNTS_AFTER;
    let of_box = records.attempts.values().filter(|it| it.node == asked.node);
    let mut arrivals: Vec<_> = of_box
        .flat_map(|it| arrivals_at(it, &rest.engine))
        .filter(|it| *it >= from && *it < until)
        .filter(|it| !records.is_disturbed(asked.node, rest.at, *it))
        .collect();
    arrivals.sort_unstable();
    let third = *arrivals.get(MAX_WHILE_BACKING_OFF)?;
    let (engine, span, count) = (&rest.engine, rest.span / MILLISECOND, arrivals.len());
    let what = format!("{engine} had asked box {} for {span} ms and got {count}", asked.node);
    Some(finding(Promise::RestKept, third, what))
}

/// Returns when a box continued with a rejected attempt, which shows that it received the rejection.
/// An attempt that had ended before does not: its upstream answered a closed connection.
fn continued_at(attempt: &Attempt, rest: &Rest) -> Option<Micros> {
    let answered = attempt.answer.as_ref().map(|it| it.at);
    let has_ended = [answered, attempt.cut, attempt.left].iter().flatten().any(|it| *it < rest.at);
    let by_engine = attempt.rejections.iter().zip(&attempt.rejected_by);
    // The rejection itself is observed right after the request to back off.
    let own = by_engine.filter(|(at, by)| **at >= rest.at && **by == rest.engine).map(|it| *it.0);
    let rejected = own.min().unwrap_or(rest.at);
    let runs = attempt.runs.iter().map(|it| it.began);
    let rejections = attempt.rejections.iter().copied();
    let next = runs.chain(rejections).chain(answered).filter(|it| *it > rejected).min()?;
    (!has_ended && next < rejected + CONTINUES_WITHIN).then_some(next)
}
