//! Leases and orders through sockets: what the store and the engines are sent, and what their
//! answers mean.

use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke_gateway::event::OrderAnswer;
use hollyspoke_platform::{engine, store};
use hollyspoke_tests::platform;
use http::StatusCode;
use serde_json::{Value, json};

/// Returns an operation that reads the lease.
fn read_operation() -> Operation {
    Operation::Get { kind: "leases".to_owned(), name: "stages".to_owned() }
}

/// Returns an operation that writes the lease if its version is the expected one.
fn write_operation(expected: u64) -> Operation {
    let (kind, name) = ("leases".to_owned(), "stages".to_owned());
    Operation::Put { kind, name, expected, value: "me".to_owned() }
}

/// Sends an operation to a stand-in store through the adapter; returns the answer.
async fn execute(standin: &platform::Store, operation: &Operation) -> Answer {
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
fn unconditional_write() {
    platform::local(async {
        let standin = platform::store().await;
        assert_eq!(execute(&standin, &read_operation()).await, Answer::Absent);
        let Answer::Written { version } = execute(&standin, &write_operation(0)).await else {
            panic!("the first write creates the object");
        };
        assert_eq!(
            execute(&standin, &write_operation(0)).await,
            Answer::Conflict,
            "the object exists already"
        );
        assert_eq!(execute(&standin, &write_operation(version + 1)).await, Answer::Conflict);
        let Answer::Written { version: next } = execute(&standin, &write_operation(version)).await
        else {
            panic!("the version is the one expected");
        };
        assert!(next > version);
        let found = Answer::Found { version: next, value: "me".to_owned() };
        assert_eq!(execute(&standin, &read_operation()).await, found);
    });
}

#[test]
fn busy_store_misread() {
    for status in [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS] {
        assert_eq!(store::read_stored(&write_operation(3), status, b"null"), Answer::Away);
        assert_eq!(store::read_stored(&read_operation(), status, b""), Answer::Away);
    }
    assert_eq!(store::read_stored(&write_operation(3), StatusCode::OK, b"not json"), Answer::Away);
    assert_eq!(
        store::read_stored(&write_operation(3), StatusCode::NOT_FOUND, b""),
        Answer::Conflict
    );
}

#[test]
fn order_answer_misread() {
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

/// A box that runs short of decode memory orders a prefill engine to decode: it takes the lease, reads
/// the report of the engine, then sends the order with the count from the report.
#[test]
fn order_without_lease() {
    platform::local(async {
        let standin = platform::store().await;
        standin.configure_switchable(1);
        let mut prefill_engines = Vec::new();
        for number in 0..3 {
            let prefill = platform::engine(std::rc::Rc::new(|it| vec![answer(it)])).await;
            standin.list(&format!("reader-{number}"), &prefill, "model", Some("prefill"));
            prefill_engines.push(prefill);
        }
        let decode = platform::engine(std::rc::Rc::new(|it| vec![answer(it)])).await;
        standin.list("generator", &decode, "model", Some("decode"));
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
            let received = prefill_engines.iter().flat_map(|it| it.received.borrow().clone());
            order = received.into_iter().find(|it| it.line.starts_with("POST /order"));
            if order.is_some() {
                break;
            }
        }
        let order = order.expect("a prefill engine gets an order");
        let body: Value = serde_json::from_slice(&order.body).expect("JSON");
        assert_eq!((&body["op"], &body["stage"]), (&json!("stage"), &json!("decode")));
        assert_eq!(body["expectedCount"], 7);
        let lease = standin.object("leases", "stages").expect("the lease is in the store");
        assert_eq!(body["fencingToken"], lease.0);
        assert_eq!(body["holder"], lease.1);
        assert!(order.header("x-expect-instance").is_some_and(|it| it.starts_with("reader-")));
    });
}

/// Answers as an engine that sends its report, accepts orders and rejects requests.
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
