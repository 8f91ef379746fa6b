//! Timers that run out while a sound engine, the store or another box is only silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, LogEvent, Refusal, Send};
use hollyspoke_gateway::engine::{Engine, EngineChange};
use hollyspoke_gateway::event::{CallEvent, Event, Kind, Probe};
use hollyspoke_gateway::framing::Framing;
use hollyspoke_gateway::message::{Extension, Message, StoreView};
use hollyspoke_gateway::migration::Answer;
use hollyspoke_gateway::proxy;
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_tests::gateway::{
    PLAIN, World, configuration, engine, engines, heartbeat, only_send, ran, request,
};
use hollyspoke_tests::migration::{MovingStream, cancelled, copy_of, freed};

/// A silence after which a box counts as dead.
const BOX_SILENCE: Duration = Duration::from_secs(3);

/// The time after which a watch that the store doesn't answer fails.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2300);

/// The time after which the answer to an order to copy a stream is given up.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Returns a heartbeat of a box that serves requests of other boxes.
fn serving_heartbeat(number: u8, sequence: u64) -> Message {
    let proxy = proxy::Announcement { port: Some(9000), ..proxy::Announcement::default() };
    let extension = Extension { proxy, ..Extension::default() }.non_empty();
    Message { extension, ..heartbeat(number, sequence, StoreView::default()) }
}

/// Returns a box that reaches no engine, beside one that does.
fn cut_off_world() -> World {
    let mut world = World::new();
    for engine in engines() {
        world.event(Event::Probed(engine.key, Probe::NotConnected));
    }
    world.advance(Duration::from_millis(400));
    world.event(Event::Received(serving_heartbeat(2, 1)));
    world
}

/// Returns the only call to another box among effects.
fn only_proxied(effects: &[Effect]) -> CallKey {
    match effects {
        [Effect::Proxy(call)] => call.call,
        _ => panic!("not one call to a box: {effects:?}"),
    }
}

/// Returns whether effects end an answer or a request.
fn ends_any(effects: &[Effect]) -> bool {
    let ends =
        |it: &Effect| matches!(it, Effect::Cancel(_) | Effect::Abort(_) | Effect::Refuse(..));
    effects.iter().any(ends)
}

/// A box that is paused, or whose datagrams are lost, goes on with the answers that it forwards.
#[test]
fn answer_of_silent_box_ended() {
    for route in ["safe", "unsafe", "once", "resumed"] {
        let mut world = cut_off_world();
        let (key, effects) = world.arrive(request(route));
        let call = only_proxied(&effects);
        let is_stream = matches!(route, "once" | "resumed");
        if is_stream {
            world.event(Event::Proxied(call, proxy::Event::Began(Framing::Marked)));
        }
        let effects = world.advance(BOX_SILENCE);
        assert!(!ends_any(&effects), "{route}: {effects:?}");
        let effects = world.event(Event::Proxied(call, proxy::Event::Answered));
        let answered = if is_stream { Effect::Finish(key) } else { Effect::Deliver(key, call) };
        assert!(effects.contains(&answered), "{route}: {effects:?}");
    }
}

/// Passes a request on to a box that then is silent, and returns it with the box that is probed.
fn silent_proxy(world: &mut World, route: &str) -> (RequestKey, SocketAddr) {
    let (key, _) = world.arrive(request(route));
    let start = world.now;
    while world.now.since(start) < BOX_SILENCE {
        world.now = world.gateway.next_due().max(world.now + Duration::from_millis(1));
        for effect in world.gateway.step(world.now, Event::Tick) {
            if let Effect::ProbeBox(to) = effect {
                return (key, to);
            }
        }
    }
    panic!("the silent box is not probed");
}

/// A box to which no connection opens doesn't go on.
#[test]
fn answer_of_dark_box_awaited() {
    for route in ["safe", "unsafe"] {
        let mut world = cut_off_world();
        let (key, to) = silent_proxy(&mut world, route);
        let effects = world.event(Event::BoxNotReached(to));
        assert!(effects.contains(&Effect::Refuse(key, Refusal::Failed)), "{route}: {effects:?}");
    }
}

/// A box that is heard again while it is probed keeps its requests.
#[test]
fn answer_of_returned_box_ended() {
    let mut world = cut_off_world();
    let (_, to) = silent_proxy(&mut world, "once");
    world.event(Event::Received(serving_heartbeat(2, 2)));
    let effects = world.event(Event::BoxNotReached(to));
    assert!(!ends_any(&effects), "{effects:?}");
}

/// Lets the store be silent for a time in which a follower's watch fails.
fn silence_store(world: &mut World, silence: Duration) {
    world.event(Event::StoreAnswered(Kind::Engines));
    world.advance(WATCH_TIMEOUT.min(silence));
    if silence > WATCH_TIMEOUT {
        world.event(Event::StoreFailed(Kind::Engines));
        world.advance(silence - WATCH_TIMEOUT);
    }
    world.event(Event::StoreAnswered(Kind::Engines));
}

/// Returns the ids of the engines that are removed at once when all entries have lapsed.
fn removed(world: &mut World, event: Event) -> usize {
    let effects = world.gateway.step(world.now, event);
    let is_removal = |it: &&Effect| matches!(it, Effect::Log(LogEvent::EngineRemoved { .. }));
    let logged = effects.iter().filter(is_removal).count();
    logged.max(engines().len().saturating_sub(world.gateway.engine_count()))
}

/// Engines can't renew their entries while the store is silent, and register again soon after.
#[test]
fn entries_lapsed_in_silence_removed() {
    for silence_ms in [2400, 3000, 3700] {
        let mut world = World::new();
        silence_store(&mut world, Duration::from_millis(silence_ms));
        let lapsed = Event::Listed(Vec::new(), 20.into());
        assert_eq!(removed(&mut world, lapsed), 0, "silent for {silence_ms} ms");
    }
}

/// An engine whose entry goes while the store answers as usual is gone.
#[test]
fn gone_engine_kept() {
    for silence_ms in [300, 1800, 2200] {
        let mut world = World::new();
        silence_store(&mut world, Duration::from_millis(silence_ms));
        let lapsed = Event::Listed(Vec::new(), 20.into());
        assert_eq!(removed(&mut world, lapsed), engines().len(), "{silence_ms} ms");
    }
}

/// A box that has no outage of its own learns of lapsed entries from one that had.
#[test]
fn forwarded_lapse_removed() {
    let mut follower = World::new();
    let mut other = World::numbered(2);
    other.event(Event::Configured(Arc::new(configuration(1))));
    other.event(Event::Listed(engines(), 10.into()));
    silence_store(&mut follower, Duration::from_secs(3));
    follower.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let lapsed = engines().into_iter().map(|it| EngineChange::Left(it.id, 11.into()));
    let effects = follower.gateway.step(follower.now, Event::Changed(lapsed.collect()));
    let forwarded = effects.into_iter().filter_map(|it| match it {
        Effect::Announce(_, message) => Some(*message),
        _ => None,
    });
    let forwarded: Vec<_> = forwarded.collect();
    assert!(forwarded.iter().any(|it| it.engine_update.is_some()));
    for message in forwarded {
        assert_eq!(removed(&mut other, Event::Received(message)), 0);
    }
    other.advance(Duration::from_secs(3));
    assert_eq!(other.gateway.engine_count(), 0, "they have not come back");
}

/// A source that is silent when it is told to stop a stream carries the order out later.
#[test]
fn stream_stopped_late_cut() {
    for silence_ms in [1200, 1700, 3000] {
        let mut stream = MovingStream::stopping("once");
        assert_eq!(stream.world.advance(TRANSFER_TIMEOUT), []);
        assert_eq!(stream.answer(Answer::Unknown), []);
        let effects = stream.world.advance(Duration::from_millis(silence_ms));
        assert_eq!(freed(&effects), [], "silent for {silence_ms} ms more");
        let effects = stream.close();
        assert_eq!(cancelled(&effects), [stream.first.call]);
        assert!(copy_of(&only_send(&effects)).is_some());
    }
}

/// A source that goes on with the stream after its silence keeps it, and the copy is freed.
#[test]
fn stream_never_stopped_moved() {
    let mut stream = MovingStream::stopping("once");
    assert_eq!(stream.world.advance(TRANSFER_TIMEOUT), []);
    assert_eq!(stream.answer(Answer::Unknown), []);
    assert_eq!(freed(&stream.world.advance(Duration::from_millis(1500))), []);
    stream.world.call(stream.first.call, CallEvent::Forwarded(Some(5)));
    let effects = stream.world.advance(Duration::from_millis(1100));
    assert_eq!((freed(&effects).len(), cancelled(&effects)), (1, Vec::new()));
    let effects = stream.world.call(stream.first.call, CallEvent::Answered(ran(200)));
    assert!(effects.contains(&Effect::Finish(stream.request)));
}

/// Returns three plain engines that report when they started.
fn plain_engines() -> Vec<Engine> {
    let engines = (1..=3).map(|it| engine(it, PLAIN, None));
    engines.map(|it| Engine { started_at: Some(5), ..it }).collect()
}

/// Lets a call of a request break at an engine that stands still until its entry has lapsed.
fn lapse_during_call(world: &mut World, revision: u64) {
    let (key, send) = world.first_call(request("safe"));
    world.call(send.call, CallEvent::Broken);
    world.event(Event::ClientDisconnected(key));
    world.event(Event::Probed(send.engine.key, Probe::NoAnswer));
    world.advance(Duration::from_millis(3600));
    let lapsed = EngineChange::Left(send.engine.id.clone(), revision.into());
    world.event(Event::Changed(vec![lapsed]));
}

/// Answers the probes of engines that a box sends within two heartbeats.
fn answer_probes(world: &mut World, started_at: Option<u64>) {
    let end = world.now + Duration::from_millis(750);
    while world.now < end {
        world.now = world.gateway.next_due().max(world.now + Duration::from_millis(1)).min(end);
        for effect in world.gateway.step(world.now, Event::Tick) {
            if let Effect::Probe(engine) = effect {
                world.event(Event::Probed(engine.key, Probe::Alive(started_at)));
            }
        }
    }
}

/// Engines that come back as they were have not crashed.
#[test]
fn request_held_for_lapsed_entries() {
    for is_listed in [false, true] {
        let mut world = World::unconfigured();
        world.event(Event::Configured(Arc::new(configuration(1))));
        world.event(Event::Listed(plain_engines(), 10.into()));
        (11..=13).for_each(|it| lapse_during_call(&mut world, it));
        assert_eq!(world.gateway.held().len(), 1);
        let back = plain_engines();
        world.event(match is_listed {
            true => Event::Listed(back, 14.into()),
            false => Event::Changed(
                back.into_iter().map(|it| EngineChange::Put(it, 14.into())).collect(),
            ),
        });
        answer_probes(&mut world, Some(5));
        assert_eq!(world.gateway.held(), [], "by a list: {is_listed}");
        world.first_call(request("safe"));
    }
}

/// Engines that have started again since had crashed.
#[test]
fn request_released_by_restarts() {
    let mut world = World::unconfigured();
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(plain_engines(), 10.into()));
    (11..=13).for_each(|it| lapse_during_call(&mut world, it));
    let restarted = plain_engines().into_iter().map(|it| Engine { started_at: Some(6), ..it });
    let put = restarted.map(|it| EngineChange::Put(it, 14.into())).collect();
    world.event(Event::Changed(put));
    answer_probes(&mut world, Some(6));
    assert_eq!(world.gateway.held().len(), 1);
}

/// Forwards an event of each stream ten times a second for a time.
fn forward(world: &mut World, sends: &[Send], duration: Duration) {
    let end = world.now + duration;
    while world.now < end {
        world.advance(Duration::from_millis(100));
        for send in sends {
            world.call(send.call, CallEvent::Forwarded(None));
        }
    }
}

/// Begins streams, and returns their calls.
fn begin_streams(world: &mut World, count: usize) -> Vec<Send> {
    (0..count).map(|_| world.begin_stream(request("once")).1).collect()
}

/// A standstill is over with the next event, however many streams it has delayed.
#[test]
fn engine_avoided_after_standstill() {
    for silence_ms in [1000, 1200, 2000] {
        let mut world = World::new();
        let sends = begin_streams(&mut world, 8);
        let first = sends[0].engine.key;
        let others: Vec<_> = sends.iter().filter(|it| it.engine.key != first).cloned().collect();
        assert_eq!(others.len(), 4);
        forward(&mut world, &sends, Duration::from_secs(1));
        forward(&mut world, &others, Duration::from_millis(silence_ms));
        forward(&mut world, &sends, Duration::from_millis(100));
        for send in sends {
            world.call(send.call, CallEvent::Answered(ran(200)));
        }
        let next = begin_streams(&mut world, 4);
        let count = next.iter().filter(|it| it.engine.key == first).count();
        assert_eq!(count, 2, "silent for {silence_ms} ms");
    }
}

/// An engine that stands still again and again is left.
#[test]
fn engine_kept_after_standstills() {
    let mut world = World::new();
    let sends = begin_streams(&mut world, 8);
    let first = sends[0].engine.key;
    let others: Vec<_> = sends.iter().filter(|it| it.engine.key != first).cloned().collect();
    for _ in 0..5 {
        forward(&mut world, &others, Duration::from_millis(1100));
        forward(&mut world, &sends, Duration::from_millis(100));
    }
    let next = begin_streams(&mut world, 2);
    assert!(next.iter().all(|it| it.engine.key != first));
}
