//! Membership: which boxes there are, and which of them are alive.
//!
//! Each box increments its own counter; the counters spread by gossip. A box whose counter has not
//! advanced for [`DEAD_AFTER`] is considered dead and owns no shards or keys in this box's view. A
//! box that was only paused becomes alive again with its next higher counter.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::Incarnation;
use crate::site::DataCentreId;
use crate::time::Time;

/// How often a box sends gossip in a small site.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// How often a box sends gossip in a large site.
pub const LARGE_SITE_GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// How long a counter may stay unchanged before its box is considered dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(3);

/// How long the entry of a dead box is kept, so that old gossip does not revive it.
pub const DEAD_ENTRY_TTL: Duration = Duration::from_secs(600);

/// A box's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The box's incarnation.
    pub incarnation: Incarnation,
    /// The box's name in its settings.
    pub name: String,
    /// The address for callers.
    pub caller_address: String,
    /// The address for other boxes.
    pub peer_address: String,
    /// The box's data centre.
    pub data_centre: DataCentreId,
    /// The box's latest heartbeat.
    pub beat: Heartbeat,
}

/// A box's heartbeat as it is spread by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The box.
    pub incarnation: Incarnation,
    /// The box's counter.
    pub counter: u64,
    /// The epoch in which keys are minted at the box.
    pub epoch: u32,
    /// The box's state.
    pub state: State,
}

/// A box's lifecycle state, as it announces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The box accepts requests.
    Live,
    /// The box is shutting down; its keys are handed over to the successor, if it has one.
    Leaving {
        /// The box that takes over its keys.
        successor: Option<Incarnation>,
    },
    /// The box has shut down, and the successor has its keys.
    Left {
        /// The box that took over its keys.
        successor: Option<Incarnation>,
    },
}

/// This box's view of a member.
#[derive(Debug, Clone)]
struct Member {
    /// The member's own description.
    entry: Entry,
    /// When its counter last advanced in this view.
    last_advance: Time,
    /// Whether it is considered dead, or has shut down.
    dead: bool,
}

/// This box's view of all members.
#[derive(Debug, Clone)]
pub struct Table {
    /// The incarnation of this box.
    me: Incarnation,
    /// All known members, this box included.
    members: BTreeMap<Incarnation, Member>,
    /// Whether another box was ever alive in this view.
    had_peers: bool,
    /// Incremented whenever the set of serving boxes may have changed.
    revision: u64,
}

impl Table {
    /// Creates a table that contains only this box.
    pub fn new(now: Time, me: Entry) -> Table {
        let incarnation = me.incarnation;
        let member = Member { entry: me, last_advance: now, dead: false };
        Table {
            me: incarnation,
            members: BTreeMap::from([(incarnation, member)]),
            had_peers: false,
            revision: 0,
        }
    }

    /// Returns this box's own entry.
    ///
    /// # Panics
    ///
    /// Never: a table always contains its own box.
    pub fn my_entry(&self) -> &Entry {
        &self.members[&self.me].entry
    }

    /// Returns this box's data centre.
    pub fn my_data_centre(&self) -> DataCentreId {
        self.my_entry().data_centre
    }

    /// Returns whether another box was ever alive in this view.
    pub fn had_peers(&self) -> bool {
        self.had_peers
    }

    /// Returns a number that increases whenever the set of serving boxes may have changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Increments this box's counter and sets its epoch and state.
    pub fn advance_heartbeat(&mut self, now: Time, epoch: u32, state: State) {
        let Some(member) = self.members.get_mut(&self.me) else { return };
        self.revision += u64::from(member.entry.beat.state != state);
        member.last_advance = now;
        member.entry.beat.counter += 1;
        member.entry.beat.epoch = epoch;
        member.entry.beat.state = state;
    }

    /// Applies a received heartbeat; returns whether the box is unknown, so that its entry is
    /// needed.
    pub fn apply_heartbeat(&mut self, now: Time, beat: Heartbeat) -> bool {
        if beat.incarnation == self.me {
            return false;
        }
        let Some(member) = self.members.get_mut(&beat.incarnation) else { return true };
        if beat.counter > member.entry.beat.counter {
            let left = matches!(beat.state, State::Left { .. });
            let changed = member.dead != left || member.entry.beat.state != beat.state;
            self.revision += u64::from(changed);
            member.entry.beat = beat;
            member.last_advance = now;
            member.dead = left;
        }
        false
    }

    /// Applies a received entry; returns whether the box is new.
    pub fn add_entry(&mut self, now: Time, entry: Entry) -> bool {
        if !self.apply_heartbeat(now, entry.beat) {
            return false;
        }
        self.had_peers = true;
        self.revision += 1;
        self.members.insert(entry.incarnation, Member { entry, last_advance: now, dead: false });
        true
    }

    /// Marks boxes whose counters have not advanced as dead; returns those newly marked.
    pub fn expire(&mut self, now: Time) -> Vec<Incarnation> {
        let me = self.me;
        let mut died = Vec::new();
        for (&incarnation, member) in &mut self.members {
            let still = now.since(member.last_advance);
            if incarnation != me && !member.dead && still > DEAD_AFTER {
                member.dead = true;
                self.revision += 1;
                died.push(incarnation);
            }
        }
        self.members
            .retain(|&it, member| it == me || now.since(member.last_advance) < DEAD_ENTRY_TTL);
        died
    }

    /// Marks a box that can't be reached as dead, until its next heartbeat is received from any
    /// box. Returns whether it was considered alive before.
    pub fn mark_unreachable(&mut self, incarnation: Incarnation) -> bool {
        let me = self.me;
        let Some(member) = self.members.get_mut(&incarnation) else { return false };
        if incarnation == me || member.dead {
            return false;
        }
        member.dead = true;
        self.revision += 1;
        true
    }

    /// Extends the timeout of every live member by a time in which this box itself was paused.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        for member in self.members.values_mut().filter(|it| !it.dead) {
            member.last_advance = member.last_advance + pause;
        }
    }

    /// Returns a member's entry, dead or alive.
    pub fn entry(&self, incarnation: Incarnation) -> Option<&Entry> {
        self.members.get(&incarnation).map(|it| &it.entry)
    }

    /// Returns whether a box is alive in this view, shutting down or not.
    pub fn is_alive(&self, incarnation: Incarnation) -> bool {
        self.members.get(&incarnation).is_some_and(|it| !it.dead)
    }

    /// Returns whether a box is considered dead or is unknown.
    pub fn is_dead(&self, incarnation: Incarnation) -> bool {
        !self.is_alive(incarnation)
    }

    /// Returns all boxes that are alive, including those that are shutting down.
    pub fn alive(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().filter(|it| !it.dead).map(|it| &it.entry)
    }

    /// Returns all boxes that are alive and not shutting down.
    pub fn live(&self) -> impl Iterator<Item = &Entry> {
        self.alive().filter(|it| it.beat.state == State::Live)
    }

    /// Returns the boxes of a data centre that are alive and not shutting down.
    pub fn live_in(&self, data_centre: DataCentreId) -> Vec<Incarnation> {
        self.live().filter(|it| it.data_centre == data_centre).map(|it| it.incarnation).collect()
    }

    /// Returns the heartbeats of all boxes that are alive or have shut down as planned.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        let news = |it: &&Member| !it.dead || matches!(it.entry.beat.state, State::Left { .. });
        self.members.values().filter(news).map(|it| it.entry.beat).collect()
    }
}
