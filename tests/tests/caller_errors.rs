//! Requests that can't be served get a clear error, and never a hang or a bare close.

use std::time::Duration;

use hollyspoke_tests::cluster::{Cluster, Plan};
use hollyspoke_tests::request::{CallerRequest, CallerResponse};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends raw bytes and reads until the box closes or the time is over.
async fn raw(address: &str, parts: &[&[u8]], pause: Duration) -> eyre::Result<String> {
    let mut socket = TcpStream::connect(address).await?;
    for part in parts {
        // A box that has answered already may not read on.
        let _ = socket.write_all(part).await;
        tokio::time::sleep(pause).await;
    }
    let mut answer = vec![0; 4096];
    let read = tokio::time::timeout(Duration::from_secs(20), socket.read(&mut answer)).await??;
    Ok(String::from_utf8_lossy(&answer[..read]).into_owned())
}

/// Asserts a problem's status, slug and claim.
fn assert_problem(got: &CallerResponse, status: u16, slug: &str) {
    let CallerResponse::Problem(problem) = got else { panic!("no problem but {got:?}") };
    assert_eq!((problem.status, got.slug(), problem.ran.as_str()), (status, slug, "no"));
    assert!(!problem.detail.is_empty());
}

/// Wrong requests of every sort.
#[tokio::test]
async fn wrong_requests() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 1, services: 1, ..Plan::default() }).await?;
    let address = cluster.boxes[0].address();
    let good = CallerRequest::generate("a", 4, false);
    let with_body = |body: &str| CallerRequest { body: body.to_owned(), ..good.clone() };

    assert_problem(&with_body("{\"model\": ").send(address).await, 400, "malformed");
    assert_problem(&with_body("{\"model\": \"m\"}").send(address).await, 400, "malformed");
    let unknown = with_body("{\"model\": \"nope\", \"prompt\": \"a\"}");
    assert_problem(&unknown.send(address).await, 404, "not-found");
    let none = with_body("{\"model\": \"m\", \"prompt\": \"a\", \"max_tokens\": 0}");
    assert_problem(&none.send(address).await, 400, "malformed");
    let huge = with_body(&" ".repeat(1024 * 1024 + 1));
    assert_problem(&huge.send(address).await, 413, "too-large");
    let too_long = CallerRequest::generate("a", 30_000, false);
    assert_problem(&too_long.send(address).await, 422, "invalid");
    let no_path =
        CallerRequest { path: "/nowhere".to_owned(), method: Method::GET, ..good.clone() };
    assert_problem(&no_path.send(address).await, 404, "not-found");
    assert_problem(&good.clone().key("not-a-key").send(address).await, 400, "malformed");
    let future = format!("{}.ffff.1", cluster.boxes[0].incarnation);
    assert_problem(&good.clone().key(&future).send(address).await, 422, "invalid");
    let class = good.clone().header("hollyspoke-class", "seventy");
    assert_problem(&class.send(address).await, 400, "malformed");
    assert!(good.send(address).await.is_answer(), "the box still serves");
    Ok(())
}

/// One key can't stand for two requests.
#[tokio::test]
async fn reused_key() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 1, ..Plan::default() }).await?;
    let key = hollyspoke_tests::request::key_of(&cluster.boxes[0], 7);
    let address = cluster.boxes[0].address();
    assert!(CallerRequest::generate("a", 4, false).key(&key).send(address).await.is_answer());
    assert!(CallerRequest::generate("a", 4, false).key(&key).send(address).await.is_answer());
    let other = CallerRequest::generate("b", 4, false).key(&key).send(address).await;
    assert_problem(&other, 422, "invalid");
    Ok(())
}

/// Slow senders and huge heads are answered.
#[tokio::test]
async fn slow_and_huge() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 1, ..Plan::default() }).await?;
    let address = cluster.boxes[0].address();
    let mut head = b"GET / HTTP/1.1\r\nhost: a\r\n".to_vec();
    for number in 0..40 {
        head.extend(format!("x-{number}: {}\r\n", "y".repeat(4000)).bytes());
    }
    head.extend(b"\r\n");
    let slow_head = raw(address, &[b"GET / HTTP/1.1\r\nhost"], Duration::ZERO);
    let slow_body = raw(
        address,
        &[b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{"],
        Duration::ZERO,
    );
    let huge_parts = [head.as_slice()];
    let huge = raw(address, &huge_parts, Duration::ZERO);
    let nonsense = raw(address, &[b"\x00\x01\x02\r\n\r\n"], Duration::ZERO);
    let (slow_head, slow_body, huge, nonsense) =
        tokio::try_join!(slow_head, slow_body, huge, nonsense)?;
    assert!(slow_head.starts_with("HTTP/1.1 408"), "{slow_head}");
    assert!(slow_body.starts_with("HTTP/1.1 408"), "{slow_body}");
    assert!(huge.starts_with("HTTP/1.1 431"), "{huge}");
    assert!(nonsense.starts_with("HTTP/1.1 400"), "{nonsense}");
    Ok(())
}
