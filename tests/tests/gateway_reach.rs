//! Engines that cannot be reached, and what boxes tell each other about them.

use std::time::Duration;

use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::message::{Message, StoreView};
use hollyspoke_tests::gateway::{World, heartbeat, ran, request};

/// Gives the word of a box that it has not reached engines.
fn missed(node: u8, sequence: u64, engines: &[u8]) -> Event {
    let unreachable = engines.iter().map(|it| EngineKey::of(&format!("engine-{it}"))).collect();
    Event::Received(Message { unreachable, ..heartbeat(node, sequence, StoreView::default()) })
}

/// Sends some plain requests; gives how many went to engine 1.
fn sent_to_first(world: &mut World) -> usize {
    let mut count = 0;
    for _ in 0..8 {
        let (_, send) = world.first_call(request("safe"));
        count += usize::from(*send.engine.id == *"engine-1");
        world.call(send.call, CallEvent::Answered(ran(200)));
    }
    count
}

/// A dead engine must not be found out by every box for itself.
#[test]
fn word_of_two_nodes_counts() {
    let mut world = World::new();
    world.event(missed(2, 1, &[1]));
    world.event(missed(3, 1, &[1]));
    assert_eq!(sent_to_first(&mut world), 0);
}

/// One box alone may be cut off itself.
#[test]
fn word_of_one_node_does_not() {
    let mut world = World::new();
    world.event(missed(2, 1, &[1]));
    world.event(missed(2, 2, &[1]));
    assert!(sent_to_first(&mut world) > 0);
}

#[test]
fn word_fades() {
    let mut world = World::new();
    world.event(missed(2, 1, &[1]));
    world.event(missed(3, 1, &[1]));
    world.advance(Duration::from_millis(1600));
    assert!(sent_to_first(&mut world) > 0);
}

/// If others have reached no engine of a service, this box tries all the same.
#[test]
fn last_engines_are_tried() {
    let mut world = World::new();
    world.event(missed(2, 1, &[1, 2]));
    world.event(missed(3, 1, &[1, 2]));
    world.first_call(request("safe"));
}

#[test]
fn own_miss_is_told() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let (_, send) = world.first_call(request("safe"));
    let effects = world.gateway.step(world.now, Event::Call(send.call, CallEvent::NotConnected));
    let key = send.engine.key;
    let is_told =
        |it: &Effect| matches!(it, Effect::Announce(_, message) if message.unreachable == [key]);
    assert!(effects.iter().any(is_told), "{effects:?}");
}
