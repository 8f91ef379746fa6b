//! The transfer of a running stream's memory from one engine to another, where the stream then
//! continues.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::engine::Engine;
use crate::request::{CallKey, RequestKey};

/// An order to an engine to copy a stream's memory to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The request whose stream is moved.
    pub request: RequestKey,
    /// The call through which the stream runs.
    pub call: CallKey,
    /// The engine at which the stream runs.
    pub source: Arc<Engine>,
    /// The address of the engine that receives the copy.
    pub target: SocketAddr,
    /// Whether the stream stops before the copy is made, so that the copy is complete. Otherwise it
    /// runs on, and only what is new has to be copied the next time.
    pub is_final: bool,
}

/// An engine's answer to a transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The copy is made.
    Copied {
        /// The source's handle for the copy.
        handle: String,
        /// The number of events that the stream has produced so far.
        events: u64,
    },
    /// The stream doesn't run at the source.
    NotRunning,
    /// Another transfer of the stream is in progress.
    InProgress,
    /// There is no memory at the target, or no route to it. A stopped stream can go on at the
    /// source with the handle.
    Refused {
        /// The source's handle for a stopped stream.
        handle: Option<String>,
    },
    /// The engine doesn't support transfers.
    Unsupported,
    /// The connection could not be opened; nothing was started.
    NotConnected,
    /// No answer arrived. The stream may have been stopped.
    Unknown,
}
