//! Accepting connections.

use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::shortage::Shortage;

/// The delay after an error that the next attempt would meet as well, such as too many open files.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts the connections of one listener.
#[derive(Debug)]
pub struct Acceptor {
    /// The listener.
    listener: TcpListener,
    /// The log.
    log: Logger,
    /// The number of connections that could not be accepted.
    failures: u64,
}

impl Acceptor {
    /// Creates an acceptor.
    pub fn new(listener: TcpListener, log: Logger) -> Acceptor {
        Acceptor { listener, log, failures: 0 }
    }

    /// Waits for the next connection. Errors are logged: the first, the second, the fourth and so
    /// on.
    pub async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            let error = match self.listener.accept().await {
                Ok(accepted) => return accepted,
                Err(error) => error,
            };
            self.failures += 1;
            if self.failures.is_power_of_two() {
                warn!(self.log, "connection not accepted";
                    "error" => %error, "failures" => self.failures);
            }
            if Shortage::of(&error).is_some() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
