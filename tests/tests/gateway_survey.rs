//! A box that starts queries engines for their cached prompts.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Prompt, Task};
use hollyspoke_gateway::engine::{Engine, EngineKey, Stage};
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::message::{DataCentreKey, Message, StoreView};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    MODEL, World, configuration, engine, engines, heartbeat, only_send, request, settings,
};

/// The stage of the engines that cache prompts.
const DECODE: Option<Stage> = Some(Stage::Decode);

/// Returns a request that resumes after an event.
fn resuming() -> Request {
    Request { prompt: Some(PromptKey(7)), last_event: Some(4), ..request("resumed") }
}

/// Lets time pass, and returns the engines that were queried.
fn queried_within(world: &mut World, duration: Duration) -> Vec<EngineKey> {
    let end = world.now + duration;
    let mut keys = Vec::new();
    while world.now < end {
        world.now = world.gateway.next_due().max(world.now + Duration::from_micros(1)).min(end);
        let effects = world.gateway.step(world.now, Event::Tick);
        keys.extend(effects.iter().filter_map(|it| match it {
            Effect::QueryCachedPrompts(engine) => Some(engine.key),
            _ => None,
        }));
    }
    keys.sort();
    keys
}

/// Returns the decode engines.
fn decode_engines() -> Vec<EngineKey> {
    let all = engines().into_iter().filter(|it| it.stage == Some(Stage::Decode));
    let mut keys: Vec<_> = all.map(|it| it.key).collect();
    keys.sort();
    keys
}

#[test]
fn engine_queried_twice() {
    let mut world = World::new();
    assert_eq!(queried_within(&mut world, Duration::from_millis(90)), []);
    assert_eq!(queried_within(&mut world, Duration::from_millis(20)), decode_engines());
    assert_eq!(queried_within(&mut world, Duration::from_secs(5)), []);
}

/// Boxes have to divide the engines: each engine is queried by one box.
#[test]
fn engines_queried_by_all() {
    let mut world = World::new();
    for number in 2..=40 {
        world.event(Event::Received(heartbeat(number, 1, StoreView::default())));
    }
    let queried_engines = queried_within(&mut world, Duration::from_millis(200));
    assert!(queried_engines.len() < decode_engines().len(), "39 others query the rest");
}

/// After a restart of all boxes, each takes itself for the only one until heartbeats arrive, and would
/// query every engine.
#[test]
fn query_before_peers_known() {
    let mut world = World::unconfigured();
    let seeds = (2..=4).map(|it| settings(it).peer).collect();
    world.event(Event::Seeds(seeds));
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    let mut queried_engines = queried_within(&mut world, Duration::from_millis(250));
    for number in 2..=40 {
        world.event(Event::Received(heartbeat(number, 1, StoreView::default())));
        queried_engines.extend(queried_within(&mut world, Duration::from_millis(5)));
    }
    assert_eq!(queried_engines, [], "first heartbeats of other boxes still arrive");
    let queried_engines = queried_within(&mut world, Duration::from_millis(500));
    assert!(queried_engines.len() < decode_engines().len(), "39 others query the rest");
}

/// A box without peers queries a bounded number of engines only, as many boxes may be isolated at
/// once.
#[test]
fn unbounded_queries() {
    let mut world = World::unconfigured();
    world.event(Event::Seeds(vec![settings(2).peer]));
    world.event(Event::Configured(Arc::new(configuration(1))));
    let many = (1..=200).map(|it| engine(it, MODEL, Some(Stage::Decode))).collect();
    world.event(Event::Listed(many, 10.into()));
    let queried_engines = queried_within(&mut world, Duration::from_secs(1));
    assert!((1..=16).contains(&queried_engines.len()), "{} engines", queried_engines.len());
}

/// A request that waits for the answers has to be sent soon after them, also if the query was late.
#[test]
fn late_query_not_awaited() {
    let mut world = World::unconfigured();
    world.event(Event::Seeds(vec![settings(2).peer]));
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    let (_, effects) = world.arrive(resuming());
    assert_eq!(effects, []);
    world.advance(Duration::from_millis(200));
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let effects = world.advance(Duration::from_millis(420));
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

#[test]
fn query_without_engines() {
    let mut world = World::unconfigured();
    world.event(Event::Configured(Arc::new(configuration(1))));
    assert_eq!(queried_within(&mut world, Duration::from_secs(1)), []);
}

/// A box that stops before its query must not be woken for it again and again.
#[test]
fn stopping_box_queries() {
    let mut world = World::new();
    world.event(Event::Stop);
    assert_eq!(queried_within(&mut world, Duration::from_millis(150)), []);
    assert!(world.gateway.next_due() > world.now);
}

#[test]
fn cached_answer_missed() {
    let mut world = World::new();
    let (_, effects) = world.arrive(resuming());
    assert_eq!(effects, []);
    world.advance(Duration::from_millis(120));
    let caching_engine = EngineKey::of("engine-22");
    let effects =
        world.event(Event::CachedPrompts(caching_engine, vec![PromptKey(9), PromptKey(7)]));
    let send = only_send(&effects);
    assert_eq!(send.task, Task::Decode(Prompt::Cached));
    assert_eq!(send.engine.key, caching_engine);
}

#[test]
fn resumed_request_waits_forever() {
    let mut world = World::new();
    world.arrive(resuming());
    let effects = world.advance(Duration::from_millis(360));
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

#[test]
fn unrelated_request_waits() {
    let mut world = World::new();
    let (_, send) = world.first_call(request("resumed"));
    assert_eq!(send.task, Task::Prefill);
    world.advance(Duration::from_secs(1));
    let (_, send) = world.first_call(resuming());
    assert_eq!(send.task, Task::Prefill);
}

/// In a large deployment, a box must not compare each engine with each box of all data centres.
#[test]
fn remote_engine_queried() {
    let mut world = World::new();
    for number in 2..=120 {
        let data_centre = DataCentreKey::of(if number % 2 == 0 { "north" } else { "south" });
        let message = heartbeat(number, 1, StoreView::default());
        world.event(Event::Received(Message { data_centre, ..message }));
    }
    let remote = |number| Engine { data_centre: "south".into(), ..engine(number, MODEL, DECODE) };
    let listed: Vec<_> = (100..=250).map(remote).collect();
    world.event(Event::Listed(listed, 20.into()));
    assert_eq!(queried_within(&mut world, Duration::from_millis(200)), []);
}
