//! A request that crashes its engines, through sockets: what its callers, others and operators see.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_server::run::Running;
use hollyspoke_tests::platform::{
    Action, Script, Store, ask, client_head, engine, local, node, status, store, whole,
};
use serde_json::Value;

/// The time within which boxes see that an engine's entry is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns a script that answers all but the harmful request and resets the connections of the probes
/// after it, as an engine that has crashed does.
fn crashes() -> Script {
    Rc::new(|it| {
        if it.line.contains("/bad") || it.is_probe() {
            return vec![Action::Reset];
        }
        vec![Action::Send(whole(it, "well"))]
    })
}

/// Returns a script that answers every request.
fn answers() -> Script {
    Rc::new(|it| vec![Action::Send(whole(it, "well"))])
}

/// Starts a box and three engines that the harmful request crashes.
async fn world() -> (Store, Running) {
    let store = store().await;
    store.configure(1);
    for id in ["e-1", "e-2", "e-3"] {
        store.list(id, &engine(crashes()).await, "plain", None);
    }
    let node = node(&store).await;
    // By then the box follows the store.
    tokio::time::sleep(Duration::from_millis(1000)).await;
    (store, node)
}

/// Sends a request for a path with an id; returns the answer.
async fn request(front: SocketAddr, path: &str, id: &str) -> String {
    ask(front, &client_head("GET", path, id, "")).await
}

/// Sends a request to the operators' address; returns the answer.
async fn ask_operators(node: &Running, method: &str, path: &str) -> String {
    let question = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    ask(node.metrics.expect("it has an address"), &question).await
}

/// Returns the requests in quarantine.
async fn held_requests(node: &Running) -> Vec<Value> {
    let answer = ask_operators(node, "GET", "/held").await;
    let body = answer.split("\r\n\r\n").nth(1).expect("a body");
    serde_json::from_str(body).expect("a list")
}

/// Removes the entries of the engines, as happens some time after a crash, and adds a new engine.
async fn replace_engines(store: &Store) {
    for id in ["e-1", "e-2", "e-3"] {
        store.remove("servers", id);
    }
    store.list("e-4", &engine(answers()).await, "plain", None);
    tokio::time::sleep(REMOVAL_TIMEOUT).await;
}

/// Three engines crash under a request. Until the crashes are proven its callers are asked to retry
/// later, then it is refused for good; both without another try, whatever the id. Other requests are
/// served, and an operator can list and release the held one.
#[test]
fn harmful_request_not_held() {
    local(async {
        let (store, node) = world().await;
        for id in ["id-1", "id-2"] {
            assert_eq!(status(&request(node.front, "/safe/bad", id).await), "502");
        }
        let suspected = request(node.front, "/safe/bad", "id-3").await;
        assert_eq!(status(&suspected), "503");
        assert!(suspected.to_ascii_lowercase().contains("retry-after: "), "{suspected}");
        replace_engines(&store).await;
        let refused = request(node.front, "/safe/bad", "id-4").await;
        assert_eq!(status(&refused), "400");
        assert!(!refused.to_ascii_lowercase().contains("retry-after"), "{refused}");
        assert_eq!(status(&request(node.front, "/safe/good", "id-5").await), "200");

        let requests = held_requests(&node).await;
        assert_eq!(requests.len(), 1, "{requests:?}");
        assert_eq!(requests[0]["path"], "/safe/bad");
        assert_eq!(requests[0]["proven"], true);
        assert_eq!(requests[0]["engines"].as_array().map(Vec::len), Some(3));
        assert!(requests[0]["until"].as_u64() > requests[0]["since"].as_u64());
        let signature = requests[0]["signature"].as_str().expect("it has one");
        assert_eq!(signature.len(), 6);

        let unknown = ask_operators(&node, "DELETE", "/held/ffffff0").await;
        assert_eq!(status(&unknown), "404");
        let lifted = ask_operators(&node, "DELETE", &format!("/held/{signature}")).await;
        assert_eq!(status(&lifted), "204");
        assert!(held_requests(&node).await.is_empty());
        assert_eq!(status(&request(node.front, "/safe/bad", "id-6").await), "200");
    });
}

/// Clients can neither list the requests in quarantine nor release them.
#[test]
fn held_requests_exposed() {
    local(async {
        let (_, node) = world().await;
        for address in [node.directory, node.ready] {
            let question = "GET /held HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            assert_eq!(status(&ask(address, question).await), "404");
        }
    });
}

/// A box that starts without other boxes reads the quarantine from the store before it serves.
#[test]
fn held_request_forgotten() {
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
        assert_eq!(held_requests(&second).await[0]["path"], "/safe/bad");
        assert_eq!(status(&request(second.front, "/safe/good", "id-5").await), "200");
    });
}
