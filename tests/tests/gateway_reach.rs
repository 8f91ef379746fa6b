//! Engines that cannot be reached, and what boxes announce to each other about them.

use std::time::Duration;

use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::message::{Message, StoreView};
use hollyspoke_tests::gateway::{World, heartbeat, ran, request};

/// Returns a box's announcement that it has not reached engines.
fn unreachable_announcement(node: u8, sequence: u64, engines: &[u8]) -> Event {
    let unreachable = engines.iter().map(|it| EngineKey::of(&format!("engine-{it}"))).collect();
    Event::Received(Message { unreachable, ..heartbeat(node, sequence, StoreView::default()) })
}

/// Sends plain requests and returns how many are sent to engine 1.
fn first_engine_count(world: &mut World) -> usize {
    let mut count = 0;
    for _ in 0..8 {
        let (_, send) = world.first_call(request("safe"));
        count += usize::from(*send.engine.id == *"engine-1");
        world.call(send.call, CallEvent::Answered(ran(200)));
    }
    count
}

/// Without reports from peers, every box has to discover a dead engine itself.
#[test]
fn peer_failures_ignored() {
    let mut world = World::new();
    world.event(unreachable_announcement(2, 1, &[1]));
    world.event(unreachable_announcement(3, 1, &[1]));
    assert_eq!(first_engine_count(&mut world), 0);
}

/// A single report may come from a box that is itself partitioned.
#[test]
fn single_report_trusted() {
    let mut world = World::new();
    world.event(unreachable_announcement(2, 1, &[1]));
    world.event(unreachable_announcement(2, 2, &[1]));
    assert!(first_engine_count(&mut world) > 0);
}

#[test]
fn stale_report_kept() {
    let mut world = World::new();
    world.event(unreachable_announcement(2, 1, &[1]));
    world.event(unreachable_announcement(3, 1, &[1]));
    world.advance(Duration::from_millis(1600));
    assert!(first_engine_count(&mut world) > 0);
}

/// A box tries engines although its peers have reached none of the service.
#[test]
fn last_engines_abandoned() {
    let mut world = World::new();
    world.event(unreachable_announcement(2, 1, &[1, 2]));
    world.event(unreachable_announcement(3, 1, &[1, 2]));
    world.first_call(request("safe"));
}

/// An engine that can't be reached is announced as soon as another one answers. Until then, the box
/// itself may have lost the path to all.
#[test]
fn failure_not_announced() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let (_, send) = world.first_call(request("safe"));
    let key = send.engine.key;
    let is_announced =
        |it: &Effect| matches!(it, Effect::Announce(_, message) if message.unreachable == [key]);
    let effects = world.gateway.step(world.now, Event::Call(send.call, CallEvent::NotConnected));
    assert!(!effects.iter().any(is_announced), "{effects:?}");
    let second = effects.iter().find_map(|it| match it {
        Effect::Send(send) => Some(send.clone()),
        _ => None,
    });
    let second = second.expect("another engine is tried");
    let effects =
        world.gateway.step(world.now, Event::Call(second.call, CallEvent::Answered(ran(200))));
    assert!(effects.iter().any(is_announced), "{effects:?}");
}
