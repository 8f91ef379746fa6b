//! One request from its arrival to its end, and the calls made for it.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::outcome::Trace;
use hollyspoke::time::Time;

use crate::customer::{Caller, Customer};
use crate::effect::{Prompt, Source, Task};
use crate::engine::{Engine, EngineKey};
use crate::message::Load;
use crate::quarantine::Stand;
use crate::region::{ANYWHERE, Homes};
use crate::request::{CallKey, FlightKey, Request};
use crate::route::{Route, RouteKind, Service};
use crate::signature::Signature;
use crate::terms::Bar;

/// The most times that engines may turn one request away before it is given up.
const MOST_REJECTIONS: u32 = 3;

/// The share of a safe request's time-out after which silence is taken for a failure.
const SILENT_SHARE: f64 = 0.5;

/// The share of a handle's life for which the prompt is counted on.
const HANDLE_SHARE: f64 = 0.7;

/// The pauses between events, in longest allowed ones, after which a stream is taken for broken.
const SILENT_GAPS: u32 = 4;

/// The least silence after which a stream is taken for broken.
const LEAST_SILENCE: Duration = Duration::from_millis(1000);

/// One request.
#[derive(Debug, Clone)]
pub struct Flight {
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
    pub checked: u64,
    /// When it arrived.
    pub arrived: Time,
    /// When it has to have its final answer.
    pub ends: Time,
    /// The call under way.
    pub call: Option<CallKey>,
    /// When silence of the call under way is taken for a failure.
    pub patience: Option<Time>,
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
    pub sends: u32,
    /// Whether the reading of its prompt for another engine has failed.
    pub reading_failed: bool,
    /// Where its prompt lies, read and not yet taken.
    pub source: Option<Source>,
    /// Whether an engine has turned the prompt at the source away.
    pub handle_refused: bool,
    /// When the prompt was read that lies at the source.
    pub read_at: Time,
    /// The memory reserved in the ledger at the engine that is to generate.
    pub reserved: Option<(EngineKey, Load)>,
    /// Set while the request waits for room at an engine: until when it may wait.
    pub waits_until: Option<Time>,
    /// Whether it waits for a permit alone, and not for room.
    pub waits_for_permit: bool,
    /// The question for a permit that it waits for.
    pub asked: Option<Asked>,
    /// The questions for permits since the last call.
    pub asks: u32,
    /// The engines that it could not be sent to by what they have said.
    pub kept_from: Vec<KeptFrom>,
    /// Whether the client has come back with it after a refusal.
    pub is_repeated: bool,
    /// Whether the head of an answer was given to the client.
    pub has_begun: bool,
    /// The last event given to the client.
    pub last_event: Option<u64>,
}

/// An engine that a request could not be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptFrom {
    /// The engine.
    pub engine: EngineKey,
    /// Why not.
    pub by: Bar,
}

/// A question for a permit to go to an engine in need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
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
    pub flight: FlightKey,
    /// The engine.
    pub engine: Arc<Engine>,
    /// What the engine was asked to do.
    pub task: Task,
    /// How far the request's case was when it was sent.
    pub stand: Stand,
    /// Whether a repeat was taken for it from the service's budget.
    pub is_repeat: bool,
    /// When the call was sent.
    pub sent: Time,
    /// The work that it is at the engine.
    pub load: Load,
    /// The tokens that the engine reads before and with this prompt.
    pub ahead: u64,
    /// When the last event of a stream came.
    pub last_event_at: Time,
    /// Whether the head of a stream has come.
    pub has_begun: bool,
}

impl Flight {
    /// Tells whether the request may run at one more engine.
    pub fn may_run_again(&self) -> bool {
        let has_attempts = self.runs < self.route.max_attempts.max(1);
        let may_repeat = self.runs == 0 || self.route.is_idempotent();
        has_attempts && may_repeat && self.rejections <= MOST_REJECTIONS
    }

    /// Notes an engine that the request could not be sent to.
    pub fn keep_from(&mut self, kept: KeptFrom) {
        if !self.kept_from.contains(&kept) {
            self.kept_from.push(kept);
        }
    }

    /// Gives the request's rank, 0 for the highest: its customer's, else its route's.
    pub fn rank(&self) -> u8 {
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
    pub fn patience_for(&self, task: &Task, expected: Duration) -> Option<Duration> {
        match task {
            Task::Read => Some((expected * 3).max(self.route.target_latency)),
            _ if !self.route.is_idempotent() => None,
            Task::Plain => Some(self.route.timeout.mul_f64(SILENT_SHARE)),
            Task::Generate(_) => Some((expected * 3).max(self.route.target_latency)),
        }
    }

    /// Gives until when the prompt at the source can be counted on.
    pub fn handle_end(&self) -> Time {
        let life = self.service.staged.map_or(Duration::ZERO, |it| it.handle_ttl);
        self.read_at + life.mul_f64(HANDLE_SHARE)
    }

    /// Gives the silence after an event after which a stream is taken for broken.
    pub fn gap_patience(&self) -> Option<Duration> {
        if !self.route.is_idempotent() || self.route.kind != RouteKind::Stream {
            return None;
        }
        let gap = self.route.max_gap.unwrap_or(LEAST_SILENCE);
        Some((gap * SILENT_GAPS).max(LEAST_SILENCE))
    }
}

impl Call {
    /// Tells whether an answer that begins now is late for the engine's own slowness: a plain one
    /// after the route's target, a stream after the target or the end of a pause too long.
    pub fn is_slow(&self, now: Time, flight: &Flight) -> bool {
        match self.task {
            Task::Read => false,
            _ if self.has_begun => {
                let longest = flight.route.max_gap;
                longest.is_some_and(|it| now.since(self.last_event_at) > it)
            }
            Task::Plain | Task::Generate(_) => now.since(self.sent) > flight.route.target_latency,
        }
    }

    /// Tells whether the engine may run the request through this call.
    pub fn is_run(&self) -> bool {
        self.task != Task::Read
    }
}

/// Gives a task's name for the log.
pub fn task_name(task: &Task) -> &'static str {
    match task {
        Task::Plain => "plain",
        Task::Read => "read",
        Task::Generate(Prompt::Read(_)) => "generate",
        Task::Generate(Prompt::Unread) => "read and generate",
        Task::Generate(Prompt::Kept) => "generate from own memory",
        Task::Generate(Prompt::KeptAt(_)) => "generate from another's memory",
    }
}
