//! The times at which refused clients are told to return, and the outcome of their returns.

use std::time::Duration;

use super::Gateway;
use super::classes::class_of;
use crate::appointment::{Announcement, Appointment, Demand, Outlook, Window, next};
use crate::class::Phase;
use crate::effect::{LogEvent, NotRunReason};
use crate::in_flight::InFlight;
use crate::message::Message;
use crate::request::RequestKey;
use crate::route::Route;

/// The share of the time that a client has left within which it returns when told to.
const HEEDED_SHARE: f64 = 1.0 / 3.0;

/// The shortest time after which a client returns. Until then the other boxes mostly haven't
/// announced what they have done with the capacity that this box sees.
const MIN_RETURN: Duration = Duration::from_millis(250);

impl Gateway {
    /// Returns whether refused clients are told to return by a forecast of the load.
    pub(super) fn forecasts_returns(&self) -> bool {
        self.settings.features.appointments
    }

    /// Refuses a request for lack of capacity. Its client is told to return when the forecast has
    /// capacity for it, or after `otherwise` if there is no forecast.
    pub(super) fn refuse_until_capacity(
        &mut self,
        key: RequestKey,
        reason: NotRunReason,
        otherwise: Duration,
    ) {
        if self.return_to_kept(key) {
            return;
        }
        let after = self.appoint(key).map_or(otherwise, |it| it.after);
        self.give_up_with_retry(key, reason, after);
    }

    /// Chooses the time at which a client is told to return and records it. Returns none if
    /// forecasts are off, or if the client may not repeat the request.
    fn appoint(&mut self, key: RequestKey) -> Option<Appointment> {
        if !self.forecasts_returns() {
            return None;
        }
        let draw = self.draw();
        let in_flight = self.in_flight.get(&key)?;
        if in_flight.has_begun || in_flight.trace.not_run().is_none() {
            return None;
        }
        let service = in_flight.service.clone();
        let pool = self.pool(&service);
        let run = match service.staged {
            Some(_) => self.runs.mean(self.now),
            None => Duration::ZERO,
        };
        let in_flight = self.in_flight.get(&key)?;
        let window = self.return_window(in_flight, run);
        let class = class_of(in_flight);
        let demand = Demand {
            service: class.service,
            priority: class.priority,
            units: in_flight.capacity_units(),
        };
        let mut outlook =
            Outlook { pool, boxes: self.members.count(self.now), ..Outlook::default() };
        for (other, load) in self.classes.of_service(class.service, self.now) {
            if other.priority <= class.priority {
                outlook.arriving_per_s += load.arriving_per_s();
                outlook.waiting += f64::from(load.waiting);
            }
        }
        if in_flight.phase == Some(Phase::Waiting) {
            outlook.waiting -= f64::from(demand.units);
        }
        let appointment = next(&outlook, &self.appointments, demand, window, self.now, draw);
        // A client that has been refused twice seldom returns once more.
        if !in_flight.is_client_retry {
            let at = self.now + appointment.after;
            self.appointments.record(in_flight.signature, demand, at);
        }
        let Appointment { after, is_promised } = appointment;
        let request = in_flight.request.id.clone();
        self.log(LogEvent::ToldToReturn { request, after, is_promised });
        Some(appointment)
    }

    /// Returns the times after which a client may be told to return, if a run takes `run`.
    fn return_window(&self, in_flight: &InFlight, run: Duration) -> Window {
        let left = in_flight.deadline.since(self.now);
        let latest = left.mul_f64(HEEDED_SHARE).min(left.saturating_sub(run));
        Window { earliest: MIN_RETURN, latest }
    }

    /// Returns whether a request is one that its client sends again, by its deadline.
    pub(super) fn is_return(&mut self, route: &Route, deadline: Duration) -> bool {
        let frequent = self.frequent_deadlines.entry(route.name.clone()).or_default();
        let is_return = frequent.is_remainder(deadline);
        frequent.record(deadline);
        is_return
    }

    /// Records that a request has arrived, whose client this box may have told to return.
    pub(super) fn record_return(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        if self.appointments.redeem(in_flight.signature, self.now) {
            in_flight.is_client_retry = true;
            in_flight.is_patient = true;
        }
    }

    /// Records that a request was sent to an engine for the first time.
    pub(super) fn record_start(&mut self, key: RequestKey) {
        let now = self.now;
        if let Some(in_flight) = self.in_flight.get_mut(&key) {
            in_flight.started.get_or_insert(now);
        }
    }

    /// Logs the outcome of a client's return.
    pub(super) fn log_return(&mut self, in_flight: &InFlight, outcome: &'static str) {
        if self.forecasts_returns() && in_flight.is_client_retry {
            let waited = in_flight.started.map(|it| it.since(in_flight.arrived));
            let request = in_flight.request.id.clone();
            self.log(LogEvent::Returned { request, outcome, waited });
        }
    }

    /// Returns the load that this box has told to return, for a heartbeat.
    pub(super) fn own_appointments(&mut self) -> Vec<Announcement> {
        if self.forecasts_returns() { self.appointments.own(self.now) } else { Vec::new() }
    }

    /// Receives the load that another box has told to return.
    pub(super) fn receive_appointments(&mut self, message: &Message) {
        let announced = message.extension.as_ref().map_or(&[][..], |it| &it.appointments);
        // Without a list, what was announced before stays due until it has passed.
        if self.forecasts_returns() && !announced.is_empty() {
            self.appointments.receive(message.incarnation, announced, self.now);
        }
    }
}
