//! What makes a request the same as another one: its target, its caller and its body.
//!
//! Each try of a client has an id of its own, so that a request that comes again is known by these
//! alone. All are digested, so that nothing of a body is kept or told, and nobody can make up a
//! request of another caller's that has the same signature.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::credential::KeyDigest;

/// The bytes of a signature. Half of the digest: to find a second request to a given signature
/// takes 2^128 tries, and it goes into datagrams.
const LENGTH_BYTES: usize = 16;

/// The bytes of a signature that are shown: enough to tell requests apart that are held back, too few
/// to confirm a guess of a body.
const SHORT_LENGTH_BYTES: usize = 3;

/// The digest of a request's method, target and body.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Content([u8; 32]);

impl Content {
    /// Makes the digest of a request.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8]) -> Content {
        let mut digest = Sha256::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            // The length keeps the parts apart.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Content(digest.finalize().into())
    }
}

impl fmt::Debug for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Content(..)")
    }
}

/// The signature of a request, the same for all its tries at all boxes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Signature([u8; LENGTH_BYTES]);

impl Signature {
    /// Makes the signature of a request, with the name of the customer that sent it, or the key that
    /// came with it where customers are not known.
    pub fn of(
        content: Content,
        customer: Option<&str>,
        credential: Option<KeyDigest>,
    ) -> Signature {
        let mut digest = Sha256::new();
        digest.update(content.0);
        match (customer, credential) {
            (Some(customer), _) => digest.update(customer.as_bytes()),
            (None, Some(credential)) => credential.add_to(&mut digest),
            (None, None) => {}
        }
        let full: [u8; 32] = digest.finalize().into();
        let mut signature = [0; LENGTH_BYTES];
        signature.copy_from_slice(&full[..LENGTH_BYTES]);
        Signature(signature)
    }

    /// Gives the part that logs and operators see.
    pub fn short(&self) -> String {
        hex(&self.0[..SHORT_LENGTH_BYTES])
    }

    /// Gives the whole as text, for the store alone.
    pub fn text(&self) -> String {
        hex(&self.0)
    }

    /// Reads the whole from text; none if it is not one.
    pub fn parse(text: &str) -> Option<Signature> {
        if text.len() != 2 * LENGTH_BYTES || !text.is_ascii() {
            return None;
        }
        let mut signature = [0; LENGTH_BYTES];
        for (index, byte) in signature.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Signature(signature))
    }
}

impl fmt::Debug for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Signature({}..)", self.short())
    }
}

/// Writes bytes as hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}
