//! Messages between boxes, by `tarpc` over TCP.

use std::time::{Duration, Instant};

use futures::StreamExt;
use hollyspoke::key::Incarnation;
use hollyspoke::member::Entry;
use hollyspoke::message::Message;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{client, context};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// How long a call to another box may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// What boxes call on each other.
#[tarpc::service]
pub trait Peer {
    /// Says who calls and gives the entry of the box called.
    async fn greet(from: Entry) -> Entry;

    /// Delivers messages in their order; false when `to` is not the box called.
    async fn deliver(from: Incarnation, to: Incarnation, messages: Vec<Message>) -> bool;
}

/// A connection to another box.
#[derive(Debug, Clone)]
pub struct Connection {
    /// The client of the connection.
    client: PeerClient,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When it can't be opened in time.
    pub async fn open(address: &str) -> std::io::Result<Connection> {
        let mut connect = tcp::connect(address.to_owned(), Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = tokio::time::timeout(CALL_TIMEOUT, connect).await??;
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        Ok(Connection { client })
    }

    /// Greets the box.
    ///
    /// # Errors
    ///
    /// When no answer comes in time.
    pub async fn greet(&self, from: Entry) -> Result<Entry, client::RpcError> {
        self.client.greet(call_context(), from).await
    }

    /// Delivers messages; false when the box is another incarnation.
    ///
    /// # Errors
    ///
    /// When no answer comes in time; the messages may have arrived.
    pub async fn deliver(
        &self,
        from: Incarnation,
        to: Incarnation,
        messages: Vec<Message>,
    ) -> Result<bool, client::RpcError> {
        self.client.deliver(call_context(), from, to, messages).await
    }
}

/// What other boxes have sent.
#[derive(Debug)]
pub enum Received {
    /// A box has greeted this one.
    Greeting(Entry),
    /// A box has sent messages.
    Messages {
        /// The sender.
        from: Incarnation,
        /// The messages, in order.
        messages: Vec<Message>,
    },
}

/// The receiving end of a box.
#[derive(Debug, Clone)]
pub struct Inbox {
    /// This box's entry as it stands.
    entry: watch::Receiver<Entry>,
    /// Where to put what comes.
    received: mpsc::UnboundedSender<Received>,
}

impl Inbox {
    /// Makes the receiving end of a box whose entry can be watched.
    pub fn new(entry: watch::Receiver<Entry>, received: mpsc::UnboundedSender<Received>) -> Inbox {
        Inbox { entry, received }
    }

    /// Serves the connections that come in on a socket, until the task is dropped.
    ///
    /// # Errors
    ///
    /// When the socket can't be listened on.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        loop {
            let (socket, _) = listener.accept().await?;
            if socket.set_nodelay(true).is_err() {
                // The connection is gone already.
                continue;
            }
            let mut codec = LengthDelimitedCodec::builder();
            let framed = codec.max_frame_length(MAX_FRAME_BYTES).new_framed(socket);
            let transport = tarpc::serde_transport::new(framed, Bincode::default());
            let channel = BaseChannel::with_defaults(transport);
            let requests = channel.execute(self.clone().serve_calls());
            // The calls of one connection are worked out in turn, which keeps the order of
            // messages.
            tokio::spawn(requests.for_each(|answer| answer));
        }
    }

    /// Gives the calls' server; `serve` would also name the method above.
    fn serve_calls(self) -> ServePeer<Inbox> {
        Peer::serve(self)
    }
}

impl Peer for Inbox {
    async fn greet(self, _: context::Context, from: Entry) -> Entry {
        // A closed channel means that this box is stopping, when nobody needs the greeting.
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

/// Makes a call's context with its time limit.
fn call_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
