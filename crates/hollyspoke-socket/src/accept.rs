//! Accepting connections.

use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::shortage::Shortage;

/// The delay after an error that the next attempt would meet as well, such as too many open files.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The delay after a resource was freed, in which its former user drops it.
const FREED_DELAY: Duration = Duration::from_millis(5);

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
    /// on. `on_shortage` is called before an attempt is repeated that failed for lack of a resource, and
    /// returns whether it has freed some.
    pub async fn accept(
        &mut self,
        on_shortage: impl Fn(Shortage) -> bool,
    ) -> (TcpStream, SocketAddr) {
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
            if let Some(shortage) = Shortage::of(&error) {
                let delay = if on_shortage(shortage) { FREED_DELAY } else { RETRY_DELAY };
                tokio::time::sleep(delay).await;
            }
        }
    }
}
