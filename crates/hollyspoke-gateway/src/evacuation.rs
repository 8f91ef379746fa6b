//! The evacuated data centres, whose engines receive no requests. Operators set them in the
//! platform's store.
//!
//! Boxes that follow the store announce them to the others, so that boxes that can't read the store
//! learn of them too. The state at a later revision of the store replaces that at an earlier one,
//! so a delayed datagram can't restore an evacuation that was lifted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};

/// How long an evacuation stays in effect that a later era of the store lacks. Within this time,
/// whoever requested it can request it again.
const HOLD_DURATION: Duration = Duration::from_secs(30);

/// The evacuated data centres at a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The revision; the default if nothing is known.
    pub revision: Revision,
    /// The names of the data centres.
    pub data_centres: BTreeSet<Arc<str>>,
}

/// A change of the evacuated data centres.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A data centre is evacuated.
    Begun(Arc<str>),
    /// A data centre's evacuation is lifted.
    Lifted(Arc<str>),
}

/// The difference between two states.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Difference {
    /// The data centres that are newly evacuated.
    pub begun: Vec<Arc<str>>,
    /// The data centres whose evacuation is lifted.
    pub lifted: Vec<Arc<str>>,
}

/// The evacuations in effect at a box: those of the newest state, and temporarily those that an
/// older copy of the store may have lost.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// The newest known state.
    newest: Evacuation,
    /// Other data centres that stay evacuated, and until when.
    held_until: BTreeMap<Arc<str>, Time>,
}

impl Evacuations {
    /// Returns the newest known state.
    pub fn newest(&self) -> &Evacuation {
        &self.newest
    }

    /// Returns the data centres whose evacuation is in effect.
    pub fn effective(&self) -> BTreeSet<Arc<str>> {
        self.newest.data_centres.iter().chain(self.held_until.keys()).cloned().collect()
    }

    /// Applies a state if its revision is newer, and returns the difference in effect.
    pub fn apply(&mut self, newer: Evacuation, now: Time) -> Difference {
        if newer.revision <= self.newest.revision {
            return Difference::default();
        }
        let before = self.effective();
        if newer.revision.era > self.newest.revision.era {
            let until = now + HOLD_DURATION;
            let lost = self.newest.data_centres.difference(&newer.data_centres);
            self.held_until.extend(lost.map(|it| (it.clone(), until)));
        }
        self.held_until.retain(|it, _| !newer.data_centres.contains(it));
        self.newest = newer;
        Difference::between(&before, &self.effective())
    }

    /// Applies changes that led to a newer revision, and returns the difference in effect.
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
                self.held_until.remove(data_centre);
            }
        }
        let newer = self.newest.after(changes, revision);
        self.apply(newer, now);
        Difference::between(&before, &self.effective())
    }

    /// Lifts the evacuations whose hold has expired, and returns the difference in effect.
    pub fn sweep(&mut self, now: Time) -> Difference {
        let before = self.effective();
        self.held_until.retain(|_, until| now < *until);
        Difference::between(&before, &self.effective())
    }

    /// Returns when the next held evacuation expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.held_until.values().min().copied()
    }
}

impl Evacuation {
    /// Returns whether the state is known, even if nothing is evacuated.
    pub fn is_known(&self) -> bool {
        self.revision > Revision::default()
    }

    /// Returns whether a data centre is evacuated.
    pub fn includes(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Returns the state at a revision, after the changes that led to it.
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
    /// Returns the difference between two sets of evacuated data centres.
    fn between(before: &BTreeSet<Arc<str>>, after: &BTreeSet<Arc<str>>) -> Difference {
        Difference {
            begun: after.difference(before).cloned().collect(),
            lifted: before.difference(after).cloned().collect(),
        }
    }

    /// Returns whether there is no difference.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.lifted.is_empty()
    }
}
