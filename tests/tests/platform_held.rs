//! A request that crashes its engines, through sockets: what its callers, others and operators see.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_server::run::Running;
use hollyspoke_tests::platform::{
    Action, Script, Store, ask, client_head, engine, local, node, status, store, whole,
};
use serde_json::Value;

/// How long the boxes have to see that an engine's entry is gone.
const SEEN_WITHIN: Duration = Duration::from_millis(600);

/// Gives a script that answers all but the harmful request, and breaks off the questions after it as
/// an engine does that has ended.
fn crashing() -> Script {
    Rc::new(|it| {
        if it.line.contains("/bad") || it.is_probe() {
            return vec![Action::Reset];
        }
        vec![Action::Send(whole(it, "well"))]
    })
}

/// Gives a script that answers everything.
fn well() -> Script {
    Rc::new(|it| vec![Action::Send(whole(it, "well"))])
}

/// Starts a box and three engines that the harmful request crashes.
async fn world() -> (Store, Running) {
    let store = store().await;
    store.configure(1);
    for id in ["e-1", "e-2", "e-3"] {
        store.list(id, &engine(crashing()).await, "plain", None);
    }
    let node = node(&store).await;
    // By then it follows the store.
    tokio::time::sleep(Duration::from_millis(1000)).await;
    (store, node)
}

/// Asks for a path with an id.
async fn request(front: SocketAddr, path: &str, id: &str) -> String {
    ask(front, &client_head("GET", path, id, "")).await
}

/// Asks at the operators' address.
async fn operate(node: &Running, method: &str, path: &str) -> String {
    let question = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    ask(node.metrics.expect("it has an address"), &question).await
}

/// Gives the requests that are held back.
async fn held(node: &Running) -> Vec<Value> {
    let answer = operate(node, "GET", "/held").await;
    let body = answer.split("\r\n\r\n").nth(1).expect("a body");
    serde_json::from_str(body).expect("a list")
}

/// Lets the entries of the engines go, as they do some time after a crash, and adds a new engine.
async fn replace_engines(store: &Store) {
    for id in ["e-1", "e-2", "e-3"] {
        store.remove("servers", id);
    }
    store.list("e-4", &engine(well()).await, "plain", None);
    tokio::time::sleep(SEEN_WITHIN).await;
}

/// Three engines crash under a request. Until that is proven it is told to come again later, then
/// not to; both at once, whatever the id of the try. Others are served, and an operator sees the
/// request and lets it go.
#[test]
fn callers_and_operators() {
    local(async {
        let (store, node) = world().await;
        for id in ["id-1", "id-2"] {
            assert_eq!(status(&request(node.front, "/safe/bad", id).await), "502");
        }
        let doubted = request(node.front, "/safe/bad", "id-3").await;
        assert_eq!(status(&doubted), "503");
        assert!(doubted.to_ascii_lowercase().contains("retry-after: "), "{doubted}");
        replace_engines(&store).await;
        let refused = request(node.front, "/safe/bad", "id-4").await;
        assert_eq!(status(&refused), "400");
        assert!(!refused.to_ascii_lowercase().contains("retry-after"), "{refused}");
        assert_eq!(status(&request(node.front, "/safe/good", "id-5").await), "200");

        let all = held(&node).await;
        assert_eq!(all.len(), 1, "{all:?}");
        assert_eq!(all[0]["path"], "/safe/bad");
        assert_eq!(all[0]["proven"], true);
        assert_eq!(all[0]["engines"].as_array().map(Vec::len), Some(3));
        assert!(all[0]["until"].as_u64() > all[0]["since"].as_u64());
        let signature = all[0]["signature"].as_str().expect("it has one");
        assert_eq!(signature.len(), 6);

        let nothing = operate(&node, "DELETE", "/held/ffffff0").await;
        assert_eq!(status(&nothing), "404");
        let lifted = operate(&node, "DELETE", &format!("/held/{signature}")).await;
        assert_eq!(status(&lifted), "204");
        assert!(held(&node).await.is_empty());
        assert_eq!(status(&request(node.front, "/safe/bad", "id-6").await), "200");
    });
}

/// Clients neither see the requests that are held back nor let them go.
#[test]
fn clients_see_nothing() {
    local(async {
        let (_, node) = world().await;
        for address in [node.directory, node.ready] {
            let question = "GET /held HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            assert_eq!(status(&ask(address, question).await), "404");
        }
    });
}

/// A box that starts when all others are lost knows the request from the store, and does not serve
/// before it has read of it.
#[test]
fn known_after_a_start() {
    local(async {
        let (store, first) = world().await;
        for id in ["id-1", "id-2"] {
            request(first.front, "/safe/bad", id).await;
        }
        replace_engines(&store).await;
        assert_eq!(status(&request(first.front, "/safe/bad", "id-3").await), "400");
        tokio::time::sleep(Duration::from_millis(500)).await;
        let second = node(&store).await;
        assert_eq!(status(&request(second.front, "/safe/bad", "id-4").await), "400");
        assert_eq!(held(&second).await[0]["path"], "/safe/bad");
        assert_eq!(status(&request(second.front, "/safe/good", "id-5").await), "200");
    });
}
