//! The times at which refused clients are told to return, so that they don't all return at once.

/// A box's announcement of the load that is due to return to any box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The hash of the service's name.
    pub service: u64,
    /// The priority of the requests, 0 being the highest.
    pub priority: u8,
    /// The time until they return, in milliseconds.
    pub in_ms: u32,
    /// The load: tokens of an engine's memory for services with stages, otherwise slots.
    pub units: u32,
}
