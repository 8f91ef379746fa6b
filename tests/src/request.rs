//! Requests of callers, with control over the box, the key and the connection.

use std::time::Duration;

use bytes::Bytes;
use eyre::{OptionExt, WrapErr};
use hollyspoke_wire::caller::{IDEMPOTENCY_KEY, KEY, ONCE, PROBLEM_TYPE, Problem};
use hollyspoke_wire::http::Client;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::cluster::Member;

/// The time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

/// A request to one box.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerResponse {
    /// An answer.
    Answer {
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// A problem.
    Problem(Problem),
    /// The connection broke, or no answer arrived in time.
    Failed(String),
}

impl CallerRequest {
    /// Creates a request for tokens.
    pub fn generate(prompt: &str, max_tokens: u32, stream: bool) -> CallerRequest {
        let body = json!({
            "model": "m", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
        });
        let path = "/v1/completions".to_owned();
        CallerRequest { method: Method::POST, path, headers: Vec::new(), body: body.to_string() }
    }

    /// Creates a request to the plain service that must run at most once.
    pub fn hold(body: &str) -> CallerRequest {
        let path = "/holds/seat".to_owned();
        CallerRequest { method: Method::POST, path, headers: Vec::new(), body: body.to_owned() }
            .header(ONCE, "true")
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> CallerRequest {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds a request key of the router.
    pub fn key(self, key: &str) -> CallerRequest {
        self.header(KEY, key)
    }

    /// Adds an idempotency key of the caller's own.
    pub fn own_key(self, key: &str) -> CallerRequest {
        self.header(IDEMPOTENCY_KEY, key)
    }

    /// Sends the request and returns the response as soon as its head has arrived.
    pub async fn begin(&self, address: &str) -> eyre::Result<Response<Incoming>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.path));
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(self.body.clone())))?;
        // A separate client closes the connection when the response is dropped.
        Ok(Client::new().send_unpooled(request).await?)
    }

    /// Sends the request and reads the whole response.
    pub async fn send(&self, address: &str) -> CallerResponse {
        let whole = async {
            let response = self.begin(address).await?;
            let status = response.status().as_u16();
            let is_problem =
                response.headers().get("content-type").is_some_and(|it| it == PROBLEM_TYPE);
            let body = response.into_body().collect().await?.to_bytes();
            if is_problem {
                return Ok(CallerResponse::Problem(serde_json::from_slice(&body)?));
            }
            Ok(CallerResponse::Answer { status, body: String::from_utf8_lossy(&body).into_owned() })
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, whole).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                let error: eyre::Report = error;
                CallerResponse::Failed(format!("{error:#}"))
            }
            Err(_) => CallerResponse::Failed("nothing came in time".to_owned()),
        }
    }
}

impl CallerResponse {
    /// Returns the generated text of a complete answer.
    pub fn text(&self) -> eyre::Result<String> {
        let CallerResponse::Answer { status: 200, body } = self else {
            eyre::bail!("no answer: {self:?}")
        };
        let value: Value = serde_json::from_str(body).wrap_err("the answer is not JSON")?;
        let text = value["choices"][0]["text"].as_str().ok_or_eyre("the answer has no text")?;
        Ok(text.to_owned())
    }

    /// Returns the last part of a problem's type; empty if the response is not a problem.
    pub fn slug(&self) -> &str {
        match self {
            CallerResponse::Problem(problem) => problem.kind.rsplit(':').next().unwrap_or_default(),
            CallerResponse::Answer { .. } => "",
            CallerResponse::Failed(_) => "nothing",
        }
    }

    /// Returns whether the response is an answer.
    pub fn is_answer(&self) -> bool {
        matches!(self, CallerResponse::Answer { status: 200, .. })
    }
}

/// Returns a new key whose home is the given box.
pub fn key_of(member: &Member, nonce: u64) -> String {
    format!("{}.1.{nonce:x}", member.incarnation)
}

/// Reads a streamed answer; returns its text and whether it ended with the end marker.
pub async fn read_stream(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut rest = String::new();
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else { continue };
        rest.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, later)) = rest.split_once("\n\n") {
            let data = event.strip_prefix("data: ").unwrap_or(event).to_owned();
            rest = later.to_owned();
            if data.starts_with("event: error") {
                text.push_str(&data);
                return (text, false);
            }
            if data == "[DONE]" {
                return (text, true);
            }
            let value: Value = serde_json::from_str(&data).unwrap_or_default();
            text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
        }
    }
    // The response was not a stream: its body has the reason.
    text.push_str(&rest);
    (text, false)
}
