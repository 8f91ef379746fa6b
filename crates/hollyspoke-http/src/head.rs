//! Reads the head of an answer line by line.

use crate::framing::Framing;
use crate::violation::Violation;

/// The maximum size of a head in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// The media type of an event stream.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The fields of an event. See the HTML standard, section "Server-sent events".
const EVENT_FIELDS: [&[u8]; 4] = [b"data", b"id", b"event", b"retry"];

/// A complete head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// The status, 100 to 599.
    pub status: u16,
    /// What marks the end of the body, if there is one.
    pub framing: Framing,
    /// Whether the body is an event stream.
    pub is_event_stream: bool,
}

impl Head {
    /// Returns whether another head follows: the answer proper.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Returns whether the status excludes a body.
    fn has_no_body(&self) -> bool {
        self.is_interim() || matches!(self.status, 204 | 304)
    }
}

/// Reads one head.
#[derive(Debug, Default)]
pub struct HeadReader {
    /// The incomplete line.
    line: Vec<u8>,
    /// The number of bytes read.
    length: usize,
    /// The status and the minor version, once the status line is complete.
    status: Option<(u16, u8)>,
    /// The length of the body.
    content_length: Option<u64>,
    /// Whether the body is in chunks.
    is_chunked: bool,
    /// Whether the media type is that of an event stream.
    is_event_stream: bool,
    /// Whether there is a field of an event.
    has_event_field: bool,
}

impl HeadReader {
    /// Reads bytes up to the end of the head. Returns how many of them belong to it, and the head once
    /// it is complete.
    ///
    /// # Errors
    ///
    /// At the first byte with which no valid head can begin.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(usize, Option<Head>), Violation> {
        for (index, byte) in bytes.iter().enumerate() {
            self.length += 1;
            if self.length > MAX_HEAD_BYTES {
                return Err(Violation::HeadTooLarge);
            }
            let follows_cr = self.line.last() == Some(&b'\r');
            if follows_cr != (*byte == b'\n') {
                return Err(Violation::LineEnd);
            }
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            self.line.pop();
            let line = std::mem::take(&mut self.line);
            if line.is_empty() && self.status.is_some() {
                return Ok((index + 1, Some(self.finish()?)));
            }
            self.read_line(&line)?;
        }
        Ok((bytes.len(), None))
    }

    /// Returns whether nothing has been read.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Reads a complete line.
    fn read_line(&mut self, line: &[u8]) -> Result<(), Violation> {
        if self.status.is_some() {
            return self.read_field(line);
        }
        let (status, minor_version) = parse_status_line(line).ok_or(Violation::StatusLine)?;
        match status {
            101 => return Err(Violation::Upgrade),
            100..=599 => {}
            _ => return Err(Violation::Status(status)),
        }
        self.status = Some((status, minor_version));
        Ok(())
    }

    /// Reads a field.
    fn read_field(&mut self, line: &[u8]) -> Result<(), Violation> {
        let (name, value) = parse_field(line).ok_or(Violation::Field)?;
        if name.eq_ignore_ascii_case(b"content-length") {
            let length = parse_length(value).ok_or(Violation::Length)?;
            if self.content_length.replace(length).is_some() {
                return Err(Violation::Length);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Violation::Coding);
            }
            self.is_chunked = true;
        } else if name.eq_ignore_ascii_case(b"content-type") {
            let media_type = value.get(..EVENT_STREAM.len());
            self.is_event_stream =
                media_type.is_some_and(|it| it.eq_ignore_ascii_case(EVENT_STREAM));
        }
        self.has_event_field |= EVENT_FIELDS.contains(&name);
        Ok(())
    }

    /// Returns the head whose empty line has been read.
    fn finish(&self) -> Result<Head, Violation> {
        let (status, minor_version) = self.status.ok_or(Violation::StatusLine)?;
        let framing = match (self.content_length, self.is_chunked) {
            (Some(_), true) => return Err(Violation::LengthAndCoding),
            (Some(length), false) => Framing::Length(length),
            (None, true) if minor_version == 0 => return Err(Violation::Coding),
            (None, true) => Framing::Chunks,
            (None, false) => Framing::Close,
        };
        if self.is_event_stream && self.has_event_field {
            return Err(Violation::EventInHead);
        }
        let mut head = Head { status, framing, is_event_stream: self.is_event_stream };
        if head.has_no_body() {
            // A 304 tells the length that the body would have had.
            let is_allowed = match framing {
                Framing::Length(length) => status == 304 || length == 0,
                Framing::Chunks => false,
                Framing::Close => true,
            };
            if !is_allowed {
                return Err(Violation::NoBody);
            }
            head.framing = Framing::Length(0);
        }
        Ok(head)
    }
}

/// Parses a status line, without its end, into the status and the minor version.
fn parse_status_line(line: &[u8]) -> Option<(u16, u8)> {
    let rest = line.strip_prefix(b"HTTP/1.")?;
    let (version, rest) = rest.split_first()?;
    let minor_version = match version {
        b'0' => 0,
        b'1' => 1,
        _ => return None,
    };
    let rest = rest.strip_prefix(b" ")?;
    let (status, reason) = rest.split_at_checked(3)?;
    let is_separated = reason.is_empty() || reason.starts_with(b" ");
    if !is_separated || !is_text(reason) {
        return None;
    }
    let status = parse_length(status)?;
    Some((u16::try_from(status).ok()?, minor_version))
}

/// Parses a field into its name and its value. A value continued on the next line is none.
pub(crate) fn parse_field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let colon = line.iter().position(|it| *it == b':')?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_field = !name.is_empty() && name.iter().all(|it| is_token(*it)) && is_text(value);
    is_field.then(|| (name, value.trim_ascii()))
}

/// Parses a number that consists of digits alone.
fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number)?.parse().ok()
}

/// Returns whether bytes can be the value of a field. Bytes above 0x7F are allowed.
fn is_text(bytes: &[u8]) -> bool {
    bytes.iter().all(|it| *it == b'\t' || !it.is_ascii_control())
}

/// Returns whether a byte can be part of the name of a field.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
