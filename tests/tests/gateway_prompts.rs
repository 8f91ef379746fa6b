//! Requests whose prompt an engine still keeps from an earlier run.

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

/// Gives a request with a named prompt.
fn named(route: &str) -> Request {
    Request { prompt: Some(PromptKey(7)), ..request(route) }
}

/// Gives a request of a client that goes on behind an event.
fn resuming() -> Request {
    Request { last_event: Some(4), deadline: Some(Duration::from_secs(9)), ..named("resumed") }
}

/// Gives the word of another box that an engine keeps the prompt.
fn told(sequence: u64, engine: EngineKey) -> Event {
    let cached_prompts = vec![CachedPrompt { prompt: PromptKey(7), engine }];
    Event::Received(Message { cached_prompts, ..heartbeat(2, sequence, StoreView::default()) })
}

/// Has a stream begin whose client then leaves; gives its engines, the reading one first.
fn abandoned(world: &mut World) -> (Send, Send) {
    let (flight, reading) = world.first_call(named("resumed"));
    let generating = only_send(&world.call(reading.call, CallEvent::Answered(prefilled("h"))));
    world.call(generating.call, CallEvent::Began(ran(200)));
    world.event(Event::ClientDisconnected(flight));
    (reading, generating)
}

/// Gives the engine of a number.
fn numbered(number: u8) -> Engine {
    let id = format!("engine-{number}");
    engines().into_iter().find(|it| *it.id == *id).expect("the number is in use")
}

#[test]
fn resumed_where_it_ran() {
    let mut world = World::new();
    let (_, first) = abandoned(&mut world);
    let (_, again) = world.first_call(resuming());
    assert_eq!(again.task, Task::Decode(Prompt::Cached));
    assert_eq!(again.engine.id, first.engine.id);
    assert_eq!(again.last_event, Some(4));
}

#[test]
fn learned_from_another_node() {
    for number in [21, 22] {
        let mut world = World::new();
        world.event(told(1, numbered(number).key));
        let (_, again) = world.first_call(resuming());
        assert_eq!(again.task, Task::Decode(Prompt::Cached));
        assert_eq!(again.engine.id, numbered(number).id);
    }
}

#[test]
fn told_to_other_nodes() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let (_, reading) = world.first_call(named("resumed"));
    let generating = only_send(&world.call(reading.call, CallEvent::Answered(prefilled("h"))));
    let began = Event::Call(generating.call, CallEvent::Began(ran(200)));
    let effects = world.gateway.step(world.now, began);
    let kept = CachedPrompt { prompt: PromptKey(7), engine: generating.engine.key };
    let is_told = |it: &Effect| matches!(it, Effect::Announce(_, message) if message.cached_prompts == [kept]);
    assert!(effects.iter().any(is_told), "{effects:?}");
}

#[test]
fn full_keeper_hands_it_over() {
    let mut world = World::new();
    world.event(told(1, numbered(21).key));
    let (_, again) = world.first_call(resuming());
    let effects = world.call(again.call, CallEvent::Answered(rejected()));
    let other = only_send(&effects);
    assert_eq!(other.task, Task::Decode(Prompt::CachedAt(numbered(21).address)));
    assert_eq!(other.engine.id, numbered(22).id);
}

#[test]
fn leaving_keeper_hands_it_over() {
    let mut world = World::new();
    let mut all = engines();
    for engine in &mut all {
        engine.is_draining = engine.key == numbered(21).key;
    }
    world.event(Event::Listed(all, 20.into()));
    world.event(told(1, numbered(21).key));
    let (_, again) = world.first_call(resuming());
    assert_eq!(again.task, Task::Decode(Prompt::CachedAt(numbered(21).address)));
}

/// The engine that generated has crashed; the one that read still has the prompt.
#[test]
fn broken_stream_takes_it_from_the_reader() {
    let mut world = World::new();
    let (_, reading) = world.first_call(named("resumed"));
    let generating = only_send(&world.call(reading.call, CallEvent::Answered(prefilled("h"))));
    world.call(generating.call, CallEvent::Began(ran(200)));
    let second = only_send(&world.call(generating.call, CallEvent::Broken));
    assert_eq!(second.task, Task::Decode(Prompt::CachedAt(reading.engine.address)));
    assert_ne!(second.engine.id, generating.engine.id);
}

#[test]
fn unreachable_keeper_is_passed_over() {
    let mut world = World::new();
    world.event(told(1, numbered(21).key));
    let (_, again) = world.first_call(resuming());
    let effects = world.call(again.call, CallEvent::NotConnected);
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

#[test]
fn old_word_is_forgotten() {
    let mut world = World::new();
    world.event(told(1, numbered(21).key));
    world.advance(Duration::from_secs(13));
    world.event(Event::Received(Message {
        cached_prompts: vec![CachedPrompt { prompt: PromptKey(8), engine: numbered(21).key }],
        ..heartbeat(2, 2, StoreView::default())
    }));
    let (_, again) = world.first_call(resuming());
    assert_eq!(again.task, Task::Prefill);
}

/// Many clients may come back at once; an engine without room for them takes no more.
#[test]
fn keeper_without_room() {
    let mut world = World::new();
    world.event(told(1, numbered(21).key));
    let large = Request { prompt_tokens: Some(MEMORY * 9 / 10), ..resuming() };
    let (_, first) = world.first_call(large.clone());
    let (_, second) = world.first_call(large);
    assert_eq!(first.task, Task::Decode(Prompt::Cached));
    assert_eq!(second.task, Task::Decode(Prompt::CachedAt(numbered(21).address)));
    assert_eq!(world.gateway.in_flight_count(), 2);
    world.event(Event::ClientDisconnected(RequestKey(0)));
}
