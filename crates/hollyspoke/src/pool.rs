//! The owner's ledger of one shard: the only place that grants the memory of its engines.
//!
//! The ledger is soft state. A new owner rebuilds it from the grants that fronts declare and from
//! the reports of the engines, and issues no new grants until every live front has contacted it or
//! [`SETTLE_TIMEOUT`] has passed. If two boxes own a shard for a short time they may grant too much
//! memory; the engine then refuses, and the owner corrects its ledger.

pub mod admission;
mod engine;
mod feedback;
mod link;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use engine::Engine;
pub use link::Link;

use admission::{Decision, Queue, Waiting};

use crate::context::Context;
use crate::effect::Effect;
use crate::key::{Incarnation, Ticket};
use crate::layout::{Layout, ShardId};
use crate::message::{Ask, End, Grant, Message, Stage};
use crate::outcome::Refusal;
use crate::site::{DataCentreId, Kind, Site, TenantId, UpstreamId};
use crate::time::Time;

/// How long a new owner waits for the fronts before it issues grants.
pub const SETTLE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long the grants of a front are kept after its last message.
pub const GRANT_TTL: Duration = Duration::from_secs(4);

/// How often each engine is polled for its report.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a stream that is not in the ledger may stay on an engine before it is cancelled, if its
/// front has declared that it does not hold it. A front that has not declared its grants is asked
/// to, and has [`GRANT_TTL`].
pub const STRAY_GRACE: Duration = Duration::from_secs(2);

/// How long a fenced attempt is remembered, so that late messages can't revive it.
pub const FENCED_TTL: Duration = Duration::from_secs(60);

/// How long a decode engine receives no new grants after it refused one for lack of memory.
pub const FULL_BACKOFF: Duration = Duration::from_millis(200);

/// The assumed ratio of generated to requested tokens before any answer has completed.
const INITIAL_ANSWER_SHARE: f64 = 0.5;

/// The weight of a new answer in the moving average of that ratio.
const LENGTH_WEIGHT: f64 = 0.02;

/// A grant in the ledger.
#[derive(Debug, Clone)]
struct HeldGrant {
    /// The grant.
    grant: Grant,
    /// When the attempt entered its stage.
    since: Time,
    /// The expected duration of the prefill, the engine's slowness included.
    prefill_expected: Duration,
    /// The link, and the duration of the transfer at its configured rate.
    transfer: Option<(LinkId, Duration)>,
}

/// A link identified by its two ends, the smaller first.
pub type LinkId = (DataCentreId, DataCentreId);

/// The owner's record of a front.
#[derive(Debug, Clone, Copy)]
struct Front {
    /// When its last message was received.
    last_contact: Time,
    /// Consecutive renewals whose number of grants differed from the ledger's.
    mismatches: u8,
    /// When it last declared its grants to this ledger.
    declared_at: Option<Time>,
}

/// The ledger of one shard.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The shard of the ledger.
    shard: ShardId,
    /// When this box became its owner.
    since: Time,
    /// Whether the wait for the fronts has ended.
    settled: bool,
    /// The engines of the shard.
    engines: BTreeMap<UpstreamId, Engine>,
    /// The links between the data centres of the engines.
    links: BTreeMap<LinkId, Link>,
    /// The grants by attempt.
    grants: BTreeMap<Ticket, HeldGrant>,
    /// The queued requests.
    queue: Queue,
    /// The fronts that have sent messages.
    fronts: BTreeMap<Incarnation, Front>,
    /// Attempts that were released or revoked, and when.
    fenced: BTreeMap<Ticket, Time>,
    /// Streams on engines that are not in the ledger, and when they were first reported.
    strays: BTreeMap<(UpstreamId, Ticket), Time>,
    /// When the engines were last polled.
    polled: Option<Time>,
    /// The moving average of the ratio of generated to requested tokens.
    answer_share: f64,
}

impl Pool {
    /// Creates the ledger of a shard that this box has become the owner of.
    pub fn new(now: Time, shard: ShardId, site: &Site, layout: &Layout) -> Pool {
        let mut pool = Pool {
            shard,
            since: now,
            settled: false,
            engines: BTreeMap::new(),
            links: BTreeMap::new(),
            grants: BTreeMap::new(),
            queue: Queue::default(),
            fronts: BTreeMap::new(),
            fenced: BTreeMap::new(),
            strays: BTreeMap::new(),
            polled: None,
            answer_share: INITIAL_ANSWER_SHARE,
        };
        pool.configure(site, layout);
        pool
    }

    /// Applies a new version of the site and keeps the state of engines that remain.
    pub fn configure(&mut self, site: &Site, layout: &Layout) {
        let mut engines = BTreeMap::new();
        for engine in layout.engines_of(site, self.shard) {
            let mut fresh = Engine::new(engine);
            if let Some(known) = self.engines.remove(&engine.id()) {
                fresh = Engine {
                    reserved: known.reserved,
                    prefill_free_at: known.prefill_free_at,
                    slowness: known.slowness,
                    reported: known.reported,
                    health: known.health,
                    is_out_for_silence: known.is_out_for_silence,
                    prefixes: known.prefixes,
                    failed_polls: known.failed_polls,
                    is_unresponsive: known.is_unresponsive,
                    ..fresh
                };
            }
            engines.insert(engine.id(), fresh);
        }
        self.engines = engines;
    }

    /// Returns the engines of the shard.
    pub fn engines(&self) -> &BTreeMap<UpstreamId, Engine> {
        &self.engines
    }

    /// Returns the number of grants held.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Handles a front's request for engines; a repeated one receives the same grant.
    pub fn handle_ask(&mut self, cx: &mut Context<'_>, ask: Ask) {
        self.record_contact(cx.now, ask.ticket.front);
        if let Some(held) = self.grants.get(&ask.ticket) {
            cx.send(ask.ticket.front, Message::Granted(held.grant.clone()));
            return;
        }
        if self.fenced.contains_key(&ask.ticket) || self.queue.contains(ask.ticket) {
            return;
        }
        let waiting = Waiting::new(cx.now, ask);
        if let Some(refusal) = admission::refuse_on_arrival(cx.now, self, &waiting) {
            let ticket = waiting.ask.ticket;
            cx.send(ticket.front, refusal.message(ticket));
            return;
        }
        self.queue.push(waiting);
        self.process_queue(cx);
    }

    /// Handles a front's renewal and compares its number of grants with the ledger's.
    pub fn renew(&mut self, cx: &mut Context<'_>, from: Incarnation, held: u32) {
        let known = self.grants.keys().filter(|it| it.front == from).count();
        let settled = self.settled;
        let front = self.record_contact(cx.now, from);
        if known == held as usize {
            front.mismatches = 0;
            self.process_queue(cx);
            return;
        }
        // One mismatch may be caused by a message in transit; a second one in a row is not. A new
        // owner asks for the full list at once, since it has yet to rebuild its ledger.
        front.mismatches += 1;
        let must_ask = front.mismatches > 1 || !settled || front.declared_at.is_none();
        if must_ask {
            front.mismatches = 0;
            cx.send(from, Message::DeclareWanted(self.shard));
        }
    }

    /// Reconciles the ledger with the full list of a front's grants.
    pub fn declare(&mut self, cx: &mut Context<'_>, from: Incarnation, held: Vec<Grant>) {
        self.record_contact(cx.now, from).declared_at = Some(cx.now);
        let named: BTreeSet<Ticket> = held.iter().map(|it| it.ticket).collect();
        let gone: Vec<Ticket> = self
            .grants
            .keys()
            .filter(|it| it.front == from && !named.contains(it))
            .copied()
            .collect();
        for ticket in gone {
            // A grant in transit to the front is not declared yet, so only older grants are
            // dropped.
            let age = cx.now.since(self.grants[&ticket].since);
            if age > STRAY_GRACE {
                self.drop_grant(cx, ticket);
            }
        }
        for grant in held {
            if self.fenced.contains_key(&grant.ticket) {
                cx.send(from, Message::Fenced(grant.ticket));
                continue;
            }
            self.adopt(cx.now, grant);
        }
        self.process_queue(cx);
    }

    /// Records the stage that an attempt has reached.
    pub fn progress(&mut self, cx: &mut Context<'_>, ticket: Ticket, stage: Stage) {
        self.record_contact(cx.now, ticket.front);
        let now = cx.now;
        let Some(held) = self.grants.get_mut(&ticket) else {
            if self.fenced.contains_key(&ticket) {
                cx.send(ticket.front, Message::Fenced(ticket));
            }
            return;
        };
        if stage <= held.grant.stage {
            return;
        }
        let was = held.grant.stage;
        let began = held.since;
        let took = now.since(began);
        held.grant.stage = stage;
        held.since = now;
        if was == Stage::Transfer
            && let Some((link, transfer_time)) = held.transfer.take()
        {
            let link = self.links.entry(link).or_default();
            link.unbook(transfer_time);
            link.record_transfer(now, began, transfer_time);
        }
        if was != Stage::Prefill {
            return;
        }
        let expected = held.prefill_expected;
        let prefill = held.grant.prefill;
        if let Some(engine) = self.engines.get_mut(&prefill) {
            engine.succeed(now);
            admission::update_slowness(engine, expected, took);
        }
        self.process_queue(cx);
    }

    /// Releases an attempt and records its outcome.
    pub fn release(&mut self, cx: &mut Context<'_>, ticket: Ticket, end: End) {
        self.record_contact(cx.now, ticket.front);
        self.queue.remove(ticket);
        let blames_link = self.record_stalled_transfer(cx.now, ticket, end);
        if !blames_link {
            self.record_outcome(cx, end);
        }
        if let Some(held) = self.grants.remove(&ticket) {
            self.update_answer_share(&held, end);
            if let (End::Done { .. }, Some(engine)) =
                (end, self.engines.get_mut(&held.grant.decode))
            {
                engine.succeed(cx.now);
            }
            self.release_resources(cx.now, &held);
        }
        // A late duplicate of the ask must not be granted.
        self.fenced.insert(ticket, cx.now);
        self.process_queue(cx);
    }

    /// Runs the periodic work: expires silent fronts, polls engines and processes the queue.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        self.expire_fronts(cx);
        self.fenced.retain(|_, since| now.since(*since) < FENCED_TTL);
        if self.polled.is_none_or(|at| now.since(at) >= POLL_INTERVAL) {
            self.polled = Some(now);
            for (&engine, row) in &self.engines {
                cx.effect(Effect::Poll { engine, address: row.address.clone() });
            }
        }
        self.process_queue(cx);
    }

    /// Refuses all queued requests, so that their fronts ask the shard's new owner.
    pub fn return_queue(&mut self, cx: &mut Context<'_>) {
        for waiting in self.queue.drain() {
            let ticket = waiting.ask.ticket;
            let message =
                Message::Refused { ticket, refusal: Refusal::Leaving, retry_after: Duration::ZERO };
            cx.send(ticket.front, message);
        }
    }

    /// Decides on queued requests in order, as far as engines are free.
    fn process_queue(&mut self, cx: &mut Context<'_>) {
        if !self.is_settled(cx) {
            return;
        }
        for (ticket, refusal) in admission::find_late(cx.now, self) {
            self.queue.remove(ticket);
            cx.send(ticket.front, refusal.message(ticket));
        }
        while let Some((ticket, decision)) = admission::next_decision(cx.now, cx.site, self) {
            let Some(waiting) = self.queue.remove(ticket) else { return };
            let placement = match decision {
                Decision::Grant(placement) => placement,
                Decision::Refuse(rejection) => {
                    cx.send(ticket.front, rejection.message(ticket));
                    continue;
                }
            };
            let share = share_of(cx.site, waiting.ask.tenant);
            self.queue.charge(waiting.ask.tenant, waiting.cost() / share);
            let grant = self.book(cx.now, &waiting, &placement);
            cx.send(ticket.front, Message::Granted(grant));
        }
    }

    /// Books the resources of a placement and creates its grant.
    fn book(&mut self, now: Time, waiting: &Waiting, placement: &admission::Placement) -> Grant {
        let ask = &waiting.ask;
        let tokens = ask.prompt_tokens + ask.max_tokens;
        if let Some(engine) = self.engines.get_mut(&placement.prefill) {
            engine.prefill_free_at = placement.prefill_end;
            for &digest in &ask.prefix {
                engine.prefixes.insert(digest, now);
            }
            admission::forget_prefixes(now, engine);
        }
        if let Some(engine) = self.engines.get_mut(&placement.decode) {
            engine.reserved += u64::from(tokens);
        }
        let link = self.links.entry(placement.link).or_default();
        link.book(placement.transfer_time);
        let grant = Grant {
            shard: self.shard,
            ticket: ask.ticket,
            prefill: placement.prefill,
            decode: placement.decode,
            tokens,
            max_tokens: ask.max_tokens,
            stage: Stage::Prefill,
        };
        let held = HeldGrant {
            grant: grant.clone(),
            since: now,
            prefill_expected: placement.prefill_time,
            transfer: Some((placement.link, placement.transfer_time)),
        };
        self.grants.insert(ask.ticket, held);
        grant
    }

    /// Adds a grant that a previous owner issued.
    fn adopt(&mut self, now: Time, grant: Grant) {
        if let Some(held) = self.grants.get_mut(&grant.ticket) {
            held.grant.stage = held.grant.stage.max(grant.stage);
            return;
        }
        if let Some(engine) = self.engines.get_mut(&grant.decode) {
            engine.reserved += u64::from(grant.tokens);
        }
        self.queue.remove(grant.ticket);
        let held =
            HeldGrant { grant, since: now, prefill_expected: Duration::ZERO, transfer: None };
        self.grants.insert(held.grant.ticket, held);
    }

    /// Frees the memory, link time and prefill time that a grant holds.
    fn release_resources(&mut self, now: Time, held: &HeldGrant) {
        let tokens = u64::from(held.grant.tokens);
        if let Some(engine) = self.engines.get_mut(&held.grant.decode) {
            engine.reserved = engine.reserved.saturating_sub(tokens);
            engine.reported = engine.reported.map(|it| it.saturating_sub(tokens));
        }
        if let Some((link, transfer_time)) = held.transfer {
            self.links.entry(link).or_default().unbook(transfer_time);
        }
        if held.grant.stage > Stage::Prefill {
            return;
        }
        // The remainder of a cancelled prefill is not computed.
        if let Some(engine) = self.engines.get_mut(&held.grant.prefill) {
            let left = held.prefill_expected.saturating_sub(now.since(held.since));
            engine.prefill_free_at = engine.prefill_free_at - left;
        }
    }

    /// Revokes a grant and cancels its streams on the engines.
    fn drop_grant(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        let Some(held) = self.grants.remove(&ticket) else { return };
        self.release_resources(cx.now, &held);
        self.fenced.insert(ticket, cx.now);
        for engine in [held.grant.prefill, held.grant.decode] {
            if let Some(row) = self.engines.get(&engine) {
                cx.effect(Effect::Cancel { ticket, address: row.address.clone() });
            }
        }
    }

    /// Drops the grants and queued requests of fronts that have been silent for [`GRANT_TTL`].
    fn expire_fronts(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        let silent: Vec<Incarnation> = self
            .fronts
            .iter()
            .filter(|(it, front)| **it != cx.me && now.since(front.last_contact) > GRANT_TTL)
            .map(|(&it, _)| it)
            .collect();
        for front in silent {
            self.fronts.remove(&front);
            self.queue.remove_front(front);
            let held: Vec<Ticket> =
                self.grants.keys().filter(|it| it.front == front).copied().collect();
            if !held.is_empty() {
                cx.note(format!("front {front} is silent: {} grants end", held.len()));
            }
            for ticket in held {
                self.drop_grant(cx, ticket);
            }
        }
    }

    /// Extends the timeouts of fronts and streams by a time in which this box itself was paused.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        for front in self.fronts.values_mut() {
            front.last_contact = front.last_contact + pause;
        }
        for first_seen in self.strays.values_mut() {
            *first_seen = *first_seen + pause;
        }
    }

    /// Records that a front is alive.
    fn record_contact(&mut self, now: Time, front: Incarnation) -> &mut Front {
        let unknown = Front { last_contact: now, mismatches: 0, declared_at: None };
        let front = self.fronts.entry(front).or_insert(unknown);
        front.last_contact = now;
        front
    }

    /// Returns whether the wait for the fronts has ended.
    fn is_settled(&mut self, cx: &Context<'_>) -> bool {
        if !self.settled {
            let all_heard = cx.members.alive().all(|it| self.fronts.contains_key(&it.incarnation));
            self.settled = all_heard || cx.now.since(self.since) >= SETTLE_TIMEOUT;
        }
        self.settled
    }

    /// Returns the queue of requests.
    pub(crate) fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Returns the state of a link; an unused one has the default state.
    pub(crate) fn link(&self, link: LinkId) -> Link {
        self.links.get(&link).copied().unwrap_or_default()
    }

    /// Returns the decode engine, the expected end and the memory of each granted stream, in
    /// tokens.
    pub(crate) fn expected_ends(&self) -> impl Iterator<Item = (UpstreamId, Time, u64)> {
        self.grants.values().map(|held| {
            let token_time =
                self.engines.get(&held.grant.decode).map_or(Duration::ZERO, |it| it.token_time);
            let tokens = f64::from(held.grant.max_tokens) * self.answer_share;
            let end = held.since + token_time.mul_f64(tokens);
            (held.grant.decode, end, u64::from(held.grant.tokens))
        })
    }

    /// Returns the first-token target of the shard's service, if the site has the service.
    pub fn first_token_target(&self, site: &Site) -> Option<Duration> {
        match &site.service(self.shard.service)?.kind {
            Kind::Engines { first_token, .. } => Some(*first_token),
            Kind::Plain { .. } => None,
        }
    }
}

/// Returns a tenant's fair share; a tenant that is not in the site file has a share of 1.
fn share_of(site: &Site, tenant: TenantId) -> f64 {
    let named = site.tenants.iter().find(|it| TenantId::of(&it.name) == tenant);
    named.map_or(1.0, |it| it.share)
}
