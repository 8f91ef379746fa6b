//! The estimate of an engine's pace, which fades as it grows old.

use std::time::Duration;

use hollyspoke::time::Time;

use super::{SLOW_PERCENT, USUAL_PERCENT};
use crate::engine::Stage;

/// How long an estimate counts in full. Boxes with streams at the engine measure it more often.
const FULL_TTL: Duration = Duration::from_secs(2);

/// How long an estimate counts at all. From [`FULL_TTL`] on it fades, so that an engine that gets
/// nothing because it is slow is tried by few streams first.
pub(super) const TTL: Duration = Duration::from_secs(8);

/// How long a shorter time that a prefill engine took outweighs longer ones, which may include waits.
const LEAST_TTL: Duration = Duration::from_secs(4);

/// An estimate of an engine's pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Estimate {
    /// The time that work takes, in percent of the usual.
    pub(super) percent: u16,
    /// When it was measured.
    pub(super) at: Time,
}

impl Estimate {
    /// Returns whether the estimate still counts.
    pub(super) fn is_valid(self, now: Time) -> bool {
        now.since(self.at) < TTL
    }

    /// Returns how long work takes, relative to the usual: 1 unless the engine is slow.
    pub(super) fn pace(self, now: Time) -> f64 {
        if self.percent < SLOW_PERCENT {
            return 1.0;
        }
        let faded = now.since(self.at).saturating_sub(FULL_TTL);
        let left = 1.0 - faded.as_secs_f64() / (TTL - FULL_TTL).as_secs_f64();
        let excess = f64::from(self.percent) / f64::from(USUAL_PERCENT) - 1.0;
        1.0 + excess * left.max(0.0)
    }
}

/// Returns the estimate that counts of two: the newer one, or the second if both are equally old. A
/// recent lower one of a prefill engine counts more than a newer one.
pub(super) fn merge(
    stage: Option<Stage>,
    first: Option<Estimate>,
    second: Option<Estimate>,
    now: Time,
) -> Option<Estimate> {
    let (Some(a), Some(b)) = (first, second) else { return first.or(second) };
    let (older, newer) = if a.at <= b.at { (a, b) } else { (b, a) };
    let is_least = stage == Some(Stage::Prefill)
        && older.percent < newer.percent
        && now.since(older.at) < LEAST_TTL;
    Some(if is_least { older } else { newer })
}
