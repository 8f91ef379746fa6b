//! Whether a box reaches the engines of a service.
//!
//! A connection that can't be opened is the fault of the engine or of the box's own network. A later
//! attempt that opens one to any other engine shows that it is the engine's. Several engines that
//! can't be reached, and none that can for a time, show that it is the box's: it has lost contact
//! with the service. Streams that go on show nothing, since open connections may outlive
//! the path for new ones.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::EngineKey;

/// The number of different engines that must be unreachable, unless the service has fewer.
const MIN_UNREACHED_COUNT: usize = 3;

/// The time without an answer after which contact is lost. Engines answer probes within
/// milliseconds.
const MIN_DOUBT_DURATION: Duration = Duration::from_millis(200);

/// A box's contact with the engines of one service.
#[derive(Debug, Clone, Default)]
pub struct Contact {
    /// The engines that could not be reached, with the time of the last attempt. Cleared by an
    /// answer to a later attempt at any engine.
    unreached: BTreeMap<EngineKey, Time>,
    /// The time of the first attempt since which no engine has answered one.
    doubtful_since: Option<Time>,
    /// The time of the newest attempt that was answered.
    reached_at: Option<Time>,
}

impl Contact {
    /// Records that an attempt to connect to an engine opened a connection.
    pub fn record_reached(&mut self, attempted_at: Time) {
        self.reached_at = self.reached_at.max(Some(attempted_at));
        self.unreached.retain(|_, it| *it > attempted_at);
        self.doubtful_since = self.doubtful_since.map(|it| it.max(attempted_at));
        self.end_doubt();
    }

    /// Records that no connection to an engine could be opened.
    pub fn record_unreached(&mut self, engine: EngineKey, attempted_at: Time) {
        if self.reached_at.is_none_or(|it| it < attempted_at) {
            self.unreached.insert(engine, attempted_at);
            self.doubtful_since.get_or_insert(attempted_at);
        }
    }

    /// Extends a doubt by a time in which this box itself was paused.
    pub fn extend_doubt(&mut self, pause: Duration) {
        self.doubtful_since = self.doubtful_since.map(|it| it + pause);
    }

    /// Forgets the engines that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(EngineKey) -> bool) {
        self.unreached.retain(|&it, _| exists(it));
        self.end_doubt();
    }

    /// Returns whether an engine could not be reached and none has answered a later attempt, so that
    /// the fault may be the engine's or the box's.
    pub fn is_doubtful(&self) -> bool {
        !self.unreached.is_empty()
    }

    /// Returns since when it is open whose fault it is; none if the last attempts were answered.
    pub fn doubtful_since(&self) -> Option<Time> {
        self.doubtful_since
    }

    /// Returns whether the box has lost contact with the service, given its number of engines.
    pub fn is_lost(&self, engine_count: usize, now: Time) -> bool {
        let needed = MIN_UNREACHED_COUNT.min(engine_count).max(1);
        let is_long = self.doubtful_since.is_some_and(|it| now.since(it) >= MIN_DOUBT_DURATION);
        is_long && self.unreached.len() >= needed
    }

    /// Ends the doubt if no unreachable engine is left.
    fn end_doubt(&mut self) {
        if self.unreached.is_empty() {
            self.doubtful_since = None;
        }
    }
}
