//! Outcomes of requests, with types that ensure that "not run" is only claimed with proof.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request may have reached an upstream.
///
/// The value starts as [`Trace::clean`] and can only change to sent. A [`NotRun`] is only created
/// from a clean trace, so that "not run" can't be claimed for a request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Whether sending has begun.
    sent: bool,
}

impl Trace {
    /// Creates the trace of a request of which nothing was sent.
    pub fn clean() -> Trace {
        Trace { sent: false }
    }

    /// Records that sending is about to begin.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Returns whether sending has begun.
    pub fn is_sent(self) -> bool {
        self.sent
    }

    /// Returns the proof that the request was not run, if nothing was sent.
    pub fn not_run(self) -> Option<NotRun> {
        if self.sent { None } else { Some(NotRun(())) }
    }
}

/// The proof that nothing of a request was sent upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun(());

/// The reason why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What is known about the request.
    pub kind: ProblemKind,
    /// A description for people.
    pub detail: String,
    /// The time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// What is known about a request without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProblemKind {
    /// It was refused before anything was sent upstream.
    NotRun(NotRun, Refusal),
    /// It was sent, and it failed.
    Failed,
    /// It may have run; it will not run again under this key.
    Unknown,
    /// A later connection with the same key receives the answer.
    Superseded,
}

/// Why a request was refused before anything was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Refusal {
    /// Its first token would be late.
    TooLate,
    /// Its tenant is over its limit.
    Limited,
    /// No upstream can accept it now.
    Unavailable,
    /// The box is shutting down or cut off.
    Leaving,
    /// The request can't be served at all in this form.
    Invalid,
    /// The model or path is not in the site file.
    NotFound,
    /// The request needs the platform's store, which is unreachable.
    StoreAway,
}

impl Refusal {
    /// Returns the last part of the problem's type URN, which is stable.
    pub fn slug(self) -> &'static str {
        match self {
            Refusal::TooLate => "too-late",
            Refusal::Limited => "limited",
            Refusal::Unavailable => "unavailable",
            Refusal::Leaving => "leaving",
            Refusal::Invalid => "invalid",
            Refusal::NotFound => "not-found",
            Refusal::StoreAway => "store-away",
        }
    }
}

impl Problem {
    /// Returns the last part of the problem's type URN, which is stable.
    pub fn slug(&self) -> &'static str {
        match &self.kind {
            ProblemKind::NotRun(_, refusal) => refusal.slug(),
            ProblemKind::Failed => "failed",
            ProblemKind::Unknown => "outcome-unknown",
            ProblemKind::Superseded => "superseded",
        }
    }
}

/// The complete answer of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are forwarded.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}
