//! What an engine says of itself, whichever call or question brought the answer.

use crate::back_off;
use crate::rate_limit;

/// What an engine tells of its load with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual; 100 if it does not tell.
    pub pace: u32,
}

/// What one answer says of its engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// The engine's load, if it tells.
    pub load: Option<ReportedLoad>,
    /// The requests that it takes.
    pub limit: rate_limit::Reported,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// For how long it wants nothing from the box that had asked.
    pub back_off: back_off::Reported,
    /// When the life of the engine began that says so, in milliseconds of Unix time, if it tells.
    pub born: Option<u64>,
}
