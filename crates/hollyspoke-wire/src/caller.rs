//! The header names and the error format of the HTTP interface between callers and boxes.

use serde::{Deserialize, Serialize};

/// The header that carries a request's key.
pub const KEY: &str = "hollyspoke-key";

/// The header that marks a request which must not be repeated; its value is `true`.
pub const ONCE: &str = "hollyspoke-once";

/// The header that names the tenant.
pub const TENANT: &str = "hollyspoke-tenant";

/// The header with the class of the request; 0 if a person waits for the response.
pub const CLASS: &str = "hollyspoke-class";

/// The header by which a box marks a request that it relays.
pub const RELAYED: &str = "hollyspoke-relayed";

/// The header with a caller's own idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The prefix of the stable problem types.
pub const PROBLEM_BASE: &str = "urn:hollyspoke:problem:";

/// The content type of problem responses.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// A problem as it is sent to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The stable type of the problem, which begins with [`PROBLEM_BASE`].
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// A readable title of the type.
    pub title: String,
    /// What happened to this request.
    pub detail: String,
    /// Whether the request ran: `no`, `failed`, or `unknown`.
    pub ran: String,
    /// When to retry, in milliseconds; absent if a retry is of no use.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}
