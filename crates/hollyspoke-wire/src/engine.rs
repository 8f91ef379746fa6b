//! The HTTP interface of model engines that the router assumes, with JSON bodies.

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use hollyspoke::event::{EngineState, Report};
use hollyspoke::key::Ticket;
use hollyspoke::site::Role;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::http::{CallError, Client};

/// The status of a decode engine that has no free capacity.
pub const STATUS_FULL: u16 = 409;

/// The status of an engine that rejects an order with an outdated fencing token.
pub const STATUS_FENCED: u16 = 412;

/// The maximum length of a line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// `POST /v1/prefill`: prefills a prompt and caches the result for a few seconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Prefill {
    /// The identifier of the stream.
    pub stream: String,
    /// The name of the model or adapter.
    pub model: String,
    /// The text of the prompt.
    pub prompt: String,
    /// The length of the prompt by the router's count, in tokens.
    pub prompt_tokens: u32,
    /// The priority; lower numbers are served first.
    pub priority: u8,
}

/// The response to [`Prefill`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Prefilled {
    /// The prompt tokens that were in the engine's cache already.
    pub cached_tokens: u32,
}

/// `POST /v1/import`: fetches a prefill result from another engine and reserves memory for the
/// stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Import {
    /// The identifier of the stream.
    pub stream: String,
    /// The address of the engine that holds the result.
    pub from: String,
    /// The memory to reserve, in tokens.
    pub tokens: u32,
}

/// `POST /v1/decode`: decodes a stream. The response has a line of JSON for each [`Line`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Decode {
    /// The identifier of the stream.
    pub stream: String,
    /// The maximum number of tokens of the whole response.
    pub max_tokens: u32,
    /// The position of the first token to send; those before it were delivered already.
    pub from_seq: u32,
}

/// One line of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// A token of the response.
    Token {
        /// Its position in the response, from zero.
        seq: u32,
        /// Its text.
        text: String,
    },
    /// The end of the response.
    Finished {
        /// The reason: `stop` or `length`.
        finished: String,
    },
}

/// `POST /v1/cancel`: stops a stream and frees all resources of it. An unknown stream is no error.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// The identifier of the stream.
    pub stream: String,
}

/// `POST /v1/orders`: sets the role of an engine and the models and adapters that it loads. An
/// engine that compares fencing tokens responds with [`STATUS_FENCED`] to a token below the highest
/// that it has received.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The fencing token.
    pub token: u64,
    /// The role to take.
    pub role: Role,
    /// The model and the adapters to load.
    pub load: Vec<String>,
}

/// An empty response.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Empty {}

/// `GET /v1/report`: the load and state that an engine reports.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Load {
    /// The KV cache in use, in tokens.
    pub used_tokens: u64,
    /// The identifiers of the streams that the engine holds.
    pub streams: Vec<String>,
    /// Whether it is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// Its role, if it accepts orders.
    #[serde(default)]
    pub role: Option<Role>,
    /// The models and adapters that it has loaded, if it accepts orders.
    #[serde(default)]
    pub loaded: Vec<String>,
}

impl Load {
    /// Converts the report for the reducer. Streams that are not the router's are left out.
    pub fn report(&self) -> Report {
        let streams = self.streams.iter().filter_map(|it| it.parse::<Ticket>().ok()).collect();
        let state = self.role.map(|role| EngineState { role, loaded: self.loaded.clone() });
        Report { used_tokens: self.used_tokens, streams, leaving: self.leaving, state }
    }
}

/// Returns the lines of a stream as they arrive.
///
/// # Errors
///
/// If the stream can't be started. An error among the lines means that the stream broke off.
pub async fn decode(
    client: &Client,
    address: &str,
    decode: &Decode,
) -> Result<impl Stream<Item = Result<Line, CallError>> + Send + use<>, CallError> {
    let body = serde_json::to_vec(decode).map_err(|it| CallError::Connect(it.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/v1/decode"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|it| CallError::Connect(it.to_string()))?;
    let response = client.send(request).await?;
    let status = response.status();
    if !status.is_success() {
        let body = crate::http::read_whole(response).await?;
        let body = String::from_utf8_lossy(&body).into_owned();
        return Err(CallError::Status { status: status.as_u16(), body });
    }
    Ok(lines(response.into_body()))
}

/// The unread rest of a body that is split into lines.
struct LineReader {
    /// The body that is read.
    body: Incoming,
    /// The bytes of an incomplete line.
    bytes: Vec<u8>,
}

/// Splits a body into lines of JSON.
fn lines(body: Incoming) -> impl Stream<Item = Result<Line, CallError>> + Send {
    let reader = LineReader { body, bytes: Vec::new() };
    stream::unfold(Some(reader), |reader| async move {
        let mut reader = reader?;
        match reader.next_line().await {
            Ok(Some(line)) => Some((Ok(line), Some(reader))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
    .boxed()
}

impl LineReader {
    /// Reads the next line; `None` at the end of the body.
    async fn next_line(&mut self) -> Result<Option<Line>, CallError> {
        loop {
            if let Some(end) = self.bytes.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return serde_json::from_slice(&line)
                    .map(Some)
                    .map_err(|it| CallError::Sent(it.to_string()));
            }
            if self.bytes.len() > MAX_LINE_BYTES {
                return Err(CallError::Sent("a line is too long".to_owned()));
            }
            let Some(frame) = self.body.frame().await else { return Ok(None) };
            let frame = frame.map_err(|it| CallError::Sent(it.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.bytes.extend_from_slice(&data);
            }
        }
    }
}
