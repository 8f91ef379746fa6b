//! Which request goes next, to which engines, and which is refused at once.
//!
//! Decode memory is scarce and a prefill result lives a few seconds, so memory is reserved
//! before a prefill begins, and a prefill begins only when an engine can compute it now. A
//! request that can't meet its first-token target any more is refused before any prefill is
//! spent on it, with the time at which to come back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::{Incarnation, Ticket};
use crate::message::{Ask, Message};
use crate::outcome::Refusal;
use crate::site::{DataCentreId, ServiceId, Site, TenantId, UpstreamId};
use crate::time::{Time, seconds};

use super::{Engine, Pool};

/// How far ahead of an engine's being free its next prefill is granted, to cover the way there.
pub const PREFILL_LEAD_TIME: Duration = Duration::from_millis(30);

/// How long a prefix is believed to stay in an engine's cache.
pub const PREFIX_TTL: Duration = Duration::from_secs(60);

/// How many prefixes are remembered for one engine.
pub const MAX_PREFIXES: usize = 512;

/// The tokens of one block of a prompt, by which prefixes are compared.
pub const BLOCK_TOKENS: u32 = 64;

/// The time added to a prefill and transfer for the calls between them.
pub const CALL_OVERHEAD: Duration = Duration::from_millis(10);

/// Placements that are ready within the same step, in microseconds, count as equally early.
const READY_STEP_US: u64 = 2000;

/// The weight of a new measurement of an engine's rate.
const RATE_WEIGHT: f64 = 0.2;

/// The shortest time named to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The rate assumed for a link that the site's file does not name, in bytes a second.
const DEFAULT_LINK_BYTES_PER_S: u64 = 10_000_000_000;

/// A request that waits for engines.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The question.
    pub ask: Ask,
    /// When it came.
    pub arrived: Time,
    /// When its first token is due.
    pub due: Time,
}

impl Waiting {
    /// Makes a waiting request from a question that comes now.
    pub fn new(now: Time, ask: Ask) -> Waiting {
        let due = now + ask.due_in;
        Waiting { ask, arrived: now, due }
    }

    /// Gives what the request uses of a pool, in tokens of decode memory.
    pub fn cost(&self) -> f64 {
        f64::from(self.tokens())
    }

    /// Gives the decode memory that it needs, in tokens.
    pub fn tokens(&self) -> u32 {
        self.ask.prompt_tokens + self.ask.max_tokens
    }
}

/// The requests that wait, and what each tenant has used.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    /// The requests, in the order in which they came.
    waiting: Vec<Waiting>,
    /// What each tenant has used, divided by its share.
    used: BTreeMap<TenantId, f64>,
    /// The use of the tenant served last; a tenant that comes back starts here.
    virtual_time: f64,
}

impl Queue {
    /// Gives the number waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Tells whether an attempt waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.iter().any(|it| it.ask.ticket == ticket)
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let virtual_time = self.virtual_time;
        let used = self.used.entry(waiting.ask.tenant).or_insert(virtual_time);
        // A tenant that was away gets no credit for the time it did not use.
        *used = used.max(virtual_time);
        self.waiting.push(waiting);
    }

    /// Removes an attempt.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self.waiting.iter().position(|it| it.ask.ticket == ticket)?;
        Some(self.waiting.remove(place))
    }

    /// Removes all attempts of a front.
    pub fn remove_front(&mut self, front: Incarnation) {
        self.waiting.retain(|it| it.ask.ticket.front != front);
    }

    /// Empties the queue.
    pub fn drain(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.waiting)
    }

    /// Charges a tenant for what it was granted.
    pub fn charge(&mut self, tenant: TenantId, cost: f64) {
        let used = self.used.entry(tenant).or_insert(self.virtual_time);
        self.virtual_time = self.virtual_time.max(*used);
        *used += cost;
    }

    /// Gives those who wait in the order in which they are served: by class, then by what their
    /// tenant has used of its share, then the cheaper first, then by when the first token is due.
    pub fn in_order(&self) -> Vec<&Waiting> {
        let mut order: Vec<&Waiting> = self.waiting.iter().collect();
        order.sort_by(|a, b| {
            let used = |it: &Waiting| self.used.get(&it.ask.tenant).copied().unwrap_or(0.0);
            a.ask
                .class
                .cmp(&b.ask.class)
                .then(used(a).total_cmp(&used(b)))
                .then(a.cost().total_cmp(&b.cost()))
                .then(a.due.cmp(&b.due))
                .then(a.ask.ticket.cmp(&b.ask.ticket))
        });
        order
    }
}

/// A decision: engines, link and expected times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The engine that computes the prompt.
    pub prefill: UpstreamId,
    /// The engine that generates.
    pub decode: UpstreamId,
    /// The link that the prefill result crosses.
    pub link: (DataCentreId, DataCentreId),
    /// How long the prefill takes at the described rate.
    pub prefill_time: Duration,
    /// How long the transfer takes at the link's described rate.
    pub transfer_time: Duration,
    /// When the prefill ends.
    pub prefill_end: Time,
    /// When the prefill result has crossed the link.
    pub ready: Time,
}

/// A refusal with the time at which to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub refusal: Refusal,
    /// When to come back.
    pub retry_after: Duration,
}

impl Rejection {
    /// Makes the message that tells the front.
    pub fn message(self, ticket: Ticket) -> Message {
        Message::Refused { ticket, refusal: self.refusal, retry_after: self.retry_after }
    }
}

/// What is decided on a request that waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It gets engines.
    Grant(Placement),
    /// Its first token would come too late even with the best engines there are.
    Refuse(Rejection),
}

/// Finds the request to decide on next: one for which engines are free now, or which no engines
/// could serve in time any more.
pub fn next_decision(now: Time, site: &Site, pool: &Pool) -> Option<(Ticket, Decision)> {
    let order = pool.queue().in_order();
    let ahead = now + PREFILL_LEAD_TIME;
    for waiting in order {
        // A request that finds no room lets smaller ones pass: it is refused soon if it never
        // finds any, so that it is not passed for ever.
        let Some(placement) = place(now, site, pool, waiting) else { continue };
        let start = placement.prefill_end - placement.prefill_time;
        if start > ahead {
            return None;
        }
        // The link may be what makes it late: waiting does not help, since the link's own backlog
        // does not shrink faster than time passes.
        let ticket = waiting.ask.ticket;
        if let Some(rejection) = too_late(placement.ready + CALL_OVERHEAD, waiting.due) {
            return Some((ticket, Decision::Refuse(rejection)));
        }
        return Some((ticket, Decision::Grant(placement)));
    }
    None
}

/// Refuses a request that comes when those before it leave it no chance.
pub fn refuse_on_arrival(now: Time, pool: &Pool, waiting: &Waiting) -> Option<Rejection> {
    let usable = |decodes: bool| {
        pool.engines().values().any(|it| {
            it.is_usable(now) && if decodes { it.role.decodes() } else { it.role.prefills() }
        })
    };
    if !usable(true) || !usable(false) {
        let retry_after = Duration::from_secs(2);
        return Some(Rejection { refusal: Refusal::Unavailable, retry_after });
    }
    if !fits_any_engine(pool, waiting) {
        return Some(Rejection { refusal: Refusal::Invalid, retry_after: Duration::ZERO });
    }
    let first_token = expected_first_token(now, pool, waiting);
    too_late(first_token, waiting.due)
}

/// Lists those waiting who can't meet their target any more even if they were next.
pub fn find_late(now: Time, pool: &Pool) -> Vec<(Ticket, Rejection)> {
    let best_rate = best_rate(pool, now);
    let mut late = Vec::new();
    for waiting in pool.queue().in_order() {
        let prefill = seconds(f64::from(waiting.ask.prompt_tokens) / best_rate.max(1.0));
        let first_token = now + prefill + CALL_OVERHEAD;
        if let Some(rejection) = too_late(first_token, waiting.due) {
            late.push((waiting.ask.ticket, rejection));
        }
    }
    late
}

/// Learns how much slower than described an engine computes prompts.
pub fn update_slowness(engine: &mut Engine, expected: Duration, took: Duration) {
    if expected < Duration::from_millis(5) {
        return;
    }
    let base = expected.as_secs_f64() / engine.slowness;
    let seen = (took.as_secs_f64() / base).clamp(0.25, 16.0);
    engine.slowness += RATE_WEIGHT * (seen - engine.slowness);
}

/// Drops the hints that have aged, and the oldest where there are too many.
pub fn forget_prefixes(now: Time, engine: &mut Engine) {
    engine.prefixes.retain(|_, seen| now.since(*seen) < PREFIX_TTL);
    while engine.prefixes.len() > MAX_PREFIXES {
        let oldest = engine.prefixes.iter().min_by_key(|(_, seen)| **seen).map(|(it, _)| *it);
        let Some(oldest) = oldest else { return };
        engine.prefixes.remove(&oldest);
    }
}

/// Chooses the pair of engines whose prefill result is ready first.
fn place(now: Time, site: &Site, pool: &Pool, waiting: &Waiting) -> Option<Placement> {
    let kv_bytes = kv_bytes(site, waiting);
    let decodes = decode_candidates(now, pool, waiting);
    let mut best: Option<(Rank, Placement)> = None;
    for (&id, engine) in pool.engines() {
        if !engine.role.prefills() || !engine.is_usable(now) || is_avoided(pool, waiting, id) {
            continue;
        }
        let prefill_time = prefill_time(engine, &waiting.ask);
        let prefill_end = engine.prefill_free_at.max(now) + prefill_time;
        for (&data_centre, &(free, decode)) in &decodes {
            let link = link_id(engine.data_centre, data_centre);
            let transfer_time = seconds(kv_bytes as f64 / link_rate(site, link) as f64);
            let row = pool.link(link);
            let ready = prefill_end.max(row.free_at(now)) + row.transfer_time(transfer_time);
            let rank = (ready.as_micros() / READY_STEP_US, std::cmp::Reverse(free));
            if best.as_ref().is_some_and(|(other, _)| *other <= rank) {
                continue;
            }
            let placement = Placement {
                prefill: id,
                decode,
                link,
                prefill_time,
                transfer_time,
                prefill_end,
                ready,
            };
            best = Some((rank, placement));
        }
    }
    best.map(|(_, placement)| placement)
}

/// How good a placement is, the best first: when it is ready, then the free decode memory.
type Rank = (u64, std::cmp::Reverse<u64>);

/// Finds in each data centre the decode engine with the most free memory, where it is enough.
fn decode_candidates(
    now: Time,
    pool: &Pool,
    waiting: &Waiting,
) -> BTreeMap<DataCentreId, (u64, UpstreamId)> {
    let need = u64::from(waiting.tokens());
    let mut best: BTreeMap<DataCentreId, (u64, UpstreamId)> = BTreeMap::new();
    for (&id, engine) in pool.engines() {
        let free = engine.free_tokens(now);
        let fits = free >= need && engine.full_until <= now;
        let avoided = is_avoided(pool, waiting, id);
        if !engine.role.decodes() || !engine.is_usable(now) || !fits || avoided {
            continue;
        }
        let entry = best.entry(engine.data_centre).or_insert((free, id));
        if free > entry.0 {
            *entry = (free, id);
        }
    }
    best
}

/// Tells whether a request that has just failed on an engine should go to another one, which it
/// should wherever another engine of the role is usable.
fn is_avoided(pool: &Pool, waiting: &Waiting, id: UpstreamId) -> bool {
    let Some(engine) = pool.engines().get(&id) else { return false };
    let has_other = |prefills: bool| {
        pool.engines().iter().any(|(&other, it)| {
            let fits = if prefills { it.role.prefills() } else { it.role.decodes() };
            other != id && fits && !it.leaving
        })
    };
    let replaceable = (!engine.role.prefills() || has_other(true))
        && (!engine.role.decodes() || has_other(false));
    waiting.ask.avoid == Some(id) && replaceable
}

/// Expects when the first token of a request that comes now could be there.
fn expected_first_token(now: Time, pool: &Pool, waiting: &Waiting) -> Time {
    let queue = pool.queue();
    let ahead: Vec<&Waiting> =
        queue.in_order().into_iter().filter(|it| it.ask.class <= waiting.ask.class).collect();
    let tokens_ahead: f64 = ahead.iter().map(|it| f64::from(it.ask.prompt_tokens)).sum();
    let (mut rate, mut backlog, mut engines) = (0.0, 0.0, 0.0);
    for engine in pool.engines().values().filter(|it| it.role.prefills() && it.is_usable(now)) {
        rate += engine.prefill_rate / engine.slowness;
        backlog += engine.prefill_free_at.since(now).as_secs_f64();
        engines += 1.0;
    }
    let own = f64::from(waiting.ask.prompt_tokens) / best_rate(pool, now).max(1.0);
    let prefill = backlog / f64::max(engines, 1.0) + tokens_ahead / f64::max(rate, 1.0);
    let memory_ahead: u64 = ahead.iter().map(|it| u64::from(it.tokens())).sum();
    let decode = decode_free_at(now, pool, memory_ahead + u64::from(waiting.tokens()));
    (now + seconds(prefill)).max(decode) + seconds(own) + CALL_OVERHEAD
}

/// Expects when the decode engines together have an amount of memory free, in tokens.
fn decode_free_at(now: Time, pool: &Pool, need: u64) -> Time {
    let decoding = |it: &Engine| it.role.decodes() && it.is_usable(now);
    let mut free: u64 =
        pool.engines().values().filter(|it| decoding(it)).map(|it| it.free_tokens(now)).sum();
    if free >= need {
        return now;
    }
    let mut ends: Vec<(Time, u64)> = pool
        .expected_ends()
        .filter(|(engine, _, _)| pool.engines().get(engine).is_some_and(decoding))
        .map(|(_, end, tokens)| (end, tokens))
        .collect();
    ends.sort();
    for (end, tokens) in ends {
        free += tokens;
        if free >= need {
            return end.max(now);
        }
    }
    // All that runs would not free enough: the last end is the best that can be said.
    now + Duration::from_secs(1)
}

/// Refuses when a first token would come after it is due.
fn too_late(first_token: Time, due: Time) -> Option<Rejection> {
    if first_token <= due {
        return None;
    }
    let retry_after = first_token.since(due).max(MIN_RETRY_AFTER);
    Some(Rejection { refusal: Refusal::TooLate, retry_after })
}

/// Tells whether some engine that decodes is large enough at all.
fn fits_any_engine(pool: &Pool, waiting: &Waiting) -> bool {
    let need = u64::from(waiting.tokens());
    pool.engines().values().any(|it| it.role.decodes() && it.memory_tokens >= need)
}

/// Gives the time an engine needs for a prompt, less what its cache is believed to hold.
fn prefill_time(engine: &Engine, ask: &Ask) -> Duration {
    let known = ask.prefix.iter().take_while(|it| engine.prefixes.contains_key(it)).count();
    // The digests stand for 1, 2, 4, 8, … blocks.
    let blocks = if known == 0 { 0 } else { 1 << (known - 1).min(16) };
    let cached = (blocks * BLOCK_TOKENS).min(ask.prompt_tokens.saturating_sub(1));
    let tokens = f64::from(ask.prompt_tokens - cached);
    seconds(tokens * engine.slowness / engine.prefill_rate.max(1.0))
}

/// Gives the rate of the fastest usable prefill engine, in tokens a second.
fn best_rate(pool: &Pool, now: Time) -> f64 {
    pool.engines()
        .values()
        .filter(|it| it.role.prefills() && it.is_usable(now))
        .map(|it| it.prefill_rate / it.slowness)
        .fold(0.0, f64::max)
}

/// Gives the size of a request's prefill result, in bytes.
fn kv_bytes(site: &Site, waiting: &Waiting) -> u64 {
    let service: ServiceId = waiting.ask.shard.service;
    let per_token = site
        .service(service)
        .and_then(|it| site.model(it))
        .map_or(0, |model| model.kv_bytes_per_token);
    per_token * u64::from(waiting.ask.prompt_tokens)
}

/// Gives a link's rate, in bytes a second.
fn link_rate(site: &Site, link: (DataCentreId, DataCentreId)) -> u64 {
    let ends =
        |it: &crate::site::Link| link_id(DataCentreId::of(&it.from), DataCentreId::of(&it.to));
    let named = site.links.iter().find(|it| ends(it) == link);
    named.map_or(DEFAULT_LINK_BYTES_PER_S, |it| it.bytes_per_second.max(1))
}

/// Names a link the same way from both ends.
fn link_id(a: DataCentreId, b: DataCentreId) -> (DataCentreId, DataCentreId) {
    (a.min(b), a.max(b))
}
