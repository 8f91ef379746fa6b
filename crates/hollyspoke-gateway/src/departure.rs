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
const RETENTION: Duration = Duration::from_secs(600);

/// For how long each box that an engine has told itself repeats it to the others: some heartbeats, of
/// which a few may be lost.
const REPEAT_DURATION: Duration = Duration::from_secs(4);

/// The leaving of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// The life of the engine that leaves; any, if it does not tell.
    pub started_at: Option<u64>,
    /// When this box learnt it.
    received_at: Time,
    /// For how long it was known then.
    age: Duration,
    /// Whether the engine has told this box itself.
    is_direct: bool,
    /// When the engine was last listed.
    listed: Time,
    /// Whether that life has ended.
    has_ended: bool,
}

/// What a box tells of an engine that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The engine.
    pub engine: EngineKey,
    /// The life of the engine that leaves, if it tells.
    pub started_at: Option<u64>,
    /// For how long it is known, in milliseconds.
    pub age_ms: u32,
}

/// How a departure ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The engine is not listed any more.
    Gone,
    /// A later life of it is listed.
    Restarted,
}

/// A departure that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The engine.
    pub engine: EngineKey,
    /// How it ended.
    pub end: End,
    /// For how long it was known that it leaves.
    pub age: Duration,
}

/// All engines that leave.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Their departures.
    departures: BTreeMap<EngineKey, Departure>,
}

impl Table {
    /// Learns from an engine's own answer that a life of it leaves; tells whether that is news.
    pub fn record_own(&mut self, engine: EngineKey, started_at: Option<u64>, now: Time) -> bool {
        self.record(
            engine,
            Departure { is_direct: true, ..Departure::new(started_at, Duration::ZERO, now) },
            now,
        )
    }

    /// Takes what another box tells; tells whether that is news.
    pub fn receive(&mut self, announcement: &Announcement, now: Time) -> bool {
        let Announcement { engine, started_at, age_ms } = *announcement;
        let age = Duration::from_millis(u64::from(age_ms));
        self.record(engine, Departure::new(started_at, age, now), now)
    }

    /// Takes a departure, if it is of a later life than the one that is known.
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

    /// Gives what there is to tell of an engine that leaves.
    pub fn announcement(&self, engine: EngineKey, now: Time) -> Option<Announcement> {
        let departure = self.departures.get(&engine).filter(|it| !it.has_ended)?;
        let age_ms = u32::try_from(departure.age(now).as_millis()).unwrap_or(u32::MAX);
        Some(Announcement { engine, started_at: departure.started_at, age_ms })
    }

    /// Tells whether an engine has told this box itself, a short time ago, that it leaves: what was told
    /// to the others then may not have come to the box that repeats it.
    pub fn is_fresh(&self, engine: EngineKey, now: Time) -> bool {
        let departure = self.departures.get(&engine);
        departure.is_some_and(|it| it.is_direct && it.age(now) < REPEAT_DURATION)
    }

    /// Gives the leaving of an engine in the life that is listed, if it leaves.
    pub fn of(&self, engine: &Engine) -> Option<Departure> {
        let departure = self.departures.get(&engine.key)?;
        departure.covers(engine.started_at).then_some(*departure)
    }

    /// Tells whether no engine is known to leave.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }

    /// Goes over the engines that leave.
    pub fn engines(&self) -> impl Iterator<Item = EngineKey> {
        self.departures.iter().filter(|(_, it)| !it.has_ended).map(|(&it, _)| it)
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
                Some(entry) if departure.covers(entry.started_at) => {
                    departure.listed = now;
                    departure.has_ended = false;
                    continue;
                }
                Some(_) => End::Restarted,
                None => End::Gone,
            };
            if !departure.has_ended {
                departure.has_ended = true;
                ended.push(Ended { engine, end, age: departure.age(now) });
            }
        }
        self.departures.retain(|_, it| now.since(it.listed) < RETENTION);
        ended
    }
}

impl Departure {
    /// Makes the departure of a life that another box has known for a time.
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

    /// Gives for how long it is known.
    pub fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.received_at)
    }

    /// Tells whether it is of a life that is listed, or of a later one.
    fn covers(&self, listed: Option<u64>) -> bool {
        self.started_at.is_none() || self.started_at >= listed
    }
}
