//! The soak's proxies: what is reset, and what is not.

use std::time::Duration;

use hollyspoke_soak::proxy::Proxy;
use hollyspoke_tests::platform::local;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Opens a way to a server that sends back what it gets.
async fn echo() -> Proxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let (mut reader, mut writer) = stream.split();
                // It ends with its connection.
                _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    Proxy::open(address).await.expect("a port is free")
}

/// Tells whether a byte comes back.
async fn answers(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_exact(&mut byte)).await;
    matches!(read, Ok(Ok(_)))
}

/// Seeds 328 and 339 found promises broken since every connection after a reset was reset too.
#[test]
fn only_open_connections_are_reset() {
    local(async {
        let proxy = echo().await;
        let mut before = TcpStream::connect(proxy.address).await.expect("it listens");
        assert!(answers(&mut before).await);
        proxy.reset(100);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!answers(&mut before).await);
        for _ in 0..5 {
            let mut after = TcpStream::connect(proxy.address).await.expect("it listens");
            assert!(answers(&mut after).await, "it was opened after the reset");
        }
    });
}
