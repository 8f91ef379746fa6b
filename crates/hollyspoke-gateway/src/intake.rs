//! How many requests a second engines take from all boxes together, as they say themselves.
//!
//! An engine in need names a limit in its answers, for as long as it holds. An answer without one
//! lifts it, if the engine made it after the limit was named: its call was sent later than that.
//! Answers to orders and questions name limits too, and lift none: what they lack proves nothing of
//! what the engine says to requests.

use std::collections::BTreeMap;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};

/// The lowest limit that is kept, in requests a second. An engine that names less, or none at all,
/// still gets a request now and then: only an answer can tell that it is no longer in need.
pub const LEAST_RATE: f64 = 0.05;

/// The highest limit that is kept, in requests a second. The whole fleet gets 34,000 at its peak
/// (`docs/CAPACITY.md`); an engine that takes a tenth of them alone is in no need.
pub const MOST_RATE: f64 = 3400.0;

/// What an answer says of the requests that its engine takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Told {
    /// Nothing: it is not in need.
    #[default]
    Nothing,
    /// So many a second.
    Rate(f64),
    /// Something that is no number.
    Unreadable,
}

/// What one engine takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// The requests a second, from all boxes together.
    pub rate: f64,
    /// The life of the engine that named it, if it tells.
    born: Option<u64>,
    /// When it was last named.
    named: Time,
}

/// What has become of an engine's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// A limit was named, in requests a second; the one that is kept for it.
    Named(f64, f64),
    /// Something was named that is no number; what was known is kept.
    Unreadable,
    /// The limit was lifted.
    Lifted,
}

/// The limits of all engines that have one.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The limits.
    limits: BTreeMap<EngineKey, Limit>,
    /// The engines whose last word was no number.
    unreadable: BTreeMap<EngineKey, Time>,
}

impl Table {
    /// Gives what an engine takes, if it has named a limit.
    pub fn of(&self, engine: EngineKey) -> Option<Limit> {
        self.limits.get(&engine).copied()
    }

    /// Tells whether no engine has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Learns from an engine's own answer to something that was sent at a time; gives what has
    /// changed. Only answers that `may_lift` lift a limit.
    pub fn learn(
        &mut self,
        engine: &Engine,
        told: Told,
        sent: Time,
        may_lift: bool,
        now: Time,
    ) -> Option<Change> {
        match told {
            Told::Rate(rate) if rate.is_finite() => self.name(engine, rate, now),
            Told::Rate(_) | Told::Unreadable => {
                let is_new = self.unreadable.insert(engine.key, now).is_none();
                is_new.then_some(Change::Unreadable)
            }
            Told::Nothing if may_lift => self.lift(engine.key, sent),
            Told::Nothing => None,
        }
    }

    /// Takes a limit that an engine names.
    fn name(&mut self, engine: &Engine, told: f64, now: Time) -> Option<Change> {
        self.unreadable.remove(&engine.key);
        if told > MOST_RATE {
            return self.limits.remove(&engine.key).map(|_| Change::Lifted);
        }
        let rate = told.max(LEAST_RATE);
        let limit = Limit { rate, born: engine.born, named: now };
        let before = self.limits.insert(engine.key, limit);
        let is_new = before.is_none_or(|it| it.rate != rate);
        is_new.then_some(Change::Named(told, rate))
    }

    /// Takes word that an engine no longer had a limit when it answered something sent at a time.
    fn lift(&mut self, engine: EngineKey, sent: Time) -> Option<Change> {
        self.limits.get(&engine).filter(|it| it.named <= sent)?;
        self.limits.remove(&engine);
        self.unreadable.remove(&engine);
        Some(Change::Lifted)
    }

    /// Forgets what an engine has said, since that life of it has ended.
    pub fn forget(&mut self, engine: EngineKey) {
        self.limits.remove(&engine);
        self.unreadable.remove(&engine);
    }
}
