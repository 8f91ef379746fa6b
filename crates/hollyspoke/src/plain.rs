//! Plain services: which upstream takes a call, and how many calls it is given at once.
//!
//! Each box chooses by itself, the upstream with the fewest of its own calls outstanding for the
//! limit it has there. The limit grows while answers are as quick as the quickest seen lately and
//! shrinks when they take longer or fail.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::health::{self, Health};
use crate::key::Ticket;
use crate::site::{DataCentreId, ServiceId, Site, UpstreamId};
use crate::time::Time;

/// The limit of calls at once with which an upstream starts.
const INITIAL_LIMIT: f64 = 32.0;

/// The lowest limit.
const MIN_LIMIT: f64 = 2.0;

/// The highest limit.
const MAX_LIMIT: f64 = 512.0;

/// How much slower than the quickest an answer may be before the limit shrinks.
const SLOW_FACTOR: f64 = 4.0;

/// The least time taken for the quickest, so that noise at very short times doesn't count.
const MIN_FASTEST: Duration = Duration::from_millis(5);

/// What this box knows of one upstream.
#[derive(Debug, Clone)]
struct Upstream {
    /// This box's calls outstanding, with their starts.
    calls: BTreeMap<Ticket, Time>,
    /// How many calls this box may have outstanding.
    limit: f64,
    /// The quickest answer seen lately.
    fastest: Duration,
    /// Its health.
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

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream answered, with whatever status.
    Answered,
    /// It failed or took too long.
    Failed,
    /// This box dropped it.
    Dropped,
}

/// What this box knows of all plain upstreams.
#[derive(Debug, Clone, Default)]
pub struct Plain {
    /// The upstreams that were ever used.
    upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl Plain {
    /// Chooses an upstream for a call and notes the call, if one has room.
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
            // A near upstream is taken unless it is over half full.
            let rank = (is_remote || load >= 500, load, crate::rank::weight(ticket.number, id.0));
            if best.is_none_or(|(other, _)| rank < other) {
                best = Some((rank, id));
            }
        }
        let (_, id) = best?;
        self.upstreams.entry(id).or_default().calls.insert(ticket, now);
        Some(id)
    }

    /// Notes how a call ended.
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
                // The quickest drifts upwards, so that a service which has become slower for good
                // is not throttled for ever.
                state.fastest = state.fastest.mul_f64(1.0 + 1.0 / 256.0).min(took);
                if took.as_secs_f64() > state.fastest.as_secs_f64() * SLOW_FACTOR {
                    state.limit = (state.limit * 0.95).max(MIN_LIMIT);
                } else {
                    state.limit = (state.limit + 1.0 / state.limit).min(MAX_LIMIT);
                }
            }
        }
    }

    /// Gives this box's calls outstanding at an upstream.
    pub fn outstanding(&self, id: UpstreamId) -> usize {
        self.upstreams.get(&id).map_or(0, |it| it.calls.len())
    }

    /// Tells whether an upstream is out of service.
    pub fn is_out(&self, now: Time, id: UpstreamId) -> bool {
        self.upstreams.get(&id).is_some_and(|it| it.health.is_out(now))
    }

    /// Counts the upstreams of the same service that are out, and all of them.
    fn ejected(&self, now: Time, site: &Site, id: UpstreamId) -> (usize, usize) {
        let Some(service) = site.upstream(id).map(|it| &it.service) else { return (0, 1) };
        let group = site.upstreams.iter().filter(|it| it.service == *service);
        group.fold((0, 0), |(out, all), it| (out + usize::from(self.is_out(now, it.id())), all + 1))
    }
}
