//! What an engine's answers tell about it: its rate of failure, and whether it is to be avoided.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

/// The weight of the newest outcome in the rate of failure.
const OUTCOME_WEIGHT: f64 = 0.2;

/// The time after which a rate of failure counts half.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// How long an engine is avoided after its connection did not open.
const MIN_AVOIDANCE: Duration = Duration::from_millis(700);

/// The longest time an engine is avoided before it is tried again.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// How long the word of other boxes counts that they did not reach an engine.
const SUSPICION_TTL: Duration = Duration::from_millis(1500);

/// How many other boxes must say so: one alone may be cut off itself.
const MIN_SUSPECTING_COUNT: usize = 2;

/// The rate of failure above which an engine is avoided while others are better.
const POOR_FAILURE_RATIO: f64 = 0.35;

/// What is known of one engine's health.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// The rate of failure at `rated`.
    rate: f64,
    /// When the rate was last set.
    rated: Time,
    /// Connections in a row that did not open.
    failed_connections: u32,
    /// Until when it is avoided.
    avoided_until: Option<Time>,
    /// The boxes that have not reached it of late, and when they said so.
    suspecting: Vec<(SocketAddr, Time)>,
}

impl Health {
    /// Notes a good answer.
    pub fn record_success(&mut self, now: Time) {
        self.failed_connections = 0;
        self.avoided_until = None;
        self.suspecting.clear();
        self.set(now, self.failure_rate(now) * (1.0 - OUTCOME_WEIGHT));
    }

    /// Notes a failed answer.
    pub fn record_failure(&mut self, now: Time) {
        self.set(now, self.failure_rate(now) * (1.0 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT);
    }

    /// Notes a connection that did not open, or an engine that fell silent; gives the time for
    /// which it is avoided.
    pub fn record_unreachable(&mut self, now: Time) -> Duration {
        let interval = MIN_AVOIDANCE * 2u32.pow(self.failed_connections.min(4));
        let interval = interval.min(MAX_AVOIDANCE);
        self.failed_connections += 1;
        self.avoided_until = Some(now + interval);
        interval
    }

    /// Notes that another box has not reached the engine.
    pub fn suspect(&mut self, node: SocketAddr, now: Time) {
        let is_other = |it: &(SocketAddr, Time)| it.0 != node;
        self.suspecting.retain(|it| is_other(it) && now.since(it.1) < SUSPICION_TTL);
        self.suspecting.push((node, now));
    }

    /// Tells whether several other boxes have not reached the engine of late.
    pub fn is_suspected(&self, now: Time) -> bool {
        let fresh = self.suspecting.iter().filter(|it| now.since(it.1) < SUSPICION_TTL);
        fresh.count() >= MIN_SUSPECTING_COUNT
    }

    /// Gives the rate of failure, from 0 to 1, which fades with time.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let half_lives = now.since(self.rated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(half_lives)
    }

    /// Tells whether the engine is to be avoided while others can be used.
    pub fn is_poor(&self, now: Time) -> bool {
        self.is_unreachable(now) || self.failure_rate(now) > POOR_FAILURE_RATIO
    }

    /// Tells whether the engine could not be reached of late, so that it gets nothing.
    pub fn is_unreachable(&self, now: Time) -> bool {
        self.avoided_until.is_some_and(|it| now < it)
    }

    /// Sets the rate of failure.
    fn set(&mut self, now: Time, rate: f64) {
        self.rate = rate;
        self.rated = now;
    }
}
