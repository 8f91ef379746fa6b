//! The transfer of a running stream's memory from one engine to another, where the stream then
//! continues, and the decisions on which streams are moved and when.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey};
use crate::request::{CallKey, RequestKey};

/// The time per event that is assumed until a stream has shown its own.
const INITIAL_EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// The share of the events so far that is assumed to follow if a stream has passed its expected
/// length.
const OVERDUE_SHARE: f64 = 0.25;

/// The remaining time below which a stream isn't moved. A move takes two copies and a new call, so
/// the stream would mostly be complete before it continued elsewhere.
const MIN_REMAINING: Duration = Duration::from_millis(200);

/// The time that a move may take, which has to fit into what is left of the engine.
const MOVE_DURATION: Duration = Duration::from_millis(400);

/// The maximum number of moves from one engine at a time.
const MAX_MOVES_PER_ENGINE: usize = 4;

/// The maximum number of moves of one box at a time.
const MAX_MOVES: usize = 16;

/// The maximum time for which the copies of one box occupy the link of an engine. Prompts that are
/// fetched by requests wait behind them.
const MAX_LINK_DURATION: Duration = Duration::from_millis(400);

/// The factor by which a copy to another data centre takes longer.
const OTHER_DATA_CENTRE_FACTOR: u32 = 2;

/// The weight of the newest stream in the mean number of tokens per event.
const STREAM_WEIGHT: f64 = 0.1;

/// The share of an engine's memory that may be in use for it to receive a backup as well. The rest
/// is left to requests, which need the memory themselves.
const MAX_BACKUP_MEMORY_SHARE: f64 = 0.5;

/// The tokens of a prompt from which on a stream that may be repeated is backed up nevertheless,
/// since prefilling it again would take longer than most clients accept as a pause.
const LONG_PROMPT_TOKENS: u64 = 8_000;

/// An order to an engine to copy a stream's memory to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The request whose stream is moved.
    pub request: RequestKey,
    /// The call through which the stream runs.
    pub call: CallKey,
    /// The engine at which the stream runs.
    pub source: Arc<Engine>,
    /// The address of the engine that receives the copy.
    pub target: SocketAddr,
    /// Whether the stream stops before the copy is made, so that the copy is complete. Otherwise it
    /// runs on, and only what is new has to be copied the next time.
    pub is_final: bool,
}

/// An engine's answer to a transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The copy is made.
    Copied {
        /// The source's handle for the copy.
        handle: String,
        /// The number of events that the stream has produced so far.
        events: u64,
    },
    /// The stream doesn't run at the source.
    NotRunning,
    /// Another transfer of the stream is in progress.
    InProgress,
    /// There is no memory at the target, or no route to it. A stopped stream can go on at the
    /// source with the handle.
    Refused {
        /// The source's handle for a stopped stream.
        handle: Option<String>,
    },
    /// The engine doesn't support transfers.
    Unsupported,
    /// The connection could not be opened; nothing was started.
    NotConnected,
    /// No answer arrived. The stream may have been stopped.
    Unknown,
}

/// Why a stream is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its engine is shutting down.
    Leaving,
}

impl Reason {
    /// Returns the reason as it appears in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Leaving => "engine leaving",
        }
    }
}

/// The events that a call has forwarded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// The id and the time of the first event.
    first: Option<(u64, Time)>,
    /// The id and the time of the last event.
    last: Option<(u64, Time)>,
}

impl Progress {
    /// Records that events up to an id were forwarded.
    pub fn record(&mut self, id: u64, now: Time) {
        self.first = self.first.or(Some((id, now)));
        self.last = Some((id, now));
    }

    /// Returns whether any event was forwarded.
    pub fn has_events(&self) -> bool {
        self.last.is_some()
    }

    /// Returns the mean time per event.
    pub fn event_interval(&self) -> Duration {
        let (Some((first, began)), Some((last, at))) = (self.first, self.last) else {
            return INITIAL_EVENT_INTERVAL;
        };
        let count = u32::try_from(last.saturating_sub(first)).unwrap_or(u32::MAX);
        if count == 0 { INITIAL_EVENT_INTERVAL } else { at.since(began) / count }
    }

    /// Returns how long a stream of an expected number of events still runs.
    pub fn remaining(&self, expected_events: f64) -> Duration {
        let done = self.last.map_or(0.0, |(id, _)| id as f64);
        let left = (expected_events - done).max(done * OVERDUE_SHARE);
        let seconds = self.event_interval().as_secs_f64() * left.max(0.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// The mean number of expected tokens per event of a service's complete streams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EventSize(f64);

impl Default for EventSize {
    fn default() -> EventSize {
        EventSize(1.0)
    }
}

impl EventSize {
    /// Records a complete stream.
    pub fn record(&mut self, expected_tokens: u64, events: u64) {
        if events > 0 {
            let sample = expected_tokens as f64 / events as f64;
            self.0 += STREAM_WEIGHT * (sample - self.0);
        }
    }

    /// Returns the number of events of a stream with an expected number of tokens.
    pub fn events(self, expected_tokens: u64) -> f64 {
        expected_tokens as f64 / self.0.max(f64::MIN_POSITIVE)
    }
}

/// Returns whether a stream has to move from an engine that is shutting down. `left` is how long the
/// engine is still certain to serve. Streams that are nearly complete stay.
pub fn outlives_engine(remaining: Duration, left: Duration) -> bool {
    remaining >= MIN_REMAINING && remaining.saturating_add(MOVE_DURATION) > left
}

/// A copy over the links of two engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Copy {
    /// The engine that sends it.
    pub source: EngineKey,
    /// The engine that receives it.
    pub target: EngineKey,
    /// How long it occupies the links.
    pub duration: Duration,
}

/// The bandwidth of engines' links.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// The size of one token's memory, in bytes.
    pub token_bytes: u64,
    /// The bandwidth, in megabits per second.
    pub mbps: f64,
}

impl Link {
    /// Returns how long the copy of some tokens occupies a link.
    pub fn copy_duration(self, tokens: u64, is_same_data_centre: bool) -> Duration {
        let bits = tokens as f64 * self.token_bytes as f64 * 8.0;
        let seconds = bits / (self.mbps * 1e6).max(1.0);
        let duration = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        if is_same_data_centre {
            duration
        } else {
            duration.saturating_mul(OTHER_DATA_CENTRE_FACTOR)
        }
    }
}

/// Returns whether one more copy may be started beside those in progress. A single copy always may,
/// however long it takes.
pub fn may_copy(in_progress: &[Copy], new: Copy) -> bool {
    let from_source = in_progress.iter().filter(|it| it.source == new.source).count();
    if in_progress.len() >= MAX_MOVES || from_source >= MAX_MOVES_PER_ENGINE {
        return false;
    }
    [new.source, new.target].into_iter().all(|engine| {
        let shares_link = |it: &&Copy| it.source == engine || it.target == engine;
        let busy = in_progress.iter().filter(shares_link).map(|it| it.duration);
        let busy = busy.fold(Duration::ZERO, Duration::saturating_add);
        busy.is_zero() || busy.saturating_add(new.duration) <= MAX_LINK_DURATION
    })
}

/// What decides whether a stream is backed up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackupCase {
    /// Whether the request may run again.
    pub is_idempotent: bool,
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens that the copy will hold.
    pub tokens: u64,
    /// The tokens held at the engine that would receive the copy.
    pub held_tokens: u64,
    /// The tokens that the memory of that engine holds.
    pub memory_tokens: u64,
}

impl BackupCase {
    /// Returns whether the loss of the stream would cost enough for a backup.
    pub fn is_worthwhile(self) -> bool {
        !self.is_idempotent || self.prompt_tokens >= LONG_PROMPT_TOKENS
    }

    /// Returns whether the engine that would receive the copy has plenty of memory.
    pub fn has_memory(self) -> bool {
        let held = self.held_tokens.saturating_add(self.tokens);
        held as f64 <= self.memory_tokens as f64 * MAX_BACKUP_MEMORY_SHARE
    }
}
