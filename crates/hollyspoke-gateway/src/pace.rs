//! The speed of engines as their answers show it, relative to the other engines of their service.

use crate::engine::EngineKey;

/// A box's announcement of an engine's pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The engine.
    pub engine: EngineKey,
    /// The start time of the engine's incarnation, in milliseconds of Unix time.
    pub started_at: Option<u64>,
    /// The time that work takes, in percent of the service's usual.
    pub percent: u16,
    /// The age of the measurement, in milliseconds.
    pub age_ms: u32,
}
