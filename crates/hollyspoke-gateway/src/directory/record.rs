//! The record of one engine.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, Stage};
use crate::health::Health;
use crate::statement::ReportedLoad;
use crate::version::{SoftwareVersion, VersionKey};

/// The record of one engine in the directory: its listed entry, and the state learned from its
/// answers.
#[derive(Debug, Clone)]
pub struct Record {
    /// The engine's entry in the platform's list.
    pub engine: Arc<Engine>,
    /// The engine's health, derived from its answers.
    pub health: Health,
    /// The load that it last reported, and when.
    pub reported_load: Option<(ReportedLoad, Time)>,
    /// Its measured prefill rate in tokens per millisecond, and when it was measured.
    pub(super) rate: Option<(f64, Time)>,
    /// Whether its address is known, or said, to belong to another incarnation.
    pub(super) is_replaced: bool,
    /// The size in tokens of the request that it last rejected, and when.
    pub(super) rejected: Option<(u32, Time)>,
    /// Whether it has answered that it doesn't support reservations.
    pub lacks_reservations: bool,
    /// The time until which its entry may reappear, if it was missing after the store had been
    /// unreachable.
    pub(super) missing_until: Option<Time>,
    /// The stage that it is switching to, and until when the switch is assumed to take place.
    pub(super) switching: Option<(Stage, Time)>,
    /// The time until which it is skipped because it reported another stage or another id.
    pub(super) misdirected_until: Option<Time>,
    /// Whether its data centre is evacuated.
    pub(super) is_evacuated: bool,
    /// The time until which it is cold after its start.
    pub(super) cold_until: Option<Time>,
    /// The time until which its entry, which comes from an older copy of the store, may be that of
    /// an engine that has gone.
    pub(super) unconfirmed_until: Option<Time>,
    /// When its incarnation was first listed, unless the first list contained it.
    pub(super) appeared_at: Option<Time>,
    /// Whether it has told a later start than its entry shows. Its version isn't known then.
    pub(super) has_restarted: bool,
    /// When the newest probe was sent that it answered with the start that its entry shows.
    pub(super) confirmed_at: Option<Time>,
}

/// How long an engine that rejected a request is assumed to have no free capacity.
const FULL_INTERVAL: Duration = Duration::from_millis(200);

impl Record {
    /// Records that the engine rejected a request that would have held `held` tokens.
    pub fn record_rejection(&mut self, held: u32, now: Time) {
        let smallest = match self.rejected {
            Some((known, at)) if now.since(at) < FULL_INTERVAL => known.min(held),
            _ => held,
        };
        self.rejected = Some((smallest, now));
    }

    /// Returns the time since the engine last rejected a request.
    pub fn since_rejection(&self, now: Time) -> Option<Duration> {
        self.rejected.map(|(_, at)| now.since(at))
    }

    /// Returns whether the engine recently rejected a request that held as many tokens or fewer.
    pub fn is_full(&self, held: u64, now: Time) -> bool {
        self.rejected.is_some_and(|(smallest, at)| {
            now.since(at) < FULL_INTERVAL && held >= u64::from(smallest)
        })
    }

    /// Returns when the engine came back: as a new incarnation, or after it was unreachable.
    pub fn returned_at(&self, now: Time) -> Option<Time> {
        self.appeared_at.max(self.health.returned_at(now))
    }

    /// Returns the key of the version of the software that runs now; none if it isn't known.
    pub fn version(&self) -> Option<VersionKey> {
        let version = self.engine.version.as_ref().filter(|_| !self.has_restarted);
        version.map(SoftwareVersion::key)
    }

    /// Returns whether the engine has told a later start than its entry shows.
    pub fn has_restarted(&self) -> bool {
        self.has_restarted
    }

    /// Returns whether the engine has shown since a time that it is the incarnation of its entry.
    pub fn was_confirmed_after(&self, time: Time) -> bool {
        self.confirmed_at >= Some(time)
    }

    /// Marks the engine's entry as missing. It may reappear until the given time.
    pub(super) fn mark_missing(self, until: Time) -> Record {
        let until = self.missing_until.map_or(until, |it| it.min(until));
        Record { missing_until: Some(until), ..self }
    }

    /// Returns whether its entry is missing and may reappear.
    pub fn is_missing(&self) -> bool {
        self.missing_until.is_some()
    }

    /// Returns whether its address is known, or said, to belong to another incarnation.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Returns whether the engine's data centre is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Returns whether the engine is cold after its start.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold_until.is_some_and(|it| now < it)
    }

    /// Returns whether the engine accepts new requests.
    pub fn is_open(&self, now: Time) -> bool {
        let is_misdirected = self.misdirected_until.is_some_and(|it| now < it);
        !self.engine.is_draining
            && !self.is_unconfirmed(now)
            && !self.is_replaced
            && !self.is_evacuated
            && !is_misdirected
            && self.switching(now).is_none()
    }

    /// Returns whether its entry may be that of an engine that has gone.
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        self.unconfirmed_until.is_some_and(|it| now < it)
    }

    /// Returns the stage that the engine is switching to, if any.
    pub fn switching(&self, now: Time) -> Option<Stage> {
        self.switching.filter(|(_, until)| now < *until).map(|(stage, _)| stage)
    }

    /// Returns the engine's stage, or the one that it is switching to.
    pub fn next_stage(&self, now: Time) -> Option<Stage> {
        self.switching(now).or(self.engine.stage)
    }
}

/// Merges the newest entry of an incarnation into its known state.
pub(super) fn merge(known: Option<Record>, engine: Engine, now: Time) -> Record {
    let cold_until = match &known {
        // An entry that is read a second time contains nothing new.
        Some(known) if *known.engine == engine => known.cold_until,
        _ => cold_until(&engine, now),
    };
    let engine = Arc::new(engine);
    match known {
        Some(known) if known.engine.stage != engine.stage => Record {
            engine,
            missing_until: None,
            switching: None,
            misdirected_until: None,
            rate: None,
            cold_until,
            ..known
        },
        Some(known) => Record { engine, missing_until: None, cold_until, ..known },
        None => Record {
            engine,
            health: Health::default(),
            reported_load: None,
            rate: None,
            is_replaced: false,
            rejected: None,
            lacks_reservations: false,
            missing_until: None,
            switching: None,
            misdirected_until: None,
            is_evacuated: false,
            cold_until,
            unconfirmed_until: None,
            appeared_at: Some(now),
            has_restarted: false,
            confirmed_at: None,
        },
    }
}

/// Returns the time until which an engine is cold, by an entry that has just arrived. The entry was
/// written slightly earlier, so the result is at most too late.
fn cold_until(engine: &Engine, now: Time) -> Option<Time> {
    let left = Duration::from_millis(u64::from(engine.cold_left_ms));
    (!left.is_zero()).then(|| now + left)
}
