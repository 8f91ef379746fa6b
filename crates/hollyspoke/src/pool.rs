//! The owner's ledger of one shard: the one place that grants its engines' memory.
//!
//! The ledger is soft state. A new owner learns of running grants from the fronts that hold them
//! and from the engines' own lists, and waits with new grants until it has heard from every live
//! front or [`SETTLE_TIMEOUT`] is over. If two boxes own a shard for a moment they may grant too much;
//! the engine then refuses, and the owner learns.

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

/// How long a new owner waits for the fronts before it grants.
pub const SETTLE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long the grants of a front that has gone silent are kept.
pub const GRANT_TTL: Duration = Duration::from_secs(4);

/// How often each engine is asked for its report.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a stream that the ledger doesn't know may stay on an engine.
pub const STRAY_GRACE: Duration = Duration::from_secs(2);

/// How long a fenced attempt is remembered.
pub const FENCED_TTL: Duration = Duration::from_secs(60);

/// How long a decode engine that refused for lack of room is given nothing more.
pub const FULL_BACKOFF: Duration = Duration::from_millis(200);

/// The share of the tokens asked for that answers are taken to have before any is known.
const INITIAL_ANSWER_SHARE: f64 = 0.5;

/// The weight of a new answer in the mean of their lengths.
const LENGTH_WEIGHT: f64 = 0.02;

/// A grant in the ledger.
#[derive(Debug, Clone)]
struct HeldGrant {
    /// What was granted.
    grant: Grant,
    /// When the attempt entered its stage.
    since: Time,
    /// How long the prefill was expected to take at the described rate.
    prefill_expected: Duration,
    /// The link, and how long the transfer takes there at the described rate.
    transfer: Option<(LinkId, Duration)>,
}

/// A link by its ends, the smaller first.
pub type LinkId = (DataCentreId, DataCentreId);

/// What the owner knows of a front.
#[derive(Debug, Clone, Copy)]
struct Front {
    /// When it was last heard.
    last_contact: Time,
    /// Renewals in a row whose count was not the ledger's.
    mismatches: u8,
}

/// The ledger of one shard.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The shard.
    shard: ShardId,
    /// When this box became its owner.
    since: Time,
    /// Whether the wait for the fronts is over.
    settled: bool,
    /// The engines.
    engines: BTreeMap<UpstreamId, Engine>,
    /// The links between the engines' data centres.
    links: BTreeMap<LinkId, Link>,
    /// The grants.
    grants: BTreeMap<Ticket, HeldGrant>,
    /// The requests waiting.
    queue: Queue,
    /// The fronts heard.
    fronts: BTreeMap<Incarnation, Front>,
    /// Attempts taken from their fronts, and when.
    fenced: BTreeMap<Ticket, Time>,
    /// Streams seen on engines that the ledger doesn't know, since when.
    strays: BTreeMap<(UpstreamId, Ticket), Time>,
    /// When the engines were last polled.
    polled: Option<Time>,
    /// The share of the tokens asked for that answers have, on average.
    answer_share: f64,
}

impl Pool {
    /// Makes the ledger of a shard which this box has come to own.
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

    /// Takes over a new version of the site, keeping what is known of engines that stay.
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

    /// Gives the engines, for choosing and for the status page.
    pub fn engines(&self) -> &BTreeMap<UpstreamId, Engine> {
        &self.engines
    }

    /// Gives the number of grants held.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Gives the number of requests waiting.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes a front's question; a repeated one gets the answer it had.
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

    /// Takes a front's renewal.
    pub fn renew(&mut self, cx: &mut Context<'_>, from: Incarnation, held: u32) {
        let known = self.grants.keys().filter(|it| it.front == from).count();
        let settled = self.settled;
        let front = self.record_contact(cx.now, from);
        if known == held as usize {
            front.mismatches = 0;
            self.process_queue(cx);
            return;
        }
        // One difference may be a message on its way; a second one is not. A new owner asks at
        // once, since it is to learn what runs.
        front.mismatches += 1;
        let must_ask = front.mismatches > 1 || !settled;
        if must_ask {
            front.mismatches = 0;
            cx.send(from, Message::DeclareWanted(self.shard));
        }
    }

    /// Takes the full list of a front's grants.
    pub fn declare(&mut self, cx: &mut Context<'_>, from: Incarnation, held: Vec<Grant>) {
        self.record_contact(cx.now, from);
        let named: BTreeSet<Ticket> = held.iter().map(|it| it.ticket).collect();
        let gone: Vec<Ticket> = self
            .grants
            .keys()
            .filter(|it| it.front == from && !named.contains(it))
            .copied()
            .collect();
        for ticket in gone {
            // A grant on its way to the front is not named yet, so only older ones are dropped.
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

    /// Notes how far an attempt has come.
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

    /// Takes an attempt back.
    pub fn release(&mut self, cx: &mut Context<'_>, ticket: Ticket, end: End) {
        self.record_contact(cx.now, ticket.front);
        self.queue.remove(ticket);
        let blames_link = self.record_stalled_transfer(cx.now, ticket, end);
        if !blames_link {
            self.record_outcome(cx, end);
        }
        if let Some(held) = self.grants.remove(&ticket) {
            self.update_answer_share(&held, end);
            self.release_resources(cx.now, &held);
        }
        // A late copy of the question must not be granted.
        self.fenced.insert(ticket, cx.now);
        self.process_queue(cx);
    }

    /// Does what is due: expires silent fronts, polls engines, decides on those who wait.
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

    /// Gives all that waits back to the fronts, when the shard passes to another owner.
    pub fn return_queue(&mut self, cx: &mut Context<'_>) {
        for waiting in self.queue.drain() {
            let ticket = waiting.ask.ticket;
            let message =
                Message::Refused { ticket, refusal: Refusal::Leaving, retry_after: Duration::ZERO };
            cx.send(ticket.front, message);
        }
    }

    /// Decides on those who wait, in their order, as far as engines are free.
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

    /// Books what a placement uses.
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

    /// Adds a grant that another owner made.
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

    /// Gives a grant's memory back to the ledger.
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
        // The rest of a prefill that was stopped is not computed any more.
        if let Some(engine) = self.engines.get_mut(&held.grant.prefill) {
            let left = held.prefill_expected.saturating_sub(now.since(held.since));
            engine.prefill_free_at = engine.prefill_free_at - left;
        }
    }

    /// Takes a grant from its front and stops the streams on the engines.
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

    /// Drops the grants and the questions of fronts that have gone silent.
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

    /// Notes that a front lives.
    fn record_contact(&mut self, now: Time, front: Incarnation) -> &mut Front {
        let front = self.fronts.entry(front).or_insert(Front { last_contact: now, mismatches: 0 });
        front.last_contact = now;
        front
    }

    /// Tells whether the wait for the fronts is over.
    fn is_settled(&mut self, cx: &Context<'_>) -> bool {
        if !self.settled {
            let all_heard = cx.members.alive().all(|it| self.fronts.contains_key(&it.incarnation));
            self.settled = all_heard || cx.now.since(self.since) >= SETTLE_TIMEOUT;
        }
        self.settled
    }

    /// Gives the queue.
    pub(crate) fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Gives a link as the ledger has it.
    pub(crate) fn link(&self, link: LinkId) -> Link {
        self.links.get(&link).copied().unwrap_or_default()
    }

    /// Gives the expected ends of all streams being generated, with the memory each frees.
    pub(crate) fn expected_ends(&self) -> impl Iterator<Item = (UpstreamId, Time, u64)> {
        self.grants.values().map(|held| {
            let token_time =
                self.engines.get(&held.grant.decode).map_or(Duration::ZERO, |it| it.token_time);
            let tokens = f64::from(held.grant.max_tokens) * self.answer_share;
            let end = held.since + token_time.mul_f64(tokens);
            (held.grant.decode, end, u64::from(held.grant.tokens))
        })
    }

    /// Gives the service's first-token target, where the site has the service.
    pub fn first_token_target(&self, site: &Site) -> Option<Duration> {
        match &site.service(self.shard.service)?.kind {
            Kind::Engines { first_token, .. } => Some(*first_token),
            Kind::Plain { .. } => None,
        }
    }
}

/// Gives a tenant's share against others; one that the site's file does not name has 1.
fn share_of(site: &Site, tenant: TenantId) -> f64 {
    let named = site.tenants.iter().find(|it| TenantId::of(&it.name) == tenant);
    named.map_or(1.0, |it| it.share)
}
