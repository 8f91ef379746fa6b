//! Engines that start again under the id that they had: nothing that was known of them holds.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Prompt, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event, Probe};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    MODEL, PLAIN, World, engine, engines, only_send, prefilled, ran, rejected, request,
};

/// Gives the usual engines, all born at a time.
fn born(at: u64) -> Vec<Engine> {
    engines().into_iter().map(|it| Engine { started_at: Some(at), ..it }).collect()
}

/// Gives a box whose engines tell when they were born.
fn world() -> World {
    let mut world = World::new();
    world.event(Event::Listed(born(100), 20.into()));
    world
}

/// Has an engine's entry change.
fn put(world: &mut World, engine: Engine, revision: u64) -> Vec<Effect> {
    world.event(Event::Changed(vec![EngineChange::Put(engine, revision.into())]))
}

/// Gives the two plain engines by which of them was born when.
fn plain(number: u8, at: u64) -> Engine {
    Engine { started_at: Some(at), ..engine(number, PLAIN, None) }
}

/// An engine that was not reached is avoided for a time; the one that starts under its id is not.
#[test]
fn new_life_is_not_avoided() {
    let mut world = world();
    let (_, first) = world.first_call(request("safe"));
    let effects = world.call(first.call, CallEvent::NotConnected);
    let other = only_send(&effects);
    world.call(other.call, CallEvent::Answered(ran(200)));
    let avoided = first.engine.clone();
    for _ in 0..10 {
        let (_, call) = world.first_call(request("safe"));
        assert_ne!(call.engine.key, avoided.key);
        world.call(call.call, CallEvent::Answered(ran(200)));
    }
    put(&mut world, Engine { started_at: Some(200), ..(*avoided).clone() }, 21);
    let used = (0..10).any(|_| {
        let (_, call) = world.first_call(request("safe"));
        world.call(call.call, CallEvent::Answered(ran(200)));
        call.engine.key == avoided.key
    });
    assert!(used);
}

/// What becomes of a call to an earlier life says nothing of the one that goes on.
#[test]
fn call_to_an_earlier_life() {
    let mut world = world();
    let (_, first) = world.first_call(request("safe"));
    let reborn = Engine { started_at: Some(200), ..(*first.engine).clone() };
    put(&mut world, reborn.clone(), 21);
    let effects = world.call(first.call, CallEvent::NotConnected);
    let other = only_send(&effects);
    world.call(other.call, CallEvent::Answered(ran(200)));
    let used = (0..10).any(|_| {
        let (_, call) = world.first_call(request("safe"));
        world.call(call.call, CallEvent::Answered(ran(200)));
        call.engine.key == reborn.key
    });
    assert!(used);
}

/// A write of the earlier life took effect after the first of the later one.
#[test]
fn late_write_of_an_earlier_life() {
    let mut world = world();
    put(&mut world, plain(1, 200), 21);
    let late = Engine { is_draining: true, ..plain(1, 100) };
    put(&mut world, late, 22);
    put(&mut world, Engine { is_draining: true, ..plain(2, 100) }, 23);
    let (_, call) = world.first_call(request("safe"));
    assert_eq!(call.engine.key, EngineKey::of("engine-1"));
    assert_eq!(call.engine.started_at, Some(200));
}

/// The list brings a new life as a change does, and whichever comes first, the later life stays.
#[test]
fn list_with_a_new_life() {
    let mut world = world();
    world.event(Event::Listed(born(200), 21.into()));
    world.event(Event::Listed(born(100), 22.into()));
    let (_, call) = world.first_call(request("safe"));
    assert_eq!(call.engine.started_at, Some(200));
}

/// A prompt was read, and its engine started again before another took it: the handle is forgotten,
/// and not freed at the new life, which has another under that name or none.
#[test]
fn handle_of_an_earlier_life() {
    let mut world = world();
    let (_, reading) = world.first_call(request("once"));
    assert_eq!(reading.task, Task::Prefill);
    let effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    let first = only_send(&effects);
    let effects = world.call(first.call, CallEvent::Answered(rejected()));
    let second = only_send(&effects);
    assert!(matches!(second.task, Task::Decode(Prompt::Prefilled(_))), "{second:?}");
    let reader = Engine { started_at: Some(200), ..(*reading.engine).clone() };
    put(&mut world, reader, 21);
    let effects = world.call(second.call, CallEvent::Answered(rejected()));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Free(_))), "{effects:?}");
}

/// An engine that kept a prompt started again; the request that comes back is not sent there for
/// it.
#[test]
fn prompt_of_an_earlier_life() {
    let mut world = world();
    let asked = || Request { prompt: Some(PromptKey(7)), ..request("resumed") };
    let (_, generating) = world.begin_stream(asked());
    world.call(generating.call, CallEvent::Forwarded(Some(1)));
    world.call(generating.call, CallEvent::Answered(ran(200)));
    for (number, stage) in
        [(11, Stage::Prefill), (12, Stage::Prefill), (21, Stage::Decode), (22, Stage::Decode)]
    {
        let reborn = Engine { started_at: Some(200), ..engine(number, MODEL, Some(stage)) };
        put(&mut world, reborn, 20 + u64::from(number));
    }
    let (_, call) = world.first_call(asked());
    assert!(!matches!(call.task, Task::Decode(Prompt::Cached | Prompt::CachedAt(_))), "{call:?}");
}

/// An engine that turned a request away as full is not full any more when it has started again.
#[test]
fn new_life_has_room() {
    let mut world = world();
    put(&mut world, Engine { is_draining: true, ..plain(2, 100) }, 21);
    let (_, call) = world.first_call(request("safe"));
    world.call(call.call, CallEvent::Answered(rejected()));
    put(&mut world, plain(1, 200), 22);
    let (_, call) = world.first_call(request("safe"));
    assert_eq!(call.engine.started_at, Some(200));
}

/// The engine itself says that it has started again before its entry does: what broke there was a
/// crash.
#[test]
fn new_life_seen_by_a_probe() {
    let mut world = world();
    let mut flights = Vec::new();
    for at in [200, 300, 400] {
        let (_, call) = world.first_call(request("unsafe"));
        flights.push(call.request);
        world.call(call.call, CallEvent::Broken);
        world.event(Event::Probed(call.engine.key, Probe::Alive(Some(at))));
        put(&mut world, Engine { started_at: Some(at), ..(*call.engine).clone() }, at);
    }
    let (_, effects) = world.arrive(request("unsafe"));
    assert!(effects.iter().any(|it| matches!(it, Effect::Refuse(..))), "{effects:?}");
    world.advance(Duration::from_millis(1));
}
