//! The front's handling of a generation request: ask, prefill, transfer, decode, and recovery when
//! one of them fails.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::effect::{CallerReply, Effect};
use crate::event::{Generate, Work};
use crate::front::Front;
use crate::handover::Ended;
use crate::key::{Incarnation, Ticket};
use crate::layout::ShardId;
use crate::message::{Ask, End, Grant, Message, Stage};
use crate::outcome::{ProblemKind, Refusal, Trace};
use crate::pool::GRANT_TTL;
use crate::rank;
use crate::request::{Id, Phase, Request};
use crate::retry;
use crate::site::{Kind, ServiceId, TenantId, UpstreamId};
use crate::time::Time;

/// How long to wait for an owner's response before the ask is sent again.
pub const ASK_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// How long a prefill may take before another attempt is made beside it.
pub const PREFILL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a transfer may take before another attempt is made beside it.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a stream may pause between tokens before another attempt is made beside it.
pub const TOKEN_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a partly delivered answer, or a request beside its silent attempt, may wait for new
/// engines.
pub const RESUME_TIMEOUT: Duration = Duration::from_secs(20);

/// How long to wait before an import is retried on a decode engine that was full.
pub const FULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often a front renews its grants at each owner.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

impl Front {
    /// Asks a shard's owner for engines, with a new ticket.
    pub(crate) fn ask(&mut self, cx: &mut Context<'_>, id: Id) {
        let ticket = self.new_ticket(cx, id);
        let Some(request) = self.requests.get_mut(id) else { return };
        let shard = choose_shard(cx, request.service, ticket);
        let Some(owner) = cx.owner(shard) else { return };
        request.enter(cx.now, Phase::Ask { shard, owner, sent: cx.now });
        let ask = build_ask(cx, request, shard, ticket);
        cx.send(owner, Message::Ask(ask));
    }

    /// Handles a grant and starts the prefill.
    pub fn granted(&mut self, cx: &mut Context<'_>, from: Incarnation, grant: Grant) {
        let ticket = grant.ticket;
        let waiting = self.tickets.get(&ticket).and_then(|&id| Some((id, self.requests.get(id)?)));
        let Some((id, request)) = waiting else {
            let end = End::Cancelled;
            cx.send(from, Message::Release { shard: grant.shard, ticket, end });
            return;
        };
        if request.ticket != Some(ticket) || !matches!(request.phase, Phase::Ask { .. }) {
            // A repeated grant: the first one is in use.
            return;
        }
        let address = cx.engine_address(grant.prefill);
        let Some(request) = self.requests.get_mut(id) else { return };
        let (Some(address), Work::Generate(work)) = (address, &request.arrival.work) else {
            // The owner has another version of the site: this box does not know the engine.
            let end = End::Cancelled;
            cx.send(from, Message::Release { shard: grant.shard, ticket, end });
            self.tickets.remove(&ticket);
            self.ask(cx, id);
            return;
        };
        let effect = Effect::Prefill {
            ticket,
            address,
            work: Box::new(work.clone()),
            class: request.arrival.class,
        };
        request.timing.queued.get_or_insert(cx.now.since(request.arrived));
        request.trace.mark_sent();
        request.enter(cx.now, Phase::Prefill(grant));
        cx.effect(effect);
    }

    /// Handles an owner's refusal.
    pub fn refused(
        &mut self,
        cx: &mut Context<'_>,
        ticket: Ticket,
        refusal: Refusal,
        retry_after: Duration,
    ) {
        let Some(&id) = self.tickets.get(&ticket) else { return };
        let Some(request) = self.requests.get(id) else { return };
        if request.ticket != Some(ticket) || !matches!(request.phase, Phase::Ask { .. }) {
            return;
        }
        self.tickets.remove(&ticket);
        if refusal == Refusal::Leaving {
            // The shard has another owner now, which is asked at once.
            self.ask(cx, id);
            return;
        }
        if self.return_to_kept(cx, id, retry_after) {
            return;
        }
        let detail = match refusal {
            Refusal::TooLate => "the first token would come after it is due",
            Refusal::Invalid => "no engine of the service can hold this request",
            Refusal::Limited
            | Refusal::Unavailable
            | Refusal::Leaving
            | Refusal::NotFound
            | Refusal::StoreAway => "no engine of the service can take the request now",
        };
        let after = (refusal != Refusal::Invalid).then_some(retry_after);
        self.give_up(cx, id, refusal, detail, after);
    }

    /// Starts the transfer after the prefill has ended.
    pub(crate) fn prefilled(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Phase::Prefill(grant) = &request.phase else { return };
        let grant = Grant { stage: Stage::Transfer, ..grant.clone() };
        request.timing.prefill = Some(cx.now.since(request.since));
        report_progress(cx, &grant);
        request.enter(cx.now, Phase::Transfer { grant, retry_at: None });
        self.import(cx, id);
    }

    /// Requests the decode engine to fetch the prefill result.
    fn import(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Phase::Transfer { grant, retry_at } = &mut request.phase else { return };
        *retry_at = None;
        let addresses = (cx.engine_address(grant.decode), cx.engine_address(grant.prefill));
        let (ticket, tokens) = (grant.ticket, grant.tokens);
        let (Some(address), Some(from)) = addresses else {
            self.failed(cx, id, "an engine was taken out of the site's file", Trace::clean());
            return;
        };
        cx.effect(Effect::Import { ticket, address, from, tokens });
    }

    /// Schedules another import after the decode engine reported that it is full.
    pub(crate) fn retry_import(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Phase::Transfer { retry_at, .. } = &mut request.phase else {
            self.failed(cx, id, "the engine has no room", Trace::clean());
            return;
        };
        *retry_at = Some(cx.now + FULL_RETRY_DELAY);
    }

    /// Starts the decode after the transfer has ended.
    pub(crate) fn imported(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Phase::Transfer { grant, .. } = &request.phase else { return };
        let grant = Grant { stage: Stage::Decode, ..grant.clone() };
        request.timing.transfer = Some(cx.now.since(request.since));
        report_progress(cx, &grant);
        let Work::Generate(work) = &request.arrival.work else { return };
        let work = Box::new(Generate { prompt: Arc::from(""), ..work.clone() });
        let (ticket, decode) = (grant.ticket, grant.decode);
        let from_seq = request.tokens.len() as u32;
        request.enter(cx.now, Phase::Decode { grant, last: cx.now });
        let Some(address) = cx.engine_address(decode) else {
            self.failed(cx, id, "an engine was taken out of the site's file", Trace::clean());
            return;
        };
        cx.effect(Effect::Decode { ticket, address, work, from_seq });
    }

    /// Delivers a token to the caller if it is the next one in sequence. One that was delivered
    /// before is no progress.
    pub(crate) fn token(&mut self, cx: &mut Context<'_>, id: Id, seq: u32, text: Arc<str>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let next = request.tokens.len() as u32;
        let Work::Generate(work) = &request.arrival.work else { return };
        let max_tokens = work.max_tokens;
        let Phase::Decode { last, .. } = &mut request.phase else { return };
        if seq < next {
            return;
        }
        if seq > next {
            self.failed(cx, id, "the engine left out a token", Trace::clean());
            return;
        }
        if seq >= max_tokens {
            self.failed(cx, id, "the engine exceeded the requested tokens", Trace::clean());
            return;
        }
        *last = cx.now;
        self.replace_kept(cx, id);
        let Some(request) = self.requests.get_mut(id) else { return };
        let arrived = request.arrived;
        request.timing.first_token.get_or_insert(cx.now.since(arrived));
        request.tokens.push(text.clone());
        if let Some(call) = request.caller {
            cx.reply(call, CallerReply::Token(text));
        }
    }

    /// Completes a request whose answer has been generated.
    pub(crate) fn finished(&mut self, cx: &mut Context<'_>, id: Id, reason: Arc<str>) {
        let Some(request) = self.requests.get(id) else { return };
        let Work::Generate(work) = &request.arrival.work else { return };
        if !matches!(request.phase, Phase::Decode { .. }) {
            return;
        }
        let tokens = request.tokens.clone();
        let count = tokens.len() as u32;
        let prompt_tokens = work.prompt_tokens;
        self.replace_kept(cx, id);
        let Some(request) = self.requests.get(id) else { return };
        if let Some(call) = request.caller {
            let reason = reason.clone();
            cx.reply(call, CallerReply::Finished { reason, prompt_tokens, tokens: count });
        }
        self.release(cx, id, End::Done { tokens: count });
        self.complete(cx, id, Ended::Generated { tokens, reason, prompt_tokens });
    }

    /// Handles the failure of an attempt: retries if allowed, else fails the request.
    pub(crate) fn failed(&mut self, cx: &mut Context<'_>, id: Id, detail: &str, trace: Trace) {
        let Some(request) = self.requests.get(id) else { return };
        if let Phase::Call { .. } = request.phase {
            self.call_failed(cx, id, detail, trace);
            return;
        }
        let Some(failed_engine) = request.phase.awaited_engine() else { return };
        if request.is_grant_doubtful {
            self.fail_attempt(cx, id, End::Cancelled, None, detail);
            return;
        }
        self.fail_attempt(cx, id, End::Failed(failed_engine), Some(failed_engine), detail);
    }

    /// Ends a failed attempt and retries if allowed.
    pub(crate) fn fail_attempt(
        &mut self,
        cx: &mut Context<'_>,
        id: Id,
        end: End,
        avoid: Option<UpstreamId>,
        detail: &str,
    ) {
        self.stop_attempt(cx, id, end);
        let Some(request) = self.requests.get_mut(id) else { return };
        request.avoid = avoid;
        let may_repeat = request.arrival.repeatable && request.attempts < retry::MAX_ATTEMPTS;
        // A partly delivered answer is completed regardless of the retry budget, since its caller
        // already has a part of it.
        let has_begun = !request.tokens.is_empty();
        if may_repeat && (has_begun || self.budget.spend()) {
            self.ask(cx, id);
            return;
        }
        if !self.return_to_kept(cx, id, Duration::ZERO) {
            self.fail(cx, id, ProblemKind::Failed, detail);
        }
    }

    /// Handles the owner's notice that a grant was revoked.
    pub fn fenced(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        let Some(&id) = self.tickets.get(&ticket) else { return };
        let Some(request) = self.requests.get(id) else { return };
        if request.ticket != Some(ticket) {
            self.stop_kept(cx, id, End::Cancelled);
        } else if request.grant().is_some() {
            self.fail_attempt(cx, id, End::Cancelled, None, "the grant was taken back");
        }
    }

    /// Continues after a pause. Where an owner may have revoked grants meanwhile, it is asked about
    /// those of running streams, whose engines hold their memory until it is revoked. Attempts that
    /// do not stream yet are stopped, since the memory that they would begin to use may be granted
    /// to others.
    pub fn recover_from_pause(&mut self, cx: &mut Context<'_>) {
        let mut doubtful_shards = BTreeSet::new();
        let mut stopped = Vec::new();
        let mut stopped_kept = Vec::new();
        for (id, request) in &mut self.requests {
            if let Some(kept) = &mut request.kept
                && let Some(shard) = kept.phase.grant().map(|it| it.shard)
                && may_be_revoked(cx, &self.renewals, shard)
            {
                if let Phase::Decode { .. } = kept.phase {
                    kept.is_grant_doubtful = true;
                    doubtful_shards.insert(shard);
                } else {
                    stopped_kept.push(id);
                }
            }
            let Some(shard) = request.grant().map(|it| it.shard) else { continue };
            if !may_be_revoked(cx, &self.renewals, shard) {
                continue;
            }
            if let Phase::Decode { .. } = request.phase {
                request.is_grant_doubtful = true;
                doubtful_shards.insert(shard);
            } else {
                stopped.push(id);
            }
        }
        for id in stopped_kept {
            self.stop_kept(cx, id, End::Cancelled);
        }
        for id in stopped {
            self.fail_attempt(cx, id, End::Cancelled, None, "the box was paused for too long");
        }
        for shard in doubtful_shards {
            let Some(owner) = cx.owner(shard) else { continue };
            self.declare(cx, owner, shard);
        }
        // Owners hear from this box before its silence can cost more grants.
        self.renewals.clear();
        // An ask that was answered during the pause has a grant in transit that may have been
        // revoked. A new ticket invalidates that grant.
        let asking: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.phase, Phase::Ask { .. }))
            .map(|(id, _)| id)
            .collect();
        for id in asking {
            self.stop_attempt(cx, id, End::Cancelled);
            self.ask(cx, id);
        }
    }

    /// Stops the current attempt: cancels its streams and releases its grant.
    pub(crate) fn stop_attempt(&mut self, cx: &mut Context<'_>, id: Id, end: End) {
        self.cancel_streams(cx, id);
        self.release(cx, id, end);
    }

    /// Cancels the current attempt's streams on its engines, or its call of an upstream.
    fn cancel_streams(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(ticket) = request.ticket else { return };
        match &request.phase {
            Phase::Claim | Phase::Ask { .. } => {}
            Phase::Call { upstream } => {
                let upstream = *upstream;
                self.plain.end(cx.now, cx.site, upstream, ticket, crate::plain::CallEnd::Dropped);
                cx.effect(Effect::Drop(ticket));
            }
            Phase::Prefill(grant) | Phase::Transfer { grant, .. } | Phase::Decode { grant, .. } => {
                let first = !matches!(request.phase, Phase::Decode { .. });
                if let (true, Work::Generate(work)) = (first, &request.arrival.work) {
                    request.timing.wasted_tokens += work.prompt_tokens;
                }
                let engines = [grant.prefill, grant.decode];
                for engine in engines {
                    let Some(address) = cx.engine_address(engine) else { continue };
                    cx.effect(Effect::Cancel { ticket, address });
                }
            }
        }
    }

    /// Releases the current attempt at the shard's owner.
    fn release(&mut self, cx: &mut Context<'_>, id: Id, end: End) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(ticket) = request.ticket.take() else { return };
        self.tickets.remove(&ticket);
        let (shard, owner) = match &request.phase {
            Phase::Claim | Phase::Call { .. } => return,
            Phase::Ask { shard, owner, .. } => (*shard, Some(*owner)),
            Phase::Prefill(grant) | Phase::Transfer { grant, .. } | Phase::Decode { grant, .. } => {
                (grant.shard, cx.owner(grant.shard))
            }
        };
        let Some(owner) = owner else { return };
        cx.send(owner, Message::Release { shard, ticket, end });
    }

    /// Runs the timeouts and retries of one request.
    pub(crate) fn check_due(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get(id) else { return };
        let now = cx.now;
        let spent = request.waited(now);
        match &request.phase {
            Phase::Claim => {}
            Phase::Ask { shard, owner, sent } => {
                let (shard, owner, sent) = (*shard, *owner, *sent);
                self.check_ask(cx, id, shard, owner, sent);
            }
            Phase::Prefill(_) if spent > PREFILL_TIMEOUT => {
                self.fall_silent(cx, id, spent, "the prefill took too long");
            }
            Phase::Transfer { grant, retry_at: Some(_) } if spent > TRANSFER_TIMEOUT => {
                let decode = grant.decode;
                let detail = "the transfer took too long";
                self.fail_attempt(cx, id, End::Full(decode), Some(decode), detail);
            }
            Phase::Transfer { .. } if spent > TRANSFER_TIMEOUT => {
                self.fall_silent(cx, id, spent, "the transfer took too long");
            }
            Phase::Transfer { retry_at: Some(at), .. } if *at <= now => self.import(cx, id),
            Phase::Decode { last, .. } if now.since(*last) > TOKEN_TIMEOUT => {
                let silence = now.since(*last);
                self.fall_silent(cx, id, silence, "the stream fell silent");
            }
            Phase::Prefill(_) | Phase::Transfer { .. } | Phase::Decode { .. } => {}
            Phase::Call { .. } => self.check_call(cx, id),
        }
    }

    /// Sends an ask again to the current owner, or refuses the request if its target has passed.
    fn check_ask(
        &mut self,
        cx: &mut Context<'_>,
        id: Id,
        shard: ShardId,
        asked: Incarnation,
        sent: Time,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let late = cx.now.since(request.arrived) > first_token_target(cx, request.service);
        if late && !is_resumed(request) {
            self.stop_attempt(cx, id, End::Cancelled);
            let detail = "the first token would come after it is due";
            let after = Some(Duration::from_millis(500));
            self.give_up(cx, id, Refusal::TooLate, detail, after);
            return;
        }
        let Some(owner) = cx.owner(shard) else { return };
        if owner == asked && cx.now.since(sent) < ASK_RETRY_INTERVAL {
            return;
        }
        let Some(ticket) = request.ticket else { return };
        if owner != asked {
            let end = End::Cancelled;
            cx.send(asked, Message::Release { shard, ticket, end });
        }
        request.phase = Phase::Ask { shard, owner, sent: cx.now };
        let ask = build_ask(cx, request, shard, ticket);
        cx.send(owner, Message::Ask(ask));
    }

    /// Sends a renewal to the owner of each shard when it is due or the owner has changed.
    pub(crate) fn renew(&mut self, cx: &mut Context<'_>) {
        let mut held: BTreeMap<ShardId, u32> = BTreeMap::new();
        for grant in self.requests.values().flat_map(Request::grants) {
            *held.entry(grant.shard).or_default() += 1;
        }
        for shard in cx.shards() {
            let Some(owner) = cx.owner(shard) else { continue };
            let count = held.get(&shard).copied().unwrap_or(0);
            let last_renewal = self.renewals.get(&shard).copied();
            let due = match last_renewal {
                Some((last, _)) if last != owner => true,
                Some((_, at)) => cx.now.since(at) >= RENEW_INTERVAL,
                None => true,
            };
            if due {
                self.renewals.insert(shard, (owner, cx.now));
                cx.send(owner, Message::Renew { shard, held: count });
            }
        }
    }

    /// Sends the list of the grants held in a shard to its owner.
    pub fn declare(&mut self, cx: &mut Context<'_>, to: Incarnation, shard: ShardId) {
        let held = self.requests.values().flat_map(Request::grants);
        let held: Vec<Grant> = held.filter(|it| it.shard == shard).cloned().collect();
        cx.send(to, Message::Declare { shard, held });
    }
}

/// Returns whether a shard's owner may have revoked this box's grants for its silence. One renewal
/// may have been lost.
fn may_be_revoked(
    cx: &Context<'_>,
    renewals: &BTreeMap<ShardId, (Incarnation, Time)>,
    shard: ShardId,
) -> bool {
    let Some(&(owner, renewed_at)) = renewals.get(&shard) else { return true };
    cx.owner(shard) != Some(owner) || cx.now.since(renewed_at) + RENEW_INTERVAL >= GRANT_TTL
}

/// Reports the stage of an attempt to the owner.
fn report_progress(cx: &mut Context<'_>, grant: &Grant) {
    let Some(owner) = cx.owner(grant.shard) else { return };
    let message =
        Message::Progress { shard: grant.shard, ticket: grant.ticket, stage: grant.stage };
    cx.send(owner, message);
}

/// Creates the ask for a request.
fn build_ask(cx: &Context<'_>, request: &Request, shard: ShardId, ticket: Ticket) -> Ask {
    let (prompt_tokens, max_tokens, prefix) = match &request.arrival.work {
        Work::Generate(work) => (work.prompt_tokens, work.max_tokens, sample_digests(&work.prefix)),
        Work::Call(_) => (0, 0, Vec::new()),
    };
    let target = first_token_target(cx, request.service);
    let spent = cx.now.since(request.arrived);
    let due_in = if is_resumed(request) { RESUME_TIMEOUT } else { target.saturating_sub(spent) };
    // A partly delivered answer is served before all others.
    let has_begun = !request.tokens.is_empty();
    let class = if has_begun { 0 } else { request.arrival.class.saturating_add(1) };
    Ask {
        shard,
        ticket,
        prompt_tokens,
        max_tokens,
        prefix,
        class,
        tenant: fair_share_tenant(cx, &request.arrival.tenant),
        due_in,
        avoid: request.avoid,
    }
}

/// Returns the tenant under which a request is queued. Tenants that are not in the site file share
/// one, so that a caller gains nothing by inventing names.
fn fair_share_tenant(cx: &Context<'_>, tenant: &str) -> TenantId {
    let is_named = cx.site.tenants.iter().any(|it| it.name == tenant);
    TenantId::of(if is_named { tenant } else { "" })
}

/// Returns the digests of the first 1, 2, 4, 8, … blocks: a few bytes from which the owner can
/// estimate how much of a prompt an engine has cached.
fn sample_digests(prefix: &[u64]) -> Vec<u32> {
    let sampled = prefix.iter().enumerate().filter(|(place, _)| (place + 1).is_power_of_two());
    sampled.map(|(_, digest)| *digest as u32).collect()
}

/// Returns whether a request has begun at engines, which it may be late to replace, but not too
/// late.
fn is_resumed(request: &Request) -> bool {
    !request.tokens.is_empty() || request.kept.is_some()
}

/// Returns a service's target for the first token, or the timeout of a plain service.
fn first_token_target(cx: &Context<'_>, service: ServiceId) -> Duration {
    match cx.site.service(service).map(|it| &it.kind) {
        Some(Kind::Engines { first_token, .. }) => *first_token,
        Some(Kind::Plain { timeout, .. }) => *timeout,
        None => Duration::ZERO,
    }
}

/// Chooses a shard for an attempt by hash, so that a retry may use another shard.
fn choose_shard(cx: &Context<'_>, service: ServiceId, ticket: Ticket) -> ShardId {
    let parts = u64::from(cx.parts(service));
    let part = rank::weight(ticket.front.0, ticket.number) % parts;
    ShardId { service, part: part as u16 }
}
