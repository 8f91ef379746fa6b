//! The engines that were removed recently.
//!
//! A store that was restored from an older copy lists some of them again until their entries
//! expire. An engine whose entry is gone may continue to serve for a while, but must not be sent
//! new requests.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};

/// How long a removed engine is remembered. Must exceed the age of copies of the store.
const RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of engines that are remembered.
const MAX_ENGINES_COUNT: usize = 16_384;

/// An engine that was removed.
#[derive(Debug, Clone, Copy)]
struct RemovedEngine {
    /// The start time of the removed incarnation in milliseconds of Unix time, if known.
    started_at: Option<u64>,
    /// When it was removed.
    at: Time,
}

/// The engines that were removed recently.
#[derive(Debug, Clone, Default)]
pub(super) struct RemovedEngines {
    /// The removed engines by key.
    engines: HashMap<EngineKey, RemovedEngine>,
    /// The keys and times of removals, oldest first.
    order: VecDeque<(EngineKey, Time)>,
}

impl RemovedEngines {
    /// Records that an engine was removed.
    pub(super) fn record(&mut self, engine: &Engine, now: Time) {
        self.engines.insert(engine.key, RemovedEngine { started_at: engine.started_at, at: now });
        self.order.push_back((engine.key, now));
        while self
            .order
            .front()
            .is_some_and(|it| self.order.len() > MAX_ENGINES_COUNT || is_old(it.1, now))
        {
            let Some((key, at)) = self.order.pop_front() else { break };
            if self.engines.get(&key).is_some_and(|it| it.at == at) {
                self.engines.remove(&key);
            }
        }
    }

    /// Returns whether an entry belongs to a removed engine and not to a later incarnation of it.
    pub(super) fn includes(&self, engine: &Engine, now: Time) -> bool {
        let removed = self.engines.get(&engine.key).filter(|it| !is_old(it.at, now));
        removed.is_some_and(|it| match (it.started_at, engine.started_at) {
            (Some(left), Some(listed)) => listed <= left,
            _ => true,
        })
    }
}

/// Returns whether a removal was so long ago that it is no longer remembered.
fn is_old(at: Time, now: Time) -> bool {
    now.since(at) >= RETENTION
}
