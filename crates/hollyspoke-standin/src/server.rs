//! How a stand-in is served: in this process on a free port, or as a process of its own.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A stand-in that runs in this process; it stops when dropped.
#[derive(Debug)]
pub struct Running {
    /// Its address.
    pub address: SocketAddr,
    /// The task that serves it.
    task: JoinHandle<()>,
}

impl Running {
    /// Serves a router on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub async fn start(router: Router) -> std::io::Result<Running> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            // The task ends with its handle; an error of the socket ends it early, and callers
            // then see a closed port.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Running { address, task })
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}
