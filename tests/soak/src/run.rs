//! One run: starts all processes, sends clients' requests, injects the scheduled faults, and judges
//! the observations.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use eyre::bail;
use hollyspoke_server::http1::Connection;
use http::Request;
use http::header::HOST;
use http_body_util::{BodyExt, Full};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::boundary;
use crate::client::{self, Shared};
use crate::cluster::{Cluster, Size, Upstream};
use crate::faults::{report, strike, tell_all};
use crate::harmful;
use crate::judge::{Bounds, Finding, judge};
use crate::keys::{CUSTOMERS, Caller, KEY_MARK, units};
use crate::layout::{Site, version_path};
use crate::malformed;
use crate::mutant::Mutant;
use crate::observation::{BoxChange, Kind, Observation, What, digest, now};
use crate::schedule::{Fault, Planned, Share};
use crate::standin::engine::Command;

/// The time within which boxes must be ready.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// How long an engine takes to switch its stage and update its entry in the store.
const SWITCHES_AFTER: Duration = Duration::from_millis(1700);

/// The interval at which each box is probed for the newest versions.
const PROBE_EVERY: Duration = Duration::from_millis(500);

/// The interval at which the processes' resource usage is sampled.
const USAGE_EVERY: Duration = Duration::from_millis(500);

/// How long in-flight requests may take after the clients have ended.
const DRAINED_AFTER: Duration = Duration::from_millis(6500);

/// The time within which the boxes must stop at the end of a run.
const STOP_WITHIN: Duration = Duration::from_secs(10);

/// The interval at which upstreams are told to fail.
const FAILS_EVERY: Duration = Duration::from_millis(300);

/// The number of clients in a crowd.
const CROWD: usize = 40;

/// The number of a crowd's first client, above those of all others.
const CROWD_BASE: usize = 500;

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The seed of the clients and of the faults' targets.
    pub seed: u64,
    /// How long clients send requests.
    pub length: Duration,
    /// The number of boxes, engines, upstreams and clients.
    pub size: Size,
    /// What differs between the sites of seeds.
    pub site: Site,
    /// The faults and their times.
    pub faults: Vec<Planned>,
    /// The mutant, if the run is to show that a check detects it.
    pub mutant: Option<Mutant>,
    /// The folder for settings and logs.
    pub folder: PathBuf,
    /// The program of an older version that all boxes run at first, if given.
    pub older: Option<PathBuf>,
}

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// All observations, in the order of their arrival.
    pub observations: Vec<Observation>,
    /// The broken promises.
    pub findings: Vec<Finding>,
}

/// Executes a plan. Must run inside of a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// If a process does not start, or the boxes do not become ready in time.
pub async fn run(plan: &Plan) -> eyre::Result<Outcome> {
    let (sink, mut seen) = mpsc::unbounded_channel();
    let older = plan.older.as_deref();
    let (size, folder, site) = (plan.size, &plan.folder, plan.site);
    let cluster = Cluster::start(size, folder, sink.clone(), site, plan.mutant, older).await?;
    let watching = tokio::task::spawn_local(cluster.clone().watch());
    wait_until_ready(&cluster).await?;
    let shared = Rc::new(Shared {
        ways: cluster.nodes.iter().map(|it| it.way).collect(),
        version: cluster.version.clone(),
        sink,
        is_running: Cell::new(true),
        is_crowded: cluster.is_crowded.clone(),
        only_safe: plan.mutant == Some(Mutant::RepeatsFreely),
        seed: plan.seed,
    });
    for number in 0..plan.size.clients {
        tokio::task::spawn_local(client::run(shared.clone(), number));
    }
    for number in 0..CROWD {
        tokio::task::spawn_local(client::run_in_crowd(shared.clone(), CROWD_BASE + number));
    }
    let probing = tokio::task::spawn_local(probe(cluster.clone(), shared.clone()));
    let sampling = tokio::task::spawn_local(sample(cluster.clone()));
    let harming = tokio::task::spawn_local(harmful::run(shared.clone(), plan.mutant));
    let harming_parts = tokio::task::spawn_local(harmful::run_parts(shared.clone(), plan.mutant));
    let malformed = tokio::task::spawn_local(malformed::run(cluster.clone(), plan.seed));
    tokio::task::spawn_local(strike(cluster.clone(), plan.seed, plan.faults.clone()));
    if let Some(mutant) = plan.mutant {
        tokio::task::spawn_local(commit(cluster.clone(), mutant));
    }
    let mut observations = Vec::new();
    collect(&mut seen, &mut observations, plan.length, &cluster).await;
    shared.is_running.set(false);
    probing.abort();
    malformed.abort();
    harming.abort();
    harming_parts.abort();
    collect(&mut seen, &mut observations, DRAINED_AFTER, &cluster).await;
    check_active_runs(&cluster).await;
    check_metrics(&cluster).await;
    sampling.abort();
    stop_all(&cluster).await;
    watching.abort();
    cluster.look_for_keys();
    cluster.look_for_unread();
    while let Ok(observation) = seen.try_recv() {
        observations.push(observation);
    }
    let mut bounds = Bounds::default();
    if plan.mutant == Some(Mutant::LeastMemory) {
        bounds.resident = 1 << 20;
    }
    bounds.reads_terms = plan.older.is_none();
    bounds.reads_software = plan.older.is_none();
    bounds.keeps_silent = plan.older.is_none();
    let findings = judge(&observations, &bounds);
    Ok(Outcome { observations, findings })
}

/// Waits until all boxes report that they are ready.
async fn wait_until_ready(cluster: &Cluster) -> eyre::Result<()> {
    let begun = Instant::now();
    while begun.elapsed() < READY_WITHIN {
        let mut ready = 0;
        for node in &cluster.nodes {
            let status =
                client::probe(node.ready, "/readiness", "readiness", &Caller::default()).await;
            ready += usize::from(status == Some(200));
        }
        if ready == cluster.nodes.len() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bail!("the boxes did not become ready in time; see their logs")
}

/// Collects observations for a duration. Engines that were ordered to switch get entries with their
/// new stage.
async fn collect(
    seen: &mut mpsc::UnboundedReceiver<Observation>,
    observations: &mut Vec<Observation>,
    duration: Duration,
    cluster: &Rc<Cluster>,
) {
    let end = Instant::now() + duration;
    while let Ok(Some(observation)) = tokio::time::timeout_at(end, seen.recv()).await {
        if let What::Ordered { engine, stage, holder, .. } = &observation.what {
            cluster.holder.send_replace(holder.clone());
            tokio::task::spawn_local(switch(cluster.clone(), engine.clone(), stage.clone()));
        }
        observations.push(observation);
    }
}

/// Writes an engine's new stage to its entry after the time that a switch takes.
async fn switch(cluster: Rc<Cluster>, engine: String, stage: String) {
    tokio::time::sleep(SWITCHES_AFTER).await;
    let found = cluster.upstreams.borrow().iter().find(|it| it.id == engine).cloned();
    if let Some(upstream) = found {
        *upstream.stage.borrow_mut() = Some(stage);
        cluster.enter(&upstream).await;
    }
}

/// Periodically requests from each box the routes that exist in only one version.
async fn probe(cluster: Rc<Cluster>, shared: Rc<Shared>) {
    let mut number = 0_u64;
    loop {
        for node in 0..cluster.nodes.len() {
            let newest = cluster.version.get();
            for version in [newest, newest.saturating_sub(1)] {
                number += 1;
                let id = format!("{:x}-probe-{number:06}", shared.seed);
                tokio::task::spawn_local(probe_one(cluster.clone(), node, version, id));
            }
        }
        tokio::time::sleep(PROBE_EVERY).await;
    }
}

/// Requests the route of one version from a box.
async fn probe_one(cluster: Rc<Cluster>, node: usize, version: u64, id: String) {
    let path = version_path(version);
    let (kind, body, after) = (Kind::Probe, digest(b""), 0);
    let attempt = id.clone();
    let key = Some(cluster.version.get().saturating_sub(1));
    let customer = CUSTOMERS[0].to_owned();
    let caller = Caller { customer, key, units: units(kind, 0) };
    let (path_asked, caller_asked) = (path.clone(), caller.clone());
    cluster.see(What::Sent {
        attempt,
        kind,
        node,
        path: path_asked,
        body,
        after,
        caller: caller_asked,
        deadline: client::at(Instant::now() + client::PLAIN_DEADLINE),
    });
    let sent = now();
    let front = cluster.nodes[node].way.front;
    if let Some(status) = client::probe(front, &path, &id, &caller).await {
        cluster.see(What::Probed { node, version, sent, status });
    }
}

/// Periodically samples the resource usage of the boxes' processes.
async fn sample(cluster: Rc<Cluster>) {
    loop {
        for node in 0..cluster.nodes.len() {
            if let Some((resident, descriptors)) = cluster.usage(node) {
                cluster.see(What::Usage { node, resident, descriptors });
            }
        }
        tokio::time::sleep(USAGE_EVERY).await;
    }
}

/// Records the runs that are still active at upstreams after the last client has disconnected.
async fn check_active_runs(cluster: &Rc<Cluster>) {
    let upstreams = cluster.upstreams.borrow().clone();
    for upstream in upstreams {
        let asked = tokio::time::timeout(Duration::from_secs(2), active(&upstream)).await;
        if let Ok(Some(runs @ 1..)) = asked {
            cluster.see(What::StillActive { engine: upstream.id.clone(), runs });
        }
    }
}

/// Requests the number of active runs from an upstream.
async fn active(upstream: &Upstream) -> Option<u64> {
    let within = Duration::from_secs(1);
    let mut connection = Connection::open(upstream.address, within).await.ok()?;
    let request = Request::get("/report").header(HOST, "engine").body(Full::default()).ok()?;
    let body = connection.send(request).await.ok()?.into_body().collect().await.ok()?;
    let report: Value = serde_json::from_slice(&body.to_bytes()).ok()?;
    report["active"].as_u64()
}

/// Searches the metrics of all boxes for clients' keys.
async fn check_metrics(cluster: &Rc<Cluster>) {
    for (index, node) in cluster.nodes.iter().enumerate() {
        let asked = tokio::time::timeout(Duration::from_secs(2), client::read(node.metrics)).await;
        if let Ok(Some(text)) = asked
            && text.contains(KEY_MARK)
        {
            cluster.see(What::KeyFound { place: format!("the metrics of box {index}") });
        }
    }
}

/// Stops all boxes with SIGTERM and waits for them to end.
async fn stop_all(cluster: &Rc<Cluster>) {
    for node in 0..cluster.nodes.len() {
        if cluster.signal(node, Signal::SIGTERM) {
            cluster.changed(node, BoxChange::Terminated);
        }
    }
    let all = async {
        for node in 0..cluster.nodes.len() {
            cluster.ended(node).await;
        }
    };
    // The judge reports a box that has not ended by then; it is killed with the cluster.
    _ = tokio::time::timeout(STOP_WITHIN, all).await;
}

/// Returns the faults that a mutant needs to become visible.
pub fn faults_for(mutant: Mutant) -> Vec<Planned> {
    let at = |millis: u64, fault: Fault| Planned { at: Duration::from_millis(millis), fault };
    match mutant {
        Mutant::CutsOnStop => vec![at(3000, Fault::Stop { count: 2, gap: Duration::ZERO })],
        Mutant::HidesVersion => vec![at(500, Fault::Configure)],
        // Every second version removes keys, which must be rejected some seconds later.
        Mutant::KeepsKeys => (0..6).map(|it| at(300 + 200 * it, Fault::Configure)).collect(),
        Mutant::StaysDown => vec![at(2000, Fault::KillAll)],
        Mutant::HidesLimit => {
            // By then the harmful requests are quarantined. Before, upstreams that crash would
            // restart without limits.
            let span = Duration::from_secs(8);
            vec![at(4500, Fault::Limit { is_plain: true, count: 3, milli: (500, 500), span })]
        }
        Mutant::HidesLeaving => {
            let span = Duration::from_secs(7);
            vec![at(4500, Fault::Leave { is_plain: true, span })]
        }
        Mutant::HidesEra => {
            let (age, span) = (Duration::from_millis(3000), Duration::from_millis(400));
            vec![at(4500, Fault::ComeBack { age, span })]
        }
        Mutant::HidesRest => {
            let (rest, span) = (Duration::from_secs(3), Duration::from_secs(7));
            vec![at(4500, Fault::Rest { is_plain: true, count: 2, rest, span })]
        }
        Mutant::EndsSilent => {
            let share = Share::All;
            let span = Duration::from_millis(2500);
            let still = |is_plain| Fault::StandStill { is_plain, share, span };
            vec![at(2500, still(false)), at(5500, still(true))]
        }
        Mutant::RepeatsEvent | Mutant::HidesSoftware => {
            vec![at(2500, Fault::LoseAnswers { share: 40, span: Duration::from_secs(6) })]
        }
        _ => Vec::new(),
    }
}

/// Commits a mutant's fault if the harness itself does that.
async fn commit(cluster: Rc<Cluster>, mutant: Mutant) {
    tokio::time::sleep(Duration::from_secs(2)).await;
    match mutant {
        Mutant::RepeatsFreely => loop {
            // Upstreams that have crashed and restarted don't fail.
            tell_all(&cluster, Command::Fail(100));
            tokio::time::sleep(FAILS_EVERY).await;
        },
        Mutant::SendsNoise => {
            if let Err(error) = cluster.send_noise(0).await {
                report(&error.into());
            }
        }
        Mutant::ReusesReservation => boundary::reuse_reservation(&cluster).await,
        Mutant::KeepsReservations => boundary::keep_reservations(&cluster).await,
        Mutant::KeepsCopies => boundary::keep_copies(&cluster).await,
        Mutant::EndsByItself => {
            cluster.signal(0, Signal::SIGKILL);
        }
        Mutant::OrdersLate => {
            let engines = cluster.upstreams.borrow().clone();
            let Some(engine) = engines.into_iter().find(|it| it.stage.borrow().is_some()) else {
                return;
            };
            for (holder, token) in [("first", 900), ("second", 800)] {
                order(&engine, holder, token).await;
                tokio::time::sleep(Duration::from_secs(2)).await;
            }
        }
        _ => {}
    }
}

/// Sends an engine an order that no box has issued.
async fn order(engine: &Upstream, holder: &str, token: u64) -> Option<u16> {
    let body = json!({"op": "stage", "stage": "decode", "holder": holder, "fencingToken": token});
    let request = Request::post("/order")
        .header(HOST, "engine")
        .body(Full::new(body.to_string().into()))
        .ok()?;
    let within = Duration::from_secs(1);
    let mut connection = Connection::open(engine.address, within).await.ok()?;
    Some(connection.send(request).await.ok()?.status().as_u16())
}
