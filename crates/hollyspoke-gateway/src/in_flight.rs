//! An in-flight request, from its arrival to its end, and the calls made for it.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::outcome::Trace;
use hollyspoke::time::Time;

use crate::class::Phase;
use crate::customer::{Caller, Customer};
use crate::effect::{Prompt, Source, Task};
use crate::engine::{Engine, EngineKey};
use crate::framing::Framing;
use crate::message::Load;
use crate::migration::Progress;
use crate::numbering::Numbering;
use crate::origin::Origin;
use crate::proxy;
use crate::quarantine;
use crate::region::{ALL_REGIONS, AllowedRegions};
use crate::request::{CallKey, Request, RequestKey};
use crate::reservation;
use crate::route::{Route, RouteKind, Service};
use crate::signature::Signature;
use crate::silence::{Standing, Timeouts};
use crate::terms::Restriction;

/// The number of rejections by engines after which a request is given up.
const MAX_REJECTIONS: u32 = 3;

/// The share of an idempotent request's timeout after which a silent call may be replaced.
const SILENCE_TIMEOUT_SHARE: f64 = 0.5;

/// The share of a handle's TTL during which the prefilled prompt is expected to exist.
const HANDLE_TTL_SHARE: f64 = 0.7;

/// The silence after which the call of a stream may be replaced, in multiples of the longest allowed
/// gap.
const SILENCE_GAP_COUNT: u32 = 4;

/// The shortest time that the client of a stream waits for its next event.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// The same in multiples of the longest allowed gap.
const PATIENCE_GAP_COUNT: u32 = 8;

/// The same in multiples of the route's target.
const PATIENCE_TARGET_COUNT: u32 = 4;

/// The shortest silence after which the call of a stream may be replaced.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// An in-flight request.
#[derive(Debug, Clone)]
pub struct InFlight {
    /// The request as it arrived.
    pub request: Request,
    /// The signature, equal for requests with the same content from the same customer.
    pub signature: Signature,
    /// The signatures of the parts of its prompt that other requests may share, in the order of their
    /// names.
    pub parts: Box<[Signature]>,
    /// The route that was in force when the request arrived.
    pub route: Arc<Route>,
    /// The service that the request is routed to.
    pub service: Service,
    /// The customer that sent the request, if known.
    pub customer: Option<Arc<Customer>>,
    /// The identity on whose behalf calls are sent to engines.
    pub caller: Caller,
    /// The units charged to the customer's limit.
    pub units: u64,
    /// The configuration version against which the client's key was last checked.
    pub checked_version: u64,
    /// The arrival time.
    pub arrived: Time,
    /// The deadline for the final answer.
    pub deadline: Time,
    /// The active call, if any.
    pub call: Option<CallKey>,
    /// The silent calls that are kept beside the one that is to replace them, the newest last.
    pub kept: Vec<CallKey>,
    /// The time at which the active call is checked for silence, if it may be replaced.
    pub silence_check_at: Option<Time>,
    /// If set, the request is only sent to engines from which something has come since.
    pub heard_since: Option<Time>,
    /// Whether the request has run or may have run.
    pub trace: Trace,
    /// Its progress at other boxes.
    pub proxy: proxy::Progress,
    /// The engines that did not reserve memory when asked, and those that the request was sent to,
    /// in order.
    pub tried: Vec<EngineKey>,
    /// The number of engines that have run the request or may have.
    pub run_count: u32,
    /// The number of calls that reached engines and count towards the retry budget.
    pub arrivals: u32,
    /// The number of rejections by engines.
    pub rejections: u32,
    /// The number of calls made for the request.
    pub call_count: u32,
    /// The number of those whose connection could not be opened.
    pub unsent_count: u32,
    /// Whether prefilling at a separate engine has failed.
    pub prefill_failed: bool,
    /// The location of the prefilled prompt, until a decode engine has imported it.
    pub source: Option<Source>,
    /// Whether an engine has rejected the handle of the prefilled prompt.
    pub handle_rejected: bool,
    /// When the prompt at `source` was prefilled.
    pub prefilled_at: Time,
    /// The memory reserved in the ledger at the engine chosen for decoding.
    pub reserved: Option<(EngineKey, Load)>,
    /// The progress of reserving memory at that engine itself.
    pub reservation: reservation::Progress,
    /// The time until which the request may wait for free capacity; absent if it isn't waiting.
    pub waits_until: Option<Time>,
    /// Whether the request may only take memory in pieces that are too small for others.
    pub uses_remainders: bool,
    /// Whether the request waits only for a permit, and not for free capacity.
    pub waits_for_permit: bool,
    /// The pending permit request, if any.
    pub permit_request: Option<PermitRequest>,
    /// The number of permit requests since the last call.
    pub permit_request_count: u32,
    /// The engines that the request couldn't be sent to because of their own terms.
    pub exclusions: Vec<Exclusion>,
    /// Whether the client has retried the request after a refusal.
    pub is_client_retry: bool,
    /// Whether the request waits longer for capacity than others.
    pub is_patient: bool,
    /// When the request was first sent to an engine.
    pub started: Option<Time>,
    /// The phase in which the request counts towards the load of its traffic class.
    pub phase: Option<Phase>,
    /// How the last failed call failed.
    pub last_failure: Option<&'static str>,
    /// Whether the client has received the head of an answer.
    pub has_begun: bool,
    /// What marks the end of the answer that the client gets, once it has begun.
    pub framing: Framing,
    /// The id of the last event forwarded to the client.
    pub last_event: Option<u64>,
    /// Which software version the stream's events must come from.
    pub origin: Origin,
    /// Whether an event has been forwarded, which binds the stream to its version.
    pub is_origin_bound: bool,
}

/// An engine that a request couldn't be sent to, with the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exclusion {
    /// The engine.
    pub engine: EngineKey,
    /// The term of the engine that forbids it.
    pub reason: Restriction,
}

/// A request for a permit to call a rate-limited engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRequest {
    /// The engine.
    pub engine: EngineKey,
    /// The time until which the reply, or the start of the permit, is awaited.
    pub until: Time,
    /// Whether a permit was issued that becomes valid later.
    pub is_issued: bool,
}

/// A call to an engine.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request that the call is made for.
    pub request: RequestKey,
    /// The engine.
    pub engine: Arc<Engine>,
    /// The operation requested of the engine.
    pub task: Task,
    /// The state of the request's quarantine case when the call was sent.
    pub case_state: quarantine::Progress,
    /// The same of the cases of the prompt's parts, for those that have one.
    pub part_states: Vec<(Signature, quarantine::Progress)>,
    /// Whether the engine was likely to crash when the call was sent: one more crash would hold the
    /// request or a part of its prompt back, or a held part is tried at the engine's version.
    pub is_trial: bool,
    /// Whether the call took a token from the service's retry budget.
    pub is_retry: bool,
    /// When the call was sent.
    pub sent: Time,
    /// The reservation that the call names, if any.
    pub reservation: Option<Arc<str>>,
    /// The load that the call adds to the engine.
    pub load: Load,
    /// The prompt tokens that the engine prefills for this call, including those queued before it.
    pub queued_tokens: u64,
    /// The calls at the engine when the call was sent.
    pub calls_ahead: u32,
    /// When the last event of the stream arrived.
    pub last_event_at: Time,
    /// How long this box was paused during the call.
    pub paused: Duration,
    /// The silences that the call is given, if it may be replaced at all.
    pub timeouts: Option<Timeouts>,
    /// What was known of the engine when the call was last found to be silent.
    pub found_silent: Option<Standing>,
    /// Whether the client holds up the events of the stream.
    pub is_held_up: bool,
    /// Whether the run that the engine may have begun is counted.
    pub is_counted: bool,
    /// When the head of a stream arrived; none before.
    pub begun_at: Option<Time>,
    /// When the first event was forwarded.
    pub first_event_at: Option<Time>,
    /// Whether the engine has written events for longer than a harmful request lets it live.
    pub has_outlived_onset: bool,
    /// The events that the call has forwarded.
    pub progress: Progress,
}

impl InFlight {
    /// Returns whether the request may run at another engine.
    pub fn may_run_again(&self) -> bool {
        let has_attempts = self.run_count < self.route.max_attempts.max(1);
        let may_repeat = self.run_count == 0 || self.route.is_idempotent();
        has_attempts && may_repeat && self.rejections <= MAX_REJECTIONS
    }

    /// Records an engine that the request couldn't be sent to, without duplicates.
    pub fn exclude(&mut self, exclusion: Exclusion) {
        if !self.exclusions.contains(&exclusion) {
            self.exclusions.push(exclusion);
        }
    }

    /// Returns the priority, 0 being the highest: the customer's if set, otherwise the route's.
    pub fn priority(&self) -> u8 {
        let customer = self.customer.as_ref();
        customer.and_then(|it| it.priority).unwrap_or(self.route.priority)
    }

    /// Returns the capacity that the request needs: tokens of an engine's memory at a service with
    /// stages, otherwise one call.
    pub fn capacity_units(&self) -> u32 {
        match self.service.staged {
            Some(_) => u32::try_from(self.request.mean_held_tokens()).unwrap_or(u32::MAX / 4),
            None => 1,
        }
    }

    /// Returns the regions where the request may be served, by its route and by its customer.
    pub fn allowed_regions(&self) -> [&AllowedRegions; 2] {
        let customer = self.customer.as_ref().map_or(&ALL_REGIONS, |it| &it.allowed_regions);
        [&self.route.allowed_regions, customer]
    }

    /// Returns the event id after which a stream resumes: the last forwarded, or the client's own.
    pub fn resume_point(&self) -> Option<u64> {
        self.last_event.or(self.request.last_event)
    }

    /// Returns how the events that the client does not have yet are numbered.
    pub fn numbering(&self) -> Numbering {
        match self.route.kind {
            RouteKind::Stream => Numbering::Rising { after: self.resume_point() },
            RouteKind::Safe | RouteKind::Unsafe => Numbering::Free,
        }
    }

    /// Returns the silences that a call is given before its answer begins, if the request may be sent
    /// again.
    pub fn start_timeouts(&self, task: &Task, expected: Duration) -> Option<Timeouts> {
        let timeout = self.start_timeout(task, expected)?;
        Some(Timeouts::new(timeout, self.patience(), self.route.target_latency))
    }

    /// Returns the silence after which a call may be replaced whose answer has not begun.
    fn start_timeout(&self, task: &Task, expected: Duration) -> Option<Duration> {
        match task {
            Task::Prefill => Some((expected * 3).max(self.route.target_latency)),
            _ if !self.route.is_idempotent() => None,
            Task::Plain => Some(self.route.timeout.mul_f64(SILENCE_TIMEOUT_SHARE)),
            Task::Decode(_) => Some((expected * 3).max(self.route.target_latency)),
        }
    }

    /// Returns the time until which the prompt at `source` is expected to exist.
    pub fn handle_end(&self) -> Time {
        let ttl = self.service.staged.map_or(Duration::ZERO, |it| it.handle_ttl);
        self.prefilled_at + ttl.mul_f64(HANDLE_TTL_SHARE)
    }

    /// Returns the silences that the call of a stream is given between events.
    pub fn gap_timeouts(&self) -> Option<Timeouts> {
        if !self.route.is_idempotent() || self.route.kind != RouteKind::Stream {
            return None;
        }
        let gap = self.route.max_gap.unwrap_or(MIN_SILENCE);
        let timeout = (gap * SILENCE_GAP_COUNT).max(MIN_SILENCE);
        Some(Timeouts::new(timeout, self.patience(), self.route.target_latency))
    }

    /// Returns how long the client waits for the next event or for the answer before it leaves.
    fn patience(&self) -> Duration {
        if self.route.kind != RouteKind::Stream {
            return self.deadline.since(self.arrived);
        }
        let gaps = self.route.max_gap.map_or(Duration::ZERO, |it| it * PATIENCE_GAP_COUNT);
        (self.route.target_latency * PATIENCE_TARGET_COUNT).max(gaps).max(MIN_PATIENCE)
    }
}

impl Call {
    /// Returns whether the head of a stream has arrived.
    pub fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Returns whether an answer that begins now is late because the engine is slow. A plain answer
    /// is late after the route's target. A stream is late after the target, or when a gap is longer
    /// than allowed.
    pub fn is_slow(&self, now: Time, in_flight: &InFlight) -> bool {
        match self.task {
            Task::Prefill => false,
            _ if self.has_begun() => {
                let longest = in_flight.route.max_gap;
                longest.is_some_and(|it| now.since(self.last_event_at) > it)
            }
            Task::Plain | Task::Decode(_) => self.waited(now) > in_flight.route.target_latency,
        }
    }

    /// Returns how long the engine has had for the call: pauses of this box do not count.
    pub fn waited(&self, now: Time) -> Duration {
        now.since(self.sent).saturating_sub(self.paused)
    }

    /// Returns how long nothing has come through the call.
    pub fn silent_for(&self, now: Time) -> Duration {
        if self.has_begun() { now.since(self.last_event_at) } else { self.waited(now) }
    }

    /// Returns whether the engine may run the request through this call; a prefill doesn't run it.
    pub fn runs_request(&self) -> bool {
        self.task != Task::Prefill
    }

    /// Returns whether the engine may begin a run through the call that isn't counted yet.
    pub fn may_begin_run(&self) -> bool {
        self.runs_request() && !self.is_counted && !self.is_continuation()
    }

    /// Returns whether the call continues a stream from a copy, which counts as the same run.
    pub fn is_continuation(&self) -> bool {
        matches!(self.task, Task::Decode(Prompt::Copied(_)))
    }
}

/// Returns the name of a task as it appears in the log.
pub fn task_name(task: &Task) -> &'static str {
    match task {
        Task::Plain => "plain",
        Task::Prefill => "read",
        Task::Decode(Prompt::Prefilled(_)) => "generate",
        Task::Decode(Prompt::Copied(_)) => "generate from a copy",
        Task::Decode(Prompt::NotPrefilled) => "read and generate",
        Task::Decode(Prompt::Cached) => "generate from own memory",
        Task::Decode(Prompt::CachedAt(_)) => "generate from another's memory",
    }
}
