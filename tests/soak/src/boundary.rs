//! Commits the faults of mutants at the boundary between boxes and engines: calls to engines that no
//! box has sent.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_server::http1::Connection;
use http::Request;
use http::header::HOST;
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};

use crate::cluster::{Cluster, Upstream};

/// The timeout of a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of reservations that no request uses.
const RESERVATIONS: usize = 30;

/// The pause between two of them: they are spread over more time than the engines need to recover
/// from harmful requests, as an engine that crashes takes its reservations with it.
const RESERVATION_PAUSE: Duration = Duration::from_millis(200);

/// The number of streams that are copied for nothing.
const COPIES: usize = 30;

/// The pause between two copies.
const PAUSE: Duration = Duration::from_millis(50);

/// The memory of a reservation, in tokens.
const TOKENS: u64 = 100;

/// Lets two requests name the same reservation, at each engine.
pub(crate) async fn reuse_reservation(cluster: &Cluster) {
    for engine in decode_engines(cluster) {
        let Some(name) = reserve(&engine).await else { continue };
        for number in 0..2 {
            let id = format!("boundary-{number}");
            let headers = [("X-Request-Id", id.as_str()), ("X-Kv-Hold", name.as_str())];
            // The judge looks at what the engine has seen.
            _ = call(&engine, "/once/boundary", &headers, "body").await;
        }
    }
}

/// Makes reservations that no request uses.
pub(crate) async fn keep_reservations(cluster: &Cluster) {
    let mut kept = 0;
    for number in 0_usize.. {
        let engines = decode_engines(cluster);
        if let Some(engine) = engines.get(number % engines.len().max(1)) {
            kept += usize::from(reserve(engine).await.is_some());
        }
        if kept == RESERVATIONS {
            break;
        }
        tokio::time::sleep(RESERVATION_PAUSE).await;
    }
}

/// Copies streams to other engines and does not use the copies.
pub(crate) async fn keep_copies(cluster: &Cluster) {
    let mut copies = 0;
    while copies < COPIES {
        let engines = decode_engines(cluster);
        for (index, engine) in engines.iter().enumerate() {
            let target = &engines[(index + 1) % engines.len()];
            let report = call(engine, "/report", &[], "").await.unwrap_or_default();
            let Some(id) = report["runs"][0][0].as_str() else { continue };
            let body = json!({"id": id, "targetVersion": target.address.to_string()});
            let copied = call(engine, "/kv-move", &[], &body.to_string()).await;
            copies += usize::from(copied.is_some_and(|it| it["prefillHandle"].is_string()));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Returns the engines that decode.
fn decode_engines(cluster: &Cluster) -> Vec<Rc<Upstream>> {
    let engines = cluster.upstreams.borrow().clone();
    engines.into_iter().filter(|it| it.stage.borrow().as_deref() == Some("decode")).collect()
}

/// Makes a reservation at an engine and returns its name.
async fn reserve(engine: &Upstream) -> Option<String> {
    let body = json!({"tokens": TOKENS, "ttl_ms": 500}).to_string();
    let answer = call(engine, "/hold-take", &[], &body).await?;
    answer["hold"].as_str().map(str::to_owned)
}

/// Calls an engine and returns its JSON answer, or null if it is none. Without a body it is a GET
/// request.
async fn call(
    engine: &Upstream,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Value> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let mut builder = Request::builder().method(method).uri(path).header(HOST, "engine");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder.body(Full::new(body.to_owned().into())).ok()?;
    let mut connection = Connection::open(engine.address, CONNECT_TIMEOUT).await.ok()?;
    let answer = connection.send(request).await.ok()?.into_body().collect().await.ok()?;
    Some(serde_json::from_slice(&answer.to_bytes()).unwrap_or_default())
}
