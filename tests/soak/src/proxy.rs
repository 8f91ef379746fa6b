//! A connection's way through the harness, on which it can be reset, held or delayed.

use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The bytes that are passed on at once.
const PIECE: usize = 16 * 1024;

/// What the way does with what comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It passes it on.
    Pass,
    /// It keeps connections open and passes nothing on.
    Hold,
}

/// A way to an address, with an address of its own.
#[derive(Debug)]
pub struct Proxy {
    /// Its own address.
    pub address: SocketAddr,
    /// What it does.
    mode: watch::Sender<Mode>,
    /// The share of connections that are reset, of a hundred, with each change of the value.
    reset: watch::Sender<u64>,
    /// The share of connections that go silent for good, of a hundred, with each change.
    mute: watch::Sender<u64>,
}

impl Proxy {
    /// Opens a way to an address. Needs a [`tokio::task::LocalSet`].
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

    /// Sets what it does, with the connections that are open too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets a share of the connections that are open now, of a hundred.
    pub fn reset(&self, share: u64) {
        self.reset.send_replace(share);
    }

    /// Has a share of the connections that are open now go silent for good, of a hundred. New ones
    /// work.
    pub fn mute(&self, share: u64) {
        self.mute.send_replace(share);
    }
}

/// What may end a connection, or silence it.
#[derive(Debug, Clone)]
struct Ends {
    /// The share that is reset.
    reset: watch::Receiver<u64>,
    /// The share that goes silent.
    mute: watch::Receiver<u64>,
}

/// What became of a connection.
enum Ended {
    /// An end closed it.
    Closed,
    /// It is to be reset.
    Reset,
    /// It is to be silent.
    Muted,
}

/// Takes connections, until the way is dropped.
async fn take(listener: TcpListener, to: SocketAddr, mut mode: watch::Receiver<Mode>, ends: Ends) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((near, _)) = accepted {
                    let mut later = ends.clone();
                    // What was before its time is not for this connection.
                    later.reset.mark_unchanged();
                    later.mute.mark_unchanged();
                    tokio::task::spawn_local(carry(near, to, mode.clone(), later));
                }
            }
            closed = mode.changed() => if closed.is_err() { return },
        }
    }
}

/// Carries one connection.
async fn carry(near: TcpStream, to: SocketAddr, mode: watch::Receiver<Mode>, ends: Ends) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    // Small pieces wait without it.
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
            // Neither end hears of the other again, nor that it has closed.
            tokio::join!(swallow(near), swallow(far));
        }
    }
}

/// Takes what comes and passes nothing on, until the end closes.
async fn swallow(mut from: TcpStream) {
    let mut bytes = vec![0; PIECE];
    while let Ok(1..) = from.read(&mut bytes).await {}
}

/// Waits until this connection is drawn, of a share that is told.
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

/// Passes bytes on one way, until an end closes.
async fn pass(
    mut from: tokio::net::tcp::ReadHalf<'_>,
    mut to: tokio::net::tcp::WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
) {
    let mut bytes = vec![0; PIECE];
    loop {
        let Ok(count @ 1..) = from.read(&mut bytes).await else { return };
        // What comes while nothing passes waits here, as on a dead path.
        if mode.wait_for(|it| *it == Mode::Pass).await.is_err() {
            return;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
