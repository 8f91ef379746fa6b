//! The cost of the gateway's reducer by the number of boxes, at 30, 100, 300 and 1,000 boxes in five
//! data centres: what it takes to hear a change and a heartbeat, and to serve a stream, and to how
//! many boxes the stream is told. A cost that grows with all boxes shows here first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use criterion::Criterion;
use hollyspoke::time::Time;
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::{Engine, EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::{DataCentreKey, Extension, Load, Message, StoreView};
use hollyspoke_gateway::permit::Ask;
use hollyspoke_gateway::rate_limit::{Announcement, Reported};
use hollyspoke_gateway::request::RequestKey;
use hollyspoke_gateway::statement::Statement;
use hollyspoke_tests::gateway::{
    MODEL, PLAIN, configuration, engine, heartbeat, only_send, prefilled, ran, request, settings,
};

/// The data centres; the box under test stands in the first.
const DATA_CENTRES: [&str; 5] = ["north", "south", "east", "west", "centre"];

/// The engines, as many as the byte of a test's address allows.
const ENGINES: u8 = 200;

/// A gateway with other boxes, and its clock.
struct Site {
    /// The gateway.
    gateway: Gateway,
    /// The time.
    now: Time,
    /// The number of the next datagram of the others.
    sequence: u64,
    /// The number of the next request.
    flight: u64,
}

impl Site {
    /// Makes a site with a number of boxes.
    fn new(boxes: usize) -> Site {
        let gateway = Gateway::new(Settings { incarnation: 1, ..settings(1) });
        let mut site = Site { gateway, now: Time::from_millis(1000), sequence: 0, flight: 0 };
        site.step(Event::Configured(Arc::new(configuration(1))));
        site.step(Event::Listed(engines(), 10.into()));
        for number in 1..boxes {
            let message = site.message(number);
            site.step(Event::Received(message));
        }
        site
    }

    /// Takes an event a microsecond later.
    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.now = self.now + Duration::from_micros(1);
        self.gateway.step(self.now, event)
    }

    /// Makes a whole datagram of another box.
    fn message(&mut self, number: usize) -> Message {
        self.sequence += 1;
        let host = [10, 8, (number / 250) as u8, (number % 250) as u8];
        Message {
            sender: SocketAddr::from((host, 7000)),
            front: SocketAddr::from((host, 8000)),
            data_centre: DataCentreKey::of(DATA_CENTRES[number % DATA_CENTRES.len()]),
            loads: (0..3).map(|it| (key(it), load(it))).collect(),
            ..heartbeat(2, self.sequence, StoreView::default())
        }
    }

    /// Has all engines name a limit.
    fn limit_all(&mut self) {
        for engine in engines() {
            self.step(Event::Statement(
                engine.key,
                Statement { limit: Reported::Rate(100.0), ..Statement::default() },
            ));
        }
    }

    /// Makes another box's question for a permit.
    fn question(&mut self, number: usize) -> Message {
        let engine = key((self.sequence % u64::from(ENGINES)) as u8);
        let limit = Announcement { engine, born: None, rate: Some(100.0), age_ms: 0 };
        let asks = vec![Ask { number: self.sequence, limit, patience_ms: 60 }];
        let extension = Extension { asks, ..Extension::default() }.non_empty();
        let loads = Vec::new();
        Message { is_whole: false, loads, extension, ..self.message(number) }
    }

    /// Serves a stream; gives how many boxes were told of it, each time counted.
    fn stream(&mut self) -> usize {
        let flight = RequestKey(self.flight);
        self.flight += 1;
        let mut told = 0;
        let mut step = |site: &mut Site, event: Event| {
            let effects = site.step(event);
            let audiences = effects.iter().filter_map(|it| match it {
                Effect::Announce(boxes, message) if !message.is_whole => Some(boxes.len()),
                _ => None,
            });
            told += audiences.sum::<usize>();
            effects
        };
        let reading = only_send(&step(self, Event::Arrived(flight, request("once"))));
        let answer = Event::Call(reading.call, CallEvent::Answered(prefilled("h")));
        let generating = only_send(&step(self, answer));
        step(self, Event::Call(generating.call, CallEvent::Began(ran(200))));
        step(self, Event::Call(generating.call, CallEvent::Answered(ran(200))));
        told
    }
}

/// Gives the key of an engine.
fn key(number: u8) -> EngineKey {
    EngineKey::of(&format!("engine-{number}"))
}

/// Makes some work.
fn load(number: u8) -> Load {
    Load { prefill_tokens: 0, calls: 1, held_tokens: 1000 + u32::from(number) }
}

/// Makes engines in all data centres, a third of them readers.
fn engines() -> Vec<Engine> {
    let made = (0..ENGINES).map(|number| {
        let stage = if number % 3 == 0 { Stage::Prefill } else { Stage::Decode };
        let (service, stage) = if number < 5 { (PLAIN, None) } else { (MODEL, Some(stage)) };
        let data_centre = DATA_CENTRES[usize::from(number) % DATA_CENTRES.len()].into();
        Engine { data_centre, ..engine(number, service, stage) }
    });
    made.collect()
}

/// Measures.
fn main() {
    let mut criterion = Criterion::default()
        .configure_from_args()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(2));
    for boxes in [30, 100, 300, 1000] {
        let mut site = Site::new(boxes);
        let told = site.stream();
        println!("{boxes} boxes: a stream is told to {told} boxes, each time counted");
        criterion.bench_function(&format!("stream, {boxes} boxes"), |bench| {
            bench.iter(|| site.stream());
        });
        let mut site = Site::new(boxes);
        criterion.bench_function(&format!("heartbeat heard, {boxes} boxes"), |bench| {
            bench.iter(|| {
                let message = site.message(1 + site.sequence as usize % (boxes - 1));
                site.step(Event::Received(message))
            });
        });
        let mut site = Site::new(boxes);
        criterion.bench_function(&format!("change heard, {boxes} boxes"), |bench| {
            bench.iter(|| {
                let number = 1 + site.sequence as usize % (boxes - 1);
                let message = Message { is_whole: false, ..site.message(number) };
                site.step(Event::Received(message))
            });
        });
        let mut site = Site::new(boxes);
        site.limit_all();
        criterion.bench_function(&format!("question for a permit, {boxes} boxes"), |bench| {
            bench.iter(|| {
                let message = site.question(1 + site.sequence as usize % (boxes - 1));
                site.step(Event::Received(message))
            });
        });
    }
    criterion.final_summary();
}
