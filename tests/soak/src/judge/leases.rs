//! Checks of reservations and of copies of streams' memory.

use std::collections::{BTreeMap, BTreeSet};

use super::records::{Attempt, Copy, Records, Reservation};
use super::{Bounds, Finding, Promise, finding};
use crate::observation::{LeaseEnd, Micros};

/// The minimum number of lapsed reservations or copies for a finding. Some lapse although all work,
/// such as when the request that frees them is lost.
const MIN_LAPSED_COUNT: usize = 3;

/// The faults in which an answer may come after the box has asked another engine, so that the box does
/// not know of the reservation.
const DELAYS: [&str; 6] =
    ["HoldLinks", "ResetLinks", "MuteLinks", "EnginePause", "Crowd", "Deviate"];

/// Checks that no request names a reservation that another one has used or names.
pub(super) fn used_once(records: &Records, _: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, reservation) in &records.reservations {
        let attempts: BTreeSet<_> = reservation.presented.iter().map(|it| &it.1).collect();
        let used = reservation.end.filter(|it| it.1 == LeaseEnd::Used).map(|it| it.0);
        let after = reservation.presented.iter().find(|it| used.is_some_and(|used| it.0 > used));
        let last = reservation.presented.last().filter(|_| attempts.len() > 1);
        if let Some((at, attempt)) = after.or(last) {
            let what = format!("{name} came again with {attempt}");
            findings.push(finding(Promise::ReservedOnce, *at, what));
        }
    }
    findings
}

/// Checks that boxes drop reservations that they don't use, also after the engine has rejected the
/// request. Those made while answers may be late are only counted if a request has named them, which
/// shows that the box knows them.
pub(super) fn reservations_freed(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let is_counted = |it: &&Reservation| {
        let Some((until, _)) = it.end else { return false };
        let from = it.at.saturating_sub(bounds.contact);
        let is_disturbed = records.disruptions_within(from, until);
        let is_known = !it.presented.is_empty() || !records.has_fault(&DELAYS, from, until);
        it.is_answered && is_known && !is_disturbed
    };
    let counted: Vec<_> = records.reservations.values().filter(is_counted).collect();
    let lapsed: Vec<_> = counted
        .iter()
        .filter_map(|it| Some((it.at, it.end.filter(|end| end.1 == LeaseEnd::Lapsed)?.0)))
        .collect();
    let (promise, name) = (Promise::ReservationsFreed, "reservations");
    let ends: Vec<_> = lapsed.iter().map(|it| it.1).collect();
    let findings = too_many(&ends, counted.len(), promise, name);
    if !findings.is_empty() {
        return findings;
    }
    // Without faults no request is lost, so that any share is too much: a box that drops many
    // reservations may keep others.
    let is_quiet =
        |it: &&(Micros, Micros)| records.is_quiet(it.0.saturating_sub(bounds.contact), it.1);
    let quiet: Vec<_> = lapsed.iter().filter(is_quiet).map(|it| it.1).collect();
    too_many(&quiet, quiet.len(), promise, "reservations without faults")
}

/// Checks that boxes free copies that they don't use. Backups lapse by themselves.
pub(super) fn copies_freed(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let is_counted = |it: &&Copy| {
        let Some(attempt) = records.attempts.get(&it.attempt) else { return false };
        let Some(&(until, _)) = it.ends.last() else { return false };
        let from = it.at.saturating_sub(bounds.contact);
        it.is_answered && !records.is_disturbed(attempt.node, from, until)
    };
    let counted: Vec<_> = records.copies.values().filter(is_counted).collect();
    let lapsed: Vec<_> = counted.iter().filter_map(|it| lapse(it)).collect();
    too_many(&lapsed, counted.len(), Promise::CopiesFreed, "copies")
}

/// Returns when a copy lapsed that was neither used nor dropped.
fn lapse(copy: &Copy) -> Option<Micros> {
    let is_freed = copy.ends.iter().any(|it| it.1 != LeaseEnd::Lapsed);
    copy.ends.first().filter(|_| !is_freed).map(|it| it.0)
}

/// Returns a finding if more than a quarter has lapsed.
fn too_many(lapsed: &[Micros], all: usize, promise: Promise, name: &str) -> Vec<Finding> {
    let (Some(at), true) = (lapsed.first(), lapsed.len() * 4 > all) else { return Vec::new() };
    if lapsed.len() < MIN_LAPSED_COUNT {
        return Vec::new();
    }
    let what = format!("{} of {all} {name} lapsed unused", lapsed.len());
    vec![finding(promise, *at, what)]
}

/// Checks that a stream that goes on from a copy no longer runs where it was copied.
pub(super) fn stopped_first(records: &Records, _: &Bounds) -> Vec<Finding> {
    let attempts = records.attempts.values().filter(|it| it.kind.runs_once());
    attempts.flat_map(|it| overlapping_runs(it, records)).collect()
}

/// Returns a finding for each run of an attempt that had not ended when its copy went on.
fn overlapping_runs(attempt: &Attempt, records: &Records) -> Vec<Finding> {
    let runs: Vec<_> = attempt.runs.iter().filter(|it| !it.is_reading).collect();
    let overlaps = runs.windows(2).filter(|pair| {
        let is_moved = pair[1].copy.as_ref().is_some_and(|it| records.copies.contains_key(it));
        is_moved && pair[0].end.as_ref().is_some_and(|it| it.at > pair[1].began)
    });
    overlaps
        .map(|pair| {
            let what = format!("{} still ran at {}", attempt.id, pair[0].engine);
            finding(Promise::RunsOnce, pair[1].began, what)
        })
        .collect()
}

/// Returns the runs of an attempt that are not prefills, without those that go on from a copy of an
/// earlier one. A second run from one copy counts.
pub(super) fn own_runs(attempt: &Attempt) -> Vec<&super::records::Run> {
    let mut copies: BTreeMap<&str, usize> = BTreeMap::new();
    let mut runs = Vec::new();
    let mut has_begun = false;
    for run in attempt.runs.iter().filter(|it| !it.is_reading) {
        let is_first_use = run.copy.as_deref().is_some_and(|copy| {
            let uses = copies.entry(copy).or_default();
            *uses += 1;
            *uses == 1
        });
        if !has_begun || !is_first_use {
            runs.push(run);
        }
        has_begun = true;
    }
    runs
}
