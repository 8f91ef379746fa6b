//! What happens to a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer as Answered, Revision};

use crate::engine::{Engine, EngineChange, EngineKey};
use crate::evacuation::{Change, Evacuation};
use crate::message::Message;
use crate::prompt::PromptKey;
use crate::request::{CallKey, Request, RequestKey};
use crate::route::Configuration;
use crate::snapshot::Snapshot;
use crate::statement::Statement;

/// What an answer proves about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The engine says that it has not run the request and never will.
    Refused,
    /// Another incarnation has the address and has not run the request.
    Replaced,
    /// The request has run, or may have.
    Ran,
}

/// The head of an engine's answer, and the handle if it read a prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// What the answer proves.
    pub execution: Execution,
    /// What the engine says of itself.
    pub statement: Statement,
    /// Where the prompt lies, for an answer to the reading of a prompt.
    pub handle: Option<String>,
}

/// What happens to a call to an engine.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEvent {
    /// The connection never opened: nothing was sent.
    NotConnected,
    /// The head of a stream has come.
    Began(Answer),
    /// A whole answer has come; a stream has come to its whole end.
    Answered(Answer),
    /// Whole events of a stream were passed to the client; the id of the last, if it has one.
    Forwarded(Option<u64>),
    /// The connection ended, or gave what is no answer to the request, after it was sent.
    Broken,
}

/// What is kept in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The configuration.
    Configuration,
    /// The engines.
    Engines,
    /// The data centres whose engines get nothing.
    Evacuations,
}

/// What an engine answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// It is as ordered already.
    AlreadyApplied,
    /// It has another order under way, or has taken others before.
    Conflict,
    /// It does not take the order, or was never reached.
    Refused,
    /// No answer came: it may carry the order out, also later.
    Unknown,
}

/// What an engine answered when it was asked whether it lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// It lives; when that life began, if it tells.
    Alive(Option<u64>),
    /// Another incarnation has its address.
    Replaced,
    /// It takes no connection, or gives no answer.
    Silent,
}

/// What happens to a gateway.
#[derive(Debug, Clone)]
pub enum Event {
    /// A version of the configuration was read.
    Configured(Arc<Configuration>),
    /// All engines were listed; the revision of the list.
    Listed(Vec<Engine>, Revision),
    /// Engines changed, in this order.
    Changed(Vec<EngineChange>),
    /// The evacuated data centres were listed.
    Evacuated(Evacuation),
    /// Evacuations have changed, in this order; the revision that the changes led to.
    EvacuationChanged(Vec<Change>, Revision),
    /// The box at an address has handed over what it knows.
    SnapshotReceived(SocketAddr, Box<Snapshot>),
    /// An answer of the store told its era, before anything else that it tells is taken.
    StoreEra(u64),
    /// The store answered about a kind of object.
    StoreAnswered(Kind),
    /// The store did not answer, or refused, about a kind of object.
    StoreFailed(Kind),
    /// A request came whole.
    Arrived(RequestKey, Request),
    /// The client of a request closed its connection.
    ClientDisconnected(RequestKey),
    /// Something happened to a call.
    Call(CallKey, CallEvent),
    /// A datagram came from another box.
    Received(Message),
    /// The boxes to greet, from the settings.
    Seeds(Vec<SocketAddr>),
    /// An engine told which parts of prompts it keeps.
    CachedPrompts(EngineKey, Vec<PromptKey>),
    /// The store answered an operation of a number.
    Stored(u64, Answered),
    /// An engine told how many orders it has taken since its start; none if it did not tell.
    OrderCount(EngineKey, Option<u64>),
    /// An engine answered an order, or did not.
    Ordered(EngineKey, OrderAnswer),
    /// An engine was asked whether it lives.
    Probed(EngineKey, Probe),
    /// An engine said something of itself in its answer to an order or a question, or in the head of an
    /// answer whose rest is yet to come, or never came.
    Statement(EngineKey, Statement),
    /// An operator lets the held requests go whose signature begins so.
    Lift(String),
    /// The machine was suspended for a time that has been added to the clock since.
    Suspended(Duration),
    /// The process was told to stop.
    Stop,
    /// Time passed.
    Tick,
}
