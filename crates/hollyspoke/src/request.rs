//! A request at the box that serves its caller.

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
    /// The request's key.
    pub key: Key,
    /// A digest of the request's content.
    pub digest: u64,
    /// The request as received from the caller.
    pub arrival: Arrival,
    /// The service that the request names.
    pub service: ServiceId,
    /// The caller's connection, while the caller is connected.
    pub caller: Option<CallId>,
    /// When the request arrived.
    pub arrived: Time,
    /// The phase that the request is in.
    pub phase: Phase,
    /// When the request entered the phase.
    pub since: Time,
    /// How long this box was paused during the phase.
    pub paused: Duration,
    /// The current attempt.
    pub ticket: Option<Ticket>,
    /// Whether the attempt's grant may have been revoked during a pause of this box. An engine that
    /// then breaks off its stream has not failed.
    pub is_grant_doubtful: bool,
    /// The number of attempts so far.
    pub attempts: u32,
    /// Whether any part of the request may have reached an upstream.
    pub trace: Trace,
    /// The tokens generated so far.
    pub tokens: Vec<Arc<str>>,
    /// The engine or upstream that failed last, to be avoided by the next attempt.
    pub avoid: Option<UpstreamId>,
    /// Times and counts for the record.
    pub timing: Timing,
}

impl Request {
    /// Enters a phase.
    pub fn enter(&mut self, now: Time, phase: Phase) {
        self.phase = phase;
        self.since = now;
        self.paused = Duration::ZERO;
    }

    /// Returns for how long others have had time to act in the phase: pauses of this box do not
    /// count.
    pub fn waited(&self, now: Time) -> Duration {
        now.since(self.since).saturating_sub(self.paused)
    }

    /// Extends the timeouts of the phase by a time in which this box itself was paused.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        self.paused += pause;
        if let Phase::Decode { last, .. } = &mut self.phase {
            *last = *last + pause;
        }
    }

    /// Returns the grant under which the request runs, if it has one.
    pub fn grant(&self) -> Option<&Grant> {
        match &self.phase {
            Phase::Prefill(grant) | Phase::Transfer { grant, .. } | Phase::Decode { grant, .. } => {
                Some(grant)
            }
            Phase::Claim | Phase::Ask { .. } | Phase::Call { .. } => None,
        }
    }
}

/// The phase of a request.
#[derive(Debug, Clone)]
pub enum Phase {
    /// The caller's own key is being bound in the store.
    Claim,
    /// A shard's owner has been asked for engines.
    Ask {
        /// The shard.
        shard: ShardId,
        /// The owner asked.
        owner: Incarnation,
        /// When the ask was last sent.
        sent: Time,
    },
    /// The prefill is running.
    Prefill(Grant),
    /// The prefill result is being transferred.
    Transfer {
        /// The grant.
        grant: Grant,
        /// When to retry, after the decode engine was full.
        retry_at: Option<Time>,
    },
    /// Tokens are being generated.
    Decode {
        /// The grant.
        grant: Grant,
        /// When the last token arrived, or the phase began.
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
    /// The time from arrival to the first grant.
    pub queued: Option<Duration>,
    /// The time from grant to prefill result, in the last attempt.
    pub prefill: Option<Duration>,
    /// The time from prefill result to import, in the last attempt.
    pub transfer: Option<Duration>,
    /// The time from arrival to the first token.
    pub first_token: Option<Duration>,
    /// Prompt tokens whose prefill was discarded.
    pub wasted_tokens: u32,
}
