//! Invalid entries in the store: missing fields, wrong types, unknown values, bytes that can't be
//! decoded. They are no engines, and the valid entries beside them still apply.

use std::net::SocketAddr;

use hollyspoke::store::{Answer, Operation};
use hollyspoke_platform::store::{read_changes, read_page, read_stored};
use hollyspoke_server::dialect::{Change, Item, Kind};
use http::StatusCode;
use proptest::prelude::*;
use serde_json::{Value, json};

/// Returns a valid spec of an engine.
fn valid_entry() -> Value {
    json!({
        "service": "model", "address": "10.1.0.1:80", "zone": "north", "version": "v1", "slots": 8,
        "state": "ready", "coldLeftMs": 0, "callSeq": 0, "stage": "decode", "born": 1_700_000_000_000u64,
    })
}

/// Returns an object in the format of the store.
fn object(name: &str, spec: &Value) -> String {
    json!({"metadata": {"name": name, "revision": 7}, "spec": spec}).to_string()
}

/// Returns the valid entry with one field replaced.
fn with(field: &str, value: Value) -> String {
    let mut spec = valid_entry();
    spec[field] = value;
    object("e-2", &spec)
}

/// Returns the valid entry without a field.
fn without(field: &str) -> String {
    let mut spec = valid_entry();
    spec.as_object_mut().expect("an object").remove(field);
    object("e-2", &spec)
}

/// Returns invalid entries, as bytes.
fn invalid_entries() -> Vec<Vec<u8>> {
    let fields = ["service", "address", "zone", "slots", "state"];
    let missing = fields.iter().map(|it| without(it));
    let types = ["service", "address", "zone", "slots", "state", "stage", "born"];
    let wrong = types
        .iter()
        .flat_map(|it| [with(it, json!([1])), with(it, json!({})), with(it, json!(true))]);
    let words = [
        with("state", json!("resting")),
        with("state", json!("")),
        with("stage", json!("both")),
        with("address", json!("10.1.0.1:0")),
        with("address", json!("host.example:80")),
        with("slots", json!(-1)),
        with("slots", json!("8")),
        with("born", json!("1700000000000")),
        with("born", json!(1.5)),
        object("e-2", &Value::Null),
        object("e-2", &json!("text")),
        json!({"metadata": {"name": "e-2", "revision": 7}}).to_string(),
        json!({"metadata": {"name": 7, "revision": 7}, "spec": valid_entry()}).to_string(),
        json!({"metadata": "e-2", "spec": valid_entry()}).to_string(),
        json!({"spec": valid_entry()}).to_string(),
        json!("e-2").to_string(),
        "null".to_owned(),
        object("e-2", &valid_entry()).replace("north", "\\ud800"),
        object("e-2", &valid_entry()).replace("e-2", "\\udfff"),
        object("e-2", &valid_entry()).replace("\"v1\"", "1e999"),
    ];
    let texts = missing.chain(wrong).chain(words).map(String::into_bytes);
    let mut bytes: Vec<Vec<u8>> = texts.collect();
    for place in ["north", "model", "e-2"] {
        let text = object("e-2", &valid_entry());
        let at = text.find(place).expect("it is there");
        let mut entry = text.into_bytes();
        entry[at] = 0xff;
        bytes.push(entry);
    }
    bytes
}

/// Returns a page with a valid entry before and after the given one.
fn page(entry: &[u8], has_more: bool) -> Vec<u8> {
    let mut body = format!("{{\"items\":[{},", object("e-1", &valid_entry())).into_bytes();
    body.extend(entry);
    body.extend(
        format!(",{}],\"more\":{has_more},\"at\":9}}", object("e-3", &valid_entry())).bytes(),
    );
    body
}

/// Returns the ids of the engines among some items.
fn ids<'a>(items: impl IntoIterator<Item = &'a Item>) -> Vec<String> {
    let id = |it: &Item| match it {
        Item::Engine(engine) => Some(engine.id.to_string()),
        Item::Configuration(_) | Item::Evacuated(_) => None,
    };
    items.into_iter().filter_map(id).collect()
}

/// `metadata` of another type, bytes that are not UTF-8 or half a surrogate pair must not fail the whole
/// page. An entry with an unknown state, without a zone or slots, or with port 0 is not an engine.
#[test]
fn invalid_entry_drops_page() {
    for entry in invalid_entries() {
        let what = String::from_utf8_lossy(&entry).into_owned();
        let read = read_page(Kind::Engines, &page(&entry, false));
        let read = read.unwrap_or_else(|it| panic!("{what}: {it:?}"));
        assert_eq!(ids(&read.items), ["e-1", "e-3"], "{what}");
        assert_eq!(read.findings.len(), 1, "{what}");
    }
}

/// The next page begins after the last readable name.
#[test]
fn nameless_entry_stops_paging() {
    let nameless = json!({"metadata": 1, "spec": valid_entry()}).to_string();
    let mut body = format!("{{\"items\":[{},", object("e-1", &valid_entry())).into_bytes();
    body.extend(format!("{nameless}],\"more\":true,\"at\":9}}").bytes());
    let read = read_page(Kind::Engines, &body).expect("a page");
    assert_eq!(read.next.as_deref(), Some("e-1"));
    let read = read_page(Kind::Engines, &page(nameless.as_bytes(), true)).expect("a page");
    assert_eq!(read.next.as_deref(), Some("e-3"));
}

/// If an unreadable change is only logged, a known engine with that entry stays in use. The other changes
/// of the same answer apply.
#[test]
fn unreadable_engine_kept() {
    for entry in invalid_entries() {
        let what = String::from_utf8_lossy(&entry).into_owned();
        let mut body = br#"{"events":[{"gone":false,"object":"#.to_vec();
        body.extend(&entry);
        let last = object("e-3", &valid_entry());
        body.extend(format!("}},{{\"gone\":false,\"object\":{last}}}],\"at\":9}}").bytes());
        let read = read_changes(Kind::Engines, &body);
        let read = read.unwrap_or_else(|it| panic!("{what}: {it:?}"));
        assert_eq!(read.findings.len(), 1, "{what}");
        let put = read.changes.iter().filter_map(|(it, _)| match it {
            Change::Put(item) => Some(item),
            Change::Gone(_) => None,
        });
        assert_eq!(ids(put), ["e-3"], "{what}");
        let gone = |it: &(Change, u64)| matches!(&it.0, Change::Gone(id) if &**id == "e-2");
        let has_name = what.contains("\"e-2\"") && what.contains("\"metadata\":{\"name\":\"e-2\"");
        assert_eq!(read.changes.iter().any(gone), has_name, "{what}");
    }
}

/// The address, start time and state of a valid entry are read.
#[test]
fn valid_entry_misread() {
    let body = format!("{{\"items\":[{}],\"more\":false,\"at\":9}}", object("e-1", &valid_entry()));
    let read = read_page(Kind::Engines, body.as_bytes()).expect("a page");
    let Some(Item::Engine(engine)) = read.items.first() else { panic!("{read:?}") };
    assert_eq!(engine.address, SocketAddr::from(([10, 1, 0, 1], 80)));
    assert_eq!(engine.started_at, Some(1_700_000_000_000));
    assert!(!engine.is_draining);
    assert!(read.findings.is_empty(), "{:?}", read.findings);
}

/// Generates a JSON value of any type.
fn value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        prop::collection::vec(any::<u8>(), 0..3).prop_map(Value::from),
        Just(json!({"name": "e-9"})),
    ]
}

proptest! {
    /// Any value in one field of an entry leaves the other entries valid.
    #[test]
    fn drawn_entries(field in "[a-zA-Z]{1,10}|service|address|zone|slots|state|stage|born", value in value()) {
        let entry = with(&field, value);
        let read = read_page(Kind::Engines, &page(entry.as_bytes(), false)).expect("a page");
        let ids = ids(&read.items);
        prop_assert!(ids.contains(&"e-1".to_owned()) && ids.contains(&"e-3".to_owned()));
        prop_assert_eq!(ids.len() + read.findings.len(), 3);
    }

    /// No byte in an answer of the store causes a panic.
    #[test]
    fn drawn_bytes(at in 0usize..400, byte: u8) {
        let mut body = page(&object("e-2", &valid_entry()).into_bytes(), true);
        let at = at % body.len();
        body[at] = byte;
        _ = read_page(Kind::Engines, &body);
        _ = read_changes(Kind::Engines, &body);
    }
}

/// An object of the router that another writer has made invalid is read as empty, at its revision, so
/// that it can be replaced. It does not count as a store that is unavailable.
#[test]
fn invalid_own_object_away() {
    let get = Operation::Get { kind: "census".to_owned(), name: "boxes".to_owned() };
    for spec in ["7", "null", "[]", "{\"a\":1}", "\"\\ud800\"", "true"] {
        let body =
            format!("{{\"metadata\":{{\"name\":\"boxes\",\"revision\":5}},\"spec\":{spec}}}");
        let answer = read_stored(&get, StatusCode::OK, body.as_bytes());
        assert_eq!(answer, Answer::Found { version: 5, value: String::new() }, "{spec}");
    }
    let body = b"{\"metadata\":{\"name\":\"boxes\",\"revision\":5},\"spec\":\"\xff\"}";
    let answer = read_stored(&get, StatusCode::OK, body);
    assert!(matches!(answer, Answer::Found { version: 5, .. }), "{answer:?}");
}
