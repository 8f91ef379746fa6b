//! The first bytes of a body that the close of its connection delimits. A head that lost its framing
//! to a spoilt line looks the same; the body tells them apart.

use crate::head::{MAX_HEAD_BYTES, parse_field};
use crate::violation::Violation;

/// What the lines of an event can begin with, up to the colon. A comment has nothing before it.
const EVENT_NAMES: [&[u8]; 5] = [b"data", b"id", b"event", b"retry", b""];

/// The mark that an event stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// The maximum length of a line with the size of a chunk, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// What a body is taken for as long as its bytes allow it.
#[derive(Debug)]
enum Suspicion {
    /// Nothing has been decided.
    Open,
    /// The first chunk ends at this offset.
    Chunk(usize),
    /// The rest of a head; the line that is being read begins at this offset.
    Head(usize),
    /// No answer with a spoilt head begins like this.
    None,
}

/// Checks the first bytes of a body.
#[derive(Debug)]
pub struct Opening {
    /// Whether the body is an event stream.
    is_event_stream: bool,
    /// The bytes from the start, as long as they matter.
    bytes: Vec<u8>,
    /// The number of bytes before them.
    skipped: usize,
    /// What the body may be.
    suspicion: Suspicion,
}

impl Opening {
    /// Creates the check of a body.
    pub fn new(is_event_stream: bool) -> Opening {
        Opening { is_event_stream, bytes: Vec::new(), skipped: 0, suspicion: Suspicion::Open }
    }

    /// Checks the next bytes.
    ///
    /// # Errors
    ///
    /// If the body is the rest of a head, is in chunks, or is an event stream without events.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), Violation> {
        if matches!(self.suspicion, Suspicion::None) {
            return Ok(());
        }
        self.bytes.extend_from_slice(bytes);
        if self.is_event_stream {
            return self.check_events();
        }
        if matches!(self.suspicion, Suspicion::Open) {
            self.suspect();
        }
        match self.suspicion {
            Suspicion::Chunk(end) => self.check_chunk(end),
            Suspicion::Head(line_start) => self.check_head(line_start),
            Suspicion::Open | Suspicion::None => Ok(()),
        }
    }

    /// Checks that the first lines up to an empty one are part of an event. An event may begin with
    /// fields of its own.
    fn check_events(&mut self) -> Result<(), Violation> {
        let bytes = self.bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&self.bytes);
        let mut has_other = false;
        for line in bytes.split_inclusive(|it| *it == b'\n') {
            let Some(line) = line.strip_suffix(b"\n") else { break };
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let name = line.split(|it| *it == b':').next().unwrap_or(line);
            match line {
                b"" if has_other => return Err(Violation::NoEvent),
                b"" => {}
                _ if EVENT_NAMES.contains(&name) => {
                    self.decide();
                    return Ok(());
                }
                _ if parse_field(line).is_none() => return Err(Violation::NoEvent),
                _ => has_other = true,
            }
        }
        if self.bytes.len() > MAX_HEAD_BYTES {
            self.decide();
        }
        Ok(())
    }

    /// Decides from the first line what the body may be.
    fn suspect(&mut self) {
        let Some(line_end) = line_end(&self.bytes) else {
            if self.bytes.len() > MAX_HEAD_BYTES {
                self.decide();
            }
            return;
        };
        let line = &self.bytes[..line_end];
        if let Some(size) = parse_chunk_size(line) {
            self.suspicion = Suspicion::Chunk((line_end + 2).saturating_add(size));
        } else if parse_field(line).is_some() {
            self.suspicion = Suspicion::Head(0);
        } else {
            self.decide();
        }
    }

    /// Checks whether a line end follows the first chunk.
    fn check_chunk(&mut self, end: usize) -> Result<(), Violation> {
        let Some(start) = end.checked_sub(self.skipped) else { return Ok(()) };
        if start >= self.bytes.len() {
            self.skipped += self.bytes.len();
            self.bytes.clear();
            return Ok(());
        }
        let rest = &self.bytes[start..];
        if rest.starts_with(b"\r\n") {
            return Err(Violation::ChunksInBody);
        }
        if rest.len() >= 2 || rest != b"\r" {
            self.decide();
        }
        Ok(())
    }

    /// Checks whether an empty line follows lines that are all fields.
    fn check_head(&mut self, mut line_start: usize) -> Result<(), Violation> {
        while let Some(length) = line_end(&self.bytes[line_start..]) {
            let line = &self.bytes[line_start..line_start + length];
            if line.is_empty() {
                return Err(Violation::HeadInBody);
            }
            if parse_field(line).is_none() {
                self.decide();
                return Ok(());
            }
            line_start += length + 2;
        }
        self.suspicion = Suspicion::Head(line_start);
        if self.bytes.len() > MAX_HEAD_BYTES {
            self.decide();
        }
        Ok(())
    }

    /// Ends the check.
    fn decide(&mut self) {
        self.suspicion = Suspicion::None;
        self.bytes = Vec::new();
    }
}

/// Returns the length of the first line, of which CR LF marks the end.
fn line_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|it| it == b"\r\n")
}

/// Parses the size of a chunk, which extensions may follow. See RFC 9112, section 7.1.
fn parse_chunk_size(line: &[u8]) -> Option<usize> {
    if line.len() > MAX_SIZE_LINE_BYTES {
        return None;
    }
    let size = line.split(|it| *it == b';').next()?.trim_ascii_end();
    let is_number = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
    let size = std::str::from_utf8(size).ok().filter(|_| is_number)?;
    usize::from_str_radix(size, 16).ok()
}
