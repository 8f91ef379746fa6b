//! A fake of the platform's store in virtual time.

use std::collections::BTreeMap;

use hollyspoke::store::{Answer, Operation};

/// The faults of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Operations are neither applied nor answered.
    pub down: bool,
    /// Writes take effect, but their answers are lost.
    pub lose_answers: bool,
    /// Writes take effect only after the caller has timed out.
    pub late: bool,
}

/// A fake store.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// The objects, with their versions.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// The last version assigned.
    version: u64,
    /// The current faults.
    pub faults: Faults,
    /// The number of reads so far.
    pub reads: u64,
    /// The number of writes so far.
    pub writes: u64,
}

/// The outcome of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The operation is answered.
    Answered(Answer),
    /// The answer is lost.
    Lost,
    /// The answer is lost, and the operation takes effect when the caller applies it later.
    Late(Operation),
}

impl Store {
    /// Handles an operation, subject to the current faults.
    pub fn handle(&mut self, operation: Operation) -> Outcome {
        match &operation {
            Operation::Get { .. } | Operation::Peek { .. } => self.reads += 1,
            Operation::Put { .. } => self.writes += 1,
        }
        if self.faults.down {
            return Outcome::Lost;
        }
        let is_write = matches!(operation, Operation::Put { .. });
        if is_write && self.faults.late {
            return Outcome::Late(operation);
        }
        let answer = self.apply(operation);
        if is_write && self.faults.lose_answers {
            return Outcome::Lost;
        }
        Outcome::Answered(answer)
    }

    /// Applies an operation, regardless of faults.
    pub fn apply(&mut self, operation: Operation) -> Answer {
        match operation {
            Operation::Get { kind, name } | Operation::Peek { kind, name } => {
                match self.objects.get(&(kind, name)) {
                    Some((version, value)) => {
                        Answer::Found { version: *version, value: value.clone() }
                    }
                    None => Answer::Absent,
                }
            }
            Operation::Put { kind, name, expected, value } => {
                let key = (kind, name);
                let found = self.objects.get(&key).map_or(0, |it| it.0);
                if found != expected {
                    return Answer::Conflict;
                }
                self.version += 1;
                self.objects.insert(key, (self.version, value));
                Answer::Written { version: self.version }
            }
        }
    }
}
