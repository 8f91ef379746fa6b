//! Which calls are repeats, and what they take from their service's budget.
//!
//! A request's calls count from the second that comes to an engine. The reading of its prompt does
//! not count if the engine takes it up; whether it does is known only by its answer, so that one
//! that would be a repeat takes its token when it is sent.

use super::Gateway;
use crate::budget::Part;
use crate::effect::LogEvent;
use crate::in_flight::Call;
use crate::request::RequestKey;
use crate::route::Service;

impl Gateway {
    /// Adds what a request brings to its service's budget.
    pub(super) fn earn_retries(&mut self, service: &Service) {
        let part = Part { bound: &self.settings.retry_bound, boxes: self.sharing_boxes() };
        self.budgets.entry(service.name.clone()).or_default().arrive(self.now, part);
    }

    /// Takes a repeat from the budget of a request's service; tells whether there was one.
    pub(super) fn take_retry(&mut self, key: RequestKey) -> bool {
        let boxes = self.sharing_boxes();
        let part = Part { bound: &self.settings.retry_bound, boxes };
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        let Some(budget) = self.budgets.get_mut(&in_flight.service.name) else { return false };
        let is_sent = budget.take(self.now, part);
        let available = budget.available();
        let request = in_flight.request.id.clone();
        let service = in_flight.service.name.clone();
        self.log(LogEvent::Retry { request, service, is_sent, available, boxes });
        is_sent
    }

    /// Gives a call's repeat back, if it took one: it did not come to an engine, or does not count.
    pub(super) fn refund_retry(&mut self, call: &Call) {
        if !call.is_retry {
            return;
        }
        let part = Part { bound: &self.settings.retry_bound, boxes: self.sharing_boxes() };
        let service = self.in_flight.get(&call.request).map(|it| &it.service.name);
        if let Some(budget) = service.and_then(|it| self.budgets.get_mut(it)) {
            budget.refund(self.now, part);
        }
    }
}
