//! Attempts whose engines are silent. Silence does not prove that an engine has failed: the attempt
//! goes on beside another one, and the first of them that brings what comes next is kept.

use std::time::Duration;

use crate::context::Context;
use crate::event::Reply;
use crate::front::Front;
use crate::key::Ticket;
use crate::message::{End, Stage};
use crate::outcome::Trace;
use crate::request::{Id, Phase, Request};
use crate::retry;

/// How long an attempt that nothing may replace may be silent before its caller is told that the
/// request failed. Engines that go on do so within seconds.
pub const MAX_SILENCE: Duration = Duration::from_secs(20);

/// The number of replacements of silent attempts that a box seeks at once. A silence of a whole
/// pool must not flood the owner of its engines with asks that it can't grant.
const MAX_SOUGHT: usize = 100;

/// How long to wait before a replacement is sought again after one was refused or failed.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(1);

impl Front {
    /// Handles an attempt whose engine has been silent for too long: another one is made beside it,
    /// if the request may be repeated; else the attempt goes on alone.
    pub(crate) fn fall_silent(
        &mut self,
        cx: &mut Context<'_>,
        id: Id,
        silence: Duration,
        detail: &str,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let engine = request.phase.awaited_engine();
        if request.kept.is_some() {
            // Both engines are silent, so nothing points to either of them.
            self.fail_attempt(cx, id, End::Cancelled, engine, detail);
            return;
        }
        let has_begun = !request.tokens.is_empty();
        let may_repeat = request.arrival.repeatable && request.attempts < retry::MAX_ATTEMPTS;
        let is_due = request.replace_after.is_none_or(|it| it <= cx.now);
        let may_seek = is_due && self.sought < MAX_SOUGHT;
        if may_repeat && may_seek && (has_begun || self.budget.spend()) {
            self.sought += 1;
            request.avoid = engine;
            request.set_aside(cx.now);
            self.seek_replacement(cx, id);
            return;
        }
        if silence > MAX_SILENCE {
            self.failed(cx, id, detail, Trace::clean());
        }
    }

    /// Asks for engines beside the attempt that was set aside.
    fn seek_replacement(&mut self, cx: &mut Context<'_>, id: Id) {
        self.ask(cx, id);
        let is_asked = |it: &Request| matches!(it.phase, Phase::Ask { .. });
        if !self.requests.get(id).is_some_and(is_asked) {
            // Nobody owns engines of the service.
            self.stop_attempt(cx, id, End::Cancelled);
            self.return_to_kept(cx, id, Duration::ZERO);
        }
    }

    /// Counts the replacements of silent attempts that are asked for.
    pub(crate) fn count_sought(&mut self) {
        let is_sought = |it: &&Request| it.kept.is_some() && matches!(it.phase, Phase::Ask { .. });
        self.sought = self.requests.values().filter(is_sought).count();
    }

    /// Returns whether a reply is handled as one to the current attempt. An attempt that was set
    /// aside becomes the current one with its next sign of life, unless its replacement is further
    /// on.
    pub(crate) fn select_attempt(
        &mut self,
        cx: &mut Context<'_>,
        id: Id,
        ticket: Ticket,
        reply: &Reply,
    ) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        if request.ticket == Some(ticket) {
            return true;
        }
        let next = request.tokens.len() as u32;
        let Some(reached) = stage_after(reply, next) else {
            let is_own = matches!(reply, Reply::Exhausted { .. });
            let end = if is_own { End::Cancelled } else { failure(request) };
            self.stop_kept(cx, id, end);
            return false;
        };
        if request.grant().is_some_and(|it| it.stage > reached) {
            self.stop_kept(cx, id, End::Cancelled);
            return false;
        }
        self.stop_attempt(cx, id, End::Cancelled);
        let Some(request) = self.requests.get_mut(id) else { return false };
        request.take_back();
        true
    }

    /// Ends the silent attempt once the current one has brought what comes next. Its engine is
    /// blamed if another one spoke in its place.
    pub(crate) fn replace_kept(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(kept) = &request.kept else { return };
        let silent = kept.phase.awaited_engine();
        let speaks = request.grant().is_some_and(|it| silent == Some(it.decode));
        let end = if speaks { End::Cancelled } else { failure(request) };
        self.stop_kept(cx, id, end);
    }

    /// Goes on with the silent attempt alone, after its replacement was refused or has failed.
    /// Returns whether there is one.
    pub(crate) fn return_to_kept(
        &mut self,
        cx: &mut Context<'_>,
        id: Id,
        retry_after: Duration,
    ) -> bool {
        let Some(request) = self.requests.get_mut(id) else { return false };
        if request.kept.is_none() {
            return false;
        }
        if let Phase::Ask { .. } = request.phase {
            // An attempt that got no engines has cost nothing.
            request.attempts -= 1;
        }
        request.take_back();
        request.replace_after = Some(cx.now + retry_after.max(REPLACEMENT_INTERVAL));
        true
    }

    /// Stops the attempt that was set aside: cancels its streams and releases its grant.
    pub(crate) fn stop_kept(&mut self, cx: &mut Context<'_>, id: Id, end: End) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(kept) = request.kept.take() else { return };
        let current = std::mem::replace(&mut request.phase, kept.phase);
        let ticket = request.ticket.replace(kept.ticket);
        self.stop_attempt(cx, id, end);
        if let Some(request) = self.requests.get_mut(id) {
            request.phase = current;
            request.ticket = ticket;
        }
    }
}

/// Returns the outcome of the attempt that was set aside, if its engine has failed.
fn failure(request: &Request) -> End {
    let kept = request.kept.as_ref().filter(|it| !it.is_grant_doubtful);
    kept.and_then(|it| it.phase.awaited_engine()).map_or(End::Cancelled, End::Failed)
}

/// Returns the stage that an attempt has reached with a reply of its engine, if it can go on.
fn stage_after(reply: &Reply, next_token: u32) -> Option<Stage> {
    match reply {
        Reply::Prefilled | Reply::Full => Some(Stage::Transfer),
        Reply::Imported | Reply::Finished { .. } => Some(Stage::Decode),
        Reply::Token { seq, .. } => (*seq == next_token).then_some(Stage::Decode),
        Reply::Answered(_) | Reply::Failed { .. } | Reply::Exhausted { .. } => None,
    }
}
