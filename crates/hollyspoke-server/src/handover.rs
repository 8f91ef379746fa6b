//! Snapshots of the configuration and of the list of engines: serves them to other boxes and
//! fetches them. Each connection carries one snapshot and is closed after it.

pub mod format;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eyre::ensure;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::snapshot::{Listing, Snapshot};
use hollyspoke_socket::accept::Acceptor;
use slog::{info, o, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::http1::connect_from;
use crate::node::Node;

/// The timeout for each part of a handover. There is none for the whole: a snapshot of 10,000
/// engines is about 1 MB, of which the slowest expected link carries four in 1.6 s, and of 20,000
/// engines in twice that.
const PART_TIMEOUT: Duration = Duration::from_secs(2);

/// The size of the part of a snapshot that is sent within [`PART_TIMEOUT`].
const PART_BYTES: usize = 64 << 10;

/// The timeout for the request, which is sent as soon as the connection is open.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The size limit of a snapshot. Each of the store's own objects is limited to 1 MB.
const MAX_SNAPSHOT_BYTES: u64 = 16 << 20;

/// The maximum number of concurrent handovers. The limit leaves bandwidth for requests when many
/// boxes start at once.
const MAX_HANDOVER_COUNT: usize = 4;

/// Serves snapshots to boxes that request them, until the process ends.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_HANDOVER_COUNT));
    let mut acceptor = Acceptor::new(listener, node.log.clone());
    loop {
        let (stream, peer) = acceptor.accept(|_| node.free_descriptor()).await;
        // A box that finds no free slot soon asks another box.
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

/// Sends what the requesting box lacks.
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
    if let Err(error) = send_parts(&mut stream, &bytes).await {
        info!(node.log, "snapshot not taken whole"; "bytes" => bytes.len(), "error" => %error);
    }
}

/// Sends a snapshot in parts, each within [`PART_TIMEOUT`].
async fn send_parts(stream: &mut TcpStream, bytes: &[u8]) -> eyre::Result<()> {
    for part in bytes.chunks(PART_BYTES) {
        tokio::time::timeout(PART_TIMEOUT, stream.write_all(part)).await??;
    }
    Ok(stream.shutdown().await?)
}

/// Reads a request, which says what the requesting box knows.
async fn read_request(stream: &mut TcpStream) -> eyre::Result<format::ReceivedSnapshotRequest> {
    let length = usize::from(stream.read_u16().await?);
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    format::read_request(&bytes)
}

/// Sends a request, which says what this box knows.
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

/// Fetches a snapshot from another box and dispatches the outcome to the reducer.
pub async fn fetch(node: Rc<Node>, provider: SocketAddr) {
    let started = Instant::now();
    let fetched = receive_snapshot(&node, provider).await;
    let after = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let log = node.log.new(o!("from" => provider.to_string(), "after_ms" => after));
    match fetched {
        Ok(snapshot) => {
            let is_whole = matches!(snapshot.listing, Some(Listing::Whole { .. }));
            info!(log, "snapshot fetched";
                "engines" => engine_count(&snapshot), "whole" => is_whole);
            node.dispatch(Event::SnapshotReceived(provider, Box::new(snapshot)));
        }
        Err(error) => {
            info!(log, "snapshot not fetched"; "error" => %error);
            node.dispatch(Event::SnapshotFailed);
        }
    }
}

/// Returns the number of engines, or of engine changes, in a snapshot.
fn engine_count(snapshot: &Snapshot) -> usize {
    match &snapshot.listing {
        Some(Listing::Whole { engines, .. }) => engines.len(),
        Some(Listing::Changes { changes, .. }) => changes.len(),
        None => 0,
    }
}

/// Requests a snapshot from another box, from the address by which that box knows this one.
async fn receive_snapshot(node: &Node, provider: SocketAddr) -> eyre::Result<Snapshot> {
    let connected = connect_from(node.peer_address()?.ip(), provider);
    let mut stream = tokio::time::timeout(PART_TIMEOUT, connected).await??;
    send_request(node, provider, &mut stream).await?;
    let mut stream = stream.take(MAX_SNAPSHOT_BYTES);
    let mut bytes = Vec::new();
    while tokio::time::timeout(PART_TIMEOUT, stream.read_buf(&mut bytes)).await?? > 0 {}
    ensure!(!bytes.is_empty(), "the box has no free slot");
    format::read_snapshot(&bytes)
}
