//! A connection that a test can cut, or leave half-open.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How a link forwards bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It forwards bytes.
    Pass,
    /// It keeps connections open and forwards nothing: they are half-open.
    Stall,
    /// It closes connections at once, also new ones.
    Cut,
}

/// A proxy for an address, with an address of its own.
#[derive(Debug)]
pub struct Link {
    /// The link's own address.
    pub address: String,
    /// How it forwards.
    mode: Arc<watch::Sender<Mode>>,
    /// The task that accepts connections.
    task: JoinHandle<()>,
}

impl Link {
    /// Opens a link to an address.
    pub async fn open(to: &str) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let mode = Arc::new(watch::Sender::new(Mode::Pass));
        let task = tokio::spawn(accept(listener, to.to_owned(), mode.clone()));
        Ok(Link { address, mode, task })
    }

    /// Sets how it forwards, also on open connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections and forwards them.
async fn accept(listener: TcpListener, to: String, mode: Arc<watch::Sender<Mode>>) {
    while let Ok((client, _)) = listener.accept().await {
        if *mode.borrow() == Mode::Cut {
            continue;
        }
        let to = to.clone();
        let mode = mode.clone();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(&to).await else { return };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::select! {
                () = forward(client_read, server_write, mode.subscribe()) => {}
                () = forward(server_read, client_write, mode.subscribe()) => {}
            }
        });
    }
}

/// Forwards bytes in one direction, until either end closes or the link is cut.
async fn forward(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut mode: watch::Receiver<Mode>,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut bytes) => read,
            _ = mode.wait_for(|it| *it == Mode::Cut) => return,
        };
        let Ok(count @ 1..) = read else { return };
        // Bytes that arrive while the link is stalled wait here, as on a dead network path.
        let Ok(is_open) = mode.wait_for(|it| *it != Mode::Stall).await.map(|it| *it != Mode::Cut)
        else {
            return;
        };
        if !is_open || to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
