//! Whether a request's customer may send it: its key, and its limit over all boxes.

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

/// When a client may come back whose key may be in a configuration that is being read. Boxes have
/// a version within some tens of milliseconds of each other.
const STALE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// When a client may come back whose customer's limit is all but used up for a box that has just
/// started and heard nobody yet. Boxes that start at once hear the first after 0.1 to 0.4 s.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How often a box looks which others it hears, before it goes by a customer's limit: a small part
/// of the silence after which a heartbeat is overdue.
const SHARING_UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Of how many heartbeats one tells all accounts, so that a box that missed some is set right.
const COMPLETE_USAGE_PERIOD: u32 = 16;

/// The share by which times to come back after a customer's limit are spread.
const RETRY_SPREAD: f64 = 0.5;

/// The bounds of the time after which a client may come back whose customer is over its limit.
const RETRY_DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// Who sent a request.
pub(super) struct Identity {
    /// The customer, if it is known.
    pub(super) customer: Option<Arc<Customer>>,
    /// On whose behalf the request is sent to engines.
    pub(super) caller: Caller,
}

/// The request has no key that is known on a route that needs one.
pub(super) struct UnknownKey;

/// Looks up who sent a request.
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
    /// Refuses a request without a known key. A box that knows that its configuration is behind
    /// does not say that the key is unknown.
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

    /// Takes a request from its customer's limit and gives the units taken; none if the limit
    /// forbids it, which is then refused.
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

    /// Gives back what was taken for a request that has not run.
    pub(super) fn refund_units(&mut self, key: RequestKey) {
        let Some(flight) = self.in_flight.get_mut(&key) else { return };
        let units = std::mem::take(&mut flight.units);
        if let Some(customer) = &flight.customer
            && units > 0
        {
            self.quota.give_back(customer.key, units);
        }
    }

    /// Takes the limits of a new configuration, and refuses the requests that wait with a key that
    /// is not known any more.
    pub(super) fn apply_customers(&mut self) {
        let customers = self.configuration.as_ref().and_then(|it| it.customers.as_ref());
        let limits = customers.map(|it| it.limits()).unwrap_or_default();
        self.quota.set_limits(self.now, limits);
        for key in self.waiting.clone() {
            self.recheck_key(key);
        }
    }

    /// Looks a request's key up again if the configuration has changed since; refuses the request
    /// and tells so if the key is not known any more.
    pub(super) fn recheck_key(&mut self, key: RequestKey) -> bool {
        let Some(configuration) = &self.configuration else { return true };
        let Some(flight) = self.in_flight.get_mut(&key) else { return true };
        if flight.checked_version == configuration.version || is_allowed(configuration, flight) {
            flight.checked_version = configuration.version;
            return true;
        }
        if flight.trace.is_sent() {
            self.give_up(key, NotRunReason::Rejected);
            return false;
        }
        self.refund_units(key);
        self.effects.push(Effect::Refuse(key, Refusal::UnknownKey));
        self.end(key, "unknown key");
        false
    }

    /// Brings the picture of the boxes that share customers' limits up to date.
    fn update_sharing(&mut self) {
        if self.now < self.box_count_due {
            return;
        }
        self.box_count_due = self.now + SHARING_UPDATE_INTERVAL;
        let boxes = self.sharing_boxes();
        let picture = match self.settings.sharing {
            Sharing::Parts => Visibility::isolated(boxes),
            Sharing::Totals => Visibility::connected(boxes, self.members.on_time_count(self.now)),
        };
        self.quota.set_visibility(self.now, picture);
    }

    /// Gives how many boxes share what is bounded for all together: as many as the operator says or more that live,
    /// or else the most that were heard of.
    pub(super) fn sharing_boxes(&self) -> usize {
        match self.settings.boxes {
            Some(boxes) => boxes.max(self.members.count(self.now)),
            None => self.known_boxes().unwrap_or(MAX_BOXES),
        }
    }

    /// Takes in what another box has let through. A box that has just started hears it before it
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

    /// Gives what this box is to tell of customers with a heartbeat.
    pub(super) fn heartbeat_usage(&mut self) -> Usage {
        if self.heartbeats.is_multiple_of(COMPLETE_USAGE_PERIOD) {
            self.quota.take_unannounced(self.now);
            return self.complete_usage();
        }
        self.changed_usage()
    }

    /// Gives what others have yet to hear of customers.
    pub(super) fn changed_usage(&mut self) -> Usage {
        let accounts = match self.settings.sharing {
            Sharing::Parts => Vec::new(),
            Sharing::Totals => self.quota.take_unannounced(self.now),
        };
        Usage { accounts, ..self.usage_without_accounts() }
    }

    /// Gives all that this box has let through for customers.
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

    /// Gives what is told of limits without any account: how many boxes share them.
    fn usage_without_accounts(&self) -> Usage {
        let boxes = self.known_boxes().unwrap_or(0);
        Usage { peak_boxes: u32::try_from(boxes).unwrap_or(u32::MAX), ..Usage::default() }
    }
}

/// Tells whether a request's route lets it through with its key under a configuration. One whose
/// route is gone was taken up while it was there.
fn is_allowed(configuration: &Configuration, flight: &InFlight) -> bool {
    let request = &flight.request;
    let route = configuration.route(&request.host, &request.path).unwrap_or(&flight.route);
    identify(configuration, route, request).is_ok()
}
