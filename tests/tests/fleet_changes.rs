//! All boxes learn in time that an engine drains: also those that have missed datagrams, whose relay
//! is gone, or that start meanwhile.

use std::time::Duration;

use hollyspoke_gateway::gateway::Gateway;
use hollyspoke_tests::crowd::{Boxes, Size};

/// Half of the time within which an engine that drains may still get requests at the users' largest
/// site.
const MAX_DELAY: Duration = Duration::from_millis(2500);

/// The time in which boxes that have started together serve and have decided on their duties.
const START_DURATION: Duration = Duration::from_secs(12);

/// One box in this many is lost before the engine drains, and starts again.
const BOXES_PER_LOST: usize = 20;

/// How long these are down.
const DOWN_DURATION: Duration = Duration::from_millis(300);

/// Starts boxes, of which some are lost just before an engine drains and start again meanwhile.
/// Returns the time until all know.
fn delay(size: Size, lost: f64, seed: u64) -> Option<Duration> {
    let mut boxes = Boxes::start_uninformed(size, seed);
    boxes.run(START_DURATION);
    assert!(boxes.up().all(Gateway::is_ready), "not all of {size:?} are ready");
    boxes.lost = lost;
    let restarted: Vec<_> = (0..size.boxes).filter(|it| it % BOXES_PER_LOST == 7).collect();
    restarted.iter().for_each(|it| boxes.kill(*it));
    let revision = boxes.drain_engine();
    boxes.run(DOWN_DURATION);
    restarted.iter().for_each(|it| boxes.start(*it));
    let knows = |it: &Gateway| it.engine_revision() >= revision;
    Some(DOWN_DURATION + boxes.run_until(knows, MAX_DELAY * 4)?)
}

#[test]
fn drain_learnt_late() {
    // Boxes send heartbeats the less often the more of them there are in a data centre.
    let crowded = Size { data_centres: 1, ..Size::of(205) };
    let cases = [(Size::of(30), 0.2), (Size::of(120), 0.05), (crowded, 0.3), (crowded, 0.5)];
    for (seed, (size, lost)) in (1..).zip(cases) {
        let delay = delay(size, lost, seed);
        let is_in_time = delay.is_some_and(|it| it <= MAX_DELAY);
        assert!(is_in_time, "{size:?}, {lost} lost, seed {seed}: {delay:?}");
    }
}
