//! Engines that restart under the same id: nothing that was known of the earlier incarnation holds.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Prompt, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event, Probe};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    MODEL, PLAIN, World, engine, engines, only_send, prefilled, ran, rejected, request,
};

/// Returns the usual engines with a common start time.
fn engines_started_at(at: u64) -> Vec<Engine> {
    engines().into_iter().map(|it| Engine { started_at: Some(at), ..it }).collect()
}

/// Returns a box whose engines have a start time.
fn world() -> World {
    let mut world = World::new();
    world.event(Event::Listed(engines_started_at(100), 20.into()));
    world
}

/// Changes an engine's entry.
fn put(world: &mut World, engine: Engine, revision: u64) -> Vec<Effect> {
    world.event(Event::Changed(vec![EngineChange::Put(engine, revision.into())]))
}

/// Returns a plain engine with a start time.
fn plain_engine(number: u8, at: u64) -> Engine {
    Engine { started_at: Some(at), ..engine(number, PLAIN, None) }
}

/// An unreachable engine is avoided for a time; its next incarnation must not be.
#[test]
fn restarted_engine_avoided() {
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

/// The outcome of a call to an earlier incarnation must not affect the later one.
#[test]
fn earlier_call_affects_restart() {
    let mut world = world();
    let (_, first) = world.first_call(request("safe"));
    let restarted = Engine { started_at: Some(200), ..(*first.engine).clone() };
    put(&mut world, restarted.clone(), 21);
    let effects = world.call(first.call, CallEvent::NotConnected);
    let other = only_send(&effects);
    world.call(other.call, CallEvent::Answered(ran(200)));
    let used = (0..10).any(|_| {
        let (_, call) = world.first_call(request("safe"));
        world.call(call.call, CallEvent::Answered(ran(200)));
        call.engine.key == restarted.key
    });
    assert!(used);
}

/// A late write of the earlier incarnation must not replace the entry of the later one.
#[test]
fn late_write_replaces_incarnation() {
    let mut world = world();
    put(&mut world, plain_engine(1, 200), 21);
    let late = Engine { is_draining: true, ..plain_engine(1, 100) };
    put(&mut world, late, 22);
    put(&mut world, Engine { is_draining: true, ..plain_engine(2, 100) }, 23);
    let (_, call) = world.first_call(request("safe"));
    assert_eq!(call.engine.key, EngineKey::of("engine-1"));
    assert_eq!(call.engine.started_at, Some(200));
}

/// A list with an earlier incarnation must not replace the later one.
#[test]
fn older_list_replaces_incarnation() {
    let mut world = world();
    world.event(Event::Listed(engines_started_at(200), 21.into()));
    world.event(Event::Listed(engines_started_at(100), 22.into()));
    let (_, call) = world.first_call(request("safe"));
    assert_eq!(call.engine.started_at, Some(200));
}

/// If a prefill engine restarts before its prompt is fetched, the handle must not be freed at the new
/// incarnation, where it names another prompt or none.
#[test]
fn stale_handle_freed() {
    let mut world = world();
    let (_, prefill_call) = world.first_call(request("once"));
    assert_eq!(prefill_call.task, Task::Prefill);
    let effects = world.call(prefill_call.call, CallEvent::Answered(prefilled("h")));
    let first = only_send(&effects);
    let effects = world.call(first.call, CallEvent::Answered(rejected()));
    let second = only_send(&effects);
    assert!(matches!(second.task, Task::Decode(Prompt::Prefilled(_))), "{second:?}");
    let prefill_engine = Engine { started_at: Some(200), ..(*prefill_call.engine).clone() };
    put(&mut world, prefill_engine, 21);
    let effects = world.call(second.call, CallEvent::Answered(rejected()));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Free(_))), "{effects:?}");
}

/// A restarted engine has lost its cached prompts, so that no request may be sent there for one.
#[test]
fn stale_cached_prompt_used() {
    let mut world = world();
    let asked = || Request { prompt: Some(PromptKey(7)), ..request("resumed") };
    let (_, decode_call) = world.begin_stream(asked());
    world.call(decode_call.call, CallEvent::Forwarded(Some(1)));
    world.call(decode_call.call, CallEvent::Answered(ran(200)));
    for (number, stage) in
        [(11, Stage::Prefill), (12, Stage::Prefill), (21, Stage::Decode), (22, Stage::Decode)]
    {
        let restarted = Engine { started_at: Some(200), ..engine(number, MODEL, Some(stage)) };
        put(&mut world, restarted, 20 + u64::from(number));
    }
    let (_, call) = world.first_call(asked());
    assert!(!matches!(call.task, Task::Decode(Prompt::Cached | Prompt::CachedAt(_))), "{call:?}");
}

/// An engine that rejected a request as full has free capacity after a restart.
#[test]
fn restarted_engine_considered_full() {
    let mut world = world();
    put(&mut world, Engine { is_draining: true, ..plain_engine(2, 100) }, 21);
    let (_, call) = world.first_call(request("safe"));
    world.call(call.call, CallEvent::Answered(rejected()));
    put(&mut world, plain_engine(1, 200), 22);
    let (_, call) = world.first_call(request("safe"));
    assert_eq!(call.engine.started_at, Some(200));
}

/// A probe shows the restart before the entry does: broken calls there have to count as crashes.
#[test]
fn probed_restart_ignored() {
    let mut world = world();
    let mut request_keys = Vec::new();
    for at in [200, 300, 400] {
        let (_, call) = world.first_call(request("unsafe"));
        request_keys.push(call.request);
        world.call(call.call, CallEvent::Broken);
        world.event(Event::Probed(call.engine.key, Probe::Alive(Some(at))));
        put(&mut world, Engine { started_at: Some(at), ..(*call.engine).clone() }, at);
    }
    let (_, effects) = world.arrive(request("unsafe"));
    assert!(effects.iter().any(|it| matches!(it, Effect::Refuse(..))), "{effects:?}");
    world.advance(Duration::from_millis(1));
}
