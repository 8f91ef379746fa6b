//! A box that can't reach the store gets the state from another box that can; other senders get nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_platform::DIALECT;
use hollyspoke_server::run::{self, Running};
use hollyspoke_tests::platform::{
    Action, Script, StoreBehaviour, ask, client_head, engine, local, log, settings, status, store,
    whole,
};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Starts a box at a loopback address with the given store.
async fn start(ip: [u8; 4], store: SocketAddr, port: u16, seeds: Vec<SocketAddr>) -> Running {
    let mut settings = settings(store, seeds);
    settings.peer = SocketAddr::from((ip, port));
    run::start(&settings, DIALECT, log()).await.expect("the ports are free")
}

/// Returns a port for other boxes that is likely free.
fn port() -> u16 {
    20_000 + (std::process::id() % 20_000) as u16
}

#[test]
fn unreachable_store_stops_box() {
    local(async {
        let good = store().await;
        let script: Script = Rc::new(|it| vec![Action::Send(whole(it, "x"))]);
        let engine = engine(script).await;
        good.configure(1);
        good.list("e-1", &engine, "plain", None);
        let nowhere = SocketAddr::from(([127, 0, 0, 9], 9));
        let first = start([127, 0, 0, 2], good.address, port(), Vec::new()).await;
        let seeds = vec![SocketAddr::from(([127, 0, 0, 2], port()))];
        let second = start([127, 0, 0, 3], nowhere, port(), seeds).await;
        let ready = async {
            while !second.node.with(|it| it.is_ready()) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(5), ready)
            .await
            .expect("the other box sends it the state");
        let answer = ask(second.front, &client_head("POST", "/safe/x", "id-1", "")).await;
        assert_eq!(status(&answer), "200");
        // A newer version arrives the same way.
        good.configure(7);
        let newer = async {
            while second.node.with(|it| it.version()) != Some(7) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(3), newer)
            .await
            .expect("the newer version arrives in time");
        drop(first);
    });
}

/// A box that has the list from another box reads only the changes since then from the store.
#[test]
fn snapshot_read_again() {
    local(async {
        let (good, late) = (store().await, store().await);
        let script: Script = Rc::new(|it| vec![Action::Send(whole(it, "x"))]);
        let engine = engine(script).await;
        for store in [&good, &late] {
            store.configure(1);
            store.list("e-1", &engine, "plain", None);
        }
        late.behaviour.set(StoreBehaviour::Unavailable);
        let port = port() + 2;
        let first = start([127, 0, 0, 5], good.address, port, Vec::new()).await;
        let seeds = vec![SocketAddr::from(([127, 0, 0, 5], port))];
        let second = start([127, 0, 0, 6], late.address, port, seeds).await;
        let knows = async |count: usize| {
            while second.node.with(|it| it.engine_count()) != count {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(5), knows(1)).await.expect("the list is sent");
        drop(first);
        late.behaviour.set(StoreBehaviour::Available);
        late.list("e-2", &engine, "plain", None);
        tokio::time::timeout(Duration::from_secs(5), knows(2)).await.expect("the change is read");
        assert_eq!(late.lists.get(), 0, "the list was read");
    });
}

/// A connection from a sender that is not a box gets no data.
#[test]
fn stranger_gets_state() {
    local(async {
        let good = store().await;
        good.configure(1);
        let port = port() + 1;
        let node = start([127, 0, 0, 4], good.address, port, Vec::new()).await;
        while !node.node.with(|it| it.version().is_some()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut stream = TcpStream::connect((std::net::Ipv4Addr::new(127, 0, 0, 4), port))
            .await
            .expect("it listens");
        let mut bytes = Vec::new();
        let read = stream.read_to_end(&mut bytes).await;
        assert!(read.is_err() || bytes.is_empty());
    });
}
