//! Datagrams between boxes. Numbers are written in as few bytes as they need: most are small, and
//! bytes between data centres are dear.

use std::net::SocketAddr;
use std::rc::Rc;

use bincode::Options;
use hollyspoke_gateway::message::Message;
use tokio::net::UdpSocket;

/// The most bytes of a datagram.
const LONGEST_DATAGRAM: usize = 8192;

/// Gives how messages are written.
fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}

/// The socket between boxes.
#[derive(Debug, Clone)]
pub struct Peers {
    /// The socket.
    socket: Rc<UdpSocket>,
}

impl Peers {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Peers> {
        Ok(Peers { socket: Rc::new(UdpSocket::bind(address).await?) })
    }

    /// Gives where the socket is bound.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram to boxes. One that can't be sent at once is lost, as on the way.
    pub fn tell(&self, nodes: &[SocketAddr], message: &Message) {
        let Ok(bytes) = codec().serialize(message) else { return };
        for &node in nodes {
            _ = self.socket.try_send_to(&bytes, node);
        }
    }

    /// Takes datagrams to a function, until the process ends.
    pub async fn listen(self, hear: impl Fn(Message)) {
        let mut buffer = vec![0; LONGEST_DATAGRAM];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else { continue };
            if let Ok(message) = codec().deserialize(&buffer[..length]) {
                hear(message);
            }
        }
    }
}
