//! Evacuated data centres: no call, query or order is sent there, whoever announced the evacuation,
//! and a lifted evacuation stays lifted.
//!
//! Boxes that ignored an evacuation sent 888 requests to its data centre, prefills among them.

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

/// Returns an engine in a data centre.
fn engine_in(number: u8, service: &str, stage: Option<Stage>, data_centre: &str) -> Engine {
    Engine { data_centre: data_centre.into(), ..engine(number, service, stage) }
}

/// Returns engines of each kind in `north` (odd numbers) and in `south` (even ones).
fn engines() -> Vec<Engine> {
    let of = |number: u8, service: &str, stage| {
        let data_centre = if number.is_multiple_of(2) { "south" } else { "north" };
        engine_in(number, service, stage, data_centre)
    };
    let (prefill, decode) = (Some(Stage::Prefill), Some(Stage::Decode));
    vec![
        of(1, PLAIN, None),
        of(2, PLAIN, None),
        of(11, MODEL, prefill),
        of(12, MODEL, prefill),
        of(21, MODEL, decode),
        of(22, MODEL, decode),
    ]
}

/// Makes a box that knows engines in both data centres.
fn world() -> World {
    let mut world = World::unconfigured();
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    world
}

/// Returns the evacuated data centres at a revision.
fn evacuated(revision: u64, data_centres: &[&str]) -> Evacuation {
    let data_centres = data_centres.iter().map(|&it| Arc::from(it)).collect();
    Evacuation { revision: revision.into(), data_centres }
}

/// Returns the data centres of the engines that a box calls, queries or orders.
fn contacted_data_centres(effects: &[Effect]) -> BTreeSet<String> {
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

/// Sends plain requests and returns the data centres that they are sent to.
fn plain_data_centres(world: &mut World) -> BTreeSet<String> {
    (0..8).flat_map(|_| contacted_data_centres(&world.arrive(request("safe")).1)).collect()
}

/// Returns another box's datagram with its evacuated data centres.
fn evacuation_announcement(sequence: u64, evacuation: Evacuation) -> Message {
    Message { evacuation, ..heartbeat(2, sequence, StoreView::default()) }
}

#[test]
fn calls_sent_to_evacuated() {
    let mut world = world();
    assert_eq!(plain_data_centres(&mut world).len(), 2);
    world.event(Event::Evacuated(evacuated(20, &["north"])));
    assert_eq!(plain_data_centres(&mut world), BTreeSet::from(["south".to_owned()]));
    let (_, send) = world.first_call(request("resumed"));
    assert_eq!(*send.engine.data_centre, *"south");
    world.event(Event::EvacuationChanged(vec![Change::Lifted("north".into())], 30.into()));
    assert!(plain_data_centres(&mut world).contains("north"));
}

#[test]
fn late_engine_used() {
    let mut world = world();
    world.event(Event::Evacuated(evacuated(20, &["north"])));
    let mut all = engines();
    all.push(engine_in(3, PLAIN, None, "north"));
    world.event(Event::Listed(all, 30.into()));
    assert_eq!(plain_data_centres(&mut world), BTreeSet::from(["south".to_owned()]));
}

#[test]
fn retry_sent_to_evacuated() {
    let mut world = world();
    let (_, send) = world.first_call(request("safe"));
    world.event(Event::Evacuated(evacuated(20, &[&*send.engine.data_centre])));
    let effects = world.call(send.call, CallEvent::Answered(rejected()));
    assert_ne!(only_send(&effects).engine.data_centre, send.engine.data_centre);
}

#[test]
fn stream_resumed_in_evacuated() {
    let mut world = world();
    let (_, decode_call) = world.begin_stream(request("resumed"));
    let from = decode_call.engine.data_centre.clone();
    world.event(Event::Evacuated(evacuated(20, &[&*from])));
    // A running call continues; the stream moves only when it breaks.
    let effects = world.call(decode_call.call, CallEvent::Forwarded(Some(3)));
    assert!(effects.is_empty(), "{effects:?}");
    let effects = world.call(decode_call.call, CallEvent::Broken);
    assert_eq!(contacted_data_centres(&effects).len(), 1, "{effects:?}");
    assert!(!contacted_data_centres(&effects).contains(&*from), "{effects:?}");
}

#[test]
fn evacuated_prompt_freed() {
    let mut world = world();
    world.event(Event::Evacuated(evacuated(20, &["south"])));
    let (request_key, prefill_call) = world.first_call(request("once"));
    assert_eq!((&*prefill_call.engine.data_centre, &prefill_call.task), ("north", &Task::Prefill));
    let effects = world.call(prefill_call.call, CallEvent::Answered(prefilled("h")));
    let decode_call = only_send(&effects);
    world.event(Event::Evacuated(evacuated(30, &["north", "south"])));
    let mut effects = world.call(decode_call.call, CallEvent::Answered(rejected()));
    effects.extend(world.event(Event::ClientDisconnected(request_key)));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Free(_))), "{effects:?}");
}

#[test]
fn refusal_delayed_after_evacuation() {
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
fn evacuated_engine_probed() {
    let mut world = world();
    let (_, send) = world.first_call(request("unsafe"));
    world.event(Event::Evacuated(evacuated(20, &[&*send.engine.data_centre])));
    let effects = world.gateway.step(world.now, Event::Call(send.call, CallEvent::Broken));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Probe(_))), "{effects:?}");
}

#[test]
fn evacuation_missed_without_store() {
    let mut world = world();
    world.event(Event::StoreFailed(Kind::Evacuations));
    world.event(Event::Received(evacuation_announcement(1, evacuated(20, &["north"]))));
    assert_eq!(plain_data_centres(&mut world), BTreeSet::from(["south".to_owned()]));
    world.event(Event::Received(evacuation_announcement(2, evacuated(40, &[]))));
    assert!(plain_data_centres(&mut world).contains("north"));
    // An older state from another box is ignored.
    world.event(Event::Received(evacuation_announcement(3, evacuated(20, &["south"]))));
    assert!(plain_data_centres(&mut world).contains("south"));
}

#[test]
fn evacuation_announced_late() {
    let mut world = world();
    world.event(Event::Received(evacuation_announcement(1, Evacuation::default())));
    let effects = world.gateway.step(world.now, Event::Evacuated(evacuated(20, &["north"])));
    let is_announced = |it: &Effect| matches!(it, Effect::Announce(_, message) if message.evacuation == evacuated(20, &["north"]));
    assert!(effects.iter().any(is_announced), "{effects:?}");
}

#[test]
fn evacuation_missing_in_snapshot() {
    let mut provider = world();
    provider.event(Event::Evacuated(evacuated(20, &["north"])));
    let mut world = World::numbered(2);
    world.event(Event::SnapshotReceived(
        settings(2).peer,
        Box::new(provider.gateway.snapshot(SnapshotRequest::default())),
    ));
    assert_eq!(plain_data_centres(&mut world), BTreeSet::from(["south".to_owned()]));
}

#[test]
fn ready_before_evacuations() {
    let mut world = World::unconfigured();
    world.now = hollyspoke::time::Time::from_millis(100);
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    let (_, effects) = world.arrive(request("safe"));
    assert!(matches!(only_refusal(&effects), Refusal::NotRun(..)), "{effects:?}");
    world.advance(Duration::from_millis(1000));
    assert!(world.gateway.is_ready());
    // A late answer is applied.
    world.event(Event::Evacuated(evacuated(20, &["north"])));
    assert_eq!(plain_data_centres(&mut world), BTreeSet::from(["south".to_owned()]));
}

#[test]
fn running_call_stopped() {
    let mut world = world();
    let (request_key, send) = world.first_call(request("unsafe"));
    world.event(Event::Evacuated(evacuated(20, &["north", "south"])));
    let effects = world.call(send.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Deliver(request_key, send.call)]);
}

proptest! {
    /// States that arrive in any order have to leave the one of the latest revision.
    #[test]
    fn older_evacuation_applied(states in prop::collection::vec((1u64..40, any::<bool>()), 1..24)) {
        let sets: [&[&str]; 4] = [&[], &["north"], &["south"], &["north", "south"]];
        // One revision has one state.
        let state = |revision: u64| evacuated(revision, sets[(revision as usize * 7) % 4]);
        let mut world = world();
        for (place, &(revision, is_read)) in states.iter().enumerate() {
            let state = state(revision);
            let event = if is_read {
                Event::Evacuated(state)
            } else {
                Event::Received(evacuation_announcement(1 + place as u64, state))
            };
            world.event(event);
        }
        let latest = states.iter().map(|it| it.0).max().expect("one at least");
        prop_assert_eq!(world.gateway.evacuation(), state(latest));
    }
}
