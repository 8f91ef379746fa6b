//! What readers can read, as the answers tell it: waits for work that was not known make most
//! measurements too low.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::directory::Directory;
use hollyspoke_gateway::engine::{EngineKey, Stage};
use hollyspoke_tests::gateway::{MODEL, engine};

/// Makes a directory with one reader that reads 33 tokens a millisecond, and measures it: every
/// fourth prompt finds it idle, the others wait as long as they take.
fn measured(prompts: u64) -> Directory {
    let mut directory = Directory::default();
    directory.apply_list(
        vec![engine(11, MODEL, Some(Stage::Prefill))],
        10.into(),
        None,
        Time::ZERO,
    );
    let key = EngineKey::of("engine-11");
    for prompt in 0..prompts {
        let waits = if prompt % 4 == 0 { 1 } else { 3 };
        let took = Duration::from_millis(3300 / 33 * waits);
        directory.measure(key, 3300, took, Time::from_millis(1000 + prompt * 50));
    }
    directory
}

#[test]
fn waits_do_not_hide_it() {
    let directory = measured(200);
    let known = directory.get(EngineKey::of("engine-11")).expect("it is listed");
    let usual = directory.prefill_rate(known, Time::from_millis(11_000));
    assert!(usual < 26.0, "the usual rate counts the waits: {usual}");
    let best = directory.best_prefill_rate(MODEL);
    assert!((27.0..34.0).contains(&best), "{best}");
}

#[test]
fn first_ones_mean_little() {
    let directory = measured(2);
    assert!((25.0..35.0).contains(&directory.best_prefill_rate(MODEL)));
}
