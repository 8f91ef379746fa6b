//! A box that starts asks engines which prompts they keep.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Prompt, Task};
use hollyspoke_gateway::engine::{EngineKey, Stage};
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::message::StoreView;
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    MODEL, World, configuration, engine, engines, heartbeat, only_send, request, settings,
};

/// Gives a request of a client that goes on behind an event.
fn resuming() -> Request {
    Request { prompt: Some(PromptKey(7)), last_event: Some(4), ..request("resumed") }
}

/// Lets time pass, and gives the engines that were asked meanwhile.
fn asked_within(world: &mut World, span: Duration) -> Vec<EngineKey> {
    let end = world.now + span;
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

/// Gives the engines that generate.
fn generators() -> Vec<EngineKey> {
    let all = engines().into_iter().filter(|it| it.stage == Some(Stage::Decode));
    let mut keys: Vec<_> = all.map(|it| it.key).collect();
    keys.sort();
    keys
}

#[test]
fn lone_node_asks_all_once() {
    let mut world = World::new();
    assert_eq!(asked_within(&mut world, Duration::from_millis(90)), []);
    assert_eq!(asked_within(&mut world, Duration::from_millis(20)), generators());
    assert_eq!(asked_within(&mut world, Duration::from_secs(5)), []);
}

/// Each engine is asked by one box.
#[test]
fn nodes_share_the_engines() {
    let mut world = World::new();
    for number in 2..=40 {
        world.event(Event::Received(heartbeat(number, 1, StoreView::default())));
    }
    let asked = asked_within(&mut world, Duration::from_millis(200));
    assert!(asked.len() < generators().len(), "39 others ask the rest");
}

/// After a loss of all boxes each hears the others only after a while. Until then it would take
/// itself for the only one and ask every engine.
#[test]
fn waits_to_hear_the_others() {
    let mut world = World::unconfigured();
    let seeds = (2..=4).map(|it| settings(it).peer).collect();
    world.event(Event::Seeds(seeds));
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    let mut asked = asked_within(&mut world, Duration::from_millis(250));
    for number in 2..=40 {
        world.event(Event::Received(heartbeat(number, 1, StoreView::default())));
        asked.extend(asked_within(&mut world, Duration::from_millis(5)));
    }
    assert_eq!(asked, [], "others are still heard for the first time");
    let asked = asked_within(&mut world, Duration::from_millis(500));
    assert!(asked.len() < generators().len(), "39 others ask the rest");
}

/// A box that hears nobody asks all the same, but not engines without bound: many such boxes may
/// be cut off from each other.
#[test]
fn asks_a_bounded_part() {
    let mut world = World::unconfigured();
    world.event(Event::Seeds(vec![settings(2).peer]));
    world.event(Event::Configured(Arc::new(configuration(1))));
    let many = (1..=200).map(|it| engine(it, MODEL, Some(Stage::Decode))).collect();
    world.event(Event::Listed(many, 10.into()));
    let asked = asked_within(&mut world, Duration::from_secs(1));
    assert!((1..=16).contains(&asked.len()), "{} engines", asked.len());
}

/// What waits for the answers goes on soon after they have come, however late they were asked for.
#[test]
fn resuming_waits_for_a_late_question() {
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
fn node_that_knows_nothing_asks_nobody() {
    let mut world = World::unconfigured();
    world.event(Event::Configured(Arc::new(configuration(1))));
    assert_eq!(asked_within(&mut world, Duration::from_secs(1)), []);
}

/// A box that stops before it has asked must not be woken over and over for it.
#[test]
fn stopping_node_does_not_ask() {
    let mut world = World::new();
    world.event(Event::Stop);
    assert_eq!(asked_within(&mut world, Duration::from_millis(150)), []);
    assert!(world.gateway.next_due() > world.now);
}

#[test]
fn resuming_waits_for_the_answer() {
    let mut world = World::new();
    let (_, effects) = world.arrive(resuming());
    assert_eq!(effects, []);
    world.advance(Duration::from_millis(120));
    let keeper = EngineKey::of("engine-22");
    let effects = world.event(Event::CachedPrompts(keeper, vec![PromptKey(9), PromptKey(7)]));
    let send = only_send(&effects);
    assert_eq!(send.task, Task::Decode(Prompt::Cached));
    assert_eq!(send.engine.key, keeper);
}

#[test]
fn resuming_waits_no_longer() {
    let mut world = World::new();
    world.arrive(resuming());
    let effects = world.advance(Duration::from_millis(360));
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

#[test]
fn others_do_not_wait() {
    let mut world = World::new();
    let (_, send) = world.first_call(request("resumed"));
    assert_eq!(send.task, Task::Prefill);
    world.advance(Duration::from_secs(1));
    let (_, send) = world.first_call(resuming());
    assert_eq!(send.task, Task::Prefill);
}
