//! The newest changes of engines, for boxes that have missed some.

use std::collections::VecDeque;

use hollyspoke::store::Revision;

use crate::engine::EngineChange;

/// The most changes that are kept: about a megabyte, by 250 bytes each. A box asks within two
/// heartbeats of missing one, 3.2 s where boxes are many; in that time a large site whose engines
/// all enter at once makes thousands.
const MAX_CHANGES_COUNT: usize = 4096;

/// The newest changes, in order.
#[derive(Debug, Clone, Default)]
pub(super) struct History {
    /// The changes.
    changes: VecDeque<EngineChange>,
    /// The revision after which none is missing among them.
    since: Revision,
    /// The last revision of an earlier era, to which all of them add up too, while none was dropped.
    entered_from: Option<Revision>,
}

impl History {
    /// Begins anew after a list of a revision.
    pub(super) fn begin(&mut self, revision: Revision) {
        self.changes.clear();
        self.since = revision;
        self.entered_from = None;
    }

    /// Begins anew with the changes that lead from what was known in an earlier era to a later one.
    pub(super) fn enter(&mut self, from: Revision, changes: &[EngineChange], revision: Revision) {
        self.begin(revision);
        if changes.len() <= MAX_CHANGES_COUNT {
            self.entered_from = Some(from);
            self.changes.extend(changes.iter().cloned());
        }
    }

    /// Adds a change that follows on those before.
    pub(super) fn add(&mut self, change: EngineChange) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES_COUNT
            && let Some(dropped) = self.changes.pop_front()
        {
            // Others of the same revision may still be here; without this one they are no use.
            self.since = dropped.revision();
            self.entered_from = None;
        }
    }

    /// Gives the changes since a revision, if none of them is missing.
    pub(super) fn since(&self, revision: Revision) -> Option<Vec<EngineChange>> {
        if revision < self.since && self.entered_from != Some(revision) {
            return None;
        }
        Some(self.changes.iter().filter(|it| it.revision() > revision).cloned().collect())
    }
}
