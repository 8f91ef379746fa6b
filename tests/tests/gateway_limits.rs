//! Engines in need name in their answers how many requests a second they take from all boxes
//! together.
//!
//! Two of three engines of a service named 3.5 and 3.3 requests a second and went on getting as many
//! as the third: 61 and 44 in 4 s, where 26 and 25 are allowed. Nothing read what they named. In
//! virtual time, six boxes, the usual traffic, 2.46 and 3.09 of what is allowed came to plain engines
//! that name 3.5 and 3.0. Once the limits were read, each box that kept them alone would have sent
//! six times as much; now one box issues the permits of an engine.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, NotRunReason, Refusal, Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey};
use hollyspoke_gateway::event::{Answer, CallEvent, Event};
use hollyspoke_gateway::message::{Load, Message, StoreView};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::rate_limit::Reported;
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::route::{Configuration, Route, RouteKind, Service};
use hollyspoke_gateway::statement::Statement;
use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::{
    MEMORY, MODEL, PLAIN, World, configuration, configuration_of, engine, engines as listed,
    heartbeat, only_refusal, only_send, prefilled, ran, request, route,
};

/// The least share of the limits that is used where the work is there.
const LEAST_USED: f64 = 0.8;

/// Gives the engines of a service.
fn engines(fleet: &Fleet, service: &str) -> Vec<EngineKey> {
    let engines = fleet.engines();
    engines.iter().filter(|it| *it.service == *service).map(|it| it.key).collect()
}

/// Plays six boxes before engines of a service that name a limit for 14 s; gives the most of what is
/// allowed that came to one of them.
fn used(service: &str, count: usize, rate: f64, seed: u64) -> f64 {
    let mut fleet = Fleet::settled(6, seed);
    let chosen = engines(&fleet, service).into_iter().take(count);
    fleet.set_limit(chosen.collect::<Vec<_>>(), Some(rate));
    fleet.run(Duration::from_secs(14));
    fleet.rate_limits.bound_used()
}

#[test]
fn two_of_three_plain_engines() {
    for (rate, seed) in [(3.5, 1), (3.1, 2), (0.4, 3)] {
        let used = used(PLAIN, 2, rate, seed);
        assert!(used <= 1.0, "{used:.2} of what {rate} a second allow");
    }
}

#[test]
fn all_plain_engines() {
    for (rate, seed) in [(3.0, 4), (0.4, 5)] {
        let used = used(PLAIN, 3, rate, seed);
        assert!(used <= 1.0, "{used:.2} of what {rate} a second allow");
    }
}

#[test]
fn all_engines_of_a_model() {
    for (rate, seed) in [(2.0, 6), (0.2, 7)] {
        let used = used(MODEL, 18, rate, seed);
        assert!(used <= 1.0, "{used:.2} of what {rate} a second allow");
    }
}

/// What engines take is used, where all of a service are in need and more comes than they take.
#[test]
fn callers_get_what_the_engines_take() {
    for (service, rate, seed) in [(PLAIN, 3.0, 8), (PLAIN, 0.4, 9), (MODEL, 0.5, 10)] {
        let mut fleet = Fleet::settled(6, seed);
        fleet.set_limit(engines(&fleet, service), Some(rate));
        fleet.run(Duration::from_secs(5));
        let from = fleet.now();
        fleet.run(Duration::from_secs(30));
        let used = fleet.rate_limits.limit_used(from, fleet.now());
        assert!(used >= LEAST_USED, "{used:.2} of {rate} a second of {service}");
        assert!(fleet.rate_limits.bound_used() <= 1.0);
    }
}

/// Six boxes notice by one answer that a limit is lifted, also where it let one request through in ten
/// seconds.
#[test]
fn lifted_limits_are_noticed() {
    for (rate, within, seed) in [(3.0, 2, 11), (0.1, 24, 12)] {
        let mut fleet = Fleet::settled(6, seed);
        let chosen = engines(&fleet, PLAIN);
        fleet.set_limit(chosen.clone(), Some(rate));
        fleet.run(Duration::from_secs(8));
        fleet.set_limit(chosen.clone(), None);
        fleet.run(Duration::from_secs(within));
        let from = fleet.now();
        fleet.run(Duration::from_secs(10));
        let got: usize = chosen
            .iter()
            .map(|it| fleet.rate_limits.arrivals_between(*it, from, fleet.now()))
            .sum();
        assert!(got >= 300, "{got} requests of some 400");
    }
}

/// Boxes that start again learn the limits from the others, or from the first answer.
#[test]
fn boxes_started_again() {
    let mut fleet = Fleet::settled(6, 13);
    fleet.set_limit(engines(&fleet, PLAIN), Some(2.0));
    fleet.run(Duration::from_secs(5));
    for number in 0..6 {
        fleet.restart([number]);
        fleet.run(Duration::from_secs(1));
    }
    fleet.restart(0..6);
    fleet.run(Duration::from_secs(6));
    let used = fleet.rate_limits.bound_used();
    assert!(used <= 1.0, "{used:.2} of what is allowed");
}

/// Halves that are cut off from each other, and boxes that are all alone.
#[test]
fn boxes_cut_off() {
    for sides in [2, 6] {
        let mut fleet = Fleet::settled(6, 14);
        fleet.set_limit(engines(&fleet, PLAIN), Some(3.0));
        fleet.run(Duration::from_secs(5));
        for number in 0..6 {
            fleet.partition([number], number % sides);
        }
        fleet.run(Duration::from_secs(10));
        fleet.partition(0..6, 0);
        fleet.run(Duration::from_secs(5));
        let used = fleet.rate_limits.bound_used();
        assert!(used <= 1.0, "{used:.2} of what is allowed by {sides} sides");
    }
}

/// Gives an answer of an engine that takes so many requests a second.
fn limited(rate: f64) -> Answer {
    Answer { statement: takes(rate), ..ran(200) }
}

/// Says that an engine takes so many requests a second.
fn takes(rate: f64) -> Statement {
    Statement { limit: Reported::Rate(rate), ..Statement::default() }
}

/// Has a plain engine of a box name a limit, by the answer to a request.
fn name(world: &mut World, rate: f64) -> EngineKey {
    let (_, call) = world.first_call(request("safe"));
    world.call(call.call, CallEvent::Answered(limited(rate)));
    call.engine.key
}

/// Has a request arrive, be answered if it is sent, and gives where it was sent.
fn served(world: &mut World, answer: &Answer) -> Option<EngineKey> {
    let (_, effects) = world.arrive(request("safe"));
    let send = effects.into_iter().find_map(|it| match it {
        Effect::Send(send) => Some(send),
        _ => None,
    })?;
    world.call(send.call, CallEvent::Answered(answer.clone()));
    Some(send.engine.key)
}

/// Makes a box before one plain engine that takes so many requests a second.
fn one_engine(rate: f64) -> World {
    let mut world = World::new();
    world.event(Event::Listed(vec![engine(1, PLAIN, None)], 20.into()));
    name(&mut world, rate);
    world
}

#[test]
fn others_take_what_it_does_not() {
    let mut world = World::new();
    let limited_one = name(&mut world, 1.0);
    let mut taken = 0;
    for _ in 0..100 {
        let engine = served(&mut world, &ran(200)).expect("the other has room");
        taken += usize::from(engine == limited_one);
        world.advance(Duration::from_millis(10));
    }
    assert!(taken <= 3, "{taken} in a second");
}

/// Refused at once, with the time at which the engine takes one more.
#[test]
fn refused_with_a_true_time() {
    let mut world = one_engine(0.5);
    let (_, effects) = world.arrive(request("safe"));
    let Refusal::NotRun(_, reason, retry) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::RateLimited);
    assert!(retry >= Duration::from_millis(1500), "{retry:?}");
    world.advance(retry);
    assert!(served(&mut world, &limited(0.5)).is_some());
}

/// A turn that comes in time is waited for.
#[test]
fn waits_for_a_turn_in_time() {
    let mut world = one_engine(12.0);
    world.advance(Duration::from_secs(1));
    assert!(served(&mut world, &limited(12.0)).is_some());
    assert!(served(&mut world, &limited(12.0)).is_some());
    // The third turn comes after a twelfth of a second and little more; the target is 900 ms.
    let (_, effects) = world.arrive(Request { id: "third".into(), ..request("safe") });
    assert!(effects.is_empty(), "{effects:?}");
    let effects = world.advance(Duration::from_millis(95));
    only_send(&effects);
}

#[test]
fn lifted_by_one_answer() {
    let mut world = one_engine(1.0);
    world.advance(Duration::from_secs(2));
    assert!(served(&mut world, &ran(200)).is_some());
    for _ in 0..20 {
        assert!(served(&mut world, &ran(200)).is_some());
    }
}

#[test]
fn new_life_takes_all() {
    let mut world = one_engine(0.1);
    assert!(served(&mut world, &ran(200)).is_none());
    let reborn = Engine { started_at: Some(200), ..engine(1, PLAIN, None) };
    let first = Engine { started_at: Some(100), ..reborn.clone() };
    world.event(Event::Changed(vec![EngineChange::Put(first, 21.into())]));
    world.event(Event::Changed(vec![EngineChange::Put(reborn, 22.into())]));
    assert!(served(&mut world, &ran(200)).is_some());
}

/// A repeat is not taken from the budget for an engine that has no place left: the client gets the
/// answer that is there.
#[test]
fn no_repeat_without_a_place() {
    let mut world = one_engine(0.5);
    world.advance(Duration::from_secs(6));
    let (flight, call) = world.first_call(request("safe"));
    world.advance(Duration::from_millis(5));
    let failed = Answer { status: 500, ..limited(0.5) };
    let second = world.call(call.call, CallEvent::Answered(failed));
    let third = second.iter().find_map(|it| match it {
        Effect::Send(send) => Some(send.clone()),
        _ => None,
    });
    // Two permits had gathered; the third call has none.
    let third = third.expect("the second permit");
    let failed = Answer { status: 500, ..limited(0.5) };
    let effects = world.call(third.call, CallEvent::Answered(failed));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Send(_))), "{effects:?} of {flight:?}");
}

/// Has the reader and the generator of a stream name limits; gives the generator.
fn name_generator(world: &mut World, asked: Request, rate: f64) -> Send {
    let (_, reading) = world.first_call(asked);
    assert_eq!(reading.task, Task::Prefill);
    let effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    let generating = only_send(&effects);
    world.call(generating.call, CallEvent::Began(limited(rate)));
    world.call(generating.call, CallEvent::Forwarded(Some(1)));
    world.call(generating.call, CallEvent::Answered(limited(rate)));
    generating
}

/// Makes a box that has heard another one, before engines that are all in need.
fn beside_another(engines: Vec<Engine>) -> World {
    let mut world = World::new();
    world.event(Event::Listed(engines.clone(), 20.into()));
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    for engine in engines {
        world.event(Event::Statement(engine.key, takes(3.0)));
    }
    world
}

/// Gives what becomes of requests that come while the other box, which issues the permits of some
/// engines, does not answer: each is sent or refused in time, and none is held until its deadline.
fn ends_within(mut world: World, route: &str, span: Duration) {
    for number in 0..20 {
        let id = format!("request-{number}");
        let (flight, mut effects) = world.arrive(Request { id: id.into(), ..request(route) });
        effects.extend(world.advance(span));
        let is_done = effects.iter().any(|it| match it {
            Effect::Send(send) => send.request == flight,
            Effect::Refuse(refused, _) => *refused == flight,
            _ => false,
        });
        assert!(is_done, "request {number} of {route}: {effects:?}");
        world.event(Event::ClientDisconnected(flight));
        world.event(Event::Received(heartbeat(2, number + 2, StoreView::default())));
    }
}

#[test]
fn an_issuer_that_does_not_answer() {
    let plain = |it| engine(it, PLAIN, None);
    ends_within(beside_another((1..=3).map(plain).collect()), "safe", Duration::from_millis(200));
    let engines = listed().into_iter().filter(|it| it.stage.is_some()).collect();
    ends_within(beside_another(engines), "resumed", Duration::from_millis(500));
}

/// Room that was there when a request asked for a permit may be gone when the answer does not come: it
/// is refused as others are that find no room, and is not held until its deadline.
#[test]
fn no_room_left_after_a_question() {
    let full = Load {
        prefill_tokens: 0,
        calls: 4,
        held_tokens: u32::try_from(MEMORY).expect("it is small"),
    };
    let taken = [21, 22].map(|it| (engine(it, MODEL, None).key, full));
    let mut asked = 0;
    for other in 2..60 {
        let mut world = World::new();
        world.event(Event::Received(heartbeat(other, 1, StoreView::default())));
        for number in [11, 12] {
            let reader = engine(number, MODEL, None).key;
            world.event(Event::Statement(reader, takes(3.0)));
        }
        let (_, effects) = world.arrive(request("resumed"));
        if !effects.is_empty() {
            continue;
        }
        asked += 1;
        let loads = taken.to_vec();
        let beat = Message { loads, ..heartbeat(other, 2, StoreView::default()) };
        world.event(Event::Received(beat));
        let effects = world.advance(Duration::from_millis(400));
        only_refusal(&effects);
    }
    assert!(asked > 5, "{asked} boxes issue the permits of a reader");
}

/// A prompt that an engine in need keeps is no reason to wait for it: others read it.
#[test]
fn kept_prompts_wait_for_nobody() {
    let mut world = World::new();
    let asked = || Request { prompt: Some(PromptKey(7)), ..request("resumed") };
    let keeper = name_generator(&mut world, asked(), 0.2);
    let (_, effects) = world.arrive(asked());
    let again = only_send(&effects);
    assert_ne!(again.engine.key, keeper.engine.key);
}

/// What runs at an engine that names a limit goes on.
#[test]
fn what_runs_goes_on() {
    let mut world = World::new();
    let (_, generating) = world.begin_stream(request("resumed"));
    let second = Request { id: "second".into(), ..request("resumed") };
    name_generator(&mut world, second, 0.1);
    let effects = world.call(generating.call, CallEvent::Forwarded(Some(1)));
    assert!(effects.is_empty(), "{effects:?}");
    let effects = world.call(generating.call, CallEvent::Answered(ran(200)));
    assert!(effects.iter().any(|it| matches!(it, Effect::Finish(_))), "{effects:?}");
}

/// Has time pass, with a request every 100 ms, and gives how many are sent; all are answered at once.
fn sent_in(world: &mut World, span: Duration, answer: &Answer) -> usize {
    let end = world.now + span;
    let mut count = 0;
    while world.now < end {
        let (_, mut effects) = world.arrive(request("safe"));
        effects.extend(world.advance(Duration::from_millis(100)));
        for effect in effects {
            if let Effect::Send(send) = effect {
                count += 1;
                world.call(send.call, CallEvent::Answered(answer.clone()));
            }
        }
    }
    count
}

/// Makes a box whose plain engine is cold for a minute, bears so many requests a second then and names
/// a limit.
fn cold_engine(bears: f64, takes: f64) -> World {
    let usual = configuration(1);
    let routes: Vec<Route> = usual.routes().map(|it| Route::clone(it)).collect();
    let cold_rate = Some(bears);
    let services = usual.services().map(|it| Service { cold_rate, ..it.clone() }).collect();
    let mut world = World::unconfigured();
    let configuration = Configuration::new(1, usual.limits, routes, services);
    world.event(Event::Configured(Arc::new(configuration)));
    let cold = Engine { cold_left_ms: 60_000, ..engine(1, PLAIN, None) };
    world.event(Event::Listed(vec![cold], 20.into()));
    name(&mut world, takes);
    world
}

/// The strictest bound holds for an engine that is cold and in need.
#[test]
fn cold_and_limited() {
    let span = Duration::from_secs(10);
    let by_limit = sent_in(&mut cold_engine(8.0, 1.0), span, &limited(1.0));
    assert!((8..=12).contains(&by_limit), "{by_limit} in 10 s at 1 a second");
    let by_cold = sent_in(&mut cold_engine(2.0, 60.0), span, &limited(60.0));
    assert!((4..=20).contains(&by_cold), "{by_cold} in 10 s at 2 a second");
}

/// A turn that comes soon is left to a request of a higher rank.
#[test]
fn the_next_turn_is_for_the_higher_rank() {
    let mut world = World::unconfigured();
    let urgent = Route { priority: 0, ..route("urgent", RouteKind::Safe, PLAIN) };
    let low = Route { priority: 3, ..route("safe", RouteKind::Safe, PLAIN) };
    world.event(Event::Configured(Arc::new(configuration_of(1, vec![urgent, low]))));
    world.event(Event::Listed(vec![engine(1, PLAIN, None)], 20.into()));
    name(&mut world, 8.0);
    world.advance(Duration::from_secs(1));
    assert!(served(&mut world, &limited(8.0)).is_some());
    assert!(served(&mut world, &limited(8.0)).is_some());
    let (_, effects) = world.arrive(request("safe"));
    only_refusal(&effects);
    world.advance(Duration::from_millis(20));
    let mut asked = request("safe");
    asked.path = "/urgent/x".to_owned();
    let (flight, mut effects) = world.arrive(asked);
    effects.extend(world.advance(Duration::from_millis(190)));
    assert_eq!(only_send(&effects).request, flight);
}
