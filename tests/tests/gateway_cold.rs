//! Engines that are cold after their start, and the sum of what all boxes send them, with contact
//! between the boxes or without.
//!
//! If each box takes a cold engine for an idle one, 66 boxes send a restarted engine more requests in
//! a second than it can handle.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::cold::{BoxShare, SendTimes};
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::member::address_hash;
use hollyspoke_gateway::route::{Configuration, RouteKind, Service};
use hollyspoke_tests::gateway::{
    PLAIN, World, configuration_of, engine, only_refusal, ran, request, route, settings,
};

/// The requests a second that a cold engine can handle.
const COLD_RATE_PER_S: f64 = 9.9;

/// Returns a configuration whose plain service has a rate for cold engines.
fn configuration() -> Configuration {
    let usual = configuration_of(1, Vec::new());
    let services = usual.services().map(|it| Service {
        cold_rate: (*it.name == *PLAIN).then_some(COLD_RATE_PER_S),
        ..it.clone()
    });
    let routes = vec![route("safe", RouteKind::Safe, PLAIN)];
    Configuration::new(1, usual.limits, routes, services.collect())
}

/// Returns an engine that stays cold for the given time.
fn cold(number: u8, left_ms: u32) -> Engine {
    Engine { cold_left_ms: left_ms, ..engine(number, PLAIN, None) }
}

/// Makes a box that knows the given engines.
fn world(engines: Vec<Engine>) -> World {
    let mut world = World::unconfigured();
    world.event(Event::Configured(Arc::new(configuration())));
    world.event(Event::Listed(engines, 10.into()));
    world
}

/// Sends a request, answers it, and returns its engine.
fn serving_engine(world: &mut World) -> Option<EngineKey> {
    let (_, effects) = world.arrive(request("safe"));
    let send = effects.into_iter().find_map(|it| match it {
        Effect::Send(send) => Some(send),
        _ => None,
    })?;
    world.call(send.call, CallEvent::Answered(ran(200)));
    Some(send.engine.key)
}

#[test]
fn cold_engine_overloaded() {
    let mut world = world(vec![cold(1, 3000), engine(2, PLAIN, None)]);
    let cold = EngineKey::of("engine-1");
    let mut taken = 0;
    for _ in 0..50 {
        let engine = serving_engine(&mut world).expect("one engine is warm");
        taken += usize::from(engine == cold);
        world.advance(Duration::from_millis(20));
    }
    assert!(taken <= 10, "{taken}");
}

#[test]
fn cold_limit_kept_too_long() {
    let mut world = world(vec![cold(1, 3000)]);
    let served = |world: &mut World| (0..5).filter_map(|_| serving_engine(world)).count();
    assert!(served(&mut world) <= 1);
    world.advance(Duration::from_millis(3100));
    assert_eq!(served(&mut world), 5);
    // An entry may make it cold again, or warm before its time.
    world.event(Event::Changed(vec![EngineChange::Put(cold(1, 5000), 20.into())]));
    assert!(served(&mut world) <= 1);
    world.event(Event::Changed(vec![EngineChange::Put(cold(1, 0), 30.into())]));
    assert_eq!(served(&mut world), 5);
}

#[test]
fn refusal_delayed_while_cold() {
    let mut world = world(vec![cold(1, 3000)]);
    while serving_engine(&mut world).is_some() {}
    let (_, effects) = world.arrive(request("safe"));
    only_refusal(&effects);
}

#[test]
fn rate_limited_without_setting() {
    let mut world = World::unconfigured();
    let routes = vec![route("safe", RouteKind::Safe, PLAIN)];
    world.event(Event::Configured(Arc::new(configuration_of(1, routes))));
    world.event(Event::Listed(vec![cold(1, 3000)], 10.into()));
    assert_eq!((0..5).filter_map(|_| serving_engine(&mut world)).count(), 5);
}

/// Returns the highest number of requests that reach a cold engine within a second if each box tries
/// to send to each engine twenty times a second, and assumes that there are `known` boxes.
fn max_arrivals_per_second(boxes: u16, known: usize, engines: u64, rate: f64) -> usize {
    let mut arrivals: HashMap<EngineKey, Vec<Time>> = HashMap::new();
    for place in 0..boxes {
        let [high, low] = place.to_be_bytes();
        let address = ([10, 0, high, low], 7000).into();
        let part = BoxShare { box_hash: address_hash(&address), box_count: known };
        let mut send_times = SendTimes::default();
        for step in 0..50u64 {
            let now = Time::from_millis(1000 + step * 50 + u64::from(place) % 50);
            for key in (0..engines).map(EngineKey) {
                if send_times.may_send(key, rate, part, now) {
                    send_times.record(key, now);
                    arrivals.entry(key).or_default().push(now);
                }
            }
        }
    }
    let max_of = |mut times: Vec<Time>| {
        times.sort_unstable();
        let within = |first: &Time| {
            times
                .iter()
                .filter(|it| **it >= *first && it.since(*first) < Duration::from_secs(1))
                .count()
        };
        times.iter().map(within).max().unwrap_or(0)
    };
    arrivals.into_values().map(max_of).max().unwrap_or(0)
}

#[test]
fn box_count_overloads_engine() {
    // Boxes need no announcement of each other, only their number, so that this also holds for
    // boxes that are all isolated.
    let mut max_per_s = BTreeMap::new();
    for boxes in [1u16, 3, 6, 30, 66, 300, 985, 1500] {
        max_per_s
            .insert(boxes, max_arrivals_per_second(boxes, usize::from(boxes), 60, COLD_RATE_PER_S));
    }
    let highest = max_per_s.values().max().copied().unwrap_or(0) as f64;
    assert!(highest <= COLD_RATE_PER_S * 1.5 + 5.0, "{max_per_s:?}");
    assert!(max_per_s.values().all(|&it| it >= 3), "engines that no box uses: {max_per_s:?}");
}

#[test]
fn cold_rate_exceeded() {
    for rate in [1.0, 2.5, 20.0, 60.0] {
        for boxes in [6u16, 66] {
            let max_per_s = max_arrivals_per_second(boxes, usize::from(boxes), 30, rate);
            assert!(max_per_s as f64 <= rate * 1.5 + 5.0, "{max_per_s} at {rate} by {boxes}");
        }
    }
}

#[test]
fn isolated_boxes_overload_engine() {
    let mut sum = 0;
    for box_number in 1..=66 {
        let mut world = World::numbered(box_number);
        // Its settings name another box, of which it has received nothing.
        world.event(Event::Seeds(vec![settings(200).peer]));
        world.event(Event::Configured(Arc::new(configuration())));
        world.event(Event::Listed(vec![cold(1, 3000)], 10.into()));
        sum += (0..5).filter_map(|_| serving_engine(&mut world)).count();
    }
    assert!(sum as f64 <= COLD_RATE_PER_S, "{sum}");
}
