//! What shows that bytes are no answer, or that their head can't be trusted.

use std::error::Error;
use std::fmt;

/// The first violation of the protocol within an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// The first line is no status line.
    StatusLine,
    /// The status is outside of 100 to 599.
    Status(u16),
    /// The server switches to another protocol, for which it was not asked.
    Upgrade,
    /// A line of the head does not end in CR LF, or contains a CR or LF.
    LineEnd,
    /// A line of the head is no field.
    Field,
    /// The head is too large.
    HeadTooLarge,
    /// The length is no number, or is repeated.
    Length,
    /// The transfer coding is not `chunked`, or is repeated.
    Coding,
    /// There is both a length and a transfer coding.
    LengthAndCoding,
    /// An answer that can't have a body has a transfer coding or a length of its own.
    NoBody,
    /// The head of an event stream contains a field of an event.
    EventInHead,
    /// The connection closed within the head.
    PartialHead,
    /// A body that the close of the connection delimits begins with the rest of a head.
    HeadInBody,
    /// A body that the close of the connection delimits is in chunks.
    ChunksInBody,
    /// An event stream that the close of the connection delimits does not begin with an event.
    NoEvent,
    /// Bytes that begin no other answer follow a body of a given length.
    Surplus,
}

impl Error for Violation {}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Violation::StatusLine => "the first line is no status line",
            Violation::Status(status) => return write!(f, "there is no status {status}"),
            Violation::Upgrade => "the protocol is switched unasked",
            Violation::LineEnd => "a line of the head does not end in CR LF",
            Violation::Field => "a line of the head is no field",
            Violation::HeadTooLarge => "the head is too large",
            Violation::Length => "the length is no number or repeated",
            Violation::Coding => "the transfer coding is not chunked",
            Violation::LengthAndCoding => "there is both a length and a transfer coding",
            Violation::NoBody => "an answer without a body frames one",
            Violation::EventInHead => "the head contains an event",
            Violation::PartialHead => "the connection closed within the head",
            Violation::HeadInBody => "the body begins with the rest of a head",
            Violation::ChunksInBody => "a body without a coding is in chunks",
            Violation::NoEvent => "the stream does not begin with an event",
            Violation::Surplus => "the body is longer than its length",
        })
    }
}
