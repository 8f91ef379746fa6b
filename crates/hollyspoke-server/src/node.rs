//! The reducer of one box, and what its effects need: tasks, channels and the clock.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke::store::Operation;
use hollyspoke::time::Time;
use hollyspoke_clock::Clock;
use hollyspoke_gateway::effect::{Effect, Order, Refusal, Send, Source};
use hollyspoke_gateway::engine::Engine;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::gateway::Gateway;
use hollyspoke_gateway::message::{Format, Message};
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_gateway::signature::Content;
use http::{HeaderMap, request, response};
use slog::{Logger, info};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::answer::{DropHook, Stream};
use crate::dialect::{Dialect, Kind};
use crate::metrics::Metrics;
use crate::notes;
use crate::peers::Peers;

/// The events of a stream that may wait for a client that reads slowly.
const WAITING_PIECES: usize = 16;

/// What a client is given.
#[derive(Debug)]
pub enum ClientAnswer {
    /// An engine's whole answer.
    Whole(response::Parts, Bytes),
    /// An engine's stream.
    Stream(response::Parts, Stream),
    /// An answer of the gateway's own.
    Refused(Refusal),
}

/// A request as it was received, kept until its end.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The head.
    pub head: Rc<request::Parts>,
    /// The body.
    pub body: Bytes,
}

/// Where a request's answer goes.
#[derive(Debug)]
struct Outlet {
    /// The request.
    request: ReceivedRequest,
    /// Where the head of the answer goes, until it is given.
    head: Option<oneshot::Sender<ClientAnswer>>,
    /// Where a stream's events go, once it has begun.
    pieces: Option<mpsc::Sender<Bytes>>,
    /// Set if the stream ends unfinished.
    is_broken: Rc<Cell<bool>>,
}

/// An engine's answer that waits for the reducer's decision.
#[derive(Debug)]
struct Waiting {
    /// The head.
    head: response::Parts,
    /// The body, if it came whole.
    body: Option<Bytes>,
}

/// One box.
#[derive(Debug)]
pub struct Node {
    /// The reducer.
    gateway: RefCell<Gateway>,
    /// What the platform speaks.
    pub dialect: Dialect,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// The reducer's clock.
    clock: Clock,
    /// The sockets between boxes.
    peers: Peers,
    /// Where the store listens.
    pub store: SocketAddr,
    /// What makes calls to engines and to the store.
    upstream: Upstream,
    /// Where answers go.
    outlets: RefCell<HashMap<RequestKey, Outlet>>,
    /// The tasks of calls.
    calls: RefCell<HashMap<CallKey, AbortHandle>>,
    /// Answers that wait for a decision.
    waiting: RefCell<HashMap<CallKey, Waiting>>,
    /// The number of the next request.
    next_flight: Cell<u64>,
    /// Whether the store's changes are followed.
    follows: Cell<bool>,
    /// Wakes the follower of the configuration.
    configuration_wanted: Notify,
    /// Wakes the follower of engines.
    engines_wanted: Notify,
    /// Wakes the follower of evacuations.
    evacuations_wanted: Notify,
    /// When the timer ticks next.
    ticks_at: Cell<Instant>,
    /// Wakes the timer after an event that needs an earlier tick.
    pub woken: Notify,
}

/// What makes calls to engines, to other boxes and to the store.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    /// Starts the task of a call.
    pub call: fn(Rc<Node>, Send, ReceivedRequest) -> AbortHandle,
    /// Starts the freeing of a prompt.
    pub free: fn(Rc<Node>, Source),
    /// Starts asking an engine which parts of prompts it keeps.
    pub survey: fn(Rc<Node>, Arc<Engine>),
    /// Starts asking an engine how many orders it has taken.
    pub inspect: fn(Rc<Node>, Arc<Engine>),
    /// Starts asking an engine whether it lives.
    pub probe: fn(Rc<Node>, Arc<Engine>),
    /// Starts an order to an engine.
    pub order: fn(Rc<Node>, Order),
    /// Starts fetching a snapshot from another box.
    pub fetch: fn(Rc<Node>, SocketAddr),
    /// Starts an operation on an object in the store, under a number.
    pub store: fn(Rc<Node>, u64, Operation),
}

impl Node {
    /// Makes a box around a reducer.
    ///
    /// # Errors
    ///
    /// If the metrics can't be set up.
    pub fn new(
        gateway: Gateway,
        dialect: Dialect,
        log: Logger,
        peers: Peers,
        store: SocketAddr,
        upstream: Upstream,
    ) -> eyre::Result<Rc<Node>> {
        Ok(Rc::new(Node {
            metrics: Metrics::new()?,
            gateway: RefCell::new(gateway),
            dialect,
            log,
            clock: Clock::default(),
            peers,
            store,
            upstream,
            outlets: RefCell::default(),
            calls: RefCell::default(),
            waiting: RefCell::default(),
            next_flight: Cell::new(0),
            follows: Cell::new(false),
            configuration_wanted: Notify::new(),
            engines_wanted: Notify::new(),
            evacuations_wanted: Notify::new(),
            ticks_at: Cell::new(Instant::now()),
            woken: Notify::new(),
        }))
    }

    /// Gives the reducer's time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Gives the time at which the reducer needs a tick.
    fn next_due(&self) -> Instant {
        self.clock.instant(self.gateway.borrow().next_due())
    }

    /// Gives the time of the next tick, which the timer waits for unless it is woken.
    pub fn arm(&self) -> Instant {
        let due = self.next_due();
        self.ticks_at.set(due);
        due
    }

    /// Reads the reducer.
    pub fn with<T>(&self, read: impl FnOnce(&Gateway) -> T) -> T {
        read(&self.gateway.borrow())
    }

    /// Takes an event to the reducer and carries out the effects.
    pub fn dispatch(self: &Rc<Node>, event: Event) {
        self.notice_suspension();
        self.step(event);
    }

    /// Tells the reducer if the machine was suspended since the last event.
    pub fn notice_suspension(self: &Rc<Node>) {
        if let Some(span) = self.clock.take_suspension() {
            self.suspended(span);
        }
    }

    /// Tells the reducer that the machine was suspended for a time.
    pub fn suspended(self: &Rc<Node>, span: Duration) {
        self.clock.add_suspension(span);
        self.step(Event::Suspended(span));
    }

    /// Has the reducer take an event, and carries out the effects.
    fn step(self: &Rc<Node>, event: Event) {
        let effects = self.gateway.borrow_mut().step(self.now(), event);
        for effect in effects {
            self.carry_out(effect);
        }
        if self.next_due() < self.ticks_at.get() {
            self.woken.notify_one();
        }
    }

    /// Takes up a request; its answer comes through the receiver. Dropping the hook before the
    /// answer's end tells that the client has left.
    pub fn begin(
        self: &Rc<Node>,
        request: ReceivedRequest,
    ) -> (DropHook, oneshot::Receiver<ClientAnswer>) {
        let flight = RequestKey(self.next_flight.get());
        self.next_flight.set(flight.0 + 1);
        let (sender, receiver) = oneshot::channel();
        let mut read = (self.dialect.read_request)(&request.head, request.body.len());
        read.content = content(&request, &read.host);
        let outlet = Outlet { request, head: Some(sender), pieces: None, is_broken: Rc::default() };
        self.outlets.borrow_mut().insert(flight, outlet);
        let node = self.clone();
        let hook = DropHook::new(move || node.client_left(flight));
        self.dispatch(Event::Arrived(flight, read));
        (hook, receiver)
    }

    /// Notes that nobody waits for a request's answer any more.
    fn client_left(self: &Rc<Node>, flight: RequestKey) {
        self.dispatch(Event::ClientDisconnected(flight));
        self.outlets.borrow_mut().remove(&flight);
    }

    /// Keeps an engine's answer until the reducer decides on it with the event that follows.
    pub fn keep(&self, call: CallKey, head: response::Parts, body: Option<Bytes>) {
        self.waiting.borrow_mut().insert(call, Waiting { head, body });
    }

    /// Drops an answer that the reducer had no use for.
    pub fn drop_kept(&self, call: CallKey) {
        self.waiting.borrow_mut().remove(&call);
    }

    /// Notes that a call's task has ended.
    pub fn call_ended(&self, call: CallKey) {
        self.calls.borrow_mut().remove(&call);
    }

    /// Gives where a stream's events go.
    pub fn pieces(&self, flight: RequestKey) -> Option<mpsc::Sender<Bytes>> {
        self.outlets.borrow().get(&flight)?.pieces.clone()
    }

    /// Gives where other boxes reach this one.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn peer_address(&self) -> std::io::Result<SocketAddr> {
        self.peers.address()
    }

    /// Tells whether the store's changes are followed.
    pub fn follows(&self) -> bool {
        self.follows.get()
    }

    /// Gives what wakes the follower of a kind.
    pub fn wanted(&self, kind: Kind) -> &Notify {
        match kind {
            Kind::Configuration => &self.configuration_wanted,
            Kind::Engines => &self.engines_wanted,
            Kind::Evacuations => &self.evacuations_wanted,
        }
    }

    /// Takes the era that an answer of the store tells; no header stands for the first era. Gives it
    /// unless it is past: such an answer says nothing of what the store holds now.
    pub fn enter_era(self: &Rc<Node>, headers: &HeaderMap) -> Option<u64> {
        let told = (self.dialect.read_era)(headers);
        if let Some(era) = told {
            self.dispatch(Event::StoreEra(era));
        }
        let era = told.unwrap_or(0);
        let newest = self.with(|it| it.store_era());
        self.metrics.record_era(newest);
        if era < newest {
            info!(self.log, "answer of an earlier era"; "era" => era, "newest" => newest);
            return None;
        }
        Some(era)
    }

    /// Carries out one effect.
    fn carry_out(self: &Rc<Node>, effect: Effect) {
        match effect {
            Effect::Send(send) => self.send(send),
            Effect::Cancel(call) => self.cancel(call),
            Effect::Deliver(flight, call) => self.deliver(flight, call),
            Effect::Resume(_, call) => self.drop_kept(call),
            Effect::Refuse(flight, refusal) => self.refuse(flight, refusal),
            Effect::Abort(flight) => self.close(flight, true),
            Effect::Finish(flight) => self.close(flight, false),
            Effect::Free(source) => {
                (self.upstream.free)(self.clone(), source);
            }
            Effect::QueryCachedPrompts(engine) => (self.upstream.survey)(self.clone(), engine),
            Effect::QueryOrderCount(engine) => (self.upstream.inspect)(self.clone(), engine),
            Effect::Probe(engine) => (self.upstream.probe)(self.clone(), engine),
            Effect::Order(order) => (self.upstream.order)(self.clone(), order),
            Effect::Store(number, operation) => {
                (self.upstream.store)(self.clone(), number, operation);
            }
            Effect::WatchStore(follows) => {
                self.follows.set(follows);
                self.configuration_wanted.notify_one();
                self.engines_wanted.notify_one();
                self.evacuations_wanted.notify_one();
            }
            Effect::Read(kind) => self.wanted(kind).notify_one(),
            Effect::Fetch(provider) => (self.upstream.fetch)(self.clone(), provider),
            Effect::Announce(nodes, message) => self.tell(nodes, &message),
            Effect::Log(note) => {
                self.metrics.record(&note);
                notes::write(&self.log, &note);
            }
        }
    }

    /// Sends a datagram to boxes, each in the format that it can read.
    fn tell(&self, nodes: Vec<SocketAddr>, message: &Message) {
        if !message.is_extended() {
            return self.peers.tell(&nodes, message, Format::First);
        }
        let reads_later =
            |it: &SocketAddr| self.with(|gateway| gateway.format(*it)) > Format::First;
        let (later, first): (Vec<_>, Vec<_>) = nodes.into_iter().partition(reads_later);
        self.peers.tell(&later, message, Format::Permits);
        self.peers.tell(&first, message, Format::First);
    }

    /// Starts a call.
    fn send(self: &Rc<Node>, send: Send) {
        let outlets = self.outlets.borrow();
        let Some(request) = outlets.get(&send.request).map(|it| it.request.clone()) else { return };
        drop(outlets);
        let call = send.call;
        let task = (self.upstream.call)(self.clone(), send, request);
        self.calls.borrow_mut().insert(call, task);
    }

    /// Drops a call.
    fn cancel(&self, call: CallKey) {
        let task = self.calls.borrow_mut().remove(&call);
        if let Some(task) = task {
            task.abort();
        }
        self.drop_kept(call);
    }

    /// Gives the client an engine's answer.
    fn deliver(&self, flight: RequestKey, call: CallKey) {
        let Some(kept) = self.waiting.borrow_mut().remove(&call) else { return };
        let mut outlets = self.outlets.borrow_mut();
        let Some(outlet) = outlets.get_mut(&flight) else { return };
        let Some(sender) = outlet.head.take() else { return };
        let answer = match kept.body {
            Some(body) => ClientAnswer::Whole(kept.head, body),
            None => {
                let (pieces, receiver) = mpsc::channel(WAITING_PIECES);
                outlet.pieces = Some(pieces);
                let is_broken = outlet.is_broken.clone();
                ClientAnswer::Stream(kept.head, Stream { pieces: receiver, is_broken })
            }
        };
        // An error says that the client has left, which its guard tells.
        _ = sender.send(answer);
    }

    /// Gives the client an answer of the gateway's own.
    fn refuse(&self, flight: RequestKey, refusal: Refusal) {
        let sender = self.outlets.borrow_mut().get_mut(&flight).and_then(|it| it.head.take());
        if let Some(sender) = sender {
            // An error says that the client has left, which its guard tells.
            _ = sender.send(ClientAnswer::Refused(refusal));
        }
    }

    /// Ends a stream, whole or broken off.
    fn close(&self, flight: RequestKey, is_broken: bool) {
        if let Some(outlet) = self.outlets.borrow_mut().get_mut(&flight) {
            outlet.is_broken.set(is_broken);
            outlet.pieces = None;
        }
    }
}

/// Digests what a request asks for, in place.
fn content(request: &ReceivedRequest, host: &str) -> Content {
    let ReceivedRequest { head, body } = request;
    let target = head.uri.path_and_query().map_or("", |it| it.as_str());
    Content::of(head.method.as_str(), host, target, body)
}
