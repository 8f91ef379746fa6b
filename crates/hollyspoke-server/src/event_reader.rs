//! Reads complete events from the bytes of a stream, up to the first byte that no run can have sent.

use bytes::{Buf, Bytes, BytesMut};
use hollyspoke_gateway::numbering::Numbering;

use crate::event_stream::{Block, Kind, MAX_EVENT_BYTES, Position, check_start};
use crate::flaw::Flaw;

/// The ends of lines after which an event is complete.
const EMPTY_LINES: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// The length in bytes of the longest of them.
const MAX_EMPTY_LINE_BYTES: usize = 3;

/// Complete events in the order of arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events and of the comments among them, unchanged.
    pub bytes: Bytes,
    /// The id of the last event, if events are numbered.
    pub last_id: Option<u64>,
    /// Whether there is an event, and not only comments.
    pub has_event: bool,
}

/// Reads the events of one answer.
#[derive(Debug)]
pub struct Reader {
    /// The position after the last complete event; none if events have no numbers, so that any bytes
    /// can be part of them.
    position: Option<Position>,
    /// The complete events that have not been taken.
    complete: BytesMut,
    /// The id of the last of them.
    last_id: Option<u64>,
    /// Whether there is an event among them.
    has_event: bool,
    /// Whether events have been taken.
    has_begun: bool,
    /// The bytes after the last complete event; of events without numbers, the last bytes.
    pending: BytesMut,
    /// The start of the incomplete line within them.
    line_start: usize,
    /// The end of the bytes that were searched for the end of that line.
    searched: usize,
    /// The complete lines among them.
    block: Block,
    /// The flaw behind the complete events.
    flaw: Option<Flaw>,
}

impl Reader {
    /// Creates the reader of an answer's events.
    pub fn new(numbering: Numbering) -> Reader {
        let position = match numbering {
            Numbering::Rising { after } => Some(Position::new(after)),
            Numbering::Free => None,
        };
        Reader {
            position,
            complete: BytesMut::new(),
            last_id: None,
            has_event: false,
            has_begun: false,
            pending: BytesMut::new(),
            line_start: 0,
            searched: 0,
            block: Block::default(),
            flaw: None,
        }
    }

    /// Appends bytes that have arrived. What follows a flaw or the mark of the end is dropped.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.position.is_none() {
            return self.pass(bytes);
        }
        if self.flaw.is_none() && !self.has_ended() {
            self.pending.extend_from_slice(bytes);
            self.flaw = self.read_lines().err();
        }
    }

    /// Takes the events that are complete, if there are any. Comments before the first event stay
    /// until that is complete.
    ///
    /// # Errors
    ///
    /// Once the events before a flaw have been taken, always that flaw.
    pub fn take(&mut self) -> Result<Option<Events>, Flaw> {
        if self.has_event || self.has_begun && !self.complete.is_empty() {
            return Ok(Some(self.take_complete()));
        }
        self.flaw.map_or(Ok(None), Err)
    }

    /// Takes what remains at an end of the stream that its framing marks.
    ///
    /// # Errors
    ///
    /// If the stream ends within a numbered event.
    pub fn finish(&mut self) -> Result<Option<Events>, Flaw> {
        if self.position.is_some() && self.is_within_event() {
            return Err(Flaw::PartialEvent);
        }
        let has_remaining = !self.complete.is_empty();
        Ok(has_remaining.then(|| self.take_complete()))
    }

    /// Returns the number of bytes that it keeps.
    pub fn len(&self) -> usize {
        self.pending.len() + self.complete.len()
    }

    /// Returns whether it keeps nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether an event has marked the end of the stream.
    pub fn has_ended(&self) -> bool {
        self.position.as_ref().is_some_and(Position::has_ended)
    }

    /// Returns whether the last event is incomplete.
    pub fn is_within_event(&self) -> bool {
        let is_complete =
            self.position.is_none() && EMPTY_LINES.iter().any(|it| self.pending.ends_with(it));
        !self.pending.is_empty() && !is_complete
    }

    /// Takes the complete events.
    fn take_complete(&mut self) -> Events {
        self.has_begun = true;
        Events {
            bytes: self.complete.split().freeze(),
            last_id: self.last_id.take(),
            has_event: std::mem::take(&mut self.has_event),
        }
    }

    /// Passes on bytes of events without numbers.
    fn pass(&mut self, bytes: &[u8]) {
        self.complete.extend_from_slice(bytes);
        self.has_event |= !bytes.is_empty();
        self.pending.extend_from_slice(&bytes[bytes.len().saturating_sub(MAX_EMPTY_LINE_BYTES)..]);
        let excess = self.pending.len().saturating_sub(MAX_EMPTY_LINE_BYTES);
        self.pending.advance(excess);
    }

    /// Reads the lines that are complete.
    fn read_lines(&mut self) -> Result<(), Flaw> {
        while let Some(length) = self.pending[self.searched..].iter().position(|it| *it == b'\n') {
            let line_end = self.searched + length;
            let line = &self.pending[self.line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.end_block(line_end + 1)?;
                if self.has_ended() {
                    self.pending.clear();
                    return Ok(());
                }
            } else {
                self.block.add(line)?;
                self.line_start = line_end + 1;
            }
            self.searched = self.line_start;
        }
        self.searched = self.pending.len();
        check_start(&self.pending[self.line_start..])?;
        let is_too_large = self.pending.len() + self.complete.len() > MAX_EVENT_BYTES;
        if is_too_large && !self.has_event { Err(Flaw::TooLarge) } else { Ok(()) }
    }

    /// Handles the empty line that ends a block. Further empty lines, which are part of no event, are
    /// dropped.
    fn end_block(&mut self, end: usize) -> Result<(), Flaw> {
        let block = std::mem::take(&mut self.block);
        if let Some(position) = self.position.as_mut().filter(|_| !block.is_empty()) {
            if let Kind::Event(id) = position.advance(&block)? {
                self.has_event = true;
                self.last_id = id.or(self.last_id);
            }
            self.complete.extend_from_slice(&self.pending[..end]);
        }
        self.pending.advance(end);
        self.line_start = 0;
        Ok(())
    }
}
