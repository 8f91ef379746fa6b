//! The versions of engines' software.
//!
//! Engines of several versions may serve one service side by side. What two versions write doesn't
//! fit together, so that a stream continues only at engines of the version that began it.

mod timeline;

use std::fmt;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

pub use timeline::{REACH, Timeline, Verdict};

/// The version of an engine's software. Engines that name none form a version of their own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoftwareVersion(Arc<str>);

/// A hash of a version's name, which is the same on all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey(pub u64);

impl SoftwareVersion {
    /// Creates a version from its name; an empty name stands for none.
    pub fn new(name: impl Into<Arc<str>>) -> SoftwareVersion {
        SoftwareVersion(name.into())
    }

    /// Returns the name, which is empty if the engine names none.
    pub fn name(&self) -> &str {
        &self.0
    }

    /// Computes the key.
    pub fn key(&self) -> VersionKey {
        VersionKey(xxh3_64(self.0.as_bytes()))
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for VersionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{:016x}", self.0)
    }
}
