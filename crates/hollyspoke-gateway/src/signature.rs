//! Signatures that identify repeated requests by their target, caller and body, and parts of prompts
//! by their name.
//!
//! Each try of a client has its own id, so a repeated request is recognised by these alone. All of
//! them are hashed, so that nothing of a body is stored or sent, and nobody can forge a request
//! with the signature of another caller's request. The signature of a part is the same for all
//! callers, since they share parts.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::credential::KeyDigest;
use crate::version::VersionKey;

/// Number of bytes of a signature that are displayed: enough to tell held requests apart, too few
/// to confirm a guessed body.
const SHORT_LENGTH_BYTES: usize = 3;

/// Text that keeps the digests of parts apart from those of requests.
const PART_DOMAIN: &str = "prompt part";

/// Digest of a request's method, host, target and body.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Content([u8; 32]);

impl Content {
    /// Computes the digest of a request.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8]) -> Content {
        let mut digest = Sha256::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            // The length prefix keeps adjacent parts from being confused.
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

/// The signature of a request, the same for all its tries at all boxes, or of a part of prompts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Signature([u8; Signature::LENGTH_BYTES]);

impl Signature {
    /// Length of a signature in bytes: half of the digest, since signatures are sent in datagrams.
    /// Finding a second request with a given signature takes 2^128 attempts.
    pub const LENGTH_BYTES: usize = 16;

    /// Computes the signature of a request from its content and the name of the customer that sent
    /// it, or the key sent with it if customers are not configured.
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
        Signature::truncate(&digest.finalize().into())
    }

    /// Computes the signature of a part of a service's prompts from its name.
    pub fn of_part(service: &str, name: &str) -> Signature {
        let mut digest = Sha256::new();
        for text in [PART_DOMAIN, service, name] {
            // The length prefix keeps adjacent texts from being confused.
            digest.update((text.len() as u64).to_le_bytes());
            digest.update(text);
        }
        Signature::truncate(&digest.finalize().into())
    }

    /// Returns the signature of a part at engines of a software version. An unknown version counts as
    /// one of its own.
    pub fn at_version(mut self, version: Option<VersionKey>) -> Signature {
        let Some(version) = version else { return self };
        for (byte, other) in self.0.iter_mut().zip(version.0.to_le_bytes()) {
            *byte ^= other;
        }
        self
    }

    /// Returns the signature that a digest begins with.
    fn truncate(digest: &[u8; 32]) -> Signature {
        let mut signature = [0; Self::LENGTH_BYTES];
        signature.copy_from_slice(&digest[..Self::LENGTH_BYTES]);
        Signature(signature)
    }

    /// Returns the bytes of the signature.
    pub fn bytes(&self) -> [u8; Signature::LENGTH_BYTES] {
        self.0
    }

    /// Creates a signature from its bytes.
    pub fn from_bytes(bytes: [u8; Signature::LENGTH_BYTES]) -> Signature {
        Signature(bytes)
    }

    /// Returns the displayed prefix, for logs and operators.
    pub fn short(&self) -> String {
        hex(&self.0[..SHORT_LENGTH_BYTES])
    }

    /// Returns the full signature in hexadecimal, for the store only.
    pub fn text(&self) -> String {
        hex(&self.0)
    }

    /// Parses a full signature in hexadecimal. `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Signature> {
        if text.len() != 2 * Self::LENGTH_BYTES || !text.is_ascii() {
            return None;
        }
        let mut signature = [0; Self::LENGTH_BYTES];
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

/// Formats bytes as hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}
