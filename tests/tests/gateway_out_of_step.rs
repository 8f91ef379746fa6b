//! Boxes that are cut off or stand still while engines of a new version join: streams that began at
//! these engines through other boxes go on at no other version.

use std::time::Duration;

use hollyspoke_tests::fleet::{Fleet, StreamCounts, Traffic};

/// The number of boxes.
const BOXES: usize = 9;

/// The number of engines of the new version.
const JOINING: u8 = 6;

/// The interval at which clients of boxes in touch lose their connections.
const BREAK_INTERVAL: Duration = Duration::from_millis(200);

/// The time after which the store tells that one version alone has served.
const AWARE_AFTER: Duration = Duration::from_secs(40);

/// The seeds of each case.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// How long boxes are out of step, in milliseconds.
const OUTAGES_MS: [u64; 3] = [300, 1500, 6000];

/// Creates boxes before engines of one version.
fn one_version(seed: u64) -> Fleet {
    let mut fleet = Fleet::resuming(BOXES, seed);
    fleet.traffic = Traffic { plain: 0.1, streams: 0.1 };
    fleet.run(AWARE_AFTER);
    fleet.traffic.streams = 60.0;
    fleet.stream_duration = Duration::from_secs(1);
    fleet.run(Duration::from_secs(1));
    // Boxes that can't place a stream read in the store which version has served alone.
    fleet.restart(0..BOXES);
    fleet.run(Duration::from_secs(5));
    fleet
}

/// Runs the fleet while the clients of all boxes but some lose their connections.
fn run_breaking(fleet: &mut Fleet, out_of_step: &[usize], duration: Duration) {
    let in_touch: Vec<_> = (0..BOXES).filter(|it| !out_of_step.contains(it)).collect();
    let end = fleet.now() + duration;
    while fleet.now() < end {
        fleet.run(BREAK_INTERVAL.min(end.since(fleet.now())));
        fleet.drop_clients(&in_touch);
    }
}

/// Runs boxes cut off from the store and all others from `lead` before the join, and heals them.
fn cut(seed: u64, boxes: &[usize], is_each: bool, lead: u64, outage: u64) -> StreamCounts {
    let mut fleet = one_version(seed);
    fleet.isolate(boxes.iter().copied(), is_each);
    fleet.run(Duration::from_millis(lead));
    fleet.join(JOINING, "v2");
    run_breaking(&mut fleet, boxes, Duration::from_millis(outage));
    fleet.heal(boxes.iter().copied());
    run_breaking(&mut fleet, boxes, Duration::from_secs(2));
    counts(&fleet)
}

/// Returns what became of the streams, of which enough are of the new version.
fn counts(fleet: &Fleet) -> StreamCounts {
    assert!(fleet.streams_of("v2") >= 12);
    fleet.stream_counts()
}

/// Collects the runs with mixed streams, over all seeds and durations.
fn mixed(mut play: impl FnMut(u64, u64) -> StreamCounts) -> Vec<String> {
    let mut found = Vec::new();
    for seed in SEEDS {
        for outage in OUTAGES_MS {
            let counts = play(seed, outage);
            if counts.mixed > 0 {
                found.push(format!("seed {seed}, {outage} ms: {}", counts.mixed));
            }
        }
    }
    found
}

#[test]
fn isolated_box_mixes_versions() {
    let found = mixed(|seed, outage| cut(seed, &[4], true, 50, outage));
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn isolated_boxes_mix_versions() {
    let found = mixed(|seed, outage| cut(seed, &[1, 4, 8], true, 50, outage));
    assert!(found.is_empty(), "{found:?}");
}

/// The boxes that are cut off still hear each other.
#[test]
fn group_mixes_versions() {
    let found = mixed(|seed, outage| cut(seed, &[1, 4, 8], false, 300, outage));
    assert!(found.is_empty(), "{found:?}");
}

/// Clients return only after seconds.
#[test]
fn late_returns_mix_versions() {
    let found = mixed(|seed, outage| {
        let mut fleet = one_version(seed);
        fleet.return_after_ms(5..=3000);
        fleet.isolate([1, 4, 8], true);
        fleet.run(Duration::from_millis(50));
        fleet.join(JOINING, "v2");
        run_breaking(&mut fleet, &[1, 4, 8], Duration::from_millis(outage));
        fleet.heal([1, 4, 8]);
        run_breaking(&mut fleet, &[1, 4, 8], Duration::from_secs(4));
        counts(&fleet)
    });
    assert!(found.is_empty(), "{found:?}");
}

/// The boxes that began the streams, and some that hold them, are killed.
#[test]
fn lost_holders_mix_versions() {
    let found = mixed(|seed, outage| {
        let mut fleet = one_version(seed);
        fleet.isolate([1, 4], true);
        fleet.run(Duration::from_millis(50));
        fleet.join(JOINING, "v2");
        run_breaking(&mut fleet, &[1, 4], Duration::from_millis(outage.min(600)));
        fleet.kill([2, 5, 6, 7]);
        run_breaking(&mut fleet, &[1, 4], Duration::from_millis(outage));
        fleet.heal([1, 4]);
        fleet.start([2, 5, 6, 7]);
        run_breaking(&mut fleet, &[1, 4], Duration::from_secs(2));
        counts(&fleet)
    });
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn paused_boxes_mix_versions() {
    let found = mixed(|seed, outage| {
        let mut fleet = one_version(seed);
        for number in [1, 4, 8] {
            fleet.pause(number, Duration::from_millis(outage));
        }
        fleet.run(Duration::from_millis(50));
        fleet.join(JOINING, "v2");
        run_breaking(&mut fleet, &[1, 4, 8], Duration::from_millis(outage + 2000));
        counts(&fleet)
    });
    assert!(found.is_empty(), "{found:?}");
}

/// Boxes in touch go on with the streams that they lost, while a box is missing and one version serves.
#[test]
fn missing_box_refuses_streams() {
    for seed in SEEDS {
        let mut fleet = one_version(seed);
        fleet.kill([4]);
        for _ in 0..5 {
            fleet.run(Duration::from_secs(1));
            // All boxes that knew the streams forget them.
            fleet.restart([0, 1, 2, 3, 5]);
            fleet.run(Duration::from_secs(4));
        }
        let counts = fleet.stream_counts();
        assert_eq!(counts.mixed, 0, "{counts:?}");
        assert!(counts.all_went_on >= counts.begun / 2.0, "seed {seed}: {counts:?}");
    }
}
