//! The bound on repeats if there are as many boxes as the allowance has repeats.
//!
//! If the bucket of each box holds one whole token, 985 boxes with an allowance of 1,040 hold 985
//! together, and repeats exceed the bound: 1.08 of it at 0.4 requests a second per box. Below some 600
//! boxes the shares stay within the bound.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::budget::{Bound, BoxShare, Budget};

/// Returns the maximum number of repeats within a window, as a share of the bound: boxes are idle for a
/// minute and then repeat all that they may, each with a rate of requests.
fn used_share(boxes: usize, allowance: f64, requests_per_s: f64) -> f64 {
    let bound = Bound { ratio: 0.2, allowance, window: Duration::from_secs(10) };
    let share = BoxShare { bound: &bound, box_count: boxes };
    let mut repeat_count = 0.0;
    let mut request_count = 0.0;
    for _ in 0..boxes {
        let mut budget = Budget::default();
        budget.add_request(Time::ZERO, share);
        let mut due_requests = 0.0;
        for step in 0..100u64 {
            let now = Time::from_millis(60_000 + step * 100);
            due_requests += requests_per_s / 10.0;
            while due_requests >= 1.0 {
                due_requests -= 1.0;
                request_count += 1.0;
                budget.add_request(now, share);
            }
            while budget.take(now, share) {
                repeat_count += 1.0;
            }
        }
    }
    repeat_count / (allowance + bound.ratio * request_count)
}

#[test]
fn parts_exceed_bound() {
    // The allowance by the number of boxes.
    for (boxes, allowance) in [(6, 52.0), (66, 172.0), (295, 630.0), (985, 1040.0)] {
        for requests_per_s in [0.0, 0.4, 4.0] {
            let used_share = used_share(boxes, allowance, requests_per_s);
            assert!(
                used_share <= 1.0,
                "{used_share} of the bound by {boxes} boxes at {requests_per_s} requests a second"
            );
        }
    }
}

#[test]
fn part_unused() {
    assert!(used_share(6, 52.0, 4.0) > 0.8);
}
