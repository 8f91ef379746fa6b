//! Orders to change stages under generated loads and faults: the store is unavailable for a time, engines
//! refuse orders or lose answers, and another box takes the lease once it has lapsed.

use std::time::Duration;

use hollyspoke_tests::gateway::settings;
use hollyspoke_tests::stages::{OrderBehaviour, StageWorld};
use proptest::prelude::*;

/// The number of engines.
const ENGINE_COUNT: usize = 9;

/// The time without a renewal after which another box may take the lease.
const LEASE_LAPSE: Duration = Duration::from_millis(4500);

/// An event of a run.
#[derive(Debug, Clone)]
enum Event {
    /// Requests arrive: requests per second, prompt tokens, duration of a run and of the load in ms.
    Load(u32, u64, u64, u64),
    /// The store becomes available or unavailable.
    Store(bool),
    /// Engines change how they answer orders.
    Orders(OrderBehaviour),
    /// Another box takes the lease, if it has lapsed.
    TakeLease,
}

/// Generates an event.
fn event() -> impl Strategy<Value = Event> {
    let order_behaviour = prop_oneof![
        Just(OrderBehaviour::Accepts),
        Just(OrderBehaviour::Refuses),
        Just(OrderBehaviour::LosesAnswers),
        Just(OrderBehaviour::Unreachable),
    ];
    prop_oneof![
        4 => (1u32..25, 200u64..7000, 200u64..4000, 500u64..4000)
            .prop_map(|(requests_per_s, tokens, run, duration_ms)| Event::Load(requests_per_s, tokens, run, duration_ms)),
        1 => any::<bool>().prop_map(Event::Store),
        1 => order_behaviour.prop_map(Event::Orders),
        1 => Just(Event::TakeLease),
    ]
}

/// Checks the orders that were sent since the last check.
fn check_orders(it: &StageWorld, checked_count: usize) {
    for (order, &at) in it.orders.iter().zip(&it.ordered_at).skip(checked_count) {
        let wait = LEASE_LAPSE + settings(1).order_pause;
        let taken_at = it.lease_taken_at.filter(|taken_at| *taken_at <= at);
        assert!(
            taken_at.is_none_or(|taken_at| at.since(taken_at) >= wait),
            "an order was sent too soon after another box had the lease"
        );
        let written = it.written_at.expect("an order needs the lease");
        assert!(at.since(written) <= Duration::from_secs(4), "the lease has lapsed");
        assert!(Some(order.token) <= it.lease_version(), "the store has not issued the token");
    }
    let tokens: Vec<u64> = it.orders.iter().map(|it| it.token).collect();
    assert!(tokens.is_sorted(), "{tokens:?}");
    assert!(
        it.switching_count() <= ENGINE_COUNT / 4,
        "{} engines switch at once",
        it.switching_count()
    );
    let prefill_count = it.prefill_count_after_switches();
    assert!(
        (1..ENGINE_COUNT).contains(&prefill_count),
        "{prefill_count} prefill engines of {ENGINE_COUNT}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn orders_keep_the_rules(events in prop::collection::vec(event(), 1..24)) {
        let mut it = StageWorld::default();
        let mut checked_count = 0;
        for event in events {
            match event {
                Event::Load(requests_per_s, tokens, run, duration_ms) => {
                    it.run = Duration::from_millis(run);
                    it.run_load(requests_per_s, tokens, Duration::from_millis(duration_ms));
                }
                Event::Store(has_store) => it.has_store = has_store,
                Event::Orders(order_behaviour) => it.order_behaviour = order_behaviour,
                Event::TakeLease => {
                    let is_free = |at| it.world.now.since(at) >= LEASE_LAPSE;
                    if it.written_at.is_none_or(is_free) {
                        it.take_lease();
                    }
                }
            }
            check_orders(&it, checked_count);
            checked_count = it.orders.len();
        }
    }
}
