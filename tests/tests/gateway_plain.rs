//! Plain requests: which may be sent again, and what their clients are answered.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, NotRunReason, Refusal};
use hollyspoke_gateway::engine::EngineChange;
use hollyspoke_gateway::event::{Answer, CallEvent, Event, Execution};
use hollyspoke_gateway::route::{Route, RouteKind};
use hollyspoke_tests::gateway::{
    PLAIN, World, configuration_of, engine, only_refusal, only_send, ran, rejected, request, route,
};

#[test]
fn answer_lost() {
    let mut world = World::new();
    let (request_key, send) = world.first_call(request("unsafe"));
    let effects = world.call(send.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Deliver(request_key, send.call)]);
}

#[test]
fn unsafe_request_retried() {
    let mut world = World::new();
    let (_, send) = world.first_call(request("unsafe"));
    let effects = world.call(send.call, CallEvent::Broken);
    assert_eq!(only_refusal(&effects), Refusal::Failed);
}

#[test]
fn unsafe_failure_hidden() {
    let mut world = World::new();
    let (request_key, send) = world.first_call(request("unsafe"));
    let effects = world.call(send.call, CallEvent::Answered(ran(500)));
    assert_eq!(effects, [Effect::Deliver(request_key, send.call)]);
}

#[test]
fn unproven_refusal_forwarded() {
    let mut world = World::new();
    let (_, send) = world.first_call(request("unsafe"));
    let effects = world.call(send.call, CallEvent::Answered(ran(503)));
    assert_eq!(only_refusal(&effects), Refusal::Failed);
}

#[test]
fn unreachable_engine_retried() {
    let mut world = World::new();
    let (_, first) = world.first_call(request("unsafe"));
    let effects = world.call(first.call, CallEvent::NotConnected);
    let second = only_send(&effects);
    assert_ne!(first.engine.id, second.engine.id);
}

/// An unreachable engine runs nothing, and so seems to have the most free capacity.
#[test]
fn unreachable_engine_preferred() {
    let mut world = World::new();
    let (_, first) = world.first_call(request("unsafe"));
    let second = only_send(&world.call(first.call, CallEvent::NotConnected));
    let effects = world.call(second.call, CallEvent::NotConnected);
    let Refusal::NotRun(_, reason, retry) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::NoEngine);
    assert!(retry > Duration::ZERO);
}

#[test]
fn rejected_everywhere() {
    let mut world = World::new();
    let (_, send) = world.first_call(request("unsafe"));
    let mut effects = world.call(send.call, CallEvent::Answered(rejected()));
    while effects.iter().any(|it| matches!(it, Effect::Send(_))) {
        let send = only_send(&effects);
        effects = world.call(send.call, CallEvent::Answered(rejected()));
    }
    assert!(matches!(only_refusal(&effects), Refusal::NotRun(..)));
}

#[test]
fn replaced_engine_retried() {
    let mut world = World::new();
    let (_, first) = world.first_call(request("unsafe"));
    let moved = Answer { execution: Execution::Replaced, ..ran(421) };
    let second = only_send(&world.call(first.call, CallEvent::Answered(moved)));
    assert_ne!(first.engine.id, second.engine.id);
    for _ in 0..8 {
        let (_, send) = world.first_call(request("unsafe"));
        assert_eq!(send.engine.id, second.engine.id);
    }
}

#[test]
fn safe_request_repeated_twice() {
    let mut world = World::new();
    let (request_key, first) = world.first_call(request("safe"));
    let second = only_send(&world.call(first.call, CallEvent::Answered(ran(500))));
    assert_ne!(first.engine.id, second.engine.id);
    let effects = world.call(second.call, CallEvent::Answered(ran(500)));
    assert_eq!(effects, [Effect::Deliver(request_key, second.call)]);
}

#[test]
fn silent_call_not_retried() {
    let mut world = World::new();
    let (request_key, first) = world.first_call(request("safe"));
    let effects = world.advance(Duration::from_secs(8));
    assert!(!effects.contains(&Effect::Cancel(first.call)));
    let second = only_send(&effects);
    let effects = world.call(second.call, CallEvent::Answered(ran(200)));
    let replaced = [Effect::Deliver(request_key, second.call), Effect::Cancel(first.call)];
    assert_eq!(effects, replaced);
}

/// A silent call must not be cancelled if no other attempt is left.
#[test]
fn silent_call_cancelled_early() {
    let single = Route { max_attempts: 1, ..route("safe", RouteKind::Safe, PLAIN) };
    let routes = vec![single, route("unsafe", RouteKind::Unsafe, PLAIN)];
    let mut world = World::new();
    world.event(Event::Configured(std::sync::Arc::new(configuration_of(2, routes))));
    for name in ["safe", "unsafe"] {
        let (_, send) = world.first_call(request(name));
        let effects = world.advance(Duration::from_millis(13_900));
        assert_eq!(effects, [], "{name}");
        let effects = world.advance(Duration::from_millis(200));
        assert!(effects.contains(&Effect::Cancel(send.call)));
        assert_eq!(only_refusal(&effects), Refusal::TimedOut);
    }
}

#[test]
fn client_deadline_ignored() {
    let mut world = World::new();
    let mut request = request("unsafe");
    request.deadline = Some(Duration::from_millis(700));
    let (_, send) = world.first_call(request);
    assert_eq!(send.deadline, Duration::from_millis(700));
    let effects = world.advance(Duration::from_millis(701));
    assert_eq!(only_refusal(&effects), Refusal::TimedOut);
}

#[test]
fn disconnected_request_kept() {
    let mut world = World::new();
    let (request_key, send) = world.first_call(request("safe"));
    let effects = world.event(Event::ClientDisconnected(request_key));
    assert_eq!(effects, [Effect::Cancel(send.call)]);
    assert_eq!(world.gateway.in_flight_count(), 0);
    assert_eq!(world.call(send.call, CallEvent::Answered(ran(200))), []);
}

#[test]
fn draining_engine_used() {
    let mut world = World::new();
    let mut draining = engine(1, PLAIN, None);
    draining.is_draining = true;
    world.event(Event::Changed(vec![EngineChange::Put(draining, 11.into())]));
    for _ in 0..8 {
        let (_, send) = world.first_call(request("safe"));
        assert_eq!(&*send.engine.id, "engine-2");
    }
    world.event(Event::Changed(vec![EngineChange::Left("engine-2".into(), 12.into())]));
    let (_, effects) = world.arrive(request("safe"));
    assert!(matches!(only_refusal(&effects), Refusal::NotRun(..)));
}

/// An engine that answers correctly but late is avoided like one that fails.
#[test]
fn slow_engine_preferred() {
    let mut world = World::new();
    let mut to_slow = 0;
    for _ in 0..30 {
        let (_, send) = world.first_call(request("unsafe"));
        let is_slow = &*send.engine.id == "engine-1";
        to_slow += u32::from(is_slow);
        let took = if is_slow { 1000 } else { 60 };
        world.advance(Duration::from_millis(took));
        world.call(send.call, CallEvent::Answered(ran(200)));
    }
    assert!(to_slow <= 6, "{to_slow} of 30 went to the slow engine");
}

#[test]
fn retry_budget_exceeded() {
    let mut world = World::new();
    let mut repeats = 0;
    for _ in 0..400 {
        let (_, send) = world.first_call(request("safe"));
        let effects = world.call(send.call, CallEvent::Answered(ran(500)));
        if effects.iter().any(|it| matches!(it, Effect::Send(_))) {
            repeats += 1;
            let send = only_send(&effects);
            world.call(send.call, CallEvent::Answered(ran(200)));
        }
    }
    assert!((40..=130).contains(&repeats), "{repeats} repeats of 400, bound 0.2 x 400 + 50");
}

/// A stream that was accepted 4.7 s after SIGTERM was cut at 7.6 s, since the process ends within 8 s
/// of the signal.
#[test]
fn late_stream_cut() {
    let mut world = World::new();
    world.event(Event::Stop);
    world.advance(Duration::from_millis(2000));
    world.first_call(request("once"));
    world.advance(Duration::from_millis(1000));
    let (_, effects) = world.arrive(request("once"));
    let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::Stopping);
    let mut short = request("safe");
    short.deadline = Some(Duration::from_millis(1500));
    world.first_call(short);
}

#[test]
fn stopping_box_refuses_early() {
    let mut world = World::new();
    let (request_key, before) = world.first_call(request("unsafe"));
    world.event(Event::Stop);
    assert!(!world.gateway.is_ready());
    assert!(world.gateway.fronts(None).is_empty());
    world.first_call(request("unsafe"));
    world.advance(Duration::from_secs(5));
    let (_, effects) = world.arrive(request("unsafe"));
    let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::Stopping);
    assert!(!world.gateway.is_done(world.now));
    let effects = world.call(before.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Deliver(request_key, before.call)]);
}
