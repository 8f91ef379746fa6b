//! How the end of an answer is marked. See RFC 9112, section 6.3.

/// What marks the end of an answer's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// A length or a last chunk, without which the body is incomplete.
    Marked,
    /// Only the end of the connection, which may also close in the middle of the answer.
    Close,
}
