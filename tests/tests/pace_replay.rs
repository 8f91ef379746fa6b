//! A load on decode engines that differ in speed, replayed in virtual time: a third always takes 2.4
//! times as long as the others, and two in five take five times as long for some seconds. Several boxes
//! share the load, so that each sees few streams of each engine.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::effect::{Effect, Send, Task};
use hollyspoke_gateway::engine::{EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::Message;
use hollyspoke_gateway::request::{CallKey, Request, RequestKey};
use hollyspoke_gateway::route::{Configuration, Operations, Route, RouteKind, Service, Staged};
use hollyspoke_tests::gateway::{
    MODEL, configuration, engine, prefilled, ran, request, route, settings,
};

/// The number of boxes.
const BOX_COUNT: usize = 8;

/// The time that a datagram takes.
const DATAGRAM_DELAY: Duration = Duration::from_millis(2);

/// The number of decode engines.
const DECODE_COUNT: u8 = 73;

/// The number of prefill engines.
const PREFILL_COUNT: u8 = 39;

/// The tokens that an engine's memory holds.
const MEMORY_TOKENS: u64 = 27_000;

/// The number of events of a stream.
const EVENT_COUNT: u64 = 35;

/// The time between two events at a usual engine without other streams.
const FIRST_GAP: Duration = Duration::from_millis(45);

/// The streams beside which an event takes twice as long.
const DOUBLING_COUNT: f64 = 12.0;

/// The longest pause with which a stream is on time.
const MAX_GAP: Duration = Duration::from_millis(300);

/// The time between two arrivals.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(11);

/// The duration of the load.
const DURATION: Duration = Duration::from_secs(30);

/// When the slow spell begins and ends, if there is one.
const SPELL: (Time, Time) = (Time::from_millis(10_000), Time::from_millis(24_000));

/// What happens next.
enum Next {
    /// A request arrives.
    Arrival,
    /// A box's call gets its next event.
    Call(usize, CallKey, CallEvent),
    /// A box receives a datagram.
    Datagram(usize, Box<Message>),
    /// The boxes need a tick.
    Tick,
}

/// A stream at its engine.
struct Stream {
    /// Its engine.
    engine: EngineKey,
    /// The number of its events so far.
    events: u64,
    /// Whether one of its pauses was too long.
    is_late: bool,
}

/// How the requests of a replay ended.
#[derive(Debug, Default)]
struct Tally {
    /// The streams without a long pause.
    on_time: usize,
    /// The streams with a long pause.
    late: usize,
    /// The refused requests.
    refused: usize,
}

/// The boxes and the engines that answer them.
struct Replay {
    /// The boxes.
    gateways: Vec<Gateway>,
    /// Whether two in five engines slow down for some seconds.
    has_spell: bool,
    /// The current time.
    now: Time,
    /// What happens next, by time.
    next: BTreeMap<(Time, u64), Next>,
    /// The number of the next entry.
    number: u64,
    /// The running streams.
    streams: HashMap<(usize, CallKey), Stream>,
    /// How requests ended.
    tally: Tally,
}

/// Returns the configuration with one route.
fn replay_configuration() -> Configuration {
    let staged = Staged {
        memory_tokens: MEMORY_TOKENS,
        token_bytes: 35_000,
        link_mbps: 1_500_000.0,
        handle_ttl: Duration::from_secs(2),
        switch_duration: None,
        operations: Operations::default(),
    };
    let limits = configuration(1).limits;
    let service = Service { name: MODEL.into(), staged: Some(staged), cold_rate: None };
    let once = Route { max_gap: Some(MAX_GAP), ..route("once", RouteKind::Stream, MODEL) };
    Configuration::new(1, limits, vec![once], vec![service])
}

impl Replay {
    /// Creates boxes that have listed the engines.
    fn new(features: Features, has_spell: bool) -> Replay {
        let create = |it| Gateway::new(Settings { features, ..settings(it as u8) });
        let now = Time::from_millis(1000);
        let mut replay = Replay {
            gateways: (0..BOX_COUNT).map(create).collect(),
            has_spell,
            now,
            next: BTreeMap::new(),
            number: 0,
            streams: HashMap::new(),
            tally: Tally::default(),
        };
        let prefill = (0..PREFILL_COUNT).map(|it| engine(it, MODEL, Some(Stage::Prefill)));
        let decode = (0..DECODE_COUNT).map(|it| engine(100 + it, MODEL, Some(Stage::Decode)));
        let engines: Vec<_> = prefill.chain(decode).collect();
        let seeds: Vec<_> = (0..BOX_COUNT).map(|it| settings(it as u8).peer).collect();
        for number in 0..BOX_COUNT {
            replay.step(number, Event::Configured(Arc::new(replay_configuration())));
            replay.step(number, Event::Listed(engines.clone(), 10.into()));
            replay.step(number, Event::Seeds(seeds.clone()));
        }
        replay
    }

    /// Schedules what happens after a time.
    fn schedule(&mut self, after: Duration, next: Next) {
        self.number += 1;
        self.next.insert((self.now + after, self.number), next);
    }

    /// Returns how much longer work takes at an engine now than usual.
    fn slowness(&self, engine: EngineKey) -> f64 {
        let always = if engine.0.is_multiple_of(3) { 2.4 } else { 1.0 };
        let is_in_spell = self.has_spell && self.now >= SPELL.0 && self.now < SPELL.1;
        if is_in_spell && engine.0 / 3 % 5 < 2 { 5.0 } else { always }
    }

    /// Returns the time to the next event of a stream.
    fn gap(&self, engine: EngineKey) -> Duration {
        let beside = self.streams.values().filter(|it| it.engine == engine).count();
        FIRST_GAP.mul_f64(self.slowness(engine) * (1.0 + beside as f64 / DOUBLING_COUNT))
    }

    /// Passes an event to a box and carries its effects out.
    fn step(&mut self, number: usize, event: Event) {
        for effect in self.gateways[number].step(self.now, event) {
            match effect {
                Effect::Send(send) => self.send(number, &send),
                Effect::Refuse(..) => self.tally.refused += 1,
                Effect::Announce(peers, message) => {
                    let is_named = |it: &usize| peers.contains(&settings(*it as u8).peer);
                    for receiver in (0..BOX_COUNT).filter(is_named) {
                        let next = Next::Datagram(receiver, message.clone());
                        self.schedule(DATAGRAM_DELAY, next);
                    }
                }
                _ => {}
            }
        }
    }

    /// Carries a call of a box out.
    fn send(&mut self, number: usize, send: &Send) {
        if send.task == Task::Prefill {
            let took = Duration::from_millis(100).mul_f64(self.slowness(send.engine.key));
            let answer = CallEvent::Answered(prefilled("h"));
            return self.schedule(took, Next::Call(number, send.call, answer));
        }
        let stream = Stream { engine: send.engine.key, events: 0, is_late: false };
        self.streams.insert((number, send.call), stream);
        let began = CallEvent::Began(ran(200));
        self.schedule(self.gap(send.engine.key), Next::Call(number, send.call, began));
    }

    /// Continues a stream after an event that its box has received.
    fn continue_stream(&mut self, number: usize, call: CallKey) {
        let key = (number, call);
        let Some(engine) = self.streams.get(&key).map(|it| it.engine) else { return };
        let gap = self.gap(engine);
        let Some(stream) = self.streams.get_mut(&key) else { return };
        stream.events += 1;
        stream.is_late |= gap > MAX_GAP;
        let is_last = stream.events > EVENT_COUNT;
        let event = if is_last {
            CallEvent::Answered(ran(200))
        } else {
            CallEvent::Forwarded(Some(stream.events))
        };
        if is_last && let Some(stream) = self.streams.remove(&key) {
            let tally = &mut self.tally;
            *(if stream.is_late { &mut tally.late } else { &mut tally.on_time }) += 1;
        }
        let after = if is_last { Duration::ZERO } else { gap };
        self.schedule(after, Next::Call(number, call, event));
    }

    /// Carries out what is due.
    fn handle(&mut self, next: Next) {
        match next {
            Next::Arrival => {
                self.number += 1;
                let prompt = Request { prompt_tokens: Some(3200), ..short_request() };
                let number = self.number as usize % BOX_COUNT;
                self.step(number, Event::Arrived(RequestKey(self.number), prompt));
                self.schedule(ARRIVAL_INTERVAL, Next::Arrival);
            }
            Next::Call(number, call, event) => {
                self.step(number, Event::Call(call, event));
                self.continue_stream(number, call);
            }
            Next::Datagram(number, message) => self.step(number, Event::Received(*message)),
            Next::Tick => {
                (0..BOX_COUNT).for_each(|it| self.step(it, Event::Tick));
                self.schedule(Duration::from_millis(20), Next::Tick);
            }
        }
    }
}

/// Returns a request with a short answer.
fn short_request() -> Request {
    Request { max_answer_tokens: Some(70), expected_answer_tokens: Some(70), ..request("once") }
}

/// Replays the load, and returns how the requests ended.
fn replay(features: Features, has_spell: bool) -> Tally {
    let mut replay = Replay::new(features, has_spell);
    replay.schedule(Duration::ZERO, Next::Arrival);
    replay.schedule(Duration::ZERO, Next::Tick);
    let end = replay.now + DURATION;
    while let Some(((at, _), next)) = replay.next.pop_first() {
        if at > end {
            break;
        }
        replay.now = at;
        replay.handle(next);
    }
    replay.tally
}

/// The pace to be compared.
const PACE: Features = Features { pace: true, ..Features::NONE };

#[test]
fn slow_third_used_like_others() {
    let (without, with) = (replay(Features::NONE, false), replay(PACE, false));
    println!("a slow third: without {without:?}, with {with:?}");
    assert!(with.late <= without.late && with.refused <= without.refused);
    assert!(with.on_time > without.on_time);
}

#[test]
fn slow_spell_hits_new_streams() {
    let (without, with) = (replay(Features::NONE, true), replay(PACE, true));
    println!("two in five slow for 14 s: without {without:?}, with {with:?}");
    assert!(with.late < without.late);
    assert!(with.on_time > without.on_time);
}
