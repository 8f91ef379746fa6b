//! When memory is reserved at an engine, and for how long.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::reservation::{Grant, Memory, Reservation, ttl};
use hollyspoke_tests::gateway::{MEMORY, MODEL, engine};

/// The memory of an engine that is three quarters full, as all boxes know it.
const AMPLE: Memory = Memory {
    capacity: MEMORY,
    held: MEMORY * 3 / 4 - 2000,
    needed: 2000,
    is_contested: false,
    since_rejection: None,
    heard_share: 1.0,
};

#[test]
fn ample_memory_reserved() {
    assert!(!AMPLE.is_short());
    let long_ago = Some(Duration::from_secs(10));
    assert!(!Memory { since_rejection: long_ago, ..AMPLE }.is_short());
}

#[test]
fn full_engine_missed() {
    assert!(Memory { needed: MEMORY / 8, ..AMPLE }.is_short());
    assert!(Memory { held: MEMORY * 9 / 10, ..AMPLE }.is_short());
}

#[test]
fn rejection_and_contest_missed() {
    assert!(Memory { is_contested: true, ..AMPLE }.is_short());
    assert!(Memory { since_rejection: Some(Duration::from_millis(900)), ..AMPLE }.is_short());
}

/// A box that was cut off knew of a tenth of the load and sent prompts to full engines.
#[test]
fn cut_off_box_unaware() {
    let known = Memory { held: MEMORY / 10, ..AMPLE };
    assert!(!known.is_short());
    assert!(Memory { heard_share: 0.1, ..known }.is_short());
}

#[test]
fn ttl_not_allowed() {
    assert_eq!(ttl(Duration::from_secs(2)), Duration::from_millis(500));
    assert_eq!(ttl(Duration::from_millis(80)), Duration::from_millis(80));
}

#[test]
fn expired_grant_used() {
    let reservation = Reservation { engine: engine(21, MODEL, None).into(), id: "r".into() };
    let (asked_at, granted_at) = (Time::from_millis(1000), Time::from_millis(1100));
    let ttl = Duration::from_millis(500);
    let grant = Grant { reservation, tokens: 10, asked_at, granted_at, ttl };
    assert!(grant.is_usable(Time::from_millis(1400)));
    assert!(!grant.is_usable(Time::from_millis(1490)), "the call would arrive too late");
    assert!(grant.may_exist(Time::from_millis(1590)), "it was made at the end of the round trip");
    assert_eq!(grant.duration(Time::from_millis(9000)), ttl);
}
