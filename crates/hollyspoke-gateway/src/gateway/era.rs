//! The store's era: how many times the store was restored from an older copy, which lacks the
//! latest writes.
//!
//! A box learns of a new era from any answer of the store, or from another box. What it has read
//! stays in force until it reads the store again, or receives the state from a box that has. What
//! this system itself has written to the store may be lost, and is read and written again.

use std::net::SocketAddr;

use super::Gateway;
use crate::effect::{Effect, LogEvent};
use crate::event::Kind;

/// The kinds of objects that the followers watch.
pub(super) const KINDS: [Kind; 3] = [Kind::Configuration, Kind::Engines, Kind::Evacuations];

impl Gateway {
    /// Returns the newest known era of the store; 0 if none was reported.
    pub fn store_era(&self) -> u64 {
        self.store.era.unwrap_or(0)
    }

    /// Applies the era that another box reports, if it reports one.
    pub(super) fn receive_era(&mut self, era: u64, announced_by: SocketAddr) {
        if era > 0 {
            self.update_era(era, Some(announced_by));
        }
    }

    /// Applies an era from the store's answer, or from the box `announced_by`.
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

    /// Reads the followed objects again, and has this box's own objects read and written again.
    fn resync_with_store(&mut self) {
        self.store.engines_back = Some(self.now);
        self.invalidate_census();
        self.invalidate_register();
        self.invalidate_cases();
        self.archive.invalidate();
        if self.store.follows {
            self.effects.extend(KINDS.map(Effect::Read));
        }
        self.schedule_heartbeat();
    }
}
