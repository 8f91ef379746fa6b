//! Calls to engines. Each call has its own connection, which is closed after the answer, so that
//! excess or late bytes of an engine can't be taken for the answer to another request.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_gateway::effect::{ORDER_TIMEOUT, Order, Send, Source, Task};
use hollyspoke_gateway::engine::{Engine, EngineKey};
use hollyspoke_gateway::event::{Answer, CallEvent, Event, OrderAnswer, Probe};
use hollyspoke_gateway::framing::Framing;
use hollyspoke_gateway::migration::{self, Transfer};
use hollyspoke_gateway::numbering::Numbering;
use hollyspoke_gateway::reservation::{self, Ask, Reservation};
use hollyspoke_gateway::statement::Statement;
use hollyspoke_socket::shortage::Shortage;
use http::{Method, StatusCode, response};
use http_body_util::{BodyExt, Full};
use slog::{debug, info, warn};
use tokio::sync::mpsc::error::TrySendError;

use crate::answer_memory;
use crate::dialect::Report;
use crate::event_reader::{Events, Reader};
use crate::flaw::Flaw;
use crate::guarded::GuardedBody;
use crate::handover;
use crate::http1::{Connection, Failure, MAX_ANSWER_BYTES, is_event_stream, read_whole};
use crate::node::{Node, ReceivedRequest, UpstreamClient};
use crate::objects;
use crate::proxy;

/// The timeout for opening a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout for an engine's answer to a query about its own state.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout for freeing a prompt.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout for an engine's answer to a request for a reservation. The reducer sends the request
/// on earlier; an engine that was silent for less than this sets memory aside nevertheless, which
/// only its answer allows to drop.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(1000);

/// The timeout for the copy of a stream's memory, which waits for other copies on the same links.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(2500);

/// The upstream client that makes real calls, as local tasks.
pub const UPSTREAM_CLIENT: UpstreamClient = UpstreamClient {
    call: |node, send, request| tokio::task::spawn_local(call(node, send, request)).abort_handle(),
    proxy: |node, call, request| {
        tokio::task::spawn_local(proxy::call(node, call, request)).abort_handle()
    },
    free_prompt: |node, source| {
        tokio::task::spawn_local(free_prompt(node, source));
    },
    reserve: |node, ask| {
        tokio::task::spawn_local(reserve(node, ask));
    },
    drop_reservation: |node, reservation| {
        tokio::task::spawn_local(drop_reservation(node, reservation));
    },
    transfer: |node, transfer, request| {
        tokio::task::spawn_local(self::transfer(node, transfer, request));
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
    probe_box: |node, to| {
        tokio::task::spawn_local(proxy::probe(node, to));
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

/// Makes a call and reports its outcome to the reducer.
async fn call(node: Rc<Node>, send: Send, request: ReceivedRequest) {
    let call = send.call;
    let event = match exchange(&node, &send, &request).await {
        Ok(answer) => CallEvent::Answered(answer),
        Err(Failure::Unsent) => CallEvent::NotConnected,
        Err(Failure::Exhausted(Shortage::Ports)) => CallEvent::NoPort,
        Err(Failure::Exhausted(_)) => CallEvent::Exhausted,
        Err(Failure::Broken) => CallEvent::Broken,
        Err(Failure::NoMemory) => CallEvent::NoMemory,
        Err(Failure::Garbled(flaw)) => {
            warn!(node.log, "engine sent bytes of no run";
                "engine" => %send.engine.id, "flaw" => %flaw);
            CallEvent::Garbled
        }
    };
    node.remove_call(call);
    node.dispatch(Event::Call(call, event));
    node.drop_answer(call);
}

/// Makes a call and returns its complete answer; a stream is forwarded as it arrives.
async fn exchange(
    node: &Rc<Node>,
    send: &Send,
    request: &ReceivedRequest,
) -> Result<Answer, Failure> {
    let mut connection = node.connect(send.engine.address, CONNECT_TIMEOUT).await?;
    let head = (node.dialect.call_head)(&request.head, send);
    let message = http::Request::from_parts(head, Full::new(request.body.clone()));
    let (head, body) = connection.send(message).await?.into_parts();
    let answer = (node.dialect.read_answer)(&head, &request.head)
        .map_err(|_| Failure::Garbled(Flaw::OtherRequest))?;
    if send.task != Task::Prefill {
        node.dialect.check_signature(&head)?;
    }
    let has_body = request.head.method != Method::HEAD;
    if has_body && is_stream(send, &head) {
        // The head may arrive long before the first event, or no event may follow it.
        dispatch_own_statement(node, &send.engine, answer.statement);
        return forward_stream(node, send, answer, head, body).await;
    }
    if has_body && answer.status == StatusCode::OK && expects_stream(node, send) {
        dispatch_own_statement(node, &send.engine, answer.statement);
        return Err(Failure::Garbled(Flaw::NoEventStream));
    }
    let body = if send.task == Task::Prefill { body.without_settling() } else { body };
    let on_wait = || node.dispatch(Event::Call(send.call, CallEvent::HeldUp));
    let bytes = match read_whole(body, MAX_ANSWER_BYTES, &node.memory, on_wait).await {
        Ok(bytes) => bytes,
        Err(failure) => {
            // The head is valid even if the body is not.
            dispatch_own_statement(node, &send.engine, answer.statement);
            return Err(failure);
        }
    };
    let handle = match send.task {
        Task::Prefill => (node.dialect.read_handle)(&bytes),
        _ => None,
    };
    node.hold_answer(send.call, head, Some(bytes));
    Ok(Answer { handle, ..answer })
}

/// Forwards the events of a stream until its end, or until bytes that no run can have sent. A stream
/// that only the close of its connection delimits was broken off if that leaves it within an event, or
/// without any.
async fn forward_stream(
    node: &Rc<Node>,
    send: &Send,
    answer: Answer,
    head: response::Parts,
    mut body: GuardedBody,
) -> Result<Answer, Failure> {
    let mut reader = Reader::new(node.with(|it| it.numbering(send.request)));
    let mut head = Some(head);
    let mut reservation = answer_memory::Reservation::new(&node.memory);
    let on_wait = || node.dispatch(Event::Call(send.call, CallEvent::HeldUp));
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame?.into_data() else { continue };
        reservation.reserve_events(reader.len() + bytes.len(), on_wait).await?;
        reader.push(&bytes);
        while let Some(events) = reader.take()? {
            report_stream_start(node, send, &answer, &mut head)?;
            forward(node, send, events).await?;
        }
        if reader.has_ended() {
            return Ok(answer);
        }
    }
    body.finish().await?;
    let is_broken = reader.is_within_event() || head.is_some();
    log_unmarked_end(node, send, answer.framing, reader.is_within_event());
    if answer.framing == Framing::Close && is_broken {
        return Err(Failure::Broken);
    }
    let remaining = reader.finish()?;
    report_stream_start(node, send, &answer, &mut head)?;
    if let Some(events) = remaining {
        forward(node, send, events).await?;
    }
    Ok(answer)
}

/// Logs that the connection of a stream closed normally without a proof that the stream is complete.
fn log_unmarked_end(node: &Node, send: &Send, framing: Framing, is_within_event: bool) {
    if framing == Framing::Close || is_within_event {
        info!(node.log, "stream ended without its end marked";
            "engine" => %send.engine.id,
            "framing" => ?framing, "within_event" => is_within_event);
    }
}

/// Reports to the reducer, once, that a stream has begun. Fails if the reducer drops the call, so that
/// none of its events is forwarded.
fn report_stream_start(
    node: &Rc<Node>,
    send: &Send,
    answer: &Answer,
    head: &mut Option<response::Parts>,
) -> Result<(), Failure> {
    if let Some(head) = head.take() {
        node.hold_answer(send.call, head, None);
        node.dispatch(Event::Call(send.call, CallEvent::Began(answer.clone())));
    }
    if node.has_call(send.call) { Ok(()) } else { Err(Failure::Broken) }
}

/// Forwards events to the client. Comments alone are no progress of the stream, and are dropped while
/// the client takes no events.
async fn forward(node: &Rc<Node>, send: &Send, events: Events) -> Result<(), Failure> {
    let Events { bytes, last_id, has_event } = events;
    let chunk_sender = node.chunk_sender(send.request).ok_or(Failure::Broken)?;
    let is_late = Cell::new(false);
    let on_wait = || {
        is_late.set(true);
        node.dispatch(Event::Call(send.call, CallEvent::HeldUp));
    };
    let bytes = node.memory.hold_events(bytes, on_wait).await;
    let event = match chunk_sender.try_send(bytes) {
        Ok(()) if is_late.get() => CallEvent::ForwardedLate(last_id),
        Ok(()) => CallEvent::Forwarded(last_id),
        Err(TrySendError::Full(_)) if !has_event => return Ok(()),
        Err(TrySendError::Full(bytes)) => {
            node.dispatch(Event::Call(send.call, CallEvent::HeldUp));
            chunk_sender.send(bytes).await.map_err(|_| Failure::Broken)?;
            CallEvent::ForwardedLate(last_id)
        }
        Err(TrySendError::Closed(_)) => return Err(Failure::Broken),
    };
    if has_event {
        node.dispatch(Event::Call(send.call, event));
    }
    Ok(())
}

/// Returns whether an answer is a stream to forward.
fn is_stream(send: &Send, head: &response::Parts) -> bool {
    is_event_stream(head) && send.task != Task::Prefill
}

/// Returns whether only a stream can be the answer to a call.
fn expects_stream(node: &Node, send: &Send) -> bool {
    let numbering = node.with(|it| it.numbering(send.request));
    send.task != Task::Prefill && numbering != Numbering::Free
}

/// Frees a cached prompt that no decode engine will fetch. It expires by itself if this fails.
async fn free_prompt(node: Rc<Node>, source: Source) {
    let Ok(mut connection) = node.connect(source.address, CONNECT_TIMEOUT).await else {
        return;
    };
    let Ok(request) = (node.dialect.free_prompt)(&source).body(Full::default()) else { return };
    let answer = tokio::time::timeout(FREE_TIMEOUT, connection.send(request)).await;
    // Only the engine that was addressed knows the prompt: the request names no incarnation.
    if let Ok(Ok(answer)) = answer
        && answer.status() == StatusCode::OK
    {
        let statement = (node.dialect.read_statement)(&answer.into_parts().0);
        dispatch_statement(&node, source.engine, statement);
    }
}

/// Asks an engine to reserve memory, and reports its answer to the reducer.
async fn reserve(node: Rc<Node>, ask: Ask) {
    let (head, body) = (node.dialect.reserve)(&ask);
    let exchange = exchange_order(&node, &ask.engine, head, body);
    let answer = match tokio::time::timeout(RESERVE_TIMEOUT, exchange).await {
        Ok(Ok((status, body))) => (node.dialect.read_reservation)(status, &body),
        Ok(Err(Failure::Unsent)) => reservation::Answer::NotConnected,
        Ok(Err(Failure::Exhausted(_))) => reservation::Answer::Exhausted,
        Ok(Err(Failure::Broken | Failure::NoMemory | Failure::Garbled(_))) | Err(_) => {
            reservation::Answer::Unknown
        }
    };
    node.dispatch(Event::Reserved(ask.number, answer));
}

/// Drops a reservation. It expires by itself if this fails.
async fn drop_reservation(node: Rc<Node>, reservation: Reservation) {
    let head = (node.dialect.drop_reservation)(&reservation);
    let exchange = exchange_order(&node, &reservation.engine, head, Bytes::new());
    let answer = tokio::time::timeout(FREE_TIMEOUT, exchange).await;
    let is_dropped = matches!(answer, Ok(Ok((status, _))) if status.is_success());
    if !is_dropped {
        debug!(node.log, "reservation not dropped"; "engine" => %reservation.engine.id);
    }
}

/// Orders an engine to copy a stream's memory, and reports its answer to the reducer.
async fn transfer(node: Rc<Node>, transfer: Transfer, request: ReceivedRequest) {
    let (head, body) = (node.dialect.transfer)(&transfer, &request.head);
    let exchange = exchange_order(&node, &transfer.source, head, body);
    let answer = match tokio::time::timeout(TRANSFER_TIMEOUT, exchange).await {
        Ok(Ok((status, body))) => (node.dialect.read_transfer)(status, &body),
        Ok(Err(Failure::Unsent | Failure::Exhausted(_))) => migration::Answer::NotConnected,
        Ok(Err(Failure::Broken | Failure::NoMemory | Failure::Garbled(_))) | Err(_) => {
            migration::Answer::Unknown
        }
    };
    node.dispatch(Event::Transferred(transfer.call, answer));
}

/// Sends a request to an engine itself, and returns the status and the body of its answer.
async fn exchange_order(
    node: &Rc<Node>,
    engine: &Engine,
    head: http::request::Builder,
    body: Bytes,
) -> Result<(StatusCode, Bytes), Failure> {
    let mut connection = node.connect(engine.address, CONNECT_TIMEOUT).await?;
    let request = head.body(Full::new(body)).map_err(|_| Failure::Unsent)?;
    let (head, body) = connection.send(request).await?.into_parts();
    read_statement(node, engine, &head);
    let body = read_whole(body, MAX_ANSWER_BYTES, &node.memory, || ()).await?;
    Ok((head.status, body))
}

/// Asks an engine which prompt prefixes it caches, and reports them to the reducer.
async fn query_cached_prompts(node: Rc<Node>, engine: Arc<Engine>) {
    let query_request = (node.dialect.query_cached_prompts)(&engine);
    if let Some(bytes) = query(&node, &engine, query_request).await
        && let Some(prompts) = (node.dialect.read_cached_prompts)(&bytes)
    {
        node.dispatch(Event::CachedPrompts(engine.key, prompts));
    }
}

/// Sends an order to an engine and reports the answer to the reducer.
async fn order(node: Rc<Node>, order: Order) {
    let answer = tokio::time::timeout(ORDER_TIMEOUT, send_order(&node, &order)).await;
    let answer = answer.unwrap_or(OrderAnswer::Unknown);
    node.dispatch(Event::Ordered(order.engine.key, answer));
}

/// Sends an order. The outcome is unknown unless the engine answered or was never reached.
async fn send_order(node: &Rc<Node>, order: &Order) -> OrderAnswer {
    let started_at = node.now();
    let Ok(mut connection) = node.connect(order.engine.address, CONNECT_TIMEOUT).await else {
        return OrderAnswer::Refused;
    };
    // After a suspension of the machine, the order could be sent when the lease has expired.
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
        Err(Failure::Unsent | Failure::Exhausted(_)) => OrderAnswer::Refused,
        Err(Failure::Broken | Failure::NoMemory | Failure::Garbled(_)) => OrderAnswer::Unknown,
    }
}

/// Asks an engine how many orders it has accepted, and reports the answer to the reducer.
async fn query_order_count(node: Rc<Node>, engine: Arc<Engine>) {
    let report = query(&node, &engine, (node.dialect.report)(&engine)).await;
    let report = report.and_then(|it| read_report(&node, &engine, &it));
    node.dispatch(Event::OrderCount(engine.key, report.map(|it| it.order_count)));
}

/// Asks an engine whether it is alive, and reports the answer to the reducer.
async fn probe(node: Rc<Node>, engine: Arc<Engine>) {
    let answer = tokio::time::timeout(QUERY_TIMEOUT, exchange_probe(&node, &engine)).await;
    let probe = answer.unwrap_or(Probe::NoAnswer);
    node.dispatch(Event::Probed(engine.key, probe));
}

/// Sends the probe. Any answer shows that a process is alive at the address.
async fn exchange_probe(node: &Rc<Node>, engine: &Engine) -> Probe {
    match node.connect(engine.address, CONNECT_TIMEOUT).await {
        Ok(connection) => read_probe(node, engine, connection).await,
        Err(Failure::Exhausted(_)) => Probe::Exhausted,
        Err(_) => Probe::NotConnected,
    }
}

/// Sends the probe over an open connection. Bytes that are no answer come from a live process, too.
async fn read_probe(node: &Rc<Node>, engine: &Engine, connection: Connection) -> Probe {
    match exchange_report(node, engine, connection).await {
        Ok(probe) => probe,
        Err(Failure::Garbled(flaw)) => {
            info!(node.log, "probe answered by bytes of no report";
                "engine" => %engine.id, "flaw" => %flaw);
            Probe::Alive(None)
        }
        Err(Failure::NoMemory) => Probe::Alive(None),
        Err(_) => Probe::Broken,
    }
}

/// Asks for the engine's report over an open connection.
async fn exchange_report(
    node: &Rc<Node>,
    engine: &Engine,
    mut connection: Connection,
) -> Result<Probe, Failure> {
    let query_request = (node.dialect.report)(engine).body(Full::default());
    let query_request = query_request.map_err(|_| Failure::Unsent)?;
    let (head, body) = connection.send(query_request).await?.into_parts();
    read_statement(node, engine, &head);
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => Ok(Probe::Replaced),
        StatusCode::OK => {
            let bytes = read_whole(body, MAX_ANSWER_BYTES, &node.memory, || ()).await?;
            Ok(Probe::Alive(read_report(node, engine, &bytes).and_then(|it| it.born)))
        }
        _ => Ok(Probe::Alive(None)),
    }
}

/// Queries an engine's own state; none if it doesn't answer in time.
async fn query(
    node: &Rc<Node>,
    engine: &Engine,
    query_request: http::request::Builder,
) -> Option<Bytes> {
    let answered =
        tokio::time::timeout(QUERY_TIMEOUT, exchange_query(node, engine, query_request)).await;
    answered.ok().flatten()
}

/// Sends a query and reads the answer.
async fn exchange_query(
    node: &Rc<Node>,
    engine: &Engine,
    query_request: http::request::Builder,
) -> Option<Bytes> {
    let mut connection = node.connect(engine.address, CONNECT_TIMEOUT).await.ok()?;
    let response = connection.send(query_request.body(Full::default()).ok()?).await.ok()?;
    let (head, body) = response.into_parts();
    read_statement(node, engine, &head);
    if head.status != StatusCode::OK {
        return None;
    }
    read_whole(body, MAX_ANSWER_BYTES, &node.memory, || ()).await.ok()
}

/// Parses an engine's report, and dispatches the state that it contains besides the queried value.
fn read_report(node: &Rc<Node>, engine: &Engine, body: &[u8]) -> Option<Report> {
    let report = (node.dialect.read_report)(body)?;
    let Report { born, is_leaving, .. } = report;
    dispatch_own_statement(node, engine, Statement { born, is_leaving, ..Statement::default() });
    Some(report)
}

/// Reads an engine's state from the head of its answer to an order or a query. An answer from
/// another engine at its address is ignored.
fn read_statement(node: &Rc<Node>, engine: &Engine, head: &response::Parts) {
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        dispatch_own_statement(node, engine, (node.dialect.read_statement)(head));
    }
}

/// Dispatches an engine's statement about itself. It applies to the incarnation that was asked
/// unless it names one.
fn dispatch_own_statement(node: &Rc<Node>, engine: &Engine, statement: Statement) {
    let born = statement.born.or(engine.started_at);
    dispatch_statement(node, engine.key, Statement { born, ..statement });
}

/// Dispatches an engine's statement about itself if it is binding for boxes. The load is left out,
/// as only calls report it.
fn dispatch_statement(node: &Rc<Node>, engine: EngineKey, statement: Statement) {
    let binding = Statement { load: None, ..statement };
    if binding != (Statement { born: statement.born, ..Statement::default() }) {
        node.dispatch(Event::Statement(engine, binding));
    }
}
