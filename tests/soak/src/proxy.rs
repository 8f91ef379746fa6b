//! A TCP proxy whose connections can be reset, held or silenced.

use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The maximum number of bytes that are forwarded at once.
const PIECE: usize = 16 * 1024;

/// How a proxy treats received bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It forwards them.
    Pass,
    /// It keeps connections open and forwards nothing.
    Hold,
}

/// A proxy to an address.
#[derive(Debug)]
pub struct Proxy {
    /// The address it listens on.
    pub address: SocketAddr,
    /// How it treats received bytes.
    mode: watch::Sender<Mode>,
    /// The percentage of open connections that are reset with each change of the value.
    reset: watch::Sender<u64>,
    /// The percentage of open connections that are silenced permanently with each change.
    mute: watch::Sender<u64>,
}

impl Proxy {
    /// Opens a proxy to an address. Must run inside of a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn open(to: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Pass);
        let (reset, mute) = (watch::Sender::new(0), watch::Sender::new(0));
        let ends = Ends { reset: reset.subscribe(), mute: mute.subscribe() };
        tokio::task::spawn_local(take(listener, to, mode.subscribe(), ends));
        Ok(Proxy { address, mode, reset, mute })
    }

    /// Sets the mode, for open connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets a percentage of the connections that are open now.
    pub fn reset(&self, share: u64) {
        self.reset.send_replace(share);
    }

    /// Silences a percentage of the connections that are open now, permanently. New ones work.
    pub fn mute(&self, share: u64) {
        self.mute.send_replace(share);
    }
}

/// The signals that reset or silence a connection.
#[derive(Debug, Clone)]
struct Ends {
    /// The percentage that is reset.
    reset: watch::Receiver<u64>,
    /// The percentage that is silenced.
    mute: watch::Receiver<u64>,
}

/// The reason why forwarding on a connection ends.
enum Ended {
    /// Either end closed it.
    Closed,
    /// It was drawn to be reset.
    Reset,
    /// It was drawn to be silenced.
    Muted,
}

/// Accepts connections until the proxy is dropped.
async fn take(listener: TcpListener, to: SocketAddr, mut mode: watch::Receiver<Mode>, ends: Ends) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((near, _)) = accepted {
                    let mut later = ends.clone();
                    // Earlier changes do not concern this connection.
                    later.reset.mark_unchanged();
                    later.mute.mark_unchanged();
                    tokio::task::spawn_local(carry(near, to, mode.clone(), later));
                }
            }
            closed = mode.changed() => if closed.is_err() { return },
        }
    }
}

/// Forwards one connection.
async fn carry(near: TcpStream, to: SocketAddr, mode: watch::Receiver<Mode>, ends: Ends) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    // Without it, small pieces are delayed.
    _ = near.set_nodelay(true);
    _ = far.set_nodelay(true);
    let (mut near, mut far) = (near, far);
    let ended = {
        let (near_reader, near_writer) = near.split();
        let (far_reader, far_writer) = far.split();
        tokio::select! {
            () = pass(near_reader, far_writer, mode.clone()) => Ended::Closed,
            () = pass(far_reader, near_writer, mode) => Ended::Closed,
            () = wait_until_drawn(ends.reset) => Ended::Reset,
            () = wait_until_drawn(ends.mute) => Ended::Muted,
        }
    };
    match ended {
        Ended::Closed => {}
        Ended::Reset => {
            // Both ends see a reset in place of an orderly close.
            _ = near.set_zero_linger();
            _ = far.set_zero_linger();
        }
        Ended::Muted => {
            // Neither end receives anything more from the other, nor that it has closed.
            tokio::join!(swallow(near), swallow(far));
        }
    }
}

/// Reads and discards bytes until the connection closes.
async fn swallow(mut from: TcpStream) {
    let mut bytes = vec![0; PIECE];
    while let Ok(1..) = from.read(&mut bytes).await {}
}

/// Waits until this connection is drawn by a change of the percentage.
async fn wait_until_drawn(mut share: watch::Receiver<u64>) {
    let mut random = Pcg64Mcg::from_os_rng();
    loop {
        if share.changed().await.is_err() {
            return std::future::pending().await;
        }
        if random.random_range(0..100) < *share.borrow() {
            return;
        }
    }
}

/// Forwards bytes in one direction until an end closes.
async fn pass(
    mut from: tokio::net::tcp::ReadHalf<'_>,
    mut to: tokio::net::tcp::WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
) {
    let mut bytes = vec![0; PIECE];
    loop {
        let Ok(count @ 1..) = from.read(&mut bytes).await else { return };
        // While held, received bytes wait here, as on a dead network path.
        if mode.wait_for(|it| *it == Mode::Pass).await.is_err() {
            return;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
