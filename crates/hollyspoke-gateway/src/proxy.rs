//! Requests that another box serves on behalf of a box without contact to the engines.
//!
//! A request is proxied at most once: the other box serves or refuses it. It is charged to its
//! customer's limit and to the retry budget there.

use std::net::SocketAddr;
use std::time::Duration;

use crate::credential::KeyDigest;
use crate::framing::Framing;
use crate::request::{CallKey, RequestKey};

/// A request to send to another box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The request.
    pub request: RequestKey,
    /// The key of the call.
    pub call: CallKey,
    /// The address at which the other box accepts requests of boxes.
    pub to: SocketAddr,
    /// The time left until the request's deadline.
    pub deadline: Duration,
    /// The digest of the client's key, which is sent in place of the key; none if the key is sent as
    /// it is, since no configured customer has it.
    pub credential: Option<KeyDigest>,
}

/// An event of a request that was sent to another box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The connection could not be opened; nothing was sent.
    NotConnected,
    /// This box lacked a descriptor, a port or memory for a connection; nothing was sent.
    Exhausted,
    /// The head of a stream arrived.
    Began(Framing),
    /// The answer ended, or a whole one arrived.
    Answered,
    /// After the request was sent, the connection closed or delivered an invalid answer.
    Broken,
}

/// The progress of a request at other boxes.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// The active call.
    pub call: Option<CallKey>,
    /// The boxes that could not be reached.
    pub unreached: Vec<SocketAddr>,
}

/// What a box announces about itself to boxes that look for one to serve a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Announcement {
    /// The port at which it accepts requests of boxes; none if it doesn't.
    pub port: Option<u16>,
    /// The hashes of the names of the services whose engines it can't reach.
    pub lost: Vec<u64>,
    /// Whether these are all services, so that clients should use other boxes.
    pub is_cut_off: bool,
}
