//! The store's era: how often it has come back from an older copy, which has lost the latest writes.
//!
//! A box learns of a new era from any answer of the store, or from another box. What it has read
//! stays in force until it reads the store again, or is told by a box that has; what this system
//! itself has written there may be gone, and is read and written again.

use std::net::SocketAddr;

use super::Gateway;
use crate::effect::{Effect, LogEvent};
use crate::event::Kind;

/// The kinds of objects that are followed.
const KINDS: [Kind; 3] = [Kind::Configuration, Kind::Engines, Kind::Evacuations];

impl Gateway {
    /// Gives the newest era of the store that this box knows of; 0 if none was told.
    pub fn store_era(&self) -> u64 {
        self.store.era.unwrap_or(0)
    }

    /// Takes the store's era from another box, if that tells one.
    pub(super) fn receive_era(&mut self, era: u64, announced_by: SocketAddr) {
        if era > 0 {
            self.update_era(era, Some(announced_by));
        }
    }

    /// Takes the store's era from one of its answers, or from another box.
    pub(super) fn update_era(&mut self, era: u64, announced_by: Option<SocketAddr>) {
        let before = self.store.era;
        if before.is_some_and(|it| it >= era) {
            return;
        }
        self.store.era = Some(era);
        self.stages.enter_era(self.now, era);
        let revision = self.directory.complete();
        let knew_earlier = before.is_some() || (self.are_engines_listed && revision.era < era);
        if knew_earlier {
            self.log(LogEvent::StoreReturned { era, revision, announced_by });
            self.resync_with_store();
        }
    }

    /// Has what this box knows of the store read again, and what it wrote there written again.
    fn resync_with_store(&mut self) {
        self.store.engines_back = Some(self.now);
        self.invalidate_census();
        self.cases_lost();
        if self.store.follows {
            self.effects.extend(KINDS.map(Effect::Read));
        }
        self.schedule_heartbeat();
    }
}
