//! The small services beside the front: which addresses clients use, whether this box is ready,
//! and its metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use tokio::net::{TcpListener, TcpStream};

use crate::answer::AnswerBody;
use crate::front::status;
use crate::node::Node;

/// The most addresses of one answer.
const MOST_ADDRESSES: usize = 64;

/// How long clients may keep an answer.
const KEEP_FOR: Duration = Duration::from_secs(2);

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// How long a head may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Takes connections until the process ends.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(node.clone(), stream));
        }
    }
}

/// Serves one connection.
async fn serve(node: Rc<Node>, stream: TcpStream) {
    _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let response = answer(&node, &request);
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
fn answer(node: &Rc<Node>, request: &Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path();
    if path == node.dialect.ready_path {
        let is_ready = node.with(|it| it.is_ready());
        return status(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    if path == METRICS_PATH {
        return Response::new(AnswerBody::Whole(Some(node.metrics.text().into())));
    }
    if path == node.dialect.resolve_path {
        return resolve(node);
    }
    status(StatusCode::NOT_FOUND)
}

/// Tells which addresses clients may use.
fn resolve(node: &Rc<Node>) -> Response<AnswerBody> {
    let mut fronts = node.with(|it| it.fronts());
    if fronts.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if fronts.len() > MOST_ADDRESSES {
        fronts.shuffle(&mut rand_pcg::Pcg64Mcg::from_os_rng());
        fronts.truncate(MOST_ADDRESSES);
    }
    let body = (node.dialect.resolved)(&fronts, KEEP_FOR);
    let mut response = Response::new(AnswerBody::Whole(Some(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
