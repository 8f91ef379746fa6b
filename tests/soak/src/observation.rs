//! The observations that clients, stand-ins and the harness report, each with its time.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::keys::Caller;
use crate::malformed::Flaw;

/// A time of the machine's clock, in microseconds since the Unix epoch; comparable between
/// processes.
pub type Micros = u64;

/// The microseconds of a second.
pub const SECOND: Micros = 1_000_000;

/// The microseconds of a millisecond.
pub const MILLISECOND: Micros = 1000;

/// Returns the current time.
pub fn now() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_micros()).unwrap_or(Micros::MAX))
}

/// Returns a hash by which the sender's and the receiver's bytes are compared.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// A kind of request, with its rules for retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A plain request that may run more than once.
    Safe,
    /// A plain request that may run at most once.
    Unsafe,
    /// A stream that may run at most once.
    Once,
    /// A stream that may be resumed.
    Resumed,
    /// A request that shows whether a box has applied a version of the configuration.
    Probe,
}

impl Kind {
    /// Returns whether a request may run at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Unsafe | Kind::Once)
    }

    /// Returns whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Once | Kind::Resumed)
    }

    /// Returns the name of the route.
    pub fn route(self) -> &'static str {
        match self {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Once => "once",
            Kind::Resumed => "resumed",
            Kind::Probe => "probe",
        }
    }
}

/// An observation with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The time of the observation.
    pub at: Micros,
    /// What was observed.
    pub what: What,
}

impl Observation {
    /// Creates an observation at the current time.
    pub fn new(what: What) -> Observation {
        Observation { at: now(), what }
    }
}

/// The outcome of a run at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The whole answer was written.
    Whole,
    /// The connection closed before the answer was complete.
    Dropped,
    /// The upstream itself broke off the answer.
    Broken,
    /// The stream was stopped to go on from a copy.
    Moved,
}

/// How a reservation or a copy ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseEnd {
    /// A request has used it.
    Used,
    /// It was dropped.
    Dropped,
    /// Its time was over.
    Lapsed,
}

/// A change of a box's process or connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BoxChange {
    /// The process was started.
    Started,
    /// It was killed.
    Killed,
    /// It was paused with SIGSTOP.
    Paused,
    /// It was resumed with SIGCONT.
    Resumed,
    /// It was told to stop with SIGTERM.
    Terminated,
    /// Its connections were reset, held or cut off.
    Disturbed,
    /// The process has ended.
    Ended,
}

/// The content of an observation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// A client sent an attempt.
    Sent {
        /// The id of the attempt.
        attempt: String,
        /// The kind of request.
        kind: Kind,
        /// The box.
        node: usize,
        /// The path.
        path: String,
        /// The digest of the body.
        body: u64,
        /// The number of events that the client had already received.
        after: u64,
        /// The customer and key that sent it.
        caller: Caller,
        /// When the client gives up.
        deadline: Micros,
    },
    /// A client received a whole answer.
    Answered {
        /// The id of the attempt.
        attempt: String,
        /// The status.
        status: u16,
        /// The id of the upstream that signed the answer.
        stamp: Option<String>,
        /// The digest of a plain body.
        body: u64,
        /// The numbers of a stream's events.
        events: Vec<u64>,
        /// Whether all parts of it name this attempt.
        is_own: bool,
    },
    /// A client has received events of two software versions for one stream.
    Mixed {
        /// The id of the attempt that brought the second version.
        attempt: String,
    },
    /// A client received bytes of a stream that are not the events due of its run.
    Foreign {
        /// The id of the attempt.
        attempt: String,
        /// The first of these bytes.
        excerpt: String,
    },
    /// A connection ended before the whole answer.
    Cut {
        /// The id of the attempt.
        attempt: String,
    },
    /// No connection to the box could be opened, so nothing was sent.
    Unreached {
        /// The id of the attempt.
        attempt: String,
    },
    /// An upstream's process ended, with all its runs.
    EngineGone {
        /// The upstream.
        engine: String,
    },
    /// An upstream's process that was paused has been resumed.
    StoodStill {
        /// The upstream.
        engine: String,
        /// When it was paused.
        since: Micros,
    },
    /// A client disconnected on purpose.
    Left {
        /// The id of the attempt.
        attempt: String,
    },
    /// An upstream began to run a request.
    Began {
        /// The upstream.
        engine: String,
        /// The id of the attempt.
        attempt: String,
        /// The path.
        path: String,
        /// The digest of the body.
        body: u64,
        /// Whether the run is a prefill for another engine.
        is_reading: bool,
        /// The customer that the upstream received, if any.
        customer: Option<String>,
        /// Whether the request to the upstream contained a client's key.
        has_key: bool,
        /// The priority that the upstream received, if any.
        #[serde(default)]
        priority: Option<u8>,
        /// The copy of a stopped stream's memory from which the run goes on, if it does.
        #[serde(default)]
        copy: Option<String>,
    },
    /// An engine reserved memory and a slot.
    Reserved {
        /// The engine.
        engine: String,
        /// The name of the reservation, unique in the run.
        name: String,
        /// The memory, in tokens.
        tokens: u64,
        /// Whether the answer is sent, and in time.
        is_answered: bool,
    },
    /// A request named a reservation.
    ReservationPresented {
        /// The engine that got the request.
        engine: String,
        /// The name of the reservation.
        name: String,
        /// The id of the attempt.
        attempt: String,
    },
    /// A reservation ended.
    ReservationEnded {
        /// The engine.
        engine: String,
        /// The name of the reservation.
        name: String,
        /// How it ended.
        how: LeaseEnd,
    },
    /// An engine answers an order to copy a stream's memory to another one.
    Transferred {
        /// The engine at which the stream runs.
        engine: String,
        /// The name of the copy.
        name: String,
        /// The id of the attempt.
        attempt: String,
        /// Whether the stream was stopped.
        is_final: bool,
        /// Whether the answer is sent, and in time.
        is_answered: bool,
    },
    /// An engine keeps a copy of a stream's memory, or more of it.
    Copied {
        /// The engine.
        engine: String,
        /// The name of the copy; that of the attempt for a backup.
        name: String,
        /// The id of the attempt.
        attempt: String,
    },
    /// A copy of a stream's memory ended.
    CopyEnded {
        /// The engine that kept it.
        engine: String,
        /// The name of the copy.
        name: String,
        /// How it ended.
        how: LeaseEnd,
    },
    /// A client's key was found where none may be, such as a log.
    KeyFound {
        /// The place where it was found.
        place: String,
    },
    /// A run ended.
    RunEnded {
        /// The upstream.
        engine: String,
        /// The id of the attempt.
        attempt: String,
        /// The outcome.
        how: RunEnd,
        /// The digest of a plain body.
        body: u64,
        /// The last event of a stream, whether it was sent in this run or before.
        last_event: u64,
    },
    /// An upstream rejected a request and has not run it.
    TurnedAway {
        /// The upstream.
        engine: String,
        /// The id of the attempt.
        attempt: String,
    },
    /// An upstream announces another rate limit from now on, or none.
    Limited {
        /// The upstream.
        engine: String,
        /// The limit in thousandths of a request a second; 0 for none.
        milli: u64,
    },
    /// An upstream announces from now on that it is shutting down.
    Leaving {
        /// The upstream.
        engine: String,
    },
    /// The store has acknowledged that an upstream's entry is marked as draining.
    EntryLeaving {
        /// The upstream.
        engine: String,
    },
    /// An upstream rejected a request and asked the box to back off.
    AskedForRest {
        /// The upstream.
        engine: String,
        /// The id of the attempt.
        attempt: String,
        /// The duration of the back-off, in milliseconds.
        milli: u64,
    },
    /// A box's log says that it could not decode a datagram of another box.
    NotRead {
        /// The box.
        node: usize,
        /// The number of log lines that say so.
        lines: usize,
    },
    /// An engine accepted an order.
    Ordered {
        /// The engine.
        engine: String,
        /// The lease holder that issued it.
        holder: String,
        /// The fencing token.
        token: u64,
        /// The stage to switch to.
        stage: String,
    },
    /// The store acknowledged a version of the configuration.
    Configured {
        /// The version.
        version: u64,
    },
    /// A box answered a request for a route that exists in only one version.
    Probed {
        /// The box.
        node: usize,
        /// The version.
        version: u64,
        /// When the request was sent.
        sent: Micros,
        /// The status.
        status: u16,
    },
    /// A box's process or connections changed.
    Node {
        /// The box.
        node: usize,
        /// The change.
        change: BoxChange,
    },
    /// The store was disturbed from now on.
    StoreDisturbed {
        /// How long it is disturbed.
        span: Micros,
    },
    /// All boxes were killed and have been restarted.
    AllRestarted,
    /// A fault began; only for the report.
    Fault {
        /// Its name.
        name: String,
        /// How long it lasts.
        span: Micros,
    },
    /// A sample of the resource usage of a box's process.
    Usage {
        /// The box.
        node: usize,
        /// Resident memory, in bytes.
        resident: u64,
        /// Open descriptors.
        descriptors: u64,
    },
    /// A box was sent a malformed request.
    Flawed {
        /// The box.
        node: usize,
        /// The flaw.
        flaw: Flaw,
        /// How long the box took to answer it or close the connection.
        span: Micros,
        /// Whether the box did so before the wait ended.
        is_done: bool,
    },
    /// An engine still has active runs after the last client has disconnected.
    StillActive {
        /// The engine.
        engine: String,
        /// The number of runs.
        runs: u64,
    },
}
