//! Serves a stand-in in the current process, on a free port.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A stand-in that runs in the current process and stops when dropped.
#[derive(Debug)]
pub struct Running {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The task that serves it.
    task: JoinHandle<()>,
}

impl Running {
    /// Serves a router on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// When no port is available.
    pub async fn start(router: Router) -> std::io::Result<Running> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            // The task is aborted with its handle. A socket error ends it early, and callers then
            // see a closed port.
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
