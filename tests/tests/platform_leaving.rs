//! Engines that say in their answers that they leave, through sockets.
//!
//! The header was read nowhere: with the store away, an engine that had said so got 82 requests in 13 s.

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

/// Says that the engine leaves.
const LEAVING: &str = "Server-Leaving: 1\r\n";

/// Starts a box that knows another one, and waits until they have heard each other.
async fn second_node(store: &Store, first: &Running) -> Running {
    let seeds: Vec<SocketAddr> = vec![first.node.peer_address().expect("it is bound")];
    let running =
        run::start(&settings(store.address, seeds), DIALECT, log()).await.expect("free ports");
    while running.node.with(|it| !it.is_ready() || it.alive_box_count() < 2) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    running
}

/// A script that answers, with headers.
fn serves(headers: &'static str) -> Script {
    Rc::new(move |to: &Received| vec![Action::Send(answer(to, "200 OK", headers, "x"))])
}

/// Asks a box for a plain answer; gives the status.
async fn plain(front: SocketAddr, number: usize) -> String {
    let head = client_head("GET", "/safe/x", &format!("id-{number}"), "");
    status(&ask(front, &head).await).to_owned()
}

/// Gives how many requests of clients came to an engine.
fn runs(engine: &Engine) -> usize {
    let received = engine.received.borrow();
    received.iter().filter(|it| it.header("x-request-id").is_some()).count()
}

/// One answer to one box is enough for both, while the store says nothing.
#[test]
fn one_answer_is_enough_for_two_boxes() {
    local(async {
        let store = store().await;
        let leaves = engine(serves(LEAVING)).await;
        let stays = engine(serves("")).await;
        store.configure(1);
        store.list("e-1", &leaves, "plain", None);
        store.list("e-2", &stays, "plain", None);
        let first = node(&store).await;
        let second = second_node(&store, &first).await;
        store.stall_open_connections();
        let mut number = 0;
        while leaves.received.borrow().is_empty() {
            number += 1;
            assert_eq!(plain(first.front, number).await, "200");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        for front in [first.front, second.front].into_iter().cycle().take(40) {
            number += 1;
            assert_eq!(plain(front, number).await, "200");
        }
        assert_eq!(runs(&leaves), 1);
    });
}

/// The head counts of an answer whose body breaks.
#[test]
fn a_head_without_its_body() {
    local(async {
        let store = store().await;
        let breaks: Script = Rc::new(|to| {
            let head = answer(to, "200 OK", LEAVING, "the body");
            vec![Action::Send(head[..head.len() - 4].to_vec()), Action::Close]
        });
        let leaves = engine(breaks).await;
        let stays = engine(serves("")).await;
        store.configure(1);
        store.list("e-1", &leaves, "plain", None);
        store.list("e-2", &stays, "plain", None);
        let node = node(&store).await;
        for number in 0..40 {
            plain(node.front, number).await;
        }
        assert_eq!(runs(&leaves), 1);
    });
}

/// The head of a stream counts before its first event.
#[test]
fn a_stream_that_has_not_begun() {
    local(async {
        let store = store().await;
        store.configure(1);
        let reader = engine(Rc::new(|it: &Received| vec![Action::Send(handle(it))])).await;
        store.list("p-1", &reader, "model", Some("prefill"));
        let is_leaving = Rc::new(Cell::new(true));
        let mut generators = Vec::new();
        for number in 0..2 {
            let is_first = is_leaving.clone();
            let script: Script = Rc::new(move |to| {
                let head = String::from_utf8(stream_head(to)).expect("a head");
                let says = if is_first.replace(false) { LEAVING } else { "" };
                let head = head.replacen("\r\n", &format!("\r\n{says}"), 1);
                vec![Action::Send(head.into_bytes()), Action::Wait(Duration::from_millis(600))]
            });
            let generator = engine(script).await;
            store.list(&format!("d-{number}"), &generator, "model", Some("decode"));
            generators.push(generator);
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
        let mut counts: Vec<_> = generators.iter().map(runs).collect();
        counts.sort_unstable();
        assert_eq!(counts, [1, 5]);
    });
}
