//! Plain services: load balancing and adaptive concurrency limits for their upstreams.
//!
//! Each box chooses on its own the upstream with the lowest ratio of its outstanding calls to its
//! limit there. The limit grows while answers are about as fast as the fastest recent one, and
//! shrinks when they are slower or fail.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::health::{self, Health};
use crate::key::Ticket;
use crate::site::{DataCentreId, ServiceId, Site, UpstreamId};
use crate::time::Time;

/// The initial limit of concurrent calls of an upstream.
const INITIAL_LIMIT: f64 = 32.0;

/// The minimum limit of concurrent calls.
const MIN_LIMIT: f64 = 2.0;

/// The maximum limit of concurrent calls.
const MAX_LIMIT: f64 = 512.0;

/// The ratio to the fastest answer time above which the limit shrinks.
const SLOW_FACTOR: f64 = 4.0;

/// The minimum for the fastest answer time, so that noise in very short times has no effect.
const MIN_FASTEST: Duration = Duration::from_millis(5);

/// This box's state of one upstream.
#[derive(Debug, Clone)]
struct Upstream {
    /// This box's outstanding calls, with their start times.
    calls: BTreeMap<Ticket, Time>,
    /// How many calls this box may have outstanding at once.
    limit: f64,
    /// The duration of the fastest recent answer.
    fastest: Duration,
    /// Failures and ejections.
    health: Health,
}

impl Default for Upstream {
    fn default() -> Upstream {
        Upstream {
            calls: BTreeMap::new(),
            limit: INITIAL_LIMIT,
            fastest: Duration::from_secs(3600),
            health: Health::default(),
        }
    }
}

/// The outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream answered, with any status.
    Answered,
    /// The call failed or timed out.
    Failed,
    /// This box dropped the call.
    Dropped,
}

/// This box's state of all plain upstreams.
#[derive(Debug, Clone, Default)]
pub struct Plain {
    /// The upstreams that were considered for a call so far.
    upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl Plain {
    /// Chooses an upstream with free capacity for a call and records the call there.
    pub fn begin(
        &mut self,
        now: Time,
        site: &Site,
        service: ServiceId,
        local: DataCentreId,
        ticket: Ticket,
        avoid: Option<UpstreamId>,
    ) -> Option<UpstreamId> {
        let candidates = site
            .upstreams
            .iter()
            .filter(|it| ServiceId::of(&it.service) == service && !it.leaving)
            .filter(|it| avoid != Some(it.id()));
        let mut best: Option<((bool, u64, u64), UpstreamId)> = None;
        for candidate in candidates {
            let id = candidate.id();
            let state = self.upstreams.entry(id).or_default();
            let capacity = state.limit * state.health.weight(now);
            let outstanding = state.calls.len() as f64;
            if outstanding >= capacity {
                continue;
            }
            let load = (outstanding / capacity * 1000.0) as u64;
            let is_remote = DataCentreId::of(&candidate.data_centre) != local;
            // A local upstream is preferred unless it is at half its limit or above.
            let rank = (is_remote || load >= 500, load, crate::rank::weight(ticket.number, id.0));
            if best.is_none_or(|(other, _)| rank < other) {
                best = Some((rank, id));
            }
        }
        let (_, id) = best?;
        self.upstreams.entry(id).or_default().calls.insert(ticket, now);
        Some(id)
    }

    /// Records the outcome of a call and adapts the upstream's limit.
    pub fn end(&mut self, now: Time, site: &Site, id: UpstreamId, ticket: Ticket, end: CallEnd) {
        let (out, all) = self.ejected(now, site, id);
        let Some(state) = self.upstreams.get_mut(&id) else { return };
        let Some(began) = state.calls.remove(&ticket) else { return };
        match end {
            CallEnd::Dropped => {}
            CallEnd::Failed => {
                state.limit = (state.limit * 0.7).max(MIN_LIMIT);
                state.health.fail(now, health::may_eject(out, all));
            }
            CallEnd::Answered => {
                state.health.succeed(now);
                let took = now.since(began).max(MIN_FASTEST);
                // The fastest time drifts upwards, so that a service that has become permanently
                // slower is not throttled forever.
                state.fastest = state.fastest.mul_f64(1.0 + 1.0 / 256.0).min(took);
                if took.as_secs_f64() > state.fastest.as_secs_f64() * SLOW_FACTOR {
                    state.limit = (state.limit * 0.95).max(MIN_LIMIT);
                } else {
                    state.limit = (state.limit + 1.0 / state.limit).min(MAX_LIMIT);
                }
            }
        }
    }

    /// Returns the number of this box's outstanding calls at an upstream.
    pub fn outstanding(&self, id: UpstreamId) -> usize {
        self.upstreams.get(&id).map_or(0, |it| it.calls.len())
    }

    /// Returns whether an upstream is ejected.
    pub fn is_out(&self, now: Time, id: UpstreamId) -> bool {
        self.upstreams.get(&id).is_some_and(|it| it.health.is_out(now))
    }

    /// Returns how many upstreams of the same service are ejected, and how many there are.
    fn ejected(&self, now: Time, site: &Site, id: UpstreamId) -> (usize, usize) {
        let Some(service) = site.upstream(id).map(|it| &it.service) else { return (0, 1) };
        let group = site.upstreams.iter().filter(|it| it.service == *service);
        group.fold((0, 0), |(out, all), it| (out + usize::from(self.is_out(now, it.id())), all + 1))
    }
}
