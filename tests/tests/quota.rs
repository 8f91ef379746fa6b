//! Customers' limits over many boxes: the share of its entitlement that a customer gets, and what all
//! boxes together let through, under loads and faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::quota::{Account, Limit, Quota, Tolerance, Visibility};
use hollyspoke::time::Time;
use hollyspoke_tests::quota::{Fleet, STEP, Sharing};
use proptest::prelude::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The tolerance of a deployment of 78 boxes.
const TOLERANCE: Tolerance =
    Tolerance { window: Duration::from_secs(8), overrun: 0.1, slack: 190_000.0 };

/// The limits of a small and a large customer of that deployment.
const SMALL: Limit = Limit { rate: 47_000.0, burst: 47_000.0 };
const LARGE: Limit = Limit { rate: 302_000.0, burst: 302_000.0 };

/// The number of boxes of that deployment.
const BOX_COUNT: usize = 78;

/// The share of its limit that a customer usually requests.
const USUAL_LOAD_RATIO: f64 = 1.0 / 1.8;

/// Where a customer's requests arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Spread {
    /// At any box.
    Even,
    /// All at one box.
    One,
    /// All at one box, another each second.
    Moving,
}

/// Returns the load of a customer that requests a multiple of the rate of its limit.
fn load(
    limit: Limit,
    load_ratio: f64,
    spread: Spread,
) -> impl FnMut(&mut Pcg64Mcg, Time) -> Vec<(usize, u64)> {
    move |random, now| {
        let mean = 3400.0;
        let expected = limit.rate * load_ratio * STEP.as_secs_f64() / mean;
        let mut count = expected.floor() as usize;
        count += usize::from(random.random_bool(expected.fract()));
        let requests = (0..count).map(|_| {
            let number = match spread {
                Spread::Even => random.random_range(0..BOX_COUNT),
                Spread::One => 3,
                Spread::Moving => (now.as_micros() / 1_000_000) as usize,
            };
            (number, random.random_range(200..=6600))
        });
        requests.collect()
    }
}

/// Runs a load; returns the share of the entitlement and the used share of the bound.
fn run_load(limit: Limit, load_ratio: f64, spread: Spread, sharing: Sharing) -> (f64, f64) {
    let mut fleet = Fleet::new(BOX_COUNT, limit, TOLERANCE, sharing, 11);
    fleet.run(Duration::from_secs(20), load(limit, load_ratio, spread));
    (fleet.outcome().share, fleet.bound_used())
}

#[test]
fn usual_load_refused() {
    for limit in [SMALL, LARGE] {
        for spread in [Spread::Even, Spread::One, Spread::Moving] {
            let (share, _) = run_load(limit, USUAL_LOAD_RATIO, spread, Sharing::Totals);
            assert!(share > 0.99, "{limit:?} {spread:?}: {share}");
        }
    }
}

#[test]
fn flood_exceeds_bound() {
    for limit in [SMALL, LARGE] {
        for spread in [Spread::Even, Spread::One, Spread::Moving] {
            let (share, used) = run_load(limit, 6.0 * USUAL_LOAD_RATIO, spread, Sharing::Totals);
            println!("{limit:?} {spread:?}: {share:.3} of the entitlement, {used:.3} of the bound");
            assert!(share > 0.95, "{limit:?} {spread:?}: {share}");
            assert!(used <= 1.0, "{limit:?} {spread:?}: {used}");
        }
    }
}

/// Equal parts keep the bound as well, but leave most of the limit unused if the requests are spread
/// unevenly.
#[test]
fn parts_exceed_bound() {
    for limit in [SMALL, LARGE] {
        for load_ratio in [USUAL_LOAD_RATIO, 6.0 * USUAL_LOAD_RATIO] {
            for spread in [Spread::Even, Spread::One, Spread::Moving] {
                let (share, used) = run_load(limit, load_ratio, spread, Sharing::Parts);
                println!(
                    "{limit:?} {load_ratio:.2} {spread:?}: {share:.3}, {used:.3} of the bound"
                );
                assert!(used <= 1.0, "{used}");
                assert!(spread == Spread::Even || share < 0.2, "{share}");
            }
        }
    }
}

#[test]
fn isolated_boxes_exceed_bound() {
    for limit in [SMALL, LARGE] {
        for isolated_count in [1, BOX_COUNT / 3, BOX_COUNT / 2, BOX_COUNT] {
            let mut fleet = Fleet::new(BOX_COUNT, limit, TOLERANCE, Sharing::Totals, 5);
            fleet.run(Duration::from_secs(4), load(limit, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
            fleet.isolate(isolated_count, true);
            fleet.run(Duration::from_secs(9), load(limit, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
            fleet.isolate(isolated_count, false);
            fleet.run(Duration::from_secs(9), load(limit, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
            let used = fleet.bound_used();
            println!("{limit:?}, {isolated_count} isolated: {used:.3} of the bound");
            assert!(used <= 1.0, "{limit:?}, {isolated_count} isolated: {used}");
        }
    }
}

/// Boxes that are all killed at once lose their history, so their buckets must not start full.
#[test]
fn restarts_exceed_bound() {
    for limit in [SMALL, LARGE] {
        let mut fleet = Fleet::new(BOX_COUNT, limit, TOLERANCE, Sharing::Totals, 5);
        fleet.run(Duration::from_secs(9), load(limit, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
        for _ in 0..2 {
            fleet.restart(0..BOX_COUNT);
            fleet.run(Duration::from_secs(3), load(limit, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
        }
        fleet.run(Duration::from_secs(9), load(limit, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
        let used = fleet.bound_used();
        println!("{limit:?}, restarted: {used:.3} of the bound");
        assert!(used <= 1.0, "{limit:?}: {used}");
    }
}

/// A box that starts while it is isolated can't know the number of the others, so its share has to be
/// small. The bound was exceeded with 9 of 78 boxes isolated, of which 7 and then 6 restarted.
#[test]
fn isolated_start_exceeds_bound() {
    for (limit, count) in [(SMALL, 9), (LARGE, 9), (SMALL, BOX_COUNT / 3), (LARGE, BOX_COUNT / 3)] {
        let mut fleet = Fleet::new(BOX_COUNT, limit, TOLERANCE, Sharing::Totals, 5);
        fleet.isolate(count, true);
        for _ in 0..2 {
            fleet.run(Duration::from_secs(3), load(limit, 4.3, Spread::Even));
            fleet.restart(0..count);
        }
        fleet.run(Duration::from_secs(9), load(limit, 4.3, Spread::Even));
        let used = fleet.bound_used();
        println!("{limit:?}, {count} started while isolated: {used:.3} of the bound");
        assert!(used <= 1.0, "{limit:?}, {count} started while isolated: {used}");
    }
}

/// A box that restarts in a group that is cut off learns from the others in the group that there are
/// more boxes than it can reach.
#[test]
fn split_start_exceeds_bound() {
    for limit in [SMALL, LARGE] {
        let mut fleet = Fleet::new(BOX_COUNT, limit, TOLERANCE, Sharing::Totals, 5);
        fleet.run(Duration::from_secs(2), load(limit, 4.3, Spread::Even));
        fleet.split(BOX_COUNT / 3);
        fleet.run(Duration::from_secs(2), load(limit, 4.3, Spread::Even));
        for first in [0, BOX_COUNT / 6] {
            fleet.restart(first..first + BOX_COUNT / 6);
            fleet.run(Duration::from_secs(3), load(limit, 4.3, Spread::Even));
        }
        fleet.run(Duration::from_secs(9), load(limit, 4.3, Spread::Even));
        let used = fleet.bound_used();
        println!("{limit:?}, restarted in a split: {used:.3} of the bound");
        assert!(used <= 1.0, "{limit:?}, restarted in a split: {used}");
    }
}

/// After a restart of all boxes a customer below its limit is served at once.
#[test]
fn restart_refuses_load() {
    for limit in [SMALL, LARGE] {
        let mut fleet = Fleet::new(BOX_COUNT, limit, TOLERANCE, Sharing::Totals, 5);
        fleet.run(Duration::from_secs(5), load(limit, USUAL_LOAD_RATIO, Spread::Even));
        fleet.restart(0..BOX_COUNT);
        fleet.reset_counts();
        fleet.run(Duration::from_secs(3), load(limit, USUAL_LOAD_RATIO, Spread::Even));
        let share = fleet.outcome().share;
        println!("{limit:?}, restarted: {share:.3} of the entitlement");
        assert!(share > 0.95, "{limit:?}: {share}");
    }
}

/// A box that starts asks the others, and so serves a customer far below its limit at once.
#[test]
fn started_box_refuses() {
    let mut fleet = Fleet::new(BOX_COUNT, SMALL, TOLERANCE, Sharing::Totals, 5);
    fleet.run(Duration::from_secs(5), load(SMALL, USUAL_LOAD_RATIO * 0.5, Spread::One));
    fleet.reset_counts();
    fleet.restart([3]);
    fleet.run(Duration::from_secs(3), load(SMALL, USUAL_LOAD_RATIO * 0.5, Spread::One));
    let share = fleet.outcome().share;
    assert!(share > 0.99, "{share}");
}

#[test]
fn lowered_limit_ignored() {
    let mut fleet = Fleet::new(BOX_COUNT, LARGE, TOLERANCE, Sharing::Totals, 5);
    fleet.run(Duration::from_secs(10), load(LARGE, USUAL_LOAD_RATIO, Spread::Even));
    let low = Limit { rate: LARGE.rate / 6.0, burst: LARGE.burst / 6.0 };
    fleet.set_limit(low);
    fleet.run(Duration::from_secs(9), load(LARGE, USUAL_LOAD_RATIO, Spread::Even));
    fleet.reset_counts();
    fleet.run(Duration::from_secs(15), load(LARGE, USUAL_LOAD_RATIO, Spread::Even));
    assert!(fleet.bound_used() <= 1.0, "{}", fleet.bound_used());
    assert!(fleet.outcome().share > 0.95, "{:?}", fleet.outcome());
}

/// The bound has to detect three mistakes: an isolated box uses the whole limit, boxes count only their
/// own requests, and buckets start full.
#[test]
fn mistakes_not_detected() {
    let mut fleet = Fleet::new(BOX_COUNT, LARGE, TOLERANCE, Sharing::Totals, 5);
    fleet.run(Duration::from_secs(9), load(LARGE, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
    for _ in 0..5 {
        fleet.restart_full();
        fleet.run(Duration::from_secs(2), load(LARGE, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
    }
    assert!(fleet.bound_used() > 1.0, "{}", fleet.bound_used());
    let mut fleet = Fleet::new(BOX_COUNT, LARGE, TOLERANCE, Sharing::TotalsIgnoringSilence, 5);
    fleet.run(Duration::from_secs(2), load(LARGE, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
    fleet.isolate(BOX_COUNT / 2, true);
    fleet.run(Duration::from_secs(9), load(LARGE, 6.0 * USUAL_LOAD_RATIO, Spread::Even));
    assert!(fleet.bound_used() > 1.0, "{}", fleet.bound_used());
    let (_, used) = run_load(SMALL, 6.0 * USUAL_LOAD_RATIO, Spread::Even, Sharing::Unshared);
    assert!(used > 1.0, "{used}");
}

/// A request larger than the burst is served while other boxes go on with small ones, also if some
/// boxes are unreachable.
#[test]
fn large_request_starves() {
    let limit = Limit { rate: 1000.0, burst: 1000.0 };
    let mut quota = Quota::new(TOLERANCE);
    quota.set_limits(Time::ZERO, BTreeMap::from([(7, limit)]));
    let other = SocketAddr::from(([10, 0, 0, 2], 0));
    let served = (0..1000u64).find(|&step| {
        let now = Time::from_millis(5000 + step * 10);
        quota.set_visibility(now, Visibility { boxes: 4, unreachable: 2 });
        if step % 30 == 0 {
            let total = 90 * (step / 30) as u32;
            let announced = Account { customer: 7, total, level: Some(0) };
            quota.apply_announcement(now, other, 1, &[announced], true);
        }
        step > 100 && quota.take(now, 7, 5000).is_ok()
    });
    assert!(served.is_some());
}

/// A fault of a generated run.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Isolates some boxes from all others.
    Isolate(usize),
    /// Cuts some boxes off as one group, of which those that don't restart know the number of all boxes.
    Split(usize),
    /// Reconnects all boxes.
    Heal,
    /// Restarts some boxes.
    Restart(usize),
    /// No fault.
    Quiet,
}

/// Generates a fault.
fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (1..BOX_COUNT).prop_map(Fault::Isolate),
        (BOX_COUNT / 3..BOX_COUNT).prop_map(Fault::Split),
        Just(Fault::Heal),
        (1..BOX_COUNT / 3).prop_map(Fault::Restart),
        Just(Fault::Quiet),
    ]
}

/// Runs faults, each followed by a duration in milliseconds; returns the used share of the bound.
fn run_faults(
    limit: Limit,
    load_ratio: f64,
    seed: u64,
    lost: f64,
    faults: impl IntoIterator<Item = (Fault, u64)>,
) -> f64 {
    let mut fleet = Fleet::new(BOX_COUNT, limit, TOLERANCE, Sharing::Totals, seed);
    fleet.lost = lost;
    for (fault, duration_ms) in faults {
        match fault {
            Fault::Isolate(count) => fleet.isolate(count, true),
            Fault::Split(count) => fleet.split(count),
            Fault::Heal => fleet.isolate(BOX_COUNT, false),
            Fault::Restart(count) => fleet.restart(0..count),
            Fault::Quiet => {}
        }
        fleet.run(Duration::from_millis(duration_ms), load(limit, load_ratio, Spread::Even));
    }
    fleet.bound_used()
}

/// Schedules that exceeded the bound.
#[test]
fn known_schedule_exceeds_bound() {
    use Fault::{Heal, Isolate, Quiet, Restart, Split};
    let schedules: [(f64, &[(Fault, u64)]); 5] = [
        // 1.013 of the bound: boxes that started while isolated assumed 39 others.
        (4.28, &[(Isolate(9), 2011), (Restart(7), 2000), (Restart(6), 3821)]),
        // 1.004 to 1.037 of the bound: what boxes let through in the 0.4 s until others miss them.
        (3.43, &[(Split(40), 2051), (Restart(5), 4361), (Isolate(15), 2000)]),
        (4.74, &[(Restart(7), 4822), (Isolate(51), 3943), (Isolate(75), 4058)]),
        (4.93, &[(Split(75), 2093), (Split(36), 3851), (Isolate(58), 2513), (Heal, 2558)]),
        (4.69, &[(Quiet, 3884), (Isolate(75), 2978), (Isolate(72), 2601), (Restart(7), 3501)]),
    ];
    for (load_ratio, faults) in schedules {
        for seed in 1..=3 {
            let used = run_faults(LARGE, load_ratio, seed, 0.02, faults.iter().copied());
            println!("{load_ratio} {faults:?}, seed {seed}: {used:.3}");
            assert!(used <= 1.0, "{load_ratio} {faults:?}, seed {seed}: {used}");
        }
    }
}

/// A drawn schedule that exceeded the bound by 0.004: boxes are split, some restart, most are isolated.
#[test]
fn drawn_schedule_exceeds_bound() {
    let faults = [(Fault::Split(46), 3141), (Fault::Restart(12), 4001), (Fault::Isolate(52), 2000)];
    let (load_ratio, lost) = (4.465_917_662_179_622, 0.032_316_355_611_128_96);
    let used = run_faults(LARGE, load_ratio, 928_794_854_717_468_615, lost, faults);
    assert!(used <= 1.0, "{used}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// The bound holds with a fault every two to five seconds.
    #[test]
    fn bound_holds(
        faults in prop::collection::vec((fault(), 2000..5000u64), 1..6),
        load_ratio in 0.3..5.0,
        is_large: bool,
        seed: u64,
        lost in 0.0..0.1,
    ) {
        let limit = if is_large { LARGE } else { SMALL };
        let used = run_faults(limit, load_ratio, seed, lost, faults);
        prop_assert!(used <= 1.0, "{}", used);
    }
}
