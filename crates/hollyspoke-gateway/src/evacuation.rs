//! The data centres whose engines get nothing, as the operator asks for in the platform's store.
//!
//! Boxes that follow the store tell the others, so that one that can't read the store learns it too.
//! What was true at a later revision of the store goes before what was true at an earlier one: a
//! datagram that comes late brings back nothing that was lifted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};

/// How long an evacuation holds that a later era of the store does not have: whoever asked for it asks
/// again.
const HOLD_DURATION: Duration = Duration::from_secs(30);

/// The data centres that are evacuated at a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The revision; that of no store if nothing is known.
    pub revision: Revision,
    /// The data centres.
    pub data_centres: BTreeSet<Arc<str>>,
}

/// A change of what is evacuated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A data centre is to be evacuated.
    Begun(Arc<str>),
    /// A data centre may be used again.
    Lifted(Arc<str>),
}

/// What another state brings: the data centres that are newly evacuated, and those that are not any
/// more.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Difference {
    /// Those that are newly evacuated.
    pub begun: Vec<Arc<str>>,
    /// Those that may be used again.
    pub lifted: Vec<Arc<str>>,
}

/// The evacuated data centres as they hold at a box: those of the newest state, and for a time those
/// that an older copy of the store may have lost.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// The newest state.
    newest: Evacuation,
    /// Until when others hold too.
    held: BTreeMap<Arc<str>, Time>,
}

impl Evacuations {
    /// Gives the newest state that was told.
    pub fn newest(&self) -> &Evacuation {
        &self.newest
    }

    /// Gives the data centres whose engines get nothing.
    pub fn effective(&self) -> BTreeSet<Arc<str>> {
        self.newest.data_centres.iter().chain(self.held.keys()).cloned().collect()
    }

    /// Takes a state that was true at a later revision, and gives what it changes.
    pub fn apply(&mut self, newer: Evacuation, now: Time) -> Difference {
        if newer.revision <= self.newest.revision {
            return Difference::default();
        }
        let before = self.effective();
        if newer.revision.era > self.newest.revision.era {
            let until = now + HOLD_DURATION;
            let lost = self.newest.data_centres.difference(&newer.data_centres);
            self.held.extend(lost.map(|it| (it.clone(), until)));
        }
        self.held.retain(|it, _| !newer.data_centres.contains(it));
        self.newest = newer;
        Difference::between(&before, &self.effective())
    }

    /// Takes changes that led to a revision, and gives what they change.
    pub fn apply_changes(
        &mut self,
        changes: Vec<Change>,
        revision: Revision,
        now: Time,
    ) -> Difference {
        if revision <= self.newest.revision {
            return Difference::default();
        }
        let before = self.effective();
        for change in &changes {
            if let Change::Lifted(data_centre) = change {
                self.held.remove(data_centre);
            }
        }
        let newer = self.newest.after(changes, revision);
        self.apply(newer, now);
        Difference::between(&before, &self.effective())
    }

    /// Lifts what was held for long enough, and gives what that changes.
    pub fn sweep(&mut self, now: Time) -> Difference {
        let before = self.effective();
        self.held.retain(|_, until| now < *until);
        Difference::between(&before, &self.effective())
    }

    /// Gives when the next evacuation is held for long enough.
    pub fn next_expiry(&self) -> Option<Time> {
        self.held.values().min().copied()
    }
}

impl Evacuation {
    /// Tells whether anything is known, also that nothing is evacuated.
    pub fn is_known(&self) -> bool {
        self.revision > Revision::default()
    }

    /// Tells whether a data centre is evacuated.
    pub fn includes(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Gives the state after changes that led to a revision.
    #[must_use]
    pub fn after(&self, changes: Vec<Change>, revision: Revision) -> Evacuation {
        let mut data_centres = self.data_centres.clone();
        for change in changes {
            match change {
                Change::Begun(data_centre) => _ = data_centres.insert(data_centre),
                Change::Lifted(data_centre) => _ = data_centres.remove(&data_centre),
            }
        }
        Evacuation { revision, data_centres }
    }
}

impl Difference {
    /// Gives what leads from some evacuated data centres to others.
    fn between(before: &BTreeSet<Arc<str>>, after: &BTreeSet<Arc<str>>) -> Difference {
        Difference {
            begun: after.difference(before).cloned().collect(),
            lifted: before.difference(after).cloned().collect(),
        }
    }

    /// Tells whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.lifted.is_empty()
    }
}
