//! The store of a fleet: the boxes' own objects, and counts of the calls that arrived.

use std::collections::BTreeMap;

use hollyspoke::store::{Answer, Operation, Revision};
use hollyspoke_gateway::gateway::CASES;

/// The revision of the first list of engines.
const FIRST: Revision = Revision::new(0, 10);

/// The platform's store, as far as boxes use it.
#[derive(Debug, Clone)]
pub struct Store {
    /// The revision of the newest change of an engine; its era is reported if it is not 0.
    pub revision: Revision,
    /// The objects, each with its version.
    objects: BTreeMap<String, (u64, String)>,
    /// The number of calls on objects and lists, without watches.
    pub calls: usize,
    /// How often boxes have read the quarantine cases.
    pub case_reads: usize,
}

impl Default for Store {
    fn default() -> Store {
        Store { revision: FIRST, objects: BTreeMap::new(), calls: 0, case_reads: 0 }
    }
}

impl Store {
    /// Restores a backup: later changes are lost, and their revision numbers are assigned again.
    pub fn restore(&mut self, copy: &Store) {
        let era = self.revision.era + 1;
        self.revision = copy.revision.in_era(era);
        self.objects.clone_from(&copy.objects);
    }

    /// Returns the value of an object.
    pub fn value(&self, kind: &str, name: &str) -> Option<&str> {
        self.objects.get(&format!("{kind}/{name}")).map(|it| it.1.as_str())
    }

    /// Applies an operation.
    pub(super) fn carry_out(&mut self, operation: Operation) -> Answer {
        self.calls += 1;
        if matches!(&operation, Operation::Get { kind, .. } if kind == CASES) {
            self.case_reads += 1;
        }
        match operation {
            Operation::Get { kind, name } | Operation::Peek { kind, name } => {
                match self.objects.get(&format!("{kind}/{name}")) {
                    Some((version, value)) => {
                        Answer::Found { version: *version, value: value.clone() }
                    }
                    None => Answer::Absent,
                }
            }
            Operation::Put { kind, name, expected, value } => {
                let object = self.objects.entry(format!("{kind}/{name}")).or_default();
                if object.0 != expected {
                    return Answer::Conflict;
                }
                *object = (expected + 1, value);
                Answer::Written { version: expected + 1 }
            }
        }
    }
}
