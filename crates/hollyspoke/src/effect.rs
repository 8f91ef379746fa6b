//! Effects: what the reducer requests a driver to do.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::event::{Call, CallId, Generate};
use crate::key::{Incarnation, Key, Ticket};
use crate::message::Message;
use crate::outcome::Answer;
use crate::outcome::Problem;
use crate::site::{Role, UpstreamId};
use crate::store;

/// One action for the driver. Effects are executed in the order in which they are returned.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Sends a message to a box; it may be lost.
    Send {
        /// The receiver; a box with another incarnation must drop the message.
        to: Incarnation,
        /// The address.
        address: String,
        /// The message.
        message: Box<Message>,
    },
    /// Contacts the box at an address and returns its entry as
    /// [`Event::Seen`](crate::event::Event::Seen).
    Greet(String),
    /// Starts a prefill on an engine.
    Prefill {
        /// The attempt.
        ticket: Ticket,
        /// The engine's address.
        address: String,
        /// The request.
        work: Box<Generate>,
        /// The request's class; lower numbers are served first.
        class: u8,
    },
    /// Requests a decode engine to fetch the prefill result.
    Import {
        /// The attempt.
        ticket: Ticket,
        /// The decode engine's address.
        address: String,
        /// The prefill engine's address.
        from: String,
        /// The memory to reserve, in tokens.
        tokens: u32,
    },
    /// Starts the decode on an engine.
    Decode {
        /// The attempt.
        ticket: Ticket,
        /// The engine's address.
        address: String,
        /// The request.
        work: Box<Generate>,
        /// The index of the first token wanted.
        from_seq: u32,
    },
    /// Drops an attempt's call and requests an engine to free what it holds for it.
    Cancel {
        /// The attempt.
        ticket: Ticket,
        /// The engine's address.
        address: String,
    },
    /// Drops an attempt's call of a plain service, without notice to the upstream.
    Drop(Ticket),
    /// Polls an engine for its report.
    Poll {
        /// The engine.
        engine: UpstreamId,
        /// The address.
        address: String,
    },
    /// Sends an order to an engine.
    Order {
        /// The engine's address.
        address: String,
        /// The fencing token.
        token: u64,
        /// The order.
        order: Order,
    },
    /// Calls an upstream of a plain service.
    Call {
        /// The attempt.
        ticket: Ticket,
        /// The request's key, forwarded to the upstream.
        key: Key,
        /// The upstream's address.
        address: String,
        /// The call.
        call: Box<Call>,
        /// How long the call may take.
        timeout: Duration,
        /// Whether the call may run more than once; if not, it needs a connection of its own.
        repeatable: bool,
    },
    /// Sends a reply to a caller.
    Reply {
        /// The caller's connection.
        call: CallId,
        /// The reply.
        reply: CallerReply,
    },
    /// Runs an operation on the store and returns its answer as
    /// [`Event::Store`](crate::event::Event::Store).
    Store {
        /// The operation's number.
        number: u64,
        /// The operation.
        operation: store::Operation,
    },
    /// Starts or stops watching the configuration in the store.
    Watch(bool),
    /// Reads the configuration from the store once.
    Fetch,
    /// Writes a request's record to the log and the metrics.
    Record(Box<Record>),
    /// Logs a message for the operator.
    Note(String),
    /// The planned shutdown is complete; the process may exit.
    Exit,
}

/// The state that an engine should take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine's role.
    pub role: Role,
    /// The model and the adapters that the engine should have loaded.
    pub load: Vec<String>,
}

/// A reply to a caller. `Token`s are followed by `Finished` or `Problem`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallerReply {
    /// One token.
    Token(Arc<str>),
    /// The answer is complete.
    Finished {
        /// Why the engine stopped.
        reason: Arc<str>,
        /// The prompt's length, in tokens.
        prompt_tokens: u32,
        /// The answer's length, in tokens.
        tokens: u32,
    },
    /// The answer of a plain service.
    Answer(Answer),
    /// There is no answer; the problem states what is known about the request.
    Problem(Problem),
    /// The key's home is another box: the request is to be relayed there.
    Relay {
        /// The home's address for callers.
        address: String,
        /// The key of the request at its home.
        key: Key,
        /// Whether the request may run more than once.
        repeatable: bool,
    },
}

/// The record of one request, for the log and the metrics.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The request's key.
    pub key: Key,
    /// The service's name, empty if none was found.
    pub service: String,
    /// The tenant.
    pub tenant: String,
    /// The request's class.
    pub class: u8,
    /// `done`, `cancelled`, or the problem's slug.
    pub outcome: String,
    /// The number of attempts.
    pub attempts: u32,
    /// The time from arrival to the first grant.
    pub queued: Duration,
    /// The time from grant to prefill result.
    pub prefill: Option<Duration>,
    /// The time from prefill result to import.
    pub transfer: Option<Duration>,
    /// The time from arrival to the first token.
    pub first_token: Option<Duration>,
    /// The mean time between tokens.
    pub between_tokens: Option<Duration>,
    /// The time from arrival to the end of the request.
    pub total: Duration,
    /// The number of tokens generated.
    pub tokens: u32,
    /// Prompt tokens whose prefill was discarded.
    pub wasted_tokens: u32,
    /// Whether the request completed within its targets.
    pub good: bool,
}
