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
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::delivery::Delivery;
use crate::head_clock::HeadClock;
use crate::memory::{Held, Memory};

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
    /// The record of what its client takes.
    delivery: Rc<Delivery>,
    /// The memory of the box.
    memory: Memory,
    /// The memory that an incomplete head takes.
    head: Held,
    /// How long the client may take nothing of what waits for it.
    stall_timeout: Duration,
    /// The end of that time, once something waits.
    stall: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Wraps a connection.
    pub fn new(
        stream: TcpStream,
        clock: Rc<HeadClock>,
        close_delimited: CloseDelimited,
        delivery: Rc<Delivery>,
        memory: Memory,
        stall_timeout: Duration,
    ) -> ClientStream {
        ClientStream {
            stream,
            clock,
            close_delimited,
            resets: false,
            delivery,
            memory,
            head: Held::default(),
            stall_timeout,
            stall: None,
        }
    }

    /// Records bytes that have arrived, and takes memory for those of a head.
    fn record_read(&mut self, bytes: usize) -> io::Result<()> {
        self.clock.record_read();
        self.delivery.record_read();
        if !self.clock.is_reading_head() {
            self.head = Held::default();
            return Ok(());
        }
        let taken = self.memory.take_for_head(bytes, &mut self.head);
        taken.map_err(|_| io::Error::other("no memory for a head"))
    }

    /// Records what the client has taken.
    fn record_write(
        &mut self,
        polled: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        match polled {
            Poll::Ready(Ok(bytes)) => {
                self.head = Held::default();
                self.delivery.record_taken(bytes);
                self.stall = None;
                polled
            }
            Poll::Ready(Err(_)) => polled,
            Poll::Pending => {
                self.delivery.record_blocked();
                self.poll_stall(context)
            }
        }
    }

    /// Fails once the client has taken nothing for too long.
    fn poll_stall<T>(&mut self, context: &mut Context<'_>) -> Poll<io::Result<T>> {
        let end = Instant::now() + self.stall_timeout;
        let stall = self.stall.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        match stall.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
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
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.record_read(bytes)?;
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
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(polled, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.record_write(polled, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.delivery.record_written();
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
