//! How many requests a second engines take from all boxes together, as they say themselves.
//!
//! An engine in need names a limit in its answers, for as long as it holds. An answer without one
//! lifts it, if the engine made it after the limit was named: its call was sent later than that.
//! Answers to orders and questions name limits too, and lift none: what they lack proves nothing of
//! what the engine says to requests.
//!
//! Boxes tell each other, since one that sends an engine nothing can't learn from it. Words carry
//! their age: the newer one holds, in whichever order they come. A wrong one lasts until the
//! engine's next answer.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};

/// The lowest limit that is kept, in requests a second. An engine that names less, or none at all,
/// still gets a request now and then: only an answer can tell that it is no longer in need.
pub const MIN_RATE_PER_S: f64 = 0.05;

/// The highest limit that is kept, in requests a second. The whole fleet gets 34,000 at its peak
/// (`docs/CAPACITY.md`); an engine that takes a tenth of them alone is in no need.
pub const MAX_RATE_PER_S: f64 = 3400.0;

/// How long it is kept that a limit was lifted, so that older words do not bring it back: longer than
/// word of it takes to come to all boxes, also over some lost datagrams.
const LIFTED_RETENTION: Duration = Duration::from_secs(10);

/// What an answer says of the requests that its engine takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Reported {
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
    named_at: Time,
}

/// What a box tells of an engine's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Announcement {
    /// The engine.
    pub engine: EngineKey,
    /// The life of the engine that is spoken of, if it tells.
    pub born: Option<u64>,
    /// The requests a second that it takes; none if the limit was lifted.
    pub rate: Option<f64>,
    /// How long ago that was so, in milliseconds.
    pub age_ms: u32,
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
    unreadable: BTreeSet<EngineKey>,
    /// The engines whose limit was lifted of late: of which life, and when.
    lifted: BTreeMap<EngineKey, (Option<u64>, Time)>,
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
        told: Reported,
        sent: Time,
        may_lift: bool,
        now: Time,
    ) -> Option<Change> {
        match told {
            Reported::Rate(rate) if rate.is_finite() => self.name(engine, rate, now),
            Reported::Rate(_) | Reported::Unreadable => {
                self.unreadable.insert(engine.key).then_some(Change::Unreadable)
            }
            Reported::Nothing if may_lift => self.lift(engine.key, sent),
            Reported::Nothing => None,
        }
    }

    /// Takes a limit that an engine names.
    fn name(&mut self, engine: &Engine, told: f64, now: Time) -> Option<Change> {
        self.unreadable.remove(&engine.key);
        if told > MAX_RATE_PER_S {
            return self.lift(engine.key, now);
        }
        let rate = told.max(MIN_RATE_PER_S);
        let is_new = self.set(engine.key, Limit { rate, born: engine.started_at, named_at: now });
        is_new.then_some(Change::Named(told, rate))
    }

    /// Sets an engine's limit; tells whether it is another rate than before.
    fn set(&mut self, engine: EngineKey, limit: Limit) -> bool {
        self.lifted.remove(&engine);
        let before = self.limits.insert(engine, limit);
        before.is_none_or(|it| it.rate != limit.rate)
    }

    /// Takes word that an engine had no limit any more when it answered something sent at a time.
    fn lift(&mut self, engine: EngineKey, sent: Time) -> Option<Change> {
        let limit = *self.limits.get(&engine).filter(|it| it.named_at <= sent)?;
        self.limits.remove(&engine);
        self.unreadable.remove(&engine);
        self.lifted.insert(engine, (limit.born, sent));
        Some(Change::Lifted)
    }

    /// Takes what another box tells, if it is newer than what is known; gives what has changed. The
    /// life of the engine that is listed is given, if it tells.
    pub fn hear(&mut self, word: &Announcement, listed: Option<u64>, now: Time) -> Option<Change> {
        if word.born < listed {
            return None;
        }
        let at = now - Duration::from_millis(u64::from(word.age_ms));
        let known = self.limits.get(&word.engine).map(|it| (it.born, it.named_at));
        let known = known.or_else(|| self.lifted.get(&word.engine).copied());
        if known.is_some_and(|known| (word.born, at) <= known) {
            return None;
        }
        match word.rate.filter(|it| it.is_finite()) {
            Some(rate) => {
                let kept = rate.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S);
                let limit = Limit { rate: kept, born: word.born, named_at: at };
                self.set(word.engine, limit).then_some(Change::Named(rate, kept))
            }
            None => {
                self.lifted.insert(word.engine, (word.born, at));
                self.limits.remove(&word.engine).map(|_| Change::Lifted)
            }
        }
    }

    /// Gives what there is to tell of an engine.
    pub fn word(&self, engine: EngineKey, now: Time) -> Option<Announcement> {
        let age = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        if let Some(limit) = self.limits.get(&engine) {
            let (born, rate) = (limit.born, Some(limit.rate));
            return Some(Announcement { engine, born, rate, age_ms: age(limit.named_at) });
        }
        let &(born, at) = self.lifted.get(&engine)?;
        Some(Announcement { engine, born, rate: None, age_ms: age(at) })
    }

    /// Gives some engines that have a limit, behind one in their order or from the first on.
    pub fn limited_after(&self, after: Option<EngineKey>, most: usize) -> Vec<EngineKey> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.limits.range((from, Bound::Unbounded)).take(most).map(|(&it, _)| it).collect()
    }

    /// Gives the engines whose limit was lifted of late.
    pub fn lifted(&self) -> impl Iterator<Item = EngineKey> {
        self.lifted.keys().copied()
    }

    /// Forgets what was lifted long ago, and engines or lives of them that are not listed any more.
    pub fn sweep(&mut self, now: Time, is_listed: impl Fn(EngineKey, Option<u64>) -> bool) {
        self.limits.retain(|&engine, it| is_listed(engine, it.born));
        self.unreadable.retain(|&engine| is_listed(engine, None));
        self.lifted.retain(|_, (_, at)| now.since(*at) < LIFTED_RETENTION);
    }

    /// Forgets what an engine has said, since that life of it has ended.
    pub fn forget(&mut self, engine: EngineKey) {
        self.limits.remove(&engine);
        self.unreadable.remove(&engine);
        self.lifted.remove(&engine);
    }
}
