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
    Action, Engine, LAST_CHUNK, Received, Script, Store, ask, chunk, client_head, engine, handle,
    is_whole, local, log, settings, status, store, stream_head, whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

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
    /// Their stores, which may be the same.
    stores: [Store; 2],
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
        if it.line.contains("probe") {
            return vec![Action::Send(stream_head(it)), Action::Send(LAST_CHUNK.to_vec())];
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

/// Lists two decode engines of each version in the stores, at the same or at other addresses.
async fn list_engines(stores: [&Store; 2], interruption: Interruption) {
    for version in VERSIONS {
        for number in 0..2 {
            let decode = engine(script(version, interruption)).await;
            let id = format!("{version}-{number}");
            stores[0].list_version(&id, &decode, "model", Some("decode"), version);
            let dead = Engine { address: dead_address().await, ..decode };
            stores[1].list_version(&id, &dead, "model", Some("decode"), version);
        }
    }
}

/// Returns an address that refuses connections.
async fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Starts two boxes, and two decode engines of each version.
async fn world(interruption: Interruption) -> World {
    let (near, unused) = (store().await, store().await);
    near.configure(1);
    list_engines([&near, &unused], interruption).await;
    start_boxes([&near, &near]).await
}

/// Starts the same where the second box reaches no engine, so that it passes its requests on.
async fn proxying_world() -> World {
    let (near, far) = (store().await, store().await);
    near.configure(1);
    far.configure(1);
    list_engines([&near, &far], Interruption::Silence).await;
    let world = start_boxes([&near, &far]).await;
    let head = client_head("POST", "/resumed/probe", "probe", "prompt");
    while status(&ask(world.boxes[1].front, &head).await) == "503" {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    world
}

/// Starts two boxes, each with its store.
async fn start_boxes(stores: [&Store; 2]) -> World {
    // Boxes know each other by their IP addresses, of which each test has its own.
    let number = WORLD_COUNT.fetch_add(1, Ordering::Relaxed);
    let (first_ip, second_ip) = ([127, 0, 3, number], [127, 0, 4, number]);
    let first = start(first_ip, stores[0], Vec::new()).await;
    let seeds = vec![SocketAddr::from((first_ip, peer_port()))];
    let second = start(second_ip, stores[1], seeds).await;
    let is_ready = |it: &Running| {
        it.node.with(|it| it.is_ready() && it.alive_box_count() == 2 && it.engine_count() == 4)
    };
    while !is_ready(&first) || !is_ready(&second) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    World { boxes: [first, second], stores: stores.map(Store::clone) }
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
        let count = stream.read_buf(&mut bytes).await.unwrap();
        let text = String::from_utf8_lossy(&bytes);
        assert_ne!(count, 0, "the stream has a first event: {text}");
    }
    Begun { answer: String::from_utf8_lossy(&bytes).into_owned(), _connection: stream }
}

/// Begins streams at a box.
async fn begin_all(world: &World, at: usize) -> Vec<Begun> {
    let mut begun = Vec::new();
    for number in 0..STREAM_COUNT {
        begun.push(begin(world.boxes[at].front, &format!("first-{number}")).await);
    }
    begun
}

/// Returns the head of an attempt that resumes a stream after its first event.
fn resuming_head(id: &str, resumed_ids: &[&str]) -> String {
    let resumes: String = resumed_ids.iter().map(|it| format!("Resumes: {it}\r\n")).collect();
    let headers = format!("Last-Event-Id: 1\r\n{resumes}Content-Length");
    client_head("POST", "/resumed/x", id, "prompt").replace("Content-Length", &headers)
}

/// Begins streams at a box and resumes them at the same or another one. Returns the answers of both
/// attempts.
async fn resume_all(world: &World, from: usize, at: usize) -> Vec<(String, String)> {
    let begun = begin_all(world, from).await;
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
        check_all_resumed(&resume_all(&world, 0, 0).await);
    });
}

#[test]
fn other_box_mixes_versions() {
    local(async {
        let world = world(Interruption::Silence).await;
        check_all_resumed(&resume_all(&world, 0, 1).await);
    });
}

/// A box that reaches no engine passes on what clients take up there, wherever it began.
#[test]
fn passing_on_mixes_versions() {
    for (from, at) in [(0, 1), (1, 0), (1, 1)] {
        local(async move {
            let world = proxying_world().await;
            check_all_resumed(&resume_all(&world, from, at).await);
        });
    }
}

/// A box that reaches no engine passes on a stream that nobody knows, and its refusal.
#[test]
fn passing_on_unknown_stream_resumed() {
    local(async {
        let world = proxying_world().await;
        let _known = begin(world.boxes[1].front, "known").await;
        let answer = ask(world.boxes[1].front, &resuming_head("id", &["unknown"])).await;
        assert_eq!(status(&answer), "503");
    });
}

/// A stream whose version has no engines any more is refused and goes on nowhere.
#[test]
fn vanished_version_replaced() {
    local(async {
        let world = world(Interruption::Silence).await;
        let begun = begin_all(&world, 0).await;
        for number in 0..2 {
            world.stores[0].remove("servers", &format!("v1-{number}"));
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
