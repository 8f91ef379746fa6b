//! What clients ask of a service with stages, as one box sees it: the tokens to read and the
//! memory to hold, each as a mean that forgets.

use std::time::Duration;

use hollyspoke::time::Time;

use crate::message::Demand;

/// The time in which a request's part in the mean falls to a third. Long enough for some tens of
/// requests, short enough to follow a load that shifts before it has passed.
pub const DECAY_TIME: Duration = Duration::from_secs(6);

/// The shortest time that a mean is taken over.
const MIN_AGE: Duration = Duration::from_millis(500);

/// The requests of one service that arrived of late.
#[derive(Debug, Clone, Copy, Default)]
pub struct Meter {
    /// When the first request arrived.
    first: Option<Time>,
    /// When the sums were last brought up to date.
    updated: Time,
    /// The tokens to read.
    reading: f64,
    /// The tokens to hold in memory, each for the length of a run.
    held: f64,
    /// The requests.
    requests: f64,
}

impl Meter {
    /// Adds a request.
    pub fn record(&mut self, tokens: u64, held: u64, now: Time) {
        self.first.get_or_insert(now);
        self.decay(now);
        self.reading += tokens as f64;
        self.held += held as f64;
        self.requests += 1.0;
    }

    /// Gives what is asked of late, if a run holds its memory for `run` on the mean.
    pub fn demand(&mut self, now: Time, run: Duration) -> Demand {
        self.decay(now);
        let Some(first) = self.first else { return Demand::default() };
        let age = now.since(first).max(MIN_AGE).as_secs_f64();
        let decay_s = DECAY_TIME.as_secs_f64();
        // The sums of a meter that is younger than its memory are not full yet.
        let window_s = decay_s * (1.0 - (-age / decay_s).exp());
        Demand {
            prefill_tokens_per_s: (self.reading / window_s) as u32,
            held_tokens: (self.held / window_s * run.as_secs_f64()) as u32,
            requests: self.requests as u32,
        }
    }

    /// Lets the sums fade up to a time.
    fn decay(&mut self, now: Time) {
        let share = (-now.since(self.updated).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.updated = now;
        self.reading *= share;
        self.held *= share;
        self.requests *= share;
    }
}

/// The length of a run that is assumed before any has ended, and how many ended runs that is worth.
const INITIAL_RUN: (Duration, f64) = (Duration::from_secs(2), 2.0);

/// How long runs hold their memory: the runs that were under way of late, over those that ended.
///
/// By Little's law this is the mean time of a run, and unlike the mean of the ended ones it is not
/// too short while only the short ones have ended.
#[derive(Debug, Clone, Copy)]
pub struct Runs {
    /// The runs that are under way.
    running: u32,
    /// The time that runs have taken, in seconds.
    busy_s: f64,
    /// The runs that have ended.
    ended: f64,
    /// When the sums were last brought up to date.
    updated: Time,
}

impl Default for Runs {
    fn default() -> Runs {
        let (duration, count) = INITIAL_RUN;
        let busy_s = duration.as_secs_f64() * count;
        Runs { running: 0, busy_s, ended: count, updated: Time::ZERO }
    }
}

impl Runs {
    /// Notes that a run began.
    pub fn begin(&mut self, now: Time) {
        self.advance(now);
        self.running += 1;
    }

    /// Notes that a run ended.
    pub fn end(&mut self, now: Time) {
        self.advance(now);
        self.running = self.running.saturating_sub(1);
        self.ended += 1.0;
    }

    /// Gives how long a run holds its memory, in the mean.
    pub fn mean(&mut self, now: Time) -> Duration {
        self.advance(now);
        let (duration, count) = INITIAL_RUN;
        // What was assumed at the start counts less and less, but never not at all.
        let busy_s = self.busy_s + duration.as_secs_f64() * count * INITIAL_RUN_SHARE;
        Duration::from_secs_f64(busy_s / (self.ended + count * INITIAL_RUN_SHARE))
    }

    /// Brings the sums up to a time.
    fn advance(&mut self, now: Time) {
        let decay_s = DECAY_TIME.as_secs_f64();
        let share = (-now.since(self.updated).as_secs_f64() / decay_s).exp();
        self.updated = now;
        self.busy_s = self.busy_s * share + f64::from(self.running) * decay_s * (1.0 - share);
        self.ended *= share;
    }
}

/// The share of what is assumed at the start that goes on counting, so that a box without runs
/// still has a mean.
const INITIAL_RUN_SHARE: f64 = 0.1;
