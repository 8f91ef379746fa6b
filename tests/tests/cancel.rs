//! No engine memory stays held by a request whose caller is gone.

use std::time::Duration;

use hollyspoke_standin::engine::Faults;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON, until};
use hollyspoke_tests::request::CallerRequest;
use tokio::time::Instant;

/// How long a cancel may take before the test fails; the figures are printed.
const LIMIT: Duration = Duration::from_secs(10);

/// Starts a streamed request on a task of its own, which the caller may abort.
fn caller(cluster: &Cluster, prompt: &str, tokens: u32) -> tokio::task::JoinHandle<()> {
    let address = cluster.boxes[0].address().to_owned();
    let sending = CallerRequest::generate(prompt, tokens, true);
    tokio::spawn(async move {
        if let Ok(response) = sending.begin(&address).await {
            hollyspoke_tests::request::read_stream(response).await;
        }
    })
}

/// The caller goes while its prompt is computed.
#[tokio::test]
async fn during_prefill() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan::default()).await?;
    cluster.prefills[0].faults(&Faults { stall_prefill: true, ..Faults::default() }).await?;
    let caller = caller(&cluster, "stuck", 40);
    cluster.wait_engines("no prefill begins", |it| it[0].prefills == 1).await?;
    caller.abort();
    let took = cluster.wait_memory_free(LIMIT).await?;
    println!("memory released {took:?} after the caller went during prefill");
    Ok(())
}

/// The caller goes while the prefill result crosses.
#[tokio::test]
async fn during_transfer() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan::default()).await?;
    for decode in &cluster.decodes {
        decode.faults(&Faults { stall_import: true, ..Faults::default() }).await?;
    }
    let caller = caller(&cluster, "stuck", 40);
    let held =
        |it: &[hollyspoke_standin::engine::Ledger]| it[1..].iter().any(|e| e.used_tokens > 0);
    cluster.wait_engines("no import begins", held).await?;
    caller.abort();
    let took = cluster.wait_memory_free(LIMIT).await?;
    println!("memory released {took:?} after the caller went during transfer");
    Ok(())
}

/// Callers go while their answers are generated, again and again.
#[tokio::test]
async fn during_decode() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { token_ms: 20, ..Plan::default() }).await?;
    let mut times = Vec::new();
    for round in 0..15 {
        let caller = caller(&cluster, &format!("round {round}"), 2000);
        let begun = |it: &[hollyspoke_standin::engine::Ledger]| {
            it.iter().map(|e| e.decodes).sum::<u64>() == round + 1
        };
        cluster.wait_engines("no decode begins", begun).await?;
        let went = Instant::now();
        caller.abort();
        cluster.wait_memory_free(LIMIT).await?;
        times.push(went.elapsed());
    }
    times.sort();
    println!("memory released: median {:?}, worst {:?}", times[7], times[14]);
    Ok(())
}

/// The engine is taken out of the file while it generates; the caller then goes.
#[tokio::test]
async fn engine_taken_out() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { token_ms: 20, ..Plan::default() }).await?;
    let caller = caller(&cluster, "long", 2000);
    let begun = |it: &[hollyspoke_standin::engine::Ledger]| it.iter().any(|e| e.decodes > 0);
    cluster.wait_engines("no decode begins", begun).await?;
    let busy = usize::from(cluster.engines().await[1].decodes == 0);
    let engine = cluster.decodes.remove(busy);
    let version = cluster.apply().await?;
    cluster.wait_in_force(version).await?;
    caller.abort();
    until(LIMIT, "the engine still holds memory", async || {
        let ledger: eyre::Result<hollyspoke_standin::engine::Ledger> = engine.ledger().await;
        ledger.is_ok_and(|it| it.used_tokens == 0)
    })
    .await
}

/// The caller goes while its request waits for memory; it is never begun.
#[tokio::test]
async fn while_queued() -> eyre::Result<()> {
    let plan = Plan { decodes: 1, memory_tokens: 1000, token_ms: 2, ..Plan::default() };
    let cluster = Cluster::start(plan).await?;
    let first = caller(&cluster, "first", 900);
    cluster.wait_engines("no decode begins", |it| it[1].decodes == 1).await?;
    let second = caller(&cluster, "second", 900);
    tokio::time::sleep(Duration::from_millis(300)).await;
    second.abort();
    tokio::time::timeout(SOON, first).await??;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ledgers = cluster.engines().await;
    assert_eq!(ledgers[0].prefills, 1, "nothing was spent on the caller that went");
    cluster.wait_memory_free(LIMIT).await?;
    Ok(())
}
