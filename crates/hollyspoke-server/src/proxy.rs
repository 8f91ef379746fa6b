//! Sends requests to another box, which serves them on behalf of this one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_gateway::credential::KeyDigest;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::proxy::{self, Call};
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName, HeaderValue, Method, request, response};
use http_body_util::{BodyExt, Full};
use slog::warn;

use crate::answer_memory;
use crate::event_reader::Reader;
use crate::guarded::GuardedBody;
use crate::http1::{
    Failure, MAX_ANSWER_BYTES, framing, is_event_stream, read_whole, remove_hop_headers,
};
use crate::node::{Node, ReceivedRequest};

/// The timeout for opening a connection to another box.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The header with the digest of the client's key, between boxes only.
const KEY_DIGEST: HeaderName = HeaderName::from_static("hollyspoke-key-digest");

/// Makes a call and reports its outcome to the reducer.
pub async fn call(node: Rc<Node>, call: Call, request: ReceivedRequest) {
    let event = match exchange(&node, &call, &request).await {
        Ok(()) => proxy::Event::Answered,
        Err(Failure::Unsent) => proxy::Event::NotConnected,
        Err(Failure::Exhausted(_)) => proxy::Event::Exhausted,
        Err(Failure::Broken | Failure::NoMemory) => proxy::Event::Broken,
        Err(Failure::Garbled(flaw)) => {
            warn!(node.log, "box sent bytes of no run"; "box" => %call.to, "flaw" => %flaw);
            proxy::Event::Broken
        }
    };
    node.remove_call(call.call);
    node.dispatch(Event::Proxied(call.call, event));
    node.drop_answer(call.call);
}

/// Opens a connection to another box, and reports to the reducer if none opens.
pub async fn probe(node: Rc<Node>, to: SocketAddr) {
    if let Err(Failure::Unsent | Failure::Broken) = node.connect_peer(to, CONNECT_TIMEOUT).await {
        node.dispatch(Event::BoxNotReached(to));
    }
}

/// Makes a call up to the end of its answer. A stream is forwarded as it arrives.
async fn exchange(node: &Rc<Node>, call: &Call, request: &ReceivedRequest) -> Result<(), Failure> {
    let mut connection = node.connect_peer(call.to, CONNECT_TIMEOUT).await?;
    let head = request_head(node, call, &request.head);
    let message = http::Request::from_parts(head, Full::new(request.body.clone()));
    let (head, body) = connection.send(message).await?.into_parts();
    node.dialect.check_signature(&head)?;
    if request.head.method != Method::HEAD && is_event_stream(&head) {
        return forward_stream(node, call, head, body).await;
    }
    let bytes = read_whole(body, MAX_ANSWER_BYTES, &node.memory, || ()).await?;
    node.hold_answer(call.call, head, Some(bytes));
    Ok(())
}

/// Forwards the events of a stream until its end, or until bytes that no run can have sent: the other
/// box may run an earlier version, which passes them on.
async fn forward_stream(
    node: &Rc<Node>,
    call: &Call,
    head: response::Parts,
    mut body: GuardedBody,
) -> Result<(), Failure> {
    let framing = framing(&head);
    let mut reader = Reader::new(node.with(|it| it.numbering(call.request)));
    node.hold_answer(call.call, head, None);
    node.dispatch(Event::Proxied(call.call, proxy::Event::Began(framing)));
    let mut reservation = answer_memory::Reservation::new(&node.memory);
    let on_wait = || ();
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame?.into_data() else { continue };
        reservation.reserve_events(reader.len() + bytes.len(), on_wait).await?;
        reader.push(&bytes);
        while let Some(events) = reader.take()? {
            forward(node, call, events.bytes).await?;
        }
        if reader.has_ended() {
            return Ok(());
        }
    }
    body.finish().await?;
    if let Some(events) = reader.finish()? {
        forward(node, call, events.bytes).await?;
    }
    Ok(())
}

/// Forwards events to the client.
async fn forward(node: &Node, call: &Call, bytes: Bytes) -> Result<(), Failure> {
    let chunk_sender = node.chunk_sender(call.request).ok_or(Failure::Broken)?;
    let bytes = node.memory.hold_events(bytes, || ()).await;
    chunk_sender.send(bytes).await.map_err(|_| Failure::Broken)
}

/// Builds the head of a request to another box from the head of the client's request.
fn request_head(node: &Node, call: &Call, client: &request::Parts) -> request::Parts {
    let mut head = client.clone();
    head.version = http::Version::HTTP_11;
    remove_hop_headers(&mut head.headers);
    head.headers.remove(KEY_DIGEST);
    if let Some(credential) = call.credential {
        head.headers.remove(AUTHORIZATION);
        if let Ok(value) = HeaderValue::from_str(&credential.to_hex()) {
            head.headers.insert(KEY_DIGEST, value);
        }
    }
    (node.dialect.set_deadline)(&mut head.headers, call.deadline);
    head
}

/// Removes the digest of the client's key from the headers of a request that another box has sent,
/// and returns it.
pub fn take_credential(headers: &mut HeaderMap) -> Option<KeyDigest> {
    KeyDigest::from_hex(headers.remove(KEY_DIGEST)?.to_str().ok()?)
}
