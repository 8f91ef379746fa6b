//! Datagrams between boxes.

use std::cell::Cell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;

use hollyspoke_gateway::message::{Format, Message};
use hollyspoke_gateway::origin::Notice;
use slog::{Logger, warn};
use tokio::net::UdpSocket;

use crate::datagram;
use crate::notice;

/// The maximum size of a datagram in bytes, as UDP allows over IPv4. The accounts of 520 customers,
/// the design limit, take 10 KB.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// A datagram of any kind.
#[derive(Debug, Clone, PartialEq)]
pub enum Datagram {
    /// A heartbeat or an announcement.
    Message(Box<Message>),
    /// A notice of streams' versions.
    Notice(Notice),
}

/// The UDP socket for messages between boxes.
#[derive(Debug, Clone)]
pub struct Peers {
    /// The socket.
    socket: Rc<UdpSocket>,
    /// The log.
    log: Logger,
    /// The number of datagrams that could not be sent or read.
    failures: Rc<Cell<u64>>,
}

impl Peers {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(address: SocketAddr, log: Logger) -> std::io::Result<Peers> {
        let socket = Rc::new(UdpSocket::bind(address).await?);
        // `try_send_to` sends nothing until the runtime knows that the socket is writable.
        socket.writable().await?;
        Ok(Peers { socket, log, failures: Rc::default() })
    }

    /// Returns the address of the socket.
    ///
    /// # Errors
    ///
    /// If the system does not report the address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram to boxes that can read a format. A datagram that can't be sent immediately is
    /// dropped, like one lost in the network.
    pub fn send(&self, nodes: &[SocketAddr], message: &Message, format: Format) {
        if nodes.is_empty() {
            return;
        }
        let bytes = match datagram::write(message, format) {
            Ok(bytes) => bytes,
            Err(error) => return self.log_failure("datagram not written", &error),
        };
        self.send_bytes(nodes, &bytes);
    }

    /// Sends a notice of streams' versions to boxes that can read it.
    pub fn notify(&self, nodes: &[SocketAddr], notice: &Notice) {
        match notice::write(notice) {
            Ok(bytes) => self.send_bytes(nodes, &bytes),
            Err(error) => self.log_failure("notice not written", &error),
        }
    }

    /// Sends the bytes of a datagram to boxes.
    fn send_bytes(&self, nodes: &[SocketAddr], bytes: &[u8]) {
        for &node in nodes {
            if let Err(error) = self.socket.try_send_to(bytes, node) {
                self.log_failure("datagram not sent", &error);
            }
        }
    }

    /// Logs the loss of a datagram: the first, the second, the fourth and so on, since every
    /// datagram fails on a box that is cut off from the network.
    fn log_failure(&self, description: &str, error: &dyn Display) {
        let count = self.failures.get() + 1;
        self.failures.set(count);
        if count.is_power_of_two() {
            warn!(self.log, "{}", description; "error" => %error, "failures" => count);
        }
    }

    /// Calls a function with each received datagram until the process ends.
    pub async fn listen(self, on_datagram: impl Fn(Datagram)) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let length = match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => length,
                Err(error) => {
                    self.log_failure("no datagram received", &error);
                    continue;
                }
            };
            match read(&buffer[..length]) {
                Ok(datagram) => on_datagram(datagram),
                Err(error) => self.log_failure("datagram not read", &error),
            }
        }
    }
}

/// Decodes a datagram.
fn read(bytes: &[u8]) -> eyre::Result<Datagram> {
    if let Some(notice) = notice::read(bytes)? {
        return Ok(Datagram::Notice(notice));
    }
    Ok(Datagram::Message(Box::new(datagram::read(bytes)?)))
}
