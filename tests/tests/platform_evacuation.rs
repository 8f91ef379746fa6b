//! Evacuations as the platform's store has them, through sockets.
//!
//! A box sent to the engines of a data centre 888 requests too late after its evacuation: nothing
//! read the objects in which operators ask for it.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_tests::platform::{
    Action, Received, ask, client_head, engine, local, node, status, store, whole,
};
use serde_json::json;

/// The time in which a box that follows the store hears of a change.
const SOON: Duration = Duration::from_millis(300);

/// Answers every request.
fn answers(to: &Received) -> Vec<Action> {
    vec![Action::Send(whole(to, "x"))]
}

#[test]
fn engines_get_nothing_until_it_is_lifted() {
    local(async {
        let store = store().await;
        let engine = engine(Rc::new(answers)).await;
        store.configure(1);
        store.list("e-1", &engine, "plain", None);
        let node = node(&store).await;
        let head = |id: &str| client_head("POST", "/unsafe/x", id, "b");
        assert_eq!(status(&ask(node.front, &head("id-1")).await), "200");
        // The box first decides that it follows the store.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        store.put("evacuations", "north", json!({}));
        tokio::time::sleep(SOON).await;
        let heard = engine.received.borrow().len();
        let answer = ask(node.front, &head("id-2")).await;
        assert_eq!(status(&answer), "503");
        assert!(answer.to_ascii_lowercase().contains("retry-after: "), "{answer}");
        assert_eq!(engine.received.borrow().len(), heard);
        store.remove("evacuations", "north");
        tokio::time::sleep(SOON).await;
        assert_eq!(status(&ask(node.front, &head("id-3")).await), "200");
    });
}

#[test]
fn known_before_the_first_request() {
    local(async {
        let store = store().await;
        let engine = engine(Rc::new(answers)).await;
        store.configure(1);
        store.list("e-1", &engine, "plain", None);
        // What else stands in the object does not matter: its name says all.
        store.put("evacuations", "north", json!("no table"));
        store.put("evacuations", "south", json!({"since": 1}));
        let node = node(&store).await;
        let answer = ask(node.front, &client_head("POST", "/unsafe/x", "id-1", "b")).await;
        assert_eq!(status(&answer), "503");
        assert!(engine.received.borrow().is_empty());
        let question = "GET /evacuation HTTP/1.1\r\nHost: x\r\n\r\n";
        let text = ask(node.metrics.expect("it has an address"), question).await;
        assert!(text.contains(r#""data_centres":["north","south"]"#), "{text}");
    });
}
