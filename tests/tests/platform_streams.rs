//! Streams through a box: one engine prefills the prompt, another one decodes the answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_server::run::Running;
use hollyspoke_tests::platform::{
    Action, Engine, LAST_CHUNK, Received, Script, Store, answer, ask, chunk, client_head, engine,
    event, handle, is_whole, local, node, read_answer, status, store, stream_head,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A box with its engines.
struct World {
    /// The box.
    node: Running,
    /// The prefill engine.
    prefill: Engine,
    /// The decode engines.
    decode_engines: Vec<Engine>,
    /// The store.
    _store: Store,
}

/// Starts a box with a prefill engine and some decode engines, each with a script.
async fn world(prefill_script: Script, decode_scripts: Vec<Script>) -> World {
    let store = store().await;
    store.configure(1);
    let prefill = engine(prefill_script).await;
    store.list("p-1", &prefill, "model", Some("prefill"));
    let mut decode_engines = Vec::new();
    for (number, script) in decode_scripts.into_iter().enumerate() {
        let decode = engine(script).await;
        store.list(&format!("d-{number}"), &decode, "model", Some("decode"));
        decode_engines.push(decode);
    }
    World { node: node(&store).await, prefill, decode_engines, _store: store }
}

/// Returns the script of a prefill engine.
fn prefills() -> Script {
    Rc::new(|it| vec![Action::Send(handle(it))])
}

/// Returns the rest of a stream of three events after the last one that the client has.
fn stream_after(to: &Received) -> Vec<Action> {
    let after: u64 = to.header("last-event-id").map_or(0, |it| it.parse().unwrap());
    let mut actions = vec![Action::Send(stream_head(to))];
    for id in after + 1..=3 {
        actions.push(Action::Send(chunk(&event(id))));
        actions.push(Action::Wait(Duration::from_millis(5)));
    }
    actions.push(Action::Send(LAST_CHUNK.to_vec()));
    actions
}

/// Returns the ids of the events in an answer.
fn events(answer: &str) -> Vec<u64> {
    answer.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
}

#[test]
fn cached_prompt_not_used() {
    local(async {
        let world = world(prefills(), vec![Rc::new(stream_after)]).await;
        let head = client_head("POST", "/once/x", "id-1", "prompt");
        let answer = ask(world.node.front, &head).await;
        assert_eq!(status(&answer), "200");
        assert_eq!(events(&answer), [1, 2, 3]);
        assert!(is_whole(&answer));
        let prefilled = world.prefill.received.borrow();
        assert_eq!(prefilled[0].header("x-serving-stage"), Some("prefill"));
        let decoded = world.decode_engines[0].received.borrow();
        let source = format!("{}/abc", world.prefill.address);
        assert_eq!(decoded[0].header("x-kv-source"), Some(source.as_str()));
        assert_eq!(decoded[0].header("x-serving-stage"), None);
        assert_eq!(decoded[0].body, b"prompt");
    });
}

/// A stream that stops within an event is resumed at another engine after the last whole event.
#[test]
fn partial_event_sent() {
    let breaks = Rc::new(Cell::new(true));
    let script: Script = Rc::new(move |it| {
        if !breaks.replace(false) {
            return stream_after(it);
        }
        let part = "id: 3\ndata: pie";
        vec![
            Action::Send(stream_head(it)),
            Action::Send(chunk(&event(1))),
            Action::Send(chunk(&event(2))),
            Action::Send(chunk(part)),
            Action::Wait(Duration::from_millis(20)),
            Action::Reset,
        ]
    });
    local(async {
        let world = world(prefills(), vec![script.clone(), script]).await;
        let head = client_head("POST", "/resumed/x", "id-1", "prompt");
        let answer = ask(world.node.front, &head).await;
        assert_eq!(events(&answer), [1, 2, 3]);
        assert!(is_whole(&answer));
        assert_eq!(answer.matches("HTTP/1.1").count(), 1);
    });
}

/// A stream that may not be resumed ends without its last chunk.
#[test]
fn broken_stream_looks_whole() {
    let script: Script = Rc::new(|it| {
        vec![
            Action::Send(stream_head(it)),
            Action::Send(chunk(&event(1))),
            Action::Wait(Duration::from_millis(20)),
            Action::Close,
        ]
    });
    local(async {
        let world = world(prefills(), vec![script]).await;
        let head = client_head("POST", "/once/x", "id-1", "prompt");
        let answer = ask(world.node.front, &head).await;
        assert_eq!(events(&answer), [1]);
        assert!(!is_whole(&answer));
    });
}

#[test]
fn failed_prefill_stops_request() {
    let fails: Script =
        Rc::new(|it| vec![Action::Send(answer(it, "500 Internal Server Error", "", ""))]);
    local(async {
        let world = world(fails, vec![Rc::new(stream_after)]).await;
        let head = client_head("POST", "/once/x", "id-1", "prompt");
        let answer = ask(world.node.front, &head).await;
        assert_eq!(events(&answer), [1, 2, 3]);
        let decoded = world.decode_engines[0].received.borrow();
        assert_eq!(decoded[0].header("x-kv-source"), None);
    });
}

/// If the client leaves during a stream, the connection to its engine is closed.
#[test]
fn stream_not_cancelled() {
    let script: Script = Rc::new(|it| {
        vec![
            Action::Send(stream_head(it)),
            Action::Send(chunk(&event(1))),
            Action::Wait(Duration::from_secs(60)),
        ]
    });
    local(async {
        let world = world(prefills(), vec![script]).await;
        let mut stream = TcpStream::connect(world.node.front).await.unwrap();
        let head = client_head("POST", "/once/x", "id-1", "prompt");
        stream.write_all(head.as_bytes()).await.unwrap();
        let first = tokio::time::timeout(Duration::from_millis(300), read_answer(&mut stream));
        assert!(first.await.is_err(), "the stream ended early");
        drop(stream);
        while world.decode_engines[0].dropped.get() == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
}

/// The cached prompt of a client that has left is freed.
#[test]
fn prompt_not_freed() {
    let hangs: Script = Rc::new(|_| vec![Action::Wait(Duration::from_secs(60))]);
    local(async {
        let world = world(prefills(), vec![hangs]).await;
        let mut stream = TcpStream::connect(world.node.front).await.unwrap();
        let head = client_head("POST", "/once/x", "id-1", "prompt");
        stream.write_all(head.as_bytes()).await.unwrap();
        while world.decode_engines[0].received.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        drop(stream);
        let is_freed = || {
            let received = world.prefill.received.borrow();
            received.iter().any(|it| it.line == "DELETE /kv-handle/abc HTTP/1.1")
        };
        while !is_freed() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
}

/// Returns a stream of more bytes than the connections on its way hold.
fn long_stream(to: &Received) -> Vec<Action> {
    let text = "x".repeat(LONG_EVENT_BYTES);
    let events = (1..=LONG_EVENT_COUNT).map(|it| chunk(&format!("id: {it}\ndata: {text}\n\n")));
    let head = std::iter::once(stream_head(to));
    head.chain(events).chain([LAST_CHUNK.to_vec()]).map(Action::Send).collect()
}

/// The bytes of an event of a long stream.
const LONG_EVENT_BYTES: usize = 1 << 18;

/// The number of events of a long stream.
const LONG_EVENT_COUNT: u64 = 100;

/// A client that reads nothing for a time gets all events in their order afterwards.
#[test]
fn slow_client_loses_events() {
    local(async {
        let world = world(prefills(), vec![Rc::new(long_stream)]).await;
        let mut stream = TcpStream::connect(world.node.front).await.unwrap();
        let head = client_head("POST", "/once/x", "id-1", "prompt");
        stream.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut bytes = Vec::new();
        while !bytes.ends_with(LAST_CHUNK) {
            assert_ne!(stream.read_buf(&mut bytes).await.unwrap(), 0, "the answer is whole");
        }
        let received = events(&String::from_utf8_lossy(&bytes));
        assert_eq!(received, (1..=LONG_EVENT_COUNT).collect::<Vec<_>>());
    });
}
