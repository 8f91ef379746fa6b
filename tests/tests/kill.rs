//! Boxes or engines are killed during a request, which loses its answer or leaves memory held.

use std::time::Duration;

use hollyspoke_standin::answer;
use hollyspoke_standin::engine::{Faults, Ledger};
use hollyspoke_tests::cluster::{Cluster, Plan};
use hollyspoke_tests::request::{CallerRequest, read_stream};

/// How long memory may stay held after the box that used it was killed.
const MAX_HELD: Duration = Duration::from_secs(15);

/// Starts a site of three boxes whose engines decode slowly.
async fn slow_site() -> eyre::Result<Cluster> {
    Cluster::start(Plan { boxes: 3, token_ms: 20, ..Plan::default() }).await
}

/// Sends a long streamed request to a box; returns the text and whether the stream ended properly.
fn begin(cluster: &Cluster, at: usize) -> tokio::task::JoinHandle<(String, bool)> {
    let address = cluster.boxes[at].address().to_owned();
    tokio::spawn(async move {
        match CallerRequest::generate("long", 400, true).begin(&address).await {
            Ok(response) => read_stream(response).await,
            Err(_) => (String::new(), false),
        }
    })
}

/// Returns whether an engine is decoding.
fn decoding(ledgers: &[Ledger]) -> bool {
    ledgers[1..].iter().any(|it| it.decodes > it.finished)
}

/// The front is killed while it streams; the owner must free the memory.
#[tokio::test]
async fn front_death_holds_memory() -> eyre::Result<()> {
    let mut cluster = slow_site().await?;
    let owner = cluster.owner().await?;
    let front = (owner + 1) % 3;
    let _caller = begin(&cluster, front);
    cluster.wait_engines("no decode begins", decoding).await?;
    cluster.boxes[front].process.kill();
    let took = cluster.wait_memory_free(MAX_HELD).await?;
    println!("memory released {took:?} after the front was killed");
    Ok(())
}

/// The box that is both front and owner is killed; the new owner must free the memory.
#[tokio::test]
async fn joint_death_holds_memory() -> eyre::Result<()> {
    let mut cluster = slow_site().await?;
    let owner = cluster.owner().await?;
    let _caller = begin(&cluster, owner);
    cluster.wait_engines("no decode begins", decoding).await?;
    cluster.boxes[owner].process.kill();
    let took = cluster.wait_memory_free(MAX_HELD).await?;
    println!("memory released {took:?} after front and owner were killed");
    Ok(())
}

/// The owner is killed; the front must finish the answer without a second decode.
#[tokio::test]
async fn owner_death_cuts_answer() -> eyre::Result<()> {
    let mut cluster = slow_site().await?;
    let owner = cluster.owner().await?;
    let front = (owner + 1) % 3;
    let caller = begin(&cluster, front);
    cluster.wait_engines("no decode begins", decoding).await?;
    cluster.boxes[owner].process.kill();
    let (text, ended) = caller.await?;
    assert!(ended);
    assert_eq!(text, answer::whole("long", 400));
    let decodes: u64 = cluster.engines().await.iter().map(|it| it.decodes).sum();
    assert_eq!(decodes, 1, "the stream was decoded again");
    let after =
        CallerRequest::generate("after", 10, false).send(cluster.boxes[front].address()).await;
    assert_eq!(after.text()?, answer::whole("after", 10));
    cluster.wait_memory_free(MAX_HELD).await?;
    Ok(())
}

/// The decode engine is killed; another engine must continue from the last token.
#[tokio::test]
async fn decode_death_cuts_answer() -> eyre::Result<()> {
    let mut cluster = slow_site().await?;
    let caller = begin(&cluster, 0);
    cluster.wait_engines("no decode begins", decoding).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let ledgers = cluster.engines().await;
    let busy = ledgers[1..].iter().position(|it| it.decodes > 0).unwrap_or(0);
    cluster.decodes[busy].kill();
    let (text, ended) = caller.await?;
    assert!(ended, "the answer was cut off");
    assert_eq!(text, answer::whole("long", 400), "tokens are missing, repeated or out of order");
    cluster.wait_memory_free(MAX_HELD).await?;
    Ok(())
}

/// An engine's stream breaks off; it must be resumed without repeated tokens.
#[tokio::test]
async fn broken_stream_repeats_tokens() -> eyre::Result<()> {
    let cluster = slow_site().await?;
    cluster.decodes[0].faults(&Faults { break_after: Some(30), ..Faults::default() }).await?;
    cluster.decodes[1].faults(&Faults { break_after: Some(300), ..Faults::default() }).await?;
    let (text, ended) = begin(&cluster, 0).await?;
    assert!(ended);
    assert_eq!(text, answer::whole("long", 400));
    cluster.wait_memory_free(MAX_HELD).await?;
    Ok(())
}

/// The prefill engine is killed; another engine must prefill the prompt.
#[tokio::test]
async fn prefill_death_loses_request() -> eyre::Result<()> {
    let plan = Plan { prefills: 2, prefill_rate: 100, ..Plan::default() };
    let mut cluster = Cluster::start(plan).await?;
    let prompt = "p".repeat(300);
    let address = cluster.boxes[0].address().to_owned();
    let sending = CallerRequest::generate(&prompt, 20, false);
    let caller = tokio::spawn(async move { sending.send(&address).await });
    let begun = |it: &[Ledger]| it[..2].iter().any(|e| e.prefills > 0);
    cluster.wait_engines("no prefill begins", begun).await?;
    let busy = usize::from(cluster.engines().await[0].prefills == 0);
    cluster.prefills[busy].kill();
    assert_eq!(caller.await?.text()?, answer::whole(&prompt, 20));
    cluster.wait_memory_free(MAX_HELD).await?;
    Ok(())
}

/// A transfer stalls; the request must move to another decode engine.
#[tokio::test]
async fn stalled_transfer_blocks_request() -> eyre::Result<()> {
    let cluster = slow_site().await?;
    cluster.decodes[0].faults(&Faults { stall_import: true, ..Faults::default() }).await?;
    for round in 0..3 {
        let prompt = format!("round {round}");
        let got =
            CallerRequest::generate(&prompt, 10, false).send(cluster.boxes[0].address()).await;
        assert_eq!(got.text()?, answer::whole(&prompt, 10));
    }
    cluster.wait_memory_free(MAX_HELD).await?;
    Ok(())
}
