//! The inputs of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer as Answered, Revision};
use hollyspoke::time::Time;

use crate::engine::{Engine, EngineChange, EngineKey};
use crate::evacuation::{Change, Evacuation};
use crate::framing::Framing;
use crate::message::Message;
use crate::migration;
use crate::origin::Notice;
use crate::prompt::PromptKey;
use crate::proxy;
use crate::request::{CallKey, Request, RequestKey};
use crate::reservation;
use crate::route::Configuration;
use crate::snapshot::Snapshot;
use crate::statement::Statement;

/// What an answer proves about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The engine states that it has not run the request and never will.
    Refused,
    /// Another incarnation has the address and has not run the request.
    Replaced,
    /// The request has run or may have run.
    Ran,
}

/// The head of an engine's answer, with the handle of the prompt for a prefill.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// What the answer proves about the execution of the request.
    pub execution: Execution,
    /// What marks the end of the answer's body.
    pub framing: Framing,
    /// What the engine reports about itself.
    pub statement: Statement,
    /// The handle of the prefilled prompt, for an answer to a prefill.
    pub handle: Option<String>,
}

/// An event of a call to an engine.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEvent {
    /// The connection could not be opened; nothing was sent.
    NotConnected,
    /// This box had no local port for the engine's address; nothing was sent.
    NoPort,
    /// This box lacked a descriptor or memory for a connection; nothing was sent.
    Exhausted,
    /// The head of a stream arrived.
    Began(Answer),
    /// A complete answer arrived, or a stream ended completely.
    Answered(Answer),
    /// Complete events of a stream were forwarded to the client; the id of the last one, if it has
    /// one.
    Forwarded(Option<u64>),
    /// The same, after the client had not taken earlier events for a time.
    ForwardedLate(Option<u64>),
    /// The client takes no events for now, or this box has no memory for more of the answer; what has
    /// arrived waits.
    HeldUp,
    /// After the request was sent, the connection closed before the end of the answer.
    Broken,
    /// After the request was sent, this box had no memory for the answer.
    NoMemory,
    /// After the request was sent, bytes arrived that are no part of an answer to it. The events
    /// before them were forwarded.
    Garbled,
}

/// A kind of object in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The configuration.
    Configuration,
    /// The engines.
    Engines,
    /// The data centres whose engines receive no requests.
    Evacuations,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carries the order out.
    Accepted,
    /// The engine is already in the ordered stage.
    AlreadyApplied,
    /// The engine is carrying out another order, or has accepted others before.
    Conflict,
    /// The engine rejected the order, or was never reached.
    Refused,
    /// No answer was received: the engine may still carry the order out, even later.
    Unknown,
}

/// The result of probing whether an engine is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The engine is alive; the start time of its incarnation, if reported.
    Alive(Option<u64>),
    /// Another incarnation has its address.
    Replaced,
    /// The connection opened and stays open, but the engine doesn't answer.
    NoAnswer,
    /// The connection opened and broke.
    Broken,
    /// The connection could not be opened.
    NotConnected,
    /// This box lacked a descriptor, a port or memory for a connection, so the probe shows nothing.
    Exhausted,
}

/// An input of a gateway.
#[derive(Debug, Clone)]
pub enum Event {
    /// A configuration version was read.
    Configured(Arc<Configuration>),
    /// All engines were listed, at a revision.
    Listed(Vec<Engine>, Revision),
    /// Engines changed, in this order.
    Changed(Vec<EngineChange>),
    /// The evacuated data centres were listed.
    Evacuated(Evacuation),
    /// Evacuations changed, in this order; the revision after the changes.
    EvacuationChanged(Vec<Change>, Revision),
    /// The box at an address sent a snapshot of its state.
    SnapshotReceived(SocketAddr, Box<Snapshot>),
    /// A box that was asked for a snapshot sent none.
    SnapshotFailed,
    /// An answer of the store named its era. It is applied before the rest of the answer.
    StoreEra(u64),
    /// The store answered a request for a kind of object.
    StoreAnswered(Kind),
    /// All changes of a kind up to this time have been read from the store, and passed on before.
    Refreshed(Kind, Time),
    /// The store didn't answer, or refused, a request for a kind of object.
    StoreFailed(Kind),
    /// A complete request arrived.
    Arrived(RequestKey, Request),
    /// The client of a request closed its connection.
    ClientDisconnected(RequestKey),
    /// An event of a call.
    Call(CallKey, CallEvent),
    /// An event of a request that another box serves.
    Proxied(CallKey, proxy::Event),
    /// An engine answered the ask of this number for a reservation, or didn't.
    Reserved(u64, reservation::Answer),
    /// An engine answered the transfer of the stream that runs through a call, or didn't.
    Transferred(CallKey, migration::Answer),
    /// A datagram arrived from another box.
    Received(Message),
    /// A datagram about streams' versions arrived from another box.
    Notified(Notice),
    /// The addresses of the boxes to contact first, from the settings.
    Seeds(Vec<SocketAddr>),
    /// An engine reported which prompt prefixes it has cached.
    CachedPrompts(EngineKey, Vec<PromptKey>),
    /// The store answered a numbered operation.
    Stored(u64, Answered),
    /// An engine reported how many orders it has accepted since its start, or didn't answer.
    OrderCount(EngineKey, Option<u64>),
    /// An engine answered an order, or didn't.
    Ordered(EngineKey, OrderAnswer),
    /// An engine was probed.
    Probed(EngineKey, Probe),
    /// No connection opened to another box that was probed.
    BoxNotReached(SocketAddr),
    /// An engine reported its terms in the answer to an order or a query, or in the head of an
    /// answer whose body is not received yet, or never will be.
    Statement(EngineKey, Statement),
    /// An operator releases the quarantined requests whose signature has this prefix.
    Release(String),
    /// The machine was suspended for a time that has since been added to the clock.
    Suspended(Duration),
    /// The process handled no events for a time, though a tick was due.
    Paused(Duration),
    /// The process was told to stop.
    Stop,
    /// Time has passed.
    Tick,
}
