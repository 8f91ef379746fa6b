//! The digests of customers' keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The digest of a key. Keys themselves are kept nowhere: neither a copy of the memory nor a log
/// gives one away, and how long a lookup takes tells nothing of the keys that are known.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Makes the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Adds the digest to another one.
    pub fn add_to(&self, digest: &mut Sha256) {
        digest.update(self.0);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
