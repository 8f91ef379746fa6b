//! An engine, as the platform lists it. One that starts again under its id begins a new life.
//!
//! Of two lives the one that began later is the newer, whichever entry was written last: a write of
//! the earlier one may take effect late.

use std::net::SocketAddr;
use std::sync::Arc;

use hollyspoke::store::Revision;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The short name of an incarnation: a hash of its id, the same on all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineKey(pub u64);

impl EngineKey {
    /// Makes the key of an id.
    pub fn of(id: &str) -> EngineKey {
        EngineKey(xxh3_64(id.as_bytes()))
    }
}

/// The part of a request that an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// It reads prompts for other engines.
    Prefill,
    /// It generates answers; it can read prompts itself, more slowly.
    Decode,
}

/// One incarnation of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The key made from the id.
    pub key: EngineKey,
    /// The id; another start of the engine has another one, or the same.
    pub id: Arc<str>,
    /// When this life of the engine began, in milliseconds of Unix time, if it tells.
    pub started_at: Option<u64>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its stage, for services with stages.
    pub stage: Option<Stage>,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it is about to leave and takes nothing new.
    pub is_draining: bool,
    /// How much longer it is cold after its start, in milliseconds, when it wrote its entry.
    pub cold_left_ms: u32,
}

/// A change of the list of engines, with the store's revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineChange {
    /// An engine appeared or changed.
    Put(Engine, Revision),
    /// The engine of an id left.
    Left(Arc<str>, Revision),
}

impl Engine {
    /// Tells whether an entry is of the same life of the same engine, as far as both tell.
    pub fn is_same_incarnation(&self, other: &Engine) -> bool {
        self.key == other.key && self.started_at == other.started_at
    }

    /// Tells whether an entry is of a later life of the same engine.
    pub fn is_superseded_by(&self, newer: &Engine) -> bool {
        matches!((self.started_at, newer.started_at), (Some(own), Some(newer)) if own < newer)
    }
}

impl EngineChange {
    /// Gives the revision.
    pub fn revision(&self) -> Revision {
        match self {
            EngineChange::Put(_, revision) | EngineChange::Left(_, revision) => *revision,
        }
    }

    /// Gives the same change in an era.
    #[must_use]
    pub fn in_era(self, era: u64) -> EngineChange {
        match self {
            EngineChange::Put(engine, revision) => EngineChange::Put(engine, revision.in_era(era)),
            EngineChange::Left(id, revision) => EngineChange::Left(id, revision.in_era(era)),
        }
    }
}
