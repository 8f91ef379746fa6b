//! An engine, as the platform lists it. An engine that restarts under the same id is a new
//! incarnation.
//!
//! The incarnation that started later is the newer one, whichever entry was written last: a write
//! of the earlier one may take effect late.

use std::net::SocketAddr;
use std::sync::Arc;

use hollyspoke::store::Revision;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::version::SoftwareVersion;

/// A hash of an engine's id, which is the same on all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineKey(pub u64);

impl EngineKey {
    /// Computes the key of an id.
    pub fn of(id: &str) -> EngineKey {
        EngineKey(xxh3_64(id.as_bytes()))
    }
}

/// The part of a request that an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Prefills prompts for other engines.
    Prefill,
    /// Decodes answers. It can prefill prompts itself, but more slowly.
    Decode,
}

/// One incarnation of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The key computed from the id.
    pub key: EngineKey,
    /// The id. After a restart the engine has the same id or another one.
    pub id: Arc<str>,
    /// The start time of this incarnation in milliseconds of Unix time, if known.
    pub started_at: Option<u64>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its stage, for services with stages.
    pub stage: Option<Stage>,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub is_draining: bool,
    /// The remaining time for which it is cold after its start, in milliseconds, as of the write of
    /// its entry.
    pub cold_left_ms: u32,
    /// The version of its software; none if a box passed the entry on without it.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

/// A change of the list of engines, with the store's revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineChange {
    /// An engine was added or changed.
    Put(Engine, Revision),
    /// The engine with this id was removed.
    Left(Arc<str>, Revision),
}

impl Engine {
    /// Returns whether an entry belongs to the same incarnation of the same engine, as far as the
    /// start times are known.
    pub fn is_same_incarnation(&self, other: &Engine) -> bool {
        self.key == other.key && self.started_at == other.started_at
    }

    /// Returns whether an engine is known to have the same version of its software.
    pub fn has_same_version(&self, other: &Engine) -> bool {
        self.version.is_some() && self.version == other.version
    }

    /// Returns whether an entry belongs to a later incarnation of the engine.
    pub fn is_superseded_by(&self, newer: &Engine) -> bool {
        matches!((self.started_at, newer.started_at), (Some(own), Some(newer)) if own < newer)
    }
}

impl EngineChange {
    /// Returns the store's revision at which the change was made.
    pub fn revision(&self) -> Revision {
        match self {
            EngineChange::Put(_, revision) | EngineChange::Left(_, revision) => *revision,
        }
    }

    /// Returns the same change with its revision in another era.
    #[must_use]
    pub fn in_era(self, era: u64) -> EngineChange {
        match self {
            EngineChange::Put(engine, revision) => EngineChange::Put(engine, revision.in_era(era)),
            EngineChange::Left(id, revision) => EngineChange::Left(id, revision.in_era(era)),
        }
    }
}
