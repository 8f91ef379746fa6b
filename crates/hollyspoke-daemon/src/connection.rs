//! Callers' connections: accepts and serves them, and closes them at the planned stop.

use std::convert::Infallible;
use std::pin::Pin;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::{Request, StatusCode};
use hollyspoke_socket::accept::Acceptor;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tower::ServiceExt;

use crate::problem::RequestError;

/// The time limit for receiving a request's head.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest size of a request's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The largest number of headers of a request.
const MAX_HEADERS_COUNT: usize = 100;

/// Accepts connections until the stop signal is set.
pub async fn accept(mut acceptor: Acceptor, router: Router, mut stopping: watch::Receiver<bool>) {
    loop {
        let (socket, _) = tokio::select! {
            accepted = acceptor.accept(|_| false) => accepted,
            _ = stopping.wait_for(|it| *it) => return,
        };
        tokio::spawn(serve(socket, router.clone(), stopping.clone()));
    }
}

/// Serves one connection; the stop signal lets its current request finish.
async fn serve(socket: TcpStream, router: Router, mut stopping: watch::Receiver<bool>) {
    if socket.set_nodelay(true).is_err() {
        // The connection is closed already.
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        Box::pin(async move { Ok::<_, Infallible>(answer(router, request).await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS_COUNT)
        .serve_connection(TokioIo::new(socket), service);
    let mut is_closing = false;
    let mut stop = std::pin::pin!(async move { drop(stopping.wait_for(|it| *it).await) });
    let served = std::future::poll_fn(|cx| {
        if !is_closing && stop.as_mut().poll(cx).is_ready() {
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        connection.poll_without_shutdown(cx)
    })
    .await;
    let parts = connection.into_parts();
    let mut socket = parts.io.into_inner();
    // An incomplete head is answered with 408; an idle connection is closed without an answer.
    if served.is_err_and(|error| error.is_timeout()) && !parts.read_buf.is_empty() {
        let _ = socket.write_all(&head_timeout_response()).await;
    }
    let _ = socket.shutdown().await;
}

/// Answers one request with the router.
async fn answer(router: Router, request: Request<Incoming>) -> axum::response::Response {
    match router.oneshot(request.map(Body::new)).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}

/// Returns the raw response to a head that did not arrive in time.
fn head_timeout_response() -> Vec<u8> {
    let error = RequestError {
        status: StatusCode::REQUEST_TIMEOUT,
        slug: "slow-sender",
        detail: format!("the request's head did not come within {} s", HEAD_TIMEOUT.as_secs()),
    };
    let body = serde_json::to_string(&error.wire()).unwrap_or_default();
    format!(
        "HTTP/1.1 408 Request Timeout\r\ncontent-type: {}\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        hollyspoke_wire::caller::PROBLEM_TYPE,
        body.len(),
    )
    .into_bytes()
}
