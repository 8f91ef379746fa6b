//! A box is frozen for longer than all leases and timeouts, and then resumes.

use std::time::Duration;

use hollyspoke_standin::answer;
use hollyspoke_standin::engine::Ledger;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON};
use hollyspoke_tests::request::{CallerRequest, read_stream};

/// The duration of a freeze: longer than a grant is kept after its front has timed out.
const FREEZE_DURATION: Duration = Duration::from_secs(7);

/// A frozen front loses its grant; once resumed, it must finish the answer under a new one.
#[tokio::test]
async fn frozen_front_cuts_answer() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 3, token_ms: 20, ..Plan::default() }).await?;
    let owner = cluster.owner().await?;
    let front = (owner + 1) % 3;
    let address = cluster.boxes[front].address().to_owned();
    let caller = tokio::spawn(async move {
        let response = CallerRequest::generate("long", 200, true).begin(&address).await?;
        eyre::Ok(read_stream(response).await)
    });
    cluster.wait_engines("no decode begins", |it| it[1..].iter().any(|e| e.decodes > 0)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.boxes[front].freeze();
    cluster.wait_memory_free(SOON).await?;
    tokio::time::sleep(FREEZE_DURATION).await;
    cluster.boxes[front].resume();
    let (text, ended) = caller.await??;
    assert!(ended, "{text}");
    assert_eq!(text, answer::whole("long", 200), "tokens are missing, repeated or out of order");
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// A frozen owner is replaced; once resumed, it must not keep granting memory that the new owner
/// grants.
#[tokio::test]
async fn frozen_owner_blocks_requests() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 3, ..Plan::default() }).await?;
    let owner = cluster.owner().await?;
    let front = (owner + 1) % 3;
    cluster.boxes[owner].freeze();
    tokio::time::sleep(Duration::from_secs(4)).await;
    for round in 0..4 {
        let prompt = format!("while frozen {round}");
        let got =
            CallerRequest::generate(&prompt, 10, false).send(cluster.boxes[front].address()).await;
        assert_eq!(got.text()?, answer::whole(&prompt, 10));
    }
    cluster.boxes[owner].resume();
    tokio::time::sleep(Duration::from_secs(1)).await;
    for member in &cluster.boxes {
        let got = CallerRequest::generate("after", 10, false).send(member.address()).await;
        assert_eq!(got.text()?, answer::whole("after", 10));
    }
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// The owner is killed and the remaining boxes are frozen, for less time than the front's grant is
/// kept: the front must finish the answer without a second decode.
#[tokio::test]
async fn pause_after_owner_death_cuts_answer() -> eyre::Result<()> {
    for pause in [1200, 2300].map(Duration::from_millis) {
        let mut cluster =
            Cluster::start(Plan { boxes: 3, token_ms: 20, ..Plan::default() }).await?;
        let owner = cluster.owner().await?;
        let remaining = [(owner + 1) % 3, (owner + 2) % 3];
        let address = cluster.boxes[remaining[0]].address().to_owned();
        let caller = tokio::spawn(async move {
            let response = CallerRequest::generate("long", 300, true).begin(&address).await?;
            eyre::Ok(read_stream(response).await)
        });
        let decodes = |it: &[Ledger]| it[1..].iter().any(|e| e.decodes > 0);
        cluster.wait_engines("no decode begins", decodes).await?;
        cluster.boxes[owner].process.kill();
        cluster.pause(&remaining, pause).await;
        let (text, ended) = caller.await??;
        assert!(ended, "{text}");
        assert_eq!(text, answer::whole("long", 300));
        let decodes: u64 = cluster.engines().await.iter().map(|it| it.decodes).sum();
        assert_eq!(decodes, 1, "the stream was decoded again after a pause of {pause:?}");
        cluster.wait_memory_free(SOON).await?;
    }
    Ok(())
}
