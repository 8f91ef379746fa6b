//! Follows the bytes of one answer and keeps back those that are no part of it.

use crate::framing::Framing;
use crate::head::{Head, HeadReader};
use crate::unmarked::Opening;
use crate::violation::Violation;

/// How an answer that follows a whole one begins.
const ANSWER_START: &[u8] = b"HTTP/1.";

/// What is being read.
#[derive(Debug)]
enum State {
    /// A head.
    Head(HeadReader),
    /// A body of which this many bytes are missing.
    Length(u64),
    /// A body in chunks, whose coding the HTTP library checks.
    Chunks,
    /// A body that the close of the connection delimits.
    Close(Opening),
}

/// Checks one answer.
#[derive(Debug)]
pub struct Guard {
    /// What is being read.
    state: State,
    /// Whether the request was one whose answer has no body.
    is_head_request: bool,
    /// The head of the answer, once it is complete.
    head: Option<Head>,
    /// The first bytes behind the whole answer.
    surplus: Vec<u8>,
}

impl Guard {
    /// Creates the guard of the answer to a request, which may be a HEAD request.
    pub fn new(is_head_request: bool) -> Guard {
        let state = State::Head(HeadReader::default());
        Guard { state, is_head_request, head: None, surplus: Vec::new() }
    }

    /// Returns what marks the end of the body, once the head is complete.
    pub fn framing(&self) -> Option<Framing> {
        self.head.map(|it| it.framing)
    }

    /// Returns whether nothing shows that more of the answer is due. The end of a body in chunks isn't
    /// known here.
    pub fn may_be_complete(&self) -> bool {
        match &self.state {
            State::Head(_) => false,
            State::Length(missing) => *missing == 0,
            State::Chunks | State::Close(_) => true,
        }
    }

    /// Checks bytes that have arrived, and returns how many of them are part of the answer.
    ///
    /// # Errors
    ///
    /// At the first violation. Nothing of bytes among which one is found is part of the answer.
    pub fn read(&mut self, bytes: &[u8]) -> Result<usize, Violation> {
        let mut read = 0;
        while let State::Head(reader) = &mut self.state {
            let (length, head) = reader.read(&bytes[read..])?;
            read += length;
            match head {
                Some(head) => self.state = self.begin_body(head),
                None => return Ok(read),
            }
        }
        let rest = &bytes[read..];
        match &mut self.state {
            State::Length(missing) => {
                let count = rest.len().min(usize::try_from(*missing).unwrap_or(usize::MAX));
                *missing -= count as u64;
                self.keep_surplus(&rest[count..]);
                self.check_surplus()?;
                return Ok(read + count);
            }
            State::Close(opening) => opening.read(rest)?,
            State::Head(_) | State::Chunks => {}
        }
        Ok(bytes.len())
    }

    /// Checks that the connection may close here. The HTTP library notices an incomplete body.
    ///
    /// # Errors
    ///
    /// If it closes within a head.
    pub fn end(&self) -> Result<(), Violation> {
        match &self.state {
            State::Head(reader) if !reader.is_empty() => Err(Violation::PartialHead),
            _ => Ok(()),
        }
    }

    /// Checks what has arrived behind the whole answer. Another answer leaves this one as it is. Other
    /// bytes show that the body is longer than its length.
    ///
    /// # Errors
    ///
    /// If the bytes begin no answer.
    pub fn check_surplus(&self) -> Result<(), Violation> {
        if ANSWER_START.starts_with(&self.surplus) { Ok(()) } else { Err(Violation::Surplus) }
    }

    /// Returns the state after a complete head.
    fn begin_body(&mut self, head: Head) -> State {
        if head.is_interim() {
            return State::Head(HeadReader::default());
        }
        self.head = Some(head);
        match head.framing {
            _ if self.is_head_request => State::Length(0),
            Framing::Length(length) => State::Length(length),
            Framing::Chunks => State::Chunks,
            Framing::Close => State::Close(Opening::new(head.is_event_stream)),
        }
    }

    /// Keeps as much of the surplus as shows what it is.
    fn keep_surplus(&mut self, bytes: &[u8]) {
        let missing = ANSWER_START.len() - self.surplus.len();
        self.surplus.extend_from_slice(&bytes[..bytes.len().min(missing)]);
    }
}
