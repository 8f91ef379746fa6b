//! Streams through prefill and decode engines.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, NotRunReason, Prompt, Refusal, Task};
use hollyspoke_gateway::engine::Stage;
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    MEMORY, MODEL, World, engine, only_refusal, only_send, prefilled, ran, rejected, request,
};

/// Returns a request that fills an engine's memory.
fn filling_request(route: &str) -> Request {
    Request { prompt_tokens: Some(MEMORY * 9 / 10), ..request(route) }
}

#[test]
fn stream_not_completed() {
    let mut world = World::new();
    let (request_key, decode_call) = world.begin_stream(request("once"));
    let Task::Decode(Prompt::Prefilled(source)) = &decode_call.task else {
        panic!("{decode_call:?}")
    };
    assert_eq!(source.handle, "h");
    assert_eq!(decode_call.engine.stage, Some(Stage::Decode));
    assert_eq!(world.call(decode_call.call, CallEvent::Forwarded(Some(1))), []);
    let effects = world.call(decode_call.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Finish(request_key)]);
}

/// A prefill without free capacity at a decode engine is wasted.
#[test]
fn useless_prefill() {
    let mut world = World::new();
    world.begin_stream(filling_request("once"));
    world.begin_stream(filling_request("once"));
    let (_, effects) = world.arrive(request("once"));
    assert_eq!(effects, []);
}

/// A request without free capacity is refused within a quarter of the target, so that a retry is cheap.
#[test]
fn overload_refusal_late() {
    let mut world = World::new();
    world.begin_stream(filling_request("once"));
    world.begin_stream(filling_request("once"));
    world.arrive(request("once"));
    let effects = world.advance(Duration::from_millis(225));
    let Refusal::NotRun(_, reason, retry) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::Overloaded);
    assert!(retry >= Duration::from_millis(400), "{retry:?}");
}

#[test]
fn freed_capacity_unused() {
    let mut world = World::new();
    let (_, first) = world.begin_stream(filling_request("once"));
    world.begin_stream(filling_request("once"));
    world.arrive(request("once"));
    let effects = world.call(first.call, CallEvent::Answered(ran(200)));
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

/// Returns a request of a client that returns after a refusal.
fn returning_request(route: &str) -> Request {
    Request { deadline: Some(Duration::from_secs(10)), ..request(route) }
}

/// A request is refused after the same wait if its client has returned: engines that are full for
/// this long stay full for longer than the client waits.
#[test]
fn returning_request_waits_longer() {
    let mut world = World::new();
    world.begin_stream(filling_request("once"));
    world.begin_stream(filling_request("once"));
    world.arrive(returning_request("once"));
    assert_eq!(world.advance(Duration::from_millis(190)), []);
    let effects = world.advance(Duration::from_millis(10));
    let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::Overloaded);
}

/// A client that returned has no further attempt, so that its request is sent before others.
#[test]
fn returning_request_delayed() {
    let mut world = World::new();
    let (_, full) = world.begin_stream(filling_request("once"));
    world.begin_stream(filling_request("once"));
    world.arrive(filling_request("once"));
    let (key, _) =
        world.arrive(Request { prompt_tokens: Some(MEMORY * 9 / 10), ..returning_request("once") });
    let effects = world.call(full.call, CallEvent::Answered(ran(200)));
    assert_eq!(only_send(&effects).request, key);
}

/// After a rejection the prompt is sent to a second engine before it is prefilled again.
#[test]
fn rejected_prompt_dropped() {
    let mut world = World::new();
    let (_, prefill_call) = world.first_call(request("once"));
    let first = only_send(&world.call(prefill_call.call, CallEvent::Answered(prefilled("h"))));
    let effects = world.call(first.call, CallEvent::Answered(rejected()));
    let second = only_send(&effects);
    assert_eq!(second.task, first.task);
    assert_ne!(second.engine.id, first.engine.id);
    let effects = world.call(second.call, CallEvent::Answered(rejected()));
    assert!(effects.iter().any(|it| matches!(it, Effect::Free(_))));
}

/// A prompt too long for the target would be late at any load, so that a refusal is of no use.
#[test]
fn long_prompt_refused() {
    let mut world = World::new();
    let (_, send) = world.first_call(filling_request("once"));
    assert_eq!(send.task, Task::Prefill);
}

#[test]
fn prefill_failure_fatal() {
    for event in [CallEvent::Broken, CallEvent::Answered(ran(500))] {
        let mut world = World::new();
        let (_, prefill_call) = world.first_call(request("once"));
        let effects = world.call(prefill_call.call, event);
        assert_eq!(only_send(&effects).task, Task::Decode(Prompt::NotPrefilled));
    }
}

#[test]
fn resumable_stream_lost() {
    let mut world = World::new();
    let (request_key, first) = world.begin_stream(request("resumed"));
    world.call(first.call, CallEvent::Forwarded(Some(4)));
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    assert_eq!(second.last_event, Some(4));
    assert_ne!(second.engine.id, first.engine.id);
    let effects = world.call(second.call, CallEvent::Began(ran(200)));
    assert_eq!(effects, [Effect::Resume(request_key, second.call)]);
    world.call(second.call, CallEvent::Forwarded(Some(5)));
    let effects = world.call(second.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Finish(request_key)]);
}

#[test]
fn broken_stream_resumed() {
    let mut world = World::new();
    let (request_key, first) = world.begin_stream(request("once"));
    world.call(first.call, CallEvent::Forwarded(Some(4)));
    assert_eq!(world.call(first.call, CallEvent::Broken), [Effect::Abort(request_key)]);
}

#[test]
fn attempt_limit_exceeded() {
    let mut world = World::new();
    let (request_key, first) = world.begin_stream(request("resumed"));
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    world.call(second.call, CallEvent::Began(ran(200)));
    assert_eq!(world.call(second.call, CallEvent::Broken), [Effect::Abort(request_key)]);
}

#[test]
fn stalled_stream_kept() {
    let mut world = World::new();
    let (request_key, first) = world.begin_stream(request("resumed"));
    world.call(first.call, CallEvent::Forwarded(Some(1)));
    let effects = world.advance(Duration::from_millis(1500));
    let second = only_send(&effects);
    assert_eq!(second.last_event, Some(1));
    assert!(!effects.contains(&Effect::Cancel(first.call)));
    let effects = world.call(second.call, CallEvent::Began(ran(200)));
    let resumed = [Effect::Cancel(first.call), Effect::Resume(request_key, second.call)];
    assert_eq!(effects, resumed);
}

#[test]
fn stalled_stream_cut() {
    let mut world = World::new();
    let (_, first) = world.begin_stream(request("once"));
    world.call(first.call, CallEvent::Forwarded(Some(1)));
    assert_eq!(world.advance(Duration::from_secs(10)), []);
}

#[test]
fn abandoned_prompt_kept() {
    let mut world = World::new();
    let (request_key, prefill_call) = world.first_call(request("once"));
    let decode_call =
        only_send(&world.call(prefill_call.call, CallEvent::Answered(prefilled("h"))));
    let effects = world.event(Event::ClientDisconnected(request_key));
    assert_eq!(effects[0], Effect::Cancel(decode_call.call));
    assert!(matches!(effects[1], Effect::Free(_)));
}

#[test]
fn abandoned_capacity_kept() {
    let mut world = World::new();
    let (first, _) = world.begin_stream(filling_request("once"));
    world.begin_stream(filling_request("once"));
    world.event(Event::ClientDisconnected(first));
    let (_, send) = world.first_call(request("once"));
    assert_eq!(send.task, Task::Prefill);
}

/// Without prefill engines, a decode engine prefills the prompt itself.
#[test]
fn missing_prefill_engines_fatal() {
    let mut world = World::new();
    let decoders = vec![engine(21, MODEL, Some(Stage::Decode))];
    world.event(Event::Listed(decoders, 20.into()));
    let (_, send) = world.first_call(request("once"));
    assert_eq!(send.task, Task::Decode(Prompt::NotPrefilled));
}

#[test]
fn prefill_queue_awaited() {
    let mut world = World::new();
    let mut direct_decode_count = 0;
    for _ in 0..12 {
        let (_, send) = world.first_call(request("once"));
        direct_decode_count += u32::from(send.task == Task::Decode(Prompt::NotPrefilled));
    }
    assert!(direct_decode_count > 0, "some prompts are prefilled by decode engines");
}
