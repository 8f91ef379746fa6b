//! The processes of a run: boxes, upstreams and the store. Each is started here and ended by its
//! id.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use eyre::{OptionExt, WrapErr, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use crate::client::{Sink, Way};
use crate::faults::report;
use crate::keys::KEY_MARK;
use crate::layout::{DATA_CENTRES, PORTS, Site, configuration, ip, settings_text};
use crate::mutant::Mutant;
use crate::observation::{BoxChange, MILLISECOND, Micros, Observation, What, now};
use crate::peering::{Peering, Place};
use crate::proxy::{Mode, Proxy};
use crate::standin::Greeting;
use crate::standin::store::Done;
use crate::standin::{engine, store};

/// The interval at which processes are checked for their end.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How long a crashed upstream takes to restart: less than its entry takes to lapse.
const BACK_AFTER: Duration = Duration::from_millis(2000);

/// The log message of a box that could not decode a datagram of another one.
const NOT_READ: &str = "datagram not read";

/// The number of processes and clients of a run.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// The number of boxes.
    pub boxes: usize,
    /// The number of engines of the model service.
    pub engines: usize,
    /// The number of upstreams of the plain service.
    pub plain: usize,
    /// The number of clients.
    pub clients: usize,
}

/// One box.
#[derive(Debug)]
pub struct Node {
    /// The addresses for clients.
    pub way: Way,
    /// The address of the readiness check.
    pub ready: SocketAddr,
    /// The address of its metrics.
    pub metrics: SocketAddr,
    /// The settings file.
    settings: PathBuf,
    /// The log file.
    log: PathBuf,
    /// The program that it runs when it starts.
    program: RefCell<PathBuf>,
    /// The process, while it runs.
    child: RefCell<Option<Child>>,
    /// The proxy between clients and the box.
    pub front: Proxy,
    /// The proxy between the box and the store.
    pub store: Proxy,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its id.
    pub id: String,
    /// Its stage, for an engine of the model service.
    pub stage: RefCell<Option<String>>,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    data_centre: &'static str,
    /// The start time of its incarnation, in milliseconds of Unix time.
    born: u64,
    /// The process.
    child: RefCell<Child>,
    /// The proxy between boxes and the upstream.
    pub proxy: Proxy,
    /// Whether it is draining.
    pub is_draining: Cell<bool>,
    /// How many faults pause its process now, and since when it has been paused.
    paused: Cell<(u32, Micros)>,
}

/// The store.
#[derive(Debug)]
struct Store {
    /// The address it listens on.
    address: SocketAddr,
    /// The process.
    child: RefCell<Child>,
    /// The number of commands sent.
    given: Cell<u64>,
    /// The number of commands done.
    done: watch::Receiver<u64>,
}

/// All processes of a run.
#[derive(Debug)]
pub struct Cluster {
    /// The boxes.
    pub nodes: Vec<Node>,
    /// The network between the boxes.
    pub peering: Rc<Peering>,
    /// The upstreams that are alive.
    pub upstreams: RefCell<Vec<Rc<Upstream>>>,
    /// The store.
    store: Store,
    /// The channel for observations.
    sink: Sink,
    /// What differs between the sites of seeds.
    site: Site,
    /// Whether the clients of a crowd send requests.
    pub is_crowded: Rc<Cell<bool>>,
    /// The mutant, if any.
    mutant: Option<Mutant>,
    /// The name of the lease holder that sent the last order to an upstream.
    pub holder: watch::Sender<String>,
    /// The number of the next upstream.
    next_upstream: Cell<u64>,
    /// The newest acknowledged version of the configuration.
    pub version: Rc<Cell<u64>>,
    /// The upstreams whose entries were removed.
    left: RefCell<BTreeSet<String>>,
    /// The folder for settings and logs.
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &self.nodes {
            if let Some(mut child) = node.child.borrow_mut().take() {
                end(&mut child);
            }
        }
        for upstream in self.upstreams.borrow().iter() {
            end(&mut upstream.child.borrow_mut());
        }
        end(&mut self.store.child.borrow_mut());
    }
}

/// Kills a process of this run and waits for it.
fn end(child: &mut Child) {
    // The error means that the process has already ended.
    _ = child.kill();
    _ = child.wait();
}

/// Returns the path of a program in this program's folder.
fn program(name: &str) -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let path = own.parent().ok_or_eyre("the program's path has no parent folder")?.join(name);
    if !path.exists() {
        bail!("{name} is not built: run `cargo build --workspace --bins` first");
    }
    Ok(path)
}

/// Starts a stand-in and returns its process, its address and the lines that it writes.
fn standin(
    arguments: &[String],
    log: &Path,
) -> eyre::Result<(Child, SocketAddr, mpsc::UnboundedReceiver<String>)> {
    let mut command = Command::new(std::env::current_exe()?);
    let log = std::fs::File::create(log)?;
    command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
    let mut child = command.spawn().wrap_err("cannot start the stand-in")?;
    let output = child.stdout.take().ok_or_eyre("the stand-in has no standard output")?;
    let mut lines = BufReader::new(output).lines();
    let first = lines.next().ok_or_eyre("the stand-in ended without writing its address")??;
    let greeting: Greeting = serde_json::from_str(&first)?;
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            // The error means that the run is over.
            _ = sender.send(line);
        }
    });
    Ok((child, greeting.listening.parse()?, receiver))
}

/// Sends a command to a stand-in.
fn tell(child: &RefCell<Child>, command: &impl Serialize) {
    let mut child = child.borrow_mut();
    if let Some(input) = child.stdin.as_mut()
        && let Ok(line) = serde_json::to_string(command)
    {
        // The error means that the stand-in has been killed.
        _ = writeln!(input, "{line}");
    }
}

impl Cluster {
    /// Starts the store and the upstreams, writes the configuration, and starts the boxes.
    ///
    /// # Errors
    ///
    /// If a program is not built, or a process does not start.
    pub async fn start(
        size: Size,
        folder: &Path,
        sink: Sink,
        site: Site,
        mutant: Option<Mutant>,
        older: Option<&Path>,
    ) -> eyre::Result<Rc<Cluster>> {
        let store = start_store(folder)?;
        let nodes = make_nodes(size, folder, store.address, site, mutant).await?;
        if let Some(older) = older {
            nodes.iter().for_each(|it| _ = it.program.replace(older.to_owned()));
        }
        let at = |index: usize, port: u16| SocketAddr::from((ip(index), port));
        let place = |it| Place { own: at(it, PORTS.peers), announced: at(it, PORTS.announced) };
        let peering = Peering::open((0..size.boxes).map(place).collect()).await?;
        let cluster = Rc::new(Cluster {
            nodes,
            peering,
            upstreams: RefCell::default(),
            store,
            sink,
            site,
            is_crowded: Rc::default(),
            mutant,
            holder: watch::Sender::default(),
            next_upstream: Cell::new(0),
            version: Rc::default(),
            left: RefCell::default(),
            folder: folder.to_owned(),
        });
        if cluster.has(Mutant::HidesEra) {
            cluster.command(&store::Command::HideEra).await;
        }
        cluster.configure().await;
        for number in 0..size.engines {
            let stage = if number * 3 < size.engines { "prefill" } else { "decode" };
            cluster.start_upstream(Some(stage)).await?;
        }
        for _ in 0..size.plain {
            cluster.start_upstream(None).await?;
        }
        for index in 0..cluster.nodes.len() {
            cluster.start_node(index)?;
        }
        Ok(cluster)
    }

    /// Returns the box whose lease holder name this is.
    pub fn holder_node(&self, name: &str) -> Option<usize> {
        let is_of = |it: usize| name.starts_with(&format!("{}:{}-", ip(it), PORTS.announced));
        (0..self.nodes.len()).find(|&it| is_of(it))
    }

    /// Returns whether the run has this mutant.
    pub fn has(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Records an observation at the current time.
    pub fn see(&self, what: What) {
        // The error means that the run is over.
        _ = self.sink.send(Observation::new(what));
    }

    /// Records a change of a box.
    pub fn changed(&self, node: usize, change: BoxChange) {
        self.see(What::Node { node, change });
    }

    /// Starts the process of a box.
    ///
    /// # Errors
    ///
    /// If it does not start.
    pub fn start_node(&self, index: usize) -> eyre::Result<()> {
        let node = &self.nodes[index];
        let mut child = node.child.borrow_mut();
        if child.is_some() {
            return Ok(());
        }
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&node.log)?;
        let mut command = Command::new(&*node.program.borrow());
        command.env_clear().env("HOLLYSPOKE_CONFIG", &node.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        *child = Some(command.spawn().wrap_err("cannot start the box")?);
        self.changed(index, BoxChange::Started);
        Ok(())
    }

    /// Sets a box to run the program of this version from its next start.
    pub fn replace(&self, index: usize) {
        if let Ok(newer) = program("hollyspoke-node") {
            self.nodes[index].program.replace(newer);
        }
    }

    /// Searches the logs of all boxes for datagrams that they could not decode.
    pub fn look_for_unread(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let log = std::fs::read(&node.log).unwrap_or_default();
            let lines = String::from_utf8_lossy(&log).matches(NOT_READ).count();
            if lines > 0 {
                self.see(What::NotRead { node: index, lines });
            }
        }
    }

    /// Sends a box bytes that are not a valid datagram.
    pub async fn send_noise(&self, index: usize) -> std::io::Result<usize> {
        let socket = tokio::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        socket.send_to(b"no datagram", (ip(index), PORTS.peers)).await
    }

    /// Sends a box's process a signal; returns whether there was a process.
    pub fn signal(&self, index: usize, signal: Signal) -> bool {
        let child = self.nodes[index].child.borrow();
        let Some(child) = child.as_ref() else { return false };
        kill(Pid::from_raw(child.id() as i32), signal).is_ok()
    }

    /// Waits until a box's process has ended.
    pub async fn ended(&self, index: usize) {
        while self.nodes[index].child.borrow().is_some() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Records when processes of boxes end, until the run is over.
    pub async fn watch(self: Rc<Cluster>) {
        loop {
            for (index, node) in self.nodes.iter().enumerate() {
                let mut child = node.child.borrow_mut();
                let has_ended = child.as_mut().is_some_and(|it| !matches!(it.try_wait(), Ok(None)));
                if has_ended {
                    *child = None;
                    self.changed(index, BoxChange::Ended);
                }
            }
            self.restart_crashed();
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Restarts crashed upstreams under their ids after [`BACK_AFTER`].
    fn restart_crashed(self: &Rc<Cluster>) {
        let has_ended = |it: &Rc<Upstream>| !matches!(it.child.borrow_mut().try_wait(), Ok(None));
        let ended: Vec<_> =
            self.upstreams.borrow().iter().filter(|it| has_ended(it)).cloned().collect();
        for upstream in ended {
            self.kill_upstream(&upstream);
            let cluster = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(BACK_AFTER).await;
                let stage = upstream.stage.borrow().clone();
                let (id, data_centre) = (upstream.id.clone(), upstream.data_centre);
                if let Err(error) = cluster.begin_upstream(id, data_centre, stage.as_deref()).await
                {
                    report(&error);
                }
            });
        }
    }

    /// Searches the logs of all boxes for clients' keys.
    pub fn look_for_keys(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let log = std::fs::read(&node.log).unwrap_or_default();
            if String::from_utf8_lossy(&log).contains(KEY_MARK) {
                self.see(What::KeyFound { place: format!("the log of box {index}") });
            }
        }
    }

    /// Returns the resident memory of a box's process in bytes, and its number of descriptors.
    pub fn usage(&self, index: usize) -> Option<(u64, u64)> {
        let child = self.nodes[index].child.borrow();
        let id = child.as_ref()?.id();
        let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
        let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        Some((pages * 4096, descriptors as u64))
    }

    /// Starts an upstream with a new id and writes its entry to the store.
    ///
    /// # Errors
    ///
    /// If it does not start.
    pub async fn start_upstream(&self, stage: Option<&str>) -> eyre::Result<()> {
        let number = self.next_upstream.get();
        self.next_upstream.set(number + 1);
        let data_centre = DATA_CENTRES[number as usize % DATA_CENTRES.len()];
        self.begin_upstream(format!("i-{number:04x}"), data_centre, stage).await
    }

    /// Starts an incarnation of an upstream and writes its entry to the store.
    async fn begin_upstream(
        &self,
        id: String,
        data_centre: &'static str,
        stage: Option<&str>,
    ) -> eyre::Result<()> {
        let born = now() / MILLISECOND;
        let mut arguments = vec!["engine".to_owned(), "--id".to_owned(), id.clone()];
        arguments.extend(["--born".to_owned(), born.to_string()]);
        arguments.extend(["--memory".to_owned(), self.site.memory_tokens.to_string()]);
        arguments.extend(stage.iter().flat_map(|it| ["--stage".to_owned(), (*it).to_owned()]));
        let mutant = self.mutant.iter();
        arguments.extend(mutant.flat_map(|it| ["--mutant".to_owned(), it.name().to_owned()]));
        let log = self.folder.join(format!("upstream-{id}.log"));
        let (child, address, mut lines) = standin(&arguments, &log)?;
        let sink = self.sink.clone();
        tokio::task::spawn_local(async move {
            while let Some(line) = lines.recv().await {
                if let Ok(observation) = serde_json::from_str::<Observation>(&line) {
                    // The error means that the run is over.
                    _ = sink.send(observation);
                }
            }
        });
        self.left.borrow_mut().remove(&id);
        let upstream = Rc::new(Upstream {
            id,
            stage: RefCell::new(stage.map(str::to_owned)),
            address,
            data_centre,
            born,
            child: RefCell::new(child),
            proxy: Proxy::open(address).await?,
            is_draining: Cell::new(false),
            paused: Cell::default(),
        });
        self.enter(&upstream).await;
        self.upstreams.borrow_mut().push(upstream);
        Ok(())
    }

    /// Writes an upstream's entry to the store.
    pub async fn enter(&self, upstream: &Upstream) {
        let stage = upstream.stage.borrow().clone();
        let service = if stage.is_some() { "model" } else { "plain" };
        let state = if upstream.is_draining.get() { "draining" } else { "ready" };
        let own = engine::software_version(&upstream.id);
        let version = if self.has(Mutant::HidesSoftware) { "v1" } else { own };
        let spec = json!({"service": service, "address": upstream.proxy.address.to_string(),
            "zone": upstream.data_centre, "version": version, "slots": engine::SLOTS, "state": state,
            "coldLeftMs": 0, "callSeq": 0, "stage": stage, "born": upstream.born});
        self.put("servers", &upstream.id, spec).await;
    }

    /// Removes an upstream's entry.
    pub async fn leave(&self, upstream: &Upstream) {
        self.left.borrow_mut().insert(upstream.id.clone());
        self.remove_entry(&upstream.id).await;
    }

    /// Removes the entry of an id.
    async fn remove_entry(&self, id: &str) {
        let (kind, name) = ("servers".to_owned(), id.to_owned());
        self.command(&store::Command::Remove { kind, name }).await;
    }

    /// Rewrites what the store may have lost: the configuration and the upstreams' entries.
    pub async fn write_again(&self) {
        self.put("config", "main", configuration(self.version.get(), self.site, self.mutant)).await;
        let upstreams = self.upstreams.borrow().clone();
        for upstream in upstreams {
            self.enter(&upstream).await;
        }
        let left: Vec<_> = self.left.borrow().iter().cloned().collect();
        for id in left {
            self.remove_entry(&id).await;
        }
    }

    /// Kills an upstream's process.
    pub fn kill_upstream(&self, upstream: &Upstream) {
        end(&mut upstream.child.borrow_mut());
        self.see(What::EngineGone { engine: upstream.id.clone() });
        self.upstreams.borrow_mut().retain(|it| it.id != upstream.id);
    }

    /// Pauses an upstream's process; connections to it are still accepted.
    pub fn pause_upstream(&self, upstream: &Upstream) {
        let (count, since) = upstream.paused.get();
        let since = if count == 0 { now() } else { since };
        upstream.paused.set((count + 1, since));
        signal_running(&upstream.child, Signal::SIGSTOP);
    }

    /// Resumes an upstream's process, unless another fault still pauses it.
    pub fn resume_upstream(&self, upstream: &Upstream) {
        let (count, since) = upstream.paused.get();
        upstream.paused.set((count.saturating_sub(1), since));
        if count == 1 && signal_running(&upstream.child, Signal::SIGCONT) {
            self.see(What::StoodStill { engine: upstream.id.clone(), since });
        }
    }

    /// Sends a command to an upstream.
    pub fn tell_upstream(&self, upstream: &Upstream, command: engine::Command) {
        tell(&upstream.child, &command);
    }

    /// Sends a command to the store and waits until it is done.
    pub async fn command(&self, command: &store::Command) {
        let number = self.store.given.get() + 1;
        self.store.given.set(number);
        tell(&self.store.child, command);
        let mut done = self.store.done.clone();
        // The error means that the run is over.
        _ = done.wait_for(|it| *it >= number).await;
    }

    /// Writes an object to the store.
    async fn put(&self, kind: &str, name: &str, spec: Value) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.command(&store::Command::Put { kind, name, spec }).await;
    }

    /// Writes the next version of the configuration. Each has a route that the others lack.
    pub async fn configure(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        if self.mutant != Some(Mutant::HidesVersion) || version == 1 {
            self.put("config", "main", configuration(version, self.site, self.mutant)).await;
        }
        self.see(What::Configured { version });
    }
}

/// Sends a process a signal unless it has ended; returns whether it was sent.
fn signal_running(child: &RefCell<Child>, signal: Signal) -> bool {
    let mut child = child.borrow_mut();
    let is_running = matches!(child.try_wait(), Ok(None));
    is_running && kill(Pid::from_raw(child.id() as i32), signal).is_ok()
}

/// Starts the store's stand-in.
fn start_store(folder: &Path) -> eyre::Result<Store> {
    let log = folder.join("store.log");
    let (child, address, mut lines) = standin(&["store".to_owned()], &log)?;
    let (sender, done) = watch::channel(0);
    tokio::task::spawn_local(async move {
        while let Some(line) = lines.recv().await {
            if let Ok(Done { done }) = serde_json::from_str(&line) {
                sender.send_replace(done);
            }
        }
    });
    Ok(Store { address, child: RefCell::new(child), given: Cell::new(0), done })
}

/// Creates the boxes' addresses, settings and proxies; starts no process.
async fn make_nodes(
    size: Size,
    folder: &Path,
    store: SocketAddr,
    site: Site,
    mutant: Option<Mutant>,
) -> eyre::Result<Vec<Node>> {
    let seeds: Vec<_> =
        (0..size.boxes.min(3)).map(|it| SocketAddr::from((ip(it), PORTS.peers))).collect();
    let mut nodes = Vec::new();
    for index in 0..size.boxes {
        let at = |port: u16| SocketAddr::from((ip(index), port));
        let front = Proxy::open(at(PORTS.front)).await?;
        let way =
            Way { front: at(PORTS.front), proxy: front.address, directory: at(PORTS.directory) };
        let store = Proxy::open(store).await?;
        let settings = folder.join(format!("box-{index}.toml"));
        std::fs::write(&settings, settings_text(index, &seeds, store.address, site, mutant)?)?;
        nodes.push(Node {
            way,
            ready: at(PORTS.ready),
            metrics: at(PORTS.metrics),
            settings,
            log: folder.join(format!("box-{index}.log")),
            program: RefCell::new(program("hollyspoke-node")?),
            child: RefCell::new(None),
            front,
            store,
        });
    }
    Ok(nodes)
}

/// Holds all connections through proxies, or releases them.
pub fn hold(proxies: &[&Proxy], holds: bool) {
    for proxy in proxies {
        proxy.set(if holds { Mode::Hold } else { Mode::Pass });
    }
}
