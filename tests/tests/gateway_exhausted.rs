//! Calls that a box can't make for lack of its own ports, descriptors or memory.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, NotRunReason, Refusal};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::message::StoreView;
use hollyspoke_tests::gateway::{World, heartbeat, only_refusal, only_send, ran, request};

/// Lets a call fail, and returns all effects.
fn fail(
    world: &mut World,
    call: hollyspoke_gateway::request::CallKey,
    event: CallEvent,
) -> Vec<Effect> {
    world.gateway.step(world.now, Event::Call(call, event))
}

/// Without a descriptor the request is refused at once, and its engine serves the next one.
#[test]
fn shortage_tries_all_engines() {
    let mut world = World::new();
    let (_, send) = world.first_call(request("unsafe"));
    let effects = fail(&mut world, send.call, CallEvent::Exhausted);
    let Refusal::NotRun(_, reason, retry) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::Exhausted);
    assert!(retry > Duration::ZERO);
    let (_, first) = world.first_call(request("unsafe"));
    let (_, second) = world.first_call(request("unsafe"));
    let mut engines = [first.engine.key, second.engine.key];
    engines.sort();
    engines.windows(2).for_each(|it| assert_ne!(it[0], it[1], "an engine is avoided"));
}

/// Without a port for one engine the request goes to another one. Other boxes are told of no engine
/// that can't be reached.
#[test]
fn lacking_port_announced() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let (_, send) = world.first_call(request("unsafe"));
    let second = only_send(&fail(&mut world, send.call, CallEvent::NoPort));
    assert_ne!(second.engine.key, send.engine.key);
    let answered = Event::Call(second.call, CallEvent::Answered(ran(200)));
    let mut effects = world.gateway.step(world.now, answered);
    for _ in 0..20 {
        world.now = world.now + Duration::from_millis(50);
        effects.extend(world.gateway.step(world.now, Event::Tick));
    }
    let messages: Vec<_> = effects
        .iter()
        .filter_map(|it| match it {
            Effect::Announce(_, message) => Some(message),
            _ => None,
        })
        .collect();
    assert!(!messages.is_empty(), "nothing is announced at all");
    assert!(messages.iter().all(|it| it.unreachable.is_empty()), "{messages:?}");
}
