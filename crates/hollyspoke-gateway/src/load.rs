//! What all nodes have sent to the engines: the node's own calls at once, others' by datagram.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::engine::EngineKey;
use crate::message::Load;

/// The work at every engine.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// This node's own work.
    own: BTreeMap<EngineKey, Load>,
    /// Other nodes' work, by where they listen.
    peers: HashMap<SocketAddr, HashMap<EngineKey, Load>>,
    /// Engines at which the own work has changed since it was last told.
    changed: BTreeSet<EngineKey>,
}

impl Ledger {
    /// Adds own work.
    pub fn add(&mut self, engine: EngineKey, load: Load) {
        let own = self.own.entry(engine).or_default();
        own.reading += load.reading;
        own.calls += load.calls;
        own.held += load.held;
        self.changed.insert(engine);
    }

    /// Takes own work away.
    pub fn remove(&mut self, engine: EngineKey, load: Load) {
        let own = self.own.entry(engine).or_default();
        own.reading = own.reading.saturating_sub(load.reading);
        own.calls = own.calls.saturating_sub(load.calls);
        own.held = own.held.saturating_sub(load.held);
        if own.is_empty() {
            self.own.remove(&engine);
        }
        self.changed.insert(engine);
    }

    /// Takes in what another node tells.
    pub fn hear(&mut self, peer: SocketAddr, loads: &[(EngineKey, Load)], is_whole: bool) {
        let known = self.peers.entry(peer).or_default();
        if is_whole {
            known.clear();
        }
        for &(engine, load) in loads {
            if load.is_empty() {
                known.remove(&engine);
            } else {
                known.insert(engine, load);
            }
        }
    }

    /// Forgets what a node told.
    pub fn forget(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    /// Gives the work of all nodes at an engine.
    pub fn at(&self, engine: EngineKey) -> Load {
        let mut sum = self.own_at(engine);
        for peer in self.peers.values() {
            if let Some(load) = peer.get(&engine) {
                sum.reading += load.reading;
                sum.calls += load.calls;
                sum.held += load.held;
            }
        }
        sum
    }

    /// Gives this node's work at an engine.
    pub fn own_at(&self, engine: EngineKey) -> Load {
        self.own.get(&engine).copied().unwrap_or_default()
    }

    /// Gives the own work that has changed since the last time.
    pub fn take_changed(&mut self) -> Vec<(EngineKey, Load)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|it| (it, self.own_at(it))).collect()
    }

    /// Gives all own work.
    pub fn own(&self) -> Vec<(EngineKey, Load)> {
        self.own.iter().map(|(&engine, &load)| (engine, load)).collect()
    }
}
