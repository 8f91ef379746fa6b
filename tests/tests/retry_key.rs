//! A retry under the same key, at the same box or another one, runs a call twice or loses its answer.

use std::time::Duration;

use hollyspoke_standin::answer;
use hollyspoke_standin::service::Faults;
use hollyspoke_tests::cluster::{Cluster, Plan, until};
use hollyspoke_tests::request::{CallerRequest, CallerResponse, key_of, read_stream};

/// Starts a site with a plain service.
async fn site() -> eyre::Result<Cluster> {
    Cluster::start(Plan { services: 2, token_ms: 20, ..Plan::default() }).await
}

/// A retry arrives at another box while the call still runs. It must take over the answer.
#[tokio::test]
async fn concurrent_retry_reruns() -> eyre::Result<()> {
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
    assert_eq!(first.await?.slug(), "superseded", "the first connection was not superseded");
    assert_eq!(cluster.runs("hold A1").await?, 1);
    Ok(())
}

/// Retries arrive after the answer. They must get the same answer without another run.
#[tokio::test]
async fn late_retry_reruns() -> eyre::Result<()> {
    let cluster = site().await?;
    let hold = CallerRequest::hold("hold A2").key(&key_of(&cluster.boxes[0], 2));
    let first = hold.send(cluster.boxes[0].address()).await;
    assert!(first.is_answer(), "{first:?}");
    for member in &cluster.boxes {
        assert_eq!(hold.send(member.address()).await, first, "a retry got another answer");
    }
    assert_eq!(cluster.runs("hold A2").await?, 1);
    Ok(())
}

/// Retries arrive after the key's home was killed. A call must not run again, but a repeatable
/// request must be answered.
#[tokio::test]
async fn dead_home_reruns() -> eyre::Result<()> {
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
    assert_eq!(got.text()?, answer::whole(prompt, 10), "a repeatable request was not run again");
    Ok(())
}

/// The caller disconnects while a call runs. Its retry must get the answer of the first run.
#[tokio::test]
async fn disconnect_loses_answer() -> eyre::Result<()> {
    let cluster = site().await?;
    for service in &cluster.services {
        service.faults(&Faults { delay_ms: 800, ..Faults::default() }).await?;
    }
    let hold = CallerRequest::hold("hold A4").key(&key_of(&cluster.boxes[0], 5));
    let home = cluster.boxes[0].address();
    let timed_out = tokio::time::timeout(Duration::from_millis(300), hold.send(home)).await;
    assert!(timed_out.is_err(), "the first connection got an answer before it was closed");
    let CallerResponse::Answer { body, .. } = hold.send(home).await else {
        panic!("the retry got no answer")
    };
    assert!(body.contains("\"run\":1"), "{body}");
    assert_eq!(cluster.runs("hold A4").await?, 1);
    Ok(())
}

/// A retry arrives while an answer is streamed. The later connection must get it from the start,
/// without a second decode.
#[tokio::test]
async fn joined_stream_decodes_twice() -> eyre::Result<()> {
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
    assert!(!ended, "the earlier stream ended as if it were whole");
    let decodes: u64 = cluster.engines().await.iter().map(|it| it.decodes).sum();
    assert_eq!(decodes, 1);
    Ok(())
}
