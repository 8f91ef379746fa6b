//! Requests whose prompt an engine still caches from an earlier run.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Prompt, Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineKey};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::message::{Message, StoreView};
use hollyspoke_gateway::prompt::{CachedPrompt, PromptKey};
use hollyspoke_gateway::request::{Request, RequestKey};
use hollyspoke_tests::gateway::{
    MEMORY, World, engines, heartbeat, only_send, prefilled, ran, rejected, request,
};

/// Returns a request with a named prompt.
fn request_with_prompt(route: &str) -> Request {
    Request { prompt: Some(PromptKey(7)), ..request(route) }
}

/// Returns a request that resumes after an event.
fn resuming() -> Request {
    Request {
        last_event: Some(4),
        deadline: Some(Duration::from_secs(9)),
        ..request_with_prompt("resumed")
    }
}

/// Returns another box's announcement that an engine caches the prompt.
fn cached_prompt_announcement(sequence: u64, engine: EngineKey) -> Event {
    let cached_prompts = vec![CachedPrompt { prompt: PromptKey(7), engine }];
    Event::Received(Message { cached_prompts, ..heartbeat(2, sequence, StoreView::default()) })
}

/// Begins a stream whose client disconnects; returns its prefill and decode calls.
fn abandoned_stream(world: &mut World) -> (Send, Send) {
    let (request_key, prefill_call) = world.first_call(request_with_prompt("resumed"));
    let decode_call =
        only_send(&world.call(prefill_call.call, CallEvent::Answered(prefilled("h"))));
    world.call(decode_call.call, CallEvent::Began(ran(200)));
    world.event(Event::ClientDisconnected(request_key));
    (prefill_call, decode_call)
}

/// Returns the engine with a number.
fn numbered(number: u8) -> Engine {
    let id = format!("engine-{number}");
    engines().into_iter().find(|it| *it.id == *id).expect("the number is in use")
}

#[test]
fn cached_prompt_unused() {
    let mut world = World::new();
    let (_, first) = abandoned_stream(&mut world);
    let (_, again) = world.first_call(resuming());
    assert_eq!(again.task, Task::Decode(Prompt::Cached));
    assert_eq!(again.engine.id, first.engine.id);
    assert_eq!(again.last_event, Some(4));
}

#[test]
fn peer_cache_ignored() {
    for number in [21, 22] {
        let mut world = World::new();
        world.event(cached_prompt_announcement(1, numbered(number).key));
        let (_, again) = world.first_call(resuming());
        assert_eq!(again.task, Task::Decode(Prompt::Cached));
        assert_eq!(again.engine.id, numbered(number).id);
    }
}

#[test]
fn cache_not_announced() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let (_, prefill_call) = world.first_call(request_with_prompt("resumed"));
    let decode_call =
        only_send(&world.call(prefill_call.call, CallEvent::Answered(prefilled("h"))));
    let began = Event::Call(decode_call.call, CallEvent::Began(ran(200)));
    let effects = world.gateway.step(world.now, began);
    let cached = CachedPrompt { prompt: PromptKey(7), engine: decode_call.engine.key };
    let is_announced = |it: &Effect| matches!(it, Effect::Announce(_, message) if message.cached_prompts == [cached]);
    assert!(effects.iter().any(is_announced), "{effects:?}");
}

#[test]
fn full_cache_not_transferred() {
    let mut world = World::new();
    world.event(cached_prompt_announcement(1, numbered(21).key));
    let (_, again) = world.first_call(resuming());
    let effects = world.call(again.call, CallEvent::Answered(rejected()));
    let other = only_send(&effects);
    assert_eq!(other.task, Task::Decode(Prompt::CachedAt(numbered(21).address)));
    assert_eq!(other.engine.id, numbered(22).id);
}

#[test]
fn draining_cache_not_transferred() {
    let mut world = World::new();
    let mut all = engines();
    for engine in &mut all {
        engine.is_draining = engine.key == numbered(21).key;
    }
    world.event(Event::Listed(all, 20.into()));
    world.event(cached_prompt_announcement(1, numbered(21).key));
    let (_, again) = world.first_call(resuming());
    assert_eq!(again.task, Task::Decode(Prompt::CachedAt(numbered(21).address)));
}

/// After a crash of the decode engine, the prefill engine still caches the prompt.
#[test]
fn prefill_cache_ignored() {
    let mut world = World::new();
    let (_, prefill_call) = world.first_call(request_with_prompt("resumed"));
    let decode_call =
        only_send(&world.call(prefill_call.call, CallEvent::Answered(prefilled("h"))));
    world.call(decode_call.call, CallEvent::Began(ran(200)));
    let second = only_send(&world.call(decode_call.call, CallEvent::Broken));
    assert_eq!(second.task, Task::Decode(Prompt::CachedAt(prefill_call.engine.address)));
    assert_ne!(second.engine.id, decode_call.engine.id);
}

#[test]
fn unreachable_cache_awaited() {
    let mut world = World::new();
    world.event(cached_prompt_announcement(1, numbered(21).key));
    let (_, again) = world.first_call(resuming());
    let effects = world.call(again.call, CallEvent::NotConnected);
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

#[test]
fn stale_cache_used() {
    let mut world = World::new();
    world.event(cached_prompt_announcement(1, numbered(21).key));
    world.advance(Duration::from_secs(13));
    world.event(Event::Received(Message {
        cached_prompts: vec![CachedPrompt { prompt: PromptKey(8), engine: numbered(21).key }],
        ..heartbeat(2, 2, StoreView::default())
    }));
    let (_, again) = world.first_call(resuming());
    assert_eq!(again.task, Task::Prefill);
}

/// Many clients may return at once: an engine without free capacity must not get more.
#[test]
fn full_cache_overloaded() {
    let mut world = World::new();
    world.event(cached_prompt_announcement(1, numbered(21).key));
    let large = Request { prompt_tokens: Some(MEMORY * 9 / 10), ..resuming() };
    let (_, first) = world.first_call(large.clone());
    let (_, second) = world.first_call(large);
    assert_eq!(first.task, Task::Decode(Prompt::Cached));
    assert_eq!(second.task, Task::Decode(Prompt::CachedAt(numbered(21).address)));
    assert_eq!(world.gateway.in_flight_count(), 2);
    world.event(Event::ClientDisconnected(RequestKey(0)));
}
