//! The input queue of the event loop. The daemon's tasks depend on this module and not on the
//! loop itself.

use hollyspoke::address;
use hollyspoke::effect::CallerReply;
use hollyspoke::event::{Arrival, CallId, Event};
use hollyspoke::site::Site;
use hollyspoke::status::Status;
use tokio::sync::{mpsc, oneshot};

/// An input of the event loop.
#[derive(Debug)]
pub enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A caller's request, with the channel for its replies.
    Arrive {
        /// The number of the call.
        call: CallId,
        /// The request.
        arrival: Box<Arrival>,
        /// The channel for the replies.
        replies: mpsc::UnboundedSender<CallerReply>,
    },
    /// A query of the box's state.
    Query(Query),
}

/// A query of the box's state, with the channel for its answer.
#[derive(Debug)]
pub enum Query {
    /// The status for operators.
    Status(oneshot::Sender<Status>),
    /// The addresses for a caller.
    Addresses {
        /// The caller's name.
        caller: String,
        /// The caller's data centre, if the request names one.
        data_centre: Option<String>,
        /// The channel for the answer.
        answer: oneshot::Sender<address::Answer>,
    },
    /// The site in force.
    Site(oneshot::Sender<Site>),
    /// Whether the box is ready for callers.
    Ready(oneshot::Sender<bool>),
    /// The metrics in Prometheus' text format.
    Metrics(oneshot::Sender<String>),
}

/// The sender of the event loop's input queue.
#[derive(Debug, Clone)]
pub struct InputSender(mpsc::UnboundedSender<Input>);

impl InputSender {
    /// Creates the queue.
    pub fn new() -> (InputSender, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (InputSender(sender), receiver)
    }

    /// Queues an input. Does nothing when the loop has ended.
    pub fn send(&self, input: Input) {
        let _ = self.0.send(input);
    }

    /// Queues an event for the reducer.
    pub fn send_event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}
