//! The event queue of the world, in order of time.

use std::cmp::Ordering;

use hollyspoke::event::Event;
use hollyspoke::key::Ticket;
use hollyspoke::site::UpstreamId;
use hollyspoke::store as objects;
use hollyspoke::time::Time;

use crate::engine::Reservation;
use crate::world::Action;

/// An event of the simulation. Boxes are given by number and generation.
#[derive(Debug, Clone)]
pub(super) enum Due {
    /// A tick of a box.
    Tick(usize, u64),
    /// An event for a box in one generation.
    Event(usize, u64, Box<Event>),
    /// An engine may have finished a prefill.
    Prefilled(UpstreamId),
    /// A transfer of KV cache has ended.
    Transferred(Transfer),
    /// The next token of a stream is due.
    Token(Stream),
    /// A cancel reaches an engine.
    Cancelled(UpstreamId, Ticket),
    /// A call reaches a plain service.
    ServiceCall(usize, u64, Ticket, u64),
    /// A lost write takes effect.
    Late(objects::Operation),
    /// An external action.
    Action(Box<Action>),
}

/// A transfer of KV cache in progress.
#[derive(Debug, Clone)]
pub(super) struct Transfer {
    /// The number and generation of the box that requested it.
    pub(super) front: (usize, u64),
    /// The ticket of the attempt.
    pub(super) ticket: Ticket,
    /// The decode engine.
    pub(super) to: UpstreamId,
    /// The state of the stream that is transferred.
    pub(super) held: Reservation,
}

/// A stream in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stream {
    /// The number and generation of the box that receives it.
    pub(super) front: (usize, u64),
    /// The ticket of the attempt.
    pub(super) ticket: Ticket,
    /// The engine that decodes it.
    pub(super) engine: UpstreamId,
    /// The position of the next token.
    pub(super) seq: u32,
}

/// An entry of the event queue.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// When the event is due.
    pub(super) at: Time,
    /// The order among events at the same time.
    pub(super) order: u64,
    /// The event.
    pub(super) due: Due,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> Ordering {
        // The heap pops the greatest entry, so the earliest one compares as the greatest.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
