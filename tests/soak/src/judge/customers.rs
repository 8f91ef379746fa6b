//! Checks the promises about customers' keys, names and limits.

use super::records::{Attempt, Records};
use super::{Bounds, Finding, Promise, finding};
use crate::keys::{HELD_FOR, LIMIT, TOLERANCE};
use crate::observation::Micros;

/// The status of a request with an unknown key.
const UNAUTHORIZED: u16 = 401;

/// The status of a request that exceeds its customer's limit.
const OVER_LIMIT: u16 = 429;

/// Checks that no request runs with a key that no version contains, or that was removed.
pub(super) fn known_key(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for attempt in records.attempts.values() {
        let Some(run) = attempt.runs.first() else { continue };
        let what = match attempt.caller.key {
            None => "a key that nobody holds".to_owned(),
            Some(key) if is_long_gone(records, attempt, key, bounds) => {
                format!("the key of version {key}, long taken away")
            }
            Some(_) => continue,
        };
        let what = format!("{} ran at {} with {what}", attempt.id, run.engine);
        findings.push(finding(Promise::KnownKey, run.began, what));
    }
    findings
}

/// Returns whether a key had been removed so long before an attempt was sent that its box must have
/// known.
fn is_long_gone(records: &Records, attempt: &Attempt, key: u64, bounds: &Bounds) -> bool {
    let gone = records.versions.iter().filter(|it| it.1 >= key + HELD_FOR).map(|it| it.0).min();
    let is_due = gone.is_some_and(|it| it + bounds.apply_within <= attempt.sent);
    is_due && is_calm(records, attempt, bounds)
}

/// Returns whether neither the box nor the store was disturbed from some time before an attempt was
/// sent until it was answered.
fn is_calm(records: &Records, attempt: &Attempt, bounds: &Bounds) -> bool {
    let from = attempt.sent.saturating_sub(bounds.contact + bounds.apply_within);
    let until = attempt.answer.as_ref().map_or(attempt.sent, |it| it.at);
    !records.is_disturbed(attempt.node, from, until) && !records.is_store_disturbed(from, until)
}

/// Checks that a key is accepted if all versions contain it that may be in force.
pub(super) fn key_accepted(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let refused = records.attempts.values().filter_map(|attempt| {
        let answer = attempt.answer.as_ref().filter(|it| it.status == UNAUTHORIZED)?;
        let acknowledged = |until: Micros| {
            let seen = records.versions.iter().filter(move |it| it.0 <= until);
            seen.map(|it| it.1).max().unwrap_or(0)
        };
        let oldest = acknowledged(attempt.sent.saturating_sub(bounds.apply_within));
        let newest = acknowledged(answer.at);
        let is_held = (oldest..=newest).all(|it| attempt.caller.is_held_by(it));
        let is_wrong = is_held && is_calm(records, attempt, bounds);
        let what = format!("{}: box {} refused a known key", attempt.id, attempt.node);
        is_wrong.then(|| finding(Promise::KeyAccepted, answer.at, what))
    });
    refused.collect()
}

/// Checks that keys are known only to clients, boxes and the store.
pub(super) fn key_hidden(records: &Records, _: &Bounds) -> Vec<Finding> {
    let runs = records.attempts.values().flat_map(|it| &it.runs).filter(|it| it.has_key);
    let at_upstreams = runs.map(|it| (it.began, it.engine.clone()));
    let found = at_upstreams.chain(records.keys_found.iter().cloned());
    found
        .map(|(at, place)| finding(Promise::KeyHidden, at, format!("a key came to {place}")))
        .collect()
}

/// Checks that upstreams receive the name of the customer that sent the request.
pub(super) fn right_customer(records: &Records, _: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for attempt in records.attempts.values() {
        let customer = Some(attempt.caller.customer.as_str());
        let other = attempt.runs.iter().find(|it| it.customer.as_deref() != customer);
        if let Some(run) = other {
            let what = format!("{} ran for {:?}, not {customer:?}", attempt.id, run.customer);
            findings.push(finding(Promise::RightCustomer, run.began, what));
        }
    }
    findings
}

/// Checks that the usage of the limited customer stays within its limit in each window.
pub(super) fn within_limit(records: &Records, _: &Bounds) -> Vec<Finding> {
    let limited = records.attempts.values().filter(|it| it.caller.is_limited());
    let mut runs: Vec<(Micros, u64)> = limited
        .filter_map(|it| {
            let run = it.runs.iter().find(|it| !it.is_reading)?;
            Some((run.began, it.caller.units))
        })
        .collect();
    runs.sort_unstable();
    let window = TOLERANCE.window.as_micros() as Micros;
    let whole = LIMIT.rate * TOLERANCE.window.as_secs_f64() + LIMIT.burst;
    let allowed = whole * (1.0 + TOLERANCE.overrun) + TOLERANCE.slack;
    let (mut sum, mut first) = (0, 0);
    for &(at, units) in &runs {
        sum += units;
        while runs[first].0 + window < at {
            sum -= runs[first].1;
            first += 1;
        }
        if sum as f64 > allowed {
            let what = format!("{sum} units in a window where {allowed:.0} are allowed");
            return vec![finding(Promise::WithinLimit, at, what)];
        }
    }
    Vec::new()
}

/// Checks that customers without a limit are not rejected as over limit.
pub(super) fn limited_only(records: &Records, _: &Bounds) -> Vec<Finding> {
    let free = records.attempts.values().filter(|it| !it.caller.is_limited());
    free.filter_map(|attempt| {
        let answer = attempt.answer.as_ref().filter(|it| it.status == OVER_LIMIT)?;
        let what = format!("{} of {} was refused by a limit", attempt.id, attempt.caller.customer);
        Some(finding(Promise::LimitedOnly, answer.at, what))
    })
    .collect()
}
