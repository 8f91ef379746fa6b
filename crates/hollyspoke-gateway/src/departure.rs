//! Engines that have said that they are about to leave.
//!
//! Nothing takes the word back but a later life of the engine: neither an entry that still calls it
//! ready, nor an answer that says nothing of it, nor that its entry is gone and comes back.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};

/// How long it is kept that an engine leaves after it was last listed: longer than an entry of the
/// same life may come late, from a box that was cut off.
const KEPT_FOR: Duration = Duration::from_secs(600);

/// The leaving of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// The life of the engine that leaves; any, if it does not tell.
    pub born: Option<u64>,
    /// Since when it is known.
    pub since: Time,
    /// When the engine was last listed.
    listed: Time,
    /// Whether that life has ended.
    is_over: bool,
}

/// How a departure ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The engine is not listed any more.
    Gone,
    /// A later life of it is listed.
    Reborn,
}

/// A departure that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The engine.
    pub engine: EngineKey,
    /// How it ended.
    pub end: End,
    /// Since when it was known.
    pub since: Time,
}

/// All engines that leave.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Their departures.
    departures: BTreeMap<EngineKey, Departure>,
}

impl Table {
    /// Notes that a life of an engine leaves, and since when; tells whether that is news.
    pub fn note(&mut self, engine: EngineKey, born: Option<u64>, since: Time, now: Time) -> bool {
        let known = self.departures.get_mut(&engine);
        match known {
            Some(known) if known.born > born => false,
            Some(known) if known.born == born => {
                known.since = known.since.min(since);
                false
            }
            _ => {
                let departure = Departure { born, since, listed: now, is_over: false };
                self.departures.insert(engine, departure);
                true
            }
        }
    }

    /// Gives the leaving of an engine in the life that is listed, if it leaves.
    pub fn of(&self, engine: &Engine) -> Option<Departure> {
        let departure = self.departures.get(&engine.key)?;
        departure.covers(engine.born).then_some(*departure)
    }

    /// Tells whether no engine is known to leave.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }

    /// Goes over the engines that leave.
    pub fn engines(&self) -> impl Iterator<Item = EngineKey> {
        self.departures.iter().filter(|(_, it)| !it.is_over).map(|(&it, _)| it)
    }

    /// Gives the departures that have ended, by the engines as they are listed, and forgets those that
    /// ended long ago.
    pub fn sweep<'a>(
        &mut self,
        now: Time,
        listed: impl Fn(EngineKey) -> Option<&'a Engine>,
    ) -> Vec<Ended> {
        let mut ended = Vec::new();
        for (&engine, departure) in &mut self.departures {
            let entry = listed(engine);
            let end = match entry {
                Some(entry) if departure.covers(entry.born) => {
                    departure.listed = now;
                    departure.is_over = false;
                    continue;
                }
                Some(_) => End::Reborn,
                None => End::Gone,
            };
            if !departure.is_over {
                departure.is_over = true;
                ended.push(Ended { engine, end, since: departure.since });
            }
        }
        self.departures.retain(|_, it| now.since(it.listed) < KEPT_FOR);
        ended
    }
}

impl Departure {
    /// Tells whether it is of a life that is listed, or of a later one.
    fn covers(&self, listed: Option<u64>) -> bool {
        self.born.is_none() || self.born >= listed
    }
}
