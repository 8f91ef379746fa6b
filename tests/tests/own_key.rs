//! Calls under callers' own idempotency keys run twice when claims in the store are lost or late.

use std::time::Duration;

use hollyspoke_standin::platform::Faults;
use hollyspoke_standin::service;
use hollyspoke_tests::cluster::{Cluster, Plan};
use hollyspoke_tests::request::CallerRequest;

/// Starts a site of three boxes with a plain service.
async fn site() -> eyre::Result<Cluster> {
    Cluster::start(Plan { boxes: 3, services: 2, ..Plan::default() }).await
}

/// A call with one key is sent to every box at once. It must run once; a connection gets its answer
/// or is superseded.
#[tokio::test]
async fn concurrent_claims_run_twice() -> eyre::Result<()> {
    let cluster = site().await?;
    for round in 0..10 {
        let body = format!("transfer {round}");
        let sending = CallerRequest::hold(&body).own_key(&format!("own-{round}"));
        let sends = cluster.boxes.iter().map(|it| sending.send(it.address()));
        let responses = futures::future::join_all(sends).await;
        assert!(responses.iter().any(|it| it.is_answer()), "{responses:?}");
        for one in &responses {
            assert!(one.is_answer() || one.slug() == "superseded", "{one:?}");
        }
        assert_eq!(cluster.runs(&body).await?, 1);
    }
    Ok(())
}

/// The store's answers to claims are lost after the write. The call must still run, and only once.
#[tokio::test]
async fn lost_claim_answer() -> eyre::Result<()> {
    let cluster = site().await?;
    cluster.platform.faults(&Faults { lose_answers: true, ..Faults::default() }).await?;
    let sending = CallerRequest::hold("transfer lost").own_key("own-lost");
    let response = sending.send(cluster.boxes[0].address()).await;
    assert!(response.is_answer(), "{response:?}");
    let again = sending.send(cluster.boxes[1].address()).await;
    assert!(again.is_answer(), "{again:?}");
    assert_eq!(cluster.runs("transfer lost").await?, 1);
    Ok(())
}

/// The store is unreachable. The call must be rejected as not run, and run once the store is back.
#[tokio::test]
async fn unreachable_store_loses_call() -> eyre::Result<()> {
    let cluster = site().await?;
    cluster.platform.faults(&Faults { down: true, ..Faults::default() }).await?;
    let sending = CallerRequest::hold("transfer away").own_key("own-away");
    let response = sending.send(cluster.boxes[0].address()).await;
    assert_eq!(response.slug(), "store-away", "{response:?}");
    assert_eq!(cluster.runs("transfer away").await?, 0);
    let unclaimed = CallerRequest::hold("without own key").send(cluster.boxes[0].address()).await;
    assert!(unclaimed.is_answer(), "a call that needs no claim was rejected: {unclaimed:?}");
    cluster.platform.faults(&Faults::default()).await?;
    let response = sending.send(cluster.boxes[1].address()).await;
    assert!(response.is_answer(), "{response:?}");
    assert_eq!(cluster.runs("transfer away").await?, 1);
    Ok(())
}

/// The write of a claim takes effect long after its time-out. Only one box may hold the claim.
#[tokio::test]
async fn late_claim_runs_twice() -> eyre::Result<()> {
    let cluster = site().await?;
    cluster.platform.faults(&Faults { late_ms: 2500, ..Faults::default() }).await?;
    let sending = CallerRequest::hold("transfer late").own_key("own-late");
    let first = sending.send(cluster.boxes[0].address()).await;
    cluster.platform.faults(&Faults::default()).await?;
    let sends = cluster.boxes.iter().map(|it| sending.send(it.address()));
    let responses = futures::future::join_all(sends).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let later = sending.send(cluster.boxes[2].address()).await;
    assert!(later.is_answer(), "first {first:?}, then {responses:?}, later {later:?}");
    assert_eq!(cluster.runs("transfer late").await?, 1);
    Ok(())
}

/// The home of a claim is killed while the call runs. Its outcome is unknown, so it must not run
/// again.
#[tokio::test]
async fn dead_home_reruns() -> eyre::Result<()> {
    let mut cluster = site().await?;
    for service in &cluster.services {
        service.faults(&service::Faults { lose_answers: true, ..Default::default() }).await?;
    }
    let sending = CallerRequest::hold("transfer home").own_key("own-home");
    let home = cluster.boxes[0].address().to_owned();
    let first = tokio::spawn({
        let sending = sending.clone();
        async move { sending.send(&home).await }
    });
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(cluster.runs("transfer home").await?, 1);
    cluster.boxes[0].process.kill();
    for _ in 0..6 {
        let response = sending.send(cluster.boxes[1].address()).await;
        assert_eq!(response.slug(), "outcome-unknown", "{response:?}");
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    assert_eq!(cluster.runs("transfer home").await?, 1);
    assert_eq!(first.await?.slug(), "nothing");
    Ok(())
}
