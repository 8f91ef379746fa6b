//! Identifiers of requests: incarnations, keys and tickets.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// One run of a box's process: a nonce drawn at random at start, which is not used again after the
/// process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Incarnation, KeyError> {
        hex(text).map(Incarnation)
    }
}

/// A request's identifier, `<home incarnation>.<epoch>.<nonce>`, all in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The only incarnation that may run the request.
    pub home: Incarnation,
    /// The home's epoch in which the key was minted.
    pub epoch: u32,
    /// A number chosen by the creator of the key, unique within the epoch.
    pub nonce: u64,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:x}", self.home, self.epoch, self.nonce)
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Key, KeyError> {
        let mut parts = text.split('.');
        let (Some(home), Some(epoch), Some(nonce), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(KeyError::Parts);
        };
        let epoch = u32::try_from(hex(epoch)?).map_err(|_| KeyError::Number)?;
        Ok(Key { home: home.parse()?, epoch, nonce: hex(nonce)? })
    }
}

/// One attempt of one request: identifies the ask, the grant and the engine's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The front that holds the caller.
    pub front: Incarnation,
    /// The front's sequence number.
    pub number: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.front, self.number)
    }
}

impl FromStr for Ticket {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Ticket, KeyError> {
        let (front, number) = text.split_once('-').ok_or(KeyError::Parts)?;
        Ok(Ticket { front: front.parse()?, number: hex(number)? })
    }
}

/// Why a text could not be parsed as a key, an incarnation or a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The number of parts is wrong.
    Parts,
    /// A part is not a hexadecimal number of the right size.
    Number,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyError::Parts => f.write_str("expected <incarnation>.<epoch>.<nonce>"),
            KeyError::Number => f.write_str("expected hexadecimal numbers"),
        }
    }
}

impl std::error::Error for KeyError {}

/// Parses an unsigned hexadecimal number.
fn hex(text: &str) -> Result<u64, KeyError> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(KeyError::Number);
    }
    u64::from_str_radix(text, 16).map_err(|_| KeyError::Number)
}
