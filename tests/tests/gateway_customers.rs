//! Customers' keys and limits at one box: who may send, what is counted, and what is said to whom
//! may not.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::quota::{Account, Limit};
use hollyspoke_gateway::credential::KeyDigest;
use hollyspoke_gateway::customer::{Caller, Customer, CustomerKey, Customers, Unit};
use hollyspoke_gateway::effect::{Effect, LogEvent, NotRunReason, Refusal};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::message::{Message, StoreView, Usage};
use hollyspoke_gateway::region::Homes;
use hollyspoke_gateway::request::{Request, RequestKey};
use hollyspoke_gateway::route::{Configuration, Route, RouteKind};
use hollyspoke_tests::gateway::{
    MEMORY, PLAIN, World, configuration, configuration_of, engines, heartbeat, only_refusal,
    only_send, ran, rejected, request, route,
};

/// The key of the customer `press`.
const KEY: &[u8] = b"press-key";

/// Gives a customer that holds a key.
fn customer(name: &str, key: &[u8], rate: f64) -> Customer {
    Customer {
        key: CustomerKey::of(name),
        name: name.into(),
        priority: None,
        unit: Unit::Token { plain: 200 },
        limit: (rate > 0.0).then_some(Limit { rate, burst: rate }),
        homes: Homes::default(),
        credentials: vec![KeyDigest::of(key)],
    }
}

/// Gives the usual configuration with customers.
fn with_customers(version: u64, customers: Vec<Customer>) -> Event {
    let configuration = configuration(version).with_customers(Customers::new(customers));
    Event::Configured(Arc::new(configuration))
}

/// Makes a box that knows the customer `press` with a rate of tokens.
fn world(rate: f64) -> World {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 10.into()));
    world.event(with_customers(1, vec![customer("press", KEY, rate)]));
    world.advance(Duration::from_secs(2));
    world
}

/// Gives a request with a key.
fn keyed(route: &str, key: &[u8]) -> Request {
    Request { credential: Some(KeyDigest::of(key)), ..request(route) }
}

/// Gives the time after which a client over its limit may come back.
fn over_limit(effects: &[Effect]) -> Duration {
    match only_refusal(effects) {
        Refusal::OverLimit(_, wait) => wait,
        other => panic!("{other:?}"),
    }
}

/// Has a plain request answered.
fn answer(world: &mut World, request: Request) {
    let (_, send) = world.first_call(request);
    world.call(send.call, CallEvent::Answered(ran(200)));
}

#[test]
fn known_key() {
    let mut world = world(0.0);
    let (_, send) = world.first_call(keyed("safe", KEY));
    assert_eq!(send.caller, Caller::Customer("press".into()));
}

#[test]
fn unknown_and_missing_keys() {
    let mut world = world(0.0);
    for request in [request("safe"), keyed("safe", b"other"), keyed("once", b"")] {
        let (_, effects) = world.arrive(request);
        assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
        assert!(!effects.iter().any(|it| matches!(it, Effect::Send(_))));
    }
}

#[test]
fn no_customers_no_keys() {
    let mut world = World::new();
    let (_, send) = world.first_call(request("safe"));
    assert_eq!(send.caller, Caller::Unchecked);
}

/// A configuration whose last customer has gone lets nobody in.
#[test]
fn last_customer_gone() {
    let mut world = world(0.0);
    world.event(with_customers(2, Vec::new()));
    let (_, effects) = world.arrive(keyed("safe", KEY));
    assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
}

#[test]
fn open_route() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 10.into()));
    let open = Route { is_auth_exempt: true, ..route("open", RouteKind::Safe, PLAIN) };
    let customers = Customers::new(vec![customer("press", KEY, 0.0)]);
    let configuration: Configuration = configuration_of(1, vec![open]).with_customers(customers);
    world.event(Event::Configured(Arc::new(configuration)));
    let (_, send) = world.first_call(request("open"));
    assert_eq!(send.caller, Caller::Anonymous);
    let (_, send) = world.first_call(keyed("open", KEY));
    assert_eq!(send.caller, Caller::Customer("press".into()));
}

#[test]
fn key_taken_away() {
    let mut world = world(0.0);
    let (_, under_way) = world.first_call(keyed("safe", KEY));
    world.event(with_customers(2, vec![customer("press", b"newer", 0.0)]));
    let (_, effects) = world.arrive(keyed("safe", KEY));
    assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
    only_send(&world.arrive(keyed("safe", b"newer")).1);
    // What was under way comes to its end.
    let effects = world.call(under_way.call, CallEvent::Answered(ran(200)));
    assert!(effects.iter().any(|it| matches!(it, Effect::Deliver(..))));
}

/// A request that was turned away and whose key has gone meanwhile reaches no second engine.
#[test]
fn key_taken_away_before_a_second_engine() {
    let mut world = world(0.0);
    let (_, first) = world.first_call(keyed("safe", KEY));
    world.event(with_customers(2, Vec::new()));
    let effects = world.call(first.call, CallEvent::Answered(rejected()));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Send(_))), "{effects:?}");
    assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
}

/// A request that waits for room when its key goes is told so at once.
#[test]
fn key_taken_away_while_waiting() {
    let mut world = world(0.0);
    let filling = || Request { prompt_tokens: Some(MEMORY * 9 / 10), ..keyed("once", KEY) };
    let mut last = Vec::new();
    for _ in 0..6 {
        last = world.arrive(filling()).1;
    }
    assert!(last.is_empty(), "the last waits: {last:?}");
    let effects = world.event(with_customers(2, Vec::new()));
    let refusals: Vec<_> =
        effects.iter().filter(|it| matches!(it, Effect::Refuse(_, Refusal::UnknownKey))).collect();
    assert!(!refusals.is_empty(), "{effects:?}");
}

/// Of those that wait for room, the customer of the higher rank goes first.
#[test]
fn rank_goes_first() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 10.into()));
    let first = Customer { priority: Some(0), ..customer("first", b"first-key", 0.0) };
    let customers = vec![customer("press", KEY, 0.0), first];
    world.event(with_customers(1, customers));
    world.advance(Duration::from_secs(2));
    let filling = |key| Request { prompt_tokens: Some(MEMORY * 9 / 10), ..keyed("once", key) };
    let (_, running) = world.first_call(filling(KEY));
    world.first_call(filling(KEY));
    let (low, effects) = world.arrive(filling(KEY));
    assert!(effects.is_empty(), "it waits: {effects:?}");
    let (high, effects) = world.arrive(filling(b"first-key"));
    assert!(effects.is_empty(), "it waits: {effects:?}");
    let effects = world.event(Event::ClientDisconnected(running.request));
    assert!(only_send(&effects).request == high && high != low, "{effects:?}");
}

/// A box that has heard of a newer configuration can't say that a key is unknown.
#[test]
fn behind() {
    let mut world = world(0.0);
    let knowledge = StoreView { version: 2, ..StoreView::default() };
    world.event(Event::Received(heartbeat(2, 1, knowledge)));
    let (_, effects) = world.arrive(keyed("safe", b"newer"));
    let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::StaleConfiguration);
}

#[test]
fn limit_in_tokens() {
    let mut world = world(6000.0);
    // The prompt and the most of the answer are 6,000 tokens.
    world.first_call(keyed("once", KEY));
    let wait = over_limit(&world.arrive(keyed("once", KEY)).1);
    assert!(wait > Duration::ZERO && wait < Duration::from_secs(2), "{wait:?}");
    world.advance(wait);
    world.first_call(keyed("once", KEY));
}

/// Requests that tell no tokens count as many as the configuration says.
#[test]
fn plain_tokens() {
    let mut world = world(1000.0);
    let plain = || Request { prompt_tokens: None, max_answer_tokens: None, ..keyed("safe", KEY) };
    for _ in 0..5 {
        answer(&mut world, plain());
    }
    over_limit(&world.arrive(plain()).1);
}

/// A retry at a second engine is the same request.
#[test]
fn retry_is_counted_once() {
    let mut world = world(12_000.0);
    let (_, first) = world.first_call(keyed("safe", KEY));
    let effects = world.call(first.call, CallEvent::Broken);
    let second = only_send(&effects);
    assert_eq!(second.caller, Caller::Customer("press".into()));
    world.call(second.call, CallEvent::Answered(ran(200)));
    world.first_call(keyed("safe", KEY));
    over_limit(&world.arrive(keyed("safe", KEY)).1);
}

/// What was taken for a request that never ran is given back.
#[test]
fn not_run_is_given_back() {
    let mut world = world(6000.0);
    let (flight, _) = world.first_call(keyed("once", KEY));
    // Its prompt is being read, which is no run.
    world.event(Event::ClientDisconnected(flight));
    world.first_call(keyed("once", KEY));
}

/// One customer's flood leaves another's requests alone.
#[test]
fn flood_of_one() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 10.into()));
    let customers = vec![customer("press", KEY, 1000.0), customer("town", b"town-key", 1000.0)];
    world.event(with_customers(1, customers));
    world.advance(Duration::from_secs(2));
    let plain =
        |key| Request { prompt_tokens: None, max_answer_tokens: None, ..keyed("safe", key) };
    let refused = (0..50)
        .filter(|_| {
            let (_, effects) = world.arrive(plain(KEY));
            match effects.as_slice() {
                [Effect::Send(send)] => {
                    let call = send.call;
                    world.call(call, CallEvent::Answered(ran(200)));
                    false
                }
                _ => true,
            }
        })
        .count();
    assert_eq!(refused, 45);
    only_send(&world.arrive(plain(b"town-key")).1);
}

/// Gives what another box has let through for the customer `press`.
fn told(number: u8, sequence: u64, total: u32, is_complete: bool) -> Message {
    let account = Account { customer: CustomerKey::of("press"), total, level: Some(0) };
    let usage = Usage { accounts: vec![account], is_complete, peak_boxes: 0 };
    Message { usage, ..heartbeat(number, sequence, StoreView::default()) }
}

/// What another box lets through counts here, however often it is told.
#[test]
fn others_count() {
    let mut world = world(6000.0);
    world.event(Event::Received(told(2, 1, 0, true)));
    world.advance(Duration::from_secs(3));
    world.event(Event::Received(told(2, 2, 0, false)));
    world.event(Event::Received(told(2, 3, 9000, false)));
    world.event(Event::Received(told(2, 4, 9000, false)));
    let wait = over_limit(&world.arrive(keyed("once", KEY)).1);
    // 3,000 tokens of debt at 6,000 a second, and a spread.
    assert!((500..=800).contains(&wait.as_millis()), "{wait:?}");
}

/// What a silent box may have let through by its own part was left to it, and isn't counted again.
#[test]
fn part_of_the_silent() {
    let mut world = world(6000.0);
    world.event(Event::Received(told(2, 1, 0, true)));
    world.advance(Duration::from_secs(3));
    world.event(Event::Received(told(2, 2, 9000, false)));
    world.first_call(keyed("once", KEY));
}

/// The total of a box that was not known before tells nothing of late.
#[test]
fn first_total_is_no_change() {
    let mut world = world(6000.0);
    world.advance(Duration::from_secs(5));
    world.event(Event::Received(told(2, 900, 4_000_000, false)));
    world.first_call(keyed("once", KEY));
}

/// A limit that is lowered binds at once what it leaves, and one that is raised lets more through.
#[test]
fn limit_changes() {
    let mut world = world(60_000.0);
    world.event(with_customers(2, vec![customer("press", KEY, 6000.0)]));
    world.first_call(keyed("once", KEY));
    over_limit(&world.arrive(keyed("once", KEY)).1);
    world.event(with_customers(3, vec![customer("press", KEY, 600_000.0)]));
    world.advance(Duration::from_millis(50));
    world.first_call(keyed("safe", KEY));
}

/// Keys stay out of everything that is printed.
#[test]
fn keys_are_not_printed() {
    let printed = format!("{:?} {:?}", keyed("safe", KEY), customer("press", KEY, 1.0));
    assert!(!printed.contains("press-key"), "{printed}");
    let digest = format!("{:?}", KeyDigest::of(KEY));
    assert_eq!(digest, "KeyDigest(..)");
}

/// Refusals name the customer and not the key in the log.
#[test]
fn refusals_are_logged() {
    let mut world = world(6000.0);
    world.first_call(keyed("once", KEY));
    let now = world.now;
    let effects = world.gateway.step(now, Event::Arrived(RequestKey(99), keyed("once", KEY)));
    let logged = effects.iter().find_map(|it| match it {
        Effect::Log(LogEvent::Ended { customer, outcome, .. }) => {
            Some((customer.clone(), *outcome))
        }
        _ => None,
    });
    assert_eq!(logged, Some((Some("press".into()), "over limit")));
}
