//! Connections to servers whose bytes are checked before the HTTP library sees them.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hollyspoke_gateway::framing::Framing;
use hollyspoke_http::framing::Framing as Wire;
use hollyspoke_http::guard::Guard;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::flaw::Flaw;
use crate::meter::Meter;

/// How many bytes behind an answer are read at once.
const SURPLUS_BYTES: usize = 64;

/// What arrives on a connection.
#[derive(Debug)]
pub struct Incomings {
    /// The receiving half of the connection.
    half: RefCell<OwnedReadHalf>,
    /// Checks the answer to the last request.
    guard: RefCell<Guard>,
    /// Meters what arrives.
    meter: Meter,
    /// Whether the connection has closed.
    has_ended: Cell<bool>,
}

impl Incomings {
    /// Expects the answer to a request, which may be a HEAD request.
    pub fn expect_answer(&self, is_head_request: bool) {
        self.meter.advance();
        self.guard.replace(Guard::new(is_head_request));
    }

    /// Returns what marks the end of the answer whose head has arrived.
    pub fn framing(&self) -> Framing {
        match self.guard.borrow().framing() {
            Some(Wire::Length(_) | Wire::Chunks) => Framing::Marked,
            Some(Wire::Close) | None => Framing::Close,
        }
    }

    /// Checks bytes that have arrived, and returns how many of them are part of the answer.
    fn check(&self, bytes: &[u8]) -> Result<usize, Flaw> {
        if bytes.is_empty() {
            self.has_ended.set(true);
            self.guard.borrow().end()?;
            return Ok(0);
        }
        self.meter.record_read(bytes.len())?;
        Ok(self.guard.borrow_mut().read(bytes)?)
    }

    /// Checks what has arrived behind a whole answer.
    fn finish(&self) -> Result<(), Flaw> {
        let mut bytes = [0; SURPLUS_BYTES];
        while !self.has_ended.get() && self.guard.borrow().check_surplus().is_ok() {
            // An error of the connection is no byte of the answer, which is whole already.
            let Ok(count) = self.half.borrow().try_read(&mut bytes) else { break };
            self.check(&bytes[..count])?;
        }
        Ok(self.guard.borrow().check_surplus()?)
    }
}

/// A connection to a server, of which the HTTP library reads the checked bytes.
#[derive(Debug)]
pub struct GuardedStream {
    /// What arrives.
    incomings: Rc<Incomings>,
    /// The sending half of the connection.
    half: OwnedWriteHalf,
}

impl GuardedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> GuardedStream {
        let (read_half, half) = stream.into_split();
        let incomings = Incomings {
            half: RefCell::new(read_half),
            guard: RefCell::new(Guard::new(false)),
            meter: Meter::default(),
            has_ended: Cell::new(false),
        };
        GuardedStream { incomings: Rc::new(incomings), half }
    }

    /// Returns what arrives on the connection.
    pub fn incomings(&self) -> Rc<Incomings> {
        self.incomings.clone()
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut *self.incomings.half.borrow_mut()).poll_read(context, buffer))?;
        let checked = self.incomings.check(&buffer.filled()[before..]);
        let count = checked.map_err(|flaw| io::Error::new(io::ErrorKind::InvalidData, flaw))?;
        buffer.set_filled(before + count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.half).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.half).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.half.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.half).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.half).poll_shutdown(context)
    }
}

/// The body of an answer. Each part of it is progress.
#[derive(Debug)]
pub struct GuardedBody {
    /// The body.
    body: Incoming,
    /// What arrives on its connection.
    incomings: Rc<Incomings>,
    /// Whether the runtime first learns what the socket has received behind the body.
    settles: bool,
}

impl GuardedBody {
    /// Wraps a body whose head has just arrived.
    pub fn new(body: Incoming, incomings: Rc<Incomings>) -> GuardedBody {
        incomings.meter.advance();
        GuardedBody { body, incomings, settles: true }
    }

    /// Returns the body of an answer that no client gets and others wait for.
    #[must_use]
    pub fn without_settling(self) -> GuardedBody {
        GuardedBody { settles: false, ..self }
    }

    /// Checks that the body which was read to its end is the whole one.
    ///
    /// # Errors
    ///
    /// If more bytes have arrived, and they begin no other answer.
    pub async fn finish(&self) -> Result<(), Flaw> {
        if self.settles {
            tokio::task::yield_now().await;
        }
        self.incomings.finish()
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Ok(_)))) {
            self.incomings.meter.advance();
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
