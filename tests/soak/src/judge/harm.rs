//! Checks that requests that crash their upstreams are quarantined.

use std::collections::BTreeMap;

use super::records::{Attempt, Records, Run};
use super::{Bounds, Finding, Promise, finding};
use crate::observation::{MILLISECOND, Micros, SECOND};
use crate::standin::engine::HARMFUL;

/// The number of crashes after which a request must be quarantined.
const CRASHES: usize = 3;

/// How many runs of a request may still begin after that.
const LATE_RUNS: usize = 3;

/// How long an upstream still runs after it began a harmful request, with a margin. Runs that begin
/// there in this time count as one crash.
const ONE_CRASH: Micros = 200 * MILLISECOND;

/// The margin for a loaded machine.
const MARGIN: Micros = SECOND;

/// Checks that a request that has crashed three upstreams is sent to few more by boxes that were
/// undisturbed and could reach the store.
pub(super) fn held_back(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut harmful: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in records.attempts.values().filter(|it| it.path.ends_with(HARMFUL)) {
        harmful.entry(&attempt.path).or_default().push(attempt);
    }
    harmful
        .into_iter()
        .filter_map(|(path, attempts)| check(path, &attempts, records, bounds))
        .collect()
}

/// Checks all attempts of one harmful request.
fn check(path: &str, attempts: &[&Attempt], records: &Records, bounds: &Bounds) -> Option<Finding> {
    let third = third_crash(attempts)?;
    let is_late = |attempt: &&Attempt, run: &Run| {
        let from = run.began.saturating_sub(bounds.contact + MARGIN);
        let is_excused = records.is_disturbed(attempt.node, from, run.began)
            || records.is_store_disturbed(from, run.began);
        run.began > third + bounds.contact + MARGIN && !is_excused
    };
    let mut late: Vec<Micros> = attempts
        .iter()
        .flat_map(|it| it.runs.iter().filter(move |run| is_late(it, run)))
        .map(|it| it.began)
        .collect();
    late.sort_unstable();
    let first_beyond = late.get(LATE_RUNS)?;
    let what = format!("{path} came to upstreams {} times after its third crash", late.len());
    Some(finding(Promise::HarmHeldBack, *first_beyond, what))
}

/// Returns the time of a request's third crash.
fn third_crash(attempts: &[&Attempt]) -> Option<Micros> {
    let runs = attempts.iter().flat_map(|it| &it.runs).filter(|it| !it.is_reading);
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
    crashes.get(CRASHES - 1).copied()
}
