//! Odd objects of other writers among those that a box reads. The box starts, gets ready and follows
//! the other objects, whether it reads the odd one from a list, at the end of a page, or as a change.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use hollyspoke_platform::DIALECT;
use hollyspoke_server::run::{self, Running};
use hollyspoke_tests::platform::{
    Action, Store, StoreBehaviour, ask, client_head, engine, local, log, settings, status, store,
    whole,
};
use serde_json::{Value, json};

/// The longest time until a box knows a change, while a few dozen boxes run side by side.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(20);

/// The number of rows that are run side by side.
const BATCH_SIZE: usize = 16;

/// The nesting of a very deep value.
const DEPTH: usize = 200_000;

/// The text in a spec or a name that the store's answers replace.
const PLACEHOLDER: &str = "m-placeholder";

/// An odd object.
#[derive(Debug, Clone)]
struct Odd {
    /// What is odd about it.
    what: String,
    /// Its kind.
    kind: &'static str,
    /// Its name.
    name: String,
    /// Its specification.
    spec: Value,
    /// The JSON text that replaces the placeholder, quotes included.
    text: Option<String>,
    /// Whether it is an engine's entry nevertheless, since only a field that boxes don't read is odd.
    is_engine: bool,
}

/// Returns an engine's entry. Nothing needs to listen at its address.
fn entry(port: u16) -> Value {
    json!({"service": "plain", "address": format!("127.0.0.1:{port}"), "zone": "north",
        "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "callSeq": 0})
}

/// Returns an object without a usable field and with an odd name.
fn named(kind: &'static str, what: &str, name: &str) -> Odd {
    Odd {
        what: format!("{kind}, {what}"),
        kind,
        name: name.to_owned(),
        spec: json!({"note": "of another writer"}),
        text: None,
        is_engine: false,
    }
}

/// Returns an entry with odd JSON text in one field.
fn with_field(kind: &'static str, field: &str, what: &str, text: String) -> Odd {
    let mut spec = entry(9);
    spec[field] = json!(PLACEHOLDER);
    let what = format!("{what} as {field}");
    let is_engine = field == "other";
    Odd { spec, text: Some(text), is_engine, ..named(kind, &what, "m-odd") }
}

/// Returns an object whose whole specification is odd JSON text.
fn with_spec(kind: &'static str, name: &str, what: &str, text: String) -> Odd {
    let what = format!("{name}, {what}");
    Odd { spec: json!(PLACEHOLDER), text: Some(text), ..named(kind, &what, name) }
}

/// Returns objects with odd names.
fn odd_names() -> Vec<Odd> {
    let long = "m".repeat(1_000_000);
    let long_wide = "m\u{20ac}".repeat(100_000);
    let names = [
        ("a space", "m backup of i-3f9a01c2d4"),
        ("an ampersand", "m&stale=0"),
        ("a hash", "m#1"),
        ("a percent sign", "m%20"),
        ("a lone percent sign", "m%"),
        ("a plus sign", "m+1"),
        ("a question mark", "m?after=z"),
        ("an equals sign", "m=1"),
        ("a slash", "m/1"),
        ("dots", "m/../config/main"),
        ("quotes", "m\"1'"),
        ("a backslash", "m\\1"),
        ("nothing", ""),
        ("a line break", "m\r\nHost: other"),
        ("a null character", "m\0"),
        ("a control character alone", "\u{1}"),
        ("a delete character", "m\u{7f}"),
        ("letters beyond ASCII", "m\u{e9}\u{4e16}"),
        ("a character beyond 16 bits", "m\u{1f600}"),
        ("a megabyte", long.as_str()),
        ("wide characters by the thousand", long_wide.as_str()),
    ];
    let mut rows = Vec::new();
    for kind in ["servers", "evacuations", "config"] {
        rows.extend(names.iter().map(|it| named(kind, it.0, it.1)));
        let text = Some("\"m-\\udfff\"".to_owned());
        rows.push(Odd { text, ..named(kind, "half a surrogate pair", PLACEHOLDER) });
    }
    rows
}

/// Returns objects with odd contents.
fn odd_contents() -> Vec<Odd> {
    let deep = || format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let deep_object = format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH));
    let digits = "9".repeat(400);
    let mut rows = Vec::new();
    for field in
        ["service", "address", "zone", "slots", "state", "stage", "born", "version", "other"]
    {
        rows.push(with_field("servers", field, "deep nesting", deep()));
        rows.push(with_field("servers", field, "a number beyond every type", digits.clone()));
        rows.push(with_field("servers", field, "an infinite number", "1e999".to_owned()));
    }
    for address in ["127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:"] {
        rows.push(with_field("servers", "address", address, format!("\"{address}\"")));
    }
    let objects = [
        ("servers", "m-odd"),
        ("evacuations", "m-odd"),
        ("config", "m-odd"),
        ("quarantine", "requests"),
        ("census", "boxes"),
        ("software", "versions"),
    ];
    for (kind, name) in objects {
        rows.push(with_spec(kind, name, "deep nesting", deep()));
        rows.push(with_spec(kind, name, "deeply nested objects", deep_object.clone()));
        rows.push(with_spec(kind, name, "a number beyond every type", digits.clone()));
        rows.push(with_spec(kind, name, "text of digits", format!("\"{digits}\"")));
        rows.push(with_spec(kind, name, "half a surrogate pair", "\"\\udfff\"".to_owned()));
        rows.push(with_spec(kind, name, "a megabyte", format!("\"{}\"", "x".repeat(1_000_000))));
    }
    rows
}

/// Returns a store with a configuration, two engines and an evacuated data centre, whose pages hold one object each: an odd one
/// fills its page.
async fn world(odd: &Odd) -> Store {
    let store = store().await;
    store.configure(1);
    let first = engine(Rc::new(|it| vec![Action::Send(whole(it, "first"))])).await;
    store.list("a-1", &first, "plain", None);
    store.put("servers", "z-1", entry(2));
    store.put("evacuations", "z-south", json!({}));
    store.page_size.set(1);
    let text = odd.text.iter().map(|it| (format!("\"{PLACEHOLDER}\""), it.clone()));
    store.replacements.borrow_mut().extend(text);
    store
}

/// Waits until a condition holds; returns whether it held in time.
async fn holds_soon(condition: impl Fn() -> bool) -> bool {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(FOLLOW_TIMEOUT, wait).await.is_ok()
}

/// Starts a box.
async fn start(store: &Store) -> Running {
    run::start(&settings(store.address, Vec::new()), DIALECT, log()).await.expect("ports are free")
}

/// Sends requests until one is served; returns whether one was in time. Only one engine listens.
async fn is_served(node: &Running) -> bool {
    let wait = async {
        let head = client_head("GET", "/safe/x", "id-1", "");
        while status(&ask(node.front, &head).await) != "200" {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(FOLLOW_TIMEOUT, wait).await.is_ok()
}

/// Returns what a box doesn't do of all that it should do beside an odd object.
async fn fault(store: &Store, node: &Running, odd: &Odd) -> Option<&'static str> {
    let known = 2 + usize::from(odd.is_engine);
    let engines =
        |count: usize| holds_soon(move || node.node.with(|it| it.engine_count()) == count);
    let evacuates = |data_centre| {
        holds_soon(move || node.node.with(|it| it.evacuation()).data_centres.contains(data_centre))
    };
    if !holds_soon(|| node.node.with(|it| it.is_ready())).await {
        return Some("it isn't ready");
    }
    if !engines(known).await {
        return Some("it doesn't know the engines");
    }
    store.put("servers", "zz-2", entry(3));
    if !engines(known + 1).await {
        return Some("it doesn't find a later engine");
    }
    store.remove("servers", "zz-2");
    if !engines(known).await {
        return Some("it keeps an engine that has left");
    }
    store.configure(2);
    if !holds_soon(|| node.node.with(|it| it.version()) == Some(2)).await {
        return Some("it doesn't follow the configuration");
    }
    if !evacuates("z-south").await {
        return Some("it doesn't know an evacuation");
    }
    store.put("evacuations", "zz-east", json!({}));
    if !evacuates("zz-east").await {
        return Some("it doesn't find a later evacuation");
    }
    let lists = store.lists.get();
    store.behaviour.set(StoreBehaviour::HistoryLost);
    let is_listed = holds_soon(|| store.lists.get() > lists).await;
    store.put("servers", "zz-3", entry(4));
    store.behaviour.set(StoreBehaviour::Available);
    if !is_listed || !engines(known + 1).await {
        return Some("it doesn't list the engines again");
    }
    if !is_served(node).await {
        return Some("it serves no request");
    }
    None
}

/// Runs a check for all rows side by side, and fails with those that a fault was found for.
fn check<F: Future<Output = Option<&'static str>>>(rows: Vec<Odd>, run: impl Fn(Odd) -> F) {
    let mut faults = Vec::new();
    for batch in rows.chunks(BATCH_SIZE) {
        local(async {
            let found = join_all(batch.iter().map(|it| run(it.clone()))).await;
            let found = batch.iter().zip(found);
            faults.extend(found.filter_map(|(row, it)| it.map(|it| format!("{}: {it}", row.what))));
        });
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Lets a box start while an odd object is in the store.
async fn fault_at_start(odd: Odd) -> Option<&'static str> {
    let store = world(&odd).await;
    store.put(odd.kind, &odd.name, odd.spec.clone());
    let node = start(&store).await;
    fault(&store, &node, &odd).await
}

/// Writes an odd object while a box runs.
async fn fault_while_running(odd: Odd) -> Option<&'static str> {
    let store = world(&odd).await;
    let node = start(&store).await;
    if !holds_soon(|| node.node.with(|it| it.is_ready())).await {
        return Some("it isn't ready before");
    }
    store.put(odd.kind, &odd.name, odd.spec.clone());
    fault(&store, &node, &odd).await
}

#[test]
fn odd_name_stops_start() {
    check(odd_names(), fault_at_start);
}

#[test]
fn odd_name_stops_running_box() {
    check(odd_names(), fault_while_running);
}

#[test]
fn odd_content_stops_start() {
    check(odd_contents(), fault_at_start);
}

#[test]
fn odd_content_stops_running_box() {
    check(odd_contents(), fault_while_running);
}

/// The store sorts an object by another name than it shows, so that the next page is the same.
#[test]
fn repeated_page_asked_for_endlessly() {
    local(async {
        let text = Some("\"b-1\"".to_owned());
        let odd = Odd { text, ..named("servers", "another name", PLACEHOLDER) };
        let store = world(&odd).await;
        store.put(odd.kind, &odd.name, odd.spec.clone());
        let _node = start(&store).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(store.calls.get() < 100, "{} calls", store.calls.get());
    });
}
