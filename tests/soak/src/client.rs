//! Clients that follow the rules of the users' pages: they keep the address answer and use it, keep
//! connections, give a deadline, come back when they may and as told, and resume streams.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_server::http1::{Connection, Failure};
use http::header::{AUTHORIZATION, CONNECTION, HOST, RETRY_AFTER};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::keys::{ANSWER_TOKENS, CUSTOMERS, Caller, units};
use crate::observation::{Kind, Observation, What, digest};
use crate::standin::engine::event_text;

/// The host of all routes.
pub const HOST_NAME: &str = "host.example";

/// How long a client waits for a connection, and for the address answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The deadline of a plain request.
pub(crate) const PLAIN_DEADLINE: Duration = Duration::from_secs(3);

/// The deadline of a stream.
const STREAM_DEADLINE: Duration = Duration::from_secs(5);

/// The share of the time left within which a client comes back as told.
const RETRY_SHARE: f64 = 1.0 / 3.0;

/// The tries of one request.
const MOST_TRIES: u32 = 2;

/// Of a hundred requests, so many are left by their client.
const LEAVES: u32 = 6;

/// The time after which a client leaves, in milliseconds, at least and at most.
const LEAVES_MS: (u64, u64) = (10, 150);

/// The pause between two requests of a client, in milliseconds, at least and at most.
const PAUSE_MS: (u64, u64) = (60, 240);

/// Of a hundred requests, so many come with a key that nobody holds, and as many with one that was
/// taken away.
const BAD_KEYS: u32 = 3;

/// How many versions a key that was taken away is older than the newest.
const OLD_KEY: u64 = 4;

/// Where observations go.
pub type Sink = mpsc::UnboundedSender<Observation>;

/// Where a box can be reached.
#[derive(Debug, Clone, Copy)]
pub struct Way {
    /// Where it listens for clients, as it tells itself.
    pub front: SocketAddr,
    /// Where clients connect in its place.
    pub proxy: SocketAddr,
    /// Where it tells clients which boxes to use.
    pub directory: SocketAddr,
}

/// What all clients share.
#[derive(Debug)]
pub struct Shared {
    /// The boxes.
    pub ways: Vec<Way>,
    /// Where observations go.
    pub sink: Sink,
    /// Whether clients go on.
    pub is_running: Cell<bool>,
    /// Gives the newest version of the configuration that was acknowledged.
    pub version: Rc<Cell<u64>>,
    /// Whether all requests are safe ones.
    pub only_safe: bool,
    /// The seed.
    pub seed: u64,
}

/// The answer to a client that asks for addresses.
#[derive(Debug, Deserialize)]
struct Resolved {
    /// The addresses.
    addresses: Vec<SocketAddr>,
    /// How long they may be kept, in seconds.
    #[serde(rename = "ttlS")]
    ttl: f64,
}

/// One client.
pub(crate) struct Client {
    /// What it shares with the others.
    shared: Rc<Shared>,
    /// Its number.
    number: usize,
    /// The source of chance.
    random: Pcg64Mcg,
    /// The boxes to use, and until when.
    boxes: (Vec<usize>, Instant),
    /// The kept connection, and the box.
    kept: Option<(usize, Connection)>,
    /// The number of the next try.
    next: u64,
}

/// What is asked for.
#[derive(Debug, Clone)]
pub(crate) struct Wanted {
    /// The kind.
    pub(crate) kind: Kind,
    /// The path.
    pub(crate) path: String,
    /// The body.
    pub(crate) body: Bytes,
    /// The events that came so far.
    pub(crate) after: u64,
    /// Who asks.
    pub(crate) caller: Caller,
    /// When the client gives up.
    pub(crate) deadline: Instant,
}

/// How a try ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The whole answer came.
    Served,
    /// Another answer came whole; if it promises that the request has not run, when to come back.
    Failed(Option<Duration>),
    /// The connection ended before; the last event that came.
    Cut(u64),
    /// Nothing was sent.
    Unreached,
    /// The client has left.
    Left,
}

/// Runs a client until clients are told to end.
pub async fn run(shared: Rc<Shared>, number: usize) {
    let mut client = Client::new(shared, number);
    while client.shared.is_running.get() {
        let wanted = client.draw();
        client.serve(wanted).await;
        let pause = client.random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

impl Client {
    /// Makes a client that knows no box yet.
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

    /// Forgets the kept connection, so that the next try goes to any box.
    pub(crate) fn forget_connection(&mut self) {
        self.kept = None;
    }

    /// Draws a request.
    fn draw(&mut self) -> Wanted {
        let kinds = [Kind::Safe, Kind::Safe, Kind::Unsafe, Kind::Unsafe, Kind::Once, Kind::Resumed];
        let drawn = kinds.choose(&mut self.random).copied().unwrap_or(Kind::Safe);
        let kind = if self.shared.only_safe { Kind::Safe } else { drawn };
        let number: u64 = self.random.random();
        let body = match kind {
            Kind::Safe | Kind::Probe => Bytes::new(),
            _ => Bytes::from(format!("body {number:016x}")),
        };
        let span = if kind.is_stream() { STREAM_DEADLINE } else { PLAIN_DEADLINE };
        let path = format!("/{}/{number:08x}", kind.route());
        let caller = self.caller(kind, &body);
        Wanted { kind, path, body, after: 0, caller, deadline: Instant::now() + span }
    }

    /// Draws the key of a request: mostly one that boxes know that have the newest version or the
    /// one before.
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

    /// Makes the tries of one request.
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

    /// Makes one try.
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

    /// Sends a try and reads its answer.
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
            // The kept connection had closed; nothing was sent on it.
            let way = self.shared.ways[node].proxy;
            let Ok(opened) = Connection::open(way, CONNECT_TIMEOUT).await else {
                return Outcome::Unreached;
            };
            connection = opened;
            sent = connection.send(message(wanted, id)).await;
        }
        let response = match sent {
            Ok(response) => response,
            Err(Failure::Unsent) => return Outcome::Unreached,
            Err(Failure::Broken) => return Outcome::Cut(0),
        };
        let closes = response.headers().get(CONNECTION).is_some_and(|it| it == "close");
        let outcome = self.read(wanted, id, response).await;
        if !closes && matches!(outcome, Outcome::Served | Outcome::Failed(_)) {
            self.kept = Some((node, connection));
        }
        outcome
    }

    /// Reads an answer.
    async fn read(&self, wanted: &Wanted, id: &str, response: Response<Incoming>) -> Outcome {
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Outcome::Cut(events(&bytes).last().copied().unwrap_or(0));
            };
            bytes.extend(frame.into_data().unwrap_or_default());
        }
        let status = head.status.as_u16();
        let is_stream = wanted.kind.is_stream() && head.status == StatusCode::OK;
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

    /// Chooses a box: that of the kept connection, or one of the address answer.
    async fn choose(&mut self) -> Option<usize> {
        if self.boxes.0.is_empty() || self.boxes.1 <= Instant::now() {
            self.resolve().await;
        }
        let kept = self.kept.as_ref().map(|it| it.0);
        let kept = kept.filter(|it| self.boxes.0.contains(it));
        kept.or_else(|| self.boxes.0.choose(&mut self.random).copied())
    }

    /// Asks up to three boxes which to use. Without an answer the last one stays in use.
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

    /// Notes what was seen.
    fn see(&self, what: What) {
        // An error says that the run is over.
        _ = self.shared.sink.send(Observation::new(what));
    }
}

/// Asks a box which boxes to use.
async fn ask(directory: SocketAddr) -> Option<Resolved> {
    let path = format!("/resolve?name={HOST_NAME}&region=r&zone=north");
    let request = Request::get(path).header(HOST, HOST_NAME).body(Full::default()).ok()?;
    let mut connection = Connection::open(directory, CONNECT_TIMEOUT).await.ok()?;
    let response = connection.send(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

/// Asks a box for a path; gives the status.
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

/// Makes the message of a try.
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
            .header("X-Prompt-Prefix", format!("{:x}:{tokens}", digest(&wanted.body)));
    }
    if wanted.after > 0 {
        builder = builder.header("Last-Event-Id", wanted.after.to_string());
    }
    // The parts are made here and valid.
    builder.body(Full::new(wanted.body.clone())).unwrap_or_default()
}

/// Gives the tokens of a prompt.
fn prompt_tokens(body: &Bytes) -> u64 {
    200 + digest(body) % 3000
}

/// Gives the ids of the whole events in the bytes of a stream.
fn events(bytes: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(bytes);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    whole.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Tells whether bytes contain a text.
fn contains(bytes: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(bytes).contains(text)
}

/// Gives a header's value.
fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
