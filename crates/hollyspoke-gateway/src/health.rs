//! The health of an engine: its failure rate, and whether it should be avoided.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::silence::Standing;

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

/// How long an engine that left a probe unanswered is taken to stand still. Calls to it that are
/// silent then lead to another probe.
const STILL_TTL: Duration = Duration::from_millis(1500);

/// The minimum number of other boxes that must report so: a single one may itself be cut off.
const MIN_SUSPECTING_COUNT: usize = 2;

/// The pause between two events of a stream from which on its engine stood still, and all its
/// streams with it. Slow engines pause for some hundred milliseconds.
pub(crate) const MIN_STANDSTILL: Duration = Duration::from_secs(1);

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
    /// When the last standstill ended that was recorded.
    stood_still_until: Option<Time>,
    /// The boxes that recently reported that they could not reach the engine, and when.
    suspecting: Vec<(SocketAddr, Time)>,
    /// When anything last came from the engine.
    heard_at: Option<Time>,
    /// When the engine last left a probe unanswered, if nothing has come from it since.
    unanswered_at: Option<Time>,
    /// When the engine was last probed.
    probed_at: Option<Time>,
    /// When a connection to the engine could last not be opened.
    unreachable_at: Option<Time>,
    /// Whether the engine is avoided because calls to it are silent.
    is_blamed_for_silence: bool,
    /// When the engine went on after it had been silent.
    went_on_at: Option<Time>,
}

/// The end of an engine's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceEnd {
    /// Whether the engine was avoided for it.
    pub was_avoided: bool,
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

    /// Records that an event of a stream came too late after the one before. A single standstill is
    /// over with that event. One that follows another within the time in which the failure rate decays
    /// by half is a failure, but one for all streams that it delays.
    pub fn record_pause(&mut self, began: Time, now: Time) {
        if now.since(began) < MIN_STANDSTILL {
            return self.record_failure(now);
        }
        let last = self.stood_still_until.replace(now);
        let is_new = last.is_none_or(|it| began >= it);
        let is_repeated = last.is_some_and(|it| began.since(it) < HALF_LIFE);
        if is_new && is_repeated {
            self.record_failure(now);
        }
    }

    /// Records a connection that could not be opened, or an engine that timed out. Returns how long
    /// the engine is avoided.
    pub fn record_unreachable(&mut self, now: Time) -> Duration {
        self.unreachable_at = Some(now);
        self.avoid(now)
    }

    /// Avoids the engine for a time, which it returns: longer with each time in a row.
    pub fn avoid(&mut self, now: Time) -> Duration {
        let interval = MIN_AVOIDANCE * 2u32.pow(self.failed_connections.min(4));
        let interval = interval.min(MAX_AVOIDANCE);
        self.failed_connections += 1;
        self.avoided_until = Some(now + interval);
        interval
    }

    /// Records that the engine is avoided because calls to it are silent and no connection to it
    /// opens.
    pub fn blame_for_silence(&mut self) {
        self.is_blamed_for_silence = true;
    }

    /// Records that the engine is probed.
    pub fn record_probed(&mut self, now: Time) {
        self.probed_at = Some(now);
    }

    /// Returns whether the engine was probed since a time.
    pub fn was_probed_after(&self, time: Time) -> bool {
        self.probed_at >= Some(time)
    }

    /// Records that a connection to the engine opened, and that a probe through it was not answered.
    pub fn record_unanswered(&mut self, now: Time) {
        self.unanswered_at = Some(now);
    }

    /// Records that something came from the engine. Returns the end of its silence, if it was known
    /// to be silent.
    pub fn record_heard(&mut self, now: Time) -> Option<SilenceEnd> {
        self.heard_at = Some(now);
        self.unreachable_at = None;
        let was_still = self.unanswered_at.take().is_some();
        let was_avoided = std::mem::take(&mut self.is_blamed_for_silence);
        if was_avoided {
            self.failed_connections = 0;
            self.avoided_until = None;
        }
        if !was_still && !was_avoided {
            return None;
        }
        self.went_on_at = Some(now);
        Some(SilenceEnd { was_avoided })
    }

    /// Returns what is known of the engine since a time.
    pub fn standing(&self, since: Time) -> Standing {
        let since = Some(since);
        if self.unreachable_at >= since {
            Standing::Unreachable
        } else if self.unanswered_at >= since {
            Standing::Still
        } else if self.heard_at >= since {
            Standing::Responsive
        } else {
            Standing::Unknown
        }
    }

    /// Returns whether the engine recently left a probe unanswered, and nothing has come from it
    /// since.
    pub fn is_still(&self, now: Time) -> bool {
        self.unanswered_at.is_some_and(|it| now.since(it) < STILL_TTL)
    }

    /// Returns whether anything has come from the engine since a time.
    pub fn was_heard_after(&self, time: Time) -> bool {
        self.heard_at > Some(time)
    }

    /// Returns when the engine last went on after it had been silent.
    pub fn went_on_at(&self) -> Option<Time> {
        self.went_on_at
    }

    /// Records that another box could not reach the engine.
    pub fn suspect(&mut self, node: SocketAddr, now: Time) {
        let is_other = |it: &(SocketAddr, Time)| it.0 != node;
        self.suspecting.retain(|it| is_other(it) && now.since(it.1) < SUSPICION_TTL);
        self.suspecting.push((node, now));
    }

    /// Withdraws another box's report that it could not reach the engine.
    pub fn withdraw_suspicion(&mut self, node: SocketAddr) {
        self.suspecting.retain(|it| it.0 != node);
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
