//! A record of what happened, independent of the reducers, and the guarantees checked against it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hollyspoke::effect::CallerReply;
use hollyspoke::event::CallId;
use hollyspoke::outcome::ProblemKind;
use hollyspoke::time::Time;

/// One call, as its caller observes it.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The request; several calls may be sends of one request.
    pub request: u64,
    /// The box to which the call was sent.
    pub at: usize,
    /// When the call was sent.
    pub sent: Time,
    /// Whether the request must run at most once.
    pub once: bool,
    /// The number of tokens received.
    pub tokens: u32,
    /// When the first token arrived.
    pub first: Option<Time>,
    /// When and how the call ended; absent while it is open.
    pub end: Option<(Time, End)>,
    /// Whether the caller has disconnected, or its box is dead.
    pub gone: bool,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The answer is complete.
    Complete,
    /// The request is refused as not run.
    NotRun {
        /// The delay after which to retry, if one was given.
        after: Option<Duration>,
    },
    /// The request was sent and failed.
    Failed,
    /// The outcome is unknown.
    Unknown,
    /// A later call superseded this one.
    Superseded,
    /// The request was relayed to another box.
    Relayed,
}

/// A description of a violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation(pub String);

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The record of all calls and runs.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// The calls by their number.
    pub callers: BTreeMap<CallId, Caller>,
    /// How often each request ran at a plain service.
    pub runs: BTreeMap<u64, u32>,
    /// How often each request was prefilled.
    pub prefills: BTreeMap<u64, u32>,
    /// The requests whose only call so far was refused as not run.
    pub refused: BTreeMap<u64, bool>,
    /// The violations so far.
    pub violations: Vec<Violation>,
}

impl Ledger {
    /// Records that a request runs at a plain service.
    pub fn record_run(&mut self, request: u64) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        let once = self.callers.values().any(|it| it.request == request && it.once);
        if once && *runs > 1 {
            self.violations
                .push(Violation(format!("request {request} must run once and ran twice")));
        }
        self.check_refused(request);
    }

    /// Records that a request is prefilled.
    pub fn record_prefill(&mut self, request: u64) {
        *self.prefills.entry(request).or_default() += 1;
        self.check_refused(request);
    }

    /// Records a reply to a caller.
    pub fn record_reply(&mut self, now: Time, call: CallId, reply: &CallerReply) {
        let Some(caller) = self.callers.get_mut(&call) else { return };
        if let Some((_, end)) = &caller.end {
            let violation =
                format!("call {} was answered after its end {end:?}: {reply:?}", call.0);
            self.violations.push(Violation(violation));
            return;
        }
        match reply {
            CallerReply::Token(text) => {
                let expected = format!("t{}", caller.tokens);
                if **text != *expected {
                    let violation = format!("call {} got {text} where {expected} was due", call.0);
                    self.violations.push(Violation(violation));
                }
                caller.tokens += 1;
                caller.first.get_or_insert(now);
            }
            CallerReply::Finished { tokens, .. } => {
                if *tokens != caller.tokens {
                    let violation =
                        format!("call {} got {} of {tokens} tokens", call.0, caller.tokens);
                    self.violations.push(Violation(violation));
                }
                caller.end = Some((now, End::Complete));
            }
            CallerReply::Answer(_) => caller.end = Some((now, End::Complete)),
            CallerReply::Relay { .. } => caller.end = Some((now, End::Relayed)),
            CallerReply::Problem(problem) => {
                let end = match &problem.kind {
                    ProblemKind::NotRun(..) => End::NotRun { after: problem.retry_after },
                    ProblemKind::Failed => End::Failed,
                    ProblemKind::Unknown => End::Unknown,
                    ProblemKind::Superseded => End::Superseded,
                };
                let not_run = matches!(end, End::NotRun { .. });
                let request = caller.request;
                caller.end = Some((now, end));
                if not_run {
                    self.record_refusal(request);
                }
            }
        }
    }

    /// Records that a request was refused as not run. If this is its only call, the request must
    /// not have run and must never run.
    fn record_refusal(&mut self, request: u64) {
        let calls = self.callers.values().filter(|it| it.request == request).count();
        if calls == 1 {
            self.refused.insert(request, true);
            self.check_refused(request);
        }
    }

    /// Checks that a request refused as not run has not run, unless it was sent again.
    fn check_refused(&mut self, request: u64) {
        if !self.refused.contains_key(&request) {
            return;
        }
        let calls = self.callers.values().filter(|it| it.request == request).count();
        let ran = self.runs.contains_key(&request) || self.prefills.contains_key(&request);
        if ran && calls == 1 {
            let violation = format!("request {request} ran and was refused as not run");
            self.violations.push(Violation(violation));
        }
    }
}
