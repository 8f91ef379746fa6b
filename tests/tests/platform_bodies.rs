//! The bodies of clients' requests: a box holds a bounded number of bytes for all connections.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_server::body_memory::MAX_BODIES_BYTES;
use hollyspoke_tests::platform::{
    Action, Engine, Script, Store, ask, client_head, engine, local, node, read_answer, status,
    store, whole,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The largest body that the configuration allows, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The number of clients that send such a body at once.
const CLIENT_COUNT: usize = 30;

/// The time that the engine takes for an answer, so that no body is dropped while others arrive.
const ANSWER_TIME: Duration = Duration::from_millis(4000);

/// The time that clients wait, and the limit of the route, in milliseconds.
const DEADLINE_MS: u64 = 20_000;

/// The time within which a body that finds no memory is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(1000);

/// Starts an engine that takes some time for each request, and its store.
async fn slow_engine() -> (Store, Engine) {
    let store = store().await;
    store.configure(1);
    let (_, mut spec) = store.object("config", "main").expect("it was just put");
    spec["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
    for route in spec["routes"].as_array_mut().expect("there are routes") {
        route["timeoutMs"] = DEADLINE_MS.into();
    }
    store.put("config", "main", spec);
    let script: Script = Rc::new(|it| {
        let answer = Action::Send(whole(it, "done"));
        if it.is_probe() { vec![answer] } else { vec![Action::Wait(ANSWER_TIME), answer] }
    });
    let engine = engine(script).await;
    store.list("e-1", &engine, "plain", None);
    (store, engine)
}

/// Sends a head, and the body only if no answer comes soon, as clients of large bodies do. Returns the
/// answer and the time until it came.
async fn send(front: std::net::SocketAddr, head: String, body: Vec<u8>) -> (String, Duration) {
    let started = Instant::now();
    let mut stream = TcpStream::connect(front).await.expect("the front listens");
    stream.write_all(head.as_bytes()).await.expect("the front reads");
    let refused = tokio::time::timeout(Duration::from_millis(100), read_answer(&mut stream)).await;
    if let Ok(refusal) = refused {
        return (refusal, started.elapsed());
    }
    // The box may refuse the body before it has come whole.
    _ = stream.write_all(&body).await;
    (read_answer(&mut stream).await, started.elapsed())
}

/// What became of the requests that were sent at once.
#[derive(Debug, Default)]
struct Outcome {
    /// The number that was answered.
    answered: usize,
    /// The number that was refused as not run.
    refused: usize,
    /// The longest time until a refusal.
    refused_after: Duration,
}

/// Sends all requests at once.
async fn send_all(front: std::net::SocketAddr, head: &str, body: &[u8]) -> Outcome {
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            let head = head.replace("{id}", &format!("id-{number}"));
            tokio::task::spawn_local(send(front, head, body.to_vec()))
        })
        .collect();
    let mut outcome = Outcome::default();
    for client in clients {
        let (answer, after) = client.await.unwrap();
        match status(&answer) {
            "200" => outcome.answered += 1,
            "503" => {
                assert!(answer.to_ascii_lowercase().contains("retry-after: "), "{answer}");
                outcome.refused_after = outcome.refused_after.max(after);
                outcome.refused += 1;
            }
            _ => panic!("{answer}"),
        }
    }
    outcome
}

/// Returns the head of a request with a large body, which ends with the headers that frame it.
fn large_head(framing: &str) -> String {
    let head = client_head("POST", "/unsafe/x", "{id}", "");
    let deadline = format!("X-Deadline-Ms: {DEADLINE_MS}");
    head.replace("Content-Length: 0", framing).replace("X-Deadline-Ms: 2500", &deadline)
}

/// Returns a request with a small body.
fn small_head(id: &str) -> String {
    let head = client_head("POST", "/unsafe/y", id, "small");
    head.replace("X-Deadline-Ms: 2500", &format!("X-Deadline-Ms: {DEADLINE_MS}"))
}

#[test]
fn announced_bodies_exceed_memory() {
    local(async {
        let (store, engine) = slow_engine().await;
        let box_ = node(&store).await;
        let body = vec![b'x'; MAX_BODY_BYTES];
        let head = large_head(&format!("Content-Length: {MAX_BODY_BYTES}"));
        let Outcome { answered, refused, refused_after } = send_all(box_.front, &head, &body).await;
        assert!(refused_after < REFUSAL_TIME, "refused after {refused_after:?}");
        assert_eq!(answered, MAX_BODIES_BYTES as usize / MAX_BODY_BYTES);
        assert_eq!(refused, CLIENT_COUNT - answered);
        let received = engine.received.borrow().iter().filter(|it| !it.is_probe()).count();
        assert_eq!(received, answered, "a refused request has run");
    });
}

/// Bodies of a length that isn't announced take memory as they arrive.
#[test]
fn unannounced_bodies_exceed_memory() {
    local(async {
        let (store, engine) = slow_engine().await;
        let box_ = node(&store).await;
        let chunk = format!("{:x}\r\n{}\r\n0\r\n\r\n", MAX_BODY_BYTES, "x".repeat(MAX_BODY_BYTES));
        let head = large_head("Transfer-Encoding: chunked");
        let Outcome { answered, refused, .. } = send_all(box_.front, &head, chunk.as_bytes()).await;
        assert!(answered > 0 && refused > 0, "{answered} answered, {refused} refused");
        assert!(answered <= MAX_BODIES_BYTES as usize / MAX_BODY_BYTES, "{answered} answered");
        let received = engine.received.borrow().iter().filter(|it| !it.is_probe()).count();
        assert_eq!(received, answered, "a refused request has run");
    });
}

/// The memory is free again once the requests have ended, whether answered, refused or left.
#[test]
fn memory_stays_taken() {
    local(async {
        let (store, _engine) = slow_engine().await;
        let box_ = node(&store).await;
        let head = large_head(&format!("Content-Length: {MAX_BODY_BYTES}"));
        for _ in 0..2 {
            let mut left = Vec::new();
            for number in 0..CLIENT_COUNT {
                let mut stream = TcpStream::connect(box_.front).await.unwrap();
                let head = head.replace("{id}", &format!("id-{number}"));
                stream.write_all(head.as_bytes()).await.unwrap();
                left.push(stream);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            let small = ask(box_.front, &small_head("id-a")).await;
            assert_eq!(status(&small), "503");
            drop(left);
            tokio::time::sleep(Duration::from_millis(100)).await;
            let small = ask(box_.front, &small_head("id-b")).await;
            assert_eq!(status(&small), "200");
        }
    });
}
