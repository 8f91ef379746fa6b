//! Datagrams to many nodes. Bytes between zones are dear, so that one node of each other zone passes
//! on to the rest of its zone what it hears.
//!
//! Beyond some size not everything is told to all: work at engines is told at once to the nodes of
//! the own zone and of the engines' zones, and to the others with the heartbeats that reach them.
//!
//! A dead relay is noticed after some heartbeats. Until then changes are lost that went through it;
//! heartbeats go through another node each time, and mend that.

use std::collections::BTreeSet;

use super::Gateway;
use crate::engine::EngineKey;
use crate::member::{Reach, number};
use crate::message::{Message, ZoneKey};

impl Gateway {
    /// Gives the short name of this node's zone.
    pub(super) fn zone(&self) -> ZoneKey {
        ZoneKey::of(&self.settings.zone)
    }

    /// Sends a datagram to all living nodes.
    pub(super) fn tell_all(&mut self, message: Message) {
        self.tell_within(&Reach::All, message);
    }

    /// Sends a datagram to the nodes whom the engines concern that it names: all of few nodes, of
    /// many those of the engines' zones and of the own.
    pub(super) fn tell_concerned(&mut self, message: Message) {
        let reach = self.concerned(&message);
        self.tell_within(&reach, message);
    }

    /// Gives whom the engines concern that a datagram names.
    fn concerned(&self, message: &Message) -> Reach {
        if !self.members.is_large() {
            return Reach::All;
        }
        let loads = message.loads.iter().map(|it| it.0);
        let kept = message.kept.iter().map(|it| it.engine);
        let full = message.full.iter().map(|it| it.engine);
        let missed = message.missed.iter().copied();
        let replaced = message.replaced.iter().copied();
        let engines = loads.chain(kept).chain(full).chain(missed).chain(replaced);
        Reach::Zones(self.zones_of(engines))
    }

    /// Gives the zones of engines.
    fn zones_of(&self, engines: impl Iterator<Item = EngineKey>) -> BTreeSet<ZoneKey> {
        let known = engines.filter_map(|it| self.directory.get(it));
        known.map(|it| ZoneKey::of(&it.engine.zone)).collect()
    }

    /// Sends a datagram to living nodes. Changes of one node go one way, so that they arrive in
    /// order.
    pub(super) fn tell_within(&mut self, reach: &Reach, message: Message) {
        let own = number(&self.settings.peer);
        let subject = if message.is_whole { own.wrapping_add(message.sequence) } else { own };
        let audience = self.members.audience(reach, subject);
        if !audience.relays.is_empty() {
            let relayed = Message { is_relayed: true, ..message.clone() };
            self.tell(audience.relays, relayed);
        }
        self.tell(audience.direct, message);
    }

    /// Passes a datagram on to the other nodes of this zone.
    pub(super) fn relay(&mut self, message: &Message) {
        let mut nodes = self.members.alive_in(self.zone());
        nodes.retain(|it| *it != message.sender);
        self.tell(nodes, Message { is_relayed: false, ..message.clone() });
    }
}
