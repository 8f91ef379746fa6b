//! The bound on repeats of a request that crashes engines, under generated faults of boxes, datagrams and
//! engines.

use std::time::Duration;

use hollyspoke_tests::crashes::Harmful;
use hollyspoke_tests::faults::{BOX_COUNT, Fault, inject};
use hollyspoke_tests::fleet::Fleet;
use proptest::prelude::*;

/// The time after the third crash within which the announcement reaches all boxes.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of repeats after that time.
const MAX_REPEAT_COUNT: usize = 3;

/// Generates a fault.
fn fault() -> impl Strategy<Value = Fault> {
    let some = || prop::sample::subsequence((0..BOX_COUNT).collect::<Vec<_>>(), 1..=BOX_COUNT);
    prop_oneof![
        some().prop_map(Fault::Restart),
        (0..BOX_COUNT).prop_map(Fault::Stop),
        some().prop_map(Fault::Partition),
        Just(Fault::Heal),
        (0..70u8, 1..800u64).prop_map(|(lost, late_count)| Fault::Datagrams(lost, late_count)),
        (2..6usize).prop_map(Fault::Crash),
        Just(Fault::Reset),
        (0..BOX_COUNT, 100..2500u64).prop_map(|(number, span)| Fault::Pause(number, span)),
        (0..BOX_COUNT, 100..800u64).prop_map(|(number, span)| Fault::DelayCalls(number, span)),
        (0..=100u8, 0..=100u8)
            .prop_map(|(reject_share, fails)| Fault::Engines(reject_share, fails)),
        (1..=3u8).prop_map(Fault::Traffic),
    ]
}

/// Generates a harmful request.
fn harmful() -> impl Strategy<Value = Harmful> {
    let routes = prop::sample::select(vec!["resumed", "once", "safe", "unsafe"]);
    (routes, 100..1500u64, any::<bool>()).prop_map(|(route, every, crashes_on_prefill)| Harmful {
        route,
        every: Duration::from_millis(every),
        crashes_on_prefill,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 60, ..ProptestConfig::with_cases(8) })]

    /// Under any faults, the request is sent to engines no more often than allowed.
    #[test]
    fn repeats_are_bounded(
        seed in 0..1000u64,
        harmful in harmful(),
        faults in prop::collection::vec((fault(), 100..3000u64), 1..12),
    ) {
        let mut fleet = Fleet::settled(BOX_COUNT, seed);
        fleet.harmful = Some(harmful);
        for (fault, pause) in &faults {
            inject(&mut fleet, fault);
            fleet.run(Duration::from_millis(*pause));
        }
        fleet.run(Duration::from_secs(5));
        let late_count = fleet.crashes.late_arrivals(ANNOUNCEMENT_TIMEOUT).unwrap_or(0);
        prop_assert!(late_count <= MAX_REPEAT_COUNT, "{late_count} late arrivals, {} crashes", fleet.crashes.harmful_crashes.len());
    }

    /// Under any faults, no harmless request, popular or not, is put into quarantine.
    #[test]
    fn harmless_requests_held(
        seed in 0..1000u64,
        harmful in harmful(),
        popular in prop::sample::select(vec!["resumed", "once", "safe"]),
        faults in prop::collection::vec((fault(), 100..3000u64), 1..12),
    ) {
        let mut fleet = Fleet::settled(BOX_COUNT, seed);
        fleet.harmful = Some(harmful);
        fleet.popular = Some((popular, Duration::from_millis(100)));
        for (fault, pause) in &faults {
            inject(&mut fleet, fault);
            fleet.run(Duration::from_millis(*pause));
        }
        fleet.run(Duration::from_secs(5));
        prop_assert_eq!(fleet.crashes.wrongly_quarantined(), 0);
    }
}
