//! What engines report about their own incarnation.

use std::time::Duration;

use hollyspoke::time::Time;

use super::Directory;
use crate::engine::EngineKey;

/// How long an engine with a stage is skipped after it reported that a call was not meant for it.
/// Its entry shows the new stage within about one heartbeat of the engines (1.2 s).
const MISDIRECTED_INTERVAL: Duration = Duration::from_millis(1500);

impl Directory {
    /// Records the start that an engine has told. It may be back before its new entry is read.
    pub fn record_start(&mut self, engine: EngineKey, started_at: u64) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        known.has_restarted |= known.engine.started_at.is_some_and(|it| it < started_at);
    }

    /// Records the start that an engine has told in answer to a probe, and when that was sent. It
    /// proves that the engine runs, whatever was said of it.
    pub fn record_confirmed(&mut self, engine: EngineKey, started_at: Option<u64>, asked_at: Time) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        if started_at.is_some() && known.engine.started_at == started_at {
            known.confirmed_at = known.confirmed_at.max(Some(asked_at));
            known.is_replaced = false;
        }
    }

    /// Records that a call for an incarnation of an engine was answered as not meant for it: the
    /// address belongs to another one, or it has another stage than its entry shows. This says
    /// nothing about a later incarnation, which may have another address.
    pub fn mark_misdirected(&mut self, engine: EngineKey, started_at: Option<u64>, now: Time) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        if known.engine.started_at != started_at {
            return;
        }
        if known.engine.stage.is_some() {
            known.misdirected_until = Some(now + MISDIRECTED_INTERVAL);
        } else {
            known.is_replaced = true;
        }
    }
}
