//! After the loss of all boxes, no box has a list of engines that it could hand over. All serve again
//! in time, whatever their number, and the store sends the list a few times and not to each box.

use std::time::Duration;

use hollyspoke_gateway::gateway::Gateway;
use hollyspoke_tests::crowd::{Boxes, Size};

/// Half of the time in which the users' largest site has to serve again.
const RECOVERY_TIME: Duration = Duration::from_secs(9);

/// The size of an engine's entry in the store's answers, in bytes.
const ENTRY_BYTES: usize = 330;

/// Returns the time until all boxes are ready, and how often the store has sent the whole list.
fn recovery(count: usize, seed: u64) -> (Option<Duration>, f64) {
    let size = Size::of(count);
    let mut boxes = Boxes::start_uninformed(size, seed);
    let time = boxes.run_until(Gateway::is_ready, RECOVERY_TIME);
    (time, boxes.store_bytes as f64 / (size.engines * ENTRY_BYTES) as f64)
}

#[test]
fn list_never_arrives() {
    for count in [30, 120, 300] {
        let (time, _) = recovery(count, 1);
        assert!(time.is_some(), "not all of {count} boxes are ready");
    }
}

#[test]
fn list_read_by_all() {
    for (count, seed) in [(120, 2), (300, 3)] {
        let (_, lists) = recovery(count, seed);
        let max_lists = count as f64 / 4.0;
        assert!(lists < max_lists, "the store sent {lists:.1} lists to {count} boxes");
    }
}
