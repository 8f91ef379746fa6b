//! Splits a stream of bytes into whole events, each ended by an empty line.

use bytes::{Bytes, BytesMut};

/// The most bytes of one event; longer ones are passed on in parts.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whole events, in the order in which they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// The id of the last one that has an id.
    pub last_id: Option<u64>,
}

/// The bytes of an event that is not whole yet.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    /// The bytes.
    pending: BytesMut,
}

impl Splitter {
    /// Takes bytes and gives the events that are whole now, if there are any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.pending.extend_from_slice(bytes);
        let end = match complete_length(&self.pending) {
            0 if self.pending.len() >= MAX_EVENT_BYTES => self.pending.len(),
            0 => return None,
            end => end,
        };
        let bytes = self.pending.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Some(Events { bytes, last_id })
    }

    /// Gives the bytes after the last whole event.
    pub fn take_remaining(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Gives the length of the whole events at the start of some bytes.
fn complete_length(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            end = index + 1;
        }
        line_start = index + 1;
    }
    end
}

/// Finds the id of the last event that has one.
fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|it| *it == b'\n').rev();
    let ids = lines.filter_map(|it| it.strip_prefix(b"id:"));
    ids.filter_map(|it| std::str::from_utf8(it).ok()?.trim().parse().ok()).next()
}
