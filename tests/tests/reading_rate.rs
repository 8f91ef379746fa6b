//! The prefill rate of engines, measured from their answers: waits behind work that the box does not know
//! of make most measurements too low.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::directory::Directory;
use hollyspoke_gateway::engine::{EngineKey, Stage};
use hollyspoke_tests::gateway::{MODEL, engine};

/// Returns a directory with the measurements of a prefill engine that prefills 33 tokens a millisecond.
/// Every fourth prompt finds it idle; the others take three times as long.
fn measured_directory(prompt_count: u64) -> Directory {
    let mut directory = Directory::default();
    directory.apply_list(
        vec![engine(11, MODEL, Some(Stage::Prefill))],
        10.into(),
        None,
        Time::ZERO,
    );
    let key = EngineKey::of("engine-11");
    for prompt in 0..prompt_count {
        let duration_factor = if prompt % 4 == 0 { 1 } else { 3 };
        let duration = Duration::from_millis(3300 / 33 * duration_factor);
        directory.measure(key, 3300, duration, Time::from_millis(1000 + prompt * 50));
    }
    directory
}

#[test]
fn waits_lower_rate() {
    let directory = measured_directory(200);
    let listed = directory.get(EngineKey::of("engine-11")).expect("it is listed");
    let usual_rate = directory.prefill_rate(listed, Time::from_millis(11_000));
    assert!(usual_rate < 26.0, "the usual rate counts the waits: {usual_rate}");
    let best_rate = directory.best_prefill_rate(MODEL);
    assert!((27.0..34.0).contains(&best_rate), "{best_rate}");
}

#[test]
fn first_rates_misleading() {
    let directory = measured_directory(2);
    assert!((25.0..35.0).contains(&directory.best_prefill_rate(MODEL)));
}
