//! Runs one node until it is told to stop.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::gateway::{self, Gateway};
use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::dialect::{Dialect, Kind};
use crate::node::Node;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::{directory, front, sync};

/// How often the settings file is looked at, since it may change without a signal.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);

/// The part of the grace that is left unused.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// How often a stopping node looks whether it is done.
const STOP_EVERY: Duration = Duration::from_millis(50);

/// Runs a node until it was told to stop and has answered what it had taken up. Needs a
/// [`tokio::task::LocalSet`].
///
/// # Errors
///
/// If an address can't be bound, or signals can't be taken.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    dialect: Dialect,
    log: Logger,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let node = start(&settings, dialect, log).await?;
    let (close, closing) = watch::channel(false);
    listen(&node, &settings, closing).await?;
    tokio::task::spawn_local(reread(node.clone(), path, settings.clone()));
    terminate.recv().await;
    stop(&node, &settings, &close).await;
    info!(node.log, "stopped");
    Ok(())
}

/// Makes the node and the tasks that feed it.
async fn start(settings: &Settings, dialect: Dialect, log: Logger) -> eyre::Result<Rc<Node>> {
    let peers = Peers::bind(settings.peer)
        .await
        .wrap_err_with(|| format!("cannot bind {} for other nodes", settings.peer))?;
    let gateway = Gateway::new(gateway::Settings {
        zone: settings.zone.as_str().into(),
        peer: settings.peer,
        front: settings.front,
        bound: settings.bound,
        grace: settings.grace,
        incarnation: Pcg64Mcg::from_os_rng().next_u64(),
    });
    let node = Node::new(gateway, dialect, log, peers.clone());
    info!(node.log, "started"; "front" => %settings.front, "store" => %settings.store);
    node.dispatch(Event::Seeds(settings.seeds.clone()));
    tokio::task::spawn_local(peers.listen(node.clone()));
    tokio::task::spawn_local(tick(node.clone()));
    for kind in [Kind::Configuration, Kind::Engines] {
        tokio::task::spawn_local(sync::follow(node.clone(), settings.store, kind));
    }
    Ok(node)
}

/// Opens the node's listeners.
async fn listen(
    node: &Rc<Node>,
    settings: &Settings,
    closing: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let bind = async |address| {
        TcpListener::bind(address).await.wrap_err_with(|| format!("cannot bind {address}"))
    };
    let front = bind(settings.front).await?;
    let ready = bind(settings.ready).await?;
    let directory = bind(settings.directory).await?;
    tokio::task::spawn_local(front::listen(node.clone(), front, closing));
    tokio::task::spawn_local(directory::listen(node.clone(), ready));
    tokio::task::spawn_local(directory::listen(node.clone(), directory));
    Ok(())
}

/// Tells the reducer of time whenever it needs to know.
async fn tick(node: Rc<Node>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(node.next_due()) => node.dispatch(Event::Tick),
            () = node.woken.notified() => {}
        }
    }
}

/// Reads the settings again when they may have changed. Only the seeds can change in a life of
/// the process; a file that is wrong is reported and changes nothing.
async fn reread(node: Rc<Node>, path: PathBuf, first: Settings) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let mut known = first;
    let mut modified = modified(&path);
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_EVERY) => {
                let newest = self::modified(&path);
                if newest == modified {
                    continue;
                }
                modified = newest;
            }
        }
        match Settings::read(&path) {
            Ok(settings) if settings == known => {}
            Ok(settings) => {
                info!(node.log, "settings read again"; "seeds" => settings.seeds.len());
                node.dispatch(Event::Seeds(settings.seeds.clone()));
                known = settings;
            }
            Err(findings) => {
                for finding in findings {
                    warn!(node.log, "settings not taken"; "finding" => %finding);
                }
            }
        }
    }
}

/// Gives when a file was changed, if it is there.
fn modified(path: &std::path::Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}

/// Sees the planned stop through.
async fn stop(node: &Rc<Node>, settings: &Settings, close: &watch::Sender<bool>) {
    node.dispatch(Event::Stop);
    let longest = settings.grace.saturating_sub(GRACE_MARGIN);
    let stopped = tokio::time::Instant::now();
    while stopped.elapsed() < longest {
        let now = node.now();
        if node.with(|it| it.is_done(now)) {
            break;
        }
        tokio::time::sleep(STOP_EVERY).await;
    }
    close.send_replace(true);
    // Answers that have just ended still have to be written.
    tokio::time::sleep(STOP_EVERY).await;
}
