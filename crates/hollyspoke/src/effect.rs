//! What the reducer asks a driver to do.

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

/// One thing to do. Effects are carried out in the order given.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a box; it may be lost.
    Send {
        /// The receiver; a box that is not this incarnation must drop the message.
        to: Incarnation,
        /// Its address.
        address: String,
        /// The message.
        message: Box<Message>,
    },
    /// Greet the box at an address and give its entry back as an event.
    Greet(String),
    /// Have an engine compute a prompt.
    Prefill {
        /// The attempt.
        ticket: Ticket,
        /// The engine's address.
        address: String,
        /// The request.
        work: Box<Generate>,
        /// The class, the lowest number first.
        class: u8,
    },
    /// Have a decode engine fetch the prefill result.
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
    /// Have the decode engine generate.
    Decode {
        /// The attempt.
        ticket: Ticket,
        /// The engine's address.
        address: String,
        /// The request.
        work: Box<Generate>,
        /// The place of the first token wanted.
        from_seq: u32,
    },
    /// Drop an attempt's call and have an engine free what it holds for it.
    Cancel {
        /// The attempt.
        ticket: Ticket,
        /// The engine's address.
        address: String,
    },
    /// Drop an attempt's call of a plain service; the upstream is told nothing.
    Drop(Ticket),
    /// Ask an engine for its report.
    Poll {
        /// The engine.
        engine: UpstreamId,
        /// Its address.
        address: String,
    },
    /// Give an engine an order.
    Order {
        /// The engine's address.
        address: String,
        /// The fencing token.
        token: u64,
        /// The order.
        order: Order,
    },
    /// Call a plain service's upstream.
    Call {
        /// The attempt.
        ticket: Ticket,
        /// The request's key, passed on to the upstream.
        key: Key,
        /// The upstream's address.
        address: String,
        /// The call.
        call: Box<Call>,
        /// How long the call may take.
        timeout: Duration,
        /// Whether it may run more than once; if not, it needs a connection of its own.
        repeatable: bool,
    },
    /// Answer a caller.
    Reply {
        /// The caller's connection.
        call: CallId,
        /// What to say.
        reply: CallerReply,
    },
    /// Operate on the store and give the answer back as an event.
    Store {
        /// The operation's number.
        number: u64,
        /// The operation.
        operation: store::Operation,
    },
    /// Hold the watch on the configuration, or stop holding it.
    Watch(bool),
    /// Read the configuration from the store once.
    Fetch,
    /// Write a request's record to the log and the metrics.
    Record(Box<Record>),
    /// Note something for the operator.
    Note(String),
    /// The planned stop is complete; the process may exit.
    Exit,
}

/// What an engine should be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Its role.
    pub role: Role,
    /// The model and the adapters that it should have loaded.
    pub load: Vec<String>,
}

/// What is said to a caller. `Token`s are followed by `Finished` or `Problem`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallerReply {
    /// One token.
    Token(Arc<str>),
    /// The answer is whole.
    Finished {
        /// Why the engine stopped.
        reason: Arc<str>,
        /// The prompt's length, in tokens.
        prompt_tokens: u32,
        /// The answer's length, in tokens.
        tokens: u32,
    },
    /// A plain service's answer.
    Answer(Answer),
    /// No answer, and what may be claimed about it.
    Problem(Problem),
    /// The home is another box: pass the request on to it.
    Relay {
        /// The home's address for callers.
        address: String,
        /// The key under which the home has the request.
        key: Key,
        /// Whether the request may run more than once.
        repeatable: bool,
    },
}

/// How one request went.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The request's key.
    pub key: Key,
    /// The service, empty when none was found.
    pub service: String,
    /// The tenant.
    pub tenant: String,
    /// The class.
    pub class: u8,
    /// `done`, `cancelled`, or the problem's slug.
    pub outcome: String,
    /// Attempts made.
    pub attempts: u32,
    /// From arrival to grant.
    pub queued: Duration,
    /// From grant to prefill result.
    pub prefill: Option<Duration>,
    /// From prefill result to import.
    pub transfer: Option<Duration>,
    /// From arrival to first token.
    pub first_token: Option<Duration>,
    /// The mean time between tokens.
    pub between_tokens: Option<Duration>,
    /// From arrival to end.
    pub total: Duration,
    /// Tokens generated.
    pub tokens: u32,
    /// Prompt tokens computed whose result was thrown away.
    pub wasted_tokens: u32,
    /// Whether both targets were met.
    pub good: bool,
}
