//! Evacuated data centres in the reducer: no call, question or order goes there, whoever told of it
//! first, and what was lifted stays lifted.
//!
//! Boxes sent 888 requests to the engines of a data centre after its evacuation was in force,
//! prompts to be read among them, since nothing knew of evacuations.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, NotRunReason, Refusal, Task};
use hollyspoke_gateway::engine::{Engine, Stage};
use hollyspoke_gateway::evacuation::{Change, Evacuation};
use hollyspoke_gateway::event::{CallEvent, Event, Kind};
use hollyspoke_gateway::message::{Message, StoreView};
use hollyspoke_gateway::snapshot::SnapshotRequest;
use hollyspoke_tests::gateway::{
    MODEL, PLAIN, World, configuration, engine, heartbeat, only_refusal, only_send, prefilled, ran,
    rejected, request, settings,
};
use proptest::prelude::*;

/// Gives an engine in a data centre.
fn engine_in(number: u8, service: &str, stage: Option<Stage>, data_centre: &str) -> Engine {
    Engine { data_centre: data_centre.into(), ..engine(number, service, stage) }
}

/// Gives engines of each kind in `north` (odd numbers) and in `south` (even ones).
fn engines() -> Vec<Engine> {
    let of = |number: u8, service: &str, stage| {
        let data_centre = if number.is_multiple_of(2) { "south" } else { "north" };
        engine_in(number, service, stage, data_centre)
    };
    let (reads, generates) = (Some(Stage::Prefill), Some(Stage::Decode));
    vec![
        of(1, PLAIN, None),
        of(2, PLAIN, None),
        of(11, MODEL, reads),
        of(12, MODEL, reads),
        of(21, MODEL, generates),
        of(22, MODEL, generates),
    ]
}

/// Makes a box that knows engines in both data centres.
fn world() -> World {
    let mut world = World::unconfigured();
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    world
}

/// Gives a state at a revision.
fn evacuated(revision: u64, data_centres: &[&str]) -> Evacuation {
    let data_centres = data_centres.iter().map(|&it| Arc::from(it)).collect();
    Evacuation { revision: revision.into(), data_centres }
}

/// Gives the data centres of the engines that a box sends to, asks or orders.
fn reached(effects: &[Effect]) -> BTreeSet<String> {
    let engines = effects.iter().filter_map(|it| match it {
        Effect::Send(send) => Some(&send.engine),
        Effect::QueryCachedPrompts(engine)
        | Effect::QueryOrderCount(engine)
        | Effect::Probe(engine) => Some(engine),
        Effect::Order(order) => Some(&order.engine),
        _ => None,
    });
    engines.map(|it| it.data_centre.to_string()).collect()
}

/// Has plain requests arrive and gives the data centres that they go to.
fn plain_go_to(world: &mut World) -> BTreeSet<String> {
    (0..8).flat_map(|_| reached(&world.arrive(request("safe")).1)).collect()
}

/// Gives a datagram of another box with a state.
fn heard(sequence: u64, evacuation: Evacuation) -> Message {
    Message { evacuation, ..heartbeat(2, sequence, StoreView::default()) }
}

#[test]
fn calls_go_elsewhere_and_back() {
    let mut world = world();
    assert_eq!(plain_go_to(&mut world).len(), 2);
    world.event(Event::Evacuated(evacuated(20, &["north"])));
    assert_eq!(plain_go_to(&mut world), BTreeSet::from(["south".to_owned()]));
    let (_, send) = world.first_call(request("resumed"));
    assert_eq!(*send.engine.data_centre, *"south");
    world.event(Event::EvacuationChanged(vec![Change::Lifted("north".into())], 30.into()));
    assert!(plain_go_to(&mut world).contains("north"));
}

#[test]
fn engines_that_come_later_are_left_out_too() {
    let mut world = world();
    world.event(Event::Evacuated(evacuated(20, &["north"])));
    let mut all = engines();
    all.push(engine_in(3, PLAIN, None, "north"));
    world.event(Event::Listed(all, 30.into()));
    assert_eq!(plain_go_to(&mut world), BTreeSet::from(["south".to_owned()]));
}

#[test]
fn a_retry_goes_elsewhere() {
    let mut world = world();
    let (_, send) = world.first_call(request("safe"));
    world.event(Event::Evacuated(evacuated(20, &[&*send.engine.data_centre])));
    let effects = world.call(send.call, CallEvent::Answered(rejected()));
    assert_ne!(only_send(&effects).engine.data_centre, send.engine.data_centre);
}

#[test]
fn a_stream_goes_on_elsewhere() {
    let mut world = world();
    let (_, generating) = world.begin_stream(request("resumed"));
    let from = generating.engine.data_centre.clone();
    world.event(Event::Evacuated(evacuated(20, &[&*from])));
    // What runs goes on; only when it breaks the stream moves.
    let effects = world.call(generating.call, CallEvent::Forwarded(Some(3)));
    assert!(effects.is_empty(), "{effects:?}");
    let effects = world.call(generating.call, CallEvent::Broken);
    assert_eq!(reached(&effects).len(), 1, "{effects:?}");
    assert!(!reached(&effects).contains(&*from), "{effects:?}");
}

#[test]
fn a_prompt_read_there_is_not_freed_there() {
    let mut world = world();
    world.event(Event::Evacuated(evacuated(20, &["south"])));
    let (flight, reading) = world.first_call(request("once"));
    assert_eq!((&*reading.engine.data_centre, &reading.task), ("north", &Task::Prefill));
    let effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    let generating = only_send(&effects);
    world.event(Event::Evacuated(evacuated(30, &["north", "south"])));
    let mut effects = world.call(generating.call, CallEvent::Answered(rejected()));
    effects.extend(world.event(Event::ClientDisconnected(flight)));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Free(_))), "{effects:?}");
}

#[test]
fn refused_at_once_where_nothing_is_left() {
    let mut world = world();
    world.event(Event::Evacuated(evacuated(20, &["north", "south"])));
    for route in ["safe", "unsafe", "once", "resumed"] {
        let (_, effects) = world.arrive(request(route));
        let refusal = only_refusal(&effects);
        let reason = match refusal {
            Refusal::NotRun(_, reason, _) => reason,
            other => panic!("{route}: {other:?}"),
        };
        assert_eq!(reason, NotRunReason::Evacuated, "{route}");
    }
}

#[test]
fn no_question_to_a_broken_engine() {
    let mut world = world();
    let (_, send) = world.first_call(request("unsafe"));
    world.event(Event::Evacuated(evacuated(20, &[&*send.engine.data_centre])));
    let effects = world.gateway.step(world.now, Event::Call(send.call, CallEvent::Broken));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Probe(_))), "{effects:?}");
}

#[test]
fn told_to_a_box_without_the_store() {
    let mut world = world();
    world.event(Event::StoreFailed(Kind::Evacuations));
    world.event(Event::Received(heard(1, evacuated(20, &["north"]))));
    assert_eq!(plain_go_to(&mut world), BTreeSet::from(["south".to_owned()]));
    world.event(Event::Received(heard(2, evacuated(40, &[]))));
    assert!(plain_go_to(&mut world).contains("north"));
    // A box that is behind brings nothing back.
    world.event(Event::Received(heard(3, evacuated(20, &["south"]))));
    assert!(plain_go_to(&mut world).contains("south"));
}

#[test]
fn a_change_is_told_to_all_at_once() {
    let mut world = world();
    world.event(Event::Received(heard(1, Evacuation::default())));
    let effects = world.gateway.step(world.now, Event::Evacuated(evacuated(20, &["north"])));
    let is_told = |it: &Effect| matches!(it, Effect::Announce(_, message) if message.evacuation == evacuated(20, &["north"]));
    assert!(effects.iter().any(is_told), "{effects:?}");
}

#[test]
fn a_box_that_starts_gets_it_from_another() {
    let mut provider = world();
    provider.event(Event::Evacuated(evacuated(20, &["north"])));
    let mut world = World::numbered(2);
    world.event(Event::SnapshotReceived(
        settings(2).peer,
        Box::new(provider.gateway.snapshot(SnapshotRequest::default())),
    ));
    assert_eq!(plain_go_to(&mut world), BTreeSet::from(["south".to_owned()]));
}

#[test]
fn not_ready_before_it_is_known() {
    let mut world = World::unconfigured();
    world.now = hollyspoke::time::Time::from_millis(100);
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    let (_, effects) = world.arrive(request("safe"));
    assert!(matches!(only_refusal(&effects), Refusal::NotRun(..)), "{effects:?}");
    world.advance(Duration::from_millis(1000));
    assert!(world.gateway.is_ready());
    // An answer that came after all is taken.
    world.event(Event::Evacuated(evacuated(20, &["north"])));
    assert_eq!(plain_go_to(&mut world), BTreeSet::from(["south".to_owned()]));
}

#[test]
fn a_call_ends_as_ever() {
    let mut world = world();
    let (flight, send) = world.first_call(request("unsafe"));
    world.event(Event::Evacuated(evacuated(20, &["north", "south"])));
    let effects = world.call(send.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Deliver(flight, send.call)]);
}

proptest! {
    /// States that come in any order leave the one of the latest revision.
    #[test]
    fn the_latest_state_holds(states in prop::collection::vec((1u64..40, any::<bool>()), 1..24)) {
        let sets: [&[&str]; 4] = [&[], &["north"], &["south"], &["north", "south"]];
        // One revision has one state.
        let state = |revision: u64| evacuated(revision, sets[(revision as usize * 7) % 4]);
        let mut world = world();
        for (place, &(revision, is_read)) in states.iter().enumerate() {
            let state = state(revision);
            let event = if is_read {
                Event::Evacuated(state)
            } else {
                Event::Received(heard(1 + place as u64, state))
            };
            world.event(event);
        }
        let latest = states.iter().map(|it| it.0).max().expect("one at least");
        prop_assert_eq!(world.gateway.evacuation(), state(latest));
    }
}
