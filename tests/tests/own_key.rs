//! Callers' own idempotency keys, claimed in the platform's store.

use std::time::Duration;

use hollyspoke_standin::platform::Faults;
use hollyspoke_standin::service;
use hollyspoke_tests::cluster::{Cluster, Plan};
use hollyspoke_tests::request::CallerRequest;

/// A site of three boxes with a plain service.
async fn site() -> eyre::Result<Cluster> {
    Cluster::start(Plan { boxes: 3, services: 2, ..Plan::default() }).await
}

/// One own key sent to every box at once runs once, and all get the same run's answer.
#[tokio::test]
async fn at_every_box() -> eyre::Result<()> {
    let cluster = site().await?;
    for round in 0..10 {
        let body = format!("transfer {round}");
        let sending = CallerRequest::hold(&body).own_key(&format!("own-{round}"));
        let sends = cluster.boxes.iter().map(|it| sending.send(it.address()));
        let got = futures::future::join_all(sends).await;
        assert!(got.iter().any(|it| it.is_answer()), "{got:?}");
        for one in &got {
            assert!(one.is_answer() || one.slug() == "superseded", "{one:?}");
        }
        assert_eq!(cluster.runs(&body).await?, 1);
    }
    Ok(())
}

/// The claim's answer is lost after the write: the request still runs, and once.
#[tokio::test]
async fn lost_answer() -> eyre::Result<()> {
    let cluster = site().await?;
    cluster.platform.faults(&Faults { lose_answers: true, ..Faults::default() }).await?;
    let sending = CallerRequest::hold("transfer lost").own_key("own-lost");
    let got = sending.send(cluster.boxes[0].address()).await;
    assert!(got.is_answer(), "{got:?}");
    let again = sending.send(cluster.boxes[1].address()).await;
    assert!(again.is_answer(), "{again:?}");
    assert_eq!(cluster.runs("transfer lost").await?, 1);
    Ok(())
}

/// The store is away: the request is refused as not run, at once enough, and runs later.
#[tokio::test]
async fn store_away() -> eyre::Result<()> {
    let cluster = site().await?;
    cluster.platform.faults(&Faults { down: true, ..Faults::default() }).await?;
    let sending = CallerRequest::hold("transfer away").own_key("own-away");
    let got = sending.send(cluster.boxes[0].address()).await;
    assert_eq!(got.slug(), "store-away", "{got:?}");
    assert_eq!(cluster.runs("transfer away").await?, 0);
    let without = CallerRequest::hold("without own key").send(cluster.boxes[0].address()).await;
    assert!(without.is_answer(), "a call that needs no claim is served: {without:?}");
    cluster.platform.faults(&Faults::default()).await?;
    let got = sending.send(cluster.boxes[1].address()).await;
    assert!(got.is_answer(), "{got:?}");
    assert_eq!(cluster.runs("transfer away").await?, 1);
    Ok(())
}

/// A write takes effect long after it was given up on: the claim is still one box's alone.
#[tokio::test]
async fn late_write() -> eyre::Result<()> {
    let cluster = site().await?;
    cluster.platform.faults(&Faults { late_ms: 2500, ..Faults::default() }).await?;
    let sending = CallerRequest::hold("transfer late").own_key("own-late");
    let first = sending.send(cluster.boxes[0].address()).await;
    cluster.platform.faults(&Faults::default()).await?;
    let sends = cluster.boxes.iter().map(|it| sending.send(it.address()));
    let got = futures::future::join_all(sends).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let later = sending.send(cluster.boxes[2].address()).await;
    assert!(later.is_answer(), "first {first:?}, then {got:?}, later {later:?}");
    assert_eq!(cluster.runs("transfer late").await?, 1);
    Ok(())
}

/// The claim's home dies while the transfer runs: its outcome is unknown, and it never runs twice.
#[tokio::test]
async fn home_dies() -> eyre::Result<()> {
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
        let got = sending.send(cluster.boxes[1].address()).await;
        assert_eq!(got.slug(), "outcome-unknown", "{got:?}");
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    assert_eq!(cluster.runs("transfer home").await?, 1);
    assert_eq!(first.await?.slug(), "nothing");
    Ok(())
}
