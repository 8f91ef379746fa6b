//! The interface to a platform: functions that translate between its messages and hollyspoke's own
//! types. They make no decisions and hold no state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke::store::{Answer as Stored, Operation};
use hollyspoke_gateway::effect::{Order, Send, Source};
use hollyspoke_gateway::engine::Engine;
use hollyspoke_gateway::event::{Answer, OrderAnswer};
use hollyspoke_gateway::migration::{self, Transfer};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::reservation::{self, Ask, Reservation};
use hollyspoke_gateway::route::Configuration;
use hollyspoke_gateway::statement::Statement;
use http::{HeaderMap, StatusCode, request, response};

pub use hollyspoke_gateway::event::Kind;

use crate::flaw::Flaw;

/// An object of the store.
#[derive(Debug, Clone)]
pub enum Item {
    /// A version of the configuration.
    Configuration(Arc<Configuration>),
    /// An engine.
    Engine(Engine),
    /// A data centre that is being evacuated.
    Evacuated(Arc<str>),
}

/// A page of a list.
#[derive(Debug, Clone)]
pub struct Page {
    /// The objects that could be parsed.
    pub items: Vec<Item>,
    /// Descriptions of the objects that could not be parsed.
    pub findings: Vec<String>,
    /// The name after which the next page begins; none on the last page.
    pub next: Option<String>,
    /// The number of the store's revision at which the page was read.
    pub number: u64,
}

/// A change of an object.
#[derive(Debug, Clone)]
pub enum Change {
    /// An object was created or replaced.
    Put(Item),
    /// The object of this name was deleted.
    Gone(Arc<str>),
}

/// The changes since a revision.
#[derive(Debug, Clone)]
pub struct Changes {
    /// The changes, each with the number of its revision.
    pub changes: Vec<(Change, u64)>,
    /// Descriptions of the objects that could not be parsed.
    pub findings: Vec<String>,
    /// The number of the store's revision that the changes lead to.
    pub number: u64,
}

/// The error for bytes that don't follow the platform's protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

/// An engine's report about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The number of orders that the engine has accepted since its start.
    pub order_count: u64,
    /// The start time of the engine's incarnation, in milliseconds of Unix time; none if not
    /// reported.
    pub born: Option<u64>,
    /// Whether the engine is shutting down.
    pub is_leaving: bool,
}

/// The functions for one platform.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Parses the head of a client's request, given the size of its body.
    pub read_request: fn(&request::Parts, usize) -> Request,
    /// Builds the head of a call to an engine from the head of the client's request.
    pub call_head: fn(&request::Parts, &Send) -> request::Parts,
    /// Sets the time that is left until a request's deadline in its headers.
    pub set_deadline: fn(&mut HeaderMap, Duration),
    /// Parses the head of an engine's answer; fails if it answers another request.
    pub read_answer: fn(&response::Parts, &request::Parts) -> Result<Answer, Malformed>,
    /// Returns whether an answer bears the signature of an engine, without which it is no success.
    pub is_signed: fn(&response::Parts) -> bool,
    /// Parses the engine's statement about itself from the head of its answer.
    pub read_statement: fn(&response::Parts) -> Statement,
    /// Parses the handle of a cached prompt from the answer to a prefill call.
    pub read_handle: fn(&[u8]) -> Option<String>,
    /// Builds the request that frees a cached prompt.
    pub free_prompt: fn(&Source) -> request::Builder,
    /// Builds the head and the body of the request that asks an engine to reserve memory.
    pub reserve: fn(&Ask) -> (request::Builder, Bytes),
    /// Parses the engine's answer to such a request from its status and body.
    pub read_reservation: fn(StatusCode, &[u8]) -> reservation::Answer,
    /// Builds the request that drops a reservation.
    pub drop_reservation: fn(&Reservation) -> request::Builder,
    /// Builds the head and the body of the order to copy a stream's memory to another engine, from
    /// the head of the client's request.
    pub transfer: fn(&Transfer, &request::Parts) -> (request::Builder, Bytes),
    /// Parses the engine's answer to such an order from its status and body.
    pub read_transfer: fn(StatusCode, &[u8]) -> migration::Answer,
    /// Builds the request that asks an engine which prompt prefixes it caches.
    pub query_cached_prompts: fn(&Engine) -> request::Builder,
    /// Parses the cached prefixes from the answer, the largest first.
    pub read_cached_prompts: fn(&[u8]) -> Option<Vec<PromptKey>>,
    /// Builds the request for an engine's report.
    pub report: fn(&Engine) -> request::Builder,
    /// Parses an engine's report.
    pub read_report: fn(&[u8]) -> Option<Report>,
    /// Builds the head and the body of an order to an engine.
    pub order: fn(&Order) -> (request::Builder, Bytes),
    /// Translates the status of an engine's answer to an order.
    pub read_order_answer: fn(StatusCode) -> OrderAnswer,
    /// Builds the head and the body of an operation on one of hollyspoke's own objects in the
    /// store.
    pub operation: fn(&Operation) -> (request::Builder, Bytes),
    /// Parses the store's answer to such an operation.
    pub read_operation_answer: fn(&Operation, StatusCode, &[u8]) -> Stored,
    /// Parses the store's era from the headers of any of its answers; none if it is missing.
    pub read_era: fn(&HeaderMap) -> Option<u64>,
    /// Builds the path of a list of a kind, after a name if one is given. The flag allows a stale
    /// answer.
    pub list: fn(Kind, Option<&str>, bool) -> String,
    /// Builds the path that waits for changes of a kind since the number of a revision, for at most
    /// the given time.
    pub watch: fn(Kind, u64, Duration) -> String,
    /// Parses a page of a list.
    pub read_page: fn(Kind, &[u8]) -> Result<Page, Malformed>,
    /// Parses a list of changes.
    pub read_changes: fn(Kind, &[u8]) -> Result<Changes, Malformed>,
    /// Parses the region of a client that asks for addresses from the query; none if it is missing.
    pub read_region: fn(&str) -> Option<String>,
    /// The path at which clients ask for addresses.
    pub resolve_path: &'static str,
    /// The path at which the platform checks whether this box is ready.
    pub ready_path: &'static str,
    /// Builds the answer to a client that asks for addresses, given how long it may cache them.
    pub write_addresses: fn(&[SocketAddr], Duration) -> Bytes,
}

impl Dialect {
    /// Checks that an answer which reaches a client as a success is signed by an engine.
    ///
    /// # Errors
    ///
    /// If it is not.
    pub fn check_signature(&self, head: &response::Parts) -> Result<(), Flaw> {
        if head.status.is_success() && !(self.is_signed)(head) {
            return Err(Flaw::Unsigned);
        }
        Ok(())
    }
}
