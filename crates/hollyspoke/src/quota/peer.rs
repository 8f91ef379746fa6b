//! The totals that other boxes have announced, and their age.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Visibility;
use crate::time::Time;

/// The totals that one other box has announced.
#[derive(Debug, Clone)]
pub(super) struct PeerTotals<K> {
    /// The box's incarnation.
    pub(super) incarnation: u64,
    /// When its last announcement was received.
    pub(super) at: Time,
    /// Whether all its totals are known, so that a new one started at zero.
    pub(super) is_complete: bool,
    /// The box's totals by customer.
    pub(super) totals: BTreeMap<K, u32>,
}

/// The mean age of the last announcements of the reachable boxes.
#[derive(Debug, Clone, Copy)]
pub(super) struct MeanAge {
    /// The mean age at `at`.
    pub(super) age: Duration,
    /// When the mean was computed.
    pub(super) at: Time,
}

impl MeanAge {
    /// Returns the mean age at a time.
    pub(super) fn age_at(&self, now: Time) -> Duration {
        self.age + now.since(self.at)
    }

    /// Records an announcement of one of the others, whose age becomes zero.
    pub(super) fn record_contact(&mut self, now: Time, visibility: Visibility) {
        let others = visibility.boxes.saturating_sub(1 + visibility.unreachable).max(1) as f64;
        self.age = self.age_at(now).mul_f64(1.0 - 1.0 / others);
        self.at = now;
    }
}

impl<K> PeerTotals<K> {
    /// Creates the empty record of a box whose first announcement is received.
    pub(super) fn new(incarnation: u64, now: Time) -> PeerTotals<K> {
        PeerTotals { incarnation, at: now, is_complete: false, totals: BTreeMap::new() }
    }
}
