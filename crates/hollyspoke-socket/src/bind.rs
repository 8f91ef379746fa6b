//! Binding the sockets of a box at its start.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// How long a port in use is tried again. The process before may not have ended, or an outgoing
/// connection may hold the port.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between two attempts.
const BIND_INTERVAL: Duration = Duration::from_millis(20);

/// Binds a listener. Port 0 stands for one that the operating system assigns.
///
/// # Errors
///
/// If the port stays in use for [`BIND_TIMEOUT`], or the address can't be bound for another reason.
pub async fn listener(
    address: SocketAddr,
    purpose: &str,
    log: &Logger,
) -> eyre::Result<TcpListener> {
    retry(address, purpose, log, async || TcpListener::bind(address).await).await
}

/// Binds a listener and another socket to the same port.
///
/// The listener comes first: ports of TCP are also taken by connections, those of closed ones
/// included. If the port of an attempt is in use for the other socket, and the operating system
/// assigns ports, the next attempt is given another one.
///
/// # Errors
///
/// If no port is free for both within [`BIND_TIMEOUT`], or the address can't be bound for another
/// reason.
pub async fn pair<T>(
    address: SocketAddr,
    purpose: &str,
    log: &Logger,
    bind_other: impl AsyncFn(SocketAddr) -> io::Result<T>,
) -> eyre::Result<(TcpListener, T)> {
    retry(address, purpose, log, async || {
        let listener = TcpListener::bind(address).await?;
        let other = bind_other(listener.local_addr()?).await?;
        Ok((listener, other))
    })
    .await
}

/// Repeats an attempt to bind while the port is in use.
async fn retry<T>(
    address: SocketAddr,
    purpose: &str,
    log: &Logger,
    bind: impl AsyncFn() -> io::Result<T>,
) -> eyre::Result<T> {
    let started = Instant::now();
    let mut attempts = 1;
    loop {
        let error = match bind().await {
            Ok(bound) if attempts == 1 => return Ok(bound),
            Ok(bound) => {
                info!(log, "port free"; "address" => %address, "attempts" => attempts);
                return Ok(bound);
            }
            Err(error) => error,
        };
        if error.kind() != ErrorKind::AddrInUse || started.elapsed() >= BIND_TIMEOUT {
            return Err(error).wrap_err_with(|| {
                format!("cannot bind {address} for {purpose} in {attempts} attempts")
            });
        }
        if attempts == 1 {
            warn!(log, "port in use"; "address" => %address, "for" => purpose);
        }
        attempts += 1;
        tokio::time::sleep(BIND_INTERVAL).await;
    }
}
