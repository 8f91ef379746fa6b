//! Engines that turn requests away since their memory is full.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Task};
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::message::{Message, Rejection, StoreView};
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{World, heartbeat, only_send, prefilled, rejected, request};

/// Gives the word of another box that both engines that generate had no room.
fn both_full(held_tokens: u32) -> Event {
    let full =
        ["engine-21", "engine-22"].map(|it| Rejection { engine: EngineKey::of(it), held_tokens });
    Event::Received(Message { rejections: full.to_vec(), ..heartbeat(2, 1, StoreView::default()) })
}

/// Gives a request with a prompt of some tokens.
fn sized(tokens: u64) -> Request {
    Request { prompt_tokens: Some(tokens), ..request("once") }
}

/// No prompt is read for engines that have just turned another box's request away.
#[test]
fn full_for_another_node() {
    let mut world = World::new();
    world.event(both_full(4000));
    let (_, effects) = world.arrive(sized(5000));
    assert_eq!(effects, []);
    let effects = world.advance(Duration::from_millis(250));
    assert!(!effects.is_empty(), "the word counts for a short time");
}

#[test]
fn smaller_one_may_fit() {
    let mut world = World::new();
    world.event(both_full(9000));
    let (_, send) = world.first_call(sized(2000));
    assert_eq!(send.task, Task::Prefill);
}

#[test]
fn own_refusal_is_told() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let (_, reading) = world.first_call(sized(5000));
    let generating = only_send(&world.call(reading.call, CallEvent::Answered(prefilled("h"))));
    let refused = Event::Call(generating.call, CallEvent::Answered(rejected()));
    let effects = world.gateway.step(world.now, refused);
    let is_told = effects.iter().any(|it| match it {
        Effect::Announce(_, message) => message
            .rejections
            .iter()
            .any(|it| it.engine == generating.engine.key && it.held_tokens > 5000),
        _ => false,
    });
    assert!(is_told, "{effects:?}");
}
