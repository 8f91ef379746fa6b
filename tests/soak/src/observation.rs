//! What clients, stand-ins and the harness see, each with its time.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::keys::Caller;
use crate::malformed::Flaw;

/// A time of the machine's clock, in microseconds since the Unix epoch: the same for all processes.
pub type Micros = u64;

/// The microseconds of a second.
pub const SECOND: Micros = 1_000_000;

/// The microseconds of a millisecond.
pub const MILLISECOND: Micros = 1000;

/// Gives the time.
pub fn now() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_micros()).unwrap_or(Micros::MAX))
}

/// Gives a short name of bytes, by which the two ends compare them.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// A kind of request.
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
    /// A question whether a box has a version of the configuration.
    Probe,
}

impl Kind {
    /// Tells whether a request may run at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Unsafe | Kind::Once)
    }

    /// Tells whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Once | Kind::Resumed)
    }

    /// Gives the route.
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

/// Something seen, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// When.
    pub at: Micros,
    /// What.
    pub what: What,
}

impl Observation {
    /// Makes an observation of now.
    pub fn new(what: What) -> Observation {
        Observation { at: now(), what }
    }
}

/// How a run at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The whole answer was written.
    Whole,
    /// The connection closed before.
    Dropped,
    /// The upstream broke off by itself.
    Broken,
}

/// What becomes of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BoxChange {
    /// The process was started.
    Started,
    /// It was killed.
    Killed,
    /// It was stopped for a while.
    Paused,
    /// It goes on.
    Resumed,
    /// It was told to stop.
    Terminated,
    /// Its connections were reset, held or cut.
    Disturbed,
    /// The process has ended.
    Ended,
}

/// What was seen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// A client sent a try.
    Sent {
        /// The id of the try.
        attempt: String,
        /// The kind of request.
        kind: Kind,
        /// The box.
        node: usize,
        /// The path.
        path: String,
        /// The digest of the body.
        body: u64,
        /// The events that the client had already.
        after: u64,
        /// Who sent it.
        caller: Caller,
    },
    /// A client got a whole answer.
    Answered {
        /// The id of the try.
        attempt: String,
        /// The status.
        status: u16,
        /// The signature of the upstream.
        stamp: Option<String>,
        /// The digest of a plain body.
        body: u64,
        /// The events of a stream.
        events: Vec<u64>,
        /// Whether all of it names this try.
        is_own: bool,
    },
    /// A connection ended before the whole answer.
    Cut {
        /// The id of the try.
        attempt: String,
    },
    /// No connection to the box came up, so that nothing was sent.
    Unreached {
        /// The id of the try.
        attempt: String,
    },
    /// An upstream's process is gone, with all that it ran.
    EngineGone {
        /// The upstream.
        engine: String,
    },
    /// A client left on purpose.
    Left {
        /// The id of the try.
        attempt: String,
    },
    /// An upstream began to run a request.
    Began {
        /// The upstream.
        engine: String,
        /// The id of the try.
        attempt: String,
        /// The path.
        path: String,
        /// The digest of the body.
        body: u64,
        /// Whether a prompt is read for another engine.
        is_reading: bool,
        /// The customer that the upstream was told.
        customer: Option<String>,
        /// Whether a client's key stood in what the upstream was sent.
        has_key: bool,
    },
    /// A client's key was found where none may be.
    KeyFound {
        /// Where.
        place: String,
    },
    /// A run ended.
    RunEnded {
        /// The upstream.
        engine: String,
        /// The id of the try.
        attempt: String,
        /// How.
        how: RunEnd,
        /// The digest of a plain body.
        body: u64,
        /// The last event of a stream, whether it was sent in this run or before.
        last_event: u64,
    },
    /// An upstream turned a request away and has not run it.
    TurnedAway {
        /// The upstream.
        engine: String,
        /// The id of the try.
        attempt: String,
    },
    /// An upstream names another limit from now on, or none.
    Limited {
        /// The upstream.
        engine: String,
        /// Thousandths of a request a second; 0 if it names none.
        milli: u64,
    },
    /// An upstream says from now on that it leaves.
    Leaving {
        /// The upstream.
        engine: String,
    },
    /// The store has acknowledged an upstream's entry that says that it leaves.
    EntryLeaving {
        /// The upstream.
        engine: String,
    },
    /// An upstream turned a request away and asked the box for rest.
    AskedForRest {
        /// The upstream.
        engine: String,
        /// The id of the try.
        attempt: String,
        /// For how many milliseconds.
        milli: u64,
    },
    /// A box's log says that it could not read what another box told.
    NotRead {
        /// The box.
        node: usize,
        /// How many lines say so.
        lines: usize,
    },
    /// An engine took an order.
    Ordered {
        /// The engine.
        engine: String,
        /// Who gave it.
        holder: String,
        /// The fencing token.
        token: u64,
        /// The stage that it is to have.
        stage: String,
    },
    /// The store acknowledged a version of the configuration.
    Configured {
        /// The version.
        version: u64,
    },
    /// A client asked a box for the route that a version alone has.
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
    /// A box changed.
    Node {
        /// The box.
        node: usize,
        /// How.
        change: BoxChange,
    },
    /// The store was disturbed from now on.
    StoreDisturbed {
        /// For how long.
        span: Micros,
    },
    /// All boxes were killed, and started again by now.
    AllRestarted,
    /// A fault began, for the report.
    Fault {
        /// Its name.
        name: String,
        /// How long it lasts.
        span: Micros,
    },
    /// What a box's process uses.
    Usage {
        /// The box.
        node: usize,
        /// Resident memory, in bytes.
        resident: u64,
        /// Open descriptors.
        descriptors: u64,
    },
    /// A request with a flaw came to a box.
    Flawed {
        /// The box.
        node: usize,
        /// The flaw.
        flaw: Flaw,
        /// How long the box took to answer it or to close the connection.
        span: Micros,
        /// Whether it did.
        is_done: bool,
    },
    /// An engine's runs after the last client has gone.
    StillActive {
        /// The engine.
        engine: String,
        /// The runs.
        runs: u64,
    },
}
