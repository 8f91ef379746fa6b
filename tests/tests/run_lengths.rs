//! The duration for which runs hold their memory, and the demand of clients, as a box measures them.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::demand::{Meter, Runs};

/// Simulates runs of two alternating lengths, one every tenth of a second; returns the time at the end.
fn simulate_runs(runs: &mut Runs, lengths_ms: [u64; 2], duration_ms: u64) -> Time {
    let mut ends_ms: Vec<u64> = Vec::new();
    for elapsed_ms in 0..duration_ms {
        let now = Time::from_millis(1000 + elapsed_ms);
        if elapsed_ms % 100 == 0 {
            runs.begin(now);
            ends_ms.push(elapsed_ms + lengths_ms[(elapsed_ms / 100 % 2) as usize]);
        }
        for _ in ends_ms.extract_if(.., |it| *it == elapsed_ms) {
            runs.end(now);
        }
    }
    Time::from_millis(1000 + duration_ms)
}

#[test]
fn wrong_mean() {
    let mut runs = Runs::default();
    let now = simulate_runs(&mut runs, [1000, 5000], 60_000);
    let mean = runs.mean(now).as_secs_f64();
    assert!((2.8..3.2).contains(&mean), "{mean}");
}

/// After four seconds only the short half has ended, with a mean of one second. The true mean is three;
/// an error of a third is small enough to choose a split.
#[test]
fn long_runs_ignored() {
    let mut runs = Runs::default();
    let now = simulate_runs(&mut runs, [1000, 5000], 4000);
    let mean = runs.mean(now).as_secs_f64();
    assert!((2.0..4.0).contains(&mean), "{mean}");
}

#[test]
fn early_demand_unknown() {
    let mut meter = Meter::default();
    for step in 0..20 {
        meter.record(3000, 3100, Time::from_millis(1000 + step * 100));
    }
    let demand = meter.demand(Time::from_millis(3000), Duration::from_secs(3));
    assert!((27_000..33_000).contains(&demand.prefill_tokens_per_s), "{demand:?}");
    assert!((84_000..102_000).contains(&demand.held_tokens), "{demand:?}");
    assert!((15..=20).contains(&demand.requests), "{demand:?}");
}

#[test]
fn old_demand_kept() {
    let mut meter = Meter::default();
    for step in 0..100 {
        meter.record(3000, 3100, Time::from_millis(step * 100));
    }
    let demand = meter.demand(Time::from_millis(40_000), Duration::from_secs(3));
    assert!(demand.requests == 0 && demand.prefill_tokens_per_s < 1000, "{demand:?}");
}
