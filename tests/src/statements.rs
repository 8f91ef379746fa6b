//! Engines that report that they are draining, or how long the asking box should back off, and the
//! requests that they receive.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::back_off::Reported;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::statement::Statement;

use crate::rate_limits::Sender;

/// How long a box may still send to an engine after it was told that the engine drains.
pub const DRAIN: Duration = Duration::from_secs(2);

/// Requests count only from this long after a box was told to back off.
const COUNTED_AFTER: Duration = Duration::from_millis(500);

/// How many requests a box may send to an engine during a back-off.
pub const MAX_DURING_BACK_OFF: usize = 2;

/// When an engine rejects all requests.
#[derive(Debug, Clone, Copy)]
pub struct BackOffs {
    /// For how long, each time.
    pub duration: Duration,
    /// From one time to the next.
    pub period: Duration,
}

/// A request that reached an engine.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// The box that sent it.
    sender: Sender,
    /// The engine.
    engine: EngineKey,
    /// When.
    at: Time,
}

/// A back-off that an engine asked a box for.
#[derive(Debug, Clone, Copy)]
struct BackOff {
    /// The box.
    sender: Sender,
    /// The engine.
    engine: EngineKey,
    /// When the box was told.
    at: Time,
    /// When it is over.
    until: Time,
}

/// All engines that drain or ask for back-offs.
#[derive(Debug, Clone, Default)]
pub struct Statements {
    /// When each draining engine began to drain.
    draining: BTreeMap<EngineKey, Time>,
    /// The engines with periodic back-offs, and since when they have them.
    backing_off: BTreeMap<EngineKey, (BackOffs, Time)>,
    /// When each run of a box was first told that an engine drains.
    informed: BTreeMap<(Sender, EngineKey), Time>,
    /// The back-offs that boxes were asked for.
    requested: Vec<BackOff>,
    /// The requests that arrived.
    arrivals: Vec<Arrival>,
    /// The longest back-off that engines ask for; no limit if absent.
    max_back_off: Option<Duration>,
}

impl Statements {
    /// Has an engine report from now on that it drains.
    pub fn drain(&mut self, engine: EngineKey, now: Time) {
        self.draining.entry(engine).or_insert(now);
    }

    /// Has an engine begin periodic back-offs, or end them.
    pub fn back_off(&mut self, engine: EngineKey, back_offs: Option<BackOffs>, now: Time) {
        match back_offs {
            Some(back_offs) => self.backing_off.insert(engine, (back_offs, now)),
            None => self.backing_off.remove(&engine),
        };
    }

    /// Limits the back-off that engines ask for at once.
    pub fn set_max_back_off(&mut self, duration: Duration) {
        self.max_back_off = Some(duration);
    }

    /// Drops what is known of an engine that starts a new incarnation.
    pub fn forget(&mut self, engine: EngineKey) {
        self.draining.remove(&engine);
        self.backing_off.remove(&engine);
        self.informed.retain(|(_, it), _| *it != engine);
        self.requested.retain(|it| it.engine != engine);
    }

    /// Records a box's request at an engine and returns the statement in its answer. The engine
    /// rejects the request if the statement asks for a back-off.
    pub fn arrive(&mut self, sender: Sender, engine: EngineKey, now: Time) -> Statement {
        let is_tracked =
            self.draining.contains_key(&engine) || self.backing_off.contains_key(&engine);
        if is_tracked {
            self.arrivals.push(Arrival { sender, engine, at: now });
        }
        let is_leaving = self.draining.contains_key(&engine);
        let max = self.max_back_off.unwrap_or(Duration::MAX);
        let back_off = self
            .back_off_left(engine, now)
            .map_or(Reported::Nothing, |it| Reported::Duration(it.min(max)));
        Statement { is_leaving, back_off, ..Statement::default() }
    }

    /// Records that an answer has reached its box.
    pub fn record_answer(
        &mut self,
        sender: Sender,
        engine: EngineKey,
        statement: &Statement,
        now: Time,
    ) {
        if statement.is_leaving && self.draining.contains_key(&engine) {
            self.informed.entry((sender, engine)).or_insert(now);
        }
        if let Reported::Duration(duration) = statement.back_off {
            self.requested.push(BackOff { sender, engine, at: now, until: now + duration });
        }
    }

    /// Returns the time left of an engine's current back-off.
    fn back_off_left(&self, engine: EngineKey, now: Time) -> Option<Duration> {
        let (BackOffs { duration, period }, since) = *self.backing_off.get(&engine)?;
        let cycle = now.since(since).as_micros() % period.as_micros();
        let within = Duration::from_micros(u64::try_from(cycle).expect("a cycle is short"));
        duration.checked_sub(within).filter(|it| !it.is_zero())
    }

    /// Counts requests sent later than a duration after their box was told that the engine drains.
    pub fn late(&self, duration: Duration) -> usize {
        let is_late = |it: &&Arrival| {
            let informed = self.informed.get(&(it.sender, it.engine));
            informed.is_some_and(|informed| it.at > *informed + duration)
        };
        self.arrivals.iter().filter(is_late).count()
    }

    /// Counts requests sent later than a duration after any box was told that the engine drains.
    pub fn late_after_first(&self, duration: Duration) -> usize {
        let is_late = |it: &&Arrival| {
            let informed = self.informed.iter().filter(|((_, engine), _)| *engine == it.engine);
            informed.map(|(_, &at)| at).min().is_some_and(|informed| it.at > informed + duration)
        };
        self.arrivals.iter().filter(is_late).count()
    }

    /// Returns the most requests that one box sent to an engine during a back-off.
    pub fn max_during_back_off(&self) -> usize {
        let counts = self.requested.iter().map(|requested| {
            let is_within = |it: &&Arrival| {
                let is_own = it.sender == requested.sender && it.engine == requested.engine;
                is_own && it.at >= requested.at + COUNTED_AFTER && it.at < requested.until
            };
            self.arrivals.iter().filter(is_within).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Returns how many back-offs boxes were asked for.
    pub fn back_off_count(&self) -> usize {
        self.requested.len()
    }

    /// Counts the requests that reached an engine in an interval.
    pub fn arrivals_between(&self, engine: EngineKey, from: Time, to: Time) -> usize {
        let is_within = |it: &&Arrival| it.engine == engine && it.at >= from && it.at < to;
        self.arrivals.iter().filter(is_within).count()
    }
}
