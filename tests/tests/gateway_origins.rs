//! Streams that clients take up again, in virtual time: they go on, and only at the version of the
//! engines' software that began them.

use std::time::Duration;

use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::MODEL;
use proptest::prelude::*;

/// The number of boxes.
const BOXES: usize = 9;

/// A second.
const SECOND: Duration = Duration::from_secs(1);

/// Creates boxes before engines of two versions, six of each.
fn two_versions(seed: u64) -> Fleet {
    let mut fleet = Fleet::resuming(BOXES, seed);
    let engines = fleet.decode_engines();
    fleet.release(engines.into_iter().take(6), "v2");
    fleet.run(SECOND * 5);
    fleet
}

/// Checks both rules.
fn check(fleet: &Fleet) {
    let counts = fleet.stream_counts();
    assert_eq!(counts.mixed, 0, "{counts:?}");
    assert!(counts.goes_on(), "{counts:?}");
}

/// Checks both rules where enough streams were taken up for their share to count.
fn check_taken_up(fleet: &Fleet) {
    check(fleet);
    let counts = fleet.stream_counts();
    assert!(counts.taken_up >= 12, "{counts:?}");
}

/// Kills one box after the other, and starts each again.
fn kill_in_turn(fleet: &mut Fleet) {
    for number in (0..BOXES).cycle().take(60) {
        fleet.kill([number]);
        fleet.run(SECOND / 2);
        fleet.start([number]);
        fleet.run(SECOND / 2);
    }
}

#[test]
fn killed_box_loses_streams() {
    let mut fleet = two_versions(1);
    kill_in_turn(&mut fleet);
    check_taken_up(&fleet);
}

/// Two fleets of the same seed play the same, so that a failure can be played again.
#[test]
fn same_seed_differs() {
    let play = || {
        let mut fleet = two_versions(1);
        for _ in 0..10 {
            fleet.kill(0..6);
            fleet.run(SECOND);
            fleet.start(0..6);
            fleet.run(SECOND * 2);
        }
        format!("{:?} {:?}", fleet.stream_counts(), fleet.records)
    };
    assert!(play() == play());
}

#[test]
fn killed_majority_loses_streams() {
    let mut fleet = two_versions(2);
    for _ in 0..12 {
        fleet.kill(0..6);
        fleet.run(SECOND);
        fleet.start(0..6);
        fleet.run(SECOND * 6);
    }
    check_taken_up(&fleet);
}

/// A data centre is lost while engines of both versions crash.
#[test]
fn lost_data_centre_loses_streams() {
    let mut fleet = two_versions(3);
    for _ in 0..12 {
        let engines = fleet.decode_engines();
        fleet.crash_all(engines.into_iter().skip(4).take(5));
        fleet.kill((0..BOXES).step_by(3));
        fleet.run(SECOND * 2);
        fleet.start((0..BOXES).step_by(3));
        fleet.run(SECOND * 5);
    }
    check_taken_up(&fleet);
}

#[test]
fn lost_datagrams_lose_streams() {
    let mut fleet = two_versions(4);
    fleet.lost = 0.05;
    kill_in_turn(&mut fleet);
    check_taken_up(&fleet);
}

/// Clients come back later than their attempts last, and their boxes were killed.
#[test]
fn late_clients_lose_streams() {
    let mut fleet = two_versions(9);
    fleet.return_after(30..=60);
    for _ in 0..12 {
        fleet.restart((0..BOXES).step_by(3));
        fleet.run(SECOND * 8);
    }
    fleet.run(SECOND * 60);
    check_taken_up(&fleet);
}

/// Clients come back when the version that began their streams has left.
#[test]
fn late_clients_mix_versions() {
    let mut fleet = Fleet::resuming(BOXES, 10);
    fleet.return_after(40..=90);
    for version in ["v2", "v3"] {
        fleet.restart(0..3);
        fleet.run(SECOND);
        let engines = fleet.engines_of(MODEL);
        fleet.release(engines, version);
        fleet.run(SECOND * 100);
    }
    let counts = fleet.stream_counts();
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

/// Boxes that have all just started know nothing of the streams before.
#[test]
fn restarted_boxes_mix_versions() {
    let mut fleet = two_versions(5);
    for _ in 0..10 {
        fleet.restart(0..BOXES);
        fleet.run(SECOND * 3);
    }
    check(&fleet);
}

/// All boxes are lost at once while two versions serve: the store alone still knows who began the
/// streams that clients take up at the boxes that were started again.
#[test]
fn lost_boxes_lose_streams() {
    let mut fleet = two_versions(13);
    fleet.traffic.streams = 8.0;
    fleet.stream_duration = SECOND * 6;
    fleet.return_after(4..=6);
    for _ in 0..4 {
        fleet.run(SECOND * 8);
        fleet.kill(0..BOXES);
        fleet.run(SECOND / 2);
        fleet.start(0..BOXES);
        fleet.run(SECOND * 8);
    }
    check_taken_up(&fleet);
}

/// The store comes back from a copy that is older than the streams, and all boxes are lost after that.
#[test]
fn restored_store_loses_streams() {
    let mut fleet = two_versions(14);
    fleet.stream_duration = SECOND * 10;
    fleet.return_after(4..=6);
    for _ in 0..4 {
        let copy = fleet.store.clone();
        fleet.run(SECOND * 6);
        fleet.store.restore(&copy);
        fleet.run(SECOND * 4);
        fleet.kill(0..BOXES);
        fleet.run(SECOND / 2);
        fleet.start(0..BOXES);
        fleet.run(SECOND * 8);
    }
    check_taken_up(&fleet);
}

/// A second version joins when the streams that are then taken up have begun already, and all boxes are
/// lost right after that.
#[test]
fn streams_before_release_lost() {
    let mut fleet = Fleet::resuming(BOXES, 15);
    fleet.stream_duration = SECOND * 20;
    fleet.return_after(4..=6);
    fleet.run(SECOND * 15);
    fleet.join(6, "v2");
    fleet.run(SECOND * 3);
    fleet.kill(0..BOXES);
    fleet.run(SECOND / 2);
    fleet.start(0..BOXES);
    fleet.run(SECOND * 12);
    check_taken_up(&fleet);
}

/// Where only one version has ever served, boxes that have all just started go on with the streams
/// that they lost: the store tells them.
#[test]
fn only_version_forgotten() {
    let mut fleet = Fleet::resuming(BOXES, 8);
    fleet.run(SECOND * 40);
    for _ in 0..10 {
        fleet.restart(0..BOXES);
        fleet.run(SECOND * 3);
    }
    check(&fleet);
    let counts = fleet.stream_counts();
    assert!(counts.all_went_on >= counts.begun / 2.0, "{counts:?}");
}

/// A store that comes back from a copy takes back what boxes wrote, not what they know.
#[test]
fn restored_store_forgets_versions() {
    let mut fleet = Fleet::resuming(BOXES, 11);
    fleet.run(SECOND * 40);
    let copy = fleet.store.clone();
    fleet.run(SECOND * 2);
    fleet.store.restore(&copy);
    fleet.run(SECOND * 6);
    for _ in 0..10 {
        fleet.restart(0..BOXES);
        fleet.run(SECOND * 2);
    }
    check(&fleet);
    let counts = fleet.stream_counts();
    assert!(counts.all_went_on >= counts.begun / 2.0, "{counts:?}");
}

/// The last engines of a version leave while all boxes are down, so that nobody lists the version.
#[test]
fn vanished_version_forgotten() {
    let mut fleet = two_versions(6);
    for round in 0..6 {
        let version = if round % 2 == 0 { "v1" } else { "v2" };
        fleet.kill(0..BOXES);
        let engines = fleet.decode_engines();
        fleet.release(engines.iter().copied(), version);
        fleet.start(0..BOXES);
        fleet.run(SECOND * 4);
        fleet.release(engines.into_iter().skip(6), "v3");
        fleet.run(SECOND * 4);
    }
    check(&fleet);
}

/// Releases follow each other and go back, while boxes and engines fail.
#[test]
fn release_mixes_versions() {
    let mut fleet = two_versions(7);
    for round in 0..10 {
        let version = ["v2", "v3", "v1"][round % 3];
        for (number, engine) in fleet.decode_engines().into_iter().enumerate() {
            fleet.release([engine], version);
            if number % 4 == 0 {
                fleet.restart([(number + round) % BOXES]);
            }
            fleet.run(SECOND / 2);
        }
    }
    check(&fleet);
}

/// Engines are back under their ids with another version seconds before boxes read their entries.
#[test]
fn unlisted_release_mixes_versions() {
    let mut fleet = two_versions(12);
    fleet.traffic.streams = 60.0;
    fleet.listing_delay = SECOND * 2;
    for round in 0..12 {
        let version = ["v1", "v2"][round % 2];
        let engines = fleet.decode_engines();
        fleet.release(engines.iter().copied().skip(round % 6).step_by(3), version);
        for _ in 0..12 {
            fleet.run(SECOND / 2);
            fleet.reset_all(engines.iter().copied());
        }
    }
    check(&fleet);
}

/// What happens in a drawn run.
#[derive(Debug, Clone)]
enum Step {
    /// Boxes are killed and started again after a time in milliseconds.
    Kill(Vec<usize>, u64),
    /// Engines crash.
    Crash(Vec<usize>),
    /// Engines are replaced by ones of a version.
    Release(Vec<usize>, &'static str),
    /// The connections of engines break.
    Reset(Vec<usize>),
    /// A share of datagrams is lost from now on, in percent.
    Lose(u32),
    /// A box is cut off from the others for a time in milliseconds.
    Cut(usize, u64),
    /// Nothing happens for a time in milliseconds.
    Run(u64),
}

/// Draws some engines.
fn engines() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(0..12_usize, 1..8)
}

/// Draws a step.
fn step() -> impl Strategy<Value = Step> {
    let version = prop::sample::select(vec!["v1", "v2", "v3", ""]);
    prop_oneof![
        (prop::collection::vec(0..BOXES, 1..=BOXES), 0..2000_u64)
            .prop_map(|(boxes, pause)| Step::Kill(boxes, pause)),
        engines().prop_map(Step::Crash),
        (engines(), version).prop_map(|(engines, version)| Step::Release(engines, version)),
        engines().prop_map(Step::Reset),
        (0..=10_u32).prop_map(Step::Lose),
        (0..BOXES, 100..4000_u64).prop_map(|(number, pause)| Step::Cut(number, pause)),
        (100..6000_u64).prop_map(Step::Run),
    ]
}

/// Plays a step.
fn play(fleet: &mut Fleet, step: Step) {
    let all = fleet.decode_engines();
    let chosen = |places: Vec<usize>| places.into_iter().map(|it| all[it]).collect::<Vec<_>>();
    match step {
        Step::Kill(boxes, pause) => {
            fleet.kill(boxes.clone());
            fleet.run(Duration::from_millis(pause));
            fleet.start(boxes);
        }
        Step::Crash(engines) => fleet.crash_all(chosen(engines)),
        Step::Release(engines, version) => fleet.release(chosen(engines), version),
        Step::Reset(engines) => fleet.reset_all(chosen(engines)),
        Step::Lose(percent) => fleet.lost = f64::from(percent) / 100.0,
        Step::Cut(number, pause) => {
            fleet.partition([number], 1);
            fleet.run(Duration::from_millis(pause));
            fleet.partition([number], 0);
        }
        Step::Run(pause) => fleet.run(Duration::from_millis(pause)),
    }
    fleet.run(Duration::from_millis(200));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, ..ProptestConfig::default() })]

    /// Whatever happens, no stream holds events of two versions.
    #[test]
    fn drawn_faults_mix_versions(
        seed: u64,
        steps in prop::collection::vec(step(), 4..20),
    ) {
        let mut fleet = two_versions(seed);
        for step in steps {
            play(&mut fleet, step);
        }
        let counts = fleet.stream_counts();
        prop_assert_eq!(counts.mixed, 0, "{:?}", counts);
    }

    /// The same where clients come back later than their attempts last.
    #[test]
    fn drawn_returns_mix_versions(
        seed: u64,
        steps in prop::collection::vec(step(), 4..20),
    ) {
        let mut fleet = two_versions(seed);
        fleet.return_after(1..=60);
        for step in steps {
            play(&mut fleet, step);
        }
        fleet.run(SECOND * 30);
        let counts = fleet.stream_counts();
        prop_assert_eq!(counts.mixed, 0, "{:?}", counts);
    }
}
