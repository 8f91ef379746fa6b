//! The front's handling of a call of a plain service.

use std::time::Duration;

use crate::context::Context;
use crate::effect::{CallerReply, Effect};
use crate::event::Work;
use crate::front::Front;
use crate::handover::Ended;
use crate::outcome::Answer;
use crate::outcome::{ProblemKind, Refusal, Trace};
use crate::plain::CallEnd;
use crate::request::{Id, Phase};
use crate::retry;
use crate::site::Kind;

/// The time added to a call's timeout before the front stops waiting for the driver's response.
const TIMEOUT_GRACE: Duration = Duration::from_secs(1);

impl Front {
    /// Calls an upstream, or refuses the request if none has free capacity.
    pub(crate) fn call(&mut self, cx: &mut Context<'_>, id: Id) {
        let ticket = self.new_ticket(cx, id);
        let Some(request) = self.requests.get_mut(id) else { return };
        let local = cx.members.my_data_centre();
        let service = request.service;
        let avoid = request.avoid;
        let chosen = self.plain.begin(cx.now, cx.site, service, local, ticket, avoid);
        let found = chosen.and_then(|it| cx.site.upstream(it));
        let (Some(upstream), Work::Call(call)) = (found, &request.arrival.work) else {
            self.tickets.remove(&ticket);
            let detail = "no upstream of the service can take the call now";
            let after = Some(Duration::from_secs(1));
            self.give_up(cx, id, Refusal::Unavailable, detail, after);
            return;
        };
        let timeout = match cx.site.service(service).map(|it| &it.kind) {
            Some(Kind::Plain { timeout, .. }) => *timeout,
            Some(Kind::Engines { .. }) | None => TIMEOUT_GRACE,
        };
        let effect = Effect::Call {
            ticket,
            key: request.key,
            address: upstream.address.clone(),
            call: Box::new(call.clone()),
            timeout,
            repeatable: request.arrival.repeatable,
        };
        let queued = cx.now.since(request.arrived);
        request.timing.queued.get_or_insert(queued);
        request.enter(cx.now, Phase::Call { upstream: upstream.id() });
        cx.effect(effect);
    }

    /// Delivers an upstream's answer to the caller.
    pub(crate) fn answered(&mut self, cx: &mut Context<'_>, id: Id, answer: Answer) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Phase::Call { upstream } = request.phase else { return };
        request.trace.mark_sent();
        if let Some(ticket) = request.ticket.take() {
            self.tickets.remove(&ticket);
            self.plain.end(cx.now, cx.site, upstream, ticket, CallEnd::Answered);
        }
        if let Some(call) = request.caller {
            cx.reply(call, CallerReply::Answer(answer.clone()));
        }
        self.complete(cx, id, Ended::Answered(answer));
    }

    /// Handles a failed call. A call of which nothing was sent may be sent to another upstream; one
    /// that may have been sent is retried only if it is repeatable.
    pub(crate) fn call_failed(&mut self, cx: &mut Context<'_>, id: Id, detail: &str, trace: Trace) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Phase::Call { upstream } = request.phase else { return };
        if trace.is_sent() {
            request.trace.mark_sent();
        }
        if let Some(ticket) = request.ticket.take() {
            self.tickets.remove(&ticket);
            self.plain.end(cx.now, cx.site, upstream, ticket, CallEnd::Failed);
        }
        request.avoid = Some(upstream);
        let sent = request.trace.is_sent();
        let may_repeat = (request.arrival.repeatable || !sent) && request.caller.is_some();
        let attempts_left = request.attempts < retry::MAX_ATTEMPTS;
        if may_repeat && attempts_left && self.budget.spend() {
            self.call(cx, id);
            return;
        }
        if !sent {
            let after = Some(Duration::from_secs(1));
            self.give_up(cx, id, Refusal::Unavailable, detail, after);
            return;
        }
        let kind =
            if request.arrival.repeatable { ProblemKind::Failed } else { ProblemKind::Unknown };
        self.fail(cx, id, kind, detail);
    }

    /// Fails a call for which the driver has sent no response in time.
    pub(crate) fn check_call(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get(id) else { return };
        let timeout = match cx.site.service(request.service).map(|it| &it.kind) {
            Some(Kind::Plain { timeout, .. }) => *timeout,
            Some(Kind::Engines { .. }) | None => TIMEOUT_GRACE,
        };
        if request.waited(cx.now) > timeout + TIMEOUT_GRACE {
            let mut trace = Trace::clean();
            trace.mark_sent();
            self.call_failed(cx, id, "the upstream did not answer in time", trace);
        }
    }
}
