//! Engines that name how many requests a second they take from all boxes together, and what came to
//! them.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::rate_limit::Reported;

/// The span over which what comes to an engine is counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// How long after it was first named a limit is kept.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);

/// How long after a box was told what it sends counts.
const COUNTED_AFTER: Duration = Duration::from_millis(500);

/// The times by which what a limit allows may be exceeded.
const OVERRUN_RATIO: f64 = 1.5;

/// The requests by which it may be exceeded beside that.
const SLACK_COUNT: f64 = 5.0;

/// What an engine has named, and when.
#[derive(Debug, Clone, Copy)]
struct LimitChange {
    /// The requests a second; none from when on it names no limit.
    rate: Option<f64>,
    /// Since when.
    since: Time,
}

/// A life of a box: its number, and which of its lives.
pub type Sender = (usize, u64);

/// Something that came to an engine in need.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// The box that sent it.
    sender: Sender,
    /// When.
    at: Time,
}

/// One engine.
#[derive(Debug, Clone, Default)]
struct EngineHistory {
    /// All that it has named, in order.
    changes: Vec<LimitChange>,
    /// What came to it.
    arrivals: Vec<Arrival>,
    /// When each life of a box was first told, since the last time that nothing was named.
    informed: BTreeMap<Sender, Time>,
}

/// All engines that have ever named a limit.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    /// The engines.
    engines: BTreeMap<EngineKey, EngineHistory>,
}

/// Returns what an engine may get in the span.
pub fn allowed(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() * OVERRUN_RATIO + SLACK_COUNT
}

impl RateLimits {
    /// Has an engine name a limit from now on, or none.
    pub fn set_limit(&mut self, engine: EngineKey, rate: Option<f64>, now: Time) {
        let history = self.engines.entry(engine).or_default();
        history.changes.push(LimitChange { rate, since: now });
        if rate.is_none() {
            history.informed.clear();
        }
    }

    /// Has an engine begin a new life, which is not in need.
    pub fn forget(&mut self, engine: EngineKey, now: Time) {
        if self.engines.contains_key(&engine) {
            self.set_limit(engine, None, now);
        }
    }

    /// Records that something of a box comes to an engine; gives what its answer says.
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

    /// Returns the most that has come to any engine within the span, as a share of what is allowed.
    pub fn bound_used(&self) -> f64 {
        self.engines.values().map(EngineHistory::bound_used).fold(0.0, f64::max)
    }

    /// Returns how much of their limits the engines have got in the mean of a time.
    pub fn limit_used(&self, from: Time, to: Time) -> f64 {
        let count = |it: &EngineHistory| {
            it.arrivals.iter().filter(|it| it.at >= from && it.at < to).count()
        };
        let got: usize = self.engines.values().map(count).sum();
        let rates = self.engines.values().filter_map(|it| it.changes.last()?.rate);
        got as f64 / (rates.sum::<f64>() * to.since(from).as_secs_f64()).max(f64::MIN_POSITIVE)
    }

    /// Returns how many requests have come to an engine in a time.
    pub fn arrivals_between(&self, engine: EngineKey, from: Time, to: Time) -> usize {
        let arrivals = self.engines.get(&engine).map(|it| it.arrivals.iter());
        let arrivals = arrivals.into_iter().flatten();
        arrivals.filter(|it| it.at >= from && it.at < to).count()
    }
}

impl EngineHistory {
    /// Returns the most that has come within the span, as a share of what is allowed.
    fn bound_used(&self) -> f64 {
        let counted: Vec<_> = self.arrivals.iter().filter(|it| self.is_counted(it)).collect();
        let used = counted.iter().filter_map(|last| {
            let allowed = allowed(self.max_rate(last.at)?);
            let is_within = |it: &&&Arrival| it.at <= last.at && it.at + WINDOW > last.at;
            Some(counted.iter().filter(is_within).count() as f64 / allowed)
        });
        used.fold(0.0, f64::max)
    }

    /// Returns whether what a box sent counts.
    fn is_counted(&self, arrival: &Arrival) -> bool {
        let informed = self.informed.get(&arrival.sender);
        informed.is_some_and(|it| arrival.at >= *it + COUNTED_AFTER)
    }

    /// Returns the highest limit that was named in the span that ends at a time, if it is to be kept
    /// by then: it was first named some time before, and nothing was lifted meanwhile.
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
