//! Heads of answers with one wrong byte: the body is the whole one, or the answer is known to be none.

use hollyspoke_http::framing::Framing;
use hollyspoke_http::guard::Guard;
use hollyspoke_http::violation::Violation;

/// The body of each answer.
const BODY: &str = "the whole body, 17 of it";

/// Returns the heads that are spoilt, each with the bytes that follow it.
fn answers() -> [(String, String); 3] {
    let head = "HTTP/1.1 200 OK\r\nDate: now\r\n";
    let length = BODY.len();
    [
        (format!("{head}Content-Length: {length}\r\nX: 1\r\n\r\n"), BODY.to_owned()),
        (
            format!("{head}Transfer-Encoding: chunked\r\nX: 1\r\n\r\n"),
            format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n"),
        ),
        (format!("{head}X: 1\r\n\r\n"), BODY.to_owned()),
    ]
}

/// Returns each head that differs from a sound one in one byte, which is another one, missing or added.
fn spoilt(head: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    (0..head.len()).flat_map(move |index| {
        let (before, rest) = head.split_at(index);
        let with = move |byte, rest: &[u8]| [before, &[byte], rest].concat();
        let replaced = (0..=u8::MAX).map(move |it| with(it, &rest[1..]));
        let added = (0..=u8::MAX).map(move |it| with(it, rest));
        replaced.chain(added).chain([[before, &rest[1..]].concat()])
    })
}

/// Reads an answer whose connection closes behind it. Returns the body, or none if it is incomplete.
fn read(bytes: &[u8]) -> Result<Option<Vec<u8>>, Violation> {
    let mut guard = Guard::new(false);
    let end = guard.read(bytes)?;
    guard.end()?;
    guard.check_surplus()?;
    let Some(framing) = guard.framing() else { return Ok(None) };
    let head_end = bytes.windows(4).position(|it| it == b"\r\n\r\n").expect("the head ends") + 4;
    let body = &bytes[head_end..end];
    Ok(match framing {
        Framing::Length(length) => (body.len() as u64 == length).then(|| body.to_vec()),
        Framing::Close => Some(body.to_vec()),
        Framing::Chunks => decode(body),
    })
}

/// Decodes a body in chunks.
fn decode(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line_end = rest.windows(2).position(|it| it == b"\r\n")?;
        let size = std::str::from_utf8(&rest[..line_end]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(line_end + 2..line_end + 2 + size)?);
        rest = rest[line_end + 2 + size..].strip_prefix(b"\r\n")?;
    }
}

#[test]
fn sound_answer_refused() {
    for (head, body) in answers() {
        let body = read([head, body].concat().as_bytes());
        assert_eq!(body, Ok(Some(BODY.as_bytes().to_vec())));
    }
}

/// Returns whether the byte was added behind the head, to a body that only the close delimits.
fn is_in_unmarked_body(spoilt: &[u8], head: &str) -> bool {
    let is_unmarked = !head.contains("Length") && !head.contains("Encoding");
    is_unmarked && spoilt.starts_with(head.as_bytes())
}

#[test]
fn wrong_byte_changes_body() {
    for (head, body) in answers() {
        for spoilt in spoilt(head.as_bytes()) {
            let answer = [&spoilt, body.as_bytes()].concat();
            if let Ok(Some(read)) = read(&answer)
                && !is_in_unmarked_body(&spoilt, &head)
            {
                let text = String::from_utf8_lossy(&read);
                assert_eq!(text, BODY, "{:?}", String::from_utf8_lossy(&spoilt));
            }
        }
    }
}

/// How the bytes of an answer are split on their way decides nothing.
#[test]
fn split_changes_verdict() {
    for (head, body) in answers() {
        for spoilt in spoilt(head.as_bytes()).step_by(7) {
            let answer = [&spoilt, body.as_bytes()].concat();
            let mut guard = Guard::new(false);
            let in_pieces = answer.iter().try_for_each(|it| guard.read(&[*it]).map(|_| ()));
            let in_pieces =
                in_pieces.and_then(|()| guard.end()).and_then(|()| guard.check_surplus());
            assert_eq!(in_pieces, read(&answer).map(|_| ()), "{spoilt:?}");
        }
    }
}

/// What an informational answer tells is no part of the answer proper.
#[test]
fn interim_answer_taken_for_answer() {
    let [(head, body), ..] = answers();
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let mut guard = Guard::new(false);
    let bytes = [interim, &head, &body].concat();
    assert_eq!(guard.read(bytes.as_bytes()), Ok(bytes.len()));
    assert_eq!(guard.framing(), Some(Framing::Length(BODY.len() as u64)));
    let spoilt = interim.replace("\r\nLink", "\r\nContent-Length: 3\r\nLink");
    assert_eq!(Guard::new(false).read(spoilt.as_bytes()), Err(Violation::NoBody));
}

/// The length in the answer to a HEAD request is that of a body which does not follow.
#[test]
fn answer_to_head_request_awaits_body() {
    let [(head, body), ..] = answers();
    let mut guard = Guard::new(true);
    assert_eq!(guard.read(head.as_bytes()), Ok(head.len()));
    assert_eq!(guard.check_surplus(), Ok(()));
    assert_eq!(guard.read(body.as_bytes()), Err(Violation::Surplus));
}

/// A text may look like a field or like a number, and a stream may begin with comments or with fields
/// of its own.
#[test]
fn unmarked_body_refused() {
    let text = "HTTP/1.1 200 OK\r\n\r\n";
    let events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let bodies = [
        (text, "Note: this is a text\r\nand no field\r\n\r\n"),
        (text, "42\r\nis a number"),
        (text, "\r\n\r\n"),
        (events, ": comment\n\nid: 1\ndata: x\n\n"),
        (events, "\u{feff}id: 1\ndata: x\n\n"),
        (events, "x-weights: 3\nid: 1\ndata: x\n\n"),
    ];
    for (head, body) in bodies {
        let mut guard = Guard::new(false);
        let answer = [head, body].concat();
        assert_eq!(guard.read(answer.as_bytes()), Ok(answer.len()), "{body:?}");
    }
}
