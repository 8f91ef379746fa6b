//! The small services beside the front: which addresses clients use, whether this box is ready,
//! its metrics, and for operators alone the requests that are held back.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::gateway::HeldRequest;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use crate::answer::AnswerBody;
use crate::front::status;
use crate::node::Node;

/// The most addresses of one answer.
const MAX_ADDRESS_COUNT: usize = 64;

/// How long clients may keep an answer.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(2);

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// How long a head may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The path of the requests that are held back; one of them is below it, by its signature as the
/// log shows it.
const HELD_PATH: &str = "/held";

/// The path of the data centres that are evacuated.
const EVACUATION_PATH: &str = "/evacuation";

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Clients and the platform.
    Clients,
    /// Operators, on a network of theirs.
    Operators,
}

/// A request that is held back, for operators.
#[derive(Debug, Serialize)]
struct HeldEntry {
    /// The signature as the log shows it.
    signature: String,
    /// The customer that sent it, if it is known.
    customer: Option<Arc<str>>,
    /// Its path, if this box knows it.
    path: Option<Arc<str>>,
    /// The engines that crashed under it.
    engines: Vec<String>,
    /// Whether all of them are proven to have crashed.
    proven: bool,
    /// When the last one did, in seconds of Unix time.
    since: u64,
    /// Until when it is held back, in seconds of Unix time.
    until: u64,
}

/// Takes connections until the process ends.
pub async fn listen(node: Rc<Node>, listener: TcpListener, audience: Audience) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(node.clone(), stream, audience));
        }
    }
}

/// Serves one connection.
async fn serve(node: Rc<Node>, stream: TcpStream, audience: Audience) {
    _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let response = answer(&node, &request, audience);
        async move { Ok::<_, Infallible>(response) }
    });
    // A connection that breaks concerns nobody else.
    _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Answers one question.
fn answer(
    node: &Rc<Node>,
    request: &Request<Incoming>,
    audience: Audience,
) -> Response<AnswerBody> {
    let path = request.uri().path();
    if audience == Audience::Operators
        && let Some(subpath) = path.strip_prefix(HELD_PATH)
    {
        return answer_held(node, request.method(), subpath);
    }
    if audience == Audience::Operators && path == EVACUATION_PATH {
        return json(
            node.with(|it| serde_json::to_vec(&it.evacuation())).unwrap_or_default().into(),
        );
    }
    if path == node.dialect.ready_path {
        let is_ready = node.with(|it| it.is_ready());
        return status(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    if path == METRICS_PATH {
        return Response::new(AnswerBody::Whole(Some(node.metrics.text().into())));
    }
    if path == node.dialect.resolve_path {
        return resolve(node, request.uri().query().unwrap_or_default());
    }
    status(StatusCode::NOT_FOUND)
}

/// Tells which requests are held back, or lets one go.
fn answer_held(node: &Rc<Node>, method: &Method, subpath: &str) -> Response<AnswerBody> {
    let held_requests = node.with(|it| it.held());
    match (method, subpath.strip_prefix('/')) {
        (&Method::GET, None) if subpath.is_empty() => {
            let held_requests: Vec<_> = held_requests.into_iter().map(held_entry).collect();
            json(serde_json::to_vec(&held_requests).unwrap_or_default().into())
        }
        (&Method::DELETE, Some(short)) if held_requests.iter().any(|it| it.short == short) => {
            node.dispatch(Event::Release(short.to_owned()));
            status(StatusCode::NO_CONTENT)
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// Gives a held request as operators see it.
fn held_entry(held: HeldRequest) -> HeldEntry {
    HeldEntry {
        signature: held.short,
        customer: held.customer,
        path: held.path,
        engines: held.engines,
        proven: held.is_proven,
        since: held.since,
        until: held.until,
    }
}

/// Makes an answer in JSON.
fn json(body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Tells which addresses clients may use.
fn resolve(node: &Rc<Node>, query: &str) -> Response<AnswerBody> {
    let region = (node.dialect.read_region)(query);
    let mut fronts = node.with(|it| it.fronts(region.as_deref()));
    if fronts.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if fronts.len() > MAX_ADDRESS_COUNT {
        fronts.shuffle(&mut rand_pcg::Pcg64Mcg::from_os_rng());
        fronts.truncate(MAX_ADDRESS_COUNT);
    }
    json((node.dialect.write_addresses)(&fronts, ADDRESS_LIFETIME))
}
