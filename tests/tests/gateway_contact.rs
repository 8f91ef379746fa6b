//! Boxes that lose the path to all engines while clients and the other boxes still reach them.

use std::ops::Range;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::effect::{Effect, Task};
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::request::{Request, RequestKey};
use hollyspoke_tests::crashes::RESTART_DELAY;
use hollyspoke_tests::fleet::{Fleet, Path};
use hollyspoke_tests::gateway::{World, request};

/// The number of boxes at the users' site.
const BOX_COUNT: usize = 6;

/// How long the boxes are cut off from the engines.
const CUT_DURATION: Duration = Duration::from_secs(12);

/// The time after which the users count what a box that is cut off fails to serve.
const CONTACT_DURATION: Duration = Duration::from_secs(3);

/// The share of the other boxes' served requests that a box that is cut off must reach.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;

/// Cuts the first boxes of a fleet off for a time, and returns the period that counts.
fn cut(fleet: &mut Fleet, count: usize, path: Path) -> Range<Time> {
    fleet.set_path(0..count, path);
    let start = fleet.now() + CONTACT_DURATION;
    fleet.run(CUT_DURATION);
    let end = fleet.now();
    // The answers to the last requests arrive.
    fleet.run(Duration::from_secs(1));
    start..end
}

/// Returns the served shares of requests at the first boxes of a fleet and at the others.
fn served(fleet: &Fleet, count: usize, period: &Range<Time>) -> (f64, f64) {
    let numbers: Vec<_> = (0..BOX_COUNT).collect();
    let (cut, others) = numbers.split_at(count);
    let (cut, others) =
        (fleet.records.served(cut, period.clone()), fleet.records.served(others, period.clone()));
    assert!(cut.0 > 20 && others.0 > 20, "both have requests: {cut:?}, {others:?}");
    (cut.1, others.1)
}

/// Whatever number of boxes has lost the path, and however, their clients are served by way of the
/// others, and those of the others as before.
#[test]
fn requests_refused_without_path() {
    for path in [Path::Silent, Path::Refused] {
        for count in [1, 3, 5] {
            for seed in 1..=4 {
                let mut fleet = Fleet::settled(BOX_COUNT, seed);
                let period = cut(&mut fleet, count, path);
                let (cut, others) = served(&fleet, count, &period);
                let case = format!("{path:?}, {count} boxes, seed {seed}: {cut} and {others}");
                assert!(cut >= others * MIN_SERVED_RATIO, "{case}");
                assert!(others >= 0.95, "{case}");
            }
        }
    }
}

/// A box that has its path back sends requests to engines itself again.
#[test]
fn path_back_not_noticed() {
    let mut fleet = Fleet::settled(BOX_COUNT, 1);
    cut(&mut fleet, 3, Path::Silent);
    fleet.set_path(0..3, Path::Open);
    fleet.run(Duration::from_secs(1));
    let since = fleet.now();
    fleet.run(Duration::from_secs(5));
    for number in 0..3 {
        let arrivals = fleet.records.arrivals.iter();
        let own = arrivals.filter(|it| it.request.0 == number && it.at >= since).count();
        assert!(own > 10, "box {number}: {own}");
    }
}

/// If no box has a path, requests are refused at once and not passed around.
#[test]
fn requests_passed_around_without_path() {
    let mut fleet = Fleet::settled(BOX_COUNT, 1);
    let period = cut(&mut fleet, BOX_COUNT, Path::Refused);
    let numbers: Vec<_> = (0..BOX_COUNT).collect();
    let (count, share) = fleet.records.served(&numbers, period);
    assert!(count > 100);
    assert!(share < 0.01, "{share}");
}

/// A box serves only so many requests of other boxes at a time, and refuses the rest at once.
#[test]
fn box_drowned_by_others() {
    let mut world = World::new();
    for number in 0..=1000 {
        let tokens = Some(10);
        let request = Request {
            is_proxied: true,
            prompt_tokens: tokens,
            max_answer_tokens: tokens,
            expected_answer_tokens: tokens,
            ..request("resumed")
        };
        let effects = world.event(Event::Arrived(RequestKey(5000 + number), request));
        let is_refused = effects.iter().any(|it| matches!(it, Effect::Refuse(..)));
        assert_eq!(is_refused, number == 1000, "{number}");
    }
    let (_, send) = world.first_call(request("safe"));
    assert_eq!(send.task, Task::Plain, "its own clients are served");
}

/// Requests whose boxes lose the path, again and again, did not crash the engines that these boxes
/// can't reach.
#[test]
fn lost_path_taken_for_crashes() {
    for (seed, popular) in [(1, "resumed"), (2, "once"), (3, "safe")] {
        let mut fleet = Fleet::settled(BOX_COUNT, seed);
        fleet.popular = Some((popular, Duration::from_millis(70)));
        for _ in 0..6 {
            let engines: Vec<_> = fleet.engines().iter().map(|it| it.key).collect();
            // The connections break with the path.
            fleet.reset_all(engines);
            fleet.set_path(0..3, Path::Refused);
            fleet.run(Duration::from_secs(2));
            fleet.set_path(0..3, Path::Open);
            fleet.run(Duration::from_secs(2));
        }
        assert_eq!(fleet.crashes.wrongly_quarantined(), 0, "seed {seed}, {popular}");
    }
}

/// Boxes that lose the path and have it back tell nobody that engines are unreachable.
#[test]
fn lost_path_reported_as_unreachable_engines() {
    for path in [Path::Silent, Path::Refused] {
        let mut fleet = Fleet::settled(BOX_COUNT, 1);
        cut(&mut fleet, 3, path);
        fleet.set_path(0..3, Path::Open);
        fleet.run(Duration::from_secs(3));
        assert_eq!(fleet.records.unreachable_reports, 0, "{path:?}");
    }
}

/// Crashed engines are no lost path: no box loses contact while others of the service answer.
#[test]
fn crashes_taken_for_lost_path() {
    for seed in 1..=4 {
        let mut fleet = Fleet::settled(BOX_COUNT, seed);
        for round in 0..10 {
            let engines: Vec<_> = fleet.engines().iter().map(|it| it.key).collect();
            let crashed = engines.iter().enumerate().filter(|(it, _)| it % 4 == round % 4);
            fleet.crash_all(crashed.map(|it| *it.1));
            fleet.run(RESTART_DELAY + Duration::from_millis(300));
        }
        assert_eq!(fleet.records.contact_losses, 0, "seed {seed}");
    }
}
