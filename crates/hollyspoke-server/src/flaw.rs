//! What shows that bytes are no part of an answer to a request.

use std::error::Error;
use std::fmt;

use hollyspoke_http::violation::Violation;

/// The first thing that is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// The head is malformed or too large.
    Head,
    /// The bytes are no answer of the protocol, or their head can't be trusted.
    Protocol(Violation),
    /// A success does not bear the signature of an engine.
    Unsigned,
    /// The head names another request.
    OtherRequest,
    /// The answer to a request for a stream is no event stream.
    NoEventStream,
    /// The transfer coding of the body is malformed.
    Coding,
    /// A head, informational answers or the transfer coding do not end.
    Endless,
    /// A body or an event is larger than any answer.
    TooLarge,
    /// A line of an event stream is neither a field nor a comment.
    NoField,
    /// An event has no id.
    NoId,
    /// The id of an event is no number.
    UnreadableId,
    /// The id of an event is not greater than the one before.
    IdNotRising,
    /// An event has no data.
    NoData,
    /// A stream ends in order, but within an event.
    PartialEvent,
}

impl Error for Flaw {}

impl From<Violation> for Flaw {
    fn from(violation: Violation) -> Flaw {
        Flaw::Protocol(violation)
    }
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Flaw::Head => "the head is malformed",
            Flaw::Protocol(violation) => return violation.fmt(f),
            Flaw::Unsigned => "the success is not signed",
            Flaw::OtherRequest => "the head names another request",
            Flaw::NoEventStream => "the answer is no event stream",
            Flaw::Coding => "the transfer coding is malformed",
            Flaw::Endless => "the head or the coding does not end",
            Flaw::TooLarge => "the answer is too large",
            Flaw::NoField => "a line is no field",
            Flaw::NoId => "an event has no id",
            Flaw::UnreadableId => "an id is no number",
            Flaw::IdNotRising => "an id does not rise",
            Flaw::NoData => "an event has no data",
            Flaw::PartialEvent => "the stream ends within an event",
        })
    }
}
