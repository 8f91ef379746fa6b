//! The port to a platform: functions that turn its messages into the product's own types and back.
//! They translate; they neither decide nor keep anything.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke::store::{Answer as Stored, Operation};
use hollyspoke_gateway::effect::{Order, Send, Source};
use hollyspoke_gateway::engine::Engine;
use hollyspoke_gateway::event::{Answer, OrderAnswer};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::route::Configuration;
use hollyspoke_gateway::statement::Statement;
use http::{HeaderMap, StatusCode, request, response};

pub use hollyspoke_gateway::event::Kind;

/// One object of the store.
#[derive(Debug, Clone)]
pub enum Item {
    /// A version of the configuration.
    Configuration(Arc<Configuration>),
    /// An engine.
    Engine(Engine),
    /// A data centre that is evacuated.
    Evacuated(Arc<str>),
}

/// A page of a list.
#[derive(Debug, Clone)]
pub struct Page {
    /// The objects that could be read.
    pub items: Vec<Item>,
    /// Findings about objects that could not be read.
    pub findings: Vec<String>,
    /// The name after which the list goes on, if it does.
    pub next: Option<String>,
    /// The number of the store's revision.
    pub number: u64,
}

/// One change.
#[derive(Debug, Clone)]
pub enum Change {
    /// An object was made or replaced.
    Put(Item),
    /// The object of a name is gone.
    Gone(Arc<str>),
}

/// What has changed since a revision.
#[derive(Debug, Clone)]
pub struct Changes {
    /// The changes and the numbers of their revisions.
    pub changes: Vec<(Change, u64)>,
    /// Findings about objects that could not be read.
    pub findings: Vec<String>,
    /// The number of the store's revision.
    pub number: u64,
}

/// Bytes that are not what the platform's pages say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

/// What an engine reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The orders that it has taken since its start.
    pub order_count: u64,
    /// When this life of it began, in milliseconds of Unix time, if it tells.
    pub born: Option<u64>,
    /// Whether it is about to leave.
    pub is_leaving: bool,
}

/// The functions of one platform.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Reads the head of a client's request, with the size of its body.
    pub read_request: fn(&request::Parts, usize) -> Request,
    /// Makes the head of a call to an engine from the client's head.
    pub call_head: fn(&request::Parts, &Send) -> request::Parts,
    /// Reads the head of an engine's answer; an error if it answers another request.
    pub read_answer: fn(&response::Parts, &request::Parts) -> Result<Answer, Malformed>,
    /// Reads what the head of an engine's answer says of the engine.
    pub read_statement: fn(&response::Parts) -> Statement,
    /// Reads the handle from the answer to the reading of a prompt.
    pub read_handle: fn(&[u8]) -> Option<String>,
    /// Makes the request that frees a prompt.
    pub free_prompt: fn(&Source) -> request::Builder,
    /// Makes the request that asks an engine which parts of prompts it keeps.
    pub query_cached_prompts: fn(&Engine) -> request::Builder,
    /// Reads the parts from the answer, the largest first.
    pub read_cached_prompts: fn(&[u8]) -> Option<Vec<PromptKey>>,
    /// Makes the request that asks an engine for its report.
    pub report: fn(&Engine) -> request::Builder,
    /// Reads a report.
    pub read_report: fn(&[u8]) -> Option<Report>,
    /// Makes the head and the body of an order to an engine.
    pub order: fn(&Order) -> (request::Builder, Bytes),
    /// Reads an engine's answer to an order.
    pub read_order_answer: fn(StatusCode) -> OrderAnswer,
    /// Makes the head and the body of an operation on an object of the product's own.
    pub operation: fn(&Operation) -> (request::Builder, Bytes),
    /// Reads the store's answer to such an operation.
    pub read_operation_answer: fn(&Operation, StatusCode, &[u8]) -> Stored,
    /// Reads the store's era from the headers of any of its answers, if it tells.
    pub read_era: fn(&HeaderMap) -> Option<u64>,
    /// Makes the path that lists a kind, after a name; whether the answer may be stale.
    pub list: fn(Kind, Option<&str>, bool) -> String,
    /// Makes the path that waits for changes of a kind since the number of a revision.
    pub watch: fn(Kind, u64, Duration) -> String,
    /// Reads a page of a list.
    pub read_page: fn(Kind, &[u8]) -> Result<Page, Malformed>,
    /// Reads changes.
    pub read_changes: fn(Kind, &[u8]) -> Result<Changes, Malformed>,
    /// Reads the region of a client that asks for addresses from the query, if it tells.
    pub read_region: fn(&str) -> Option<String>,
    /// The path at which clients ask for addresses.
    pub resolve_path: &'static str,
    /// The path at which the platform asks whether this box is ready.
    pub ready_path: &'static str,
    /// Makes the answer to a client that asks for addresses, and how long it may keep them.
    pub write_addresses: fn(&[SocketAddr], Duration) -> Bytes,
}
