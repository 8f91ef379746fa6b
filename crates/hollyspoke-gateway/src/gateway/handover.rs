//! The configuration and the list of engines from box to box. A box that the store turns away, or
//! that is cut off from it, gets them from another box that it still hears; else it would go on by
//! keys and routes that are withdrawn, or never serve at all.

use super::Gateway;
use crate::effect::Effect;
use crate::snapshot::{Listing, Snapshot, Version};

impl Gateway {
    /// Gives all that another box needs to serve.
    pub fn snapshot(&self) -> Snapshot {
        let listing = self.is_listed.then(|| Listing {
            engines: self.directory.present().map(|it| it.engine.as_ref().clone()).collect(),
            revision: self.directory.complete(),
        });
        let version = self.configuration.as_ref().map(|it| Version::of(it));
        Snapshot { version, listing }
    }

    /// Takes what another box handed over, as far as it is newer.
    pub(super) fn take_snapshot(&mut self, snapshot: Snapshot) {
        if let Some(version) = snapshot.version {
            self.configure(version.configuration());
        }
        if let Some(Listing { engines, revision }) = snapshot.listing
            && (!self.is_listed || revision > self.directory.complete())
        {
            self.list(engines, revision);
        }
    }

    /// Asks one of the boxes that know the newest version and the engines to hand them over.
    pub(super) fn ask_for_snapshot(&mut self) {
        let draw = self.draw();
        let wanted = self.version().unwrap_or(0);
        if let Some(box_address) = self.members.provider(wanted, draw) {
            self.effects.push(Effect::Fetch(box_address));
        }
    }
}
