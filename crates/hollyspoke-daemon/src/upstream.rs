//! The calls to engines and plain services that the reducer requests.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use hollyspoke::effect::Order;
use hollyspoke::event::{Call, Event, Generate, Reply, Report};
use hollyspoke::key::{Key, Ticket};
use hollyspoke::orders::MAX_ORDER_TIME;
use hollyspoke::outcome::Answer;
use hollyspoke::outcome::Trace;
use hollyspoke_wire::caller;
use hollyspoke_wire::engine::{
    self, Cancel, Decode, Empty, FencedOrder, Import, Line, Load, Prefill, Prefilled,
};
use hollyspoke_wire::http::{CallError, Client, read_whole};
use http::{HeaderName, HeaderValue, Request};
use http_body_util::Full;
use slog::{Logger, warn};

use crate::input::{Input, InputSender};

/// The time limit of one attempt to cancel a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest number of cancel attempts; the shard's owner cancels streams that remain.
const MAX_CANCEL_ATTEMPTS: u32 = 3;

/// The time limit of reading an engine's report.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Hop-by-hop headers, which are not forwarded.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Returns whether a header is forwarded.
pub fn is_end_to_end(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name) && name != "host"
}

/// Prefills a prompt at an engine.
pub async fn prefill(
    client: Client,
    inputs: InputSender,
    ticket: Ticket,
    address: String,
    work: Generate,
    class: u8,
) {
    let prefill = Prefill {
        stream: ticket.to_string(),
        model: work.model,
        prompt: work.prompt.to_string(),
        prompt_tokens: work.prompt_tokens,
        priority: class,
    };
    let url = format!("http://{address}/v1/prefill");
    let reply = match client.post::<Prefilled>(&url, &prefill).await {
        Ok(_) => Reply::Prefilled,
        Err(error) => failure_reply(&error),
    };
    inputs.send_event(Event::Upstream { ticket, reply });
}

/// Makes a decode engine fetch a prefill result.
pub async fn import(
    client: Client,
    inputs: InputSender,
    ticket: Ticket,
    address: String,
    import: Import,
) {
    let url = format!("http://{address}/v1/import");
    let reply = match client.post::<Empty>(&url, &import).await {
        Ok(Empty {}) => Reply::Imported,
        Err(error) => failure_reply(&error),
    };
    inputs.send_event(Event::Upstream { ticket, reply });
}

/// Decodes at an engine and forwards each token to the reducer.
pub async fn decode(
    client: Client,
    inputs: InputSender,
    ticket: Ticket,
    address: String,
    decode: Decode,
) {
    let lines = match engine::decode(&client, &address, &decode).await {
        Ok(lines) => lines,
        Err(error) => {
            inputs.send_event(Event::Upstream { ticket, reply: failure_reply(&error) });
            return;
        }
    };
    let mut lines = std::pin::pin!(lines);
    while let Some(line) = lines.next().await {
        let (reply, is_last) = match line {
            Ok(Line::Token { seq, text }) => (Reply::Token { seq, text: text.into() }, false),
            Ok(Line::Finished { finished }) => (Reply::Finished { reason: finished.into() }, true),
            Err(error) => (failure_reply(&error), true),
        };
        inputs.send_event(Event::Upstream { ticket, reply });
        if is_last {
            return;
        }
    }
    let error = CallError::Sent("the stream ended without its end".to_owned());
    inputs.send_event(Event::Upstream { ticket, reply: failure_reply(&error) });
}

/// Frees an engine's memory of an attempt, with retries.
pub async fn cancel(client: Client, ticket: Ticket, address: String) {
    let url = format!("http://{address}/v1/cancel");
    let body = Cancel { stream: ticket.to_string() };
    for attempt in 0..MAX_CANCEL_ATTEMPTS {
        let call = client.post::<Empty>(&url, &body);
        if let Ok(Ok(Empty {})) = tokio::time::timeout(CANCEL_TIMEOUT, call).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100 << attempt)).await;
    }
}

/// Sends an engine an order. The engine's next report shows whether the order was executed.
pub async fn order(client: Client, log: Logger, address: String, token: u64, order: Order) {
    let url = format!("http://{address}/v1/orders");
    let body = FencedOrder { token, role: order.role, load: order.load };
    let call = client.post::<Empty>(&url, &body);
    match tokio::time::timeout(MAX_ORDER_TIME, call).await {
        Ok(Ok(Empty {})) => {}
        Ok(Err(error)) => warn!(log, "an order failed"; "engine" => address, "error" => %error),
        Err(_) => warn!(log, "an order took too long"; "engine" => address),
    }
}

/// Reads an engine's report; none if it fails or takes too long.
pub async fn poll(client: &Client, address: &str) -> Option<Report> {
    let url = format!("http://{address}/v1/report");
    let call = client.get::<Load>(&url);
    let load = tokio::time::timeout(POLL_TIMEOUT, call).await.ok()?.ok()?;
    Some(load.report())
}

/// One call of a plain service.
#[derive(Debug)]
pub struct PlainCall {
    /// The ticket of the attempt.
    pub ticket: Ticket,
    /// The key of the request, which is sent along in a header.
    pub key: Key,
    /// The upstream's address.
    pub address: String,
    /// The method, path, headers and body to send.
    pub call: Call,
    /// The time limit of the call.
    pub timeout: Duration,
    /// Whether the call may run more than once; otherwise it uses a new connection.
    pub repeatable: bool,
}

/// Calls a plain service and reports the answer to the reducer.
pub async fn call(client: Client, inputs: InputSender, plain: PlainCall) {
    let ticket = plain.ticket;
    let timeout = plain.timeout;
    let reply = match tokio::time::timeout(timeout, call_once(client, plain)).await {
        Ok(Ok(answer)) => Reply::Answered(answer),
        Ok(Err(error)) => failure_reply(&error),
        Err(_) => failure_reply(&CallError::Sent("the upstream did not answer in time".to_owned())),
    };
    inputs.send_event(Event::Upstream { ticket, reply });
}

/// Sends a call and reads the complete answer.
async fn call_once(client: Client, plain: PlainCall) -> Result<Answer, CallError> {
    let uri = format!("http://{}{}", plain.address, plain.call.path);
    let mut request = Request::builder().method(plain.call.method.as_str()).uri(uri);
    for (name, value) in &plain.call.headers {
        request = request.header(name, value);
    }
    let request = request
        .header(caller::KEY, plain.key.to_string())
        .body(Full::new(Bytes::copy_from_slice(&plain.call.body)))
        .map_err(|error| CallError::Connect(error.to_string()))?;
    let response = match plain.repeatable {
        true => client.send(request).await?,
        false => client.send_unpooled(request).await?,
    };
    let status = response.status().as_u16();
    let headers = response.headers().iter().filter_map(forwarded_header).collect();
    let body = read_whole(response).await?;
    Ok(Answer { status, headers, body: body.as_ref().into() })
}

/// Returns a header's name and value if it is forwarded and its value is text.
pub fn forwarded_header((name, value): (&HeaderName, &HeaderValue)) -> Option<(String, String)> {
    let value = value.to_str().ok()?;
    is_end_to_end(name.as_str()).then(|| (name.to_string(), value.to_owned()))
}

/// Returns the reply for a failed call.
fn failure_reply(error: &CallError) -> Reply {
    if error.status() == Some(engine::STATUS_FULL) {
        return Reply::Full;
    }
    if matches!(error, CallError::Exhausted(_)) {
        return Reply::Exhausted { detail: error.to_string() };
    }
    let mut trace = Trace::clean();
    if error.may_have_arrived() {
        trace.mark_sent();
    }
    Reply::Failed { detail: error.to_string(), trace }
}

/// Polls an engine and returns the input with the report for the event loop.
pub async fn poll_event(
    client: Client,
    engine: hollyspoke::site::UpstreamId,
    address: String,
) -> Input {
    let report = poll(&client, &address).await;
    Input::Event(Event::Polled { engine, report })
}
