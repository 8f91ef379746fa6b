//! Streams whose engine fails continue from their backup at a second engine.

use hollyspoke_gateway::effect::{Effect, Send};
use hollyspoke_gateway::event::{CallEvent, Event, Probe};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::request::{Request, RequestKey};
use hollyspoke_tests::gateway::{MEMORY, World, only_send, prefilled, ran, rejected, request};
use hollyspoke_tests::migration::{cancelled, copy_of, world};

/// Returns a box that backs streams up.
fn backing_world() -> World {
    world(Features { backups: true, ..Features::NONE })
}

/// Starts a stream up to its fourth event.
fn begin(world: &mut World, route: &str) -> (RequestKey, Send) {
    let (request_key, decode) = world.begin_stream(request(route));
    world.call(decode.call, CallEvent::Forwarded(Some(4)));
    (request_key, decode)
}

#[test]
fn stream_lost_with_engine() {
    let mut world = backing_world();
    let (request_key, first) = begin(&mut world, "once");
    let backup = first.backup.expect("a backup");
    assert_ne!(backup, first.engine.address);
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    assert_eq!((second.engine.address, second.last_event), (backup, Some(4)));
    let copy = copy_of(&second).expect("a copy");
    assert_eq!((copy.address, &*copy.handle), (backup, "request-once"));
    let effects = world.call(second.call, CallEvent::Began(ran(200)));
    assert_eq!(effects, [Effect::Resume(request_key, second.call)]);
    let effects = world.call(second.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Finish(request_key)]);
    assert_eq!(world.gateway.own_work(), []);
}

/// The stream goes on being backed up, so it also survives the second engine, unless it is suspected
/// of crashing both.
#[test]
fn stream_lost_with_backup_engine() {
    let mut world = backing_world();
    let (_, first) = begin(&mut world, "once");
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    world.event(Event::Probed(first.engine.key, Probe::Alive(None)));
    world.call(second.call, CallEvent::Began(ran(200)));
    world.call(second.call, CallEvent::Forwarded(Some(7)));
    let third = only_send(&world.call(second.call, CallEvent::Broken));
    assert_eq!((third.last_event, Some(third.engine.address)), (Some(7), second.backup));
}

#[test]
fn missing_backup_awaited() {
    let mut world = backing_world();
    let (request_key, first) = begin(&mut world, "once");
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    let effects = world.call(second.call, CallEvent::Answered(rejected()));
    assert!(effects.contains(&Effect::Abort(request_key)), "{effects:?}");
    assert_eq!(world.gateway.own_work(), []);
}

#[test]
fn backup_engine_dies_too() {
    for event in [CallEvent::NotConnected, CallEvent::Broken] {
        let mut world = backing_world();
        let (request_key, first) = begin(&mut world, "once");
        let second = only_send(&world.call(first.call, CallEvent::Broken));
        let effects = world.call(second.call, event);
        assert!(effects.contains(&Effect::Abort(request_key)), "{effects:?}");
    }
}

/// Nothing shows that the engine had begun, so there may be nothing to continue from.
#[test]
fn silent_stream_continued() {
    let mut world = backing_world();
    let (request_key, prefill) = world.first_call(request("once"));
    let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
    let effects = world.call(decode.call, CallEvent::Broken);
    let is_refused = |it: &Effect| matches!(it, Effect::Refuse(key, _) if *key == request_key);
    assert!(effects.iter().any(is_refused), "{effects:?}");
}

#[test]
fn repeatable_stream_backed_up() {
    let mut world = backing_world();
    assert_eq!(begin(&mut world, "resumed").1.backup, None);
    let long = Request { prompt_tokens: Some(12_000), ..request("resumed") };
    assert!(world.begin_stream(long).1.backup.is_some());
}

#[test]
fn full_engine_receives_backup() {
    let mut world = backing_world();
    let large = || Request { prompt_tokens: Some(MEMORY * 6 / 10), ..request("once") };
    (0..3).for_each(|_| _ = world.begin_stream(large()));
    assert_eq!(world.begin_stream(request("once")).1.backup, None);
}

/// The copy takes as much memory as the stream, until the stream ends.
#[test]
fn backup_memory_uncounted() {
    let mut world = backing_world();
    let (_, first) = begin(&mut world, "once");
    let held: u32 = world.gateway.own_work().iter().map(|it| it.1.held_tokens).sum();
    assert_eq!(held, 2 * 5400);
    world.call(first.call, CallEvent::Answered(ran(200)));
    assert_eq!(world.gateway.own_work(), []);
}

#[test]
fn rejected_call_keeps_backup() {
    let mut world = backing_world();
    let (_, prefill) = world.first_call(request("once"));
    let first = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
    let second = only_send(&world.call(first.call, CallEvent::Answered(rejected())));
    assert_ne!(second.backup, Some(second.engine.address));
    let held: u32 = world.gateway.own_work().iter().map(|it| it.1.held_tokens).sum();
    assert_eq!(held, 2 * 5400);
}

#[test]
fn client_leaves_before_backup_is_used() {
    let mut world = backing_world();
    let (request_key, first) = begin(&mut world, "once");
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    let effects = world.event(Event::ClientDisconnected(request_key));
    assert_eq!(cancelled(&effects), [second.call]);
    assert_eq!(world.gateway.own_work(), []);
}

#[test]
fn backed_up_while_switched_off() {
    let mut world = world(Features::NONE);
    let (request_key, first) = begin(&mut world, "once");
    assert_eq!(first.backup, None);
    assert_eq!(world.call(first.call, CallEvent::Broken), [Effect::Abort(request_key)]);
}
