//! What comes to the loop around the reducer, and the way in. The tasks of the daemon know this and
//! not the loop itself.

use hollyspoke::address;
use hollyspoke::effect::CallerReply;
use hollyspoke::event::{Arrival, CallId, Event};
use hollyspoke::site::Site;
use hollyspoke::status::Status;
use tokio::sync::{mpsc, oneshot};

/// What comes to the loop.
#[derive(Debug)]
pub enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A caller's request, with the way back to the caller.
    Arrive {
        /// The connection.
        call: CallId,
        /// The request.
        arrival: Box<Arrival>,
        /// Where its replies go.
        replies: mpsc::UnboundedSender<CallerReply>,
    },
    /// A question about the box's state.
    Query(Query),
}

/// A question about the box's state, with the way back for its answer.
#[derive(Debug)]
pub enum Query {
    /// The state for operators.
    Status(oneshot::Sender<Status>),
    /// The addresses for a caller.
    Addresses {
        /// The caller's name.
        caller: String,
        /// The caller's data centre, where it said one.
        data_centre: Option<String>,
        /// Where the answer goes.
        answer: oneshot::Sender<address::Answer>,
    },
    /// The site in force.
    Site(oneshot::Sender<Site>),
    /// Whether callers may be sent here.
    Ready(oneshot::Sender<bool>),
    /// The metrics as text.
    Metrics(oneshot::Sender<String>),
}

/// The way into the loop.
#[derive(Debug, Clone)]
pub struct InputSender(mpsc::UnboundedSender<Input>);

impl InputSender {
    /// Makes the way in and its other end.
    pub fn new() -> (InputSender, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (InputSender(sender), receiver)
    }

    /// Puts something in. Nothing happens when the loop has ended.
    pub fn send(&self, input: Input) {
        let _ = self.0.send(input);
    }

    /// Puts an event in.
    pub fn send_event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}
