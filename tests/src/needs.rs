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
const KEPT_AFTER: Duration = Duration::from_secs(3);

/// How long after a box was told what it sends counts.
const COUNTS_AFTER: Duration = Duration::from_millis(500);

/// The times by which what a limit allows may be exceeded.
const OVERRUN: f64 = 1.5;

/// The requests by which it may be exceeded beside that.
const SLACK: f64 = 5.0;

/// What an engine has named, and when.
#[derive(Debug, Clone, Copy)]
struct Named {
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
struct Need {
    /// All that it has named, in order.
    named: Vec<Named>,
    /// What came to it.
    arrivals: Vec<Arrival>,
    /// When each life of a box was first told, since the last time that nothing was named.
    told: BTreeMap<Sender, Time>,
}

/// All engines that have ever named a limit.
#[derive(Debug, Clone, Default)]
pub struct Needs {
    /// The engines.
    engines: BTreeMap<EngineKey, Need>,
}

/// Gives what an engine may get in the span.
pub fn allowed(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() * OVERRUN + SLACK
}

impl Needs {
    /// Has an engine name a limit from now on, or none.
    pub fn name(&mut self, engine: EngineKey, rate: Option<f64>, now: Time) {
        let need = self.engines.entry(engine).or_default();
        need.named.push(Named { rate, since: now });
        if rate.is_none() {
            need.told.clear();
        }
    }

    /// Has an engine begin a new life, which is not in need.
    pub fn forget(&mut self, engine: EngineKey, now: Time) {
        if self.engines.contains_key(&engine) {
            self.name(engine, None, now);
        }
    }

    /// Notes that something of a box comes to an engine; gives what its answer says.
    pub fn arrive(&mut self, sender: Sender, engine: EngineKey, now: Time) -> Reported {
        let Some(need) = self.engines.get_mut(&engine) else { return Reported::Nothing };
        need.arrivals.push(Arrival { sender, at: now });
        match need.named.last().and_then(|it| it.rate) {
            Some(rate) => {
                need.told.entry(sender).or_insert(now);
                Reported::Rate(rate)
            }
            None => Reported::Nothing,
        }
    }

    /// Gives the most that has come to any engine within the span, as a share of what is allowed.
    pub fn bound_used(&self) -> f64 {
        self.engines.values().map(Need::bound_used).fold(0.0, f64::max)
    }

    /// Gives how much of their limits the engines have got in the mean of a time.
    pub fn limit_used(&self, from: Time, to: Time) -> f64 {
        let count = |it: &Need| it.arrivals.iter().filter(|it| it.at >= from && it.at < to).count();
        let got: usize = self.engines.values().map(count).sum();
        let rates = self.engines.values().filter_map(|it| it.named.last()?.rate);
        got as f64 / (rates.sum::<f64>() * to.since(from).as_secs_f64()).max(f64::MIN_POSITIVE)
    }

    /// Gives how many requests have come to an engine in a time.
    pub fn got(&self, engine: EngineKey, from: Time, to: Time) -> usize {
        let arrivals = self.engines.get(&engine).map(|it| it.arrivals.iter());
        let arrivals = arrivals.into_iter().flatten();
        arrivals.filter(|it| it.at >= from && it.at < to).count()
    }
}

impl Need {
    /// Gives the most that has come within the span, as a share of what is allowed.
    fn bound_used(&self) -> f64 {
        let counted: Vec<_> = self.arrivals.iter().filter(|it| self.counts(it)).collect();
        let used = counted.iter().filter_map(|last| {
            let allowed = allowed(self.most_named(last.at)?);
            let is_within = |it: &&&Arrival| it.at <= last.at && it.at + WINDOW > last.at;
            Some(counted.iter().filter(is_within).count() as f64 / allowed)
        });
        used.fold(0.0, f64::max)
    }

    /// Tells whether what a box sent counts.
    fn counts(&self, arrival: &Arrival) -> bool {
        let told = self.told.get(&arrival.sender);
        told.is_some_and(|it| arrival.at >= *it + COUNTS_AFTER)
    }

    /// Gives the highest limit that was named in the span that ends at a time, if it is to be kept
    /// by then: it was first named some time before, and nothing was lifted meanwhile.
    fn most_named(&self, end: Time) -> Option<f64> {
        let until = self.named.iter().take_while(|it| it.since <= end);
        let named: Vec<_> = until.collect();
        let unbroken = named.iter().rev().take_while(|it| it.rate.is_some());
        let first = unbroken.last()?;
        if end < first.since + KEPT_AFTER {
            return None;
        }
        let ends = named.iter().skip(1).map(|it| it.since).chain([end]);
        let in_span = named.iter().zip(ends).filter(|(_, until)| *until + WINDOW > end);
        in_span.filter_map(|(it, _)| it.rate).reduce(f64::max)
    }
}
