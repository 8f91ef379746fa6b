//! The deadlines that clients usually send, by which requests that are sent again are recognised.
//!
//! A client that returns after a refusal sends the time that it has left, which hardly any other
//! request has to the millisecond. First tries of one kind all have the same deadline.

use std::time::Duration;

/// The number of deadlines that are counted per route. A deadline that more than one in nine
/// requests have stays counted, however many others there are (Misra and Gries).
const MAX_COUNTED: usize = 8;

/// The number of requests from which on a deadline is usual.
const MIN_USUAL: u32 = 3;

/// The number up to which requests are counted, so that deadlines that clients no longer send are
/// forgotten.
const MAX_COUNT: u32 = 100;

/// The most frequent deadlines of a route's requests.
#[derive(Debug, Clone, Default)]
pub struct Frequent {
    /// The deadlines, each with a lower bound on the number of requests that had it of late.
    counts: Vec<(Duration, u32)>,
}

impl Frequent {
    /// Counts the deadline of a request.
    pub fn record(&mut self, deadline: Duration) {
        if let Some((_, count)) = self.counts.iter_mut().find(|it| it.0 == deadline) {
            *count = (*count + 1).min(MAX_COUNT);
        } else if self.counts.len() < MAX_COUNTED {
            self.counts.push((deadline, 1));
        } else {
            self.counts.iter_mut().for_each(|(_, count)| *count -= 1);
            self.counts.retain(|(_, count)| *count > 0);
        }
    }

    /// Returns whether a deadline is what is left of a usual one.
    pub fn is_remainder(&self, deadline: Duration) -> bool {
        let mut usual = self.counts.iter().filter(|(_, count)| *count >= MIN_USUAL);
        let is_usual = usual.clone().any(|(it, _)| *it == deadline);
        !is_usual && usual.any(|(it, _)| *it > deadline)
    }
}
