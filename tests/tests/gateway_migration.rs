//! Streams move away from engines that shut down, and go on within the same answer.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::{Engine, EngineChange};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::migration::Answer;
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    MEMORY, only_send, prefilled, ran, ran_unmarked, rejected, request,
};
use hollyspoke_tests::migration::{
    MovingStream, cancelled, copied, copy_of, freed, leaving, moving_world, only_transfer,
    transfers, world,
};

/// The answers to a transfer after which the stream runs on.
fn failures() -> [Answer; 6] {
    [
        Answer::NotRunning,
        Answer::InProgress,
        Answer::Refused { handle: None },
        Answer::Unsupported,
        Answer::NotConnected,
        Answer::Unknown,
    ]
}

#[test]
fn stream_dies_with_leaving_engine() {
    let (mut stream, second) = MovingStream::continuing("once");
    assert_ne!(second.engine.id, stream.first.engine.id);
    assert_eq!(second.last_event, Some(4));
    let copy = copy_of(&second).expect("a copy");
    assert_eq!((copy.address, &*copy.handle), (stream.first.engine.address, "copy"));
    let effects = stream.world.call(second.call, CallEvent::Began(ran(200)));
    assert_eq!(effects, [Effect::Resume(stream.request, second.call)]);
    stream.world.call(second.call, CallEvent::Forwarded(Some(5)));
    let effects = stream.world.call(second.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Finish(stream.request)]);
    assert_eq!(stream.world.gateway.own_work(), []);
}

/// An engine mostly says that it shuts down in the head of the stream itself.
#[test]
fn stream_begins_at_leaving_engine() {
    let mut world = moving_world();
    let (_, prefill) = world.first_call(request("once"));
    let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
    world.event(leaving(&decode.engine));
    let mut effects = world.call(decode.call, CallEvent::Began(ran(200)));
    effects.extend(world.advance(Duration::from_millis(150)));
    assert_eq!(only_transfer(&effects).source.id, decode.engine.id);
}

#[test]
fn stream_dies_with_draining_entry() {
    let mut world = moving_world();
    let (_, first) = world.begin_stream(request("once"));
    let draining = Engine { is_draining: true, ..(*first.engine).clone() };
    world.event(Event::Changed(vec![EngineChange::Put(draining, 11.into())]));
    let effects = world.advance(Duration::from_millis(150));
    assert_eq!(only_transfer(&effects).source.id, first.engine.id);
}

/// Some engines serve on for a while after their entry is gone.
#[test]
fn stream_dies_with_removed_entry() {
    let mut world = moving_world();
    let (_, first) = world.begin_stream(request("once"));
    world.event(Event::Changed(vec![EngineChange::Left(first.engine.id.clone(), 11.into())]));
    let effects = world.advance(Duration::from_millis(150));
    assert_eq!(only_transfer(&effects).source.id, first.engine.id);
}

#[test]
fn moved_while_switched_off() {
    let mut world = world(Features::NONE);
    let (_, first) = world.begin_stream(request("once"));
    assert_eq!(world.event(leaving(&first.engine)), []);
    assert_eq!(world.advance(Duration::from_secs(3)), []);
}

#[test]
fn short_stream_moved() {
    let mut world = moving_world();
    let short = Request { expected_answer_tokens: Some(10), ..request("once") };
    let (_, first) = world.begin_stream(short);
    world.call(first.call, CallEvent::Forwarded(Some(4)));
    assert_eq!(world.event(leaving(&first.engine)), []);
}

/// The events that arrive between the final copy and the end of the connection are forwarded, and
/// the stream continues after them.
#[test]
fn last_events_lost() {
    let mut stream = MovingStream::stopping("once");
    assert_eq!(stream.answer(copied()), []);
    stream.world.call(stream.first.call, CallEvent::Forwarded(Some(9)));
    let effects = stream.close();
    assert_eq!(cancelled(&effects), [stream.first.call]);
    assert_eq!(only_send(&effects).last_event, Some(9));
}

#[test]
fn connection_stays_open() {
    let mut stream = MovingStream::stopping("once");
    assert_eq!(stream.answer(copied()), []);
    let effects = stream.world.advance(Duration::from_millis(110));
    assert_eq!(effects[0], Effect::Cancel(stream.first.call));
    assert!(copy_of(&only_send(&effects)).is_some());
}

#[test]
fn stream_lost_by_first_copy() {
    for answer in failures() {
        let mut stream = MovingStream::copying("once");
        assert_eq!(stream.answer(answer), []);
        stream.assert_runs_on();
        assert_eq!(stream.world.gateway.own_work(), []);
    }
}

#[test]
fn full_target_asked_again() {
    let mut stream = MovingStream::copying("once");
    stream.answer(Answer::Refused { handle: None });
    let effects = stream.world.advance(Duration::from_millis(450));
    let second = only_transfer(&effects).target;
    stream.answer(Answer::Refused { handle: None });
    assert_eq!(transfers(&stream.world.advance(Duration::from_secs(2))), []);
    assert!(![stream.first.engine.address, stream.target].contains(&second));
}

#[test]
fn unsupporting_engine_asked_again() {
    let mut stream = MovingStream::copying("once");
    stream.answer(Answer::Unsupported);
    assert_eq!(transfers(&stream.world.advance(Duration::from_secs(2))), []);
}

#[test]
fn stream_lost_by_final_copy() {
    for answer in failures().into_iter().filter(|it| *it != Answer::Unknown) {
        let mut stream = MovingStream::stopping("once");
        let effects = stream.answer(answer);
        assert_eq!(freed(&effects).len(), 1, "{effects:?}");
        stream.assert_runs_on();
        assert_eq!(stream.world.gateway.own_work(), []);
    }
}

/// A source that has stopped a stream keeps its memory.
#[test]
fn stopped_stream_refused_by_target() {
    let mut stream = MovingStream::stopping("once");
    stream.close();
    let effects = stream.answer(Answer::Refused { handle: Some("kept".to_owned()) });
    let second = only_send(&effects);
    assert_eq!(second.engine.id, stream.first.engine.id);
    assert_eq!(copy_of(&second).map(|it| &*it.handle), Some("kept"));
}

/// An engine that has been shutting down for long accepts no calls.
#[test]
fn stream_returned_late() {
    let mut stream = MovingStream::stopping("once");
    stream.close();
    stream.world.advance(Duration::from_millis(1100));
    let effects = stream.answer(Answer::Refused { handle: Some("kept".to_owned()) });
    assert_ne!(only_send(&effects).engine.id, stream.first.engine.id);
}

#[test]
fn final_answer_lost() {
    let mut stream = MovingStream::stopping("once");
    assert_eq!(stream.answer(Answer::Unknown), []);
    let second = only_send(&stream.close());
    assert_ne!(second.engine.id, stream.first.engine.id);
    assert_eq!(copy_of(&second).map(|it| &*it.handle), Some("copy"));
}

/// The final copy closes the connection of a stream, which marks the end of one without framing.
#[test]
fn stopped_stream_taken_for_whole() {
    let mut stream = MovingStream::stopping("once");
    let event = CallEvent::Answered(ran_unmarked(200));
    assert_eq!(stream.world.call(stream.first.call, event), []);
    let second = only_send(&stream.answer(copied()));
    assert_ne!(second.engine.id, stream.first.engine.id);
}

#[test]
fn final_order_lost() {
    let mut stream = MovingStream::stopping("once");
    assert_eq!(stream.answer(Answer::Unknown), []);
    stream.world.call(stream.first.call, CallEvent::Forwarded(Some(5)));
    let effects = stream.world.advance(Duration::from_millis(1050));
    assert_eq!(freed(&effects).len(), 1);
    let effects = stream.world.call(stream.first.call, CallEvent::Answered(ran(200)));
    assert!(effects.contains(&Effect::Finish(stream.request)));
}

#[test]
fn source_dies_during_first_copy() {
    let mut stream = MovingStream::copying("once");
    assert_eq!(stream.close(), [Effect::Abort(stream.request)]);
    let copies = freed(&stream.answer(copied()));
    assert_ne!(copies[0].engine, stream.first.engine.key, "freed where it still exists");
    let mut stream = MovingStream::copying("resumed");
    let second = only_send(&stream.close());
    assert_eq!((second.last_event, copy_of(&second)), (Some(4), None));
}

/// The copy made while the stream ran is complete but for some events.
#[test]
fn source_dies_during_final_copy() {
    for answer in [Answer::NotConnected, Answer::Unknown, Answer::NotRunning] {
        let mut stream = MovingStream::stopping("once");
        stream.close();
        let second = only_send(&stream.answer(answer));
        assert_ne!(second.engine.id, stream.first.engine.id);
        assert_eq!(second.last_event, Some(4));
    }
}

/// The handle may have expired, or the target may have freed the copy.
#[test]
fn copy_refused_by_target() {
    let (mut stream, second) = MovingStream::continuing("once");
    let third = only_send(&stream.world.call(second.call, CallEvent::Answered(rejected())));
    assert_eq!(third.engine.id, stream.first.engine.id);
    assert!(copy_of(&third).is_some());
    let effects = stream.world.call(third.call, CallEvent::Answered(rejected()));
    assert_eq!(freed(&effects).len(), 1);
    assert!(effects.contains(&Effect::Abort(stream.request)));
}

#[test]
fn resumable_copy_refused() {
    let (mut stream, second) = MovingStream::continuing("resumed");
    let third = only_send(&stream.world.call(second.call, CallEvent::Answered(rejected())));
    let effects = stream.world.call(third.call, CallEvent::Answered(rejected()));
    let fourth = only_send(&effects);
    assert_eq!((fourth.last_event, copy_of(&fourth)), (Some(4), None));
}

#[test]
fn target_dies_before_continuation() {
    for event in [CallEvent::NotConnected, CallEvent::Broken] {
        let (mut stream, second) = MovingStream::continuing("once");
        let third = only_send(&stream.world.call(second.call, event));
        assert_eq!(third.engine.id, stream.first.engine.id);
    }
}

#[test]
fn target_dies_after_continuation() {
    let (mut stream, second) = MovingStream::continuing("once");
    stream.world.call(second.call, CallEvent::Began(ran(200)));
    let effects = stream.world.call(second.call, CallEvent::Broken);
    assert_eq!(effects, [Effect::Abort(stream.request)]);
    let (mut stream, second) = MovingStream::continuing("resumed");
    stream.world.call(second.call, CallEvent::Began(ran(200)));
    stream.world.call(second.call, CallEvent::Forwarded(Some(6)));
    let third = only_send(&stream.world.call(second.call, CallEvent::Broken));
    assert_eq!(third.last_event, Some(6), "the move took none of the stream's attempts");
}

#[test]
fn stream_ends_during_copy() {
    for is_final in [false, true] {
        let mut stream =
            if is_final { MovingStream::stopping("once") } else { MovingStream::copying("once") };
        let effects = stream.world.call(stream.first.call, CallEvent::Answered(ran(200)));
        assert_eq!(effects, [Effect::Finish(stream.request)]);
        let effects = stream.answer(Answer::NotRunning);
        assert_eq!(freed(&effects).len(), usize::from(is_final));
    }
}

#[test]
fn client_leaves_during_copy() {
    let mut stream = MovingStream::copying("once");
    let effects = stream.world.event(Event::ClientDisconnected(stream.request));
    assert_eq!(effects, [Effect::Cancel(stream.first.call)]);
    let copies = freed(&stream.answer(copied()));
    assert_eq!(copies[0].engine, stream.first.engine.key);
    assert_eq!(stream.world.gateway.own_work(), []);
}

#[test]
fn client_leaves_after_copy() {
    let mut stream = MovingStream::stopping("once");
    stream.answer(copied());
    let effects = stream.world.event(Event::ClientDisconnected(stream.request));
    assert_eq!(freed(&effects).len(), 1);
}

#[test]
fn client_leaves_before_continuation() {
    let (mut stream, second) = MovingStream::continuing("once");
    let effects = stream.world.event(Event::ClientDisconnected(stream.request));
    assert_eq!(cancelled(&effects), [second.call]);
    assert_eq!(freed(&effects).len(), 1);
}

#[test]
fn box_stops_during_move() {
    let mut stream = MovingStream::stopping("once");
    stream.world.event(Event::Stop);
    stream.close();
    assert!(copy_of(&only_send(&stream.answer(copied()))).is_some());
}

#[test]
fn engine_leaves_twice() {
    let mut stream = MovingStream::copying("once");
    let draining = Engine { is_draining: true, ..(*stream.first.engine).clone() };
    let change = EngineChange::Put(draining, 11.into());
    let mut effects = stream.world.event(Event::Changed(vec![change]));
    effects.extend(stream.world.advance(Duration::from_secs(1)));
    assert_eq!(transfers(&effects), []);
}

/// A stream that was told to stop is silent until its copy is made.
#[test]
fn stopped_stream_counts_as_silent() {
    let mut stream = MovingStream::stopping("resumed");
    assert_eq!(stream.world.advance(Duration::from_millis(2000)), []);
    stream.close();
    assert!(copy_of(&only_send(&stream.answer(copied()))).is_some());
}

#[test]
fn stream_moved_without_room() {
    let mut world = moving_world();
    let large = || Request { prompt_tokens: Some(MEMORY * 9 / 10), ..request("once") };
    let streams: Vec<_> = (0..3).map(|_| world.begin_stream(large()).1).collect();
    assert_eq!(world.event(leaving(&streams[0].engine)), []);
    assert_eq!(world.advance(Duration::from_secs(3)), []);
}

/// The target may begin to shut down while it receives the copy.
#[test]
fn stream_moved_to_leaving_engine() {
    let mut stream = MovingStream::copying("once");
    let others = |it: &Arc<Engine>| it.id != stream.first.engine.id;
    let engines = [21, 22, 23].map(|number| {
        Arc::new(hollyspoke_tests::gateway::engine(number, "model", stream.first.engine.stage))
    });
    for engine in engines.iter().filter(|it| others(it)) {
        stream.world.event(leaving(engine));
    }
    stream.world.advance(Duration::from_millis(1100));
    let effects = stream.answer(copied());
    assert_eq!(transfers(&effects), []);
    assert_eq!(freed(&effects).len(), 1);
    stream.assert_runs_on();
}
