//! Datagrams to many boxes. Traffic between data centres is expensive, so that one box of each
//! remote data centre relays what it receives to the rest of its data centre.
//!
//! In a large deployment not everything is sent to all boxes. Work at engines is sent at once to
//! the boxes of the local data centre and of the engines' data centres, and to the others with the
//! heartbeats that reach them.
//!
//! A dead relay is detected after some heartbeats. Changes sent through it until then are lost.
//! Heartbeats go through another box each time and make up for them.

use std::collections::BTreeSet;

use super::Gateway;
use crate::engine::EngineKey;
use crate::member::{Reach, address_hash};
use crate::message::{DataCentreKey, Message};

impl Gateway {
    /// Returns the key of this box's data centre.
    pub(super) fn data_centre(&self) -> DataCentreKey {
        DataCentreKey::of(&self.settings.data_centre)
    }

    /// Sends a datagram to all live boxes.
    pub(super) fn send_to_all(&mut self, message: Message) {
        self.send_within(&Reach::All, message);
    }

    /// Sends a datagram to the boxes that are concerned by the engines in it: to all in a small
    /// deployment, otherwise to those of the engines' data centres and of the local one, and to all
    /// if memory is scarce there.
    pub(super) fn send_to_concerned(&mut self, message: Message) {
        let reach = self.concerned_reach(&message);
        self.send_within(&reach, message);
    }

    /// Returns which boxes are concerned by the engines in a datagram.
    fn concerned_reach(&self, message: &Message) -> Reach {
        let is_scarce = message.loads.iter().any(|it| self.is_scarce(it.0));
        if is_scarce || self.quota.is_urgent() || !self.members.is_large() {
            return Reach::All;
        }
        let loads = message.loads.iter().map(|it| it.0);
        let caching = message.cached_prompts.iter().map(|it| it.engine);
        let rejecting = message.rejections.iter().map(|it| it.engine);
        let extension = message.extension.iter();
        let reached = extension.flat_map(|it| it.reached.iter().copied());
        let unreachable = message.unreachable.iter().copied().chain(reached);
        let replaced = message.replaced.iter().copied();
        let engines = loads.chain(caching).chain(rejecting).chain(unreachable).chain(replaced);
        Reach::DataCentres(self.data_centres_of(engines))
    }

    /// Returns the data centres of the engines that are known.
    fn data_centres_of(&self, engines: impl Iterator<Item = EngineKey>) -> BTreeSet<DataCentreKey> {
        let record = engines.filter_map(|it| self.directory.get(it));
        record.map(|it| DataCentreKey::of(&it.engine.data_centre)).collect()
    }

    /// Sends a datagram to the live boxes within a reach. All changes of this box take the same
    /// relay, so that they arrive in order.
    pub(super) fn send_within(&mut self, reach: &Reach, message: Message) {
        let own = address_hash(&self.settings.peer);
        let subject = if message.is_whole { own.wrapping_add(message.sequence) } else { own };
        let recipients = self.members.recipients(reach, subject);
        if !recipients.relays.is_empty() {
            let relayed = Message { is_relayed: true, ..message.clone() };
            self.send_to(recipients.relays, relayed);
        }
        self.send_to(recipients.direct, message);
    }

    /// Forwards a datagram to the other boxes of this data centre.
    pub(super) fn relay(&mut self, message: &Message) {
        let mut nodes = self.members.alive_in(self.data_centre());
        nodes.retain(|it| *it != message.sender);
        self.send_to(nodes, Message { is_relayed: false, ..message.clone() });
    }
}
