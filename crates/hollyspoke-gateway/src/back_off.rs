//! For how long engines want nothing from this box, and how it comes back to them.
//!
//! An engine that turns a request away may say how long the box that sent it is to leave it alone.
//! That is between the two: other boxes are told the same when they send there.
//!
//! What waited meanwhile must not come all at once: when the time is over one request goes first, and
//! each good answer allows one more under way, up to eight; after that the engine is used
//! as before.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};

/// The longest rest that is kept. An engine that asks for more is tried again then, so that a wrong
/// number does not lose it for the rest of its life.
pub const MAX_DURATION: Duration = Duration::from_secs(3600);

/// The calls under way from which on an engine that has rested is used as before.
const MAX_CALLS_AT_RETURN: u32 = 8;

/// By how much later a rest must end for its change to be worth a line: each call that was under way
/// when it began asks for it anew.
const MIN_LOGGED_EXTENSION: Duration = Duration::from_millis(500);

/// What an answer says of rest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reported {
    /// Nothing.
    #[default]
    Nothing,
    /// Nothing is wanted for so long.
    Duration(Duration),
    /// Something that is neither a number of seconds nor a date.
    Unreadable,
}

/// What has become of an engine's rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It asks for rest, or for more, from now on.
    Begun(Duration),
    /// It has asked for something that can't be read; what was known is kept.
    Unreadable,
    /// Its rest is over, after so long.
    Ended(Duration),
}

/// An engine whose rest is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The engine.
    pub engine: EngineKey,
    /// How long it rested.
    pub after: Duration,
}

/// The rest of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct BackOff {
    /// The life of the engine that asked for it.
    born: Option<u64>,
    /// When it first asked.
    began: Time,
    /// When it is over.
    until: Time,
    /// The calls that may be under way once it is over.
    max_calls: u32,
    /// The calls under way that were sent since.
    calls_in_progress: u32,
    /// Whether its end was told.
    is_end_reported: bool,
}

/// The engines that rest, or that this box is coming back to.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Their rests.
    back_offs: BTreeMap<EngineKey, BackOff>,
    /// The engines whose last word could not be read.
    unreadable: BTreeSet<EngineKey>,
}

impl Table {
    /// Learns from an engine's own answer. The rest ends later than asked for by what `spread` gives
    /// for it, so that boxes that were told together do not come back together. Of two words the one
    /// that ends later holds.
    pub fn learn(
        &mut self,
        engine: &Engine,
        told: Reported,
        spread: impl FnOnce(Duration) -> Duration,
        now: Time,
    ) -> Option<Change> {
        let span = match told {
            Reported::Nothing => return None,
            Reported::Unreadable => {
                return self.unreadable.insert(engine.key).then_some(Change::Unreadable);
            }
            Reported::Duration(span) => span.min(MAX_DURATION),
        };
        self.unreadable.remove(&engine.key);
        if span.is_zero() {
            return None;
        }
        let until = now + span + spread(span);
        let known =
            self.back_offs.get_mut(&engine.key).filter(|it| it.is_of(engine) && now < it.until);
        if let Some(back_off) = known {
            let is_news = until > back_off.until + MIN_LOGGED_EXTENSION;
            back_off.until = back_off.until.max(until);
            return is_news.then_some(Change::Begun(span));
        }
        let back_off = BackOff {
            born: engine.started_at,
            began: now,
            until,
            max_calls: 1,
            calls_in_progress: 0,
            is_end_reported: false,
        };
        self.back_offs.insert(engine.key, back_off);
        Some(Change::Begun(span))
    }

    /// Tells whether an engine wants nothing from this box now, or nothing more before it has answered
    /// what this box has sent it since its rest.
    pub fn is_closed(&self, engine: &Engine, now: Time) -> bool {
        self.of(engine).is_some_and(|it| now < it.until || it.calls_in_progress >= it.max_calls)
    }

    /// Gives how much longer an engine rests, if it does.
    pub fn wait(&self, engine: &Engine, now: Time) -> Option<Duration> {
        self.of(engine).map(|it| it.until.since(now)).filter(|it| !it.is_zero())
    }

    /// Tells whether no engine rests, and this box is coming back to none.
    pub fn is_empty(&self) -> bool {
        self.back_offs.is_empty()
    }

    /// Goes over the engines that rest.
    pub fn engines(&self, now: Time) -> impl Iterator<Item = EngineKey> {
        self.back_offs.iter().filter(move |(_, it)| now < it.until).map(|(&it, _)| it)
    }

    /// Gives when the next rest is over.
    pub fn next_end(&self, now: Time) -> Option<Time> {
        self.back_offs.values().map(|it| it.until).filter(|&it| it > now).min()
    }

    /// Notes that a call is sent to an engine.
    pub fn record_send(&mut self, engine: EngineKey) {
        if let Some(back_off) = self.back_offs.get_mut(&engine) {
            back_off.calls_in_progress += 1;
        }
    }

    /// Notes that a call that was sent at a time has its answer, or gets none any more.
    pub fn release(&mut self, engine: EngineKey, sent: Time) {
        if let Some(back_off) = self.back_offs.get_mut(&engine).filter(|it| sent >= it.until) {
            back_off.calls_in_progress = back_off.calls_in_progress.saturating_sub(1);
        }
    }

    /// Goes by the answer to a call that was sent at a time.
    pub fn record_answer(&mut self, engine: EngineKey, sent: Time, is_good: bool) {
        let Some(back_off) = self.back_offs.get_mut(&engine).filter(|it| sent >= it.until) else {
            return;
        };
        back_off.max_calls = if is_good { back_off.max_calls + 1 } else { 1 };
        if back_off.max_calls > MAX_CALLS_AT_RETURN && back_off.is_end_reported {
            self.back_offs.remove(&engine);
        }
    }

    /// Gives the rests that are over and were not told yet. Forgets those of lives that are not listed
    /// any more.
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
                ended.push(Ended { engine, after: now.since(back_off.began) });
            }
        }
        self.back_offs.retain(|&engine, it| {
            is_left(engine, it) && (now < it.until || listed(engine).is_some())
        });
        self.unreadable.retain(|&it| listed(it).is_some());
        ended
    }

    /// Gives the rest of an engine in the life that is listed.
    fn of(&self, engine: &Engine) -> Option<&BackOff> {
        self.back_offs.get(&engine.key).filter(|it| it.is_of(engine))
    }
}

impl BackOff {
    /// Tells whether it was asked for by the life of an engine that is listed.
    fn is_of(&self, engine: &Engine) -> bool {
        self.born.is_none() || self.born >= engine.started_at
    }
}
