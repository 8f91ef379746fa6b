//! Starts one box and runs it until its planned stop is complete.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::event::Event;
use hollyspoke::key::Incarnation;
use hollyspoke::node::{self, Node};
use hollyspoke::time::Time;
use hollyspoke_socket::accept::Acceptor;
use hollyspoke_socket::bind;
use hollyspoke_wire::http::Client;
use hollyspoke_wire::peer::Inbox;
use hollyspoke_wire::platform::Platform;
use rand::Rng;
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::callers::Callers;
use crate::connection;
use crate::input::InputSender;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shell::{self, Shell};
use crate::store::{self, SiteObject};

/// The time that connections have to close once the planned stop is complete.
const CLOSE_GRACE: Duration = Duration::from_millis(500);

/// A running box; dropping it aborts its tasks.
#[derive(Debug)]
pub struct Running {
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address that other boxes connect to.
    pub peers: SocketAddr,
    /// The event queue of the reducer.
    inputs: InputSender,
    /// The task of the event loop.
    shell: JoinHandle<()>,
    /// The stop signal for connections.
    stopping: watch::Sender<bool>,
    /// The tasks that end with the box.
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    /// Begins the planned stop.
    pub fn leave(&self) {
        self.inputs.send_event(Event::Leave);
    }

    /// Waits until the planned stop is complete.
    pub async fn wait(mut self) {
        // A loop that panicked has ended as well, and the process exits.
        let _ = (&mut self.shell).await;
        self.stopping.send_replace(true);
        tokio::time::sleep(CLOSE_GRACE).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shell.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts a box.
///
/// # Errors
///
/// When an address can't be listened on or the metrics can't be set up.
pub async fn start(settings: Settings, log: Logger) -> eyre::Result<Running> {
    let callers = bind::listener(settings.listen, "callers", &log).await?;
    let peers = bind::listener(settings.listen_peers, "other boxes", &log).await?;
    let callers_address = callers.local_addr()?;
    let peers_address = peers.local_addr()?;
    let mut random = rand::rng();
    let node = Node::new(
        Time::ZERO,
        node::Settings {
            incarnation: Incarnation(random.random()),
            name: settings.name.clone(),
            caller_address: settings.advertise.unwrap_or(callers_address).to_string(),
            peer_address: settings.advertise_peers.unwrap_or(peers_address).to_string(),
            data_centre: settings.data_centre.clone(),
            seeds: settings.seeds.iter().map(ToString::to_string).collect(),
            random_seed: random.random(),
        },
    );
    info!(log, "listening";
        "callers" => %callers_address,
        "peers" => %peers_address,
        "incarnation" => %node.incarnation(),
        "data_centre" => &settings.data_centre,
        "site" => &settings.site,
    );
    let (inputs, receiver) = InputSender::new();
    let (entry, entry_receiver) = watch::channel(node.entry().clone());
    let (received_sender, received) = mpsc::unbounded_channel();
    let (stopping, stopping_receiver) = watch::channel(false);
    let platform = Platform::new(Client::new(), settings.platform.to_string());
    let site = SiteObject {
        platform: platform.clone(),
        site: settings.site,
        inputs: inputs.clone(),
        log: log.clone(),
    };
    let router = Callers::new(inputs.clone(), settings.body_limit).router();
    let callers = Acceptor::new(callers, log.clone());
    let peers = Acceptor::new(peers, log.clone());
    let shell = Shell::new(node, inputs.clone(), site, entry, Metrics::new()?, log);
    let inbox = Inbox::new(entry_receiver, received_sender);
    let tasks = vec![
        tokio::spawn(async move {
            inbox.serve(peers).await;
        }),
        tokio::spawn(shell::forward_received(received, inputs.clone())),
        tokio::spawn(store::poll_boxes(platform, inputs.clone())),
        tokio::spawn(connection::accept(callers, router, stopping_receiver)),
    ];
    let shell = tokio::spawn(shell.run(receiver));
    Ok(Running { callers: callers_address, peers: peers_address, inputs, shell, stopping, tasks })
}
