//! Charges requests to the limits of their tenants.

use std::time::Duration;

use super::Front;
use crate::context::Context;
use crate::quota::{Limit, Visibility};
use crate::site::{Site, TenantId};
use crate::time::Time;

/// The interval whose worth of requests a tenant may send at once.
const BURST_INTERVAL: Duration = Duration::from_secs(1);

/// The problem detail for a tenant that is over its limit.
pub(super) const OVER_LIMIT_DETAIL: &str = "the tenant is over its limit of requests a second";

impl Front {
    /// Applies the tenants' limits of a new site.
    pub fn set_limits(&mut self, now: Time, site: &Site) {
        let limited = site.tenants.iter().filter_map(|it| {
            let rate = it.requests_per_second?;
            let limit = Limit { rate, burst: rate * BURST_INTERVAL.as_secs_f64() };
            Some((TenantId::of(&it.name), limit))
        });
        self.quota.set_limits(now, limited.collect());
    }

    /// Charges one request to this box's part of a tenant's limit, or returns the retry delay.
    ///
    /// Each box has an equal part of the limit. Callers are spread over the boxes by hash, so the
    /// parts together come close to the full limit.
    pub(super) fn take_quota(&mut self, cx: &Context<'_>, tenant: &str) -> Result<(), Duration> {
        let boxes = cx.members.live().count();
        self.quota.set_visibility(cx.now, Visibility::isolated(boxes));
        self.quota.take(cx.now, TenantId::of(tenant), 1)
    }
}
