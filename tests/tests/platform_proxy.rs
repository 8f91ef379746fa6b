//! A box that reaches no engine passes its clients' requests on to another box.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use hollyspoke_platform::DIALECT;
use hollyspoke_server::run::{self, Running};
use hollyspoke_tests::framing::{PARTIAL_EVENT, see, unmarked_stream};
use hollyspoke_tests::garbage::decoded_body;
use hollyspoke_tests::platform::{
    Action, Engine, LAST_CHUNK, Script, Store, ask, chunk, client_head, engine, event, handle,
    local, log, settings, status, store, stream_head, whole,
};
use hollyspoke_tests::spoilt_heads::{Form, Media, check_failed, forms};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A box without a path to the engines, and one with a path.
struct World {
    /// The box without a path.
    cut: Running,
    /// The box with a path.
    sound: Running,
    /// The engine.
    engine: Engine,
    /// The stores, one for each box.
    _stores: [Store; 2],
}

/// Returns the port of all boxes for other boxes, which is likely free.
fn peer_port() -> u16 {
    20_000 + (std::process::id() % 20_000) as u16
}

/// The number of worlds that were started.
static WORLD_COUNT: AtomicU8 = AtomicU8::new(1);

/// Returns an address that refuses connections.
async fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Starts a box that other boxes know by an IP address.
async fn start(ip: [u8; 4], store: &Store, seeds: Vec<SocketAddr>) -> Running {
    let mut settings = settings(store.address, seeds);
    settings.peer = SocketAddr::from((ip, peer_port()));
    run::start(&settings, DIALECT, log()).await.expect("the ports are free")
}

/// The key of the customer `press`.
const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// Returns the head of a request with a customer's key.
fn head_with_key(method: &str, path: &str) -> String {
    let key = format!("Authorization: Bearer {KEY}\r\nContent-Length");
    client_head(method, path, "id-1", "").replace("Content-Length", &key)
}

/// Starts the boxes without customers.
async fn world(script: Script) -> World {
    world_of(script, Value::Null).await
}

/// Starts the boxes with an engine of the plain service and one that decodes. In the list of the
/// first box, the engines have addresses that refuse connections.
async fn world_of(script: Script, customers: Value) -> World {
    let (far, near) = (store().await, store().await);
    let engine = engine(script).await;
    let dead = Engine { address: dead_address().await, ..engine.clone() };
    for (store, engine) in [(&far, &dead), (&near, &engine)] {
        store.configure_customers(1, customers.clone());
        store.list("e-1", engine, "plain", None);
        store.list("d-1", engine, "model", Some("decode"));
    }
    // Boxes know each other by their IP addresses, of which each test has its own.
    let number = WORLD_COUNT.fetch_add(1, Ordering::Relaxed);
    let (cut_ip, sound_ip) = ([127, 0, 1, number], [127, 0, 2, number]);
    let cut = start(cut_ip, &far, Vec::new()).await;
    let seeds = vec![SocketAddr::from((cut_ip, peer_port()))];
    let sound = start(sound_ip, &near, seeds).await;
    let is_ready = |it: &Running| it.node.with(|it| it.is_ready() && it.alive_box_count() == 2);
    while !is_ready(&cut) || !is_ready(&sound) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let world = World { cut, sound, engine, _stores: [far, near] };
    lose_contact(&world).await;
    world
}

/// Sends requests to the box without a path until it has noticed for both services.
async fn lose_contact(world: &World) {
    for (method, path) in [("GET", "/safe/probe"), ("POST", "/once/probe")] {
        let head = head_with_key(method, path);
        while status(&ask(world.cut.front, &head).await) == "503" {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    world.engine.received.borrow_mut().clear();
}

/// Answers plain requests with a body and others with a stream that may be followed by more steps.
fn answers(steps: impl Fn() -> Vec<Action> + 'static) -> Script {
    Rc::new(move |it| {
        if it.header("x-serving-stage").is_some() {
            return vec![Action::Send(handle(it))];
        }
        if it.line.contains("/safe/") || it.is_probe() {
            return vec![Action::Send(whole(it, "answer"))];
        }
        if it.line.contains("probe") {
            return vec![Action::Send(stream_head(it)), Action::Send(LAST_CHUNK.to_vec())];
        }
        let mut actions = vec![Action::Send(stream_head(it)), Action::Send(chunk(&event(1)))];
        actions.extend(steps());
        actions
    })
}

/// An answer with a spoilt head is passed on as a success by neither box.
#[test]
fn spoilt_head_behind_another_box() {
    local(async {
        let spoilt = Rc::new(Cell::new(None));
        let form = spoilt.clone();
        let sound = answers(Vec::new);
        let script: Script = Rc::new(move |it| match form.get() {
            Some((form, media)) if !it.is_probe() && it.header("x-serving-stage").is_none() => {
                let form: &'static Form = form;
                vec![Action::Send(form.answer(it, media))]
            }
            _ => sound(it),
        });
        let world = world(script).await;
        let forms: &'static [Form] = forms().leak();
        for form in forms {
            for (path, media) in [("/unsafe/x", Media::Text), ("/once/x", Media::Events)] {
                spoilt.set(Some((form, media)));
                check_failed(&see(world.cut.front, "POST", path).await, form);
            }
        }
    });
}

#[test]
fn request_without_path_refused() {
    local(async {
        let world = world(answers(Vec::new)).await;
        let answer = ask(world.cut.front, &client_head("GET", "/safe/x?a=b", "id-1", "text")).await;
        assert_eq!(status(&answer), "200");
        assert!(answer.contains("stamp") && answer.ends_with("answer"), "{answer}");
        let received = world.engine.received.borrow();
        let runs: Vec<_> = received.iter().filter(|it| !it.is_probe()).collect();
        assert_eq!(runs.len(), 1, "it ran once");
        assert_eq!(runs[0].line, "GET /safe/x?a=b HTTP/1.1");
        assert_eq!(runs[0].body, b"text");
        assert_eq!(runs[0].header("x-request-id"), Some("id-1"));
        let left: u64 = runs[0].header("x-deadline-ms").unwrap().parse().unwrap();
        assert!(left <= 2500, "{left}");
    });
}

/// A customer's request is known at the other box by the digest of its key.
#[test]
fn customer_unknown_to_other_box() {
    let customers = json!([{"name": "press", "apiKeys": [KEY], "priority": 1,
        "unit": "token_stream", "plainTokens": 200, "ratePerS": 90000, "burstSize": 90000}]);
    local(async {
        let world = world_of(answers(Vec::new), customers).await;
        let answer = ask(world.cut.front, &head_with_key("GET", "/safe/x")).await;
        assert_eq!(status(&answer), "200");
        let unknown = head_with_key("GET", "/safe/x").replace(KEY, "another");
        assert_eq!(status(&ask(world.cut.front, &unknown).await), "401");
        let received = world.engine.received.borrow();
        let run = received.iter().find(|it| !it.is_probe()).expect("it ran");
        assert_eq!(run.header("authorization"), None);
        let has_digest = |it: &(String, String)| it.0.contains("digest");
        assert!(!run.headers.iter().any(has_digest), "{:?}", run.headers);
    });
}

/// A box that reaches no engine is not named to clients while another one does.
#[test]
fn clients_sent_to_box_without_path() {
    local(async {
        let world = world(answers(Vec::new)).await;
        for running in [&world.cut, &world.sound] {
            let is_left_out = || running.node.with(|it| it.fronts(None)) == [world.sound.front];
            while !is_left_out() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    });
}

/// A client that leaves the first box frees the engine behind the second one.
#[test]
fn engine_works_for_client_that_left() {
    local(async {
        let world = world(answers(|| vec![Action::Wait(Duration::from_secs(60))])).await;
        let mut stream = TcpStream::connect(world.cut.front).await.unwrap();
        let head = client_head("POST", "/once/x", "id-1", "prompt");
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        while !String::from_utf8_lossy(&bytes).contains("piece 1") {
            assert_ne!(stream.read_buf(&mut bytes).await.unwrap(), 0);
        }
        drop(stream);
        let freed = async {
            while world.engine.dropped.get() == 0 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(Duration::from_millis(500), freed).await.expect("it is freed in time");
    });
}

/// What is not known of an answer's end isn't known either behind a second box.
#[test]
fn unmarked_end_marked_on_the_way() {
    for (last, is_between_events) in [(event(2), true), (PARTIAL_EVENT.to_owned(), false)] {
        local(async {
            let unmarked = unmarked_stream(vec![event(1), last], Action::Close);
            let others = answers(Vec::new);
            let script: Script =
                Rc::new(
                    move |it| {
                        if it.line.contains("/once/x") { unmarked(it) } else { others(it) }
                    },
                );
            let world = world(script).await;
            let seen = see(world.cut.front, "POST", "/once/x").await;
            assert_eq!(seen.ends_by_close(), is_between_events, "{seen:?}");
            assert_eq!(seen.is_broken_off(), !is_between_events, "{seen:?}");
        });
    }
}

/// Bytes of no run end a stream visibly, also for the client of the box that passed it on.
#[test]
fn garbage_passed_on() {
    local(async {
        let garbage = || {
            let parts = [chunk("gar bage\n\n"), chunk(&event(2)), LAST_CHUNK.to_vec()];
            let wait = Action::Wait(Duration::from_millis(10));
            [wait].into_iter().chain(parts.map(Action::Send)).collect()
        };
        let world = world(answers(garbage)).await;
        let seen = see(world.cut.front, "POST", "/once/x").await;
        assert_eq!(decoded_body(&seen), event(1), "{seen:?}");
        assert!(seen.is_broken_off(), "{seen:?}");
    });
}

/// Only boxes may have requests passed on.
#[test]
fn stranger_served_as_box() {
    local(async {
        let world = world(answers(Vec::new)).await;
        let head = client_head("GET", "/safe/x", "id-1", "");
        let proxy = world.sound.proxy.expect("it accepts requests of boxes");
        let mut stream = TcpStream::connect(proxy).await.unwrap();
        _ = stream.write_all(head.as_bytes()).await;
        let mut bytes = Vec::new();
        _ = stream.read_to_end(&mut bytes).await;
        assert_eq!(bytes, b"");
        let received = world.engine.received.borrow();
        assert!(received.iter().all(|it| it.is_probe()), "nothing ran");
    });
}
