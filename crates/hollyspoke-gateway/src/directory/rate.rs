//! The rates at which engines prefill prompts, measured from their answers.

use std::time::Duration;

use hollyspoke::time::Time;

use super::{Directory, Record};
use crate::engine::{EngineKey, Stage};

/// The prefill rate that is assumed before the first measurement, in tokens per millisecond.
const INITIAL_PREFILL_RATE_TOKENS_PER_MS: f64 = 30.0;

/// The prefill rate of decode engines as a share of that of prefill engines.
const DECODE_RATE_SHARE: f64 = 0.5;

/// The weight of the newest sample in a moving average of rates.
const SAMPLE_WEIGHT: f64 = 0.3;

/// The weights of samples above and below the best prefill rate. Most samples are too low, since
/// they include the wait for other work that this box did not know of.
const BEST_RATE_WEIGHTS: (f64, f64) = (0.2, 0.02);

/// How long an engine's own measurements are preferred to those of its whole service.
const MEASUREMENT_TTL: Duration = Duration::from_secs(8);

impl Directory {
    /// Records how long an engine took to prefill a prompt and the tokens queued before it.
    pub fn measure(&mut self, engine: EngineKey, tokens: u64, took: Duration, now: Time) {
        let millis = took.as_secs_f64() * 1e3;
        if millis <= 0.0 {
            return;
        }
        let sample = tokens as f64 / millis;
        let Some(known) = self.engines.get_mut(&engine) else { return };
        let fresh = known.rate.filter(|(_, at)| now.since(*at) < MEASUREMENT_TTL);
        let rate = fresh.map_or(sample, |(rate, _)| rate + SAMPLE_WEIGHT * (sample - rate));
        known.rate = Some((rate, now));
        if known.engine.stage == Some(Stage::Prefill) {
            let service = known.engine.service.clone();
            let best = self.best_rates.entry(service).or_insert(INITIAL_PREFILL_RATE_TOKENS_PER_MS);
            let weight = if sample > *best { BEST_RATE_WEIGHTS.0 } else { BEST_RATE_WEIGHTS.1 };
            *best += weight * (sample - *best);
        }
        let group = (known.engine.service.clone(), known.engine.stage == Some(Stage::Prefill));
        let shared = self.rates.entry(group).or_insert(sample);
        *shared += SAMPLE_WEIGHT * (sample - *shared);
    }

    /// Returns the rate at which an engine prefills prompts, in tokens per millisecond.
    pub fn prefill_rate(&self, known: &Record, now: Time) -> f64 {
        if let Some((rate, at)) = known.rate
            && now.since(at) < MEASUREMENT_TTL
        {
            return rate;
        }
        let is_prefill = known.engine.stage == Some(Stage::Prefill);
        let group = (known.engine.service.clone(), is_prefill);
        let first = if is_prefill {
            INITIAL_PREFILL_RATE_TOKENS_PER_MS
        } else {
            INITIAL_PREFILL_RATE_TOKENS_PER_MS * DECODE_RATE_SHARE
        };
        self.rates.get(&group).copied().unwrap_or(first)
    }

    /// Returns the rate at which a prefill engine of a service prefills prompts when nothing delays
    /// it, in tokens per millisecond.
    pub fn best_prefill_rate(&self, service: &str) -> f64 {
        self.best_rates.get(service).copied().unwrap_or(INITIAL_PREFILL_RATE_TOKENS_PER_MS)
    }

    /// Returns the rate at which an engine of this stage and service prefills prompts when nothing
    /// delays it, in tokens per millisecond.
    pub fn idle_prefill_rate(&self, known: &Record) -> f64 {
        let share =
            if known.engine.stage == Some(Stage::Prefill) { 1.0 } else { DECODE_RATE_SHARE };
        self.best_prefill_rate(&known.engine.service) * share
    }
}
