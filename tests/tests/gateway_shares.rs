//! How many boxes share customers' limits, as one box knows from heartbeats, announcements and settings.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::quota::Limit;
use hollyspoke_gateway::credential::KeyDigest;
use hollyspoke_gateway::customer::{Customer, CustomerKey, Customers, Unit};
use hollyspoke_gateway::effect::{Effect, Refusal};
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::gateway::Gateway;
use hollyspoke_gateway::message::{Message, Readiness, StoreView, Usage};
use hollyspoke_gateway::region::AllowedRegions;
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    World, configuration, engines, heartbeat, only_refusal, request, settings,
};

/// The key of the customer.
const CUSTOMER_KEY: &[u8] = b"press-key";

/// Returns another box's heartbeat with the number of boxes that it knows.
fn heartbeat_with_count(number: u8, sequence: u64, peak_boxes: u32) -> Message {
    let usage = Usage { peak_boxes, ..Usage::default() };
    Message { usage, ..heartbeat(number, sequence, StoreView::default()) }
}

/// Lets time pass and returns the number of boxes that the box last announces.
fn announced_box_count(world: &mut World, duration: Duration) -> u32 {
    let end = world.now + duration;
    let mut boxes = None;
    while world.now < end {
        world.now = world.now + Duration::from_millis(10);
        for effect in world.gateway.step(world.now, Event::Tick) {
            if let Effect::Announce(_, message) = effect {
                boxes = Some(message.usage.peak_boxes);
            }
        }
    }
    boxes.expect("a heartbeat")
}

/// Makes a box without peers that knows a customer of 6,000 tokens a second.
fn isolated_world(seeds: &[u8], boxes: Option<usize>) -> World {
    let mut world = World::unconfigured();
    let mut own = settings(1);
    own.boxes = boxes;
    world.gateway = Gateway::new(own);
    let seeds = seeds.iter().map(|&it| settings(it).peer).collect();
    world.event(Event::Seeds(seeds));
    world.event(Event::Listed(engines(), 10.into()));
    let customer = Customer {
        key: CustomerKey::of("press"),
        name: "press".into(),
        priority: None,
        unit: Unit::Token { plain: 200 },
        limit: Some(Limit { rate: 6000.0, burst: 6000.0 }),
        allowed_regions: AllowedRegions::default(),
        credentials: vec![KeyDigest::of(CUSTOMER_KEY)],
    };
    let configuration = configuration(1).with_customers(Customers::new(vec![customer]));
    world.event(Event::Configured(Arc::new(configuration)));
    world
}

/// Returns a request of the customer.
fn request_with_key() -> Request {
    Request { credential: Some(KeyDigest::of(CUSTOMER_KEY)), ..request("once") }
}

/// Sends a request that is refused; returns its retry time.
fn over_limit(world: &mut World) -> Duration {
    match only_refusal(&world.arrive(request_with_key()).1) {
        Refusal::OverLimit(_, wait) => wait,
        other => panic!("{other:?}"),
    }
}

/// A box that starts in a partition has to learn the number of boxes from its peers, and to announce
/// it to later ones.
#[test]
fn peer_count_ignored() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat_with_count(2, 1, 78)));
    assert_eq!(announced_box_count(&mut world, Duration::from_millis(400)), 78);
}

/// A box that stops in order must not be counted until it returns.
#[test]
fn stopped_box_counted() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat_with_count(2, 1, 0)));
    world.event(Event::Received(heartbeat_with_count(3, 1, 0)));
    assert_eq!(announced_box_count(&mut world, Duration::from_millis(400)), 3);
    let stopping = Message { readiness: Readiness::Stopping, ..heartbeat_with_count(3, 2, 0) };
    world.event(Event::Received(stopping));
    world.event(Event::Received(heartbeat_with_count(2, 2, 0)));
    assert_eq!(announced_box_count(&mut world, Duration::from_secs(2)), 2);
    let again = Message { incarnation: 2, ..heartbeat_with_count(3, 1, 0) };
    world.event(Event::Received(again));
    assert_eq!(announced_box_count(&mut world, Duration::from_millis(400)), 3);
}

/// A silent box has to be counted, as it may be partitioned and still serve.
#[test]
fn silent_box_uncounted() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat_with_count(2, 1, 0)));
    assert_eq!(announced_box_count(&mut world, Duration::from_secs(5)), 2);
}

/// Boxes that stopped long ago are forgotten and must not be counted again.
#[test]
fn forgotten_box_counted() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat_with_count(2, 1, 40)));
    let stopping = Message { readiness: Readiness::Stopping, ..heartbeat_with_count(2, 2, 40) };
    world.event(Event::Received(stopping));
    assert_eq!(announced_box_count(&mut world, Duration::from_secs(70)), 39);
}

/// A box that has received nothing although its settings name others must use a small share only.
#[test]
fn isolated_box_overspends() {
    let settled = |seeds: &[u8], boxes| {
        let mut world = isolated_world(seeds, boxes);
        world.advance(Duration::from_secs(2));
        world
    };
    let wait = over_limit(&mut settled(&[2, 3], None));
    assert_eq!(wait, Duration::from_secs(10));
    settled(&[], None).first_call(request_with_key());
    settled(&[2, 3], Some(1)).first_call(request_with_key());
}

/// A box that has just started receives heartbeats within some tenths of a second: clients that it
/// refuses before get a retry time that short.
#[test]
fn early_retry_delayed() {
    let mut world = isolated_world(&[2, 3], None);
    world.advance(Duration::from_millis(50));
    let wait = over_limit(&mut world);
    assert!((250..=400).contains(&wait.as_millis()), "{wait:?}");
    world.event(Event::Received(heartbeat_with_count(2, 1, 2)));
    world.advance(Duration::from_millis(300));
    world.first_call(request_with_key());
}
