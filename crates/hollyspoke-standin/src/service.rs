//! A stand-in for a plain service's upstream: it counts how often each request ran, by its body.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use hollyspoke_wire::caller;
use hollyspoke_wire::engine::Empty;
use serde::{Deserialize, Serialize};

/// The largest size of a body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The faults to inject.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// The delay of every answer after the call has run, in milliseconds.
    pub delay_ms: u64,
    /// Calls run, but are never answered.
    pub lose_answers: bool,
    /// Calls fail with an error and don't run.
    pub fail: bool,
}

/// The record of what happened at the service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The number of runs of each request, by its body.
    pub runs: BTreeMap<String, u64>,
    /// The time since the last call arrived, in milliseconds; none before the first.
    pub idle_ms: Option<u64>,
}

/// The answer to a call: what was received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The request's key; empty if it has none.
    pub key: String,
    /// The body.
    pub body: String,
    /// The number of runs with this body, including this one.
    pub run: u64,
}

/// The service's state.
#[derive(Debug, Default)]
struct Inner {
    /// The injected faults.
    faults: Faults,
    /// The record so far.
    ledger: Ledger,
    /// The arrival time of the last call.
    last_call: Option<tokio::time::Instant>,
}

/// A handle to a service; clones share the state.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// The shared state.
    inner: Arc<Mutex<Inner>>,
}

impl Service {
    /// Returns the service's router; other paths are calls.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/standin/faults", post(set_faults))
            .route("/standin/ledger", get(ledger))
            .fallback(run)
            .with_state(self.clone())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the record so far.
    pub fn ledger(&self) -> Ledger {
        let inner = self.lock();
        let idle_ms = inner.last_call.map(|it| it.elapsed().as_millis() as u64);
        Ledger { idle_ms, ..inner.ledger.clone() }
    }

    /// Locks the state. A poisoned lock is usable, since each change is complete by itself.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles a call: counts it and returns what was received.
async fn run(State(service): State<Service>, request: Request) -> Response {
    let method = request.method().to_string();
    let path = request.uri().to_string();
    let key = request.headers().get(caller::KEY).and_then(|it| it.to_str().ok());
    let key = key.unwrap_or_default().to_owned();
    let Ok(body) = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    let (faults, run) = {
        let mut inner = service.lock();
        inner.last_call = Some(tokio::time::Instant::now());
        let faults = inner.faults.clone();
        if faults.fail {
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        }
        let run = inner.ledger.runs.entry(body.clone()).or_default();
        *run += 1;
        (faults, *run)
    };
    if faults.lose_answers {
        std::future::pending::<()>().await;
    }
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    Json(CallRecord { method, path, key, body, run }).into_response()
}

/// Handles a request to replace the injected faults.
async fn set_faults(State(service): State<Service>, Json(faults): Json<Faults>) -> Json<Empty> {
    service.set_faults(faults);
    Json(Empty {})
}

/// Handles a request for the record.
async fn ledger(State(service): State<Service>) -> Json<Ledger> {
    Json(service.ledger())
}
