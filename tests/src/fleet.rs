//! The gateways of several boxes in virtual time, with datagrams that may be delayed or lost, boxes
//! that are partitioned, paused, stopped or killed, and engines that count what arrives.

mod engines;
mod older;
mod proxies;
mod store;
mod streams;

use std::collections::{BTreeMap, BTreeSet};
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
use hollyspoke_gateway::origin::Notice;
use hollyspoke_gateway::proxy;
use hollyspoke_gateway::request::{CallKey, Request, RequestKey};
use hollyspoke_gateway::signature::Content;
use hollyspoke_gateway::snapshot::Snapshot;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::crashes::{Crashes, Harmful, Sharing};
use crate::gateway::{HOST, MODEL, PLAIN, configuration, request, settings};
use crate::rate_limits::RateLimits;
use crate::repeats::{ClientRequest, Records, RefusedRetry, Taken};
use crate::statements::{BackOffs, Statements};

use proxies::{Outcome, Proxied, Proxies};
use streams::Streams;

pub use store::Store;
pub use streams::StreamCounts;

/// The time from a box to an engine.
const TRANSIT: Duration = Duration::from_millis(1);

/// The time that an engine takes to answer, in milliseconds.
const ANSWER_DELAY_MS: RangeInclusive<u64> = 2..=40;

/// The usual duration of a stream.
const STREAM_DURATION: Duration = Duration::from_millis(300);

/// The interval at which the store answers the watches of a box.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The time after which a box gives up an operation that the store doesn't answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// The time that the store takes to answer.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// The time that a snapshot takes from one box to another.
const HANDOVER_DURATION: Duration = Duration::from_millis(10);

/// The number of seeds in a box's settings.
const SEED_COUNT: usize = 3;

/// The last part of the path of a harmful request.
const HARMFUL: &str = "harmful";

/// The bound on retries at the users' site of six boxes.
pub const BOUND: Bound = Bound { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) };

/// How the engines behave.
#[derive(Debug, Clone, Copy, Default)]
pub struct Behaviour {
    /// The share of calls that they reject.
    pub reject_share: f64,
    /// The share of runs that fail.
    pub fail_share: f64,
}

/// The request rates at all boxes together.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Plain requests that are safe to retry, per second.
    pub plain: f64,
    /// Streams, per second.
    pub streams: f64,
}

/// A box's path to the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Connections open.
    Open,
    /// Nothing passes: connections hang, also those that are open.
    Silent,
    /// New connections are refused; those that are open live on.
    Refused,
}

/// The time after which a box gives up a connection that hangs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The traffic at the users' site of six boxes.
pub const USUAL: Traffic = Traffic { plain: 40.9, streams: 18.2 };

/// One box.
#[derive(Debug)]
struct Member {
    /// The gateway; `None` while the process is down.
    gateway: Option<Gateway>,
    /// The start time of this incarnation; each incarnation has its own clock.
    started_at: Time,
    /// Counts the incarnations.
    start_count: u64,
    /// The side of a partition: boxes exchange datagrams only with those of the same side.
    side: usize,
    /// Whether a partition withholds the store's changes and answers.
    lacks_store: bool,
    /// Whether the store's next answer lists the engines.
    lists_anew: bool,
    /// The end of a pause, in which the box handles nothing.
    paused_until: Time,
    /// The time until which its calls are delayed on their way to engines.
    calls_delayed_until: Time,
    /// Its path to the engines.
    path: Path,
}

/// A call and the box that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Caller {
    /// The number of the box.
    number: usize,
    /// The box's incarnation.
    start_count: u64,
    /// The call.
    call: CallKey,
}

/// What is scheduled to happen.
#[derive(Debug)]
enum Scheduled {
    /// A request arrives at a box.
    Request(usize, Request),
    /// A datagram arrives at a box.
    Datagram(usize, Box<Message>),
    /// A notice of streams' versions arrives at a box.
    Notice(usize, Notice),
    /// A call arrives at its engine.
    Call(usize, u64, Box<Send>),
    /// A box receives an event of one of its calls, from an engine.
    Answer(Caller, EngineKey, CallEvent),
    /// A harmful call crashes its engine, unless the engine's number of crashes has changed since.
    Crash(Caller, EngineKey, u64),
    /// A crashed engine is restarted.
    Back(EngineKey),
    /// A box receives changes of engines from the store.
    Changed(usize, Vec<EngineChange>),
    /// A box receives the result of a probe of an engine.
    Probed(usize, u64, EngineKey, Probe),
    /// The store answers a box's watches.
    Watched(usize, u64),
    /// The store returns the list of engines to a box.
    Listed(usize, u64),
    /// A box receives another box's snapshot.
    Fetched(usize, u64, SocketAddr, Box<Snapshot>),
    /// The store answers an operation of a box.
    Stored(usize, u64, u64, Answer),
    /// A request arrives at a box from another one.
    PassedOn(usize, RequestKey, Request),
    /// A box receives an event of a request that it passed on; the flag says whether the other box
    /// has refused it.
    Proxied(Proxied, proxy::Event, bool),
    /// A box learns that no connection opens to another one.
    BoxNotReached(usize, u64, SocketAddr),
    /// The client of a request at a box disconnects.
    Disconnected(usize, RequestKey),
}

/// Boxes, engines, and records of what arrived.
#[derive(Debug)]
pub struct Fleet {
    /// The boxes.
    members: Vec<Member>,
    /// The current time.
    now: Time,
    /// What is scheduled, by time and number.
    scheduled: BTreeMap<(Time, u64), Scheduled>,
    /// The number of the next entry of `scheduled`; requests are numbered with it too.
    next: u64,
    /// How the engines behave.
    pub behaviour: Behaviour,
    /// The traffic that clients send.
    pub traffic: Traffic,
    /// The delay of datagrams, in milliseconds.
    pub delay_ms: RangeInclusive<u64>,
    /// The share of datagrams that are lost.
    pub lost: f64,
    /// The time after which boxes read the entry of an engine that is back.
    pub listing_delay: Duration,
    /// The store.
    pub store: Store,
    /// The requests, the calls at engines, and the refused retries.
    pub records: Records,
    /// The harmful request that clients repeat, if there is one.
    pub harmful: Option<Harmful>,
    /// A request that clients send often, if there is one: its route and its interval.
    pub popular: Option<(&'static str, Duration)>,
    /// The requests that share parts of their prompts.
    pub sharing: Vec<Sharing>,
    /// Whether only the close of its connection ends a stream.
    pub is_unmarked: bool,
    /// The duration of a stream.
    pub stream_duration: Duration,
    /// The software version whose engines no request crashes, if there is one.
    pub sound_version: Option<&'static str>,
    /// The boxes of an older version, which know no parts of prompts.
    pub older: BTreeSet<usize>,
    /// The engines that crash, and what was recorded about crashes.
    pub crashes: Crashes,
    /// The engines that state rate limits, and what arrived at them.
    pub rate_limits: RateLimits,
    /// The engines that drain or back off, and what arrived at them.
    pub statements: Statements,
    /// The requests that boxes pass on to each other.
    proxies: Proxies,
    /// The streams that clients take up again.
    streams: Streams,
    /// The random number generator.
    random: Pcg64Mcg,
}

impl Fleet {
    /// Creates boxes that have just started, with the traffic at the users' site of six boxes.
    pub fn new(boxes: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::unstarted(boxes, seed);
        fleet.start(0..boxes);
        fleet
    }

    /// Creates boxes that are down.
    fn unstarted(boxes: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            members: Vec::new(),
            now: Time::from_millis(1000),
            scheduled: BTreeMap::new(),
            next: 0,
            behaviour: Behaviour::default(),
            traffic: USUAL,
            delay_ms: 1..=3,
            lost: 0.0,
            listing_delay: STORE_DELAY,
            store: Store::default(),
            records: Records::default(),
            harmful: None,
            popular: None,
            sharing: Vec::new(),
            is_unmarked: false,
            stream_duration: STREAM_DURATION,
            sound_version: None,
            older: BTreeSet::new(),
            crashes: Crashes::default(),
            rate_limits: RateLimits::default(),
            statements: Statements::default(),
            proxies: Proxies::default(),
            streams: Streams::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for _ in 0..boxes {
            fleet.members.push(Member {
                gateway: None,
                started_at: Time::ZERO,
                start_count: 0,
                side: 0,
                lacks_store: false,
                lists_anew: false,
                paused_until: Time::ZERO,
                calls_delayed_until: Time::ZERO,
                path: Path::Open,
            });
        }
        fleet
    }

    /// Creates boxes that have received each other's announcements and have run for longer than the
    /// window of the retry bound.
    pub fn settled(boxes: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(boxes, seed);
        fleet.run(Duration::from_secs(12));
        fleet
    }

    /// Kills boxes.
    pub fn kill(&mut self, members: impl IntoIterator<Item = usize>) {
        for number in members {
            self.members[number].gateway = None;
            self.break_proxied(number);
            self.break_streams(number);
        }
    }

    /// Starts boxes, each with a new incarnation.
    pub fn start(&mut self, members: impl IntoIterator<Item = usize>) {
        for number in members {
            let incarnation = self.random.random();
            let boxes = self.members.len();
            let data_centre = self.data_centre_of(number).into();
            let since_origin = self.now.since(Time::ZERO).as_secs();
            let unix_start = settings_of(number).unix_start + since_origin;
            let member = &mut self.members[number];
            member.gateway = Some(Gateway::new(Settings {
                incarnation,
                data_centre,
                unix_start,
                ..settings_of(number)
            }));
            member.started_at = self.now;
            member.start_count += 1;
            let seeds = (0..boxes).take(SEED_COUNT).map(|it| settings_of(it).peer).collect();
            self.step(number, Event::Seeds(seeds));
            self.step(number, Event::Configured(Arc::new(configuration(1))));
            self.step(number, Event::Listed(self.engines(), self.store.revision));
            self.step(number, Event::Evacuated(self.evacuation()));
            let start_count = self.members[number].start_count;
            self.schedule(self.now, Scheduled::Watched(number, start_count));
        }
    }

    /// Kills boxes and starts them again at once.
    pub fn restart(&mut self, members: impl IntoIterator<Item = usize> + Clone) {
        self.kill(members.clone());
        self.start(members);
    }

    /// Moves boxes to a side; datagrams pass only between boxes of the same side.
    pub fn partition(&mut self, members: impl IntoIterator<Item = usize>, side: usize) {
        for number in members {
            self.members[number].side = side;
        }
    }

    /// Cuts boxes off from all others and, together with them, from the store. Each is alone on its
    /// side if `is_each`.
    pub fn isolate(&mut self, members: impl IntoIterator<Item = usize>, is_each: bool) {
        for number in members {
            self.members[number].side = if is_each { number + 2 } else { 1 };
            self.members[number].lacks_store = true;
        }
    }

    /// Ends the partitions of boxes. The store's next answer lists the engines.
    pub fn heal(&mut self, members: impl IntoIterator<Item = usize>) {
        for number in members {
            self.members[number].side = 0;
            self.members[number].lacks_store = false;
        }
    }

    /// Changes the path of boxes to all engines.
    pub fn set_path(&mut self, members: impl IntoIterator<Item = usize> + Clone, path: Path) {
        for number in members.clone() {
            self.members[number].path = path;
        }
        if path == Path::Silent {
            let is_cut =
                |it: &Caller| members.clone().into_iter().any(|member| member == it.number);
            self.scheduled.retain(|_, due| match due {
                Scheduled::Answer(caller, ..) => !is_cut(caller),
                _ => true,
            });
        }
    }

    /// Pauses a box: it handles events only after the pause.
    pub fn pause(&mut self, number: usize, duration: Duration) {
        self.members[number].paused_until = self.now + duration;
    }

    /// Delays the calls that a box sends, so that they arrive together.
    pub fn delay_calls(&mut self, number: usize, duration: Duration) {
        self.members[number].calls_delayed_until = self.now + duration;
    }

    /// Stops a box, which ends at once.
    pub fn stop(&mut self, number: usize) {
        self.step(number, Event::Stop);
        self.kill([number]);
    }

    /// Runs the fleet for a time, with its traffic.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.draw_requests(PLAIN, self.traffic.plain, end);
        self.draw_requests(MODEL, self.traffic.streams, end);
        self.draw_harmful(end);
        self.draw_popular(end);
        self.draw_sharing(end);
        loop {
            let first = self.scheduled.keys().next().map(|it| it.0);
            let tick = self.next_tick();
            let times = [first, tick.map(|it| it.0)];
            let Some(next) = times.into_iter().flatten().min().filter(|&it| it <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if first.is_some_and(|it| it <= next) {
                let Some((_, due)) = self.scheduled.pop_first() else { break };
                self.handle(due);
            } else if let Some((_, number)) = tick {
                self.step(number, Event::Tick);
            }
        }
        self.now = end;
    }

    /// Schedules the requests for a service until a time.
    fn draw_requests(&mut self, service: &str, rate_per_s: f64, end: Time) {
        let mut at = self.now;
        loop {
            let pause = -(1.0 - self.random.random::<f64>()).ln() / rate_per_s;
            at = at + Duration::from_secs_f64(pause);
            if at >= end {
                return;
            }
            let route = if service == PLAIN { "safe" } else { "resumed" };
            let id = format!("request-{}", self.next);
            let number = self.random.random_range(0..self.members.len());
            let content = Content::of("POST", HOST, route, id.as_bytes());
            let request = Request { id: id.as_str().into(), content, ..request(route) };
            self.schedule(at, Scheduled::Request(number, request));
        }
    }

    /// Schedules the harmful request until a time, at random boxes.
    fn draw_harmful(&mut self, end: Time) {
        let Some(harmful) = self.harmful else { return };
        let mut at = self.now + harmful.every;
        while at < end {
            let path = format!("/{}/{HARMFUL}", harmful.route);
            let content = Content::of("POST", HOST, &path, b"");
            let request = Request { path, content, ..request(harmful.route) };
            let number = self.random.random_range(0..self.members.len());
            self.schedule(at, Scheduled::Request(number, request));
            at = at + harmful.every;
        }
    }

    /// Schedules the popular request until a time, at random boxes.
    fn draw_popular(&mut self, end: Time) {
        let Some((route, every)) = self.popular else { return };
        let mut at = self.now + every;
        while at < end {
            let number = self.random.random_range(0..self.members.len());
            self.schedule(at, Scheduled::Request(number, request(route)));
            at = at + every;
        }
    }

    /// Schedules the requests that share parts of their prompts until a time, at random boxes.
    fn draw_sharing(&mut self, end: Time) {
        for sharing in self.sharing.clone() {
            let mut at = self.now + sharing.every;
            while at < end {
                let request = self.sharing_request(&sharing);
                let number = self.random.random_range(0..self.members.len());
                self.schedule(at, Scheduled::Request(number, request));
                at = at + sharing.every;
            }
        }
    }

    /// Returns a request with shared parts whose content no other request has.
    fn sharing_request(&mut self, sharing: &Sharing) -> Request {
        let id = format!("sharing-{}", self.next);
        let name = if sharing.is_harmful { HARMFUL } else { "harmless" };
        let path = format!("/{}/{name}", sharing.route);
        let content = Content::of("POST", HOST, &path, id.as_bytes());
        let shared = sharing.parts.iter().map(|it| Arc::from(*it));
        let document = (sharing.document_count > 0)
            .then(|| self.random.random_range(0..sharing.document_count));
        let document = document.map(|it| format!("document-{it}").into());
        let shared_parts = shared.chain(document).collect();
        let id = id.as_str().into();
        Request { id, path, content, shared_parts, ..request(sharing.route) }
    }

    /// Schedules an entry.
    fn schedule(&mut self, at: Time, due: Scheduled) {
        self.next += 1;
        self.scheduled.insert((at, self.next), due);
    }

    /// Returns the earliest tick that a box needs, and the box.
    fn next_tick(&self) -> Option<(Time, usize)> {
        let ticks = self.members.iter().enumerate().filter_map(|(number, member)| {
            let gateway = member.gateway.as_ref()?;
            let due = member.started_at + gateway.next_due().since(Time::ZERO);
            let soonest = self.now + Duration::from_micros(1);
            Some((due.max(soonest).max(member.paused_until), number))
        });
        ticks.min()
    }

    /// Handles a scheduled entry. A paused box handles it after its pause.
    fn handle(&mut self, due: Scheduled) {
        let number = match &due {
            Scheduled::Request(number, _) | Scheduled::Datagram(number, _) => *number,
            Scheduled::Notice(number, _) => *number,
            Scheduled::Answer(Caller { number, .. }, ..) | Scheduled::Changed(number, _) => *number,
            Scheduled::Watched(number, _) | Scheduled::Listed(number, _) => *number,
            Scheduled::Fetched(number, ..) => *number,
            Scheduled::Stored(number, ..) => *number,
            Scheduled::Probed(number, ..) => *number,
            Scheduled::PassedOn(number, ..) | Scheduled::Disconnected(number, _) => *number,
            Scheduled::Proxied(proxied, event, refused) => {
                return self.deliver_proxied(*proxied, *event, *refused);
            }
            Scheduled::BoxNotReached(number, ..) => *number,
            Scheduled::Call(number, start_count, send) => {
                return self.arrive(*number, *start_count, send);
            }
            Scheduled::Crash(caller, engine, before) => {
                return self.crash_by_request(*caller, *engine, *before);
            }
            Scheduled::Back(engine) => return self.recover(*engine),
        };
        let paused_until = self.members[number].paused_until;
        if paused_until > self.now {
            return self.schedule(paused_until, due);
        }
        if self.members[number].lacks_store && self.is_withheld(&due) {
            return;
        }
        match due {
            Scheduled::Request(number, request) => self.send_request(number, request),
            Scheduled::Datagram(number, message) => self.step(number, Event::Received(*message)),
            Scheduled::Notice(number, notice) => self.step(number, Event::Notified(notice)),
            Scheduled::Answer(Caller { start_count, call, .. }, engine, event)
                if self.members[number].start_count == start_count =>
            {
                if let CallEvent::Forwarded(Some(id)) = event {
                    self.record_event(Caller { number, start_count, call }, engine, id);
                }
                if let CallEvent::Began(answer) | CallEvent::Answered(answer) = &event {
                    self.statements.record_answer(
                        (number, start_count),
                        engine,
                        &answer.statement,
                        self.now,
                    );
                }
                self.step(number, Event::Call(call, event));
            }
            Scheduled::Probed(_, start_count, engine, probe)
                if self.members[number].start_count == start_count =>
            {
                self.step(number, Event::Probed(engine, probe));
            }
            Scheduled::BoxNotReached(_, start_count, to)
                if self.members[number].start_count == start_count =>
            {
                self.step(number, Event::BoxNotReached(to));
            }
            Scheduled::PassedOn(_, key, request) => {
                self.step(number, Event::Arrived(key, request));
            }
            Scheduled::Disconnected(_, key) => self.step(number, Event::ClientDisconnected(key)),
            Scheduled::Changed(_, changes) => self.step(number, Event::Changed(changes)),
            Scheduled::Watched(number, start_count)
                if self.members[number].start_count == start_count =>
            {
                self.report_era(number);
                if std::mem::take(&mut self.members[number].lists_anew) {
                    self.step(number, Event::Listed(self.engines(), self.store.revision));
                }
                self.step(number, Event::StoreAnswered(Kind::Configuration));
                self.step(number, Event::StoreAnswered(Kind::Engines));
                self.step(number, Event::StoreAnswered(Kind::Evacuations));
                self.schedule(self.now + WATCH_INTERVAL, Scheduled::Watched(number, start_count));
            }
            Scheduled::Listed(number, start_count)
                if self.members[number].start_count == start_count =>
            {
                self.report_era(number);
                self.step(number, Event::Listed(self.engines(), self.store.revision));
            }
            Scheduled::Fetched(_, start_count, provider, snapshot)
                if self.members[number].start_count == start_count =>
            {
                self.step(number, Event::SnapshotReceived(provider, snapshot));
            }
            Scheduled::Stored(number, start_count, operation, answer)
                if self.members[number].start_count == start_count =>
            {
                self.report_era(number);
                self.step(number, Event::Stored(operation, answer));
            }
            Scheduled::Answer(..)
            | Scheduled::Call(..)
            | Scheduled::Watched(..)
            | Scheduled::Stored(..) => {}
            Scheduled::Listed(..)
            | Scheduled::Fetched(..)
            | Scheduled::Crash(..)
            | Scheduled::Back(_)
            | Scheduled::BoxNotReached(..)
            | Scheduled::Proxied(..)
            | Scheduled::Probed(..) => {}
        }
    }

    /// Returns whether a partition from the store withholds what is due at a box. Operations time out,
    /// and watches are sent again.
    fn is_withheld(&mut self, due: &Scheduled) -> bool {
        match due {
            Scheduled::Changed(number, _) => self.members[*number].lists_anew = true,
            Scheduled::Listed(..) => {}
            Scheduled::Watched(number, start_count) => {
                let next = Scheduled::Watched(*number, *start_count);
                self.schedule(self.now + WATCH_INTERVAL, next);
            }
            Scheduled::Stored(number, start_count, operation, answer)
                if *answer != Answer::Away =>
            {
                let away = Scheduled::Stored(*number, *start_count, *operation, Answer::Away);
                self.schedule(self.now + STORE_TIMEOUT, away);
            }
            _ => return false,
        }
        true
    }

    /// Sends a client's request to a box, or to another one if that box is down.
    fn send_request(&mut self, number: usize, request: Request) {
        let up = |it: &usize| self.members[*it].gateway.is_some();
        let alive: Vec<_> = (0..self.members.len()).filter(up).collect();
        let number =
            if up(&number) { Some(number) } else { alive.choose(&mut self.random).copied() };
        let Some(number) = number else { return };
        self.next += 1;
        if request.path.ends_with(HARMFUL) {
            self.crashes.harmful.insert(RequestKey(self.next));
        } else if !request.shared_parts.is_empty() {
            self.crashes.sharing.insert(RequestKey(self.next));
        }
        let is_plain = ["/safe/", "/unsafe/"].iter().any(|it| request.path.starts_with(it));
        let service = if is_plain { PLAIN } else { MODEL };
        self.records.requests.push(ClientRequest { service, at: self.now });
        self.records.taken.push(Taken {
            number,
            request: RequestKey(self.next),
            at: self.now,
            is_served: false,
        });
        let key = RequestKey(self.next);
        self.proxies.requests.insert((number, key), request.clone());
        self.record_stream(number, key, &request);
        self.step(number, Event::Arrived(key, request));
    }

    /// Passes an event to a box's gateway and applies the effects.
    fn step(&mut self, number: usize, event: Event) {
        let member = &mut self.members[number];
        let Some(gateway) = &mut member.gateway else { return };
        let local = Time::ZERO + self.now.since(member.started_at);
        let (start_count, side) = (member.start_count, member.side);
        let calls_leave = self.now.max(member.calls_delayed_until);
        let is_older = self.older.contains(&number);
        let event = if is_older { older::received(event) } else { event };
        for effect in gateway.step(local, event) {
            match effect {
                Effect::Send(send) => {
                    self.schedule(
                        calls_leave + TRANSIT,
                        Scheduled::Call(number, start_count, Box::new(send)),
                    );
                }
                Effect::Announce(audience, message) => {
                    self.records.unreachable_reports += message.unreachable.len();
                    let message = if is_older { older::without_parts(&message) } else { *message };
                    self.send_datagrams(side, &audience, &message)
                }
                Effect::Notify(audience, notice) => self.send_notices(side, &audience, &notice),
                Effect::Store(operation, what) => {
                    let (answer, delay) = if self.members[number].lacks_store {
                        (Answer::Away, STORE_TIMEOUT)
                    } else {
                        (self.store.carry_out(what), STORE_DELAY)
                    };
                    let at = self.now + delay;
                    self.schedule(at, Scheduled::Stored(number, start_count, operation, answer));
                }
                Effect::Read(kind) => {
                    self.store.calls += 1;
                    if kind == Kind::Engines && !self.members[number].lacks_store {
                        self.schedule(
                            self.now + STORE_DELAY,
                            Scheduled::Listed(number, start_count),
                        );
                    }
                }
                Effect::Fetch(provider) => self.hand_over(number, provider),
                Effect::Probe(engine) => {
                    self.query_engine(number, engine.key);
                    self.probe(number, engine.key);
                }
                Effect::QueryCachedPrompts(engine) | Effect::QueryOrderCount(engine) => {
                    self.query_engine(number, engine.key);
                }
                Effect::Order(order) => self.query_engine(number, order.engine.key),
                Effect::Free(source) => self.query_engine(number, source.engine),
                Effect::Proxy(call) => self.pass_on(number, call),
                Effect::ProbeBox(to) => self.probe_box(number, to),
                Effect::Cancel(call) => {
                    self.drop_stream_call(number, call);
                    self.cancel_proxied(number, call);
                }
                Effect::Deliver(request, _) => {
                    self.records.record_end(number, request, true);
                    self.report_proxied(number, request, Outcome::Delivered);
                }
                Effect::Finish(request) => {
                    self.end_stream(number, request, true);
                    self.report_proxied(number, request, Outcome::Finished);
                }
                Effect::Refuse(request, refusal) => {
                    self.report_proxied(number, request, Outcome::Refused);
                    self.end_stream(number, request, false);
                    self.records.record_end(number, request, false);
                    self.crashes.record_refusal(request, refusal, self.now);
                }
                Effect::Abort(request) => {
                    self.report_proxied(number, request, Outcome::Aborted);
                    self.break_stream(number, request);
                    self.crashes.record_abort(request, self.now);
                }
                Effect::Log(LogEvent::ContactLost { .. }) => self.records.contact_losses += 1,
                Effect::Log(LogEvent::Retry { service, is_sent: false, .. }) => {
                    let service = if *service == *PLAIN { PLAIN } else { MODEL };
                    self.records.refused.push(RefusedRetry { service, at: self.now });
                }
                _ => {}
            }
        }
    }

    /// Records that a box's query or order arrives at an engine that may be rate-limited.
    fn query_engine(&mut self, number: usize, engine: EngineKey) {
        let start_count = self.members[number].start_count;
        _ = self.rate_limits.arrive((number, start_count), engine, self.now);
        _ = self.statements.arrive((number, start_count), engine, self.now);
    }

    /// Sets or removes the limit that engines state from now on.
    pub fn set_limit(&mut self, engines: impl IntoIterator<Item = EngineKey>, rate: Option<f64>) {
        for engine in engines {
            self.rate_limits.set_limit(engine, rate, self.now);
        }
    }

    /// Has engines report from now on, only in their answers, that they are shutting down.
    pub fn drain(&mut self, engines: impl IntoIterator<Item = EngineKey>) {
        for engine in engines {
            self.statements.drain(engine, self.now);
        }
    }

    /// Has engines reject all calls at times, and state the duration of the back-off.
    pub fn back_off(
        &mut self,
        engines: impl IntoIterator<Item = EngineKey>,
        back_offs: Option<BackOffs>,
    ) {
        for engine in engines {
            self.statements.back_off(engine, back_offs, self.now);
        }
    }

    /// Returns the keys of a service's engines.
    pub fn engines_of(&self, service: &str) -> Vec<EngineKey> {
        let engines = self.engines().into_iter();
        engines.filter(|it| *it.service == *service).map(|it| it.key).collect()
    }

    /// Returns the number of boxes.
    pub fn box_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the names of the parts of prompts that any box holds.
    pub fn held_parts(&self) -> BTreeSet<Arc<str>> {
        let gateways = self.members.iter().filter_map(|it| it.gateway.as_ref());
        gateways.flat_map(|it| it.held()).filter_map(|it| it.part).collect()
    }

    /// Releases what boxes hold whose signature starts with `short`, at one box.
    pub fn release_held(&mut self, number: usize, short: &str) {
        self.step(number, Event::Release(short.to_owned()));
    }

    /// Returns the signatures of what a box holds, as operators see them.
    pub fn held_at(&self, number: usize) -> Vec<String> {
        let gateway = self.members[number].gateway.as_ref();
        gateway.map_or(Vec::new(), |it| it.held().into_iter().map(|it| it.short).collect())
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules another box's snapshot for a box, unless the other box is down or partitioned from
    /// it.
    fn hand_over(&mut self, number: usize, provider: SocketAddr) {
        let is_provider = |it: &usize| settings_of(*it).peer == provider;
        let Some(other) = (0..self.members.len()).find(is_provider) else { return };
        let (asking, other) = (&self.members[number], &self.members[other]);
        let (Some(gateway), Some(provider_gateway)) = (&asking.gateway, &other.gateway) else {
            return;
        };
        if asking.side == other.side {
            let snapshot = Box::new(provider_gateway.snapshot(gateway.snapshot_request()));
            let due = Scheduled::Fetched(number, asking.start_count, provider, snapshot);
            self.schedule(self.now + HANDOVER_DURATION, due);
        }
    }

    /// Reports the store's era to a box, as each answer of the store does.
    fn report_era(&mut self, number: usize) {
        if self.store.revision.era > 0 {
            self.step(number, Event::StoreEra(self.store.revision.era));
        }
    }

    /// Sends a datagram to boxes; it is lost unless they are on the sender's side.
    fn send_datagrams(&mut self, side: usize, audience: &[SocketAddr], message: &Message) {
        for (number, at) in self.arrivals(side, audience) {
            self.schedule(at, Scheduled::Datagram(number, Box::new(message.clone())));
        }
    }

    /// Sends a notice of streams' versions to boxes, as [`Fleet::send_datagrams`] does.
    fn send_notices(&mut self, side: usize, audience: &[SocketAddr], notice: &Notice) {
        for (number, at) in self.arrivals(side, audience) {
            self.schedule(at, Scheduled::Notice(number, notice.clone()));
        }
    }

    /// Returns the boxes at which a datagram arrives, and when.
    fn arrivals(&mut self, side: usize, audience: &[SocketAddr]) -> Vec<(usize, Time)> {
        let mut arrivals = Vec::new();
        for &address in audience {
            let is_receiver = |it: &usize| settings_of(*it).peer == address;
            let Some(number) = (0..self.members.len()).find(is_receiver) else { continue };
            let is_lost = self.random.random_bool(self.lost);
            if is_lost || self.members[number].side != side {
                continue;
            }
            let delay = Duration::from_millis(self.random.random_range(self.delay_ms.clone()));
            arrivals.push((number, self.now + delay));
        }
        arrivals
    }
}

/// Returns the settings of a box.
fn settings_of(number: usize) -> Settings {
    let number = u8::try_from(number + 1).expect("at most 255 boxes");
    Settings { retry_bound: BOUND, ..settings(number) }
}
