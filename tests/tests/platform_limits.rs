//! Limits that engines name in answers, through sockets: two boxes share the limit of one engine.
//!
//! If boxes read only the load from answers, an engine that names 3.7 requests a second gets 40 in 4 s.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_platform::DIALECT;
use hollyspoke_server::run::{self, Running};
use hollyspoke_tests::platform::{
    Action, Received, Store, answer, ask, client_head, engine, local, log, node, settings, status,
    store,
};
use hollyspoke_tests::rate_limits::{WINDOW, allowed};
use tokio::time::Instant;

/// The limit of the engine, in requests per second.
const RATE_PER_S: f64 = 3.0;

/// The interval between two requests at each box.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

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

#[test]
fn shared_limit_exceeded() {
    local(async {
        let store = store().await;
        let is_limited = Rc::new(Cell::new(true));
        let names_limit = is_limited.clone();
        let script = move |to: &Received| {
            let limit = format!("Server-Limit: {RATE_PER_S}\r\n");
            let headers = if names_limit.get() { limit.as_str() } else { "" };
            vec![Action::Send(answer(to, "200 OK", headers, "x"))]
        };
        let engine = engine(Rc::new(script)).await;
        store.configure(1);
        store.list("e-1", &engine, "plain", None);
        let first = node(&store).await;
        let second = second_node(&store, &first).await;
        let fronts = [first.front, second.front];
        let started = Instant::now();
        let mut arrivals = Vec::new();
        let mut refused_count = 0;
        let mut number = 0;
        while started.elapsed() < WINDOW * 2 {
            for front in fronts {
                number += 1;
                let before = engine.received.borrow().len();
                let head = client_head("GET", "/safe/x", &format!("id-{number}"), "");
                let got = ask(front, &head).await;
                if status(&got) == "503" {
                    assert!(got.to_ascii_lowercase().contains("retry-after: "), "{got}");
                    refused_count += 1;
                }
                let new = engine.received.borrow().len() - before;
                arrivals.extend(std::iter::repeat_n(started.elapsed(), new));
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        let late_count = arrivals.iter().filter(|it| **it >= WINDOW).count();
        assert!(late_count as f64 <= allowed(RATE_PER_S), "{late_count} requests in {WINDOW:?}");
        assert!(
            late_count as f64 >= RATE_PER_S * WINDOW.as_secs_f64() * 0.8,
            "{late_count} requests in {WINDOW:?}"
        );
        assert!(refused_count > 0);
        // One answer without a limit lifts it for both boxes.
        is_limited.set(false);
        tokio::time::sleep(Duration::from_millis(500)).await;
        for front in fronts {
            _ = ask(front, &client_head("GET", "/safe/x", "lifts", "")).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        for (round, front) in fronts.into_iter().cycle().take(20).enumerate() {
            let head = client_head("GET", "/safe/x", &format!("after-{round}"), "");
            assert_eq!(status(&ask(front, &head).await), "200");
        }
    });
}
