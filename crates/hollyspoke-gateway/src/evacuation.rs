//! The data centres whose engines get nothing, as the operator asks for in the platform's store.
//!
//! Boxes that follow the store tell the others, so that one that can't read the store learns it too.
//! What was true at a later revision of the store goes before what was true at an earlier one: a
//! datagram that comes late brings back nothing that was lifted.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The data centres that are evacuated at a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The revision; 0 if nothing is known.
    pub revision: u64,
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

impl Evacuation {
    /// Tells whether anything is known, also that nothing is evacuated.
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Tells whether a data centre is evacuated.
    pub fn includes(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Takes a state that was true at a later revision; none if it is not later.
    pub fn take(&mut self, newer: Evacuation) -> Option<Difference> {
        if newer.revision <= self.revision {
            return None;
        }
        let difference = Difference {
            begun: newer.data_centres.difference(&self.data_centres).cloned().collect(),
            lifted: self.data_centres.difference(&newer.data_centres).cloned().collect(),
        };
        *self = newer;
        Some(difference)
    }

    /// Gives the state after changes that led to a revision.
    #[must_use]
    pub fn after(&self, changes: Vec<Change>, revision: u64) -> Evacuation {
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
    /// Tells whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.lifted.is_empty()
    }
}
