//! One box: owns the gateway's reducer and applies its effects with tasks, channels and the clock.

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
use hollyspoke_gateway::credential::KeyDigest;
use hollyspoke_gateway::effect::{Effect, Order, Refusal, Send, Source};
use hollyspoke_gateway::engine::Engine;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::gateway::Gateway;
use hollyspoke_gateway::message::{Format, Message};
use hollyspoke_gateway::migration::Transfer;
use hollyspoke_gateway::proxy;
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_gateway::reservation::{Ask, Reservation};
use hollyspoke_gateway::signature::Content;
use hollyspoke_socket::shortage::Shortage;
use http::{HeaderMap, request, response};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::answer::{DropHook, Stream};
use crate::dialect::{Dialect, Kind};
use crate::http1::{Connection, Failure};
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::notes;
use crate::peers::Peers;

/// How late a tick may be before the process is taken to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);

/// The maximum number of stream chunks that are buffered for a client that reads slowly.
const MAX_QUEUED_CHUNK_COUNT: usize = 16;

/// The number of clients that are disconnected at most so that a connection can be opened.
const MAX_FREED_DESCRIPTORS: usize = 3;

/// The time in which the descriptor of a client that is disconnected becomes free.
const CLOSE_DURATION: Duration = Duration::from_millis(5);

/// The answer to a client.
#[derive(Debug)]
pub enum ClientAnswer {
    /// An engine's complete answer.
    Whole(response::Parts, Bytes),
    /// An engine's stream.
    Stream(response::Parts, Stream),
    /// A rejection by the gateway itself.
    Refused(Refusal),
}

/// A client's request as received. It is kept until the request ends.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The request head.
    pub head: Rc<request::Parts>,
    /// The request body.
    pub body: Bytes,
    /// Who sent it.
    pub origin: Origin,
}

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A client.
    Client,
    /// Another box on behalf of its client, with the digest of the client's key if the key was not
    /// sent.
    Peer(Option<KeyDigest>),
}

/// The channel on which a request's answer is sent.
#[derive(Debug)]
struct ResponseChannel {
    /// The request.
    request: ReceivedRequest,
    /// Sends the head of the answer; none once it is sent.
    head: Option<oneshot::Sender<ClientAnswer>>,
    /// Sends the stream's events; none before the stream begins.
    chunks: Option<mpsc::Sender<Bytes>>,
    /// Set if the stream ends before it is complete.
    is_broken: Rc<Cell<bool>>,
}

/// An engine's answer that is held until the reducer decides on it.
#[derive(Debug)]
struct PendingAnswer {
    /// The response head.
    head: response::Parts,
    /// The body; none for a stream.
    body: Option<Bytes>,
}

/// A box: the reducer and everything that its effects need.
#[derive(Debug)]
pub struct Node {
    /// The reducer.
    gateway: RefCell<Gateway>,
    /// The functions that translate the platform's messages.
    pub dialect: Dialect,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// The reducer's clock.
    clock: Clock,
    /// The sockets between boxes.
    peers: Peers,
    /// The address of the store.
    pub store: SocketAddr,
    /// Makes calls to engines, to other boxes and to the store.
    upstream_client: UpstreamClient,
    /// The answer channels of the requests in flight.
    response_channels: RefCell<HashMap<RequestKey, ResponseChannel>>,
    /// The tasks of calls, by which they are aborted.
    calls: RefCell<HashMap<CallKey, AbortHandle>>,
    /// Engines' answers that wait for the reducer's decision.
    pending_answers: RefCell<HashMap<CallKey, PendingAnswer>>,
    /// The memory for bytes that are held for others.
    pub memory: Memory,
    /// The number of connections that could not be opened for lack of a resource of this box.
    shortage_count: Cell<u64>,
    /// The key of the next request.
    next_request_key: Cell<u64>,
    /// Whether changes in the store are watched.
    watches_store: Cell<bool>,
    /// Wakes the task that syncs the configuration.
    configuration_wakeup: Notify,
    /// Wakes the task that syncs the engines.
    engines_wakeup: Notify,
    /// Wakes the task that syncs the evacuations.
    evacuations_wakeup: Notify,
    /// The time of the next tick.
    next_tick: Cell<Instant>,
    /// Wakes the timer when an event requires an earlier tick.
    pub timer_wakeup: Notify,
}

/// The functions that start calls to engines, to other boxes and to the store.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamClient {
    /// Starts the task of a call to an engine.
    pub call: fn(Rc<Node>, Send, ReceivedRequest) -> AbortHandle,
    /// Starts the task of a request that another box serves.
    pub proxy: fn(Rc<Node>, proxy::Call, ReceivedRequest) -> AbortHandle,
    /// Starts freeing a cached prompt.
    pub free_prompt: fn(Rc<Node>, Source),
    /// Starts asking an engine to reserve memory.
    pub reserve: fn(Rc<Node>, Ask),
    /// Starts dropping a reservation.
    pub drop_reservation: fn(Rc<Node>, Reservation),
    /// Starts ordering an engine to copy a stream's memory to another engine.
    pub transfer: fn(Rc<Node>, Transfer, ReceivedRequest),
    /// Starts asking an engine which prompt prefixes it caches.
    pub query_cached_prompts: fn(Rc<Node>, Arc<Engine>),
    /// Starts asking an engine how many orders it has accepted.
    pub query_order_count: fn(Rc<Node>, Arc<Engine>),
    /// Starts asking an engine whether it is alive.
    pub probe: fn(Rc<Node>, Arc<Engine>),
    /// Starts finding out whether a connection opens to another box.
    pub probe_box: fn(Rc<Node>, SocketAddr),
    /// Starts sending an order to an engine.
    pub order: fn(Rc<Node>, Order),
    /// Starts fetching a snapshot from another box.
    pub fetch: fn(Rc<Node>, SocketAddr),
    /// Starts a numbered operation on an object in the store.
    pub store: fn(Rc<Node>, u64, Operation),
}

impl Node {
    /// Creates a box around a reducer.
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
        memory: Memory,
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
            memory,
            shortage_count: Cell::new(0),
            next_request_key: Cell::new(0),
            watches_store: Cell::new(false),
            configuration_wakeup: Notify::new(),
            engines_wakeup: Notify::new(),
            evacuations_wakeup: Notify::new(),
            next_tick: Cell::new(Instant::now()),
            timer_wakeup: Notify::new(),
        }))
    }

    /// Opens a connection to an engine or the store. If this box lacks a resource for it, that is
    /// logged and counted.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, Failure> {
        let mut opened = Connection::open(address, timeout).await;
        for _ in 0..MAX_FREED_DESCRIPTORS {
            let is_short = matches!(opened, Err(Failure::Exhausted(Shortage::Descriptors)));
            if !is_short || !self.free_descriptor() {
                break;
            }
            // The task of the connection has to drop it.
            tokio::time::sleep(CLOSE_DURATION).await;
            opened = Connection::open(address, timeout).await;
        }
        opened.inspect_err(|failure| self.record_shortage(*failure))
    }

    /// Disconnects the client that makes the least use of its descriptor. Returns whether there is one.
    pub fn free_descriptor(&self) -> bool {
        self.memory.deliveries.close_least_useful(Instant::now())
    }

    /// Opens a connection to another box. If this box lacks a resource for it, that is logged and
    /// counted.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`], and [`Failure::Unsent`] if this box does not know its own address.
    pub async fn connect_peer(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, Failure> {
        let ip = self.peer_address().map_err(|_| Failure::Unsent)?.ip();
        let opened = Connection::open_from(ip, address, timeout).await;
        opened.inspect_err(|failure| self.record_shortage(*failure))
    }

    /// Counts a connection that this box could not open for lack of a resource, and logs the first,
    /// the second, the fourth and so on.
    fn record_shortage(&self, failure: Failure) {
        let Failure::Exhausted(shortage) = failure else { return };
        self.metrics.count_shortage(shortage);
        let count = self.shortage_count.get() + 1;
        self.shortage_count.set(count);
        if count.is_power_of_two() {
            warn!(self.log, "connection not opened"; "lacks" => shortage.name(), "failures" => count);
        }
    }

    /// Returns the reducer's time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the time at which the reducer needs a tick.
    fn next_due(&self) -> Instant {
        self.clock.instant(self.gateway.borrow().next_due())
    }

    /// Records and returns the time of the next tick, for which the timer waits unless it is woken.
    pub fn schedule_tick(&self) -> Instant {
        let due = self.next_due();
        self.next_tick.set(due);
        due
    }

    /// Calls a function with the reducer.
    pub fn with<T>(&self, read: impl FnOnce(&Gateway) -> T) -> T {
        read(&self.gateway.borrow())
    }

    /// Passes an event to the reducer and applies the effects. Checks for a suspension and a pause
    /// first.
    pub fn dispatch(self: &Rc<Node>, event: Event) {
        self.detect_suspension();
        self.detect_pause();
        self.step(event);
    }

    /// Reports a pause of the process since the last event to the reducer, if a tick is overdue.
    fn detect_pause(self: &Rc<Node>) {
        let now = Instant::now();
        let overdue = now.saturating_duration_since(self.next_tick.get());
        if overdue > PAUSE_THRESHOLD {
            self.next_tick.set(now);
            self.step(Event::Paused(overdue));
        }
    }

    /// Reports a suspension of the machine since the last event to the reducer.
    pub fn detect_suspension(self: &Rc<Node>) {
        if let Some(duration) = self.clock.take_suspension() {
            self.handle_suspension(duration);
        }
    }

    /// Advances the clock by a suspension of the machine and reports it to the reducer.
    pub fn handle_suspension(self: &Rc<Node>, duration: Duration) {
        self.clock.add_suspension(duration);
        self.step(Event::Suspended(duration));
    }

    /// Passes an event to the reducer and applies the effects.
    fn step(self: &Rc<Node>, event: Event) {
        let effects = self.gateway.borrow_mut().step(self.now(), event);
        for effect in effects {
            self.apply_effect(effect);
        }
        if self.next_due() < self.next_tick.get() {
            self.timer_wakeup.notify_one();
        }
    }

    /// Starts handling a request; its answer is sent to the receiver. Dropping the hook before the
    /// end of the answer reports that the client has disconnected.
    pub fn start_request(
        self: &Rc<Node>,
        request: ReceivedRequest,
    ) -> (DropHook, oneshot::Receiver<ClientAnswer>) {
        let request_key = RequestKey(self.next_request_key.get());
        self.next_request_key.set(request_key.0 + 1);
        let (sender, receiver) = oneshot::channel();
        let mut parsed = (self.dialect.read_request)(&request.head, request.body.len());
        if let Origin::Peer(credential) = request.origin {
            parsed.is_proxied = true;
            parsed.credential = credential.or(parsed.credential);
        }
        parsed.content = digest_content(&request, &parsed.host);
        let channel =
            ResponseChannel { request, head: Some(sender), chunks: None, is_broken: Rc::default() };
        self.response_channels.borrow_mut().insert(request_key, channel);
        let node = self.clone();
        let hook = DropHook::new(move || node.handle_disconnect(request_key));
        self.dispatch(Event::Arrived(request_key, parsed));
        (hook, receiver)
    }

    /// Handles the disconnection of a request's client.
    fn handle_disconnect(self: &Rc<Node>, request_key: RequestKey) {
        self.dispatch(Event::ClientDisconnected(request_key));
        self.response_channels.borrow_mut().remove(&request_key);
    }

    /// Holds an engine's answer until the reducer decides on it with the event that follows.
    pub fn hold_answer(&self, call: CallKey, head: response::Parts, body: Option<Bytes>) {
        self.pending_answers.borrow_mut().insert(call, PendingAnswer { head, body });
    }

    /// Drops a held answer that the reducer has no use for.
    pub fn drop_answer(&self, call: CallKey) {
        self.pending_answers.borrow_mut().remove(&call);
    }

    /// Returns whether a call has neither ended nor been cancelled.
    pub fn has_call(&self, call: CallKey) -> bool {
        self.calls.borrow().contains_key(&call)
    }

    /// Forgets a call whose task has ended.
    pub fn remove_call(&self, call: CallKey) {
        self.calls.borrow_mut().remove(&call);
    }

    /// Returns the sender of a stream's events; none before the stream begins or after it ends.
    pub fn chunk_sender(&self, request_key: RequestKey) -> Option<mpsc::Sender<Bytes>> {
        self.response_channels.borrow().get(&request_key)?.chunks.clone()
    }

    /// Returns the address at which this box listens for other boxes.
    ///
    /// # Errors
    ///
    /// If the operating system can't return the address.
    pub fn peer_address(&self) -> std::io::Result<SocketAddr> {
        self.peers.address()
    }

    /// Returns whether changes in the store are watched.
    pub fn watches_store(&self) -> bool {
        self.watches_store.get()
    }

    /// Returns what wakes the task that syncs a kind of object.
    pub fn wakeup(&self, kind: Kind) -> &Notify {
        match kind {
            Kind::Configuration => &self.configuration_wakeup,
            Kind::Engines => &self.engines_wakeup,
            Kind::Evacuations => &self.evacuations_wakeup,
        }
    }

    /// Handles the era in the headers of an answer from the store; a missing header stands for era
    /// 0. Returns the era unless it is an earlier one: such an answer says nothing about what the
    /// store holds now.
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

    /// Applies one effect.
    fn apply_effect(self: &Rc<Node>, effect: Effect) {
        match effect {
            Effect::Send(send) => self.send(send),
            Effect::Proxy(call) => self.proxy(call),
            Effect::Cancel(call) => self.cancel(call),
            Effect::Deliver(request_key, call) => self.deliver(request_key, call),
            Effect::Resume(_, call) => self.drop_answer(call),
            Effect::Refuse(request_key, refusal) => self.refuse(request_key, refusal),
            Effect::Abort(request_key) => self.close(request_key, true),
            Effect::Finish(request_key) => self.close(request_key, false),
            Effect::Free(source) => {
                (self.upstream_client.free_prompt)(self.clone(), source);
            }
            Effect::Reserve(ask) => (self.upstream_client.reserve)(self.clone(), ask),
            Effect::DropReservation(reservation) => {
                (self.upstream_client.drop_reservation)(self.clone(), reservation);
            }
            Effect::Transfer(transfer) => self.transfer(transfer),
            Effect::QueryCachedPrompts(engine) => {
                (self.upstream_client.query_cached_prompts)(self.clone(), engine)
            }
            Effect::QueryOrderCount(engine) => {
                (self.upstream_client.query_order_count)(self.clone(), engine)
            }
            Effect::Probe(engine) => (self.upstream_client.probe)(self.clone(), engine),
            Effect::ProbeBox(to) => (self.upstream_client.probe_box)(self.clone(), to),
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
            Effect::Notify(nodes, notice) => self.peers.notify(&nodes, &notice),
            Effect::Log(note) => {
                self.metrics.record(&note);
                notes::write(&self.log, &note);
            }
        }
    }

    /// Sends a datagram to boxes, each in the newest format that it can read.
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

    /// Orders the copy of a stream's memory, unless its request has ended.
    fn transfer(self: &Rc<Node>, transfer: Transfer) {
        if let Some(request) = self.received_request(transfer.request) {
            (self.upstream_client.transfer)(self.clone(), transfer, request);
        }
    }

    /// Returns a request in flight as it was received.
    fn received_request(&self, request_key: RequestKey) -> Option<ReceivedRequest> {
        self.response_channels.borrow().get(&request_key).map(|it| it.request.clone())
    }

    /// Starts a call to an engine, unless its request has ended.
    fn send(self: &Rc<Node>, send: Send) {
        let Some(request) = self.received_request(send.request) else { return };
        let call = send.call;
        let task = (self.upstream_client.call)(self.clone(), send, request);
        self.calls.borrow_mut().insert(call, task);
    }

    /// Starts sending a request to another box, unless the request has ended.
    fn proxy(self: &Rc<Node>, call: proxy::Call) {
        let Some(request) = self.received_request(call.request) else { return };
        let key = call.call;
        let task = (self.upstream_client.proxy)(self.clone(), call, request);
        self.calls.borrow_mut().insert(key, task);
    }

    /// Aborts a call and drops its held answer.
    fn cancel(&self, call: CallKey) {
        let task = self.calls.borrow_mut().remove(&call);
        if let Some(task) = task {
            task.abort();
        }
        self.drop_answer(call);
    }

    /// Sends an engine's held answer to the client.
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
                ClientAnswer::Stream(pending.head, Stream::new(receiver, is_broken))
            }
        };
        // Sending fails if the client has disconnected, which its drop hook reports.
        _ = sender.send(answer);
    }

    /// Sends a rejection by the gateway itself to the client.
    fn refuse(&self, request_key: RequestKey, refusal: Refusal) {
        let sender =
            self.response_channels.borrow_mut().get_mut(&request_key).and_then(|it| it.head.take());
        if let Some(sender) = sender {
            // Sending fails if the client has disconnected, which its drop hook reports.
            _ = sender.send(ClientAnswer::Refused(refusal));
        }
    }

    /// Ends a stream, either complete or broken off.
    fn close(&self, request_key: RequestKey, is_broken: bool) {
        if let Some(channel) = self.response_channels.borrow_mut().get_mut(&request_key) {
            channel.is_broken.set(is_broken);
            channel.chunks = None;
        }
    }
}

/// Digests the content of a request without copying it.
fn digest_content(request: &ReceivedRequest, host: &str) -> Content {
    let ReceivedRequest { head, body, .. } = request;
    let target = head.uri.path_and_query().map_or("", |it| it.as_str());
    Content::of(head.method.as_str(), host, target, body)
}
