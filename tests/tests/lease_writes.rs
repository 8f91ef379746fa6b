//! Writes of a lease whose answers are lost take effect late or not at all.

use std::time::Duration;

use hollyspoke::lease::{Lease, Terms};
use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;

/// Passes an answer to a lease; returns the operation that follows, if any.
fn answer(lease: &mut Lease, now: Time, answer: &Answer) -> Option<Operation> {
    let mut started = None;
    lease.answer(now, 1, answer, |it| {
        started = Some(it);
        1
    });
    started
}

/// Lets a lease check the time; returns the operation that follows, if any.
fn tick(lease: &mut Lease, now: Time) -> Option<Operation> {
    let mut started = None;
    lease.tick(now, true, |it| {
        started = Some(it);
        1
    });
    started
}

/// A renewal has no answer, and the store still names the holder under the old version. If that
/// counts as renewed, another box that has observed the old version expire holds the lease too.
#[test]
fn pending_renewal_extends_lease() {
    let started = Time::from_millis(1000);
    let mut lease = Lease::new(started, "stages".to_owned(), "me".to_owned(), Terms::default());
    let own = |version| Answer::Found { version, value: "me".to_owned() };
    assert!(tick(&mut lease, started).is_some());
    assert!(answer(&mut lease, started, &Answer::Absent).is_some());
    answer(&mut lease, started, &Answer::Written { version: 1 });
    let held = lease.held(started).expect("the lease was written but is not held");

    let renewed = started + Duration::from_secs(3);
    tick(&mut lease, renewed);
    answer(&mut lease, renewed, &own(1));
    answer(&mut lease, renewed, &Answer::Away);
    let retried = renewed + Duration::from_secs(1);
    tick(&mut lease, retried);
    assert!(matches!(answer(&mut lease, retried, &own(1)), Some(Operation::Put { .. })));
    assert_eq!(lease.held(retried), Some(held), "the old version extended the lease");

    answer(&mut lease, retried, &Answer::Conflict);
    let observed = retried + Duration::from_secs(1);
    tick(&mut lease, observed);
    answer(&mut lease, observed, &own(2));
    let until =
        lease.held(observed).expect("the renewal took effect but the lease is not held").until;
    assert_eq!(until, renewed + held.until.since(started));
}
