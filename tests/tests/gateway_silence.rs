//! Silent engines: what is sent beside a silent call, and what a wrong verdict sets off.

use std::collections::BTreeSet;
use std::time::Duration;

use hollyspoke_gateway::budget::Bound;
use hollyspoke_gateway::effect::{Effect, Send, Task};
use hollyspoke_gateway::engine::{EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event, Probe};
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::{Message, StoreView};
use hollyspoke_gateway::request::{CallKey, Request, RequestKey};
use hollyspoke_gateway::signature::Content;
use hollyspoke_tests::gateway::{
    HOST, MODEL, World, configuration, engine, engines, heartbeat, only_send, prefilled, ran,
    ran_unmarked, rejected, request, settings,
};

/// The time by which a silent call to an engine that can't be reached is sent again.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// A time just before the client of a silent stream leaves.
const PATIENCE: Duration = Duration::from_millis(3500);

/// The time by which the engine of a silent call is probed: 0.5 s before the timeout.
const FIRST_PROBE: Duration = Duration::from_millis(700);

/// The time from which on another engine is sought for a call whose engine stands still: the
/// client's patience of four targets, less the target that its successor needs.
const STILL_TIMEOUT: Duration = Duration::from_millis(2700);

/// The number of probes of an engine for one silence.
const PROBES_OF_SILENCE: u128 = 1;

/// The number of probes of an engine for the suspicion that a call has crashed it.
const PROBES_OF_SUSPICION: u128 = 1;

/// The time between two checks of a call that can't be replaced.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the effects that concern requests, of which probes are answered by `probe`.
fn wait(world: &mut World, duration: Duration, probe: fn(EngineKey) -> Probe) -> Vec<Effect> {
    let end = world.now + duration;
    let mut effects = Vec::new();
    while world.now < end {
        effects.extend(world.advance(Duration::from_millis(50).min(end.since(world.now))));
        for engine in std::mem::take(&mut world.probed) {
            effects.extend(world.event(Event::Probed(engine, probe(engine))));
        }
    }
    effects
}

/// Begins a stream that has brought an event.
fn begin(world: &mut World) -> (RequestKey, Send) {
    let (key, call) = world.begin_stream(request("resumed"));
    world.call(call.call, CallEvent::Forwarded(Some(1)));
    (key, call)
}

/// Returns a box without retry budget.
fn box_without_budget() -> World {
    let retry_bound = Bound { ratio: 0.0, allowance: 0.0, window: Duration::from_secs(10) };
    let mut world = World::of(Gateway::new(Settings { retry_bound, ..settings(1) }));
    world.event(Event::Configured(std::sync::Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    world
}

/// Returns a probe's answer of engines that stand still.
fn still(_: EngineKey) -> Probe {
    Probe::NoAnswer
}

/// Returns the result of a probe of engines that can't be reached.
fn unreachable(_: EngineKey) -> Probe {
    Probe::NotConnected
}

/// Returns a probe's answer of engines that serve.
fn alive(_: EngineKey) -> Probe {
    Probe::Alive(None)
}

/// Returns whether a call is cancelled.
fn is_cancelled(effects: &[Effect], call: &Send) -> bool {
    effects.contains(&Effect::Cancel(call.call))
}

#[test]
fn unreachable_engine_kept() {
    let mut world = World::new();
    let (key, first) = begin(&mut world);
    let effects = wait(&mut world, TIMEOUT + Duration::from_millis(10), unreachable);
    let second = only_send(&effects);
    assert_eq!(second.last_event, Some(1));
    assert!(!is_cancelled(&effects, &first));
    let effects = world.call(second.call, CallEvent::Began(ran(200)));
    assert_eq!(effects, [Effect::Cancel(first.call), Effect::Resume(key, second.call)]);
}

#[test]
fn still_engines_replaced() {
    let mut world = World::new();
    let (key, call) = begin(&mut world);
    assert_eq!(wait(&mut world, PATIENCE, still), []);
    assert_eq!(world.call(call.call, CallEvent::Forwarded(Some(2))), []);
    assert_eq!(world.call(call.call, CallEvent::Answered(ran(200))), [Effect::Finish(key)]);
}

/// An engine that stands still beside another one that speaks is replaced before its client leaves.
#[test]
fn still_engine_awaited() {
    let mut world = World::new();
    let (_, first) = begin(&mut world);
    let (_, other) = begin(&mut world);
    assert_ne!(first.engine.key, other.engine.key);
    let mut sends = Vec::new();
    for id in 2..30 {
        let effects = wait(&mut world, Duration::from_millis(100), still);
        sends.extend(effects.into_iter().filter(|it| matches!(it, Effect::Send(_))));
        world.call(other.call, CallEvent::Forwarded(Some(id)));
    }
    assert_eq!(only_send(&sends).engine.key, other.engine.key);
}

#[test]
fn successor_outlives_return() {
    let mut world = World::new();
    let (_, first) = begin(&mut world);
    let second = only_send(&wait(&mut world, TIMEOUT * 2, unreachable));
    let effects = world.call(first.call, CallEvent::Forwarded(Some(2)));
    assert_eq!(effects, [Effect::Cancel(second.call)]);
    assert_eq!(world.call(second.call, CallEvent::Began(ran(200))), []);
}

#[test]
fn failed_successor_ends_answer() {
    for failure in [CallEvent::Broken, CallEvent::Answered(ran(500)), CallEvent::NotConnected] {
        let mut world = World::new();
        let (key, first) = begin(&mut world);
        let second = only_send(&wait(&mut world, TIMEOUT * 2, unreachable));
        let effects = world.call(second.call, failure);
        assert!(!effects.contains(&Effect::Abort(key)) && !is_cancelled(&effects, &first));
        world.call(first.call, CallEvent::Forwarded(Some(2)));
        let effects = world.call(first.call, CallEvent::Answered(ran(200)));
        assert!(effects.contains(&Effect::Finish(key)), "{effects:?}");
    }
}

#[test]
fn spent_budget_ends_answer() {
    let mut world = box_without_budget();
    let (key, call) = begin(&mut world);
    assert_eq!(wait(&mut world, PATIENCE, unreachable), []);
    assert_eq!(world.call(call.call, CallEvent::Answered(ran(200))), [Effect::Finish(key)]);
}

/// The silent call breaks while another one has been sent.
#[test]
fn broken_call_ends_successor() {
    let mut world = World::new();
    let (key, first) = begin(&mut world);
    let second = only_send(&wait(&mut world, TIMEOUT * 2, unreachable));
    assert_eq!(world.call(first.call, CallEvent::Broken), []);
    let effects = world.call(second.call, CallEvent::Began(ran(200)));
    assert_eq!(effects, [Effect::Resume(key, second.call)]);
}

#[test]
fn client_leaves_kept_call() {
    let mut world = World::new();
    let (key, first) = begin(&mut world);
    let second = only_send(&wait(&mut world, TIMEOUT * 2, unreachable));
    let effects = world.event(Event::ClientDisconnected(key));
    assert!(is_cancelled(&effects, &first) && is_cancelled(&effects, &second));
    assert!(world.gateway.own_work().is_empty());
}

/// After its deadline a request keeps no call.
#[test]
fn expired_request_kept() {
    let mut world = World::new();
    let (key, first) = begin(&mut world);
    let second = only_send(&wait(&mut world, TIMEOUT * 2, unreachable));
    let effects = world.advance(Duration::from_secs(14));
    assert!(effects.contains(&Effect::Abort(key)));
    assert!(is_cancelled(&effects, &first) && is_cancelled(&effects, &second));
    assert_eq!(world.gateway.in_flight_count(), 0);
}

/// A prefill that was only silent is not thrown away, and its request runs once.
#[test]
fn silent_prefill_dropped() {
    let mut world = World::new();
    let (_, prefill) = world.first_call(request("once"));
    assert_eq!(prefill.task, Task::Prefill);
    assert_eq!(wait(&mut world, Duration::from_millis(2500), still), []);
    let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
    assert!(matches!(decode.task, Task::Decode(_)));
}

/// A request that may run once runs at the engine that replaced its silent prefill, and nowhere else.
#[test]
fn late_prefill_runs_request_twice() {
    let mut world = World::new();
    let (_, prefill) = world.first_call(request("once"));
    let second = only_send(&wait(&mut world, Duration::from_secs(3), unreachable));
    assert!(matches!(second.task, Task::Decode(_)));
    let effects = world.call(prefill.call, CallEvent::Answered(prefilled("h")));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Send(_) | Effect::Cancel(_))));
    assert!(effects.iter().any(|it| matches!(it, Effect::Free(_))), "{effects:?}");
}

/// Rejections of a call that was silent leave its successor alone.
#[test]
fn late_rejection_ends_request() {
    let mut world = World::new();
    let (key, first) = world.first_call(request("safe"));
    let second = only_send(&wait(&mut world, Duration::from_secs(8), alive));
    assert_eq!(world.call(first.call, CallEvent::Answered(rejected())), []);
    let effects = world.call(second.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Deliver(key, second.call)]);
}

/// An engine is avoided for its silence until something comes from it.
#[test]
fn avoidance_outlives_silence() {
    let mut world = World::new();
    let (_, first) = begin(&mut world);
    let second = only_send(&wait(&mut world, TIMEOUT * 2, unreachable));
    world.call(second.call, CallEvent::Began(ran(200)));
    let (_, decode) = begin(&mut world);
    assert_eq!(decode.engine.key, second.engine.key, "the silent engine is avoided");
    let mut world = World::new();
    let (_, first_again) = begin(&mut world);
    assert_eq!(first_again.engine.key, first.engine.key);
    wait(&mut world, TIMEOUT * 2, unreachable);
    world.call(first_again.call, CallEvent::Forwarded(Some(2)));
    let chosen: Vec<_> = (0..4).map(|_| begin(&mut world).1.engine.key).collect();
    assert!(chosen.contains(&first.engine.key), "it is avoided although it has gone on");
}

/// Each silent call adds to the time for which an engine is avoided that can't be reached.
#[test]
fn dead_engine_tried_again() {
    let mut world = World::new();
    let begun: Vec<_> = (0..6).map(|_| begin(&mut world).1).collect();
    let dead = begun[0].engine.key;
    let end = world.now + TIMEOUT * 2;
    while world.now < end {
        let mut effects = world.advance(Duration::from_millis(50));
        for engine in std::mem::take(&mut world.probed) {
            let probe = if engine == dead { Probe::NotConnected } else { Probe::Alive(None) };
            effects.extend(world.event(Event::Probed(engine, probe)));
        }
        let running = begun.iter().filter(|it| it.engine.key != dead).map(|it| it.call);
        for call in running.chain(sent(&effects)) {
            world.call(call, CallEvent::Began(ran(200)));
        }
    }
    assert!((0..4).all(|_| begin(&mut world).1.engine.key != dead));
}

/// Returns the calls that are sent.
fn sent(effects: &[Effect]) -> Vec<CallKey> {
    let call = |it: &Effect| if let Effect::Send(send) = it { Some(send.call) } else { None };
    effects.iter().filter_map(call).collect()
}

/// Other boxes hear that an engine goes on which they were told is unreachable.
#[test]
fn announcement_outlives_silence() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let (_, call) = begin(&mut world);
    let silent = call.engine.key;
    let mut told = Vec::new();
    let end = world.now + TIMEOUT;
    while told.is_empty() && world.now < end {
        world.now = world.now + Duration::from_millis(50);
        let mut effects = world.gateway.step(world.now, Event::Tick);
        let mut answered = 0;
        while let Some(effect) = effects.get(answered) {
            answered += 1;
            let Some(engine) = probed_engine(effect) else { continue };
            let probe = if engine == silent { Probe::NotConnected } else { Probe::Alive(None) };
            effects.extend(world.gateway.step(world.now, Event::Probed(engine, probe)));
        }
        told = announced(&effects, |it| it.unreachable.clone());
    }
    assert_eq!(told, [silent]);
    let event = Event::Call(call.call, CallEvent::Forwarded(Some(2)));
    let effects = world.gateway.step(world.now, event);
    let reached = |it: &Message| it.extension.iter().flat_map(|it| it.reached.clone()).collect();
    assert_eq!(announced(&effects, reached), [silent]);
}

/// Returns the engine of a probe.
fn probed_engine(effect: &Effect) -> Option<EngineKey> {
    match effect {
        Effect::Probe(engine) => Some(engine.key),
        _ => None,
    }
}

/// Returns the engines that datagrams announce.
fn announced(effects: &[Effect], engines: impl Fn(&Message) -> Vec<EngineKey>) -> Vec<EngineKey> {
    let messages = effects.iter().filter_map(|it| match it {
        Effect::Announce(_, message) => Some(message),
        _ => None,
    });
    messages.flat_map(|it| engines(it)).collect()
}

/// A request whose engines stand still again and again has crashed none of them.
#[test]
fn silence_counted_as_crash() {
    let mut world = World::new();
    for _ in 0..5 {
        let (key, call) = begin(&mut world);
        wait(&mut world, PATIENCE, still);
        world.call(call.call, CallEvent::Forwarded(Some(2)));
        world.event(Event::ClientDisconnected(key));
    }
    assert!(world.gateway.held().is_empty());
    let (_, effects) = world.arrive(request("resumed"));
    only_send(&effects);
}

/// Engines that all stand still are not avoided: a new request is sent and not refused.
#[test]
fn shared_silence_refuses_requests() {
    let mut world = World::new();
    begin(&mut world);
    begin(&mut world);
    wait(&mut world, TIMEOUT * 2, still);
    let content = Content::of("POST", HOST, "/resumed/x", b"other");
    let (_, effects) = world.arrive(Request { content, ..request("resumed") });
    only_send(&effects);
}

/// The silence of a client that reads nothing is not its engine's.
#[test]
fn held_up_stream_begun_again() {
    let mut world = World::new();
    let (_, call) = begin(&mut world);
    world.call(call.call, CallEvent::HeldUp);
    assert_eq!(wait(&mut world, Duration::from_secs(8), alive), []);
    assert_eq!(world.call(call.call, CallEvent::ForwardedLate(Some(2))), []);
    let effects = wait(&mut world, TIMEOUT * 2, alive);
    only_send(&effects);
}

/// Many streams that fall silent together cost one probe an engine at a time.
#[test]
fn silent_streams_probed_each() {
    let mut world = World::new();
    let small = Request { prompt_tokens: Some(100), ..request("resumed") };
    for number in 0..100u32 {
        let content = Content::of("POST", HOST, "/resumed/x", &number.to_be_bytes());
        let (_, call) = world.begin_stream(Request { content, ..small.clone() });
        world.call(call.call, CallEvent::Forwarded(Some(1)));
    }
    world.probed.clear();
    let effects = world.advance(Duration::from_millis(1000));
    assert_eq!(effects, []);
    assert!(world.probed.len() <= 2, "{}", world.probed.len());
}

/// A probe that shows nothing new about a silent call is not repeated at once.
#[test]
fn probes_repeated_without_pause() {
    let suspected = PROBES_OF_SILENCE + PROBES_OF_SUSPICION;
    let sought = rounds(PATIENCE - STILL_TIMEOUT, CHECK_INTERVAL);
    let shown = [
        (Probe::Exhausted, PROBES_OF_SILENCE),
        (Probe::Alive(Some(7)), PROBES_OF_SILENCE),
        (Probe::Replaced, suspected),
        (Probe::Broken, suspected),
        (Probe::NoAnswer, PROBES_OF_SILENCE + sought),
        (Probe::NotConnected, rounds(PATIENCE - FIRST_PROBE, CHECK_INTERVAL)),
    ];
    for (probe, max) in shown {
        let mut world = World::new();
        let (_, call) = begin(&mut world);
        world.probed.clear();
        let mut count = 0;
        let end = world.now + PATIENCE;
        while world.now < end {
            world.advance(Duration::from_millis(5));
            for engine in std::mem::take(&mut world.probed) {
                count += u128::from(engine == call.engine.key);
                world.event(Event::Probed(engine, probe));
            }
        }
        assert!(count <= max, "{count} probes in {PATIENCE:?} after {probe:?}; {max} at most");
    }
}

/// Returns how many times something happens in a time that happens at its start and in intervals.
fn rounds(duration: Duration, interval: Duration) -> u128 {
    duration.as_millis().div_ceil(interval.as_millis())
}

/// Where many engines are silent at once, a box probes them in turn.
#[test]
fn all_engines_probed_at_once() {
    let mut world = World::new();
    let decode = |it| engine(it, MODEL, Some(Stage::Decode));
    let many = engines().into_iter().chain((30..250).map(decode));
    world.event(Event::Listed(many.collect(), 11.into()));
    let mut engines = BTreeSet::new();
    for number in 0..440u32 {
        let content = Content::of("POST", HOST, "/resumed/x", &number.to_be_bytes());
        let small = Request { prompt_tokens: Some(100), ..request("resumed") };
        let (_, call) = world.begin_stream(Request { content, ..small });
        engines.insert(call.engine.key);
    }
    world.probed.clear();
    world.advance(Duration::from_millis(900));
    assert!(engines.len() > 64 && world.probed.len() <= 64, "{}", world.probed.len());
}

/// A prefill that went on is used without a token of the retry budget.
#[test]
fn spent_budget_wastes_prefill() {
    let mut world = box_without_budget();
    let (_, prefill) = world.first_call(request("resumed"));
    assert_eq!(wait(&mut world, PATIENCE, unreachable), []);
    let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
    assert!(matches!(decode.task, Task::Decode(_)));
}

/// An answer of the silent engine that can't be used leaves its successor alone.
#[test]
fn unusable_answer_ends_successor() {
    let mut world = World::new();
    let (key, first) = world.first_call(request("safe"));
    let second = only_send(&wait(&mut world, Duration::from_secs(8), alive));
    assert_eq!(world.call(first.call, CallEvent::Answered(ran(429))), []);
    let effects = world.call(second.call, CallEvent::Answered(ran(200)));
    assert_eq!(effects, [Effect::Deliver(key, second.call)]);
    let mut world = World::new();
    let (key, first) = begin(&mut world);
    let second = only_send(&wait(&mut world, TIMEOUT * 2, unreachable));
    assert_eq!(world.call(first.call, CallEvent::Answered(ran_unmarked(200))), []);
    let effects = world.call(second.call, CallEvent::Began(ran(200)));
    assert_eq!(effects, [Effect::Resume(key, second.call)]);
}

/// A silent call that can't be replaced counts once against its engine: new streams come back to it
/// as soon as after a call that it failed when the silent one had lasted for its timeout.
#[test]
fn silence_counted_again() {
    let mut world = box_without_budget();
    let (_, call) = begin(&mut world);
    wait(&mut world, PATIENCE, alive);
    let after_silence = streams_until(&mut world, call.engine.key);
    let mut world = box_without_budget();
    let (_, call) = begin(&mut world);
    speak(&mut world, &call, TIMEOUT);
    let failing = decode_at(&mut world, call.engine.key);
    world.call(failing.call, CallEvent::Answered(ran(500)));
    speak(&mut world, &call, PATIENCE - TIMEOUT);
    let after_failure = streams_until(&mut world, call.engine.key);
    assert!(after_silence <= after_failure, "{after_silence} and {after_failure} streams");
}

/// Sends streams until the decode call of one, which is not answered, goes to an engine; the clients
/// of the others leave.
fn decode_at(world: &mut World, engine: EngineKey) -> Send {
    let mut others = Vec::new();
    loop {
        let (key, prefill) = world.first_call(request("resumed"));
        let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
        if decode.engine.key == engine {
            others.into_iter().for_each(|it| drop(world.event(Event::ClientDisconnected(it))));
            return decode;
        }
        others.push(key);
        assert!(others.len() < 4, "no stream goes there");
    }
}

/// Lets time pass in which a stream goes on.
fn speak(world: &mut World, call: &Send, duration: Duration) {
    let end = world.now + duration;
    while world.now < end {
        world.advance(Duration::from_millis(100).min(end.since(world.now)));
        world.call(call.call, CallEvent::Forwarded(Some(2)));
    }
}

/// Begins streams until one is sent to an engine, and returns how many went elsewhere before.
fn streams_until(world: &mut World, engine: EngineKey) -> usize {
    (0..8).position(|_| begin(world).1.engine.key == engine).expect("one gets there")
}
