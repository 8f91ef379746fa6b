//! A stand-in for a model engine: it prefills prompts one at a time, keeps each result for a few
//! seconds, imports results from other engines, and decodes an answer that is determined by the
//! prompt.
//!
//! It frees a stream's memory when the answer is complete or the stream is cancelled, but not when
//! a connection closes, so that tests detect a router that forgets to cancel.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures::stream;
use hollyspoke::site::Role;
use hollyspoke_wire::engine::{
    Cancel, Decode, Empty, FencedOrder, Import, Line, Load, Prefill, Prefilled,
};
use hollyspoke_wire::http::Client;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::answer;

/// The capacity of an engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The size of the KV cache, in tokens.
    pub memory_tokens: u64,
    /// The prefill rate, in tokens per second.
    pub prefill_rate: u64,
    /// The time to decode one token.
    pub token_time: Duration,
    /// The time after which a prefill result expires.
    pub result_ttl: Duration,
    /// Whether it checks the fencing tokens of orders; none if it accepts no orders.
    pub orders: Option<bool>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            memory_tokens: 64_000,
            prefill_rate: 20_000,
            token_time: Duration::from_millis(2),
            result_ttl: Duration::from_secs(3),
            orders: None,
        }
    }
}

/// The faults to inject.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Prefills fail at once.
    pub fail_prefill: bool,
    /// Prefills never end.
    pub stall_prefill: bool,
    /// Imports never end.
    pub stall_import: bool,
    /// Streams fail after this number of tokens in one call.
    pub break_after: Option<u32>,
    /// Streams stall after this number of tokens in one call.
    pub stall_after: Option<u32>,
    /// The factor by which all work is slowed; zero counts as one.
    pub slow: u32,
    /// Its report says that it is shutting down.
    pub leaving: bool,
}

/// The record of what happened at the engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The number of prefills started.
    pub prefills: u64,
    /// The number of prefill results that expired before they were fetched.
    pub expired: u64,
    /// The number of prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// The number of decodes started.
    pub decodes: u64,
    /// The number of decodes completed.
    pub finished: u64,
    /// The number of streams cancelled while they used memory.
    pub cancelled: u64,
    /// The current use of the KV cache, in tokens.
    pub used_tokens: u64,
    /// The streams that use memory now.
    pub streams: Vec<String>,
    /// The number of decodes started, by prompt.
    pub decodes_of: BTreeMap<String, u64>,
    /// The time since the last prefill or import started, in milliseconds; none before the first.
    pub idle_ms: Option<u64>,
    /// The fencing tokens of the executed orders, in order of arrival.
    pub orders: Vec<u64>,
    /// The fencing tokens of the rejected orders.
    pub orders_refused: Vec<u64>,
    /// The model and adapters that the last order named.
    pub loaded: Vec<String>,
}

/// The memory of a stream.
#[derive(Debug, Clone)]
struct StreamMemory {
    /// The text of the prompt.
    prompt: String,
    /// The KV cache in use, in tokens.
    tokens: u64,
    /// The time when an unfetched prefill result expires; none during a prefill and for imports.
    expires: Option<Instant>,
}

/// The engine's state.
#[derive(Debug, Default)]
struct Inner {
    /// The memory of each stream, by the stream's name.
    held: BTreeMap<String, StreamMemory>,
    /// The injected faults.
    faults: Faults,
    /// The record so far.
    ledger: Ledger,
    /// The start of the last prefill or import.
    last_work: Option<Instant>,
    /// The role of the last order, which is reported but doesn't restrict the engine.
    role: Option<Role>,
}

impl Inner {
    /// Returns the KV cache in use, in tokens.
    fn used(&self) -> u64 {
        self.held.values().map(|it| it.tokens).sum()
    }

    /// Discards expired prefill results.
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.held.len();
        self.held.retain(|_, it| it.expires.is_none_or(|at| now < at));
        self.ledger.expired += (before - self.held.len()) as u64;
    }
}

/// A handle to an engine; clones share the state.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The capacity.
    settings: Settings,
    /// The shared state.
    inner: Arc<Mutex<Inner>>,
    /// Limits prefills to one at a time.
    prefill_permits: Arc<Semaphore>,
    /// The client for fetching prefill results of other engines.
    client: Client,
}

impl Engine {
    /// Creates an engine with an empty KV cache.
    pub fn new(settings: Settings) -> Engine {
        Engine {
            settings,
            inner: Arc::default(),
            prefill_permits: Arc::new(Semaphore::new(1)),
            client: Client::new(),
        }
    }

    /// Returns the engine's router.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/v1/prefill", post(prefill))
            .route("/v1/export", post(export))
            .route("/v1/import", post(import))
            .route("/v1/decode", post(decode))
            .route("/v1/cancel", post(cancel))
            .route("/v1/orders", post(accept_order))
            .route("/v1/report", get(report))
            .route("/standin/faults", post(set_faults))
            .route("/standin/ledger", get(ledger))
            .layer(axum::extract::DefaultBodyLimit::max(hollyspoke_wire::http::MAX_BODY_BYTES))
            .with_state(self.clone())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the record so far.
    pub fn ledger(&self) -> Ledger {
        let mut inner = self.lock();
        inner.expire();
        let mut ledger = inner.ledger.clone();
        ledger.used_tokens = inner.used();
        ledger.streams = inner.held.keys().cloned().collect();
        ledger.idle_ms = inner.last_work.map(|it| it.elapsed().as_millis() as u64);
        ledger
    }

    /// Locks the state. A poisoned lock is usable, since each change is complete by itself.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current faults.
    fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Multiplies a duration by the current slowness.
    fn apply_slowness(&self, time: Duration) -> Duration {
        time * self.faults().slow.max(1)
    }
}

/// Prefills a prompt.
async fn prefill(
    State(engine): State<Engine>,
    Json(request): Json<Prefill>,
) -> Result<Json<Prefilled>, Response> {
    let faults = engine.faults();
    if faults.fail_prefill {
        return Err(StatusCode::INTERNAL_SERVER_ERROR.into_response());
    }
    let tokens = u64::from(request.prompt_tokens);
    {
        let mut inner = engine.lock();
        inner.expire();
        inner.ledger.prefills += 1;
        inner.last_work = Some(Instant::now());
        let held = StreamMemory { prompt: request.prompt, tokens, expires: None };
        inner.held.insert(request.stream.clone(), held);
    }
    let Ok(permit) = engine.prefill_permits.acquire().await else {
        return Err(StatusCode::INTERNAL_SERVER_ERROR.into_response());
    };
    if faults.stall_prefill {
        std::future::pending::<()>().await;
    }
    let time = Duration::from_secs_f64(tokens as f64 / engine.settings.prefill_rate as f64);
    tokio::time::sleep(engine.apply_slowness(time)).await;
    drop(permit);
    let mut inner = engine.lock();
    inner.ledger.prefill_tokens += tokens;
    let Some(held) = inner.held.get_mut(&request.stream) else {
        return Err(StatusCode::GONE.into_response());
    };
    held.expires = Some(Instant::now() + engine.settings.result_ttl);
    Ok(Json(Prefilled { cached_tokens: 0 }))
}

/// A prefill result that is sent to another engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Exported {
    /// The prompt; a real engine sends its KV cache.
    prompt: String,
}

/// Hands a prefill result to another engine and frees its memory.
async fn export(
    State(engine): State<Engine>,
    Json(request): Json<Cancel>,
) -> Result<Json<Exported>, Response> {
    let mut inner = engine.lock();
    inner.expire();
    let ready = inner.held.get(&request.stream).is_some_and(|it| it.expires.is_some());
    if !ready {
        return Err(StatusCode::GONE.into_response());
    }
    let held = inner.held.remove(&request.stream);
    held.map(|it| Json(Exported { prompt: it.prompt })).ok_or(StatusCode::GONE.into_response())
}

/// Imports a prefill result from another engine.
async fn import(
    State(engine): State<Engine>,
    Json(request): Json<Import>,
) -> Result<Json<Empty>, Response> {
    {
        let mut inner = engine.lock();
        inner.expire();
        inner.last_work = Some(Instant::now());
        let tokens = u64::from(request.tokens);
        if inner.used() + tokens > engine.settings.memory_tokens {
            return Err(StatusCode::CONFLICT.into_response());
        }
        let held = StreamMemory { prompt: String::new(), tokens, expires: None };
        inner.held.insert(request.stream.clone(), held);
    }
    if engine.faults().stall_import {
        std::future::pending::<()>().await;
    }
    let url = format!("http://{}/v1/export", request.from);
    let export = Cancel { stream: request.stream.clone() };
    let exported = engine.client.post::<Exported>(&url, &export).await;
    let mut inner = engine.lock();
    let Ok(exported) = exported else {
        inner.held.remove(&request.stream);
        return Err(StatusCode::BAD_GATEWAY.into_response());
    };
    let Some(held) = inner.held.get_mut(&request.stream) else {
        return Err(StatusCode::GONE.into_response());
    };
    held.prompt = exported.prompt;
    Ok(Json(Empty {}))
}

/// A stream that is being decoded.
struct Generation {
    /// The engine.
    engine: Engine,
    /// The stream's name.
    stream: String,
    /// The text of the prompt.
    prompt: String,
    /// The sequence number of the next token.
    seq: u32,
    /// The answer's length, in tokens.
    length: u32,
    /// The finish reason.
    reason: &'static str,
    /// The number of tokens sent in this call.
    sent_count: u32,
    /// Whether the last line was sent.
    is_ended: bool,
}

impl Generation {
    /// Returns the next line, none after the last, or an error when the stream fails.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.is_ended {
            return None;
        }
        let faults = self.engine.faults();
        if faults.break_after.is_some_and(|it| self.sent_count >= it) {
            return Some(Err(std::io::Error::other("the engine broke the stream off")));
        }
        if faults.stall_after.is_some_and(|it| self.sent_count >= it) {
            std::future::pending::<()>().await;
        }
        if self.seq >= self.length {
            self.is_ended = true;
            let mut inner = self.engine.lock();
            inner.held.remove(&self.stream);
            inner.ledger.finished += 1;
            return Some(Ok(line(&Line::Finished { finished: self.reason.to_owned() })));
        }
        tokio::time::sleep(self.engine.apply_slowness(self.engine.settings.token_time)).await;
        if !self.engine.lock().held.contains_key(&self.stream) {
            // It was cancelled.
            return Some(Err(std::io::Error::other("the stream was cancelled")));
        }
        let text = answer::token(&self.prompt, self.seq);
        let token = line(&Line::Token { seq: self.seq, text });
        self.seq += 1;
        self.sent_count += 1;
        Some(Ok(token))
    }
}

/// Formats a line as JSON with a line feed.
fn line(line: &Line) -> Bytes {
    let mut bytes = serde_json::to_vec(line).unwrap_or_default();
    bytes.push(b'\n');
    Bytes::from(bytes)
}

/// Decodes a stream from the requested token on.
async fn decode(State(engine): State<Engine>, Json(request): Json<Decode>) -> Response {
    let prompt = {
        let mut inner = engine.lock();
        let Some(held) = inner.held.get(&request.stream) else {
            return StatusCode::GONE.into_response();
        };
        let prompt = held.prompt.clone();
        inner.ledger.decodes += 1;
        *inner.ledger.decodes_of.entry(prompt.clone()).or_default() += 1;
        prompt
    };
    let (length, reason) = answer::length(&prompt, request.max_tokens);
    let generation = Generation {
        engine,
        stream: request.stream,
        prompt,
        seq: request.from_seq,
        length,
        reason,
        sent_count: 0,
        is_ended: false,
    };
    let lines = stream::unfold(generation, |mut generation| async move {
        let line = generation.next().await?;
        Some((line, generation))
    });
    Body::from_stream(lines).into_response()
}

/// Frees the memory of a stream.
async fn cancel(State(engine): State<Engine>, Json(request): Json<Cancel>) -> Json<Empty> {
    let mut inner = engine.lock();
    if inner.held.remove(&request.stream).is_some() {
        inner.ledger.cancelled += 1;
    }
    Json(Empty {})
}

/// Returns the engine's load report.
async fn report(State(engine): State<Engine>) -> Json<Load> {
    let ledger = engine.ledger();
    let leaving = engine.faults().leaving;
    let role = engine.settings.orders.map(|_| engine.lock().role.unwrap_or(Role::Both));
    let (used_tokens, streams, loaded) = (ledger.used_tokens, ledger.streams, ledger.loaded);
    Json(Load { used_tokens, streams, leaving, role, loaded })
}

/// Executes an order, or rejects it if its fencing token is older than the newest one.
async fn accept_order(
    State(engine): State<Engine>,
    Json(order): Json<FencedOrder>,
) -> Result<Json<Empty>, Response> {
    let Some(checks) = engine.settings.orders else {
        return Err(StatusCode::NOT_FOUND.into_response());
    };
    let mut inner = engine.lock();
    let highest = inner.ledger.orders.iter().copied().max().unwrap_or(0);
    if checks && order.token < highest {
        inner.ledger.orders_refused.push(order.token);
        return Err(StatusCode::PRECONDITION_FAILED.into_response());
    }
    inner.ledger.orders.push(order.token);
    inner.ledger.loaded = order.load;
    inner.role = Some(order.role);
    Ok(Json(Empty {}))
}

/// Handles a request to replace the injected faults.
async fn set_faults(State(engine): State<Engine>, Json(faults): Json<Faults>) -> Json<Empty> {
    engine.set_faults(faults);
    Json(Empty {})
}

/// Handles a request for the record.
async fn ledger(State(engine): State<Engine>) -> Json<Ledger> {
    Json(engine.ledger())
}
