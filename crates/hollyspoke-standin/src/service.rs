//! A stand-in for a plain service's upstream: it counts how often each key ran.

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

/// The largest body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// What goes wrong at the service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every answer comes so much later, in milliseconds, after the call has run.
    pub delay_ms: u64,
    /// Calls run, but their answers never come.
    pub lose_answers: bool,
    /// Calls are answered with an error, and don't run.
    pub fail: bool,
}

/// What has happened to the service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// How often each request ran, by its body.
    pub runs: BTreeMap<String, u64>,
    /// Milliseconds since the last call came, if any did.
    pub idle_ms: Option<u64>,
}

/// The answer of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The request's key.
    pub key: String,
    /// The body.
    pub body: String,
    /// How often a request with this body has run, this one included.
    pub run: u64,
}

/// The service's state.
#[derive(Debug, Default)]
struct Inner {
    /// What goes wrong.
    faults: Faults,
    /// What has happened.
    ledger: Ledger,
    /// When the last call came.
    last: Option<tokio::time::Instant>,
}

/// A handle on a service.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// The state.
    inner: Arc<Mutex<Inner>>,
}

impl Service {
    /// Makes the service's routes.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/standin/faults", post(set_faults))
            .route("/standin/ledger", get(ledger))
            .fallback(run)
            .with_state(self.clone())
    }

    /// Sets what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Gives what has happened so far.
    pub fn ledger(&self) -> Ledger {
        let inner = self.lock();
        let idle_ms = inner.last.map(|it| it.elapsed().as_millis() as u64);
        Ledger { idle_ms, ..inner.ledger.clone() }
    }

    /// Locks the state; a panic elsewhere leaves it usable, since each change is whole.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a call.
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
        inner.last = Some(tokio::time::Instant::now());
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

/// Sets what goes wrong.
async fn set_faults(State(service): State<Service>, Json(faults): Json<Faults>) -> Json<Empty> {
    service.set_faults(faults);
    Json(Empty {})
}

/// Gives what has happened so far.
async fn ledger(State(service): State<Service>) -> Json<Ledger> {
    Json(service.ledger())
}
