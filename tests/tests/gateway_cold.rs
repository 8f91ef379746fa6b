//! Engines that are cold after their start: the sum of what all boxes send them, in touch with each
//! other or not.
//!
//! Each box took a cold engine for an idle one. In virtual time, 66 boxes that have just seen three
//! engines of a service come back sent one of them more requests in a second than it bears.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::cold::{Part, SendTimes};
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::member::address_hash;
use hollyspoke_gateway::route::{Configuration, RouteKind, Service};
use hollyspoke_tests::gateway::{
    PLAIN, World, configuration_of, engine, only_refusal, ran, request, route, settings,
};

/// The requests a second that a cold engine bears.
const RATE: f64 = 9.9;

/// Gives a configuration whose plain service has engines that start cold.
fn configuration() -> Configuration {
    let usual = configuration_of(1, Vec::new());
    let services = usual
        .services()
        .map(|it| Service { cold_rate: (*it.name == *PLAIN).then_some(RATE), ..it.clone() });
    let routes = vec![route("safe", RouteKind::Safe, PLAIN)];
    Configuration::new(1, usual.limits, routes, services.collect())
}

/// Gives an engine with so much time left in which it is cold.
fn cold(number: u8, left_ms: u32) -> Engine {
    Engine { cold_left_ms: left_ms, ..engine(number, PLAIN, None) }
}

/// Makes a box before engines.
fn world(engines: Vec<Engine>) -> World {
    let mut world = World::unconfigured();
    world.event(Event::Configured(Arc::new(configuration())));
    world.event(Event::Listed(engines, 10.into()));
    world
}

/// Gives the engine that a request goes to, and has it answered.
fn sent_to(world: &mut World) -> Option<EngineKey> {
    let (_, effects) = world.arrive(request("safe"));
    let send = effects.into_iter().find_map(|it| match it {
        Effect::Send(send) => Some(send),
        _ => None,
    })?;
    world.call(send.call, CallEvent::Answered(ran(200)));
    Some(send.engine.key)
}

#[test]
fn warm_engines_take_what_a_cold_one_does_not_bear() {
    let mut world = world(vec![cold(1, 3000), engine(2, PLAIN, None)]);
    let cold = EngineKey::of("engine-1");
    let mut taken = 0;
    for _ in 0..50 {
        let engine = sent_to(&mut world).expect("one engine is warm");
        taken += usize::from(engine == cold);
        world.advance(Duration::from_millis(20));
    }
    assert!(taken <= 10, "{taken}");
}

#[test]
fn warm_after_its_time_or_by_its_word() {
    let mut world = world(vec![cold(1, 3000)]);
    let served = |world: &mut World| (0..5).filter_map(|_| sent_to(world)).count();
    assert!(served(&mut world) <= 1);
    world.advance(Duration::from_millis(3100));
    assert_eq!(served(&mut world), 5);
    // It may become cold again at any moment, and warm before its time.
    world.event(Event::Changed(vec![EngineChange::Put(cold(1, 5000), 20.into())]));
    assert!(served(&mut world) <= 1);
    world.event(Event::Changed(vec![EngineChange::Put(cold(1, 0), 30.into())]));
    assert_eq!(served(&mut world), 5);
}

#[test]
fn refused_at_once_where_all_are_cold() {
    let mut world = world(vec![cold(1, 3000)]);
    while sent_to(&mut world).is_some() {}
    let (_, effects) = world.arrive(request("safe"));
    only_refusal(&effects);
}

#[test]
fn services_without_a_rate_are_not_bound() {
    let mut world = World::unconfigured();
    let routes = vec![route("safe", RouteKind::Safe, PLAIN)];
    world.event(Event::Configured(Arc::new(configuration_of(1, routes))));
    world.event(Event::Listed(vec![cold(1, 3000)], 10.into()));
    assert_eq!((0..5).filter_map(|_| sent_to(&mut world)).count(), 5);
}

/// Gives the most requests that reach any of some cold engines within a second, where each box
/// wants to send to each of them twenty times a second for some seconds, and takes `known`
/// boxes to be there.
fn most_in_a_second(boxes: u16, known: usize, engines: u64, rate: f64) -> usize {
    let mut arrivals: HashMap<EngineKey, Vec<Time>> = HashMap::new();
    for place in 0..boxes {
        let [high, low] = place.to_be_bytes();
        let address = ([10, 0, high, low], 7000).into();
        let part = Part { number: address_hash(&address), boxes: known };
        let mut turns = SendTimes::default();
        for step in 0..50u64 {
            let now = Time::from_millis(1000 + step * 50 + u64::from(place) % 50);
            for key in (0..engines).map(EngineKey) {
                if turns.may_send(key, rate, part, now) {
                    turns.record(key, now);
                    arrivals.entry(key).or_default().push(now);
                }
            }
        }
    }
    let most_of = |mut times: Vec<Time>| {
        times.sort_unstable();
        let within = |first: &Time| {
            times
                .iter()
                .filter(|it| **it >= *first && it.since(*first) < Duration::from_secs(1))
                .count()
        };
        times.iter().map(within).max().unwrap_or(0)
    };
    arrivals.into_values().map(most_of).max().unwrap_or(0)
}

#[test]
fn the_sum_of_all_boxes_is_borne() {
    // Boxes that hear each other and boxes that are all cut off from each other alike: none needs
    // a word of another, but for how many there are.
    let mut most = BTreeMap::new();
    for boxes in [1u16, 3, 6, 30, 66, 300, 985, 1500] {
        most.insert(boxes, most_in_a_second(boxes, usize::from(boxes), 60, RATE));
    }
    let highest = most.values().max().copied().unwrap_or(0) as f64;
    assert!(highest <= RATE * 1.5 + 5.0, "{most:?}");
    assert!(most.values().all(|&it| it >= 3), "engines that nobody uses: {most:?}");
}

#[test]
fn rates_large_and_small() {
    for rate in [1.0, 2.5, 20.0, 60.0] {
        for boxes in [6u16, 66] {
            let most = most_in_a_second(boxes, usize::from(boxes), 30, rate);
            assert!(most as f64 <= rate * 1.5 + 5.0, "{most} at {rate} by {boxes}");
        }
    }
}

#[test]
fn a_box_that_knows_nobody_takes_many_to_be_there() {
    let mut sum = 0;
    for box_number in 1..=66 {
        let mut world = World::numbered(box_number);
        // Its settings name another box, which it has not heard.
        world.event(Event::Seeds(vec![settings(200).peer]));
        world.event(Event::Configured(Arc::new(configuration())));
        world.event(Event::Listed(vec![cold(1, 3000)], 10.into()));
        sum += (0..5).filter_map(|_| sent_to(&mut world)).count();
    }
    assert!(sum as f64 <= RATE, "{sum}");
}
