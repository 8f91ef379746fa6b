//! The demand for a service with stages, as one box sees it: the tokens to prefill and the memory
//! to hold, each as an exponentially decaying mean.

use std::time::Duration;

use hollyspoke::time::Time;

use crate::message::Demand;

/// The time in which a request's weight in the mean decays to about a third. It covers some tens of
/// requests, and is short enough to follow a shift of the load while it lasts.
pub const DECAY_TIME: Duration = Duration::from_secs(6);

/// The minimum time that a mean covers.
const MIN_AGE: Duration = Duration::from_millis(500);

/// The recent requests for one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Meter {
    /// When the first request arrived.
    first: Option<Time>,
    /// When the sums were last updated.
    updated_at: Time,
    /// The tokens to prefill.
    prefill_tokens: f64,
    /// The tokens to hold in memory, each for the duration of a run.
    held_tokens: f64,
    /// The number of requests.
    requests: f64,
}

impl Meter {
    /// Adds a request that prefills `tokens` and holds `held` tokens in memory.
    pub fn record(&mut self, tokens: u64, held: u64, now: Time) {
        self.first.get_or_insert(now);
        self.decay(now);
        self.prefill_tokens += tokens as f64;
        self.held_tokens += held as f64;
        self.requests += 1.0;
    }

    /// Returns the recent demand, if a run holds its memory for `run` on average.
    pub fn demand(&mut self, now: Time, run: Duration) -> Demand {
        self.decay(now);
        let Some(first) = self.first else { return Demand::default() };
        let age = now.since(first).max(MIN_AGE).as_secs_f64();
        let decay_s = DECAY_TIME.as_secs_f64();
        // While the meter is younger than the decay time, its sums cover less than their full
        // window.
        let window_s = decay_s * (1.0 - (-age / decay_s).exp());
        Demand {
            prefill_tokens_per_s: (self.prefill_tokens / window_s) as u32,
            held_tokens: (self.held_tokens / window_s * run.as_secs_f64()) as u32,
            requests: self.requests as u32,
        }
    }

    /// Returns the mean memory that a request holds, in tokens; none before the first request.
    pub fn mean_held_tokens(&self) -> Option<f64> {
        (self.requests > 0.0).then(|| self.held_tokens / self.requests)
    }

    /// Decays the sums up to the current time.
    fn decay(&mut self, now: Time) {
        let share = (-now.since(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.updated_at = now;
        self.prefill_tokens *= share;
        self.held_tokens *= share;
        self.requests *= share;
    }
}

/// The run duration that is assumed initially, and the number of ended runs that the assumption
/// counts as.
const INITIAL_RUN: (Duration, f64) = (Duration::from_secs(2), 2.0);

/// How long runs hold their memory: the time spent in recent runs, divided by the number of runs
/// that ended.
///
/// By Little's law this is the mean duration of a run. Unlike the mean over ended runs, it is not
/// too low while only short runs have ended.
#[derive(Debug, Clone, Copy)]
pub struct Runs {
    /// The number of runs in progress.
    running: u32,
    /// The decayed total time of runs, in seconds.
    busy_s: f64,
    /// The decayed number of runs that have ended.
    ended: f64,
    /// When the sums were last updated.
    updated_at: Time,
}

impl Default for Runs {
    fn default() -> Runs {
        let (duration, count) = INITIAL_RUN;
        let busy_s = duration.as_secs_f64() * count;
        Runs { running: 0, busy_s, ended: count, updated_at: Time::ZERO }
    }
}

impl Runs {
    /// Records the start of a run.
    pub fn begin(&mut self, now: Time) {
        self.advance(now);
        self.running += 1;
    }

    /// Records the end of a run.
    pub fn end(&mut self, now: Time) {
        self.advance(now);
        self.running = self.running.saturating_sub(1);
        self.ended += 1.0;
    }

    /// Returns the mean time for which a run holds its memory.
    pub fn mean(&mut self, now: Time) -> Duration {
        self.advance(now);
        let (duration, count) = INITIAL_RUN;
        // The weight of the initial assumption decays, but never to zero.
        let busy_s = self.busy_s + duration.as_secs_f64() * count * INITIAL_RUN_SHARE;
        Duration::from_secs_f64(busy_s / (self.ended + count * INITIAL_RUN_SHARE))
    }

    /// Updates the sums to the current time.
    fn advance(&mut self, now: Time) {
        let decay_s = DECAY_TIME.as_secs_f64();
        let share = (-now.since(self.updated_at).as_secs_f64() / decay_s).exp();
        self.updated_at = now;
        self.busy_s = self.busy_s * share + f64::from(self.running) * decay_s * (1.0 - share);
        self.ended *= share;
    }
}

/// The share of the initial assumption that never decays, so that a box without runs still has a
/// mean.
const INITIAL_RUN_SHARE: f64 = 0.1;
