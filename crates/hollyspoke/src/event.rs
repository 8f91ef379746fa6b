//! Events: what a driver reports to the reducer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Versioned;
use crate::key::{Incarnation, Key, Ticket};
use crate::member::Entry;
use crate::message::Message;
use crate::outcome::{Answer, Trace};
use crate::site::{Role, UpstreamId};
use crate::store;

/// One event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed; to be sent every few tens of milliseconds.
    Tick,
    /// A caller's request has been received completely.
    Arrive {
        /// The driver's number for the caller's connection.
        call: CallId,
        /// The request.
        arrival: Box<Arrival>,
    },
    /// The caller has closed its connection.
    Gone(CallId),
    /// An engine or upstream has answered an effect.
    Upstream {
        /// The attempt.
        ticket: Ticket,
        /// The answer.
        reply: Reply,
    },
    /// A poll of an engine has completed or failed.
    Polled {
        /// The engine.
        engine: UpstreamId,
        /// The report, absent if the poll failed.
        report: Option<Report>,
    },
    /// Another box has sent a message.
    Peer {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: Box<Message>,
    },
    /// A box could not be reached: the connection was refused or broke, or another incarnation
    /// answered at its address.
    Unreachable(Incarnation),
    /// A box has answered a greeting, [`Effect::Greet`](crate::effect::Effect::Greet).
    Seen(Entry),
    /// The platform's list of boxes was received.
    Listed(Vec<Listed>),
    /// A configuration was read from the store.
    Site(Arc<Versioned>),
    /// The store has answered an operation.
    Store {
        /// The operation's number.
        number: u64,
        /// The answer.
        answer: store::Answer,
    },
    /// Whether the driver's own calls could reach the store.
    StoreReachable(bool),
    /// A planned shutdown was requested.
    Leave,
}

/// The driver's number for a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// The key that the caller created or was given, if it sent one.
    pub key: Option<Key>,
    /// The caller's own idempotency key, if it sent one.
    pub claim: Option<String>,
    /// Whether another box relayed the request.
    pub relayed: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The tenant's name, empty if the caller named none.
    pub tenant: String,
    /// The class: 0 for interactive requests, higher for work that can wait.
    pub class: u8,
    /// The content of the request.
    pub work: Work,
}

/// The content of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// Tokens from a model.
    Generate(Generate),
    /// One call of a plain service.
    Call(Call),
}

/// A request for tokens from a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// The model, adapter or service that the caller named.
    pub model: String,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// Digests of the prompt's leading blocks, the shortest prefix first.
    pub prefix: Vec<u64>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// A call of a plain service, forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers that are forwarded.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}

/// A reply of an engine or upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The prefill has ended.
    Prefilled,
    /// The decode engine has the prefill result.
    Imported,
    /// One token of the answer.
    Token {
        /// Its index in the answer, from zero.
        seq: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// The engine has ended the stream.
    Finished {
        /// The finish reason: `stop` or `length`.
        reason: Arc<str>,
    },
    /// The answer of a plain service.
    Answered(Answer),
    /// The engine has no free capacity.
    Full,
    /// The call failed.
    Failed {
        /// A description for people.
        detail: String,
        /// Whether anything of the call may have reached the upstream.
        trace: Trace,
    },
    /// This box lacked a descriptor, a port or memory for the call; nothing was sent.
    Exhausted {
        /// A description for people.
        detail: String,
    },
}

/// An engine's report about itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The KV cache in use, in tokens.
    pub used_tokens: u64,
    /// The streams on the engine.
    pub streams: Vec<Ticket>,
    /// Whether the engine is shutting down.
    pub leaving: bool,
    /// Its role and what it has loaded, if it accepts orders.
    pub state: Option<EngineState>,
}

/// The state of an engine that accepts orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine's role.
    pub role: Role,
    /// The models and adapters that the engine has loaded.
    pub loaded: Vec<String>,
}

/// A box in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The box's address for other boxes.
    pub peer_address: String,
    /// Whether the platform lists it as shutting down.
    pub leaving: bool,
}
