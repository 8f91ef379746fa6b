//! The limits that a box reads from the answers of engines.

use hollyspoke::time::Time;
use hollyspoke_gateway::engine::Engine;
use hollyspoke_gateway::rate_limit::{Change, MAX_RATE_PER_S, MIN_RATE_PER_S, Reported, Table};
use hollyspoke_tests::gateway::{PLAIN, engine};

/// Returns a time from milliseconds.
fn at(time_ms: u64) -> Time {
    Time::from_millis(time_ms)
}

/// Returns the engine that answers.
fn limited_engine() -> Engine {
    engine(1, PLAIN, None)
}

/// Applies an answer that may lift the limit, with the times at which its call was sent and answered.
fn apply_answer(
    table: &mut Table,
    reported: Reported,
    sent_ms: u64,
    now_ms: u64,
) -> Option<Change> {
    table.apply_report(&limited_engine(), reported, at(sent_ms), true, at(now_ms))
}

/// Returns the known limit of the engine.
fn rate(table: &Table) -> Option<f64> {
    table.of(limited_engine().key).map(|it| it.rate)
}

#[test]
fn limit_change_missed() {
    let mut table = Table::default();
    assert_eq!(apply_answer(&mut table, Reported::Nothing, 0, 10), None);
    assert_eq!(apply_answer(&mut table, Reported::Rate(3.5), 0, 20), Some(Change::Set(3.5, 3.5)));
    assert_eq!(apply_answer(&mut table, Reported::Rate(3.5), 0, 30), None);
    assert_eq!(apply_answer(&mut table, Reported::Rate(2.0), 25, 40), Some(Change::Set(2.0, 2.0)));
    assert_eq!(rate(&table), Some(2.0));
    assert_eq!(apply_answer(&mut table, Reported::Nothing, 41, 50), Some(Change::Lifted));
    assert!(table.is_empty());
}

/// An answer without a limit lifts nothing if its call was sent before the limit was known.
#[test]
fn limit_lifted_early() {
    let mut table = Table::default();
    apply_answer(&mut table, Reported::Rate(3.5), 10, 20);
    assert_eq!(apply_answer(&mut table, Reported::Nothing, 19, 40), None);
    assert_eq!(rate(&table), Some(3.5));
    // The limit is named again: a call that was sent before the second answer does not lift it.
    apply_answer(&mut table, Reported::Rate(3.5), 30, 45);
    assert_eq!(apply_answer(&mut table, Reported::Nothing, 44, 50), None);
    assert_eq!(apply_answer(&mut table, Reported::Nothing, 46, 60), Some(Change::Lifted));
}

#[test]
fn limit_lifted_by_failure() {
    let mut table = Table::default();
    apply_answer(&mut table, Reported::Rate(3.5), 10, 20);
    assert_eq!(
        table.apply_report(&limited_engine(), Reported::Nothing, at(30), false, at(40)),
        None
    );
    assert_eq!(rate(&table), Some(3.5));
}

#[test]
fn limit_survives_restart() {
    let mut table = Table::default();
    apply_answer(&mut table, Reported::Rate(3.5), 10, 20);
    table.forget(limited_engine().key);
    assert!(table.is_empty());
}

/// An engine with a limit of zero or less still gets a request at times, so that a box learns when it
/// accepts requests again.
#[test]
fn zero_limit_never_probed() {
    for reported in [0.0, -3.0, 0.001] {
        let mut table = Table::default();
        let change = apply_answer(&mut table, Reported::Rate(reported), 0, 10);
        assert_eq!(change, Some(Change::Set(reported, MIN_RATE_PER_S)));
    }
}

/// A rate above the maximum is no limit.
#[test]
fn huge_limit_kept() {
    let mut table = Table::default();
    assert_eq!(apply_answer(&mut table, Reported::Rate(MAX_RATE_PER_S * 2.0), 0, 10), None);
    assert!(table.is_empty());
    apply_answer(&mut table, Reported::Rate(3.0), 0, 20);
    assert_eq!(apply_answer(&mut table, Reported::Rate(1e300), 0, 30), Some(Change::Lifted));
}

/// A value that is not a number neither sets nor lifts a limit, and is reported once.
#[test]
fn unreadable_limit_applied() {
    for reported in [Reported::Unreadable, Reported::Rate(f64::NAN), Reported::Rate(f64::INFINITY)]
    {
        let mut table = Table::default();
        assert_eq!(apply_answer(&mut table, reported, 0, 10), Some(Change::Unreadable));
        assert_eq!(apply_answer(&mut table, reported, 0, 20), None);
        assert!(table.is_empty());
        apply_answer(&mut table, Reported::Rate(3.0), 0, 30);
        apply_answer(&mut table, reported, 0, 40);
        assert_eq!(rate(&table), Some(3.0));
    }
}
