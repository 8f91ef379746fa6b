//! A connection that a test can cut, or leave open with nothing passing.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a link does with what comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It passes it on.
    Pass,
    /// It keeps connections open and passes nothing on: half-open.
    Stall,
    /// It closes connections, and takes no new ones.
    Cut,
}

/// A link to an address, with an address of its own.
#[derive(Debug)]
pub struct Link {
    /// The link's own address.
    pub address: String,
    /// What it does.
    mode: Arc<watch::Sender<Mode>>,
    /// The task that takes connections.
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

    /// Sets what it does, with the connections that are open too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Takes connections.
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

/// Passes bytes on one way, until an end closes or the link is cut.
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
        // What comes while nothing passes waits here, as it would on a dead path.
        let Ok(is_open) = mode.wait_for(|it| *it != Mode::Stall).await.map(|it| *it != Mode::Cut)
        else {
            return;
        };
        if !is_open || to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
