//! The load of traffic classes, which boxes announce to each other while a mechanism needs it.

use std::net::SocketAddr;

use super::Gateway;
use super::peers::service_hash;
use crate::class::{Announcement, Class, Phase};
use crate::in_flight::InFlight;
use crate::request::RequestKey;

impl Gateway {
    /// Returns whether a mechanism that is switched on needs the load of traffic classes.
    pub(super) fn measures_classes(&self) -> bool {
        self.settings.features.admission || self.settings.features.appointments
    }

    /// Records that a request has arrived.
    pub(super) fn record_class_arrival(&mut self, key: RequestKey) {
        if !self.measures_classes() {
            return;
        }
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        self.classes.arrive(class_of(in_flight), in_flight.capacity_units(), self.now);
    }

    /// Records that a request has entered a phase; none at its end.
    pub(super) fn set_phase(&mut self, key: RequestKey, phase: Option<Phase>) {
        if !self.measures_classes() {
            return;
        }
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        let from = std::mem::replace(&mut in_flight.phase, phase);
        let (class, units) = (class_of(in_flight), in_flight.capacity_units());
        self.classes.advance(class, units, from, phase);
        if from == phase {
            return;
        }
        self.admissions.advance(in_flight, from, phase);
        let is_running = |it: Option<Phase>| f64::from(u8::from(it == Some(Phase::Running)));
        let change = (is_running(phase) - is_running(from)) * f64::from(units);
        self.pools.add_held(&in_flight.service.name, change);
    }

    /// Returns the load of each class at this box, for a heartbeat.
    pub(super) fn own_classes(&mut self) -> Vec<Announcement> {
        if self.measures_classes() { self.classes.own(self.now) } else { Vec::new() }
    }

    /// Receives the load of each class at another box, from its heartbeat.
    pub(super) fn receive_classes(&mut self, sender: SocketAddr, announced: &[Announcement]) {
        if self.measures_classes() {
            self.classes.receive(sender, announced);
            // What waited at the other box may no longer be before the requests that wait here.
            self.may_have_capacity |= self.settings.features.admission;
        }
    }
}

/// Returns the class of a request.
pub(super) fn class_of(in_flight: &InFlight) -> Class {
    Class {
        service: service_hash(&in_flight.service.name),
        priority: in_flight.priority(),
        customer: in_flight.customer.as_ref().map(|it| it.key),
    }
}
