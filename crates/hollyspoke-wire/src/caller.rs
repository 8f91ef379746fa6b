//! The names that callers and boxes use towards each other over HTTP.

use serde::{Deserialize, Serialize};

/// The header that carries a request's key.
pub const KEY: &str = "hollyspoke-key";

/// The header that marks a request which must not be repeated; its value is `true`.
pub const ONCE: &str = "hollyspoke-once";

/// The header that names the tenant.
pub const TENANT: &str = "hollyspoke-tenant";

/// The header that gives the class, 0 for a person waiting.
pub const CLASS: &str = "hollyspoke-class";

/// The header by which a box marks a request that it passes on.
pub const RELAYED: &str = "hollyspoke-relayed";

/// The header with a caller's own idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// What the stable types of problems begin with.
pub const PROBLEM_BASE: &str = "urn:hollyspoke:problem:";

/// The content type of problems.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// A problem as callers get it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The stable type.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// The type in words.
    pub title: String,
    /// What happened to this request.
    pub detail: String,
    /// Whether the request ran: `no`, `failed`, or `unknown`.
    pub ran: String,
    /// When to come back, in milliseconds, where that makes sense.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}
