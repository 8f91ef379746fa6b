//! Orders to change stages under drawn loads and faults: the store goes and comes back, engines
//! refuse orders or lose answers, and another box takes the lease once it has lapsed.

use std::time::Duration;

use hollyspoke_tests::gateway::settings;
use hollyspoke_tests::stages::{OrderBehaviour, StageWorld};
use proptest::prelude::*;

/// The engines of a test.
const ENGINES: usize = 9;

/// How long the lease has to stand before another box may take it.
const LAPSES_AFTER: Duration = Duration::from_millis(4500);

/// What happens next.
#[derive(Debug, Clone)]
enum Act {
    /// Requests arrive: how many a second, of how many tokens, for how long a run, for how long.
    Play(u32, u64, u64, u64),
    /// The store goes or comes back.
    Store(bool),
    /// Engines obey otherwise.
    Obey(OrderBehaviour),
    /// Another box takes the lease, if it may.
    Seize,
}

/// Draws an act.
fn act() -> impl Strategy<Value = Act> {
    let order_behaviour = prop_oneof![
        Just(OrderBehaviour::Accepts),
        Just(OrderBehaviour::Refuses),
        Just(OrderBehaviour::LosesAnswers),
        Just(OrderBehaviour::Unreachable),
    ];
    prop_oneof![
        4 => (1u32..25, 200u64..7000, 200u64..4000, 500u64..4000)
            .prop_map(|(rate, tokens, run, span)| Act::Play(rate, tokens, run, span)),
        1 => any::<bool>().prop_map(Act::Store),
        1 => order_behaviour.prop_map(Act::Obey),
        1 => Just(Act::Seize),
    ]
}

/// Checks the orders that were given since the last check.
fn check(it: &StageWorld, checked: usize) {
    for (order, &at) in it.orders.iter().zip(&it.ordered_at).skip(checked) {
        let wait = LAPSES_AFTER + settings(1).order_pause;
        let seized = it.lease_taken_at.filter(|seized| *seized <= at);
        assert!(seized.is_none_or(|seized| at.since(seized) >= wait), "too soon after another box");
        let written = it.written_at.expect("an order needs the lease");
        assert!(at.since(written) <= Duration::from_secs(4), "the lease has lapsed");
        assert!(Some(order.token) <= it.lease_version(), "a token that the store never gave");
    }
    let tokens: Vec<u64> = it.orders.iter().map(|it| it.token).collect();
    assert!(tokens.is_sorted(), "{tokens:?}");
    assert!(it.switching_count() <= ENGINES / 4, "{} change at once", it.switching_count());
    let readers = it.prefill_count_after_switches();
    assert!((1..ENGINES).contains(&readers), "{readers} readers of {ENGINES}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn orders_keep_the_rules(acts in prop::collection::vec(act(), 1..24)) {
        let mut it = StageWorld::default();
        let mut checked = 0;
        for act in acts {
            match act {
                Act::Play(rate, tokens, run, span) => {
                    it.run = Duration::from_millis(run);
                    it.run_load(rate, tokens, Duration::from_millis(span));
                }
                Act::Store(has_store) => it.has_store = has_store,
                Act::Obey(order_behaviour) => it.order_behaviour = order_behaviour,
                Act::Seize => {
                    let is_free = |at| it.world.now.since(at) >= LAPSES_AFTER;
                    if it.written_at.is_none_or(is_free) {
                        it.take_lease();
                    }
                }
            }
            check(&it, checked);
            checked = it.orders.len();
        }
    }
}
