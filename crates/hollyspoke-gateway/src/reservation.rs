//! Reservations of an engine's memory and of one of its slots, made before a prompt is prefilled at
//! another engine. An engine that is full then refuses the reservation, and no prompt is prefilled
//! in vain.

use std::sync::Arc;
use std::time::Duration;

use crate::engine::Engine;
use crate::request::RequestKey;

/// A request to an engine to reserve memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The request that the memory is for.
    pub request: RequestKey,
    /// The number of the ask, unique within an incarnation of the process.
    pub number: u64,
    /// The engine.
    pub engine: Arc<Engine>,
    /// The memory to reserve, in tokens.
    pub tokens: u64,
    /// The time after which the engine drops an unused reservation.
    pub ttl: Duration,
}

/// A reservation that an engine has made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The engine.
    pub engine: Arc<Engine>,
    /// The engine's name for the reservation.
    pub id: Arc<str>,
}

/// An engine's answer to an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The engine has made the reservation with this id.
    Granted(Arc<str>),
    /// The engine has no free memory or no free slot.
    Full,
    /// The engine doesn't support reservations.
    Unsupported,
    /// Another incarnation has the engine's address.
    Replaced,
    /// The connection could not be opened; no reservation was made.
    NotConnected,
    /// No answer arrived. The reservation may exist until its TTL ends.
    Unknown,
}
