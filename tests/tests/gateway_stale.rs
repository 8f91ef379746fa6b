//! A box that was paused takes up no stream by a list of engines that is as old as the pause.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{World, request};

/// A pause in which an engine can restart.
const PAUSE: Duration = Duration::from_secs(3);

/// Returns a box that began a stream, was paused, and has gone on.
fn paused_world(pause: Duration) -> World {
    let mut world = World::new();
    let (key, _) = world.begin_stream(request("resumed"));
    world.event(Event::ClientDisconnected(key));
    world.now = world.now + pause;
    let effects = world.event(Event::Paused(pause));
    let is_read = effects.contains(&Effect::Read(Kind::Engines));
    assert_eq!(is_read, pause == PAUSE, "{effects:?}");
    world
}

/// Takes up the stream, and returns whether it goes on at once.
fn take_up(world: &mut World) -> bool {
    let resumed_id = Some("request-resumed".into());
    let again =
        Request { id: "again".into(), last_event: Some(1), resumed_id, ..request("resumed") };
    let (_, effects) = world.arrive(again);
    is_sent(&effects)
}

/// Returns whether a call is sent.
fn is_sent(effects: &[Effect]) -> bool {
    effects.iter().any(|it| matches!(it, Effect::Send(_)))
}

/// Tells the box that the changes of engines up to a time are known.
fn refresh(world: &mut World, asked_at: Time) -> bool {
    is_sent(&world.event(Event::Refreshed(Kind::Engines, asked_at)))
}

/// An answer to a question from before the pause ends no wait.
#[test]
fn stream_taken_up_by_old_list() {
    let mut world = paused_world(PAUSE);
    assert!(!take_up(&mut world));
    let before = world.now - PAUSE;
    assert!(!refresh(&mut world, before));
    let now = world.now;
    assert!(refresh(&mut world, now));
    assert!(take_up(&mut world), "the next one waits no more");
}

/// The store may be away for this box.
#[test]
fn stream_waits_without_end() {
    let mut world = paused_world(PAUSE);
    assert!(!take_up(&mut world));
    assert!(is_sent(&world.advance(Duration::from_millis(900))));
    assert!(take_up(&mut world));
}

/// Streams that begin, and those behind a pause in which no engine can restart, wait for nothing.
#[test]
fn other_stream_waits() {
    assert!(take_up(&mut paused_world(Duration::from_millis(400))));
    let (_, effects) = paused_world(PAUSE).arrive(request("once"));
    assert!(is_sent(&effects));
}
