//! The decisions that a gateway writes to the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::Revision;

use crate::admission::Decision;
use crate::back_off;
use crate::departure;
use crate::engine::Stage;
use crate::event::Probe;
use crate::message::{Demand, Load};
use crate::quarantine::RequestSummary;
use crate::rate_limit::Change;
use crate::ratio::Split;
use crate::signature::Signature;
use crate::silence::Standing;
use crate::statement::ReportedLoad;
use crate::terms::Restriction;
use crate::version::{SoftwareVersion, VersionKey};

/// An engine that a request couldn't be sent to, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exclusion {
    /// The engine's id.
    pub engine: Arc<str>,
    /// The term of the engine that forbids it.
    pub reason: Restriction,
}

/// A decision that is written to the log.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent {
    /// A configuration version came into force.
    Configured {
        /// The version.
        version: u64,
        /// The number of routes.
        routes: usize,
    },
    /// A request was passed on to another box.
    PassedOn {
        /// The request's id.
        request: Arc<str>,
        /// The address of the other box.
        to: SocketAddr,
    },
    /// The box can't reach the engines of a service, and doesn't take that for the engines' fault.
    ContactLost {
        /// The name of the service.
        service: Arc<str>,
    },
    /// An engine of a service answers again.
    ContactRegained {
        /// The name of the service.
        service: Arc<str>,
        /// The time without contact.
        duration: Duration,
    },
    /// A data centre was evacuated, or its evacuation was lifted.
    Evacuated {
        /// The name of the data centre.
        data_centre: Arc<str>,
        /// Whether the evacuation was lifted.
        is_lifted: bool,
    },
    /// The complete list of engines was read.
    Listed {
        /// The number of engines.
        engines: usize,
        /// The revision of the list.
        revision: Revision,
    },
    /// A list of engines was ignored because it is older than the known state.
    ListDropped {
        /// The revision of the ignored list.
        revision: Revision,
        /// The revision up to which the known state is complete.
        known: Revision,
    },
    /// Engine changes that this box had missed have arrived.
    CaughtUp {
        /// The time since this box learnt of them.
        after: Duration,
    },
    /// Engine changes were not forwarded to the other boxes because they were too many.
    NotForwarded {
        /// The number of changes.
        changes: usize,
    },
    /// The store was restored from an older copy and has lost its latest writes.
    StoreReturned {
        /// The new era of the store.
        era: u64,
        /// The engine revision that was known before.
        revision: Revision,
        /// The box that announced it; absent if the store reported it directly.
        announced_by: Option<SocketAddr>,
    },
    /// An engine was added or changed.
    Engine {
        /// The engine's id.
        id: Arc<str>,
        /// The address of the engine.
        address: SocketAddr,
        /// Whether the engine is draining.
        is_draining: bool,
        /// The version of its software, if known.
        version: Option<SoftwareVersion>,
    },
    /// An engine was removed.
    EngineRemoved {
        /// The engine's id.
        id: Arc<str>,
    },
    /// An engine is avoided for a time, or used again.
    Avoided {
        /// The engine's id.
        id: Arc<str>,
        /// How long the engine is avoided.
        duration: Duration,
    },
    /// An engine has become slow, or is at its usual pace again.
    Pace {
        /// The engine's id.
        id: Arc<str>,
        /// Whether it is slow.
        is_slow: bool,
        /// The time that work takes there, in percent of the usual.
        percent: u16,
    },
    /// The rate limit of an engine changed.
    Limited {
        /// The engine's id.
        id: Arc<str>,
        /// The change of the limit.
        change: Change,
        /// The box that announced it; absent if the engine reported it directly.
        announced_by: Option<SocketAddr>,
        /// The time since the change took effect.
        age: Duration,
    },
    /// An engine is shutting down.
    ShuttingDown {
        /// The engine's id.
        id: Arc<str>,
        /// The box that announced it; absent if the engine reported it directly.
        announced_by: Option<SocketAddr>,
        /// The time since it became known.
        age: Duration,
    },
    /// An engine has finished shutting down.
    ShutDown {
        /// The engine's id.
        id: Arc<str>,
        /// The reason that the shutdown is over.
        end: departure::EndReason,
        /// The time since the shutdown became known.
        age: Duration,
    },
    /// The back-off requested by an engine changed.
    BackOff {
        /// The engine's id.
        id: Arc<str>,
        /// The change of the back-off.
        change: back_off::Change,
    },
    /// A call was sent.
    Sent {
        /// The client's id of the request.
        request: Arc<str>,
        /// The engine's id.
        engine: Arc<str>,
        /// The name of the task.
        task: &'static str,
        /// The engine that the prompt is imported from, if it is another engine.
        source: Option<SocketAddr>,
        /// The expected time to the first event.
        expected: Duration,
        /// The tokens of the prompt.
        tokens: u64,
        /// The tokens that the request is expected to hold in the engine's memory.
        held: u64,
        /// The number of earlier calls for the request.
        before: u32,
        /// The version of the engine's software, if known.
        version: Option<SoftwareVersion>,
        /// The id of the event after which the stream is resumed, if it is.
        after_event: Option<u64>,
    },
    /// A client resumes a stream.
    ClientResumes {
        /// The client's id of the request.
        request: Arc<str>,
        /// The id of the attempt that brought the stream's first event, if the client names one.
        resumed_id: Option<Arc<str>>,
        /// The id of the last event that the client has.
        last_event: u64,
    },
    /// The software version that began a resumed stream was found, or not.
    OriginSought {
        /// The client's id of the request.
        request: Arc<str>,
        /// The version; none if it stays unknown.
        version: Option<VersionKey>,
        /// The name of the version, if an engine has it.
        name: Option<Arc<str>>,
        /// What it is known from, or why not.
        source: &'static str,
        /// How long the search took; for a version in this box's own table, how long it has been known.
        after: Duration,
    },
    /// The engine of a call turned out to have another version than its stream, or an unknown one.
    OtherVersion {
        /// The client's id of the request.
        request: Arc<str>,
        /// The engine's id.
        engine: Arc<str>,
    },
    /// The register of versions was read from the store or written to it.
    VersionRegister {
        /// The number of services that have only one version.
        services: usize,
        /// Whether it was written.
        is_written: bool,
    },
    /// The versions of a shard's streams were read from the store.
    ArchiveRead {
        /// The number of the shard.
        shard: u64,
        /// The number of its streams.
        streams: usize,
        /// Whether a read has failed, so that it is repeated.
        has_failed: bool,
    },
    /// A request that had reached an engine was to be sent to another one.
    Retry {
        /// The client's id of the request.
        request: Arc<str>,
        /// The service.
        service: Arc<str>,
        /// Whether the budget allowed the retry.
        is_sent: bool,
        /// The retries left in the budget afterwards.
        available: f64,
        /// The number of boxes that the fixed allowance was divided by.
        boxes: usize,
    },
    /// An engine answered an ask for a reservation, or didn't.
    ReservationAsked {
        /// The client's id of the request; empty if it has ended.
        request: Arc<str>,
        /// The engine's id.
        engine: Arc<str>,
        /// The tokens to reserve.
        tokens: u64,
        /// The engine's answer.
        outcome: &'static str,
        /// The time since the ask was sent.
        after: Duration,
    },
    /// A reservation was dropped or expired without being used.
    ReservationUnused {
        /// The engine's id.
        engine: Arc<str>,
        /// The reserved tokens.
        tokens: u64,
        /// The time for which they were reserved.
        duration: Duration,
    },
    /// A call failed.
    Failed {
        /// The client's id of the request.
        request: Arc<str>,
        /// The signature, equal for requests with the same content from the same customer.
        signature: Signature,
        /// The path of the request.
        path: Arc<str>,
        /// The names of the parts of the prompt that other requests may share.
        shared_parts: Arc<[Arc<str>]>,
        /// The engine's id.
        engine: Arc<str>,
        /// How the call failed.
        outcome: &'static str,
        /// The HTTP status, 0 if none was received.
        status: u16,
        /// The load that the engine reported last.
        reported_load: Option<ReportedLoad>,
        /// The load of all boxes at the engine, as known to this box.
        total_load: Load,
        /// The time since the call was sent, or since its last event.
        silent_for: Duration,
        /// Whether a stream had begun.
        has_begun: bool,
    },
    /// A call is silent, and its request is sent to another engine, too.
    Silent {
        /// The client's id of the request.
        request: Arc<str>,
        /// The engine's id.
        engine: Arc<str>,
        /// How long it has been silent.
        silent_for: Duration,
        /// Whether a stream had begun.
        has_begun: bool,
        /// What is known of the engine.
        standing: Standing,
    },
    /// A silent call goes on.
    Recalled {
        /// The client's id of the request.
        request: Arc<str>,
        /// The engine's id.
        engine: Arc<str>,
        /// How long it was silent.
        silent_for: Duration,
        /// The number of calls that were to replace it and are dropped.
        dropped: usize,
    },
    /// Something came from an engine that was known to be silent.
    WentOn {
        /// The engine's id.
        id: Arc<str>,
        /// Whether it was avoided for that.
        was_avoided: bool,
    },
    /// A probe of an engine ended.
    Probed {
        /// The engine's id.
        id: Arc<str>,
        /// What it showed.
        probe: Probe,
        /// How long it took.
        after: Duration,
    },
    /// A running stream was moved to another engine.
    Moved {
        /// The client's id of the request.
        request: Arc<str>,
        /// The id of the engine at which it ran.
        source: Arc<str>,
        /// The id of the engine at which it continues.
        target: Arc<str>,
        /// Why it was moved.
        reason: &'static str,
        /// How long the move took.
        duration: Duration,
    },
    /// A running stream was to be moved, and was not.
    NotMoved {
        /// The client's id of the request.
        request: Arc<str>,
        /// The id of the engine at which it runs.
        source: Arc<str>,
        /// The id of the engine at which it was to continue, if one had memory for it.
        target: Option<Arc<str>>,
        /// Why it was to be moved.
        reason: &'static str,
        /// Why it was not moved.
        outcome: &'static str,
    },
    /// A stream is backed up at a second engine.
    BackedUp {
        /// The client's id of the request.
        request: Arc<str>,
        /// The id of the engine at which it runs.
        source: Arc<str>,
        /// The id of the engine that receives the backup.
        target: Arc<str>,
    },
    /// A stream whose engine failed was to continue from its backup.
    BackupUsed {
        /// The client's id of the request.
        request: Arc<str>,
        /// The id of the engine that failed.
        source: Arc<str>,
        /// The id of the engine that has the backup.
        target: Arc<str>,
        /// Whether the stream continued, or why not.
        outcome: &'static str,
    },
    /// A refused client was told to return.
    ToldToReturn {
        /// The client's id of the request.
        request: Arc<str>,
        /// The time told.
        after: Duration,
        /// Whether capacity was forecast to be free then.
        is_promised: bool,
    },
    /// A request of a client that had returned after a refusal ended.
    Returned {
        /// The client's id of the request.
        request: Arc<str>,
        /// How the request ended.
        outcome: &'static str,
        /// The time from its arrival until capacity was found, if any was.
        waited: Option<Duration>,
    },
    /// A request ended.
    Ended {
        /// The client's id of the request.
        request: Arc<str>,
        /// The customer, if known.
        customer: Option<Arc<str>>,
        /// The units charged to the customer's limit.
        units: u64,
        /// The engines that the request couldn't be sent to because of their own terms.
        exclusions: Vec<Exclusion>,
        /// How the request ended.
        outcome: &'static str,
        /// How its last failed call failed, if one did.
        last_failure: Option<&'static str>,
        /// The time since its arrival.
        after: Duration,
    },
    /// Other boxes became reachable or timed out.
    Peers {
        /// The addresses of the boxes that were received from for the first time.
        joined: Vec<SocketAddr>,
        /// The addresses of the boxes that timed out.
        timed_out: Vec<SocketAddr>,
        /// The number of boxes that are alive now.
        alive: usize,
    },
    /// A request, or a part of prompts, was quarantined because engines crashed under it.
    Quarantined {
        /// The signature of the request or part.
        signature: Signature,
        /// The name of the part; none if the request as such is quarantined.
        part: Option<Arc<str>>,
        /// Details of the request, if this box has seen it.
        about: Option<RequestSummary>,
        /// The engines that crashed.
        engines: String,
        /// The end of the quarantine, in seconds of Unix time.
        until: u64,
    },
    /// A request or a part of prompts is no longer suspected or quarantined.
    Released {
        /// The signature of the request or part.
        signature: Signature,
        /// Why it was released.
        outcome: &'static str,
    },
    /// The cases of suspected and quarantined requests were read from the store.
    CasesRead {
        /// The number of cases.
        cases: usize,
    },
    /// The machine was suspended or paused for a time that its steady clock doesn't count.
    Suspended(Duration),
    /// The process was paused for a time that its steady clock counts.
    Paused(Duration),
    /// The number of boxes was read from the store or written to it.
    Census {
        /// The number of boxes; 0 if the store has none.
        boxes: usize,
        /// Whether the number was written.
        is_written: bool,
    },
    /// A request was decided on while the capacity of its service is short.
    Admission {
        /// The service.
        service: Arc<str>,
        /// The request's priority, 0 being the highest.
        priority: u8,
        /// The decision.
        decision: Decision,
    },
    /// The overload of a service began or ended.
    Overload {
        /// The service.
        service: Arc<str>,
        /// Whether it ended.
        has_ended: bool,
    },
    /// Many engines changed at once.
    ManyEngines {
        /// The number of engines added or changed.
        put: usize,
        /// The number of engines removed.
        left: usize,
    },
    /// This box started (true) or stopped watching the store for changes.
    WatchesStore(bool),
    /// This box acquired the lease for orders with a fencing token, or lost it.
    Lease(Option<u64>),
    /// An engine is to change its stage.
    Switch {
        /// The engine's id.
        id: Arc<str>,
        /// The stage to change to.
        stage: Stage,
        /// The prefill and decode engines, with pending changes applied.
        engines: Split,
        /// The demand on the engines.
        demand: Demand,
    },
    /// An engine was ordered to change its stage.
    Ordered {
        /// The engine's id.
        id: Arc<str>,
        /// The stage to change to.
        stage: Stage,
        /// The fencing token of the lease.
        token: u64,
        /// The number of orders sent before for the same change.
        before: u32,
    },
    /// An order ended.
    OrderEnded {
        /// The engine's id.
        id: Arc<str>,
        /// The outcome of the order.
        outcome: &'static str,
    },
    /// The list of engines was not read again in time after a pause.
    ListStale {
        /// The number of requests that took up streams and waited for it.
        waiting: usize,
    },
    /// The process was told to stop, and will be ended by force after this time.
    Stopping(Duration),
}
