//! A simulation of boxes, engines, services, the store, the network and callers in virtual time.

mod action;
mod due;
mod upstream;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

pub use action::{Action, Sending, generate, hold};

use hollyspoke::config::Versioned;
use hollyspoke::effect::{CallerReply, Effect, Record};
use hollyspoke::event::{CallId, Event};
use hollyspoke::key::{Incarnation, Key, Ticket};
use hollyspoke::node::{Node, Settings};
use hollyspoke::site::{DataCentreId, Site, UpstreamId};
use hollyspoke::store as objects;
use hollyspoke::time::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::engine::Engine;
use crate::ledger::{Caller, End, Ledger, Violation};
use due::{Due, Entry, Stream, Transfer};

use crate::load::settings;
use crate::network::Network;
use crate::store::{Outcome, Store};

/// The interval between the ticks of a box.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The delay of a call to an engine or service.
const CALL_DELAY: Duration = Duration::from_millis(1);

/// The timeout of a connection between boxes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay of the store's answer.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// The timeout of an operation on the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The capacity of an engine's prefix cache, in blocks.
const CACHE_BLOCK_COUNT: usize = 4096;

/// The rate of a link that the site doesn't list, in bytes per second.
const DEFAULT_LINK_BYTES_PER_S: u64 = 10_000_000_000;

/// A slot in which a box runs, one generation after another.
#[derive(Debug, Clone)]
struct BoxSlot {
    /// The reducer; absent while the box is dead.
    node: Option<Node>,
    /// The generation, which changes with every start and stop.
    generation: u64,
    /// When the current pause ends, if there is one.
    paused_until: Option<Time>,
    /// The events that arrived during the pause.
    backlog: Vec<Event>,
    /// Whether the box watches the store.
    watching: bool,
    /// The version in force after the last step.
    version: u64,
    /// The data centre.
    data_centre: String,
}

/// The state of the simulation.
#[derive(Debug)]
pub struct World {
    /// The virtual time.
    now: Time,
    /// The order number of the last entry in the queue.
    last_order: u64,
    /// The events that are due.
    queue: BinaryHeap<Entry>,
    /// The slots of the boxes.
    slots: Vec<BoxSlot>,
    /// The engines.
    pub engines: BTreeMap<UpstreamId, Engine>,
    /// The engine at each address.
    addresses: BTreeMap<String, UpstreamId>,
    /// When each link becomes free.
    links: BTreeMap<(DataCentreId, DataCentreId), Time>,
    /// The share of its configured rate that each link has.
    link_share: f64,
    /// Whether engines answer polls.
    answers_polls: bool,
    /// The shares of calls that a plain service refuses, and that it runs without answering.
    service_faults: (f64, f64),
    /// The store.
    pub store: Store,
    /// The network between boxes.
    pub network: Network,
    /// The record of what happened.
    pub ledger: Ledger,
    /// The requests' records.
    pub records: Vec<Record>,
    /// The notes of boxes for operators, and when they were made.
    pub notes: Vec<(Time, String)>,
    /// The number of prompt tokens whose stream was decoded.
    pub useful_tokens: u64,
    /// The site that the store accepted last.
    site: Arc<Versioned>,
    /// The attempts that boxes have dropped.
    dropped: BTreeSet<Ticket>,
    /// The sends by call, for relays.
    sendings: BTreeMap<CallId, Sending>,
    /// The number of the last call made for a relay.
    last_relay: u64,
    /// The random number generator.
    random: Pcg64Mcg,
}

impl World {
    /// Creates a world with boxes spread over the site's data centres in turn.
    pub fn new(site: Site, boxes: usize, seed: u64) -> World {
        let mut world = World {
            now: Time::ZERO,
            last_order: 0,
            queue: BinaryHeap::new(),
            slots: Vec::new(),
            engines: BTreeMap::new(),
            addresses: BTreeMap::new(),
            links: BTreeMap::new(),
            link_share: 1.0,
            answers_polls: true,
            service_faults: (0.0, 0.0),
            store: Store::default(),
            network: Network::default(),
            ledger: Ledger::default(),
            records: Vec::new(),
            notes: Vec::new(),
            useful_tokens: 0,
            site: Arc::new(Versioned { version: 1, site }),
            dropped: BTreeSet::new(),
            sendings: BTreeMap::new(),
            last_relay: 1 << 40,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for engine in &world.site.site.engines {
            world.engines.insert(engine.id(), Engine::new(engine, CACHE_BLOCK_COUNT));
            world.addresses.insert(engine.address.clone(), engine.id());
        }
        let data_centres = world.site.site.data_centres.clone();
        for number in 0..boxes {
            let data_centre = data_centres[number % data_centres.len()].clone();
            world.slots.push(BoxSlot {
                node: None,
                generation: 0,
                paused_until: None,
                backlog: Vec::new(),
                watching: false,
                version: 0,
                data_centre,
            });
            world.restart(number);
        }
        world
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the version that the store accepted last.
    pub fn accepted(&self) -> u64 {
        self.site.version
    }

    /// Returns a box that owns some engines.
    pub fn owner(&self) -> Option<usize> {
        let owns = |it: &BoxSlot| it.node.as_ref().is_some_and(|it| !it.status().pools.is_empty());
        self.slots.iter().position(owns)
    }

    /// Returns a box's reducer, unless the box is dead.
    pub fn node(&self, number: usize) -> Option<&Node> {
        self.slots[number].node.as_ref()
    }

    /// Returns a key whose home is a box, in the box's epoch, unless the box is dead.
    pub fn key(&self, number: usize, nonce: u64) -> Option<Key> {
        let entry = self.node(number)?.entry();
        Some(Key { home: entry.incarnation, epoch: entry.beat.epoch, nonce })
    }

    /// Schedules an external action.
    pub fn schedule_action(&mut self, at: Time, action: Action) {
        self.schedule(at, Due::Action(Box::new(action)));
    }

    /// Runs until a time, or until a guarantee is violated.
    ///
    /// # Errors
    ///
    /// The first violation.
    pub fn run(&mut self, until: Time) -> Result<(), Violation> {
        while let Some(entry) = self.queue.peek() {
            if entry.at > until {
                break;
            }
            let Some(entry) = self.queue.pop() else { break };
            self.now = self.now.max(entry.at);
            self.dispatch(entry.due);
            if let Some(broken) = self.ledger.violations.first() {
                return Err(Violation(format!("at {} ms: {broken}", self.now.as_micros() / 1000)));
            }
        }
        self.now = self.now.max(until);
        Ok(())
    }

    /// Returns the engines with streams, their reserved memory in tokens, and their stream counts.
    pub fn held(&mut self) -> Vec<(UpstreamId, u64, usize)> {
        let now = self.now;
        let mut held = Vec::new();
        for (&id, engine) in &mut self.engines {
            engine.expire(now);
            if !engine.held.is_empty() {
                held.push((id, engine.used(), engine.held.len()));
            }
        }
        held
    }

    /// Adds an event to the queue.
    fn schedule(&mut self, at: Time, due: Due) {
        self.last_order += 1;
        self.queue.push(Entry { at, order: self.last_order, due });
    }

    /// Adds an event for a box's current generation to the queue, after a delay.
    fn schedule_event(&mut self, after: Duration, front: (usize, u64), event: Event) {
        self.schedule(self.now + after, Due::Event(front.0, front.1, Box::new(event)));
    }

    /// Handles a due event.
    fn dispatch(&mut self, due: Due) {
        match due {
            Due::Tick(number, generation) => self.tick(number, generation),
            Due::Event(number, generation, event) => self.deliver(number, generation, *event),
            Due::Prefilled(engine) if self.moving_at(engine) > self.now => {
                self.schedule(self.moving_at(engine), Due::Prefilled(engine));
            }
            Due::Transferred(transfer) if self.moving_at(transfer.to) > self.now => {
                self.schedule(self.moving_at(transfer.to), Due::Transferred(transfer));
            }
            Due::Token(stream) if self.moving_at(stream.engine) > self.now => {
                self.schedule(self.moving_at(stream.engine), Due::Token(stream));
            }
            Due::Prefilled(engine) => self.finish_prefill(engine),
            Due::Transferred(transfer) => self.finish_transfer(transfer),
            Due::Token(stream) => self.emit_token(stream),
            Due::Cancelled(id, ticket) => {
                let now = self.now;
                let next = self.engines.get_mut(&id).and_then(|it| it.cancel(now, ticket));
                if let Some(next) = next {
                    self.schedule(next, Due::Prefilled(id));
                }
            }
            Due::ServiceCall(number, generation, ticket, request) => {
                self.run_service(number, generation, ticket, request)
            }
            Due::Late(operation) => {
                self.store.apply(operation);
            }
            Due::Action(action) => self.apply_action(*action),
        }
    }

    /// Ticks a box and schedules its next tick.
    fn tick(&mut self, number: usize, generation: u64) {
        let slot = &mut self.slots[number];
        if slot.generation != generation || slot.node.is_none() {
            return;
        }
        if let Some(until) = slot.paused_until {
            if self.now < until {
                self.schedule(until, Due::Tick(number, generation));
                return;
            }
            slot.paused_until = None;
            let backlog = std::mem::take(&mut slot.backlog);
            for event in backlog {
                self.deliver(number, generation, event);
            }
        }
        self.schedule(self.now + TICK_INTERVAL, Due::Tick(number, generation));
        self.deliver(number, generation, Event::Tick);
    }

    /// Delivers an event to a box if it is still in the same generation.
    fn deliver(&mut self, number: usize, generation: u64, event: Event) {
        let now = self.now;
        let slot = &mut self.slots[number];
        if slot.generation != generation {
            return;
        }
        if slot.paused_until.is_some_and(|until| now < until) {
            slot.backlog.push(event);
            return;
        }
        let Some(node) = &mut slot.node else { return };
        let effects = node.step(now, event);
        let version = node.site().version;
        if version < slot.version {
            let broken = format!("box {number} went from version {} to {version}", slot.version);
            self.ledger.violations.push(Violation(broken));
        }
        slot.version = version;
        for effect in effects {
            self.apply_effect((number, generation), effect);
        }
    }

    /// Applies an effect of a box.
    fn apply_effect(&mut self, front: (usize, u64), effect: Effect) {
        match effect {
            Effect::Send { to, address, message } => {
                let event = |from: Incarnation| Event::Peer { from, message: message.clone() };
                self.send(front, to, &address, event);
            }
            Effect::Greet(address) => self.greet(front, &address),
            Effect::Prefill { ticket, address, work, class } => {
                self.prefill(front, ticket, &address, &work, class);
            }
            Effect::Import { ticket, address, from, tokens } => {
                self.import(front, ticket, &address, &from, tokens);
            }
            Effect::Decode { ticket, address, work: _, from_seq } => {
                self.decode(front, ticket, &address, from_seq);
            }
            Effect::Cancel { ticket, address } => {
                self.dropped.insert(ticket);
                if let Some(&engine) = self.addresses.get(&address) {
                    let at = self.moving_at(engine) + CALL_DELAY;
                    self.schedule(at, Due::Cancelled(engine, ticket));
                }
            }
            Effect::Drop(ticket) => {
                self.dropped.insert(ticket);
            }
            // Fake engines accept no orders, and report no state that would require one.
            Effect::Order { .. } => {}
            Effect::Poll { engine, .. } => self.poll(front, engine),
            Effect::Call { ticket, call, .. } => {
                let text = String::from_utf8_lossy(&call.body).into_owned();
                let request = text.parse().unwrap_or(0);
                let after = Duration::from_millis(self.random.random_range(1..30));
                self.schedule(
                    self.now + after,
                    Due::ServiceCall(front.0, front.1, ticket, request),
                );
            }
            Effect::Reply { call, reply } => self.reply(call, reply),
            Effect::Store { number, operation } => self.store_operation(front, number, operation),
            Effect::Watch(watching) => {
                self.slots[front.0].watching = watching;
                if watching {
                    self.send_site(front);
                }
            }
            Effect::Fetch => self.send_site(front),
            Effect::Record(record) => self.records.push(*record),
            Effect::Note(note) => self.notes.push((self.now, note)),
            Effect::Exit => self.stop(front.0),
        }
    }

    /// Sends a message from one box to another.
    fn send(
        &mut self,
        front: (usize, u64),
        to: Incarnation,
        address: &str,
        event: impl Fn(Incarnation) -> Event,
    ) {
        let Some(other) = slot_of(address) else { return };
        let Some(from) = self.node(front.0).map(Node::incarnation) else { return };
        let is_meant = self.node(other).is_some_and(|it| it.incarnation() == to);
        if !is_meant {
            self.schedule_event(CALL_DELAY * 2, front, Event::Unreachable(to));
            return;
        }
        if self.network.is_cut(front.0, other) {
            self.schedule_event(CONNECT_TIMEOUT, front, Event::Unreachable(to));
            return;
        }
        let is_paused =
            self.slots[other].paused_until.is_some_and(|it| it > self.now + CONNECT_TIMEOUT);
        if is_paused {
            // No answer arrives in time, though the message stays queued at the paused box.
            self.schedule_event(CONNECT_TIMEOUT, front, Event::Unreachable(to));
        }
        let generation = self.slots[other].generation;
        for delay in self.network.deliveries(&mut self.random, front.0, other) {
            self.schedule_event(delay, (other, generation), event(from));
        }
    }

    /// Exchanges member entries with the box at an address.
    fn greet(&mut self, front: (usize, u64), address: &str) {
        let Some(other) = slot_of(address) else { return };
        let (Some(mine), Some(theirs)) = (self.node(front.0), self.node(other)) else { return };
        let (mine, theirs) = (mine.entry().clone(), theirs.entry().clone());
        let generation = self.slots[other].generation;
        for delay in self.network.deliveries(&mut self.random, front.0, other) {
            self.schedule_event(delay, (other, generation), Event::Seen(mine.clone()));
            self.schedule_event(delay * 2, front, Event::Seen(theirs.clone()));
        }
    }

    /// Records a reply to a caller, and relays the request if the reply says so.
    fn reply(&mut self, call: CallId, reply: CallerReply) {
        self.ledger.record_reply(self.now, call, &reply);
        let CallerReply::Relay { address, key, repeatable } = reply else { return };
        let Some(sending) = self.sendings.get(&call).cloned() else { return };
        let home = address.strip_prefix("call:").and_then(|it| it.parse::<usize>().ok());
        let home = home.filter(|it| self.slots[*it].node.is_some());
        self.last_relay += 1;
        let mut arrival = sending.arrival.clone();
        arrival.claim = None;
        let at = match home {
            Some(home) => {
                arrival.key = Some(key);
                arrival.relayed = true;
                home
            }
            None if repeatable => {
                arrival.key = None;
                sending.at
            }
            None => return,
        };
        let call = CallId(self.last_relay);
        let sending = Sending { call, at, arrival, ..sending };
        self.schedule_action(self.now + CALL_DELAY, Action::Send(Box::new(sending)));
    }

    /// Applies an operation to the store and schedules its answer.
    fn store_operation(&mut self, front: (usize, u64), number: u64, operation: objects::Operation) {
        let (after, answer) = match self.store.handle(operation) {
            Outcome::Answered(answer) => (STORE_DELAY, answer),
            Outcome::Lost => (STORE_TIMEOUT, objects::Answer::Away),
            Outcome::Late(operation) => {
                let after = Duration::from_millis(self.random.random_range(500..6000));
                self.schedule(self.now + after, Due::Late(operation));
                (STORE_TIMEOUT, objects::Answer::Away)
            }
        };
        self.schedule_event(after, front, Event::Store { number, answer });
    }

    /// Sends a box the stored site, or reports the store as unreachable.
    fn send_site(&mut self, front: (usize, u64)) {
        if self.store.faults.down {
            self.schedule_event(STORE_TIMEOUT, front, Event::StoreReachable(false));
            return;
        }
        let site = self.site.clone();
        self.schedule_event(STORE_DELAY, front, Event::Site(site));
    }

    /// Sends a caller's request.
    fn send_request(&mut self, sending: Sending) {
        let generation = self.slots[sending.at].generation;
        let caller = Caller {
            request: sending.request,
            at: sending.at,
            sent: self.now,
            once: !sending.arrival.repeatable,
            tokens: 0,
            first: None,
            end: None,
            gone: self.slots[sending.at].node.is_none(),
        };
        self.ledger.callers.insert(sending.call, caller);
        let (call, at) = (sending.call, sending.at);
        let arrival = Box::new(sending.arrival.clone());
        self.sendings.insert(call, sending);
        self.schedule_event(CALL_DELAY, (at, generation), Event::Arrive { call, arrival });
    }

    /// Disconnects a caller.
    fn disconnect(&mut self, call: CallId) {
        let Some(caller) = self.ledger.callers.get_mut(&call) else { return };
        caller.gone = true;
        let at = caller.at;
        let generation = self.slots[at].generation;
        self.schedule_event(CALL_DELAY, (at, generation), Event::Gone(call));
    }

    /// Stops a box and ends its generation.
    fn stop(&mut self, number: usize) {
        let now = self.now;
        let slot = &mut self.slots[number];
        slot.node = None;
        slot.generation += 1;
        slot.watching = false;
        slot.backlog.clear();
        slot.paused_until = None;
        slot.version = 0;
        let open = |it: &&mut Caller| it.at == number && it.end.is_none();
        for caller in self.ledger.callers.values_mut().filter(open) {
            caller.gone = true;
            caller.end = Some((now, End::Unknown));
        }
    }

    /// Starts a dead box in its next generation.
    fn restart(&mut self, number: usize) {
        if self.slots[number].node.is_some() {
            return;
        }
        let seeds = (0..self.slots.len().max(2)).filter(|it| *it != number).take(3);
        let settings = Settings {
            incarnation: Incarnation(self.random.random()),
            data_centre: self.slots[number].data_centre.clone(),
            seeds: seeds.map(|it| format!("box:{it}")).collect(),
            random_seed: self.random.random(),
            ..settings(number)
        };
        let slot = &mut self.slots[number];
        slot.generation += 1;
        slot.node = Some(Node::new(self.now, settings));
        let generation = slot.generation;
        let offset = Duration::from_micros(self.random.random_range(0..20_000));
        self.schedule(self.now + offset, Due::Tick(number, generation));
    }

    /// Returns when an engine does its next work: now, unless it stands still.
    fn moving_at(&self, id: UpstreamId) -> Time {
        self.engines.get(&id).map_or(self.now, |it| it.still_until.max(self.now))
    }

    /// Returns the engine at an address, unless it is dead.
    fn engine_at(&mut self, address: &str) -> Option<(UpstreamId, &mut Engine)> {
        let id = *self.addresses.get(address)?;
        let engine = self.engines.get_mut(&id).filter(|it| !it.dead)?;
        Some((id, engine))
    }

    /// Returns the box of a ticket's attempt, if the box is alive and has not dropped the attempt.
    fn front_of(&self, ticket: Ticket) -> Option<(usize, u64)> {
        if self.dropped.contains(&ticket) {
            return None;
        }
        let lives =
            |it: &BoxSlot| it.node.as_ref().is_some_and(|n| n.incarnation() == ticket.front);
        let number = self.slots.iter().position(lives)?;
        Some((number, self.slots[number].generation))
    }

    /// Returns the size of a prefill result, in bytes.
    fn kv_bytes(&self, prompt_tokens: u32) -> u64 {
        let per_token = self.site.site.models.first().map_or(0, |it| it.kv_bytes_per_token);
        per_token * u64::from(prompt_tokens)
    }

    /// Returns a link's configured rate, in bytes per second.
    fn link_rate(&self, link: (DataCentreId, DataCentreId)) -> f64 {
        let ends = |it: &hollyspoke::site::Link| {
            let (a, b) = (DataCentreId::of(&it.from), DataCentreId::of(&it.to));
            (a.min(b), a.max(b))
        };
        let named = self.site.site.links.iter().find(|it| ends(it) == link);
        named.map_or(DEFAULT_LINK_BYTES_PER_S, |it| it.bytes_per_second) as f64
    }
}

/// Parses the slot's number from the peer address of a box.
fn slot_of(address: &str) -> Option<usize> {
    address.strip_prefix("box:")?.parse().ok()
}
