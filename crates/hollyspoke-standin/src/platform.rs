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

/// The largest value of an object.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The delay of a lost answer, after which its request fails.
const LOST_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// The faults to inject.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is rejected.
    pub down: bool,
    /// The delay of every answer, in milliseconds.
    pub delay_ms: u64,
    /// Writes take effect, but their answers are lost.
    pub lose_answers: bool,
    /// The delay before a write takes effect, in milliseconds; a delayed write is not answered.
    pub late_ms: u64,
}

/// The record of calls to the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The number of reads.
    pub reads: u64,
    /// The number of writes, including failed ones.
    pub writes: u64,
    /// The number of watches.
    pub watches: u64,
    /// The number of writes that took effect, by `<kind>/<name>`.
    pub taken: BTreeMap<String, u64>,
}

/// The platform's state.
#[derive(Debug, Default)]
struct Inner {
    /// The objects, by kind and name.
    objects: BTreeMap<(String, String), Object>,
    /// The version of the last write.
    version: u64,
    /// The list of boxes.
    boxes: Vec<Listed>,
    /// The injected faults.
    faults: Faults,
    /// The record so far.
    ledger: Ledger,
}

/// A handle to the platform; clones share the state.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The shared state.
    inner: Arc<Mutex<Inner>>,
    /// Publishes the version of the last write to watches.
    changed: Arc<watch::Sender<u64>>,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform { inner: Arc::default(), changed: Arc::new(watch::Sender::new(0)) }
    }
}

impl Platform {
    /// Returns the platform's router.
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

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the record so far.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Locks the state. A poisoned lock is usable, since each change is complete by itself.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object if its version is the expected one and the value is not too large.
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

    /// Returns an object, if it exists.
    fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.lock().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Applies the delay and the outage, and returns the faults.
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

/// Handles a read of an object.
async fn read(
    State(platform): State<Platform>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<Object>, Response> {
    platform.lock().ledger.reads += 1;
    platform.apply_faults().await?;
    platform.get(&kind, &name).map(Json).ok_or(StatusCode::NOT_FOUND.into_response())
}

/// Handles a conditional write of an object.
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

/// The parameters of a watch.
#[derive(Debug, Deserialize)]
struct WatchParameters {
    /// The version that the caller has.
    after: u64,
    /// The time limit, in milliseconds.
    wait_ms: u64,
}

/// Waits until an object has a newer version than the caller's.
async fn watch_object(
    State(platform): State<Platform>,
    Path((kind, name)): Path<(String, String)>,
    Query(parameters): Query<WatchParameters>,
) -> Result<Json<Object>, Response> {
    platform.lock().ledger.watches += 1;
    let mut changed = platform.changed.subscribe();
    let limit = tokio::time::sleep(Duration::from_millis(parameters.wait_ms));
    tokio::pin!(limit);
    loop {
        platform.apply_faults().await?;
        if let Some(object) = platform.get(&kind, &name).filter(|it| it.version > parameters.after)
        {
            return Ok(Json(object));
        }
        tokio::select! {
            () = &mut limit => return Err(StatusCode::NOT_FOUND.into_response()),
            _ = changed.changed() => {}
            // The faults are checked regularly, so that an outage ends a waiting watch.
            () = tokio::time::sleep(Duration::from_millis(100)) => {}
        }
    }
}

/// Handles a read of the list of boxes.
async fn boxes(State(platform): State<Platform>) -> Result<Json<Vec<Listed>>, Response> {
    platform.lock().ledger.reads += 1;
    platform.apply_faults().await?;
    let boxes = platform.lock().boxes.clone();
    Ok(Json(boxes))
}

/// Handles a request to replace the list of boxes.
async fn set_boxes(
    State(platform): State<Platform>,
    Json(boxes): Json<Vec<Listed>>,
) -> Json<Empty> {
    platform.lock().boxes = boxes;
    Json(Empty {})
}

/// Handles a request to replace the injected faults.
async fn set_faults(State(platform): State<Platform>, Json(faults): Json<Faults>) -> Json<Empty> {
    platform.set_faults(faults);
    Json(Empty {})
}

/// Handles a request for the record.
async fn ledger(State(platform): State<Platform>) -> Json<Ledger> {
    Json(platform.ledger())
}
