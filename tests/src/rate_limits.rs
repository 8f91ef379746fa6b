//! Engines that state how many requests per second they accept from all boxes together, and the
//! requests that arrived at them.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::rate_limit::Reported;

/// The window over which arrivals at an engine are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// The time after its first statement from which a limit is checked.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);

/// The time after a box was informed from which its requests count.
const COUNTED_AFTER: Duration = Duration::from_millis(500);

/// The factor by which arrivals may exceed the limit.
const OVERRUN_RATIO: f64 = 1.5;

/// The number of requests by which arrivals may exceed the limit in addition.
const SLACK_COUNT: f64 = 5.0;

/// A change of the limit that an engine states.
#[derive(Debug, Clone, Copy)]
struct LimitChange {
    /// The limit in requests per second; `None` if it states no limit.
    rate: Option<f64>,
    /// The time of the change.
    since: Time,
}

/// An incarnation of a box: the box's number and its count of starts.
pub type Sender = (usize, u64);

/// A message that arrived at an engine that has stated a limit.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// The box and incarnation that sent it.
    sender: Sender,
    /// The time of arrival.
    at: Time,
}

/// The changes and arrivals of one engine.
#[derive(Debug, Clone, Default)]
struct EngineHistory {
    /// All changes of its limit, in order.
    changes: Vec<LimitChange>,
    /// The messages that arrived at it.
    arrivals: Vec<Arrival>,
    /// When each incarnation of a box was first informed, since the last time without a limit.
    informed: BTreeMap<Sender, Time>,
}

/// All engines that have stated a limit.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    /// The engines' histories.
    engines: BTreeMap<EngineKey, EngineHistory>,
}

/// Returns the number of arrivals allowed at an engine in the window.
pub fn allowed(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() * OVERRUN_RATIO + SLACK_COUNT
}

impl RateLimits {
    /// Sets or removes the limit that an engine states from now on.
    pub fn set_limit(&mut self, engine: EngineKey, rate: Option<f64>, now: Time) {
        let history = self.engines.entry(engine).or_default();
        history.changes.push(LimitChange { rate, since: now });
        if rate.is_none() {
            history.informed.clear();
        }
    }

    /// Starts a new incarnation of an engine, which is not rate-limited.
    pub fn forget(&mut self, engine: EngineKey, now: Time) {
        if self.engines.contains_key(&engine) {
            self.set_limit(engine, None, now);
        }
    }

    /// Records the arrival of a box's message at an engine; returns the limit that the answer
    /// states.
    pub fn arrive(&mut self, sender: Sender, engine: EngineKey, now: Time) -> Reported {
        let Some(history) = self.engines.get_mut(&engine) else { return Reported::Nothing };
        history.arrivals.push(Arrival { sender, at: now });
        match history.changes.last().and_then(|it| it.rate) {
            Some(rate) => {
                history.informed.entry(sender).or_insert(now);
                Reported::Rate(rate)
            }
            None => Reported::Nothing,
        }
    }

    /// Returns the maximum number of arrivals at any engine within the window, as a share of what
    /// is allowed.
    pub fn bound_used(&self) -> f64 {
        self.engines.values().map(EngineHistory::bound_used).fold(0.0, f64::max)
    }

    /// Returns the share of their limits that the engines received on average in an interval.
    pub fn limit_used(&self, from: Time, to: Time) -> f64 {
        let count = |it: &EngineHistory| {
            it.arrivals.iter().filter(|it| it.at >= from && it.at < to).count()
        };
        let got: usize = self.engines.values().map(count).sum();
        let rates = self.engines.values().filter_map(|it| it.changes.last()?.rate);
        got as f64 / (rates.sum::<f64>() * to.since(from).as_secs_f64()).max(f64::MIN_POSITIVE)
    }

    /// Returns how many requests arrived at an engine in an interval.
    pub fn arrivals_between(&self, engine: EngineKey, from: Time, to: Time) -> usize {
        let arrivals = self.engines.get(&engine).map(|it| it.arrivals.iter());
        let arrivals = arrivals.into_iter().flatten();
        arrivals.filter(|it| it.at >= from && it.at < to).count()
    }
}

impl EngineHistory {
    /// Returns the maximum number of arrivals within the window, as a share of what is allowed.
    fn bound_used(&self) -> f64 {
        let counted: Vec<_> = self.arrivals.iter().filter(|it| self.is_counted(it)).collect();
        let used = counted.iter().filter_map(|last| {
            let allowed = allowed(self.max_rate(last.at)?);
            let is_within = |it: &&&Arrival| it.at <= last.at && it.at + WINDOW > last.at;
            Some(counted.iter().filter(is_within).count() as f64 / allowed)
        });
        used.fold(0.0, f64::max)
    }

    /// Returns whether an arrival counts.
    fn is_counted(&self, arrival: &Arrival) -> bool {
        let informed = self.informed.get(&arrival.sender);
        informed.is_some_and(|it| arrival.at >= *it + COUNTED_AFTER)
    }

    /// Returns the highest limit stated in the window that ends at a time. It is absent if the
    /// limit was first stated only shortly before, or was removed since.
    fn max_rate(&self, end: Time) -> Option<f64> {
        let until = self.changes.iter().take_while(|it| it.since <= end);
        let changes: Vec<_> = until.collect();
        let unbroken = changes.iter().rev().take_while(|it| it.rate.is_some());
        let first = unbroken.last()?;
        if end < first.since + ENFORCED_AFTER {
            return None;
        }
        let ends = changes.iter().skip(1).map(|it| it.since).chain([end]);
        let in_span = changes.iter().zip(ends).filter(|(_, until)| *until + WINDOW > end);
        in_span.filter_map(|(it, _)| it.rate).reduce(f64::max)
    }
}
