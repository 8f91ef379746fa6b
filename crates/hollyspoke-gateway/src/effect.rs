//! The actions that a gateway requests of its driver.

mod call;
mod log;
mod refusal;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::Operation;

use crate::engine::{Engine, Stage};
use crate::event::Kind;
use crate::message::Message;
use crate::migration::Transfer;
use crate::origin::Notice;
use crate::proxy;
use crate::request::{CallKey, RequestKey};
use crate::reservation::{Ask, Reservation};

pub use call::{Prompt, Send, Source, Task};
pub use log::{Exclusion, LogEvent};
pub use refusal::{NotRunReason, Refusal};

/// The time after which the driver gives an order up. Engines answer orders within milliseconds.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// An order to an engine to change its stage.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The engine.
    pub engine: Arc<Engine>,
    /// The stage to change to.
    pub stage: Stage,
    /// The name of the box that gives the order.
    pub holder: Arc<str>,
    /// The fencing token of the lease under which the order is given.
    pub token: u64,
    /// The number of orders that the engine must have accepted before; otherwise it refuses this
    /// one.
    pub expected_count: u64,
}

/// An action that a gateway requests of its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Sends a call.
    Send(Send),
    /// Sends a request to another box, which serves it.
    Proxy(proxy::Call),
    /// Drops a call and closes its connection.
    Cancel(CallKey),
    /// Gives the client the answer of a call; the events of a stream follow as they arrive.
    Deliver(RequestKey, CallKey),
    /// Appends the events of a call to the answer that the client is already receiving.
    Resume(RequestKey, CallKey),
    /// Answers the client with a refusal by the gateway itself.
    Refuse(RequestKey, Refusal),
    /// Aborts an answer that has begun, so that the client sees that it is incomplete.
    Abort(RequestKey),
    /// Ends an answer that has begun as complete.
    Finish(RequestKey),
    /// Frees a prefilled prompt, or the copy of a stream's memory.
    Free(Source),
    /// Asks an engine to reserve memory. The driver reports one answer, also if none arrives.
    Reserve(Ask),
    /// Drops a reservation that isn't needed.
    DropReservation(Reservation),
    /// Orders an engine to copy a stream's memory to another engine.
    Transfer(Transfer),
    /// Queries which prompt prefixes an engine has cached.
    QueryCachedPrompts(Arc<Engine>),
    /// Starts (true) or stops watching the store for changes.
    WatchStore(bool),
    /// Starts a numbered operation on an object of the product's own in the store.
    Store(u64, Operation),
    /// Queries how many orders an engine has accepted.
    QueryOrderCount(Arc<Engine>),
    /// Orders an engine to change its stage.
    Order(Order),
    /// Probes whether an engine is alive.
    Probe(Arc<Engine>),
    /// Probes whether a connection opens to the address at which another box accepts requests of
    /// boxes.
    ProbeBox(SocketAddr),
    /// Reads all objects of a kind from the store, once.
    Read(Kind),
    /// Requests a snapshot of the state of another box.
    Fetch(SocketAddr),
    /// Sends a datagram to boxes.
    Announce(Vec<SocketAddr>, Box<Message>),
    /// Sends a datagram about streams' versions to boxes.
    Notify(Vec<SocketAddr>, Notice),
    /// Writes an entry to the log.
    Log(LogEvent),
}
