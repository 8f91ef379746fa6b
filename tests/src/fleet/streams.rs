//! Streams whose clients take them up again at another box, at engines of several software versions.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::effect::{Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineKey, Stage};
use hollyspoke_gateway::evacuation::Evacuation;
use hollyspoke_gateway::event::CallEvent;
use hollyspoke_gateway::request::{CallKey, Request, RequestKey};
use hollyspoke_gateway::version::SoftwareVersion;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::{Caller, Fleet, Scheduled};
use crate::gateway::{MODEL, engine, ran};

/// The number of events of a stream.
const EVENT_COUNT: u64 = 6;

/// The usual time after which a client takes a broken stream up, in milliseconds.
const RETURN_DELAY_MS: RangeInclusive<u64> = 5..=300;

/// The maximum number of attempts for a stream.
const MAX_ATTEMPT_COUNT: usize = 3;

/// How long a box must have been up for the share of resumed streams to count.
const CONTACT_DURATION: Duration = Duration::from_secs(3);

/// The number of engines of a version with which streams must go on.
const MIN_ENGINE_COUNT: usize = 2;

/// The number of resumed streams from which their share counts.
const MIN_TAKEN_UP_COUNT: usize = 12;

/// The number of the first engine that joins beside the first ones.
const FIRST_JOINED: u8 = 41;

/// One attempt to take a stream up.
#[derive(Debug, Clone, Copy)]
struct Resumption {
    /// Whether it counts: its box was in touch, and engines of the version served.
    counts: bool,
    /// Whether an event followed.
    went_on: bool,
}

/// A stream from its client's view.
#[derive(Debug, Clone)]
struct Stream {
    /// The first request.
    request: Request,
    /// The number of attempts.
    attempts: usize,
    /// The id of the attempt that brought the first event, once there was one.
    begun_as: Option<Arc<str>>,
    /// The last event that the client has.
    last_event: Option<u64>,
    /// The versions of the engines that wrote the events.
    versions: BTreeSet<Arc<str>>,
    /// The attempts to take it up.
    resumptions: Vec<Resumption>,
}

/// All streams, and the versions of the engines.
#[derive(Debug)]
pub(super) struct Streams {
    /// Whether engines send events and clients come back.
    is_enabled: bool,
    /// The streams.
    streams: Vec<Stream>,
    /// The stream of each request at a box.
    requests: BTreeMap<(usize, RequestKey), usize>,
    /// The request of each call.
    calls: BTreeMap<(usize, u64, CallKey), RequestKey>,
    /// The versions of engines, if not the usual one.
    versions: BTreeMap<EngineKey, Arc<str>>,
    /// The engines that have joined beside the first ones, with their versions.
    pub(super) joined: Vec<Engine>,
    /// The time after which a client takes a broken stream up, in milliseconds.
    return_delay_ms: RangeInclusive<u64>,
}

impl Default for Streams {
    fn default() -> Streams {
        Streams {
            is_enabled: false,
            streams: Vec::new(),
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            versions: BTreeMap::new(),
            joined: Vec::new(),
            return_delay_ms: RETURN_DELAY_MS,
        }
    }
}

/// What became of the streams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamCounts {
    /// The streams that hold events of two versions.
    pub mixed: usize,
    /// The attempts to take a stream up that count.
    pub taken_up: usize,
    /// The share of them that went on.
    pub went_on: f64,
    /// The share of streams that began.
    pub begun: f64,
    /// The share of all attempts to take a stream up that went on, also at boxes that have just
    /// started.
    pub all_went_on: f64,
}

impl StreamCounts {
    /// Returns whether resumed streams go on at least half as often as new ones begin.
    pub fn goes_on(&self) -> bool {
        self.taken_up < MIN_TAKEN_UP_COUNT || self.went_on >= self.begun / 2.0
    }
}

impl Fleet {
    /// Creates boxes in three data centres that have run for a while, with clients that take broken
    /// streams up.
    pub fn resuming(boxes: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::unstarted(boxes, seed);
        fleet.streams.is_enabled = true;
        fleet.start(0..boxes);
        fleet.run(Duration::from_secs(12));
        fleet
    }

    /// Sets the time after which clients take broken streams up, in seconds.
    pub fn return_after(&mut self, seconds: RangeInclusive<u64>) {
        self.return_after_ms(seconds.start() * 1000..=seconds.end() * 1000);
    }

    /// Sets the time after which clients take broken streams up, in milliseconds.
    pub fn return_after_ms(&mut self, milliseconds: RangeInclusive<u64>) {
        self.streams.return_delay_ms = milliseconds;
    }

    /// Replaces engines by ones of another version, under the same ids.
    pub fn release(&mut self, engines: impl IntoIterator<Item = EngineKey>, version: &str) {
        for engine in engines {
            self.streams.versions.insert(engine, version.into());
            self.crash_all([engine]);
        }
    }

    /// Adds decode engines of a version, under new ids beside the others.
    pub fn join(&mut self, count: u8, version: &str) -> Vec<EngineKey> {
        let first = FIRST_JOINED + self.streams.joined.len() as u8;
        let engines = (first..first + count).map(|it| engine(it, MODEL, Some(Stage::Decode)));
        let engines: Vec<_> = engines.collect();
        let keys: Vec<_> = engines.iter().map(|it| it.key).collect();
        self.streams.joined.extend(engines);
        for &key in &keys {
            self.streams.versions.insert(key, version.into());
            self.recover(key);
        }
        keys
    }

    /// Returns the version of an engine's software.
    pub(super) fn software_version(&self, engine: EngineKey) -> Option<SoftwareVersion> {
        let version = self.streams.versions.get(&engine).cloned();
        Some(SoftwareVersion::new(version.unwrap_or_else(|| "v1".into())))
    }

    /// Returns whether an engine has a version.
    pub(super) fn has_version(&self, engine: EngineKey, version: &str) -> bool {
        self.software_version(engine).is_some_and(|it| it.name() == version)
    }

    /// Returns the decode engines.
    pub fn decode_engines(&self) -> Vec<EngineKey> {
        let staged = self.engines().into_iter().filter(|it| *it.service == *MODEL);
        let decode = staged.filter(|it| it.stage == Some(Stage::Decode));
        decode.map(|it| it.key).collect()
    }

    /// Returns the data centre of a box.
    pub(super) fn data_centre_of(&self, number: usize) -> &'static str {
        if self.streams.is_enabled { ["north", "south", "west"][number % 3] } else { "north" }
    }

    /// Returns the evacuated data centres as the store lists them to boxes that start: none, and
    /// nothing where no streams are taken up.
    pub(super) fn evacuation(&self) -> Evacuation {
        if !self.streams.is_enabled {
            return Evacuation::default();
        }
        Evacuation { revision: self.store.revision, ..Evacuation::default() }
    }

    /// Returns what became of the streams.
    pub fn stream_counts(&self) -> StreamCounts {
        let streams = &self.streams.streams;
        let resumptions = streams.iter().flat_map(|it| &it.resumptions).filter(|it| it.counts);
        let (taken_up, went_on) =
            resumptions.fold((0, 0), |(all, on), it| (all + 1, on + usize::from(it.went_on)));
        let all: Vec<_> = streams.iter().flat_map(|it| &it.resumptions).collect();
        let all_on = all.iter().filter(|it| it.went_on).count();
        let begun = streams.iter().filter(|it| it.begun_as.is_some()).count();
        StreamCounts {
            mixed: streams.iter().filter(|it| it.versions.len() > 1).count(),
            taken_up,
            went_on: went_on as f64 / taken_up.max(1) as f64,
            begun: begun as f64 / streams.len().max(1) as f64,
            all_went_on: all_on as f64 / all.len().max(1) as f64,
        }
    }

    /// Returns the number of streams that hold events of a version.
    pub fn streams_of(&self, version: &str) -> usize {
        let streams = self.streams.streams.iter();
        streams.filter(|it| it.versions.iter().any(|it| **it == *version)).count()
    }

    /// Records the first attempt of a stream.
    pub(super) fn record_stream(&mut self, number: usize, key: RequestKey, request: &Request) {
        if !self.streams.is_enabled || !request.path.starts_with("/resumed/") {
            return;
        }
        let first_id = request.id.split('+').next().unwrap_or_default();
        let known = self.streams.streams.iter().position(|it| *it.request.id == *first_id);
        let place = known.unwrap_or_else(|| {
            self.streams.streams.push(Stream {
                request: request.clone(),
                attempts: 0,
                begun_as: None,
                last_event: None,
                versions: BTreeSet::new(),
                resumptions: Vec::new(),
            });
            self.streams.streams.len() - 1
        });
        self.streams.streams[place].attempts += 1;
        if request.last_event.is_some() {
            let counts = self.counts(number, place);
            let resumption = Resumption { counts, went_on: false };
            self.streams.streams[place].resumptions.push(resumption);
        }
        self.streams.requests.insert((number, key), place);
    }

    /// Returns whether a stream that is taken up at a box must go on.
    fn counts(&self, number: usize, place: usize) -> bool {
        let is_in_touch = self.now.since(self.members[number].started_at) >= CONTACT_DURATION;
        let versions = &self.streams.streams[place].versions;
        let is_up = |it: &EngineKey| self.crashes.state(*it).down_until <= self.now;
        let has_version = |it: &EngineKey| {
            self.software_version(*it).is_some_and(|it| versions.contains(it.name()))
        };
        let serving = self.decode_engines().into_iter().filter(|it| is_up(it) && has_version(it));
        is_in_touch && serving.count() >= MIN_ENGINE_COUNT
    }

    /// Schedules the events of a decode call, after those that the client has. Returns false if
    /// engines send none.
    pub(super) fn schedule_events(&mut self, caller: Caller, send: &Send, began: Time) -> bool {
        if !self.streams.is_enabled || !matches!(send.task, Task::Decode(_)) {
            return false;
        }
        self.streams.calls.insert((caller.number, caller.start_count, caller.call), send.request);
        let engine = send.engine.key;
        self.schedule(began, Scheduled::Answer(caller, engine, CallEvent::Began(ran(200))));
        let after = send.last_event.unwrap_or(0);
        let pause = self.stream_duration / EVENT_COUNT as u32;
        let mut at = began;
        for id in after + 1..=EVENT_COUNT {
            let event = CallEvent::Forwarded(Some(id));
            self.schedule(at, Scheduled::Answer(caller, engine, event));
            at = at + pause;
        }
        self.schedule(at, Scheduled::Answer(caller, engine, CallEvent::Answered(ran(200))));
        true
    }

    /// Records an event that an engine has written, unless the box has dropped the call.
    pub(super) fn record_event(&mut self, caller: Caller, engine: EngineKey, id: u64) {
        let Caller { number, start_count, call } = caller;
        let Some(&key) = self.streams.calls.get(&(number, start_count, call)) else { return };
        let Some(&place) = self.streams.requests.get(&(number, key)) else { return };
        let version = self.software_version(engine).map(|it| it.name().into());
        let stream = &mut self.streams.streams[place];
        let attempt = attempt_id(&stream.request, stream.attempts);
        stream.begun_as.get_or_insert(attempt);
        stream.last_event = Some(id);
        stream.versions.extend(version);
        if let Some(resumption) = stream.resumptions.last_mut() {
            resumption.went_on = true;
        }
    }

    /// Records that a box has dropped a call.
    pub(super) fn drop_stream_call(&mut self, number: usize, call: CallKey) {
        self.streams.calls.retain(|at, _| (at.0, at.2) != (number, call));
    }

    /// Lets the clients of a killed box come back.
    pub(super) fn break_streams(&mut self, number: usize) {
        let broken = self.streams.requests.keys().filter(|it| it.0 == number).map(|it| it.1);
        for key in broken.collect::<Vec<_>>() {
            self.break_stream(number, key);
        }
    }

    /// Breaks the connections of clients with streams at boxes. They come back at any box.
    pub fn drop_clients(&mut self, numbers: &[usize]) {
        let streams = self.streams.requests.keys().filter(|it| numbers.contains(&it.0)).copied();
        for (number, key) in streams.collect::<Vec<_>>() {
            self.break_stream(number, key);
            self.schedule(self.now, Scheduled::Disconnected(number, key));
        }
    }

    /// Lets the client of a stream that has been broken off come back at any box.
    pub(super) fn break_stream(&mut self, number: usize, key: RequestKey) {
        let Some(place) = self.streams.requests.remove(&(number, key)) else { return };
        let stream = &self.streams.streams[place];
        let (Some(last_event), true) = (stream.last_event, stream.attempts < MAX_ATTEMPT_COUNT)
        else {
            return;
        };
        let request = Request {
            id: attempt_id(&stream.request, stream.attempts + 1),
            last_event: Some(last_event),
            resumed_id: stream.begun_as.clone(),
            ..stream.request.clone()
        };
        let delay =
            Duration::from_millis(self.random.random_range(self.streams.return_delay_ms.clone()));
        let numbers: Vec<_> = (0..self.members.len()).collect();
        let Some(&at) = numbers.choose(&mut self.random) else { return };
        self.schedule(self.now + delay, Scheduled::Request(at, request));
    }

    /// Records that a request has ended whole or was refused. A stream of which only the end was
    /// missing goes on without an event.
    pub(super) fn end_stream(&mut self, number: usize, key: RequestKey, is_whole: bool) {
        let Some(place) = self.streams.requests.remove(&(number, key)) else { return };
        if let Some(resumption) = self.streams.streams[place].resumptions.last_mut() {
            resumption.went_on |= is_whole;
        }
    }
}

/// Returns the id of a client's attempt.
fn attempt_id(request: &Request, attempt: usize) -> Arc<str> {
    if attempt <= 1 { request.id.clone() } else { format!("{}+{attempt}", request.id).into() }
}
