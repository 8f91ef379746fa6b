//! A box and the platform's store: unavailable, silent, without its history, and changing.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hollyspoke_platform::DIALECT;
use hollyspoke_server::run;
use hollyspoke_tests::platform::{
    Action, Engine, Script, Store, StoreBehaviour, ask, client_head, engine, local, log, node,
    settings, status, store, whole,
};

/// Starts an engine that answers every request with a text.
async fn answering(text: &'static str) -> Engine {
    let script: Script = Rc::new(move |it| vec![Action::Send(whole(it, text))]);
    engine(script).await
}

/// Sends requests until an answer is as expected; fails after five seconds.
async fn ask_until(front: std::net::SocketAddr, is_expected: impl Fn(&str) -> bool) -> String {
    for _ in 0..500 {
        let answer = ask(front, &client_head("GET", "/safe/x", "id-1", "")).await;
        if is_expected(&answer) {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the expected answer did not arrive");
}

/// Starts a store with a configuration and an engine.
async fn store_with_engine() -> (Store, Engine) {
    let store = store().await;
    store.configure(1);
    let engine = answering("first").await;
    store.list("e-1", &engine, "plain", None);
    (store, engine)
}

/// A box without a configuration answers that the request was not run, not that the route is unknown.
#[test]
fn unavailable_store_denies_route() {
    for behaviour in [StoreBehaviour::Unavailable, StoreBehaviour::Unresponsive] {
        local(async {
            let (store, _) = store_with_engine().await;
            store.behaviour.set(behaviour);
            let settings = settings(store.address, Vec::new());
            let node = run::start(&settings, DIALECT, log()).await.unwrap();
            let answer = ask(node.front, &client_head("GET", "/safe/x", "id-1", "")).await;
            assert_eq!(status(&answer), "503");
            assert!(answer.to_ascii_lowercase().contains("retry-after: "));
            let readiness = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
            assert_eq!(status(&ask(node.ready, readiness).await), "503");
            store.behaviour.set(StoreBehaviour::Available);
            ask_until(node.front, |it| status(it) == "200").await;
            assert_eq!(status(&ask(node.ready, readiness).await), "200");
        });
    }
}

#[test]
fn unavailable_store_stops_box() {
    local(async {
        let (store, _) = store_with_engine().await;
        let node = node(&store).await;
        store.behaviour.set(StoreBehaviour::Unavailable);
        tokio::time::sleep(Duration::from_millis(2200)).await;
        ask_until(node.front, |it| status(it) == "200").await;
    });
}

#[test]
fn replaced_engine_used() {
    local(async {
        let (store, first) = store_with_engine().await;
        let node = node(&store).await;
        ask_until(node.front, |it| it.ends_with("first")).await;
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.remove("servers", "e-1");
        ask_until(node.front, |it| it.ends_with("second")).await;
        let received_count = first.received.borrow().len();
        for _ in 0..5 {
            ask_until(node.front, |it| it.ends_with("second")).await;
        }
        assert_eq!(first.received.borrow().len(), received_count);
    });
}

/// If the store no longer has the changes, the box reads the whole list and starts a new watch.
#[test]
fn lost_history_stops_watch() {
    local(async {
        let (store, _) = store_with_engine().await;
        let node = node(&store).await;
        store.behaviour.set(StoreBehaviour::HistoryLost);
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.remove("servers", "e-1");
        ask_until(node.front, |it| it.ends_with("second")).await;
    });
}

/// A watch that receives nothing times out, and the box reads the list again.
#[test]
fn silent_watch_kept() {
    local(async {
        let (store, _) = store_with_engine().await;
        let node = node(&store).await;
        store.behaviour.set(StoreBehaviour::Unresponsive);
        tokio::time::sleep(Duration::from_millis(2000)).await;
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.remove("servers", "e-1");
        store.behaviour.set(StoreBehaviour::Available);
        ask_until(node.front, |it| it.ends_with("second")).await;
    });
}

/// Engines whose entries have lapsed while the store was silent register again soon after.
#[test]
fn lapsed_entry_refuses_requests() {
    local(async {
        let (store, _engine) = store_with_engine().await;
        let node = node(&store).await;
        // The box follows the store by then, and its open watch is still answered.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        store.behaviour.set(StoreBehaviour::Unresponsive);
        tokio::time::sleep(Duration::from_millis(3200)).await;
        store.remove("servers", "e-1");
        store.behaviour.set(StoreBehaviour::Available);
        let returned = Instant::now();
        while returned.elapsed() < Duration::from_millis(1600) {
            let answer = ask(node.front, &client_head("GET", "/safe/x", "id-1", "")).await;
            assert_eq!(status(&answer), "200", "{:?} after the return", returned.elapsed());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        ask_until(node.front, |it| status(it) == "503").await;
    });
}

/// If the removal of an engine between two pages is missed, the box uses the engine for good.
#[test]
fn removal_between_pages_missed() {
    local(async {
        let (store, first) = store_with_engine().await;
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.page_size.set(1);
        store.leave_between_pages.borrow_mut().push("e-1".to_owned());
        let node = node(&store).await;
        for _ in 0..10 {
            ask_until(node.front, |it| it.ends_with("second")).await;
        }
        assert!(first.received.borrow().is_empty());
    });
}

/// A page that the store refuses is requested again; the box does not start the list over.
#[test]
fn refused_page_restarts_list() {
    local(async {
        let (store, _) = store_with_engine().await;
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.page_size.set(1);
        store.refused_pages.set(2);
        let node = node(&store).await;
        ask_until(node.front, |it| it.ends_with("second")).await;
        assert_eq!(store.refused_pages.get(), 0);
    });
}

#[test]
fn wrong_resolved_address() {
    local(async {
        let (store, _) = store_with_engine().await;
        let node = node(&store).await;
        let question = "GET /resolve?name=host.example&region=r&zone=z HTTP/1.1\r\nHost: x\r\n\r\n";
        let answer = ask(node.directory, question).await;
        assert_eq!(status(&answer), "200");
        let body = answer.split("\r\n\r\n").nth(1).unwrap();
        let body: serde_json::Value = serde_json::from_str(body).unwrap();
        assert_eq!(body["addresses"][0], node.front.to_string());
        assert!(body["ttlS"].as_f64().unwrap() > 0.0);
    });
}
