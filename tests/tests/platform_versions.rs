//! Streams where engines of two software versions serve side by side. Each engine writes its version
//! into its events and refuses nothing.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use hollyspoke_platform::DIALECT;
use hollyspoke_server::run::{self, Running};
use hollyspoke_tests::platform::{
    Action, LAST_CHUNK, Received, Script, Store, ask, chunk, client_head, engine, handle, is_whole,
    local, log, settings, status, store, stream_head, whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The number of streams in each test.
const STREAM_COUNT: usize = 12;

/// The number of events of a stream.
const EVENT_COUNT: u64 = 3;

/// The two versions.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Two boxes and the engines' list.
struct World {
    /// The boxes.
    boxes: [Running; 2],
    /// The store.
    store: Store,
}

/// What happens to a stream after its first event at the first engine.
#[derive(Clone, Copy)]
enum Interruption {
    /// Its connection is reset.
    Reset,
    /// It is silent until its client leaves.
    Silence,
}

/// The number of worlds that were started.
static WORLD_COUNT: AtomicU8 = AtomicU8::new(1);

/// Returns the port of all boxes for other boxes, which is likely free.
fn peer_port() -> u16 {
    20_000 + (std::process::id() % 20_000) as u16
}

/// Returns an event that names the version of its engine.
fn marked_event(id: u64, version: &str) -> Vec<u8> {
    chunk(&format!("id: {id}\ndata: {version}\n\n"))
}

/// Returns the script of an engine of a version.
fn script(version: &'static str, interruption: Interruption) -> Script {
    Rc::new(move |it| {
        if it.header("x-serving-stage").is_some() {
            return vec![Action::Send(handle(it))];
        }
        if it.is_probe() {
            return vec![Action::Send(whole(it, "{}"))];
        }
        stream(it, version, interruption)
    })
}

/// Returns the events of a stream after the last one that the client has. A stream from its first
/// event on is interrupted.
fn stream(to: &Received, version: &str, interruption: Interruption) -> Vec<Action> {
    let after: u64 = to.header("last-event-id").map_or(0, |it| it.parse().unwrap());
    let mut actions = vec![Action::Send(stream_head(to))];
    if after == 0 {
        actions.push(Action::Send(marked_event(1, version)));
        actions.push(Action::Wait(Duration::from_millis(10)));
        actions.push(match interruption {
            Interruption::Reset => Action::Reset,
            Interruption::Silence => Action::Wait(Duration::from_secs(60)),
        });
        return actions;
    }
    actions.extend((after + 1..=EVENT_COUNT).map(|it| Action::Send(marked_event(it, version))));
    actions.push(Action::Send(LAST_CHUNK.to_vec()));
    actions
}

/// Starts a box that other boxes know by an IP address.
async fn start(ip: [u8; 4], store: &Store, seeds: Vec<SocketAddr>) -> Running {
    let mut settings = settings(store.address, seeds);
    settings.peer = SocketAddr::from((ip, peer_port()));
    run::start(&settings, DIALECT, log()).await.expect("the ports are free")
}

/// Starts two boxes, and two decode engines of each version.
async fn world(interruption: Interruption) -> World {
    let store = store().await;
    store.configure(1);
    for version in VERSIONS {
        for number in 0..2 {
            let decode = engine(script(version, interruption)).await;
            let id = format!("{version}-{number}");
            store.list_version(&id, &decode, "model", Some("decode"), version);
        }
    }
    // Boxes know each other by their IP addresses, of which each test has its own.
    let number = WORLD_COUNT.fetch_add(1, Ordering::Relaxed);
    let (first_ip, second_ip) = ([127, 0, 3, number], [127, 0, 4, number]);
    let first = start(first_ip, &store, Vec::new()).await;
    let seeds = vec![SocketAddr::from((first_ip, peer_port()))];
    let second = start(second_ip, &store, seeds).await;
    let is_ready = |it: &Running| {
        it.node.with(|it| it.is_ready() && it.alive_box_count() == 2 && it.engine_count() == 4)
    };
    while !is_ready(&first) || !is_ready(&second) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    World { boxes: [first, second], store }
}

/// Returns the versions in the events of an answer.
fn versions(answer: &str) -> BTreeSet<&str> {
    answer.lines().filter_map(|it| it.strip_prefix("data: ")).collect()
}

/// Returns the ids of the events in an answer.
fn events(answer: &str) -> Vec<u64> {
    answer.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
}

/// A stream of which the client has the first event. Its connection stays open, so that its engine is
/// no better choice than others for the rest of the stream.
struct Begun {
    /// What the client has received.
    answer: String,
    /// The connection.
    _connection: TcpStream,
}

/// Begins a stream.
async fn begin(front: SocketAddr, id: &str) -> Begun {
    let mut stream = TcpStream::connect(front).await.unwrap();
    let head = client_head("POST", "/resumed/x", id, "prompt");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    while events(&String::from_utf8_lossy(&bytes)).is_empty() {
        assert_ne!(stream.read_buf(&mut bytes).await.unwrap(), 0, "the stream has a first event");
    }
    Begun { answer: String::from_utf8_lossy(&bytes).into_owned(), _connection: stream }
}

/// Begins streams at the first box.
async fn begin_all(world: &World) -> Vec<Begun> {
    let mut begun = Vec::new();
    for number in 0..STREAM_COUNT {
        begun.push(begin(world.boxes[0].front, &format!("first-{number}")).await);
    }
    begun
}

/// Returns the head of an attempt that resumes a stream after its first event.
fn resuming_head(id: &str, resumed_ids: &[&str]) -> String {
    let resumes: String = resumed_ids.iter().map(|it| format!("Resumes: {it}\r\n")).collect();
    let headers = format!("Last-Event-Id: 1\r\n{resumes}Content-Length");
    client_head("POST", "/resumed/x", id, "prompt").replace("Content-Length", &headers)
}

/// Begins streams at the first box and resumes them at another one. Returns the answers of both
/// attempts.
async fn resume_all(world: &World, at: usize) -> Vec<(String, String)> {
    let begun = begin_all(world).await;
    let mut answers = Vec::new();
    for (number, begun) in begun.iter().enumerate() {
        let head = resuming_head(&format!("second-{number}"), &[&format!("first-{number}")]);
        answers.push((begun.answer.clone(), ask(world.boxes[at].front, &head).await));
    }
    answers
}

/// Checks that all streams were resumed to their end, each at the version that began it.
fn check_all_resumed(answers: &[(String, String)]) {
    let is_mixed = |it: &&(String, String)| versions(&it.0) != versions(&it.1);
    let mixed = answers.iter().filter(is_mixed).count();
    assert_eq!(mixed, 0, "of {STREAM_COUNT} streams went on at another version or not at all");
    assert!(answers.iter().all(|it| is_whole(&it.1) && events(&it.1) == [2, 3]));
}

#[test]
fn broken_stream_mixes_versions() {
    local(async {
        let world = world(Interruption::Reset).await;
        for number in 0..STREAM_COUNT {
            let head = client_head("POST", "/resumed/x", &format!("id-{number}"), "prompt");
            let answer = ask(world.boxes[0].front, &head).await;
            assert_eq!(versions(&answer).len(), 1, "{answer}");
            assert_eq!(events(&answer), [1, 2, 3]);
            assert!(is_whole(&answer));
        }
    });
}

#[test]
fn same_box_mixes_versions() {
    local(async {
        let world = world(Interruption::Silence).await;
        check_all_resumed(&resume_all(&world, 0).await);
    });
}

#[test]
fn other_box_mixes_versions() {
    local(async {
        let world = world(Interruption::Silence).await;
        check_all_resumed(&resume_all(&world, 1).await);
    });
}

/// A stream whose version has no engines any more is refused and goes on nowhere.
#[test]
fn vanished_version_replaced() {
    local(async {
        let world = world(Interruption::Silence).await;
        let begun = begin_all(&world).await;
        for number in 0..2 {
            world.store.remove("servers", &format!("v1-{number}"));
        }
        while world.boxes.iter().any(|it| it.node.with(|it| it.engine_count() > 2)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for (number, begun) in begun.iter().enumerate() {
            let head = resuming_head(&format!("second-{number}"), &[&format!("first-{number}")]);
            let answer = ask(world.boxes[1].front, &head).await;
            if versions(&begun.answer).contains("v2") {
                assert_eq!(versions(&answer), versions(&begun.answer));
            } else {
                assert_eq!(status(&answer), "503");
            }
        }
    });
}

/// With two versions, a stream of which no box knows the version is refused: it is named by nobody,
/// by an id that nobody knows, by two ids, or by one that is too long.
#[test]
fn unknown_stream_resumed() {
    local(async {
        let world = world(Interruption::Silence).await;
        let _known = begin(world.boxes[0].front, "known").await;
        let long = "x".repeat(10_000);
        let wrong: [&[&str]; 4] = [&[], &["unknown"], &["known", "other"], &[&long]];
        for (number, resumed_ids) in wrong.into_iter().enumerate() {
            let head = resuming_head(&format!("id-{number}"), resumed_ids);
            let answer = ask(world.boxes[number % 2].front, &head).await;
            assert_eq!(status(&answer), "503", "{number}");
        }
    });
}
