//! Detects bytes that come without end and without an answer among them: a head, informational
//! answers or a transfer coding that does not end.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::flaw::Flaw;

/// The maximum number of bytes without a complete head or a part of a body. It exceeds what the HTTP
/// library reads ahead of a slow reader of the body.
const MAX_BYTES: usize = 1 << 20;

/// The longest time for which such bytes may keep coming.
const MAX_DURATION: Duration = Duration::from_secs(1);

/// The part of a silence that counts towards that time. A server that stands still within a head, and
/// then sends the rest, is no endless one.
const MAX_COUNTED_SILENCE: Duration = Duration::from_millis(250);

/// What has arrived on a connection since the last progress: a request that was sent, a head or a part
/// of a body.
#[derive(Debug, Default)]
pub struct Meter {
    /// The number of bytes.
    bytes: Cell<usize>,
    /// The time for which they have kept coming.
    duration: Cell<Duration>,
    /// When the last of them arrived.
    read_at: Cell<Option<Instant>>,
}

impl Meter {
    /// Records progress.
    pub fn advance(&self) {
        self.bytes.set(0);
        self.duration.set(Duration::ZERO);
        self.read_at.set(None);
    }

    /// Records bytes that have arrived.
    ///
    /// # Errors
    ///
    /// If bytes have come for too long, or too many of them, without progress.
    pub fn record_read(&self, count: usize) -> Result<(), Flaw> {
        let now = Instant::now();
        let silence = self.read_at.replace(Some(now)).map_or(Duration::ZERO, |it| now - it);
        self.duration.set(self.duration.get() + silence.min(MAX_COUNTED_SILENCE));
        self.bytes.set(self.bytes.get() + count);
        let is_endless = self.bytes.get() > MAX_BYTES || self.duration.get() > MAX_DURATION;
        if is_endless { Err(Flaw::Endless) } else { Ok(()) }
    }
}
