//! Runs one box until it is told to stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::gateway::{self, Gateway};
use hollyspoke_socket::bind;
use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::dialect::{Dialect, Kind};
use crate::directory::Audience;
use crate::memory::Memory;
use crate::node::Node;
use crate::peers::{Datagram, Peers};
use crate::settings::Settings;
use crate::upstream::UPSTREAM_CLIENT;
use crate::{directory, front, handover, sync};

/// How often the settings file is checked for changes, since it may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The part of the grace period that is left unused.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// How often a stopping box checks whether it is done.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running box.
#[derive(Debug)]
pub struct Running {
    /// The box.
    pub node: Rc<Node>,
    /// The address for clients' requests.
    pub front: SocketAddr,
    /// The address for requests that other boxes pass on; none if it accepts none.
    pub proxy: Option<SocketAddr>,
    /// The address for readiness checks.
    pub ready: SocketAddr,
    /// The address for clients that ask for addresses.
    pub directory: SocketAddr,
    /// The address of the metrics; none if they are not served.
    pub metrics: Option<SocketAddr>,
    /// Closes clients' connections.
    close: watch::Sender<bool>,
}

/// Runs a box until it was told to stop and its requests in flight are answered. Needs a
/// [`tokio::task::LocalSet`].
///
/// # Errors
///
/// If an address can't be bound, or signal handlers can't be installed.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    dialect: Dialect,
    log: Logger,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let started = tokio::select! {
        started = start(&settings, dialect, log.clone()) => started,
        _ = terminate.recv() => {
            info!(log, "stopped before the start");
            return Ok(());
        }
    };
    let running = started?;
    tokio::task::spawn_local(watch_settings(running.node.clone(), path, settings));
    terminate.recv().await;
    running.stop().await;
    Ok(())
}

/// Starts a box. Needs a [`tokio::task::LocalSet`]. Ports may be 0 for a port that the operating
/// system assigns.
///
/// # Errors
///
/// If an address can't be bound.
pub async fn start(settings: &Settings, dialect: Dialect, log: Logger) -> eyre::Result<Running> {
    let front = bind::listener(settings.front, "clients", &log).await?;
    let ready = bind::listener(settings.ready, "readiness checks", &log).await?;
    let directory = bind::listener(settings.directory, "clients' questions", &log).await?;
    let metrics = match settings.metrics {
        Some(address) => Some(bind::listener(address, "metrics", &log).await?),
        None => None,
    };
    let proxy = match settings.proxy {
        Some(address) => Some(bind::listener(address, "other boxes' requests", &log).await?),
        None => None,
    };
    let bind_datagrams = async |address| Peers::bind(address, log.clone()).await;
    let (handovers, peers) = bind::pair(settings.peer, "other boxes", &log, bind_datagrams).await?;
    let (close, closing) = watch::channel(false);
    let gateway = Gateway::new(gateway::Settings {
        data_centre: settings.data_centre.as_str().into(),
        regions: settings.regions.clone(),
        peer: settings.announced_peer.map_or_else(|| peers.address(), Ok)?,
        front: front.local_addr()?,
        proxy: proxy.as_ref().map(TcpListener::local_addr).transpose()?,
        retry_bound: settings.bound,
        grace: settings.grace,
        order_pause: settings.order_pause,
        drain: settings.drain,
        tolerance: settings.tolerance,
        sharing: settings.sharing,
        boxes: settings.boxes,
        features: settings.features,
        incarnation: Pcg64Mcg::from_os_rng().next_u64(),
        unix_start: unix_seconds(),
        is_first_start: settings.is_first_start,
    });
    let memory = Memory::new(settings.memory_bytes);
    let node =
        Node::new(gateway, dialect, log, peers.clone(), settings.store, memory, UPSTREAM_CLIENT)?;
    let running = Running {
        node: node.clone(),
        front: front.local_addr()?,
        proxy: proxy.as_ref().map(TcpListener::local_addr).transpose()?,
        ready: ready.local_addr()?,
        directory: directory.local_addr()?,
        metrics: metrics.as_ref().map(TcpListener::local_addr).transpose()?,
        close,
    };
    info!(node.log, "started"; "front" => %running.front, "store" => %settings.store);
    node.dispatch(Event::Seeds(settings.seeds.clone()));
    let receiver = node.clone();
    let on_datagram = move |datagram| match datagram {
        Datagram::Message(message) => receiver.dispatch(Event::Received(*message)),
        Datagram::Notice(notice) => receiver.dispatch(Event::Notified(notice)),
    };
    tokio::task::spawn_local(peers.listen(on_datagram));
    tokio::task::spawn_local(handover::listen(node.clone(), handovers));
    tokio::task::spawn_local(tick(node.clone()));
    for kind in [Kind::Configuration, Kind::Engines, Kind::Evacuations] {
        tokio::task::spawn_local(sync::follow(node.clone(), settings.store, kind));
    }
    if let Some(proxy) = proxy {
        let closing = closing.clone();
        tokio::task::spawn_local(front::listen(
            node.clone(),
            proxy,
            front::Audience::Peers,
            closing,
        ));
    }
    let clients = front::Audience::Clients;
    tokio::task::spawn_local(front::listen(node.clone(), front, clients, closing));
    tokio::task::spawn_local(directory::listen(node.clone(), ready, Audience::Clients));
    tokio::task::spawn_local(directory::listen(node.clone(), directory, Audience::Clients));
    if let Some(metrics) = metrics {
        tokio::task::spawn_local(directory::listen(node.clone(), metrics, Audience::Operators));
    }
    Ok(running)
}

impl Running {
    /// Completes a planned stop: requests in flight are answered, and clients are directed to other
    /// boxes.
    pub async fn stop(self) {
        self.node.dispatch(Event::Stop);
        while !self.time_left().is_zero() {
            let now = self.node.now();
            if self.node.with(|it| it.is_done(now)) {
                break;
            }
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        self.close.send_replace(true);
        // Clients may still be taking answers that have been decided. Each connection, and each
        // listener, holds a receiver.
        let left = self.time_left().max(STOP_CHECK_INTERVAL);
        let is_written = tokio::time::timeout(left, self.close.closed()).await.is_ok();
        info!(self.node.log, "stopped"; "written" => is_written);
    }

    /// Returns how long the stop may still take.
    fn time_left(&self) -> Duration {
        self.node.detect_suspension();
        let now = self.node.now();
        self.node.with(|it| it.grace_left(now)).saturating_sub(GRACE_MARGIN)
    }
}

/// Dispatches a tick to the reducer whenever one is due.
async fn tick(node: Rc<Node>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(node.schedule_tick()) => node.dispatch(Event::Tick),
            () = node.timer_wakeup.notified() => {}
        }
    }
}

/// Reloads the settings when they may have changed. Only the seeds can change while the process
/// runs. An invalid file is reported and changes nothing.
async fn watch_settings(node: Rc<Node>, path: PathBuf, first: Settings) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let mut current = first;
    let mut modified = modified(&path);
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => {
                let newest = self::modified(&path);
                if newest == modified {
                    continue;
                }
                modified = newest;
            }
        }
        match Settings::read(&path) {
            Ok(settings) if settings == current => {}
            Ok(settings) => {
                info!(node.log, "settings read again"; "seeds" => settings.seeds.len());
                node.dispatch(Event::Seeds(settings.seeds.clone()));
                current = settings;
            }
            Err(findings) => {
                for finding in findings {
                    warn!(node.log, "settings not taken"; "finding" => %finding);
                }
            }
        }
    }
}

/// Returns the Unix time in seconds; 0 if the clock is set before 1970.
fn unix_seconds() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |it| it.as_secs())
}

/// Returns when a file was last modified; none if it can't be read.
fn modified(path: &std::path::Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}
