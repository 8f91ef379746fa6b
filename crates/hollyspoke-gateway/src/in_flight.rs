//! One request from its arrival to its end, and the calls made for it.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::outcome::Trace;
use hollyspoke::time::Time;

use crate::customer::{Caller, Customer};
use crate::effect::{Prompt, Source, Task};
use crate::engine::{Engine, EngineKey};
use crate::message::Load;
use crate::quarantine::Progress;
use crate::region::{ANYWHERE, Homes};
use crate::request::{CallKey, Request, RequestKey};
use crate::route::{Route, RouteKind, Service};
use crate::signature::Signature;
use crate::terms::Restriction;

/// The most times that engines may turn one request away before it is given up.
const MAX_REJECTIONS: u32 = 3;

/// The share of a safe request's time-out after which silence is taken for a failure.
const SILENCE_TIMEOUT_SHARE: f64 = 0.5;

/// The share of a handle's life for which the prompt is counted on.
const HANDLE_TTL_SHARE: f64 = 0.7;

/// The pauses between events, in longest allowed ones, after which a stream is taken for broken.
const SILENCE_GAP_COUNT: u32 = 4;

/// The least silence after which a stream is taken for broken.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// One request.
#[derive(Debug, Clone)]
pub struct InFlight {
    /// The request.
    pub request: Request,
    /// What makes it the same as another one.
    pub signature: Signature,
    /// Its route, as it was at the arrival.
    pub route: Arc<Route>,
    /// Its service.
    pub service: Service,
    /// The customer that sent it, if it is known.
    pub customer: Option<Arc<Customer>>,
    /// On whose behalf it is sent to engines.
    pub caller: Caller,
    /// The units that were taken from the customer's limit for it.
    pub units: u64,
    /// The version of the configuration under which its key was last looked up.
    pub checked_version: u64,
    /// When it arrived.
    pub arrived: Time,
    /// When it has to have its final answer.
    pub ends: Time,
    /// The call under way.
    pub call: Option<CallKey>,
    /// When silence of the call under way is taken for a failure.
    pub silence_deadline: Option<Time>,
    /// Whether it may have run.
    pub trace: Trace,
    /// The engines that it was sent to.
    pub tried: Vec<EngineKey>,
    /// The engines that have run it, or may have.
    pub runs: u32,
    /// Arrivals at engines that count for the budget.
    pub arrivals: u32,
    /// Times that an engine turned it away.
    pub rejections: u32,
    /// Calls made for it.
    pub call_count: u32,
    /// Whether the reading of its prompt for another engine has failed.
    pub prefill_failed: bool,
    /// Where its prompt lies, read and not yet taken.
    pub source: Option<Source>,
    /// Whether an engine has turned the prompt at the source away.
    pub handle_rejected: bool,
    /// When the prompt was read that lies at the source.
    pub prefilled_at: Time,
    /// The memory reserved in the ledger at the engine that is to generate.
    pub reserved: Option<(EngineKey, Load)>,
    /// Set while the request waits for room at an engine: until when it may wait.
    pub waits_until: Option<Time>,
    /// Whether it waits for a permit alone, and not for room.
    pub waits_for_permit: bool,
    /// The question for a permit that it waits for.
    pub permit_request: Option<PermitRequest>,
    /// The questions for permits since the last call.
    pub permit_request_count: u32,
    /// The engines that it could not be sent to by what they have said.
    pub exclusions: Vec<Exclusion>,
    /// Whether the client has come back with it after a refusal.
    pub is_client_retry: bool,
    /// Whether the head of an answer was given to the client.
    pub has_begun: bool,
    /// The last event given to the client.
    pub last_event: Option<u64>,
}

/// An engine that a request could not be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exclusion {
    /// The engine.
    pub engine: EngineKey,
    /// Why not.
    pub reason: Restriction,
}

/// A question for a permit to go to an engine in need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRequest {
    /// The engine.
    pub engine: EngineKey,
    /// Until when the answer, or the permit, is waited for.
    pub until: Time,
    /// Whether a permit was issued that can be used later.
    pub is_issued: bool,
}

/// One call to an engine.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request.
    pub request: RequestKey,
    /// The engine.
    pub engine: Arc<Engine>,
    /// What the engine was asked to do.
    pub task: Task,
    /// How far the request's case was when it was sent.
    pub stand: Progress,
    /// Whether a repeat was taken for it from the service's budget.
    pub is_retry: bool,
    /// When the call was sent.
    pub sent: Time,
    /// The work that it is at the engine.
    pub load: Load,
    /// The tokens that the engine reads before and with this prompt.
    pub queued_tokens: u64,
    /// When the last event of a stream came.
    pub last_event_at: Time,
    /// Whether the head of a stream has come.
    pub has_begun: bool,
}

impl InFlight {
    /// Tells whether the request may run at one more engine.
    pub fn may_run_again(&self) -> bool {
        let has_attempts = self.runs < self.route.max_attempts.max(1);
        let may_repeat = self.runs == 0 || self.route.is_idempotent();
        has_attempts && may_repeat && self.rejections <= MAX_REJECTIONS
    }

    /// Notes an engine that the request could not be sent to.
    pub fn exclude(&mut self, kept: Exclusion) {
        if !self.exclusions.contains(&kept) {
            self.exclusions.push(kept);
        }
    }

    /// Gives the request's rank, 0 for the highest: its customer's, else its route's.
    pub fn priority(&self) -> u8 {
        let customer = self.customer.as_ref();
        customer.and_then(|it| it.priority).unwrap_or(self.route.priority)
    }

    /// Gives where the request may be served: by its route, and by its customer.
    pub fn homes(&self) -> [&Homes; 2] {
        let customer = self.customer.as_ref().map_or(&ANYWHERE, |it| &it.homes);
        [&self.route.homes, customer]
    }

    /// Gives the event after which a stream goes on: the last passed, else the client's own.
    pub fn resume_point(&self) -> Option<u64> {
        self.last_event.or(self.request.last_event)
    }

    /// Gives the silence after which a call is taken for failed, if it may be repeated then.
    pub fn silence_timeout(&self, task: &Task, expected: Duration) -> Option<Duration> {
        match task {
            Task::Prefill => Some((expected * 3).max(self.route.target_latency)),
            _ if !self.route.is_idempotent() => None,
            Task::Plain => Some(self.route.timeout.mul_f64(SILENCE_TIMEOUT_SHARE)),
            Task::Decode(_) => Some((expected * 3).max(self.route.target_latency)),
        }
    }

    /// Gives until when the prompt at the source can be counted on.
    pub fn handle_end(&self) -> Time {
        let life = self.service.staged.map_or(Duration::ZERO, |it| it.handle_ttl);
        self.prefilled_at + life.mul_f64(HANDLE_TTL_SHARE)
    }

    /// Gives the silence after an event after which a stream is taken for broken.
    pub fn gap_timeout(&self) -> Option<Duration> {
        if !self.route.is_idempotent() || self.route.kind != RouteKind::Stream {
            return None;
        }
        let gap = self.route.max_gap.unwrap_or(MIN_SILENCE);
        Some((gap * SILENCE_GAP_COUNT).max(MIN_SILENCE))
    }
}

impl Call {
    /// Tells whether an answer that begins now is late for the engine's own slowness: a plain one
    /// after the route's target, a stream after the target or the end of a pause too long.
    pub fn is_slow(&self, now: Time, in_flight: &InFlight) -> bool {
        match self.task {
            Task::Prefill => false,
            _ if self.has_begun => {
                let longest = in_flight.route.max_gap;
                longest.is_some_and(|it| now.since(self.last_event_at) > it)
            }
            Task::Plain | Task::Decode(_) => now.since(self.sent) > in_flight.route.target_latency,
        }
    }

    /// Tells whether the engine may run the request through this call.
    pub fn runs_request(&self) -> bool {
        self.task != Task::Prefill
    }
}

/// Gives a task's name for the log.
pub fn task_name(task: &Task) -> &'static str {
    match task {
        Task::Plain => "plain",
        Task::Prefill => "read",
        Task::Decode(Prompt::Prefilled(_)) => "generate",
        Task::Decode(Prompt::NotPrefilled) => "read and generate",
        Task::Decode(Prompt::Cached) => "generate from own memory",
        Task::Decode(Prompt::CachedAt(_)) => "generate from another's memory",
    }
}
