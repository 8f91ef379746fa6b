//! A store that comes back from an older copy, as one box's reducer sees it.

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

/// The last revision that was read before the return.
const LOST: Revision = Revision::new(1, 40);

/// The revision of the first list after it.
const COPY: Revision = Revision::new(2, 20);

/// How long an engine is doubted that had left, with a margin.
const DOUBTED: Duration = Duration::from_millis(5100);

/// How long an evacuation holds that the copy lacks, with a margin.
const HELD: Duration = Duration::from_millis(30_100);

/// Gives the first plain engine in a life.
fn first(born: u64) -> Engine {
    Engine { started_at: Some(born), ..engine(1, PLAIN, None) }
}

/// Gives the first plain engine as it is about to leave.
fn leaving(born: u64) -> Engine {
    Engine { is_draining: true, ..first(born) }
}

/// Gives both plain engines.
fn both(first: Engine) -> Vec<Engine> {
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

/// Has an engine's entry change.
fn put(world: &mut World, engine: Engine, revision: Revision) {
    world.event(Event::Changed(vec![EngineChange::Put(engine, revision)]));
}

/// Has the store come back with a list.
fn come_back(world: &mut World, engines: Vec<Engine>) -> Vec<Effect> {
    let mut effects = world.event(Event::StoreEra(COPY.era));
    effects.extend(world.event(Event::Listed(engines, COPY)));
    effects
}

/// Gives a box an event, and gives all that follows.
fn step(world: &mut World, event: Event) -> Vec<Effect> {
    world.gateway.step(world.now, event)
}

/// Tells whether the first plain engine is sent to.
fn is_used(world: &mut World) -> bool {
    (0..6).any(|_| {
        let (flight, effects) = world.arrive(request("safe"));
        let used = effects.iter().any(
            |it| matches!(it, Effect::Send(send) if send.engine.key == engine(1, PLAIN, None).key),
        );
        world.event(Event::ClientDisconnected(flight));
        used
    })
}

/// A list with lower numbers was dropped, and each change that followed until they had passed.
#[test]
fn lower_numbers_of_a_later_era_are_taken() {
    let mut world = world(both(first(100)));
    put(&mut world, first(100), LOST);
    come_back(&mut world, both(first(100)));
    assert_eq!(world.gateway.engine_revision(), COPY);
    assert!(is_used(&mut world));
    put(&mut world, leaving(100), Revision::new(2, 21));
    assert!(!is_used(&mut world));
}

/// What an earlier era told comes late and changes nothing.
#[test]
fn an_earlier_era_changes_nothing() {
    let mut world = world(both(first(100)));
    come_back(&mut world, both(leaving(100)));
    let effects = step(&mut world, Event::Listed(both(first(100)), Revision::new(1, 90)));
    let is_dropped = |it: &Effect| matches!(it, Effect::Log(LogEvent::ListDropped { .. }));
    assert!(effects.iter().any(is_dropped));
    put(&mut world, first(100), Revision::new(1, 91));
    world.event(Event::StoreEra(1));
    assert_eq!(world.gateway.store_era(), 2);
    assert!(!is_used(&mut world));
}

/// The copy is from before the engine said that it leaves.
#[test]
fn leaving_outlives_the_copy() {
    let mut world = world(both(first(100)));
    put(&mut world, leaving(100), LOST);
    come_back(&mut world, both(first(100)));
    assert!(!is_used(&mut world));
    world.advance(DOUBTED);
    assert!(!is_used(&mut world));
    put(&mut world, first(200), Revision::new(2, 25));
    assert!(is_used(&mut world));
}

/// The copy still lists an engine that has left: it is not sent to unless it is still there once its
/// entry would have lapsed.
#[test]
fn an_engine_that_has_left_is_doubted() {
    for lapses in [false, true] {
        let mut world = world(both(first(100)));
        world.event(Event::Changed(vec![EngineChange::Left(first(100).id, LOST)]));
        come_back(&mut world, both(first(100)));
        assert!(!is_used(&mut world));
        if lapses {
            let gone = EngineChange::Left(first(100).id, Revision::new(2, 30));
            world.event(Event::Changed(vec![gone]));
        }
        world.advance(DOUBTED);
        assert_eq!(is_used(&mut world), !lapses);
    }
}

/// The engine writes its entry after the return: it lives.
#[test]
fn an_entry_written_since_is_believed() {
    let mut world = world(both(first(100)));
    world.event(Event::Changed(vec![EngineChange::Left(first(100).id, LOST)]));
    come_back(&mut world, both(first(100)));
    put(&mut world, Engine { slots: 9, ..first(100) }, Revision::new(2, 22));
    assert!(is_used(&mut world));
}

/// The copy is from before the engine entered: it has two seconds to enter again.
#[test]
fn an_engine_that_the_copy_lacks_stays_for_a_while() {
    let mut world = world(both(first(100)));
    come_back(&mut world, vec![engine(2, PLAIN, None)]);
    assert!(is_used(&mut world));
    world.advance(Duration::from_millis(2100));
    assert!(!is_used(&mut world));
}

/// An older life in the copy does not take the place of the later one.
#[test]
fn an_older_life_is_not_brought_back() {
    let mut world = world(both(first(200)));
    come_back(&mut world, both(leaving(100)));
    assert!(is_used(&mut world));
}

/// Gives a datagram with changes that another box has read.
fn news(since: Revision, changes: Vec<EngineChange>) -> Event {
    let knowledge = StoreView { version: 1, revision: COPY, has_lost_store: false };
    let engine_update = Some(Box::new(EngineUpdate { since, changes }));
    Event::Received(Message { engine_update, era: COPY.era, ..heartbeat(2, 1000, knowledge) })
}

/// Whether changes to another era's list are taken that were told by a box which knew as much as this
/// one, or less.
#[test]
fn changes_into_an_era_need_the_same_beginning() {
    for (known, is_same) in [(LOST, true), (Revision::new(1, 41), false)] {
        let mut world = world(both(first(100)));
        put(&mut world, first(100), known);
        let effects = world.event(news(LOST, vec![EngineChange::Put(leaving(100), COPY)]));
        assert_eq!(world.gateway.store_era(), COPY.era);
        let asks = effects.iter().any(|it| matches!(it, Effect::Fetch(_)));
        assert_eq!(asks, !is_same);
        assert_eq!(is_used(&mut world), !is_same);
    }
}

/// A box hands on what leads to the list of the present era, and a whole list to those that know
/// another end of the one before.
#[test]
fn handed_over_from_an_earlier_era() {
    let mut provider = world(both(first(100)));
    put(&mut provider, Engine { slots: 4, ..first(100) }, LOST);
    come_back(&mut provider, both(leaving(100)));
    let ask =
        |it| provider.gateway.snapshot(SnapshotRequest { version: 1, revision: Some(it) }).listing;
    let is_changes = |it: Revision| {
        matches!(ask(it), Some(hollyspoke_gateway::snapshot::Listing::Changes { .. }))
    };
    assert!(is_changes(LOST));
    assert!(is_changes(COPY) || ask(COPY).is_none());
    for other in [Revision::new(1, 39), Revision::new(1, 50), Revision::new(2, 19)] {
        assert!(!is_changes(other), "{other}");
        assert!(ask(other).is_some(), "{other}");
    }
}

/// Has a box read which data centres are evacuated.
fn evacuate(world: &mut World, data_centres: &[&str], revision: Revision) {
    let data_centres: BTreeSet<Arc<str>> = data_centres.iter().map(|&it| it.into()).collect();
    world.event(Event::Evacuated(Evacuation { revision, data_centres }));
}

/// The copy is from before an evacuation: it holds until whoever asked for it asks again, or for half a
/// minute.
#[test]
fn an_evacuation_outlives_the_copy() {
    for is_rewritten in [true, false] {
        let mut world = world(both(first(100)));
        evacuate(&mut world, &["north"], LOST);
        world.event(Event::StoreEra(COPY.era));
        evacuate(&mut world, &[], COPY);
        assert!(!is_used(&mut world));
        if is_rewritten {
            let begun = Change::Begun("north".into());
            world.event(Event::EvacuationChanged(vec![begun], Revision::new(2, 25)));
        }
        world.advance(HELD);
        assert_eq!(is_used(&mut world), !is_rewritten);
        let lifted = Change::Lifted("north".into());
        world.event(Event::EvacuationChanged(vec![lifted], Revision::new(2, 30)));
        assert!(is_used(&mut world));
    }
}

/// The copy is from before an evacuation was lifted, which is written again.
#[test]
fn an_evacuation_that_the_copy_has_is_lifted_again() {
    let mut world = world(both(first(100)));
    evacuate(&mut world, &[], LOST);
    world.event(Event::StoreEra(COPY.era));
    evacuate(&mut world, &["north"], COPY);
    assert!(!is_used(&mut world));
    let lifted = Change::Lifted("north".into());
    world.event(Event::EvacuationChanged(vec![lifted], Revision::new(2, 21)));
    assert!(is_used(&mut world));
}

/// A box that follows the store reads all kinds at once, and says so; one that has read nothing in an
/// earlier era has lost nothing.
#[test]
fn a_return_is_noticed_once() {
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
