//! What a box reads from the store when it is behind: the changes since what it knows, and the whole
//! list only if the store has forgotten them.
//!
//! A box that had missed one datagram read the list from its first page on: with 10,000 engines 20
//! pages, for each of 985 boxes.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_gateway::event::Kind;
use hollyspoke_server::run::Running;
use hollyspoke_tests::platform::{
    Action, Received, Store, StoreBehaviour, engine, local, node, store, whole,
};

/// The time in which a box that asks the store is answered.
const SOON: Duration = Duration::from_millis(400);

/// Answers every request.
fn answers(to: &Received) -> Vec<Action> {
    vec![Action::Send(whole(to, "x"))]
}

/// Starts a box before one engine, long enough for it to follow the store.
async fn world() -> (Store, Running) {
    let store = store().await;
    let first = engine(Rc::new(answers)).await;
    store.configure(1);
    store.list("e-1", &first, "plain", None);
    let node = node(&store).await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    (store, node)
}

/// Has a box read the engines once more.
fn read_again(node: &Running) {
    node.node.wakeup(Kind::Engines).notify_one();
}

#[test]
fn changes_alone() {
    local(async {
        let (store, node) = world().await;
        let lists = store.lists.get();
        let second = engine(Rc::new(answers)).await;
        store.list("e-2", &second, "plain", None);
        read_again(&node);
        tokio::time::sleep(SOON).await;
        assert_eq!(node.node.with(|it| it.engine_count()), 2);
        assert_eq!(store.lists.get(), lists, "no list was read again");
    });
}

#[test]
fn the_list_where_changes_are_forgotten() {
    local(async {
        let (store, node) = world().await;
        let lists = store.lists.get();
        store.behaviour.set(StoreBehaviour::HistoryLost);
        let second = engine(Rc::new(answers)).await;
        store.list("e-2", &second, "plain", None);
        read_again(&node);
        tokio::time::sleep(SOON).await;
        assert_eq!(node.node.with(|it| it.engine_count()), 2);
        assert!(store.lists.get() > lists, "the list was read again");
        // What comes after is followed as before.
        store.behaviour.set(StoreBehaviour::Available);
        tokio::time::sleep(SOON).await;
        store.remove("servers", "e-1");
        tokio::time::sleep(SOON).await;
        assert_eq!(node.node.with(|it| it.engine_count()), 1);
    });
}
