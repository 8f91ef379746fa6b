//! The configuration in force, whose version never decreases.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::Incarnation;
use crate::member::Table;
use crate::rank;
use crate::site::Site;
use crate::time::Time;

/// How many boxes of a data centre watch the store.
pub const WATCHERS: usize = 2;

/// How long a box that receives no version from others waits before it reads the store itself.
pub const VERSION_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a box that is cut off from the store and from all peers continues to accept new
/// requests.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(2);

/// A site with its version in the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// The object's version.
    pub version: u64,
    /// The site.
    pub site: Site,
}

/// A box's configuration and its connections to the sources of new versions.
#[derive(Debug, Clone)]
pub struct Config {
    /// The newest site received, with its version.
    current: Arc<Versioned>,
    /// When the box last received a configuration, or the current version from a peer.
    last_version_at: Time,
    /// Whether this box watches the store.
    watching: bool,
    /// Whether the store answered the last operation.
    store_reachable: bool,
    /// When the box last received an answer of the store or a message from a peer.
    last_contact: Time,
}

impl Config {
    /// Creates an empty configuration of version zero.
    pub fn new(now: Time) -> Config {
        Config {
            current: Arc::default(),
            last_version_at: now,
            watching: false,
            store_reachable: true,
            last_contact: now,
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> &Arc<Versioned> {
        &self.current
    }

    /// Applies a version if it is newer than the one in force; returns whether it was.
    pub fn accept_newer(&mut self, now: Time, offered: &Arc<Versioned>) -> bool {
        self.last_version_at = now;
        if offered.version <= self.current.version {
            return false;
        }
        self.current = offered.clone();
        true
    }

    /// Records a message from a peer.
    pub fn record_peer_contact(&mut self, now: Time) {
        self.last_contact = now;
    }

    /// Records the configuration version that a peer has announced; only the version in force
    /// confirms that this box is up to date.
    pub fn record_peer_version(&mut self, now: Time, version: u64) {
        if version == self.current.version && version > 0 {
            self.last_version_at = now;
        }
    }

    /// Records whether the store answered.
    pub fn record_store_state(&mut self, now: Time, reachable: bool) {
        self.store_reachable = reachable;
        if reachable {
            self.last_contact = now;
        }
    }

    /// Extends the timeout of the box's contact by a time in which this box itself was paused.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        self.last_contact = self.last_contact + pause;
    }

    /// Returns whether the store answered the last operation.
    pub fn store_reachable(&self) -> bool {
        self.store_reachable
    }

    /// Returns whether the box has been cut off from both store and peers for longer than
    /// [`ISOLATION_TIMEOUT`].
    ///
    /// A box that never had a peer is not considered cut off, since no other box could have
    /// informed it.
    pub fn isolated(&self, now: Time, had_peers: bool) -> bool {
        had_peers && !self.store_reachable && now.since(self.last_contact) > ISOLATION_TIMEOUT
    }

    /// Returns whether this box ranks first in its data centre; that box sends orders to the
    /// engines.
    pub fn is_first(&self, me: Incarnation, members: &Table) -> bool {
        ranked_boxes(members).first() == Some(&me)
    }

    /// Decides whether the box should watch the store; returns the decision if it has changed.
    pub fn watch_change(&mut self, me: Incarnation, members: &Table) -> Option<bool> {
        let should = ranked_boxes(members).iter().take(WATCHERS).any(|&it| it == me);
        if should == self.watching {
            return None;
        }
        self.watching = should;
        Some(should)
    }

    /// Decides whether the box should read the store itself; called at each gossip interval.
    pub fn fetch_due(&mut self, now: Time) -> bool {
        if self.watching || now.since(self.last_version_at) < VERSION_TIMEOUT {
            return false;
        }
        self.last_version_at = now;
        true
    }
}

/// Ranks the boxes of this box's data centre for duties that only some of them have.
fn ranked_boxes(members: &Table) -> Vec<Incarnation> {
    let local = members.my_data_centre();
    let mut boxes = members.live_in(local);
    rank::order(rank::weight(0, local.0), &mut boxes, |it| it.0);
    boxes
}
