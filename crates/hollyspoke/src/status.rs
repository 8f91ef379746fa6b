//! What a box says of itself to operators.

use serde::{Deserialize, Serialize};

/// A box's state at one moment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The box's name.
    pub name: String,
    /// Its incarnation, in hexadecimal.
    pub incarnation: String,
    /// Its epoch.
    pub epoch: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Why it takes nothing new, where that is so.
    pub closed: Option<String>,
    /// The site in force.
    pub site: String,
    /// The version of the configuration in force, zero for none.
    pub site_version: u64,
    /// Whether the platform's store answered the last time it was asked.
    pub store_reachable: bool,
    /// The boxes that it knows.
    pub boxes: Vec<BoxStatus>,
    /// The shards that it owns.
    pub pools: Vec<PoolStatus>,
    /// The plain upstreams, as seen from here.
    pub upstreams: Vec<UpstreamStatus>,
    /// Requests in progress here.
    pub requests: usize,
    /// Keys kept here.
    pub keys: usize,
}

/// A box as another sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Its name.
    pub name: String,
    /// Its address for callers.
    pub address: String,
    /// Its incarnation, in hexadecimal.
    pub incarnation: String,
    /// `live`, `leaving`, or `left`.
    pub state: String,
}

/// A shard as its owner sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The service.
    pub service: String,
    /// The part, from zero.
    pub part: u16,
    /// Grants held.
    pub granted: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// The engines.
    pub engines: Vec<EngineStatus>,
}

/// An engine as its shard's owner sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Its name.
    pub name: String,
    /// `live`, `leaving`, `out` or `silent`.
    pub state: String,
    /// Decode memory granted, in tokens.
    pub reserved_tokens: u64,
    /// Memory in use by its last report, in tokens.
    pub reported_tokens: Option<u64>,
    /// All its memory, in tokens.
    pub memory_tokens: u64,
    /// How much slower than described it computes prompts.
    pub slowness: f64,
}

/// A plain upstream as a front sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: String,
    /// `live`, `leaving` or `out`.
    pub state: String,
    /// This box's calls outstanding there.
    pub outstanding: usize,
}
