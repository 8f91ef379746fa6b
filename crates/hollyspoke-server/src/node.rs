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
const MAX_QUEUED_CHUNK_COUNT: usize = 16;

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
struct ResponseChannel {
    /// The request.
    request: ReceivedRequest,
    /// Where the head of the answer goes, until it is given.
    head: Option<oneshot::Sender<ClientAnswer>>,
    /// Where a stream's events go, once it has begun.
    chunks: Option<mpsc::Sender<Bytes>>,
    /// Set if the stream ends unfinished.
    is_broken: Rc<Cell<bool>>,
}

/// An engine's answer that waits for the reducer's decision.
#[derive(Debug)]
struct PendingAnswer {
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
    upstream_client: UpstreamClient,
    /// Where answers go.
    response_channels: RefCell<HashMap<RequestKey, ResponseChannel>>,
    /// The tasks of calls.
    calls: RefCell<HashMap<CallKey, AbortHandle>>,
    /// Answers that wait for a decision.
    pending_answers: RefCell<HashMap<CallKey, PendingAnswer>>,
    /// The number of the next request.
    next_request_key: Cell<u64>,
    /// Whether the store's changes are followed.
    watches_store: Cell<bool>,
    /// Wakes the follower of the configuration.
    configuration_wakeup: Notify,
    /// Wakes the follower of engines.
    engines_wakeup: Notify,
    /// Wakes the follower of evacuations.
    evacuations_wakeup: Notify,
    /// When the timer ticks next.
    next_tick: Cell<Instant>,
    /// Wakes the timer after an event that needs an earlier tick.
    pub timer_wakeup: Notify,
}

/// What makes calls to engines, to other boxes and to the store.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamClient {
    /// Starts the task of a call.
    pub call: fn(Rc<Node>, Send, ReceivedRequest) -> AbortHandle,
    /// Starts the freeing of a prompt.
    pub free_prompt: fn(Rc<Node>, Source),
    /// Starts asking an engine which parts of prompts it keeps.
    pub query_cached_prompts: fn(Rc<Node>, Arc<Engine>),
    /// Starts asking an engine how many orders it has taken.
    pub query_order_count: fn(Rc<Node>, Arc<Engine>),
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
        upstream_client: UpstreamClient,
    ) -> eyre::Result<Rc<Node>> {
        Ok(Rc::new(Node {
            metrics: Metrics::new()?,
            gateway: RefCell::new(gateway),
            dialect,
            log,
            clock: Clock::default(),
            peers,
            store,
            upstream_client,
            response_channels: RefCell::default(),
            calls: RefCell::default(),
            pending_answers: RefCell::default(),
            next_request_key: Cell::new(0),
            watches_store: Cell::new(false),
            configuration_wakeup: Notify::new(),
            engines_wakeup: Notify::new(),
            evacuations_wakeup: Notify::new(),
            next_tick: Cell::new(Instant::now()),
            timer_wakeup: Notify::new(),
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
    pub fn schedule_tick(&self) -> Instant {
        let due = self.next_due();
        self.next_tick.set(due);
        due
    }

    /// Reads the reducer.
    pub fn with<T>(&self, read: impl FnOnce(&Gateway) -> T) -> T {
        read(&self.gateway.borrow())
    }

    /// Takes an event to the reducer and carries out the effects.
    pub fn dispatch(self: &Rc<Node>, event: Event) {
        self.detect_suspension();
        self.step(event);
    }

    /// Tells the reducer if the machine was suspended since the last event.
    pub fn detect_suspension(self: &Rc<Node>) {
        if let Some(duration) = self.clock.take_suspension() {
            self.handle_suspension(duration);
        }
    }

    /// Tells the reducer that the machine was suspended for a time.
    pub fn handle_suspension(self: &Rc<Node>, duration: Duration) {
        self.clock.add_suspension(duration);
        self.step(Event::Suspended(duration));
    }

    /// Has the reducer take an event, and carries out the effects.
    fn step(self: &Rc<Node>, event: Event) {
        let effects = self.gateway.borrow_mut().step(self.now(), event);
        for effect in effects {
            self.apply_effect(effect);
        }
        if self.next_due() < self.next_tick.get() {
            self.timer_wakeup.notify_one();
        }
    }

    /// Takes up a request; its answer comes through the receiver. Dropping the hook before the
    /// answer's end tells that the client has left.
    pub fn start_request(
        self: &Rc<Node>,
        request: ReceivedRequest,
    ) -> (DropHook, oneshot::Receiver<ClientAnswer>) {
        let request_key = RequestKey(self.next_request_key.get());
        self.next_request_key.set(request_key.0 + 1);
        let (sender, receiver) = oneshot::channel();
        let mut parsed = (self.dialect.read_request)(&request.head, request.body.len());
        parsed.content = digest_content(&request, &parsed.host);
        let channel =
            ResponseChannel { request, head: Some(sender), chunks: None, is_broken: Rc::default() };
        self.response_channels.borrow_mut().insert(request_key, channel);
        let node = self.clone();
        let hook = DropHook::new(move || node.handle_disconnect(request_key));
        self.dispatch(Event::Arrived(request_key, parsed));
        (hook, receiver)
    }

    /// Notes that nobody waits for a request's answer any more.
    fn handle_disconnect(self: &Rc<Node>, request_key: RequestKey) {
        self.dispatch(Event::ClientDisconnected(request_key));
        self.response_channels.borrow_mut().remove(&request_key);
    }

    /// Keeps an engine's answer until the reducer decides on it with the event that follows.
    pub fn hold_answer(&self, call: CallKey, head: response::Parts, body: Option<Bytes>) {
        self.pending_answers.borrow_mut().insert(call, PendingAnswer { head, body });
    }

    /// Drops an answer that the reducer had no use for.
    pub fn drop_answer(&self, call: CallKey) {
        self.pending_answers.borrow_mut().remove(&call);
    }

    /// Notes that a call's task has ended.
    pub fn remove_call(&self, call: CallKey) {
        self.calls.borrow_mut().remove(&call);
    }

    /// Gives where a stream's events go.
    pub fn chunk_sender(&self, request_key: RequestKey) -> Option<mpsc::Sender<Bytes>> {
        self.response_channels.borrow().get(&request_key)?.chunks.clone()
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
    pub fn watches_store(&self) -> bool {
        self.watches_store.get()
    }

    /// Gives what wakes the follower of a kind.
    pub fn wakeup(&self, kind: Kind) -> &Notify {
        match kind {
            Kind::Configuration => &self.configuration_wakeup,
            Kind::Engines => &self.engines_wakeup,
            Kind::Evacuations => &self.evacuations_wakeup,
        }
    }

    /// Takes the era that an answer of the store tells; no header stands for the first era. Gives it
    /// unless it is past: such an answer says nothing of what the store holds now.
    pub fn handle_store_era(self: &Rc<Node>, headers: &HeaderMap) -> Option<u64> {
        let announced = (self.dialect.read_era)(headers);
        if let Some(era) = announced {
            self.dispatch(Event::StoreEra(era));
        }
        let era = announced.unwrap_or(0);
        let newest = self.with(|it| it.store_era());
        self.metrics.record_era(newest);
        if era < newest {
            info!(self.log, "answer of an earlier era"; "era" => era, "newest" => newest);
            return None;
        }
        Some(era)
    }

    /// Carries out one effect.
    fn apply_effect(self: &Rc<Node>, effect: Effect) {
        match effect {
            Effect::Send(send) => self.send(send),
            Effect::Cancel(call) => self.cancel(call),
            Effect::Deliver(request_key, call) => self.deliver(request_key, call),
            Effect::Resume(_, call) => self.drop_answer(call),
            Effect::Refuse(request_key, refusal) => self.refuse(request_key, refusal),
            Effect::Abort(request_key) => self.close(request_key, true),
            Effect::Finish(request_key) => self.close(request_key, false),
            Effect::Free(source) => {
                (self.upstream_client.free_prompt)(self.clone(), source);
            }
            Effect::QueryCachedPrompts(engine) => {
                (self.upstream_client.query_cached_prompts)(self.clone(), engine)
            }
            Effect::QueryOrderCount(engine) => {
                (self.upstream_client.query_order_count)(self.clone(), engine)
            }
            Effect::Probe(engine) => (self.upstream_client.probe)(self.clone(), engine),
            Effect::Order(order) => (self.upstream_client.order)(self.clone(), order),
            Effect::Store(number, operation) => {
                (self.upstream_client.store)(self.clone(), number, operation);
            }
            Effect::WatchStore(watches_store) => {
                self.watches_store.set(watches_store);
                self.configuration_wakeup.notify_one();
                self.engines_wakeup.notify_one();
                self.evacuations_wakeup.notify_one();
            }
            Effect::Read(kind) => self.wakeup(kind).notify_one(),
            Effect::Fetch(provider) => (self.upstream_client.fetch)(self.clone(), provider),
            Effect::Announce(nodes, message) => self.announce(nodes, &message),
            Effect::Log(note) => {
                self.metrics.record(&note);
                notes::write(&self.log, &note);
            }
        }
    }

    /// Sends a datagram to boxes, each in the format that it can read.
    fn announce(&self, nodes: Vec<SocketAddr>, message: &Message) {
        if !message.is_extended() {
            return self.peers.send(&nodes, message, Format::First);
        }
        let reads_extended =
            |it: &SocketAddr| self.with(|gateway| gateway.format(*it)) > Format::First;
        let (extended, first): (Vec<_>, Vec<_>) = nodes.into_iter().partition(reads_extended);
        self.peers.send(&extended, message, Format::Permits);
        self.peers.send(&first, message, Format::First);
    }

    /// Starts a call.
    fn send(self: &Rc<Node>, send: Send) {
        let response_channels = self.response_channels.borrow();
        let Some(request) = response_channels.get(&send.request).map(|it| it.request.clone())
        else {
            return;
        };
        drop(response_channels);
        let call = send.call;
        let task = (self.upstream_client.call)(self.clone(), send, request);
        self.calls.borrow_mut().insert(call, task);
    }

    /// Drops a call.
    fn cancel(&self, call: CallKey) {
        let task = self.calls.borrow_mut().remove(&call);
        if let Some(task) = task {
            task.abort();
        }
        self.drop_answer(call);
    }

    /// Gives the client an engine's answer.
    fn deliver(&self, request_key: RequestKey, call: CallKey) {
        let Some(pending) = self.pending_answers.borrow_mut().remove(&call) else { return };
        let mut response_channels = self.response_channels.borrow_mut();
        let Some(channel) = response_channels.get_mut(&request_key) else { return };
        let Some(sender) = channel.head.take() else { return };
        let answer = match pending.body {
            Some(body) => ClientAnswer::Whole(pending.head, body),
            None => {
                let (chunks, receiver) = mpsc::channel(MAX_QUEUED_CHUNK_COUNT);
                channel.chunks = Some(chunks);
                let is_broken = channel.is_broken.clone();
                ClientAnswer::Stream(pending.head, Stream { chunks: receiver, is_broken })
            }
        };
        // An error says that the client has left, which its guard tells.
        _ = sender.send(answer);
    }

    /// Gives the client an answer of the gateway's own.
    fn refuse(&self, request_key: RequestKey, refusal: Refusal) {
        let sender =
            self.response_channels.borrow_mut().get_mut(&request_key).and_then(|it| it.head.take());
        if let Some(sender) = sender {
            // An error says that the client has left, which its guard tells.
            _ = sender.send(ClientAnswer::Refused(refusal));
        }
    }

    /// Ends a stream, whole or broken off.
    fn close(&self, request_key: RequestKey, is_broken: bool) {
        if let Some(channel) = self.response_channels.borrow_mut().get_mut(&request_key) {
            channel.is_broken.set(is_broken);
            channel.chunks = None;
        }
    }
}

/// Digests what a request asks for, in place.
fn digest_content(request: &ReceivedRequest, host: &str) -> Content {
    let ReceivedRequest { head, body } = request;
    let target = head.uri.path_and_query().map_or("", |it| it.as_str());
    Content::of(head.method.as_str(), host, target, body)
}
