//! Requests that wait for room in an engine's memory, and memory reserved for those whose prompt
//! is being read.

use hollyspoke::time::Time;

use super::Gateway;
use crate::directory::Record;
use crate::effect::NotRunReason;
use crate::engine::{EngineKey, Stage};
use crate::flight::Flight;
use crate::load::Urgency;
use crate::message::Load;
use crate::request::FlightKey;

/// The share of the target for which a request waits before it is refused. Chosen by a sweep, with
/// accounts that give nothing for a refusal, however early (`docs/design/shifted.md`): those that
/// wait longer start late and hold memory that others need in time; less leaves room unused.
const WAIT_SHARE: f64 = 0.22;

/// The share of an engine's memory from which on it is scarce: boxes of other data centres may soon
/// look for room there. The users' engines hold eight prompts of the mean length; three are in.
const SCARCE_SHARE: f64 = 0.4;

impl Gateway {
    /// Tells whether an engine's memory is scarce.
    pub(super) fn is_scarce(&self, engine: EngineKey) -> bool {
        let Some(known) = self.directory.get(engine) else { return false };
        let configuration = self.configuration.as_ref();
        let service = configuration.and_then(|it| it.service(&known.engine.service));
        let Some(staged) = service.and_then(|it| it.staged) else { return false };
        let held = f64::from(self.ledger.at(engine).held);
        held >= staged.memory_tokens as f64 * SCARCE_SHARE
    }

    /// Has a request wait for room, or gives it up if no room can come.
    pub(super) fn wait_for_room(&mut self, key: FlightKey) {
        let Some(flight) = self.flights.get(&key) else { return };
        if let Some(wait) = self.kept_for(flight) {
            return self.wait_or_refuse(key, wait);
        }
        if flight.service.staged.is_none() || !self.can_find_room(flight) {
            let reason = self.why_no_engine(flight);
            return self.give_up(key, reason);
        }
        let is_waiting = flight.waits_until.is_some_and(|it| it > self.now);
        if is_waiting && !flight.waits_for_permit {
            return;
        }
        let until = wait_end(flight);
        if until <= self.now {
            return self.refuse_for_room(key);
        }
        self.wait_until(key, until);
        if let Some(flight) = self.flights.get_mut(&key) {
            flight.waits_for_permit = false;
        }
    }

    /// Has a request wait until a time, after which it is looked at again.
    pub(super) fn wait_until(&mut self, key: FlightKey, until: Time) {
        let Some(flight) = self.flights.get_mut(&key) else { return };
        if flight.waits_until.replace(until).is_none() {
            self.waiting.push(key);
        }
        self.wake_at(key, Some(until));
    }

    /// Sends the waiting requests for which there is room now: those whose prompt was read first,
    /// then those that can be in time, by their rank; of one rank first the ones whose client has
    /// come back and has no further try, each in the order of arrival. A low rank does not starve:
    /// requests wait for a short time at a box, and mostly alone.
    pub(super) fn admit_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|it| self.flights.get(it).is_some_and(|it| it.waits_until.is_some()));
        waiting.sort_by_key(|it| {
            let flight = &self.flights[it];
            let is_late = self.now.since(flight.arrived) > flight.route.target_latency;
            (flight.source.is_none(), is_late, flight.rank(), !flight.is_repeated, *it)
        });
        for &key in &waiting {
            self.proceed(key);
        }
        waiting.retain(|it| self.flights.get(it).is_some_and(|it| it.waits_until.is_some()));
        self.waiting.extend(waiting);
    }

    /// Refuses a request for which no room came in time.
    pub(super) fn refuse_for_room(&mut self, key: FlightKey) {
        if let Some(wait) = self.flights.get(&key).and_then(|it| self.kept_for(it)) {
            return self.refuse_kept(key, wait);
        }
        let spread = (self.draw() % 1000) as f64 / 1000.0;
        let wait = self.runs.mean(self.now).mul_f64(0.8 + 0.5 * spread);
        self.refuse_overloaded(key, wait);
    }

    /// Reserves memory at the engine that is to generate.
    pub(super) fn reserve(&mut self, key: FlightKey, engine: Option<EngineKey>) {
        let Some(engine) = engine else { return };
        let Some(flight) = self.flights.get_mut(&key) else { return };
        let held = u32::try_from(flight.request.tokens_held()).unwrap_or(u32::MAX / 4);
        let load = Load { reading: 0, calls: 0, held };
        flight.reserved = Some((engine, load));
        self.ledger.add(engine, load);
    }

    /// Releases the memory that was reserved for a request.
    pub(super) fn unreserve(&mut self, key: FlightKey) {
        let reserved = self.flights.get_mut(&key).and_then(|it| it.reserved.take());
        if let Some((engine, load)) = reserved {
            self.ledger.remove(engine, load, Urgency::Now);
        }
    }

    /// Tells whether an engine could take the request if it had room.
    fn can_find_room(&self, flight: &Flight) -> bool {
        let mut open = self.directory.open(&flight.service.name, self.now);
        let leaving_for = self.leaving_for(flight);
        open.any(|it| {
            let is_able = it.engine.stage == Some(Stage::Decode) && self.is_home(flight, it);
            is_able && self.terms.stays(&it.engine, leaving_for, self.now)
        })
    }

    /// Tells why no engine can take a request.
    fn why_no_engine(&self, flight: &Flight) -> NotRunReason {
        let engines = || self.directory.of_service(&flight.service.name);
        let is_open = |it: &Record| it.is_open(self.now) && self.is_home(flight, it);
        let stays = |it: &Record| !self.terms.is_leaving(&it.engine);
        if engines().any(|it| is_open(it) && stays(it)) {
            NotRunReason::NoEngine
        } else if engines().any(is_open) {
            NotRunReason::Leaving
        } else if engines().any(|it| it.is_evacuated() && self.is_home(flight, it)) {
            NotRunReason::Evacuated
        } else if engines().any(|it| it.is_open(self.now)) {
            NotRunReason::NoHome
        } else {
            NotRunReason::NoEngine
        }
    }

    /// Tells whether a request may be served where an engine is.
    pub(super) fn is_home(&self, flight: &Flight, known: &Record) -> bool {
        let regions = &self.settings.regions;
        flight.homes().iter().all(|it| it.include(&known.engine.data_centre, regions))
    }
}

/// Gives until when a request may wait for room.
fn wait_end(flight: &Flight) -> Time {
    if flight.source.is_some() {
        return flight.handle_end();
    }
    if flight.sends > 0 {
        return flight.ends;
    }
    flight.arrived + flight.route.target_latency.mul_f64(WAIT_SHARE)
}
