//! What is due in the world, in the order of time.

use std::cmp::Ordering;

use hollyspoke::event::Event;
use hollyspoke::key::Ticket;
use hollyspoke::site::UpstreamId;
use hollyspoke::store as objects;
use hollyspoke::time::Time;

use crate::engine::Reservation;
use crate::world::Action;

/// Something that is due.
#[derive(Debug, Clone)]
pub(super) enum Due {
    /// A box's tick.
    Tick(usize, u64),
    /// An event for a box's life.
    Event(usize, u64, Box<Event>),
    /// An engine may have computed a prompt.
    Prefilled(UpstreamId),
    /// A transfer has ended.
    Transferred(Transfer),
    /// A token is due.
    Token(Stream),
    /// A cancel reaches an engine.
    Cancelled(UpstreamId, Ticket),
    /// A call reaches a plain service.
    ServiceCall(usize, u64, Ticket, u64),
    /// A lost write takes effect.
    Late(objects::Operation),
    /// Something from outside.
    Action(Box<Action>),
}

/// A transfer under way.
#[derive(Debug, Clone)]
pub(super) struct Transfer {
    /// The box that asked for it.
    pub(super) front: (usize, u64),
    /// The attempt.
    pub(super) ticket: Ticket,
    /// The decode engine.
    pub(super) to: UpstreamId,
    /// What crosses.
    pub(super) held: Reservation,
}

/// A stream under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stream {
    /// The box that reads it.
    pub(super) front: (usize, u64),
    /// The attempt.
    pub(super) ticket: Ticket,
    /// The engine.
    pub(super) engine: UpstreamId,
    /// The place of the token due.
    pub(super) seq: u32,
}

/// An entry of the queue of what is due.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// When.
    pub(super) at: Time,
    /// The order among those at one time.
    pub(super) order: u64,
    /// What.
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
        // The heap gives the greatest first: the earliest is the greatest.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
