//! Injects the faults of a schedule and ends them.

use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::cluster::{Cluster, Upstream, hold};
use crate::comeback::come_back;
use crate::mutant::Mutant;
use crate::observation::{BoxChange, Micros, What};
use crate::peering::{Direction, Disorder};
use crate::schedule::{Blow, Fault, Planned, Refusal, Share};
use crate::standin::engine::{Command, Telling};
use crate::standin::store::{self, Mood};

/// How long a killed box stays down.
const DOWN_FOR: Duration = Duration::from_millis(400);

/// How long the entry of a dead upstream remains: three heartbeats of 1.2 s.
const LAPSES_AFTER: Duration = Duration::from_millis(3600);

/// How long a draining upstream still serves.
const DRAINS_FOR: Duration = Duration::from_secs(3);

/// How long an engine works slowly before it announces its shutdown.
const SLOW_BEFORE_LEAVING: Duration = Duration::from_millis(300);

/// The silence after which [`Mutant::EndsSilent`] ends calls.
const CALL_ENDED_AFTER: Duration = Duration::from_secs(1);

/// How long to wait for an order that shows which box is the lease holder.
const HOLDS_WITHIN: Duration = Duration::from_secs(6);

/// How long a lease holder is paused or cut off: longer than its lease, so that another box takes
/// over.
const BLOW_FOR: Duration = Duration::from_millis(3500);

/// Injects the faults of a plan at their times.
pub(crate) async fn strike(cluster: Rc<Cluster>, seed: u64, faults: Vec<Planned>) {
    let begun = Instant::now();
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5EED);
    for planned in faults {
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

/// Prints the error of a fault that could not be injected or ended.
#[expect(clippy::print_stderr, reason = "errors of the harness belong in the run's output")]
pub(crate) fn report(error: &eyre::Report) {
    eprintln!("a fault could not be injected: {error:#}");
}

/// Returns the duration of a fault, for the report.
fn span(fault: Fault) -> Micros {
    let span = match fault {
        Fault::Pause { span, .. }
        | Fault::Store { span, .. }
        | Fault::CutFromStore { span, .. }
        | Fault::EnginePause { span }
        | Fault::StandStill { span, .. }
        | Fault::LoseAnswers { span, .. }
        | Fault::Storm { span, .. }
        | Fault::SlowEngine { span, .. }
        | Fault::DelayOrders { span, .. }
        | Fault::Limit { span, .. }
        | Fault::Rest { span, .. }
        | Fault::ComeBack { span, .. }
        | Fault::LyingEngine { span, .. }
        | Fault::SlowDecode { span, .. }
        | Fault::Crowd { span }
        | Fault::Deviate { span, .. }
        | Fault::Garble { span, .. }
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
        Fault::Leave { span, .. } | Fault::LeaveSlowly { span, .. } => span + DRAINS_FOR,
        Fault::Replace { .. } => DOWN_FOR,
        Fault::ResetLinks { .. } | Fault::MuteLinks { .. } | Fault::Configure => Duration::ZERO,
    };
    micros(span)
}

/// Converts a duration to microseconds.
fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

/// Injects one fault, waits for its duration and ends it.
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
            stand_still(cluster, &[upstream], span).await;
            Ok(())
        }
        Fault::StandStill { is_plain, share, span } => {
            let all = some_upstreams(cluster, is_plain, usize::MAX, random);
            let count = match share {
                Share::One => 1,
                Share::Half => all.len().div_ceil(2),
                Share::All => all.len(),
            };
            stand_still(cluster, &all[..count.min(all.len())], span).await;
            Ok(())
        }
        Fault::LoseAnswers { share, span } => {
            tell_all(cluster, Command::Lose(share));
            tokio::time::sleep(span).await;
            tell_all(cluster, Command::Lose(0));
            Ok(())
        }
        Fault::DelayOrders { share, span } => {
            tell_all(cluster, Command::DelayOrders(share));
            tokio::time::sleep(span).await;
            tell_all(cluster, Command::DelayOrders(0));
            Ok(())
        }
        Fault::Limit { is_plain, count, milli, span } => {
            limit(cluster, is_plain, count, milli, span, random).await;
            Ok(())
        }
        Fault::Leave { is_plain, span } => leave(cluster, is_plain, span, random).await,
        Fault::ComeBack { age, span } => come_back(cluster, age, span, random).await,
        Fault::Rest { is_plain, count, rest, span } => {
            let chosen = some_upstreams(cluster, is_plain, count, random);
            let milli = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
            chosen.iter().for_each(|it| cluster.tell_upstream(it, Command::Rest(milli)));
            tokio::time::sleep(span).await;
            chosen.iter().for_each(|it| cluster.tell_upstream(it, Command::Rest(0)));
            Ok(())
        }
        Fault::Replace { node } => {
            cluster.replace(node);
            stop_in_turn(cluster, &[node], Duration::ZERO).await
        }
        Fault::LyingEngine { telling, span } => {
            let Some(upstream) = one_upstream(cluster, random) else { return Ok(()) };
            cluster.tell_upstream(&upstream, Command::Tell(telling));
            tokio::time::sleep(span).await;
            cluster.tell_upstream(&upstream, Command::Tell(Telling::Truth));
            Ok(())
        }
        Fault::Storm { refusal, share, losses, span } => {
            storm(cluster, refusal, share, losses, span).await
        }
        Fault::SlowDecode { times, count, span } => {
            let chosen = some_decode_engines(cluster, count, random);
            chosen.iter().for_each(|it| cluster.tell_upstream(it, Command::Slow(times)));
            tokio::time::sleep(span).await;
            chosen.iter().for_each(|it| cluster.tell_upstream(it, Command::Slow(1)));
            Ok(())
        }
        Fault::LeaveSlowly { times, span } => leave_slowly(cluster, times, span, random).await,
        Fault::Crowd { span } => {
            cluster.is_crowded.set(true);
            tokio::time::sleep(span).await;
            cluster.is_crowded.set(false);
            Ok(())
        }
        Fault::Garble { garbage, share, count, span } => {
            let chosen = some_decode_engines(cluster, count, random);
            chosen.iter().for_each(|it| cluster.tell_upstream(it, Command::Spoil(garbage, share)));
            tokio::time::sleep(span).await;
            chosen.iter().for_each(|it| cluster.tell_upstream(it, Command::Spoil(garbage, 0)));
            Ok(())
        }
        Fault::Deviate { breach, share, span } => {
            tell_all(cluster, Command::Deviate(breach, share));
            tokio::time::sleep(span).await;
            tell_all(cluster, Command::Deviate(breach, 0));
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

/// Records that boxes are disturbed.
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

/// Draws an upstream that is not draining.
fn one_upstream(cluster: &Cluster, random: &mut Pcg64Mcg) -> Option<Rc<Upstream>> {
    let upstreams = cluster.upstreams.borrow();
    let staying: Vec<_> = upstreams.iter().filter(|it| !it.is_draining.get()).collect();
    staying.choose(random).map(|it| Rc::clone(it))
}

/// Kills boxes and restarts them.
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

/// Kills all boxes and restarts them, unless the mutant keeps them down.
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

/// Lets all upstreams fail or reject most requests for a duration, and kills all boxes several
/// times meanwhile.
async fn storm(
    cluster: &Rc<Cluster>,
    refusal: Refusal,
    share: u64,
    losses: u32,
    span: Duration,
) -> eyre::Result<()> {
    let command = |share| match refusal {
        Refusal::Fail => Command::Fail(share),
        Refusal::TurnAway => Command::Refuse(share),
    };
    let pause = span / (losses + 1);
    tell_all(cluster, command(share));
    let killed = cluster.clone();
    let losing = tokio::task::spawn_local(async move {
        let all: Vec<_> = (0..killed.nodes.len()).collect();
        for _ in 0..losses {
            tokio::time::sleep(pause.saturating_sub(DOWN_FOR)).await;
            kill(&killed, &all).await?;
        }
        eyre::Ok(())
    });
    // The storm ends on time although a kill may wait for a box that another fault has restarted.
    tokio::time::sleep(span).await;
    tell_all(cluster, command(0));
    losing.await?
}

/// Makes the box fail that sends the next order, some time after it. Does nothing if no order is
/// sent within [`HOLDS_WITHIN`].
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

/// Lets upstreams of a service announce a limit, another one after half of the time, and none at
/// the end.
async fn limit(
    cluster: &Cluster,
    is_plain: bool,
    count: usize,
    milli: (u64, u64),
    span: Duration,
    random: &mut Pcg64Mcg,
) {
    let chosen = some_upstreams(cluster, is_plain, count, random);
    let name = |milli| {
        for upstream in &chosen {
            cluster.tell_upstream(upstream, Command::Limit(milli));
        }
    };
    name(milli.0);
    tokio::time::sleep(span / 2).await;
    name(milli.1);
    tokio::time::sleep(span / 2).await;
    name(0);
}

/// Starts another upstream, then lets one announce its shutdown in its answers, and in its entry
/// after a duration.
async fn leave(
    cluster: &Rc<Cluster>,
    is_plain: bool,
    span: Duration,
    random: &mut Pcg64Mcg,
) -> eyre::Result<()> {
    let chosen = some_upstreams(cluster, is_plain, 1, random);
    let Some(upstream) = chosen.first().filter(|it| !it.is_draining.get()) else { return Ok(()) };
    let stage = upstream.stage.borrow().clone();
    cluster.start_upstream(stage.as_deref()).await?;
    cluster.tell_upstream(upstream, Command::Leave);
    tokio::time::sleep(span).await;
    retire(cluster, upstream).await;
    Ok(())
}

/// Starts another decode engine, then lets one work slowly and announce its shutdown in its answers,
/// and in its entry after a duration.
async fn leave_slowly(
    cluster: &Rc<Cluster>,
    times: u32,
    span: Duration,
    random: &mut Pcg64Mcg,
) -> eyre::Result<()> {
    let chosen = some_decode_engines(cluster, 1, random);
    let Some(engine) = chosen.first().filter(|it| !it.is_draining.get()) else { return Ok(()) };
    cluster.start_upstream(Some("decode")).await?;
    cluster.tell_upstream(engine, Command::Slow(times));
    tokio::time::sleep(SLOW_BEFORE_LEAVING).await;
    cluster.tell_upstream(engine, Command::Leave);
    tokio::time::sleep(span).await;
    retire(cluster, engine).await;
    Ok(())
}

/// Draws decode engines.
fn some_decode_engines(
    cluster: &Cluster,
    count: usize,
    random: &mut Pcg64Mcg,
) -> Vec<Rc<Upstream>> {
    let all = cluster.upstreams.borrow().clone();
    let decodes = |it: &Rc<Upstream>| it.stage.borrow().as_deref() == Some("decode");
    let engines: Vec<_> = all.into_iter().filter(decodes).collect();
    engines.choose_multiple(random, count).cloned().collect()
}

/// Draws upstreams of a service.
fn some_upstreams(
    cluster: &Cluster,
    is_plain: bool,
    count: usize,
    random: &mut Pcg64Mcg,
) -> Vec<Rc<Upstream>> {
    let all = cluster.upstreams.borrow().clone();
    let of_service: Vec<_> =
        all.into_iter().filter(|it| it.stage.borrow().is_none() == is_plain).collect();
    of_service.choose_multiple(random, count).cloned().collect()
}

/// Cuts boxes off from the others for a duration.
async fn split(cluster: &Cluster, nodes: &[usize], direction: Direction, span: Duration) {
    disturb(cluster, nodes);
    let cut = cluster.peering.cut(nodes, direction);
    tokio::time::sleep(span).await;
    cluster.peering.heal(cut);
    disturb(cluster, nodes);
}

/// Pauses boxes with SIGSTOP for a duration.
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

/// Pauses upstreams at the same moment for a duration.
async fn stand_still(cluster: &Cluster, upstreams: &[Rc<Upstream>], span: Duration) {
    let until = Instant::now() + span;
    upstreams.iter().for_each(|it| cluster.pause_upstream(it));
    if cluster.has(Mutant::EndsSilent) {
        while Instant::now() + CALL_ENDED_AFTER < until {
            tokio::time::sleep(CALL_ENDED_AFTER).await;
            upstreams.iter().for_each(|it| it.proxy.reset(100));
        }
    }
    tokio::time::sleep_until(until).await;
    upstreams.iter().for_each(|it| cluster.resume_upstream(it));
}

/// Stops boxes in turn and restarts each when it has ended.
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

/// Lets the store fail in one way for a duration.
async fn disturb_store(cluster: &Rc<Cluster>, mood: Mood, span: Duration) {
    cluster.see(What::StoreDisturbed { span: micros(span) });
    cluster.command(&store::Command::Mood(mood)).await;
    tokio::time::sleep(span).await;
    cluster.command(&store::Command::Mood(Mood::Well)).await;
}

/// Holds the connections between boxes and the store for a duration.
async fn cut_from_store(cluster: &Cluster, nodes: &[usize], span: Duration) {
    let ways: Vec<_> = nodes.iter().map(|&it| &cluster.nodes[it].store).collect();
    disturb(cluster, nodes);
    hold(&ways, true);
    tokio::time::sleep(span).await;
    hold(&ways, false);
    disturb(cluster, nodes);
}

/// Holds the client connections of one box, or the connections to one upstream.
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

/// Resets a percentage of all connections.
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

/// Stops the data on a percentage of all open connections permanently, without a reset.
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

/// Kills an upstream, starts another one, and removes the entry when it would lapse.
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

/// Starts another upstream, then lets one drain and shut down.
pub(crate) async fn drain(cluster: &Rc<Cluster>, random: &mut Pcg64Mcg) -> eyre::Result<()> {
    let Some(upstream) = one_upstream(cluster, random) else { return Ok(()) };
    let stage = upstream.stage.borrow().clone();
    cluster.start_upstream(stage.as_deref()).await?;
    retire(cluster, &upstream).await;
    Ok(())
}

/// Drains an upstream, removes its entry and ends it, unless it has crashed meanwhile.
async fn retire(cluster: &Cluster, upstream: &Rc<Upstream>) {
    if !cluster.upstreams.borrow().iter().any(|it| Rc::ptr_eq(it, upstream)) {
        return;
    }
    upstream.is_draining.set(true);
    cluster.enter(upstream).await;
    cluster.see(What::EntryLeaving { engine: upstream.id.clone() });
    tokio::time::sleep(DRAINS_FOR).await;
    cluster.leave(upstream).await;
    cluster.kill_upstream(upstream);
}

/// Sends a command to all upstreams.
pub(crate) fn tell_all(cluster: &Cluster, command: Command) {
    for upstream in cluster.upstreams.borrow().iter() {
        cluster.tell_upstream(upstream, command);
    }
}
