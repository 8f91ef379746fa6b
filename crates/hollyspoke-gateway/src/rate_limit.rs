//! The rate limits that engines report for the requests of all boxes together.
//!
//! A rate-limited engine includes its limit in every answer for as long as the limit holds. An
//! answer without a limit lifts it, if the call was sent after the limit was reported. Answers to
//! orders and queries may set limits too, but never lift one: a missing limit there says nothing
//! about the engine's answers to requests.
//!
//! Boxes announce limits to each other, because a box that sends an engine nothing can't learn its
//! limit. Announcements carry their age, so that the newest one applies in whichever order they
//! arrive. A wrong one lasts until the engine's next answer.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};

/// The lowest limit that is kept, in requests per second. An engine that reports less, or zero,
/// still receives a request now and then, because only an answer can lift the limit.
pub const MIN_RATE_PER_S: f64 = 0.05;

/// The highest limit that is kept, in requests per second. The whole fleet receives 34,000 at its
/// peak (`docs/CAPACITY.md`); an engine that accepts a tenth of that alone needs no limit.
pub const MAX_RATE_PER_S: f64 = 3400.0;

/// How long a lifted limit is remembered, so that older announcements don't restore it. Longer than
/// an announcement takes to reach all boxes, including some lost datagrams.
const LIFTED_RETENTION: Duration = Duration::from_secs(10);

/// What an answer reports about the engine's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Reported {
    /// No limit.
    #[default]
    Nothing,
    /// A limit in requests per second.
    Rate(f64),
    /// A value that is not a number.
    Unreadable,
}

/// The rate limit of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// The requests per second, from all boxes together.
    pub rate: f64,
    /// The start time of the engine's incarnation that reported the limit, if known.
    born: Option<u64>,
    /// When the limit was last reported.
    reported_at: Time,
}

/// An announcement of an engine's rate limit by a box.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Announcement {
    /// The engine.
    pub engine: EngineKey,
    /// The start time of the engine's incarnation, if known.
    pub born: Option<u64>,
    /// The limit in requests per second; absent if it was lifted.
    pub rate: Option<f64>,
    /// The age of the information, in milliseconds.
    pub age_ms: u32,
}

/// A change of an engine's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// A limit was reported, in requests per second; the second value is the limit that is kept for
    /// it.
    Set(f64, f64),
    /// A value that is not a number was reported; the known limit is kept.
    Unreadable,
    /// The limit was lifted.
    Lifted,
}

/// The rate limits of all engines that have one.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The limits by engine.
    limits: BTreeMap<EngineKey, Limit>,
    /// The engines whose last reported value was not a number.
    unreadable: BTreeSet<EngineKey>,
    /// The engines whose limit was lifted recently, with the start time of the incarnation and the
    /// time of the change.
    lifted: BTreeMap<EngineKey, (Option<u64>, Time)>,
}

impl Table {
    /// Returns the limit of an engine, if it has one.
    pub fn of(&self, engine: EngineKey) -> Option<Limit> {
        self.limits.get(&engine).copied()
    }

    /// Returns whether no engine has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Applies what an engine reported in the answer to a call or query sent at `sent`. Returns the
    /// change, if any. A limit is lifted only if `may_lift`.
    pub fn apply_report(
        &mut self,
        engine: &Engine,
        reported: Reported,
        sent: Time,
        may_lift: bool,
        now: Time,
    ) -> Option<Change> {
        match reported {
            Reported::Rate(rate) if rate.is_finite() => self.set_reported(engine, rate, now),
            Reported::Rate(_) | Reported::Unreadable => {
                self.unreadable.insert(engine.key).then_some(Change::Unreadable)
            }
            Reported::Nothing if may_lift => self.lift(engine.key, sent),
            Reported::Nothing => None,
        }
    }

    /// Records a limit that an engine reported.
    fn set_reported(&mut self, engine: &Engine, reported: f64, now: Time) -> Option<Change> {
        self.unreadable.remove(&engine.key);
        if reported > MAX_RATE_PER_S {
            return self.lift(engine.key, now);
        }
        let rate = reported.max(MIN_RATE_PER_S);
        let is_new =
            self.set(engine.key, Limit { rate, born: engine.started_at, reported_at: now });
        is_new.then_some(Change::Set(reported, rate))
    }

    /// Sets an engine's limit. Returns whether the rate changed.
    fn set(&mut self, engine: EngineKey, limit: Limit) -> bool {
        self.lifted.remove(&engine);
        let before = self.limits.insert(engine, limit);
        before.is_none_or(|it| it.rate != limit.rate)
    }

    /// Lifts an engine's limit, if it was last reported no later than `sent`.
    fn lift(&mut self, engine: EngineKey, sent: Time) -> Option<Change> {
        let limit = *self.limits.get(&engine).filter(|it| it.reported_at <= sent)?;
        self.limits.remove(&engine);
        self.unreadable.remove(&engine);
        self.lifted.insert(engine, (limit.born, sent));
        Some(Change::Lifted)
    }

    /// Applies an announcement of another box if it is newer than the known state. Returns the
    /// change, if any. `listed` is the start time of the listed incarnation, if known.
    pub fn apply_announcement(
        &mut self,
        announcement: &Announcement,
        listed: Option<u64>,
        now: Time,
    ) -> Option<Change> {
        if announcement.born < listed {
            return None;
        }
        let at = now - Duration::from_millis(u64::from(announcement.age_ms));
        let known = self.limits.get(&announcement.engine).map(|it| (it.born, it.reported_at));
        let known = known.or_else(|| self.lifted.get(&announcement.engine).copied());
        if known.is_some_and(|known| (announcement.born, at) <= known) {
            return None;
        }
        match announcement.rate.filter(|it| it.is_finite()) {
            Some(rate) => {
                let applied = rate.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S);
                let limit = Limit { rate: applied, born: announcement.born, reported_at: at };
                self.set(announcement.engine, limit).then_some(Change::Set(rate, applied))
            }
            None => {
                self.lifted.insert(announcement.engine, (announcement.born, at));
                self.limits.remove(&announcement.engine).map(|_| Change::Lifted)
            }
        }
    }

    /// Returns the announcement of an engine's limit or of its lifting, if there is one.
    pub fn announcement(&self, engine: EngineKey, now: Time) -> Option<Announcement> {
        let age = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        if let Some(limit) = self.limits.get(&engine) {
            let (born, rate) = (limit.born, Some(limit.rate));
            return Some(Announcement { engine, born, rate, age_ms: age(limit.reported_at) });
        }
        let &(born, at) = self.lifted.get(&engine)?;
        Some(Announcement { engine, born, rate: None, age_ms: age(at) })
    }

    /// Returns up to `max_count` engines that have a limit, in key order after `after` or from the
    /// first.
    pub fn limited_after(&self, after: Option<EngineKey>, max_count: usize) -> Vec<EngineKey> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.limits.range((from, Bound::Unbounded)).take(max_count).map(|(&it, _)| it).collect()
    }

    /// Returns the engines whose limit was lifted recently.
    pub fn lifted(&self) -> impl Iterator<Item = EngineKey> {
        self.lifted.keys().copied()
    }

    /// Removes limits that were lifted long ago, and engines or incarnations that are no longer
    /// listed.
    pub fn sweep(&mut self, now: Time, is_listed: impl Fn(EngineKey, Option<u64>) -> bool) {
        self.limits.retain(|&engine, it| is_listed(engine, it.born));
        self.unreadable.retain(|&engine| is_listed(engine, None));
        self.lifted.retain(|_, (_, at)| now.since(*at) < LIFTED_RETENTION);
    }

    /// Removes everything reported by an engine, because its incarnation has ended.
    pub fn forget(&mut self, engine: EngineKey) {
        self.limits.remove(&engine);
        self.unreadable.remove(&engine);
        self.lifted.remove(&engine);
    }
}
