//! Engines that shut down or back off, under generated faults of boxes, datagrams and engines: none gets
//! more than allowed from boxes that know of it. Calls are not delayed in transit here: a delayed call was
//! sent before its box knew.

use std::time::Duration;

use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_tests::faults::{BOX_COUNT, Fault, inject};
use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::{MODEL, PLAIN};
use hollyspoke_tests::statements::{BackOffs, DRAIN, MAX_DURING_BACK_OFF};
use proptest::prelude::*;

/// An event of a run.
#[derive(Debug, Clone)]
enum Event {
    /// A fault.
    Fault(Fault),
    /// Every n-th engine of a service announces its shutdown.
    Drain(&'static str, usize),
    /// Every n-th engine of a service rejects all requests for some milliseconds of each period, which is
    /// in milliseconds too.
    BackOff(&'static str, usize, u64, u64),
    /// The engines of a service reject nothing.
    Accept(&'static str),
}

/// Generates an event.
fn event() -> impl Strategy<Value = Event> {
    let service = || prop::sample::select(vec![PLAIN, MODEL]);
    prop_oneof![
        6 => fault().prop_map(Event::Fault),
        1 => (service(), 1..6usize).prop_map(|(service, step)| Event::Drain(service, step)),
        2 => (service(), 1..4usize, 200..6000u64, 500..9000u64)
            .prop_map(|(service, step, length, interval)| Event::BackOff(service, step, length, interval)),
        1 => service().prop_map(Event::Accept),
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
        (0..70u8, 1..400u64).prop_map(|(lost, late)| Fault::Datagrams(lost, late)),
        (2..6usize).prop_map(Fault::Crash),
        (0..BOX_COUNT, 100..2500u64).prop_map(|(number, length)| Fault::Pause(number, length)),
        (0..=60u8, 0..=60u8).prop_map(|(reject_share, fails)| Fault::Engines(reject_share, fails)),
        (1..=3u8).prop_map(Fault::Traffic),
        Just(Fault::Reset),
    ]
}

/// Returns every n-th engine of a service.
fn some_engines(fleet: &Fleet, service: &str, step: usize) -> Vec<EngineKey> {
    fleet.engines_of(service).into_iter().step_by(step).collect()
}

/// Applies an event.
fn apply(fleet: &mut Fleet, event: &Event) {
    match *event {
        Event::Fault(ref fault) => inject(fleet, fault),
        Event::Drain(service, step) => fleet.drain(some_engines(fleet, service, step)),
        Event::BackOff(service, step, length, interval) => {
            let [length, interval] = [length.min(interval), interval].map(Duration::from_millis);
            fleet.back_off(
                some_engines(fleet, service, step),
                Some(BackOffs { duration: length, period: interval }),
            );
        }
        Event::Accept(service) => fleet.back_off(some_engines(fleet, service, 1), None),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 60, ..ProptestConfig::with_cases(8) })]

    /// Six boxes with up to three times the usual traffic.
    #[test]
    fn engine_terms_ignored(
        seed in 0..1000u64,
        events in prop::collection::vec((event(), 100..3000u64), 1..14),
    ) {
        let mut fleet = Fleet::settled(BOX_COUNT, seed);
        for (event, pause) in &events {
            apply(&mut fleet, event);
            fleet.run(Duration::from_millis(*pause));
        }
        fleet.run(Duration::from_secs(6));
        prop_assert_eq!(fleet.statements.late(DRAIN), 0);
        let max_sent = fleet.statements.max_during_back_off();
        prop_assert!(max_sent <= MAX_DURING_BACK_OFF, "{max_sent} requests from one box during a back-off");
    }
}
