//! Evacuations of data centres that operators write to the store, through sockets.
//!
//! If no box reads these objects, the engines of an evacuated data centre still get requests; one box
//! sent 888 too late.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_tests::platform::{
    Action, Received, ask, client_head, engine, local, node, status, store, whole,
};
use serde_json::json;

/// The time within which a box that follows the store applies a change.
const APPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Answers every request.
fn answers(to: &Received) -> Vec<Action> {
    vec![Action::Send(whole(to, "x"))]
}

#[test]
fn evacuated_engine_used() {
    local(async {
        let store = store().await;
        let engine = engine(Rc::new(answers)).await;
        store.configure(1);
        store.list("e-1", &engine, "plain", None);
        let node = node(&store).await;
        let head = |id: &str| client_head("POST", "/unsafe/x", id, "b");
        assert_eq!(status(&ask(node.front, &head("id-1")).await), "200");
        // By then the box follows the store.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        store.put("evacuations", "north", json!({}));
        tokio::time::sleep(APPLY_TIMEOUT).await;
        let received_before = engine.received.borrow().len();
        let answer = ask(node.front, &head("id-2")).await;
        assert_eq!(status(&answer), "503");
        assert!(answer.to_ascii_lowercase().contains("retry-after: "), "{answer}");
        assert_eq!(engine.received.borrow().len(), received_before);
        store.remove("evacuations", "north");
        tokio::time::sleep(APPLY_TIMEOUT).await;
        assert_eq!(status(&ask(node.front, &head("id-3")).await), "200");
    });
}

#[test]
fn evacuation_unknown_at_start() {
    local(async {
        let store = store().await;
        let engine = engine(Rc::new(answers)).await;
        store.configure(1);
        store.list("e-1", &engine, "plain", None);
        // Only the name of the object counts, not its content.
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
