//! What the other boxes have told, and how old it is.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Visibility;
use crate::time::Time;

/// What one other box has told.
#[derive(Debug, Clone)]
pub(super) struct PeerTotals<K> {
    /// The number of its life.
    pub(super) incarnation: u64,
    /// When it was last heard.
    pub(super) at: Time,
    /// Whether all its totals are known, so that one that is new began at zero.
    pub(super) is_complete: bool,
    /// Its totals.
    pub(super) totals: BTreeMap<K, u32>,
}

/// How old the last words of the others are that are heard.
#[derive(Debug, Clone, Copy)]
pub(super) struct MeanAge {
    /// The mean of their ages.
    pub(super) age: Duration,
    /// When that was so.
    pub(super) at: Time,
}

impl MeanAge {
    /// Gives the age at a time.
    pub(super) fn age_at(&self, now: Time) -> Duration {
        self.age + now.since(self.at)
    }

    /// Takes in that one of the others is heard.
    pub(super) fn record_contact(&mut self, now: Time, visibility: Visibility) {
        let others = visibility.boxes.saturating_sub(1 + visibility.unreachable).max(1) as f64;
        self.age = self.age_at(now).mul_f64(1.0 - 1.0 / others);
        self.at = now;
    }
}

impl<K> PeerTotals<K> {
    /// Makes what is known of a box that is heard for the first time.
    pub(super) fn new(incarnation: u64, now: Time) -> PeerTotals<K> {
        PeerTotals { incarnation, at: now, is_complete: false, totals: BTreeMap::new() }
    }
}
