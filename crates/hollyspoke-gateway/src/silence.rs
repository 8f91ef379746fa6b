//! What the silence of a call means, and when its request is sent to a second engine.
//!
//! A silent call is not ended. It is kept beside the one that may replace it, until one of the two
//! has brought what the client waits for. Since a second call takes a token from the retry budget and
//! has the prompt prefilled again, it is only sent where it has a better chance than the first.

use std::time::Duration;

/// How long before a call's timeout its engine is probed, so that the answer is known by then.
const PROBE_LEAD: Duration = Duration::from_millis(500);

/// The share of a call's timeout for which its silence means nothing, and its engine isn't probed.
const MIN_SILENT_SHARE: f64 = 0.5;

/// What is known of an engine since a call to it fell silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing.
    Unknown,
    /// It has answered other calls or a probe.
    Responsive,
    /// Connections to it open, and it answers nothing: it stands still and may go on.
    Still,
    /// No connection to it opens.
    Unreachable,
}

/// What is done about a silent call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It is checked again after a time.
    Wait(Duration),
    /// The request is sent to another engine as well.
    Replace,
}

/// The silences that a call is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The silence after which the call is replaced.
    pub usual: Duration,
    /// The same if its engine stands still and may go on.
    pub still: Duration,
}

impl Timeouts {
    /// Returns the timeouts of a call whose client waits for `patience`, and whose successor needs
    /// `start` until its first event.
    pub fn new(usual: Duration, patience: Duration, start: Duration) -> Timeouts {
        Timeouts { usual, still: patience.saturating_sub(start).max(usual) }
    }

    /// Returns the silence from which on the engine is probed, and what is known of it counts.
    pub fn min(&self) -> Duration {
        self.usual.mul_f64(MIN_SILENT_SHARE).max(self.usual.saturating_sub(PROBE_LEAD))
    }

    /// Returns what is done about a call that has been silent for a time.
    pub fn next_step(&self, silent_for: Duration, standing: Standing) -> Step {
        let timeout = if standing == Standing::Still { self.still } else { self.usual };
        let end = if silent_for < self.min() { self.min() } else { timeout };
        if silent_for < end { Step::Wait(end - silent_for) } else { Step::Replace }
    }
}
