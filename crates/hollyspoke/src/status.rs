//! The status that a box reports to operators.

use serde::{Deserialize, Serialize};

/// The status of a box.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The box's name.
    pub name: String,
    /// The box's incarnation, in hexadecimal.
    pub incarnation: String,
    /// The box's current epoch of keys.
    pub epoch: u32,
    /// Whether the box is shutting down.
    pub leaving: bool,
    /// Why the box accepts no new requests, if it does not.
    pub closed: Option<String>,
    /// The name of the site in force.
    pub site: String,
    /// The version of the configuration in force, zero for none.
    pub site_version: u64,
    /// Whether the platform's store answered the last operation.
    pub store_reachable: bool,
    /// The boxes that are alive in this box's view.
    pub boxes: Vec<BoxStatus>,
    /// The shards that the box owns.
    pub pools: Vec<PoolStatus>,
    /// The plain upstreams, in this box's view.
    pub upstreams: Vec<UpstreamStatus>,
    /// The number of requests in progress at this box.
    pub requests: usize,
    /// The number of keys kept at this box.
    pub keys: usize,
}

/// A box in the view of another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The name.
    pub name: String,
    /// The address for callers.
    pub address: String,
    /// The box's incarnation, in hexadecimal.
    pub incarnation: String,
    /// `live`, `leaving`, or `left`.
    pub state: String,
}

/// A shard in the view of its owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The name of the service.
    pub service: String,
    /// The index of the part, from zero.
    pub part: u16,
    /// The number of grants.
    pub granted: usize,
    /// The number of queued requests.
    pub waiting: usize,
    /// The engines of the shard.
    pub engines: Vec<EngineStatus>,
}

/// An engine in the view of its shard's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The name.
    pub name: String,
    /// `live`, `leaving`, `out` or `silent`.
    pub state: String,
    /// The decode memory that is granted, in tokens.
    pub reserved_tokens: u64,
    /// The memory in use according to its last report, in tokens.
    pub reported_tokens: Option<u64>,
    /// The total memory, in tokens.
    pub memory_tokens: u64,
    /// The ratio of the actual to the configured prefill time.
    pub slowness: f64,
}

/// A plain upstream in the view of a box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The name.
    pub name: String,
    /// `live`, `leaving` or `out`.
    pub state: String,
    /// The number of this box's outstanding calls.
    pub outstanding: usize,
}
