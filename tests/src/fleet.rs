//! Several boxes' reducers in virtual time: datagrams that may be late or lost, boxes that are cut
//! off, held up, stopped or killed, and engines that count what arrives.

mod engines;
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::Answer;
use hollyspoke::time::Time;
use hollyspoke_gateway::budget::Bound;
use hollyspoke_gateway::effect::{Effect, LogEvent, Send};
use hollyspoke_gateway::engine::{EngineChange, EngineKey};
use hollyspoke_gateway::event::{CallEvent, Event, Kind, Probe};
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::Message;
use hollyspoke_gateway::request::{CallKey, Request, RequestKey};
use hollyspoke_gateway::signature::Content;
use hollyspoke_gateway::snapshot::Snapshot;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::crashes::{Crashes, Harmful};
use crate::gateway::{HOST, MODEL, PLAIN, configuration, request, settings};
use crate::needs::Needs;
use crate::repeats::{Asked, Records, Refused};
use crate::terms::{Rests, Terms};

pub use store::Store;

/// How long a call takes to reach an engine.
const TRANSIT: Duration = Duration::from_millis(1);

/// How long an engine takes to answer, in milliseconds.
const ANSWERS_IN_MS: RangeInclusive<u64> = 2..=40;

/// How long a stream lasts.
const STREAM_LASTS: Duration = Duration::from_millis(300);

/// How often the store answers the watches of a box.
const WATCH_EVERY: Duration = Duration::from_millis(500);

/// How long the store takes to answer.
const STORE_ANSWERS_IN: Duration = Duration::from_millis(4);

/// How long a handover takes.
const HANDOVER_TAKES: Duration = Duration::from_millis(10);

/// How many boxes a box is told of by its settings.
const SEEDS: usize = 3;

/// The last part of a harmful request's path.
const HARMFUL: &str = "harmful";

/// The users' bound on their site of six boxes.
pub const BOUND: Bound = Bound { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) };

/// How the engines behave.
#[derive(Debug, Clone, Copy, Default)]
pub struct Behaviour {
    /// The share of calls that they turn away.
    pub turns_away: f64,
    /// The share of runs that they fail.
    pub fails: f64,
}

/// What arrives in a second, at all boxes.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Plain requests that may be repeated.
    pub plain: f64,
    /// Streams.
    pub streams: f64,
}

/// The users' traffic on their site of six boxes.
pub const USUAL: Traffic = Traffic { plain: 40.9, streams: 18.2 };

/// One box.
#[derive(Debug)]
struct Member {
    /// The reducer; none while the process is down.
    gateway: Option<Gateway>,
    /// When its life began: each life has a clock of its own.
    began: Time,
    /// Counts its lives.
    life: u64,
    /// With whom it can exchange datagrams: those of the same side.
    side: usize,
    /// Until when it stands still.
    held_until: Time,
    /// Until when its calls are held up on the way.
    calls_held_until: Time,
}

/// A call and its box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Caller {
    /// The box.
    number: usize,
    /// The box's life.
    life: u64,
    /// The call.
    call: CallKey,
}

/// What is yet to happen.
#[derive(Debug)]
enum Due {
    /// A request arrives at a box.
    Request(usize, Request),
    /// A datagram arrives at a box.
    Datagram(usize, Box<Message>),
    /// A call arrives at its engine.
    Call(usize, u64, Box<Send>),
    /// A box hears of one of its calls, from an engine.
    Answer(Caller, EngineKey, CallEvent),
    /// A harmful call crashes its engine, which has crashed so often before.
    Crash(Caller, EngineKey, u64),
    /// A crashed engine is back.
    Back(EngineKey),
    /// A box hears of engines from the store.
    Changed(usize, Vec<EngineChange>),
    /// A box hears whether an engine lives.
    Probed(usize, u64, EngineKey, Probe),
    /// The store answers a box's watches.
    Watched(usize, u64),
    /// The store gives a box the list of engines.
    Listed(usize, u64),
    /// Another box hands a box over what it knows.
    Fetched(usize, u64, SocketAddr, Box<Snapshot>),
    /// The store answers an operation of a box.
    Stored(usize, u64, u64, Answer),
}

/// Boxes, engines, and what was seen.
#[derive(Debug)]
pub struct Fleet {
    /// The boxes.
    members: Vec<Member>,
    /// The time.
    now: Time,
    /// What is yet to happen, in order.
    due: BTreeMap<(Time, u64), Due>,
    /// The number of the next entry of `due`.
    next: u64,
    /// How the engines behave.
    pub behaviour: Behaviour,
    /// What arrives.
    pub traffic: Traffic,
    /// How long datagrams take, in milliseconds.
    pub delay_ms: RangeInclusive<u64>,
    /// The share of datagrams that are lost.
    pub lost: f64,
    /// The store.
    pub store: Store,
    /// What was seen.
    pub records: Records,
    /// The harmful request that comes, if one does.
    pub harmful: Option<Harmful>,
    /// The request that many send, if there is one: its route, and how often it comes.
    pub popular: Option<(&'static str, Duration)>,
    /// The engines that crash, and what was seen of that.
    pub crashes: Crashes,
    /// The engines that name limits, and what came to them.
    pub needs: Needs,
    /// The engines that leave or rest, and what came to them.
    pub terms: Terms,
    /// The source of chance.
    random: Pcg64Mcg,
}

impl Fleet {
    /// Makes boxes that have just started, with the users' traffic on their site of six.
    pub fn new(boxes: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            members: Vec::new(),
            now: Time::from_millis(1000),
            due: BTreeMap::new(),
            next: 0,
            behaviour: Behaviour::default(),
            traffic: USUAL,
            delay_ms: 1..=3,
            lost: 0.0,
            store: Store::default(),
            records: Records::default(),
            harmful: None,
            popular: None,
            crashes: Crashes::default(),
            needs: Needs::default(),
            terms: Terms::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for _ in 0..boxes {
            fleet.members.push(Member {
                gateway: None,
                began: Time::ZERO,
                life: 0,
                side: 0,
                held_until: Time::ZERO,
                calls_held_until: Time::ZERO,
            });
        }
        fleet.start(0..boxes);
        fleet
    }

    /// Makes boxes that have heard each other and have served for longer than the window.
    pub fn settled(boxes: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(boxes, seed);
        fleet.run(Duration::from_secs(12));
        fleet
    }

    /// Kills boxes.
    pub fn kill(&mut self, members: impl IntoIterator<Item = usize>) {
        for number in members {
            self.members[number].gateway = None;
        }
    }

    /// Starts boxes anew.
    pub fn start(&mut self, members: impl IntoIterator<Item = usize>) {
        for number in members {
            let incarnation = self.random.random();
            let boxes = self.members.len();
            let member = &mut self.members[number];
            member.gateway = Some(Gateway::new(Settings { incarnation, ..settings_of(number) }));
            member.began = self.now;
            member.life += 1;
            let seeds = (0..boxes).take(SEEDS).map(|it| settings_of(it).peer).collect();
            self.step(number, Event::Seeds(seeds));
            self.step(number, Event::Configured(Arc::new(configuration(1))));
            self.step(number, Event::Listed(self.engines(), self.store.revision));
            let life = self.members[number].life;
            self.plan(self.now, Due::Watched(number, life));
        }
    }

    /// Kills boxes and starts them anew at once.
    pub fn restart(&mut self, members: impl IntoIterator<Item = usize> + Clone) {
        self.kill(members.clone());
        self.start(members);
    }

    /// Has boxes exchange datagrams with those of the same side alone.
    pub fn part(&mut self, members: impl IntoIterator<Item = usize>, side: usize) {
        for number in members {
            self.members[number].side = side;
        }
    }

    /// Has a box stand still.
    pub fn hold(&mut self, number: usize, span: Duration) {
        self.members[number].held_until = self.now + span;
    }

    /// Holds up the calls that a box sends, so that they arrive together.
    pub fn hold_calls(&mut self, number: usize, span: Duration) {
        self.members[number].calls_held_until = self.now + span;
    }

    /// Tells a box to stop; it ends at once.
    pub fn stop(&mut self, number: usize) {
        self.step(number, Event::Stop);
        self.kill([number]);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.draw_requests(PLAIN, self.traffic.plain, end);
        self.draw_requests(MODEL, self.traffic.streams, end);
        self.draw_harmful(end);
        self.draw_popular(end);
        loop {
            let first = self.due.keys().next().map(|it| it.0);
            let tick = self.next_tick();
            let times = [first, tick.map(|it| it.0)];
            let Some(next) = times.into_iter().flatten().min().filter(|&it| it <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if first.is_some_and(|it| it <= next) {
                let Some((_, due)) = self.due.pop_first() else { break };
                self.happen(due);
            } else if let Some((_, number)) = tick {
                self.step(number, Event::Tick);
            }
        }
        self.now = end;
    }

    /// Draws the requests for a service until a time.
    fn draw_requests(&mut self, service: &str, a_second: f64, end: Time) {
        let mut at = self.now;
        loop {
            let pause = -(1.0 - self.random.random::<f64>()).ln() / a_second;
            at = at + Duration::from_secs_f64(pause);
            if at >= end {
                return;
            }
            let route = if service == PLAIN { "safe" } else { "resumed" };
            let id = format!("request-{}", self.next);
            let number = self.random.random_range(0..self.members.len());
            let content = Content::of("POST", HOST, route, id.as_bytes());
            let request = Request { id: id.as_str().into(), content, ..request(route) };
            self.plan(at, Due::Request(number, request));
        }
    }

    /// Draws when and where the harmful request comes until a time.
    fn draw_harmful(&mut self, end: Time) {
        let Some(harmful) = self.harmful else { return };
        let mut at = self.now + harmful.every;
        while at < end {
            let path = format!("/{}/{HARMFUL}", harmful.route);
            let content = Content::of("POST", HOST, &path, b"");
            let request = Request { path, content, ..request(harmful.route) };
            let number = self.random.random_range(0..self.members.len());
            self.plan(at, Due::Request(number, request));
            at = at + harmful.every;
        }
    }

    /// Draws when and where the popular request comes until a time.
    fn draw_popular(&mut self, end: Time) {
        let Some((route, every)) = self.popular else { return };
        let mut at = self.now + every;
        while at < end {
            let number = self.random.random_range(0..self.members.len());
            self.plan(at, Due::Request(number, request(route)));
            at = at + every;
        }
    }

    /// Adds what is yet to happen.
    fn plan(&mut self, at: Time, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next), due);
    }

    /// Gives the box that needs a tick first, and when.
    fn next_tick(&self) -> Option<(Time, usize)> {
        let ticks = self.members.iter().enumerate().filter_map(|(number, member)| {
            let gateway = member.gateway.as_ref()?;
            let due = member.began + gateway.next_due().since(Time::ZERO);
            let soonest = self.now + Duration::from_micros(1);
            Some((due.max(soonest).max(member.held_until), number))
        });
        ticks.min()
    }

    /// Has something happen. A box that stands still takes it in when it goes on.
    fn happen(&mut self, due: Due) {
        let number = match &due {
            Due::Request(number, _) | Due::Datagram(number, _) => *number,
            Due::Answer(Caller { number, .. }, ..) | Due::Changed(number, _) => *number,
            Due::Watched(number, _) | Due::Listed(number, _) => *number,
            Due::Fetched(number, ..) => *number,
            Due::Stored(number, ..) => *number,
            Due::Probed(number, ..) => *number,
            Due::Call(number, life, send) => return self.arrive(*number, *life, send),
            Due::Crash(caller, engine, before) => {
                return self.crash_by(*caller, *engine, *before);
            }
            Due::Back(engine) => return self.come_back(*engine),
        };
        let held_until = self.members[number].held_until;
        if held_until > self.now {
            return self.plan(held_until, due);
        }
        match due {
            Due::Request(number, request) => self.ask(number, request),
            Due::Datagram(number, message) => self.step(number, Event::Received(*message)),
            Due::Answer(Caller { life, call, .. }, engine, event)
                if self.members[number].life == life =>
            {
                if let CallEvent::Began(answer) | CallEvent::Answered(answer) = &event {
                    self.terms.tell((number, life), engine, &answer.statement, self.now);
                }
                self.step(number, Event::Call(call, event));
            }
            Due::Probed(_, life, engine, probe) if self.members[number].life == life => {
                self.step(number, Event::Probed(engine, probe));
            }
            Due::Changed(_, changes) => self.step(number, Event::Changed(changes)),
            Due::Watched(number, life) if self.members[number].life == life => {
                self.tell_era(number);
                self.step(number, Event::StoreAnswered(Kind::Configuration));
                self.step(number, Event::StoreAnswered(Kind::Engines));
                self.step(number, Event::StoreAnswered(Kind::Evacuations));
                self.plan(self.now + WATCH_EVERY, Due::Watched(number, life));
            }
            Due::Listed(number, life) if self.members[number].life == life => {
                self.tell_era(number);
                self.step(number, Event::Listed(self.engines(), self.store.revision));
            }
            Due::Fetched(_, life, provider, snapshot) if self.members[number].life == life => {
                self.step(number, Event::SnapshotReceived(provider, snapshot));
            }
            Due::Stored(number, life, operation, answer) if self.members[number].life == life => {
                self.tell_era(number);
                self.step(number, Event::Stored(operation, answer));
            }
            Due::Answer(..) | Due::Call(..) | Due::Watched(..) | Due::Stored(..) => {}
            Due::Listed(..)
            | Due::Fetched(..)
            | Due::Crash(..)
            | Due::Back(_)
            | Due::Probed(..) => {}
        }
    }

    /// Has a client send a request to a box, or to another one if that is down.
    fn ask(&mut self, number: usize, request: Request) {
        let up = |it: &usize| self.members[*it].gateway.is_some();
        let alive: Vec<_> = (0..self.members.len()).filter(up).collect();
        let number =
            if up(&number) { Some(number) } else { alive.choose(&mut self.random).copied() };
        let Some(number) = number else { return };
        self.next += 1;
        if request.path.ends_with(HARMFUL) {
            self.crashes.harmful.insert(RequestKey(self.next));
        }
        let is_plain = ["/safe/", "/unsafe/"].iter().any(|it| request.path.starts_with(it));
        let service = if is_plain { PLAIN } else { MODEL };
        self.records.asked.push(Asked { service, at: self.now });
        self.step(number, Event::Arrived(RequestKey(self.next), request));
    }

    /// Gives a box an event and carries out what it does.
    fn step(&mut self, number: usize, event: Event) {
        let member = &mut self.members[number];
        let Some(gateway) = &mut member.gateway else { return };
        let local = Time::ZERO + self.now.since(member.began);
        let (life, side) = (member.life, member.side);
        let calls_leave = self.now.max(member.calls_held_until);
        for effect in gateway.step(local, event) {
            match effect {
                Effect::Send(send) => {
                    self.plan(calls_leave + TRANSIT, Due::Call(number, life, Box::new(send)));
                }
                Effect::Announce(audience, message) => self.tell(side, &audience, &message),
                Effect::Store(operation, what) => {
                    let answer = self.store.carry_out(what);
                    let at = self.now + STORE_ANSWERS_IN;
                    self.plan(at, Due::Stored(number, life, operation, answer));
                }
                Effect::Read(kind) => {
                    self.store.calls += 1;
                    if kind == Kind::Engines {
                        self.plan(self.now + STORE_ANSWERS_IN, Due::Listed(number, life));
                    }
                }
                Effect::Fetch(provider) => self.hand_over(number, provider),
                Effect::Probe(engine) => {
                    self.ask_engine(number, engine.key);
                    self.probe(number, engine.key);
                }
                Effect::QueryCachedPrompts(engine) | Effect::QueryOrderCount(engine) => {
                    self.ask_engine(number, engine.key);
                }
                Effect::Order(order) => self.ask_engine(number, order.engine.key),
                Effect::Free(source) => self.ask_engine(number, source.engine),
                Effect::Refuse(flight, refusal) => {
                    self.crashes.answered(flight, refusal, self.now);
                }
                Effect::Abort(flight) => self.crashes.broke_off(flight, self.now),
                Effect::Log(LogEvent::Retry { service, is_sent: false, .. }) => {
                    let service = if *service == *PLAIN { PLAIN } else { MODEL };
                    self.records.refused.push(Refused { service, at: self.now });
                }
                _ => {}
            }
        }
    }

    /// Has a question or an order of a box come to an engine that may be in need.
    fn ask_engine(&mut self, number: usize, engine: EngineKey) {
        let life = self.members[number].life;
        _ = self.needs.arrive((number, life), engine, self.now);
        _ = self.terms.arrive((number, life), engine, self.now);
    }

    /// Has engines name a limit from now on, or none.
    pub fn limit(&mut self, engines: impl IntoIterator<Item = EngineKey>, rate: Option<f64>) {
        for engine in engines {
            self.needs.name(engine, rate, self.now);
        }
    }

    /// Has engines say from now on, in their answers alone, that they leave.
    pub fn leave(&mut self, engines: impl IntoIterator<Item = EngineKey>) {
        for engine in engines {
            self.terms.leave(engine, self.now);
        }
    }

    /// Has engines turn all away at times, and say for how long.
    pub fn rest(&mut self, engines: impl IntoIterator<Item = EngineKey>, rests: Option<Rests>) {
        for engine in engines {
            self.terms.rest(engine, rests, self.now);
        }
    }

    /// Gives the engines of a service.
    pub fn engines_of(&self, service: &str) -> Vec<EngineKey> {
        let engines = self.engines().into_iter();
        engines.filter(|it| *it.service == *service).map(|it| it.key).collect()
    }

    /// Gives the time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Has another box hand a box over what that lacks, unless it is down or cut off.
    fn hand_over(&mut self, number: usize, provider: SocketAddr) {
        let is_provider = |it: &usize| settings_of(*it).peer == provider;
        let Some(other) = (0..self.members.len()).find(is_provider) else { return };
        let (asking, other) = (&self.members[number], &self.members[other]);
        let (Some(gateway), Some(knowing)) = (&asking.gateway, &other.gateway) else { return };
        if asking.side == other.side {
            let snapshot = Box::new(knowing.snapshot(gateway.snapshot_request()));
            let due = Due::Fetched(number, asking.life, provider, snapshot);
            self.plan(self.now + HANDOVER_TAKES, due);
        }
    }

    /// Tells a box the store's era, as each answer does.
    fn tell_era(&mut self, number: usize) {
        if self.store.revision.era > 0 {
            self.step(number, Event::StoreEra(self.store.revision.era));
        }
    }

    /// Sends a datagram to boxes of one side.
    fn tell(&mut self, side: usize, audience: &[SocketAddr], message: &Message) {
        for &address in audience {
            let is_receiver = |it: &usize| settings_of(*it).peer == address;
            let Some(number) = (0..self.members.len()).find(is_receiver) else { continue };
            let is_lost = self.random.random_bool(self.lost);
            if is_lost || self.members[number].side != side {
                continue;
            }
            let delay = Duration::from_millis(self.random.random_range(self.delay_ms.clone()));
            self.plan(self.now + delay, Due::Datagram(number, Box::new(message.clone())));
        }
    }
}

/// Gives the settings of a box.
fn settings_of(number: usize) -> Settings {
    let number = u8::try_from(number + 1).expect("at most 255 boxes");
    Settings { retry_bound: BOUND, ..settings(number) }
}
