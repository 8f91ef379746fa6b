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
    /// A silent attempt that goes on beside the current one, until one of them has brought what
    /// comes next.
    pub kept: Option<Kept>,
    /// Until when no replacement of a silent attempt is sought, since the last one was refused.
    pub replace_after: Option<Time>,
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
        self.phase.extend_silence(pause);
        if let Some(kept) = &mut self.kept {
            kept.paused += pause;
            kept.phase.extend_silence(pause);
        }
    }

    /// Returns the grant of the current attempt, if it has one.
    pub fn grant(&self) -> Option<&Grant> {
        self.phase.grant()
    }

    /// Returns the grants of all attempts that go on.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.grant().into_iter().chain(self.kept.iter().filter_map(|it| it.phase.grant()))
    }

    /// Sets the current attempt aside; the request has no current attempt then.
    pub fn set_aside(&mut self, now: Time) {
        let Some(ticket) = self.ticket.take() else { return };
        let phase = std::mem::replace(&mut self.phase, Phase::Claim);
        let (since, paused) = (self.since, self.paused);
        let is_grant_doubtful = self.is_grant_doubtful;
        self.enter(now, Phase::Claim);
        self.is_grant_doubtful = false;
        self.kept = Some(Kept { ticket, phase, since, paused, is_grant_doubtful });
    }

    /// Makes the attempt that was set aside the current one, in place of one that has ended.
    pub fn take_back(&mut self) {
        let Some(kept) = self.kept.take() else { return };
        self.ticket = Some(kept.ticket);
        self.phase = kept.phase;
        self.since = kept.since;
        self.paused = kept.paused;
        self.is_grant_doubtful = kept.is_grant_doubtful;
    }
}

/// A silent attempt that goes on beside the current one.
#[derive(Debug, Clone)]
pub struct Kept {
    /// Its ticket.
    pub ticket: Ticket,
    /// The phase that it is in, which has a grant.
    pub phase: Phase,
    /// When it entered the phase.
    pub since: Time,
    /// How long this box was paused during the phase.
    pub paused: Duration,
    /// Whether its grant may have been revoked during a pause of this box.
    pub is_grant_doubtful: bool,
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

impl Phase {
    /// Returns the grant under which an attempt in this phase runs, if it has one.
    pub fn grant(&self) -> Option<&Grant> {
        match self {
            Phase::Prefill(grant) | Phase::Transfer { grant, .. } | Phase::Decode { grant, .. } => {
                Some(grant)
            }
            Phase::Claim | Phase::Ask { .. } | Phase::Call { .. } => None,
        }
    }

    /// Returns the engine whose work an attempt in this phase waits for.
    pub fn awaited_engine(&self) -> Option<UpstreamId> {
        match self {
            Phase::Prefill(grant) => Some(grant.prefill),
            Phase::Transfer { grant, .. } | Phase::Decode { grant, .. } => Some(grant.decode),
            Phase::Claim | Phase::Ask { .. } | Phase::Call { .. } => None,
        }
    }

    /// Extends the time that a stream may be silent.
    fn extend_silence(&mut self, pause: Duration) {
        if let Phase::Decode { last, .. } = self {
            *last = *last + pause;
        }
    }
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
