//! Decides what becomes of a request that has just arrived.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::Front;
use super::end::{problem, refuse};
use super::limit::OVER_LIMIT_DETAIL;
use crate::context::Context;
use crate::effect::CallerReply;
use crate::event::{Arrival, CallId, Work};
use crate::handover::Ended;
use crate::home::Verdict;
use crate::key::Key;
use crate::outcome::{ProblemKind, Refusal, Trace};
use crate::request::{Id, Phase, Request, Timing};
use crate::site::{Kind, ServiceId};
use crate::time::Time;

/// The retry delay given to a caller by a box that accepts no new requests.
pub(super) const CLOSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that has just arrived, with its caller's connection.
#[derive(Debug)]
pub(super) struct Incoming {
    /// The caller's connection.
    pub(super) call: CallId,
    /// The request.
    pub(super) arrival: Arrival,
    /// A digest of the request's content.
    pub(super) digest: u64,
}

impl Front {
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

    /// Carries out the verdict on a request.
    pub(super) fn apply_verdict(
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
    pub(super) fn insert(
        &mut self,
        now: Time,
        incoming: Incoming,
        key: Key,
        service: ServiceId,
    ) -> Id {
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
    pub(super) fn service(&self, cx: &mut Context<'_>, incoming: &Incoming) -> Option<ServiceId> {
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
