//! The deadlines by which clients that return after a refusal are recognised.

use std::time::Duration;

use hollyspoke_gateway::deadline::Frequent;

/// The deadline of first tries.
const FIRST: Duration = Duration::from_millis(1500);

/// Returns what is left of the deadline at the given return.
fn left(number: u64) -> Duration {
    FIRST - Duration::from_millis(200 + number % 1100)
}

/// A single request with a longer deadline made all others pass for returns.
#[test]
fn longer_deadline_sent_once() {
    let mut frequent = Frequent::default();
    for number in 0..200 {
        let deadline = if number == 20 { Duration::from_secs(4) } else { FIRST };
        assert!(!frequent.is_remainder(deadline), "request {number}");
        frequent.record(deadline);
    }
    assert!(frequent.is_remainder(left(0)));
}

/// Where two kinds of requests share a route, those with the shorter deadline passed for returns.
#[test]
fn two_usual_deadlines() {
    let mut frequent = Frequent::default();
    for _ in 0..10 {
        frequent.record(FIRST);
        frequent.record(Duration::from_secs(4));
    }
    assert!(!frequent.is_remainder(FIRST));
    assert!(frequent.is_remainder(left(0)));
}

/// While most requests were returns, nobody knew any more what a first try is.
#[test]
fn returns_outnumber_first_tries() {
    let mut frequent = Frequent::default();
    for number in 0..3000 {
        let is_first = number % 4 == 0;
        let deadline = if is_first { FIRST } else { left(number * 7) };
        if number > 100 {
            assert_eq!(frequent.is_remainder(deadline), !is_first, "request {number}");
        }
        frequent.record(deadline);
    }
}

/// After a change of clients' deadlines, all requests passed for returns.
#[test]
fn shorter_deadline_from_now_on() {
    let mut frequent = Frequent::default();
    (0..1000).for_each(|_| frequent.record(Duration::from_secs(4)));
    (0..3).for_each(|_| frequent.record(FIRST));
    assert!(!frequent.is_remainder(FIRST));
}
