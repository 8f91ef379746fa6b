//! What really happened, kept apart from the reducers, and the promises checked against it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hollyspoke::effect::CallerReply;
use hollyspoke::event::CallId;
use hollyspoke::outcome::ProblemKind;
use hollyspoke::time::Time;

/// One call of a caller, as the caller sees it.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The request that it belongs to: several calls may be sendings of one request.
    pub request: u64,
    /// The box that it was sent to.
    pub at: usize,
    /// When it was sent.
    pub sent: Time,
    /// Whether the request must run at most once.
    pub once: bool,
    /// The tokens received.
    pub tokens: u32,
    /// When the first token came.
    pub first: Option<Time>,
    /// The end, once it has come.
    pub end: Option<(Time, End)>,
    /// Whether the caller is gone, or its box is.
    pub gone: bool,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// A whole answer.
    Complete,
    /// Refused as not run.
    NotRun {
        /// When to come back.
        after: Option<Duration>,
    },
    /// Sent, and failed.
    Failed,
    /// Nobody can tell.
    Unknown,
    /// Taken over by a later call.
    Superseded,
    /// Passed on to another box.
    Relayed,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation(pub String);

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// All that happened.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// The calls.
    pub callers: BTreeMap<CallId, Caller>,
    /// How often each request ran at a plain service.
    pub runs: BTreeMap<u64, u32>,
    /// How many prefills each request had.
    pub prefills: BTreeMap<u64, u32>,
    /// Requests of which some call was refused as not run before any other call was made.
    pub refused: BTreeMap<u64, bool>,
    /// The promises broken so far.
    pub violations: Vec<Violation>,
}

impl Ledger {
    /// Notes that a request runs at a plain service.
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

    /// Notes that a request's prompt is computed.
    pub fn record_prefill(&mut self, request: u64) {
        *self.prefills.entry(request).or_default() += 1;
        self.check_refused(request);
    }

    /// Notes a reply to a caller.
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

    /// Notes that a request was refused as not run: if this is its only call, it must not have
    /// run and must never run.
    fn record_refusal(&mut self, request: u64) {
        let calls = self.callers.values().filter(|it| it.request == request).count();
        if calls == 1 {
            self.refused.insert(request, true);
            self.check_refused(request);
        }
    }

    /// Checks that a request refused as not run has not run.
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
