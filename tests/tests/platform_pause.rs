//! A box whose process was paused: the streams of sound engines go on.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_tests::platform::{
    Action, Script, ask, chunk, client_head, engine, event, handle, local, node, status, store,
    stream_head,
};

/// The number of events of a stream.
const EVENT_COUNT: u64 = 10;

/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// The pause, longer than the silence after which a stream counts as broken.
const PAUSE: Duration = Duration::from_millis(1500);

/// Returns the script of an engine that sends a stream.
fn streams() -> Script {
    Rc::new(|it| {
        let mut actions = vec![Action::Send(stream_head(it))];
        for id in 1..=EVENT_COUNT {
            actions.extend([Action::Send(chunk(&event(id))), Action::Wait(EVENT_INTERVAL)]);
        }
        actions.push(Action::Send(b"0\r\n\r\n".to_vec()));
        actions
    })
}

/// The stream is not begun again at the other engine.
#[test]
fn pause_moves_stream() {
    local(async {
        let store = store().await;
        store.configure(1);
        let prefill = engine(Rc::new(|it| vec![Action::Send(handle(it))])).await;
        let decodes = [engine(streams()).await, engine(streams()).await];
        store.list("p-1", &prefill, "model", Some("prefill"));
        store.list("d-1", &decodes[0], "model", Some("decode"));
        store.list("d-2", &decodes[1], "model", Some("decode"));
        let node = node(&store).await;
        while node.node.with(|it| it.engine_count()) < 3 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let front = node.front;
        let client = tokio::task::spawn_local(async move {
            let head = client_head("POST", "/resumed/x", "id-1", "");
            ask(front, &head.replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 9000")).await
        });
        tokio::time::sleep(EVENT_INTERVAL * 5).await;
        // Blocks the thread, and with it the box and the engines.
        std::thread::sleep(PAUSE);
        let answer = client.await.expect("the client ends");
        assert_eq!(status(&answer), "200");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
        let received = decodes.iter().flat_map(|it| it.received.borrow().clone());
        let runs = received.filter(|it| it.line.starts_with("POST")).count();
        assert_eq!(runs, 1, "the stream was begun again");
    });
}
