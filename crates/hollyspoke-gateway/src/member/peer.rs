//! The state of one other box.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

use super::address_hash;
use crate::cadence::Cadence;
use crate::message::{DataCentreKey, Demand, Format, Message, Readiness, StoreView};
use crate::proxy;

/// One other box, as last announced by it.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    /// The number that identifies the run of its process.
    pub(super) incarnation: u64,
    /// The highest sequence number received of this incarnation.
    pub(super) sequence: u64,
    /// A hash of its address, by which all boxes rank boxes in the same order.
    pub(super) address_hash: u64,
    /// The address on which it serves clients.
    pub(super) front: SocketAddr,
    /// Its data centre.
    pub(super) data_centre: DataCentreKey,
    /// Whether it accepts requests.
    pub(super) readiness: Readiness,
    /// Its view of the store.
    pub(super) store_view: StoreView,
    /// The demand of clients at it, by service.
    pub(super) demand: Vec<(u64, Demand)>,
    /// The intervals between its heartbeats.
    pub(super) cadence: Cadence,
    /// The time without a datagram after which it counts as dead.
    pub(super) dead_after: Duration,
    /// The time of its last datagram.
    pub(super) last_received: Time,
    /// Whether it has timed out.
    pub(super) has_timed_out: bool,
    /// The format that it supports.
    pub(super) format: Format,
    /// Whether it supports cases of prompts' parts, by the last whole datagram; none before the first.
    pub(super) supports_parts: Option<bool>,
    /// Whether and for which services it accepts requests of other boxes.
    pub(super) proxy: proxy::Announcement,
}

impl Peer {
    /// Creates the state of a box from its first datagram.
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
            has_timed_out: true,
            format: Format::default(),
            supports_parts: None,
            proxy: proxy::Announcement::default(),
        }
    }

    /// Applies a datagram from the box.
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
            self.supports_parts = Some(message.announces_parts());
            self.demand.clone_from(&message.demand);
            let extension = message.extension.as_ref();
            self.proxy = extension.map_or_else(Default::default, |it| it.proxy.clone());
        }
        self.last_received = now;
        self.has_timed_out = false;
    }

    /// Returns the address at which it accepts requests of other boxes for a service; none if it
    /// can't serve them.
    pub(super) fn proxy(&self, service: u64) -> Option<SocketAddr> {
        let can_serve = !self.has_timed_out
            && self.readiness == Readiness::Ready
            && !self.proxy.lost.contains(&service);
        let port = self.proxy.port.filter(|_| can_serve)?;
        Some(SocketAddr::new(self.front.ip(), port))
    }

    /// Returns whether it was shut down, so that nobody waits for it.
    pub(super) fn has_stopped(&self) -> bool {
        self.has_timed_out && self.readiness == Readiness::Stopping
    }

    /// Returns the time without a heartbeat after which the next one is overdue.
    pub(super) fn overdue_after(&self, own: DataCentreKey) -> Duration {
        self.cadence.overdue_after(self.data_centre == own)
    }
}
