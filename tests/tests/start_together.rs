//! Many boxes that start at the same moment find each other soon, without a flood of datagrams.
//!
//! If every box greets every other and all answer, 985 boxes send 2.2 million datagrams in their
//! first two seconds. Counting all boxes again with each of these takes 60% of the processor time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::evacuation::Evacuation;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::Message;
use hollyspoke_tests::gateway::{configuration, engines, settings};

/// The data centres, among which the boxes are spread.
const DATA_CENTRES: [&str; 5] = ["north", "south", "east", "west", "centre"];

/// How long a datagram takes to arrive.
const DATAGRAM_DELAY: Duration = Duration::from_millis(1);

/// How long the store takes to answer.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// The number of boxes that the settings name as seeds.
const SEED_COUNT: usize = 3;

/// A planned event of a box.
#[derive(Debug)]
enum Due {
    /// A datagram arrives.
    Datagram(Arc<Message>),
    /// The store answers an operation.
    Stored(u64),
}

/// Boxes that have started together.
struct Boxes {
    /// The boxes.
    gateways: Vec<Gateway>,
    /// The planned ticks of the boxes, by time.
    ticks: BTreeMap<(Time, usize), ()>,
    /// The time of the next tick of each box.
    ticks_at: Vec<Time>,
    /// The planned events, by time.
    due: BTreeMap<(Time, u64), (usize, Due)>,
    /// The number of the next entry of `due`.
    next: u64,
    /// The number of datagrams that have arrived.
    datagrams: usize,
}

/// Returns the peer address of a box.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 8, (number / 250) as u8, (number % 250) as u8], 7000))
}

/// Returns the number of the box that has this peer address.
fn number_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(it) => {
            let [.., high, low] = it.ip().octets();
            usize::from(high) * 250 + usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("boxes have IPv4 addresses here"),
    }
}

impl Boxes {
    /// Starts boxes that have the configuration and the engines from the start.
    fn start(count: usize) -> Boxes {
        let make = |number: usize| {
            Gateway::new(Settings {
                data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
                peer: address(number),
                front: SocketAddr::new(address(number).ip(), 8000),
                incarnation: number as u64 + 1,
                ..settings(1)
            })
        };
        let mut boxes = Boxes {
            gateways: (0..count).map(make).collect(),
            ticks: BTreeMap::new(),
            ticks_at: vec![Time::ZERO; count],
            due: BTreeMap::new(),
            next: 0,
            datagrams: 0,
        };
        let seeds: Vec<_> = (0..SEED_COUNT.min(count)).map(address).collect();
        for number in 0..count {
            // The boxes start within 0.3 s of each other, in mixed order.
            let now = Time::from_millis((number as u64 * 7) % 300);
            for event in [
                Event::Seeds(seeds.clone()),
                Event::Configured(Arc::new(configuration(1))),
                Event::Listed(engines(), 10.into()),
                Event::Evacuated(Evacuation { revision: 10.into(), ..Evacuation::default() }),
                Event::StoreAnswered(Kind::Configuration),
            ] {
                boxes.step(number, now, event);
            }
        }
        boxes
    }

    /// Applies an event to a box, and plans its next tick.
    fn step(&mut self, number: usize, now: Time, event: Event) {
        let effects = self.gateways[number].step(now, event);
        for effect in effects {
            self.carry_out(number, now, effect);
        }
        let due = self.gateways[number].next_due().max(now + Duration::from_micros(10));
        self.ticks.remove(&(self.ticks_at[number], number));
        self.ticks_at[number] = due;
        self.ticks.insert((due, number), ());
    }

    /// Carries out an effect of a box.
    fn carry_out(&mut self, number: usize, now: Time, effect: Effect) {
        match effect {
            Effect::Announce(audience, message) => {
                let message = Arc::new(*message);
                for receiver in audience {
                    let due = Due::Datagram(message.clone());
                    self.plan(now + DATAGRAM_DELAY, number_of(receiver), due);
                }
            }
            Effect::Store(operation, Operation::Get { .. }) => {
                self.plan(now + STORE_DELAY, number, Due::Stored(operation));
            }
            _ => {}
        }
    }

    /// Plans an event of a box.
    fn plan(&mut self, at: Time, number: usize, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next), (number, due));
    }

    /// Runs the boxes until a time.
    fn run(&mut self, end: Time) {
        loop {
            let due = self.due.first_key_value().map(|it| it.0.0);
            let tick = self.ticks.first_key_value().map(|it| it.0.0);
            let Some(next) = due.into_iter().chain(tick).min().filter(|&it| it <= end) else {
                return;
            };
            if due == Some(next) {
                let Some(((at, _), (number, due))) = self.due.pop_first() else { return };
                match due {
                    Due::Datagram(message) => {
                        self.datagrams += 1;
                        self.step(number, at, Event::Received(Message::clone(&message)));
                    }
                    Due::Stored(operation) => {
                        self.step(number, at, Event::Stored(operation, Answer::Absent));
                    }
                }
            } else if let Some(((at, number), ())) = self.ticks.pop_first() {
                self.step(number, at, Event::Tick);
            }
        }
    }

    /// Returns the lowest number of live boxes that any box knows.
    fn min_known_box_count(&self) -> usize {
        self.gateways.iter().map(Gateway::alive_box_count).min().unwrap_or(0)
    }
}

#[test]
fn boxes_stay_unknown() {
    for count in [6, 30, 120] {
        let mut boxes = Boxes::start(count);
        // With more than 100 boxes, heartbeats to other data centres are sent every 3.2 s.
        boxes.run(Time::from_millis(5_000));
        assert_eq!(boxes.min_known_box_count(), count);
    }
}

#[test]
fn datagrams_grow_quadratically() {
    // If all boxes greet all others, which answer, and each box announces every new cadence and
    // version to all, 300 boxes send 274,425 datagrams in two seconds and 985 send 2,166,366. With
    // fewer announcements these are 162,026 and 1,117,794.
    let datagrams = |count: usize| {
        let mut boxes = Boxes::start(count);
        boxes.run(Time::from_millis(2_000));
        boxes.datagrams
    };
    let (few, many) = (datagrams(100), datagrams(300));

    assert!(many < few * 4, "{few} datagrams of 100 boxes, {many} of 300");
}
