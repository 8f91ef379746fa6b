//! A caller sends one key again, at the same box or at another one.

use std::time::Duration;

use hollyspoke_standin::answer;
use hollyspoke_standin::service::Faults;
use hollyspoke_tests::cluster::{Cluster, Plan, until};
use hollyspoke_tests::request::{CallerRequest, CallerResponse, key_of, read_stream};

/// A site with a plain service.
async fn site() -> eyre::Result<Cluster> {
    Cluster::start(Plan { services: 2, token_ms: 20, ..Plan::default() }).await
}

/// The retry comes to another box while the first call still runs: it joins.
#[tokio::test]
async fn while_running() -> eyre::Result<()> {
    let cluster = site().await?;
    for service in &cluster.services {
        service.faults(&Faults { delay_ms: 1500, ..Faults::default() }).await?;
    }
    let hold = CallerRequest::hold("hold A1").key(&key_of(&cluster.boxes[0], 1));
    let home = cluster.boxes[0].address().to_owned();
    let first = tokio::spawn({
        let hold = hold.clone();
        async move { hold.send(&home).await }
    });
    until(Duration::from_secs(5), "the hold does not run", async || {
        cluster.runs("hold A1").await.unwrap_or(0) == 1
    })
    .await?;
    let second = hold.send(cluster.boxes[1].address()).await;
    assert!(second.is_answer(), "{second:?}");
    assert_eq!(first.await?.slug(), "superseded", "only one connection gets the answer");
    assert_eq!(cluster.runs("hold A1").await?, 1);
    Ok(())
}

/// The retry comes after the answer: it gets the same answer again.
#[tokio::test]
async fn after_end() -> eyre::Result<()> {
    let cluster = site().await?;
    let hold = CallerRequest::hold("hold A2").key(&key_of(&cluster.boxes[0], 2));
    let first = hold.send(cluster.boxes[0].address()).await;
    assert!(first.is_answer(), "{first:?}");
    for member in &cluster.boxes {
        assert_eq!(hold.send(member.address()).await, first, "the answer is given again");
    }
    assert_eq!(cluster.runs("hold A2").await?, 1);
    Ok(())
}

/// The retry comes after its home has died: nobody runs it again.
#[tokio::test]
async fn after_home_died() -> eyre::Result<()> {
    let mut cluster = site().await?;
    let hold = CallerRequest::hold("hold A3").key(&key_of(&cluster.boxes[0], 3));
    assert!(hold.send(cluster.boxes[0].address()).await.is_answer());
    cluster.boxes[0].process.kill();
    for _ in 0..8 {
        let got = hold.send(cluster.boxes[1].address()).await;
        assert_eq!(got.slug(), "outcome-unknown", "{got:?}");
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    assert_eq!(cluster.runs("hold A3").await?, 1);
    let prompt = "repeatable";
    let key = key_of(&cluster.boxes[0], 4);
    let got =
        CallerRequest::generate(prompt, 10, false).key(&key).send(cluster.boxes[1].address()).await;
    assert_eq!(got.text()?, answer::whole(prompt, 10), "what may be repeated is run anew");
    Ok(())
}

/// The caller's connection goes while a hold runs; its retry gets the confirmation.
#[tokio::test]
async fn after_caller_went() -> eyre::Result<()> {
    let cluster = site().await?;
    for service in &cluster.services {
        service.faults(&Faults { delay_ms: 800, ..Faults::default() }).await?;
    }
    let hold = CallerRequest::hold("hold A4").key(&key_of(&cluster.boxes[0], 5));
    let home = cluster.boxes[0].address();
    let begun = tokio::time::timeout(Duration::from_millis(300), hold.send(home)).await;
    assert!(begun.is_err(), "the first connection is dropped before its answer");
    let CallerResponse::Answer { body, .. } = hold.send(home).await else {
        panic!("no confirmation")
    };
    assert!(body.contains("\"run\":1"), "{body}");
    assert_eq!(cluster.runs("hold A4").await?, 1);
    Ok(())
}

/// A generated answer is joined in the middle: the later connection gets it from its beginning.
#[tokio::test]
async fn joined_stream() -> eyre::Result<()> {
    let cluster = site().await?;
    let prompt = "a long archive citation";
    let sending = CallerRequest::generate(prompt, 100, true).key(&key_of(&cluster.boxes[0], 6));
    let first = sending.begin(cluster.boxes[0].address()).await?;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let second = sending.begin(cluster.boxes[1].address()).await?;
    let (text, ended) = read_stream(second).await;
    assert!(ended);
    assert_eq!(text, answer::whole(prompt, 100));
    let (_, ended) = read_stream(first).await;
    assert!(!ended, "the earlier connection is told that it was taken over");
    let decodes: u64 = cluster.engines().await.iter().map(|it| it.decodes).sum();
    assert_eq!(decodes, 1);
    Ok(())
}
