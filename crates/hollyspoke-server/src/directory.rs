//! The HTTP services besides the front: the addresses for clients, the readiness check, the
//! metrics, and for operators only the held requests and the evacuated data centres.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::gateway::HeldRequest;
use hollyspoke_socket::accept::Acceptor;
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

/// The maximum number of addresses in one answer.
const MAX_ADDRESS_COUNT: usize = 64;

/// How long clients may cache an answer.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(2);

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// The timeout for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The path of the held requests. Each request has a path below it, with its signature as the log
/// shows it.
const HELD_PATH: &str = "/held";

/// The path of the data centres that are being evacuated.
const EVACUATION_PATH: &str = "/evacuation";

/// The group of clients that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Clients and the platform.
    Clients,
    /// Operators, on a separate network.
    Operators,
}

/// A held request or part of prompts, as operators see it.
#[derive(Debug, Serialize)]
struct HeldEntry {
    /// The signature of the request or part as the log shows it.
    signature: String,
    /// The name of the part of prompts that is held; absent if the request as such is.
    #[serde(skip_serializing_if = "Option::is_none")]
    part: Option<Arc<str>>,
    /// The customer that sent the request, or one with the part; none if unknown.
    customer: Option<Arc<str>>,
    /// That request's path; none if unknown to this box.
    path: Option<Arc<str>>,
    /// The engines that crashed while they handled the request.
    engines: Vec<String>,
    /// Whether all of these crashes are proven.
    proven: bool,
    /// The time of the last crash, in seconds of Unix time.
    since: u64,
    /// The time until which the request is held, in seconds of Unix time.
    until: u64,
}

/// Accepts connections until the process ends.
pub async fn listen(node: Rc<Node>, listener: TcpListener, audience: Audience) {
    let mut acceptor = Acceptor::new(listener, node.log.clone());
    loop {
        let (stream, _) = acceptor.accept(|_| node.free_descriptor()).await;
        tokio::task::spawn_local(serve(node.clone(), stream, audience));
    }
}

/// Serves one connection.
async fn serve(node: Rc<Node>, stream: TcpStream, audience: Audience) {
    _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let response = answer(&node, &request, audience);
        async move { Ok::<_, Infallible>(response) }
    });
    // An error concerns this connection only.
    _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Answers one request.
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

/// Lists the held requests, or releases one.
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

/// Returns a held request in the form that operators see.
fn held_entry(held: HeldRequest) -> HeldEntry {
    HeldEntry {
        signature: held.short,
        part: held.part,
        customer: held.customer,
        path: held.path,
        engines: held.engines,
        proven: held.is_proven,
        since: held.since,
        until: held.until,
    }
}

/// Returns an answer with a JSON body.
fn json(body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Answers which addresses clients may use.
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
