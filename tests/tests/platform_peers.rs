//! Datagrams between boxes, over real sockets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke::quota::Account;
use hollyspoke_gateway::customer::CustomerKey;
use hollyspoke_gateway::message::{Format, Message, StoreView, Usage};
use hollyspoke_server::peers::Peers;
use hollyspoke_tests::gateway::heartbeat;
use slog::{Discard, Logger, o};
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

/// The customers of the largest deployment that is designed for.
const CUSTOMERS: u64 = 520;

/// Gives a heartbeat that tells all accounts of so many customers.
fn told_of(customers: u64) -> Message {
    let account = |number: u64| Account {
        customer: CustomerKey::of(&format!("customer-{number}")),
        total: u32::MAX - number as u32,
        level: Some(i32::MIN + number as i32),
    };
    let usage =
        Usage { accounts: (0..customers).map(account).collect(), is_complete: true, peak_boxes: 0 };
    Message { usage, ..heartbeat(2, 1, StoreView::default()) }
}

/// Binds a socket of a box.
async fn bind() -> Peers {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Peers::bind(any, Logger::root(Discard, o!())).await.expect("a free port")
}

/// Gives what a box hears within half a second of what another sends.
async fn heard(send: impl AsyncFnOnce(SocketAddr)) -> Vec<Message> {
    let found = Rc::new(RefCell::new(Vec::new()));
    let receiver = bind().await;
    let address = receiver.address().expect("it is bound");
    let sink = found.clone();
    let listening = receiver.listen(move |message| sink.borrow_mut().push(message));
    send(address).await;
    _ = tokio::time::timeout(Duration::from_millis(500), listening).await;
    found.take()
}

/// Everything that a box of the largest deployment tells fits into one datagram.
#[tokio::test]
async fn all_accounts_arrive() {
    let sent = told_of(CUSTOMERS);
    let message = sent.clone();
    let run = heard(async move |to| bind().await.send(&[to], &message, Format::First));
    let heard = LocalSet::new().run_until(run).await;
    assert!(heard == [sent], "{} datagrams, or another one", heard.len());
}

/// Bytes that are no message are passed over, and what comes after them is heard.
#[tokio::test]
async fn noise_is_passed_over() {
    let sent = told_of(1);
    let message = sent.clone();
    let run = heard(async move |to| {
        let noise = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        for bytes in [&b""[..], b"no message", &[0xFF; 9000]] {
            noise.send_to(bytes, to).await.expect("it is sent");
        }
        bind().await.send(&[to], &message, Format::First);
    });
    let heard = LocalSet::new().run_until(run).await;
    assert!(heard == [sent], "{} datagrams, or another one", heard.len());
}
