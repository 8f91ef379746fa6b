//! Engines whose entries lapse while the store is away.

use std::time::Duration;

use hollyspoke_gateway::engine::EngineChange;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_tests::gateway::{World, engines, request};

/// Has the store be away for a time and answer again.
fn outage(world: &mut World, span: Duration) {
    world.event(Event::StoreAnswered(Kind::Engines));
    world.event(Event::StoreFailed(Kind::Engines));
    world.advance(span);
    world.event(Event::StoreAnswered(Kind::Engines));
}

/// Tells whether a plain request finds an engine.
fn is_served(world: &mut World) -> bool {
    let (_, effects) = world.arrive(request("unsafe"));
    effects.iter().any(|it| matches!(it, hollyspoke_gateway::effect::Effect::Send(_)))
}

#[test]
fn lapsed_entries_stay_for_two_seconds() {
    let mut world = World::new();
    outage(&mut world, Duration::from_secs(5));
    world.event(Event::Listed(Vec::new(), 20.into()));
    world.advance(Duration::from_millis(1900));
    assert!(is_served(&mut world));
    world.advance(Duration::from_millis(150));
    assert!(!is_served(&mut world));
}

#[test]
fn entries_that_come_back_stay() {
    let mut world = World::new();
    outage(&mut world, Duration::from_secs(5));
    world.event(Event::Listed(Vec::new(), 20.into()));
    let back = engines().into_iter().map(|it| EngineChange::Put(it, 21.into())).collect();
    world.event(Event::Changed(back));
    world.advance(Duration::from_secs(3));
    assert!(is_served(&mut world));
}

#[test]
fn change_after_an_outage() {
    let mut world = World::new();
    outage(&mut world, Duration::from_secs(5));
    let gone = ["engine-1", "engine-2"].map(|it| EngineChange::Left(it.into(), 21.into()));
    world.event(Event::Changed(gone.to_vec()));
    assert!(is_served(&mut world));
    world.advance(Duration::from_millis(2050));
    assert!(!is_served(&mut world));
}

/// A box that is still away learns of the lapse from one that sees the store again.
#[test]
fn change_heard_while_away() {
    let mut world = World::new();
    world.event(Event::StoreFailed(Kind::Engines));
    world.advance(Duration::from_secs(5));
    let gone = ["engine-1", "engine-2"].map(|it| EngineChange::Left(it.into(), 21.into()));
    world.event(Event::Changed(gone.to_vec()));
    assert!(is_served(&mut world));
}

#[test]
fn gone_without_an_outage() {
    let mut world = World::new();
    outage(&mut world, Duration::from_millis(300));
    world.event(Event::Listed(Vec::new(), 20.into()));
    assert!(!is_served(&mut world));
}

/// An engine that has said that it leaves needs no second word.
#[test]
fn draining_is_gone_at_once() {
    let mut world = World::new();
    let draining = engines().into_iter().map(|mut it| {
        it.is_draining = true;
        it
    });
    world.event(Event::Listed(draining.collect(), 15.into()));
    outage(&mut world, Duration::from_secs(5));
    world.event(Event::Listed(Vec::new(), 20.into()));
    assert!(!is_served(&mut world));
}
