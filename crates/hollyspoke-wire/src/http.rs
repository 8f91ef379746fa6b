//! A small HTTP client over `hyper-util`, which reports whether a failed call was sent at all.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_socket::shortage::Shortage;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pooled;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tower::ServiceExt;
use tower::util::MapResponse;

use crate::checked::{self, CheckedStream};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of a body that is read as a whole, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Opens connections whose answers are checked.
type Connector = MapResponse<HttpConnector, fn(TokioIo<TcpStream>) -> TokioIo<CheckedStream>>;

/// The HTTP client for all calls of a process.
#[derive(Debug, Clone)]
pub struct Client {
    /// The client that pools connections.
    pooled: Pooled<Connector, Full<Bytes>>,
    /// The client that opens a connection for each call.
    unpooled: Pooled<Connector, Full<Bytes>>,
}

/// The reason why a call got no usable response.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    Connect(String),
    /// This process lacks a resource for a connection, so nothing was sent.
    Exhausted(Shortage),
    /// The call failed after some of it may have been sent.
    Sent(String),
    /// The response had an error status.
    Status {
        /// The HTTP status.
        status: u16,
        /// The response body, as text.
        body: String,
    },
}

impl CallError {
    /// Returns whether any part of the call may have reached the other side.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, CallError::Connect(_) | CallError::Exhausted(_))
    }

    /// Returns the status of the response, if there was one.
    pub fn status(&self) -> Option<u16> {
        match self {
            CallError::Status { status, .. } => Some(*status),
            CallError::Connect(_) | CallError::Exhausted(_) | CallError::Sent(_) => None,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connect(reason) => write!(f, "no connection: {reason}"),
            CallError::Exhausted(shortage) => write!(f, "no connection: {shortage}"),
            CallError::Sent(reason) => write!(f, "no answer: {reason}"),
            CallError::Status { status, body } => write!(f, "status {status}: {body}"),
        }
    }
}

impl std::error::Error for CallError {}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let check: fn(TokioIo<TcpStream>) -> TokioIo<CheckedStream> = checked::check;
        let connector = connector.map_response(check);
        let pooled = Pooled::builder(TokioExecutor::new()).build(connector.clone());
        let unpooled = Pooled::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Client { pooled, unpooled }
    }

    /// Sends a request over a pooled connection.
    ///
    /// # Errors
    ///
    /// If no response arrives. A response with any status is a success here.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.pooled.request(request).await.map_err(call_error)
    }

    /// Sends a request over a connection of its own. A pooled connection that the other side is
    /// closing could leave it unclear whether the request arrived.
    ///
    /// # Errors
    ///
    /// If no response arrives. A response with any status is a success here.
    pub async fn send_unpooled(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.unpooled.request(request).await.map_err(call_error)
    }

    /// Sends a GET request and reads a JSON value.
    ///
    /// # Errors
    ///
    /// If no response arrives, its status is no success, or its body is not the expected JSON.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, CallError> {
        self.json(Method::GET, url, Bytes::new()).await
    }

    /// Sends a JSON value in a POST request and reads one.
    ///
    /// # Errors
    ///
    /// If no response arrives, its status is no success, or its body is not the expected JSON.
    pub async fn post<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
    ) -> Result<T, CallError> {
        self.json(Method::POST, url, encode(body)?).await
    }

    /// Sends a JSON value in a PUT request and reads one.
    ///
    /// # Errors
    ///
    /// If no response arrives, its status is no success, or its body is not the expected JSON.
    pub async fn put<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
    ) -> Result<T, CallError> {
        self.json(Method::PUT, url, encode(body)?).await
    }

    /// Sends a request with a JSON body and reads a JSON response.
    async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<T, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| CallError::Connect(error.to_string()))?;
        let response = self.send(request).await?;
        let status = response.status();
        let body = read_whole(response).await?;
        if !status.is_success() {
            let body = String::from_utf8_lossy(&body).into_owned();
            return Err(CallError::Status { status: status.as_u16(), body });
        }
        serde_json::from_slice(&body).map_err(|error| CallError::Sent(error.to_string()))
    }
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// If the body breaks off or is larger than [`MAX_BODY_BYTES`].
pub async fn read_whole(response: Response<Incoming>) -> Result<Bytes, CallError> {
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
    let whole = body.collect().await.map_err(|error| CallError::Sent(error.to_string()))?;
    Ok(whole.to_bytes())
}

/// Encodes a value as JSON.
fn encode(value: &impl Serialize) -> Result<Bytes, CallError> {
    let bytes = serde_json::to_vec(value).map_err(|error| CallError::Connect(error.to_string()))?;
    Ok(Bytes::from(bytes))
}

/// Returns what this process lacked for a connection, if that is the cause of an error.
fn shortage(error: &hyper_util::client::legacy::Error) -> Option<Shortage> {
    if !error.is_connect() {
        return None;
    }
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return Shortage::of(error);
        }
        cause = error.source();
    }
    None
}

/// Distinguishes calls that were never sent from those that may have arrived.
fn call_error(error: hyper_util::client::legacy::Error) -> CallError {
    if let Some(shortage) = shortage(&error) {
        return CallError::Exhausted(shortage);
    }
    let reason = match std::error::Error::source(&error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    };
    if error.is_connect() { CallError::Connect(reason) } else { CallError::Sent(reason) }
}
