//! The front: accepts callers' requests, tracks them, and delivers each answer once.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;
use xxhash_rust::xxh3::Xxh3;

use crate::claim::{Claim, Claims, Settled};
use crate::context::Context;
use crate::effect::{CallerReply, Effect, Record};
use crate::event::{Arrival, CallId, Reply, Work};
use crate::handover::Ended;
use crate::home::{Home, Verdict};
use crate::key::{Key, Ticket};
use crate::layout::ShardId;
use crate::message::End;
use crate::outcome::{Problem, ProblemKind, Refusal, Trace};
use crate::plain::Plain;
use crate::quota::{Limit, Quota, Tolerance, Visibility};
use crate::request::{Id, Phase, Request, Timing};
use crate::retry::Budget;
use crate::site::{Kind, ServiceId, Site, TenantId};
use crate::time::Time;

/// The interval whose worth of requests a tenant may send at once.
const BURST_INTERVAL: Duration = Duration::from_secs(1);

/// The retry delay given to a caller by a box that accepts no new requests.
const CLOSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The retry delay given to a caller while the store does not answer.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The retry delay given to a caller by a box that lacks descriptors, ports or memory.
const EXHAUSTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The problem detail for a tenant that is over its limit.
const OVER_LIMIT_DETAIL: &str = "the tenant is over its limit of requests a second";

/// A request that has just arrived, with its caller's connection.
#[derive(Debug)]
struct Incoming {
    /// The caller's connection.
    call: CallId,
    /// The request.
    arrival: Arrival,
    /// A digest of the request's content.
    digest: u64,
}

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

    /// Handles a caller's request. `closed` is the reason why the box accepts no new requests, if
    /// it does not.
    pub fn handle_arrival(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        mut arrival: Arrival,
        closed: Option<&str>,
    ) {
        arrival.repeatable = arrival.repeatable && may_repeat(cx, &arrival.work);
        let incoming = Incoming { call, digest: digest(&arrival), arrival };
        if let Some(key) = incoming.arrival.key {
            let relayed = incoming.arrival.relayed;
            let verdict = self.home.verdict(key, incoming.digest, relayed, cx.members);
            self.apply_verdict(cx, incoming, key, verdict, closed);
            return;
        }
        let key = self.home.mint();
        match incoming.arrival.claim.clone() {
            Some(own_key) => self.claim(cx, incoming, key, &own_key, closed),
            None => self.apply_verdict(cx, incoming, key, Verdict::Run, closed),
        }
    }

    /// Holds a request until its caller's own key is bound to a key of the router.
    fn claim(
        &mut self,
        cx: &mut Context<'_>,
        incoming: Incoming,
        key: Key,
        own_key: &str,
        closed: Option<&str>,
    ) {
        if let Some(reason) = closed {
            refuse(cx, incoming.call, Refusal::Leaving, reason, Some(CLOSED_RETRY_AFTER));
            return;
        }
        let Some(service) = self.service(cx, &incoming) else { return };
        let claim = Claim::of(&incoming.arrival.tenant, own_key);
        let may_replace = incoming.arrival.repeatable;
        let id = self.insert(cx.now, incoming, key, service);
        self.claims.submit(cx, id, claim, key, may_replace);
    }

    /// Carries out the verdict on a request.
    fn apply_verdict(
        &mut self,
        cx: &mut Context<'_>,
        incoming: Incoming,
        key: Key,
        verdict: Verdict,
        closed: Option<&str>,
    ) {
        let call = incoming.call;
        let repeatable = incoming.arrival.repeatable;
        match verdict {
            Verdict::Run => self.run(cx, incoming, key, closed),
            Verdict::Join(id) => self.join(cx, call, id),
            Verdict::Replay(ended) => replay(cx, call, ended),
            Verdict::Relay(home) => {
                let address = cx.members.entry(home).map(|it| it.caller_address.clone());
                let address = address.unwrap_or_default();
                cx.reply(call, CallerReply::Relay { address, key, repeatable });
            }
            Verdict::Unknown if repeatable && incoming.arrival.claim.is_none() => {
                let fresh = self.home.mint();
                self.run(cx, incoming, fresh, closed);
            }
            Verdict::Unknown => {
                let detail = "the box that had this request is gone; it may have run, and it \
                              won't be run again under this key";
                problem(cx, call, ProblemKind::Unknown, detail, None);
            }
            Verdict::Invalid(reason) => refuse(cx, call, Refusal::Invalid, reason, None),
        }
    }

    /// Runs a request whose home is this box.
    fn run(&mut self, cx: &mut Context<'_>, incoming: Incoming, key: Key, closed: Option<&str>) {
        let (call, digest) = (incoming.call, incoming.digest);
        if let Some(reason) = closed {
            refuse(cx, call, Refusal::Leaving, reason, Some(CLOSED_RETRY_AFTER));
            return;
        }
        let Some(service) = self.service(cx, &incoming) else { return };
        if let Err(after) = self.take_quota(cx, &incoming.arrival.tenant) {
            refuse(cx, call, Refusal::Limited, OVER_LIMIT_DETAIL, Some(after));
            return;
        }
        let id = self.insert(cx.now, incoming, key, service);
        self.home.run(key, digest, id);
        self.budget.earn();
        self.begin(cx, id);
    }

    /// Applies the tenants' limits of a new site.
    pub fn set_limits(&mut self, now: Time, site: &Site) {
        let limited = site.tenants.iter().filter_map(|it| {
            let rate = it.requests_per_second?;
            let limit = Limit { rate, burst: rate * BURST_INTERVAL.as_secs_f64() };
            Some((TenantId::of(&it.name), limit))
        });
        self.quota.set_limits(now, limited.collect());
    }

    /// Charges one request to this box's part of a tenant's limit, or returns the retry delay.
    ///
    /// Each box has an equal part of the limit. Callers are spread over the boxes by hash, so the
    /// parts together come close to the full limit.
    fn take_quota(&mut self, cx: &Context<'_>, tenant: &str) -> Result<(), Duration> {
        let boxes = cx.members.live().count();
        self.quota.set_visibility(cx.now, Visibility::isolated(boxes));
        self.quota.take(cx.now, TenantId::of(tenant), 1)
    }

    /// Continues requests whose claims are settled.
    pub fn settle_claims(&mut self, cx: &mut Context<'_>, settled: Vec<(Id, Settled)>) {
        for (id, settled) in settled {
            let Some(request) = self.requests.get(id) else { continue };
            match settled {
                Settled::StoreUnreachable => {
                    let detail =
                        "the platform's store does not answer, so the key can't be claimed";
                    self.give_up(cx, id, Refusal::StoreAway, detail, Some(STORE_RETRY_AFTER));
                }
                Settled::Bound(key) if key == request.key => self.begin_claimed(cx, id),
                Settled::Bound(key) => self.follow_claim(cx, id, key),
            }
        }
    }

    /// Runs a request whose claim is bound to this box's key.
    fn begin_claimed(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get(id) else { return };
        let (key, digest) = (request.key, request.digest);
        if self.home.verdict(key, digest, true, cx.members) != Verdict::Run {
            // Another box read the claim and relayed its caller's retry before this box had read
            // it: the key is already running.
            self.follow_claim(cx, id, key);
            return;
        }
        let tenant = request.arrival.tenant.clone();
        if let Err(after) = self.take_quota(cx, &tenant) {
            self.give_up(cx, id, Refusal::Limited, OVER_LIMIT_DETAIL, Some(after));
            return;
        }
        self.home.run(key, digest, id);
        self.budget.earn();
        self.begin(cx, id);
    }

    /// Handles a request as if it had named the key to which its claim is bound.
    fn follow_claim(&mut self, cx: &mut Context<'_>, id: Id, key: Key) {
        let Some(request) = self.requests.remove(id) else { return };
        let Some(call) = request.caller else { return };
        self.calls.remove(&call);
        let incoming = Incoming { call, arrival: request.arrival, digest: request.digest };
        let relayed = incoming.arrival.relayed;
        let verdict = self.home.verdict(key, incoming.digest, relayed, cx.members);
        self.apply_verdict(cx, incoming, key, verdict, None);
    }

    /// Handles a caller's disconnect.
    pub fn handle_disconnect(&mut self, cx: &mut Context<'_>, call: CallId) {
        let Some(id) = self.calls.remove(&call) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        request.caller = None;
        let must_finish =
            matches!(request.phase, Phase::Call { .. }) && !request.arrival.repeatable;
        if must_finish {
            // The upstream may be processing it; its answer is kept for the caller's retry.
            return;
        }
        let not_run = request.trace.not_run().is_some() || request.arrival.repeatable;
        let key = request.key;
        self.record(cx, id, "cancelled");
        self.stop_attempt(cx, id, End::Cancelled);
        self.stop_kept(cx, id, End::Cancelled);
        self.requests.remove(id);
        if not_run {
            self.home.forget(key, id);
            return;
        }
        let detail = "the caller closed its connection and the request was stopped".to_owned();
        let problem = Problem { kind: ProblemKind::Failed, detail, retry_after: None };
        self.home.end(key, id, Ended::Problem(problem));
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

    /// Completes a request with an answer.
    pub(crate) fn complete(&mut self, cx: &mut Context<'_>, id: Id, ended: Ended) {
        self.record(cx, id, "done");
        let Some(request) = self.requests.remove(id) else { return };
        if let Some(call) = request.caller {
            self.calls.remove(&call);
        }
        self.home.end(request.key, id, ended);
    }

    /// Fails a request of which something may have been sent.
    pub(crate) fn fail(&mut self, cx: &mut Context<'_>, id: Id, kind: ProblemKind, detail: &str) {
        let problem = Problem { kind, detail: detail.to_owned(), retry_after: None };
        self.record(cx, id, problem.slug());
        let Some(request) = self.requests.remove(id) else { return };
        if let Some(call) = request.caller {
            self.calls.remove(&call);
            cx.reply(call, CallerReply::Problem(problem.clone()));
        }
        self.home.end(request.key, id, Ended::Problem(problem));
    }

    /// Refuses a request in the arena: as not run if that is provable, else as failed.
    pub(crate) fn give_up(
        &mut self,
        cx: &mut Context<'_>,
        id: Id,
        refusal: Refusal,
        detail: &str,
        retry_after: Option<Duration>,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(proof) = request.trace.not_run() else {
            self.fail(cx, id, ProblemKind::Failed, detail);
            return;
        };
        let kind = ProblemKind::NotRun(proof, refusal);
        let problem = Problem { kind, detail: detail.to_owned(), retry_after };
        self.record(cx, id, problem.slug());
        let Some(request) = self.requests.remove(id) else { return };
        self.claims.forget(id);
        self.home.forget(request.key, id);
        if let Some(call) = request.caller {
            self.calls.remove(&call);
            cx.reply(call, CallerReply::Problem(problem));
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

    /// Attaches a later connection to a request in progress. The earlier one is closed, so that the
    /// answer is delivered once.
    fn join(&mut self, cx: &mut Context<'_>, call: CallId, id: Id) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some(earlier) = request.caller.replace(call) {
            self.calls.remove(&earlier);
            let detail = "a later connection with the same key took the answer over";
            problem(cx, earlier, ProblemKind::Superseded, detail, None);
        }
        self.calls.insert(call, id);
        for text in &request.tokens {
            cx.reply(call, CallerReply::Token(text.clone()));
        }
    }

    /// Adds a request to the arena.
    fn insert(&mut self, now: Time, incoming: Incoming, key: Key, service: ServiceId) -> Id {
        let Incoming { call, arrival, digest } = incoming;
        let id = self.requests.insert(Request {
            key,
            digest,
            arrival,
            service,
            caller: Some(call),
            arrived: now,
            phase: Phase::Claim,
            since: now,
            paused: Duration::ZERO,
            ticket: None,
            kept: None,
            replace_after: None,
            is_grant_doubtful: false,
            attempts: 0,
            trace: Trace::clean(),
            tokens: Vec::new(),
            avoid: None,
            timing: Timing::default(),
        });
        self.calls.insert(call, id);
        id
    }

    /// Returns the service that a request names, or refuses the request.
    fn service(&self, cx: &mut Context<'_>, incoming: &Incoming) -> Option<ServiceId> {
        let call = incoming.call;
        let (found, named) = match &incoming.arrival.work {
            Work::Generate(work) => (cx.site.service_of_model(&work.model), &work.model),
            Work::Call(work) => (cx.site.service_of_path(&work.path), &work.path),
        };
        if let Some(service) = found {
            return Some(service.id());
        }
        if cx.site.name.is_empty() {
            let detail = "no configuration is in force here yet";
            refuse(cx, call, Refusal::Unavailable, detail, Some(Duration::from_secs(1)));
            return None;
        }
        let detail = format!("nothing here serves `{named}`");
        refuse(cx, call, Refusal::NotFound, &detail, None);
        None
    }

    /// Emits a request's record.
    fn record(&mut self, cx: &mut Context<'_>, id: Id, outcome: &str) {
        let Some(request) = self.requests.get(id) else { return };
        let total = cx.now.since(request.arrived);
        let tokens = request.tokens.len() as u32;
        let first_token = request.timing.first_token;
        let between_tokens = first_token
            .filter(|_| tokens > 1)
            .map(|first| total.saturating_sub(first) / (tokens - 1));
        let service = cx.site.service(request.service);
        let in_time = match service.map(|it| &it.kind) {
            Some(Kind::Engines {
                first_token: first_target,
                between_tokens: between_target,
                ..
            }) => {
                first_token.is_some_and(|it| it <= *first_target)
                    && between_tokens.is_none_or(|it| it <= *between_target)
            }
            Some(Kind::Plain { timeout, .. }) => total <= *timeout,
            None => false,
        };
        let record = Record {
            key: request.key,
            service: service.map(|it| it.name.clone()).unwrap_or_default(),
            tenant: request.arrival.tenant.clone(),
            class: request.arrival.class,
            outcome: outcome.to_owned(),
            attempts: request.attempts,
            queued: request.timing.queued.unwrap_or(total),
            prefill: request.timing.prefill,
            transfer: request.timing.transfer,
            first_token,
            between_tokens,
            total,
            tokens,
            wasted_tokens: request.timing.wasted_tokens,
            good: outcome == "done" && in_time,
        };
        cx.effect(Effect::Record(Box::new(record)));
    }
}

/// Sends the answer of a completed request again.
fn replay(cx: &mut Context<'_>, call: CallId, ended: Ended) {
    match ended {
        Ended::Generated { tokens, reason, prompt_tokens } => {
            let count = tokens.len() as u32;
            for text in tokens {
                cx.reply(call, CallerReply::Token(text));
            }
            cx.reply(call, CallerReply::Finished { reason, prompt_tokens, tokens: count });
        }
        Ended::Answered(answer) => cx.reply(call, CallerReply::Answer(answer)),
        Ended::Problem(problem) => cx.reply(call, CallerReply::Problem(problem)),
        Ended::Dropped => {
            problem(cx, call, ProblemKind::Unknown, "the answer is no longer kept", None);
        }
    }
}

/// Refuses a request of which nothing was sent.
fn refuse(
    cx: &mut Context<'_>,
    call: CallId,
    refusal: Refusal,
    detail: &str,
    retry_after: Option<Duration>,
) {
    let Some(proof) = Trace::clean().not_run() else { return };
    problem(cx, call, ProblemKind::NotRun(proof, refusal), detail, retry_after);
}

/// Sends a problem to a caller.
fn problem(
    cx: &mut Context<'_>,
    call: CallId,
    kind: ProblemKind,
    detail: &str,
    retry_after: Option<Duration>,
) {
    let problem = Problem { kind, detail: detail.to_owned(), retry_after };
    cx.reply(call, CallerReply::Problem(problem));
}

/// Returns whether work of this kind may run more than once, unless its caller forbids it.
fn may_repeat(cx: &Context<'_>, work: &Work) -> bool {
    let Work::Call(call) = work else { return true };
    let safe = matches!(call.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    let service = cx.site.service_of_path(&call.path).map(|it| &it.kind);
    safe || matches!(service, Some(Kind::Plain { repeatable: true, .. }))
}

/// Returns a digest of a request's content, so that one key can't be used for two requests.
fn digest(arrival: &Arrival) -> u64 {
    let mut hasher = Xxh3::new();
    let mut part = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    match &arrival.work {
        Work::Generate(work) => {
            part(work.model.as_bytes());
            part(work.prompt.as_bytes());
            part(&work.max_tokens.to_le_bytes());
        }
        Work::Call(work) => {
            part(work.method.as_bytes());
            part(work.path.as_bytes());
            part(&work.body);
        }
    }
    part(arrival.tenant.as_bytes());
    hasher.digest()
}
