//! Digests of customers' API keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Digest of a key. The keys themselves are not stored anywhere, so neither a memory dump nor a log
/// reveals one, and the duration of a lookup reveals nothing about the known keys.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Returns the digest in hexadecimal.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|it| format!("{it:02x}")).collect()
    }

    /// Parses a digest in hexadecimal; none if it is malformed.
    pub fn from_hex(text: &str) -> Option<KeyDigest> {
        let mut digest = [0; 32];
        if text.len() != 2 * digest.len() || !text.is_ascii() {
            return None;
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(KeyDigest(digest))
    }

    /// Feeds this digest into another one.
    pub fn add_to(&self, digest: &mut Sha256) {
        digest.update(self.0);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
