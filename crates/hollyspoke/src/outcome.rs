//! How a request ended, with types that tell what may be claimed about it.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request may have reached an upstream.
///
/// The value starts as [`Trace::clean`] and can only move to sent. A [`NotRun`] is made from a
/// clean trace alone, so that "not run" can't be said of a request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Whether a sending was begun.
    sent: bool,
}

impl Trace {
    /// Makes the trace of a request of which nothing was sent.
    pub fn clean() -> Trace {
        Trace { sent: false }
    }

    /// Marks that a sending is about to begin.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Tells whether a sending was begun.
    pub fn is_sent(self) -> bool {
        self.sent
    }

    /// Gives the proof that the request was not run, if nothing was ever sent.
    pub fn not_run(self) -> Option<NotRun> {
        if self.sent { None } else { Some(NotRun(())) }
    }
}

/// The proof that nothing of a request was sent upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun(());

/// Why a request got no answer of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What may be claimed about the request.
    pub kind: ProblemKind,
    /// The sentence for a person.
    pub detail: String,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

/// What may be claimed about a request without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProblemKind {
    /// It was refused before anything was sent.
    NotRun(NotRun, Refusal),
    /// It was sent, and an upstream said or showed that it failed.
    Failed,
    /// It may have run; it won't be run again under this key.
    Unknown,
    /// A later call with the same key took the answer over.
    Superseded,
}

/// Why a request was refused before anything was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Refusal {
    /// Its first token would come too late.
    TooLate,
    /// Its tenant is over its limit.
    Limited,
    /// No upstream can take it now.
    Unavailable,
    /// The box is leaving or cut off.
    Leaving,
    /// The request can't be served at all as it stands.
    Invalid,
    /// The model or path is not in the site's file.
    NotFound,
    /// The platform's store is away and the request needs it.
    StoreAway,
}

impl Refusal {
    /// Gives the last part of the problem's stable type.
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
    /// Gives the last part of the problem's stable type.
    pub fn slug(&self) -> &'static str {
        match &self.kind {
            ProblemKind::NotRun(_, refusal) => refusal.slug(),
            ProblemKind::Failed => "failed",
            ProblemKind::Unknown => "outcome-unknown",
            ProblemKind::Superseded => "superseded",
        }
    }
}

/// A plain service's whole answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}
