//! Writes of a lease whose answers are lost, and that take effect late or not at all.

use std::time::Duration;

use hollyspoke::lease::{Lease, Terms};
use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;

/// Gives a lease an answer; gives the operation that follows, if one does.
fn answer(lease: &mut Lease, now: Time, answer: &Answer) -> Option<Operation> {
    let mut begun = None;
    lease.answer(now, 1, answer, |it| {
        begun = Some(it);
        1
    });
    begun
}

/// Has a lease look; gives the operation that follows, if one does.
fn tick(lease: &mut Lease, now: Time) -> Option<Operation> {
    let mut begun = None;
    lease.tick(now, true, |it| {
        begun = Some(it);
        1
    });
    begun
}

/// A renewal without an answer was taken for done as soon as the store still named the holder, though
/// its old version stood, which others had seen standing for long: two held the lease.
#[test]
fn a_renewal_under_way_is_not_held() {
    let begun = Time::from_millis(1000);
    let mut lease = Lease::new(begun, "stages".to_owned(), "me".to_owned(), Terms::default());
    let own = |version| Answer::Found { version, value: "me".to_owned() };
    assert!(tick(&mut lease, begun).is_some());
    assert!(answer(&mut lease, begun, &Answer::Absent).is_some());
    answer(&mut lease, begun, &Answer::Written { version: 1 });
    let held = lease.held(begun).expect("it was written");

    let renewed = begun + Duration::from_secs(3);
    tick(&mut lease, renewed);
    answer(&mut lease, renewed, &own(1));
    answer(&mut lease, renewed, &Answer::Away);
    let again = renewed + Duration::from_secs(1);
    tick(&mut lease, again);
    assert!(matches!(answer(&mut lease, again, &own(1)), Some(Operation::Put { .. })));
    assert_eq!(lease.held(again), Some(held), "the old version proves nothing");

    answer(&mut lease, again, &Answer::Conflict);
    let seen = again + Duration::from_secs(1);
    tick(&mut lease, seen);
    answer(&mut lease, seen, &own(2));
    let until = lease.held(seen).expect("the renewal has taken effect").until;
    assert_eq!(until, renewed + held.until.since(begun));
}
