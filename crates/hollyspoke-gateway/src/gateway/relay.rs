//! Datagrams to many boxes. Bytes between data centres are dear, so that one box of each other data
//! centre passes on to the rest of its data centre what it hears.
//!
//! Beyond some size not everything is told to all: work at engines is told at once to the boxes of
//! the own data centre and of the engines' data centres, and to the others with the heartbeats that
//! reach them.
//!
//! A dead relay is noticed after some heartbeats. Until then changes are lost that went through it;
//! heartbeats go through another box each time, and mend that.

use std::collections::BTreeSet;

use super::Gateway;
use crate::engine::EngineKey;
use crate::member::{Reach, address_hash};
use crate::message::{DataCentreKey, Message};

impl Gateway {
    /// Gives the short name of this box's data centre.
    pub(super) fn data_centre(&self) -> DataCentreKey {
        DataCentreKey::of(&self.settings.data_centre)
    }

    /// Sends a datagram to all living boxes.
    pub(super) fn send_to_all(&mut self, message: Message) {
        self.send_within(&Reach::All, message);
    }

    /// Sends a datagram to the boxes whom the engines concern that it names: all of few boxes, of
    /// many those of the engines' data centres and of the own, and all if memory is scarce there.
    pub(super) fn send_to_concerned(&mut self, message: Message) {
        let reach = self.concerned_reach(&message);
        self.send_within(&reach, message);
    }

    /// Gives whom the engines concern that a datagram names.
    fn concerned_reach(&self, message: &Message) -> Reach {
        let is_scarce = message.loads.iter().any(|it| self.is_scarce(it.0));
        if is_scarce || self.quota.is_urgent() || !self.members.is_large() {
            return Reach::All;
        }
        let loads = message.loads.iter().map(|it| it.0);
        let kept = message.cached_prompts.iter().map(|it| it.engine);
        let full = message.rejections.iter().map(|it| it.engine);
        let missed = message.unreachable.iter().copied();
        let replaced = message.replaced.iter().copied();
        let engines = loads.chain(kept).chain(full).chain(missed).chain(replaced);
        Reach::DataCentres(self.data_centres_of(engines))
    }

    /// Gives the data centres of engines.
    fn data_centres_of(&self, engines: impl Iterator<Item = EngineKey>) -> BTreeSet<DataCentreKey> {
        let known = engines.filter_map(|it| self.directory.get(it));
        known.map(|it| DataCentreKey::of(&it.engine.data_centre)).collect()
    }

    /// Sends a datagram to living boxes. Changes of one box go one way, so that they arrive in
    /// order.
    pub(super) fn send_within(&mut self, reach: &Reach, message: Message) {
        let own = address_hash(&self.settings.peer);
        let subject = if message.is_whole { own.wrapping_add(message.sequence) } else { own };
        let audience = self.members.recipients(reach, subject);
        if !audience.relays.is_empty() {
            let relayed = Message { is_relayed: true, ..message.clone() };
            self.send_to(audience.relays, relayed);
        }
        self.send_to(audience.direct, message);
    }

    /// Passes a datagram on to the other boxes of this data centre.
    pub(super) fn relay(&mut self, message: &Message) {
        let mut nodes = self.members.alive_in(self.data_centre());
        nodes.retain(|it| *it != message.sender);
        self.send_to(nodes, Message { is_relayed: false, ..message.clone() });
    }
}
