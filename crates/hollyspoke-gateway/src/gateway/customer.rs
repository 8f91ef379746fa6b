//! Checks whether a request's customer may send it: its API key, and its limit over all boxes.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::outcome::Trace;
use hollyspoke::quota::{MAX_BOXES, Visibility};

use super::{Gateway, Sharing};
use crate::customer::{Caller, Customer};
use crate::effect::{Effect, NotRunReason, Refusal};
use crate::in_flight::InFlight;
use crate::message::{Message, Usage};
use crate::request::{Request, RequestKey};
use crate::route::{Configuration, Route};

/// Retry delay for a client whose key may be in a configuration that is still being read. Boxes
/// receive a version within tens of milliseconds of each other.
const STALE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Retry delay for a client whose customer's limit is nearly used up because this box has just
/// started and has not received a heartbeat yet. Boxes that start together receive the first one
/// after 0.1 to 0.4 s.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval at which a box updates the set of boxes that share limits, before it applies a limit: a
/// small part of the time after which a heartbeat is overdue.
const SHARING_UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// One of this number of heartbeats carries all accounts, which corrects boxes that missed some.
const COMPLETE_USAGE_PERIOD: u32 = 16;

/// Share by which retry delays after a customer's limit are spread.
const RETRY_SPREAD: f64 = 0.5;

/// Minimum and maximum retry delay for a client whose customer is over its limit.
const RETRY_DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// The sender of a request.
pub(super) struct Identity {
    /// The customer, if it is known.
    pub(super) customer: Option<Arc<Customer>>,
    /// The caller on whose behalf the request is sent to engines.
    pub(super) caller: Caller,
}

/// Error for a request without a known key on a route that requires one.
pub(super) struct UnknownKey;

/// Identifies the sender of a request.
pub(super) fn identify(
    configuration: &Configuration,
    route: &Route,
    request: &Request,
) -> Result<Identity, UnknownKey> {
    let Some(customers) = &configuration.customers else {
        return Ok(Identity { customer: None, caller: Caller::Unchecked });
    };
    let customer = request.credential.and_then(|it| customers.find_by_key(it)).cloned();
    match customer {
        Some(customer) => {
            let caller = Caller::Customer(customer.name.clone());
            Ok(Identity { customer: Some(customer), caller })
        }
        None if route.is_auth_exempt => Ok(Identity { customer: None, caller: Caller::Anonymous }),
        None => Err(UnknownKey),
    }
}

impl Gateway {
    /// Refuses a request without a known key. A box whose configuration is known to be outdated
    /// does not report the key as unknown.
    pub(super) fn refuse_unknown_key(&mut self, key: RequestKey, request: &Request) {
        if self.is_behind() {
            return self.refuse_on_arrival(
                key,
                request,
                NotRunReason::StaleConfiguration,
                STALE_RETRY_DELAY,
            );
        }
        self.log_refusal(request, "unknown key", None);
        self.effects.push(Effect::Refuse(key, Refusal::UnknownKey));
    }

    /// Charges a request to its customer's limit and returns the units charged. If the limit does
    /// not allow it, refuses the request and returns `None`.
    pub(super) fn charge_units(
        &mut self,
        key: RequestKey,
        request: &Request,
        customer: Option<&Arc<Customer>>,
    ) -> Option<u64> {
        let Some(customer) = customer else { return Some(0) };
        let units = customer.unit.of(request);
        self.update_sharing();
        match self.quota.take(self.now, customer.key, units) {
            Ok(()) => Some(units),
            Err(wait) => {
                self.refuse_over_limit(key, request, customer, wait);
                None
            }
        }
    }

    /// Refuses a request whose customer is over its limit.
    fn refuse_over_limit(
        &mut self,
        key: RequestKey,
        request: &Request,
        customer: &Arc<Customer>,
        wait: Duration,
    ) {
        let Some(proof) = Trace::clean().not_run() else { return };
        let spread = (self.draw() % 1000) as f64 / 1000.0;
        let (min, max) = RETRY_DELAY_BOUNDS;
        let wait =
            if self.members.greets_seeds_often(self.now) { STARTUP_RETRY_DELAY } else { wait };
        let wait = wait.mul_f64(1.0 + RETRY_SPREAD * spread).clamp(min, max);
        self.log_refusal(request, "over limit", Some(customer));
        self.effects.push(Effect::Refuse(key, Refusal::OverLimit(proof, wait)));
    }

    /// Refunds the units charged for a request that has not run.
    pub(super) fn refund_units(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        let units = std::mem::take(&mut in_flight.units);
        if let Some(customer) = &in_flight.customer
            && units > 0
        {
            self.quota.give_back(customer.key, units);
        }
    }

    /// Applies the limits of a new configuration, and refuses waiting requests whose key is no
    /// longer known.
    pub(super) fn apply_customers(&mut self) {
        let customers = self.configuration.as_ref().and_then(|it| it.customers.as_ref());
        let limits = customers.map(|it| it.limits()).unwrap_or_default();
        self.quota.set_limits(self.now, limits);
        for key in self.waiting.clone() {
            self.recheck_key(key);
        }
    }

    /// Checks a request's key again if the configuration has changed since the last check. Refuses
    /// the request and returns `false` if the key is no longer known.
    pub(super) fn recheck_key(&mut self, key: RequestKey) -> bool {
        let Some(configuration) = &self.configuration else { return true };
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return true };
        if in_flight.checked_version == configuration.version
            || is_allowed(configuration, in_flight)
        {
            in_flight.checked_version = configuration.version;
            return true;
        }
        if in_flight.trace.is_sent() {
            self.give_up(key, NotRunReason::Rejected);
            return false;
        }
        if self.return_to_kept(key) {
            return false;
        }
        self.refund_units(key);
        self.effects.push(Effect::Refuse(key, Refusal::UnknownKey));
        self.end(key, "unknown key");
        false
    }

    /// Updates the set of boxes that share customers' limits, at intervals.
    fn update_sharing(&mut self) {
        if self.now < self.box_count_due {
            return;
        }
        self.box_count_due = self.now + SHARING_UPDATE_INTERVAL;
        let boxes = self.sharing_boxes();
        let visibility = match self.settings.sharing {
            Sharing::Parts => Visibility::isolated(boxes),
            Sharing::Totals => Visibility::connected(boxes, self.members.on_time_count(self.now)),
        };
        self.quota.set_visibility(self.now, visibility);
    }

    /// Returns how many boxes share a common bound: the configured number or that of live boxes if
    /// greater, or without a configured number the maximum known.
    pub(super) fn sharing_boxes(&self) -> usize {
        match self.settings.boxes {
            Some(boxes) => boxes.max(self.members.count(self.now)),
            None => self.known_boxes().unwrap_or(MAX_BOXES),
        }
    }

    /// Handles the usage that another box reports. A box that has just started records it before it
    /// knows any limit.
    pub(super) fn receive_usage(&mut self, message: &Message) {
        let may_count = self.configuration.is_none() || self.quota.has_limits();
        if self.settings.sharing == Sharing::Totals && may_count {
            self.update_sharing();
            let usage = &message.usage;
            let (sender, incarnation) = (message.sender, message.incarnation);
            self.quota.apply_announcement(
                self.now,
                sender,
                incarnation,
                &usage.accounts,
                usage.is_complete,
            );
        }
    }

    /// Returns the usage that this box's heartbeat reports.
    pub(super) fn heartbeat_usage(&mut self) -> Usage {
        if self.heartbeats.is_multiple_of(COMPLETE_USAGE_PERIOD) {
            self.quota.take_unannounced(self.now);
            return self.complete_usage();
        }
        self.changed_usage()
    }

    /// Returns the usage that has not been reported to the other boxes.
    pub(super) fn changed_usage(&mut self) -> Usage {
        let accounts = match self.settings.sharing {
            Sharing::Parts => Vec::new(),
            Sharing::Totals => self.quota.take_unannounced(self.now),
        };
        Usage { accounts, ..self.usage_without_accounts() }
    }

    /// Returns the complete usage at this box.
    pub(super) fn complete_usage(&self) -> Usage {
        match self.settings.sharing {
            Sharing::Parts => self.usage_without_accounts(),
            Sharing::Totals => Usage {
                accounts: self.quota.accounts(self.now),
                is_complete: true,
                ..self.usage_without_accounts()
            },
        }
    }

    /// Returns a usage report without accounts: only how many boxes share limits.
    fn usage_without_accounts(&self) -> Usage {
        let boxes = self.known_boxes().unwrap_or(0);
        Usage { peak_boxes: u32::try_from(boxes).unwrap_or(u32::MAX), ..Usage::default() }
    }
}

/// Returns whether a request's route accepts its key under a configuration. If the route is gone,
/// the one that the request was accepted under counts.
fn is_allowed(configuration: &Configuration, in_flight: &InFlight) -> bool {
    let request = &in_flight.request;
    let route = configuration.route(&request.host, &request.path).unwrap_or(&in_flight.route);
    identify(configuration, route, request).is_ok()
}
