//! The configuration in force: versions only go up.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::Incarnation;
use crate::member::Table;
use crate::rank;
use crate::site::Site;
use crate::time::Time;

/// How many boxes of a data centre hold the watch on the store.
pub const WATCHERS: usize = 2;

/// How long a box that hears of no version waits before it reads the store itself.
pub const VERSION_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a box cut off from the store and from every peer it knew goes on taking new work.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(2);

/// A site with the version under which the store accepted it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// The object's version.
    pub version: u64,
    /// The site.
    pub site: Site,
}

/// What a box holds of the configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The newest version seen, with its site.
    current: Arc<Versioned>,
    /// When the box last heard of any version, from the store or a peer.
    last_version_at: Time,
    /// Whether this box holds the watch.
    watching: bool,
    /// Whether the store answered the last time it was asked.
    store_reachable: bool,
    /// When the box last heard from the store or from any peer.
    last_contact: Time,
}

impl Config {
    /// Makes an empty configuration of version zero.
    pub fn new(now: Time) -> Config {
        Config {
            current: Arc::default(),
            last_version_at: now,
            watching: false,
            store_reachable: true,
            last_contact: now,
        }
    }

    /// Gives the configuration in force.
    pub fn current(&self) -> &Arc<Versioned> {
        &self.current
    }

    /// Takes a version if it is newer than the one in force, and tells whether it was.
    pub fn accept_newer(&mut self, now: Time, offered: &Arc<Versioned>) -> bool {
        self.last_version_at = now;
        if offered.version <= self.current.version {
            return false;
        }
        self.current = offered.clone();
        true
    }

    /// Notes that a peer has said something.
    pub fn record_peer_contact(&mut self, now: Time) {
        self.last_contact = now;
    }

    /// Notes that a peer which holds this version or an older one is alive.
    pub fn record_peer_version(&mut self, now: Time, version: u64) {
        if version == self.current.version && version > 0 {
            self.last_version_at = now;
        }
    }

    /// Notes whether the store answers.
    pub fn record_store_state(&mut self, now: Time, reachable: bool) {
        self.store_reachable = reachable;
        if reachable {
            self.last_contact = now;
        }
    }

    /// Tells whether the store answered the last time it was asked.
    pub fn store_reachable(&self) -> bool {
        self.store_reachable
    }

    /// Tells whether the box has been cut off from store and peers alike for too long.
    ///
    /// A box that never had a peer is not cut off: nobody else could have told it anything.
    pub fn isolated(&self, now: Time, had_peers: bool) -> bool {
        had_peers && !self.store_reachable && now.since(self.last_contact) > ISOLATION_TIMEOUT
    }

    /// Tells whether this box is the first of its data centre, the one that orders its engines.
    pub fn is_first(&self, me: Incarnation, members: &Table) -> bool {
        ranked_boxes(members).first() == Some(&me)
    }

    /// Decides whether the box should hold the watch; gives the answer when it changes.
    pub fn watch_change(&mut self, me: Incarnation, members: &Table) -> Option<bool> {
        let should = ranked_boxes(members).iter().take(WATCHERS).any(|&it| it == me);
        if should == self.watching {
            return None;
        }
        self.watching = should;
        Some(should)
    }

    /// Decides whether the box should read the store itself; asked on each beat.
    pub fn fetch_due(&mut self, now: Time) -> bool {
        if self.watching || now.since(self.last_version_at) < VERSION_TIMEOUT {
            return false;
        }
        self.last_version_at = now;
        true
    }
}

/// Ranks the boxes of this box's data centre for the duties that only some of them have.
fn ranked_boxes(members: &Table) -> Vec<Incarnation> {
    let local = members.my_data_centre();
    let mut boxes = members.live_in(local);
    rank::order(rank::weight(0, local.0), &mut boxes, |it| it.0);
    boxes
}
