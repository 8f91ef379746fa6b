//! A client's connection.
//!
//! While it carries an answer that only the close of the connection delimits, any close but an
//! orderly shutdown resets it: also when the answer is broken off, or when the process ends.
//! Otherwise the client would take the close for the end of the answer.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::head_clock::HeadClock;

/// Whether the answer on a connection is delimited by its close. Shared with the task that serves
/// the connection.
#[derive(Debug, Clone, Default)]
pub struct CloseDelimited(Rc<Cell<bool>>);

impl CloseDelimited {
    /// Records that the answer that follows is delimited by the close of the connection.
    pub fn set(&self) {
        self.0.set(true);
    }
}

/// A client's connection, which records arriving bytes in a clock.
#[derive(Debug)]
pub struct ClientStream {
    /// The connection.
    stream: TcpStream,
    /// The connection's clock.
    clock: Rc<HeadClock>,
    /// Whether the answer is delimited by the close.
    close_delimited: CloseDelimited,
    /// Whether a close resets the connection.
    resets: bool,
}

impl ClientStream {
    /// Wraps a connection.
    pub fn new(
        stream: TcpStream,
        clock: Rc<HeadClock>,
        close_delimited: CloseDelimited,
    ) -> ClientStream {
        ClientStream { stream, clock, close_delimited, resets: false }
    }

    /// Prepares the connection for the answer that is about to be written.
    fn prepare_write(&mut self) -> io::Result<()> {
        if self.close_delimited.0.get() && !self.resets {
            self.stream.set_zero_linger()?;
            self.resets = true;
        }
        Ok(())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.clock.record_read();
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets {
            SockRef::from(&self.stream).set_linger(None)?;
            self.resets = false;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
