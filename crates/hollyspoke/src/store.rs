//! Operations on the platform's object store, and their answers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of bits of a fencing token that hold the number of a revision; the era is above them.
/// Tokens are integers that JSON parsers with 53 bits of precision read exactly while the era fits
/// into the remaining 13 bits.
const NUMBER_BITS: u32 = 40;

/// The highest era that a fencing token can hold.
const LAST_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// A revision of the store. A store that was restored from an older copy reuses numbers, in a later
/// era, so revisions are ordered by era before number.
///
/// It is serialized as its number alone, for compatibility with boxes that do not know eras;
/// messages that carry the era have a separate field for it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Revision {
    /// How often the store was restored from an older copy; 0 if it does not report that.
    pub era: u64,
    /// The number, which increases with every change within an era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub const fn new(era: u64, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Returns the revision with the same number in another era.
    #[must_use]
    pub const fn in_era(self, era: u64) -> Revision {
        Revision { era, ..self }
    }

    /// Returns a fencing token, which increases with the revision, across eras too.
    pub fn token(self) -> u64 {
        let era = self.era.min(LAST_ERA);
        (era << NUMBER_BITS) | (self.number & !(LAST_ERA << NUMBER_BITS))
    }
}

impl From<u64> for Revision {
    fn from(number: u64) -> Revision {
        Revision { era: 0, number }
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> u64 {
        revision.number
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// An operation on an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Reads an object.
    Get {
        /// The object's kind.
        kind: String,
        /// The object's name.
        name: String,
    },
    /// Reads an object in a version that may be out of date, which costs the store less.
    Peek {
        /// The object's kind.
        kind: String,
        /// The object's name.
        name: String,
    },
    /// Writes an object if its version is the expected one; zero expects that it does not exist.
    Put {
        /// The object's kind.
        kind: String,
        /// The object's name.
        name: String,
        /// The expected version.
        expected: u64,
        /// The new value.
        value: String,
    },
}

/// An answer of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The object that was read.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        value: String,
    },
    /// The object does not exist.
    Absent,
    /// The write took effect.
    Written {
        /// The new version.
        version: u64,
    },
    /// The write did not take effect, since the object's version was another one.
    Conflict,
    /// There was no answer: nothing is known after a read, and a write may have taken effect or may
    /// yet do so.
    Away,
}
