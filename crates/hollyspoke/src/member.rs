//! Who the other boxes are, and which of them live.
//!
//! Each box advances a counter of its own; the counters spread by gossip. A box whose counter
//! has stood still for [`DEAD_AFTER`] is taken for dead and no longer owns or answers anything in
//! this box's view. A box that was only paused comes back by a counter above the one it had.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::Incarnation;
use crate::site::DataCentreId;
use crate::time::Time;

/// How often a box gossips in a small site.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// How often a box gossips in a large site.
pub const LARGE_SITE_GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// How long a counter may stand still before its box is taken for dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(3);

/// How long the counter of a dead box is kept, so that old gossip does not bring it back.
pub const DEAD_ENTRY_TTL: Duration = Duration::from_secs(600);

/// What a box says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its name in the settings.
    pub name: String,
    /// The address for callers.
    pub caller_address: String,
    /// The address for other boxes.
    pub peer_address: String,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its epoch and state at this moment.
    pub beat: Heartbeat,
}

/// A box's heartbeat as it spreads.
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

/// What a box says of its own plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It serves.
    Live,
    /// It is stopping; its keys go to the successor, where it has one.
    Leaving {
        /// The box that takes its keys.
        successor: Option<Incarnation>,
    },
    /// It has stopped, and the successor has its keys.
    Left {
        /// The box that took its keys.
        successor: Option<Incarnation>,
    },
}

/// A member as this box sees it.
#[derive(Debug, Clone)]
struct Member {
    /// What it says of itself.
    entry: Entry,
    /// When its counter last advanced here.
    last_advance: Time,
    /// Whether its counter has stood still for too long.
    dead: bool,
}

/// This box's view of all members.
#[derive(Debug, Clone)]
pub struct Table {
    /// This box.
    me: Incarnation,
    /// All members known, this box among them.
    members: BTreeMap<Incarnation, Member>,
    /// Whether another box was ever alive in this view.
    had_peers: bool,
    /// Advances whenever the set of boxes that serve may have changed.
    revision: u64,
}

impl Table {
    /// Makes a table that knows this box alone.
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

    /// Gives this box's own entry.
    ///
    /// # Panics
    ///
    /// Never: a table always holds its own box.
    pub fn my_entry(&self) -> &Entry {
        &self.members[&self.me].entry
    }

    /// Gives this box's data centre.
    pub fn my_data_centre(&self) -> DataCentreId {
        self.my_entry().data_centre
    }

    /// Tells whether another box was ever alive in this view.
    pub fn had_peers(&self) -> bool {
        self.had_peers
    }

    /// Gives a number that advances whenever the set of boxes that serve may have changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Advances this box's own counter and sets its epoch and state.
    pub fn advance_heartbeat(&mut self, now: Time, epoch: u32, state: State) {
        let Some(member) = self.members.get_mut(&self.me) else { return };
        self.revision += u64::from(member.entry.beat.state != state);
        member.last_advance = now;
        member.entry.beat.counter += 1;
        member.entry.beat.epoch = epoch;
        member.entry.beat.state = state;
    }

    /// Takes a heartbeat; tells whether the box's entry is needed first.
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

    /// Takes an entry; tells whether the box is new here.
    pub fn add_entry(&mut self, now: Time, entry: Entry) -> bool {
        if !self.apply_heartbeat(now, entry.beat) {
            return false;
        }
        self.had_peers = true;
        self.revision += 1;
        self.members.insert(entry.incarnation, Member { entry, last_advance: now, dead: false });
        true
    }

    /// Marks the boxes whose counters have stood still; gives those that have just died.
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

    /// Takes a box for dead which this one can't reach; it comes back with its next heartbeat, by
    /// whichever way. Tells whether it was taken for alive.
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

    /// Restarts every counter's clock, after this box itself was paused.
    pub fn restart_timeouts(&mut self, now: Time) {
        for member in self.members.values_mut().filter(|it| !it.dead) {
            member.last_advance = now;
        }
    }

    /// Gives a member's entry, dead or alive.
    pub fn entry(&self, incarnation: Incarnation) -> Option<&Entry> {
        self.members.get(&incarnation).map(|it| &it.entry)
    }

    /// Tells whether a box is alive in this view, leaving or not.
    pub fn is_alive(&self, incarnation: Incarnation) -> bool {
        self.members.get(&incarnation).is_some_and(|it| !it.dead)
    }

    /// Tells whether a member's counter has stood still for too long, or it is unknown.
    pub fn is_dead(&self, incarnation: Incarnation) -> bool {
        !self.is_alive(incarnation)
    }

    /// Gives all boxes alive, leaving ones among them.
    pub fn alive(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().filter(|it| !it.dead).map(|it| &it.entry)
    }

    /// Gives all boxes that serve and are not leaving.
    pub fn live(&self) -> impl Iterator<Item = &Entry> {
        self.alive().filter(|it| it.beat.state == State::Live)
    }

    /// Gives the boxes of a data centre that serve and are not leaving.
    pub fn live_in(&self, data_centre: DataCentreId) -> Vec<Incarnation> {
        self.live().filter(|it| it.data_centre == data_centre).map(|it| it.incarnation).collect()
    }

    /// Gives the heartbeats of all boxes alive or lately gone by a planned stop.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        let news = |it: &&Member| !it.dead || matches!(it.entry.beat.state, State::Left { .. });
        self.members.values().filter(news).map(|it| it.entry.beat).collect()
    }
}
