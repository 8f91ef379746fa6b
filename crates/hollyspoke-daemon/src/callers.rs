//! The interface for callers and operators over HTTP.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Query as QueryString, Request, State};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures::stream;
use hollyspoke::effect::CallerReply;
use hollyspoke::event::{Arrival, Call, CallId, Event, Work};
use hollyspoke::key::Key;
use hollyspoke::outcome::Answer;
use hollyspoke::outcome::{Problem, ProblemKind};
use hollyspoke::site::{Kind, Site};
use hollyspoke_wire::caller;
use hollyspoke_wire::http::{CallError, Client};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use tokio::sync::{mpsc, oneshot};

use crate::input::{Input, InputSender, Query};
use crate::openai::{self, Form, Usage};
use crate::problem::{self, RequestError};
use crate::upstream;

/// The time limit for receiving a request's body.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// The highest class that a caller may request.
const MAX_CLASS: u8 = 9;

/// The longest value of a header with a short text, such as a tenant or an idempotency key.
const MAX_NAME_BYTES: usize = 256;

/// The state that all routes share.
#[derive(Debug, Clone)]
pub struct Callers {
    /// The input queue of the reducer's loop.
    inputs: InputSender,
    /// The client for relaying requests to other boxes.
    client: Client,
    /// The number of the last call.
    last_call: Arc<AtomicU64>,
    /// The largest body, in bytes.
    body_limit: usize,
}

/// A call at the reducer. Dropping it reports that the caller has disconnected.
#[derive(Debug)]
struct CallHandle {
    /// The number of the call.
    call: CallId,
    /// The input queue of the reducer's loop.
    inputs: InputSender,
    /// The channel of the reducer's replies.
    replies: mpsc::UnboundedReceiver<CallerReply>,
}

impl Drop for CallHandle {
    fn drop(&mut self) {
        // The reducer ignores this event for a call that it has answered.
        self.inputs.send_event(Event::Gone(self.call));
    }
}

impl CallHandle {
    /// Waits for the next reply; none after the last.
    async fn next(&mut self) -> Option<CallerReply> {
        self.replies.recv().await
    }
}

/// A request as received, for relaying it to another box.
#[derive(Debug, Clone)]
struct OriginalRequest {
    /// The method.
    method: String,
    /// The path with its query.
    path: String,
    /// The headers that are forwarded.
    headers: Vec<(String, String)>,
    /// The body.
    body: Bytes,
}

impl Callers {
    /// Creates the state of the routes.
    pub fn new(inputs: InputSender, body_limit: usize) -> Callers {
        Callers { inputs, client: Client::new(), last_call: Arc::default(), body_limit }
    }

    /// Returns the router; other paths are calls of plain services.
    pub fn router(self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(chat))
            .route("/v1/completions", post(text))
            .route("/v1/models", get(models))
            .route("/v1/addresses", get(addresses))
            .route("/v1/status", get(status))
            .route("/v1/site", get(site))
            .route("/metrics", get(metrics))
            .route("/healthz", get(|| async { "ok\n" }))
            .route("/readyz", get(ready))
            .fallback(plain)
            .with_state(self)
    }

    /// Submits a request to the reducer.
    fn submit(&self, arrival: Arrival) -> CallHandle {
        let call = CallId(self.last_call.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, replies) = mpsc::unbounded_channel();
        let arrival = Box::new(arrival);
        self.inputs.send(Input::Arrive { call, arrival, replies: sender });
        CallHandle { call, inputs: self.inputs.clone(), replies }
    }

    /// Sends a query to the event loop and waits for the answer.
    async fn query<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> Query,
    ) -> Result<T, Response> {
        let (sender, answer) = oneshot::channel();
        self.inputs.send(Input::Query(query(sender)));
        answer.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE.into_response())
    }

    /// Reads a complete request, within the limits on the body's size and time.
    async fn read(&self, request: Request) -> Result<(OriginalRequest, HeaderMap), RequestError> {
        let (parts, body) = request.into_parts();
        let collected = Limited::new(body, self.body_limit).collect();
        let body = match tokio::time::timeout(BODY_TIMEOUT, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(RequestError {
                    status: StatusCode::PAYLOAD_TOO_LARGE,
                    slug: "too-large",
                    detail: format!("the body has more than {} bytes", self.body_limit),
                });
            }
            Ok(Err(error)) => return Err(RequestError::malformed(format!("the body: {error}"))),
            Err(_) => {
                return Err(RequestError {
                    status: StatusCode::REQUEST_TIMEOUT,
                    slug: "slow-sender",
                    detail: format!("the body did not come within {} s", BODY_TIMEOUT.as_secs()),
                });
            }
        };
        let path = parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
        let headers = parts.headers.iter().filter_map(upstream::forwarded_header).collect();
        let original = OriginalRequest { method: parts.method.to_string(), path, headers, body };
        Ok((original, parts.headers))
    }

    /// Relays a request to its home box.
    async fn relay(
        &self,
        original: &OriginalRequest,
        address: &str,
        key: Key,
        repeatable: bool,
    ) -> Result<Response, CallError> {
        let mut request = axum::http::Request::builder()
            .method(original.method.as_str())
            .uri(format!("http://{address}{}", original.path));
        let replaced = [caller::KEY, caller::IDEMPOTENCY_KEY, caller::RELAYED];
        for (name, value) in &original.headers {
            if !replaced.contains(&name.as_str()) {
                request = request.header(name, value);
            }
        }
        let request = request
            .header(caller::KEY, key.to_string())
            .header(caller::RELAYED, "true")
            .body(Full::new(original.body.clone()))
            .map_err(|error| CallError::Connect(error.to_string()))?;
        let response = match repeatable {
            true => self.client.send(request).await?,
            false => self.client.send_unpooled(request).await?,
        };
        Ok(response.map(Body::new))
    }

    /// Submits a request to the reducer, and relays it if its home is another box. Returns the
    /// first local reply, or the response if the request was answered elsewhere or failed.
    async fn submit_and_relay(
        &self,
        original: &OriginalRequest,
        arrival: Arrival,
    ) -> Result<StartedCall, Response> {
        let mut handle = self.submit(arrival.clone());
        let Some(reply) = handle.next().await else {
            return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
        };
        let CallerReply::Relay { address, key, repeatable } = reply else {
            return Ok(StartedCall { handle, first: reply });
        };
        match self.relay(original, &address, key, repeatable).await {
            Ok(response) => Err(response),
            Err(_) if repeatable => {
                let retry = Arrival { key: None, claim: None, ..arrival };
                let mut handle = self.submit(retry);
                let Some(first) = handle.next().await else {
                    return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
                };
                Ok(StartedCall { handle, first })
            }
            Err(_) => {
                let detail = "the box that has this request can't be reached; it may have run";
                let detail = detail.to_owned();
                let unknown = Problem { kind: ProblemKind::Unknown, detail, retry_after: None };
                Err(problem::response(&problem::wire(&unknown)))
            }
        }
    }
}

/// A call whose first reply has arrived.
struct StartedCall {
    /// The call at the reducer, for further replies.
    handle: CallHandle,
    /// The first reply.
    first: CallerReply,
}

/// Handles a chat completion.
async fn chat(State(callers): State<Callers>, request: Request) -> Response {
    generate(callers, Form::Chat, request).await
}

/// Handles a text completion.
async fn text(State(callers): State<Callers>, request: Request) -> Response {
    generate(callers, Form::Text, request).await
}

/// Handles a completion of either form.
async fn generate(callers: Callers, form: Form, request: Request) -> Response {
    let read = async {
        let (original, headers) = callers.read(request).await?;
        let parsed = openai::read(form, &original.body)?;
        let arrival = arrival(&headers, Work::Generate(parsed.work.clone()))?;
        Ok::<_, RequestError>((original, parsed, arrival))
    };
    let (original, parsed, arrival) = match read.await {
        Ok(read) => read,
        Err(error) => return problem::response(&error.wire()),
    };
    let id = match arrival.key {
        Some(key) => format!("cmpl-{key}"),
        None => format!("cmpl-{}", callers.last_call.load(Ordering::Relaxed) + 1),
    };
    let started = match callers.submit_and_relay(&original, arrival).await {
        Ok(started) => started,
        Err(response) => return response,
    };
    if parsed.stream {
        streamed_response(parsed, id, started)
    } else {
        complete_response(parsed, id, started).await
    }
}

/// Collects all tokens and returns the complete answer.
async fn complete_response(
    parsed: openai::Request,
    id: String,
    mut started: StartedCall,
) -> Response {
    let mut text = String::new();
    let mut reply = Some(started.first);
    loop {
        match reply {
            Some(CallerReply::Token(token)) => text.push_str(&token),
            Some(CallerReply::Finished { reason, prompt_tokens, tokens }) => {
                let usage = Usage::new(prompt_tokens, tokens);
                return Json(openai::completion(&parsed, &id, &text, &reason, usage))
                    .into_response();
            }
            Some(CallerReply::Problem(problem)) => {
                return problem::response(&problem::wire(&problem));
            }
            Some(CallerReply::Answer(_) | CallerReply::Relay { .. }) | None => {
                return StatusCode::SERVICE_UNAVAILABLE.into_response();
            }
        }
        reply = started.handle.next().await;
    }
}

/// Returns an answer token by token, as server-sent events.
fn streamed_response(parsed: openai::Request, id: String, started: StartedCall) -> Response {
    let StartedCall { handle, first } = started;
    if let CallerReply::Problem(problem) = &first {
        return problem::response(&problem::wire(problem));
    }
    let events = stream::unfold(Some((handle, Some(first))), move |state| {
        let (parsed, id) = (parsed.clone(), id.clone());
        async move {
            let (mut handle, first) = state?;
            let reply = match first {
                Some(first) => Some(first),
                None => handle.next().await,
            };
            let (event, more) = server_sent_event(&parsed, &id, reply?);
            Some((Ok::<_, Infallible>(event), more.then_some((handle, None))))
        }
    });
    let mut response = Body::from_stream(events).into_response();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Formats a reply as server-sent events. Returns also whether more replies may follow.
fn server_sent_event(parsed: &openai::Request, id: &str, reply: CallerReply) -> (Bytes, bool) {
    match reply {
        CallerReply::Token(token) => {
            let chunk = openai::chunk(parsed, id, &token, None);
            (Bytes::from(format!("data: {chunk}\n\n")), true)
        }
        CallerReply::Finished { reason, .. } => {
            let chunk = openai::chunk(parsed, id, "", Some(&reason));
            (Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n")), false)
        }
        CallerReply::Problem(problem) => {
            let wire = serde_json::to_string(&problem::wire(&problem)).unwrap_or_default();
            (Bytes::from(format!("event: error\ndata: {wire}\n\n")), false)
        }
        CallerReply::Answer(_) | CallerReply::Relay { .. } => (Bytes::new(), false),
    }
}

/// Handles a call of a plain service.
async fn plain(State(callers): State<Callers>, request: Request) -> Response {
    let read = async {
        let (original, headers) = callers.read(request).await?;
        let reserved = [caller::ONCE, caller::CLASS, caller::RELAYED, caller::KEY];
        let passed = original.headers.iter().filter(|(name, _)| !reserved.contains(&name.as_str()));
        let call = Call {
            method: original.method.clone(),
            path: original.path.clone(),
            headers: passed.cloned().collect(),
            body: original.body.as_ref().into(),
        };
        let arrival = arrival(&headers, Work::Call(call))?;
        Ok::<_, RequestError>((original, arrival))
    };
    let (original, arrival) = match read.await {
        Ok(read) => read,
        Err(error) => return problem::response(&error.wire()),
    };
    let started = match callers.submit_and_relay(&original, arrival).await {
        Ok(started) => started,
        Err(response) => return response,
    };
    match started.first {
        CallerReply::Answer(answer) => service_response(answer),
        CallerReply::Problem(problem) => problem::response(&problem::wire(&problem)),
        CallerReply::Token(_) | CallerReply::Finished { .. } | CallerReply::Relay { .. } => {
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        }
    }
}

/// Returns the response for a plain service's answer.
fn service_response(answer: Answer) -> Response {
    let mut response = Response::new(Body::from(Bytes::copy_from_slice(&answer.body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Creates an arrival from a request's headers.
fn arrival(headers: &HeaderMap, work: Work) -> Result<Arrival, RequestError> {
    let key = match text_header(headers, caller::KEY)? {
        Some(text) => Some(text.parse::<Key>().map_err(|error| {
            RequestError::malformed(format!("the header `{}`: {error}", caller::KEY))
        })?),
        None => None,
    };
    let class = match text_header(headers, caller::CLASS)? {
        None => 0,
        Some(text) => text.parse().ok().filter(|it| *it <= MAX_CLASS).ok_or_else(|| {
            let detail = format!("the header `{}` must be from 0 to {MAX_CLASS}", caller::CLASS);
            RequestError::malformed(detail)
        })?,
    };
    Ok(Arrival {
        key,
        claim: text_header(headers, caller::IDEMPOTENCY_KEY)?.map(str::to_owned),
        relayed: bool_header(headers, caller::RELAYED)?,
        repeatable: !bool_header(headers, caller::ONCE)?,
        tenant: text_header(headers, caller::TENANT)?.unwrap_or_default().to_owned(),
        class,
        work,
    })
}

/// Reads a header with a short text; none if the header is absent.
fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_NAME_BYTES => Ok(Some(text)),
        Ok(_) | Err(_) => {
            let detail =
                format!("the header `{name}` must be a text of 1 to {MAX_NAME_BYTES} bytes");
            Err(RequestError::malformed(detail))
        }
    }
}

/// Reads a header that is `true` or `false`; an absent one is false.
fn bool_header(headers: &HeaderMap, name: &str) -> Result<bool, RequestError> {
    match text_header(headers, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => {
            let detail = format!("the header `{name}` must be `true` or `false`");
            Err(RequestError::malformed(detail))
        }
    }
}

/// Returns the models and adapters of the site.
async fn models(State(callers): State<Callers>) -> Result<Json<serde_json::Value>, Response> {
    let site = callers.query(Query::Site).await?;
    let names = site.services.iter().flat_map(|service| match &service.kind {
        Kind::Engines { model, adapters, .. } => {
            std::iter::once(model.as_str()).chain(adapters.iter().map(String::as_str)).collect()
        }
        Kind::Plain { .. } => Vec::new(),
    });
    Ok(Json(openai::models(names)))
}

/// Returns the addresses of the boxes for a caller.
async fn addresses(
    State(callers): State<Callers>,
    QueryString(mut query): QueryString<HashMap<String, String>>,
) -> Result<Json<hollyspoke::address::Answer>, Response> {
    let caller = query.remove("caller").unwrap_or_default();
    let data_centre = query.remove("data_centre");
    let question = |answer| Query::Addresses { caller, data_centre, answer };
    callers.query(question).await.map(Json)
}

/// Returns the box's status.
async fn status(
    State(callers): State<Callers>,
) -> Result<Json<hollyspoke::status::Status>, Response> {
    callers.query(Query::Status).await.map(Json)
}

/// Returns the site in force.
async fn site(State(callers): State<Callers>) -> Result<Json<Site>, Response> {
    callers.query(Query::Site).await.map(Json)
}

/// Returns the metrics in Prometheus' text format.
async fn metrics(State(callers): State<Callers>) -> Result<String, Response> {
    callers.query(Query::Metrics).await
}

/// Returns whether the box is ready for callers.
async fn ready(State(callers): State<Callers>) -> Result<&'static str, Response> {
    match callers.query(Query::Ready).await? {
        true => Ok("ready\n"),
        false => Err((StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()),
    }
}
