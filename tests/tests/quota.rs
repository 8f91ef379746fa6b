//! Customers' limits over many boxes: what a customer gets of what it is entitled to, and what all
//! boxes let through together, under loads and faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::quota::{Account, Limit, Quota, Tolerance, Visibility};
use hollyspoke::time::Time;
use hollyspoke_tests::quota::{Fleet, STEP, Sharing};
use proptest::prelude::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The users' tolerance on their deployment of 78 boxes.
const TOLERANCE: Tolerance =
    Tolerance { window: Duration::from_secs(8), overrun: 0.1, slack: 190_000.0 };

/// A small customer there, and a large one.
const SMALL: Limit = Limit { rate: 47_000.0, burst: 47_000.0 };
const LARGE: Limit = Limit { rate: 302_000.0, burst: 302_000.0 };

/// The boxes there.
const BOXES: usize = 78;

/// The share of its limit that a customer usually asks for there.
const USUAL: f64 = 1.0 / 1.8;

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

/// Gives the load of a customer that asks for some times its limit's rate.
fn load(
    limit: Limit,
    times: f64,
    spread: Spread,
) -> impl FnMut(&mut Pcg64Mcg, Time) -> Vec<(usize, u64)> {
    move |random, now| {
        let mean = 3400.0;
        let expected = limit.rate * times * STEP.as_secs_f64() / mean;
        let mut count = expected.floor() as usize;
        count += usize::from(random.random_bool(expected.fract()));
        let asked = (0..count).map(|_| {
            let number = match spread {
                Spread::Even => random.random_range(0..BOXES),
                Spread::One => 3,
                Spread::Moving => (now.as_micros() / 1_000_000) as usize,
            };
            (number, random.random_range(200..=6600))
        });
        asked.collect()
    }
}

/// Plays a load on boxes and gives the share of the entitlement, and the share of the bound used.
fn play(limit: Limit, times: f64, spread: Spread, sharing: Sharing) -> (f64, f64) {
    let mut fleet = Fleet::new(BOXES, limit, TOLERANCE, sharing, 11);
    fleet.run(Duration::from_secs(20), load(limit, times, spread));
    (fleet.outcome().share, fleet.bound_used())
}

#[test]
fn usual_load_passes() {
    for limit in [SMALL, LARGE] {
        for spread in [Spread::Even, Spread::One, Spread::Moving] {
            let (share, _) = play(limit, USUAL, spread, Sharing::Totals);
            assert!(share > 0.99, "{limit:?} {spread:?}: {share}");
        }
    }
}

#[test]
fn floods_are_held_to_the_limit() {
    for limit in [SMALL, LARGE] {
        for spread in [Spread::Even, Spread::One, Spread::Moving] {
            let (share, used) = play(limit, 6.0 * USUAL, spread, Sharing::Totals);
            println!("{limit:?} {spread:?}: {share:.3} of the entitlement, {used:.3} of the bound");
            assert!(share > 0.95, "{limit:?} {spread:?}: {share}");
            assert!(used <= 1.0, "{limit:?} {spread:?}: {used}");
        }
    }
}

/// Equal parts keep the bound as well, but most of what a customer may have is left unused where
/// its requests don't spread evenly.
#[test]
fn parts_waste_what_is_uneven() {
    for limit in [SMALL, LARGE] {
        for times in [USUAL, 6.0 * USUAL] {
            for spread in [Spread::Even, Spread::One, Spread::Moving] {
                let (share, used) = play(limit, times, spread, Sharing::Parts);
                println!("{limit:?} {times:.2} {spread:?}: {share:.3}, {used:.3} of the bound");
                assert!(used <= 1.0, "{used}");
                assert!(spread == Spread::Even || share < 0.2, "{share}");
            }
        }
    }
}

#[test]
fn cut_boxes_keep_the_bound() {
    for limit in [SMALL, LARGE] {
        for cut in [1, BOXES / 3, BOXES / 2, BOXES] {
            let mut fleet = Fleet::new(BOXES, limit, TOLERANCE, Sharing::Totals, 5);
            fleet.run(Duration::from_secs(4), load(limit, 6.0 * USUAL, Spread::Even));
            fleet.isolate(cut, true);
            fleet.run(Duration::from_secs(9), load(limit, 6.0 * USUAL, Spread::Even));
            fleet.isolate(cut, false);
            fleet.run(Duration::from_secs(9), load(limit, 6.0 * USUAL, Spread::Even));
            let used = fleet.bound_used();
            println!("{limit:?}, {cut} cut: {used:.3} of the bound");
            assert!(used <= 1.0, "{limit:?}, {cut} cut: {used}");
        }
    }
}

/// All boxes killed at once have no history: their buckets must not begin full.
#[test]
fn restarts_keep_the_bound() {
    for limit in [SMALL, LARGE] {
        let mut fleet = Fleet::new(BOXES, limit, TOLERANCE, Sharing::Totals, 5);
        fleet.run(Duration::from_secs(9), load(limit, 6.0 * USUAL, Spread::Even));
        for _ in 0..2 {
            fleet.restart(0..BOXES);
            fleet.run(Duration::from_secs(3), load(limit, 6.0 * USUAL, Spread::Even));
        }
        fleet.run(Duration::from_secs(9), load(limit, 6.0 * USUAL, Spread::Even));
        let used = fleet.bound_used();
        println!("{limit:?}, restarted: {used:.3} of the bound");
        assert!(used <= 1.0, "{limit:?}: {used}");
    }
}

/// A box that starts while it is cut off can't know how many others there are: what it takes must
/// be surely small. Found by `bound_holds` in CI: 9 of 78 cut off, of which 7 and 6 started anew.
#[test]
fn boxes_that_start_cut_off_keep_the_bound() {
    for (limit, count) in [(SMALL, 9), (LARGE, 9), (SMALL, BOXES / 3), (LARGE, BOXES / 3)] {
        let mut fleet = Fleet::new(BOXES, limit, TOLERANCE, Sharing::Totals, 5);
        fleet.isolate(count, true);
        for _ in 0..2 {
            fleet.run(Duration::from_secs(3), load(limit, 4.3, Spread::Even));
            fleet.restart(0..count);
        }
        fleet.run(Duration::from_secs(9), load(limit, 4.3, Spread::Even));
        let used = fleet.bound_used();
        println!("{limit:?}, {count} started while cut off: {used:.3} of the bound");
        assert!(used <= 1.0, "{limit:?}, {count} started while cut off: {used}");
    }
}

/// Boxes that are cut off together hear each other; those of them that start learn from the others
/// that there are more than they hear.
#[test]
fn boxes_that_start_in_a_split_keep_the_bound() {
    for limit in [SMALL, LARGE] {
        let mut fleet = Fleet::new(BOXES, limit, TOLERANCE, Sharing::Totals, 5);
        fleet.run(Duration::from_secs(2), load(limit, 4.3, Spread::Even));
        fleet.split(BOXES / 3);
        fleet.run(Duration::from_secs(2), load(limit, 4.3, Spread::Even));
        for first in [0, BOXES / 6] {
            fleet.restart(first..first + BOXES / 6);
            fleet.run(Duration::from_secs(3), load(limit, 4.3, Spread::Even));
        }
        fleet.run(Duration::from_secs(9), load(limit, 4.3, Spread::Even));
        let used = fleet.bound_used();
        println!("{limit:?}, started in a split: {used:.3} of the bound");
        assert!(used <= 1.0, "{limit:?}, started in a split: {used}");
    }
}

/// After the loss of all boxes a customer below its limit is served at once.
#[test]
fn usual_load_passes_after_a_restart() {
    for limit in [SMALL, LARGE] {
        let mut fleet = Fleet::new(BOXES, limit, TOLERANCE, Sharing::Totals, 5);
        fleet.run(Duration::from_secs(5), load(limit, USUAL, Spread::Even));
        fleet.restart(0..BOXES);
        fleet.reset_counts();
        fleet.run(Duration::from_secs(3), load(limit, USUAL, Spread::Even));
        let share = fleet.outcome().share;
        println!("{limit:?}, restarted: {share:.3} of the entitlement");
        assert!(share > 0.95, "{limit:?}: {share}");
    }
}

/// A box that starts among others serves a customer far below its limit at once.
#[test]
fn box_that_starts_asks_the_others() {
    let mut fleet = Fleet::new(BOXES, SMALL, TOLERANCE, Sharing::Totals, 5);
    fleet.run(Duration::from_secs(5), load(SMALL, USUAL * 0.5, Spread::One));
    fleet.reset_counts();
    fleet.restart([3]);
    fleet.run(Duration::from_secs(3), load(SMALL, USUAL * 0.5, Spread::One));
    let share = fleet.outcome().share;
    assert!(share > 0.99, "{share}");
}

#[test]
fn lowered_limit_binds_after_a_window() {
    let mut fleet = Fleet::new(BOXES, LARGE, TOLERANCE, Sharing::Totals, 5);
    fleet.run(Duration::from_secs(10), load(LARGE, USUAL, Spread::Even));
    let low = Limit { rate: LARGE.rate / 6.0, burst: LARGE.burst / 6.0 };
    fleet.set_limit(low);
    fleet.run(Duration::from_secs(9), load(LARGE, USUAL, Spread::Even));
    fleet.reset_counts();
    fleet.run(Duration::from_secs(15), load(LARGE, USUAL, Spread::Even));
    assert!(fleet.bound_used() <= 1.0, "{}", fleet.bound_used());
    assert!(fleet.outcome().share > 0.95, "{:?}", fleet.outcome());
}

/// Mistakes that the bound must show: that a box which hears nobody goes on by the whole limit, that
/// boxes count only their own, and that buckets are full whenever boxes start.
#[test]
fn mistakes_break_the_bound() {
    let mut fleet = Fleet::new(BOXES, LARGE, TOLERANCE, Sharing::Totals, 5);
    fleet.run(Duration::from_secs(9), load(LARGE, 6.0 * USUAL, Spread::Even));
    for _ in 0..5 {
        fleet.restart_full();
        fleet.run(Duration::from_secs(2), load(LARGE, 6.0 * USUAL, Spread::Even));
    }
    assert!(fleet.bound_used() > 1.0, "{}", fleet.bound_used());
    let mut fleet = Fleet::new(BOXES, LARGE, TOLERANCE, Sharing::TotalsIgnoringSilence, 5);
    fleet.run(Duration::from_secs(2), load(LARGE, 6.0 * USUAL, Spread::Even));
    fleet.isolate(BOXES / 2, true);
    fleet.run(Duration::from_secs(9), load(LARGE, 6.0 * USUAL, Spread::Even));
    assert!(fleet.bound_used() > 1.0, "{}", fleet.bound_used());
    let (_, used) = play(SMALL, 6.0 * USUAL, Spread::Even, Sharing::Unshared);
    assert!(used > 1.0, "{used}");
}

/// A request that is larger than a burst gets its turn while the others go on with small ones, also
/// where some boxes are not heard.
#[test]
fn large_requests_get_their_turn() {
    let limit = Limit { rate: 1000.0, burst: 1000.0 };
    let mut quota = Quota::new(TOLERANCE);
    quota.set_limits(Time::ZERO, BTreeMap::from([(7, limit)]));
    let other = SocketAddr::from(([10, 0, 0, 2], 0));
    let served = (0..1000u64).find(|&step| {
        let now = Time::from_millis(5000 + step * 10);
        quota.set_visibility(now, Visibility { boxes: 4, unreachable: 2 });
        if step % 30 == 0 {
            let total = 90 * (step / 30) as u32;
            let told = Account { customer: 7, total, level: Some(0) };
            quota.apply_announcement(now, other, 1, &[told], true);
        }
        step > 100 && quota.take(now, 7, 5000).is_ok()
    });
    assert!(served.is_some());
}

/// What happens to the boxes in a drawn run.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// So many are cut off, each alone.
    Cut(usize),
    /// So many are cut off together. Some of them don't start anew and know how many there are.
    Split(usize),
    /// All can talk again.
    Heal,
    /// So many start anew.
    Restart(usize),
    /// Nothing.
    Calm,
}

/// Draws a fault.
fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (1..BOXES).prop_map(Fault::Cut),
        (BOXES / 3..BOXES).prop_map(Fault::Split),
        Just(Fault::Heal),
        (1..BOXES / 3).prop_map(Fault::Restart),
        Just(Fault::Calm),
    ]
}

/// Plays faults, each followed by a span in milliseconds, and gives the share of the bound used.
fn play_faults(
    limit: Limit,
    times: f64,
    seed: u64,
    lost: f64,
    faults: impl IntoIterator<Item = (Fault, u64)>,
) -> f64 {
    let mut fleet = Fleet::new(BOXES, limit, TOLERANCE, Sharing::Totals, seed);
    fleet.lost = lost;
    for (fault, span) in faults {
        match fault {
            Fault::Cut(count) => fleet.isolate(count, true),
            Fault::Split(count) => fleet.split(count),
            Fault::Heal => fleet.isolate(BOXES, false),
            Fault::Restart(count) => fleet.restart(0..count),
            Fault::Calm => {}
        }
        fleet.run(Duration::from_millis(span), load(limit, times, Spread::Even));
    }
    fleet.bound_used()
}

/// Schedules that were found by chance to exceed the bound.
#[test]
fn found_faults_keep_the_bound() {
    use Fault::{Calm, Cut, Heal, Restart, Split};
    let schedules: [(f64, &[(Fault, u64)]); 5] = [
        // In CI, 1.013: boxes that start while they are cut off took 39 others to be there.
        (4.28, &[(Cut(9), 2011), (Restart(7), 2000), (Restart(6), 3821)]),
        // The others, 1.004 to 1.037: what others let through in the 0.4 s until they are missed.
        (3.43, &[(Split(40), 2051), (Restart(5), 4361), (Cut(15), 2000)]),
        (4.74, &[(Restart(7), 4822), (Cut(51), 3943), (Cut(75), 4058)]),
        (4.93, &[(Split(75), 2093), (Split(36), 3851), (Cut(58), 2513), (Heal, 2558)]),
        (4.69, &[(Calm, 3884), (Cut(75), 2978), (Cut(72), 2601), (Restart(7), 3501)]),
    ];
    for (times, faults) in schedules {
        for seed in 1..=3 {
            let used = play_faults(LARGE, times, seed, 0.02, faults.iter().copied());
            println!("{times} {faults:?}, seed {seed}: {used:.3}");
            assert!(used <= 1.0, "{times} {faults:?}, seed {seed}: {used}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever is cut off or started anew, every two to five seconds, the bound holds.
    #[test]
    fn bound_holds(
        faults in prop::collection::vec((fault(), 2000..5000u64), 1..6),
        times in 0.3..5.0,
        is_large: bool,
        seed: u64,
        lost in 0.0..0.1,
    ) {
        let limit = if is_large { LARGE } else { SMALL };
        let used = play_faults(limit, times, seed, lost, faults);
        prop_assert!(used <= 1.0, "{}", used);
    }
}
