//! Engines that say that they leave, or for how long they want nothing from the box that asked, and
//! what came to them.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::back_off::Reported;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::statement::Statement;

use crate::rate_limits::Sender;

/// How long after a box was told that an engine leaves it may send there.
pub const DRAIN: Duration = Duration::from_secs(2);

/// How long after a box was told of a rest what it sends counts.
const COUNTED_AFTER: Duration = Duration::from_millis(500);

/// What may come from a box while an engine rests.
pub const MAX_DURING_BACK_OFF: usize = 2;

/// When an engine turns all away.
#[derive(Debug, Clone, Copy)]
pub struct BackOffs {
    /// For how long, each time.
    pub duration: Duration,
    /// From one time to the next.
    pub period: Duration,
}

/// Something that came to an engine.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// The box that sent it.
    sender: Sender,
    /// The engine.
    engine: EngineKey,
    /// When.
    at: Time,
}

/// A rest that an engine asked a box for.
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

/// All engines that set terms.
#[derive(Debug, Clone, Default)]
pub struct Statements {
    /// The engines that leave, since when.
    draining: BTreeMap<EngineKey, Time>,
    /// The engines that rest at times: how, and since when.
    backing_off: BTreeMap<EngineKey, (BackOffs, Time)>,
    /// When each life of a box was first told that an engine leaves.
    informed: BTreeMap<(Sender, EngineKey), Time>,
    /// The rests that boxes were asked for.
    requested: Vec<BackOff>,
    /// What came.
    arrivals: Vec<Arrival>,
    /// The longest rest that engines ask for, if they know no better.
    max_back_off: Option<Duration>,
}

impl Statements {
    /// Has an engine say from now on that it leaves.
    pub fn drain(&mut self, engine: EngineKey, now: Time) {
        self.draining.entry(engine).or_insert(now);
    }

    /// Has an engine turn all away at times from now on, or no more.
    pub fn back_off(&mut self, engine: EngineKey, back_offs: Option<BackOffs>, now: Time) {
        match back_offs {
            Some(back_offs) => self.backing_off.insert(engine, (back_offs, now)),
            None => self.backing_off.remove(&engine),
        };
    }

    /// Has engines ask for no more than a span at once.
    pub fn set_max_back_off(&mut self, duration: Duration) {
        self.max_back_off = Some(duration);
    }

    /// Has an engine begin a new life, which sets none.
    pub fn forget(&mut self, engine: EngineKey) {
        self.draining.remove(&engine);
        self.backing_off.remove(&engine);
        self.informed.retain(|(_, it), _| *it != engine);
        self.requested.retain(|it| it.engine != engine);
    }

    /// Records that something of a box comes to an engine; gives what the answer says. The engine
    /// rejects the request if that asks for rest.
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

    /// Records that an answer has come to its box.
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

    /// Returns how much longer an engine rests, if it does now.
    fn back_off_left(&self, engine: EngineKey, now: Time) -> Option<Duration> {
        let (BackOffs { duration, period }, since) = *self.backing_off.get(&engine)?;
        let cycle = now.since(since).as_micros() % period.as_micros();
        let within = Duration::from_micros(u64::try_from(cycle).expect("a cycle is short"));
        duration.checked_sub(within).filter(|it| !it.is_zero())
    }

    /// Returns how many came to engines later than a span after their box was told that they leave.
    pub fn late(&self, duration: Duration) -> usize {
        let is_late = |it: &&Arrival| {
            let informed = self.informed.get(&(it.sender, it.engine));
            informed.is_some_and(|informed| it.at > *informed + duration)
        };
        self.arrivals.iter().filter(is_late).count()
    }

    /// Returns how many came to engines later than a span after any box was told that they leave.
    pub fn late_after_first(&self, duration: Duration) -> usize {
        let is_late = |it: &&Arrival| {
            let informed = self.informed.iter().filter(|((_, engine), _)| *engine == it.engine);
            informed.map(|(_, &at)| at).min().is_some_and(|informed| it.at > informed + duration)
        };
        self.arrivals.iter().filter(is_late).count()
    }

    /// Returns the most that came from one box to an engine that had asked it for rest.
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

    /// Returns how many rests boxes were asked for.
    pub fn back_off_count(&self) -> usize {
        self.requested.len()
    }

    /// Returns how many came to an engine in a time.
    pub fn arrivals_between(&self, engine: EngineKey, from: Time, to: Time) -> usize {
        let is_within = |it: &&Arrival| it.engine == engine && it.at >= from && it.at < to;
        self.arrivals.iter().filter(is_within).count()
    }
}
