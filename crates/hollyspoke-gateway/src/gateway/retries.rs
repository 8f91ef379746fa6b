//! Which calls count as retries, and how they use the retry budget of their service.
//!
//! Of a request's calls, every one that reaches an engine after the first counts. A prefill doesn't
//! count if the engine accepts it. Since only the answer shows that, a prefill that would be a
//! retry takes its token when it is sent.

use super::Gateway;
use crate::budget::BoxShare;
use crate::effect::LogEvent;
use crate::in_flight::Call;
use crate::request::RequestKey;
use crate::route::Service;

impl Gateway {
    /// Credits a request to the retry budget of its service.
    pub(super) fn earn_retries(&mut self, service: &Service) {
        let share = BoxShare { bound: &self.settings.retry_bound, box_count: self.sharing_boxes() };
        self.budgets.entry(service.name.clone()).or_default().add_request(self.now, share);
    }

    /// Takes a token for a retry from the budget of the request's service. Returns whether one was
    /// available.
    pub(super) fn take_retry(&mut self, key: RequestKey) -> bool {
        let boxes = self.sharing_boxes();
        let share = BoxShare { bound: &self.settings.retry_bound, box_count: boxes };
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        let Some(budget) = self.budgets.get_mut(&in_flight.service.name) else { return false };
        let is_sent = budget.take(self.now, share);
        let available = budget.available();
        let request = in_flight.request.id.clone();
        let service = in_flight.service.name.clone();
        self.log(LogEvent::Retry { request, service, is_sent, available, boxes });
        is_sent
    }

    /// Returns the token of a call, if it took one, because the call didn't reach an engine or
    /// doesn't count.
    pub(super) fn refund_retry(&mut self, call: &Call) {
        if call.is_retry {
            self.refund_retry_of(call.request);
        }
    }

    /// Returns a token that was taken for a request.
    pub(super) fn refund_retry_of(&mut self, key: RequestKey) {
        let share = BoxShare { bound: &self.settings.retry_bound, box_count: self.sharing_boxes() };
        let service = self.in_flight.get(&key).map(|it| &it.service.name);
        if let Some(budget) = service.and_then(|it| self.budgets.get_mut(it)) {
            budget.refund(self.now, share);
        }
    }
}
