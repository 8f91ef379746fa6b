//! Reads complete events from the bytes of a stream, up to the first byte that no run can have sent.

use bytes::{Buf, Bytes, BytesMut};
use hollyspoke_gateway::numbering::Numbering;

use crate::event_stream::{Block, Kind, MAX_EVENT_BYTES, Position, check_start};
use crate::flaw::Flaw;

/// Complete events in the order of arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events and of the comments among them, unchanged.
    pub bytes: Bytes,
    /// The id of the last event, if it is a number.
    pub last_id: Option<u64>,
    /// Whether there is an event, and not only comments.
    pub has_event: bool,
}

/// Reads the events of one answer.
#[derive(Debug)]
pub struct Reader {
    /// The position after the last complete event.
    position: Position,
    /// The complete events that have not been taken.
    complete: BytesMut,
    /// The id of the last of them.
    last_id: Option<u64>,
    /// Whether there is an event among them.
    has_event: bool,
    /// Whether events have been taken.
    has_begun: bool,
    /// The bytes after the last complete event.
    pending: BytesMut,
    /// The start of the incomplete line within them.
    line_start: usize,
    /// The complete lines among them.
    block: Block,
    /// The flaw behind the complete events.
    flaw: Option<Flaw>,
}

impl Reader {
    /// Creates the reader of an answer's events.
    pub fn new(numbering: Numbering) -> Reader {
        Reader {
            position: Position::new(numbering),
            complete: BytesMut::new(),
            last_id: None,
            has_event: false,
            has_begun: false,
            pending: BytesMut::new(),
            line_start: 0,
            block: Block::default(),
            flaw: None,
        }
    }

    /// Appends bytes that have arrived. What follows a flaw is dropped.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.flaw.is_none() {
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
    /// If the stream ends within an event.
    pub fn finish(&mut self) -> Result<Option<Events>, Flaw> {
        if self.is_within_event() {
            return Err(Flaw::PartialEvent);
        }
        let has_remaining = !self.complete.is_empty();
        Ok(has_remaining.then(|| self.take_complete()))
    }

    /// Returns whether the last event is incomplete.
    pub fn is_within_event(&self) -> bool {
        !self.pending.is_empty()
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

    /// Reads the lines that are complete.
    fn read_lines(&mut self) -> Result<(), Flaw> {
        while let Some(length) = self.pending[self.line_start..].iter().position(|it| *it == b'\n')
        {
            let line_end = self.line_start + length;
            let line = &self.pending[self.line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.end_block(line_end + 1)?;
            } else {
                self.block.add(line)?;
                self.line_start = line_end + 1;
            }
        }
        check_start(&self.pending[self.line_start..])?;
        let is_too_large = self.pending.len() + self.complete.len() > MAX_EVENT_BYTES;
        if is_too_large && !self.has_event { Err(Flaw::TooLarge) } else { Ok(()) }
    }

    /// Handles the empty line that ends a block. Further empty lines, which are part of no event, are
    /// dropped.
    fn end_block(&mut self, end: usize) -> Result<(), Flaw> {
        let block = std::mem::take(&mut self.block);
        if !block.is_empty() {
            if let Kind::Event(id) = self.position.advance(&block)? {
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
