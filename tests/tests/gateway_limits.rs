//! Engines in need name in their answers how many requests a second they take from all boxes
//! together.
//!
//! Two of three engines of a service named 3.5 and 3.3 requests a second and went on getting as many
//! as the third: 61 and 44 in 4 s, where 26 and 25 are allowed. Nothing read what they named. In
//! virtual time, six boxes, the usual traffic:

use std::time::Duration;

use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::{MODEL, PLAIN};

/// Gives the engines of a service.
fn engines(fleet: &Fleet, service: &str) -> Vec<EngineKey> {
    let engines = fleet.engines();
    engines.iter().filter(|it| *it.service == *service).map(|it| it.key).collect()
}

/// Plays six boxes before engines of a service that name a limit for 14 s; gives the most of what is
/// allowed that came to one of them.
fn used(service: &str, count: usize, rate: f64, seed: u64) -> f64 {
    let mut fleet = Fleet::settled(6, seed);
    let chosen = engines(&fleet, service).into_iter().take(count);
    fleet.limit(chosen.collect::<Vec<_>>(), Some(rate));
    fleet.run(Duration::from_secs(14));
    fleet.needs.bound_used()
}

#[test]
fn two_of_three_plain_engines() {
    for (rate, seed) in [(3.5, 1), (3.1, 2), (0.4, 3)] {
        let used = used(PLAIN, 2, rate, seed);
        assert!(used <= 1.0, "{used:.2} of what {rate} a second allow");
    }
}

#[test]
fn all_plain_engines() {
    for (rate, seed) in [(3.0, 4), (0.4, 5)] {
        let used = used(PLAIN, 3, rate, seed);
        assert!(used <= 1.0, "{used:.2} of what {rate} a second allow");
    }
}

#[test]
fn all_engines_of_a_model() {
    for (rate, seed) in [(2.0, 6), (0.2, 7)] {
        let used = used(MODEL, 18, rate, seed);
        assert!(used <= 1.0, "{used:.2} of what {rate} a second allow");
    }
}
