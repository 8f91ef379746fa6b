//! One run: everything comes up, clients work, faults come as scheduled, and what was seen is
//! judged.

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
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::client::{self, Shared};
use crate::cluster::{Cluster, Size, Upstream, hold, version_path};
use crate::judge::{Bounds, Finding, judge};
use crate::keys::{CUSTOMERS, Caller, KEY_MARK, units};
use crate::malformed;
use crate::mutant::Mutant;
use crate::observation::{BoxChange, Kind, Micros, Observation, What, digest, now};
use crate::peering::{Direction, Disorder};
use crate::schedule::{Blow, Fault, Planned};
use crate::standin::engine::{Command, Telling};
use crate::standin::store::{self, Mood};

/// How long boxes may take to be ready.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// How long a killed box stays down.
const DOWN_FOR: Duration = Duration::from_millis(400);

/// How long an entry stays whose upstream is gone: three heartbeats of 1.2 s.
const LAPSES_AFTER: Duration = Duration::from_millis(3600);

/// How long an upstream that drains still serves.
const DRAINS_FOR: Duration = Duration::from_secs(3);

/// How long an engine takes to change its stage, and its entry to show it.
const SWITCHES_AFTER: Duration = Duration::from_millis(1700);

/// How often each box is asked for the newest versions.
const PROBE_EVERY: Duration = Duration::from_millis(500);

/// How often processes are looked at.
const USAGE_EVERY: Duration = Duration::from_millis(500);

/// How long requests under way may take after clients have ended.
const DRAINED_AFTER: Duration = Duration::from_millis(6500);

/// How long the boxes may take to stop at the end.
const STOP_WITHIN: Duration = Duration::from_secs(10);

/// How long the holder of the lease is waited for that is to be struck.
const HOLDS_WITHIN: Duration = Duration::from_secs(6);

/// How long a holder stands still or is cut off: longer than its lease, so that another one follows.
const BLOW_FOR: Duration = Duration::from_millis(3500);

/// What a run is to do.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The seed of the clients and of what faults strike.
    pub seed: u64,
    /// How long clients work.
    pub length: Duration,
    /// How large it is.
    pub size: Size,
    /// The faults.
    pub faults: Vec<Planned>,
    /// A deliberate fault.
    pub mutant: Option<Mutant>,
    /// The folder of settings and logs.
    pub folder: PathBuf,
}

/// What a run has given.
#[derive(Debug)]
pub struct Outcome {
    /// All that was seen.
    pub observations: Vec<Observation>,
    /// What is broken.
    pub findings: Vec<Finding>,
}

/// Runs a plan. Needs a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// If a process does not start, or the boxes do not get ready.
pub async fn run(plan: &Plan) -> eyre::Result<Outcome> {
    let (sink, mut seen) = mpsc::unbounded_channel();
    let cluster = Cluster::start(plan.size, &plan.folder, sink.clone(), plan.mutant).await?;
    let watching = tokio::task::spawn_local(cluster.clone().watch());
    wait_until_ready(&cluster).await?;
    let shared = Rc::new(Shared {
        ways: cluster.nodes.iter().map(|it| it.way).collect(),
        version: cluster.version.clone(),
        sink,
        goes_on: Cell::new(true),
        only_safe: plan.mutant == Some(Mutant::RepeatsFreely),
        seed: plan.seed,
    });
    for number in 0..plan.size.clients {
        tokio::task::spawn_local(client::run(shared.clone(), number));
    }
    let probing = tokio::task::spawn_local(probe(cluster.clone(), shared.clone()));
    let sampling = tokio::task::spawn_local(sample(cluster.clone()));
    let malformed = tokio::task::spawn_local(malformed::run(cluster.clone(), plan.seed));
    tokio::task::spawn_local(strike(cluster.clone(), plan.clone()));
    if let Some(mutant) = plan.mutant {
        tokio::task::spawn_local(commit(cluster.clone(), mutant));
    }
    let mut observations = Vec::new();
    collect(&mut seen, &mut observations, plan.length, &cluster).await;
    shared.goes_on.set(false);
    probing.abort();
    malformed.abort();
    collect(&mut seen, &mut observations, DRAINED_AFTER, &cluster).await;
    look_for_runs(&cluster).await;
    look_at_metrics(&cluster).await;
    sampling.abort();
    stop_all(&cluster).await;
    watching.abort();
    cluster.look_for_keys();
    while let Ok(observation) = seen.try_recv() {
        observations.push(observation);
    }
    let mut bounds = Bounds::default();
    if plan.mutant == Some(Mutant::LeastMemory) {
        bounds.resident = 1 << 20;
    }
    let findings = judge(&observations, &bounds);
    Ok(Outcome { observations, findings })
}

/// Waits until all boxes are ready.
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
    bail!("the boxes do not get ready; their logs tell why")
}

/// Collects observations for a span. Engines that were ordered get entries with their new stage.
async fn collect(
    seen: &mut mpsc::UnboundedReceiver<Observation>,
    observations: &mut Vec<Observation>,
    span: Duration,
    cluster: &Rc<Cluster>,
) {
    let end = Instant::now() + span;
    while let Ok(Some(observation)) = tokio::time::timeout_at(end, seen.recv()).await {
        if let What::Ordered { engine, stage, holder, .. } = &observation.what {
            cluster.holder.send_replace(holder.clone());
            tokio::task::spawn_local(switch(cluster.clone(), engine.clone(), stage.clone()));
        }
        observations.push(observation);
    }
}

/// Shows an engine's new stage in its entry.
async fn switch(cluster: Rc<Cluster>, engine: String, stage: String) {
    tokio::time::sleep(SWITCHES_AFTER).await;
    let found = cluster.upstreams.borrow().iter().find(|it| it.id == engine).cloned();
    if let Some(upstream) = found {
        *upstream.stage.borrow_mut() = Some(stage);
        cluster.enter(&upstream).await;
    }
}

/// Asks each box again and again for the routes that single versions have.
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

/// Asks a box for the route of one version.
async fn probe_one(cluster: Rc<Cluster>, node: usize, version: u64, id: String) {
    let path = version_path(version);
    let (kind, body, after) = (Kind::Probe, digest(b""), 0);
    let attempt = id.clone();
    let key = Some(cluster.version.get().saturating_sub(1));
    let customer = CUSTOMERS[0].to_owned();
    let caller = Caller { customer, key, units: units(kind, 0) };
    let asked = (path.clone(), caller.clone());
    cluster.see(What::Sent { attempt, kind, node, path: asked.0, body, after, caller: asked.1 });
    let sent = now();
    let front = cluster.nodes[node].way.front;
    if let Some(status) = client::probe(front, &path, &id, &caller).await {
        cluster.see(What::Probed { node, version, sent, status });
    }
}

/// Looks at the boxes' processes again and again.
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

/// Brings the faults of a plan at their times.
async fn strike(cluster: Rc<Cluster>, plan: Plan) {
    let begun = Instant::now();
    let mut random = Pcg64Mcg::seed_from_u64(plan.seed ^ 0x5EED);
    for planned in plan.faults {
        tokio::time::sleep_until(begun + planned.at).await;
        cluster.see(What::Fault { name: planned.fault.to_string(), span: span(planned.fault) });
        let (cluster, seed) = (cluster.clone(), random.random());
        tokio::task::spawn_local(async move {
            let mut random = Pcg64Mcg::seed_from_u64(seed);
            if let Err(error) = bring(&cluster, planned.fault, &mut random).await {
                report(&error);
            }
        });
    }
}

/// Tells of a fault that could not be brought.
#[expect(clippy::print_stderr, reason = "whoever reads the run's output must know")]
fn report(error: &eyre::Report) {
    eprintln!("a fault could not be brought: {error:#}");
}

/// Gives how long a fault lasts, for the report.
fn span(fault: Fault) -> Micros {
    let span = match fault {
        Fault::Pause { span, .. }
        | Fault::Store { span, .. }
        | Fault::CutFromStore { span, .. }
        | Fault::EnginePause { span }
        | Fault::LoseAnswers { span, .. }
        | Fault::SlowEngine { span, .. }
        | Fault::LyingEngine { span, .. }
        | Fault::HoldLinks { span }
        | Fault::Datagrams { span, .. }
        | Fault::Split { span, .. } => span,
        Fault::Kill { .. } | Fault::KillAll | Fault::StrikeHolder { blow: Blow::Kill, .. } => {
            DOWN_FOR
        }
        Fault::StrikeHolder { .. } => BLOW_FOR,
        Fault::Stop { count, gap } => gap * count as u32,
        Fault::EngineCrash => LAPSES_AFTER,
        Fault::Drain => DRAINS_FOR,
        Fault::ResetLinks { .. } | Fault::MuteLinks { .. } | Fault::Configure => Duration::ZERO,
    };
    micros(span)
}

/// Gives a span in microseconds.
fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

/// Brings one fault, and takes it away again.
async fn bring(cluster: &Rc<Cluster>, fault: Fault, random: &mut Pcg64Mcg) -> eyre::Result<()> {
    match fault {
        Fault::Kill { count } => kill(cluster, &some_nodes(cluster, count, random)).await,
        Fault::KillAll => kill_all(cluster).await,
        Fault::StrikeHolder { blow, after } => strike_holder(cluster, blow, after).await,
        Fault::Pause { count, span } => {
            pause(cluster, &some_nodes(cluster, count, random), span).await;
            Ok(())
        }
        Fault::Stop { count, gap } => {
            stop_in_turn(cluster, &some_nodes(cluster, count, random), gap).await
        }
        Fault::Store { mood, span } => {
            disturb_store(cluster, mood, span).await;
            Ok(())
        }
        Fault::CutFromStore { count, span } => {
            cut_from_store(cluster, &some_nodes(cluster, count, random), span).await;
            Ok(())
        }
        Fault::HoldLinks { span } => {
            hold_links(cluster, span, random).await;
            Ok(())
        }
        Fault::Datagrams { disorder, span } => {
            cluster.peering.set(disorder);
            tokio::time::sleep(span).await;
            cluster.peering.set(Disorder::default());
            Ok(())
        }
        Fault::Split { count, direction, span } => {
            split(cluster, &some_nodes(cluster, count, random), direction, span).await;
            Ok(())
        }
        Fault::ResetLinks { share } => {
            reset_links(cluster, share);
            Ok(())
        }
        Fault::MuteLinks { share } => {
            mute_links(cluster, share);
            Ok(())
        }
        Fault::Configure => {
            cluster.configure().await;
            Ok(())
        }
        Fault::EngineCrash => crash(cluster, random).await,
        Fault::Drain => drain(cluster, random).await,
        Fault::EnginePause { span } => {
            let Some(upstream) = one_upstream(cluster, random) else { return Ok(()) };
            cluster.signal_upstream(&upstream, Signal::SIGSTOP);
            tokio::time::sleep(span).await;
            cluster.signal_upstream(&upstream, Signal::SIGCONT);
            Ok(())
        }
        Fault::LoseAnswers { share, span } => {
            tell_all(cluster, Command::Lose(share));
            tokio::time::sleep(span).await;
            tell_all(cluster, Command::Lose(0));
            Ok(())
        }
        Fault::LyingEngine { telling, span } => {
            let Some(upstream) = one_upstream(cluster, random) else { return Ok(()) };
            cluster.tell_upstream(&upstream, Command::Tell(telling));
            tokio::time::sleep(span).await;
            cluster.tell_upstream(&upstream, Command::Tell(Telling::Truth));
            Ok(())
        }
        Fault::SlowEngine { times, span } => {
            let Some(upstream) = one_upstream(cluster, random) else { return Ok(()) };
            cluster.tell_upstream(&upstream, Command::Slow(times));
            tokio::time::sleep(span).await;
            cluster.tell_upstream(&upstream, Command::Slow(1));
            Ok(())
        }
    }
}

/// Notes that boxes are disturbed.
fn disturb(cluster: &Cluster, nodes: &[usize]) {
    for &node in nodes {
        cluster.changed(node, BoxChange::Disturbed);
    }
}

/// Draws some boxes.
fn some_nodes(cluster: &Cluster, count: usize, random: &mut Pcg64Mcg) -> Vec<usize> {
    let all: Vec<_> = (0..cluster.nodes.len()).collect();
    all.choose_multiple(random, count).copied().collect()
}

/// Draws an upstream that does not drain.
fn one_upstream(cluster: &Cluster, random: &mut Pcg64Mcg) -> Option<Rc<Upstream>> {
    let upstreams = cluster.upstreams.borrow();
    let staying: Vec<_> = upstreams.iter().filter(|it| !it.is_draining.get()).collect();
    staying.choose(random).map(|it| Rc::clone(it))
}

/// Kills boxes and starts them again.
async fn kill(cluster: &Rc<Cluster>, nodes: &[usize]) -> eyre::Result<()> {
    for &node in nodes {
        cluster.changed(node, BoxChange::Killed);
        cluster.signal(node, Signal::SIGKILL);
    }
    tokio::time::sleep(DOWN_FOR).await;
    for &node in nodes {
        cluster.ended(node).await;
        cluster.start_node(node)?;
    }
    Ok(())
}

/// Kills all boxes and starts them again, unless they are to stay down.
async fn kill_all(cluster: &Rc<Cluster>) -> eyre::Result<()> {
    let all: Vec<_> = (0..cluster.nodes.len()).collect();
    if cluster.has(Mutant::StaysDown) {
        for &node in &all {
            cluster.changed(node, BoxChange::Killed);
            cluster.signal(node, Signal::SIGKILL);
        }
    } else {
        kill(cluster, &all).await?;
    }
    cluster.see(What::AllRestarted);
    Ok(())
}

/// Strikes the box that gives the next order, some time after it; none if no order comes soon.
async fn strike_holder(cluster: &Rc<Cluster>, blow: Blow, after: Duration) -> eyre::Result<()> {
    let mut holder = cluster.holder.subscribe();
    if !matches!(tokio::time::timeout(HOLDS_WITHIN, holder.changed()).await, Ok(Ok(()))) {
        return Ok(());
    }
    let name = holder.borrow_and_update().clone();
    let Some(node) = cluster.holder_node(&name) else { return Ok(()) };
    tokio::time::sleep(after).await;
    match blow {
        Blow::Kill => kill(cluster, &[node]).await?,
        Blow::Pause => pause(cluster, &[node], BLOW_FOR).await,
        Blow::Cut => split(cluster, &[node], Direction::Both, BLOW_FOR).await,
    }
    Ok(())
}

/// Cuts boxes off from the others for a span.
async fn split(cluster: &Cluster, nodes: &[usize], direction: Direction, span: Duration) {
    disturb(cluster, nodes);
    let cut = cluster.peering.cut(nodes, direction);
    tokio::time::sleep(span).await;
    cluster.peering.heal(cut);
    disturb(cluster, nodes);
}

/// Has boxes stand still.
async fn pause(cluster: &Rc<Cluster>, nodes: &[usize], span: Duration) {
    for &node in nodes {
        cluster.changed(node, BoxChange::Paused);
        cluster.signal(node, Signal::SIGSTOP);
    }
    tokio::time::sleep(span).await;
    for &node in nodes {
        cluster.signal(node, Signal::SIGCONT);
        cluster.changed(node, BoxChange::Resumed);
    }
}

/// Stops boxes in turn and starts each again when it has ended.
async fn stop_in_turn(cluster: &Rc<Cluster>, nodes: &[usize], gap: Duration) -> eyre::Result<()> {
    let mut restarts = Vec::new();
    for &node in nodes {
        if cluster.signal(node, Signal::SIGTERM) {
            cluster.changed(node, BoxChange::Terminated);
        }
        let cluster = cluster.clone();
        restarts.push(tokio::task::spawn_local(async move {
            if cluster.has(Mutant::CutsOnStop) {
                tokio::time::sleep(Duration::from_millis(30)).await;
                cluster.signal(node, Signal::SIGKILL);
            }
            cluster.ended(node).await;
            tokio::time::sleep(DOWN_FOR).await;
            cluster.start_node(node)
        }));
        tokio::time::sleep(gap).await;
    }
    for restart in restarts {
        restart.await??;
    }
    Ok(())
}

/// Has the store behave differently for a span.
async fn disturb_store(cluster: &Rc<Cluster>, mood: Mood, span: Duration) {
    cluster.see(What::StoreDisturbed { span: micros(span) });
    cluster.command(&store::Command::Mood(mood)).await;
    tokio::time::sleep(span).await;
    cluster.command(&store::Command::Mood(Mood::Well)).await;
}

/// Holds what passes from boxes to the store and back.
async fn cut_from_store(cluster: &Cluster, nodes: &[usize], span: Duration) {
    let ways: Vec<_> = nodes.iter().map(|&it| &cluster.nodes[it].store).collect();
    disturb(cluster, nodes);
    hold(&ways, true);
    tokio::time::sleep(span).await;
    hold(&ways, false);
    disturb(cluster, nodes);
}

/// Holds what passes to one box's front, or to one upstream.
async fn hold_links(cluster: &Rc<Cluster>, span: Duration, random: &mut Pcg64Mcg) {
    if random.random_bool(0.5) {
        for node in some_nodes(cluster, 1, random) {
            cluster.changed(node, BoxChange::Disturbed);
            hold(&[&cluster.nodes[node].front], true);
            tokio::time::sleep(span).await;
            hold(&[&cluster.nodes[node].front], false);
            cluster.changed(node, BoxChange::Disturbed);
        }
        return;
    }
    if let Some(upstream) = one_upstream(cluster, random) {
        hold(&[&upstream.proxy], true);
        tokio::time::sleep(span).await;
        hold(&[&upstream.proxy], false);
    }
}

/// Resets a share of all connections.
fn reset_links(cluster: &Cluster, share: u64) {
    for (index, node) in cluster.nodes.iter().enumerate() {
        cluster.changed(index, BoxChange::Disturbed);
        node.front.reset(share);
        node.store.reset(share);
    }
    for upstream in cluster.upstreams.borrow().iter() {
        upstream.proxy.reset(share);
    }
}

/// Has a share of all connections go silent for good.
fn mute_links(cluster: &Cluster, share: u64) {
    for (index, node) in cluster.nodes.iter().enumerate() {
        cluster.changed(index, BoxChange::Disturbed);
        node.front.mute(share);
        node.store.mute(share);
    }
    for upstream in cluster.upstreams.borrow().iter() {
        upstream.proxy.mute(share);
    }
}

/// Kills an upstream; another one comes, and its entry lapses.
async fn crash(cluster: &Rc<Cluster>, random: &mut Pcg64Mcg) -> eyre::Result<()> {
    let Some(upstream) = one_upstream(cluster, random) else { return Ok(()) };
    cluster.kill_upstream(&upstream);
    let stage = upstream.stage.borrow().clone();
    tokio::time::sleep(DOWN_FOR).await;
    cluster.start_upstream(stage.as_deref()).await?;
    tokio::time::sleep(LAPSES_AFTER).await;
    cluster.leave(&upstream).await;
    Ok(())
}

/// Has an upstream drain and leave; another one comes first.
async fn drain(cluster: &Rc<Cluster>, random: &mut Pcg64Mcg) -> eyre::Result<()> {
    let Some(upstream) = one_upstream(cluster, random) else { return Ok(()) };
    let stage = upstream.stage.borrow().clone();
    cluster.start_upstream(stage.as_deref()).await?;
    upstream.is_draining.set(true);
    cluster.enter(&upstream).await;
    tokio::time::sleep(DRAINS_FOR).await;
    cluster.leave(&upstream).await;
    cluster.kill_upstream(&upstream);
    Ok(())
}

/// Tells all upstreams how to behave.
fn tell_all(cluster: &Cluster, command: Command) {
    for upstream in cluster.upstreams.borrow().iter() {
        cluster.tell_upstream(upstream, command);
    }
}

/// Asks the engines how many runs they have after the last client has gone.
async fn look_for_runs(cluster: &Rc<Cluster>) {
    let upstreams = cluster.upstreams.borrow().clone();
    for upstream in upstreams {
        let asked = tokio::time::timeout(Duration::from_secs(2), active(&upstream)).await;
        if let Ok(Some(runs @ 1..)) = asked {
            cluster.see(What::StillActive { engine: upstream.id.clone(), runs });
        }
    }
}

/// Asks an upstream for its runs under way.
async fn active(upstream: &Upstream) -> Option<u64> {
    let within = Duration::from_secs(1);
    let mut connection = Connection::open(upstream.address, within).await.ok()?;
    let request = Request::get("/report").header(HOST, "engine").body(Full::default()).ok()?;
    let body = connection.send(request).await.ok()?.into_body().collect().await.ok()?;
    let report: Value = serde_json::from_slice(&body.to_bytes()).ok()?;
    report["active"].as_u64()
}

/// Looks for clients' keys in the metrics of all boxes.
async fn look_at_metrics(cluster: &Rc<Cluster>) {
    for (index, node) in cluster.nodes.iter().enumerate() {
        let asked = tokio::time::timeout(Duration::from_secs(2), client::read(node.metrics)).await;
        if let Ok(Some(text)) = asked
            && text.contains(KEY_MARK)
        {
            cluster.see(What::KeyFound { place: format!("the metrics of box {index}") });
        }
    }
}

/// Stops all boxes as planned.
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
    // What has not ended by then is found by the judge, and killed with the cluster.
    _ = tokio::time::timeout(STOP_WITHIN, all).await;
}

/// Gives the faults that a deliberate fault needs to show.
pub fn faults_for(mutant: Mutant) -> Vec<Planned> {
    let at = |millis: u64, fault: Fault| Planned { at: Duration::from_millis(millis), fault };
    match mutant {
        Mutant::CutsOnStop => vec![at(3000, Fault::Stop { count: 2, gap: Duration::ZERO })],
        Mutant::HidesVersion => vec![at(500, Fault::Configure)],
        // Keys are taken away with every second version, and must be gone some seconds later.
        Mutant::KeepsKeys => (0..6).map(|it| at(300 + 200 * it, Fault::Configure)).collect(),
        Mutant::StaysDown => vec![at(2000, Fault::KillAll)],
        _ => Vec::new(),
    }
}

/// Brings about a deliberate fault that the harness itself commits.
async fn commit(cluster: Rc<Cluster>, mutant: Mutant) {
    tokio::time::sleep(Duration::from_secs(2)).await;
    match mutant {
        Mutant::RepeatsFreely => tell_all(&cluster, Command::Fail(100)),
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

/// Gives an engine an order that no box has given.
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
