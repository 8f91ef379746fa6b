//! Snapshots of the configuration and the engines between boxes, used when the store is unavailable.

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
use hollyspoke_gateway::region::AllowedRegions;
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::snapshot::{Listing, Snapshot, SnapshotRequest};
use hollyspoke_tests::gateway::{
    PLAIN, World, configuration, engine, engines, heartbeat, only_refusal, only_send, request,
    settings,
};

/// The view of a box that follows the store.
const NEWEST_VIEW: StoreView =
    StoreView { version: 2, revision: Revision::new(0, 12), has_lost_store: false };

/// Returns the usual configuration with the customer `press` and its keys.
fn with_keys(version: u64, keys: &[&[u8]]) -> Event {
    let customer = Customer {
        key: CustomerKey::of("press"),
        name: "press".into(),
        priority: Some(2),
        unit: Unit::Token { plain: 200 },
        limit: Some(Limit { rate: 1e6, burst: 1e6 }),
        allowed_regions: AllowedRegions::default(),
        credentials: keys.iter().map(|it| KeyDigest::of(it)).collect(),
    };
    let customers = Customers::new(vec![customer]);
    Event::Configured(Arc::new(configuration(version).with_customers(customers)))
}

/// Returns a request with a key.
fn request_with_key(key: &[u8]) -> Request {
    Request { credential: Some(KeyDigest::of(key)), ..request("safe") }
}

/// Returns the snapshot of a box with the newest version, as received by another.
fn snapshot_event() -> Event {
    let mut provider = World::numbered(2);
    provider.event(Event::Listed(engines(), 12.into()));
    provider.event(with_keys(2, &[b"newer"]));
    let bytes = bincode::DefaultOptions::new()
        .serialize(&provider.gateway.snapshot(SnapshotRequest::default()));
    let bytes = bytes.expect("it can be written");
    let snapshot: Snapshot = bincode::DefaultOptions::new().deserialize(&bytes).expect("whole");
    Event::SnapshotReceived(settings(2).peer, Box::new(snapshot))
}

/// Lets time pass with heartbeats of another box; returns how often that box is asked for a snapshot.
fn fetch_count(world: &mut World, store_view: StoreView, beats: u64) -> usize {
    let mut fetch_count = 0;
    for beat in 0..beats {
        world.event(Event::Received(heartbeat(2, 1000 + beat, store_view)));
        let effects = world.advance(Duration::from_millis(350));
        let provider = settings(2).peer;
        fetch_count += effects.iter().filter(|it| **it == Effect::Fetch(provider)).count();
    }
    fetch_count
}

/// A box with a stale configuration has to fetch a snapshot, and then refuse a revoked key.
#[test]
fn stale_box_keeps_key() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 10.into()));
    world.event(with_keys(1, &[b"older"]));
    world.event(Event::StoreFailed(Kind::Configuration));
    assert!(fetch_count(&mut world, NEWEST_VIEW, 4) >= 1);
    only_send(&world.arrive(request_with_key(b"older")).1);
    world.event(snapshot_event());
    assert_eq!(world.gateway.version(), Some(2));
    let (_, effects) = world.arrive(request_with_key(b"older"));
    assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
    only_send(&world.arrive(request_with_key(b"newer")).1);
}

/// A box that is up to date must not ask for snapshots.
#[test]
fn current_box_fetches() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 12.into()));
    world.event(with_keys(2, &[b"newer"]));
    assert_eq!(fetch_count(&mut world, NEWEST_VIEW, 8), 0);
}

/// A box that starts without the store serves with the snapshot of another box.
#[test]
fn start_fails_without_store() {
    let mut world = World::unconfigured();
    world.event(Event::StoreFailed(Kind::Configuration));
    world.event(Event::StoreFailed(Kind::Engines));
    assert!(fetch_count(&mut world, NEWEST_VIEW, 4) >= 1);
    assert!(!world.gateway.is_ready());
    world.event(snapshot_event());
    assert!(world.gateway.is_ready());
    only_send(&world.arrive(request_with_key(b"newer")).1);
}

/// A snapshot that is older than what is known must change nothing.
#[test]
fn older_snapshot_applied() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(Vec::new(), 20.into()));
    world.event(with_keys(3, &[b"newest"]));
    world.event(snapshot_event());
    assert_eq!(world.gateway.version(), Some(3));
    let (_, effects) = world.arrive(request_with_key(b"newest"));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Send(_))), "no engine is listed");
}

/// A box of the local data centre is asked before remote ones.
#[test]
fn remote_box_preferred() {
    let mut world = World::unconfigured();
    let mut fetch_count = Vec::new();
    for beat in 0..12 {
        for number in 2..8 {
            let mut message = heartbeat(number, 1000 + beat, NEWEST_VIEW);
            if number != 5 {
                message.data_centre = DataCentreKey::of("south");
            }
            world.event(Event::Received(message));
        }
        let effects = world.advance(Duration::from_millis(350));
        fetch_count.extend(effects.into_iter().filter(|it| matches!(it, Effect::Fetch(_))));
    }
    assert!(!fetch_count.is_empty());
    assert!(fetch_count.iter().all(|it| *it == Effect::Fetch(settings(5).peer)), "{fetch_count:?}");
}

/// A box that knows less must not be asked.
#[test]
fn uninformed_box_asked() {
    let mut world = World::unconfigured();
    world.event(Event::StoreFailed(Kind::Engines));
    let starting = StoreView::default();
    let mut message = heartbeat(2, 1000, starting);
    message.readiness = hollyspoke_gateway::message::Readiness::Starting;
    world.event(Event::Received(message));
    let effects = world.advance(Duration::from_secs(1));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Fetch(_))));
}

/// Adds an engine to a box.
fn put_engine(world: &mut World, number: u8, revision: u64) {
    let change = EngineChange::Put(engine(number, PLAIN, None), revision.into());
    world.event(Event::Changed(vec![change]));
}

/// Boxes that missed one datagram got the whole list of 10,000 engines, 1,567 times at 102 boxes,
/// instead of the changes that they lacked.
#[test]
fn whole_list_sent() {
    let (mut provider, mut behind) = (World::new(), World::numbered(2));
    behind.event(Event::Configured(Arc::new(configuration(1))));
    behind.event(Event::Listed(engines(), 10.into()));
    for number in 31..=35 {
        put_engine(&mut provider, number, 20 + u64::from(number));
    }
    put_engine(&mut behind, 31, 51);
    let snapshot_request = behind.gateway.snapshot_request();
    assert_eq!(snapshot_request, SnapshotRequest { version: 1, revision: Some(51.into()) });
    let snapshot = provider.gateway.snapshot(snapshot_request);
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

/// Changes that a list brought have to be in snapshots too, also the departure of an engine.
#[test]
fn list_changes_lost() {
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

/// If older changes are forgotten, the snapshot has to contain the whole list.
#[test]
fn forgotten_changes_skipped() {
    let mut provider = World::new();
    let snapshot_request = SnapshotRequest { version: 1, revision: Some(11.into()) };
    for revision in 11..5_011 {
        put_engine(&mut provider, 31 + (revision % 200) as u8, revision);
    }
    let snapshot = provider.gateway.snapshot(snapshot_request);
    assert!(matches!(snapshot.listing, Some(Listing::Whole { .. })));
    let recent = SnapshotRequest { version: 1, revision: Some(5_000.into()) };
    let snapshot = provider.gateway.snapshot(recent);
    let Some(Listing::Changes { changes, .. }) = snapshot.listing else { panic!("changes") };
    assert_eq!(changes.len(), 10);
}
