//! Many boxes that start at the same moment find each other soon, without a flood of datagrams.
//!
//! If every box greets every other and all answer, 985 boxes send 2.2 million datagrams in their
//! first two seconds. Counting all boxes again with each of these takes 60% of the processor time.

use std::time::Duration;

use hollyspoke_gateway::gateway::Gateway;
use hollyspoke_tests::crowd::Boxes;

#[test]
fn boxes_stay_unknown() {
    for count in [6, 30, 120] {
        let mut boxes = Boxes::start_informed(count);
        // With more than 100 boxes, heartbeats to other data centres are sent every 3.2 s.
        boxes.run(Duration::from_secs(5));
        assert_eq!(boxes.up().map(Gateway::alive_box_count).min(), Some(count));
    }
}

#[test]
fn datagrams_grow_quadratically() {
    // If all boxes greet all others, which answer, and each box announces every new cadence and
    // version to all, 300 boxes send 274,425 datagrams in two seconds and 985 send 2,166,366. With
    // fewer announcements these are 162,026 and 1,117,794.
    let datagrams = |count: usize| {
        let mut boxes = Boxes::start_informed(count);
        boxes.run(Duration::from_secs(2));
        boxes.datagrams
    };
    let (few, many) = (datagrams(100), datagrams(300));

    assert!(many < few * 4, "{few} datagrams of 100 boxes, {many} of 300");
}
