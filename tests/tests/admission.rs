//! Admission of requests while capacity is short: who is served, by priority and by customer, at
//! several boxes whose figures are a heartbeat old.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke_gateway::admission::{Ask, Contention, Decision, FLOOR_SHARE, decide};
use hollyspoke_gateway::class::{Class, Load};
use hollyspoke_gateway::customer::CustomerKey;
use hollyspoke_gateway::pool::Pool;
use hollyspoke_tests::overload::{Outcome, Served, Traffic, play};
use proptest::prelude::*;

/// The numbers of boxes.
const BOXES: [usize; 3] = [8, 65, 300];

/// The load in multiples of the capacity.
const LOADS: [f64; 3] = [2.0, 4.0, 8.0];

/// The tolerance of shares that are counted over some thousand requests.
const TOLERANCE: f64 = 0.03;

/// The part of each priority in the traffic.
const PARTS: [f64; 3] = [0.3, 0.3, 0.4];

/// Returns traffic of three priorities, in multiples of the capacity.
fn three_priorities(load: f64) -> Vec<Traffic> {
    let priorities = (0..).zip(PARTS);
    priorities
        .map(|(priority, part)| Traffic { priority, customer: 1, load: load * part })
        .collect()
}

/// Plays traffic at each number of boxes.
fn play_all(traffic: &[Traffic], check: impl Fn(usize, Outcome)) {
    for boxes in BOXES {
        check(boxes, play(boxes, traffic, true, 7));
    }
}

#[test]
fn routine_served_first() {
    for load in LOADS {
        play_all(&three_priorities(load), |boxes, outcome| {
            let shares: Vec<f64> = outcome.classes.iter().map(|it| it.share()).collect();
            println!("{boxes} boxes, load {load}: {shares:.3?}, used {:.3}", outcome.used_share);
            let is_ordered = shares.windows(2).all(|it| it[0] + TOLERANCE >= it[1]);
            assert!(is_ordered, "{boxes} boxes, load {load}: {shares:?}");
        });
    }
}

#[test]
fn urgent_refused() {
    play_all(&three_priorities(2.0), |boxes, outcome| {
        let share = outcome.classes[0].share();
        assert!(share >= 0.95, "{boxes} boxes: {share}");
    });
}

/// Some hundred requests are served under the floor in one run, so that several are added up.
#[test]
fn floor_missed() {
    for load in LOADS {
        for boxes in BOXES {
            let mut sum = Served::default();
            for seed in 1..=4 {
                let outcome = play(boxes, &three_priorities(load), true, seed);
                sum.arrived += outcome.classes[2].arrived;
                sum.ran += outcome.classes[2].ran;
            }
            let (share, floor) = (sum.share(), FLOOR_SHARE / load);
            println!("{boxes} boxes, load {load}: {share:.4}, floor {floor}");
            assert!(share >= floor * 0.9, "{boxes} boxes, load {load}: {share}, floor {floor}");
        }
    }
}

/// A customer sends four times the capacity, and another one a fifth of it.
#[test]
fn crowd_costs_others() {
    let small = Traffic { priority: 1, customer: 1, load: 0.2 };
    let crowd = Traffic { priority: 1, customer: 2, load: 4.0 };
    play_all(&[small, crowd], |boxes, outcome| {
        let share = outcome.classes[0].share();
        println!("{boxes} boxes: {share:.3}, used {:.3}", outcome.used_share);
        assert!(share >= 0.95, "{boxes} boxes: {share}");
    });
}

#[test]
fn capacity_unused() {
    for load in LOADS {
        let traffic = three_priorities(load);
        play_all(&traffic, |boxes, outcome| {
            let without = play(boxes, &traffic, false, 7).used_share;
            let used = outcome.used_share;
            assert!(used >= without * 0.9, "{boxes} boxes, load {load}: {used} of {without}");
        });
    }
}

/// Returns a pool of which some share is free.
fn pool(free_share: f64) -> Pool {
    let capacity = 10_000.0;
    let placeable = capacity * free_share;
    let held = capacity - placeable;
    Pool { capacity, held, placeable, released_per_s: held / 2.0, heard_share: 1.0 }
}

/// Returns the class of a priority and a customer.
fn class(priority: u8, customer: u64) -> Class {
    Class { service: 1, priority, customer: Some(CustomerKey(customer)) }
}

/// Returns a request of a class that has just arrived.
fn ask(class: Class, units: f64) -> Ask {
    let patience = Duration::from_millis(250);
    Ask { class, units, is_waiting: false, is_returning: false, patience, draw: 0.99 }
}

/// Arranges classes as after a heartbeat.
fn contention(pool: &Pool, classes: &BTreeMap<Class, Load>) -> Contention {
    Contention::new(pool, classes, 100.0, Duration::from_millis(350))
}

/// Draws the load of some classes.
fn classes() -> impl Strategy<Value = BTreeMap<Class, Load>> {
    let load = (0u64..20_000_000, 0u32..4000, 3000u32..8000)
        .prop_map(|(rate, waiting, running)| Load { arriving_milli_per_s: rate, waiting, running });
    let class = (0u8..4, 0u64..4).prop_map(|(priority, customer)| class(priority, customer));
    prop::collection::btree_map(class, load, 0..12)
}

proptest! {
    #[test]
    fn plentiful_capacity_given(classes in classes(), free in 0.25f64..1.0, units in 1.0f64..500.0) {
        let pool = pool(free);
        let contention = contention(&pool, &classes);
        for &class in classes.keys() {
            prop_assert_eq!(decide(&pool, &contention, &ask(class, units)), Decision::Admit);
        }
    }

    /// While all priorities have their floor, a request is never worse off for being more urgent.
    #[test]
    fn urgent_behind_routine(classes in classes(), free in 0.0f64..0.3, units in 1.0f64..500.0) {
        let pool = pool(free);
        let contention = contention(&pool, &classes);
        let reserves: Vec<f64> =
            (0..4).map(|it| contention.reserve(&pool, &ask(class(it, 9), units))).collect();
        prop_assert!(reserves[0] >= 0.0);
        prop_assert!(reserves.windows(2).all(|it| it[0] <= it[1] + 1e-6), "{:?}", reserves);
    }

    /// What a box can't hear of counts as in use.
    #[test]
    fn unheard_capacity_used(heard in 0.0f64..1.0, units in 100.0f64..500.0) {
        let mut pool = pool(0.2);
        pool.heard_share = heard;
        let urgent = Load { arriving_milli_per_s: 1_000_000, waiting: 100, running: 1000 };
        let classes = BTreeMap::from([(class(0, 1), urgent)]);
        let contention = contention(&pool, &classes);
        let decision = decide(&pool, &contention, &ask(class(1, 1), units));
        let is_free = pool.capacity * heard >= pool.held + units;
        prop_assert!(is_free || decision != Decision::Admit);
    }
}

/// Nobody is before the most urgent class, and a request that can't be served in time is refused at
/// once.
#[test]
fn hopeless_request_kept() {
    let pool = pool(0.0);
    let urgent = Load { arriving_milli_per_s: 9_000_000, waiting: 500, running: 10_000 };
    let routine = Load { arriving_milli_per_s: 1000, waiting: 0, running: 5000 };
    let classes = BTreeMap::from([(class(0, 1), urgent), (class(2, 1), routine)]);
    let contention = contention(&pool, &classes);
    assert_eq!(decide(&pool, &contention, &ask(class(2, 1), 100.0)), Decision::Reject);
    assert_eq!(decide(&pool, &contention, &ask(class(0, 1), 100.0)), Decision::Admit);
}

/// A priority below its floor is before more urgent ones.
#[test]
fn starved_priority_behind() {
    let pool = pool(0.02);
    let urgent = Load { arriving_milli_per_s: 9_000_000, waiting: 500, running: 10_000 };
    let routine = Load { arriving_milli_per_s: 9_000_000, waiting: 200, running: 0 };
    let classes = BTreeMap::from([(class(0, 1), urgent), (class(2, 1), routine)]);
    let contention = contention(&pool, &classes);
    let routine = Ask { draw: 0.0, ..ask(class(2, 1), 100.0) };
    assert_eq!(decide(&pool, &contention, &routine), Decision::Admit);
    assert_ne!(decide(&pool, &contention, &ask(class(0, 1), 100.0)), Decision::Admit);
}
