//! The time that engines of plain services need for a call, learned from their answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::EngineKey;

/// The weight of the newest answer in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// How long an engine's own average is used after its last answer. Later, the average of its
/// service is.
const SAMPLE_TTL: Duration = Duration::from_secs(4);

/// A moving average, and when it was last updated.
#[derive(Debug, Clone, Copy)]
struct Average {
    /// The average, in seconds.
    seconds: f64,
    /// When the last answer arrived.
    updated_at: Time,
}

/// The time that calls take at engines, without the wait for a slot.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The average of each engine.
    engines: HashMap<EngineKey, Average>,
    /// The average of each service.
    services: HashMap<Arc<str>, Average>,
}

/// Returns how many times its own work a call takes at an engine where `calls` are ahead of it.
pub fn turns(calls: u32, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    1.0 + ((f64::from(calls) + 1.0 - slots) / slots).max(0.0)
}

impl Table {
    /// Records an answer that took `elapsed` for a number of [`turns`].
    pub fn record(
        &mut self,
        service: &Arc<str>,
        engine: EngineKey,
        elapsed: Duration,
        turns: f64,
        now: Time,
    ) {
        let seconds = elapsed.as_secs_f64() / turns.max(1.0);
        let first = Average { seconds, updated_at: now };
        let of_service = self.services.entry(service.clone()).or_insert(first);
        of_service.add(seconds, now);
        let of_engine = self.engines.entry(engine).or_insert(first);
        if now.since(of_engine.updated_at) > SAMPLE_TTL {
            *of_engine = first;
        }
        of_engine.add(seconds, now);
    }

    /// Returns the time that a call takes at an engine; none before the first answer.
    pub fn at(&self, service: &str, engine: EngineKey, now: Time) -> Option<Duration> {
        let own = self.engines.get(&engine);
        let own = own.filter(|it| now.since(it.updated_at) <= SAMPLE_TTL);
        let seconds = own.or_else(|| self.services.get(service))?.seconds;
        Some(Duration::from_secs_f64(seconds))
    }

    /// Returns the mean time that a call of a service takes; none before the first answer.
    pub fn mean(&self, service: &str) -> Option<Duration> {
        self.services.get(service).map(|it| Duration::from_secs_f64(it.seconds))
    }

    /// Forgets an engine.
    pub fn forget(&mut self, engine: EngineKey) {
        self.engines.remove(&engine);
    }
}

impl Average {
    /// Adds an answer.
    fn add(&mut self, seconds: f64, now: Time) {
        self.seconds += (seconds - self.seconds) * SAMPLE_WEIGHT;
        self.updated_at = now;
    }
}
