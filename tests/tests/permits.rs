//! The sum of what all boxes send to an engine in need, whatever its limit and however many boxes
//! there are: never above what is allowed, and four fifths of the limit where the work is there.
//!
//! Of the ways that were weighed, a bucket at each box that holds one whole permit exceeds the 5 that
//! are allowed beside the limit from a handful of boxes on, and boxes drawn by a hash leave unused
//! what comes to the others. Here one box issues the permits.

use std::time::Duration;

use hollyspoke_tests::permits::Site;
use proptest::prelude::*;

/// The boxes.
const BOXES: [usize; 5] = [6, 66, 300, 985, 2000];

/// The limits, in requests a second.
const RATES: [f64; 5] = [0.1, 1.0, 3.5, 20.0, 200.0];

/// The least share of the limit that is used where the work is there.
const LEAST_USED: f64 = 0.8;

/// Gives a span in which some permits come at a rate.
fn long(rate: f64) -> Duration {
    Duration::from_secs_f64((20.0 / rate).clamp(12.0, 240.0))
}

/// Plays each number of boxes with each limit.
fn each(play: impl Fn(usize, f64, u64)) {
    for (seed, boxes) in BOXES.into_iter().enumerate() {
        for rate in RATES {
            play(boxes, rate, seed as u64);
        }
    }
}

/// Plays each number of boxes, the many with the highest limit alone: where all look
/// for each other, a play takes as long as the square of their number. All limits pass by hand.
fn each_of_few(play: impl Fn(usize, f64, u64)) {
    each(|boxes, rate, seed| {
        if boxes <= 300 || rate == RATES[4] {
            play(boxes, rate, seed);
        }
    });
}

/// Gives how often work comes to all boxes at once.
fn at_once(boxes: usize) -> Option<Duration> {
    Some(Duration::from_millis(if boxes <= 300 { 1300 } else { 5000 }))
}

/// Checks that no more has come than is allowed.
fn check(site: &Site, boxes: usize, rate: f64, what: &str) {
    let used = site.bound_used();
    assert!(used <= 1.0, "{used:.2} of what {rate} a second allow, {boxes} boxes, {what}");
}

#[test]
fn in_touch() {
    each(|boxes, rate, seed| {
        for times in [2.0, 20.0] {
            let mut site = Site::new(boxes, rate, seed);
            site.run(long(rate), rate * times, None);
            let from = site.now();
            site.run(long(rate), rate * times, None);
            check(&site, boxes, rate, "in touch");
            let used = site.limit_used(from);
            assert!(used >= LEAST_USED, "{used:.2} of {rate} used by {boxes} boxes");
        }
    });
}

#[test]
fn work_that_comes_at_once() {
    each(|boxes, rate, seed| {
        let mut site = Site::new(boxes, rate, seed);
        site.run(Duration::from_secs(20), rate, Some(Duration::from_secs(3)));
        check(&site, boxes, rate, "work at all boxes at once");
    });
}

#[test]
fn datagrams_lost() {
    each(|boxes, rate, seed| {
        let mut site = Site::new(boxes, rate, seed);
        site.lost = 0.05;
        site.run(long(rate), rate * 4.0, None);
        let from = site.now();
        site.run(long(rate), rate * 4.0, None);
        check(&site, boxes, rate, "datagrams lost");
        let used = site.limit_used(from);
        assert!(used >= LEAST_USED, "{used:.2} of {rate} used by {boxes} boxes");
    });
}

/// A cut: its name, and the side of each box.
type Cut = (&'static str, fn(usize) -> usize);

/// Halves, a third, single boxes, and all from each other; and back again.
#[test]
fn cut_off() {
    let cuts: [Cut; 4] = [
        ("in halves", |it| it % 2),
        ("a third", |it| usize::from(it % 3 == 0)),
        ("some alone", |it| if it % 5 == 0 { it } else { 1 }),
        ("all alone", |it| it),
    ];
    each_of_few(|boxes, rate, seed| {
        for (what, side) in cuts {
            let mut site = Site::new(boxes, rate, seed);
            let every = at_once(boxes);
            site.run(Duration::from_secs(8), rate * 4.0, every);
            site.partition(side);
            site.run(Duration::from_secs(12), rate * 4.0, every);
            site.partition(|_| 0);
            site.run(Duration::from_secs(8), rate * 4.0, every);
            check(&site, boxes, rate, what);
        }
    });
}

/// One after the other, all at once, twice.
#[test]
fn started_again() {
    each_of_few(|boxes, rate, seed| {
        let mut site = Site::new(boxes, rate, seed);
        let every = at_once(boxes);
        site.run(Duration::from_secs(8), rate * 4.0, every);
        for number in 0..boxes.min(12) {
            site.restart([number], Duration::from_millis(300));
            site.run(Duration::from_millis(700), rate * 4.0, every);
        }
        for _ in 0..2 {
            site.restart(0..boxes, Duration::from_millis(400));
            site.run(Duration::from_secs(3), rate * 4.0, every);
        }
        check(&site, boxes, rate, "started again");
    });
}

/// What happens to a site.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Boxes of which the numbers are multiples are cut off.
    Part(usize),
    /// They all hear each other.
    Heal,
    /// They start again.
    Restart(usize, u64),
    /// So many of a hundred datagrams are lost.
    Lose(u8),
}

/// Draws what happens.
fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (1..6usize).prop_map(Fault::Part),
        Just(Fault::Heal),
        (1..6usize, 100..2000u64).prop_map(|(step, down)| Fault::Restart(step, down)),
        (0..30u8).prop_map(Fault::Lose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Faults in series, and while others last.
    #[test]
    fn drawn(
        boxes in 1..120usize,
        rate in 0.05..60.0f64,
        faults in prop::collection::vec((fault(), 50..5000u64), 1..12),
        seed: u64,
    ) {
        let mut site = Site::new(boxes, rate, seed);
        let every = Some(Duration::from_millis(900));
        site.run(Duration::from_secs(5), rate * 4.0, every);
        for &(fault, span) in &faults {
            match fault {
                Fault::Part(step) => site.partition(|it| if it % step == 0 { it / step % 3 } else { 9 }),
                Fault::Heal => site.partition(|_| 0),
                Fault::Restart(step, down) => {
                    let chosen: Vec<_> = (0..boxes).step_by(step).collect();
                    site.restart(chosen, Duration::from_millis(down));
                }
                Fault::Lose(share) => site.lost = f64::from(share) / 100.0,
            }
            site.run(Duration::from_millis(span), rate * 4.0, every);
        }
        let used = site.bound_used();
        prop_assert!(used <= 1.0, "{used:.2} of what {rate} a second allow");
    }
}
