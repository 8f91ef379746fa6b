//! The answers of the gateway itself to requests that no engine answers.

use std::time::Duration;

use hollyspoke::outcome::NotRun;

/// Why a request is answered by the gateway itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request was not run; the client may retry after the duration.
    NotRun(NotRun, NotRunReason, Duration),
    /// The customer is over its limit and the request was not run; the client may retry after the
    /// duration.
    OverLimit(NotRun, Duration),
    /// The client's key is missing or unknown.
    UnknownKey,
    /// The request is quarantined because engines crash under it. It was not run and must not be
    /// retried.
    Quarantined(NotRun),
    /// No route matches the request.
    NoRoute,
    /// The engine failed, and the request may have run.
    Failed,
    /// The deadline passed, and the request may have run.
    TimedOut,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// A newer configuration exists that this box hasn't read yet and that may contain the client's
    /// key.
    StaleConfiguration,
    /// The process is about to stop.
    Stopping,
    /// No engine can take the request.
    NoEngine,
    /// All engines that could take the request are in evacuated data centres.
    Evacuated,
    /// No engine is in a region where the request may be served.
    NoEngineInRegion,
    /// All engines that could take the request are rate-limited and accept no more for now.
    RateLimited,
    /// All engines that could take the request are shutting down.
    ShuttingDown,
    /// All engines that could take the request have asked this box to back off.
    BackingOff,
    /// The engines rejected the request.
    Rejected,
    /// The request would be served too late.
    Overloaded,
    /// The deadline passed before the request was sent.
    TimedOut,
    /// It is still being determined whether engines crash under the request.
    UnderSuspicion,
    /// This box lacked a descriptor, a port or memory for a connection.
    Exhausted,
    /// It isn't known which software version began the stream.
    VersionUnknown,
    /// No engine of the software version that began the stream is left.
    NoEngineOfVersion,
}

impl NotRunReason {
    /// Returns the reason as it is written to the log.
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
            NotRunReason::Exhausted => "refused: box exhausted",
            NotRunReason::VersionUnknown => "refused: version unknown",
            NotRunReason::NoEngineOfVersion => "refused: no engine of its version",
        }
    }

    /// Returns whether the request may be served if the client retries it later.
    pub fn may_pass(self) -> bool {
        !matches!(self, NotRunReason::VersionUnknown | NotRunReason::NoEngineOfVersion)
    }
}
