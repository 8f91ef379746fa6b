//! Engines that say that they leave, or for how long they want nothing from the box that asked, and
//! what came to them.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::back_off::Reported;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::statement::Statement;

use crate::needs::Sender;

/// How long after a box was told that an engine leaves it may send there.
pub const DRAIN: Duration = Duration::from_secs(2);

/// How long after a box was told of a rest what it sends counts.
const COUNTS_AFTER: Duration = Duration::from_millis(500);

/// What may come from a box while an engine rests.
pub const MOST_WHILE_RESTING: usize = 2;

/// When an engine turns all away.
#[derive(Debug, Clone, Copy)]
pub struct Rests {
    /// For how long, each time.
    pub span: Duration,
    /// From one time to the next.
    pub every: Duration,
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
struct Asked {
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
pub struct Terms {
    /// The engines that leave, since when.
    leaving: BTreeMap<EngineKey, Time>,
    /// The engines that rest at times: how, and since when.
    resting: BTreeMap<EngineKey, (Rests, Time)>,
    /// When each life of a box was first told that an engine leaves.
    told: BTreeMap<(Sender, EngineKey), Time>,
    /// The rests that boxes were asked for.
    asked: Vec<Asked>,
    /// What came.
    arrivals: Vec<Arrival>,
    /// The longest rest that engines ask for, if they know no better.
    most_said: Option<Duration>,
}

impl Terms {
    /// Has an engine say from now on that it leaves.
    pub fn leave(&mut self, engine: EngineKey, now: Time) {
        self.leaving.entry(engine).or_insert(now);
    }

    /// Has an engine turn all away at times from now on, or no more.
    pub fn rest(&mut self, engine: EngineKey, rests: Option<Rests>, now: Time) {
        match rests {
            Some(rests) => self.resting.insert(engine, (rests, now)),
            None => self.resting.remove(&engine),
        };
    }

    /// Has engines ask for no more than a span at once.
    pub fn says_at_most(&mut self, span: Duration) {
        self.most_said = Some(span);
    }

    /// Has an engine begin a new life, which sets none.
    pub fn forget(&mut self, engine: EngineKey) {
        self.leaving.remove(&engine);
        self.resting.remove(&engine);
        self.told.retain(|(_, it), _| *it != engine);
        self.asked.retain(|it| it.engine != engine);
    }

    /// Notes that something of a box comes to an engine; gives what the answer says. The engine turns
    /// the request away if that asks for rest.
    pub fn arrive(&mut self, sender: Sender, engine: EngineKey, now: Time) -> Statement {
        let is_concerned = self.leaving.contains_key(&engine) || self.resting.contains_key(&engine);
        if is_concerned {
            self.arrivals.push(Arrival { sender, engine, at: now });
        }
        let is_leaving = self.leaving.contains_key(&engine);
        let most = self.most_said.unwrap_or(Duration::MAX);
        let back_off = self
            .rest_left(engine, now)
            .map_or(Reported::Nothing, |it| Reported::Duration(it.min(most)));
        Statement { is_leaving, back_off, ..Statement::default() }
    }

    /// Notes that an answer has come to its box.
    pub fn tell(&mut self, sender: Sender, engine: EngineKey, says: &Statement, now: Time) {
        if says.is_leaving && self.leaving.contains_key(&engine) {
            self.told.entry((sender, engine)).or_insert(now);
        }
        if let Reported::Duration(span) = says.back_off {
            self.asked.push(Asked { sender, engine, at: now, until: now + span });
        }
    }

    /// Gives how much longer an engine rests, if it does now.
    fn rest_left(&self, engine: EngineKey, now: Time) -> Option<Duration> {
        let (Rests { span, every }, since) = *self.resting.get(&engine)?;
        let cycle = now.since(since).as_micros() % every.as_micros();
        let within = Duration::from_micros(u64::try_from(cycle).expect("a cycle is short"));
        span.checked_sub(within).filter(|it| !it.is_zero())
    }

    /// Gives how many came to engines later than a span after their box was told that they leave.
    pub fn late(&self, span: Duration) -> usize {
        let is_late = |it: &&Arrival| {
            let told = self.told.get(&(it.sender, it.engine));
            told.is_some_and(|told| it.at > *told + span)
        };
        self.arrivals.iter().filter(is_late).count()
    }

    /// Gives how many came to engines later than a span after any box was told that they leave.
    pub fn late_at_all(&self, span: Duration) -> usize {
        let is_late = |it: &&Arrival| {
            let told = self.told.iter().filter(|((_, engine), _)| *engine == it.engine);
            told.map(|(_, &at)| at).min().is_some_and(|told| it.at > told + span)
        };
        self.arrivals.iter().filter(is_late).count()
    }

    /// Gives the most that came from one box to an engine that had asked it for rest.
    pub fn most_while_resting(&self) -> usize {
        let counts = self.asked.iter().map(|asked| {
            let is_within = |it: &&Arrival| {
                let is_own = it.sender == asked.sender && it.engine == asked.engine;
                is_own && it.at >= asked.at + COUNTS_AFTER && it.at < asked.until
            };
            self.arrivals.iter().filter(is_within).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Gives how many rests boxes were asked for.
    pub fn rest_count(&self) -> usize {
        self.asked.len()
    }

    /// Gives how many came to an engine in a time.
    pub fn got(&self, engine: EngineKey, from: Time, to: Time) -> usize {
        let is_within = |it: &&Arrival| it.engine == engine && it.at >= from && it.at < to;
        self.arrivals.iter().filter(is_within).count()
    }
}
