//! A box that is behind the store reads only the changes since its revision; it reads the whole list
//! only if the store no longer has them.
//!
//! If a box reads the list after one lost datagram, 10,000 engines cost 20 pages for each of 985 boxes.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_gateway::event::Kind;
use hollyspoke_server::run::Running;
use hollyspoke_tests::platform::{
    Action, Received, Store, StoreBehaviour, engine, local, node, store, whole,
};

/// The time within which the store answers a box.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Answers every request.
fn answers(to: &Received) -> Vec<Action> {
    vec![Action::Send(whole(to, "x"))]
}

/// Starts a box with one engine and waits until the box follows the store.
async fn start_box() -> (Store, Running) {
    let store = store().await;
    let first = engine(Rc::new(answers)).await;
    store.configure(1);
    store.list("e-1", &first, "plain", None);
    let node = node(&store).await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    (store, node)
}

/// Makes a box fetch the engines from the store again.
fn refetch_engines(node: &Running) {
    node.node.wakeup(Kind::Engines).notify_one();
}

#[test]
fn list_read_needlessly() {
    local(async {
        let (store, node) = start_box().await;
        let lists = store.lists.get();
        let second = engine(Rc::new(answers)).await;
        store.list("e-2", &second, "plain", None);
        refetch_engines(&node);
        tokio::time::sleep(ANSWER_TIMEOUT).await;
        assert_eq!(node.node.with(|it| it.engine_count()), 2);
        assert_eq!(store.lists.get(), lists, "a list was read again");
    });
}

#[test]
fn forgotten_changes_missed() {
    local(async {
        let (store, node) = start_box().await;
        let lists = store.lists.get();
        store.behaviour.set(StoreBehaviour::HistoryLost);
        let second = engine(Rc::new(answers)).await;
        store.list("e-2", &second, "plain", None);
        refetch_engines(&node);
        tokio::time::sleep(ANSWER_TIMEOUT).await;
        assert_eq!(node.node.with(|it| it.engine_count()), 2);
        assert!(store.lists.get() > lists, "the list was not read again");
        // The box still receives later changes.
        store.behaviour.set(StoreBehaviour::Available);
        tokio::time::sleep(ANSWER_TIMEOUT).await;
        store.remove("servers", "e-1");
        tokio::time::sleep(ANSWER_TIMEOUT).await;
        assert_eq!(node.node.with(|it| it.engine_count()), 1);
    });
}
