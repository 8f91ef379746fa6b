//! Clients that never finish a head: a box is done with them in the time that the configuration gives
//! for one, and with nobody else. That time is a second in these tests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hollyspoke_server::run::Running;
use hollyspoke_tests::platform::{
    Action, Engine, Store, chunk, client_head, engine, event, handle, local, node, read_answer,
    status, store, stream_head, whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than a head may take.
const LONG: Duration = Duration::from_millis(2000);

/// Half of a head.
const HALF: &[u8] = b"GET /safe/1 HTTP/1.1\r\nHost: ";

/// A box before a plain engine, one that reads and one that generates for longer than a head may take.
struct World {
    /// The box.
    node: Running,
    /// The rest, which lives as long.
    _others: (Store, [Engine; 3]),
}

/// Starts the box.
async fn world() -> World {
    let store = store().await;
    store.configure(1);
    let (_, mut configuration) = store.object("config", "main").expect("it was written");
    configuration["limits"]["headerTimeoutMs"] = 1000.into();
    store.put("config", "main", configuration);
    let plain = engine(Rc::new(|it| vec![Action::Send(whole(it, "fine"))])).await;
    let reads = engine(Rc::new(|it| vec![Action::Send(handle(it))])).await;
    let generates = engine(Rc::new(|it| {
        let mut acts = vec![Action::Send(stream_head(it))];
        for id in 1..=40 {
            acts.extend([Action::Send(chunk(&event(id))), Action::Wait(LONG / 40)]);
        }
        acts.push(Action::Send([chunk("data: [DONE]\n\n"), chunk("")].concat()));
        acts
    }))
    .await;
    store.list("e-1", &plain, "plain", None);
    store.list("p-1", &reads, "model", Some("prefill"));
    store.list("d-1", &generates, "model", Some("decode"));
    World { node: node(&store).await, _others: (store, [plain, reads, generates]) }
}

impl World {
    /// Opens a connection.
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.node.front).await.expect("the front listens")
    }
}

/// Sends bytes.
async fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).await.expect("the front reads");
}

/// Has a plain request answered.
async fn is_served(stream: &mut TcpStream, method: &str, body: &str) -> bool {
    let head = client_head(method, "/safe/1", "id-1", body);
    let (head, body) = head.split_at(head.len() - body.len());
    send(stream, head.as_bytes()).await;
    if !body.is_empty() {
        tokio::time::sleep(Duration::from_millis(50)).await;
        send(stream, body.as_bytes()).await;
    }
    status(&read_answer(stream).await) == "200"
}

/// Waits until the connection is closed; gives how long that took.
async fn closed_after(stream: &mut TcpStream) -> Duration {
    let begun = Instant::now();
    let mut bytes = Vec::new();
    // A reset is an end, too.
    _ = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut bytes)).await;
    begun.elapsed()
}

/// Tells whether a time is that of a head.
fn is_time_of_head(span: Duration) -> bool {
    (Duration::from_millis(800)..Duration::from_millis(1900)).contains(&span)
}

#[test]
fn half_head() {
    local(async {
        let world = world().await;
        let mut stream = world.connect().await;
        send(&mut stream, HALF).await;
        let span = closed_after(&mut stream).await;
        assert!(is_time_of_head(span), "{span:?}");
    });
}

/// Bytes that keep coming make no more time.
#[test]
fn byte_by_byte() {
    local(async {
        let world = world().await;
        let (mut reader, mut writer) = world.connect().await.into_split();
        let sending = tokio::task::spawn_local(async move {
            while writer.write_all(b"G").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        let begun = Instant::now();
        let mut byte = [0];
        // A reset is an end, too.
        _ = tokio::time::timeout(Duration::from_secs(10), reader.read(&mut byte)).await;
        assert!(is_time_of_head(begun.elapsed()), "{:?}", begun.elapsed());
        sending.abort();
    });
}

/// The time of a head begins with its first byte: a connection may rest for longer, also after a
/// request whose body came by itself.
#[test]
fn connection_rests() {
    local(async {
        let world = world().await;
        let mut stream = world.connect().await;
        tokio::time::sleep(LONG).await;
        assert!(is_served(&mut stream, "POST", "{\"a\": 1}").await);
        tokio::time::sleep(LONG).await;
        assert!(is_served(&mut stream, "GET", "").await);
    });
}

#[test]
fn half_head_after_an_answer() {
    local(async {
        let world = world().await;
        let mut stream = world.connect().await;
        assert!(is_served(&mut stream, "GET", "").await);
        tokio::time::sleep(Duration::from_millis(200)).await;
        send(&mut stream, HALF).await;
        let span = closed_after(&mut stream).await;
        assert!(is_time_of_head(span), "{span:?}");
    });
}

/// Half of the next head during an answer does not cut the answer.
#[test]
fn half_head_during_an_answer() {
    local(async {
        let world = world().await;
        let mut stream = world.connect().await;
        let head = client_head("POST", "/once/1", "id-1", "").replace("Ms: 2500", "Ms: 2900");
        send(&mut stream, head.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        send(&mut stream, HALF).await;
        let answer = read_answer(&mut stream).await;
        assert!(answer.contains("[DONE]"), "{answer}");
        let span = closed_after(&mut stream).await;
        assert!(is_time_of_head(span), "{span:?}");
    });
}
