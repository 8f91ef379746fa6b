//! Admission of requests while a service's capacity is short.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use xxhash_rust::xxh3::xxh3_64;

use super::Gateway;
use super::capacity::wait_end;
use super::classes::class_of;
use super::end::RETRY_AFTER;
use super::peers::service_hash;
use crate::admission::{self, Ask, Claim, Contention, Decision};
use crate::class::Phase;
use crate::effect::{LogEvent, NotRunReason};
use crate::in_flight::InFlight;
use crate::placement::PlainBound;
use crate::request::RequestKey;
use crate::route::Service;

/// The shortest time for which the contention of a service's classes is cached.
const MIN_CACHE_TIME: Duration = Duration::from_millis(5);

/// The time per class for which it is cached, so that arranging the classes costs a box at most
/// some hundredths of its processor time, whatever their number.
const CACHE_TIME_PER_CLASS: Duration = Duration::from_micros(20);

/// The share of a plain call's target within which its answer must be expected. The rest is for
/// calls that take longer than the mean.
const PLAIN_TARGET_SHARE: f64 = 0.8;

/// The time without a request held back after which a service counts as no longer overloaded.
const OVERLOAD_END: Duration = Duration::from_secs(1);

/// The state of admission for all services.
#[derive(Debug, Clone, Default)]
pub(super) struct Admissions {
    /// The contention of each service's classes, and the time until which it is valid.
    cached: HashMap<Arc<str>, (Contention, Time)>,
    /// The overloaded services, and when a request of each was last held back.
    overloaded: HashMap<Arc<str>, Time>,
}

impl Admissions {
    /// Accounts for a request of this box that has changed its phase.
    pub(super) fn advance(&mut self, in_flight: &InFlight, from: Option<Phase>, to: Option<Phase>) {
        if let Some((contention, _)) = self.cached.get_mut(&in_flight.service.name) {
            let units = f64::from(in_flight.capacity_units());
            contention.advance(class_of(in_flight), units, from, to);
        }
    }
}

impl Gateway {
    /// Decides whether a request may take capacity now. If not, lets it wait or refuses it, and
    /// returns `false`. A request with a prefilled prompt, or one that was sent before, always may.
    /// A request of less than mean size may take what is left over where none of mean size fits.
    pub(super) fn admit(&mut self, key: RequestKey) -> bool {
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        let is_decided = in_flight.source.is_some()
            || in_flight.reserved.is_some()
            || in_flight.call_count > 0
            || in_flight.permit_request.is_some()
            || in_flight.service.staged.is_none();
        if !self.settings.features.admission || is_decided {
            return true;
        }
        let service = in_flight.service.clone();
        let pool = self.pool(&service);
        if !admission::is_short(&pool) {
            if let Some(in_flight) = self.in_flight.get_mut(&key) {
                in_flight.uses_remainders = false;
            }
            return true;
        }
        self.update_contention(&service);
        let Some(ask) = self.admission_ask(key) else { return false };
        let (contention, _) = &self.admissions.cached[&service.name];
        let decision = admission::decide(&pool, contention, &ask);
        let is_small = ask.units < self.mean_units(&service);
        let uses_remainders = decision == Decision::Wait && is_small;
        if let Some(in_flight) = self.in_flight.get_mut(&key) {
            in_flight.uses_remainders = uses_remainders;
        }
        if uses_remainders {
            return true;
        }
        match decision {
            Decision::Admit => return true,
            Decision::Wait => self.wait_for_capacity(key),
            Decision::Reject => {
                self.record_decision(&service, &ask, decision);
                self.refuse_for_capacity(key);
            }
        }
        false
    }

    /// Records that a request is sent for the first time, if capacity is short.
    pub(super) fn record_admission(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        let is_first = in_flight.call_count == 0 && in_flight.service.staged.is_some();
        if !self.settings.features.admission || !is_first {
            return;
        }
        let service = in_flight.service.clone();
        let pool = self.pool(&service);
        if admission::is_short(&pool)
            && let Some(ask) = self.admission_ask(key)
        {
            self.record_decision(&service, &ask, Decision::Admit);
        }
    }

    /// Returns whether a request that finds no engine with free capacity can expect none in time.
    pub(super) fn lacks_outlook(&mut self, key: RequestKey) -> bool {
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        let is_held = in_flight.source.is_some() || in_flight.call_count > 0;
        if !self.settings.features.admission || is_held || in_flight.service.staged.is_none() {
            return false;
        }
        let service = in_flight.service.clone();
        let pool = self.pool(&service);
        if !admission::is_short(&pool) {
            return false;
        }
        self.update_contention(&service);
        let Some(ask) = self.admission_ask(key) else { return false };
        let (contention, _) = &self.admissions.cached[&service.name];
        let decision = contention.outlook(&pool, &ask);
        self.record_decision(&service, &ask, decision);
        decision == Decision::Reject
    }

    /// Returns the bound on the time of a plain call; none if calls are not bounded by time.
    pub(super) fn plain_bound(&mut self, key: RequestKey) -> Option<PlainBound> {
        let in_flight = self.in_flight.get(&key)?;
        if !self.settings.features.admission || in_flight.service.staged.is_some() {
            return None;
        }
        let was_sent = in_flight.call_count > 0;
        let service = in_flight.service.clone();
        let longest = in_flight.route.target_latency.mul_f64(PLAIN_TARGET_SHARE);
        let pool = self.pool(&service);
        if was_sent || !admission::is_short(&pool) {
            return Some(PlainBound { longest, reserve_per_slot: 0.0 });
        }
        self.update_contention(&service);
        let ask = self.admission_ask(key)?;
        let (contention, _) = &self.admissions.cached[&service.name];
        let reserve_per_slot = contention.reserve(&pool, &ask) / pool.capacity;
        Some(PlainBound { longest, reserve_per_slot })
    }

    /// Refuses a plain request that no engine can answer in time.
    pub(super) fn refuse_late_plain(&mut self, key: RequestKey) {
        let Some(service) = self.in_flight.get(&key).map(|it| it.service.clone()) else { return };
        if let Some(ask) = self.admission_ask(key) {
            self.record_decision(&service, &ask, Decision::Reject);
        }
        self.refuse_until_capacity(key, NotRunReason::Overloaded, RETRY_AFTER);
    }

    /// Returns how good a request's claim to capacity is within its priority, as far as is known.
    pub(super) fn claim(&self, in_flight: &InFlight) -> Claim {
        let known = self.admissions.cached.get(&in_flight.service.name);
        known.map_or(Claim::Modest, |(it, _)| it.claim(class_of(in_flight)))
    }

    /// Logs the services whose overload is over.
    pub(super) fn end_overloads(&mut self) {
        let now = self.now;
        let is_over = |last: &Time| now.since(*last) >= OVERLOAD_END;
        let ended = self.admissions.overloaded.iter().filter(|(_, last)| is_over(last));
        let ended: Vec<Arc<str>> = ended.map(|(service, _)| service.clone()).collect();
        for service in ended {
            self.admissions.overloaded.remove(&service);
            self.log(LogEvent::Overload { service, has_ended: true });
        }
    }

    /// Arranges the load of a service's classes, unless that was done recently.
    fn update_contention(&mut self, service: &Service) {
        let known = self.admissions.cached.get(&service.name);
        if known.is_some_and(|(_, until)| self.now < *until) {
            return;
        }
        let classes = self.classes.of_service(service_hash(&service.name), self.now);
        let count = u32::try_from(classes.len()).unwrap_or(u32::MAX);
        let valid_for = MIN_CACHE_TIME.max(CACHE_TIME_PER_CLASS.saturating_mul(count));
        let horizon = self.cadence().local_interval();
        let pool = self.pool(service);
        let contention = Contention::new(&pool, &classes, self.mean_units(service), horizon);
        let cached = (contention, self.now + valid_for);
        self.admissions.cached.insert(service.name.clone(), cached);
    }

    /// Returns what a request asks for.
    fn admission_ask(&self, key: RequestKey) -> Option<Ask> {
        let in_flight = self.in_flight.get(&key)?;
        let draw = xxh3_64(&(key.0 ^ self.settings.incarnation).to_le_bytes());
        Some(Ask {
            class: class_of(in_flight),
            units: f64::from(in_flight.capacity_units()),
            is_waiting: in_flight.waits_until.is_some(),
            is_returning: in_flight.is_client_retry,
            patience: wait_end(in_flight).since(self.now),
            draw: draw as f64 / u64::MAX as f64,
        })
    }

    /// Records a decision that was made while capacity is short.
    fn record_decision(&mut self, service: &Service, ask: &Ask, decision: Decision) {
        if decision == Decision::Wait && ask.is_waiting {
            return;
        }
        let priority = ask.class.priority;
        self.log(LogEvent::Admission { service: service.name.clone(), priority, decision });
        if decision == Decision::Admit {
            return;
        }
        let service = service.name.clone();
        if self.admissions.overloaded.insert(service.clone(), self.now).is_none() {
            self.log(LogEvent::Overload { service, has_ended: false });
        }
    }
}
