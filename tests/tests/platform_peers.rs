//! Datagrams between boxes, over real sockets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke::quota::Account;
use hollyspoke_gateway::customer::CustomerKey;
use hollyspoke_gateway::message::{Format, Message, StoreView, Usage};
use hollyspoke_server::peers::{Datagram, Peers};
use hollyspoke_tests::gateway::heartbeat;
use slog::{Discard, Logger, o};
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

/// The number of customers of the largest supported deployment.
const CUSTOMER_COUNT: u64 = 520;

/// Returns a heartbeat with the accounts of the given number of customers.
fn heartbeat_with_accounts(customers: u64) -> Message {
    let account = |number: u64| Account {
        customer: CustomerKey::of(&format!("customer-{number}")),
        total: u32::MAX - number as u32,
        level: Some(i32::MIN + number as i32),
    };
    let usage =
        Usage { accounts: (0..customers).map(account).collect(), is_complete: true, peak_boxes: 0 };
    Message { usage, ..heartbeat(2, 1, StoreView::default()) }
}

/// Binds the peer socket of a box.
async fn bind() -> Peers {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Peers::bind(any, Logger::root(Discard, o!())).await.expect("a free port")
}

/// Returns the messages that a box receives within half a second while `send` runs.
async fn received_messages(send: impl AsyncFnOnce(SocketAddr)) -> Vec<Message> {
    let found = Rc::new(RefCell::new(Vec::new()));
    let receiver = bind().await;
    let address = receiver.address().expect("it is bound");
    let sink = found.clone();
    let listening = receiver.listen(move |datagram| {
        if let Datagram::Message(message) = datagram {
            sink.borrow_mut().push(*message);
        }
    });
    send(address).await;
    _ = tokio::time::timeout(Duration::from_millis(500), listening).await;
    found.take()
}

/// All that a box of the largest deployment announces fits into one datagram.
#[tokio::test]
async fn accounts_cut_off() {
    let sent = heartbeat_with_accounts(CUSTOMER_COUNT);
    let message = sent.clone();
    let run = received_messages(async move |to| bind().await.send(&[to], &message, Format::First));
    let received_messages = LocalSet::new().run_until(run).await;
    assert!(
        received_messages == [sent],
        "received {} messages, or one that differs",
        received_messages.len()
    );
}

/// Invalid datagrams are skipped, and the messages after them are received.
#[tokio::test]
async fn invalid_datagram_stops() {
    let sent = heartbeat_with_accounts(1);
    let message = sent.clone();
    let run = received_messages(async move |to| {
        let noise = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        for bytes in [&b""[..], b"no message", &[0xFF; 9000]] {
            noise.send_to(bytes, to).await.expect("it is sent");
        }
        bind().await.send(&[to], &message, Format::First);
    });
    let received_messages = LocalSet::new().run_until(run).await;
    assert!(
        received_messages == [sent],
        "received {} messages, or one that differs",
        received_messages.len()
    );
}
