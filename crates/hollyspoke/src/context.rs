//! The context of a step: shared read-only state of the box, and the output for effects.

use std::collections::{BTreeMap, VecDeque};

use crate::effect::{CallerReply, Effect};
use crate::event::CallId;
use crate::key::Incarnation;
use crate::layout::{Layout, ShardId};
use crate::member::Table;
use crate::message::Message;
use crate::site::{Site, UpstreamId};
use crate::store;
use crate::time::Time;

/// The context of a step: shared read-only state of the box, and the output for effects.
pub struct Context<'a> {
    /// The time of the event.
    pub now: Time,
    /// The incarnation of this box.
    pub me: Incarnation,
    /// The site in force.
    pub site: &'a Site,
    /// The layout of the site.
    pub(crate) layout: &'a Layout,
    /// The membership table.
    pub members: &'a Table,
    /// The owner of each shard in this box's view.
    pub(crate) owners: &'a BTreeMap<ShardId, Incarnation>,
    /// The output of the step.
    pub(crate) out: &'a mut Out,
}

impl Context<'_> {
    /// Emits an effect for the driver.
    pub fn effect(&mut self, effect: Effect) {
        self.out.effects.push(effect);
    }

    /// Emits a note for the operator.
    pub fn note(&mut self, note: String) {
        self.effect(Effect::Note(note));
    }

    /// Emits a reply to a caller.
    pub fn reply(&mut self, call: CallId, reply: CallerReply) {
        self.effect(Effect::Reply { call, reply });
    }

    /// Sends a message to a box, this one included.
    pub fn send(&mut self, to: Incarnation, message: Message) {
        if to == self.me {
            self.out.local.push_back(message);
            return;
        }
        let Some(entry) = self.members.entry(to) else { return };
        let address = entry.peer_address.clone();
        self.effect(Effect::Send { to, address, message: Box::new(message) });
    }

    /// Starts an operation on the store; returns its number.
    pub fn store(&mut self, operation: store::Operation) -> u64 {
        self.out.last_operation += 1;
        let number = self.out.last_operation;
        self.effect(Effect::Store { number, operation });
        number
    }

    /// Returns a shard's owner in this box's view.
    pub fn owner(&self, shard: ShardId) -> Option<Incarnation> {
        self.owners.get(&shard).copied()
    }

    /// Returns all shards of the site.
    pub fn shards(&self) -> Vec<ShardId> {
        self.layout.shards.clone()
    }

    /// Returns the number of a service's shards.
    pub fn parts(&self, service: crate::site::ServiceId) -> u16 {
        self.layout.parts.get(&service).copied().unwrap_or(1).max(1)
    }

    /// Returns an engine's address, if the site or its previous version has the engine.
    pub fn engine_address(&self, engine: UpstreamId) -> Option<String> {
        self.layout.addresses.get(&engine).cloned()
    }
}

/// The effects and local messages produced during one step.
#[derive(Debug, Clone, Default)]
pub(crate) struct Out {
    /// Effects for the driver.
    pub(crate) effects: Vec<Effect>,
    /// Messages from this box to itself.
    pub(crate) local: VecDeque<Message>,
    /// The number of the last operation on the store.
    last_operation: u64,
}
