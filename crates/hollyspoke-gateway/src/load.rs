//! The load that all boxes place on the engines. This box's calls count at once, those of others
//! when a datagram arrives.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use hollyspoke::time::Time;

use crate::engine::EngineKey;
use crate::message::Load;

/// How soon other boxes must receive a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// At once, if reserved memory or queued prefill tokens change. Calls are less urgent, since
    /// engines report those themselves.
    Now,
    /// With the next datagram.
    Later,
}

/// The load on each engine.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// The load from this box.
    own: BTreeMap<EngineKey, Load>,
    /// The load from each other box, by its address.
    peers: HashMap<SocketAddr, HashMap<EngineKey, Load>>,
    /// The sum of the load from all other boxes.
    others: HashMap<EngineKey, Load>,
    /// The time until which memory that another box freed is left to others.
    contested: HashMap<EngineKey, Time>,
    /// Engines on which this box's load has changed since the last announcement.
    changed: BTreeSet<EngineKey>,
    /// Whether some of these changes concern memory or prefill tokens, which others must receive at
    /// once.
    is_urgent: bool,
}

impl Ledger {
    /// Adds load from this box.
    pub fn add(&mut self, engine: EngineKey, load: Load) {
        self.own.entry(engine).or_default().add(load);
        self.record_change(engine, load, Urgency::Now);
    }

    /// Removes load from this box.
    pub fn remove(&mut self, engine: EngineKey, load: Load, urgency: Urgency) {
        let own = self.own.entry(engine).or_default();
        own.remove(load);
        if own.is_empty() {
            self.own.remove(&engine);
        }
        self.record_change(engine, load, urgency);
    }

    /// Records that this box's load has changed.
    fn record_change(&mut self, engine: EngineKey, load: Load, urgency: Urgency) {
        self.changed.insert(engine);
        self.is_urgent |=
            urgency == Urgency::Now && (load.held_tokens > 0 || load.prefill_tokens > 0);
    }

    /// Returns whether this box's load has changed since the last announcement.
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns whether others must receive the changes at once. Engines report their calls
    /// themselves, but not the reserved memory and the prompts that wait for prefill.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Applies the load that another box announces. Memory that it freed is left to others until
    /// `contested_until`. Returns whether it freed any.
    pub fn receive(
        &mut self,
        peer: SocketAddr,
        loads: &[(EngineKey, Load)],
        is_whole: bool,
        contested_until: Time,
    ) -> bool {
        let mut received: Vec<_> = loads.to_vec();
        if is_whole && let Some(known) = self.peers.get(&peer) {
            let listed: BTreeSet<_> = loads.iter().map(|it| it.0).collect();
            let omitted = known.keys().filter(|it| !listed.contains(it));
            received.extend(omitted.map(|&it| (it, Load::default())));
        }
        let mut has_freed = false;
        for (engine, load) in received {
            let old = self.set(peer, engine, load);
            if load.held_tokens < old.held_tokens {
                self.contested.insert(engine, contested_until);
                has_freed = true;
            }
        }
        has_freed
    }

    /// Removes the load that a box announced.
    pub fn forget(&mut self, peer: SocketAddr) {
        for (engine, load) in self.peers.remove(&peer).unwrap_or_default() {
            self.others.entry(engine).or_default().remove(load);
        }
    }

    /// Returns the load of all boxes on an engine.
    pub fn at(&self, engine: EngineKey) -> Load {
        let mut sum = self.own_at(engine);
        sum.add(self.others.get(&engine).copied().unwrap_or_default());
        sum
    }

    /// Returns whether another box has just freed memory at an engine, for which many boxes may
    /// compete.
    pub fn is_contested(&self, engine: EngineKey, now: Time) -> bool {
        self.contested.get(&engine).is_some_and(|&it| now < it)
    }

    /// Returns this box's load on an engine.
    pub fn own_at(&self, engine: EngineKey) -> Load {
        self.own.get(&engine).copied().unwrap_or_default()
    }

    /// Returns this box's load where it has changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(EngineKey, Load)> {
        let changed = std::mem::take(&mut self.changed);
        self.is_urgent = false;
        changed.into_iter().map(|it| (it, self.own_at(it))).collect()
    }

    /// Returns this box's load on all engines.
    pub fn own(&self) -> Vec<(EngineKey, Load)> {
        self.own.iter().map(|(&engine, &load)| (engine, load)).collect()
    }

    /// Sets another box's load on an engine; returns the previous one.
    fn set(&mut self, peer: SocketAddr, engine: EngineKey, load: Load) -> Load {
        let known = self.peers.entry(peer).or_default();
        let old = if load.is_empty() { known.remove(&engine) } else { known.insert(engine, load) };
        let old = old.unwrap_or_default();
        let sum = self.others.entry(engine).or_default();
        sum.remove(old);
        sum.add(load);
        if sum.is_empty() {
            self.others.remove(&engine);
        }
        old
    }
}
