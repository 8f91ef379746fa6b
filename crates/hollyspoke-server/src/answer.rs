//! The body of an answer to a client: complete, or a stream that may break off.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The error of an answer that was broken off. The client sees that the answer is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamAborted;

impl std::fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for StreamAborted {}

/// The events of a stream, as they arrive.
#[derive(Debug)]
pub struct Stream {
    /// Chunks that consist of whole events.
    pub chunks: mpsc::Receiver<Bytes>,
    /// Set if the stream ends before it is complete.
    pub is_broken: Rc<Cell<bool>>,
    /// Whether the connection was given the time to write the last chunks, which it drops when the
    /// body fails.
    is_flushed: bool,
}

impl Stream {
    /// Creates a stream from the receiver of its chunks.
    pub fn new(chunks: mpsc::Receiver<Bytes>, is_broken: Rc<Cell<bool>>) -> Stream {
        Stream { chunks, is_broken, is_flushed: false }
    }

    /// Polls the next chunk; none at the end.
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, StreamAborted>>> {
        match self.chunks.poll_recv(context) {
            Poll::Ready(None) if !self.is_broken.get() => Poll::Ready(None),
            Poll::Ready(None) if self.is_flushed => Poll::Ready(Some(Err(StreamAborted))),
            Poll::Ready(None) => {
                self.is_flushed = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled.map(|it| it.map(Ok)),
        }
    }
}

/// Calls a function when it is dropped.
pub struct DropHook(Option<Box<dyn FnOnce()>>);

impl DropHook {
    /// Creates a hook that calls a function.
    pub fn new(function: impl FnOnce() + 'static) -> DropHook {
        DropHook(Some(Box::new(function)))
    }
}

impl std::fmt::Debug for DropHook {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DropHook")
    }
}

impl Drop for DropHook {
    fn drop(&mut self) {
        if let Some(function) = self.0.take() {
            function();
        }
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// A complete body; none once it has been sent.
    Whole(Option<Bytes>),
    /// A body of which only the end of its connection tells that it is complete; none once it has
    /// been sent.
    Unmarked(Option<Bytes>),
    /// A stream. The hook is dropped at its end, or when the client disconnects.
    Stream(Stream, Option<DropHook>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) | AnswerBody::Unmarked(bytes) => {
                Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it))))
            }
            AnswerBody::Stream(stream, hook) => {
                let polled = stream.poll_chunk(context);
                if matches!(polled, Poll::Ready(None)) {
                    hook.take();
                }
                polled.map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            AnswerBody::Unmarked(_) | AnswerBody::Stream(..) => SizeHint::default(),
        }
    }
}
