//! Limits that engines name, change and lift, under drawn faults of boxes, datagrams and engines: no
//! engine gets more than is allowed from boxes that it has told.

use std::time::Duration;

use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_tests::faults::{BOX_COUNT, Fault, inject};
use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::{MODEL, PLAIN};
use proptest::prelude::*;

/// What happens.
#[derive(Debug, Clone)]
enum Act {
    /// A fault.
    Fault(Fault),
    /// Engines of a service name a limit: one of so many, in thousandths of a request a second.
    Limit(&'static str, usize, u32),
    /// Engines of a service name none.
    Lift(&'static str),
}

/// Draws what happens.
fn act() -> impl Strategy<Value = Act> {
    let service = || prop::sample::select(vec![PLAIN, MODEL]);
    prop_oneof![
        6 => fault().prop_map(Act::Fault),
        2 => (service(), 1..4usize, 50..9000u32)
            .prop_map(|(service, step, milli)| Act::Limit(service, step, milli)),
        1 => service().prop_map(Act::Lift),
    ]
}

/// Draws a fault.
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

/// Gives the engines of a service, one of so many.
fn some_engines(fleet: &Fleet, service: &str, step: usize) -> Vec<EngineKey> {
    let engines = fleet.engines();
    let of_service = engines.iter().filter(|it| *it.service == *service);
    of_service.step_by(step).map(|it| it.key).collect()
}

/// Has something happen.
fn play(fleet: &mut Fleet, act: &Act) {
    match act {
        Act::Fault(fault) => inject(fleet, fault),
        Act::Limit(service, step, milli) => {
            let engines = some_engines(fleet, service, *step);
            fleet.set_limit(engines, Some(f64::from(*milli) / 1e3));
        }
        Act::Lift(service) => {
            let engines = some_engines(fleet, service, 1);
            fleet.set_limit(engines, None);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 60, ..ProptestConfig::with_cases(8) })]

    /// Six boxes, the usual traffic and up to three times as much.
    #[test]
    fn engines_get_what_they_take(
        seed in 0..1000u64,
        first in 50..9000u32,
        acts in prop::collection::vec((act(), 100..3000u64), 1..14),
    ) {
        let mut fleet = Fleet::settled(BOX_COUNT, seed);
        play(&mut fleet, &Act::Limit(PLAIN, 1, first));
        fleet.run(Duration::from_secs(2));
        for (act, pause) in &acts {
            play(&mut fleet, act);
            fleet.run(Duration::from_millis(*pause));
        }
        fleet.run(Duration::from_secs(6));
        let used = fleet.rate_limits.bound_used();
        prop_assert!(used <= 1.0, "{used:.2} of what is allowed");
    }
}
