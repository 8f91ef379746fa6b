//! The split of engines into prefill and decode, for generated loads.

use hollyspoke_gateway::message::Demand;
use hollyspoke_gateway::ratio::{Capacity, Change, Split, best, change, pressure};
use proptest::prelude::*;

/// Generates a demand, a capacity and a split.
fn any_case() -> impl Strategy<Value = (Demand, Capacity, Split)> {
    let demand = (0u32..2_000_000, 0u32..20_000_000);
    let capacity = (1_000.0..100_000.0, 1_000.0..100_000.0);
    let split = (1u32..100, 1u32..100);
    (demand, capacity, split).prop_map(|(demand, capacity, split)| {
        let demand =
            Demand { prefill_tokens_per_s: demand.0, held_tokens: demand.1, requests: 100 };
        let capacity = Capacity { prefill_rate: capacity.0, memory_tokens: capacity.1 };
        (demand, capacity, Split { prefill: split.0, decode: split.1 })
    })
}

proptest! {
    /// The best split uses all engines, has both stages, and no other split is better.
    #[test]
    fn best_ratio((demand, capacity, split) in any_case()) {
        let engines = split.prefill + split.decode;
        let best = best(demand, capacity, engines).expect("there are two engines");
        prop_assert!(best.prefill > 0 && best.decode > 0);
        prop_assert_eq!(best.prefill + best.decode, engines);
        prop_assert!(pressure(demand, capacity, best) <= pressure(demand, capacity, split));
    }

    /// Changes end, go in one direction, and leave at least one engine in each stage.
    #[test]
    fn changes_end((demand, capacity, split) in any_case()) {
        let (mut split, mut first) = (split, None);
        for _ in 0..200 {
            let Some(next) = change(demand, capacity, split, split) else { return Ok(()) };
            prop_assert_eq!(*first.get_or_insert(next), next);
            match next {
                Change::ToDecode => { split.prefill -= 1; split.decode += 1; }
                Change::ToPrefill => { split.prefill += 1; split.decode -= 1; }
            }
            prop_assert!(split.prefill > 0 && split.decode > 0);
        }
        prop_assert!(false, "the changes do not end");
    }

    /// A burst of the same requests leads to the same split.
    #[test]
    fn burst_changes_nothing((demand, capacity, split) in any_case(), times in 2u32..4) {
        let engines = split.prefill + split.decode;
        let more = Demand { prefill_tokens_per_s: demand.prefill_tokens_per_s * times, held_tokens: demand.held_tokens * times, ..demand };
        let before = best(demand, capacity, engines);
        let after = best(more, capacity, engines).expect("there are two engines");
        let is_as_good = before.is_some_and(|it| {
            pressure(more, capacity, it) <= pressure(more, capacity, after) * 1.000_001
        });
        prop_assert!(is_as_good);
    }
}
