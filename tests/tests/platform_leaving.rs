//! Engines that announce in their answers that they are shutting down, through sockets.
//!
//! If the header is ignored while the store is unavailable, the engine still gets requests: 82 in 13 s.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_platform::DIALECT;
use hollyspoke_server::run::{self, Running};
use hollyspoke_tests::platform::{
    Action, Engine, Received, Script, Store, answer, ask, client_head, engine, handle, local, log,
    node, settings, status, store, stream_head,
};

/// The header of an engine that is shutting down.
const LEAVING: &str = "Server-Leaving: 1\r\n";

/// Starts a box that knows another one, and waits until they have received each other's heartbeats.
async fn second_node(store: &Store, first: &Running) -> Running {
    let seeds: Vec<SocketAddr> = vec![first.node.peer_address().expect("it is bound")];
    let running =
        run::start(&settings(store.address, seeds), DIALECT, log()).await.expect("free ports");
    while running.node.with(|it| !it.is_ready() || it.alive_box_count() < 2) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    running
}

/// Returns a script that answers with headers.
fn answers(headers: &'static str) -> Script {
    Rc::new(move |to: &Received| vec![Action::Send(answer(to, "200 OK", headers, "x"))])
}

/// Sends a plain request to a box; returns the status.
async fn plain_status(front: SocketAddr, number: usize) -> String {
    let head = client_head("GET", "/safe/x", &format!("id-{number}"), "");
    status(&ask(front, &head).await).to_owned()
}

/// Returns the number of client requests that an engine received.
fn client_request_count(engine: &Engine) -> usize {
    let received = engine.received.borrow();
    received.iter().filter(|it| it.header("x-request-id").is_some()).count()
}

/// While the store is silent, one answer to one box is enough for both.
#[test]
fn shutdown_not_shared() {
    local(async {
        let store = store().await;
        let leaving = engine(answers(LEAVING)).await;
        let staying = engine(answers("")).await;
        store.configure(1);
        store.list("e-1", &leaving, "plain", None);
        store.list("e-2", &staying, "plain", None);
        let first = node(&store).await;
        let second = second_node(&store, &first).await;
        store.stall_open_connections();
        let mut number = 0;
        while leaving.received.borrow().is_empty() {
            number += 1;
            assert_eq!(plain_status(first.front, number).await, "200");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        for front in [first.front, second.front].into_iter().cycle().take(40) {
            number += 1;
            assert_eq!(plain_status(front, number).await, "200");
        }
        assert_eq!(client_request_count(&leaving), 1);
    });
}

/// The head of an answer counts even if its body is cut off.
#[test]
fn head_of_broken_answer_ignored() {
    local(async {
        let store = store().await;
        let breaks_off: Script = Rc::new(|to| {
            let head = answer(to, "200 OK", LEAVING, "the body");
            vec![Action::Send(head[..head.len() - 4].to_vec()), Action::Close]
        });
        let leaving = engine(breaks_off).await;
        let staying = engine(answers("")).await;
        store.configure(1);
        store.list("e-1", &leaving, "plain", None);
        store.list("e-2", &staying, "plain", None);
        let node = node(&store).await;
        for number in 0..40 {
            plain_status(node.front, number).await;
        }
        assert_eq!(client_request_count(&leaving), 1);
    });
}

/// The head of a stream counts before its first event.
#[test]
fn head_of_stream_ignored() {
    local(async {
        let store = store().await;
        store.configure(1);
        let prefill = engine(Rc::new(|it: &Received| vec![Action::Send(handle(it))])).await;
        store.list("p-1", &prefill, "model", Some("prefill"));
        let is_leaving = Rc::new(Cell::new(true));
        let mut decode_engines = Vec::new();
        for number in 0..2 {
            let is_first = is_leaving.clone();
            let script: Script = Rc::new(move |to| {
                let head = String::from_utf8(stream_head(to)).expect("a head");
                let header = if is_first.replace(false) { LEAVING } else { "" };
                let head = head.replacen("\r\n", &format!("\r\n{header}"), 1);
                vec![Action::Send(head.into_bytes()), Action::Wait(Duration::from_millis(600))]
            });
            let decode = engine(script).await;
            store.list(&format!("d-{number}"), &decode, "model", Some("decode"));
            decode_engines.push(decode);
        }
        let node = node(&store).await;
        for number in 0..6 {
            let front = node.front;
            tokio::task::spawn_local(async move {
                let head = client_head("POST", "/once/x", &format!("id-{number}"), "prompt");
                ask(front, &head).await;
            });
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        let mut counts: Vec<_> = decode_engines.iter().map(client_request_count).collect();
        counts.sort_unstable();
        assert_eq!(counts, [1, 5]);
    });
}
