//! Messages between boxes, sent by `tarpc` over TCP.

use std::time::{Duration, Instant};

use futures::StreamExt;
use hollyspoke::key::Incarnation;
use hollyspoke::member::Entry;
use hollyspoke::message::Message;
use hollyspoke_socket::accept::Acceptor;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{client, context};
use tokio::sync::{mpsc, watch};

/// The timeout of a call to another box.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The calls that boxes make to each other.
#[tarpc::service]
pub trait Peer {
    /// Sends the caller's entry and returns the entry of the called box.
    async fn greet(from: Entry) -> Entry;

    /// Delivers messages in order; returns false if the called box is not the incarnation `to`.
    async fn deliver(from: Incarnation, to: Incarnation, messages: Vec<Message>) -> bool;
}

/// A connection to another box.
#[derive(Debug, Clone)]
pub struct Connection {
    /// The `tarpc` client of the connection.
    client: PeerClient,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If it can't be opened in time.
    pub async fn open(address: &str) -> std::io::Result<Connection> {
        let mut connect = tcp::connect(address.to_owned(), Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = tokio::time::timeout(CALL_TIMEOUT, connect).await??;
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        Ok(Connection { client })
    }

    /// Exchanges entries with the other box.
    ///
    /// # Errors
    ///
    /// If no response arrives in time.
    pub async fn greet(&self, from: Entry) -> Result<Entry, client::RpcError> {
        self.client.greet(call_context(), from).await
    }

    /// Delivers messages; returns false if the other box is not the incarnation `to`.
    ///
    /// # Errors
    ///
    /// If no response arrives in time; the messages may have been delivered.
    pub async fn deliver(
        &self,
        from: Incarnation,
        to: Incarnation,
        messages: Vec<Message>,
    ) -> Result<bool, client::RpcError> {
        self.client.deliver(call_context(), from, to, messages).await
    }
}

/// A message or greeting from another box.
#[derive(Debug)]
pub enum Received {
    /// Another box has greeted this one.
    Greeting(Entry),
    /// Another box has sent messages.
    Messages {
        /// The incarnation that sent them.
        from: Incarnation,
        /// The messages, in order.
        messages: Vec<Message>,
    },
}

/// The server for calls from other boxes.
#[derive(Debug, Clone)]
pub struct Inbox {
    /// The current entry of this box.
    entry: watch::Receiver<Entry>,
    /// The channel to which received messages are sent.
    received: mpsc::UnboundedSender<Received>,
}

impl Inbox {
    /// Creates the server of a box whose entry can be watched.
    pub fn new(entry: watch::Receiver<Entry>, received: mpsc::UnboundedSender<Received>) -> Inbox {
        Inbox { entry, received }
    }

    /// Serves incoming connections until the task is dropped.
    pub async fn serve(self, mut acceptor: Acceptor) {
        loop {
            let (socket, _) = acceptor.accept(|_| false).await;
            if socket.set_nodelay(true).is_err() {
                // The connection was closed already.
                continue;
            }
            let mut codec = LengthDelimitedCodec::builder();
            let framed = codec.max_frame_length(MAX_FRAME_BYTES).new_framed(socket);
            let transport = tarpc::serde_transport::new(framed, Bincode::default());
            let channel = BaseChannel::with_defaults(transport);
            let requests = channel.execute(self.clone().serve_calls());
            // The calls of a connection are handled one after another, which keeps the order of
            // messages.
            tokio::spawn(requests.for_each(|answer| answer));
        }
    }

    /// Returns the `tarpc` server. The name `serve` would conflict with the method above.
    fn serve_calls(self) -> ServePeer<Inbox> {
        Peer::serve(self)
    }
}

impl Peer for Inbox {
    async fn greet(self, _: context::Context, from: Entry) -> Entry {
        // A closed channel means that this box is stopping; the greeting is of no use then.
        let _ = self.received.send(Received::Greeting(from));
        self.entry.borrow().clone()
    }

    async fn deliver(
        self,
        _: context::Context,
        from: Incarnation,
        to: Incarnation,
        messages: Vec<Message>,
    ) -> bool {
        let is_addressee = self.entry.borrow().incarnation == to;
        is_addressee && self.received.send(Received::Messages { from, messages }).is_ok()
    }
}

/// Creates the context of a call with its deadline.
fn call_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
