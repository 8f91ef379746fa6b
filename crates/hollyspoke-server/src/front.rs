//! Clients' HTTP connections.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_gateway::effect::Refusal;
use hollyspoke_gateway::framing::Framing;
use hollyspoke_gateway::route::Limits;
use hollyspoke_socket::accept::Acceptor;
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Version, request, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::answer::AnswerBody;
use crate::body_memory::Buffer;
use crate::client_stream::{ClientStream, CloseDelimited};
use crate::head_clock::{HeadClock, RequestGuard};
use crate::http1::{framing, remove_hop_headers};
use crate::memory::Exhausted;
use crate::node::{ClientAnswer, Node, Origin, ReceivedRequest};
use crate::proxy;

/// The limits of clients' requests before a configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(15),
};

/// The minimum buffer size that the HTTP library accepts for a connection.
const MIN_BUFFER_BYTES: usize = 8192;

/// The time after which a client may send a body again for which there was no memory.
const BODY_RETRY: Duration = Duration::from_secs(1);

/// Added to the idle timeout of a connection, since clients measure it from their own side.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The version of answers that are delimited by the close of the connection. The HTTP library gives
/// later versions a framing of their own.
const CLOSE_DELIMITED_VERSION: Version = Version::HTTP_10;

/// The reason why a request's body could not be read.
enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The body is malformed, or the client has disconnected.
    Malformed,
    /// The box has no memory for the body, beside those that it holds.
    NoMemory,
}

impl From<Exhausted> for BodyError {
    fn from(_: Exhausted) -> BodyError {
        BodyError::NoMemory
    }
}

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Clients.
    Clients,
    /// Other boxes, on behalf of their clients.
    Peers,
}

/// Accepts connections until the box closes.
pub async fn listen(
    node: Rc<Node>,
    listener: TcpListener,
    audience: Audience,
    closing: watch::Receiver<bool>,
) {
    let mut closed = closing.clone();
    let mut acceptor = Acceptor::new(listener, node.log.clone());
    loop {
        let (stream, address) = tokio::select! {
            accepted = acceptor.accept(|_| node.free_descriptor()) => accepted,
            _ = closed.wait_for(|it| *it) => return,
        };
        if audience == Audience::Peers && !node.with(|it| it.knows_box(address.ip())) {
            warn!(node.log, "request refused to a stranger"; "asker" => %address);
            continue;
        }
        tokio::task::spawn_local(serve(node.clone(), stream, audience, closing.clone()));
    }
}

/// Serves one connection. A request in flight is still answered when the box closes.
async fn serve(
    node: Rc<Node>,
    stream: TcpStream,
    audience: Audience,
    mut closing: watch::Receiver<bool>,
) {
    // Without this option small answers are delayed, but the connection works all the same.
    _ = stream.set_nodelay(true);
    let limits = node.with(|it| it.limits()).unwrap_or(DEFAULT_LIMITS);
    let clock = HeadClock::new();
    let close_delimited = CloseDelimited::default();
    let delivery = node.memory.deliveries.add();
    let service = service_fn(|request| {
        let (node, guard) = (node.clone(), clock.start_request(delivery.clone()));
        let close_delimited = close_delimited.clone();
        async move {
            let version = request.version();
            let response = answer(node, request, audience, &guard).await;
            if is_close_delimited(version, &response) {
                close_delimited.set();
            }
            Ok::<_, Infallible>(response.map(|it| guard.attach(it)))
        }
    });
    let stream = ClientStream::new(
        stream,
        clock.clone(),
        close_delimited.clone(),
        delivery.clone(),
        node.memory.clone(),
        limits.idle_timeout + IDLE_MARGIN,
    );
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = clock.wait_overdue(limits.head_timeout) => {
            info!(node.log, "head not whole in time");
            return;
        }
        () = delivery.closed() => {
            node.metrics.count_disconnected();
            let count = node.memory.deliveries.closed_count();
            if count.is_power_of_two() {
                warn!(node.log, "slow or idle client disconnected"; "count" => count);
            }
            return;
        }
        _ = closing.wait_for(|it| *it) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    match ended {
        Err(error) if error.is_parse() => {
            warn!(node.log, "malformed request"; "error" => %error);
        }
        Err(error) => debug!(node.log, "connection of a client ended"; "error" => %error),
        Ok(()) => {}
    }
}

/// Returns whether the close of the connection delimits an answer to a request of an HTTP version.
fn is_close_delimited(request_version: Version, response: &Response<AnswerBody>) -> bool {
    let knows_chunks = request_version > Version::HTTP_10;
    let is_stream = matches!(response.body(), AnswerBody::Stream(..));
    response.version() == CLOSE_DELIMITED_VERSION || is_stream && !knows_chunks
}

/// Answers one request.
async fn answer(
    node: Rc<Node>,
    request: Request<Incoming>,
    audience: Audience,
    guard: &RequestGuard,
) -> Response<AnswerBody> {
    let limits = node.with(|it| it.limits()).unwrap_or(DEFAULT_LIMITS);
    let (mut head, body) = request.into_parts();
    mark_credentials_sensitive(&mut head.headers);
    let origin = match audience {
        Audience::Clients => Origin::Client,
        Audience::Peers => Origin::Peer(proxy::take_credential(&mut head.headers)),
    };
    let body = match read_body(&node, &head, body, &limits).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return closing_status(StatusCode::PAYLOAD_TOO_LARGE),
        Err(BodyError::TooSlow) => return closing_status(StatusCode::REQUEST_TIMEOUT),
        Err(BodyError::Malformed) => return closing_status(StatusCode::BAD_REQUEST),
        Err(BodyError::NoMemory) => {
            warn!(node.log, "request refused: no memory for its body");
            return closing(retry_status(StatusCode::SERVICE_UNAVAILABLE, BODY_RETRY));
        }
    };
    guard.finish_body();
    let (hook, receiver) =
        node.start_request(ReceivedRequest { head: Rc::new(head), body, origin });
    let received = receiver.await;
    let mut response = match received {
        Ok(ClientAnswer::Whole(head, body)) => {
            let body = match framing(&head) {
                Framing::Marked => AnswerBody::Whole(Some(body)),
                Framing::Close => AnswerBody::Unmarked(Some(body)),
            };
            Response::from_parts(client_head(head), body)
        }
        Ok(ClientAnswer::Stream(head, stream)) => {
            Response::from_parts(client_head(head), AnswerBody::Stream(stream, Some(hook)))
        }
        Ok(ClientAnswer::Refused(refusal)) => refusal_response(refusal),
        Err(_) => status(StatusCode::BAD_GATEWAY),
    };
    if node.with(|it| it.is_stopping()) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Marks credentials as sensitive, so that a printed head omits them.
fn mark_credentials_sensitive(headers: &mut HeaderMap) {
    for (name, value) in headers.iter_mut() {
        if name == AUTHORIZATION {
            value.set_sensitive(true);
        }
    }
}

/// Reads a request's whole body.
async fn read_body(
    node: &Node,
    head: &request::Parts,
    body: Incoming,
    limits: &Limits,
) -> Result<Bytes, BodyError> {
    let content_length =
        head.headers.get(CONTENT_LENGTH).and_then(|it| it.to_str().ok()?.parse().ok());
    if content_length.is_some_and(|it: usize| it > limits.body_bytes) {
        return Err(BodyError::TooLarge);
    }
    let buffer = Buffer::new(&node.memory, content_length.unwrap_or(0))?;
    let collected = collect(body, limits.body_bytes, buffer);
    tokio::time::timeout(limits.idle_timeout, collected).await.unwrap_or(Err(BodyError::TooSlow))
}

/// Collects the parts of a body.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    mut buffer: Buffer,
) -> Result<Bytes, BodyError> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Malformed)?.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        buffer.push(&data)?;
    }
    Ok(buffer.freeze())
}

/// Returns the head of an engine's answer as it is sent to the client. An answer that the engine
/// delimits by the close of its connection is delimited in the same way: the box can't know more.
fn client_head(mut head: response::Parts) -> response::Parts {
    head.version = match framing(&head) {
        Framing::Marked => Version::HTTP_11,
        Framing::Close => CLOSE_DELIMITED_VERSION,
    };
    remove_hop_headers(&mut head.headers);
    head
}

/// Returns the answer to a request that the gateway itself rejects.
fn refusal_response(refusal: Refusal) -> Response<AnswerBody> {
    match refusal {
        Refusal::NotRun(_, reason, _) if !reason.may_pass() => {
            status(StatusCode::SERVICE_UNAVAILABLE)
        }
        Refusal::NotRun(_, _, retry) => retry_status(StatusCode::SERVICE_UNAVAILABLE, retry),
        Refusal::OverLimit(_, retry) => retry_status(StatusCode::TOO_MANY_REQUESTS, retry),
        Refusal::UnknownKey => {
            let mut response = status(StatusCode::UNAUTHORIZED);
            response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
            response
        }
        // Has no retry time, so that callers treat it as final.
        Refusal::Quarantined(_) => status(StatusCode::BAD_REQUEST),
        Refusal::NoRoute => status(StatusCode::NOT_FOUND),
        Refusal::Failed => status(StatusCode::BAD_GATEWAY),
        Refusal::TimedOut => status(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Returns an answer with a status and the time after which the client may retry.
fn retry_status(code: StatusCode, retry: Duration) -> Response<AnswerBody> {
    let mut response = status(code);
    let seconds = format!("{:.3}", retry.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns an answer with a status and no body.
pub fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = status;
    response
}

/// Returns an answer with a status and no body, after which the connection is closed.
fn closing_status(code: StatusCode) -> Response<AnswerBody> {
    closing(status(code))
}

/// Lets the connection be closed after an answer.
fn closing(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
