//! Tenants' limits over several boxes, without a shared counter.
//!
//! Each box holds the tenant to its limit divided by the number of boxes alive. Callers spread
//! over the boxes by hash, so the parts come near to the whole; what one box leaves unused is not
//! lent to another.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::site::{Site, TenantId};
use crate::time::{Time, seconds};

/// The span of its rate that a tenant may use at once.
pub const BURST: Duration = Duration::from_secs(1);

/// One tenant's bucket at this box.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Requests that may come now.
    tokens: f64,
    /// When the bucket was last filled.
    filled: Time,
}

/// The buckets of all limited tenants.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    /// The buckets.
    buckets: BTreeMap<TenantId, Bucket>,
}

impl Limits {
    /// Takes one request of a tenant, or gives the time after which one will pass.
    ///
    /// # Errors
    ///
    /// The time to come back, when the tenant is over its part of the limit.
    pub fn take(
        &mut self,
        now: Time,
        site: &Site,
        tenant: &str,
        boxes: usize,
    ) -> Result<(), Duration> {
        let named = site.tenants.iter().find(|it| it.name == tenant);
        let Some(limit) = named.and_then(|it| it.requests_per_second) else { return Ok(()) };
        let rate = limit / boxes.max(1) as f64;
        let most = (rate * BURST.as_secs_f64()).max(1.0);
        let bucket = self
            .buckets
            .entry(TenantId::of(tenant))
            .or_insert(Bucket { tokens: most, filled: now });
        let earned = now.since(bucket.filled).as_secs_f64() * rate;
        bucket.tokens = (bucket.tokens + earned).min(most);
        bucket.filled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        Err(seconds((1.0 - bucket.tokens) / rate))
    }
}
