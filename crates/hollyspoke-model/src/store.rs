//! A fake of the platform's store in virtual time.

use std::collections::BTreeMap;

use hollyspoke::store::{Answer, Operation};

/// What goes wrong at the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Nothing is answered or done.
    pub down: bool,
    /// Writes take effect, and their answers are lost.
    pub lose_answers: bool,
    /// Writes take effect only after their answer was given up on.
    pub late: bool,
}

/// A fake store.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// The objects, with their versions.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// The last version given.
    version: u64,
    /// What goes wrong.
    pub faults: Faults,
    /// Reads so far.
    pub reads: u64,
    /// Writes so far.
    pub writes: u64,
}

/// What becomes of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is answered.
    Answered(Answer),
    /// Its answer is lost.
    Lost,
    /// Its answer is lost, and it takes effect later, when it is applied again.
    Late(Operation),
}

impl Store {
    /// Takes an operation.
    pub fn handle(&mut self, operation: Operation) -> Outcome {
        match &operation {
            Operation::Get { .. } => self.reads += 1,
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

    /// Carries an operation out.
    pub fn apply(&mut self, operation: Operation) -> Answer {
        match operation {
            Operation::Get { kind, name } => match self.objects.get(&(kind, name)) {
                Some((version, value)) => Answer::Found { version: *version, value: value.clone() },
                None => Answer::Absent,
            },
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
