//! One request at the box that holds its caller.

use std::sync::Arc;
use std::time::Duration;

use slotmap::new_key_type;

use crate::event::{Arrival, CallId};
use crate::key::{Incarnation, Key, Ticket};
use crate::layout::ShardId;
use crate::message::Grant;
use crate::outcome::Trace;
use crate::site::{ServiceId, UpstreamId};
use crate::time::Time;

new_key_type! {
    /// The key of a request in the front's arena.
    pub struct Id;
}

/// A request in progress.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its key.
    pub key: Key,
    /// A digest of what is asked for.
    pub digest: u64,
    /// What came from the caller.
    pub arrival: Arrival,
    /// The service that serves it.
    pub service: ServiceId,
    /// The caller's connection, while the caller is there.
    pub caller: Option<CallId>,
    /// When it came.
    pub arrived: Time,
    /// How far it has come.
    pub phase: Phase,
    /// When it entered the phase.
    pub since: Time,
    /// The attempt under way.
    pub ticket: Option<Ticket>,
    /// Attempts begun.
    pub attempts: u32,
    /// Whether anything of it may have reached an upstream.
    pub trace: Trace,
    /// The tokens of the answer so far.
    pub tokens: Vec<Arc<str>>,
    /// The engine or upstream that failed last.
    pub avoid: Option<UpstreamId>,
    /// Times and counts for the record.
    pub timing: Timing,
}

impl Request {
    /// Enters a phase.
    pub fn enter(&mut self, now: Time, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }

    /// Gives the grant under which it runs, if it has one.
    pub fn grant(&self) -> Option<&Grant> {
        match &self.phase {
            Phase::Prefill(grant) | Phase::Transfer { grant, .. } | Phase::Decode { grant, .. } => {
                Some(grant)
            }
            Phase::Claim | Phase::Ask { .. } | Phase::Call { .. } => None,
        }
    }
}

/// How far a request has come.
#[derive(Debug, Clone)]
pub enum Phase {
    /// Its caller's own key is being bound in the store.
    Claim,
    /// A shard's owner has been asked for engines.
    Ask {
        /// The shard.
        shard: ShardId,
        /// The owner asked.
        owner: Incarnation,
        /// When the question was last sent.
        sent: Time,
    },
    /// The prompt is being computed.
    Prefill(Grant),
    /// The prefill result is crossing.
    Transfer {
        /// The grant.
        grant: Grant,
        /// When to try again, after the decode engine had no room.
        retry_at: Option<Time>,
    },
    /// Tokens are coming.
    Decode {
        /// The grant.
        grant: Grant,
        /// When the last token came, or the phase began.
        last: Time,
    },
    /// A plain upstream has been called.
    Call {
        /// The upstream.
        upstream: UpstreamId,
    },
}

/// Times and counts of a request for its record.
#[derive(Debug, Clone, Default)]
pub struct Timing {
    /// From arrival to the first grant.
    pub queued: Option<Duration>,
    /// From grant to prefill result, in the last attempt.
    pub prefill: Option<Duration>,
    /// From prefill result to import, in the last attempt.
    pub transfer: Option<Duration>,
    /// From arrival to the first token.
    pub first_token: Option<Duration>,
    /// Prompt tokens computed whose result was thrown away.
    pub wasted_tokens: u32,
}
