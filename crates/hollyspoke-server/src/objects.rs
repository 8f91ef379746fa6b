//! Operations on the router's own objects in the platform's store.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke_gateway::event::Event;
use http::header::HOST;
use http_body_util::Full;
use slog::info;

use crate::http1::read_whole;
use crate::node::Node;

/// The timeout of an operation, including the connection. The store answers within milliseconds, and
/// up to sixty times later when it is slow.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(1200);

/// The maximum size of an answer in bytes. The streams of a shard take at most 400 kB.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Executes an operation and dispatches the store's answer to the reducer.
pub async fn execute(node: Rc<Node>, number: u64, operation: Operation) {
    let answer = tokio::time::timeout(OPERATION_TIMEOUT, exchange(&node, &operation)).await;
    let answer = answer.ok().flatten().unwrap_or(Answer::Away);
    node.dispatch(Event::Stored(number, answer));
}

/// Returns the log's name of an operation.
fn name(operation: &Operation) -> String {
    match operation {
        Operation::Get { kind, name } | Operation::Peek { kind, name } => {
            format!("read {kind}/{name}")
        }
        Operation::Put { kind, name, .. } => format!("write {kind}/{name}"),
    }
}

/// Sends the operation to the store. Returns `None` if no answer arrives.
async fn exchange(node: &Rc<Node>, operation: &Operation) -> Option<Answer> {
    let mut connection = node.connect(node.store, OPERATION_TIMEOUT).await.ok()?;
    let (head, body) = (node.dialect.operation)(operation);
    let request = head.header(HOST, node.store.to_string()).body(Full::new(body)).ok()?;
    let response = connection.send(request).await.ok()?;
    let status = response.status();
    node.handle_store_era(response.headers())?;
    let bytes =
        read_whole(response.into_body(), MAX_ANSWER_BYTES, &node.memory, || ()).await.ok()?;
    let answer = (node.dialect.read_operation_answer)(operation, status, &bytes);
    if matches!(answer, Answer::Away | Answer::Conflict) {
        info!(node.log, "store operation not carried out";
            "operation" => name(operation), "status" => status.as_u16());
    }
    Some(answer)
}
