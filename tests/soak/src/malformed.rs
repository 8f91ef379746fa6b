//! Clients that violate HTTP or never finish their request, with an unknown key. A box must finish
//! with each in bounded time, and none of these requests may run.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::client::HOST_NAME;
use crate::cluster::Cluster;
use crate::keys::{CUSTOMERS, Caller};
use crate::observation::What;

/// The interval between two malformed requests to one box.
const EVERY: Duration = Duration::from_millis(400);

/// How long a client waits for the end of its connection; longer than any limit of the judge.
const PATIENCE: Duration = Duration::from_secs(8);

/// The time between two bytes of a client that sends one at a time.
const BYTE_EVERY: Duration = Duration::from_millis(250);

/// The size of an oversized head, in bytes.
const LONG_HEAD: usize = 64 * 1024;

/// What is wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Flaw {
    /// Only half of the head.
    HalfHead,
    /// One byte at a time.
    ByteByByte,
    /// A head of 64 KB.
    LongHead,
    /// Two different content lengths.
    TwoLengths,
    /// A content length and chunked encoding.
    LengthAndChunks,
    /// A chunk size that is not a number.
    BadChunk,
    /// Bytes that are not HTTP.
    Noise,
    /// A header value that is not UTF-8.
    BadText,
}

impl Flaw {
    /// All flaws.
    pub const ALL: [Flaw; 8] = [
        Flaw::HalfHead,
        Flaw::ByteByByte,
        Flaw::LongHead,
        Flaw::TwoLengths,
        Flaw::LengthAndChunks,
        Flaw::BadChunk,
        Flaw::Noise,
        Flaw::BadText,
    ];
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Sends malformed requests to all boxes until the run is over.
pub async fn run(cluster: Rc<Cluster>, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0xBAD);
    let mut number = 0_u64;
    loop {
        for node in 0..cluster.nodes.len() {
            number += 1;
            let flaw = Flaw::ALL.choose(&mut random).copied().unwrap_or(Flaw::Noise);
            let id = format!("{seed:x}-malformed-{number:06}");
            tokio::task::spawn_local(come(cluster.clone(), node, flaw, id));
        }
        tokio::time::sleep(EVERY.mul_f64(random.random_range(0.5..1.5))).await;
    }
}

/// Sends one malformed request to a box and records when the box finished with it.
async fn come(cluster: Rc<Cluster>, node: usize, flaw: Flaw, id: String) {
    let begun = Instant::now();
    let front = cluster.nodes[node].way.front;
    let ended = tokio::time::timeout(PATIENCE, exchange(front, flaw, &id)).await;
    let is_reached = !matches!(ended, Ok(Err(_)));
    if is_reached {
        let span = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
        cluster.see(What::Flawed { node, flaw, span, is_done: ended.is_ok() });
    }
}

/// Sends a malformed request and waits for an answer or the end of the connection.
async fn exchange(front: SocketAddr, flaw: Flaw, id: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(front).await?;
    let (mut reader, mut writer) = stream.split();
    let pause = if flaw == Flaw::ByteByByte { BYTE_EVERY } else { Duration::ZERO };
    let send = async {
        let bytes = message(flaw, id);
        let piece = if pause.is_zero() { bytes.len() } else { 1 };
        for piece in bytes.chunks(piece) {
            // A box that has finished with it may have closed the connection.
            if writer.write_all(piece).await.is_err() {
                break;
            }
            tokio::time::sleep(pause).await;
        }
        std::future::pending::<()>().await;
    };
    let mut byte = [0];
    tokio::select! {
        () = send => {}
        // An answer, an orderly close and a reset all count as an end.
        _ = reader.read(&mut byte) => {}
    }
    Ok(())
}

/// Creates the bytes of a malformed request.
fn message(flaw: Flaw, id: &str) -> Vec<u8> {
    let nobody = Caller { customer: CUSTOMERS[0].to_owned(), key: None, units: 0 };
    let key = nobody.text();
    let start = format!(
        "POST /safe/{id} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAuthorization: Bearer {key}\r\n\
         X-Request-Id: {id}\r\n"
    );
    let with = |rest: &[u8]| [start.as_bytes(), rest].concat();
    match flaw {
        Flaw::HalfHead => start.into_bytes(),
        Flaw::ByteByByte => with(b"Content-Length: 2\r\n\r\n{}"),
        Flaw::LongHead => with(format!("X-Long: {}\r\n\r\n", "x".repeat(LONG_HEAD)).as_bytes()),
        Flaw::TwoLengths => with(b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}"),
        Flaw::LengthAndChunks => {
            with(b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
        }
        Flaw::BadChunk => with(b"Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n"),
        Flaw::Noise => b"\x16\x03\x01 no HTTP at all\r\n\r\n".to_vec(),
        Flaw::BadText => with(b"X-Text: \xFF\xFE\r\nContent-Length: 0\r\n\r\n"),
    }
}
