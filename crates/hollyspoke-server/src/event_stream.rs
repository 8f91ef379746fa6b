//! Which bytes can be part of an event stream. The format is that of the HTML standard, section
//! "Server-sent events"; the events of a generated answer are numbered besides.

use crate::flaw::Flaw;

/// The maximum size of one event in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The maximum length of the name of a field in bytes.
const MAX_FIELD_NAME_BYTES: usize = 64;

/// The data of an event without an id that marks the end of a stream.
const END_MARKER: &[u8] = b"[DONE]";

/// What a block of lines is, of which an empty line marks the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An event, with its id; the one that marks the end has none.
    Event(Option<u64>),
    /// Comments or a reconnection time, which are no part of the generated answer.
    Comment,
}

/// The lines of an event that have arrived.
#[derive(Debug, Clone, Default)]
pub struct Block {
    /// Whether there is a line.
    has_lines: bool,
    /// The id: none if there is no line with it, and none within if that is no number.
    id: Option<Option<u64>>,
    /// The number of lines with data.
    data_count: usize,
    /// Whether the last line with data is the mark of the end.
    has_end_marker: bool,
    /// Whether there are further fields besides the reconnection time.
    has_others: bool,
}

impl Block {
    /// Adds a line, which is not empty.
    ///
    /// # Errors
    ///
    /// If the line is neither a field nor a comment.
    pub fn add(&mut self, line: &[u8]) -> Result<(), Flaw> {
        self.has_lines = true;
        let Some(colon) = line.iter().position(|it| *it == b':') else {
            return self.add_field(line, b"", false);
        };
        let value = &line[colon + 1..];
        let value = value.strip_prefix(b" ").unwrap_or(value);
        self.add_field(&line[..colon], value, true)
    }

    /// Adds a field. Only the standard's own fields may lack a colon.
    fn add_field(&mut self, name: &[u8], value: &[u8], has_colon: bool) -> Result<(), Flaw> {
        match name {
            b"" => {}
            b"data" => {
                self.data_count += 1;
                self.has_end_marker = value == END_MARKER;
            }
            b"id" => self.id = Some(parse_id(value)),
            b"retry" => {}
            b"event" => self.has_others = true,
            _ if has_colon && is_name(name) => self.has_others = true,
            _ => return Err(Flaw::NoField),
        }
        Ok(())
    }

    /// Returns whether no line has arrived.
    pub fn is_empty(&self) -> bool {
        !self.has_lines
    }

    /// Returns whether the block holds nothing but comments and a reconnection time.
    fn is_comment(&self) -> bool {
        self.id.is_none() && self.data_count == 0 && !self.has_others
    }

    /// Returns whether the block marks the end of a stream.
    fn is_end(&self) -> bool {
        self.data_count == 1 && self.has_end_marker && self.id.is_none() && !self.has_others
    }
}

/// The position within a stream of numbered events.
#[derive(Debug, Clone)]
pub struct Position {
    /// The id of the last event.
    after: Option<u64>,
    /// Whether the end was marked.
    has_ended: bool,
}

impl Position {
    /// Returns the position after the event with an id; none at the start.
    pub fn new(after: Option<u64>) -> Position {
        Position { after, has_ended: false }
    }

    /// Returns whether an event has marked the end.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Advances past a complete block.
    ///
    /// # Errors
    ///
    /// If no run that is at this position can have made it.
    pub fn advance(&mut self, block: &Block) -> Result<Kind, Flaw> {
        if block.is_comment() {
            return Ok(Kind::Comment);
        }
        if block.is_end() {
            self.has_ended = true;
            return Ok(Kind::Event(None));
        }
        let id = block.id.ok_or(Flaw::NoId)?.ok_or(Flaw::UnreadableId)?;
        if block.data_count == 0 {
            return Err(Flaw::NoData);
        }
        if Some(id) <= self.after {
            return Err(Flaw::IdNotRising);
        }
        self.after = Some(id);
        Ok(Kind::Event(Some(id)))
    }
}

/// Checks the start of a line whose end has not arrived.
///
/// # Errors
///
/// If it can't become a field or a comment.
pub fn check_start(line: &[u8]) -> Result<(), Flaw> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.contains(&b':') || line.is_empty() || is_name(line) {
        Ok(())
    } else {
        Err(Flaw::NoField)
    }
}

/// Returns whether bytes can be the name of a field.
fn is_name(bytes: &[u8]) -> bool {
    let is_allowed = |it: &u8| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_');
    bytes.len() <= MAX_FIELD_NAME_BYTES && bytes.iter().all(is_allowed)
}

/// Parses the id of a numbered event.
fn parse_id(value: &[u8]) -> Option<u64> {
    let value = value.trim_ascii();
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number)?.parse().ok()
}
