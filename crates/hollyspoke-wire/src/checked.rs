//! Connections to servers whose answers are checked before the HTTP library parses them.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hollyspoke_http::guard::Guard;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How a request begins whose answer has no body.
const HEAD_REQUEST: &[u8] = b"HEAD ";

/// A connection that carries one request after the other.
#[derive(Debug)]
pub struct CheckedStream {
    /// The connection.
    stream: TcpStream,
    /// Checks the answer to the last request; none before the first one.
    guard: Option<Guard>,
}

/// Wraps a connection that has just opened.
pub fn check(stream: TokioIo<TcpStream>) -> TokioIo<CheckedStream> {
    TokioIo::new(CheckedStream { stream: stream.into_inner(), guard: None })
}

impl CheckedStream {
    /// Expects another answer if the bytes that are written begin another request.
    fn record_write(&mut self, bytes: &[u8]) {
        if self.guard.as_ref().is_none_or(Guard::may_be_complete) {
            self.guard = Some(Guard::new(bytes.starts_with(HEAD_REQUEST)));
        }
    }
}

impl Connection for CheckedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = &buffer.filled()[before..];
        let guard = self.guard.get_or_insert_with(|| Guard::new(false));
        let checked = match bytes.is_empty() {
            true => guard.end().map(|()| 0),
            false => guard.read(bytes),
        };
        let count = checked.map_err(|it| io::Error::new(io::ErrorKind::InvalidData, it))?;
        buffer.set_filled(before + count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.record_write(bytes);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_write(pieces.first().map_or(&[], |it| it));
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
