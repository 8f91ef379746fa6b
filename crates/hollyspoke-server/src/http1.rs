//! Connections to servers over HTTP/1.1, and what is common to the heads of all answers.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hollyspoke_gateway::framing::Framing;
use hollyspoke_socket::shortage::Shortage;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use crate::answer_memory::Buffer;
use crate::flaw::Flaw;
use crate::guarded::{GuardedBody, GuardedStream, Incomings};
use crate::memory::{Exhausted, Memory};

/// The size limit of an answer that is buffered whole.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The size limit of a connection's read buffer, and so of the head of an answer.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// The media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Hop-by-hop headers, which concern a single connection only.
const HOP_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TRANSFER_ENCODING,
    http::header::TE,
    http::header::TRAILER,
    http::header::UPGRADE,
    http::header::PROXY_AUTHORIZATION,
];

/// The hop-by-hop header that announces a connection's idle timeout.
const KEEP_ALIVE: &str = "keep-alive";

/// The reason why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    Unsent,
    /// No byte of the request was sent, since this box lacks a resource for the connection.
    Exhausted(Shortage),
    /// The request was sent, and this box has no memory for the answer.
    NoMemory,
    /// The request was sent, or may have been.
    Broken,
    /// The request was sent, and the bytes that came back are no part of an answer to it.
    Garbled(Flaw),
}

impl From<Flaw> for Failure {
    fn from(flaw: Flaw) -> Failure {
        Failure::Garbled(flaw)
    }
}

impl From<Exhausted> for Failure {
    fn from(_: Exhausted) -> Failure {
        Failure::NoMemory
    }
}

impl From<hyper::Error> for Failure {
    /// Tells bytes that break the protocol from a connection that breaks.
    fn from(error: hyper::Error) -> Failure {
        if error.is_parse() {
            return Failure::Garbled(Flaw::Head);
        }
        let source =
            std::error::Error::source(&error).and_then(|it| it.downcast_ref::<io::Error>());
        let flaw = source.and_then(io::Error::get_ref).and_then(|it| it.downcast_ref::<Flaw>());
        if let Some(flaw) = flaw {
            return Failure::Garbled(*flaw);
        }
        match source.map(io::Error::kind) {
            Some(ErrorKind::InvalidInput | ErrorKind::InvalidData) => {
                Failure::Garbled(Flaw::Coding)
            }
            _ => Failure::Broken,
        }
    }
}

/// Returns whether an answer carries events.
pub fn is_event_stream(head: &response::Parts) -> bool {
    let media_type = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    let media_type = media_type.and_then(|it| it.get(..EVENT_STREAM.len()));
    let is_events = media_type.is_some_and(|it| it.eq_ignore_ascii_case(EVENT_STREAM.as_bytes()));
    head.status == StatusCode::OK && is_events
}

/// Removes hop-by-hop headers, and those that the `connection` header names.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named_headers: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_owned())
        .collect();
    for name in named_headers {
        headers.remove(name.as_str());
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

/// Returns the framing of an answer that [`Connection::send`] returned.
pub fn framing(head: &response::Parts) -> Framing {
    head.extensions.get().copied().unwrap_or(Framing::Close)
}

/// A connection that is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests to the connection's task.
    sender: SendRequest<Full<Bytes>>,
    /// The task that reads from and writes to the socket.
    task: AbortHandle,
    /// What arrives.
    incomings: Rc<Incomings>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] if the connection does not open within the timeout, and
    /// [`Failure::Exhausted`] if this box is the reason.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection, Failure> {
        Connection::start(within(timeout, TcpStream::connect(address)).await?).await
    }

    /// Opens a connection to another box, from the address by which that box knows this one.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn open_from(
        ip: IpAddr,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, Failure> {
        Connection::start(within(timeout, connect_from(ip, address)).await?).await
    }

    /// Starts the HTTP client on an open connection.
    async fn start(stream: TcpStream) -> Result<Connection, Failure> {
        // If this fails, small requests are delayed but the connection still works.
        _ = stream.set_nodelay(true);
        let stream = GuardedStream::new(stream);
        let incomings = stream.incomings();
        let builder = http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).clone();
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Failure::Unsent)?;
        let task = tokio::task::spawn_local(async move {
            // `send` and the body of the answer return the error.
            _ = connection.await;
        });
        Ok(Connection { sender, task: task.abort_handle(), incomings })
    }

    /// Sends a request and waits for the head of the answer. The head has no field that frames the
    /// body: whoever passes the answer on frames it anew. [`framing`] tells how it was framed.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] only if nothing was sent.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<GuardedBody>, Failure> {
        let is_head_request = request.method() == Method::HEAD;
        self.incomings.expect_answer(is_head_request);
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(_) => Failure::Unsent,
                    None => Failure::from(error.into_error()),
                });
            }
        };
        let (mut head, body) = response.into_parts();
        head.extensions.insert(self.incomings.framing());
        // Without a body, the length is that of another answer and frames nothing.
        if !is_head_request && head.status != StatusCode::NOT_MODIFIED {
            head.headers.remove(CONTENT_LENGTH);
        }
        let body = GuardedBody::new(body, self.incomings.clone());
        Ok(http::Response::from_parts(head, body))
    }
}

/// Waits for a connection to open.
async fn within(
    timeout: Duration,
    connecting: impl Future<Output = std::io::Result<TcpStream>>,
) -> Result<TcpStream, Failure> {
    let connected = tokio::time::timeout(timeout, connecting).await.map_err(|_| Failure::Unsent)?;
    connected.map_err(|error| Shortage::of(&error).map_or(Failure::Unsent, Failure::Exhausted))
}

/// Connects a socket that is bound to an IP address.
pub async fn connect_from(ip: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(ip, 0))?;
    socket.connect(address).await
}

/// Reads a whole body. While it waits for memory, the rest of it stays unread; `on_wait` is called
/// before that.
///
/// # Errors
///
/// If it exceeds `max_bytes`, finds no memory, breaks its coding, is longer than its framing tells or
/// the connection breaks.
pub async fn read_whole(
    mut body: GuardedBody,
    max_bytes: usize,
    memory: &Memory,
    on_wait: impl Fn(),
) -> Result<Bytes, Failure> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(Failure::Garbled(Flaw::TooLarge));
    }
    // The parts are copied, since a small one may keep a large buffer alive.
    let mut buffer = Buffer::new(memory);
    buffer.reserve(announced as usize, &on_wait).await?;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(Failure::Garbled(Flaw::TooLarge));
        }
        buffer.push(&data, &on_wait).await?;
    }
    body.finish().await?;
    Ok(buffer.freeze())
}

/// Reads a whole body of which each part must arrive within `part_timeout`; the whole may take any
/// time. `received` holds the number of bytes that have arrived, also if the read fails. Returns
/// `None` if the body exceeds `max_bytes`, is longer than its framing tells, stalls, or the connection
/// breaks.
pub async fn read_steady(
    mut body: GuardedBody,
    max_bytes: usize,
    part_timeout: Duration,
    received: &Cell<usize>,
) -> Option<Bytes> {
    let mut limited = Limited::new(&mut body, max_bytes);
    let mut bytes = BytesMut::new();
    while let Some(frame) = tokio::time::timeout(part_timeout, limited.frame()).await.ok()? {
        if let Ok(data) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
            received.set(bytes.len());
        }
    }
    body.finish().await.ok()?;
    Some(bytes.freeze())
}
