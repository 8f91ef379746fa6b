//! The number of live boxes in the store: which boxes read and write it, and when.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::message::{Message, Readiness, StoreView};
use hollyspoke_tests::gateway::{World, configuration, engines, heartbeat};

/// A box, the store, and other boxes that send heartbeats.
struct Simulation {
    /// The box.
    world: World,
    /// The object: its version, 0 for none, and its value.
    object: (u64, String),
    /// Whether the store answers.
    has_store: bool,
    /// The other boxes, by their numbers.
    other_boxes: Vec<u8>,
    /// Counts their heartbeats.
    sequence: u64,
    /// The operations that the box began.
    operations: Vec<Operation>,
}

impl Simulation {
    /// Makes a box that has just started among others.
    fn new(other_boxes: &[u8]) -> Simulation {
        Simulation::with_number(1, other_boxes)
    }

    /// Makes a box with the given number.
    fn with_number(own: u8, other_boxes: &[u8]) -> Simulation {
        Simulation {
            world: World::numbered(own),
            object: (0, String::new()),
            has_store: true,
            other_boxes: other_boxes.to_vec(),
            sequence: 0,
            operations: Vec::new(),
        }
    }

    /// Lets time pass.
    fn pass(&mut self, duration: Duration) {
        let end = self.world.now + duration;
        let configured = Event::Configured(Arc::new(configuration(1)));
        let mut effects = self.world.event(configured);
        effects.extend(self.world.event(Event::Listed(engines(), 10.into())));
        self.answer(&effects);
        while self.world.now < end {
            self.sequence += 1;
            effects.clear();
            for &number in &self.other_boxes {
                let beat = heartbeat(number, self.sequence, StoreView::default());
                effects.extend(self.world.event(Event::Received(beat)));
            }
            effects.extend(self.world.event(Event::StoreAnswered(Kind::Configuration)));
            effects.extend(self.world.event(Event::StoreAnswered(Kind::Engines)));
            effects.extend(self.world.event(Event::StoreAnswered(Kind::Evacuations)));
            effects.extend(self.world.advance(Duration::from_millis(200)));
            self.answer(&effects);
        }
    }

    /// Answers the operations that the box has begun.
    fn answer(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::Store(number, operation) = effect else { continue };
            self.operations.push(operation.clone());
            let answer = if self.has_store { self.apply(operation) } else { Answer::Away };
            self.world.event(Event::Stored(*number, answer));
        }
    }

    /// Applies an operation to the object.
    fn apply(&mut self, operation: &Operation) -> Answer {
        let (version, value) = self.object.clone();
        match operation {
            Operation::Get { .. } | Operation::Peek { .. } if version == 0 => Answer::Absent,
            Operation::Get { .. } | Operation::Peek { .. } => Answer::Found { version, value },
            Operation::Put { expected, .. } if *expected != version => Answer::Conflict,
            Operation::Put { value, .. } => {
                self.object = (version + 1, value.clone());
                Answer::Written { version: version + 1 }
            }
        }
    }

    /// Returns the number of boxes that the box announces.
    fn announced_box_count(&mut self) -> u32 {
        let end = self.world.now + Duration::from_millis(400);
        let mut boxes = None;
        while self.world.now < end {
            self.world.now = self.world.now + Duration::from_millis(10);
            for effect in self.world.gateway.step(self.world.now, Event::Tick) {
                if let Effect::Announce(_, message) = effect {
                    boxes = Some(message.usage.peak_boxes);
                }
            }
        }
        boxes.expect("a heartbeat")
    }
}

/// Without changes the number is looked at once at the start, read once and written once, since calls
/// to the store have a cost.
#[test]
fn repeated_store_writes() {
    let mut site = writing_simulation();
    site.pass(Duration::from_secs(90));
    assert_eq!(site.object, (1, "3".to_owned()));
    let is_look = |it: &&Operation| matches!(it, Operation::Peek { .. });
    let (looks, others): (Vec<_>, Vec<_>) = site.operations.iter().partition(is_look);
    assert_eq!((looks.len(), others.len()), (1, 2), "{:?}", site.operations);
}

/// Returns a site of three boxes whose own box is the first and has written the number.
fn writing_simulation() -> Simulation {
    let sites = [(1, [2, 3]), (2, [1, 3]), (3, [1, 2])].map(|(own, other_boxes)| {
        let mut site = Simulation::with_number(own, &other_boxes);
        site.pass(Duration::from_secs(10));
        site
    });
    sites.into_iter().find(|it| it.object.0 == 1).expect("one of the three is the first")
}

#[test]
fn joined_box_not_counted() {
    let mut site = writing_simulation();
    site.other_boxes.push(30);
    site.pass(Duration::from_secs(5));
    site.pass(Duration::from_secs(5));
    assert_eq!(site.object, (2, "4".to_owned()));
}

/// A box that starts in a partition has to read the number, and to announce it.
#[test]
fn stored_count_ignored() {
    let mut site = Simulation::new(&[2, 3]);
    site.object = (7, "78".to_owned());
    site.pass(Duration::from_secs(3));
    assert_eq!(site.announced_box_count(), 78);
}

/// Once a box has received as many heartbeats itself, its own count holds: boxes that have stopped
/// in order since are not counted.
#[test]
fn stale_count_preferred() {
    let mut site = Simulation::new(&[2, 3]);
    site.object = (7, "3".to_owned());
    site.pass(Duration::from_secs(3));
    assert_eq!(site.announced_box_count(), 3);
    site.sequence += 1;
    let stopping = heartbeat(3, site.sequence, StoreView::default());
    site.world.event(Event::Received(Message { readiness: Readiness::Stopping, ..stopping }));
    site.other_boxes = vec![2];
    site.pass(Duration::from_secs(3));
    assert_eq!(site.announced_box_count(), 2);
}

/// A lower number is written only after a minute, as stopped boxes may return.
#[test]
fn count_lowered_early() {
    let mut site = writing_simulation();
    let stopped = site.other_boxes.pop().expect("there are two");
    site.sequence += 1;
    let stopping = heartbeat(stopped, site.sequence, StoreView::default());
    site.world.event(Event::Received(Message { readiness: Readiness::Stopping, ..stopping }));
    site.pass(Duration::from_secs(50));
    assert_eq!(site.object.1, "3");
    site.pass(Duration::from_secs(20));
    assert_eq!(site.object.1, "2");
}

/// After a conflict the number is read before it is written again, and an invalid value is
/// replaced.
#[test]
fn conflicting_or_invalid_count() {
    let mut site = writing_simulation();
    site.object = (9, "many".to_owned());
    site.other_boxes.push(12);
    site.pass(Duration::from_secs(20));
    assert_eq!(site.object, (10, "4".to_owned()));
}

/// Without the store a box retries every two seconds, and uses its own count.
#[test]
fn unavailable_store_polled_often() {
    let mut site = Simulation::new(&[2, 3]);
    site.has_store = false;
    site.pass(Duration::from_secs(10));
    assert_eq!(site.announced_box_count(), 3);
    assert!((3..=6).contains(&site.operations.len()), "{:?}", site.operations);
}
