//! Engine memory stays held by a request whose caller has disconnected.

use std::time::Duration;

use hollyspoke_standin::engine::Faults;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON, until};
use hollyspoke_tests::request::CallerRequest;
use tokio::time::Instant;

/// How long memory may stay held after the caller has disconnected.
const MAX_HELD: Duration = Duration::from_secs(10);

/// Sends a streamed request from a task; to abort the task is to disconnect the caller.
fn caller(cluster: &Cluster, prompt: &str, tokens: u32) -> tokio::task::JoinHandle<()> {
    let address = cluster.boxes[0].address().to_owned();
    let sending = CallerRequest::generate(prompt, tokens, true);
    tokio::spawn(async move {
        if let Ok(response) = sending.begin(&address).await {
            hollyspoke_tests::request::read_stream(response).await;
        }
    })
}

/// The caller disconnects while its prompt is prefilled.
#[tokio::test]
async fn cancelled_prefill_holds_memory() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan::default()).await?;
    cluster.prefills[0].faults(&Faults { stall_prefill: true, ..Faults::default() }).await?;
    let caller = caller(&cluster, "stuck", 40);
    cluster.wait_engines("no prefill begins", |it| it[0].prefills == 1).await?;
    caller.abort();
    let took = cluster.wait_memory_free(MAX_HELD).await?;
    println!("memory released {took:?} after the caller disconnected during prefill");
    Ok(())
}

/// The caller disconnects while the KV cache is transferred.
#[tokio::test]
async fn cancelled_transfer_holds_memory() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan::default()).await?;
    for decode in &cluster.decodes {
        decode.faults(&Faults { stall_import: true, ..Faults::default() }).await?;
    }
    let caller = caller(&cluster, "stuck", 40);
    let held =
        |it: &[hollyspoke_standin::engine::Ledger]| it[1..].iter().any(|e| e.used_tokens > 0);
    cluster.wait_engines("no import begins", held).await?;
    caller.abort();
    let took = cluster.wait_memory_free(MAX_HELD).await?;
    println!("memory released {took:?} after the caller disconnected during transfer");
    Ok(())
}

/// Callers, one after another, disconnect while their answers are decoded.
#[tokio::test]
async fn cancelled_decode_holds_memory() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { token_ms: 20, ..Plan::default() }).await?;
    let mut times = Vec::new();
    for round in 0..15 {
        let caller = caller(&cluster, &format!("round {round}"), 2000);
        let begun = |it: &[hollyspoke_standin::engine::Ledger]| {
            it.iter().map(|e| e.decodes).sum::<u64>() == round + 1
        };
        cluster.wait_engines("no decode begins", begun).await?;
        let disconnected_at = Instant::now();
        caller.abort();
        cluster.wait_memory_free(MAX_HELD).await?;
        times.push(disconnected_at.elapsed());
    }
    times.sort();
    println!("memory released: median {:?}, worst {:?}", times[7], times[14]);
    Ok(())
}

/// The engine is removed from the site file while it decodes; the caller then disconnects.
#[tokio::test]
async fn removed_engine_holds_memory() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { token_ms: 20, ..Plan::default() }).await?;
    let caller = caller(&cluster, "long", 2000);
    let begun = |it: &[hollyspoke_standin::engine::Ledger]| it.iter().any(|e| e.decodes > 0);
    cluster.wait_engines("no decode begins", begun).await?;
    let busy = usize::from(cluster.engines().await[1].decodes == 0);
    let engine = cluster.decodes.remove(busy);
    let version = cluster.apply().await?;
    cluster.wait_in_force(version).await?;
    caller.abort();
    until(MAX_HELD, "the engine still holds memory", async || {
        let ledger: eyre::Result<hollyspoke_standin::engine::Ledger> = engine.ledger().await;
        ledger.is_ok_and(|it| it.used_tokens == 0)
    })
    .await
}

/// The caller disconnects while its request is queued for memory. It must not be prefilled.
#[tokio::test]
async fn cancelled_queued_request_runs() -> eyre::Result<()> {
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
    assert_eq!(ledgers[0].prefills, 1, "the request of the disconnected caller was prefilled");
    cluster.wait_memory_free(MAX_HELD).await?;
    Ok(())
}
