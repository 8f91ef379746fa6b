//! Streams through engines that read prompts and engines that generate.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, NotRunReason, Prompt, Refusal, Task};
use hollyspoke_gateway::engine::Stage;
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    MEMORY, MODEL, World, engine, only_refusal, only_send, prefilled, ran, rejected, request,
};

/// Gives a request that fills an engine's memory.
fn filling(route: &str) -> Request {
    Request { prompt_tokens: Some(MEMORY * 9 / 10), ..request(route) }
}

#[test]
fn read_then_generated() {
    let mut world = World::new();
    let (flight, generating) = world.begin_stream(request("once"));
    let Task::Decode(Prompt::Prefilled(source)) = &generating.task else {
        panic!("{generating:?}")
    };
    assert_eq!(source.handle, "h");
    assert_eq!(generating.engine.stage, Some(Stage::Decode));
    assert_eq!(world.call(generating.call, CallEvent::Forwarded(Some(1))), []);
    let effects = world.call(generating.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Finish(flight)]);
}

/// A prompt read without room for it at an engine that generates is read for nothing.
#[test]
fn no_room_no_reading() {
    let mut world = World::new();
    world.begin_stream(filling("once"));
    world.begin_stream(filling("once"));
    let (_, effects) = world.arrive(request("once"));
    assert_eq!(effects, []);
}

/// A client whose request is refused within a quarter of the target loses least by coming back.
#[test]
fn no_room_is_refused_soon() {
    let mut world = World::new();
    world.begin_stream(filling("once"));
    world.begin_stream(filling("once"));
    world.arrive(request("once"));
    let effects = world.advance(Duration::from_millis(225));
    let Refusal::NotRun(_, reason, retry) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::Overloaded);
    assert!(retry >= Duration::from_millis(400), "{retry:?}");
}

#[test]
fn room_that_comes_is_used() {
    let mut world = World::new();
    let (_, first) = world.begin_stream(filling("once"));
    world.begin_stream(filling("once"));
    world.arrive(request("once"));
    let effects = world.call(first.call, CallEvent::Answered(ran(200)));
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

/// Gives a request of a client that has come back after a refusal.
fn returned(route: &str) -> Request {
    Request { deadline: Some(Duration::from_secs(10)), ..request(route) }
}

/// A request that has been given up on gets its answer at once, also if its client came back:
/// engines that are full for this long stay full for longer than the client waits.
#[test]
fn returned_request_waits_no_longer() {
    let mut world = World::new();
    world.begin_stream(filling("once"));
    world.begin_stream(filling("once"));
    world.arrive(returned("once"));
    assert_eq!(world.advance(Duration::from_millis(190)), []);
    let effects = world.advance(Duration::from_millis(10));
    let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::Overloaded);
}

/// A client that came back has no further try, so that its request goes before others.
#[test]
fn returned_request_goes_first() {
    let mut world = World::new();
    let (_, full) = world.begin_stream(filling("once"));
    world.begin_stream(filling("once"));
    world.arrive(filling("once"));
    let (key, _) =
        world.arrive(Request { prompt_tokens: Some(MEMORY * 9 / 10), ..returned("once") });
    let effects = world.call(full.call, CallEvent::Answered(ran(200)));
    assert_eq!(only_send(&effects).request, key);
}

/// The engine was full: the prompt is offered to a second one before it is read again.
#[test]
fn prompt_turned_away_once() {
    let mut world = World::new();
    let (_, reading) = world.first_call(request("once"));
    let first = only_send(&world.call(reading.call, CallEvent::Answered(prefilled("h"))));
    let effects = world.call(first.call, CallEvent::Answered(rejected()));
    let second = only_send(&effects);
    assert_eq!(second.task, first.task);
    assert_ne!(second.engine.id, first.engine.id);
    let effects = world.call(second.call, CallEvent::Answered(rejected()));
    assert!(effects.iter().any(|it| matches!(it, Effect::Free(_))));
}

/// A prompt that is late for its own length would be late at any time; refusing it helps nobody.
#[test]
fn long_prompt_is_served() {
    let mut world = World::new();
    let (_, send) = world.first_call(filling("once"));
    assert_eq!(send.task, Task::Prefill);
}

#[test]
fn prompt_not_read() {
    for event in [CallEvent::Broken, CallEvent::Answered(ran(500))] {
        let mut world = World::new();
        let (_, reading) = world.first_call(request("once"));
        let effects = world.call(reading.call, event);
        assert_eq!(only_send(&effects).task, Task::Decode(Prompt::NotPrefilled));
    }
}

#[test]
fn broken_stream_goes_on() {
    let mut world = World::new();
    let (flight, first) = world.begin_stream(request("resumed"));
    world.call(first.call, CallEvent::Forwarded(Some(4)));
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    assert_eq!(second.last_event, Some(4));
    assert_ne!(second.engine.id, first.engine.id);
    let effects = world.call(second.call, CallEvent::Began(ran(200)));
    assert_eq!(effects, [Effect::Resume(flight, second.call)]);
    world.call(second.call, CallEvent::Forwarded(Some(5)));
    let effects = world.call(second.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Finish(flight)]);
}

#[test]
fn broken_stream_that_may_not_go_on() {
    let mut world = World::new();
    let (flight, first) = world.begin_stream(request("once"));
    world.call(first.call, CallEvent::Forwarded(Some(4)));
    assert_eq!(world.call(first.call, CallEvent::Broken), [Effect::Abort(flight)]);
}

#[test]
fn attempts_are_bounded() {
    let mut world = World::new();
    let (flight, first) = world.begin_stream(request("resumed"));
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    world.call(second.call, CallEvent::Began(ran(200)));
    assert_eq!(world.call(second.call, CallEvent::Broken), [Effect::Abort(flight)]);
}

#[test]
fn stream_that_stalls() {
    let mut world = World::new();
    let (_, first) = world.begin_stream(request("resumed"));
    world.call(first.call, CallEvent::Forwarded(Some(1)));
    let effects = world.advance(Duration::from_millis(1500));
    assert!(effects.contains(&Effect::Cancel(first.call)));
    assert_eq!(only_send(&effects).last_event, Some(1));
}

#[test]
fn stream_that_stalls_and_may_not_go_on() {
    let mut world = World::new();
    let (_, first) = world.begin_stream(request("once"));
    world.call(first.call, CallEvent::Forwarded(Some(1)));
    assert_eq!(world.advance(Duration::from_secs(10)), []);
}

#[test]
fn client_left_before_generating() {
    let mut world = World::new();
    let (flight, reading) = world.first_call(request("once"));
    let generating = only_send(&world.call(reading.call, CallEvent::Answered(prefilled("h"))));
    let effects = world.event(Event::ClientDisconnected(flight));
    assert_eq!(effects[0], Effect::Cancel(generating.call));
    assert!(matches!(effects[1], Effect::Free(_)));
}

#[test]
fn client_left_frees_the_room() {
    let mut world = World::new();
    let (first, _) = world.begin_stream(filling("once"));
    world.begin_stream(filling("once"));
    world.event(Event::ClientDisconnected(first));
    let (_, send) = world.first_call(request("once"));
    assert_eq!(send.task, Task::Prefill);
}

/// With all that read prompts gone, an engine that generates reads the prompt itself.
#[test]
fn no_engine_that_reads() {
    let mut world = World::new();
    let decoders = vec![engine(21, MODEL, Some(Stage::Decode))];
    world.event(Event::Listed(decoders, 20.into()));
    let (_, send) = world.first_call(request("once"));
    assert_eq!(send.task, Task::Decode(Prompt::NotPrefilled));
}

#[test]
fn long_queue_goes_around() {
    let mut world = World::new();
    let mut alone = 0;
    for _ in 0..12 {
        let (_, send) = world.first_call(request("once"));
        alone += u32::from(send.task == Task::Decode(Prompt::NotPrefilled));
    }
    assert!(alone > 0, "some prompts are read by the engines that generate");
}
