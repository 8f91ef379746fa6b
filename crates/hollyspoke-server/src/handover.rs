//! Hands the configuration and the list of engines over to other boxes, and fetches them: one
//! connection each, which carries one snapshot and ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bincode::Options;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::snapshot::Snapshot;
use slog::{info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;

use crate::node::Node;

/// How long a handover may take. A snapshot of 3,000 engines is some 300 kB, a third of a second on
/// the slowest links of the users' sites.
const WITHIN: Duration = Duration::from_secs(2);

/// The most bytes of a snapshot; the store's own objects have at most 1 MB each.
const LONGEST_SNAPSHOT: u64 = 16 << 20;

/// The most handovers at once, so that many boxes that start together leave the link to requests.
const MOST_AT_ONCE: usize = 4;

/// Hands snapshots over to boxes that ask, until the process ends.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(MOST_AT_ONCE));
    loop {
        let Ok((stream, asker)) = listener.accept().await else { continue };
        // One that finds no place asks another box with its next heartbeat.
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        if !node.with(|it| it.knows_box(asker.ip())) {
            warn!(node.log, "snapshot refused to a stranger"; "asker" => %asker);
            continue;
        }
        let node = node.clone();
        tokio::task::spawn_local(async move {
            hand_over(&node, stream).await;
            drop(place);
        });
    }
}

/// Hands a snapshot over.
async fn hand_over(node: &Node, mut stream: TcpStream) {
    let snapshot = node.with(|it| it.snapshot());
    let bytes = match bincode::DefaultOptions::new().serialize(&snapshot) {
        Ok(bytes) => bytes,
        Err(error) => return warn!(node.log, "snapshot not written"; "error" => %error),
    };
    let sending = async {
        stream.write_all(&bytes).await?;
        stream.shutdown().await
    };
    if !matches!(tokio::time::timeout(WITHIN, sending).await, Ok(Ok(()))) {
        info!(node.log, "snapshot not taken whole"; "bytes" => bytes.len());
    }
}

/// Fetches a snapshot from another box and takes it to the reducer. If that fails, the reducer asks
/// another box with its next heartbeat.
pub async fn fetch(node: Rc<Node>, provider: SocketAddr) {
    match tokio::time::timeout(WITHIN, receive(&node, provider)).await {
        Ok(Ok(snapshot)) => {
            info!(node.log, "snapshot fetched"; "from" => %provider);
            node.dispatch(Event::Fetched(Box::new(snapshot)));
        }
        Ok(Err(error)) => {
            info!(node.log, "snapshot not fetched"; "from" => %provider, "error" => %error);
        }
        Err(_) => info!(node.log, "snapshot not fetched in time"; "from" => %provider),
    }
}

/// Reads a snapshot from another box, from the address by which that box knows this one.
async fn receive(node: &Node, provider: SocketAddr) -> eyre::Result<Snapshot> {
    let socket = if provider.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(node.peer_address()?.ip(), 0))?;
    let stream = socket.connect(provider).await?;
    let mut bytes = Vec::new();
    stream.take(LONGEST_SNAPSHOT).read_to_end(&mut bytes).await?;
    Ok(bincode::DefaultOptions::new().deserialize(&bytes)?)
}
