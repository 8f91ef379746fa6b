//! The adapter reads each field that engines send, or the list of dropped fields names it with its value
//! to the engine, to a caller and for the rules.
//!
//! Without this check three fields were dropped by oversight: the limit of an engine, its shutdown, and
//! its back-off, for which the list gave a reason that considered only the caller.

use std::collections::BTreeSet;

use hollyspoke_platform::DIALECT;
use hollyspoke_tests::source::root;
use http::{Request, Response, response};
use serde_json::{Value, json};

/// The headers of engines' answers, each with a value, on refusals and successes.
const HEADERS: [(&str, &str); 11] = [
    ("X-Request-Id", "another"),
    ("X-Not-Executed", "1"),
    ("X-Server-Load", "1,2,6"),
    ("Server-Limit", "2.5"),
    ("Server-Leaving", "1"),
    ("Retry-After", "3"),
    ("X-Weight-Versions", "7"),
    ("X-Instance-Id", "i-1"),
    ("X-Cold-Ms", "900"),
    ("Keep-Alive", "timeout=3"),
    ("Connection", "close"),
];

/// Headers that are passed on to the client with the whole answer.
const PASSED_ON: [&str; 2] = ["X-Server-Stamp", "Content-Type"];

/// Returns the head of a refusal with the given headers.
fn head(headers: &[(&str, &str)]) -> response::Parts {
    let answer = Response::builder().status(503);
    let answer = headers.iter().fold(answer, |it, &(name, value)| it.header(name, value));
    answer.body(()).expect("an answer").into_parts().0
}

/// Returns whether a header changes what the adapter reads from an answer.
fn is_header_read(header: (&str, &str)) -> bool {
    let request = Request::builder().body(()).expect("a request").into_parts().0;
    let read = |headers: &[(&str, &str)]| {
        (DIALECT.read_answer)(&head(headers), &request).map_err(|it| it.0)
    };
    read(&[]) != read(&[header])
}

/// Returns the fields of an object whose values change the result of a read function.
fn fields_read<T: PartialEq>(object: &Value, read: impl Fn(&[u8]) -> T) -> BTreeSet<String> {
    let whole = read(object.to_string().as_bytes());
    let fields = object.as_object().expect("an object").iter();
    let is_read = fields.filter(|(name, value)| {
        let mut changed = object.clone();
        changed[name.as_str()] = match value {
            Value::String(_) => json!("draining"),
            Value::Array(_) => json!([["", "7", 3, "m"]]),
            other => json!(other.as_u64().unwrap_or_default() + 1),
        };
        read(changed.to_string().as_bytes()) != whole
    });
    is_read.map(|(name, _)| name.clone()).collect()
}

/// Returns the rows of the list of dropped fields.
fn dropped() -> Vec<Vec<String>> {
    let page = root().join("docs/SYSTEM.md");
    let text = std::fs::read_to_string(page).expect("the page");
    let (_, list) = text.split_once("adapter drops\n").expect("the list");
    let list = list.split("\n## ").next().expect("its part");
    let rows = list.lines().filter(|it| it.starts_with("| ")).skip(2);
    let cells = |row: &str| {
        let cells = row.trim_matches('|').split(" | ");
        cells.map(|it| it.trim_matches([' ', '|']).to_owned()).collect()
    };
    rows.map(cells).collect()
}

/// Returns whether a field of a kind of answer is in the list.
fn is_dropped(kind: &str, field: &str) -> bool {
    let name = format!("`{field}`");
    dropped().iter().any(|row| row[0].starts_with(kind) && row[0].contains(&name))
}

/// Checks that each field of a kind of answer is either read or listed.
fn check_fields(kind: &str, fields: impl IntoIterator<Item = String>, read: &BTreeSet<String>) {
    for field in fields {
        let (is_read, is_dropped) = (read.contains(&field), is_dropped(kind, &field));
        assert!(is_read != is_dropped, "{kind}: `{field}` read: {is_read}, listed: {is_dropped}");
    }
}

/// Returns the names of the fields of an object.
fn fields(object: &Value) -> Vec<String> {
    object.as_object().expect("an object").keys().cloned().collect()
}

#[test]
fn unlisted_header() {
    let read = HEADERS.iter().filter(|it| is_header_read(**it)).map(|it| it.0.to_owned());
    let names = HEADERS.iter().map(|it| it.0.to_owned());
    check_fields("answers", names, &read.collect());
    assert!(!PASSED_ON.iter().any(|it| is_dropped("answers", it)));
}

#[test]
fn unlisted_report_field() {
    let report = json!({
        "stage": "decode", "models": [], "busy": 0, "callSeq": 2, "queued": 1, "active": 12,
        "kvUsed": 41000, "kvTotal": 90000, "prefillHandles": 0, "pinned": 1, "held": 2,
        "state": "ready", "leaves_ms": 900, "nextToken": 3, "runs": [], "born": 17,
    });
    check_fields("report", fields(&report), &fields_read(&report, DIALECT.read_report));
}

#[test]
fn unlisted_prefill_field() {
    let prompt = json!({"prefillHandle": "3fa0", "tokens": 1460, "version": 1});
    check_fields("prompts read", fields(&prompt), &fields_read(&prompt, DIALECT.read_handle));
}

#[test]
fn unlisted_cache_field() {
    let list = json!({"epoch": 1, "nextToken": 5, "held": []});
    check_fields("kept prompts", fields(&list), &fields_read(&list, DIALECT.read_cached_prompts));
}

/// Each row names the value of its fields to the engine, to a caller and for the rules.
#[test]
fn missing_reason() {
    let rows = dropped();
    assert!(rows.len() > 8, "{rows:?}");
    for row in rows {
        assert_eq!(row.len(), 4, "{row:?}");
        assert!(row.iter().all(|it| !it.is_empty()), "{row:?}");
    }
}
