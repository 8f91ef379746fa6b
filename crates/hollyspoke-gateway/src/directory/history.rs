//! The most recent changes of engines, for boxes that have missed some.

use std::collections::VecDeque;

use hollyspoke::store::Revision;

use crate::engine::EngineChange;

/// The maximum number of changes that are kept: about 1 MB at 250 bytes each. A box that misses a
/// change asks for it within two heartbeats, 3.2 s at a site with many boxes. In that time a large
/// site where all engines register at once produces thousands of changes.
const MAX_CHANGES_COUNT: usize = 4096;

/// The most recent changes, in order.
#[derive(Debug, Clone, Default)]
pub(super) struct History {
    /// The changes, oldest first.
    changes: VecDeque<EngineChange>,
    /// The revision after which the changes are complete.
    since: Revision,
    /// The last revision of the earlier era, if the changes also lead from there and none has been
    /// dropped.
    entered_from: Option<Revision>,
}

impl History {
    /// Restarts the history at the revision of a list.
    pub(super) fn begin(&mut self, revision: Revision) {
        self.changes.clear();
        self.since = revision;
        self.entered_from = None;
    }

    /// Restarts the history with the changes that lead from the last revision of an earlier era to
    /// a later era.
    pub(super) fn enter(&mut self, from: Revision, changes: &[EngineChange], revision: Revision) {
        self.begin(revision);
        if changes.len() <= MAX_CHANGES_COUNT {
            self.entered_from = Some(from);
            self.changes.extend(changes.iter().cloned());
        }
    }

    /// Appends a change.
    pub(super) fn add(&mut self, change: EngineChange) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES_COUNT
            && let Some(dropped) = self.changes.pop_front()
        {
            // Others of the same revision may still be here, but are of no use without the dropped
            // one.
            self.since = dropped.revision();
            self.entered_from = None;
        }
    }

    /// Returns the changes since a revision, or `None` if some are missing.
    pub(super) fn since(&self, revision: Revision) -> Option<Vec<EngineChange>> {
        if revision < self.since && self.entered_from != Some(revision) {
            return None;
        }
        Some(self.changes.iter().filter(|it| it.revision() > revision).cloned().collect())
    }
}
