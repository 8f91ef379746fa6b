//! Choices among engines that differ in speed, or that have just come back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::effect::{Effect, Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::{Extension, Message, StoreView};
use hollyspoke_gateway::pace::Announcement;
use hollyspoke_gateway::request::{CallKey, Request};
use hollyspoke_tests::gateway::{
    MODEL, World, configuration, engine, heartbeat, only_send, prefilled, ran, request, settings,
};
use proptest::prelude::*;

/// The time between two events at the usual pace.
const USUAL_GAP: Duration = Duration::from_millis(60);

/// The only feature that is switched on.
const PACE: Features = Features { pace: true, ..Features::NONE };

/// Returns the prefill engines 11 and 12, and the decode engines from 21 on.
fn engines(decode_count: u8) -> Vec<Engine> {
    let prefill = [11, 12].map(|it| engine(it, MODEL, Some(Stage::Prefill)));
    let decode = (0..decode_count).map(|it| engine(21 + it, MODEL, Some(Stage::Decode)));
    prefill.into_iter().chain(decode).collect()
}

/// Returns a box with the given features that has listed engines.
fn world(features: Features, engines: Vec<Engine>) -> World {
    let gateway = Gateway::new(Settings { features, ..settings(1) });
    let mut world = World { gateway, ..World::unconfigured() };
    world.now = world.now + Duration::from_secs(20);
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines, 10.into()));
    world
}

/// Returns the key of an engine.
fn key(number: u8) -> EngineKey {
    EngineKey::of(&format!("engine-{number}"))
}

/// Returns another box's heartbeat that announces an engine's pace.
fn announcement(number: u8, sequence: u64, percent: u16) -> Message {
    let announced = Announcement { engine: key(number), started_at: None, percent, age_ms: 0 };
    let extension = Extension { paces: vec![announced], ..Extension::default() };
    let extension = extension.non_empty();
    Message { extension, ..heartbeat(2, sequence, StoreView::default()) }
}

/// Begins streams, and returns how many each engine got.
fn begin_streams(world: &mut World, count: usize) -> BTreeMap<EngineKey, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        let (_, decode_call) = world.begin_stream(request("once"));
        *counts.entry(decode_call.engine.key).or_default() += 1;
    }
    counts
}

/// Begins streams until each decode engine has one, and returns the calls.
fn begin_everywhere(world: &mut World, decode_count: usize) -> Vec<Send> {
    let mut sends: Vec<Send> = Vec::new();
    for _ in 0..decode_count * 4 {
        let (_, send) = world.begin_stream(request("once"));
        sends.push(send);
    }
    let engines: std::collections::BTreeSet<_> = sends.iter().map(|it| it.engine.key).collect();
    assert_eq!(engines.len(), decode_count);
    sends
}

/// Passes an event to a box, and returns the paces that it announces.
fn step(world: &mut World, event: Event) -> Vec<Announcement> {
    let effects = world.gateway.step(world.now, event);
    let messages = effects.into_iter().filter_map(|it| match it {
        Effect::Announce(_, message) => message.extension,
        _ => None,
    });
    messages.flat_map(|it| it.paces).collect()
}

/// Advances the clock of a box to a time, and returns the paces that it announces.
fn advance_to(world: &mut World, end: Time) -> Vec<Announcement> {
    let mut announced = Vec::new();
    while world.now < end {
        let due = world.gateway.next_due();
        world.now = due.max(world.now + Duration::from_micros(1)).min(end);
        announced.extend(step(world, Event::Tick));
    }
    announced
}

/// Forwards events of streams for a time, each with the gap of its engine, and returns the paces
/// that the box announces.
fn forward(
    world: &mut World,
    sends: &[Send],
    duration: Duration,
    gap: impl Fn(EngineKey) -> Duration,
) -> Vec<Announcement> {
    let start = world.now;
    let mut events: Vec<_> = sends
        .iter()
        .flat_map(|send| {
            let gap = gap(send.engine.key);
            let count = (duration.as_secs_f64() / gap.as_secs_f64()) as u32;
            (1..=count).map(move |it| (start + gap * it, send.call))
        })
        .collect();
    events.sort();
    let mut announced = Vec::new();
    for (at, call) in events {
        announced.extend(advance_to(world, at));
        announced.extend(step(world, Event::Call(call, CallEvent::Forwarded(None))));
    }
    announced.extend(advance_to(world, start + duration));
    announced
}

/// Ends streams.
fn finish(world: &mut World, sends: Vec<Send>) {
    for send in sends {
        world.call(send.call, CallEvent::Answered(ran(200)));
    }
}

/// Returns a gap function in which one engine takes a multiple of the usual time.
fn one_slow(number: u8, factor: u32) -> impl Fn(EngineKey) -> Duration {
    move |it| if it == key(number) { USUAL_GAP * factor } else { USUAL_GAP }
}

/// A slow engine that holds its streams for longer gets fewer of them.
#[test]
fn slow_engine_gets_as_much() {
    let mut world = world(PACE, engines(2));
    world.event(Event::Received(announcement(21, 1, 240)));
    let counts = begin_streams(&mut world, 14);
    assert!((3..=5).contains(&counts[&key(21)]), "{counts:?}");
}

/// An engine whose pauses are too long is left to streams that no other can take.
#[test]
fn slow_engine_keeps_getting_work() {
    let mut world = world(PACE, engines(6));
    let sends = begin_everywhere(&mut world, 6);
    forward(&mut world, &sends, Duration::from_secs(3), one_slow(21, 6));
    finish(&mut world, sends);
    let counts = begin_streams(&mut world, 50);
    assert_eq!(counts.get(&key(21)), None);
    let counts = begin_streams(&mut world, 1);
    assert_eq!(counts.len(), 1, "the other engines are full");
    assert_eq!(counts[&key(21)], 1);
}

#[test]
fn slow_engine_is_only_one() {
    let mut world = world(PACE, engines(1));
    world.event(Event::Received(announcement(21, 1, 1000)));
    assert_eq!(begin_streams(&mut world, 5)[&key(21)], 5);
}

#[test]
fn recovered_engine_avoided() {
    let mut world = world(PACE, engines(6));
    let sends = begin_everywhere(&mut world, 6);
    forward(&mut world, &sends, Duration::from_millis(2880), one_slow(21, 4));
    forward(&mut world, &sends, Duration::from_millis(1500), |_| USUAL_GAP);
    finish(&mut world, sends);
    let counts = begin_streams(&mut world, 30);
    assert_eq!(counts[&key(21)], 5, "{counts:?}");
}

/// A pace that nobody measures any more ends by itself.
#[test]
fn stale_pace() {
    let mut world = world(PACE, engines(2));
    world.event(Event::Received(announcement(21, 1, 1000)));
    assert_eq!(begin_streams(&mut world, 4).get(&key(21)), None);
    world.advance(Duration::from_secs(9));
    assert!(begin_streams(&mut world, 4)[&key(21)] == 4);
}

#[test]
fn slow_box_blamed_on_engines() {
    let mut world = world(PACE, engines(6));
    let sends = begin_everywhere(&mut world, 6);
    forward(&mut world, &sends, Duration::from_secs(3), |_| USUAL_GAP);
    forward(&mut world, &sends, Duration::from_secs(5), |_| USUAL_GAP * 4);
    finish(&mut world, sends);
    let counts = begin_streams(&mut world, 30);
    assert!(counts.values().all(|&it| it == 5), "{counts:?}");
}

/// Lets an engine stand still while the others go on, and forwards the events of all streams after
/// it for a time. Returns the paces announced since, and the streams.
fn stand_still(world: &mut World, silence: Duration, after: Duration) -> Vec<Announcement> {
    let sends = begin_everywhere(world, 6);
    forward(world, &sends, Duration::from_secs(3), |_| USUAL_GAP);
    let others: Vec<_> = sends.iter().filter(|it| it.engine.key != key(21)).cloned().collect();
    forward(world, &others, silence, |_| USUAL_GAP);
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let mut announced = forward(world, &sends, after, |_| USUAL_GAP);
    finish(world, sends);
    announced.extend(advance_to(world, world.now + Duration::from_secs(1)));
    announced
}

/// An engine that stood still works at its usual pace once it goes on.
#[test]
fn silent_engine_announced_as_slow() {
    for silence_ms in [1020, 1200, 1980] {
        let mut world = world(PACE, engines(6));
        let silence = Duration::from_millis(silence_ms);
        let announced = stand_still(&mut world, silence, USUAL_GAP);
        assert_eq!(announced, [], "silent for {silence_ms} ms");
    }
}

/// A client that reads slowly leaves the health of its engine as it is.
#[test]
fn slow_client_blamed_on_engine() {
    let mut world = world(PACE, engines(6));
    let sends = begin_everywhere(&mut world, 6);
    let (held_up, others): (Vec<_>, Vec<_>) =
        sends.into_iter().partition(|it| it.engine.key == key(21));
    for _ in 0..6 {
        forward(&mut world, &others, Duration::from_millis(900), |_| USUAL_GAP);
        for send in &held_up {
            world.call(send.call, CallEvent::ForwardedLate(None));
        }
    }
    finish(&mut world, held_up);
    finish(&mut world, others);
    let counts = begin_streams(&mut world, 30);
    assert_eq!(counts[&key(21)], 5, "{counts:?}");
}

/// An engine that restarts is empty, and all boxes find it so at once.
#[test]
fn restarted_engine_flooded() {
    let mut listed = engines(4);
    listed.iter_mut().for_each(|it| it.started_at = Some(1));
    let mut world = world(PACE, listed);
    let sends = begin_everywhere(&mut world, 4);
    finish(&mut world, sends.into_iter().filter(|it| it.engine.key == key(21)).collect());
    let restarted = Engine { started_at: Some(7), ..engine(21, MODEL, Some(Stage::Decode)) };
    world.event(Event::Changed(vec![EngineChange::Put(restarted, 11.into())]));
    let counts = begin_streams(&mut world, 4);
    let early = counts.get(&key(21)).copied().unwrap_or_default();
    assert!((1..=2).contains(&early), "{counts:?}");
    world.advance(Duration::from_secs(4));
    let counts = begin_streams(&mut world, 3);
    assert!(counts[&key(21)] >= 2, "{counts:?}");
}

/// The engines of the first list have been running for a time.
#[test]
fn listed_engine_taken_for_new() {
    let mut world = world(PACE, engines(2));
    let changed = Engine { slots: 7, ..engine(21, MODEL, Some(Stage::Decode)) };
    world.event(Event::Changed(vec![EngineChange::Put(changed, 11.into())]));
    let counts = begin_streams(&mut world, 10);
    assert_eq!(counts[&key(21)], 5, "{counts:?}");
}

/// A slow engine is announced again while it is measured, at the same pace.
#[test]
fn lost_announcement() {
    let mut world = world(PACE, engines(6));
    let sends = begin_everywhere(&mut world, 6);
    let mut announced = Vec::new();
    for round in 1..=4 {
        world.event(Event::Received(heartbeat(2, round, StoreView::default())));
        announced.extend(forward(&mut world, &sends, Duration::from_millis(1080), one_slow(21, 3)));
    }
    assert!((2..=3).contains(&announced.len()), "{announced:?}");
    let is_right = |it: &Announcement| it.engine == key(21) && (270..330).contains(&it.percent);
    assert!(announced.iter().all(is_right), "{announced:?}");
}

/// A prefill that takes long because the engine is slow isn't begun again elsewhere.
#[test]
fn slow_reading_thrown_away() {
    let long = Request { prompt_tokens: Some(12_000), ..request("resumed") };
    let is_begun_again = |features| {
        let mut world = world(features, engines(2));
        for number in [11, 12, 21, 22] {
            world.event(Event::Received(announcement(number, u64::from(number), 500)));
        }
        let (_, send) = world.first_call(long.clone());
        assert_eq!(send.task, Task::Prefill);
        let effects = world.advance(Duration::from_millis(2000));
        effects.iter().any(|it| matches!(it, Effect::Send(_)))
    };
    assert!(is_begun_again(Features::NONE));
    assert!(!is_begun_again(PACE));
}

/// A prefill is expected to take as long as the engine's pace says.
#[test]
fn slow_prefill_engine_chosen() {
    let mut world = world(PACE, engines(2));
    world.event(Event::Received(announcement(11, 1, 500)));
    let short = Request { prompt_tokens: Some(1000), ..request("once") };
    let engines: Vec<_> = (0..8).map(|_| world.first_call(short.clone()).1.engine.key).collect();
    assert_eq!(engines[..4], [key(12); 4]);
    assert!(engines.contains(&key(11)), "the queue of the other engine takes as long");
}

/// What this box measured before the engine slowed down counts no longer.
#[test]
fn earlier_prefill_rate_trusted() {
    let mut world = world(PACE, engines(2));
    let short = Request { prompt_tokens: Some(1000), ..request("once") };
    for _ in 0..6 {
        let (_, send) = world.first_call(short.clone());
        world.advance(Duration::from_millis(40));
        world.call(send.call, CallEvent::Answered(prefilled("h")));
    }
    world.event(Event::Received(announcement(11, 1, 500)));
    let engines: Vec<_> = (0..4).map(|_| world.first_call(short.clone()).1.engine.key).collect();
    assert_eq!(engines, [key(12); 4]);
}

/// A data centre with a crowd uses the engines of another before it refuses.
#[test]
fn crowd_refused_beside_free_engines() {
    for features in [Features::NONE, PACE] {
        let mut listed = engines(4);
        for it in listed.iter_mut().filter(|it| it.key == key(23) || it.key == key(24)) {
            it.data_centre = "south".into();
        }
        let mut world = world(features, listed);
        let counts = begin_streams(&mut world, 40);
        assert!(counts.values().all(|&it| it == 10), "{counts:?}");
    }
}

/// Returns the engines of the calls for streams that are measured at the usual pace.
fn choices(features: Features) -> Vec<(CallKey, EngineKey)> {
    let mut world = world(features, engines(6));
    let mut choices = Vec::new();
    for round in 0..6u64 {
        let mut sends = Vec::new();
        for number in 0..20 {
            let tokens = 800 + 211 * (number * 7 + round) % 4000;
            let prompt = Request { prompt_tokens: Some(tokens), ..request("once") };
            let (_, prefill) = world.first_call(prompt);
            world.advance(Duration::from_millis(20));
            let effects = world.call(prefill.call, CallEvent::Answered(prefilled("h")));
            let decode = only_send(&effects);
            world.call(decode.call, CallEvent::Began(ran(200)));
            choices.extend([&prefill, &decode].map(|it| (it.call, it.engine.key)));
            sends.push(decode);
        }
        forward(&mut world, &sends, Duration::from_secs(1), |_| USUAL_GAP);
        finish(&mut world, sends);
    }
    choices
}

#[test]
fn usual_pace_changes_choices() {
    assert_eq!(choices(PACE), choices(Features::NONE));
}

/// Announcements of paces mean nothing to a box that has the feature off, and it sends none.
#[test]
fn feature_off_has_effect() {
    let mut world = world(Features::NONE, engines(6));
    world.event(Event::Received(announcement(21, 1, 1000)));
    let sends = begin_everywhere(&mut world, 6);
    forward(&mut world, &sends, Duration::from_millis(2880), one_slow(22, 4));
    finish(&mut world, sends);
    let counts = begin_streams(&mut world, 30);
    assert!(counts.values().all(|&it| it == 5), "{counts:?}");
    world.event(Event::Received(heartbeat(2, 9, StoreView::default())));
    let end = world.now + Duration::from_secs(1);
    assert_eq!(advance_to(&mut world, end), []);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever the paces are, all memory is used before a request waits, and every engine gets some
    /// while it is the only one that has any left.
    #[test]
    fn capacity_unused(percents in prop::collection::vec(0..2000u16, 1..6), is_measured: bool) {
        let count = percents.len();
        let mut world = world(PACE, engines(count as u8));
        if is_measured {
            let sends = begin_everywhere(&mut world, count);
            forward(&mut world, &sends, Duration::from_millis(1200), |_| USUAL_GAP);
            finish(&mut world, sends);
        }
        for (number, percent) in percents.iter().enumerate() {
            let number = number as u8;
            world.event(Event::Received(announcement(21 + number, u64::from(number), *percent)));
        }
        let counts = begin_streams(&mut world, count * 10);
        prop_assert!(counts.values().all(|&it| it == 10), "{counts:?}");
        prop_assert_eq!(counts.len(), count);
    }
}
