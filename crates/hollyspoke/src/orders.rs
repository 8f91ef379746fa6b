//! Orders to engines to load models and adapters and to take roles, sent by one box of each data
//! centre.
//!
//! The box that holds its data centre's lease compares the reports of engines with the site file
//! and orders the difference. Every order carries the lease's fencing token. An engine that checks
//! tokens refuses an older one. For an engine that does not, a new holder first waits until every
//! order of the old holder must have ended, and no order is sent that could outlast the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::context::Context;
use crate::effect::{Effect, Order};
use crate::event::Report;
use crate::key::Incarnation;
use crate::lease::{Lease, Terms};
use crate::site::{DataCentreId, Engine, Kind, Site, UpstreamId};
use crate::store::Answer;
use crate::time::Time;

/// The maximum time that an order may take, transit and execution together.
pub const MAX_ORDER_TIME: Duration = Duration::from_secs(3);

/// How often the holder polls the engines of its data centre.
pub const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// How many orders may be in progress at once, since the bandwidth for loading weights is limited.
pub const MAX_CONCURRENT_ORDERS: usize = 2;

/// The state of one box's orders.
#[derive(Debug, Clone)]
pub struct Orders {
    /// The data centre's lease.
    lease: Lease,
    /// When engines were last polled.
    last_poll: Option<Time>,
    /// When each order in progress was sent.
    sent: BTreeMap<UpstreamId, Time>,
}

impl Orders {
    /// Creates the state of a box in a data centre, without a lease.
    pub fn new(now: Time, data_centre: DataCentreId, me: Incarnation) -> Orders {
        let name = format!("orders-{:016x}", data_centre.0);
        let lease = Lease::new(now, name, me.to_string(), Terms::default());
        Orders { lease, last_poll: None, sent: BTreeMap::new() }
    }

    /// Runs the periodic work: the lease, and polls of the engines. `first` is whether this box is
    /// the one of its data centre that should hold the lease.
    pub fn tick(&mut self, cx: &mut Context<'_>, first: bool) {
        let now = cx.now;
        let local = cx.members.my_data_centre();
        let here = |it: &&Engine| DataCentreId::of(&it.data_centre) == local;
        let engines: Vec<&Engine> = cx.site.engines.iter().filter(here).collect();
        let wanted = first && !engines.is_empty();
        self.lease.tick(now, wanted, |it| cx.store(it));
        self.sent.retain(|_, at| now.since(*at) < MAX_ORDER_TIME);
        let due = self.last_poll.is_none_or(|at| now.since(at) >= POLL_INTERVAL);
        if !due || self.lease.held(now).is_none() {
            return;
        }
        self.last_poll = Some(now);
        for engine in engines {
            cx.effect(Effect::Poll { engine: engine.id(), address: engine.address.clone() });
        }
    }

    /// Handles an answer of the store.
    pub fn answer(&mut self, cx: &mut Context<'_>, number: u64, answer: &Answer) {
        self.lease.answer(cx.now, number, answer, |it| cx.store(it));
    }

    /// Handles an engine's report and orders what differs from the site file.
    pub fn report(&mut self, cx: &mut Context<'_>, id: UpstreamId, report: &Report) {
        let now = cx.now;
        let Some(held) = self.lease.held(now) else { return };
        let Some(engine) = cx.site.engine(id) else { return };
        let local = cx.members.my_data_centre();
        if DataCentreId::of(&engine.data_centre) != local || engine.leaving {
            return;
        }
        let Some(order) = difference(cx.site, engine, report) else { return };
        let under_way = self.sent.contains_key(&id) || self.sent.len() >= MAX_CONCURRENT_ORDERS;
        // The order must end while the lease is still held, whether or not the engine checks
        // tokens.
        let too_late = now + MAX_ORDER_TIME > held.until;
        let is_fresh = |it: Time| now.since(it) < MAX_ORDER_TIME;
        let must_wait = !engine.checks_orders && held.taken_over.is_some_and(is_fresh);
        if under_way || too_late || must_wait {
            return;
        }
        self.sent.insert(id, now);
        cx.note(format!("engine {} is ordered, token {}: {order:?}", engine.name, held.token));
        let address = engine.address.clone();
        cx.effect(Effect::Order { address, token: held.token, order });
    }
}

/// Returns the order that brings an engine to the state in the site file, or `None` if it is there.
fn difference(site: &Site, engine: &Engine, report: &Report) -> Option<Order> {
    let state = report.state.as_ref()?;
    let service = site.services.iter().find(|it| it.name == engine.service)?;
    let Kind::Engines { model, adapters, .. } = &service.kind else { return None };
    let wanted: Vec<String> = std::iter::once(model).chain(adapters).cloned().collect();
    let missing = wanted.iter().any(|it| !state.loaded.contains(it));
    if state.role == engine.role && !missing {
        return None;
    }
    Some(Order { role: engine.role, load: wanted })
}
