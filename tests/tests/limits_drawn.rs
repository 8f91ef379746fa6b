//! Limits that engines name, change and lift, under generated faults of boxes, datagrams and engines: no
//! engine gets more than its limit from boxes that it has announced the limit to.

use std::time::Duration;

use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_tests::faults::{BOX_COUNT, Fault, inject};
use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::{MODEL, PLAIN};
use proptest::prelude::*;

/// An event of a run.
#[derive(Debug, Clone)]
enum Event {
    /// A fault.
    Fault(Fault),
    /// Every n-th engine of a service names a limit, in thousandths of a request per second.
    Limit(&'static str, usize, u32),
    /// The engines of a service name no limit.
    Lift(&'static str),
}

/// Generates an event.
fn event() -> impl Strategy<Value = Event> {
    let service = || prop::sample::select(vec![PLAIN, MODEL]);
    prop_oneof![
        6 => fault().prop_map(Event::Fault),
        2 => (service(), 1..4usize, 50..9000u32)
            .prop_map(|(service, step, milli_rate)| Event::Limit(service, step, milli_rate)),
        1 => service().prop_map(Event::Lift),
    ]
}

/// Generates a fault.
fn fault() -> impl Strategy<Value = Fault> {
    let some = || prop::sample::subsequence((0..BOX_COUNT).collect::<Vec<_>>(), 1..=BOX_COUNT);
    prop_oneof![
        some().prop_map(Fault::Restart),
        (0..BOX_COUNT).prop_map(Fault::Stop),
        some().prop_map(Fault::Partition),
        Just(Fault::Heal),
        (0..40u8, 1..400u64).prop_map(|(lost, late)| Fault::Datagrams(lost, late)),
        (2..6usize).prop_map(Fault::Crash),
        (0..BOX_COUNT, 100..2500u64).prop_map(|(number, span)| Fault::Pause(number, span)),
        (0..=60u8, 0..=60u8).prop_map(|(reject_share, fails)| Fault::Engines(reject_share, fails)),
        (1..=3u8).prop_map(Fault::Traffic),
    ]
}

/// Returns every n-th engine of a service.
fn some_engines(fleet: &Fleet, service: &str, step: usize) -> Vec<EngineKey> {
    let engines = fleet.engines();
    let of_service = engines.iter().filter(|it| *it.service == *service);
    of_service.step_by(step).map(|it| it.key).collect()
}

/// Applies an event.
fn apply(fleet: &mut Fleet, event: &Event) {
    match event {
        Event::Fault(fault) => inject(fleet, fault),
        Event::Limit(service, step, milli_rate) => {
            let engines = some_engines(fleet, service, *step);
            fleet.set_limit(engines, Some(f64::from(*milli_rate) / 1e3));
        }
        Event::Lift(service) => {
            let engines = some_engines(fleet, service, 1);
            fleet.set_limit(engines, None);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 60, ..ProptestConfig::with_cases(8) })]

    /// Six boxes with up to three times the usual traffic.
    #[test]
    fn engine_limits_exceeded(
        seed in 0..1000u64,
        first_milli_rate in 50..9000u32,
        events in prop::collection::vec((event(), 100..3000u64), 1..14),
    ) {
        let mut fleet = Fleet::settled(BOX_COUNT, seed);
        apply(&mut fleet, &Event::Limit(PLAIN, 1, first_milli_rate));
        fleet.run(Duration::from_secs(2));
        for (event, pause) in &events {
            apply(&mut fleet, event);
            fleet.run(Duration::from_millis(*pause));
        }
        fleet.run(Duration::from_secs(6));
        let used = fleet.rate_limits.bound_used();
        prop_assert!(used <= 1.0, "{used:.2} of the allowed requests");
    }
}
