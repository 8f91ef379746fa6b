//! The parts of prompts on which engines have completed answers.

use std::collections::HashSet;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::signature::Signature;

/// How long a generation collects parts. A part is remembered for one to two of them after its last
/// complete answer, so that one that has become harmful is suspected some minutes later.
const GENERATION_DURATION: Duration = Duration::from_secs(600);

/// The maximum number of parts of a generation, about 20 bytes each.
const MAX_GENERATION_LEN: usize = 32_768;

/// The parts on which engines have recently completed answers, in two generations: forgetting the
/// older one as a whole takes neither a time for each part nor a queue of them.
#[derive(Debug, Clone, Default)]
pub(super) struct Answered {
    /// The parts since the start of this generation.
    current: HashSet<Signature>,
    /// The parts of the generation before.
    previous: HashSet<Signature>,
    /// When this generation started.
    started_at: Time,
}

impl Answered {
    /// Records that an answer on a part was complete.
    pub(super) fn record(&mut self, part: Signature, now: Time) {
        if self.current.len() >= MAX_GENERATION_LEN {
            self.start_generation(now);
        }
        self.current.insert(part);
    }

    /// Returns whether an answer on a part has recently been complete.
    pub(super) fn contains(&self, part: Signature) -> bool {
        self.current.contains(&part) || self.previous.contains(&part)
    }

    /// Forgets the parts that were not answered recently.
    pub(super) fn sweep(&mut self, now: Time) {
        if now.since(self.started_at) >= GENERATION_DURATION {
            self.start_generation(now);
        }
    }

    /// Starts a new generation.
    fn start_generation(&mut self, now: Time) {
        self.previous = std::mem::take(&mut self.current);
        self.started_at = now;
    }
}
