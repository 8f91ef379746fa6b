//! A stand-in for the platform: objects with versions, conditional writes, watches, a list of
//! boxes, and faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use hollyspoke::event::Listed;
use hollyspoke_wire::engine::Empty;
use hollyspoke_wire::platform::{Object, Put, Written};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// How long a lost answer stays away before its connection is closed.
const LOST_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// What goes wrong at the platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is refused.
    pub down: bool,
    /// Every call is answered so much later, in milliseconds.
    pub delay_ms: u64,
    /// Writes take effect, but their answers are lost.
    pub lose_answers: bool,
    /// Writes give no answer and take effect so much later, in milliseconds.
    pub late_ms: u64,
}

/// What was asked of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Reads.
    pub reads: u64,
    /// Writes, taken or not.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Writes that took effect, by `<kind>/<name>`.
    pub taken: BTreeMap<String, u64>,
}

/// The platform's state.
#[derive(Debug, Default)]
struct Inner {
    /// The objects.
    objects: BTreeMap<(String, String), Object>,
    /// The last version given.
    version: u64,
    /// The list of boxes.
    boxes: Vec<Listed>,
    /// What goes wrong.
    faults: Faults,
    /// What was asked.
    ledger: Ledger,
}

/// A handle on the platform's state.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The state.
    inner: Arc<Mutex<Inner>>,
    /// Advances with each write.
    changed: Arc<watch::Sender<u64>>,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform { inner: Arc::default(), changed: Arc::new(watch::Sender::new(0)) }
    }
}

impl Platform {
    /// Makes the platform's routes.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/v1/objects/{kind}/{name}", get(read).put(write))
            .route("/v1/watch/{kind}/{name}", get(watch_object))
            .route("/v1/boxes", get(boxes))
            .route("/standin/boxes", post(set_boxes))
            .route("/standin/faults", post(set_faults))
            .route("/standin/ledger", get(ledger))
            .with_state(self.clone())
    }

    /// Sets what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Gives what was asked so far.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Locks the state; a panic elsewhere leaves it usable, since each change is whole.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object if its version is the one expected.
    fn put(&self, kind: String, name: String, put: Put) -> Option<Written> {
        let mut inner = self.lock();
        let found = inner.objects.get(&(kind.clone(), name.clone())).map_or(0, |it| it.version);
        if found != put.expected || put.value.len() > MAX_VALUE_BYTES {
            return None;
        }
        inner.version += 1;
        let version = inner.version;
        *inner.ledger.taken.entry(format!("{kind}/{name}")).or_default() += 1;
        inner.objects.insert((kind, name), Object { version, value: put.value });
        drop(inner);
        self.changed.send_replace(version);
        Some(Written { version })
    }

    /// Reads an object.
    fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.lock().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Does what the faults say before any answer.
    async fn apply_faults(&self) -> Result<Faults, Response> {
        let faults = self.lock().faults.clone();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        Ok(faults)
    }
}

/// Reads an object.
async fn read(
    State(platform): State<Platform>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<Object>, Response> {
    platform.lock().ledger.reads += 1;
    platform.apply_faults().await?;
    platform.get(&kind, &name).map(Json).ok_or(StatusCode::NOT_FOUND.into_response())
}

/// Writes an object.
async fn write(
    State(platform): State<Platform>,
    Path((kind, name)): Path<(String, String)>,
    Json(put): Json<Put>,
) -> Result<Json<Written>, Response> {
    platform.lock().ledger.writes += 1;
    let faults = platform.apply_faults().await?;
    if faults.late_ms > 0 {
        let late = platform.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
            late.put(kind, name, put);
        });
        tokio::time::sleep(LOST_ANSWER_TIMEOUT).await;
        return Err(StatusCode::GATEWAY_TIMEOUT.into_response());
    }
    let written = platform.put(kind, name, put);
    if faults.lose_answers {
        tokio::time::sleep(LOST_ANSWER_TIMEOUT).await;
        return Err(StatusCode::GATEWAY_TIMEOUT.into_response());
    }
    written.map(Json).ok_or(StatusCode::CONFLICT.into_response())
}

/// What a watch waits for.
#[derive(Debug, Deserialize)]
struct Wait {
    /// The version already known.
    after: u64,
    /// How long to wait, in milliseconds.
    wait_ms: u64,
}

/// Waits until an object has a version above the one known.
async fn watch_object(
    State(platform): State<Platform>,
    Path((kind, name)): Path<(String, String)>,
    Query(wait): Query<Wait>,
) -> Result<Json<Object>, Response> {
    platform.lock().ledger.watches += 1;
    let mut changed = platform.changed.subscribe();
    let limit = tokio::time::sleep(Duration::from_millis(wait.wait_ms));
    tokio::pin!(limit);
    loop {
        platform.apply_faults().await?;
        if let Some(object) = platform.get(&kind, &name).filter(|it| it.version > wait.after) {
            return Ok(Json(object));
        }
        tokio::select! {
            () = &mut limit => return Err(StatusCode::NOT_FOUND.into_response()),
            _ = changed.changed() => {}
            // An outage that begins while the watch waits ends the watch.
            () = tokio::time::sleep(Duration::from_millis(100)) => {}
        }
    }
}

/// Gives the list of boxes.
async fn boxes(State(platform): State<Platform>) -> Result<Json<Vec<Listed>>, Response> {
    platform.lock().ledger.reads += 1;
    platform.apply_faults().await?;
    let boxes = platform.lock().boxes.clone();
    Ok(Json(boxes))
}

/// Sets the list of boxes.
async fn set_boxes(
    State(platform): State<Platform>,
    Json(boxes): Json<Vec<Listed>>,
) -> Json<Empty> {
    platform.lock().boxes = boxes;
    Json(Empty {})
}

/// Sets what goes wrong.
async fn set_faults(State(platform): State<Platform>, Json(faults): Json<Faults>) -> Json<Empty> {
    platform.set_faults(faults);
    Json(Empty {})
}

/// Gives what was asked so far.
async fn ledger(State(platform): State<Platform>) -> Json<Ledger> {
    Json(platform.ledger())
}
