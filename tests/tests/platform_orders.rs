//! Leases and orders through sockets: what the store and the engines are sent, and what their
//! answers mean.

use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke_gateway::event::OrderAnswer;
use hollyspoke_platform::{engine, store};
use hollyspoke_tests::platform;
use http::StatusCode;
use serde_json::{Value, json};

/// An operation that reads.
fn get() -> Operation {
    Operation::Get { kind: "leases".to_owned(), name: "stages".to_owned() }
}

/// An operation that writes where a version is expected.
fn put(expected: u64) -> Operation {
    let (kind, name) = ("leases".to_owned(), "stages".to_owned());
    Operation::Put { kind, name, expected, value: "me".to_owned() }
}

/// Sends an operation to a stand-in store through the adapter.
async fn carry_out(standin: &platform::Store, operation: &Operation) -> Answer {
    let (head, body) = store::operation(operation);
    let request = head.body(()).expect("a request");
    let line = format!("{} {} HTTP/1.1", request.method(), request.uri());
    let text = format!("{line}\r\nContent-Length: {}\r\n\r\n", body.len());
    let text = text + std::str::from_utf8(&body).expect("JSON is text");
    let answer = platform::ask(standin.address, &text).await;
    let status = platform::status(&answer).parse::<u16>().expect("a status");
    let body = answer.split_once("\r\n\r\n").map_or("", |it| it.1);
    let status = StatusCode::from_u16(status).expect("a status");
    store::read_stored(operation, status, body.as_bytes())
}

#[test]
fn writes_are_conditional() {
    platform::local(async {
        let standin = platform::store().await;
        assert_eq!(carry_out(&standin, &get()).await, Answer::Absent);
        let Answer::Written { version } = carry_out(&standin, &put(0)).await else {
            panic!("the first write creates the object");
        };
        assert_eq!(carry_out(&standin, &put(0)).await, Answer::Conflict, "it is there");
        assert_eq!(carry_out(&standin, &put(version + 1)).await, Answer::Conflict);
        let Answer::Written { version: next } = carry_out(&standin, &put(version)).await else {
            panic!("the version is the one expected");
        };
        assert!(next > version);
        let found = Answer::Found { version: next, value: "me".to_owned() };
        assert_eq!(carry_out(&standin, &get()).await, found);
    });
}

#[test]
fn busy_store_proves_nothing() {
    for status in [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS] {
        assert_eq!(store::read_stored(&put(3), status, b"null"), Answer::Away);
        assert_eq!(store::read_stored(&get(), status, b""), Answer::Away);
    }
    assert_eq!(store::read_stored(&put(3), StatusCode::OK, b"not json"), Answer::Away);
    assert_eq!(store::read_stored(&put(3), StatusCode::NOT_FOUND, b""), Answer::Conflict);
}

#[test]
fn order_answers() {
    let cases = [
        (202, OrderAnswer::Accepted),
        (200, OrderAnswer::AlreadyApplied),
        (409, OrderAnswer::Conflict),
        (400, OrderAnswer::Refused),
        (412, OrderAnswer::Refused),
        (421, OrderAnswer::Refused),
        (500, OrderAnswer::Unknown),
        (503, OrderAnswer::Unknown),
    ];
    for (status, expected) in cases {
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(engine::read_order(status), expected, "{status}");
    }
}

/// A box that sees memory run short orders a reader to generate: first the lease, then the report
/// of the engine, then the order with the count that the report told.
#[test]
fn reader_is_ordered() {
    platform::local(async {
        let standin = platform::store().await;
        standin.configure_switchable(1);
        let mut readers = Vec::new();
        for number in 0..3 {
            let reader = platform::engine(std::rc::Rc::new(|it| vec![answer(it)])).await;
            standin.list(&format!("reader-{number}"), &reader, "model", Some("prefill"));
            readers.push(reader);
        }
        let generator = platform::engine(std::rc::Rc::new(|it| vec![answer(it)])).await;
        standin.list("generator", &generator, "model", Some("decode"));
        let running = platform::node(&standin).await;
        for number in 0..40 {
            let head = platform::client_head("POST", "/once/x", &format!("r{number}"), "text");
            let head = head.replace("300,20", "300,20000");
            let front = running.front;
            tokio::task::spawn_local(async move { platform::ask(front, &head).await });
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        let mut order = None;
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let all = readers.iter().flat_map(|it| it.received.borrow().clone());
            order = all.into_iter().find(|it| it.line.starts_with("POST /order"));
            if order.is_some() {
                break;
            }
        }
        let order = order.expect("a reader is ordered");
        let body: Value = serde_json::from_slice(&order.body).expect("JSON");
        assert_eq!((&body["op"], &body["stage"]), (&json!("stage"), &json!("decode")));
        assert_eq!(body["expectedCount"], 7);
        let lease = standin.object("leases", "stages").expect("the lease is in the store");
        assert_eq!(body["fencingToken"], lease.0);
        assert_eq!(body["holder"], lease.1);
        assert!(order.header("x-expect-instance").is_some_and(|it| it.starts_with("reader-")));
    });
}

/// Answers as an engine that tells its report, takes orders, and turns requests away.
fn answer(to: &platform::Received) -> platform::Action {
    let bytes = if to.line.starts_with("GET /report") {
        platform::whole(to, r#"{"stage":"prefill","callSeq":7,"busy":false}"#)
    } else if to.line.starts_with("POST /order") {
        platform::answer(to, "202 Accepted", "", "")
    } else {
        platform::answer(to, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "")
    };
    platform::Action::Send(bytes)
}
