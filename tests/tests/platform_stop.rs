//! A planned stop of a box as a process: what it has accepted is answered, to the last byte.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollyspoke_tests::box_process::{BoxProcess, Limits};
use hollyspoke_tests::platform::{
    Action, Script, ask, client_head, engine, local, read_answer, status, store, whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// The length of the answer, in bytes: more than the sockets of a connection hold.
const ANSWER_BYTES: usize = 8_000_000;

/// The bytes that the client reads at a time, and that its socket holds.
const PART_BYTES: usize = 64 << 10;

/// The pause between two of these: the client takes the answer for longer than the box serves others.
const PART_PAUSE: Duration = Duration::from_millis(70);

/// The memory of the box, in megabytes.
const MEMORY_MB: usize = 110;

/// How long a box stands still that is told to stop meanwhile.
const PAUSE: Duration = Duration::from_secs(3);

/// When it is told, from when it began to stand still.
const TOLD_AFTER: Duration = Duration::from_millis(300);

/// The time from the signal to when the process is ended by force.
const GRACE: Duration = Duration::from_secs(8);

/// How long the engine works on a request.
const WORK: Duration = Duration::from_millis(1800);

/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Returns whether a request was passed on to the engine and got no answer. The box may have ended.
async fn is_cut(front: SocketAddr, id: String, ran: Rc<RefCell<BTreeSet<String>>>) -> bool {
    let Ok(mut stream) = TcpStream::connect(front).await else { return false };
    let head = client_head("POST", "/unsafe/x", &id, "prompt");
    let is_sent = stream.write_all(head.as_bytes()).await.is_ok();
    let is_answered = is_sent && !read_answer(&mut stream).await.is_empty();
    !is_answered && ran.borrow().contains(&id)
}

/// The signal comes while the process stands still, and the grace period begins with it.
#[test]
fn stop_during_pause_cuts_accepted_requests() {
    local(async {
        let store = store().await;
        store.configure(1);
        let ran = Rc::new(RefCell::new(BTreeSet::new()));
        let received = ran.clone();
        let script: Script = Rc::new(move |it| {
            if !it.line.contains("/unsafe/") {
                return vec![Action::Send(whole(it, "done"))];
            }
            let id = it.header("x-request-id").unwrap_or_default();
            received.borrow_mut().insert(id.to_owned());
            vec![Action::Wait(WORK), Action::Send(whole(it, "done"))]
        });
        let engine = engine(script).await;
        store.list("e-1", &engine, "plain", None);
        let box_ =
            BoxProcess::start(store.address, Limits { memory_mb: MEMORY_MB, descriptors: None });
        let first = client_head("GET", "/safe/first", "first", "");
        while status(&ask(box_.front, &first).await) != "200" {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        box_.pause();
        tokio::time::sleep(TOLD_AFTER).await;
        box_.stop();
        let told_at = Instant::now();
        tokio::time::sleep(PAUSE - TOLD_AFTER).await;
        box_.go_on();
        let mut requests = Vec::new();
        while told_at.elapsed() < GRACE {
            let request = is_cut(box_.front, format!("id-{}", requests.len()), ran.clone());
            requests.push(tokio::task::spawn_local(request));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        box_.kill();
        let mut cut = 0;
        for request in requests {
            cut += usize::from(request.await.unwrap());
        }
        assert_eq!(cut, 0, "of {} requests that ran", ran.borrow().len());
        assert!(!ran.borrow().is_empty(), "the box served none");
    });
}

/// The answer has been decided when the box is told to stop, and its client is still taking it.
#[test]
fn stop_cuts_slow_client() {
    local(async {
        let store = store().await;
        store.configure(1);
        let body = "x".repeat(ANSWER_BYTES);
        let script: Script = Rc::new(move |it| {
            let is_large = it.line.contains("/unsafe/large");
            vec![Action::Send(whole(it, if is_large { &body } else { "done" }))]
        });
        let engine = engine(script).await;
        store.list("e-1", &engine, "plain", None);
        let limits = Limits { memory_mb: MEMORY_MB, descriptors: None };
        let box_ = BoxProcess::start(store.address, limits);
        let first = client_head("GET", "/unsafe/first", "first", "");
        while status(&ask(box_.front, &first).await) != "200" {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(PART_BYTES as u32).unwrap();
        let mut stream = socket.connect(box_.front).await.unwrap();
        let head = client_head("GET", "/unsafe/large", "large", "");
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut part = vec![0; PART_BYTES];
        let mut received = 0;
        while let Ok(count @ 1..) = stream.read(&mut part).await {
            if received == 0 {
                box_.stop();
            }
            received += count;
            tokio::time::sleep(PART_PAUSE).await;
        }
        assert!(received > ANSWER_BYTES, "{received} bytes");
    });
}
