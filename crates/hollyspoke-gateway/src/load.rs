//! What all boxes have sent to the engines: the box's own calls at once, others' by datagram.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use hollyspoke::time::Time;

use crate::engine::EngineKey;
use crate::message::Load;

/// How soon others must hear of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// At once, if memory or reading changes: engines tell their calls themselves.
    Now,
    /// With the next datagram.
    Later,
}

/// The work at every engine.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// This box's own work.
    own: BTreeMap<EngineKey, Load>,
    /// Other boxes' work, by where they listen.
    peers: HashMap<SocketAddr, HashMap<EngineKey, Load>>,
    /// The sum of other boxes' work.
    others: HashMap<EngineKey, Load>,
    /// Until when memory that another box freed is left to others.
    contested: HashMap<EngineKey, Time>,
    /// Engines at which the own work has changed since it was last told.
    changed: BTreeSet<EngineKey>,
    /// Whether some of that is memory or reading, which others must know of at once.
    is_urgent: bool,
}

impl Ledger {
    /// Adds own work.
    pub fn add(&mut self, engine: EngineKey, load: Load) {
        self.own.entry(engine).or_default().add(load);
        self.record_change(engine, load, Urgency::Now);
    }

    /// Takes own work away.
    pub fn remove(&mut self, engine: EngineKey, load: Load, urgency: Urgency) {
        let own = self.own.entry(engine).or_default();
        own.remove(load);
        if own.is_empty() {
            self.own.remove(&engine);
        }
        self.record_change(engine, load, urgency);
    }

    /// Notes that own work has changed.
    fn record_change(&mut self, engine: EngineKey, load: Load, urgency: Urgency) {
        self.changed.insert(engine);
        self.is_urgent |=
            urgency == Urgency::Now && (load.held_tokens > 0 || load.prefill_tokens > 0);
    }

    /// Tells whether own work has changed since it was last told.
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Tells whether others must know of the changes at once: engines tell their calls themselves,
    /// but not what memory is reserved and what waits to be read.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Takes in what another box tells. Memory that it freed is left to others until a time;
    /// tells whether there is any.
    pub fn receive(
        &mut self,
        peer: SocketAddr,
        loads: &[(EngineKey, Load)],
        is_whole: bool,
        contested_until: Time,
    ) -> bool {
        let mut received: Vec<_> = loads.to_vec();
        if is_whole && let Some(known) = self.peers.get(&peer) {
            let named: BTreeSet<_> = loads.iter().map(|it| it.0).collect();
            let unnamed = known.keys().filter(|it| !named.contains(it));
            received.extend(unnamed.map(|&it| (it, Load::default())));
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

    /// Forgets what a box told.
    pub fn forget(&mut self, peer: SocketAddr) {
        for (engine, load) in self.peers.remove(&peer).unwrap_or_default() {
            self.others.entry(engine).or_default().remove(load);
        }
    }

    /// Gives the work of all boxes at an engine.
    pub fn at(&self, engine: EngineKey) -> Load {
        let mut sum = self.own_at(engine);
        sum.add(self.others.get(&engine).copied().unwrap_or_default());
        sum
    }

    /// Tells whether another box has just freed memory at an engine, which many may want.
    pub fn is_contested(&self, engine: EngineKey, now: Time) -> bool {
        self.contested.get(&engine).is_some_and(|&it| now < it)
    }

    /// Gives this box's work at an engine.
    pub fn own_at(&self, engine: EngineKey) -> Load {
        self.own.get(&engine).copied().unwrap_or_default()
    }

    /// Gives the own work that has changed since the last time.
    pub fn take_changed(&mut self) -> Vec<(EngineKey, Load)> {
        let changed = std::mem::take(&mut self.changed);
        self.is_urgent = false;
        changed.into_iter().map(|it| (it, self.own_at(it))).collect()
    }

    /// Gives all own work.
    pub fn own(&self) -> Vec<(EngineKey, Load)> {
        self.own.iter().map(|(&engine, &load)| (engine, load)).collect()
    }

    /// Sets another box's work at an engine; gives what was known before.
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
