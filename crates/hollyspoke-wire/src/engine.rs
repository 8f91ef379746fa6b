//! The model engines' interface, as the router assumes it: JSON over HTTP.

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

/// The status with which a decode engine says that it has no room.
pub const STATUS_FULL: u16 = 409;

/// The status with which an engine refuses an order of an older token.
pub const STATUS_FENCED: u16 = 412;

/// The longest line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// `POST /v1/prefill`: compute a prompt and keep the result for a few seconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Prefill {
    /// The stream's name.
    pub stream: String,
    /// The model or adapter.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The prompt's length by the router's count, in tokens.
    pub prompt_tokens: u32,
    /// The priority, the lowest number first.
    pub priority: u8,
}

/// The answer to [`Prefill`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Prefilled {
    /// The prompt tokens that the engine's cache already held.
    pub cached_tokens: u32,
}

/// `POST /v1/import`: fetch a prefill result from another engine, reserving memory for the stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Import {
    /// The stream's name.
    pub stream: String,
    /// The address of the engine that has the result.
    pub from: String,
    /// The memory to reserve, in tokens.
    pub tokens: u32,
}

/// `POST /v1/decode`: generate; the answer is a line of JSON for each [`Line`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Decode {
    /// The stream's name.
    pub stream: String,
    /// The most tokens of the whole answer.
    pub max_tokens: u32,
    /// The place of the first token wanted; those before it were delivered already.
    pub from_seq: u32,
}

/// One line of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// A token.
    Token {
        /// Its place in the answer, from zero.
        seq: u32,
        /// Its text.
        text: String,
    },
    /// The end of the answer.
    Finished {
        /// Why: `stop` or `length`.
        finished: String,
    },
}

/// `POST /v1/cancel`: stop a stream and free all that is held for it. Unknown streams are no error.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// The stream's name.
    pub stream: String,
}

/// `POST /v1/orders`: be of a role and load models and adapters. An engine that compares tokens
/// answers one below the highest it has seen with the status [`STATUS_FENCED`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The fencing token.
    pub token: u64,
    /// The role.
    pub role: Role,
    /// The model and adapters to have loaded.
    pub load: Vec<String>,
}

/// An answer that says nothing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Empty {}

/// `GET /v1/report`: what the engine says of itself.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Load {
    /// The KV cache in use, in tokens.
    pub used_tokens: u64,
    /// The names of the streams that it holds.
    pub streams: Vec<String>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Its role, where it takes orders.
    #[serde(default)]
    pub role: Option<Role>,
    /// What it has loaded, where it takes orders.
    #[serde(default)]
    pub loaded: Vec<String>,
}

impl Load {
    /// Gives the report for the reducer; streams that are not the router's are left out.
    pub fn report(&self) -> Report {
        let streams = self.streams.iter().filter_map(|it| it.parse::<Ticket>().ok()).collect();
        let state = self.role.map(|role| EngineState { role, loaded: self.loaded.clone() });
        Report { used_tokens: self.used_tokens, streams, leaving: self.leaving, state }
    }
}

/// Gives the lines of a stream as they come.
///
/// # Errors
///
/// When the stream can't be begun; an error among the lines when it breaks off.
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

/// What is left of a body that is cut into lines.
struct LineReader {
    /// The body.
    body: Incoming,
    /// Bytes of a line that has not ended.
    bytes: Vec<u8>,
}

/// Cuts a body into lines of JSON.
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
    /// Reads the next line; nothing at the body's end.
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
