//! Measures how long a client takes to send the head of a request, from its first byte on.
//!
//! The HTTP library limits the time from the end of one request to the end of the next head, in
//! which a connection may be idle. Once a head has begun, a shorter timeout applies. This module
//! detects the beginning by watching the bytes that arrive.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::delivery::Delivery;

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No byte has arrived since the last request.
    Idle,
    /// A head has been arriving since this time.
    ReadingHead(Instant),
    /// A request is being served.
    Serving {
        /// Whether bytes have arrived that don't belong to the request.
        has_next_request: bool,
    },
}

/// The state of one connection, shared by the tasks that read, serve and close it.
#[derive(Debug)]
pub struct HeadClock {
    /// The state.
    state: Cell<State>,
    /// Wakes the task that waits for the next head.
    head_started: Notify,
}

impl HeadClock {
    /// Creates the clock of a new connection.
    pub fn new() -> Rc<HeadClock> {
        Rc::new(HeadClock { state: Cell::new(State::Idle), head_started: Notify::new() })
    }

    /// Records that bytes have arrived.
    pub fn record_read(&self) {
        match self.state.get() {
            State::Idle => self.start_head(),
            State::ReadingHead(_) => {}
            State::Serving { .. } => self.state.set(State::Serving { has_next_request: true }),
        }
    }

    /// Returns whether a head is arriving.
    pub fn is_reading_head(&self) -> bool {
        matches!(self.state.get(), State::ReadingHead(_))
    }

    /// Records that a head begins now.
    fn start_head(&self) {
        self.state.set(State::ReadingHead(Instant::now()));
        self.head_started.notify_one();
    }

    /// Records that a head is complete. The request counts as being served until the returned guard
    /// is dropped.
    pub fn start_request(self: &Rc<HeadClock>, delivery: Rc<Delivery>) -> RequestGuard {
        self.state.set(State::Serving { has_next_request: false });
        delivery.record_serving(true);
        RequestGuard { clock: self.clone(), delivery }
    }

    /// Waits until a head has been arriving for at least the timeout.
    pub async fn wait_overdue(&self, timeout: Duration) {
        loop {
            match self.state.get() {
                State::ReadingHead(since) if since.elapsed() >= timeout => return,
                State::ReadingHead(since) => tokio::time::sleep_until(since + timeout).await,
                State::Idle | State::Serving { .. } => self.head_started.notified().await,
            }
        }
    }
}

/// Marks a request as being served while it exists.
#[derive(Debug)]
pub struct RequestGuard {
    /// The clock of the request's connection.
    clock: Rc<HeadClock>,
    /// The record of the connection.
    delivery: Rc<Delivery>,
}

impl RequestGuard {
    /// Records that the request's body is complete: all bytes that have arrived so far belong to
    /// it.
    pub fn finish_body(&self) {
        self.clock.state.set(State::Serving { has_next_request: false });
    }

    /// Attaches the guard to the body of the answer.
    pub fn attach<B>(self, body: B) -> GuardedBody<B> {
        GuardedBody { body, _guard: self }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.delivery.record_serving(false);
        match self.clock.state.get() {
            State::Serving { has_next_request: true } => self.clock.start_head(),
            _ => self.clock.state.set(State::Idle),
        }
    }
}

/// The body of an answer. Its request counts as being served until this is dropped.
#[derive(Debug)]
pub struct GuardedBody<B> {
    /// The wrapped body.
    body: B,
    /// The guard of the request.
    _guard: RequestGuard,
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
