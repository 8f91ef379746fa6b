//! Requests that may be served in some regions only: where their calls are sent, and which boxes
//! clients are given.
//!
//! If the regions of routes and customers are ignored, a call is sent wherever an engine is free, and
//! clients are given the boxes of all regions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::credential::KeyDigest;
use hollyspoke_gateway::customer::{Customer, CustomerKey, Customers, Unit};
use hollyspoke_gateway::effect::{Effect, NotRunReason, Refusal};
use hollyspoke_gateway::engine::{Engine, EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::{DataCentreKey, Message, StoreView};
use hollyspoke_gateway::region::{AllowedRegions, Regions};
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::route::{Route, RouteKind};
use hollyspoke_tests::gateway::{
    MODEL, PLAIN, World, configuration_of, engine, heartbeat, only_refusal, only_send, ran,
    rejected, request, route, settings,
};

/// The key of the customer whose requests stay in the region `cold`.
const CUSTOMER_KEY: &[u8] = b"museum-key";

/// Returns the regions: `north` and `south` lie in `cold` and `warm`, `south-2` in `warm` too.
fn regions() -> Regions {
    let pairs = [("north", "cold"), ("south", "warm"), ("south-2", "warm")];
    Regions::new(pairs.map(|(data_centre, region)| (data_centre.into(), region.into())))
}

/// Returns the given regions as homes.
fn homes(names: &[&str]) -> AllowedRegions {
    AllowedRegions::new(names.iter().map(|&it| it.into()).collect())
}

/// Returns engines of each kind in three data centres, the first of them unlike the box's.
fn engines() -> Vec<Engine> {
    let data_centres = ["south", "north", "south-2"];
    let each = data_centres.into_iter().enumerate().flat_map(|(place, data_centre)| {
        let place = u8::try_from(place).expect("three");
        let all = [
            engine(1 + place, PLAIN, None),
            engine(11 + place, MODEL, Some(Stage::Prefill)),
            engine(21 + place, MODEL, Some(Stage::Decode)),
        ];
        all.map(|it| Engine { data_centre: data_centre.into(), ..it })
    });
    each.collect()
}

/// Makes a box in `north` with routes that are bound to `warm`, to both regions, or to none.
fn world() -> World {
    let gateway = Gateway::new(Settings { regions: regions(), ..settings(1) });
    let mut world = World { gateway, ..World::unconfigured() };
    let bound = |name: &str, kind, service: &str, names: &[&str]| Route {
        allowed_regions: homes(names),
        is_auth_exempt: true,
        resumable: true,
        ..route(name, kind, service)
    };
    let routes = vec![
        bound("warm", RouteKind::Safe, PLAIN, &["warm"]),
        bound("warm-stream", RouteKind::Stream, MODEL, &["warm"]),
        bound("both", RouteKind::Safe, PLAIN, &["cold", "warm"]),
        bound("nowhere", RouteKind::Safe, PLAIN, &["moon"]),
    ];
    let customer = Customer {
        key: CustomerKey::of("museum"),
        name: "museum".into(),
        priority: None,
        unit: Unit::Request,
        limit: None,
        allowed_regions: homes(&["cold"]),
        credentials: vec![KeyDigest::of(CUSTOMER_KEY)],
    };
    let configuration = configuration_of(1, routes).with_customers(Customers::new(vec![customer]));
    world.event(Event::Configured(Arc::new(configuration)));
    world.event(Event::Listed(engines(), 10.into()));
    world
}

/// Returns a request of the customer.
fn of_customer(route: &str) -> Request {
    Request { credential: Some(KeyDigest::of(CUSTOMER_KEY)), ..request(route) }
}

/// Returns the data centre of the single call.
fn called_data_centre(effects: &[Effect]) -> String {
    only_send(effects).engine.data_centre.to_string()
}

#[test]
fn route_region_ignored() {
    let mut world = world();
    for name in ["warm", "warm-stream"] {
        for _ in 0..4 {
            let (_, effects) = world.arrive(request(name));
            assert!(called_data_centre(&effects).starts_with("south"), "{name}: {effects:?}");
        }
    }
}

#[test]
fn stream_leaves_region() {
    let mut world = world();
    let (_, decode_call) = world.begin_stream(request("warm-stream"));
    assert!(decode_call.engine.data_centre.starts_with("south"));
    let effects = world.call(decode_call.call, CallEvent::Forwarded(Some(3)));
    assert!(effects.is_empty());
    let effects = world.call(decode_call.call, CallEvent::Broken);
    assert!(called_data_centre(&effects).starts_with("south"), "{effects:?}");
}

#[test]
fn customer_region_ignored() {
    let mut world = world();
    for _ in 0..4 {
        let (_, effects) = world.arrive(of_customer("both"));
        assert_eq!(called_data_centre(&effects), "north");
    }
}

#[test]
fn missing_region_reason() {
    let mut world = world();
    for request in [of_customer("warm"), of_customer("warm-stream"), request("nowhere")] {
        let (_, effects) = world.arrive(request);
        let refusal = only_refusal(&effects);
        let is_announced = matches!(refusal, Refusal::NotRun(_, NotRunReason::NoEngineInRegion, _));
        assert!(is_announced, "{refusal:?}");
    }
}

#[test]
fn retry_leaves_region() {
    let mut world = world();
    let (_, send) = world.first_call(of_customer("both"));
    let effects = world.call(send.call, CallEvent::Answered(rejected()));
    let goes_north = |it: &Effect| match it {
        Effect::Send(send) => *send.engine.data_centre == *"north",
        _ => true,
    };
    assert!(effects.iter().all(goes_north), "{effects:?}");
}

/// Returns a heartbeat of a box in a data centre.
fn heartbeat_in(number: u8, data_centre: &str) -> Message {
    let data_centre = DataCentreKey::of(data_centre);
    Message {
        data_centre,
        ..heartbeat(number, 1, StoreView { version: 1, ..StoreView::default() })
    }
}

/// Returns the boxes that a client of a region is given, by the last byte of their address.
fn listed_boxes(world: &World, region: Option<&str>) -> Vec<u8> {
    let last_byte = |it: SocketAddr| match it {
        SocketAddr::V4(it) => it.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    };
    world.gateway.fronts(region).into_iter().map(last_byte).collect()
}

#[test]
fn wrong_region_listed() {
    let mut world = world();
    for (number, data_centre) in [(2, "north"), (3, "south"), (4, "south-2")] {
        world.event(Event::Received(heartbeat_in(number, data_centre)));
    }
    assert_eq!(listed_boxes(&world, Some("cold")), [1, 2]);
    assert_eq!(listed_boxes(&world, Some("warm")), [3, 4]);
    assert_eq!(listed_boxes(&world, None), [1, 2]);
    // Without a box in their region, clients are given all that serve.
    assert_eq!(listed_boxes(&world, Some("moon")), [1, 2, 3, 4]);
    world.advance(Duration::from_secs(10));
    // Boxes of other regions are not given when all others have timed out.
    assert_eq!(listed_boxes(&world, Some("cold")), [1, 2]);
}

/// Of many engines a choice examines a sample. Mostly the sample contained none of the 2 of 402
/// engines that were in the region, and the request was refused.
#[test]
fn rare_region_engine_missed() {
    let mut world = world();
    let many = (0..400u16).map(|number| {
        let id = format!("many-{number}");
        let [high, low] = number.to_be_bytes();
        Engine {
            key: EngineKey::of(&id),
            id: id.into(),
            address: SocketAddr::from(([10, 2, high, low], 9000)),
            ..engine(1, PLAIN, None)
        }
    });
    let few = [91, 92].map(|it| Engine { data_centre: "south".into(), ..engine(it, PLAIN, None) });
    world.event(Event::Listed(many.chain(few).collect(), 20.into()));
    for _ in 0..32 {
        let (_, send) = world.first_call(request("warm"));
        assert_eq!(*send.engine.data_centre, *"south");
        world.call(send.call, CallEvent::Answered(ran(200)));
    }
}
