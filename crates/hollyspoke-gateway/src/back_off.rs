//! Back-off that engines ask this box for, and the gradual return to them.
//!
//! An engine that rejects a request may state how long the box that sent it is to back off. This
//! holds between the two only: other boxes are asked the same when they send requests there.
//!
//! The requests that waited meanwhile must not arrive all at once. When the back-off ends, one
//! request is sent first, and each successful answer allows one more in progress, up to eight.
//! After that the engine is used as before.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};

/// Longest back-off that is applied. An engine that asks for more is tried again after this time,
/// so that a wrong number does not exclude it for as long as it runs.
pub const MAX_DURATION: Duration = Duration::from_secs(3600);

/// Number of calls in progress beyond which an engine is used as before after a back-off.
const MAX_CALLS_AT_RETURN: u32 = 8;

/// Minimum extension of a back-off that is logged. Each call that was in progress when the back-off
/// began asks for it again.
const MIN_LOGGED_EXTENSION: Duration = Duration::from_millis(500);

/// What an answer reports about back-off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reported {
    /// Nothing.
    #[default]
    Nothing,
    /// The box is to back off for this duration.
    Duration(Duration),
    /// A value that is neither a number of seconds nor a date.
    Unreadable,
}

/// A change of an engine's back-off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The engine asks for back-off, or for a longer one, of this duration from now on.
    Begun(Duration),
    /// The engine has sent an unreadable value; the known back-off stays.
    Unreadable,
    /// The back-off has ended after this duration.
    Ended(Duration),
}

/// An engine whose back-off has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The engine's key.
    pub engine: EngineKey,
    /// Duration of the back-off.
    pub after: Duration,
}

/// The back-off of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct BackOff {
    /// Start time of the incarnation that asked for it.
    started_at: Option<u64>,
    /// When the engine first asked for it.
    began_at: Time,
    /// When it ends.
    until: Time,
    /// Maximum number of calls in progress once it has ended.
    max_calls: u32,
    /// Number of calls in progress that were sent after its end.
    calls_in_progress: u32,
    /// Whether its end has been reported.
    is_end_reported: bool,
}

/// The engines that ask for back-off, or to which this box is returning.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The back-offs by engine.
    back_offs: BTreeMap<EngineKey, BackOff>,
    /// The engines whose last value was unreadable.
    unreadable: BTreeSet<EngineKey>,
}

impl Table {
    /// Applies what an engine's own answer reports. The back-off is extended by the result of
    /// `spread`, so that boxes that were asked at the same time do not return together. Of two
    /// values, the one that ends later holds.
    pub fn learn(
        &mut self,
        engine: &Engine,
        reported: Reported,
        spread: impl FnOnce(Duration) -> Duration,
        now: Time,
    ) -> Option<Change> {
        let duration = match reported {
            Reported::Nothing => return None,
            Reported::Unreadable => {
                return self.unreadable.insert(engine.key).then_some(Change::Unreadable);
            }
            Reported::Duration(duration) => duration.min(MAX_DURATION),
        };
        self.unreadable.remove(&engine.key);
        if duration.is_zero() {
            return None;
        }
        let until = now + duration + spread(duration);
        let known =
            self.back_offs.get_mut(&engine.key).filter(|it| it.is_of(engine) && now < it.until);
        if let Some(back_off) = known {
            let is_news = until > back_off.until + MIN_LOGGED_EXTENSION;
            back_off.until = back_off.until.max(until);
            return is_news.then_some(Change::Begun(duration));
        }
        let back_off = BackOff {
            started_at: engine.started_at,
            began_at: now,
            until,
            max_calls: 1,
            calls_in_progress: 0,
            is_end_reported: false,
        };
        self.back_offs.insert(engine.key, back_off);
        Some(Change::Begun(duration))
    }

    /// Returns whether an engine accepts no request from this box: during its back-off, or
    /// afterwards until it answers calls that are in progress.
    pub fn is_closed(&self, engine: &Engine, now: Time) -> bool {
        self.of(engine).is_some_and(|it| now < it.until || it.calls_in_progress >= it.max_calls)
    }

    /// Returns the remaining duration of an engine's back-off, if there is one.
    pub fn wait(&self, engine: &Engine, now: Time) -> Option<Duration> {
        self.of(engine).map(|it| it.until.since(now)).filter(|it| !it.is_zero())
    }

    /// Returns whether there is no engine with a back-off, and none to which this box is returning.
    pub fn is_empty(&self) -> bool {
        self.back_offs.is_empty()
    }

    /// Iterates over the engines in back-off.
    pub fn engines(&self, now: Time) -> impl Iterator<Item = EngineKey> {
        self.back_offs.iter().filter(move |(_, it)| now < it.until).map(|(&it, _)| it)
    }

    /// Returns when the next back-off ends.
    pub fn next_end(&self, now: Time) -> Option<Time> {
        self.back_offs.values().map(|it| it.until).filter(|&it| it > now).min()
    }

    /// Records that a call is sent to an engine.
    pub fn record_send(&mut self, engine: EngineKey) {
        if let Some(back_off) = self.back_offs.get_mut(&engine) {
            back_off.calls_in_progress += 1;
        }
    }

    /// Records that a call sent at `sent` has been answered, or no longer will be.
    pub fn release(&mut self, engine: EngineKey, sent: Time) {
        if let Some(back_off) = self.back_offs.get_mut(&engine).filter(|it| sent >= it.until) {
            back_off.calls_in_progress = back_off.calls_in_progress.saturating_sub(1);
        }
    }

    /// Adjusts the allowed number of calls by the answer to a call sent at `sent`.
    pub fn record_answer(&mut self, engine: EngineKey, sent: Time, is_good: bool) {
        let Some(back_off) = self.back_offs.get_mut(&engine).filter(|it| sent >= it.until) else {
            return;
        };
        back_off.max_calls = if is_good { back_off.max_calls + 1 } else { 1 };
        if back_off.max_calls > MAX_CALLS_AT_RETURN && back_off.is_end_reported {
            self.back_offs.remove(&engine);
        }
    }

    /// Returns the back-offs that have ended and were not reported yet. Drops those of incarnations
    /// that are no longer listed.
    pub fn sweep<'a>(
        &mut self,
        now: Time,
        listed: impl Fn(EngineKey) -> Option<&'a Engine>,
    ) -> Vec<Ended> {
        let mut ended = Vec::new();
        let is_left = |engine: EngineKey, back_off: &BackOff| {
            listed(engine).is_none_or(|it| back_off.is_of(it))
        };
        for (&engine, back_off) in &mut self.back_offs {
            let is_over = back_off.until <= now || !is_left(engine, back_off);
            if is_over && !back_off.is_end_reported {
                back_off.is_end_reported = true;
                ended.push(Ended { engine, after: now.since(back_off.began_at) });
            }
        }
        self.back_offs.retain(|&engine, it| {
            is_left(engine, it) && (now < it.until || listed(engine).is_some())
        });
        self.unreadable.retain(|&it| listed(it).is_some());
        ended
    }

    /// Returns the back-off of an engine's listed incarnation.
    fn of(&self, engine: &Engine) -> Option<&BackOff> {
        self.back_offs.get(&engine.key).filter(|it| it.is_of(engine))
    }
}

impl BackOff {
    /// Returns whether the listed incarnation of an engine has asked for this back-off.
    fn is_of(&self, engine: &Engine) -> bool {
        self.started_at.is_none() || self.started_at >= engine.started_at
    }
}
