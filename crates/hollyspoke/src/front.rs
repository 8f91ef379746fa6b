//! The front: accepts callers' requests, tracks them, and delivers each answer once.

mod arrival;
mod claim;
mod end;
mod limit;

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use crate::claim::Claims;
use crate::context::Context;
use crate::event::{CallId, Reply, Work};
use crate::home::Home;
use crate::key::Ticket;
use crate::layout::ShardId;
use crate::message::End;
use crate::outcome::Refusal;
use crate::plain::Plain;
use crate::quota::{Quota, Tolerance};
use crate::request::{Id, Phase, Request};
use crate::retry::Budget;
use crate::site::TenantId;
use crate::time::Time;

/// The retry delay given to a caller by a box that lacks descriptors, ports or memory.
const EXHAUSTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The state of the front.
#[derive(Debug, Clone)]
pub struct Front {
    /// The keys of which this box is the home.
    pub home: Home,
    /// The requests in progress.
    pub(crate) requests: SlotMap<Id, Request>,
    /// The request of each current attempt.
    pub(crate) tickets: BTreeMap<Ticket, Id>,
    /// The request of each caller's connection.
    calls: BTreeMap<CallId, Id>,
    /// The number of the last attempt.
    pub(crate) last_ticket: u64,
    /// The claims that are being bound in the store.
    claims: Claims,
    /// The rate limits of the tenants.
    quota: Quota<TenantId>,
    /// The retry budget.
    pub(crate) budget: Budget,
    /// The number of replacements of silent attempts that are asked for, as of the last tick.
    pub(crate) sought: usize,
    /// The plain upstreams.
    pub(crate) plain: Plain,
    /// The owner to which each shard's last renewal was sent, and when.
    pub(crate) renewals: BTreeMap<ShardId, (crate::key::Incarnation, Time)>,
}

impl Front {
    /// Creates a front without requests.
    pub fn new(home: Home) -> Front {
        Front {
            home,
            requests: SlotMap::with_key(),
            tickets: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_ticket: 0,
            claims: Claims::default(),
            quota: Quota::new(Tolerance::NONE),
            budget: Budget::default(),
            sought: 0,
            plain: Plain::default(),
            renewals: BTreeMap::new(),
        }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Handles a reply of an engine or upstream; late replies to older attempts are dropped.
    pub fn handle_reply(&mut self, cx: &mut Context<'_>, ticket: Ticket, reply: Reply) {
        let Some(&id) = self.tickets.get(&ticket) else { return };
        if !self.select_attempt(cx, id, ticket, &reply) {
            return;
        }
        match reply {
            Reply::Prefilled => self.prefilled(cx, id),
            Reply::Imported => self.imported(cx, id),
            Reply::Token { seq, text } => self.token(cx, id, seq, text),
            Reply::Finished { reason } => self.finished(cx, id, reason),
            Reply::Full => self.retry_import(cx, id),
            Reply::Answered(answer) => self.answered(cx, id, answer),
            Reply::Failed { detail, trace } => self.failed(cx, id, &detail, trace),
            Reply::Exhausted { detail } => self.exhausted(cx, id, &detail),
        }
    }

    /// Handles a call that this box could not make for lack of its own resources. No engine and no
    /// upstream is blamed.
    fn exhausted(&mut self, cx: &mut Context<'_>, id: Id, detail: &str) {
        let Some(request) = self.requests.get(id) else { return };
        match request.phase {
            Phase::Claim | Phase::Ask { .. } => {}
            Phase::Call { .. } => {
                self.stop_attempt(cx, id, End::Cancelled);
                let after = Some(EXHAUSTED_RETRY_AFTER);
                self.give_up(cx, id, Refusal::Unavailable, detail, after);
            }
            Phase::Prefill(_) | Phase::Transfer { .. } | Phase::Decode { .. } => {
                self.fail_attempt(cx, id, End::Cancelled, None, detail);
            }
        }
    }

    /// Handles the store's answer to an operation for claims.
    pub fn handle_store_answer(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        answer: &crate::store::Answer,
    ) {
        let settled = self.claims.answer(cx, number, answer);
        self.settle_claims(cx, settled);
    }

    /// Runs the periodic work: epochs, claims, renewals and the requests' timeouts.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        self.home.tick(cx.now);
        let settled = self.claims.tick(cx);
        self.settle_claims(cx, settled);
        self.renew(cx);
        self.count_sought();
        let ids: Vec<Id> = self.requests.keys().collect();
        for id in ids {
            self.check_due(cx, id);
        }
    }

    /// Extends the timeouts of engines, upstreams and claims by a time in which this box itself was
    /// paused. Callers' deadlines stay as they are.
    pub(crate) fn extend_timeouts(&mut self, pause: Duration) {
        self.claims.extend_timeouts(pause);
        for request in self.requests.values_mut() {
            request.extend_timeouts(pause);
        }
    }

    /// Assigns a new ticket to an attempt.
    pub(crate) fn new_ticket(&mut self, cx: &Context<'_>, id: Id) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket { front: cx.me, number: self.last_ticket };
        if let Some(request) = self.requests.get_mut(id) {
            request.ticket = Some(ticket);
            request.is_grant_doubtful = false;
            request.attempts += 1;
        }
        self.tickets.insert(ticket, id);
        ticket
    }

    /// Begins the first attempt.
    fn begin(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get(id) else { return };
        match request.arrival.work {
            Work::Generate(_) => self.ask(cx, id),
            Work::Call(_) => self.call(cx, id),
        }
    }
}
