//! How many boxes live, as the store keeps it: who reads it, who writes it, and when.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::message::{Message, Readiness, StoreView};
use hollyspoke_tests::gateway::{World, configuration, engines, heartbeat};

/// A box, the store, and other boxes that tell that they live.
struct Site {
    /// The box.
    world: World,
    /// The object: its version, 0 for none, and its value.
    object: (u64, String),
    /// Whether the store answers.
    has_store: bool,
    /// The other boxes, by their numbers.
    others: Vec<u8>,
    /// Counts their heartbeats.
    sequence: u64,
    /// The operations that the box began.
    operations: Vec<Operation>,
}

impl Site {
    /// Makes a box that has just started among others.
    fn new(others: &[u8]) -> Site {
        Site::numbered(1, others)
    }

    /// Makes a box of a number.
    fn numbered(own: u8, others: &[u8]) -> Site {
        Site {
            world: World::numbered(own),
            object: (0, String::new()),
            has_store: true,
            others: others.to_vec(),
            sequence: 0,
            operations: Vec::new(),
        }
    }

    /// Lets time pass.
    fn pass(&mut self, span: Duration) {
        let end = self.world.now + span;
        let configured = Event::Configured(Arc::new(configuration(1)));
        let mut effects = self.world.event(configured);
        effects.extend(self.world.event(Event::Listed(engines(), 10.into())));
        self.answer(&effects);
        while self.world.now < end {
            self.sequence += 1;
            effects.clear();
            for &number in &self.others {
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
            let answer = if self.has_store { self.carry_out(operation) } else { Answer::Away };
            self.world.event(Event::Stored(*number, answer));
        }
    }

    /// Carries an operation out.
    fn carry_out(&mut self, operation: &Operation) -> Answer {
        let (version, value) = self.object.clone();
        match operation {
            Operation::Get { .. } if version == 0 => Answer::Absent,
            Operation::Get { .. } => Answer::Found { version, value },
            Operation::Put { expected, .. } if *expected != version => Answer::Conflict,
            Operation::Put { value, .. } => {
                self.object = (version + 1, value.clone());
                Answer::Written { version: version + 1 }
            }
        }
    }

    /// Gives how many boxes the box tells of.
    fn told(&mut self) -> u32 {
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

/// The number is read once and written once, however long nothing changes: calls to the store are
/// not free.
#[test]
fn written_once() {
    let mut site = writing();
    site.pass(Duration::from_secs(90));
    assert_eq!(site.object, (1, "3".to_owned()));
    assert_eq!(site.operations.len(), 2, "{:?}", site.operations);
}

/// Gives a site of three whose box is the first, so that it has written the number.
fn writing() -> Site {
    let sites = [(1, [2, 3]), (2, [1, 3]), (3, [1, 2])].map(|(own, others)| {
        let mut site = Site::numbered(own, &others);
        site.pass(Duration::from_secs(10));
        site
    });
    sites.into_iter().find(|it| it.object.0 == 1).expect("one of the three is the first")
}

#[test]
fn written_anew_when_more_live() {
    let mut site = writing();
    site.others.push(30);
    site.pass(Duration::from_secs(5));
    site.pass(Duration::from_secs(5));
    assert_eq!(site.object, (2, "4".to_owned()));
}

/// A box that starts in a part that is cut off learns of the others, and tells them.
#[test]
fn read_at_the_start() {
    let mut site = Site::new(&[2, 3]);
    site.object = (7, "78".to_owned());
    site.pass(Duration::from_secs(3));
    assert_eq!(site.told(), 78);
}

/// Once a box has heard as many itself, it goes by its hearing: those that were stopped in order
/// since don't count.
#[test]
fn hearing_goes_first() {
    let mut site = Site::new(&[2, 3]);
    site.object = (7, "3".to_owned());
    site.pass(Duration::from_secs(3));
    assert_eq!(site.told(), 3);
    site.sequence += 1;
    let stopping = heartbeat(3, site.sequence, StoreView::default());
    site.world.event(Event::Received(Message { readiness: Readiness::Stopping, ..stopping }));
    site.others = vec![2];
    site.pass(Duration::from_secs(3));
    assert_eq!(site.told(), 2);
}

/// Fewer boxes are written only after a minute: those that were stopped may be back.
#[test]
fn lowered_late() {
    let mut site = writing();
    let stopped = site.others.pop().expect("there are two");
    site.sequence += 1;
    let stopping = heartbeat(stopped, site.sequence, StoreView::default());
    site.world.event(Event::Received(Message { readiness: Readiness::Stopping, ..stopping }));
    site.pass(Duration::from_secs(50));
    assert_eq!(site.object.1, "3");
    site.pass(Duration::from_secs(20));
    assert_eq!(site.object.1, "2");
}

/// A number that another box has written meanwhile is read before it is written again, and what is
/// no number is replaced.
#[test]
fn conflicts_and_nonsense() {
    let mut site = writing();
    site.object = (9, "many".to_owned());
    site.others.push(12);
    site.pass(Duration::from_secs(20));
    assert_eq!(site.object, (10, "4".to_owned()));
}

/// While the store gives no answer the box asks again every two seconds, and goes by its hearing.
#[test]
fn store_away() {
    let mut site = Site::new(&[2, 3]);
    site.has_store = false;
    site.pass(Duration::from_secs(10));
    assert_eq!(site.told(), 3);
    assert!((3..=6).contains(&site.operations.len()), "{:?}", site.operations);
}
