//! Many boxes that start at the same moment: all are heard soon, by datagrams that do not grow with
//! the square of the boxes.
//!
//! 985 boxes sent each other 2.2 million datagrams in their first two seconds, and counted all the
//! others with each that they received: six tenths of their processor time, by a profile of 40 of
//! them (`most_serving` 29 in 100, `count` 24, and the spans that it worked out 9).

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

/// The data centres.
const DATA_CENTRES: [&str; 5] = ["north", "south", "east", "west", "centre"];

/// How long a datagram takes.
const TRANSIT: Duration = Duration::from_millis(1);

/// How long the store takes to answer.
const STORE_ANSWERS_IN: Duration = Duration::from_millis(4);

/// How many boxes the settings name.
const SEEDS: usize = 3;

/// What is yet to happen to a box.
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
    /// When each needs a tick, in order.
    ticks: BTreeMap<(Time, usize), ()>,
    /// When each of them is to tick.
    ticks_at: Vec<Time>,
    /// What is yet to happen.
    due: BTreeMap<(Time, u64), (usize, Due)>,
    /// The number of the next entry of `due`.
    next: u64,
    /// The datagrams that have arrived.
    datagrams: usize,
}

/// Gives where a box listens.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 8, (number / 250) as u8, (number % 250) as u8], 7000))
}

/// Gives a box's number by where it listens.
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
    /// Starts boxes that know the configuration and the engines at once.
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
        let seeds: Vec<_> = (0..SEEDS.min(count)).map(address).collect();
        for number in 0..count {
            // Within 0.3 s of each other, in any order.
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

    /// Has a box take an event.
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

    /// Carries out what a box wants.
    fn carry_out(&mut self, number: usize, now: Time, effect: Effect) {
        match effect {
            Effect::Announce(audience, message) => {
                let message = Arc::new(*message);
                for receiver in audience {
                    let due = Due::Datagram(message.clone());
                    self.plan(now + TRANSIT, number_of(receiver), due);
                }
            }
            Effect::Store(operation, Operation::Get { .. }) => {
                self.plan(now + STORE_ANSWERS_IN, number, Due::Stored(operation));
            }
            _ => {}
        }
    }

    /// Adds what is yet to happen.
    fn plan(&mut self, at: Time, number: usize, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next), (number, due));
    }

    /// Lets time pass until a moment.
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

    /// Gives the fewest boxes that any box knows to live.
    fn fewest_known(&self) -> usize {
        self.gateways.iter().map(Gateway::alive_box_count).min().unwrap_or(0)
    }
}

#[test]
fn all_are_heard() {
    for count in [6, 30, 120] {
        let mut boxes = Boxes::start(count);
        // Heartbeats to other data centres come each 3.2 s where there are more than 100.
        boxes.run(Time::from_millis(5_000));
        assert_eq!(boxes.fewest_known(), count);
    }
}

#[test]
fn datagrams_grow_less_than_pairs() {
    // The datagrams of the first two seconds, where all greeted all and answered: 274,425 by 300
    // boxes and 2,166,366 by 985, and each box told all of each new cadence and version; now 162,026
    // and 1,117,794.
    let datagrams = |count: usize| {
        let mut boxes = Boxes::start(count);
        boxes.run(Time::from_millis(2_000));
        boxes.datagrams
    };
    let (few, many) = (datagrams(100), datagrams(300));

    assert!(many < few * 4, "{few} and {many}");
}
