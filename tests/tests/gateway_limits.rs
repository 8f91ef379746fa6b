//! Rate-limited engines name in their answers how many requests a second they take from all boxes.
//!
//! If boxes ignore the limits, engines that name 3.5 and 3.3 requests a second get 61 and 44 in 4 s,
//! where 26 and 25 are allowed. In this simulation they got 2.46 and 3.09 times what is allowed. If
//! each of six boxes kept the limit alone, six times as much would be sent, so one box issues the
//! permits of an engine.

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

/// The share of the limits that has to be used while enough requests arrive.
const MIN_USED_SHARE: f64 = 0.8;

/// Returns the engines of a service.
fn engines(fleet: &Fleet, service: &str) -> Vec<EngineKey> {
    let engines = fleet.engines();
    engines.iter().filter(|it| *it.service == *service).map(|it| it.key).collect()
}

/// Runs six boxes for 14 s with engines of a service that name a limit; returns the highest share of
/// the bound that one of them got.
fn max_bound_used(service: &str, count: usize, rate: f64, seed: u64) -> f64 {
    let mut fleet = Fleet::settled(6, seed);
    let chosen = engines(&fleet, service).into_iter().take(count);
    fleet.set_limit(chosen.collect::<Vec<_>>(), Some(rate));
    fleet.run(Duration::from_secs(14));
    fleet.rate_limits.bound_used()
}

#[test]
fn plain_limit_exceeded() {
    for (rate, seed) in [(3.5, 1), (3.1, 2), (0.4, 3)] {
        let max_bound_used = max_bound_used(PLAIN, 2, rate, seed);
        assert!(max_bound_used <= 1.0, "{max_bound_used:.2} of what {rate} a second allow");
    }
}

#[test]
fn service_limit_exceeded() {
    for (rate, seed) in [(3.0, 4), (0.4, 5)] {
        let max_bound_used = max_bound_used(PLAIN, 3, rate, seed);
        assert!(max_bound_used <= 1.0, "{max_bound_used:.2} of what {rate} a second allow");
    }
}

#[test]
fn model_limit_exceeded() {
    for (rate, seed) in [(2.0, 6), (0.2, 7)] {
        let max_bound_used = max_bound_used(MODEL, 18, rate, seed);
        assert!(max_bound_used <= 1.0, "{max_bound_used:.2} of what {rate} a second allow");
    }
}

/// If all engines of a service are rate-limited, their limits have to be used up.
#[test]
fn limited_capacity_unused() {
    for (service, rate, seed) in [(PLAIN, 3.0, 8), (PLAIN, 0.4, 9), (MODEL, 0.5, 10)] {
        let mut fleet = Fleet::settled(6, seed);
        fleet.set_limit(engines(&fleet, service), Some(rate));
        fleet.run(Duration::from_secs(5));
        let from = fleet.now();
        fleet.run(Duration::from_secs(30));
        let max_bound_used = fleet.rate_limits.limit_used(from, fleet.now());
        assert!(
            max_bound_used >= MIN_USED_SHARE,
            "{max_bound_used:.2} of {rate} a second of {service}"
        );
        assert!(fleet.rate_limits.bound_used() <= 1.0);
    }
}

/// One answer has to show six boxes that a limit is lifted, also one of a request in ten seconds.
#[test]
fn lifted_limit_ignored() {
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

/// Restarted boxes have to learn the limits from the others, or from the first answer.
#[test]
fn limit_lost_on_restart() {
    let mut fleet = Fleet::settled(6, 13);
    fleet.set_limit(engines(&fleet, PLAIN), Some(2.0));
    fleet.run(Duration::from_secs(5));
    for number in 0..6 {
        fleet.restart([number]);
        fleet.run(Duration::from_secs(1));
    }
    fleet.restart(0..6);
    fleet.run(Duration::from_secs(6));
    let max_bound_used = fleet.rate_limits.bound_used();
    assert!(max_bound_used <= 1.0, "{max_bound_used:.2} of what is allowed");
}

/// Two halves without contact, and single isolated boxes, must not exceed the limit.
#[test]
fn partition_exceeds_limit() {
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
        let max_bound_used = fleet.rate_limits.bound_used();
        assert!(max_bound_used <= 1.0, "{max_bound_used:.2} of what is allowed by {sides} sides");
    }
}

/// Returns an answer of an engine that names a limit, in requests a second.
fn limited(rate: f64) -> Answer {
    Answer { statement: rate_statement(rate), ..ran(200) }
}

/// Returns a statement of a limit, in requests a second.
fn rate_statement(rate: f64) -> Statement {
    Statement { limit: Reported::Rate(rate), ..Statement::default() }
}

/// Answers a plain request with a limit; returns its engine.
fn answer_with_limit(world: &mut World, rate: f64) -> EngineKey {
    let (_, call) = world.first_call(request("safe"));
    world.call(call.call, CallEvent::Answered(limited(rate)));
    call.engine.key
}

/// Sends a request, answers it if it is sent on, and returns its engine.
fn serving_engine(world: &mut World, answer: &Answer) -> Option<EngineKey> {
    let (_, effects) = world.arrive(request("safe"));
    let send = effects.into_iter().find_map(|it| match it {
        Effect::Send(send) => Some(send),
        _ => None,
    })?;
    world.call(send.call, CallEvent::Answered(answer.clone()));
    Some(send.engine.key)
}

/// Makes a box with one plain engine that names a limit.
fn world_with_limit(rate: f64) -> World {
    let mut world = World::new();
    world.event(Event::Listed(vec![engine(1, PLAIN, None)], 20.into()));
    answer_with_limit(&mut world, rate);
    world
}

#[test]
fn limited_engine_overused() {
    let mut world = World::new();
    let limited_one = answer_with_limit(&mut world, 1.0);
    let mut taken = 0;
    for _ in 0..100 {
        let engine = serving_engine(&mut world, &ran(200)).expect("the other has free capacity");
        taken += usize::from(engine == limited_one);
        world.advance(Duration::from_millis(10));
    }
    assert!(taken <= 3, "{taken} in a second");
}

/// A request beyond the limit is refused at once, with the time of the next permit.
#[test]
fn wrong_retry_time() {
    let mut world = world_with_limit(0.5);
    let (_, effects) = world.arrive(request("safe"));
    let Refusal::NotRun(_, reason, retry) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::RateLimited);
    assert!(retry >= Duration::from_millis(1500), "{retry:?}");
    world.advance(retry);
    assert!(serving_engine(&mut world, &limited(0.5)).is_some());
}

/// A request has to wait for a permit that is due before its target.
#[test]
fn timely_permit_missed() {
    let mut world = world_with_limit(12.0);
    world.advance(Duration::from_secs(1));
    assert!(serving_engine(&mut world, &limited(12.0)).is_some());
    assert!(serving_engine(&mut world, &limited(12.0)).is_some());
    // The third permit is due after a little more than 1/12 s; the target is 900 ms.
    let (_, effects) = world.arrive(Request { id: "third".into(), ..request("safe") });
    assert!(effects.is_empty(), "{effects:?}");
    let effects = world.advance(Duration::from_millis(95));
    only_send(&effects);
}

#[test]
fn limit_kept_after_answer() {
    let mut world = world_with_limit(1.0);
    world.advance(Duration::from_secs(2));
    assert!(serving_engine(&mut world, &ran(200)).is_some());
    for _ in 0..20 {
        assert!(serving_engine(&mut world, &ran(200)).is_some());
    }
}

#[test]
fn restarted_engine_limited() {
    let mut world = world_with_limit(0.1);
    assert!(serving_engine(&mut world, &ran(200)).is_none());
    let reborn = Engine { started_at: Some(200), ..engine(1, PLAIN, None) };
    let first = Engine { started_at: Some(100), ..reborn.clone() };
    world.event(Event::Changed(vec![EngineChange::Put(first, 21.into())]));
    world.event(Event::Changed(vec![EngineChange::Put(reborn, 22.into())]));
    assert!(serving_engine(&mut world, &ran(200)).is_some());
}

/// A repeat without a permit must not take from the retry budget: the client gets the answer that
/// is there.
#[test]
fn retry_without_permit() {
    let mut world = world_with_limit(0.5);
    world.advance(Duration::from_secs(6));
    let (request_key, call) = world.first_call(request("safe"));
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
    assert!(
        !effects.iter().any(|it| matches!(it, Effect::Send(_))),
        "{effects:?} of {request_key:?}"
    );
}

/// Runs a stream whose decode engine names a limit; returns the decode call.
fn limit_decode_engine(world: &mut World, new_request: Request, rate: f64) -> Send {
    let (_, prefill_call) = world.first_call(new_request);
    assert_eq!(prefill_call.task, Task::Prefill);
    let effects = world.call(prefill_call.call, CallEvent::Answered(prefilled("h")));
    let decode_call = only_send(&effects);
    world.call(decode_call.call, CallEvent::Began(limited(rate)));
    world.call(decode_call.call, CallEvent::Forwarded(Some(1)));
    world.call(decode_call.call, CallEvent::Answered(limited(rate)));
    decode_call
}

/// Makes a box with a peer and with engines that are all rate-limited.
fn world_with_peer(engines: Vec<Engine>) -> World {
    let mut world = World::new();
    world.event(Event::Listed(engines.clone(), 20.into()));
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    for engine in engines {
        world.event(Event::Statement(engine.key, rate_statement(3.0)));
    }
    world
}

/// Checks that requests are sent or refused in time while the other box, which issues the permits of
/// some engines, does not answer.
fn assert_ends_within(mut world: World, route: &str, duration: Duration) {
    for number in 0..20 {
        let id = format!("request-{number}");
        let (request_key, mut effects) = world.arrive(Request { id: id.into(), ..request(route) });
        effects.extend(world.advance(duration));
        let is_done = effects.iter().any(|it| match it {
            Effect::Send(send) => send.request == request_key,
            Effect::Refuse(refused, _) => *refused == request_key,
            _ => false,
        });
        assert!(is_done, "request {number} of {route}: {effects:?}");
        world.event(Event::ClientDisconnected(request_key));
        world.event(Event::Received(heartbeat(2, number + 2, StoreView::default())));
    }
}

#[test]
fn issuer_silence_blocks() {
    let plain = |it| engine(it, PLAIN, None);
    assert_ends_within(
        world_with_peer((1..=3).map(plain).collect()),
        "safe",
        Duration::from_millis(200),
    );
    let engines = listed().into_iter().filter(|it| it.stage.is_some()).collect();
    assert_ends_within(world_with_peer(engines), "resumed", Duration::from_millis(500));
}

/// If the free capacity is gone when a permit has not arrived, the request is refused at once and not
/// held until its deadline.
#[test]
fn capacity_lost_during_wait() {
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
            world.event(Event::Statement(reader, rate_statement(3.0)));
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
    assert!(asked > 5, "{asked} boxes issue the permits of a prefill engine");
}

/// A request must not wait for a rate-limited engine that caches its prompt.
#[test]
fn cached_prompt_delays_request() {
    let mut world = World::new();
    let asked = || Request { prompt: Some(PromptKey(7)), ..request("resumed") };
    let caching_engine = limit_decode_engine(&mut world, asked(), 0.2);
    let (_, effects) = world.arrive(asked());
    let again = only_send(&effects);
    assert_ne!(again.engine.key, caching_engine.engine.key);
}

/// A limit must not end calls that already run.
#[test]
fn running_call_stopped() {
    let mut world = World::new();
    let (_, decode_call) = world.begin_stream(request("resumed"));
    let second = Request { id: "second".into(), ..request("resumed") };
    limit_decode_engine(&mut world, second, 0.1);
    let effects = world.call(decode_call.call, CallEvent::Forwarded(Some(1)));
    assert!(effects.is_empty(), "{effects:?}");
    let effects = world.call(decode_call.call, CallEvent::Answered(ran(200)));
    assert!(effects.iter().any(|it| matches!(it, Effect::Finish(_))), "{effects:?}");
}

/// Sends a request every 100 ms, all answered at once; returns how many are sent on.
fn sent_in(world: &mut World, duration: Duration, answer: &Answer) -> usize {
    let end = world.now + duration;
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

/// Makes a box whose plain engine is cold for a minute, with a rate while cold, and names a limit.
fn world_with_cold_engine(bears: f64, rate_statement: f64) -> World {
    let usual = configuration(1);
    let routes: Vec<Route> = usual.routes().map(|it| Route::clone(it)).collect();
    let cold_rate = Some(bears);
    let services = usual.services().map(|it| Service { cold_rate, ..it.clone() }).collect();
    let mut world = World::unconfigured();
    let configuration = Configuration::new(1, usual.limits, routes, services);
    world.event(Event::Configured(Arc::new(configuration)));
    let cold = Engine { cold_left_ms: 60_000, ..engine(1, PLAIN, None) };
    world.event(Event::Listed(vec![cold], 20.into()));
    answer_with_limit(&mut world, rate_statement);
    world
}

/// The stricter bound holds for an engine that is cold and rate-limited.
#[test]
fn stricter_limit_ignored() {
    let duration = Duration::from_secs(10);
    let by_limit = sent_in(&mut world_with_cold_engine(8.0, 1.0), duration, &limited(1.0));
    assert!((8..=12).contains(&by_limit), "{by_limit} in 10 s at 1 a second");
    let by_cold = sent_in(&mut world_with_cold_engine(2.0, 60.0), duration, &limited(60.0));
    assert!((4..=20).contains(&by_cold), "{by_cold} in 10 s at 2 a second");
}

/// A permit that is due soon is reserved for a request of a higher priority.
#[test]
fn permit_priority_ignored() {
    let mut world = World::unconfigured();
    let urgent = Route { priority: 0, ..route("urgent", RouteKind::Safe, PLAIN) };
    let low = Route { priority: 3, ..route("safe", RouteKind::Safe, PLAIN) };
    world.event(Event::Configured(Arc::new(configuration_of(1, vec![urgent, low]))));
    world.event(Event::Listed(vec![engine(1, PLAIN, None)], 20.into()));
    answer_with_limit(&mut world, 8.0);
    world.advance(Duration::from_secs(1));
    assert!(serving_engine(&mut world, &limited(8.0)).is_some());
    assert!(serving_engine(&mut world, &limited(8.0)).is_some());
    let (_, effects) = world.arrive(request("safe"));
    only_refusal(&effects);
    world.advance(Duration::from_millis(20));
    let mut asked = request("safe");
    asked.path = "/urgent/x".to_owned();
    let (request_key, mut effects) = world.arrive(asked);
    effects.extend(world.advance(Duration::from_millis(190)));
    assert_eq!(only_send(&effects).request, request_key);
}
