//! Answers of engines whose heads are spoilt in one place.

use crate::framing::Seen;
use crate::garbage::decoded_body;
use crate::platform::{Received, event};

/// How an engine frames the body behind a spoilt head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Coding {
    /// The bytes as they are.
    Plain,
    /// Two chunks and the last one.
    Chunks,
}

/// What an answer carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Media {
    /// A text.
    Text,
    /// An event stream.
    Events,
}

impl Media {
    /// Returns the media type.
    fn name(self) -> &'static str {
        match self {
            Media::Text => "text/plain",
            Media::Events => "text/event-stream",
        }
    }

    /// Returns the whole body.
    pub fn body(self) -> String {
        match self {
            Media::Text => "the whole body of the engine".to_owned(),
            Media::Events => (1..=3).map(event).collect(),
        }
    }
}

/// One way to spoil a head. In the texts, `N` stands for the length of the body and `S` for a shorter
/// one.
#[derive(Debug, Clone)]
pub struct Form {
    /// The status line.
    status_line: &'static [u8],
    /// The line of the signature.
    signature: &'static [u8],
    /// The lines behind it, up to the body.
    rest: Vec<u8>,
    /// How the body follows.
    coding: Coding,
}

impl Form {
    /// Creates a form with a sound status line and signature.
    fn new(rest: impl AsRef<[u8]>, coding: Coding) -> Form {
        Form {
            status_line: b"HTTP/1.1 200 OK\r\n",
            signature: SIGNATURE,
            rest: rest.as_ref().to_vec(),
            coding,
        }
    }

    /// Returns whether the answer is signed by an engine.
    pub fn is_signed(&self) -> bool {
        self.signature == SIGNATURE
    }

    /// Returns the bytes of the answer to a request.
    pub fn answer(&self, to: &Received, media: Media) -> Vec<u8> {
        let id = to.header("x-request-id").unwrap_or_default();
        let fields = format!("X-Request-Id: {id}\r\nContent-Type: {}\r\n", media.name());
        let body = media.body();
        let split = body.len() / 2;
        let content = match self.coding {
            Coding::Plain => body.clone().into_bytes(),
            Coding::Chunks => {
                let parts = [&body[..split], &body[split..]];
                let chunks = parts.map(|it| format!("{:x}\r\n{it}\r\n", it.len())).concat();
                format!("{chunks}0\r\n\r\n").into_bytes()
            }
        };
        let rest = replace(&self.rest, b"N", &body.len().to_string());
        let rest = replace(&rest, b"S", &(body.len() - 7).to_string());
        [self.status_line, fields.as_bytes(), self.signature, &rest, &content].concat()
    }
}

/// Replaces each occurrence of a placeholder.
fn replace(bytes: &[u8], placeholder: &[u8; 1], text: &str) -> Vec<u8> {
    let mut replaced = Vec::new();
    for byte in bytes {
        match byte == &placeholder[0] {
            true => replaced.extend_from_slice(text.as_bytes()),
            false => replaced.push(*byte),
        }
    }
    replaced
}

/// Spoilt framing fields before a body in chunks.
const CHUNKED: [&[u8]; 17] = [
    b"content-length: S\r\ntransfer-encoding: chunked\r\n\r\n",
    b"transfer-encoding: chunked\r\ncontent-length: S\r\n\r\n",
    b"transfer-encoding: chunkee\r\n\r\n",
    b"transfer-encoding: chunk\xE9d\r\n\r\n",
    b"transfer-encoding: chunke\r\n\r\n",
    b"transfer-encoding:\r\n\r\n",
    b"transfer-encoding: chun ked\r\n\r\n",
    b"transfer-encoding: identity\r\n\r\n",
    b"transfer-encoding: chunked, gzip\r\n\r\n",
    b"transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\n",
    b"transfer-encodinh: chunked\r\n\r\n",
    b"transfer-encodin: chunked\r\n\r\n",
    b"\r\ntransfer-encoding: chunked\r\n\r\n",
    b"\ntransfer-encoding: chunked\r\n\r\n",
    b"transfer-encoding: chunked\r\n\r\nx-other: 1\r\n\r\n",
    b"transfer-encoding: chunked\r\n\nx-other: 1\r\n\r\n",
    b"transfer-encoding: chunked\nx-other: 1\r\n\r\n",
];

/// Spoilt framing fields before a body of a given length.
const MEASURED: [&[u8]; 18] = [
    b"content-length: S\r\n\r\n",
    b"content-length: S\r\nconnection: close\r\n\r\n",
    b"content-length: N, N\r\n\r\n",
    b"content-length: N\r\ncontent-length: S\r\n\r\n",
    b"content-length: +N\r\n\r\n",
    b"content-length: 0xN\r\n\r\n",
    b"content-length: many\r\n\r\n",
    b"content-length:\r\n\r\n",
    b"content-length: 99999999999999999999\r\n\r\n",
    b"content-length: N tail\r\n\r\n",
    b"\r\ncontent-length: N\r\n\r\n",
    b"\ncontent-length: N\r\n\r\n",
    b"content-length: N\r\n\r\n\r\n",
    b"content-length: N\r\n\n",
    b"content-length: N\r\n\r\nx-other: 1\r\n\r\n",
    b"content-length: N\r\n\nx-other: 1\r\n\r\n",
    b"content-length: N\r\n",
    b"content-length: N\n\n",
];

/// Lines that are no field.
const LINES: [&[u8]; 14] = [
    b"x other: 1",
    b"x\x01other: 1",
    b"x\0other: 1",
    b"x\x7Fother: 1",
    b"x\xE9other: 1",
    b"x(other: 1",
    b"x-other : 1",
    b"x-other\t: 1",
    b"x-other",
    b": 1",
    b" folded",
    b"x-other: a\x01b",
    b"x-other: a\0b",
    b"x-other: a\rb",
];

/// Status lines of no final answer.
const STATUS_LINES: [&[u8]; 15] = [
    b"HTTP/1.1 600 OK\r\n",
    b"HTTP/1.1 999 OK\r\n",
    b"HTTP/1.1 000 OK\r\n",
    b"HTTP/1.1 001 OK\r\n",
    b"HTTP/1.1 099 OK\r\n",
    b"HTTP/1.1 101 OK\r\n",
    b"HTTP/1.1 20 OK\r\n",
    b"HTTP/1.1 2000 OK\r\n",
    b"HTTP/1.1 2x0 OK\r\n",
    b"HTTP/1.1 OK\r\n",
    b"HTTP/1.2 200 OK\r\n",
    b"HTTP/2.0 200 OK\r\n",
    b"HTTP 200 OK\r\n",
    b"HTTQ/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\n",
];

/// The line of a signature.
const SIGNATURE: &[u8] = b"X-Server-Stamp: stamp\r\n";

/// Signatures that are none.
const SIGNATURES: [&[u8]; 3] = [b"", b"X-Server-Stamq: stamp\r\n", b"X-Server-Stamp:\r\n"];

/// Returns all forms.
pub fn forms() -> Vec<Form> {
    let sound = || Form::new(b"content-length: N\r\n\r\n", Coding::Plain);
    let chunked = CHUNKED.map(|it| Form::new(it, Coding::Chunks));
    let measured = MEASURED.map(|it| Form::new(it, Coding::Plain));
    let lines = LINES.map(|line| {
        let rest = [line, b"\r\ncontent-length: N\r\n\r\n"].concat();
        Form::new(rest, Coding::Plain)
    });
    let statuses = STATUS_LINES.map(|status_line| Form { status_line, ..sound() });
    let signatures = SIGNATURES.map(|signature| Form { signature, ..sound() });
    let forms = chunked.into_iter().chain(measured).chain(lines);
    forms.chain(statuses).chain(signatures).collect()
}

/// Checks that a client has not got a spoilt answer as a success.
///
/// # Panics
///
/// If it got one, with whatever body.
pub fn check_failed(seen: &Seen, form: &Form) {
    let rest = String::from_utf8_lossy(&form.rest);
    let line = String::from_utf8_lossy(form.status_line);
    let case = format!("{line:?} {rest:?}: {seen:?}");
    let is_failure = seen.head.contains(" 502 ") || seen.head.contains(" 503 ");
    assert!(is_failure || is_broken_prefix(seen), "{case}");
}

/// Returns whether a client got the first events of a stream, and can tell that some are missing.
fn is_broken_prefix(seen: &Seen) -> bool {
    let is_stream = seen.head.contains("text/event-stream");
    let is_prefix = Media::Events.body().starts_with(&decoded_body(seen));
    is_stream && is_prefix && seen.is_broken_off()
}
