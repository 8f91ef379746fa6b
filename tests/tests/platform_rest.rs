//! Engines that ask for rest, through sockets.
//!
//! The time in the refusals of an engine was dropped: it got 312 requests in the 9 s in which it wanted
//! nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_tests::platform::{
    Action, Engine, Received, Script, answer, ask, client_head, engine, local, node, status, store,
};

/// Refuses, and asks for a second and a half.
const REFUSES: &str = "X-Not-Executed: 1\r\nRetry-After: 1.5\r\n";

/// The same, without saying that the request was not run.
const REFUSES_UNPROVEN: &str = "Retry-After: 1.5\r\n";

/// A script that answers with a status and headers.
fn says(status: &'static str, headers: &'static str) -> Script {
    Rc::new(move |to: &Received| vec![Action::Send(answer(to, status, headers, "x"))])
}

/// Gives how many requests of clients came to an engine.
fn runs(engine: &Engine) -> usize {
    let received = engine.received.borrow();
    received.iter().filter(|it| it.header("x-request-id").is_some()).count()
}

/// Asks a box for a plain answer.
async fn plain(front: SocketAddr, route: &str, number: usize) -> String {
    let head = client_head("GET", &format!("/{route}/x"), &format!("id-{number}"), "");
    ask(front, &head).await
}

/// Callers are served by the other engine, at no more than one refusal.
#[test]
fn others_serve_meanwhile() {
    local(async {
        let store = store().await;
        let resting = engine(says("503 Service Unavailable", REFUSES)).await;
        let works = engine(says("200 OK", "")).await;
        store.configure(1);
        store.list("e-1", &resting, "plain", None);
        store.list("e-2", &works, "plain", None);
        let node = node(&store).await;
        for number in 0..60 {
            assert_eq!(status(&plain(node.front, "safe", number).await), "200");
        }
        assert_eq!(runs(&resting), 1);
    });
}

/// Where all rest the refusal is a promise with the time of the earliest end; where an engine does not
/// say that it has not run the request, the client is not told so.
#[test]
fn all_rest() {
    for (headers, expected) in [(REFUSES, "503"), (REFUSES_UNPROVEN, "502")] {
        local(async {
            let store = store().await;
            let resting = engine(says("503 Service Unavailable", headers)).await;
            store.configure(1);
            store.list("e-1", &resting, "plain", None);
            let node = node(&store).await;
            assert_eq!(status(&plain(node.front, "unsafe", 0).await), expected);
            let refused = plain(node.front, "unsafe", 1).await.to_ascii_lowercase();
            assert_eq!(status(&refused), "503");
            let (_, rest) = refused.split_once("retry-after: ").expect("a time");
            let seconds: f64 =
                rest.lines().next().and_then(|it| it.parse().ok()).expect("a number");
            assert!((1.0..4.0).contains(&seconds), "{refused}");
            assert_eq!(runs(&resting), 1);
            tokio::time::sleep(Duration::from_millis(1900)).await;
            plain(node.front, "unsafe", 2).await;
            assert_eq!(runs(&resting), 2);
        });
    }
}
