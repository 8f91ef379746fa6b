//! The software version that began a stream, and what boxes tell each other about it.
//!
//! A client that resumes a stream names only the attempt that began it. The box that forwards the
//! first event of a stream announces the version to a few other boxes, the holders. They follow from
//! the stream's key, so that every box knows whom to ask, also if the first one is gone.

pub mod archive;
mod table;

use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use crate::version::{SoftwareVersion, VersionKey};

pub use table::{Found, Table};

/// The key of a stream, the same on all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Computes the key of the stream that a client's attempt began. Another customer, or another
    /// service, that names the same id means another stream.
    pub fn of(service: &str, customer: Option<&str>, id: &str) -> StreamKey {
        let mut digest = Sha256::new();
        for part in [service, customer.unwrap_or_default(), id] {
            // The length prefix keeps adjacent parts from being confused.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part.as_bytes());
        }
        let full: [u8; 32] = digest.finalize().into();
        let mut key = [0; 8];
        key.copy_from_slice(&full[..8]);
        StreamKey(u64::from_le_bytes(key))
    }
}

/// What the origin of a stream requires of the engines that write its next events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The stream has no events yet: an engine of any version may begin it.
    Open,
    /// A client resumes the stream, and other boxes are asked for its version.
    Sought,
    /// It was begun by this version.
    Version(VersionKey),
    /// It was begun by an unknown version: no engine may continue it.
    Unknown,
}

impl Origin {
    /// Returns the origin of a stream that an engine of a version begins; `None` stands for an unknown
    /// version.
    pub fn of(version: Option<&SoftwareVersion>) -> Origin {
        version.map_or(Origin::Unknown, |it| Origin::Version(it.key()))
    }

    /// Returns whether an engine of a version may write the next events; `None` stands for an unknown
    /// version.
    pub fn allows(self, version: Option<VersionKey>) -> bool {
        match self {
            Origin::Open => true,
            Origin::Version(origin) => version == Some(origin),
            Origin::Sought | Origin::Unknown => false,
        }
    }
}

/// The announcement of a stream's version to its holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The stream.
    pub stream: StreamKey,
    /// The version that began it.
    pub version: VersionKey,
    /// How long its client may come back, in milliseconds.
    pub ttl_ms: u32,
}

/// A question for a stream's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// The stream.
    pub stream: StreamKey,
    /// The hash of the service's name.
    pub service: u64,
    /// How long ago the stream may have begun, in milliseconds.
    pub window_ms: u32,
}

/// What a box knows of a stream's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// This version began the stream.
    Began(VersionKey),
    /// The stream isn't known. Only this version has served in the time in which it can have begun.
    Only(VersionKey),
    /// The stream isn't known, and several versions have served in that time.
    Several,
    /// The stream isn't known, nor which versions have served in that time.
    Unaware,
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    /// The stream.
    pub stream: StreamKey,
    /// What is known of its version.
    pub knowledge: Knowledge,
}

/// A datagram about streams' versions. It may be lost, duplicated or delayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The address at which the sender receives datagrams.
    pub sender: SocketAddr,
    /// What the sender announces.
    pub announcements: Vec<Announcement>,
    /// What the sender asks.
    pub asks: Vec<Ask>,
    /// The sender's answers.
    pub replies: Vec<Reply>,
    /// The streams that the receiver is to keep in the store.
    pub records: Vec<Announcement>,
}

impl Notice {
    /// Creates an empty notice.
    pub fn new(sender: SocketAddr) -> Notice {
        Notice {
            sender,
            announcements: Vec::new(),
            asks: Vec::new(),
            replies: Vec::new(),
            records: Vec::new(),
        }
    }
}
