//! How the events of a stream are numbered.

/// Which ids the events of an answer may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Numbering {
    /// The id of each event is a number greater than those before it.
    Rising {
        /// The id of the last event that the client has.
        after: Option<u64>,
    },
    /// Events may have any id, or none.
    Free,
}
