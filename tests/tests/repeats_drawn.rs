//! The bound on repeats under drawn loads and faults: buckets alone, and whole boxes.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::budget::{BoxShare, Budget};
use hollyspoke_tests::faults::{BOX_COUNT, Fault, inject};
use hollyspoke_tests::fleet::{BOUND, Behaviour, Fleet};
use hollyspoke_tests::gateway::{MODEL, PLAIN};
use hollyspoke_tests::repeats::{Arrival, ClientRequest, Records};
use proptest::prelude::*;

/// What happens to the buckets of several boxes.
#[derive(Debug, Clone, Copy)]
enum Act {
    /// Requests arrive at a box.
    Requests(usize, u8),
    /// A box wants to repeat.
    Repeats(usize, u8),
    /// Time passes, in milliseconds.
    Pass(u16),
    /// A box starts anew.
    Restart(usize),
}

/// How a box starts anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// With an empty bucket.
    Empty,
    /// With a full one: a mistake to be caught.
    Full,
}

/// The boxes whose buckets are drawn.
const BOXES: usize = 4;

/// Draws what happens.
fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        (0..BOXES, 1..60u8).prop_map(|(number, count)| Act::Requests(number, count)),
        (0..BOXES, 1..60u8).prop_map(|(number, count)| Act::Repeats(number, count)),
        (1..3000u16).prop_map(Act::Pass),
        (0..BOXES).prop_map(Act::Restart),
    ]
}

/// Gives what a start puts into a bucket.
fn begin(start: Start, now: Time, part: BoxShare<'_>) -> Budget {
    let mut budget = Budget::default();
    if start == Start::Full {
        for _ in 0..1000 {
            budget.add_request(now, part);
        }
    }
    budget
}

/// Plays what was drawn on buckets; gives the share of the bound that was used.
fn play(acts: &[Act], start: Start) -> f64 {
    let part = BoxShare { bound: &BOUND, box_count: BOXES };
    let mut now = Time::from_millis(1);
    let mut lives: Vec<_> = (0..BOXES).map(|_| (now, begin(start, Time::ZERO, part))).collect();
    let mut records = Records::default();
    // All calls are of one request, which has come to an engine already.
    let call =
        Arrival { service: PLAIN, request: (0, 0, 0), at: Time::ZERO, is_accepted_prefill: false };
    records.arrivals.push(call);
    for &act in acts {
        match act {
            Act::Requests(number, count) => {
                let (began, budget) = &mut lives[number];
                for _ in 0..count {
                    budget.add_request(Time::ZERO + now.since(*began), part);
                    records.requests.push(ClientRequest { service: PLAIN, at: now });
                }
            }
            Act::Repeats(number, count) => {
                let (began, budget) = &mut lives[number];
                for _ in 0..count {
                    if budget.take(Time::ZERO + now.since(*began), part) {
                        records.arrivals.push(Arrival { at: now, ..call });
                    }
                }
            }
            Act::Pass(span) => now = now + Duration::from_millis(u64::from(span)),
            Act::Restart(number) => lives[number] = (now, begin(start, Time::ZERO, part)),
        }
    }
    records.bound_used(PLAIN, &BOUND)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Whatever arrives, whoever starts when: all lives of all boxes together stay within the bound.
    #[test]
    fn buckets_keep_the_bound(acts in prop::collection::vec(act(), 1..120)) {
        let used = play(&acts, Start::Empty);
        prop_assert!(used <= 0.91, "{used}");
    }
}

/// Buckets that are full at each start break it, so that the property can fail.
#[test]
fn full_starts_are_caught() {
    let crash_loop: Vec<_> = (0..12)
        .flat_map(|it| [Act::Restart(it % BOXES), Act::Repeats(it % BOXES, 60), Act::Pass(100)])
        .collect();
    assert!(play(&crash_loop, Start::Full) > 1.0);
    assert!(play(&crash_loop, Start::Empty) <= 0.91);
}

/// Draws a fault.
fn fault() -> impl Strategy<Value = Fault> {
    let some = || prop::sample::subsequence((0..BOX_COUNT).collect::<Vec<_>>(), 1..=BOX_COUNT);
    prop_oneof![
        some().prop_map(Fault::Restart),
        (0..BOX_COUNT).prop_map(Fault::Stop),
        some().prop_map(Fault::Partition),
        Just(Fault::Heal),
        (0..BOX_COUNT, 100..2500u64).prop_map(|(number, span)| Fault::Pause(number, span)),
        (0..BOX_COUNT, 100..800u64).prop_map(|(number, span)| Fault::DelayCalls(number, span)),
        (0..80u8, 1..1500u64).prop_map(|(lost, late)| Fault::Datagrams(lost, late)),
        (0..=100u8, 0..=100u8)
            .prop_map(|(reject_share, fails)| Fault::Engines(reject_share, fails)),
        (1..=3u8).prop_map(Fault::Traffic),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 60, ..ProptestConfig::with_cases(8) })]

    /// Six boxes whose engines fail nearly all calls, under drawn faults.
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
