//! Calls to engines. Each has a connection of its own, which is closed after the answer: bytes
//! that an engine sends beyond it, or late, can then belong to no other request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_gateway::effect::{ORDER_TIMEOUT, Order, Send, Source, Task};
use hollyspoke_gateway::engine::{Engine, EngineKey};
use hollyspoke_gateway::event::{Answer, CallEvent, Event, OrderAnswer, Probe};
use hollyspoke_gateway::statement::Statement;
use http::{StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::dialect::Report;
use crate::handover;
use crate::http1::{Connection, Failure, read_whole};
use crate::node::{Node, ReceivedRequest, UpstreamClient};
use crate::objects;
use crate::splitter::Splitter;

/// How long a connection to an engine may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an engine may take to tell about itself.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the freeing of a prompt may take.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// The most bytes of an answer that is kept whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Calls over connections of this process.
pub const UPSTREAM_CLIENT: UpstreamClient = UpstreamClient {
    call: |node, send, request| tokio::task::spawn_local(call(node, send, request)).abort_handle(),
    free_prompt: |node, source| {
        tokio::task::spawn_local(free_prompt(node, source));
    },
    query_cached_prompts: |node, engine| {
        tokio::task::spawn_local(query_cached_prompts(node, engine));
    },
    query_order_count: |node, engine| {
        tokio::task::spawn_local(query_order_count(node, engine));
    },
    probe: |node, engine| {
        tokio::task::spawn_local(probe(node, engine));
    },
    order: |node, it| {
        tokio::task::spawn_local(order(node, it));
    },
    fetch: |node, provider| {
        tokio::task::spawn_local(handover::fetch(node, provider));
    },
    store: |node, number, operation| {
        tokio::task::spawn_local(objects::execute(node, number, operation));
    },
};

/// Makes a call and tells the reducer what becomes of it.
async fn call(node: Rc<Node>, send: Send, request: ReceivedRequest) {
    let call = send.call;
    let event = match exchange(&node, &send, &request).await {
        Ok(answer) => CallEvent::Answered(answer),
        Err(Failure::Unsent) => CallEvent::NotConnected,
        Err(Failure::Broken) => CallEvent::Broken,
    };
    node.remove_call(call);
    node.dispatch(Event::Call(call, event));
    node.drop_answer(call);
}

/// Makes a call and gives its whole answer; a stream is passed on as it comes.
async fn exchange(
    node: &Rc<Node>,
    send: &Send,
    request: &ReceivedRequest,
) -> Result<Answer, Failure> {
    let mut connection = Connection::open(send.engine.address, CONNECT_TIMEOUT).await?;
    let head = (node.dialect.call_head)(&request.head, send);
    let message = http::Request::from_parts(head, Full::new(request.body.clone()));
    let (head, body) = connection.send(message).await?.into_parts();
    let answer = (node.dialect.read_answer)(&head, &request.head).map_err(|_| Failure::Broken)?;
    if is_stream(send, &head) {
        // The head may come long before the first event, or no event may follow it.
        dispatch_own_statement(node, &send.engine, answer.statement);
        return forward_stream(node, send, answer, head, body).await;
    }
    let Some(bytes) = read_whole(body, MAX_ANSWER_BYTES).await else {
        // The head holds whatever became of the rest.
        dispatch_own_statement(node, &send.engine, answer.statement);
        return Err(Failure::Broken);
    };
    let handle = match send.task {
        Task::Prefill => (node.dialect.read_handle)(&bytes),
        _ => None,
    };
    node.hold_answer(send.call, head, Some(bytes));
    Ok(Answer { handle, ..answer })
}

/// Passes a stream on, whole events at a time, until its end.
async fn forward_stream(
    node: &Rc<Node>,
    send: &Send,
    answer: Answer,
    head: response::Parts,
    mut body: Incoming,
) -> Result<Answer, Failure> {
    let mut splitter = Splitter::default();
    let mut head = Some(head);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::Broken)?;
        let Ok(bytes) = frame.into_data() else { continue };
        let Some(events) = splitter.push(&bytes) else { continue };
        report_stream_start(node, send, &answer, &mut head);
        forward(node, send, events.bytes, events.last_id).await?;
    }
    report_stream_start(node, send, &answer, &mut head);
    let remaining = splitter.take_remaining();
    if !remaining.is_empty() {
        forward(node, send, remaining, None).await?;
    }
    Ok(answer)
}

/// Tells the reducer that a stream has begun, once.
fn report_stream_start(
    node: &Rc<Node>,
    send: &Send,
    answer: &Answer,
    head: &mut Option<response::Parts>,
) {
    if let Some(head) = head.take() {
        node.hold_answer(send.call, head, None);
        node.dispatch(Event::Call(send.call, CallEvent::Began(answer.clone())));
    }
}

/// Passes events to the client.
async fn forward(
    node: &Rc<Node>,
    send: &Send,
    bytes: Bytes,
    last_id: Option<u64>,
) -> Result<(), Failure> {
    let chunk_sender = node.chunk_sender(send.request).ok_or(Failure::Broken)?;
    chunk_sender.send(bytes).await.map_err(|_| Failure::Broken)?;
    node.dispatch(Event::Call(send.call, CallEvent::Forwarded(last_id)));
    Ok(())
}

/// Tells whether an answer is a stream of events.
fn is_stream(send: &Send, head: &response::Parts) -> bool {
    let media_type = head.headers.get(http::header::CONTENT_TYPE);
    let is_events = media_type.is_some_and(|it| it.as_bytes().starts_with(EVENT_STREAM.as_bytes()));
    head.status == StatusCode::OK && is_events && send.task != Task::Prefill
}

/// Frees a prompt that nobody takes. It lapses by itself if this fails.
async fn free_prompt(node: Rc<Node>, source: Source) {
    let Ok(mut connection) = Connection::open(source.address, CONNECT_TIMEOUT).await else {
        return;
    };
    let Ok(request) = (node.dialect.free_prompt)(&source).body(Full::default()) else { return };
    let answer = tokio::time::timeout(FREE_TIMEOUT, connection.send(request)).await;
    // Only the engine that was meant knows the prompt: the request names no incarnation.
    if let Ok(Ok(answer)) = answer
        && answer.status() == StatusCode::OK
    {
        let statement = (node.dialect.read_statement)(&answer.into_parts().0);
        dispatch_statement(&node, source.engine, statement);
    }
}

/// Asks an engine which parts of prompts it keeps, and tells the reducer.
async fn query_cached_prompts(node: Rc<Node>, engine: Arc<Engine>) {
    let query_request = (node.dialect.query_cached_prompts)(&engine);
    if let Some(bytes) = query(&node, &engine, query_request).await
        && let Some(prompts) = (node.dialect.read_cached_prompts)(&bytes)
    {
        node.dispatch(Event::CachedPrompts(engine.key, prompts));
    }
}

/// Gives an engine an order and tells the reducer what it answered.
async fn order(node: Rc<Node>, order: Order) {
    let answer = tokio::time::timeout(ORDER_TIMEOUT, send_order(&node, &order)).await;
    let answer = answer.unwrap_or(OrderAnswer::Unknown);
    node.dispatch(Event::Ordered(order.engine.key, answer));
}

/// Sends an order; the answer is unknown unless the engine gave one or was never reached.
async fn send_order(node: &Rc<Node>, order: &Order) -> OrderAnswer {
    let started_at = node.now();
    let Ok(mut connection) = Connection::open(order.engine.address, CONNECT_TIMEOUT).await else {
        return OrderAnswer::Refused;
    };
    // A machine that was suspended meanwhile would send it when the lease is over.
    node.detect_suspension();
    if node.now().since(started_at) >= ORDER_TIMEOUT {
        return OrderAnswer::Refused;
    }
    let (head, body) = (node.dialect.order)(order);
    let Ok(request) = head.body(Full::new(body)) else { return OrderAnswer::Refused };
    match connection.send(request).await {
        Ok(response) => {
            let (head, _) = response.into_parts();
            read_statement(node, &order.engine, &head);
            (node.dialect.read_order_answer)(head.status)
        }
        Err(Failure::Unsent) => OrderAnswer::Refused,
        Err(Failure::Broken) => OrderAnswer::Unknown,
    }
}

/// Asks an engine how many orders it has taken, and tells the reducer.
async fn query_order_count(node: Rc<Node>, engine: Arc<Engine>) {
    let report = query(&node, &engine, (node.dialect.report)(&engine)).await;
    let report = report.and_then(|it| read_report(&node, &engine, &it));
    node.dispatch(Event::OrderCount(engine.key, report.map(|it| it.order_count)));
}

/// Asks an engine whether it lives, and tells the reducer.
async fn probe(node: Rc<Node>, engine: Arc<Engine>) {
    let answer = tokio::time::timeout(QUERY_TIMEOUT, exchange_probe(&node, &engine)).await;
    let probe = answer.ok().flatten().unwrap_or(Probe::NoAnswer);
    node.dispatch(Event::Probed(engine.key, probe));
}

/// Sends the question whether an engine lives; none if no answer came. Any answer shows that
/// something lives there.
async fn exchange_probe(node: &Rc<Node>, engine: &Engine) -> Option<Probe> {
    let mut connection = Connection::open(engine.address, CONNECT_TIMEOUT).await.ok()?;
    let query_request = (node.dialect.report)(engine).body(Full::default()).ok()?;
    let (head, body) = connection.send(query_request).await.ok()?.into_parts();
    read_statement(node, engine, &head);
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => Some(Probe::Replaced),
        StatusCode::OK => {
            let bytes = read_whole(body, MAX_ANSWER_BYTES).await?;
            Some(Probe::Alive(read_report(node, engine, &bytes).and_then(|it| it.born)))
        }
        _ => Some(Probe::Alive(None)),
    }
}

/// Asks an engine about itself; none if it does not tell.
async fn query(
    node: &Rc<Node>,
    engine: &Engine,
    query_request: http::request::Builder,
) -> Option<Bytes> {
    let answered =
        tokio::time::timeout(QUERY_TIMEOUT, exchange_query(node, engine, query_request)).await;
    answered.ok().flatten()
}

/// Sends a question and reads the answer.
async fn exchange_query(
    node: &Rc<Node>,
    engine: &Engine,
    query_request: http::request::Builder,
) -> Option<Bytes> {
    let mut connection = Connection::open(engine.address, CONNECT_TIMEOUT).await.ok()?;
    let response = connection.send(query_request.body(Full::default()).ok()?).await.ok()?;
    let (head, body) = response.into_parts();
    read_statement(node, engine, &head);
    if head.status != StatusCode::OK {
        return None;
    }
    read_whole(body, MAX_ANSWER_BYTES).await
}

/// Reads an engine's report, and tells the reducer what it says beside what was asked.
fn read_report(node: &Rc<Node>, engine: &Engine, body: &[u8]) -> Option<Report> {
    let report = (node.dialect.read_report)(body)?;
    let Report { born, is_leaving, .. } = report;
    dispatch_own_statement(node, engine, Statement { born, is_leaving, ..Statement::default() });
    Some(report)
}

/// Reads what the head of an answer to an order or a question says of its engine. One of another
/// engine at its address says nothing of it.
fn read_statement(node: &Rc<Node>, engine: &Engine, head: &response::Parts) {
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        dispatch_own_statement(node, engine, (node.dialect.read_statement)(head));
    }
}

/// Tells the reducer what an engine says of itself, in the life that was asked unless it names one.
fn dispatch_own_statement(node: &Rc<Node>, engine: &Engine, statement: Statement) {
    let born = statement.born.or(engine.started_at);
    dispatch_statement(node, engine.key, Statement { born, ..statement });
}

/// Tells the reducer what an engine says of itself, if that binds the boxes. Its load belongs to the
/// calls.
fn dispatch_statement(node: &Rc<Node>, engine: EngineKey, statement: Statement) {
    let binding = Statement { load: None, ..statement };
    if binding != (Statement { born: statement.born, ..Statement::default() }) {
        node.dispatch(Event::Statement(engine, binding));
    }
}
