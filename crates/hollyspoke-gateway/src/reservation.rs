//! Reservations of an engine's memory and of one of its slots, made before a prompt is prefilled at
//! another engine. An engine that is full then refuses the reservation, and no prompt is prefilled
//! that can't be decoded.
//!
//! A reservation is dropped when the prefill is sent, since the other boxes know of the memory by
//! then. While a reservation stands unused, the streams that run at the engine can't grow into its
//! memory and are preempted.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::Engine;
use crate::request::RequestKey;

/// The share of an engine's memory from which on it is short. Two boxes that choose the same engine
/// within the time of a datagram each add about a tenth.
const SHORT_SHARE: f64 = 0.8;

/// The time after a rejection in which an engine's memory counts as short. Runs hold their memory
/// for some seconds.
const REJECTION_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of engines that one request asks. Each ask takes a round trip of the time in
/// which a request may wait for capacity.
pub const MAX_ASK_COUNT: u32 = 4;

/// The number of asks without an answer after which a request does without a reservation. Silence
/// doesn't show that memory is short, and an engine that is silent may go on at any time.
const MAX_UNANSWERED_COUNT: u32 = 2;

/// The time for which a request waits for the answer to an ask. Engines answer at once. An answer
/// that comes later still shows what there is to drop.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The TTL of a reservation if engines allow it. A request that waits for a permit to use a prefill
/// engine keeps its reservation for less.
const TTL: Duration = Duration::from_millis(500);

/// The end of the TTL in which a reservation isn't used any more, since it could expire while the
/// call is on its way.
const EXPIRY_MARGIN: Duration = Duration::from_millis(30);

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
    /// This box lacked a descriptor, a port or memory for a connection; no reservation was made.
    Exhausted,
    /// No answer arrived. The reservation may exist until its TTL ends.
    Unknown,
}

/// What a box knows about the memory of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Memory {
    /// The tokens that fit.
    pub capacity: u64,
    /// The tokens in use and reserved, as far as this box knows.
    pub held: u64,
    /// The tokens that the next request needs.
    pub needed: u64,
    /// Whether another box has just freed memory, for which many boxes may compete.
    pub is_contested: bool,
    /// The time since the engine last rejected a request.
    pub since_rejection: Option<Duration>,
    /// The share of the boxes that this one hears, itself included. The others use the engine
    /// without this box knowing.
    pub heard_share: f64,
}

impl Memory {
    /// Returns whether the memory is short, so that the engine may reject the request.
    pub fn is_short(&self) -> bool {
        let known_limit = self.capacity as f64 * SHORT_SHARE * self.heard_share;
        let has_rejected = self.since_rejection.is_some_and(|it| it < REJECTION_INTERVAL);
        has_rejected || self.is_contested || (self.held + self.needed) as f64 > known_limit
    }
}

/// Returns the TTL to ask for at engines that make reservations for at most `max`.
pub fn ttl(max: Duration) -> Duration {
    TTL.min(max)
}

/// A reservation that a request may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The reservation.
    pub reservation: Reservation,
    /// The reserved tokens.
    pub tokens: u64,
    /// When the ask was sent, at the earliest when the engine made the reservation.
    pub asked_at: Time,
    /// When the engine's answer arrived, at the latest when it made the reservation.
    pub granted_at: Time,
    /// The time after which the engine drops an unused reservation.
    pub ttl: Duration,
}

impl Grant {
    /// Returns whether a call that is sent now can use the reservation.
    pub fn is_usable(&self, now: Time) -> bool {
        now + EXPIRY_MARGIN < self.asked_at + self.ttl
    }

    /// Returns whether the engine may still have the reservation.
    pub fn may_exist(&self, now: Time) -> bool {
        now < self.granted_at + self.ttl
    }

    /// Returns the longest time for which the memory can have been reserved up to now.
    pub fn duration(&self, now: Time) -> Duration {
        now.since(self.asked_at).min(self.ttl)
    }
}

/// An ask whose answer a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pending {
    /// The number of the ask.
    pub number: u64,
    /// The time until which the request waits.
    pub until: Time,
}

/// The progress of one request's reservation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// The ask whose answer is awaited.
    pub pending: Option<Pending>,
    /// The unused reservation.
    pub grant: Option<Grant>,
    /// The number of asks that failed.
    pub failed_count: u32,
    /// The number of those that were not answered.
    pub unanswered_count: u32,
}

impl Progress {
    /// Returns whether the request may ask another engine.
    pub fn may_ask(&self) -> bool {
        self.pending.is_none() && self.failed_count < MAX_ASK_COUNT
    }

    /// Returns whether the engines asked so far are silent.
    pub fn meets_silence(&self) -> bool {
        self.unanswered_count >= MAX_UNANSWERED_COUNT
    }

    /// Returns whether the request waits for the answer to the ask of a number.
    pub fn awaits(&self, number: u64) -> bool {
        self.pending.is_some_and(|it| it.number == number)
    }
}

impl Answer {
    /// Returns the answer's name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Granted(_) => "granted",
            Answer::Full => "full",
            Answer::Unsupported => "unsupported",
            Answer::Replaced => "replaced",
            Answer::NotConnected => "not reached",
            Answer::Exhausted => "box exhausted",
            Answer::Unknown => "unknown",
        }
    }
}
