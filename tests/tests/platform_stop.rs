//! A planned stop of a box as a process: what it has accepted is answered, to the last byte.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_tests::box_process::{BoxProcess, Limits};
use hollyspoke_tests::platform::{
    Action, Script, ask, client_head, engine, local, status, store, whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

/// The length of the answer, in bytes: more than the sockets of a connection hold.
const ANSWER_BYTES: usize = 8_000_000;

/// The bytes that the client reads at a time, and that its socket holds.
const PART_BYTES: usize = 64 << 10;

/// The pause between two of these: the client takes the answer for longer than the box serves others.
const PART_PAUSE: Duration = Duration::from_millis(70);

/// The memory of the box, in megabytes.
const MEMORY_MB: usize = 110;

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
