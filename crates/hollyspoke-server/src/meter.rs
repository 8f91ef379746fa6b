//! Detects bytes that come without end and without an answer among them: a head, informational
//! answers or a transfer coding that does not end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::flaw::Flaw;

/// The maximum number of bytes without a complete head or a part of a body. It exceeds what the HTTP
/// library reads ahead of a slow reader of the body.
const MAX_BYTES: usize = 1 << 20;

/// The longest time for which such bytes may keep coming.
const MAX_DURATION: Duration = Duration::from_secs(1);

/// The part of a silence that counts towards that time. A server that stands still within a head, and
/// then sends the rest, is no endless one.
const MAX_COUNTED_SILENCE: Duration = Duration::from_millis(250);

/// What has arrived on a connection since the last progress: a request that was sent, a head or a part
/// of a body.
#[derive(Debug, Default)]
pub struct Meter {
    /// The number of bytes.
    bytes: Cell<usize>,
    /// The time for which they have kept coming.
    duration: Cell<Duration>,
    /// When the last of them arrived.
    read_at: Cell<Option<Instant>>,
}

impl Meter {
    /// Records progress.
    pub fn advance(&self) {
        self.bytes.set(0);
        self.duration.set(Duration::ZERO);
        self.read_at.set(None);
    }

    /// Records bytes that have arrived.
    ///
    /// # Errors
    ///
    /// If bytes have come for too long, or too many of them, without progress.
    fn record_read(&self, count: usize) -> Result<(), Flaw> {
        let now = Instant::now();
        let silence = self.read_at.replace(Some(now)).map_or(Duration::ZERO, |it| now - it);
        self.duration.set(self.duration.get() + silence.min(MAX_COUNTED_SILENCE));
        self.bytes.set(self.bytes.get() + count);
        let is_endless = self.bytes.get() > MAX_BYTES || self.duration.get() > MAX_DURATION;
        if is_endless { Err(Flaw::Endless) } else { Ok(()) }
    }
}

/// A connection to a server, which records arriving bytes in a meter.
#[derive(Debug)]
pub struct MeteredStream {
    /// The connection.
    stream: TcpStream,
    /// Its meter.
    meter: Rc<Meter>,
}

impl MeteredStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, meter: Rc<Meter>) -> MeteredStream {
        MeteredStream { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.meter
                .record_read(count)
                .map_err(|flaw| io::Error::new(io::ErrorKind::InvalidData, flaw))?;
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of an answer. Each part of it is progress.
#[derive(Debug)]
pub struct MeteredBody {
    /// The body.
    body: Incoming,
    /// The meter of its connection.
    meter: Rc<Meter>,
}

impl MeteredBody {
    /// Wraps a body whose head has just arrived.
    pub fn new(body: Incoming, meter: Rc<Meter>) -> MeteredBody {
        meter.advance();
        MeteredBody { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Ok(_)))) {
            self.meter.advance();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
