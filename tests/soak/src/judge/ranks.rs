//! Checks that more urgent customers go before less urgent ones.

use std::collections::BTreeMap;

use super::records::{Attempt, Records};
use super::{Bounds, Finding, Promise, finding};
use crate::keys::rank;
use crate::observation::{Kind, Micros, SECOND};

/// The status by which a box refuses a request for lack of capacity.
const OVERLOADED: u16 = 503;

/// The time within which requests at one box are compared.
const WINDOW: Micros = SECOND / 2;

/// The number of standard deviations that a difference must have to count.
const MIN_DEVIATIONS: f64 = 4.0;

/// The requests of two ranks that were sent to one box in one window.
#[derive(Debug, Clone, Copy, Default)]
struct Stratum {
    /// The more urgent ones.
    urgent: Count,
    /// The less urgent ones.
    other: Count,
}

/// A number of requests.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    /// All of them.
    all: f64,
    /// Those that were refused.
    refused: f64,
}

impl Count {
    /// Counts a request.
    fn add(&mut self, is_refused: bool) {
        self.all += 1.0;
        self.refused += f64::from(u8::from(is_refused));
    }
}

/// Checks that no upstream received a less urgent priority for a more urgent customer than any did for
/// a less urgent one.
pub(super) fn priority_in_order(records: &Records, _: &Bounds) -> Vec<Finding> {
    let mut priorities: BTreeMap<u8, (u8, u8)> = BTreeMap::new();
    let mut findings = Vec::new();
    for attempt in records.attempts.values() {
        for run in &attempt.runs {
            let (Some(priority), rank) = (run.priority, rank(&attempt.caller.customer)) else {
                continue;
            };
            let (least, most) = priorities.entry(rank).or_insert((priority, priority));
            (*least, *most) = (priority.min(*least), priority.max(*most));
            let (least, most) = (*least, *most);
            let is_behind = priorities.range(rank + 1..).any(|it| it.1.0 < most);
            let is_ahead = priorities.range(..rank).any(|it| it.1.1 > least);
            if (is_behind || is_ahead) && findings.is_empty() {
                let what = format!("{} ran for rank {rank} with priority {priority}", run.engine);
                findings.push(finding(Promise::PriorityInOrder, run.began, what));
            }
        }
    }
    findings
}

/// Checks each pair of ranks at each service.
pub(super) fn urgent_first(records: &Records, _: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    let requests = || records.attempts.values().filter(|it| is_compared(it));
    let mut ranks: Vec<u8> = requests().map(|it| rank(&it.caller.customer)).collect();
    ranks.sort_unstable();
    ranks.dedup();
    for is_stream in [false, true] {
        for (index, &urgent) in ranks.iter().enumerate() {
            for &other in &ranks[index + 1..] {
                let of_service = requests().filter(|it| it.kind.is_stream() == is_stream);
                let deviations = excess(of_service, urgent, other);
                if deviations > MIN_DEVIATIONS {
                    let what = format!(
                        "rank {urgent} was refused more often than rank {other}, by {deviations:.1} \
                         standard deviations"
                    );
                    findings.push(finding(Promise::UrgentFirst, records.last, what));
                }
            }
        }
    }
    findings
}

/// Returns whether a request's refusal can be due to its rank: it was answered, and has a known key
/// of a customer without a limit.
fn is_compared(attempt: &Attempt) -> bool {
    let is_known = attempt.caller.key.is_some() && !attempt.caller.is_limited();
    is_known && attempt.kind != Kind::Probe && attempt.answer.is_some()
}

/// Returns by how many standard deviations more of the urgent requests were refused than expected if
/// rank made no difference (Cochran, Mantel and Haenszel). Requests are compared with those at the
/// same box at the same time, since boxes and times differ in how much is refused.
fn excess<'a>(requests: impl Iterator<Item = &'a Attempt>, urgent: u8, other: u8) -> f64 {
    let mut strata: BTreeMap<(usize, Micros), Stratum> = BTreeMap::new();
    for attempt in requests {
        let stratum = strata.entry((attempt.node, attempt.sent / WINDOW)).or_default();
        let is_refused = attempt.answer.as_ref().is_some_and(|it| it.status == OVERLOADED);
        match rank(&attempt.caller.customer) {
            it if it == urgent => stratum.urgent.add(is_refused),
            it if it == other => stratum.other.add(is_refused),
            _ => {}
        }
    }
    let (mut difference, mut variance) = (0.0, 0.0);
    for Stratum { urgent, other } in strata.into_values() {
        let all = urgent.all + other.all;
        let refused = urgent.refused + other.refused;
        if all < 2.0 {
            continue;
        }
        difference += urgent.refused - urgent.all * refused / all;
        variance += urgent.all * other.all * refused * (all - refused) / (all * all * (all - 1.0));
    }
    if variance > 0.0 { difference / variance.sqrt() } else { 0.0 }
}
