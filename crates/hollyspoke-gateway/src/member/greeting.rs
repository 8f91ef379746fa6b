//! Which boxes are greeted, that have not been heard yet or are silent.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Members;
use crate::cadence::ALL_TO_ALL_MAX_BOXES;
use crate::message::{DataCentreKey, PeerAddress};

/// The time in which a greeting arrives at a box that lives. One that greets this box later may have
/// started after it.
const GREETING_ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// The boxes of another data centre beyond which no more of it are greeted, where there are more
/// than [`ALL_TO_ALL_MAX_BOXES`]: one of them passes on what this box tells, and the others may be dead. With all
/// greeted and answered, 985 boxes that start at once send each other a fifth more datagrams.
const MAX_GREETED_REMOTE: usize = 8;

/// How often boxes that have not answered are greeted.
const GREETING_INTERVAL: Duration = Duration::from_millis(1000);

/// How often the seeds are greeted while no box was ever heard: all boxes may start at once, in any
/// order, and until this one hears the first it takes every duty for its own.
const SEED_GREETING_INTERVAL: Duration = Duration::from_millis(100);

/// For how long that goes on. On the users' sites all boxes start within 0.3 s of each other.
const SEED_GREETING_DURATION: Duration = Duration::from_millis(1000);

/// The time in which names of boxes gather that were never greeted. Until a box has heard most of
/// the others it takes duties for its own that are theirs: 295 boxes that started at once and knew
/// three others at their second heartbeat all followed the store (`docs/SCALE.md`).
const NEW_PEER_GREETING_DELAY: Duration = Duration::from_millis(50);

impl Members {
    /// Adds boxes to greet that the settings name.
    pub fn add_seeds(
        &mut self,
        own: SocketAddr,
        seeds: impl IntoIterator<Item = SocketAddr>,
        now: Time,
    ) {
        for seed in seeds {
            self.add_to_greet(own, seed, now);
        }
    }

    /// Adds boxes to greet that another box names. Of many, a few of each other data centre are
    /// enough: the rest is heard of with the heartbeats that these pass on.
    pub fn add_peers(&mut self, own: SocketAddr, named: &[PeerAddress], now: Time) {
        for &PeerAddress { address, data_centre } in named {
            let is_local = data_centre == self.own;
            let is_known = self.peers.contains_key(&address);
            if !is_known && (is_local || self.needs_remote_peer(data_centre)) {
                self.add_to_greet(own, address, now);
            }
        }
    }

    /// Tells whether one more box of another data centre is to be greeted.
    fn needs_remote_peer(&self, data_centre: DataCentreKey) -> bool {
        let is_many = self.peers.len() + self.unheard.len() >= ALL_TO_ALL_MAX_BOXES;
        !is_many || self.alive_counts.get(&data_centre).is_none_or(|&it| it < MAX_GREETED_REMOTE)
    }

    /// Adds a box to greet.
    fn add_to_greet(&mut self, own: SocketAddr, address: SocketAddr, now: Time) {
        let is_known = self.peers.contains_key(&address) || self.unheard.contains_key(&address);
        if address != own && !is_known {
            self.unheard.insert(address, None);
            self.ungreeted_since.get_or_insert(now);
        }
    }

    /// Tells whether a box that has not been heard yet was greeted just now, so that it knows this
    /// one.
    pub fn was_greeted(&self, node: SocketAddr, now: Time) -> bool {
        let greeted = self.unheard.get(&node).copied().flatten();
        greeted.is_some_and(|it| now.since(it) < GREETING_ARRIVAL_TIME)
    }

    /// Gives the boxes that are greeted now: those never greeted, and now and then those that are
    /// silent or have not been heard yet.
    pub fn due_greetings(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut audience = Vec::new();
        let pause =
            if self.greets_seeds_often(now) { SEED_GREETING_INTERVAL } else { GREETING_INTERVAL };
        let is_turn = self.last_greeting.is_none_or(|it| now.since(it) >= pause);
        if is_turn {
            self.last_greeting = Some(now);
            self.first_greeting.get_or_insert(now);
            audience.extend(self.peers.iter().filter(|(_, it)| it.is_silent).map(|(&it, _)| it));
        }
        for (&node, greeted) in &mut self.unheard {
            if is_turn || greeted.is_none() {
                audience.push(node);
                *greeted = Some(now);
            }
        }
        self.ungreeted_since = None;
        audience
    }

    /// Tells whether no box was ever heard, and the seeds are still asked often: the first second
    /// after the start.
    pub fn greets_seeds_often(&self, now: Time) -> bool {
        let is_early = self.first_greeting.is_none_or(|it| now.since(it) < SEED_GREETING_DURATION);
        is_early && self.peers.is_empty() && !self.unheard.is_empty()
    }

    /// Gives when boxes are to be greeted before the next heartbeat: the seeds while no box was
    /// ever heard, and those never greeted.
    pub fn next_greeting_at(&self, now: Time) -> Option<Time> {
        let fresh = self.ungreeted_since.map(|it| it + NEW_PEER_GREETING_DELAY);
        let last = self.last_greeting.filter(|_| self.greets_seeds_often(now));
        [fresh, last.map(|it| it + SEED_GREETING_INTERVAL)].into_iter().flatten().min()
    }
}
