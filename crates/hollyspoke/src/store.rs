//! Operations on the platform's object store, and what their answers prove.

use serde::{Deserialize, Serialize};

/// One operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Read an object.
    Get {
        /// The object's kind.
        kind: String,
        /// The object's name.
        name: String,
    },
    /// Write an object if its version is the one expected; zero expects none.
    Put {
        /// The object's kind.
        kind: String,
        /// The object's name.
        name: String,
        /// The version expected.
        expected: u64,
        /// The new value.
        value: String,
    },
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The object read.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        value: String,
    },
    /// There is no such object.
    Absent,
    /// The write took effect.
    Written {
        /// The new version.
        version: u64,
    },
    /// The write did not take effect: the version was another one.
    Conflict,
    /// No answer: a read says nothing, and a write may have taken effect or may yet do so.
    Away,
}
