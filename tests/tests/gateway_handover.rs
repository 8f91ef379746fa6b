//! The configuration and the list of engines from box to box, where the store does not give them.

use std::sync::Arc;
use std::time::Duration;

use bincode::Options;
use hollyspoke::quota::Limit;
use hollyspoke::store::Revision;
use hollyspoke_gateway::credential::KeyDigest;
use hollyspoke_gateway::customer::{Customer, CustomerKey, Customers, Unit};
use hollyspoke_gateway::effect::{Effect, Refusal};
use hollyspoke_gateway::engine::EngineChange;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::message::{DataCentreKey, StoreView};
use hollyspoke_gateway::region::Homes;
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::snapshot::{Listing, Snapshot, SnapshotRequest};
use hollyspoke_tests::gateway::{
    PLAIN, World, configuration, engine, engines, heartbeat, only_refusal, only_send, request,
    settings,
};

/// What a box knows that follows the store.
const NEWEST: StoreView =
    StoreView { version: 2, revision: Revision::new(0, 12), has_lost_store: false };

/// Gives the usual configuration with the customer `press` and its keys.
fn with_keys(version: u64, keys: &[&[u8]]) -> Event {
    let customer = Customer {
        key: CustomerKey::of("press"),
        name: "press".into(),
        priority: Some(2),
        unit: Unit::Token { plain: 200 },
        limit: Some(Limit { rate: 1e6, burst: 1e6 }),
        homes: Homes::default(),
        credentials: keys.iter().map(|it| KeyDigest::of(it)).collect(),
    };
    let customers = Customers::new(vec![customer]);
    Event::Configured(Arc::new(configuration(version).with_customers(customers)))
}

/// Gives a request with a key.
fn keyed(key: &[u8]) -> Request {
    Request { credential: Some(KeyDigest::of(key)), ..request("safe") }
}

/// Gives what a box hands over that knows the newest version, as it arrives at another.
fn handed_over() -> Event {
    let mut provider = World::numbered(2);
    provider.event(Event::Listed(engines(), 12.into()));
    provider.event(with_keys(2, &[b"newer"]));
    let bytes = bincode::DefaultOptions::new()
        .serialize(&provider.gateway.snapshot(SnapshotRequest::default()));
    let bytes = bytes.expect("it can be written");
    let snapshot: Snapshot = bincode::DefaultOptions::new().deserialize(&bytes).expect("whole");
    Event::SnapshotReceived(settings(2).peer, Box::new(snapshot))
}

/// Lets time pass while another box tells with each heartbeat what it knows; gives the boxes asked.
fn asked(world: &mut World, knowledge: StoreView, beats: u64) -> usize {
    let mut asked = 0;
    for beat in 0..beats {
        world.event(Event::Received(heartbeat(2, 1000 + beat, knowledge)));
        let effects = world.advance(Duration::from_millis(350));
        let provider = settings(2).peer;
        asked += effects.iter().filter(|it| **it == Effect::Fetch(provider)).count();
    }
    asked
}

/// A box that stays behind asks another, and goes on by what it gets: a key taken away is refused.
#[test]
fn behind_for_long() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 10.into()));
    world.event(with_keys(1, &[b"older"]));
    world.event(Event::StoreFailed(Kind::Configuration));
    assert!(asked(&mut world, NEWEST, 4) >= 1);
    only_send(&world.arrive(keyed(b"older")).1);
    world.event(handed_over());
    assert_eq!(world.gateway.version(), Some(2));
    let (_, effects) = world.arrive(keyed(b"older"));
    assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
    only_send(&world.arrive(keyed(b"newer")).1);
}

/// A box that keeps up asks nobody.
#[test]
fn not_behind() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 12.into()));
    world.event(with_keys(2, &[b"newer"]));
    assert_eq!(asked(&mut world, NEWEST, 8), 0);
}

/// A box that starts without the store serves by what another box hands over.
#[test]
fn start_without_store() {
    let mut world = World::unconfigured();
    world.event(Event::StoreFailed(Kind::Configuration));
    world.event(Event::StoreFailed(Kind::Engines));
    assert!(asked(&mut world, NEWEST, 4) >= 1);
    assert!(!world.gateway.is_ready());
    world.event(handed_over());
    assert!(world.gateway.is_ready());
    only_send(&world.arrive(keyed(b"newer")).1);
}

/// What is handed over late, and older than what is known, changes nothing.
#[test]
fn older_is_ignored() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(Vec::new(), 20.into()));
    world.event(with_keys(3, &[b"newest"]));
    world.event(handed_over());
    assert_eq!(world.gateway.version(), Some(3));
    let (_, effects) = world.arrive(keyed(b"newest"));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Send(_))), "no engine is listed");
}

/// A box of the own data centre is asked before those of others.
#[test]
fn near_is_asked() {
    let mut world = World::unconfigured();
    let mut asked = Vec::new();
    for beat in 0..12 {
        for number in 2..8 {
            let mut message = heartbeat(number, 1000 + beat, NEWEST);
            if number != 5 {
                message.data_centre = DataCentreKey::of("south");
            }
            world.event(Event::Received(message));
        }
        let effects = world.advance(Duration::from_millis(350));
        asked.extend(effects.into_iter().filter(|it| matches!(it, Effect::Fetch(_))));
    }
    assert!(!asked.is_empty());
    assert!(asked.iter().all(|it| *it == Effect::Fetch(settings(5).peer)), "{asked:?}");
}

/// A box that knows less is not asked.
#[test]
fn nobody_to_ask() {
    let mut world = World::unconfigured();
    world.event(Event::StoreFailed(Kind::Engines));
    let starting = StoreView::default();
    let mut message = heartbeat(2, 1000, starting);
    message.readiness = hollyspoke_gateway::message::Readiness::Starting;
    world.event(Event::Received(message));
    let effects = world.advance(Duration::from_secs(1));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Fetch(_))));
}

/// Has an engine enter at a box.
fn enter(world: &mut World, number: u8, revision: u64) {
    let change = EngineChange::Put(engine(number, PLAIN, None), revision.into());
    world.event(Event::Changed(vec![change]));
}

/// Boxes that had missed one datagram were handed the whole list, 10,000 engines each time: in the
/// logs of 102 boxes 1,567 lines `snapshot fetched`, evenly to the end. They get what they lack.
#[test]
fn only_what_is_new() {
    let (mut provider, mut behind) = (World::new(), World::numbered(2));
    behind.event(Event::Configured(Arc::new(configuration(1))));
    behind.event(Event::Listed(engines(), 10.into()));
    for number in 31..=35 {
        enter(&mut provider, number, 20 + u64::from(number));
    }
    enter(&mut behind, 31, 51);
    let question = behind.gateway.snapshot_request();
    assert_eq!(question, SnapshotRequest { version: 1, revision: Some(51.into()) });
    let snapshot = provider.gateway.snapshot(question);
    assert_eq!(snapshot.configuration, None);
    let Some(Listing::Changes { changes, revision: Revision { era: 0, number: 55 } }) =
        &snapshot.listing
    else {
        panic!("changes up to 55 in {snapshot:?}");
    };
    assert_eq!(changes.len(), 4);
    behind.event(Event::SnapshotReceived(settings(2).peer, Box::new(snapshot)));
    assert_eq!(behind.gateway.engine_count(), provider.gateway.engine_count());
    assert_eq!(behind.gateway.engine_revision(), 55.into());
    let nothing = provider.gateway.snapshot(behind.gateway.snapshot_request());
    assert_eq!((nothing.configuration, nothing.listing), (None, None));
}

/// What a list has changed is handed on as changes too, also an engine that has left.
#[test]
fn changes_by_a_list() {
    let (mut provider, mut behind) = (World::new(), World::numbered(2));
    behind.event(Event::Configured(Arc::new(configuration(1))));
    behind.event(Event::Listed(engines(), 10.into()));
    let mut listed = engines();
    listed.remove(0);
    listed.push(engine(31, PLAIN, None));
    provider.event(Event::Listed(listed, 40.into()));
    let snapshot = provider.gateway.snapshot(behind.gateway.snapshot_request());
    assert!(matches!(snapshot.listing, Some(Listing::Changes { .. })), "{snapshot:?}");
    behind.event(Event::SnapshotReceived(settings(2).peer, Box::new(snapshot)));
    let list = |world: &World| match world.gateway.snapshot(SnapshotRequest::default()).listing {
        Some(Listing::Whole { mut engines, revision }) => {
            engines.sort_by_key(|it| it.key);
            (engines, revision)
        }
        other => panic!("a whole list: {other:?}"),
    };
    assert_eq!(list(&behind), list(&provider));
}

/// Changes that are forgotten are not passed over: the whole list is handed over then.
#[test]
fn all_where_changes_are_forgotten() {
    let mut provider = World::new();
    let question = SnapshotRequest { version: 1, revision: Some(11.into()) };
    for revision in 11..5_011 {
        enter(&mut provider, 31 + (revision % 200) as u8, revision);
    }
    let snapshot = provider.gateway.snapshot(question);
    assert!(matches!(snapshot.listing, Some(Listing::Whole { .. })));
    let recent = SnapshotRequest { version: 1, revision: Some(5_000.into()) };
    let snapshot = provider.gateway.snapshot(recent);
    let Some(Listing::Changes { changes, .. }) = snapshot.listing else { panic!("changes") };
    assert_eq!(changes.len(), 10);
}
