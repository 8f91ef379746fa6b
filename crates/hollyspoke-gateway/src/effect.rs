//! What a gateway has its driver do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::outcome::NotRun;
use hollyspoke::store::{Operation, Revision};

use crate::back_off;
use crate::customer::Caller;
use crate::departure;
use crate::engine::{Engine, EngineKey, Stage};
use crate::event::Kind;
use crate::message::{Demand, Load, Message};
use crate::quarantine::RequestSummary;
use crate::rate_limit::Change;
use crate::ratio::Split;
use crate::request::{CallKey, RequestKey};
use crate::signature::Signature;
use crate::statement::ReportedLoad;
use crate::terms::Restriction;

/// Where a prompt that was read lies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// The engine that read it.
    pub engine: EngineKey,
    /// Where that engine listens.
    pub address: SocketAddr,
    /// The engine's name for it.
    pub handle: String,
}

/// What an engine is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// To run a plain request.
    Plain,
    /// To read the prompt for another engine.
    Prefill,
    /// To generate the answer.
    Decode(Prompt),
}

impl Task {
    /// Gives the engine that the prompt is taken from, if it is another one.
    pub fn source(&self) -> Option<SocketAddr> {
        match self {
            Task::Decode(Prompt::Prefilled(source)) => Some(source.address),
            Task::Decode(Prompt::CachedAt(address)) => Some(*address),
            _ => None,
        }
    }
}

/// How an engine that generates comes by the prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Prompt {
    /// It reads the prompt itself.
    NotPrefilled,
    /// Another engine has read the prompt for it.
    Prefilled(Source),
    /// It keeps the prompt from an earlier run.
    Cached,
    /// Another engine keeps the prompt from an earlier run, and listens there.
    CachedAt(SocketAddr),
}

/// One call to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// The request.
    pub request: RequestKey,
    /// The call.
    pub call: CallKey,
    /// The engine.
    pub engine: Arc<Engine>,
    /// On whose behalf it is sent.
    pub caller: Caller,
    /// What it is asked to do.
    pub task: Task,
    /// The time that is left.
    pub deadline: Duration,
    /// The last event that the client has, if the stream goes on from there.
    pub last_event: Option<u64>,
}

/// The longest that an order may be on its way; the driver gives it up then. Engines answer within
/// milliseconds.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// An order to an engine to change its stage.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The engine.
    pub engine: Arc<Engine>,
    /// The stage that it is to have.
    pub stage: Stage,
    /// The name of the box that gives the order.
    pub holder: Arc<str>,
    /// The fencing token of the lease under which it is given.
    pub token: u64,
    /// How many orders the engine must have taken before; it refuses the order otherwise.
    pub expected_count: u64,
}

/// Why a request gets an answer of the gateway's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It was not run; the client may come back after the time.
    NotRun(NotRun, NotRunReason, Duration),
    /// Its customer is over its limit. It was not run; the client may come back after the time.
    OverLimit(NotRun, Duration),
    /// It has no key that is known.
    UnknownKey,
    /// Engines crash under it. It was not run, and is not to come again.
    Quarantined(NotRun),
    /// No route covers it.
    NoRoute,
    /// Its engine failed, and it may have run.
    Failed,
    /// Its time passed, and it may have run.
    TimedOut,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// A newer configuration is known of and not read yet, and may have its key.
    StaleConfiguration,
    /// The process is about to end.
    Stopping,
    /// No engine can take it.
    NoEngine,
    /// All engines that could take it are in evacuated data centres.
    Evacuated,
    /// No engine lies in the regions where it may be served.
    NoEngineInRegion,
    /// All engines that could take it are in need, and take no more for now.
    RateLimited,
    /// All engines that could take it are about to leave.
    ShuttingDown,
    /// All engines that could take it want nothing from this box for a time.
    BackingOff,
    /// The engines turned it away.
    Rejected,
    /// It would be served too late.
    Overloaded,
    /// Its time passed before it was sent.
    TimedOut,
    /// It is being found out whether engines crash under it.
    UnderSuspicion,
}

impl NotRunReason {
    /// Gives the reason as the log tells it.
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::NoConfiguration => "refused: no configuration",
            NotRunReason::StaleConfiguration => "refused: configuration behind",
            NotRunReason::Stopping => "refused: stopping",
            NotRunReason::NoEngine => "refused: no engine",
            NotRunReason::Evacuated => "refused: evacuated",
            NotRunReason::NoEngineInRegion => "refused: no engine in its regions",
            NotRunReason::RateLimited => "refused: engines limited",
            NotRunReason::ShuttingDown => "refused: engines leaving",
            NotRunReason::BackingOff => "refused: engines resting",
            NotRunReason::Rejected => "refused: turned away",
            NotRunReason::Overloaded => "refused: overloaded",
            NotRunReason::TimedOut => "refused: time passed",
            NotRunReason::UnderSuspicion => "refused: under suspicion",
        }
    }
}

/// An engine that a request could not be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exclusion {
    /// The engine's id.
    pub engine: Arc<str>,
    /// Why not.
    pub reason: Restriction,
}

/// A decision worth a line in the log.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent {
    /// A version of the configuration came into force.
    Configured {
        /// The version.
        version: u64,
        /// Its routes.
        routes: usize,
    },
    /// A data centre was evacuated, or that was lifted.
    Evacuated {
        /// The data centre.
        data_centre: Arc<str>,
        /// Whether it may be used again.
        is_lifted: bool,
    },
    /// The list of engines was read whole.
    Listed {
        /// The engines.
        engines: usize,
        /// The revision.
        revision: Revision,
    },
    /// A list of engines was not taken, since it is older than what is known.
    ListDropped {
        /// The list's revision.
        revision: Revision,
        /// The revision up to which nothing is missing.
        known: Revision,
    },
    /// The store came back from an older copy, and has lost its latest writes.
    StoreReturned {
        /// Its era now.
        era: u64,
        /// The revision of the engines that were known before.
        revision: Revision,
        /// The box that told; none if the store did itself.
        announced_by: Option<SocketAddr>,
    },
    /// An engine was added or changed.
    Engine {
        /// The engine's id.
        id: Arc<str>,
        /// Its address.
        address: SocketAddr,
        /// Whether it drains.
        is_draining: bool,
    },
    /// An engine left.
    EngineRemoved {
        /// The engine's id.
        id: Arc<str>,
    },
    /// An engine is avoided for a time, or used again.
    Avoided {
        /// The engine's id.
        id: Arc<str>,
        /// For how long.
        span: Duration,
    },
    /// What an engine takes has changed.
    Limited {
        /// The engine's id.
        id: Arc<str>,
        /// What has become of its limit.
        change: Change,
        /// The box that told; none if the engine did itself.
        announced_by: Option<SocketAddr>,
        /// How long ago it was so.
        age: Duration,
    },
    /// An engine is about to leave.
    ShuttingDown {
        /// The engine's id.
        id: Arc<str>,
        /// The box that told; none if the engine did itself.
        announced_by: Option<SocketAddr>,
        /// How long ago it was known.
        age: Duration,
    },
    /// An engine that was about to leave has done so.
    ShutDown {
        /// The engine's id.
        id: Arc<str>,
        /// How that is known.
        end: departure::End,
        /// How long ago it was known that it leaves.
        age: Duration,
    },
    /// What has become of an engine's rest.
    BackOff {
        /// The engine's id.
        id: Arc<str>,
        /// What has become of it.
        change: back_off::Change,
    },
    /// A call was sent.
    Sent {
        /// The client's id of the request.
        request: Arc<str>,
        /// The engine's id.
        engine: Arc<str>,
        /// What it is asked to do.
        task: &'static str,
        /// The engine that the prompt is taken from.
        source: Option<SocketAddr>,
        /// How soon the first event is expected.
        expected: Duration,
        /// The tokens of the prompt.
        tokens: u64,
        /// The tokens that it is expected to hold.
        held: u64,
        /// The calls sent before for the request.
        before: u32,
    },
    /// A request that had come to an engine was to be sent to another one.
    Retry {
        /// The client's id of the request.
        request: Arc<str>,
        /// The service.
        service: Arc<str>,
        /// Whether the budget allowed it.
        is_sent: bool,
        /// The repeats that the budget then had left.
        available: f64,
        /// The boxes that the fixed allowance was divided by.
        boxes: usize,
    },
    /// A call failed.
    Failed {
        /// The client's id of the request.
        request: Arc<str>,
        /// What makes the request the same as another one.
        signature: Signature,
        /// Its path.
        path: Arc<str>,
        /// The engine's id.
        engine: Arc<str>,
        /// How.
        outcome: &'static str,
        /// The status, 0 if none came.
        status: u16,
        /// The load that the engine told last.
        told: Option<ReportedLoad>,
        /// The work of all boxes at the engine, as this box knows it.
        known: Load,
    },
    /// A request ended.
    Ended {
        /// The client's id of the request.
        request: Arc<str>,
        /// The customer, if it is known.
        customer: Option<Arc<str>>,
        /// The units of the customer's limit that the request took.
        units: u64,
        /// The engines that it could not be sent to by what they have said.
        exclusions: Vec<Exclusion>,
        /// How.
        outcome: &'static str,
        /// The time since its arrival.
        after: Duration,
    },
    /// Boxes were first heard, or fell silent.
    Peers {
        /// Where those listen that were heard.
        heard: Vec<SocketAddr>,
        /// Where those listen that fell silent.
        silent: Vec<SocketAddr>,
        /// How many live now.
        alive: usize,
    },
    /// A request is held back from now on, since engines crashed under it.
    Quarantined {
        /// The request.
        signature: Signature,
        /// What is known of it, if this box has seen it.
        about: Option<RequestSummary>,
        /// The engines that crashed.
        engines: String,
        /// Until when, in seconds of Unix time.
        until: u64,
    },
    /// A request is no longer under suspicion, or held back.
    Released {
        /// The request.
        signature: Signature,
        /// Why.
        outcome: &'static str,
    },
    /// The requests that are held back, or nearly so, were read from the store.
    CasesRead {
        /// How many there were.
        cases: usize,
    },
    /// The machine was suspended, or stood still for a time that its steady clock does not count.
    Suspended(Duration),
    /// The number of boxes was read from the store, or written.
    Census {
        /// The boxes; 0 if the store holds no number.
        boxes: usize,
        /// Whether it was written.
        is_written: bool,
    },
    /// Many engines changed at once.
    ManyEngines {
        /// Those that were added or changed.
        put: usize,
        /// Those that left.
        left: usize,
    },
    /// This box follows the store's changes from now on, or no more.
    WatchesStore(bool),
    /// This box holds the lease for orders from now on, under a fencing token, or no more.
    Lease(Option<u64>),
    /// An engine is to change its stage.
    Switch {
        /// The engine's id.
        id: Arc<str>,
        /// The stage that it changes to.
        stage: Stage,
        /// The engines that read and that generate, those that are to do so included.
        engines: Split,
        /// The work asked of them.
        demand: Demand,
    },
    /// An engine was ordered to change its stage.
    Ordered {
        /// The engine's id.
        id: Arc<str>,
        /// The stage.
        stage: Stage,
        /// The fencing token.
        token: u64,
        /// The orders sent to it before for the same change.
        before: u32,
    },
    /// What became of an order.
    OrderEnded {
        /// The engine's id.
        id: Arc<str>,
        /// What became of it.
        outcome: &'static str,
    },
    /// The process was told to stop.
    Stopping,
}

/// What the driver does.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Sends a call.
    Send(Send),
    /// Drops a call and its connection.
    Cancel(CallKey),
    /// Gives the client the answer of a call; a stream's events follow as they come.
    Deliver(RequestKey, CallKey),
    /// Lets the events of a call follow those passed before, in the same answer.
    Resume(RequestKey, CallKey),
    /// Gives the client an answer of the gateway's own.
    Refuse(RequestKey, Refusal),
    /// Ends a begun answer so that the client sees that it is not whole.
    Abort(RequestKey),
    /// Ends a begun answer as whole.
    Finish(RequestKey),
    /// Frees a prompt that was read.
    Free(Source),
    /// Asks an engine which parts of prompts it keeps.
    QueryCachedPrompts(Arc<Engine>),
    /// Follows the store's changes from now on, or no more.
    WatchStore(bool),
    /// Begins an operation on an object of the product's own in the store, under a number.
    Store(u64, Operation),
    /// Asks an engine how many orders it has taken.
    QueryOrderCount(Arc<Engine>),
    /// Orders an engine to change its stage.
    Order(Order),
    /// Asks an engine whether it lives.
    Probe(Arc<Engine>),
    /// Reads a kind of object from the store, whole and once.
    Read(Kind),
    /// Asks a box to hand over what it knows.
    Fetch(SocketAddr),
    /// Sends a datagram to boxes.
    Announce(Vec<SocketAddr>, Box<Message>),
    /// Writes a line to the log.
    Log(LogEvent),
}
