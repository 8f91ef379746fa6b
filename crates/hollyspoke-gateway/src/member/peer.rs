//! What is known of one other box.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

use super::address_hash;
use crate::cadence::Cadence;
use crate::message::{DataCentreKey, Demand, Format, Message, Readiness, StoreView};

/// One other box.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    /// The number of its life.
    pub(super) incarnation: u64,
    /// The highest sequence heard in this life.
    pub(super) sequence: u64,
    /// Its number in orders that are the same on all boxes.
    pub(super) address_hash: u64,
    /// Where it listens for clients.
    pub(super) front: SocketAddr,
    /// Its data centre.
    pub(super) data_centre: DataCentreKey,
    /// Whether it takes requests.
    pub(super) readiness: Readiness,
    /// What it knows of the store.
    pub(super) store_view: StoreView,
    /// What clients ask of it, by service.
    pub(super) demand: Vec<(u64, Demand)>,
    /// How often its heartbeats come.
    pub(super) cadence: Cadence,
    /// The silence after which it is taken for dead.
    pub(super) dead_after: Duration,
    /// When it was last heard.
    pub(super) last_received: Time,
    /// Whether its silence was noted.
    pub(super) is_silent: bool,
    /// What it can read of datagrams.
    pub(super) format: Format,
}

impl Peer {
    /// Makes a box that is just heard for the first time.
    pub(super) fn new(message: &Message, cadence: Cadence, own: DataCentreKey) -> Peer {
        Peer {
            incarnation: message.incarnation,
            sequence: 0,
            address_hash: address_hash(&message.sender),
            front: message.front,
            data_centre: message.data_centre,
            readiness: message.readiness,
            store_view: message.store_view,
            demand: Vec::new(),
            cadence,
            dead_after: cadence.dead_after(message.data_centre == own),
            last_received: Time::ZERO,
            is_silent: true,
            format: Format::default(),
        }
    }

    /// Takes what it tells of itself.
    pub(super) fn update(&mut self, message: &Message, own: DataCentreKey, now: Time) {
        if message.is_whole || self.incarnation != message.incarnation {
            self.format = message.format.unwrap_or_default();
        }
        self.format = self.format.max(message.format.unwrap_or_default());
        self.incarnation = message.incarnation;
        self.sequence = message.sequence;
        self.front = message.front;
        self.data_centre = message.data_centre;
        self.readiness = message.readiness;
        self.store_view = message.store_view;
        self.cadence = message.cadence.unwrap_or(self.cadence);
        self.dead_after = self.cadence.dead_after(self.data_centre == own);
        if message.is_whole {
            self.demand.clone_from(&message.demand);
        }
        self.last_received = now;
        self.is_silent = false;
    }

    /// Tells whether it was stopped in order, so that nobody waits for it.
    pub(super) fn has_stopped(&self) -> bool {
        self.is_silent && self.readiness == Readiness::Stopping
    }

    /// Gives the silence after which its heartbeat is overdue.
    pub(super) fn overdue_after(&self, own: DataCentreKey) -> Duration {
        self.cadence.overdue_after(self.data_centre == own)
    }
}
