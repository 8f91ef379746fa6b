//! What marks the end of an answer's body.

/// The framing of an answer. See RFC 9112, section 6.3.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The number of bytes of the body.
    Length(u64),
    /// The last chunk.
    Chunks,
    /// The close of the connection.
    Close,
}
