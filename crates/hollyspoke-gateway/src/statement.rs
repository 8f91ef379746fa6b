//! What an engine reports about itself, in the answer to any call or query.

use crate::back_off;
use crate::rate_limit;

/// The load that an engine reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// Current duration of work, in percent of the usual one; 100 if it is not reported.
    pub pace: u32,
}

/// What one answer reports about its engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// The engine's load, if it is reported.
    pub load: Option<ReportedLoad>,
    /// The engine's rate limit.
    pub limit: rate_limit::Reported,
    /// Whether the engine is shutting down.
    pub is_leaving: bool,
    /// How long the box that sent the request is to back off.
    pub back_off: back_off::Reported,
    /// Start time of the reporting incarnation, in milliseconds of Unix time, if it is reported.
    pub born: Option<u64>,
}
