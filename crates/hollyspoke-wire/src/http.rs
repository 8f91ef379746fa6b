//! A small HTTP client over `hyper-util`, which tells whether a failed call was ever sent.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pooled;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body that is read whole, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A client for all calls of one process.
#[derive(Debug, Clone)]
pub struct Client {
    /// The connections kept open.
    pooled: Pooled<HttpConnector, Full<Bytes>>,
    /// A client that opens a connection for each call.
    unpooled: Pooled<HttpConnector, Full<Bytes>>,
}

/// Why a call gave no answer that could be used.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be opened: nothing was sent.
    Connect(String),
    /// It failed after something may have been sent.
    Sent(String),
    /// The answer had a status that says no.
    Status {
        /// The status.
        status: u16,
        /// The body, as text.
        body: String,
    },
}

impl CallError {
    /// Tells whether anything of the call may have reached the other side.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, CallError::Connect(_))
    }

    /// Gives the status of the answer, if there was one.
    pub fn status(&self) -> Option<u16> {
        match self {
            CallError::Status { status, .. } => Some(*status),
            CallError::Connect(_) | CallError::Sent(_) => None,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connect(reason) => write!(f, "no connection: {reason}"),
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
    /// Makes a client.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pooled = Pooled::builder(TokioExecutor::new()).build(connector.clone());
        let unpooled = Pooled::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Client { pooled, unpooled }
    }

    /// Sends a request over a kept connection.
    ///
    /// # Errors
    ///
    /// When no answer comes; any status is an answer.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.pooled.request(request).await.map_err(call_error)
    }

    /// Sends a request over a connection of its own, so that a connection which the other side is
    /// just closing can't leave it unclear whether the request arrived.
    ///
    /// # Errors
    ///
    /// When no answer comes; any status is an answer.
    pub async fn send_unpooled(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.unpooled.request(request).await.map_err(call_error)
    }

    /// Reads a JSON value.
    ///
    /// # Errors
    ///
    /// When no answer comes, its status is not a success, or it is not the JSON expected.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, CallError> {
        self.json(Method::GET, url, Bytes::new()).await
    }

    /// Sends a JSON value and reads one.
    ///
    /// # Errors
    ///
    /// When no answer comes, its status is not a success, or it is not the JSON expected.
    pub async fn post<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
    ) -> Result<T, CallError> {
        self.json(Method::POST, url, encode(body)?).await
    }

    /// Writes a JSON value and reads one.
    ///
    /// # Errors
    ///
    /// When no answer comes, its status is not a success, or it is not the JSON expected.
    pub async fn put<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
    ) -> Result<T, CallError> {
        self.json(Method::PUT, url, encode(body)?).await
    }

    /// Makes one call with JSON on both ways.
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

/// Reads a response's whole body.
///
/// # Errors
///
/// When the body breaks off or is larger than [`BODY_LIMIT`].
pub async fn read_whole(response: Response<Incoming>) -> Result<Bytes, CallError> {
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
    let whole = body.collect().await.map_err(|error| CallError::Sent(error.to_string()))?;
    Ok(whole.to_bytes())
}

/// Writes a value as JSON.
fn encode(value: &impl Serialize) -> Result<Bytes, CallError> {
    let bytes = serde_json::to_vec(value).map_err(|error| CallError::Connect(error.to_string()))?;
    Ok(Bytes::from(bytes))
}

/// Tells apart what was never sent.
fn call_error(error: hyper_util::client::legacy::Error) -> CallError {
    let reason = match std::error::Error::source(&error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    };
    if error.is_connect() { CallError::Connect(reason) } else { CallError::Sent(reason) }
}
