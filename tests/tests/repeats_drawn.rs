//! The bound on repeats under generated loads and faults: the budgets alone, and whole boxes.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::budget::{BoxShare, Budget};
use hollyspoke_tests::faults::{BOX_COUNT, Fault, inject};
use hollyspoke_tests::fleet::{BOUND, Behaviour, Fleet};
use hollyspoke_tests::gateway::{MODEL, PLAIN};
use hollyspoke_tests::repeats::{Arrival, ClientRequest, Records};
use proptest::prelude::*;

/// An event at the budgets of several boxes.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Requests arrive at a box.
    Requests(usize, u8),
    /// A box tries to repeat requests.
    Repeats(usize, u8),
    /// Time passes, in milliseconds.
    Wait(u16),
    /// A box restarts.
    Restart(usize),
}

/// The budget of a box after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InitialBudget {
    /// An empty budget.
    Empty,
    /// A full budget, a mistake that the test has to detect.
    Full,
}

/// The number of boxes in the runs with budgets alone.
const BUDGET_BOX_COUNT: usize = 4;

/// Generates an event.
fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..BUDGET_BOX_COUNT, 1..60u8).prop_map(|(number, count)| Event::Requests(number, count)),
        (0..BUDGET_BOX_COUNT, 1..60u8).prop_map(|(number, count)| Event::Repeats(number, count)),
        (1..3000u16).prop_map(Event::Wait),
        (0..BUDGET_BOX_COUNT).prop_map(Event::Restart),
    ]
}

/// Returns the budget of a box that starts.
fn new_budget(initial: InitialBudget, now: Time, share: BoxShare<'_>) -> Budget {
    let mut budget = Budget::default();
    if initial == InitialBudget::Full {
        for _ in 0..1000 {
            budget.add_request(now, share);
        }
    }
    budget
}

/// Applies events to budgets; returns the used share of the bound.
fn run(events: &[Event], initial: InitialBudget) -> f64 {
    let share = BoxShare { bound: &BOUND, box_count: BUDGET_BOX_COUNT };
    let mut now = Time::from_millis(1);
    let mut budgets: Vec<_> =
        (0..BUDGET_BOX_COUNT).map(|_| (now, new_budget(initial, Time::ZERO, share))).collect();
    let mut records = Records::default();
    // All calls are of one request that an engine has received already.
    let call =
        Arrival { service: PLAIN, request: (0, 0, 0), at: Time::ZERO, is_accepted_prefill: false };
    records.arrivals.push(call);
    for &event in events {
        match event {
            Event::Requests(number, count) => {
                let (started_at, budget) = &mut budgets[number];
                for _ in 0..count {
                    budget.add_request(Time::ZERO + now.since(*started_at), share);
                    records.requests.push(ClientRequest { service: PLAIN, at: now });
                }
            }
            Event::Repeats(number, count) => {
                let (started_at, budget) = &mut budgets[number];
                for _ in 0..count {
                    if budget.take(Time::ZERO + now.since(*started_at), share) {
                        records.arrivals.push(Arrival { at: now, ..call });
                    }
                }
            }
            Event::Wait(duration_ms) => now = now + Duration::from_millis(u64::from(duration_ms)),
            Event::Restart(number) => {
                budgets[number] = (now, new_budget(initial, Time::ZERO, share))
            }
        }
    }
    records.bound_used(PLAIN, &BOUND)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// All incarnations of all boxes together stay within the bound.
    #[test]
    fn buckets_keep_the_bound(events in prop::collection::vec(event(), 1..120)) {
        let used = run(&events, InitialBudget::Empty);
        prop_assert!(used <= 0.91, "{used}");
    }
}

/// Budgets that are full at each start exceed the bound, which shows that the property can fail.
#[test]
fn full_start_not_detected() {
    let crash_loop: Vec<_> = (0..12)
        .flat_map(|it| {
            [
                Event::Restart(it % BUDGET_BOX_COUNT),
                Event::Repeats(it % BUDGET_BOX_COUNT, 60),
                Event::Wait(100),
            ]
        })
        .collect();
    assert!(run(&crash_loop, InitialBudget::Full) > 1.0);
    assert!(run(&crash_loop, InitialBudget::Empty) <= 0.91);
}

/// Generates a fault.
fn fault() -> impl Strategy<Value = Fault> {
    let some = || prop::sample::subsequence((0..BOX_COUNT).collect::<Vec<_>>(), 1..=BOX_COUNT);
    prop_oneof![
        some().prop_map(Fault::Restart),
        (0..BOX_COUNT).prop_map(Fault::Stop),
        some().prop_map(Fault::Partition),
        Just(Fault::Heal),
        (0..BOX_COUNT, 100..2500u64)
            .prop_map(|(number, duration_ms)| Fault::Pause(number, duration_ms)),
        (0..BOX_COUNT, 100..800u64)
            .prop_map(|(number, duration_ms)| Fault::DelayCalls(number, duration_ms)),
        (0..80u8, 1..1500u64).prop_map(|(lost, late)| Fault::Datagrams(lost, late)),
        (0..=100u8, 0..=100u8)
            .prop_map(|(reject_share, fails)| Fault::Engines(reject_share, fails)),
        (1..=3u8).prop_map(Fault::Traffic),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 60, ..ProptestConfig::with_cases(8) })]

    /// Six boxes whose engines fail nearly all calls, under generated faults.
    #[test]
    fn boxes_keep_the_bound(
        seed in 0..1000u64,
        faults in prop::collection::vec((fault(), 100..3000u64), 1..14),
    ) {
        let mut fleet = Fleet::settled(BOX_COUNT, seed);
        fleet.behaviour = Behaviour { reject_share: 0.6, fail_share: 0.9 };
        for (fault, pause) in &faults {
            inject(&mut fleet, fault);
            fleet.run(Duration::from_millis(*pause));
        }
        fleet.run(Duration::from_secs(5));
        for service in [PLAIN, MODEL] {
            let used = fleet.records.bound_used(service, &BOUND);
            prop_assert!(used <= 1.0, "{service}: {used}");
        }
    }
}
