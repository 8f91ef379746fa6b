//! Customers' keys and limits at one box: who may send, what is counted, and how others are refused.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::quota::{Account, Limit};
use hollyspoke_gateway::credential::KeyDigest;
use hollyspoke_gateway::customer::{Caller, Customer, CustomerKey, Customers, Unit};
use hollyspoke_gateway::effect::{Effect, LogEvent, NotRunReason, Refusal};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::message::{Message, StoreView, Usage};
use hollyspoke_gateway::region::AllowedRegions;
use hollyspoke_gateway::request::{Request, RequestKey};
use hollyspoke_gateway::route::{Configuration, Route, RouteKind};
use hollyspoke_tests::gateway::{
    MEMORY, PLAIN, World, configuration, configuration_of, engines, heartbeat, only_refusal,
    only_send, prefilled, ran, rejected, request, route,
};

/// The key of the customer `press`.
const KEY: &[u8] = b"press-key";

/// Returns a customer with a key.
fn customer(name: &str, key: &[u8], rate: f64) -> Customer {
    Customer {
        key: CustomerKey::of(name),
        name: name.into(),
        priority: None,
        unit: Unit::Token { plain: 200 },
        limit: (rate > 0.0).then_some(Limit { rate, burst: rate }),
        allowed_regions: AllowedRegions::default(),
        credentials: vec![KeyDigest::of(key)],
    }
}

/// Returns the usual configuration with customers.
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

/// Returns a request with a key.
fn keyed(route: &str, key: &[u8]) -> Request {
    Request { credential: Some(KeyDigest::of(key)), ..request(route) }
}

/// Returns the retry time of a client over its limit.
fn over_limit(effects: &[Effect]) -> Duration {
    match only_refusal(effects) {
        Refusal::OverLimit(_, wait) => wait,
        other => panic!("{other:?}"),
    }
}

/// Sends a plain request and answers it.
fn answer(world: &mut World, request: Request) {
    let (_, send) = world.first_call(request);
    world.call(send.call, CallEvent::Answered(ran(200)));
}

#[test]
fn known_key_rejected() {
    let mut world = world(0.0);
    let (_, send) = world.first_call(keyed("safe", KEY));
    assert_eq!(send.caller, Caller::Customer("press".into()));
}

#[test]
fn unknown_key_accepted() {
    let mut world = world(0.0);
    for request in [request("safe"), keyed("safe", b"other"), keyed("once", b"")] {
        let (_, effects) = world.arrive(request);
        assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
        assert!(!effects.iter().any(|it| matches!(it, Effect::Send(_))));
    }
}

#[test]
fn key_required_without_customers() {
    let mut world = World::new();
    let (_, send) = world.first_call(request("safe"));
    assert_eq!(send.caller, Caller::Unchecked);
}

/// After the last customer was removed, every key has to be refused.
#[test]
fn empty_customers_allow_access() {
    let mut world = world(0.0);
    world.event(with_customers(2, Vec::new()));
    let (_, effects) = world.arrive(keyed("safe", KEY));
    assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
}

#[test]
fn exempt_route_rejected() {
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
fn revoked_key_accepted() {
    let mut world = world(0.0);
    let (_, in_flight) = world.first_call(keyed("safe", KEY));
    world.event(with_customers(2, vec![customer("press", b"newer", 0.0)]));
    let (_, effects) = world.arrive(keyed("safe", KEY));
    assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
    only_send(&world.arrive(keyed("safe", b"newer")).1);
    // A running request is completed.
    let effects = world.call(in_flight.call, CallEvent::Answered(ran(200)));
    assert!(effects.iter().any(|it| matches!(it, Effect::Deliver(..))));
}

/// A rejected request whose key was revoked meanwhile must not reach a second engine.
/// A request whose prefill is only silent is refused with its next step, and not for the silence.
#[test]
fn revoked_key_ends_silent_request() {
    let mut world = world(0.0);
    let (_, prefill) = world.first_call(keyed("resumed", KEY));
    world.event(with_customers(2, Vec::new()));
    assert_eq!(world.advance(Duration::from_secs(4)), []);
    let effects = world.call(prefill.call, CallEvent::Answered(prefilled("h")));
    assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
}

#[test]
fn revoked_key_retried() {
    let mut world = world(0.0);
    let (_, first) = world.first_call(keyed("safe", KEY));
    world.event(with_customers(2, Vec::new()));
    let effects = world.call(first.call, CallEvent::Answered(rejected()));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Send(_))), "{effects:?}");
    assert_eq!(only_refusal(&effects), Refusal::UnknownKey);
}

/// A request that waits for free capacity is refused at once when its key is revoked.
#[test]
fn revoked_key_keeps_waiting() {
    let mut world = world(0.0);
    let filling_request = || Request { prompt_tokens: Some(MEMORY * 9 / 10), ..keyed("once", KEY) };
    let mut last = Vec::new();
    for _ in 0..6 {
        last = world.arrive(filling_request()).1;
    }
    assert!(last.is_empty(), "the last one waits: {last:?}");
    let effects = world.event(with_customers(2, Vec::new()));
    let refusals: Vec<_> =
        effects.iter().filter(|it| matches!(it, Effect::Refuse(_, Refusal::UnknownKey))).collect();
    assert!(!refusals.is_empty(), "{effects:?}");
}

/// Of the requests that wait for free capacity, the one of the higher priority is sent first.
#[test]
fn waiting_priority_ignored() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 10.into()));
    let first = Customer { priority: Some(0), ..customer("first", b"first-key", 0.0) };
    let customers = vec![customer("press", KEY, 0.0), first];
    world.event(with_customers(1, customers));
    world.advance(Duration::from_secs(2));
    let filling_request =
        |key| Request { prompt_tokens: Some(MEMORY * 9 / 10), ..keyed("once", key) };
    let (_, running) = world.first_call(filling_request(KEY));
    world.first_call(filling_request(KEY));
    let (low, effects) = world.arrive(filling_request(KEY));
    assert!(effects.is_empty(), "it waits: {effects:?}");
    let (high, effects) = world.arrive(filling_request(b"first-key"));
    assert!(effects.is_empty(), "it waits: {effects:?}");
    let effects = world.event(Event::ClientDisconnected(running.request));
    assert!(only_send(&effects).request == high && high != low, "{effects:?}");
}

/// A box that knows of a newer configuration must not refuse a key as unknown.
#[test]
fn stale_configuration_rejects_key() {
    let mut world = world(0.0);
    let store_view = StoreView { version: 2, ..StoreView::default() };
    world.event(Event::Received(heartbeat(2, 1, store_view)));
    let (_, effects) = world.arrive(keyed("safe", b"newer"));
    let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::StaleConfiguration);
}

#[test]
fn token_limit_ignored() {
    let mut world = world(6000.0);
    // The prompt and the longest answer are 6,000 tokens.
    world.first_call(keyed("once", KEY));
    let wait = over_limit(&world.arrive(keyed("once", KEY)).1);
    assert!(wait > Duration::ZERO && wait < Duration::from_secs(2), "{wait:?}");
    world.advance(wait);
    world.first_call(keyed("once", KEY));
}

/// Requests without a number of tokens count as many as the configuration sets.
#[test]
fn plain_requests_uncounted() {
    let mut world = world(1000.0);
    let plain = || Request { prompt_tokens: None, max_answer_tokens: None, ..keyed("safe", KEY) };
    for _ in 0..5 {
        answer(&mut world, plain());
    }
    over_limit(&world.arrive(plain()).1);
}

/// A retry at a second engine must not be counted again.
#[test]
fn retry_counted_twice() {
    let mut world = world(12_000.0);
    let (_, first) = world.first_call(keyed("safe", KEY));
    let effects = world.call(first.call, CallEvent::Broken);
    let second = only_send(&effects);
    assert_eq!(second.caller, Caller::Customer("press".into()));
    world.call(second.call, CallEvent::Answered(ran(200)));
    world.first_call(keyed("safe", KEY));
    over_limit(&world.arrive(keyed("safe", KEY)).1);
}

/// The tokens of a request that never ran have to be returned.
#[test]
fn unrun_request_charged() {
    let mut world = world(6000.0);
    let (request_key, _) = world.first_call(keyed("once", KEY));
    // Its prompt is being prefilled, which is not a run.
    world.event(Event::ClientDisconnected(request_key));
    world.first_call(keyed("once", KEY));
}

/// One customer's flood must not use up another's limit.
#[test]
fn customer_limit_shared() {
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

/// Returns what another box has admitted for the customer `press`.
fn usage_announcement(number: u8, sequence: u64, total: u32, is_complete: bool) -> Message {
    let account = Account { customer: CustomerKey::of("press"), total, level: Some(0) };
    let usage = Usage { accounts: vec![account], is_complete, peak_boxes: 0 };
    Message { usage, ..heartbeat(number, sequence, StoreView::default()) }
}

/// What another box admits counts here once, however often it is announced.
#[test]
fn other_usage_counted_twice() {
    let mut world = world(6000.0);
    world.event(Event::Received(usage_announcement(2, 1, 0, true)));
    world.advance(Duration::from_secs(3));
    world.event(Event::Received(usage_announcement(2, 2, 0, false)));
    world.event(Event::Received(usage_announcement(2, 3, 9000, false)));
    world.event(Event::Received(usage_announcement(2, 4, 9000, false)));
    let wait = over_limit(&world.arrive(keyed("once", KEY)).1);
    // 3,000 tokens of debt at 6,000 a second, and a random delay.
    assert!((500..=800).contains(&wait.as_millis()), "{wait:?}");
}

/// What a silent box admits within its own share was already deducted, and must not count again.
#[test]
fn silent_usage_counted() {
    let mut world = world(6000.0);
    world.event(Event::Received(usage_announcement(2, 1, 0, true)));
    world.advance(Duration::from_secs(3));
    world.event(Event::Received(usage_announcement(2, 2, 9000, false)));
    world.first_call(keyed("once", KEY));
}

/// The first total of a new box says nothing of its recent use.
#[test]
fn first_total_counted() {
    let mut world = world(6000.0);
    world.advance(Duration::from_secs(5));
    world.event(Event::Received(usage_announcement(2, 900, 4_000_000, false)));
    world.first_call(keyed("once", KEY));
}

/// A lowered limit binds at once, and a raised one admits more.
#[test]
fn limit_change_ignored() {
    let mut world = world(60_000.0);
    world.event(with_customers(2, vec![customer("press", KEY, 6000.0)]));
    world.first_call(keyed("once", KEY));
    over_limit(&world.arrive(keyed("once", KEY)).1);
    world.event(with_customers(3, vec![customer("press", KEY, 600_000.0)]));
    world.advance(Duration::from_millis(50));
    world.first_call(keyed("safe", KEY));
}

/// Keys must not appear in debug output.
#[test]
fn key_printed() {
    let printed = format!("{:?} {:?}", keyed("safe", KEY), customer("press", KEY, 1.0));
    assert!(!printed.contains("press-key"), "{printed}");
    let digest = format!("{:?}", KeyDigest::of(KEY));
    assert_eq!(digest, "KeyDigest(..)");
}

/// The log of a refusal has to name the customer, not the key.
#[test]
fn refusal_not_logged() {
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
