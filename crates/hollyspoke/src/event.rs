//! What a driver tells the reducer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Versioned;
use crate::key::{Incarnation, Key, Ticket};
use crate::member::Entry;
use crate::message::Message;
use crate::outcome::{Answer, Trace};
use crate::site::{Role, UpstreamId};
use crate::store;

/// One thing that happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed; due every few tens of milliseconds.
    Tick,
    /// A caller's request has come in whole.
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
    /// An engine has answered a poll, or failed to.
    Polled {
        /// The engine.
        engine: UpstreamId,
        /// The report, absent when the poll failed.
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
    /// A box has answered a greeting.
    Seen(Entry),
    /// The platform's list of boxes has come.
    Listed(Vec<Listed>),
    /// The store has given a configuration.
    Site(Arc<Versioned>),
    /// The store has answered an operation.
    Store {
        /// The operation's number.
        number: u64,
        /// The answer.
        answer: store::Answer,
    },
    /// The store could or could not be reached by the driver's own calls.
    StoreReachable(bool),
    /// The planned stop begins.
    Leave,
}

/// The driver's number for a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// The key the caller minted, if it did.
    pub key: Option<Key>,
    /// The caller's own idempotency key, if it brought one.
    pub claim: Option<String>,
    /// Whether another box passed the request on.
    pub relayed: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The tenant's name, empty when the caller named none.
    pub tenant: String,
    /// The class: 0 for a person waiting, higher for work that can wait.
    pub class: u8,
    /// What is asked for.
    pub work: Work,
}

/// What a request asks for.
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
    /// The model, adapter or service named.
    pub model: String,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// Digests of the prompt's leading blocks, the shortest prefix first.
    pub prefix: Vec<u64>,
    /// The most tokens to generate.
    pub max_tokens: u32,
}

/// A call of a plain service, passed on as it came.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}

/// What an engine or upstream answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The prompt is computed.
    Prefilled,
    /// The decode engine has the prefill result.
    Imported,
    /// One token of the answer.
    Token {
        /// Its place in the answer, from zero.
        seq: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// The engine has ended the stream.
    Finished {
        /// Why: `stop` or `length`.
        reason: Arc<str>,
    },
    /// A plain service's answer.
    Answered(Answer),
    /// The engine has no room.
    Full,
    /// The call failed.
    Failed {
        /// The sentence for a person.
        detail: String,
        /// Whether anything of the call may have reached the upstream.
        trace: Trace,
    },
}

/// What an engine reports of itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The KV cache in use, in tokens.
    pub used_tokens: u64,
    /// The streams that it holds.
    pub streams: Vec<Ticket>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its role and what it has loaded, where it takes orders.
    pub state: Option<EngineState>,
}

/// What an engine that takes orders is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Its role.
    pub role: Role,
    /// The models and adapters that it has loaded.
    pub loaded: Vec<String>,
}

/// A box in the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The address at which other boxes reach it.
    pub peer_address: String,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}
