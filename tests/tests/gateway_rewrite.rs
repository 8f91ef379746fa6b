//! What the boxes themselves have written is written again after the store came back from an older
//! copy, by a few of them.

use std::time::Duration;

use hollyspoke_gateway::gateway::CASES;
use hollyspoke_tests::crashes::Harmful;
use hollyspoke_tests::fleet::{Fleet, Store};

/// The request that crashes engines.
const HARMFUL: Harmful =
    Harmful { route: "resumed", every: Duration::from_millis(500), crashes_on_prefill: false };

/// Makes boxes that know the store's era, and hold a harmful request back; gives them with a copy of
/// the store from before.
fn holding(boxes: usize) -> (Fleet, Store) {
    let mut fleet = Fleet::new(boxes, 5);
    fleet.store.revision.era = 1;
    fleet.run(Duration::from_secs(8));
    let copy = fleet.store.clone();
    fleet.harmful = Some(HARMFUL);
    fleet.run(Duration::from_secs(20));
    let cases = fleet.store.value(CASES, "requests").expect("the request is held back");
    assert!(cases.len() > 2, "{cases}");
    (fleet, copy)
}

/// Requests that are held back stay so, though all boxes are lost some seconds after the return.
#[test]
fn held_requests_outlive_the_copy() {
    let (mut fleet, copy) = holding(6);
    let known = fleet.store.value(CASES, "requests").map(str::to_owned);
    let caused = fleet.crashes.harmful_crashes.len();
    fleet.store.restore(&copy);
    assert_ne!(fleet.store.value(CASES, "requests"), known.as_deref());
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.store.value(CASES, "requests"), known.as_deref());
    fleet.restart(0..6);
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.crashes.harmful_crashes.len(), caused);
}

/// How many boxes live is written again.
#[test]
fn the_number_of_boxes_is_written_again() {
    let mut fleet = Fleet::new(6, 5);
    fleet.store.revision.era = 1;
    let copy = fleet.store.clone();
    fleet.run(Duration::from_secs(8));
    assert_eq!(fleet.store.value("census", "boxes"), Some("6"));
    fleet.store.restore(&copy);
    assert_eq!(fleet.store.value("census", "boxes"), None);
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.store.value("census", "boxes"), Some("6"));
}

/// The calls that follow a return are those of the boxes that follow the store: lists of three kinds,
/// the number of boxes and the held requests.
#[test]
fn a_return_costs_few_calls() {
    for boxes in [6, 30] {
        let mut fleet = Fleet::new(boxes, 5);
        fleet.store.revision.era = 1;
        let copy = fleet.store.clone();
        fleet.run(Duration::from_secs(6));
        fleet.store.restore(&copy);
        let before = fleet.store.calls;
        fleet.run(Duration::from_secs(5));
        let calls = fleet.store.calls - before;
        assert!(calls <= 20, "{boxes} boxes: {calls} calls in five seconds");
    }
}
