//! The capacity of a service over all its engines, as far as this box knows it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::directory::Record;
use crate::engine::{EngineKey, Stage};
use crate::placement::{MEMORY_SHARE, REPORTED_LOAD_TTL};
use crate::pool::Pool;
use crate::route::{Service, Staged};

/// The shortest time for which a pool is cached. A burst of arrivals at one box comes within it.
const MIN_CACHE_TIME: Duration = Duration::from_millis(2);

/// The time per engine for which a pool is cached, so that summing up costs a box at most some
/// hundredths of its processor time, whatever the number of engines.
const CACHE_TIME_PER_ENGINE: Duration = Duration::from_micros(20);

/// The size of a request before any is known, as a share of an engine's memory.
const INITIAL_SIZE_SHARE: f64 = 0.1;

/// The time that a plain call is assumed to take before the first answer.
const INITIAL_WORK: Duration = Duration::from_millis(100);

/// The pools that were computed last.
#[derive(Debug, Clone, Default)]
pub(super) struct Pools {
    /// The pool of each service, and the time until which it is valid.
    cached: HashMap<Arc<str>, (Pool, Time)>,
}

impl Pools {
    /// Accounts for capacity that this box has taken or freed since the pool was computed.
    pub(super) fn add_held(&mut self, service: &str, units: f64) {
        if let Some((pool, _)) = self.cached.get_mut(service) {
            pool.held = (pool.held + units).max(0.0);
            pool.placeable = (pool.placeable - units).max(0.0);
        }
    }
}

impl Gateway {
    /// Returns the capacity of a service, which may have been computed a few milliseconds ago.
    pub(super) fn pool(&mut self, service: &Service) -> Pool {
        let cached = self.pools.cached.get(&service.name);
        if let Some((pool, _)) = cached.filter(|(_, until)| self.now < *until) {
            return *pool;
        }
        let (mut pool, count) = match &service.staged {
            Some(staged) => self.staged_pool(service, staged),
            None => self.plain_pool(service),
        };
        pool.heard_share = self.heard_share();
        let valid_for = MIN_CACHE_TIME.max(CACHE_TIME_PER_ENGINE * count);
        self.pools.cached.insert(service.name.clone(), (pool, self.now + valid_for));
        pool
    }

    /// Returns the mean size of a service's requests, in units of its capacity.
    pub(super) fn mean_units(&self, service: &Service) -> f64 {
        let Some(staged) = service.staged else { return 1.0 };
        let measured = self.meters.get(&service.name).and_then(|it| it.mean_held_tokens());
        measured.unwrap_or(staged.memory_tokens as f64 * INITIAL_SIZE_SHARE)
    }

    /// Sums up the memory of a service's decode engines; also returns the number of engines.
    fn staged_pool(&mut self, service: &Service, staged: &Staged) -> (Pool, u32) {
        let run = self.runs.mean(self.now).as_secs_f64();
        let size = self.mean_units(service);
        let limit = staged.memory_tokens as f64 * MEMORY_SHARE;
        let mut pool = Pool::default();
        let mut count = 0;
        for record in self.directory.open(&service.name, self.now) {
            count += 1;
            if record.engine.stage == Some(Stage::Prefill) || !self.is_usable(record) {
                continue;
            }
            let held = f64::from(self.ledger.at(record.engine.key).held_tokens);
            pool.capacity += limit;
            pool.held += held;
            let free = limit - held;
            if free >= size && !record.is_full(size as u64, self.now) {
                pool.placeable += free;
            }
        }
        pool.released_per_s = pool.held / run.max(f64::EPSILON);
        (pool, count)
    }

    /// Sums up the slots of a service's engines; also returns the number of engines.
    fn plain_pool(&self, service: &Service) -> (Pool, u32) {
        let mut pool = Pool::default();
        let mut count = 0;
        for record in self.directory.open(&service.name, self.now) {
            count += 1;
            if !self.is_usable(record) {
                continue;
            }
            let calls = self.calls_at(record);
            let slots = f64::from(record.engine.slots.max(1));
            let work = self.work_at(&service.name, record.engine.key).as_secs_f64();
            pool.capacity += slots;
            pool.held += f64::from(calls);
            pool.placeable += (slots - f64::from(calls)).max(0.0);
            pool.released_per_s += f64::from(calls).min(slots) / work.max(f64::EPSILON);
        }
        (pool, count)
    }

    /// Returns the calls at an engine: those that boxes announce, or that it reports itself if they
    /// are more.
    pub(super) fn calls_at(&self, record: &Record) -> u32 {
        let sent = self.ledger.at(record.engine.key).calls;
        let reported = record.reported_load;
        let reported = reported.filter(|(_, at)| self.now.since(*at) < REPORTED_LOAD_TTL);
        sent.max(reported.map_or(0, |(it, _)| it.running + it.waiting))
    }

    /// Returns the time that a plain call takes at an engine, without the wait for a slot.
    pub(super) fn work_at(&self, service: &str, engine: EngineKey) -> Duration {
        self.works.at(service, engine, self.now).unwrap_or(INITIAL_WORK)
    }

    /// Returns whether an engine that accepts new requests can be reached, stays, and doesn't back
    /// off from this box.
    pub(super) fn is_usable(&self, record: &Record) -> bool {
        !record.health.is_unreachable(self.now)
            && self.terms.is_usable(&record.engine, None, self.now)
            && !self.terms.back_offs.is_closed(&record.engine, self.now)
    }

    /// Returns the share of the boxes that this one hears, itself included.
    fn heard_share(&self) -> f64 {
        let sharing = self.sharing_boxes().max(1);
        let heard = self.members.on_time_count(self.now) + 1;
        (heard as f64 / sharing as f64).min(1.0)
    }
}
