//! Ends requests: with an answer, a problem, a refusal, or because their callers are gone.

use std::time::Duration;

use super::Front;
use crate::context::Context;
use crate::effect::{CallerReply, Effect, Record};
use crate::event::CallId;
use crate::handover::Ended;
use crate::message::End;
use crate::outcome::{Problem, ProblemKind, Refusal, Trace};
use crate::request::{Id, Phase};
use crate::site::Kind;

impl Front {
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

/// Refuses a request of which nothing was sent.
pub(super) fn refuse(
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
pub(super) fn problem(
    cx: &mut Context<'_>,
    call: CallId,
    kind: ProblemKind,
    detail: &str,
    retry_after: Option<Duration>,
) {
    let problem = Problem { kind, detail: detail.to_owned(), retry_after };
    cx.reply(call, CallerReply::Problem(problem));
}
