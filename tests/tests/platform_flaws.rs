//! Clients that never finish a head: a box closes their connections after the configured timeout, and
//! no others. The timeout is a second in these tests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hollyspoke_server::run::Running;
use hollyspoke_tests::platform::{
    Action, Engine, Store, chunk, client_head, engine, event, handle, local, node, read_answer,
    status, store, stream_head, whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than the timeout of a head.
const LONGER_THAN_HEAD: Duration = Duration::from_millis(2000);

/// The first half of a head.
const HALF_HEAD: &[u8] = b"GET /safe/1 HTTP/1.1\r\nHost: ";

/// A box with a plain engine, a prefill engine, and a decode engine that streams for longer than the
/// timeout of a head.
struct World {
    /// The box.
    node: Running,
    /// The store and the engines, kept alive as long as the box.
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
    let prefill = engine(Rc::new(|it| vec![Action::Send(handle(it))])).await;
    let decode = engine(Rc::new(|it| {
        let mut actions = vec![Action::Send(stream_head(it))];
        for id in 1..=40 {
            actions.extend([Action::Send(chunk(&event(id))), Action::Wait(LONGER_THAN_HEAD / 40)]);
        }
        actions.push(Action::Send([chunk("data: [DONE]\n\n"), chunk("")].concat()));
        actions
    }))
    .await;
    store.list("e-1", &plain, "plain", None);
    store.list("p-1", &prefill, "model", Some("prefill"));
    store.list("d-1", &decode, "model", Some("decode"));
    World { node: node(&store).await, _others: (store, [plain, prefill, decode]) }
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

/// Sends a plain request; returns whether it is answered with 200.
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

/// Waits until the connection is closed; returns how long that took.
async fn closed_after(stream: &mut TcpStream) -> Duration {
    let started = Instant::now();
    let mut bytes = Vec::new();
    // A reset is an end, too.
    _ = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut bytes)).await;
    started.elapsed()
}

/// Returns whether a duration is close to the timeout of a head.
fn is_head_timeout(duration: Duration) -> bool {
    (Duration::from_millis(800)..Duration::from_millis(1900)).contains(&duration)
}

#[test]
fn half_head_kept_open() {
    local(async {
        let world = world().await;
        let mut stream = world.connect().await;
        send(&mut stream, HALF_HEAD).await;
        let duration = closed_after(&mut stream).await;
        assert!(is_head_timeout(duration), "{duration:?}");
    });
}

/// Further bytes do not extend the timeout.
#[test]
fn slow_head_kept_open() {
    local(async {
        let world = world().await;
        let (mut reader, mut writer) = world.connect().await.into_split();
        let sending = tokio::task::spawn_local(async move {
            while writer.write_all(b"G").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        let started = Instant::now();
        let mut byte = [0];
        // A reset is an end, too.
        _ = tokio::time::timeout(Duration::from_secs(10), reader.read(&mut byte)).await;
        assert!(is_head_timeout(started.elapsed()), "{:?}", started.elapsed());
        sending.abort();
    });
}

/// The timeout begins with the first byte of a head: a connection may be idle for longer, also after a
/// request whose body was sent separately.
#[test]
fn idle_connection_closed() {
    local(async {
        let world = world().await;
        let mut stream = world.connect().await;
        tokio::time::sleep(LONGER_THAN_HEAD).await;
        assert!(is_served(&mut stream, "POST", "{\"a\": 1}").await);
        tokio::time::sleep(LONGER_THAN_HEAD).await;
        assert!(is_served(&mut stream, "GET", "").await);
    });
}

#[test]
fn second_head_kept_open() {
    local(async {
        let world = world().await;
        let mut stream = world.connect().await;
        assert!(is_served(&mut stream, "GET", "").await);
        tokio::time::sleep(Duration::from_millis(200)).await;
        send(&mut stream, HALF_HEAD).await;
        let duration = closed_after(&mut stream).await;
        assert!(is_head_timeout(duration), "{duration:?}");
    });
}

/// Half of the next head during an answer does not cut the answer.
#[test]
fn next_head_cuts_answer() {
    local(async {
        let world = world().await;
        let mut stream = world.connect().await;
        let head = client_head("POST", "/once/1", "id-1", "").replace("Ms: 2500", "Ms: 2900");
        send(&mut stream, head.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        send(&mut stream, HALF_HEAD).await;
        let answer = read_answer(&mut stream).await;
        assert!(answer.contains("[DONE]"), "{answer}");
        let duration = closed_after(&mut stream).await;
        assert!(is_head_timeout(duration), "{duration:?}");
    });
}
