//! Engines that reject requests because their memory is full.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Task};
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::message::{Message, Rejection, StoreView};
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{World, heartbeat, only_send, prefilled, rejected, request};

/// Returns another box's announcement that both decode engines lacked free capacity.
fn rejections_from_peer(held_tokens: u32) -> Event {
    let full =
        ["engine-21", "engine-22"].map(|it| Rejection { engine: EngineKey::of(it), held_tokens });
    Event::Received(Message { rejections: full.to_vec(), ..heartbeat(2, 1, StoreView::default()) })
}

/// Returns a request with a prompt of some tokens.
fn sized(tokens: u64) -> Request {
    Request { prompt_tokens: Some(tokens), ..request("once") }
}

/// Prompts were prefilled for engines that had just rejected another box's request.
#[test]
fn peer_rejection_ignored() {
    let mut world = World::new();
    world.event(rejections_from_peer(4000));
    let (_, effects) = world.arrive(sized(5000));
    assert_eq!(effects, []);
    let effects = world.advance(Duration::from_millis(250));
    assert!(!effects.is_empty(), "the announcement expires after a short time");
}

#[test]
fn small_request_blocked() {
    let mut world = World::new();
    world.event(rejections_from_peer(9000));
    let (_, send) = world.first_call(sized(2000));
    assert_eq!(send.task, Task::Prefill);
}

#[test]
fn rejection_not_announced() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let (_, prefill_call) = world.first_call(sized(5000));
    let decode_call =
        only_send(&world.call(prefill_call.call, CallEvent::Answered(prefilled("h"))));
    let refused = Event::Call(decode_call.call, CallEvent::Answered(rejected()));
    let effects = world.gateway.step(world.now, refused);
    let is_announced = effects.iter().any(|it| match it {
        Effect::Announce(_, message) => message
            .rejections
            .iter()
            .any(|it| it.engine == decode_call.engine.key && it.held_tokens > 5000),
        _ => false,
    });
    assert!(is_announced, "{effects:?}");
}
