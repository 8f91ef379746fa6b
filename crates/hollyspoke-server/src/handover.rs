//! Hands the configuration and the list of engines over to other boxes, and fetches them: one
//! connection each, which carries one snapshot and ends.

pub mod format;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::snapshot::{Listing, Snapshot};
use slog::{info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;

use crate::node::Node;

/// How long a handover may take. A snapshot of 3,000 engines is some 300 kB, a third of a second on
/// the slowest links of the users' sites.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the question may take, which comes with the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The most bytes of a snapshot; the store's own objects have at most 1 MB each.
const MAX_SNAPSHOT_BYTES: u64 = 16 << 20;

/// The most handovers at once, so that many boxes that start together leave the link to requests.
const MAX_HANDOVER_COUNT: usize = 4;

/// Hands snapshots over to boxes that ask, until the process ends.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_HANDOVER_COUNT));
    loop {
        let Ok((stream, peer)) = listener.accept().await else { continue };
        // One that finds no place asks another box with its next heartbeat.
        let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
        if !node.with(|it| it.knows_box(peer.ip())) {
            warn!(node.log, "snapshot refused to a stranger"; "asker" => %peer);
            continue;
        }
        let node = node.clone();
        tokio::task::spawn_local(async move {
            send_snapshot(&node, stream).await;
            drop(slot);
        });
    }
}

/// Hands over what a box lacks that asks.
async fn send_snapshot(node: &Node, mut stream: TcpStream) {
    let received = match tokio::time::timeout(REQUEST_TIMEOUT, read_request(&mut stream)).await {
        Ok(Ok(received)) => received,
        Ok(Err(error)) => return info!(node.log, "question not read"; "error" => %error),
        Err(_) => return info!(node.log, "no question in time"),
    };
    let snapshot = node.with(|it| it.snapshot(received.request));
    let bytes = match format::write_snapshot(&snapshot, received.format) {
        Ok(bytes) => bytes,
        Err(error) => return warn!(node.log, "snapshot not written"; "error" => %error),
    };
    let sending = async {
        stream.write_all(&bytes).await?;
        stream.shutdown().await
    };
    if !matches!(tokio::time::timeout(HANDOVER_TIMEOUT, sending).await, Ok(Ok(()))) {
        info!(node.log, "snapshot not taken whole"; "bytes" => bytes.len());
    }
}

/// Reads what the asking box knows.
async fn read_request(stream: &mut TcpStream) -> eyre::Result<format::ReceivedSnapshotRequest> {
    let length = usize::from(stream.read_u16().await?);
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    format::read_request(&bytes)
}

/// Tells another box what this one knows.
async fn send_request(
    node: &Node,
    provider: SocketAddr,
    stream: &mut TcpStream,
) -> eyre::Result<()> {
    let (request, format_of_peer) = node.with(|it| (it.snapshot_request(), it.format(provider)));
    let bytes = format::write_request(&request, format_of_peer)?;
    stream.write_u16(u16::try_from(bytes.len())?).await?;
    stream.write_all(&bytes).await?;
    Ok(())
}

/// Fetches a snapshot from another box and takes it to the reducer. If that fails, the reducer asks
/// another box with its next heartbeat.
pub async fn fetch(node: Rc<Node>, provider: SocketAddr) {
    match tokio::time::timeout(HANDOVER_TIMEOUT, receive_snapshot(&node, provider)).await {
        Ok(Ok(snapshot)) => {
            let engines = engine_count(&snapshot);
            info!(node.log, "snapshot fetched"; "from" => %provider, "engines" => engines);
            node.dispatch(Event::SnapshotReceived(provider, Box::new(snapshot)));
        }
        Ok(Err(error)) => {
            info!(node.log, "snapshot not fetched"; "from" => %provider, "error" => %error);
        }
        Err(_) => info!(node.log, "snapshot not fetched in time"; "from" => %provider),
    }
}

/// Gives the number of engines, or of their changes, that a snapshot holds.
fn engine_count(snapshot: &Snapshot) -> usize {
    match &snapshot.listing {
        Some(Listing::Whole { engines, .. }) => engines.len(),
        Some(Listing::Changes { changes, .. }) => changes.len(),
        None => 0,
    }
}

/// Reads a snapshot from another box, from the address by which that box knows this one.
async fn receive_snapshot(node: &Node, provider: SocketAddr) -> eyre::Result<Snapshot> {
    let socket = if provider.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(node.peer_address()?.ip(), 0))?;
    let mut stream = socket.connect(provider).await?;
    send_request(node, provider, &mut stream).await?;
    let mut bytes = Vec::new();
    stream.take(MAX_SNAPSHOT_BYTES).read_to_end(&mut bytes).await?;
    format::read_snapshot(&bytes)
}
