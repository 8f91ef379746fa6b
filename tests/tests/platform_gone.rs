//! Clients that leave in each phase of a request, and connections that stay silent while new ones work.

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

/// The time within which all work for a client that left has to end.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits for longer than any test.
const FOREVER: Action = Action::Wait(Duration::from_secs(60));

/// A box with a plain engine, a prefill engine and a decode engine.
struct World {
    /// The store.
    store: Store,
    /// The box.
    node: Running,
    /// The engines, in this order.
    engines: [Engine; 3],
}

/// Starts a box with engines that follow the scripts.
async fn world(plain: Script, prefills: Script, generates: Script) -> World {
    let store = store().await;
    store.configure(1);
    let engines = [engine(plain).await, engine(prefills).await, engine(generates).await];
    store.list("e-1", &engines[0], "plain", None);
    store.list("p-1", &engines[1], "model", Some("prefill"));
    store.list("d-1", &engines[2], "model", Some("decode"));
    World { node: node(&store).await, store, engines }
}

/// Returns a script of the same actions for each request.
fn always(actions: Vec<Action>) -> Script {
    Rc::new(move |_| actions.clone())
}

/// Returns the script of a prefill engine.
fn prefills() -> Script {
    Rc::new(|it| vec![Action::Send(handle(it))])
}

impl World {
    /// Sends a request and drops the client's connection once an engine has the request. Checks that
    /// the engine's connection closes in time and that no engine receives more requests.
    async fn check_client_leaves(&self, path: &str, engine: usize, after: Duration) {
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
        tokio::time::timeout(CANCEL_TIMEOUT, dropped)
            .await
            .expect("the connection to the engine is closed");
        let work_request_count: usize = self.work_request_count();
        tokio::time::sleep(CANCEL_TIMEOUT).await;
        assert_eq!(self.work_request_count(), work_request_count);
        assert_eq!(self.node.node.with(|it| it.in_flight_count()), 0);
    }

    /// Returns the number of `POST` requests that engines have received.
    fn work_request_count(&self) -> usize {
        let all = self.engines.iter().flat_map(|it| it.received.borrow().clone());
        all.filter(|it| it.line.starts_with("POST")).count()
    }
}

#[test]
fn plain_call_not_cancelled() {
    local(async {
        let world = world(always(vec![FOREVER]), prefills(), prefills()).await;
        world.check_client_leaves("/unsafe/x", 0, Duration::ZERO).await;
    });
}

#[test]
fn prefill_not_cancelled() {
    local(async {
        let world = world(prefills(), always(vec![FOREVER]), prefills()).await;
        world.check_client_leaves("/resumed/x", 1, Duration::ZERO).await;
    });
}

#[test]
fn decode_not_cancelled() {
    local(async {
        let world = world(prefills(), prefills(), always(vec![FOREVER])).await;
        world.check_client_leaves("/resumed/x", 2, Duration::ZERO).await;
    });
}

#[test]
fn stream_not_cancelled() {
    local(async {
        let generates: Script = Rc::new(|it| {
            vec![Action::Send(stream_head(it)), Action::Send(chunk(&event(1))), FOREVER]
        });
        let world = world(prefills(), prefills(), generates).await;
        world.check_client_leaves("/resumed/x", 2, Duration::from_millis(50)).await;
    });
}

/// If a client closes right after its request, the request is not started, or its work is cancelled.
#[test]
fn early_leave_not_cancelled() {
    local(async {
        let world = world(always(vec![FOREVER]), prefills(), always(vec![FOREVER])).await;
        for path in ["/safe/x", "/resumed/x"] {
            let mut stream = TcpStream::connect(world.node.front).await.expect("it listens");
            let head = client_head("POST", path, "id-1", "");
            stream.write_all(head.as_bytes()).await.expect("the front reads");
            drop(stream);
        }
        tokio::time::sleep(CANCEL_TIMEOUT).await;
        assert_eq!(world.node.node.with(|it| it.in_flight_count()), 0);
        let work_request_count = world.work_request_count();
        tokio::time::sleep(CANCEL_TIMEOUT).await;
        assert_eq!(world.work_request_count(), work_request_count);
    });
}

/// The open connections to the store go silent while new ones work: a change still arrives.
#[test]
fn silent_store_connection_kept() {
    local(async {
        let answers: Script = Rc::new(|it| vec![Action::Send(whole(it, "x"))]);
        let world = world(answers, prefills(), prefills()).await;
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

/// One connection to an engine is silent while the next works: a repeatable request is answered in time.
#[test]
fn silent_engine_connection_kept() {
    local(async {
        let first = Rc::new(Cell::new(true));
        let answers: Script = Rc::new(move |it| {
            if first.replace(false) { vec![FOREVER] } else { vec![Action::Send(whole(it, "x"))] }
        });
        let world = world(answers.clone(), prefills(), prefills()).await;
        let second = engine(answers).await;
        world.store.list("e-2", &second, "plain", None);
        while world.node.node.with(|it| it.engine_count()) < 4 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let answer = ask(world.node.front, &client_head("GET", "/safe/x", "id-1", "")).await;
        assert_eq!(status(&answer), "200");
    });
}
