//! Engines that ask boxes to back off, through sockets.
//!
//! If a box ignores the time in a refusal, it keeps sending: an engine got 312 requests in the 9 s for
//! which it had asked for none.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_tests::platform::{
    Action, Engine, Received, Script, answer, ask, client_head, engine, local, node, status, store,
};

/// Says that the request was not run, and asks for a back-off of 1.5 s.
const NOT_RUN_BACK_OFF: &str = "X-Not-Executed: 1\r\nRetry-After: 1.5\r\n";

/// Asks for a back-off of 1.5 s without saying that the request was not run.
const BACK_OFF: &str = "Retry-After: 1.5\r\n";

/// Returns a script that answers with a status and headers.
fn answers(status: &'static str, headers: &'static str) -> Script {
    Rc::new(move |to: &Received| vec![Action::Send(answer(to, status, headers, "x"))])
}

/// Returns the number of client requests that an engine received.
fn client_request_count(engine: &Engine) -> usize {
    let received = engine.received.borrow();
    received.iter().filter(|it| it.header("x-request-id").is_some()).count()
}

/// Sends a plain request to a box; returns the answer.
async fn plain(front: SocketAddr, route: &str, number: usize) -> String {
    let head = client_head("GET", &format!("/{route}/x"), &format!("id-{number}"), "");
    ask(front, &head).await
}

/// The other engine serves all requests after a single refusal.
#[test]
fn backed_off_engine_used() {
    local(async {
        let store = store().await;
        let backed_off = engine(answers("503 Service Unavailable", NOT_RUN_BACK_OFF)).await;
        let serving = engine(answers("200 OK", "")).await;
        store.configure(1);
        store.list("e-1", &backed_off, "plain", None);
        store.list("e-2", &serving, "plain", None);
        let node = node(&store).await;
        for number in 0..60 {
            assert_eq!(status(&plain(node.front, "safe", number).await), "200");
        }
        assert_eq!(client_request_count(&backed_off), 1);
    });
}

/// If all engines back off, `Retry-After` is the earliest end of a back-off. If an engine does not say
/// that it has not run the request, neither does the answer to the client.
#[test]
fn wrong_back_off_refusal() {
    for (headers, expected) in [(NOT_RUN_BACK_OFF, "503"), (BACK_OFF, "502")] {
        local(async {
            let store = store().await;
            let backed_off = engine(answers("503 Service Unavailable", headers)).await;
            store.configure(1);
            store.list("e-1", &backed_off, "plain", None);
            let node = node(&store).await;
            assert_eq!(status(&plain(node.front, "unsafe", 0).await), expected);
            let refused = plain(node.front, "unsafe", 1).await.to_ascii_lowercase();
            assert_eq!(status(&refused), "503");
            let (_, rest) = refused.split_once("retry-after: ").expect("a time");
            let seconds: f64 =
                rest.lines().next().and_then(|it| it.parse().ok()).expect("a number");
            assert!((1.0..4.0).contains(&seconds), "{refused}");
            assert_eq!(client_request_count(&backed_off), 1);
            tokio::time::sleep(Duration::from_millis(1900)).await;
            plain(node.front, "unsafe", 2).await;
            assert_eq!(client_request_count(&backed_off), 2);
        });
    }
}
