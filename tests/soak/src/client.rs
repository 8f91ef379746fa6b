//! Clients that follow the documented rules: they cache and use the address list, reuse
//! connections, send a deadline, retry only when and as allowed, and resume streams.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_server::guarded::GuardedBody;
use hollyspoke_server::http1::{Connection, Failure};
use http::header::{AUTHORIZATION, CONNECTION, HOST, RETRY_AFTER};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::keys::{ANSWER_TOKENS, CUSTOMERS, Caller, units};
use crate::observation::{Kind, Micros, Observation, What, digest, now};
use crate::own_run::foreign_bytes;
use crate::standin::engine::{event_count, event_text};

/// The host name of all routes.
pub const HOST_NAME: &str = "host.example";

/// The timeout of a connection, and of the request for the address list.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The deadline of a plain request.
pub(crate) const PLAIN_DEADLINE: Duration = Duration::from_secs(3);

/// The deadline of a stream.
const STREAM_DEADLINE: Duration = Duration::from_secs(5);

/// The share of the remaining time within which a client follows a retry delay.
const RETRY_SHARE: f64 = 1.0 / 3.0;

/// The maximum number of attempts of one request.
const MOST_TRIES: u32 = 2;

/// The percentage of requests whose client disconnects on purpose.
const LEAVES: u32 = 6;

/// The range of the time after which a client disconnects, in milliseconds.
const LEAVES_MS: (u64, u64) = (10, 150);

/// The range of the pause between two requests of a client, in milliseconds.
const PAUSE_MS: (u64, u64) = (60, 240);

/// The percentage of requests with an unknown key, and also that of requests with a removed key.
const BAD_KEYS: u32 = 3;

/// How many versions a removed key is older than the newest version.
const OLD_KEY: u64 = 4;

/// The prompt parts at the start of streams: all have the first one, every second has both.
const SHARED_PARTS: [&str; 2] = ["5a1", "5a2"];

/// The number of tokens of a prompt part that is not the last.
const PART_TOKENS: u64 = 50;

/// The channel for observations.
pub type Sink = mpsc::UnboundedSender<Observation>;

/// The addresses of a box for clients.
#[derive(Debug, Clone, Copy)]
pub struct Way {
    /// The address it listens on, as in its address list.
    pub front: SocketAddr,
    /// The address of the proxy that clients connect to instead.
    pub proxy: SocketAddr,
    /// The address that serves the address list.
    pub directory: SocketAddr,
}

/// The state that all clients share.
#[derive(Debug)]
pub struct Shared {
    /// The addresses of all boxes.
    pub ways: Vec<Way>,
    /// The channel for observations.
    pub sink: Sink,
    /// Whether clients keep sending requests.
    pub is_running: Cell<bool>,
    /// The newest acknowledged version of the configuration.
    pub version: Rc<Cell<u64>>,
    /// Whether the clients of a crowd send requests.
    pub is_crowded: Rc<Cell<bool>>,
    /// Whether clients only send safe requests.
    pub only_safe: bool,
    /// The seed of the run.
    pub seed: u64,
}

/// The address list that a box answers with.
#[derive(Debug, Deserialize)]
struct Resolved {
    /// The addresses of boxes to use.
    addresses: Vec<SocketAddr>,
    /// How long they may be cached, in seconds.
    #[serde(rename = "ttlS")]
    ttl: f64,
}

/// One client.
pub(crate) struct Client {
    /// The state shared with the other clients.
    shared: Rc<Shared>,
    /// Its number.
    number: usize,
    /// The random number generator.
    random: Pcg64Mcg,
    /// The boxes to use, and when this list expires.
    boxes: (Vec<usize>, Instant),
    /// The open connection for reuse, and its box.
    kept: Option<(usize, Connection)>,
    /// The number of the next try.
    next: u64,
}

/// A request to send.
#[derive(Debug, Clone)]
pub(crate) struct Wanted {
    /// The kind of request.
    pub(crate) kind: Kind,
    /// The path.
    pub(crate) path: String,
    /// The body.
    pub(crate) body: Bytes,
    /// The ids of the parts of its prompt but for the last, which is its own.
    pub(crate) shared_parts: Vec<String>,
    /// The number of events received so far.
    pub(crate) after: u64,
    /// The customer and key that send it.
    pub(crate) caller: Caller,
    /// When the client gives up.
    pub(crate) deadline: Instant,
    /// What the client has received of a stream.
    pub(crate) received: Rc<RefCell<ReceivedStream>>,
}

/// What a client has received of a stream over all attempts.
#[derive(Debug, Default)]
pub(crate) struct ReceivedStream {
    /// The id of the attempt that brought the first event.
    begun_as: Option<String>,
    /// The software versions of the engines that wrote the events.
    versions: BTreeSet<String>,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The whole answer arrived.
    Served,
    /// Another answer arrived whole, with the delay of a retry if it states that the request has
    /// not run.
    Failed(Option<Duration>),
    /// The connection ended before; holds the last event that arrived.
    Cut(u64),
    /// Nothing was sent.
    Unreached,
    /// The client has disconnected on purpose.
    Left,
}

/// Runs a client until the clients are stopped.
pub async fn run(shared: Rc<Shared>, number: usize) {
    let mut client = Client::new(shared, number);
    while client.shared.is_running.get() {
        let wanted = client.draw();
        client.serve(wanted).await;
        let pause = client.random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Runs a client of a crowd, which only sends streams, until the clients are stopped.
pub async fn run_in_crowd(shared: Rc<Shared>, number: usize) {
    let mut client = Client::new(shared, number);
    while client.shared.is_running.get() {
        if client.shared.is_crowded.get() {
            let kinds = [Kind::Once, Kind::Resumed];
            let kind = kinds.choose(&mut client.random).copied().unwrap_or(Kind::Once);
            let wanted = client.wanted(kind);
            client.serve(wanted).await;
        }
        let pause = client.random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

impl Client {
    /// Creates a client without an address list.
    pub(crate) fn new(shared: Rc<Shared>, number: usize) -> Client {
        let seed = shared.seed.wrapping_mul(1000).wrapping_add(number as u64);
        Client {
            shared,
            number,
            random: Pcg64Mcg::seed_from_u64(seed),
            boxes: (Vec::new(), Instant::now()),
            kept: None,
            next: 0,
        }
    }

    /// Drops the open connection, so that the next attempt may use any box.
    pub(crate) fn forget_connection(&mut self) {
        self.kept = None;
    }

    /// Draws a request with its deadline.
    fn draw(&mut self) -> Wanted {
        let kinds = [Kind::Safe, Kind::Safe, Kind::Unsafe, Kind::Unsafe, Kind::Once, Kind::Resumed];
        let drawn = kinds.choose(&mut self.random).copied().unwrap_or(Kind::Safe);
        let kind = if self.shared.only_safe { Kind::Safe } else { drawn };
        self.wanted(kind)
    }

    /// Draws a request of a kind with its deadline.
    pub(crate) fn wanted(&mut self, kind: Kind) -> Wanted {
        let number: u64 = self.random.random();
        let body = match kind {
            Kind::Safe | Kind::Probe => Bytes::new(),
            _ => Bytes::from(format!("body {number:016x}")),
        };
        let span = if kind.is_stream() { STREAM_DEADLINE } else { PLAIN_DEADLINE };
        let path = format!("/{}/{number:08x}", kind.route());
        let caller = self.caller(kind, &body);
        let deadline = Instant::now() + span;
        let count = if number.is_multiple_of(2) { 1 } else { SHARED_PARTS.len() };
        let shared_parts = SHARED_PARTS[..count].iter().map(|&it| it.to_owned()).collect();
        let received = Rc::default();
        Wanted { kind, path, body, shared_parts, after: 0, caller, deadline, received }
    }

    /// Draws the key of a request: mostly one that is known in both the newest version and the one
    /// before.
    fn caller(&mut self, kind: Kind, body: &Bytes) -> Caller {
        let customer = CUSTOMERS[self.number % CUSTOMERS.len()].to_owned();
        let version = self.shared.version.get();
        let key = match self.random.random_range(0..100) {
            it if it < BAD_KEYS => None,
            it if it < 2 * BAD_KEYS => Some(version.saturating_sub(OLD_KEY)),
            _ => Some(version.saturating_sub(1)),
        };
        Caller { customer, key, units: units(kind, prompt_tokens(body)) }
    }

    /// Makes the attempts of one request.
    async fn serve(&mut self, mut wanted: Wanted) {
        let leaves_after = (self.random.random_range(0..100) < LEAVES).then(|| {
            let millis = self.random.random_range(LEAVES_MS.0..=LEAVES_MS.1);
            Duration::from_millis(millis)
        });
        for _ in 0..MOST_TRIES {
            match self.attempt(&wanted, leaves_after).await {
                Outcome::Served | Outcome::Left => return,
                Outcome::Failed(None) if wanted.kind != Kind::Safe => return,
                Outcome::Failed(pause) => {
                    let left = wanted.deadline.saturating_duration_since(Instant::now());
                    let pause = pause.unwrap_or_default();
                    if pause > left.mul_f64(RETRY_SHARE) {
                        return;
                    }
                    tokio::time::sleep(pause).await;
                }
                Outcome::Cut(_) if wanted.kind.runs_once() => return,
                Outcome::Cut(last) => wanted.after = wanted.after.max(last),
                Outcome::Unreached => self.boxes.0.clear(),
            }
            self.kept = None;
        }
    }

    /// Makes one attempt.
    pub(crate) async fn attempt(
        &mut self,
        wanted: &Wanted,
        leaves_after: Option<Duration>,
    ) -> Outcome {
        let Some(node) = self.choose().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            return Outcome::Unreached;
        };
        let id = format!("{:x}-{:03}-{:06}", self.shared.seed, self.number, self.next);
        self.next += 1;
        self.see(What::Sent {
            attempt: id.clone(),
            kind: wanted.kind,
            node,
            path: wanted.path.clone(),
            body: digest(&wanted.body),
            after: wanted.after,
            caller: wanted.caller.clone(),
            deadline: at(wanted.deadline),
        });
        let until =
            leaves_after.map_or(wanted.deadline, |it| wanted.deadline.min(Instant::now() + it));
        let exchanged = tokio::time::timeout_at(until, self.exchange(wanted, node, &id)).await;
        let Ok(outcome) = exchanged else {
            self.kept = None;
            self.see(What::Left { attempt: id });
            return Outcome::Left;
        };
        match &outcome {
            Outcome::Cut(_) => self.see(What::Cut { attempt: id }),
            Outcome::Unreached => self.see(What::Unreached { attempt: id }),
            Outcome::Served | Outcome::Failed(_) | Outcome::Left => {}
        }
        outcome
    }

    /// Sends an attempt and reads its answer.
    async fn exchange(&mut self, wanted: &Wanted, node: usize, id: &str) -> Outcome {
        let kept = self.kept.take().filter(|it| it.0 == node);
        let is_kept = kept.is_some();
        let opened = match kept {
            Some((_, connection)) => Ok(connection),
            None => Connection::open(self.shared.ways[node].proxy, CONNECT_TIMEOUT).await,
        };
        let Ok(mut connection) = opened else { return Outcome::Unreached };
        let mut sent = connection.send(message(wanted, id)).await;
        if is_kept && matches!(sent, Err(Failure::Unsent)) {
            // The open connection had closed, so nothing was sent on it.
            let way = self.shared.ways[node].proxy;
            let Ok(opened) = Connection::open(way, CONNECT_TIMEOUT).await else {
                return Outcome::Unreached;
            };
            connection = opened;
            sent = connection.send(message(wanted, id)).await;
        }
        let response = match sent {
            Ok(response) => response,
            Err(Failure::Unsent | Failure::Exhausted(_)) => return Outcome::Unreached,
            Err(Failure::Broken | Failure::NoMemory | Failure::Garbled(_)) => {
                return Outcome::Cut(0);
            }
        };
        let closes = response.headers().get(CONNECTION).is_some_and(|it| it == "close");
        let outcome = self.read(wanted, id, response).await;
        if !closes && matches!(outcome, Outcome::Served | Outcome::Failed(_)) {
            self.kept = Some((node, connection));
        }
        outcome
    }

    /// Reads an answer and records it.
    async fn read(&self, wanted: &Wanted, id: &str, response: Response<GuardedBody>) -> Outcome {
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                if wanted.kind.is_stream() && head.status == StatusCode::OK {
                    self.record_foreign(wanted, id, &bytes, false);
                }
                self.record_stream(wanted, id, &bytes);
                return Outcome::Cut(events(&bytes).last().copied().unwrap_or(0));
            };
            bytes.extend(frame.into_data().unwrap_or_default());
        }
        let status = head.status.as_u16();
        let is_stream = wanted.kind.is_stream() && head.status == StatusCode::OK;
        if is_stream {
            self.record_foreign(wanted, id, &bytes, true);
            self.record_stream(wanted, id, &bytes);
        }
        let events = if is_stream { events(&bytes) } else { Vec::new() };
        let is_own = if is_stream {
            events.iter().all(|it| contains(&bytes, &format!("data: {}\n", event_text(id, *it))))
        } else {
            contains(&bytes, &format!(" {id} "))
        };
        let stamp = text(&head.headers, "x-server-stamp");
        let body = digest(&bytes);
        let attempt = id.to_owned();
        self.see(What::Answered { attempt, status, stamp, body, events, is_own });
        if head.status == StatusCode::OK {
            return Outcome::Served;
        }
        let is_promise = matches!(status, 408 | 421 | 429 | 503);
        let told = text(&head.headers, RETRY_AFTER.as_str()).and_then(|it| it.parse().ok());
        let pause = Duration::from_secs_f64(told.unwrap_or(0.0_f64).clamp(0.0, 60.0));
        Outcome::Failed(is_promise.then_some(pause))
    }

    /// Records bytes of a stream that are not the events due of its run.
    fn record_foreign(&self, wanted: &Wanted, id: &str, bytes: &[u8], is_complete: bool) {
        let due = wanted.after + 1..=event_count(digest(&wanted.body));
        if let Some(excerpt) = foreign_bytes(bytes, id, due, is_complete) {
            self.see(What::Foreign { attempt: id.to_owned(), excerpt });
        }
    }

    /// Records which attempt began a stream, and which software versions wrote its events.
    fn record_stream(&self, wanted: &Wanted, id: &str, bytes: &[u8]) {
        if events(bytes).is_empty() {
            return;
        }
        let mut received = wanted.received.borrow_mut();
        received.begun_as.get_or_insert_with(|| id.to_owned());
        received.versions.extend(software_versions(bytes));
        if received.versions.len() > 1 {
            self.see(What::Mixed { attempt: id.to_owned() });
        }
    }

    /// Chooses the box of the open connection, or one of the address list.
    async fn choose(&mut self) -> Option<usize> {
        if self.boxes.0.is_empty() || self.boxes.1 <= Instant::now() {
            self.resolve().await;
        }
        let kept = self.kept.as_ref().map(|it| it.0);
        let kept = kept.filter(|it| self.boxes.0.contains(it));
        kept.or_else(|| self.boxes.0.choose(&mut self.random).copied())
    }

    /// Requests the address list from up to three boxes. Without an answer the old list stays in
    /// use.
    async fn resolve(&mut self) {
        for _ in 0..3 {
            let Some(way) = self.shared.ways.choose(&mut self.random).copied() else { return };
            let asked = tokio::time::timeout(CONNECT_TIMEOUT, ask(way.directory)).await;
            if let Ok(Some(resolved)) = asked {
                let ways = self.shared.ways.iter().enumerate();
                let named = ways.filter(|(_, it)| resolved.addresses.contains(&it.front));
                let until = Instant::now() + Duration::from_secs_f64(resolved.ttl.clamp(0.0, 5.0));
                self.boxes = (named.map(|it| it.0).collect(), until);
                return;
            }
        }
    }

    /// Records an observation.
    fn see(&self, what: What) {
        // The error means that the run is over.
        _ = self.shared.sink.send(Observation::new(what));
    }
}

/// Returns a time in the machine's clock.
pub(crate) fn at(time: Instant) -> Micros {
    let left = time.saturating_duration_since(Instant::now());
    now() + u64::try_from(left.as_micros()).unwrap_or(0)
}

/// Requests the address list from a box.
async fn ask(directory: SocketAddr) -> Option<Resolved> {
    let path = format!("/resolve?name={HOST_NAME}&region=r&zone=north");
    let request = Request::get(path).header(HOST, HOST_NAME).body(Full::default()).ok()?;
    let mut connection = Connection::open(directory, CONNECT_TIMEOUT).await.ok()?;
    let response = connection.send(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

/// Requests a path from a box and returns the status.
pub async fn probe(front: SocketAddr, path: &str, id: &str, caller: &Caller) -> Option<u16> {
    let request = Request::get(path)
        .header(HOST, HOST_NAME)
        .header(AUTHORIZATION, format!("Bearer {}", caller.text()))
        .header("X-Request-Id", id)
        .header("X-Deadline-Ms", PLAIN_DEADLINE.as_millis().to_string())
        .body(Full::default())
        .ok()?;
    let mut connection = Connection::open(front, CONNECT_TIMEOUT).await.ok()?;
    let response = connection.send(request).await.ok()?;
    let status = response.status().as_u16();
    response.into_body().collect().await.ok()?;
    Some(status)
}

/// Reads a box's metrics.
pub async fn read(metrics: SocketAddr) -> Option<String> {
    let request = Request::get("/metrics").header(HOST, HOST_NAME).body(Full::default()).ok()?;
    let mut connection = Connection::open(metrics, CONNECT_TIMEOUT).await.ok()?;
    let body = connection.send(request).await.ok()?.into_body().collect().await.ok()?;
    String::from_utf8(body.to_bytes().to_vec()).ok()
}

/// Creates the HTTP request of an attempt.
fn message(wanted: &Wanted, id: &str) -> Request<Full<Bytes>> {
    let left = wanted.deadline.saturating_duration_since(Instant::now());
    let method = if wanted.kind == Kind::Safe { "GET" } else { "POST" };
    let mut builder = Request::builder()
        .method(method)
        .uri(&wanted.path)
        .header(HOST, HOST_NAME)
        .header("X-Request-Id", id)
        .header(AUTHORIZATION, format!("Bearer {}", wanted.caller.text()))
        .header("X-Tenant", "made-up")
        .header("X-Deadline-Ms", left.as_millis().to_string());
    if wanted.kind.is_stream() {
        let tokens = prompt_tokens(&wanted.body);
        builder = builder
            .header("X-Model", "m")
            .header("X-Token-Count", format!("{tokens},{ANSWER_TOKENS}"))
            .header("X-Prompt-Prefix", prompt_parts(wanted));
    }
    if wanted.after > 0 {
        builder = builder.header("Last-Event-Id", wanted.after.to_string());
        if let Some(begun_as) = &wanted.received.borrow().begun_as {
            builder = builder.header("Resumes", begun_as);
        }
    }
    // All parts are created above and valid.
    builder.body(Full::new(wanted.body.clone())).unwrap_or_default()
}

/// Returns the parts of a prompt with their numbers of tokens.
fn prompt_parts(wanted: &Wanted) -> String {
    let shared = wanted.shared_parts.iter().map(|it| format!("{it}:{PART_TOKENS},"));
    let own = prompt_tokens(&wanted.body) - PART_TOKENS * wanted.shared_parts.len() as u64;
    format!("{}{:x}:{own}", shared.collect::<String>(), digest(&wanted.body))
}

/// Returns the number of tokens of a prompt.
fn prompt_tokens(body: &Bytes) -> u64 {
    200 + digest(body) % 3000
}

/// Returns the ids of the whole events in the bytes of a stream.
fn events(bytes: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(bytes);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    whole.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Returns the software versions in the whole events of a stream.
fn software_versions(bytes: &[u8]) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(bytes);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    whole.lines().filter_map(|it| it.strip_prefix(": ")).map(str::to_owned).collect()
}

/// Returns whether bytes contain a text.
fn contains(bytes: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(bytes).contains(text)
}

/// Returns a header's value.
fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
