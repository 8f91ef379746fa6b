//! Clients that leave, in each phase of a request, and connections that go silent for good while new
//! ones work.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_server::run::Running;
use hollyspoke_tests::platform::{
    Action, Engine, Script, Store, ask, chunk, client_head, engine, event, handle, local, node,
    status, store, stream_head, whole,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The time within which nothing may be at work for a client that left.
const SOON: Duration = Duration::from_millis(500);

/// Longer than any test.
const FOREVER: Action = Action::Wait(Duration::from_secs(60));

/// A box before a plain engine, one that reads prompts and one that generates.
struct World {
    /// The store.
    store: Store,
    /// The box.
    node: Running,
    /// The engines, in this order.
    engines: [Engine; 3],
}

/// Starts a box before engines with scripts.
async fn world(plain: Script, reads: Script, generates: Script) -> World {
    let store = store().await;
    store.configure(1);
    let engines = [engine(plain).await, engine(reads).await, engine(generates).await];
    store.list("e-1", &engines[0], "plain", None);
    store.list("p-1", &engines[1], "model", Some("prefill"));
    store.list("d-1", &engines[2], "model", Some("decode"));
    World { node: node(&store).await, store, engines }
}

/// Gives a script of the same acts for each request.
fn always(acts: Vec<Action>) -> Script {
    Rc::new(move |_| acts.clone())
}

/// A script that reads prompts.
fn reads() -> Script {
    Rc::new(|it| vec![Action::Send(handle(it))])
}

impl World {
    /// Sends a request, lets the client leave once an engine has it, and expects that the engine's
    /// connection closes soon and that no engine hears more.
    async fn leave(&self, path: &str, engine: usize, after: Duration) {
        let mut stream = TcpStream::connect(self.node.front).await.expect("the front listens");
        let head = client_head("POST", path, "id-1", "");
        stream.write_all(head.as_bytes()).await.expect("the front reads");
        while self.engines[engine].received.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        tokio::time::sleep(after).await;
        drop(stream);
        let dropped = async {
            while self.engines[engine].dropped.get() == 0 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(SOON, dropped).await.expect("the engine sees that nobody waits");
        let heard: usize = self.heard();
        tokio::time::sleep(SOON).await;
        assert_eq!(self.heard(), heard);
        assert_eq!(self.node.node.with(|it| it.in_flight_count()), 0);
    }

    /// Gives how many requests that ask for work engines have heard.
    fn heard(&self) -> usize {
        let all = self.engines.iter().flat_map(|it| it.received.borrow().clone());
        all.filter(|it| it.line.starts_with("POST")).count()
    }
}

#[test]
fn while_a_plain_call_runs() {
    local(async {
        let world = world(always(vec![FOREVER]), reads(), reads()).await;
        world.leave("/unsafe/x", 0, Duration::ZERO).await;
    });
}

#[test]
fn while_the_prompt_is_read() {
    local(async {
        let world = world(reads(), always(vec![FOREVER]), reads()).await;
        world.leave("/resumed/x", 1, Duration::ZERO).await;
    });
}

#[test]
fn before_the_first_event() {
    local(async {
        let world = world(reads(), reads(), always(vec![FOREVER])).await;
        world.leave("/resumed/x", 2, Duration::ZERO).await;
    });
}

#[test]
fn amid_the_stream() {
    local(async {
        let generates: Script = Rc::new(|it| {
            vec![Action::Send(stream_head(it)), Action::Send(chunk(&event(1))), FOREVER]
        });
        let world = world(reads(), reads(), generates).await;
        world.leave("/resumed/x", 2, Duration::from_millis(50)).await;
    });
}

/// A client that closes right behind its request may find that it was never taken up, or that what
/// was begun for it has ended.
#[test]
fn right_behind_the_request() {
    local(async {
        let world = world(always(vec![FOREVER]), reads(), always(vec![FOREVER])).await;
        for path in ["/safe/x", "/resumed/x"] {
            let mut stream = TcpStream::connect(world.node.front).await.expect("it listens");
            let head = client_head("POST", path, "id-1", "");
            stream.write_all(head.as_bytes()).await.expect("the front reads");
            drop(stream);
        }
        tokio::time::sleep(SOON).await;
        assert_eq!(world.node.node.with(|it| it.in_flight_count()), 0);
        let heard = world.heard();
        tokio::time::sleep(SOON).await;
        assert_eq!(world.heard(), heard);
    });
}

/// The connections to the store go silent while new ones work: a change arrives all the same.
#[test]
fn silent_store_connections() {
    local(async {
        let answers: Script = Rc::new(|it| vec![Action::Send(whole(it, "x"))]);
        let world = world(answers, reads(), reads()).await;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        world.store.stall_open_connections();
        world.store.configure(5);
        let taken = async {
            while world.node.node.with(|it| it.version()) != Some(5) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(4), taken).await.expect("a new connection works");
    });
}

/// One connection to an engine says nothing while the next works: what may be repeated is answered
/// in time.
#[test]
fn silent_engine_connection() {
    local(async {
        let first = Rc::new(Cell::new(true));
        let answers: Script = Rc::new(move |it| {
            if first.replace(false) { vec![FOREVER] } else { vec![Action::Send(whole(it, "x"))] }
        });
        let world = world(answers.clone(), reads(), reads()).await;
        let second = engine(answers).await;
        world.store.list("e-2", &second, "plain", None);
        while world.node.node.with(|it| it.engine_count()) < 4 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let answer = ask(world.node.front, &client_head("GET", "/safe/x", "id-1", "")).await;
        assert_eq!(status(&answer), "200");
    });
}
