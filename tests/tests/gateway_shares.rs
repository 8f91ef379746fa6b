//! How many boxes share customers' limits, as one box knows: from hearing, from others and from its
//! settings.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::quota::Limit;
use hollyspoke_gateway::credential::KeyDigest;
use hollyspoke_gateway::customer::{Customer, CustomerKey, Customers, Unit};
use hollyspoke_gateway::effect::{Effect, Refusal};
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::gateway::Gateway;
use hollyspoke_gateway::message::{Message, Readiness, StoreView, Usage};
use hollyspoke_gateway::region::Homes;
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    World, configuration, engines, heartbeat, only_refusal, request, settings,
};

/// The key of the customer.
const KEY: &[u8] = b"press-key";

/// Gives another box's heartbeat that tells how many boxes it knows.
fn beat(number: u8, sequence: u64, peak_boxes: u32) -> Message {
    let usage = Usage { peak_boxes, ..Usage::default() };
    Message { usage, ..heartbeat(number, sequence, StoreView::default()) }
}

/// Lets time pass and gives how many boxes the box tells of in the end.
fn told_boxes(world: &mut World, span: Duration) -> u32 {
    let end = world.now + span;
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

/// Makes a box that has heard nobody and knows a customer of 6,000 tokens a second.
fn lonely(seeds: &[u8], boxes: Option<usize>) -> World {
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
        homes: Homes::default(),
        credentials: vec![KeyDigest::of(KEY)],
    };
    let configuration = configuration(1).with_customers(Customers::new(vec![customer]));
    world.event(Event::Configured(Arc::new(configuration)));
    world
}

/// Gives a request of the customer.
fn keyed() -> Request {
    Request { credential: Some(KeyDigest::of(KEY)), ..request("once") }
}

/// Has a request of the customer refused; gives the time after which it may come back.
fn over_limit(world: &mut World) -> Duration {
    match only_refusal(&world.arrive(keyed()).1) {
        Refusal::OverLimit(_, wait) => wait,
        other => panic!("{other:?}"),
    }
}

/// A box that starts in a part that is cut off learns from the boxes there how many there are, and
/// tells those that start after it.
#[test]
fn learned_from_others() {
    let mut world = World::new();
    world.event(Event::Received(beat(2, 1, 78)));
    assert_eq!(told_boxes(&mut world, Duration::from_millis(400)), 78);
}

/// A box that was stopped in order serves nobody and is not counted; it is when it comes back.
#[test]
fn stopped_in_order() {
    let mut world = World::new();
    world.event(Event::Received(beat(2, 1, 0)));
    world.event(Event::Received(beat(3, 1, 0)));
    assert_eq!(told_boxes(&mut world, Duration::from_millis(400)), 3);
    let stopping = Message { readiness: Readiness::Stopping, ..beat(3, 2, 0) };
    world.event(Event::Received(stopping));
    world.event(Event::Received(beat(2, 2, 0)));
    assert_eq!(told_boxes(&mut world, Duration::from_secs(2)), 2);
    let again = Message { incarnation: 2, ..beat(3, 1, 0) };
    world.event(Event::Received(again));
    assert_eq!(told_boxes(&mut world, Duration::from_millis(400)), 3);
}

/// One that fell silent may have been cut off, and goes on serving.
#[test]
fn silent_is_counted() {
    let mut world = World::new();
    world.event(Event::Received(beat(2, 1, 0)));
    assert_eq!(told_boxes(&mut world, Duration::from_secs(5)), 2);
}

/// Long after they were stopped, boxes are forgotten and not counted again.
#[test]
fn stopped_long_ago() {
    let mut world = World::new();
    world.event(Event::Received(beat(2, 1, 40)));
    let stopping = Message { readiness: Readiness::Stopping, ..beat(2, 2, 40) };
    world.event(Event::Received(stopping));
    assert_eq!(told_boxes(&mut world, Duration::from_secs(70)), 39);
}

/// A box that has heard nobody although others are named takes a part that is surely small.
#[test]
fn nobody_heard() {
    let settled = |seeds: &[u8], boxes| {
        let mut world = lonely(seeds, boxes);
        world.advance(Duration::from_secs(2));
        world
    };
    let wait = over_limit(&mut settled(&[2, 3], None));
    assert_eq!(wait, Duration::from_secs(10));
    settled(&[], None).first_call(keyed());
    settled(&[2, 3], Some(1)).first_call(keyed());
}

/// A box that has just started hears others within some tenths of a second: clients that it refuses
/// meanwhile are told to come back then.
#[test]
fn nobody_heard_yet() {
    let mut world = lonely(&[2, 3], None);
    world.advance(Duration::from_millis(50));
    let wait = over_limit(&mut world);
    assert!((250..=400).contains(&wait.as_millis()), "{wait:?}");
    world.event(Event::Received(beat(2, 1, 2)));
    world.advance(Duration::from_millis(300));
    world.first_call(keyed());
}
