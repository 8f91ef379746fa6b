//! Checks that boxes do not end requests because their upstreams are silent.

use super::harm::Cause;
use super::records::{Attempt, End, READS_WITHIN, Records, Run};
use super::{Bounds, Finding, Promise, finding};
use crate::layout::{GAP_TARGET_MS, TARGET_LATENCY_MS};
use crate::observation::{BoxChange, Kind, MILLISECOND, Micros, RunEnd, SECOND};

/// The minimum time for which a client waits for the next byte.
const MIN_PATIENCE: Micros = 2 * SECOND;

/// The latency objectives for which a client waits for the next byte.
const PATIENCE_OBJECTIVES: u64 = 4;

/// The maximum pauses between events for which a client waits for the next byte.
const PATIENCE_GAPS: u64 = 8;

/// The margin on times, for a loaded machine.
const MARGIN: Micros = 300 * MILLISECOND;

/// The faults that end or hold connections between clients, boxes and upstreams.
const LINK_FAULTS: [&str; 3] = ["ResetLinks", "MuteLinks", "HoldLinks"];

/// Checks that no request is ended by its box while its upstream stands still and goes on later,
/// unless another run has replaced the silent one, the client's patience or deadline is nearly over,
/// the grace period of a planned stop is nearly over, or the box or connections failed meanwhile.
/// Boxes that do not reach the store or each other are not excused.
pub(super) fn cuts_nothing(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let attempts = records.attempts.values().filter(|_| bounds.keeps_silent);
    let attempts = attempts.filter(|it| it.kind != Kind::Probe && Cause::of(&it.path).is_none());
    attempts.filter_map(|it| check(records, it, bounds)).collect()
}

/// Checks one attempt.
fn check(records: &Records, attempt: &Attempt, bounds: &Bounds) -> Option<Finding> {
    let ended = ended_by_box(attempt)?;
    if ended + MARGIN >= attempt.deadline
        || has_failed(records, attempt.node, attempt.sent, ended)
        || records.has_fault(&LINK_FAULTS, attempt.sent, ended)
        || is_at_end_of_grace(records, attempt.node, ended, bounds)
    {
        return None;
    }
    let (run, still) = attempt.runs.iter().find_map(|run| {
        let still = silence_of(records, run)?;
        let is_ended = is_ended_in(run.end?, still, ended);
        let is_replaced = attempt.runs.iter().any(|it| replaces(it, run, still.0, attempt, ended));
        let is_early = ended + MARGIN < heard_until(attempt, run, still) + patience();
        (is_ended && !is_replaced && is_early).then_some((run, still))
    })?;
    let what = format!(
        "{} was ended after {} ms, though {} only stood still for {} ms",
        attempt.id,
        ended.saturating_sub(attempt.sent) / MILLISECOND,
        run.engine,
        (still.1 - still.0) / MILLISECOND,
    );
    Some(finding(Promise::SilenceCutsNothing, ended, what))
}

/// Returns how long a client waits for the next byte.
fn patience() -> Micros {
    let objectives = PATIENCE_OBJECTIVES * TARGET_LATENCY_MS * MILLISECOND;
    let gaps = PATIENCE_GAPS * GAP_TARGET_MS * MILLISECOND;
    MIN_PATIENCE.max(objectives).max(gaps)
}

/// Returns when a box cut off an attempt, or answered it with a failure of its own; also with one that
/// a newer configuration demands, since a call that is silent is kept until its upstream goes on.
fn ended_by_box(attempt: &Attempt) -> Option<Micros> {
    let failure = attempt.answer.as_ref().filter(|it| it.status >= 400 && it.stamp.is_none());
    attempt.cut.or(failure.map(|it| it.at))
}

/// Returns whether a box was killed, paused, resumed or started in an interval.
fn has_failed(records: &Records, node: usize, from: Micros, until: Micros) -> bool {
    let mut changes = records.nodes.get(&node).into_iter().flatten();
    changes.any(|&(at, change)| {
        let is_failure = match change {
            BoxChange::Killed | BoxChange::Paused | BoxChange::Resumed | BoxChange::Started => true,
            BoxChange::Terminated | BoxChange::Disturbed | BoxChange::Ended => false,
        };
        is_failure && at >= from && at <= until
    })
}

/// Returns whether a planned stop of a box has used most of its grace period.
fn is_at_end_of_grace(records: &Records, node: usize, at: Micros, bounds: &Bounds) -> bool {
    let mut changes = records.nodes.get(&node).into_iter().flatten();
    let latest = bounds.grace * 5 / 6;
    let until = bounds.grace + SECOND;
    changes.any(|&(stopped, change)| {
        let is_stop = change == BoxChange::Terminated;
        is_stop && stopped + latest <= at && at <= stopped + until
    })
}

/// Returns the time in which a run's upstream stood still, if it did so during the run or while the
/// request waited to be read.
fn silence_of(records: &Records, run: &Run) -> Option<(Micros, Micros)> {
    let mut stills = records.stand_stills.get(&run.engine)?.iter();
    let end = run.end?.at;
    stills.find(|it| run.began <= it.1 + READS_WITHIN && end >= it.0).copied()
}

/// Returns whether the box ended a run during a silence, or the whole attempt while the run was
/// open. The upstream records it after it has resumed.
fn is_ended_in(end: End, (from, until): (Micros, Micros), ended: Micros) -> bool {
    let resumed = until + READS_WITHIN;
    let is_dropped = end.how == RunEnd::Dropped && end.at <= resumed;
    let is_outlasted = end.how != RunEnd::Broken && end.at > ended && ended <= resumed;
    ended >= from && (is_dropped || is_outlasted)
}

/// Returns whether a run had replaced another one, which was silent from a time on, when the attempt
/// was ended: by an event, by a whole answer or, for a prefill, by reading the prompt to its end.
fn replaces(run: &Run, silent: &Run, from: Micros, attempt: &Attempt, ended: Micros) -> bool {
    let since = from.min(silent.began);
    let Some(end) = run.end.filter(|it| !std::ptr::eq(run, silent) && it.at > since) else {
        return false;
    };
    match end.how {
        RunEnd::Whole => end.at <= ended + MARGIN && (silent.is_reading || !run.is_reading),
        RunEnd::Dropped | RunEnd::Broken | RunEnd::Moved => end.last_event > attempt.after,
    }
}

/// Returns until when the client has surely heard from its stream.
fn heard_until(attempt: &Attempt, run: &Run, still: (Micros, Micros)) -> Micros {
    // The last event may have been written after the silence.
    let has_spoken = run.end.is_some_and(|it| it.last_event > attempt.after + 1);
    if has_spoken { attempt.sent.max(still.0) } else { attempt.sent }
}
