//! Splits a byte stream into complete events, each terminated by an empty line.

use bytes::{Bytes, BytesMut};

/// The maximum size of one event in bytes. Longer events are forwarded in parts.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete events in the order of arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events, unchanged.
    pub bytes: Bytes,
    /// The id of the last event that has one.
    pub last_id: Option<u64>,
}

/// Buffers the bytes of an incomplete event.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    /// The bytes after the last complete event.
    pending: BytesMut,
    /// Whether the start of the pending event has been forwarded.
    is_partly_forwarded: bool,
}

impl Splitter {
    /// Appends bytes and returns the events that are now complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.pending.extend_from_slice(bytes);
        let end = match complete_length(&self.pending) {
            0 if self.pending.len() < MAX_EVENT_BYTES => return None,
            end => end,
        };
        self.is_partly_forwarded = end == 0;
        let end = if end == 0 { self.pending.len() } else { end };
        let bytes = self.pending.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Some(Events { bytes, last_id })
    }

    /// Returns whether the stream has stopped within an event.
    pub fn is_within_event(&self) -> bool {
        self.is_partly_forwarded || !self.pending.is_empty()
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remaining(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Returns the total length in bytes of the complete events at the start of the input.
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

/// Returns the id of the last event that has one.
fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|it| *it == b'\n').rev();
    let ids = lines.filter_map(|it| it.strip_prefix(b"id:"));
    ids.filter_map(|it| std::str::from_utf8(it).ok()?.trim().parse().ok()).next()
}
