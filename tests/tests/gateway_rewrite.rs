//! Objects that boxes write are lost when the store is restored from an older copy, unless a few
//! boxes write them again.

use std::time::Duration;

use hollyspoke_gateway::gateway::CASES;
use hollyspoke_tests::crashes::Harmful;
use hollyspoke_tests::fleet::{Fleet, Store};

/// A request that crashes engines.
const HARMFUL: Harmful =
    Harmful { route: "resumed", every: Duration::from_millis(500), crashes_on_prefill: false };

/// Returns boxes that quarantine a harmful request, and a copy of the store from before.
fn fleet_with_quarantine(boxes: usize) -> (Fleet, Store) {
    let mut fleet = Fleet::new(boxes, 5);
    fleet.store.revision.era = 1;
    fleet.run(Duration::from_secs(8));
    let old_store = fleet.store.clone();
    fleet.harmful = Some(HARMFUL);
    fleet.run(Duration::from_secs(20));
    let cases = fleet.store.value(CASES, "requests").expect("the request is quarantined");
    assert!(cases.len() > 2, "{cases}");
    (fleet, old_store)
}

/// The quarantine was lost when all boxes restarted some seconds after the restore.
#[test]
fn quarantine_lost_after_restore() {
    let (mut fleet, old_store) = fleet_with_quarantine(6);
    let known = fleet.store.value(CASES, "requests").map(str::to_owned);
    let caused = fleet.crashes.harmful_crashes.len();
    fleet.store.restore(&old_store);
    assert_ne!(fleet.store.value(CASES, "requests"), known.as_deref());
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.store.value(CASES, "requests"), known.as_deref());
    fleet.restart(0..6);
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.crashes.harmful_crashes.len(), caused);
}

/// The number of live boxes was missing after the restore.
#[test]
fn box_count_lost() {
    let mut fleet = Fleet::new(6, 5);
    fleet.store.revision.era = 1;
    let old_store = fleet.store.clone();
    fleet.run(Duration::from_secs(8));
    assert_eq!(fleet.store.value("census", "boxes"), Some("6"));
    fleet.store.restore(&old_store);
    assert_eq!(fleet.store.value("census", "boxes"), None);
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.store.value("census", "boxes"), Some("6"));
}

/// Only boxes that follow the store call it after a restore: they read lists of three kinds, the
/// number of boxes and the quarantined requests.
#[test]
fn excessive_restore_calls() {
    for boxes in [6, 30] {
        let mut fleet = Fleet::new(boxes, 5);
        fleet.store.revision.era = 1;
        let old_store = fleet.store.clone();
        fleet.run(Duration::from_secs(6));
        fleet.store.restore(&old_store);
        let before = fleet.store.calls;
        fleet.run(Duration::from_secs(5));
        let calls = fleet.store.calls - before;
        assert!(calls <= 20, "{boxes} boxes: {calls} calls in five seconds");
    }
}
