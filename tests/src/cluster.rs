//! A small site of separate processes: a platform, engines, services and boxes.

use std::fmt::Write as _;
use std::time::Duration;

use eyre::{bail, ensure};
use hollyspoke::status::Status;
use hollyspoke_cli::apply::{self, Applied};
use hollyspoke_cli::caller::Caller;
use hollyspoke_standin::{engine, service};
use hollyspoke_wire::http::Client;
use hollyspoke_wire::platform::Platform;
use nix::sys::signal::Signal;
use tokio::time::Instant;

use crate::process::Process;

/// The data centres, assigned to boxes in turn.
const DATA_CENTRES: [&str; 3] = ["north", "south", "east"];

/// The time limit for anything that the site should do soon.
pub const SOON: Duration = Duration::from_secs(15);

/// The parts of a site, by number and capacity.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The number of boxes.
    pub boxes: usize,
    /// The number of prefill engines.
    pub prefills: usize,
    /// The number of decode engines.
    pub decodes: usize,
    /// The number of upstreams of the plain service.
    pub services: usize,
    /// The memory of a decode engine, in tokens.
    pub memory_tokens: u64,
    /// The prefill rate, in tokens per second.
    pub prefill_rate: u64,
    /// The time that a decode engine takes for a token, in milliseconds.
    pub token_ms: u64,
    /// More lines for the service of engines in the site file.
    pub more: String,
    /// Whether engines accept orders. Prefill engines then compare fencing tokens; the others do
    /// not.
    pub orders: bool,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            boxes: 2,
            prefills: 1,
            decodes: 2,
            services: 0,
            memory_tokens: 8000,
            prefill_rate: 20_000,
            token_ms: 5,
            more: String::new(),
            orders: false,
        }
    }
}

/// A box of the site.
#[derive(Debug)]
pub struct Member {
    /// Its process.
    pub process: Process,
    /// Its name.
    pub name: String,
    /// Its address for other boxes.
    pub peers: String,
    /// Its incarnation.
    pub incarnation: String,
}

impl Member {
    /// Returns its address for callers.
    pub fn address(&self) -> &str {
        &self.process.address
    }

    /// Freezes its process.
    pub fn freeze(&self) {
        self.process.signal(Signal::SIGSTOP);
    }

    /// Resumes its frozen process.
    pub fn resume(&self) {
        self.process.signal(Signal::SIGCONT);
    }

    /// Begins its planned stop.
    pub fn begin_stop(&self) {
        self.process.signal(Signal::SIGTERM);
    }

    /// Requests its status.
    pub async fn status(&self) -> eyre::Result<Status> {
        let client = Client::new();
        let url = format!("http://{}/v1/status", self.address());
        Ok(tokio::time::timeout(Duration::from_secs(2), client.get(&url)).await??)
    }
}

/// A running site.
#[derive(Debug)]
pub struct Cluster {
    /// The parts that it consists of.
    pub plan: Plan,
    /// The platform.
    pub platform: Process,
    /// The prefill engines.
    pub prefills: Vec<Process>,
    /// The decode engines.
    pub decodes: Vec<Process>,
    /// The upstreams of the plain service.
    pub services: Vec<Process>,
    /// The boxes.
    pub boxes: Vec<Member>,
    /// The names of engines and upstreams that the site file marks as leaving.
    pub leaving: Vec<String>,
}

impl Cluster {
    /// Starts a site and waits until its file is in force at every box.
    pub async fn start(plan: Plan) -> eyre::Result<Cluster> {
        let platform = Process::standin("platform", &[])?;
        let (memory, rate) = (plan.memory_tokens.to_string(), plan.prefill_rate.to_string());
        let token = plan.token_ms.to_string();
        let orders = plan.orders;
        let engine = |checks: bool| {
            let memory = ["--memory-tokens", &memory, "--prefill-tokens-per-second", &rate];
            let mut arguments = [memory.as_slice(), &["--token-ms", &token]].concat();
            if orders {
                arguments.extend(["--orders", if checks { "checked" } else { "unchecked" }]);
            }
            Process::standin("engine", &arguments)
        };
        let prefills = (0..plan.prefills).map(|_| engine(true)).collect::<eyre::Result<_>>()?;
        let decodes = (0..plan.decodes).map(|_| engine(false)).collect::<eyre::Result<_>>()?;
        let services = (0..plan.services)
            .map(|_| Process::standin("service", &[]))
            .collect::<eyre::Result<_>>()?;
        let boxes = Vec::new();
        let leaving = Vec::new();
        let mut cluster = Cluster { plan, platform, prefills, decodes, services, boxes, leaving };
        for _ in 0..cluster.plan.boxes {
            cluster.add_box()?;
        }
        cluster.wait_for_members(cluster.plan.boxes).await?;
        let version = cluster.apply().await?;
        cluster.wait_in_force(version).await?;
        Ok(cluster)
    }

    /// Starts one more box.
    pub fn add_box(&mut self) -> eyre::Result<()> {
        let number = self.boxes.len();
        let name = format!("box-{number}");
        // Orders are sent only within one data centre.
        let data_centre = if self.plan.orders { "north" } else { DATA_CENTRES[number % 3] };
        let mut arguments: Vec<String> = ["--name", &name, "--site", "test"].map(Into::into).into();
        arguments.extend(["--data-centre".into(), data_centre.into()]);
        arguments.extend(["--platform".into(), self.platform.address.clone()]);
        let seeds: Vec<&str> = self.boxes.iter().take(2).map(|it| it.peers.as_str()).collect();
        if !seeds.is_empty() {
            arguments.extend(["--seeds".into(), seeds.join(",")]);
        }
        let (process, peers, incarnation) = Process::daemon(&arguments)?;
        self.boxes.push(Member { process, name, peers, incarnation });
        Ok(())
    }

    /// Returns the text of the site file.
    pub fn file(&self) -> String {
        let mut text = format!(
            "site = \"test\"\ndata_centres = {DATA_CENTRES:?}\n\n\
             [[model]]\nname = \"m\"\nkv_bytes_per_token = 1000\n\n\
             [[service]]\nname = \"llm\"\nkind = \"engines\"\nmodel = \"m\"\n\
             first_token_ms = 3000\nbetween_tokens_ms = 200\n{}\n",
            self.plan.more
        );
        let named = |processes: &[Process], kind: &str| -> Vec<(String, String, String)> {
            let row = |(number, it): (usize, &Process)| {
                (format!("{kind}-{number}"), it.address.clone(), kind.to_owned())
            };
            processes.iter().enumerate().map(row).collect()
        };
        let engines = [named(&self.prefills, "prefill"), named(&self.decodes, "decode")].concat();
        for (index, (name, address, role)) in engines.iter().enumerate() {
            let leaving = self.leaving.contains(name);
            let data_centre = if self.plan.orders { "north" } else { DATA_CENTRES[index % 3] };
            let checks = role == "prefill";
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "[[engine]]\nname = \"{name}\"\nservice = \"llm\"\ndata_centre = \"{data_centre}\"\n\
                 address = \"{address}\"\nrole = \"{role}\"\nmemory_tokens = {}\n\
                 prefill_tokens_per_second = {}\ntoken_ms = {}\nleaving = {leaving}\n\
                 checks_orders = {checks}\n\n",
                self.plan.memory_tokens, self.plan.prefill_rate, self.plan.token_ms
            );
        }
        if !self.services.is_empty() {
            text.push_str(
                "[[service]]\nname = \"holds\"\nkind = \"plain\"\nprefix = \"/holds\"\n\
                 timeout_ms = 3000\n\n",
            );
        }
        for (name, address, _) in named(&self.services, "holds") {
            let leaving = self.leaving.contains(&name);
            let _ = write!(
                text,
                "[[upstream]]\nname = \"{name}\"\nservice = \"holds\"\ndata_centre = \"north\"\n\
                 address = \"{address}\"\nleaving = {leaving}\n\n"
            );
        }
        text
    }

    /// Returns a client of the platform.
    pub fn store(&self) -> Platform {
        Platform::new(Client::new(), self.platform.address.clone())
    }

    /// Applies the site file and returns its version.
    pub async fn apply(&self) -> eyre::Result<u64> {
        match apply::apply(&self.store(), "test", &self.file(), None).await {
            Applied::Accepted { version } => Ok(version),
            other => bail!("the site file was not accepted: {other:?}"),
        }
    }

    /// Waits until the first box knows this number of boxes, itself included.
    pub async fn wait_for_members(&self, count: usize) -> eyre::Result<()> {
        until(SOON, "the boxes do not find each other", async || {
            for member in &self.boxes {
                if member.status().await.map_or(0, |it| it.boxes.len()) < count {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Waits until a version is in force at every box, and returns the time that it took.
    pub async fn wait_in_force(&self, version: u64) -> eyre::Result<Duration> {
        let started = Instant::now();
        until(SOON, "the file does not come into force", async || {
            for member in &self.boxes {
                let in_force = member.status().await.map_or(0, |it| it.site_version);
                if in_force < version {
                    return false;
                }
            }
            true
        })
        .await?;
        Ok(started.elapsed())
    }

    /// Creates a caller that knows some of the boxes.
    pub fn caller(&self, name: &str) -> Caller {
        Caller::new(name, self.boxes.iter().map(|it| it.address().to_owned()).collect())
    }

    /// Returns the number of the box that owns the engines' shard.
    pub async fn owner(&self) -> eyre::Result<usize> {
        for (number, member) in self.boxes.iter().enumerate() {
            if member.status().await.is_ok_and(|it| !it.pools.is_empty()) {
                return Ok(number);
            }
        }
        bail!("no box owns the shard of the engines")
    }

    /// Freezes boxes for a duration.
    pub async fn pause(&self, boxes: &[usize], duration: Duration) {
        boxes.iter().for_each(|&it| self.boxes[it].freeze());
        tokio::time::sleep(duration).await;
        boxes.iter().for_each(|&it| self.boxes[it].resume());
    }

    /// Reads the ledgers of all engines that answer.
    pub async fn engines(&self) -> Vec<engine::Ledger> {
        let mut ledgers = Vec::new();
        for process in self.prefills.iter().chain(&self.decodes) {
            if let Ok(ledger) = process.ledger().await {
                ledgers.push(ledger);
            }
        }
        ledgers
    }

    /// Waits until no engine holds memory, and returns the time that it took.
    pub async fn wait_memory_free(&self, limit: Duration) -> eyre::Result<Duration> {
        let started = Instant::now();
        until(limit, "engines still hold memory", async || {
            self.engines().await.iter().all(|it| it.used_tokens == 0)
        })
        .await?;
        Ok(started.elapsed())
    }

    /// Waits until the ledgers of the engines meet a condition.
    pub async fn wait_engines(
        &self,
        what: &str,
        reached: impl Fn(&[engine::Ledger]) -> bool,
    ) -> eyre::Result<()> {
        until(SOON, what, async || reached(&self.engines().await)).await
    }

    /// Returns how often a request with this body ran at the plain service, over all upstreams.
    pub async fn runs(&self, body: &str) -> eyre::Result<u64> {
        let mut runs = 0;
        for process in &self.services {
            let ledger: service::Ledger = process.ledger().await?;
            runs += ledger.runs.get(body).copied().unwrap_or(0);
        }
        Ok(runs)
    }
}

impl Drop for Cluster {
    /// Prints the logs of the boxes, which the test harness shows if the test has failed.
    fn drop(&mut self) {
        for member in &self.boxes {
            for line in member.process.lines() {
                println!("{}: {line}", member.name);
            }
        }
    }
}

/// Waits until a condition is met.
pub async fn until(
    limit: Duration,
    what: &str,
    mut is_met: impl AsyncFnMut() -> bool,
) -> eyre::Result<()> {
    let started = Instant::now();
    while !is_met().await {
        ensure!(started.elapsed() < limit, "{what} within {limit:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
