//! How long runs hold their memory, and what clients ask, as a box measures them.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::demand::{Meter, Runs};

/// Plays runs of two lengths that begin in turn, one every tenth of a second.
fn play(runs: &mut Runs, lengths: [u64; 2], span: u64) -> Time {
    let mut ends: Vec<u64> = Vec::new();
    for millis in 0..span {
        let now = Time::from_millis(1000 + millis);
        if millis % 100 == 0 {
            runs.begin(now);
            ends.push(millis + lengths[(millis / 100 % 2) as usize]);
        }
        for _ in ends.extract_if(.., |it| *it == millis) {
            runs.end(now);
        }
    }
    Time::from_millis(1000 + span)
}

#[test]
fn settles_at_the_mean() {
    let mut runs = Runs::default();
    let now = play(&mut runs, [1000, 5000], 60_000);
    let mean = runs.mean(now).as_secs_f64();
    assert!((2.8..3.2).contains(&mean), "{mean}");
}

/// After four seconds just the short half has ended, whose mean is one second; the true mean is
/// three, and a third off is good enough to choose a split.
#[test]
fn long_ones_count_early() {
    let mut runs = Runs::default();
    let now = play(&mut runs, [1000, 5000], 4000);
    let mean = runs.mean(now).as_secs_f64();
    assert!((2.0..4.0).contains(&mean), "{mean}");
}

#[test]
fn demand_is_known_early() {
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
fn demand_fades() {
    let mut meter = Meter::default();
    for step in 0..100 {
        meter.record(3000, 3100, Time::from_millis(step * 100));
    }
    let demand = meter.demand(Time::from_millis(40_000), Duration::from_secs(3));
    assert!(demand.requests == 0 && demand.prefill_tokens_per_s < 1000, "{demand:?}");
}
