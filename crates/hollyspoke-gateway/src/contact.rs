//! Whether a box reaches the engines of a service.
//!
//! A connection that can't be opened is the fault of the engine or of the box's own network. The
//! answer of any other engine to a later request shows that it is the engine's. Several engines in
//! a row without such an answer show that it is the box's: it has lost contact with the service.
//! Streams that go on show nothing, since open connections may outlive the path for new ones.

use std::collections::BTreeMap;

use hollyspoke::time::Time;

use crate::engine::EngineKey;

/// The number of different engines that must be unreachable in a row, unless the service has fewer.
const MIN_UNREACHED_COUNT: usize = 3;

/// A box's contact with the engines of one service.
#[derive(Debug, Clone, Default)]
pub struct Contact {
    /// The engines that could not be reached, with the time of the last attempt. Cleared by an
    /// answer to a later attempt at any engine.
    unreached: BTreeMap<EngineKey, Time>,
    /// The time of the newest attempt that was answered.
    reached_at: Option<Time>,
}

impl Contact {
    /// Records that an engine answered an attempt to connect.
    pub fn record_reached(&mut self, attempted_at: Time) {
        self.reached_at = self.reached_at.max(Some(attempted_at));
        self.unreached.retain(|_, it| *it > attempted_at);
    }

    /// Records that no connection to an engine could be opened.
    pub fn record_unreached(&mut self, engine: EngineKey, attempted_at: Time) {
        if self.reached_at.is_none_or(|it| it < attempted_at) {
            self.unreached.insert(engine, attempted_at);
        }
    }

    /// Forgets an engine that no longer exists.
    pub fn forget(&mut self, engine: EngineKey) {
        self.unreached.remove(&engine);
    }

    /// Returns whether an engine could not be reached and none has answered a later attempt, so that
    /// the fault may be the engine's or the box's.
    pub fn is_doubtful(&self) -> bool {
        !self.unreached.is_empty()
    }

    /// Returns whether an engine has answered an attempt at this time or later.
    pub fn has_reached_since(&self, time: Time) -> bool {
        self.reached_at.is_some_and(|it| it >= time)
    }

    /// Returns whether the box has lost contact with the service, given its number of engines.
    pub fn is_lost(&self, engine_count: usize) -> bool {
        self.is_doubtful() && self.unreached.len() >= MIN_UNREACHED_COUNT.min(engine_count)
    }
}
