//! Engines whose entries expire while the store is unavailable.

use std::time::Duration;

use hollyspoke_gateway::engine::EngineChange;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_tests::gateway::{World, engines, request};

/// Simulates a store outage.
fn outage(world: &mut World, duration: Duration) {
    world.event(Event::StoreAnswered(Kind::Engines));
    world.event(Event::StoreFailed(Kind::Engines));
    world.advance(duration);
    world.event(Event::StoreAnswered(Kind::Engines));
}

/// Returns whether a plain request is sent to an engine.
fn is_served(world: &mut World) -> bool {
    let (_, effects) = world.arrive(request("unsafe"));
    effects.iter().any(|it| matches!(it, hollyspoke_gateway::effect::Effect::Send(_)))
}

#[test]
fn expired_entry_removed_early() {
    let mut world = World::new();
    outage(&mut world, Duration::from_secs(5));
    world.event(Event::Listed(Vec::new(), 20.into()));
    world.advance(Duration::from_millis(1900));
    assert!(is_served(&mut world));
    world.advance(Duration::from_millis(150));
    assert!(!is_served(&mut world));
}

#[test]
fn returning_entry_removed() {
    let mut world = World::new();
    outage(&mut world, Duration::from_secs(5));
    world.event(Event::Listed(Vec::new(), 20.into()));
    let back = engines().into_iter().map(|it| EngineChange::Put(it, 21.into())).collect();
    world.event(Event::Changed(back));
    world.advance(Duration::from_secs(3));
    assert!(is_served(&mut world));
}

#[test]
fn removal_applied_immediately() {
    let mut world = World::new();
    outage(&mut world, Duration::from_secs(5));
    let gone = ["engine-1", "engine-2"].map(|it| EngineChange::Left(it.into(), 21.into()));
    world.event(Event::Changed(gone.to_vec()));
    assert!(is_served(&mut world));
    world.advance(Duration::from_millis(2050));
    assert!(!is_served(&mut world));
}

/// A box without the store learns of the expiry from one that reaches the store again.
#[test]
fn removal_applied_during_outage() {
    let mut world = World::new();
    world.event(Event::StoreFailed(Kind::Engines));
    world.advance(Duration::from_secs(5));
    let gone = ["engine-1", "engine-2"].map(|it| EngineChange::Left(it.into(), 21.into()));
    world.event(Event::Changed(gone.to_vec()));
    assert!(is_served(&mut world));
}

#[test]
fn removed_engine_used() {
    let mut world = World::new();
    outage(&mut world, Duration::from_millis(300));
    world.event(Event::Listed(Vec::new(), 20.into()));
    assert!(!is_served(&mut world));
}

/// An entry that was draining before it expired is removed without a delay.
#[test]
fn removed_draining_engine_used() {
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
