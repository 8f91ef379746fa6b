//! Engines that have announced that they are shutting down.
//!
//! Only a later incarnation of the engine revokes this. An entry that still lists it as ready, an
//! answer that does not mention the shutdown, or an entry that is removed and reappears does not.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};

/// How long a shutdown is remembered after the engine was last listed. Must exceed the time by
/// which an entry of the same incarnation may arrive late from a box that was cut off.
const RETENTION: Duration = Duration::from_secs(600);

/// How long each box that received the announcement from the engine itself repeats it to other
/// boxes. This covers several heartbeats, of which a few may be lost.
const REPEAT_DURATION: Duration = Duration::from_secs(4);

/// The shutdown of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// The start time of the incarnation that is shutting down; `None` if unknown, which covers
    /// every incarnation.
    pub started_at: Option<u64>,
    /// When this box received the announcement.
    received_at: Time,
    /// The age of the announcement when it was received.
    age: Duration,
    /// Whether the engine announced it to this box itself.
    is_direct: bool,
    /// When the engine was last listed.
    listed: Time,
    /// Whether the engine is gone, or a later incarnation is listed.
    has_ended: bool,
}

/// A box's announcement that an engine is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The key of the engine.
    pub engine: EngineKey,
    /// The start time of the incarnation that is shutting down, if known.
    pub started_at: Option<u64>,
    /// How long the shutdown has been known, in milliseconds.
    pub age_ms: u32,
}

/// The reason that a shutdown is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The engine is no longer listed.
    Gone,
    /// A later incarnation of the engine is listed.
    Restarted,
}

/// A shutdown that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The key of the engine.
    pub engine: EngineKey,
    /// The reason that it is over.
    pub reason: EndReason,
    /// How long the shutdown had been known.
    pub age: Duration,
}

/// All engines that are shutting down.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The shutdowns by engine.
    departures: BTreeMap<EngineKey, Departure>,
}

impl Table {
    /// Records an engine's own announcement that it is shutting down; returns whether it was
    /// unknown.
    pub fn record_own(&mut self, engine: EngineKey, started_at: Option<u64>, now: Time) -> bool {
        self.record(
            engine,
            Departure { is_direct: true, ..Departure::new(started_at, Duration::ZERO, now) },
            now,
        )
    }

    /// Applies another box's announcement; returns whether it was unknown.
    pub fn receive(&mut self, announcement: &Announcement, now: Time) -> bool {
        let Announcement { engine, started_at, age_ms } = *announcement;
        let age = Duration::from_millis(u64::from(age_ms));
        self.record(engine, Departure::new(started_at, age, now), now)
    }

    /// Records a shutdown if it is of a later incarnation than the known one; returns whether it
    /// is.
    fn record(&mut self, engine: EngineKey, received: Departure, now: Time) -> bool {
        match self.departures.get_mut(&engine) {
            Some(known) if known.started_at > received.started_at => false,
            Some(known) if known.started_at == received.started_at => {
                known.is_direct |= received.is_direct;
                if received.age(now) > known.age(now) {
                    (known.received_at, known.age) = (received.received_at, received.age);
                }
                false
            }
            _ => {
                self.departures.insert(engine, received);
                true
            }
        }
    }

    /// Returns the announcement for an engine that is shutting down.
    pub fn announcement(&self, engine: EngineKey, now: Time) -> Option<Announcement> {
        let departure = self.departures.get(&engine).filter(|it| !it.has_ended)?;
        let age_ms = u32::try_from(departure.age(now).as_millis()).unwrap_or(u32::MAX);
        Some(Announcement { engine, started_at: departure.started_at, age_ms })
    }

    /// Returns whether an engine recently announced its shutdown to this box itself. The first
    /// announcements to other boxes may have been lost, so this box repeats them.
    pub fn is_fresh(&self, engine: EngineKey, now: Time) -> bool {
        let departure = self.departures.get(&engine);
        departure.is_some_and(|it| it.is_direct && it.age(now) < REPEAT_DURATION)
    }

    /// Returns the shutdown of an engine's listed incarnation, if it is shutting down.
    pub fn of(&self, engine: &Engine) -> Option<Departure> {
        let departure = self.departures.get(&engine.key)?;
        departure.covers(engine.started_at).then_some(*departure)
    }

    /// Returns whether no engine is known to be shutting down.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }

    /// Iterates over the engines that are shutting down.
    pub fn engines(&self) -> impl Iterator<Item = EngineKey> {
        self.departures.iter().filter(|(_, it)| !it.has_ended).map(|(&it, _)| it)
    }

    /// Returns the shutdowns that are over according to the listed engines, and forgets those that
    /// ended long ago.
    pub fn sweep<'a>(
        &mut self,
        now: Time,
        listed: impl Fn(EngineKey) -> Option<&'a Engine>,
    ) -> Vec<Ended> {
        let mut ended = Vec::new();
        for (&engine, departure) in &mut self.departures {
            let entry = listed(engine);
            let reason = match entry {
                Some(entry) if departure.covers(entry.started_at) => {
                    departure.listed = now;
                    departure.has_ended = false;
                    continue;
                }
                Some(_) => EndReason::Restarted,
                None => EndReason::Gone,
            };
            if !departure.has_ended {
                departure.has_ended = true;
                ended.push(Ended { engine, reason, age: departure.age(now) });
            }
        }
        self.departures.retain(|_, it| now.since(it.listed) < RETENTION);
        ended
    }
}

impl Departure {
    /// Creates the shutdown of an incarnation that has been known for `age`.
    fn new(started_at: Option<u64>, age: Duration, now: Time) -> Departure {
        Departure {
            started_at,
            received_at: now,
            age,
            is_direct: false,
            listed: now,
            has_ended: false,
        }
    }

    /// Returns how long the shutdown has been known.
    pub fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.received_at)
    }

    /// Returns whether it concerns the listed incarnation or a later one.
    fn covers(&self, listed: Option<u64>) -> bool {
        self.started_at.is_none() || self.started_at >= listed
    }
}
