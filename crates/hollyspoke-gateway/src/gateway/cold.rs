//! This box's share of the requests that cold engines can handle.

use super::Gateway;
use crate::cold::BoxShare;
use crate::engine::EngineKey;
use crate::member::address_hash;

impl Gateway {
    /// Returns what determines this box's share.
    pub(super) fn cold_share(&self) -> BoxShare {
        BoxShare { box_hash: address_hash(&self.settings.peer), box_count: self.sharing_boxes() }
    }

    /// Records that a call is sent to an engine, if the engine is cold.
    pub(super) fn record_cold_send(&mut self, engine: EngineKey) {
        if self.directory.get(engine).is_some_and(|it| it.is_cold(self.now)) {
            self.cold_sends.record(engine, self.now);
        }
    }
}
