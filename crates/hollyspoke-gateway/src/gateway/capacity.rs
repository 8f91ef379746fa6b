//! Requests that wait for free memory of an engine, and memory reserved for requests whose prompt
//! is being prefilled.

use hollyspoke::time::Time;

use super::Gateway;
use super::end::RETRY_AFTER;
use crate::class::Phase;
use crate::directory::Record;
use crate::effect::NotRunReason;
use crate::engine::{EngineKey, Stage};
use crate::in_flight::InFlight;
use crate::load::Urgency;
use crate::message::Load;
use crate::origin::Origin;
use crate::request::RequestKey;

/// The share of the target for which a request waits before it is refused. Requests that wait
/// longer start late and hold memory that others need in time; a shorter wait leaves capacity
/// unused. A refusal earns nothing in this trade-off, however early it comes
/// (`docs/design/shifted.md`).
const WAIT_SHARE: f64 = 0.22;

/// The same share for a client that has returned after a refusal, and that won't return once more.
/// The rest of the target is for the prefill.
const RETURN_WAIT_SHARE: f64 = 0.6;

/// The used share of an engine's memory from which on the memory is scarce, because boxes of other
/// data centres may soon need some of it. An engine holds eight prompts of mean length; at this
/// share three are in use.
const SCARCE_SHARE: f64 = 0.4;

impl Gateway {
    /// Returns whether an engine's memory is scarce.
    pub(super) fn is_scarce(&self, engine: EngineKey) -> bool {
        let Some(record) = self.directory.get(engine) else { return false };
        let configuration = self.configuration.as_ref();
        let service = configuration.and_then(|it| it.service(&record.engine.service));
        let Some(staged) = service.and_then(|it| it.staged) else { return false };
        let held = f64::from(self.ledger.at(engine).held_tokens);
        held >= staged.memory_tokens as f64 * SCARCE_SHARE
    }

    /// Lets a request wait for free capacity, or gives it up if none can become free.
    pub(super) fn wait_for_capacity(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        if let Some(wait) = self.blocked_for(in_flight) {
            return self.wait_or_refuse(key, wait);
        }
        if self.is_late_plain(in_flight) {
            return self.refuse_late_plain(key);
        }
        if in_flight.service.staged.is_none() || !self.may_get_capacity(in_flight) {
            let reason = self.no_engine_reason(in_flight);
            if self.has_plain_engine(in_flight) {
                return self.refuse_until_capacity(key, reason, RETRY_AFTER);
            }
            return self.give_up(key, reason);
        }
        let is_waiting = in_flight.waits_until.is_some_and(|it| it > self.now);
        if is_waiting && !in_flight.waits_for_permit {
            return;
        }
        let until = wait_end(in_flight);
        if until <= self.now || self.lacks_outlook(key) {
            return self.refuse_for_capacity(key);
        }
        self.wait_until(key, until);
        if let Some(in_flight) = self.in_flight.get_mut(&key) {
            in_flight.waits_for_permit = false;
        }
    }

    /// Lets a request wait until a time, after which it is checked again.
    pub(super) fn wait_until(&mut self, key: RequestKey, until: Time) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        if in_flight.waits_until.replace(until).is_none() {
            self.waiting.push(key);
        }
        self.set_phase(key, Some(Phase::Waiting));
        self.wake_at(key, Some(until));
    }

    /// Sends the waiting requests for which capacity is now free. Requests with a prefilled prompt
    /// are first, then those that can still meet the target, by priority. Within a priority, the
    /// requests of customers below their fair share are first, then those whose client is retrying
    /// and won't retry again, each in the order of arrival. A low priority doesn't starve: requests
    /// wait only briefly at a box, and mostly alone.
    pub(super) fn admit_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|it| self.in_flight.get(it).is_some_and(|it| it.waits_until.is_some()));
        waiting.sort_by_key(|it| {
            let in_flight = &self.in_flight[it];
            let is_late = self.now.since(in_flight.arrived) > in_flight.route.target_latency;
            (
                in_flight.source.is_none(),
                is_late,
                in_flight.priority(),
                self.claim(in_flight),
                !in_flight.is_client_retry,
                *it,
            )
        });
        // A request that was sent when it was due, and waits again, is listed twice.
        waiting.dedup();
        for &key in &waiting {
            self.proceed(key);
        }
        waiting.retain(|it| self.in_flight.get(it).is_some_and(|it| it.waits_until.is_some()));
        self.waiting.extend(waiting);
    }

    /// Refuses a request for which no capacity became free in time.
    pub(super) fn refuse_for_capacity(&mut self, key: RequestKey) {
        if let Some(wait) = self.in_flight.get(&key).and_then(|it| self.blocked_for(it)) {
            return self.refuse_blocked(key, wait);
        }
        let spread = (self.draw() % 1000) as f64 / 1000.0;
        let wait = self.runs.mean(self.now).mul_f64(0.8 + 0.5 * spread);
        self.refuse_overloaded(key, wait);
    }

    /// Reserves memory at the engine chosen for decoding.
    pub(super) fn reserve(&mut self, key: RequestKey, engine: Option<EngineKey>) {
        let Some(engine) = engine else { return };
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        let held_tokens = in_flight.capacity_units();
        let load = Load { prefill_tokens: 0, calls: 0, held_tokens };
        in_flight.reserved = Some((engine, load));
        self.ledger.add(engine, load);
    }

    /// Releases the memory that was reserved for a request.
    pub(super) fn unreserve(&mut self, key: RequestKey) {
        let reserved = self.in_flight.get_mut(&key).and_then(|it| it.reserved.take());
        if let Some((engine, load)) = reserved {
            self.ledger.remove(engine, load, Urgency::Now);
        }
    }

    /// Returns whether an engine could take the request if it had free capacity.
    fn may_get_capacity(&self, in_flight: &InFlight) -> bool {
        let mut open = self.directory.open(&in_flight.service.name, self.now);
        let max_drain_age = self.max_drain_age(in_flight);
        open.any(|it| {
            let is_able =
                it.engine.stage == Some(Stage::Decode) && self.is_allowed_at(in_flight, it);
            is_able && self.terms.is_usable(&it.engine, max_drain_age, self.now)
        })
    }

    /// Returns whether a plain request is not sent because all engines that could take it would
    /// answer it late.
    fn is_late_plain(&self, in_flight: &InFlight) -> bool {
        self.settings.features.admission
            && in_flight.call_count == 0
            && self.has_plain_engine(in_flight)
    }

    /// Returns whether an engine could take a plain request if fewer calls were queued there.
    fn has_plain_engine(&self, in_flight: &InFlight) -> bool {
        in_flight.service.staged.is_none()
            && self
                .directory
                .open(&in_flight.service.name, self.now)
                .any(|it| self.is_usable(it) && self.is_allowed_at(in_flight, it))
    }

    /// Returns why no engine can take a request.
    fn no_engine_reason(&self, in_flight: &InFlight) -> NotRunReason {
        let engines = || self.directory.of_service(&in_flight.service.name);
        let is_open = |it: &Record| it.is_open(self.now) && self.is_allowed_at(in_flight, it);
        let stays = |it: &Record| !self.terms.is_leaving(&it.engine);
        if engines().any(|it| is_open(it) && stays(it)) {
            NotRunReason::NoEngine
        } else if engines().any(is_open) {
            NotRunReason::ShuttingDown
        } else if engines().any(|it| it.is_evacuated() && self.is_allowed_at(in_flight, it)) {
            NotRunReason::Evacuated
        } else if in_flight.origin != Origin::Open
            && engines().any(|it| self.is_region_allowed_at(in_flight, it))
        {
            NotRunReason::NoEngineOfVersion
        } else if engines().any(|it| it.is_open(self.now)) {
            NotRunReason::NoEngineInRegion
        } else {
            NotRunReason::NoEngine
        }
    }

    /// Returns whether a request may be served in the data centre of an engine, and its stream at the
    /// engine's version.
    pub(super) fn is_allowed_at(&self, in_flight: &InFlight, record: &Record) -> bool {
        in_flight.origin.allows(record.version()) && self.is_region_allowed_at(in_flight, record)
    }

    /// Returns whether a request may be served in the data centre of an engine.
    fn is_region_allowed_at(&self, in_flight: &InFlight, record: &Record) -> bool {
        let regions = &self.settings.regions;
        in_flight
            .allowed_regions()
            .iter()
            .all(|it| it.includes_data_centre(&record.engine.data_centre, regions))
    }
}

/// Returns the time until which a request may wait for free capacity.
pub(super) fn wait_end(in_flight: &InFlight) -> Time {
    if in_flight.source.is_some() {
        return in_flight.handle_end();
    }
    if in_flight.call_count > 0 {
        return in_flight.deadline;
    }
    let share = if in_flight.is_patient { RETURN_WAIT_SHARE } else { WAIT_SHARE };
    in_flight.arrived + in_flight.route.target_latency.mul_f64(share)
}
