//! A box that was paused takes no engine and no other box for silent over that time.

use std::time::Duration;

use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::event::{CallEvent, Event, Kind};
use hollyspoke_gateway::message::{Message, StoreView};
use hollyspoke_tests::gateway::{World, heartbeat, request};

/// The pause, longer than any silence that an engine or a box is allowed.
const PAUSE: Duration = Duration::from_secs(5);

/// Pauses the box, and returns the effects of its first step afterwards.
fn pause(world: &mut World) -> Vec<Effect> {
    world.now = world.now + PAUSE;
    world.event(Event::Paused(PAUSE))
}

/// The events of a stream are still to be read; they are not awaited from another engine.
#[test]
fn pause_counted_as_silence() {
    let mut world = World::new();
    let (first_key, first) = world.begin_stream(request("resumed"));
    let (second_key, second) = world.begin_stream(request("resumed"));
    for call in [first.call, second.call] {
        world.call(call, CallEvent::Forwarded(Some(1)));
    }
    assert_eq!(pause(&mut world), [Effect::Read(Kind::Engines)]);
    assert_eq!(world.call(first.call, CallEvent::Forwarded(Some(2))), []);
    assert_eq!(world.advance(Duration::from_millis(100)), []);
    assert_eq!(world.call(second.call, CallEvent::Forwarded(Some(2))), []);
    let effects = world.advance(Duration::from_secs(3));
    let is_sent_again =
        |key| effects.iter().any(|it| matches!(it, Effect::Send(send) if send.request == key));
    assert!(is_sent_again(first_key) && is_sent_again(second_key), "later silence goes unnoticed");
}

/// The heartbeats of other boxes are still to be read.
#[test]
fn pause_counted_as_death() {
    let mut world = World::new();
    for sequence in 1..4 {
        let view = StoreView { version: 1, ..StoreView::default() };
        let message: Message = heartbeat(2, sequence, view);
        world.event(Event::Received(message));
        world.advance(Duration::from_millis(300));
    }
    assert_eq!(world.gateway.alive_box_count(), 2);
    pause(&mut world);
    world.advance(Duration::from_millis(50));
    assert_eq!(world.gateway.alive_box_count(), 2);
    world.advance(Duration::from_secs(30));
    assert_eq!(world.gateway.alive_box_count(), 1, "a later silence goes unnoticed");
}
