//! A box and the platform's store: away, slow to answer, forgetful, and changing.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_platform::DIALECT;
use hollyspoke_server::run;
use hollyspoke_tests::platform::{
    Action, Engine, Script, Store, StoreBehaviour, ask, client_head, engine, local, log, node,
    settings, status, store, whole,
};

/// Starts an engine that answers with a text.
async fn answering(text: &'static str) -> Engine {
    let script: Script = Rc::new(move |it| vec![Action::Send(whole(it, text))]);
    engine(script).await
}

/// Asks until the answer is as wanted; fails after five seconds.
async fn until(front: std::net::SocketAddr, wanted: impl Fn(&str) -> bool) -> String {
    for _ in 0..500 {
        let answer = ask(front, &client_head("GET", "/safe/x", "id-1", "")).await;
        if wanted(&answer) {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the answer did not come");
}

/// Starts a store with a configuration and an engine.
async fn filled() -> (Store, Engine) {
    let store = store().await;
    store.configure(1);
    let engine = answering("first").await;
    store.list("e-1", &engine, "plain", None);
    (store, engine)
}

/// A box that knows no configuration says that the request was not run; it denies nothing.
#[test]
fn away_at_the_start() {
    for behaviour in [StoreBehaviour::Unavailable, StoreBehaviour::Unresponsive] {
        local(async {
            let (store, _) = filled().await;
            store.behaviour.set(behaviour);
            let settings = settings(store.address, Vec::new());
            let node = run::start(&settings, DIALECT, log()).await.unwrap();
            let answer = ask(node.front, &client_head("GET", "/safe/x", "id-1", "")).await;
            assert_eq!(status(&answer), "503");
            assert!(answer.to_ascii_lowercase().contains("retry-after: "));
            let readiness = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
            assert_eq!(status(&ask(node.ready, readiness).await), "503");
            store.behaviour.set(StoreBehaviour::Available);
            until(node.front, |it| status(it) == "200").await;
            assert_eq!(status(&ask(node.ready, readiness).await), "200");
        });
    }
}

#[test]
fn away_later() {
    local(async {
        let (store, _) = filled().await;
        let node = node(&store).await;
        store.behaviour.set(StoreBehaviour::Unavailable);
        tokio::time::sleep(Duration::from_millis(2200)).await;
        until(node.front, |it| status(it) == "200").await;
    });
}

#[test]
fn engine_replaced() {
    local(async {
        let (store, first) = filled().await;
        let node = node(&store).await;
        until(node.front, |it| it.ends_with("first")).await;
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.remove("servers", "e-1");
        until(node.front, |it| it.ends_with("second")).await;
        let seen = first.received.borrow().len();
        for _ in 0..5 {
            until(node.front, |it| it.ends_with("second")).await;
        }
        assert_eq!(first.received.borrow().len(), seen);
    });
}

/// A watch whose history is gone is begun again with the whole list.
#[test]
fn history_gone() {
    local(async {
        let (store, _) = filled().await;
        let node = node(&store).await;
        store.behaviour.set(StoreBehaviour::HistoryLost);
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.remove("servers", "e-1");
        until(node.front, |it| it.ends_with("second")).await;
    });
}

/// A watch that hears nothing any more is given up, and the list read again.
#[test]
fn watch_that_says_nothing() {
    local(async {
        let (store, _) = filled().await;
        let node = node(&store).await;
        store.behaviour.set(StoreBehaviour::Unresponsive);
        tokio::time::sleep(Duration::from_millis(2000)).await;
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.remove("servers", "e-1");
        store.behaviour.set(StoreBehaviour::Available);
        until(node.front, |it| it.ends_with("second")).await;
    });
}

/// An engine of the first page that left before the second page was read was kept for good.
#[test]
fn change_between_pages() {
    local(async {
        let (store, first) = filled().await;
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.page_size.set(1);
        store.leave_between_pages.borrow_mut().push("e-1".to_owned());
        let node = node(&store).await;
        for _ in 0..10 {
            until(node.front, |it| it.ends_with("second")).await;
        }
        assert!(first.received.borrow().is_empty());
    });
}

/// A page that the store refuses is asked for again; the list is not begun anew.
#[test]
fn refused_pages() {
    local(async {
        let (store, _) = filled().await;
        let second = answering("second").await;
        store.list("e-2", &second, "plain", None);
        store.page_size.set(1);
        store.refused_pages.set(2);
        let node = node(&store).await;
        until(node.front, |it| it.ends_with("second")).await;
        assert_eq!(store.refused_pages.get(), 0);
    });
}

#[test]
fn resolved_addresses() {
    local(async {
        let (store, _) = filled().await;
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
