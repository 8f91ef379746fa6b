//! All boxes together never send a rate-limited engine more than its limit allows, and use four fifths
//! of it while enough requests arrive, for any limit and any number of boxes.
//!
//! One box issues the permits. A bucket with one whole permit at each box would exceed the 5 requests
//! that are allowed beside the limit with a handful of boxes, and boxes chosen by a hash would leave
//! unused what arrives at the others.

use std::time::Duration;

use hollyspoke_tests::permits::Site;
use proptest::prelude::*;

/// The numbers of boxes.
const BOX_COUNTS: [usize; 5] = [6, 66, 300, 985, 2000];

/// The limits, in requests per second.
const RATES_PER_S: [f64; 5] = [0.1, 1.0, 3.5, 20.0, 200.0];

/// The minimum share of the limit that is used while enough requests arrive.
const MIN_USED_SHARE: f64 = 0.8;

/// Returns a duration in which some permits are issued at a rate.
fn run_duration(rate: f64) -> Duration {
    Duration::from_secs_f64((20.0 / rate).clamp(12.0, 240.0))
}

/// Runs each number of boxes with each limit.
fn run_cases(run_case: impl Fn(usize, f64, u64)) {
    for (seed, boxes) in BOX_COUNTS.into_iter().enumerate() {
        for rate in RATES_PER_S {
            run_case(boxes, rate, seed as u64);
        }
    }
}

/// Runs each number of boxes; more than 300 only with the highest limit, as the time grows with the
/// square of their number while all boxes search for each other.
fn run_small_cases(run_case: impl Fn(usize, f64, u64)) {
    run_cases(|boxes, rate, seed| {
        if boxes <= 300 || rate == RATES_PER_S[4] {
            run_case(boxes, rate, seed);
        }
    });
}

/// Returns the interval at which requests arrive at all boxes at once.
fn burst_interval(boxes: usize) -> Option<Duration> {
    Some(Duration::from_millis(if boxes <= 300 { 1300 } else { 5000 }))
}

/// Checks that the engine got no more requests than allowed.
fn check_bound(site: &Site, boxes: usize, rate: f64, scenario: &str) {
    let used_share = site.bound_used();
    assert!(
        used_share <= 1.0,
        "{used_share:.2} of what {rate} a second allow, {boxes} boxes, {scenario}"
    );
}

#[test]
fn limit_exceeded() {
    run_cases(|boxes, rate, seed| {
        for times in [2.0, 20.0] {
            let mut site = Site::new(boxes, rate, seed);
            site.run(run_duration(rate), rate * times, None);
            let measured_from = site.now();
            site.run(run_duration(rate), rate * times, None);
            check_bound(&site, boxes, rate, "no faults");
            let used_share = site.limit_used(measured_from);
            assert!(
                used_share >= MIN_USED_SHARE,
                "{used_share:.2} of {rate} used by {boxes} boxes"
            );
        }
    });
}

#[test]
fn burst_exceeds_limit() {
    run_cases(|boxes, rate, seed| {
        let mut site = Site::new(boxes, rate, seed);
        site.run(Duration::from_secs(20), rate, Some(Duration::from_secs(3)));
        check_bound(&site, boxes, rate, "requests at all boxes at once");
    });
}

#[test]
fn loss_exceeds_limit() {
    run_cases(|boxes, rate, seed| {
        let mut site = Site::new(boxes, rate, seed);
        site.lost = 0.05;
        site.run(run_duration(rate), rate * 4.0, None);
        let measured_from = site.now();
        site.run(run_duration(rate), rate * 4.0, None);
        check_bound(&site, boxes, rate, "datagrams lost");
        let used_share = site.limit_used(measured_from);
        assert!(used_share >= MIN_USED_SHARE, "{used_share:.2} of {rate} used by {boxes} boxes");
    });
}

/// A partition: its name, and the side of each box.
type Cut = (&'static str, fn(usize) -> usize);

/// Boxes are partitioned in several ways and then reconnected.
#[test]
fn partition_exceeds_limit() {
    let cuts: [Cut; 4] = [
        ("split in halves", |it| it % 2),
        ("a third cut off", |it| usize::from(it % 3 == 0)),
        ("some isolated", |it| if it % 5 == 0 { it } else { 1 }),
        ("all isolated", |it| it),
    ];
    run_small_cases(|boxes, rate, seed| {
        for (scenario, side) in cuts {
            let mut site = Site::new(boxes, rate, seed);
            let interval = burst_interval(boxes);
            site.run(Duration::from_secs(8), rate * 4.0, interval);
            site.partition(side);
            site.run(Duration::from_secs(12), rate * 4.0, interval);
            site.partition(|_| 0);
            site.run(Duration::from_secs(8), rate * 4.0, interval);
            check_bound(&site, boxes, rate, scenario);
        }
    });
}

/// Boxes restart one after the other, then twice all at once.
#[test]
fn restart_exceeds_limit() {
    run_small_cases(|boxes, rate, seed| {
        let mut site = Site::new(boxes, rate, seed);
        let interval = burst_interval(boxes);
        site.run(Duration::from_secs(8), rate * 4.0, interval);
        for number in 0..boxes.min(12) {
            site.restart([number], Duration::from_millis(300));
            site.run(Duration::from_millis(700), rate * 4.0, interval);
        }
        for _ in 0..2 {
            site.restart(0..boxes, Duration::from_millis(400));
            site.run(Duration::from_secs(3), rate * 4.0, interval);
        }
        check_bound(&site, boxes, rate, "restarted");
    });
}

/// A fault of a site.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Cuts off the boxes whose numbers are multiples.
    Partition(usize),
    /// Reconnects all boxes.
    Reconnect,
    /// Restarts the boxes whose numbers are multiples, after some milliseconds.
    Restart(usize, u64),
    /// Loses a percentage of the datagrams.
    LoseDatagrams(u8),
}

/// Generates a fault.
fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (1..6usize).prop_map(Fault::Partition),
        Just(Fault::Reconnect),
        (1..6usize, 100..2000u64).prop_map(|(step, down)| Fault::Restart(step, down)),
        (0..30u8).prop_map(Fault::LoseDatagrams),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Faults follow each other and overlap.
    #[test]
    fn drawn(
        boxes in 1..120usize,
        rate in 0.05..60.0f64,
        faults in prop::collection::vec((fault(), 50..5000u64), 1..12),
        seed: u64,
    ) {
        let mut site = Site::new(boxes, rate, seed);
        let interval = Some(Duration::from_millis(900));
        site.run(Duration::from_secs(5), rate * 4.0, interval);
        for &(fault, duration_ms) in &faults {
            match fault {
                Fault::Partition(step) => site.partition(|it| if it % step == 0 { it / step % 3 } else { 9 }),
                Fault::Reconnect => site.partition(|_| 0),
                Fault::Restart(step, down) => {
                    let chosen: Vec<_> = (0..boxes).step_by(step).collect();
                    site.restart(chosen, Duration::from_millis(down));
                }
                Fault::LoseDatagrams(share) => site.lost = f64::from(share) / 100.0,
            }
            site.run(Duration::from_millis(duration_ms), rate * 4.0, interval);
        }
        let used_share = site.bound_used();
        prop_assert!(used_share <= 1.0, "{used_share:.2} of what {rate} a second allow");
    }
}
