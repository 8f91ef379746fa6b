//! Admission at one box while capacity is short: what it knows of other boxes, and calls to engines
//! that would answer late.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::class::{self, Class};
use hollyspoke_gateway::effect::{Effect, LogEvent, NotRunReason, Refusal};
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::{Extension, Load, Message, StoreView};
use hollyspoke_gateway::request::{Request, RequestKey};
use hollyspoke_tests::gateway::{
    MODEL, World, configuration, engines, heartbeat, only_refusal, only_send, prefilled, ran,
    request, settings,
};

/// The memory that another box uses at each decode engine, so that two requests fit.
const HELD: u32 = 45_000;

/// The units that wait at another box, as much as is free.
const WAITING: u32 = 22_000;

/// Makes a box of two that admits requests, or doesn't.
fn world(is_admitting: bool) -> World {
    let mut world = World::unconfigured();
    let features = Features { admission: is_admitting, ..Features::NONE };
    let own = Settings { features, boxes: Some(2), ..settings(1) };
    world.gateway = Gateway::new(own);
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    world
}

/// Returns the heartbeat of a box that uses memory of all decode engines, some of it for routine
/// requests, and where more urgent ones wait.
fn loaded(sequence: u64, held_tokens: u32, waiting: u32) -> Event {
    let load = Load { prefill_tokens: 0, calls: 0, held_tokens };
    let announcement = |priority, waiting, running| class::Announcement {
        class: Class { service: EngineKey::of(MODEL).0, priority, customer: None },
        load: class::Load { arriving_milli_per_s: 0, waiting, running },
    };
    let classes = vec![announcement(0, waiting, held_tokens), announcement(1, 0, held_tokens)];
    Event::Received(Message {
        loads: ["engine-21", "engine-22"].map(|it| (EngineKey::of(it), load)).to_vec(),
        extension: Extension { classes, ..Extension::default() }.non_empty(),
        ..heartbeat(2, sequence, StoreView::default())
    })
}

/// Returns a request that holds 5,000 tokens, most of them for its answer.
fn long_answer() -> Request {
    Request {
        prompt_tokens: Some(500),
        max_answer_tokens: Some(9000),
        expected_answer_tokens: Some(9000),
        ..request("once")
    }
}

/// Returns the number of calls among effects.
fn sends(effects: &[Effect]) -> usize {
    effects.iter().filter(|it| matches!(it, Effect::Send(_))).count()
}

/// Returns the reason that a request was refused for.
fn reason(effects: &[Effect]) -> NotRunReason {
    match only_refusal(effects) {
        Refusal::NotRun(_, reason, _) => reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn reserve_taken() {
    let mut world = world(true);
    world.event(loaded(1, HELD, WAITING));
    let (_, effects) = world.arrive(request("once"));
    assert_eq!(effects, [], "the request waits");
    world.advance(Duration::from_millis(50));
    let mut effects = world.event(loaded(2, HELD, 0));
    effects.extend(world.advance(Duration::from_millis(50)));
    assert_eq!(sends(&effects), 1, "nobody is before it any longer");
}

#[test]
fn hopeless_request_kept() {
    let mut world = world(true);
    world.event(loaded(1, HELD, 20 * WAITING));
    let (_, effects) = world.arrive(request("once"));
    assert_eq!(reason(&effects), NotRunReason::Overloaded);
}

#[test]
fn box_cut_off() {
    let mut world = world(true);
    world.event(loaded(1, 0, 0));
    world.advance(Duration::from_secs(3));
    let alone: usize = (0..30).map(|_| sends(&world.arrive(long_answer()).1)).sum();
    assert_eq!(alone, 11, "5,000 tokens each, of half the memory of two engines");
    world.advance(Duration::from_millis(50));
    let mut together = sends(&world.event(loaded(2, 0, 0)));
    together += (0..30).map(|_| sends(&world.arrive(long_answer()).1)).sum::<usize>();
    assert_eq!(alone + together, 22, "all memory");
}

#[test]
fn dead_box_counted() {
    let mut world = world(true);
    world.event(loaded(1, HELD, 20 * WAITING));
    assert_eq!(reason(&world.arrive(request("once")).1), NotRunReason::Overloaded);
    world.advance(Duration::from_secs(3));
    assert_eq!(sends(&world.arrive(request("once")).1), 1);
}

#[test]
fn heartbeat_lost() {
    let mut world = world(true);
    world.event(loaded(1, HELD, 20 * WAITING));
    world.advance(Duration::from_millis(600));
    assert_eq!(reason(&world.arrive(request("once")).1), NotRunReason::Overloaded);
}

#[test]
fn switched_off() {
    let mut world = world(false);
    world.event(loaded(1, HELD, 20 * WAITING));
    assert_eq!(sends(&world.arrive(request("once")).1), 1);
}

/// While capacity is plentiful, a box that admits chooses like one that doesn't.
#[test]
fn plentiful_capacity_kept() {
    let (mut admitting, mut usual) = (world(true), world(false));
    for count in 0..12 {
        let route = if count % 2 == 0 { "once" } else { "safe" };
        let effects = admitting.arrive(request(route)).1;
        assert_eq!(effects, usual.arrive(request(route)).1, "request {count}");
        assert_eq!(sends(&effects), 1);
    }
}

/// Calls take 400 ms and must be answered within 720 ms, so that an engine of 6 slots takes 10.
#[test]
fn plain_call_late() {
    let mut world = world(true);
    world.event(loaded(1, 0, 0));
    let (_, first) = world.first_call(request("unsafe"));
    world.advance(Duration::from_millis(400));
    world.call(first.call, CallEvent::Answered(ran(200)));
    let mut taken = 0;
    let effects = loop {
        let (_, effects) = world.arrive(request("unsafe"));
        if sends(&effects) == 0 {
            break effects;
        }
        taken += 1;
    };
    assert_eq!(reason(&effects), NotRunReason::Overloaded);
    assert_eq!(taken, 20, "at two engines");
}

#[test]
fn overload_unlogged() {
    let mut world = world(true);
    world.event(loaded(1, HELD, 20 * WAITING));
    let mut logged = Vec::new();
    let mut step = |world: &mut World, event: Event| {
        for effect in world.gateway.step(world.now, event) {
            if let Effect::Log(LogEvent::Overload { has_ended, .. }) = effect {
                logged.push(has_ended);
            }
        }
    };
    for number in 0..3 {
        let key = RequestKey(number);
        step(&mut world, Event::Arrived(key, request("once")));
    }
    for _ in 0..40 {
        world.now = world.now + Duration::from_millis(100);
        step(&mut world, Event::Tick);
    }
    assert_eq!(logged, [false, true]);
}

#[test]
fn prefilled_prompt_held_back() {
    let mut world = world(true);
    world.event(loaded(1, 0, 0));
    let (_, prefill) = world.first_call(request("once"));
    world.event(loaded(2, HELD, 20 * WAITING));
    let answer = prefilled("h");
    only_send(&world.call(prefill.call, CallEvent::Answered(answer)));
}
