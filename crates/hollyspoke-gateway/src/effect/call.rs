//! The calls that a gateway sends to engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::customer::Caller;
use crate::engine::{Engine, EngineKey};
use crate::request::{CallKey, RequestKey};

/// The location of a prefilled prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// The engine that prefilled the prompt.
    pub engine: EngineKey,
    /// The address of that engine.
    pub address: SocketAddr,
    /// The engine's handle for the prompt.
    pub handle: String,
}

/// The operation requested of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Run a plain request.
    Plain,
    /// Prefill the prompt for another engine.
    Prefill,
    /// Decode the answer.
    Decode(Prompt),
}

impl Task {
    /// Returns the address of the engine that the prompt is imported from, if it is another engine.
    pub fn source(&self) -> Option<SocketAddr> {
        match self {
            Task::Decode(Prompt::Prefilled(source) | Prompt::Copied(source)) => {
                Some(source.address)
            }
            Task::Decode(Prompt::CachedAt(address)) => Some(*address),
            _ => None,
        }
    }
}

/// How a decode engine obtains the prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Prompt {
    /// It prefills the prompt itself.
    NotPrefilled,
    /// It imports the prompt from the engine that prefilled it.
    Prefilled(Source),
    /// It continues a stream from a copy of its memory, which was moved or backed up there.
    Copied(Source),
    /// It has the prompt cached from an earlier run.
    Cached,
    /// It imports the prompt from another engine that has it cached, at this address.
    CachedAt(SocketAddr),
}

/// A call to an engine, as the driver sends it.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// The request that the call is made for.
    pub request: RequestKey,
    /// The key of the call.
    pub call: CallKey,
    /// The engine.
    pub engine: Arc<Engine>,
    /// The identity on whose behalf the call is sent.
    pub caller: Caller,
    /// The operation requested of the engine.
    pub task: Task,
    /// The time left until the request's deadline.
    pub deadline: Duration,
    /// The id of the last event that the client has, if a stream is resumed.
    pub last_event: Option<u64>,
    /// The priority that the engine is given, 0 being the highest; none to leave it to the engine.
    pub priority: Option<u8>,
    /// The id of the engine's reservation for the call.
    pub reservation: Option<Arc<str>>,
    /// The address of the engine that receives a backup of the stream as it grows.
    pub backup: Option<SocketAddr>,
}
