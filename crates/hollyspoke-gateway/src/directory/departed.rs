//! The engines that have left of late.
//!
//! A store that came back from an older copy lists some of them again until their entries lapse. An
//! engine whose entry is gone may go on serving for a while, but is not to be sent to.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};

/// How long an engine that has left is remembered, which is longer than copies of the store are old.
const RETENTION: Duration = Duration::from_secs(60);

/// The most engines that are remembered.
const MAX_ENGINES_COUNT: usize = 16_384;

/// An engine that has left.
#[derive(Debug, Clone, Copy)]
struct Departed {
    /// When this life of it began, if it told.
    started_at: Option<u64>,
    /// When it left.
    at: Time,
}

/// The engines that have left of late.
#[derive(Debug, Clone, Default)]
pub(super) struct Departures {
    /// The engines.
    engines: HashMap<EngineKey, Departed>,
    /// The same in the order in which they left.
    order: VecDeque<(EngineKey, Time)>,
}

impl Departures {
    /// Notes that an engine has left.
    pub(super) fn record(&mut self, engine: &Engine, now: Time) {
        self.engines.insert(engine.key, Departed { started_at: engine.started_at, at: now });
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

    /// Tells whether an entry is of an engine that has left, and of no later life of it.
    pub(super) fn includes(&self, engine: &Engine, now: Time) -> bool {
        let departed = self.engines.get(&engine.key).filter(|it| !is_old(it.at, now));
        departed.is_some_and(|it| match (it.started_at, engine.started_at) {
            (Some(left), Some(listed)) => listed <= left,
            _ => true,
        })
    }
}

/// Tells whether a departure was too long ago to matter.
fn is_old(at: Time, now: Time) -> bool {
    now.since(at) >= RETENTION
}
