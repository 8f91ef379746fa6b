//! The bound on repeats where there are as many boxes as the allowance has repeats.
//!
//! Each box's bucket holds one whole token at least, since no repeat could be sent with less. 985
//! boxes before an allowance of 1,040 held 985 together, and more came within the window whatever was
//! asked: 1.08 of the bound at 0.4 requests a second a box. Below some 600 boxes the parts add up.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::budget::{Bound, BoxShare, Budget};

/// Gives the most repeats within a window, in shares of the bound, where boxes have rested for a
/// minute and then repeat whatever they may, each with so many requests a second.
fn used(boxes: usize, allowance: f64, a_second: f64) -> f64 {
    let bound = Bound { ratio: 0.2, allowance, window: Duration::from_secs(10) };
    let part = BoxShare { bound: &bound, box_count: boxes };
    let mut repeats = 0.0;
    let mut requests = 0.0;
    for _ in 0..boxes {
        let mut budget = Budget::default();
        budget.add_request(Time::ZERO, part);
        let mut owed = 0.0;
        for step in 0..100u64 {
            let now = Time::from_millis(60_000 + step * 100);
            owed += a_second / 10.0;
            while owed >= 1.0 {
                owed -= 1.0;
                requests += 1.0;
                budget.add_request(now, part);
            }
            while budget.take(now, part) {
                repeats += 1.0;
            }
        }
    }
    repeats / (allowance + bound.ratio * requests)
}

#[test]
fn the_parts_of_a_thousand_boxes_add_up() {
    // The users' allowances, by boxes.
    for (boxes, allowance) in [(6, 52.0), (66, 172.0), (295, 630.0), (985, 1040.0)] {
        for a_second in [0.0, 0.4, 4.0] {
            let used = used(boxes, allowance, a_second);
            assert!(used <= 1.0, "{used} of the bound by {boxes} boxes at {a_second} a second");
        }
    }
}

#[test]
fn few_boxes_use_their_part() {
    assert!(used(6, 52.0, 4.0) > 0.8);
}
