//! A stream that moves to another engine, or continues from its backup, through sockets: the client
//! sees one answer.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_gateway::features::Features;
use hollyspoke_server::run::{self, Running};
use hollyspoke_server::settings::Settings;
use hollyspoke_tests::platform::{
    Action, Engine, LAST_CHUNK, Received, Script, Store, answer, ask, chunk, client_head, engine,
    event, handle, is_whole, local, log, settings, store, stream_head,
};
use serde_json::json;

/// A box with its engines.
struct World {
    /// The box.
    node: Running,
    /// The decode engines.
    decode_engines: [Engine; 2],
    /// The store.
    _store: Store,
}

/// Starts a box with a prefill engine and two decode engines that support moves and backups.
async fn world(features: Features, decode_script: Script) -> World {
    let store = store().await;
    store.configure(1);
    let (_, mut spec) = store.object("config", "main").expect("it was just put");
    let support = spec["services"][1]["engine"].as_object_mut().expect("an engine");
    support.insert("moves".to_owned(), json!(true));
    support.insert("backups".to_owned(), json!(true));
    store.put("config", "main", spec);
    let prefill = engine(Rc::new(|it| vec![Action::Send(handle(it))])).await;
    store.list("p-1", &prefill, "model", Some("prefill"));
    let decode_engines = [engine(decode_script.clone()).await, engine(decode_script).await];
    for (number, decode) in decode_engines.iter().enumerate() {
        store.list(&format!("d-{number}"), decode, "model", Some("decode"));
    }
    let settings = Settings { features, ..settings(store.address, Vec::new()) };
    let node = run::start(&settings, hollyspoke_platform::DIALECT, log()).await.expect("it starts");
    while !node.node.with(|it| it.is_ready()) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    World { node, decode_engines, _store: store }
}

/// Returns the end of a stream of five events, after the last one that the client has.
fn rest(to: &Received) -> Vec<Action> {
    let after: u64 = to.header("last-event-id").map_or(0, |it| it.parse().unwrap());
    let events = (after + 1..=5).map(|id| Action::Send(chunk(&event(id))));
    let mut actions = vec![Action::Send(stream_head(to))];
    actions.extend(events);
    actions.push(Action::Send(LAST_CHUNK.to_vec()));
    actions
}

/// Returns the answer to an order to copy a stream. The final copy takes longer than the stream
/// needs to close.
fn transfer(to: &Received) -> Vec<Action> {
    let is_final = String::from_utf8_lossy(&to.body).contains("last");
    let copy = answer(to, "200 OK", "", r#"{"prefillHandle":"moved","made":3}"#);
    let duration = Duration::from_millis(if is_final { 300 } else { 5 });
    vec![Action::Wait(duration), Action::Send(copy)]
}

/// Returns the start of a stream that closes without its end, in the middle of an event.
fn stopped_stream(to: &Received, headers: &str) -> Vec<Action> {
    let head = String::from_utf8(stream_head(to)).expect("text");
    let head = head.replacen("\r\n", &format!("\r\n{headers}"), 1);
    vec![
        Action::Send(head.into_bytes()),
        Action::Send(chunk(&event(1))),
        Action::Wait(Duration::from_millis(100)),
        Action::Send(chunk(&event(2))),
        Action::Wait(Duration::from_millis(100)),
        Action::Send(chunk("id: 3\ndata: pie")),
        Action::Close,
    ]
}

/// Returns the requests that two engines received with a line that starts with `prefix`.
fn received(world: &World, prefix: &str) -> Vec<Received> {
    let all = world.decode_engines.iter().flat_map(|it| it.received.borrow().clone());
    all.filter(|it| it.line.starts_with(prefix)).collect()
}

/// Returns the ids of the events in an answer.
fn events(answer: &str) -> Vec<u64> {
    answer.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
}

#[test]
fn moved_stream_cut() {
    let script: Script = Rc::new(|it| match it.header("x-kv-source") {
        _ if it.line.starts_with("POST /kv-move") => transfer(it),
        _ if !it.line.starts_with("POST /once") => vec![Action::Close],
        Some(source) if source.ends_with("/moved") => rest(it),
        _ => stopped_stream(it, "Server-Leaving: 1\r\n"),
    });
    local(async {
        let world = world(Features { migration: true, ..Features::NONE }, script).await;
        let short = client_head("POST", "/once/x", "id-1", "prompt");
        let head = short.replace("X-Token-Count: 300,20", "X-Token-Count: 300,500");
        assert_ne!(head, short);
        let answer = ask(world.node.front, &head).await;
        assert_eq!(events(&answer), [1, 2, 3, 4, 5]);
        assert!(is_whole(&answer));
        assert_eq!(answer.matches("HTTP/1.1").count(), 1);
        assert_eq!(received(&world, "POST /kv-move").len(), 2);
        let calls = received(&world, "POST /once");
        let continuation = calls.iter().find(|it| it.header("last-event-id").is_some());
        assert_eq!(continuation.and_then(|it| it.header("last-event-id")), Some("2"));
    });
}

#[test]
fn backed_up_stream_cut() {
    let script: Script = Rc::new(|it| match it.header("x-kv-source") {
        Some(source) if source.ends_with("/id-1") => rest(it),
        _ => stopped_stream(it, ""),
    });
    local(async {
        let world = world(Features { backups: true, ..Features::NONE }, script).await;
        let head = client_head("POST", "/once/x", "id-1", "prompt");
        let answer = ask(world.node.front, &head).await;
        assert_eq!(events(&answer), [1, 2, 3, 4, 5]);
        assert!(is_whole(&answer));
        let calls = received(&world, "POST /once");
        let first = calls.iter().find(|it| it.header("last-event-id").is_none());
        let backup = first.and_then(|it| it.header("x-kv-backup")).expect("a backup");
        let continuation = calls.iter().find(|it| it.header("last-event-id").is_some());
        let source = continuation.and_then(|it| it.header("x-kv-source"));
        assert_eq!(source, Some(&*format!("{backup}/id-1")));
    });
}
