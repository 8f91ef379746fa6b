//! Engines that leave, and engines that rest, under drawn faults of boxes, datagrams and engines: none
//! gets more than is allowed from boxes that it has told. Calls that are held up on the way are left
//! out: they were sent before their box was told.

use std::time::Duration;

use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_tests::faults::{BOX_COUNT, Fault, inject};
use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::{MODEL, PLAIN};
use hollyspoke_tests::statements::{BackOffs, DRAIN, MAX_DURING_BACK_OFF};
use proptest::prelude::*;

/// What happens.
#[derive(Debug, Clone)]
enum Act {
    /// A fault.
    Fault(Fault),
    /// Engines of a service say that they leave: one of so many.
    Leave(&'static str, usize),
    /// Engines of a service turn all away at times: one of so many, for so many milliseconds of each so
    /// many.
    Rest(&'static str, usize, u64, u64),
    /// Engines of a service turn nothing away.
    Work(&'static str),
}

/// Draws what happens.
fn act() -> impl Strategy<Value = Act> {
    let service = || prop::sample::select(vec![PLAIN, MODEL]);
    prop_oneof![
        6 => fault().prop_map(Act::Fault),
        1 => (service(), 1..6usize).prop_map(|(service, step)| Act::Leave(service, step)),
        2 => (service(), 1..4usize, 200..6000u64, 500..9000u64)
            .prop_map(|(service, step, span, every)| Act::Rest(service, step, span, every)),
        1 => service().prop_map(Act::Work),
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
        (0..70u8, 1..400u64).prop_map(|(lost, late)| Fault::Datagrams(lost, late)),
        (2..6usize).prop_map(Fault::Crash),
        (0..BOX_COUNT, 100..2500u64).prop_map(|(number, span)| Fault::Pause(number, span)),
        (0..=60u8, 0..=60u8).prop_map(|(reject_share, fails)| Fault::Engines(reject_share, fails)),
        (1..=3u8).prop_map(Fault::Traffic),
        Just(Fault::Reset),
    ]
}

/// Gives the engines of a service, one of so many.
fn some_engines(fleet: &Fleet, service: &str, step: usize) -> Vec<EngineKey> {
    fleet.engines_of(service).into_iter().step_by(step).collect()
}

/// Has something happen.
fn play(fleet: &mut Fleet, act: &Act) {
    match *act {
        Act::Fault(ref fault) => inject(fleet, fault),
        Act::Leave(service, step) => fleet.drain(some_engines(fleet, service, step)),
        Act::Rest(service, step, span, every) => {
            let [span, every] = [span.min(every), every].map(Duration::from_millis);
            fleet.back_off(
                some_engines(fleet, service, step),
                Some(BackOffs { duration: span, period: every }),
            );
        }
        Act::Work(service) => fleet.back_off(some_engines(fleet, service, 1), None),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 60, ..ProptestConfig::with_cases(8) })]

    /// Six boxes, the usual traffic and up to three times as much.
    #[test]
    fn engines_terms_are_kept(
        seed in 0..1000u64,
        acts in prop::collection::vec((act(), 100..3000u64), 1..14),
    ) {
        let mut fleet = Fleet::settled(BOX_COUNT, seed);
        for (act, pause) in &acts {
            play(&mut fleet, act);
            fleet.run(Duration::from_millis(*pause));
        }
        fleet.run(Duration::from_secs(6));
        prop_assert_eq!(fleet.statements.late(DRAIN), 0);
        let most = fleet.statements.max_during_back_off();
        prop_assert!(most <= MAX_DURING_BACK_OFF, "{most} from one box while it rests");
    }
}
