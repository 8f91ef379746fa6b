//! Admission control: which request is served next, on which engines, and which is refused.
//!
//! Decode memory is scarce and a prefill result is kept for only a few seconds. Memory is therefore
//! reserved before a prefill begins, and a prefill begins only when an engine can compute it
//! immediately. A request that can no longer meet its first-token target is refused before any
//! prefill is spent on it, with a time after which to retry.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::{Incarnation, Ticket};
use crate::message::{Ask, Message};
use crate::outcome::Refusal;
use crate::site::{DataCentreId, Role, ServiceId, Site, TenantId, UpstreamId};
use crate::time::{Time, seconds};

use super::{Engine, Pool};

/// How long before an engine becomes free its next prefill is granted, to cover the network
/// latency.
pub const PREFILL_LEAD_TIME: Duration = Duration::from_millis(30);

/// How long a prefix is assumed to stay in an engine's cache.
pub const PREFIX_TTL: Duration = Duration::from_secs(60);

/// The maximum number of prefixes remembered per engine.
pub const MAX_PREFIXES: usize = 512;

/// The number of tokens in a block, the unit in which prompt prefixes are compared.
pub const BLOCK_TOKENS: u32 = 64;

/// The time added to a prefill and a transfer for the calls between them.
pub const CALL_OVERHEAD: Duration = Duration::from_millis(10);

/// The number of polls in a row that may fail at all engines of a role before replacements of
/// silent attempts are granted there all the same, since it may be the polls that fail.
const MAX_SHARED_POLLS: u32 = 8;

/// The granularity at which ready times of placements are compared, in microseconds.
const READY_STEP_US: u64 = 2000;

/// The weight of a new sample in the moving average of an engine's slowness.
const RATE_WEIGHT: f64 = 0.2;

/// The minimum retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The rate assumed for a link that is not in the site file, in bytes per second.
const DEFAULT_LINK_BYTES_PER_S: u64 = 10_000_000_000;

/// A queued request that waits for engines.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The front's ask.
    pub ask: Ask,
    /// When the ask arrived.
    pub arrived: Time,
    /// When the first token is due.
    pub due: Time,
}

impl Waiting {
    /// Creates a queued request from an ask that arrives now.
    pub fn new(now: Time, ask: Ask) -> Waiting {
        let due = now + ask.due_in;
        Waiting { ask, arrived: now, due }
    }

    /// Returns the cost of the request for fair sharing, in tokens of decode memory.
    pub fn cost(&self) -> f64 {
        f64::from(self.tokens())
    }

    /// Returns the decode memory that the request needs, in tokens.
    pub fn tokens(&self) -> u32 {
        self.ask.prompt_tokens + self.ask.max_tokens
    }
}

/// The queued requests, and the usage of each tenant for weighted fair queueing.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    /// The requests in order of arrival.
    waiting: Vec<Waiting>,
    /// The cost charged to each tenant, divided by its share.
    used: BTreeMap<TenantId, f64>,
    /// The usage of the tenant served last; a tenant that returns after being idle starts at this
    /// value.
    virtual_time: f64,
}

impl Queue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether an attempt is queued.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.iter().any(|it| it.ask.ticket == ticket)
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let virtual_time = self.virtual_time;
        let used = self.used.entry(waiting.ask.tenant).or_insert(virtual_time);
        // An idle tenant gets no credit for the time in which it sent no requests.
        *used = used.max(virtual_time);
        self.waiting.push(waiting);
    }

    /// Removes an attempt from the queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self.waiting.iter().position(|it| it.ask.ticket == ticket)?;
        Some(self.waiting.remove(place))
    }

    /// Removes all attempts of a front.
    pub fn remove_front(&mut self, front: Incarnation) {
        self.waiting.retain(|it| it.ask.ticket.front != front);
    }

    /// Removes and returns all queued requests.
    pub fn drain(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.waiting)
    }

    /// Charges a tenant for a grant.
    pub fn charge(&mut self, tenant: TenantId, cost: f64) {
        let used = self.used.entry(tenant).or_insert(self.virtual_time);
        self.virtual_time = self.virtual_time.max(*used);
        *used += cost;
    }

    /// Returns the queued requests in the order in which they are served: by class, then by the
    /// tenant's usage relative to its share, then the cheaper first, then by when the first token
    /// is due.
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

/// The engines and the link chosen for a request, with the expected times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The engine that runs the prefill.
    pub prefill: UpstreamId,
    /// The engine that runs the decode.
    pub decode: UpstreamId,
    /// The link over which the prefill result is transferred.
    pub link: (DataCentreId, DataCentreId),
    /// The expected duration of the prefill, slowness included.
    pub prefill_time: Duration,
    /// The duration of the transfer at the link's configured rate.
    pub transfer_time: Duration,
    /// When the prefill is expected to end.
    pub prefill_end: Time,
    /// When the transfer is expected to end.
    pub ready: Time,
}

/// A refusal with a retry delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub refusal: Refusal,
    /// The time after which the caller may retry.
    pub retry_after: Duration,
}

impl Rejection {
    /// Creates the message that reports the refusal to the front.
    pub fn message(self, ticket: Ticket) -> Message {
        Message::Refused { ticket, refusal: self.refusal, retry_after: self.retry_after }
    }
}

/// The decision on a queued request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The request is granted engines.
    Grant(Placement),
    /// The first token would be late even on the best available engines.
    Refuse(Rejection),
}

/// Finds the next request to decide on: one for which engines are free now, or which no engine
/// could serve in time.
pub fn next_decision(now: Time, site: &Site, pool: &Pool) -> Option<(Ticket, Decision)> {
    let order = pool.queue().in_order();
    let ahead = now + PREFILL_LEAD_TIME;
    for waiting in order {
        // Smaller requests may overtake one that does not fit now. That request can't starve: it is
        // refused soon if it never fits.
        let Some(placement) = choose(now, site, pool, waiting) else { continue };
        let start = placement.prefill_end - placement.prefill_time;
        if start > ahead {
            return None;
        }
        // If the link causes the delay, waiting does not help: its backlog does not shrink faster
        // than time passes.
        let ticket = waiting.ask.ticket;
        if let Some(rejection) = too_late(placement.ready + CALL_OVERHEAD, waiting.due) {
            return Some((ticket, Decision::Refuse(rejection)));
        }
        return Some((ticket, Decision::Grant(placement)));
    }
    None
}

/// Refuses an arriving request that could not be served in time behind those already queued, or at
/// all.
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

/// Returns the queued requests that could not meet their target even if they were served next.
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

/// Updates an engine's slowness from the expected and the actual duration of a prefill.
pub fn update_slowness(engine: &mut Engine, expected: Duration, took: Duration) {
    if expected < Duration::from_millis(5) {
        return;
    }
    let base = expected.as_secs_f64() / engine.slowness;
    let seen = (took.as_secs_f64() / base).clamp(0.25, 16.0);
    engine.slowness += RATE_WEIGHT * (seen - engine.slowness);
}

/// Removes prefix hints that have expired, and the oldest ones above [`MAX_PREFIXES`].
pub fn forget_prefixes(now: Time, engine: &mut Engine) {
    engine.prefixes.retain(|_, seen| now.since(*seen) < PREFIX_TTL);
    while engine.prefixes.len() > MAX_PREFIXES {
        let oldest = engine.prefixes.iter().min_by_key(|(_, seen)| **seen).map(|(it, _)| *it);
        let Some(oldest) = oldest else { return };
        engine.prefixes.remove(&oldest);
    }
}

/// Chooses engines for a request. One that is sent again gets engines that answered their last
/// poll, if any of them can take it.
fn choose(now: Time, site: &Site, pool: &Pool, waiting: &Waiting) -> Option<Placement> {
    if waiting.ask.avoid.is_none() {
        return place(now, site, pool, waiting, |_| true);
    }
    let answering = place(now, site, pool, waiting, |it| it.failed_polls == 0);
    if answering.is_some() || shares_silence(pool, waiting) {
        return answering;
    }
    place(now, site, pool, waiting, |_| true)
}

/// Returns whether the engine that a request avoids has only fallen silent, together with all
/// engines of a role: a replacement would wait for an engine that is as silent.
fn shares_silence(pool: &Pool, waiting: &Waiting) -> bool {
    let silent = waiting.ask.avoid.and_then(|it| pool.engines().get(&it));
    if silent.is_none_or(|it| it.health.has_failures()) {
        return false;
    }
    let is_silent = |it: &Engine| (1..MAX_SHARED_POLLS).contains(&it.failed_polls);
    let all_silent = |has_role: fn(Role) -> bool| {
        pool.engines().values().filter(|it| has_role(it.role) && !it.leaving).all(is_silent)
    };
    all_silent(Role::prefills) || all_silent(Role::decodes)
}

/// Chooses the prefill and decode engines, of those that are accepted, whose prefill result is
/// ready first.
fn place(
    now: Time,
    site: &Site,
    pool: &Pool,
    waiting: &Waiting,
    accepts: impl Fn(&Engine) -> bool,
) -> Option<Placement> {
    let kv_bytes = kv_bytes(site, waiting);
    let decodes = decode_candidates(now, pool, waiting, &accepts);
    let mut best: Option<(Rank, Placement)> = None;
    for (&id, engine) in pool.engines() {
        let usable = engine.is_usable(now) && accepts(engine);
        if !engine.role.prefills() || !usable || is_avoided(pool, waiting, id) {
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

/// The sort key of a placement, best first: when it is ready, then the free decode memory.
type Rank = (u64, std::cmp::Reverse<u64>);

/// Returns for each data centre the decode engine with the most free memory, if that is enough.
fn decode_candidates(
    now: Time,
    pool: &Pool,
    waiting: &Waiting,
    accepts: impl Fn(&Engine) -> bool,
) -> BTreeMap<DataCentreId, (u64, UpstreamId)> {
    let need = u64::from(waiting.tokens());
    let mut best: BTreeMap<DataCentreId, (u64, UpstreamId)> = BTreeMap::new();
    for (&id, engine) in pool.engines() {
        let free = engine.free_tokens(now);
        let fits = free >= need && engine.full_until <= now;
        let usable = engine.is_usable(now) && accepts(engine);
        if !engine.role.decodes() || !usable || !fits || is_avoided(pool, waiting, id) {
            continue;
        }
        let entry = best.entry(engine.data_centre).or_insert((free, id));
        if free > entry.0 {
            *entry = (free, id);
        }
    }
    best
}

/// Returns whether a request that has just failed on an engine should avoid it. This is the case if
/// each role of the engine is also served by another one that is not shutting down.
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

/// Estimates when the first token of a request that arrives now could be generated.
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

/// Estimates when the decode engines together have `need` tokens of memory free.
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
    // Even the end of all running streams would not free enough memory, so there is no estimate;
    // one second is assumed.
    now + Duration::from_secs(1)
}

/// Returns a refusal if the first token would arrive after it is due.
fn too_late(first_token: Time, due: Time) -> Option<Rejection> {
    if first_token <= due {
        return None;
    }
    let retry_after = first_token.since(due).max(MIN_RETRY_AFTER);
    Some(Rejection { refusal: Refusal::TooLate, retry_after })
}

/// Returns whether any decode engine is large enough for the request when it is empty.
fn fits_any_engine(pool: &Pool, waiting: &Waiting) -> bool {
    let need = u64::from(waiting.tokens());
    pool.engines().values().any(|it| it.role.decodes() && it.memory_tokens >= need)
}

/// Returns the time that an engine needs for a prompt, without the part that its cache is assumed
/// to hold.
fn prefill_time(engine: &Engine, ask: &Ask) -> Duration {
    let known = ask.prefix.iter().take_while(|it| engine.prefixes.contains_key(it)).count();
    // The digests cover 1, 2, 4, 8, … blocks.
    let blocks = if known == 0 { 0 } else { 1 << (known - 1).min(16) };
    let cached = (blocks * BLOCK_TOKENS).min(ask.prompt_tokens.saturating_sub(1));
    let tokens = f64::from(ask.prompt_tokens - cached);
    seconds(tokens * engine.slowness / engine.prefill_rate.max(1.0))
}

/// Returns the rate of the fastest usable prefill engine, in tokens per second.
fn best_rate(pool: &Pool, now: Time) -> f64 {
    pool.engines()
        .values()
        .filter(|it| it.role.prefills() && it.is_usable(now))
        .map(|it| it.prefill_rate / it.slowness)
        .fold(0.0, f64::max)
}

/// Returns the size of a request's prefill result, in bytes.
fn kv_bytes(site: &Site, waiting: &Waiting) -> u64 {
    let service: ServiceId = waiting.ask.shard.service;
    let per_token = site
        .service(service)
        .and_then(|it| site.model(it))
        .map_or(0, |model| model.kv_bytes_per_token);
    per_token * u64::from(waiting.ask.prompt_tokens)
}

/// Returns a link's rate, in bytes per second.
fn link_rate(site: &Site, link: (DataCentreId, DataCentreId)) -> u64 {
    let ends =
        |it: &crate::site::Link| link_id(DataCentreId::of(&it.from), DataCentreId::of(&it.to));
    let named = site.links.iter().find(|it| ends(it) == link);
    named.map_or(DEFAULT_LINK_BYTES_PER_S, |it| it.bytes_per_second.max(1))
}

/// Returns the id of a link, which is the same from both ends.
fn link_id(a: DataCentreId, b: DataCentreId) -> (DataCentreId, DataCentreId) {
    (a.min(b), a.max(b))
}
