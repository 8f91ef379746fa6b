//! What an engine's answers tell about it: its rate of failure, and whether it is to be avoided.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

/// The weight of the newest outcome in the rate of failure.
const NEWEST: f64 = 0.2;

/// The time after which a rate of failure counts half.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// How long an engine is avoided after its connection did not open.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(700);

/// The longest time an engine is avoided before it is tried again.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(4);

/// How long the word of other boxes counts that they did not reach an engine.
const SUSPECTED_FOR: Duration = Duration::from_millis(1500);

/// How many other boxes must say so: one alone may be cut off itself.
const LEAST_SUSPECTING: usize = 2;

/// The rate of failure above which an engine is avoided while others are better.
const POOR_RATE: f64 = 0.35;

/// What is known of one engine's health.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// The rate of failure at `rated`.
    rate: f64,
    /// When the rate was last set.
    rated: Time,
    /// Connections in a row that did not open.
    unopened: u32,
    /// Until when it is avoided.
    avoided_until: Option<Time>,
    /// The boxes that have not reached it of late, and when they said so.
    suspecting: Vec<(SocketAddr, Time)>,
}

impl Health {
    /// Notes a good answer.
    pub fn succeed(&mut self, now: Time) {
        self.unopened = 0;
        self.avoided_until = None;
        self.suspecting.clear();
        self.set(now, self.rate(now) * (1.0 - NEWEST));
    }

    /// Notes a failed answer.
    pub fn fail(&mut self, now: Time) {
        self.set(now, self.rate(now) * (1.0 - NEWEST) + NEWEST);
    }

    /// Notes a connection that did not open, or an engine that fell silent; gives the time for
    /// which it is avoided.
    pub fn miss(&mut self, now: Time) -> Duration {
        let span = FIRST_AVOIDANCE * 2u32.pow(self.unopened.min(4));
        let span = span.min(LONGEST_AVOIDANCE);
        self.unopened += 1;
        self.avoided_until = Some(now + span);
        span
    }

    /// Notes that another box has not reached the engine.
    pub fn suspect(&mut self, node: SocketAddr, now: Time) {
        let is_other = |it: &(SocketAddr, Time)| it.0 != node;
        self.suspecting.retain(|it| is_other(it) && now.since(it.1) < SUSPECTED_FOR);
        self.suspecting.push((node, now));
    }

    /// Tells whether several other boxes have not reached the engine of late.
    pub fn is_suspected(&self, now: Time) -> bool {
        let fresh = self.suspecting.iter().filter(|it| now.since(it.1) < SUSPECTED_FOR);
        fresh.count() >= LEAST_SUSPECTING
    }

    /// Gives the rate of failure, from 0 to 1, which fades with time.
    pub fn rate(&self, now: Time) -> f64 {
        let halves = now.since(self.rated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(halves)
    }

    /// Tells whether the engine is to be avoided while others can be used.
    pub fn is_poor(&self, now: Time) -> bool {
        self.is_out(now) || self.rate(now) > POOR_RATE
    }

    /// Tells whether the engine could not be reached of late, so that it gets nothing.
    pub fn is_out(&self, now: Time) -> bool {
        self.avoided_until.is_some_and(|it| now < it)
    }

    /// Sets the rate of failure.
    fn set(&mut self, now: Time, rate: f64) {
        self.rate = rate;
        self.rated = now;
    }
}
