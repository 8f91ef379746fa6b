//! How an engine deviates from the protocol of reservations and transfers.

use std::cell::Cell;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Engine;

/// The range of the delay of a late answer, in milliseconds.
const LATE_ANSWER_MS: (u64, u64) = (300, 1500);

/// A deviation from the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Breach {
    /// The answer is lost after the effect.
    Lose,
    /// The answer comes late.
    Late,
    /// The call is refused although there is room.
    Refuse,
    /// The engine doesn't know the call.
    Unknown,
    /// The reservation or the copy lapses at once.
    Expire,
    /// The engine crashes while it copies.
    Crash,
}

impl Breach {
    /// All deviations.
    pub const ALL: [Breach; 6] = [
        Breach::Lose,
        Breach::Late,
        Breach::Refuse,
        Breach::Unknown,
        Breach::Expire,
        Breach::Crash,
    ];
}

/// The current deviation of an engine, with the percentage of calls that it affects.
#[derive(Debug, Default)]
pub(super) struct Breaches(Cell<Option<(Breach, u64)>>);

impl Engine {
    /// Deviates from now on in this percentage of calls; not at all if it is 0.
    pub(super) fn deviate(&self, breach: Breach, share: u64) {
        self.breaches.0.set((share > 0).then_some((breach, share)));
    }

    /// Draws how a call is affected.
    pub(super) fn draw_breach(&self) -> Option<Breach> {
        let (breach, share) = self.breaches.0.get()?;
        (self.draw("breach") < share).then_some(breach)
    }

    /// Waits as long as a late answer takes.
    pub(super) async fn delay(&self, breach: Option<Breach>) {
        if breach == Some(Breach::Late) {
            let span = LATE_ANSWER_MS.1 - LATE_ANSWER_MS.0;
            let late = LATE_ANSWER_MS.0 + self.draw("late") * span / 100;
            tokio::time::sleep(Duration::from_millis(late)).await;
        }
    }
}
