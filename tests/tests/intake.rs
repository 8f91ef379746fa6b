//! What is known of the limits that engines name, from their own answers.

use hollyspoke::time::Time;
use hollyspoke_gateway::engine::Engine;
use hollyspoke_gateway::rate_limit::{Change, MAX_RATE_PER_S, MIN_RATE_PER_S, Reported, Table};
use hollyspoke_tests::gateway::{PLAIN, engine};

/// Gives a moment, in milliseconds.
fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Gives the engine that answers.
fn one() -> Engine {
    engine(1, PLAIN, None)
}

/// Learns from an answer that came when its call was sent and may lift.
fn learn(table: &mut Table, told: Reported, sent: u64, now: u64) -> Option<Change> {
    table.apply_report(&one(), told, at(sent), true, at(now))
}

/// Gives the rate that is kept.
fn rate(table: &Table) -> Option<f64> {
    table.of(one().key).map(|it| it.rate)
}

#[test]
fn named_changed_and_lifted() {
    let mut table = Table::default();
    assert_eq!(learn(&mut table, Reported::Nothing, 0, 10), None);
    assert_eq!(learn(&mut table, Reported::Rate(3.5), 0, 20), Some(Change::Set(3.5, 3.5)));
    assert_eq!(learn(&mut table, Reported::Rate(3.5), 0, 30), None);
    assert_eq!(learn(&mut table, Reported::Rate(2.0), 25, 40), Some(Change::Set(2.0, 2.0)));
    assert_eq!(rate(&table), Some(2.0));
    assert_eq!(learn(&mut table, Reported::Nothing, 41, 50), Some(Change::Lifted));
    assert!(table.is_empty());
}

/// An answer without a limit that overtook the naming one, or was on its way, lifts nothing.
#[test]
fn not_lifted_by_what_was_sent_before() {
    let mut table = Table::default();
    learn(&mut table, Reported::Rate(3.5), 10, 20);
    assert_eq!(learn(&mut table, Reported::Nothing, 19, 40), None);
    assert_eq!(rate(&table), Some(3.5));
    // Named once more meanwhile: what was sent after the first naming does not lift the second.
    learn(&mut table, Reported::Rate(3.5), 30, 45);
    assert_eq!(learn(&mut table, Reported::Nothing, 44, 50), None);
    assert_eq!(learn(&mut table, Reported::Nothing, 46, 60), Some(Change::Lifted));
}

#[test]
fn not_lifted_by_failures_and_questions() {
    let mut table = Table::default();
    learn(&mut table, Reported::Rate(3.5), 10, 20);
    assert_eq!(table.apply_report(&one(), Reported::Nothing, at(30), false, at(40)), None);
    assert_eq!(rate(&table), Some(3.5));
}

#[test]
fn new_life_begins_without() {
    let mut table = Table::default();
    learn(&mut table, Reported::Rate(3.5), 10, 20);
    table.forget(one().key);
    assert!(table.is_empty());
}

/// An engine that takes nothing gets a request now and then, so that it is noticed when it takes
/// some again.
#[test]
fn nothing_and_less() {
    for told in [0.0, -3.0, 0.001] {
        let mut table = Table::default();
        let change = learn(&mut table, Reported::Rate(told), 0, 10);
        assert_eq!(change, Some(Change::Set(told, MIN_RATE_PER_S)));
    }
}

/// More than an engine can get is no limit.
#[test]
fn huge() {
    let mut table = Table::default();
    assert_eq!(learn(&mut table, Reported::Rate(MAX_RATE_PER_S * 2.0), 0, 10), None);
    assert!(table.is_empty());
    learn(&mut table, Reported::Rate(3.0), 0, 20);
    assert_eq!(learn(&mut table, Reported::Rate(1e300), 0, 30), Some(Change::Lifted));
}

/// What is no number neither names nor lifts, and is told once.
#[test]
fn no_number() {
    for told in [Reported::Unreadable, Reported::Rate(f64::NAN), Reported::Rate(f64::INFINITY)] {
        let mut table = Table::default();
        assert_eq!(learn(&mut table, told, 0, 10), Some(Change::Unreadable));
        assert_eq!(learn(&mut table, told, 0, 20), None);
        assert!(table.is_empty());
        learn(&mut table, Reported::Rate(3.0), 0, 30);
        learn(&mut table, told, 0, 40);
        assert_eq!(rate(&table), Some(3.0));
    }
}
