//! Checks that requests, and parts of prompts, that crash their upstreams are quarantined.

use std::collections::BTreeMap;

use super::records::{Attempt, Records, Run};
use super::{Bounds, Finding, Promise, finding};
use crate::observation::{MILLISECOND, Micros, SECOND};
use crate::standin::engine::{HARMFUL, WITH_HARMFUL_PART};

/// How many runs may still begin after the quarantine.
const LATE_RUNS: usize = 3;

/// How long an upstream still runs after it began a harmful request, with a margin. Runs that begin
/// there in this time count as one crash.
const ONE_CRASH: Micros = 200 * MILLISECOND;

/// The margin for a loaded machine.
const MARGIN: Micros = SECOND;

/// The status of a request in quarantine.
const HELD: u16 = 400;

/// What crashes the upstreams of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Cause<'a> {
    /// The request itself, known by its path.
    Request(&'a str),
    /// A part of its prompt.
    Part,
}

impl Cause<'_> {
    /// Returns the cause of the crashes under requests with a path, if they are harmful.
    pub(super) fn of(path: &str) -> Option<Cause<'_>> {
        if path.contains(WITH_HARMFUL_PART) {
            return Some(Cause::Part);
        }
        path.ends_with(HARMFUL).then_some(Cause::Request(path))
    }

    /// Returns the number of crashes after which it must be quarantined.
    fn crashes(self) -> usize {
        match self {
            Cause::Request(_) => 3,
            Cause::Part => 5,
        }
    }

    /// Creates a finding about runs after that.
    fn finding(self, at: Micros, runs: usize) -> Finding {
        let (promise, what) = match self {
            Cause::Request(path) => {
                let what = format!("{path} came to upstreams {runs} times after its third crash");
                (Promise::HarmHeldBack, what)
            }
            Cause::Part => {
                let what =
                    format!("a harmful part came to upstreams {runs} times after its fifth crash");
                (Promise::PartHeldBack, what)
            }
        };
        finding(promise, at, what)
    }
}

/// Checks that what has crashed some upstreams is sent to few more by boxes that were undisturbed and
/// could reach the store.
pub(super) fn held_back(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut harmful: BTreeMap<Cause<'_>, Vec<&Attempt>> = BTreeMap::new();
    for attempt in records.attempts.values() {
        if let Some(cause) = Cause::of(&attempt.path) {
            harmful.entry(cause).or_default().push(attempt);
        }
    }
    harmful
        .into_iter()
        .filter_map(|(cause, attempts)| check(cause, &attempts, records, bounds))
        .collect()
}

/// Checks that no stream without a harmful part is refused as one in quarantine.
pub(super) fn others_accepted(records: &Records, _: &Bounds) -> Vec<Finding> {
    let attempts = records.attempts.values().filter(|it| it.kind.is_stream());
    let others = attempts.filter(|it| Cause::of(&it.path).is_none());
    let refused = others.filter_map(|attempt| {
        let answer = attempt.answer.as_ref().filter(|it| it.status == HELD)?;
        let what = format!("{} was refused with {HELD}, without a harmful part", attempt.id);
        Some(finding(Promise::PartHeldBack, answer.at, what))
    });
    refused.collect()
}

/// Checks all attempts with one cause of crashes.
fn check(
    cause: Cause<'_>,
    attempts: &[&Attempt],
    records: &Records,
    bounds: &Bounds,
) -> Option<Finding> {
    // Boxes of an older version send requests with a harmful part on, and report no crashes.
    let since = if cause == Cause::Part { records.last_replaced() } else { 0 };
    let known = nth_crash(attempts, cause.crashes(), since)?;
    let is_late = |attempt: &&Attempt, run: &Run| {
        let from = run.began.saturating_sub(bounds.contact + MARGIN);
        let is_excused = records.is_disturbed(attempt.node, from, run.began)
            || records.is_store_disturbed(from, run.began);
        run.began > known + bounds.contact + MARGIN && !is_excused
    };
    let mut late: Vec<Micros> = attempts
        .iter()
        .flat_map(|it| it.runs.iter().filter(move |run| is_late(it, run)))
        .map(|it| it.began)
        .collect();
    late.sort_unstable();
    let first_beyond = late.get(LATE_RUNS)?;
    Some(cause.finding(*first_beyond, late.len()))
}

/// Returns the time of a crash, counted from one, of those since a time.
fn nth_crash(attempts: &[&Attempt], number: usize, since: Micros) -> Option<Micros> {
    let runs = attempts.iter().flat_map(|it| &it.runs);
    let runs = runs.filter(|it| !it.is_reading && it.began >= since);
    let mut runs: Vec<(Micros, &str)> = runs.map(|it| (it.began, it.engine.as_str())).collect();
    runs.sort_unstable();
    let mut last: BTreeMap<&str, Micros> = BTreeMap::new();
    let mut crashes = Vec::new();
    for (began, engine) in runs {
        if last.get(engine).is_none_or(|it| began > it + ONE_CRASH) {
            last.insert(engine, began);
            crashes.push(began);
        }
    }
    crashes.get(number - 1).copied()
}
