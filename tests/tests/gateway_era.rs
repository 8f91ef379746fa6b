//! A store that is restored from an older copy, as seen by one box.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke_gateway::effect::{Effect, LogEvent};
use hollyspoke_gateway::engine::{Engine, EngineChange};
use hollyspoke_gateway::evacuation::{Change, Evacuation};
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::message::{EngineUpdate, Message, StoreView};
use hollyspoke_gateway::snapshot::SnapshotRequest;
use hollyspoke_tests::gateway::{PLAIN, World, configuration, engine, engines, heartbeat, request};

/// The last revision that was read before the restore.
const LAST_REVISION: Revision = Revision::new(1, 40);

/// The revision of the first list after the restore.
const RESTORED_REVISION: Revision = Revision::new(2, 20);

/// How long an engine that had left stays unused, with a margin.
const DEPARTURE_MEMORY: Duration = Duration::from_millis(5100);

/// How long an evacuation that the copy lacks stays in force, with a margin.
const EVACUATION_MEMORY: Duration = Duration::from_millis(30_100);

/// Returns the first plain engine with a start time.
fn first(born: u64) -> Engine {
    Engine { started_at: Some(born), ..engine(1, PLAIN, None) }
}

/// Returns the first plain engine while it drains.
fn draining(born: u64) -> Engine {
    Engine { is_draining: true, ..first(born) }
}

/// Returns both plain engines.
fn plain_engines(first: Engine) -> Vec<Engine> {
    vec![first, engine(2, PLAIN, None)]
}

/// Makes a box in the first era that knows engines.
fn world(engines: Vec<Engine>) -> World {
    let mut world = World::unconfigured();
    world.event(Event::StoreEra(1));
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines, Revision::new(1, 30)));
    world.event(Event::StoreAnswered(Kind::Engines));
    world
}

/// Changes an engine's entry.
fn put(world: &mut World, engine: Engine, revision: Revision) {
    world.event(Event::Changed(vec![EngineChange::Put(engine, revision)]));
}

/// Restores the store with a list.
fn restore_store(world: &mut World, engines: Vec<Engine>) -> Vec<Effect> {
    let mut effects = world.event(Event::StoreEra(RESTORED_REVISION.era));
    effects.extend(world.event(Event::Listed(engines, RESTORED_REVISION)));
    effects
}

/// Applies an event to a box, and returns its effects.
fn step(world: &mut World, event: Event) -> Vec<Effect> {
    world.gateway.step(world.now, event)
}

/// Returns whether requests are sent to the first plain engine.
fn is_used(world: &mut World) -> bool {
    (0..6).any(|_| {
        let (request_key, effects) = world.arrive(request("safe"));
        let used = effects.iter().any(
            |it| matches!(it, Effect::Send(send) if send.engine.key == engine(1, PLAIN, None).key),
        );
        world.event(Event::ClientDisconnected(request_key));
        used
    })
}

/// A list with lower revisions was dropped, and so was each change until the old revision was passed.
#[test]
fn lower_revision_ignored() {
    let mut world = world(plain_engines(first(100)));
    put(&mut world, first(100), LAST_REVISION);
    restore_store(&mut world, plain_engines(first(100)));
    assert_eq!(world.gateway.engine_revision(), RESTORED_REVISION);
    assert!(is_used(&mut world));
    put(&mut world, draining(100), Revision::new(2, 21));
    assert!(!is_used(&mut world));
}

/// Late events of an earlier era must change nothing.
#[test]
fn earlier_era_applied() {
    let mut world = world(plain_engines(first(100)));
    restore_store(&mut world, plain_engines(draining(100)));
    let effects = step(&mut world, Event::Listed(plain_engines(first(100)), Revision::new(1, 90)));
    let is_dropped = |it: &Effect| matches!(it, Effect::Log(LogEvent::ListDropped { .. }));
    assert!(effects.iter().any(is_dropped));
    put(&mut world, first(100), Revision::new(1, 91));
    world.event(Event::StoreEra(1));
    assert_eq!(world.gateway.store_era(), 2);
    assert!(!is_used(&mut world));
}

/// The copy is older than the engine's draining state, which must not be lost.
#[test]
fn draining_state_lost() {
    let mut world = world(plain_engines(first(100)));
    put(&mut world, draining(100), LAST_REVISION);
    restore_store(&mut world, plain_engines(first(100)));
    assert!(!is_used(&mut world));
    world.advance(DEPARTURE_MEMORY);
    assert!(!is_used(&mut world));
    put(&mut world, first(200), Revision::new(2, 25));
    assert!(is_used(&mut world));
}

/// The copy still lists an engine that has left: nothing is sent to it until its entry would have
/// expired and is still there.
#[test]
fn departed_engine_used() {
    for expires in [false, true] {
        let mut world = world(plain_engines(first(100)));
        world.event(Event::Changed(vec![EngineChange::Left(first(100).id, LAST_REVISION)]));
        restore_store(&mut world, plain_engines(first(100)));
        assert!(!is_used(&mut world));
        if expires {
            let gone = EngineChange::Left(first(100).id, Revision::new(2, 30));
            world.event(Event::Changed(vec![gone]));
        }
        world.advance(DEPARTURE_MEMORY);
        assert_eq!(is_used(&mut world), !expires);
    }
}

/// An engine that writes its entry after the restore is alive.
#[test]
fn rewritten_entry_ignored() {
    let mut world = world(plain_engines(first(100)));
    world.event(Event::Changed(vec![EngineChange::Left(first(100).id, LAST_REVISION)]));
    restore_store(&mut world, plain_engines(first(100)));
    put(&mut world, Engine { slots: 9, ..first(100) }, Revision::new(2, 22));
    assert!(is_used(&mut world));
}

/// The copy is older than the engine's entry: the engine has two seconds to write it again.
#[test]
fn missing_engine_dropped_early() {
    let mut world = world(plain_engines(first(100)));
    restore_store(&mut world, vec![engine(2, PLAIN, None)]);
    assert!(is_used(&mut world));
    world.advance(Duration::from_millis(2100));
    assert!(!is_used(&mut world));
}

/// An older incarnation in the copy must not replace the later one.
#[test]
fn older_incarnation_restored() {
    let mut world = world(plain_engines(first(200)));
    restore_store(&mut world, plain_engines(draining(100)));
    assert!(is_used(&mut world));
}

/// Returns a datagram with changes that another box has read.
fn engine_update_event(since: Revision, changes: Vec<EngineChange>) -> Event {
    let store_view = StoreView { version: 1, revision: RESTORED_REVISION, has_lost_store: false };
    let engine_update = Some(Box::new(EngineUpdate { since, changes }));
    Event::Received(Message {
        engine_update,
        era: RESTORED_REVISION.era,
        ..heartbeat(2, 1000, store_view)
    })
}

/// Announced changes into a later era may be applied only if the sender began at the same revision
/// as this box.
#[test]
fn mismatched_changes_applied() {
    for (known, is_same) in [(LAST_REVISION, true), (Revision::new(1, 41), false)] {
        let mut world = world(plain_engines(first(100)));
        put(&mut world, first(100), known);
        let effects = world.event(engine_update_event(
            LAST_REVISION,
            vec![EngineChange::Put(draining(100), RESTORED_REVISION)],
        ));
        assert_eq!(world.gateway.store_era(), RESTORED_REVISION.era);
        let asks = effects.iter().any(|it| matches!(it, Effect::Fetch(_)));
        assert_eq!(asks, !is_same);
        assert_eq!(is_used(&mut world), !is_same);
    }
}

/// A snapshot has changes into the present era only for boxes that ended the earlier era at the same
/// revision, and the whole list for others.
#[test]
fn wrong_era_snapshot() {
    let mut provider = world(plain_engines(first(100)));
    put(&mut provider, Engine { slots: 4, ..first(100) }, LAST_REVISION);
    restore_store(&mut provider, plain_engines(draining(100)));
    let ask =
        |it| provider.gateway.snapshot(SnapshotRequest { version: 1, revision: Some(it) }).listing;
    let is_changes = |it: Revision| {
        matches!(ask(it), Some(hollyspoke_gateway::snapshot::Listing::Changes { .. }))
    };
    assert!(is_changes(LAST_REVISION));
    assert!(is_changes(RESTORED_REVISION) || ask(RESTORED_REVISION).is_none());
    for other in [Revision::new(1, 39), Revision::new(1, 50), Revision::new(2, 19)] {
        assert!(!is_changes(other), "{other}");
        assert!(ask(other).is_some(), "{other}");
    }
}

/// Applies the evacuated data centres to a box.
fn evacuate(world: &mut World, data_centres: &[&str], revision: Revision) {
    let data_centres: BTreeSet<Arc<str>> = data_centres.iter().map(|&it| it.into()).collect();
    world.event(Event::Evacuated(Evacuation { revision, data_centres }));
}

/// An evacuation that the copy lacks stays in force until it is written again, or for half a
/// minute.
#[test]
fn evacuation_lost() {
    for is_rewritten in [true, false] {
        let mut world = world(plain_engines(first(100)));
        evacuate(&mut world, &["north"], LAST_REVISION);
        world.event(Event::StoreEra(RESTORED_REVISION.era));
        evacuate(&mut world, &[], RESTORED_REVISION);
        assert!(!is_used(&mut world));
        if is_rewritten {
            let begun = Change::Begun("north".into());
            world.event(Event::EvacuationChanged(vec![begun], Revision::new(2, 25)));
        }
        world.advance(EVACUATION_MEMORY);
        assert_eq!(is_used(&mut world), !is_rewritten);
        let lifted = Change::Lifted("north".into());
        world.event(Event::EvacuationChanged(vec![lifted], Revision::new(2, 30)));
        assert!(is_used(&mut world));
    }
}

/// The copy is older than the lifting of an evacuation, which is written again.
#[test]
fn lifted_evacuation_stays() {
    let mut world = world(plain_engines(first(100)));
    evacuate(&mut world, &[], LAST_REVISION);
    world.event(Event::StoreEra(RESTORED_REVISION.era));
    evacuate(&mut world, &["north"], RESTORED_REVISION);
    assert!(!is_used(&mut world));
    let lifted = Change::Lifted("north".into());
    world.event(Event::EvacuationChanged(vec![lifted], Revision::new(2, 21)));
    assert!(is_used(&mut world));
}

/// A box that follows the store detects a restore once and reads all kinds; a box that has read
/// nothing in an earlier era has lost nothing.
#[test]
fn restore_detected_twice() {
    let returned = |effects: &[Effect]| {
        effects.iter().any(|it| matches!(it, Effect::Log(LogEvent::StoreReturned { .. })))
    };
    let mut world = world(engines());
    world.advance(Duration::from_secs(1));
    let effects = step(&mut world, Event::StoreEra(2));
    assert!(returned(&effects));
    let reads = effects.iter().filter(|it| matches!(it, Effect::Read(_))).count();
    assert_eq!(reads, 3);
    assert!(!returned(&step(&mut world, Event::StoreEra(2))));
    let mut new = World::unconfigured();
    assert!(!returned(&step(&mut new, Event::StoreEra(7))));
}
