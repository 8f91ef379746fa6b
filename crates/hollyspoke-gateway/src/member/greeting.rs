//! Greetings to boxes that were not received from yet, or have timed out.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Members;
use crate::cadence::ALL_TO_ALL_MAX_BOXES;
use crate::message::{DataCentreKey, PeerAddress};

/// The time in which a greeting reaches a live box. A box that greets this one later may have
/// started after the greeting.
const GREETING_ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// The number of known boxes of a remote data centre beyond which no more of it are greeted, with
/// more than [`ALL_TO_ALL_MAX_BOXES`] boxes. One is enough to relay what this box sends, and the
/// others may be dead. If all are greeted and answered, 985 boxes that start at once send each
/// other a fifth more datagrams.
const MAX_GREETED_REMOTE: usize = 8;

/// The interval between greetings to boxes that have not answered.
const GREETING_INTERVAL: Duration = Duration::from_millis(1000);

/// The interval between greetings to the seeds while no box was received from. All boxes may start
/// at once, in any order, and until the first one is received, this box assumes every duty.
const SEED_GREETING_INTERVAL: Duration = Duration::from_millis(100);

/// The time for which seeds are greeted at that interval. Boxes that start together do so within
/// about 0.3 s of each other.
const SEED_GREETING_DURATION: Duration = Duration::from_millis(1000);

/// The time for which newly listed boxes are collected before they are greeted. Until a box has
/// received from most others, it assumes duties that are theirs: 295 boxes that started at once and
/// knew three others at their second heartbeat all followed the store.
const NEW_PEER_GREETING_DELAY: Duration = Duration::from_millis(50);

impl Members {
    /// Adds the boxes listed in the settings, to be greeted.
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

    /// Adds the boxes that another box lists, to be greeted. In a large deployment a few of each
    /// remote data centre are enough: the heartbeats that these relay bring the rest.
    pub fn add_peers(&mut self, own: SocketAddr, named: &[PeerAddress], now: Time) {
        for &PeerAddress { address, data_centre } in named {
            let is_local = data_centre == self.own;
            let is_known = self.peers.contains_key(&address);
            if !is_known && (is_local || self.needs_remote_peer(data_centre)) {
                self.add_to_greet(own, address, now);
            }
        }
    }

    /// Returns whether to greet one more box of a remote data centre.
    fn needs_remote_peer(&self, data_centre: DataCentreKey) -> bool {
        let is_many = self.peers.len() + self.pending_peers.len() >= ALL_TO_ALL_MAX_BOXES;
        !is_many || self.alive_counts.get(&data_centre).is_none_or(|&it| it < MAX_GREETED_REMOTE)
    }

    /// Adds a box to be greeted, unless it is known.
    fn add_to_greet(&mut self, own: SocketAddr, address: SocketAddr, now: Time) {
        let is_known =
            self.peers.contains_key(&address) || self.pending_peers.contains_key(&address);
        if address != own && !is_known {
            self.pending_peers.insert(address, None);
            self.ungreeted_since.get_or_insert(now);
        }
    }

    /// Returns whether a box that was not received from yet was greeted just now, and therefore
    /// knows this one.
    pub fn was_greeted(&self, node: SocketAddr, now: Time) -> bool {
        let greeted = self.pending_peers.get(&node).copied().flatten();
        greeted.is_some_and(|it| now.since(it) < GREETING_ARRIVAL_TIME)
    }

    /// Returns the boxes to greet now: those never greeted, and at every interval those that have
    /// timed out or were not received from yet.
    pub fn due_greetings(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut recipients = Vec::new();
        let pause =
            if self.greets_seeds_often(now) { SEED_GREETING_INTERVAL } else { GREETING_INTERVAL };
        let is_turn = self.last_greeting.is_none_or(|it| now.since(it) >= pause);
        if is_turn {
            self.last_greeting = Some(now);
            self.first_greeting.get_or_insert(now);
            recipients
                .extend(self.peers.iter().filter(|(_, it)| it.has_timed_out).map(|(&it, _)| it));
        }
        for (&node, greeted) in &mut self.pending_peers {
            if is_turn || greeted.is_none() {
                recipients.push(node);
                *greeted = Some(now);
            }
        }
        self.ungreeted_since = None;
        recipients
    }

    /// Returns whether no box was ever received from and the seeds are still greeted at the short
    /// interval, in the first second after the start.
    pub fn greets_seeds_often(&self, now: Time) -> bool {
        let is_early = self.first_greeting.is_none_or(|it| now.since(it) < SEED_GREETING_DURATION);
        is_early && self.peers.is_empty() && !self.pending_peers.is_empty()
    }

    /// Returns when to greet boxes before the next heartbeat: the seeds while no box was ever
    /// received from, and boxes never greeted.
    pub fn next_greeting_at(&self, now: Time) -> Option<Time> {
        let fresh = self.ungreeted_since.map(|it| it + NEW_PEER_GREETING_DELAY);
        let last = self.last_greeting.filter(|_| self.greets_seeds_often(now));
        [fresh, last.map(|it| it + SEED_GREETING_INTERVAL)].into_iter().flatten().min()
    }
}
