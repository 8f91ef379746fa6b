//! Calls that end with bytes that are no part of an answer.

use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::{Engine, EngineChange};
use hollyspoke_gateway::event::{CallEvent, Event, Probe};
use hollyspoke_tests::gateway;

/// Three engines that crashed under a request, as their probes show, hold it back, also if garbage was
/// the last that came from them.
#[test]
fn crash_behind_garbage_unnoticed() {
    for last in [CallEvent::Broken, CallEvent::Garbled] {
        let mut world = gateway::World::new();
        let started_at = |at, it| Engine { started_at: Some(at), ..it };
        let engines = gateway::engines().into_iter().map(|it| started_at(100, it));
        world.event(Event::Listed(engines.collect(), 20.into()));
        for at in [200, 300, 400] {
            let (_, call) = world.first_call(gateway::request("unsafe"));
            world.call(call.call, last.clone());
            world.event(Event::Probed(call.engine.key, Probe::Alive(Some(at))));
            let back = started_at(at, (*call.engine).clone());
            world.event(Event::Changed(vec![EngineChange::Put(back, at.into())]));
        }
        let (_, effects) = world.arrive(gateway::request("unsafe"));
        let is_refused = effects.iter().any(|it| matches!(it, Effect::Refuse(..)));
        assert!(is_refused, "{last:?}: the request is sent to another engine");
    }
}

/// An engine that answers its probes lives, so that garbage from it is no crash of the request.
#[test]
fn live_engine_counted_as_crashed() {
    let mut world = gateway::World::new();
    for _ in 0..6 {
        let (_, call) = world.first_call(gateway::request("unsafe"));
        world.call(call.call, CallEvent::Garbled);
        world.event(Event::Probed(call.engine.key, Probe::Alive(None)));
    }
    let (_, effects) = world.arrive(gateway::request("unsafe"));
    let is_refused = effects.iter().any(|it| matches!(it, Effect::Refuse(..)));
    assert!(!is_refused, "{effects:?}");
}
