//! The health of an engine: its failure rate, and whether it should be avoided.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

/// The weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;

/// The time in which the failure rate decays by half.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// How long an engine is avoided after the first connection that could not be opened.
const MIN_AVOIDANCE: Duration = Duration::from_millis(700);

/// The maximum time for which an engine is avoided before the next attempt.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// How long another box's report that it could not reach an engine stays valid.
const SUSPICION_TTL: Duration = Duration::from_millis(1500);

/// The minimum number of other boxes that must report so: a single one may itself be cut off.
const MIN_SUSPECTING_COUNT: usize = 2;

/// The failure rate above which an engine is avoided while others are better.
const POOR_FAILURE_RATIO: f64 = 0.35;

/// The health of one engine.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// The failure rate at the time `rated_at`.
    rate: f64,
    /// When the failure rate was last set.
    rated_at: Time,
    /// The number of consecutive connections that could not be opened.
    failed_connections: u32,
    /// The time until which the engine is avoided.
    avoided_until: Option<Time>,
    /// When the engine could be used again after it was last unreachable, if an answer has come
    /// since.
    returned_at: Option<Time>,
    /// The boxes that recently reported that they could not reach the engine, and when.
    suspecting: Vec<(SocketAddr, Time)>,
}

impl Health {
    /// Records a successful answer.
    pub fn record_success(&mut self, now: Time) {
        self.failed_connections = 0;
        self.returned_at = self.avoided_until.map(|it| it.min(now)).or(self.returned_at);
        self.avoided_until = None;
        self.suspecting.clear();
        self.set(now, self.failure_rate(now) * (1.0 - OUTCOME_WEIGHT));
    }

    /// Records a failed answer.
    pub fn record_failure(&mut self, now: Time) {
        self.set(now, self.failure_rate(now) * (1.0 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT);
    }

    /// Records a connection that could not be opened, or an engine that timed out. Returns how long
    /// the engine is avoided.
    pub fn record_unreachable(&mut self, now: Time) -> Duration {
        let interval = MIN_AVOIDANCE * 2u32.pow(self.failed_connections.min(4));
        let interval = interval.min(MAX_AVOIDANCE);
        self.failed_connections += 1;
        self.avoided_until = Some(now + interval);
        interval
    }

    /// Records that another box could not reach the engine.
    pub fn suspect(&mut self, node: SocketAddr, now: Time) {
        let is_other = |it: &(SocketAddr, Time)| it.0 != node;
        self.suspecting.retain(|it| is_other(it) && now.since(it.1) < SUSPICION_TTL);
        self.suspecting.push((node, now));
    }

    /// Returns whether several other boxes recently could not reach the engine.
    pub fn is_suspected(&self, now: Time) -> bool {
        let fresh = self.suspecting.iter().filter(|it| now.since(it.1) < SUSPICION_TTL);
        fresh.count() >= MIN_SUSPECTING_COUNT
    }

    /// Returns the failure rate, from 0 to 1, which decays over time.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let half_lives = now.since(self.rated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(half_lives)
    }

    /// Returns whether the engine should be avoided while others are available.
    pub fn is_poor(&self, now: Time) -> bool {
        self.is_unreachable(now) || self.failure_rate(now) > POOR_FAILURE_RATIO
    }

    /// Returns whether the engine was recently unreachable, so that no requests are sent to it.
    pub fn is_unreachable(&self, now: Time) -> bool {
        self.avoided_until.is_some_and(|it| now < it)
    }

    /// Returns when the engine could be used again after it was last unreachable, if it was.
    pub fn returned_at(&self, now: Time) -> Option<Time> {
        self.avoided_until.filter(|it| *it <= now).or(self.returned_at)
    }

    /// Sets the failure rate.
    fn set(&mut self, now: Time, rate: f64) {
        self.rate = rate;
        self.rated_at = now;
    }
}
