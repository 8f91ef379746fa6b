//! Many boxes in virtual time that start together, with a store and links whose rates bound how
//! soon lists of engines arrive. No requests are sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer, Operation, Revision};
use hollyspoke::time::Time;
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::{Engine, EngineChange};
use hollyspoke_gateway::evacuation::Evacuation;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::Message;
use hollyspoke_gateway::snapshot::{Listing, Snapshot};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gateway::{configuration, engines, settings};

/// The size of a site.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// The number of boxes.
    pub boxes: usize,
    /// The number of data centres, among which the boxes are spread.
    pub data_centres: usize,
    /// The number of engines. A few of them are there, and the sizes of lists are those of all.
    pub engines: usize,
}

impl Size {
    /// Returns the size of a site that is like the users' largest one, with this many boxes.
    pub fn of(boxes: usize) -> Size {
        Size { boxes, data_centres: 5, engines: boxes * 10 }
    }
}

/// How long a datagram takes to arrive.
const DATAGRAM_DELAY: Duration = Duration::from_millis(1);

/// How long the store takes to answer.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// The pause of a follower between two reads of changes.
const FOLLOWER_PAUSE_MS: u64 = 200;

/// How long it takes until a box that is busy, or gone, is known to hand nothing over.
const BUSY_DELAY: Duration = Duration::from_millis(2);

/// Like [`BUSY_DELAY`], for a box that is gone.
const GONE_DELAY: Duration = Duration::from_secs(2);

/// The number of boxes that the settings name as seeds.
const SEED_COUNT: usize = 3;

/// The number of snapshots that a box hands over at the same time.
const MAX_HANDOVER_COUNT: usize = 4;

/// The size of an engine's entry in the store's answers, in bytes.
const ENTRY_BYTES: usize = 330;

/// The size of an engine, or of a change, in a snapshot, in bytes.
const SNAPSHOT_ENTRY_BYTES: usize = 100;

/// The number of entries in a page.
const PAGE_ENTRIES: usize = 500;

/// The size of the configuration, in bytes.
const CONFIGURATION_BYTES: usize = 47_000;

/// The rate of the store's link, in bytes per second.
const STORE_RATE: f64 = 125e6;

/// The rate of a box's link, in bytes per second: that of the slowest.
const BOX_RATE: f64 = 2.5e6;

/// The revision of the engines at the start.
const FIRST_REVISION: u64 = 10;

/// A planned event of a box.
#[derive(Debug)]
enum Due {
    /// A datagram arrives.
    Datagram(Arc<Message>),
    /// The store answers an operation.
    Stored(u64),
    /// The store answers a read of a small object.
    Read(Kind),
    /// A page of the list of engines arrives; the number of pages that follow.
    Page(usize),
    /// The store answers with the engine changes that the box lacks.
    Changes,
    /// A snapshot arrives from another box.
    Snapshot(usize, Box<Snapshot>),
    /// Another box hands nothing over.
    NoSnapshot,
}

/// One box.
struct Member {
    /// The gateway; `None` while the box is down.
    gateway: Option<Gateway>,
    /// When it was started last.
    started_at: Time,
    /// Counts its starts, so that what was planned for an earlier one is dropped.
    start_count: u64,
    /// When its next tick is due.
    tick_at: Time,
    /// The number of snapshots that it hands over now.
    handovers: usize,
    /// The time until which its link is in use.
    link_used_until: Time,
    /// Whether it is reading the list of engines.
    is_listing: bool,
    /// Whether it follows the store.
    follows: bool,
}

/// Boxes, the links between them, and a store.
pub struct Boxes {
    /// The boxes.
    members: Vec<Member>,
    /// The planned ticks of the boxes, by time.
    ticks: BTreeMap<(Time, usize), ()>,
    /// The planned events, by time, with the box and its start.
    due: BTreeMap<(Time, u64), (usize, u64, Due)>,
    /// The number of the next entry of `due`.
    next: u64,
    /// The current time.
    now: Time,
    /// The size of the site.
    size: Size,
    /// The engine changes since the start.
    changes: Vec<EngineChange>,
    /// The time until which the store's link is in use.
    link_used_until: Time,
    /// The number of bytes that the store has sent.
    pub store_bytes: usize,
    /// The number of datagrams that have arrived.
    pub datagrams: usize,
    /// The share of datagrams that are lost.
    pub lost: f64,
    /// The random number generator.
    random: Pcg64Mcg,
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

/// Returns the time that bytes take at a rate.
fn transfer_time(bytes: usize, rate: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / rate)
}

impl Boxes {
    /// Creates boxes that are down.
    fn new(size: Size, seed: u64) -> Boxes {
        let make = |_| Member {
            gateway: None,
            started_at: Time::ZERO,
            start_count: 0,
            tick_at: Time::ZERO,
            handovers: 0,
            link_used_until: Time::ZERO,
            is_listing: false,
            follows: false,
        };
        Boxes {
            members: (0..size.boxes).map(make).collect(),
            ticks: BTreeMap::new(),
            due: BTreeMap::new(),
            next: 0,
            now: Time::ZERO,
            size,
            changes: Vec::new(),
            link_used_until: Time::ZERO,
            store_bytes: 0,
            datagrams: 0,
            lost: 0.0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Starts boxes that have the configuration and the engines from the start.
    pub fn start_informed(count: usize) -> Boxes {
        let mut boxes = Boxes::new(Size::of(count), 1);
        for number in 0..count {
            boxes.start_at(number);
            let revision = Revision::from(FIRST_REVISION);
            for event in [
                Event::Configured(Arc::new(configuration(1))),
                Event::Listed(engines(), revision),
                Event::Evacuated(Evacuation { revision, ..Evacuation::default() }),
                Event::StoreAnswered(Kind::Configuration),
            ] {
                boxes.step(number, event);
            }
        }
        boxes
    }

    /// Starts boxes that know nothing.
    pub fn start_uninformed(size: Size, seed: u64) -> Boxes {
        let mut boxes = Boxes::new(size, seed);
        (0..size.boxes).for_each(|it| boxes.start_at(it));
        boxes
    }

    /// Starts a box within 0.3 s, in mixed order.
    fn start_at(&mut self, number: usize) {
        self.now = Time::from_millis((number as u64 * 7) % 300);
        self.start(number);
    }

    /// Starts a box now.
    pub fn start(&mut self, number: usize) {
        let incarnation = self.random.random();
        let member = &mut self.members[number];
        member.started_at = self.now;
        member.start_count += 1;
        (member.handovers, member.is_listing, member.follows) = (0, false, false);
        member.gateway = Some(Gateway::new(Settings {
            data_centre: format!("data-centre-{}", number % self.size.data_centres).into(),
            peer: address(number),
            front: SocketAddr::new(address(number).ip(), 8000),
            incarnation,
            ..settings(1)
        }));
        let seeds = (0..SEED_COUNT.min(self.members.len())).map(address).collect();
        self.step(number, Event::Seeds(seeds));
    }

    /// Takes the power of a box.
    pub fn kill(&mut self, number: usize) {
        self.members[number].gateway = None;
    }

    /// Marks an engine as draining in the store, and returns the revision.
    pub fn drain_engine(&mut self) -> Revision {
        let revision = Revision::from(FIRST_REVISION + 1 + self.changes.len() as u64);
        let engine = engines().remove(self.changes.len() % engines().len());
        self.changes.push(EngineChange::Put(Engine { is_draining: true, ..engine }, revision));
        let followers: Vec<_> =
            (0..self.members.len()).filter(|it| self.members[*it].follows).collect();
        for number in followers {
            let pause = Duration::from_millis(self.random.random_range(0..FOLLOWER_PAUSE_MS));
            self.plan(self.now + STORE_DELAY + pause, number, Due::Changes);
        }
        revision
    }

    /// Runs the boxes for a time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let due = self.due.first_key_value().map(|it| it.0.0);
            let tick = self.ticks.first_key_value().map(|it| it.0.0);
            let Some(next) = due.into_iter().chain(tick).min().filter(|&it| it <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if due == Some(next) {
                let Some((_, (number, start_count, due))) = self.due.pop_first() else { break };
                let member = &self.members[number];
                if member.gateway.is_some() && member.start_count == start_count {
                    self.handle(number, due);
                }
            } else if let Some(((_, number), ())) = self.ticks.pop_first() {
                self.step(number, Event::Tick);
            }
        }
        self.now = end;
    }

    /// Runs the boxes until a condition holds for all that are up; returns how long it took, or
    /// `None` if it doesn't hold within a time.
    pub fn run_until(
        &mut self,
        holds: impl Fn(&Gateway) -> bool,
        max_duration: Duration,
    ) -> Option<Duration> {
        let began = self.now;
        while self.now.since(began) < max_duration {
            self.run(Duration::from_millis(50));
            if self.up().all(&holds) {
                return Some(self.now.since(began));
            }
        }
        None
    }

    /// Returns the gateways that are up.
    pub fn up(&self) -> impl Iterator<Item = &Gateway> {
        self.members.iter().filter_map(|it| it.gateway.as_ref())
    }

    /// Handles a planned event.
    fn handle(&mut self, number: usize, due: Due) {
        match due {
            Due::Datagram(message) => {
                self.datagrams += 1;
                self.step(number, Event::Received(Message::clone(&message)));
            }
            Due::Stored(operation) => self.step(number, Event::Stored(operation, Answer::Absent)),
            Due::Read(kind) => self.answer_read(number, kind),
            Due::Page(left) => self.receive_page(number, left),
            Due::Changes => self.answer_changes(number),
            Due::Snapshot(provider, snapshot) => {
                self.members[provider].handovers =
                    self.members[provider].handovers.saturating_sub(1);
                self.step(number, Event::SnapshotReceived(address(provider), snapshot));
            }
            Due::NoSnapshot => self.step(number, Event::SnapshotFailed),
        }
    }

    /// Applies an event to a box, and plans its next tick.
    fn step(&mut self, number: usize, event: Event) {
        let now = self.now;
        let member = &mut self.members[number];
        let Some(gateway) = &mut member.gateway else { return };
        let started_at = member.started_at;
        let effects = gateway.step(Time::ZERO + now.since(started_at), event);
        let due = started_at + gateway.next_due().since(Time::ZERO);
        let due = due.max(now + Duration::from_micros(10));
        self.ticks.remove(&(std::mem::replace(&mut member.tick_at, due), number));
        self.ticks.insert((due, number), ());
        for effect in effects {
            self.carry_out(number, effect);
        }
    }

    /// Carries out an effect of a box.
    fn carry_out(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Announce(audience, message) => {
                let message = Arc::new(*message);
                for receiver in audience {
                    if !self.random.random_bool(self.lost) {
                        let due = Due::Datagram(message.clone());
                        self.plan(self.now + DATAGRAM_DELAY, number_of(receiver), due);
                    }
                }
            }
            Effect::Store(operation, Operation::Get { .. } | Operation::Peek { .. }) => {
                self.plan(self.now + STORE_DELAY, number, Due::Stored(operation));
            }
            Effect::Read(Kind::Engines) => self.read_engines(number),
            Effect::Read(kind) => {
                let bytes = if kind == Kind::Configuration { CONFIGURATION_BYTES } else { 0 };
                let at = self.send_from_store(number, bytes);
                self.plan(at, number, Due::Read(kind));
            }
            Effect::WatchStore(follows) => {
                self.members[number].follows = follows;
                if follows && self.has_list(number) {
                    self.plan(self.now + STORE_DELAY, number, Due::Changes);
                }
            }
            Effect::Fetch(provider) => self.hand_over(number, number_of(provider)),
            _ => {}
        }
    }

    /// Returns whether a box has a list of engines.
    fn has_list(&self, number: usize) -> bool {
        self.members[number].gateway.as_ref().is_some_and(|it| it.engine_count() > 0)
    }

    /// Begins to read the list of engines, or the changes since the one that a box has.
    fn read_engines(&mut self, number: usize) {
        if self.has_list(number) {
            return self.plan(self.now + STORE_DELAY, number, Due::Changes);
        }
        if !std::mem::replace(&mut self.members[number].is_listing, true) {
            self.request_page(number, self.size.engines.div_ceil(PAGE_ENTRIES).max(1));
        }
    }

    /// Requests a page of the list of engines, of those that are left.
    fn request_page(&mut self, number: usize, left: usize) {
        let entries = self.size.engines.min(PAGE_ENTRIES);
        let at = self.send_from_store(number, entries * ENTRY_BYTES);
        self.plan(at, number, Due::Page(left - 1));
    }

    /// Handles a page of the list of engines: reads on, or applies the list.
    fn receive_page(&mut self, number: usize, left: usize) {
        let reads_on = self.members[number].gateway.as_ref().is_some_and(Gateway::reads_store);
        if left > 0 && reads_on {
            return self.request_page(number, left);
        }
        self.members[number].is_listing = false;
        if left == 0 {
            let revision = self.revision();
            self.step(number, Event::StoreAnswered(Kind::Engines));
            self.step(number, Event::Listed(self.listed(), revision));
        }
    }

    /// Returns the newest revision of the engines.
    fn revision(&self) -> Revision {
        self.changes.last().map_or(FIRST_REVISION.into(), EngineChange::revision)
    }

    /// Returns the engines as the store lists them now.
    fn listed(&self) -> Vec<Engine> {
        let is_changed = |it: &Engine| {
            self.changes.iter().any(|change| match change {
                EngineChange::Put(engine, _) => engine.key == it.key,
                EngineChange::Left(..) => false,
            })
        };
        let current = |it: Engine| Engine { is_draining: is_changed(&it), ..it };
        engines().into_iter().map(current).collect()
    }

    /// Answers a read of the configuration or of the evacuations.
    fn answer_read(&mut self, number: usize, kind: Kind) {
        self.step(number, Event::StoreAnswered(kind));
        let revision = self.revision();
        match kind {
            Kind::Configuration => {
                self.step(number, Event::Configured(Arc::new(configuration(1))));
            }
            Kind::Evacuations => {
                let evacuation = Evacuation { revision, ..Evacuation::default() };
                self.step(number, Event::Evacuated(evacuation));
            }
            Kind::Engines => {}
        }
    }

    /// Answers with the engine changes that a box lacks.
    fn answer_changes(&mut self, number: usize) {
        let Some(gateway) = &self.members[number].gateway else { return };
        let known = gateway.engine_revision();
        let newer = self.changes.iter().filter(|it| it.revision() > known).cloned().collect();
        self.step(number, Event::StoreAnswered(Kind::Engines));
        self.step(number, Event::Changed(newer));
    }

    /// Sends bytes over the store's link and a box's link; returns when they have arrived.
    fn send_from_store(&mut self, number: usize, bytes: usize) -> Time {
        self.store_bytes += bytes;
        self.link_used_until =
            self.link_used_until.max(self.now) + transfer_time(bytes, STORE_RATE);
        let link = &mut self.members[number].link_used_until;
        *link = (*link).max(self.now) + transfer_time(bytes, BOX_RATE);
        self.link_used_until.max(*link) + STORE_DELAY
    }

    /// Hands a snapshot over, unless the provider is down or busy.
    fn hand_over(&mut self, number: usize, provider: usize) {
        let Some(gateway) = &self.members[number].gateway else { return };
        let request = gateway.snapshot_request();
        let other = &mut self.members[provider];
        let Some(gateway) = &other.gateway else {
            return self.plan(self.now + GONE_DELAY, number, Due::NoSnapshot);
        };
        if other.handovers >= MAX_HANDOVER_COUNT {
            return self.plan(self.now + BUSY_DELAY, number, Due::NoSnapshot);
        }
        other.handovers += 1;
        let snapshot = Box::new(gateway.snapshot(request));
        let entries = match &snapshot.listing {
            Some(Listing::Whole { .. }) => self.size.engines,
            Some(Listing::Changes { changes, .. }) => changes.len(),
            None => 0,
        };
        let bytes = entries * SNAPSHOT_ENTRY_BYTES + CONFIGURATION_BYTES;
        other.link_used_until =
            other.link_used_until.max(self.now) + transfer_time(bytes, BOX_RATE);
        let at = other.link_used_until + BUSY_DELAY;
        self.plan(at, number, Due::Snapshot(provider, snapshot));
    }

    /// Plans an event of a box.
    fn plan(&mut self, at: Time, number: usize, due: Due) {
        self.next += 1;
        let start_count = self.members[number].start_count;
        self.due.insert((at, self.next), (number, start_count, due));
    }
}
