//! Servers that spoil the heads of their answers, before the HTTP client of the daemon and its tools.

use bytes::Bytes;
use hollyspoke_tests::platform::{LAST_CHUNK, Received, chunk, local, receive, whole};
use hollyspoke_tests::spoilt_heads::{Media, forms};
use hollyspoke_wire::http::{CallError, Client, read_whole};
use http::{Method, Request};
use http_body_util::Full;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Starts a server that answers each request with the same bytes, and returns its address.
async fn server(answer: impl Fn(&Received) -> Vec<u8> + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let answer = std::rc::Rc::new(answer);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::task::spawn_local(async move {
                while let Some(received) = receive(&mut stream).await {
                    if stream.write_all(&answer(&received)).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends a request and returns the status and the body of the answer.
async fn ask(
    client: &Client,
    method: Method,
    address: &str,
    is_pooled: bool,
) -> Result<(u16, Bytes), CallError> {
    let request = Request::builder().method(method).uri(format!("http://{address}/x"));
    let request = request.body(Full::default()).unwrap();
    let response = match is_pooled {
        true => client.send(request).await?,
        false => client.send_unpooled(request).await?,
    };
    Ok((response.status().as_u16(), read_whole(response).await?))
}

/// The platform's engines sign their answers, other servers don't.
#[test]
fn spoilt_head_taken() {
    for form in forms().into_iter().filter(|it| it.is_signed()) {
        for is_pooled in [false, true] {
            local(async {
                let spoilt = form.clone();
                let address = server(move |it| spoilt.answer(it, Media::Text)).await;
                let answer = ask(&Client::new(), Method::GET, &address, is_pooled).await;
                assert!(matches!(answer, Err(CallError::Sent(_))), "{form:?}: {answer:?}");
            });
        }
    }
}

/// A pooled connection carries sound answers of all framings one after the other.
#[test]
fn sound_answer_refused() {
    local(async {
        let address = server(|it| {
            if it.line.starts_with("HEAD") {
                return b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n".to_vec();
            }
            if it.line.starts_with("POST") {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
                return [head, chunk("answer"), LAST_CHUNK.to_vec()].concat();
            }
            whole(it, "answer")
        });
        let (address, client) = (address.await, Client::new());
        for method in [Method::GET, Method::HEAD, Method::POST, Method::GET, Method::HEAD] {
            let has_body = method != Method::HEAD;
            let answer = ask(&client, method, &address, true).await.expect("it is sound");
            assert_eq!(answer, (200, Bytes::from(if has_body { "answer" } else { "" })));
        }
    });
}
