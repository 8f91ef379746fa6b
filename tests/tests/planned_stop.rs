//! A planned stop of a box must not cut off a request in progress, nor lose the answers of keys.

use std::time::Duration;

use hollyspoke_standin::answer;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON};
use hollyspoke_tests::request::{CallerRequest, CallerResponse, key_of, read_stream};

/// Two boxes shut down one after another under load, which must not cut off an answer.
#[tokio::test]
async fn stop_cuts_answer() -> eyre::Result<()> {
    let plan = Plan { boxes: 3, decodes: 3, token_ms: 10, services: 1, ..Plan::default() };
    let mut cluster = Cluster::start(plan).await?;
    let mut callers = Vec::new();
    for number in 0..30 {
        let address = cluster.boxes[number % 3].address().to_owned();
        callers.push(tokio::spawn(async move {
            let prompt = format!("request {number}");
            let response = CallerRequest::generate(&prompt, 150, true).begin(&address).await?;
            let status = response.status().as_u16();
            let (text, ended) = read_stream(response).await;
            eyre::Ok((prompt, status, text, ended))
        }));
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.boxes[0].begin_stop();
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.boxes[1].begin_stop();
    let mut cut = 0;
    for caller in callers {
        let (prompt, status, text, ended) = caller.await??;
        if status == 200 {
            let whole = ended && text == answer::whole(&prompt, 150);
            cut += usize::from(!whole);
        }
    }
    assert_eq!(cut, 0, "requests cut by two planned stops under load");
    for member in &mut cluster.boxes[..2] {
        let status = member.process.wait(SOON).await?;
        assert_eq!(status.code(), Some(0));
    }
    let got = CallerRequest::generate("after", 10, false).send(cluster.boxes[2].address()).await;
    assert_eq!(got.text()?, answer::whole("after", 10));
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// A box that is shutting down must not be listed for callers, and must reject new requests as not
/// run.
#[tokio::test]
async fn stopping_box_accepts_request() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { token_ms: 20, ..Plan::default() }).await?;
    let address = cluster.boxes[0].address();
    let running = CallerRequest::generate("runs on", 150, true).begin(address).await?;
    cluster.boxes[0].begin_stop();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut caller =
        hollyspoke_cli::caller::Caller::new("clerk", vec![cluster.boxes[1].address().to_owned()]);
    let named = caller.boxes().await?;
    assert!(named.iter().all(|it| it.address != address), "{named:?}");
    let refused = CallerRequest::generate("new", 10, false).send(address).await;
    assert_eq!(refused.slug(), "leaving", "{refused:?}");
    let (text, ended) = read_stream(running).await;
    assert!(ended);
    assert_eq!(text, answer::whole("runs on", 150));
    Ok(())
}

/// A retry at another box must get the same answer after its home has shut down, and again after the
/// successor of the home has.
#[tokio::test]
async fn stop_loses_keys() -> eyre::Result<()> {
    let plan = Plan { boxes: 3, services: 1, ..Plan::default() };
    let mut cluster = Cluster::start(plan).await?;
    let hold = CallerRequest::hold("hold B1").key(&key_of(&cluster.boxes[0], 1));
    let first = hold.send(cluster.boxes[0].address()).await;
    assert!(first.is_answer());
    for stopped in 0..2 {
        cluster.boxes[stopped].begin_stop();
        let status = cluster.boxes[stopped].process.wait(SOON).await?;
        assert_eq!(status.code(), Some(0));
        for other in &cluster.boxes[stopped + 1..] {
            let again = hold.send(other.address()).await;
            assert_eq!(again, first, "the answer was lost with its home");
        }
    }
    assert_eq!(cluster.runs("hold B1").await?, 1);
    Ok(())
}

/// A call that runs when its box begins to shut down must be answered before the process ends.
#[tokio::test]
async fn stop_loses_running_call() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { services: 1, ..Plan::default() }).await?;
    let faults = hollyspoke_standin::service::Faults { delay_ms: 1500, ..Default::default() };
    cluster.services[0].faults(&faults).await?;
    let address = cluster.boxes[0].address().to_owned();
    let caller = tokio::spawn(async move { CallerRequest::hold("hold B2").send(&address).await });
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.boxes[0].begin_stop();
    let got = caller.await?;
    assert!(matches!(got, CallerResponse::Answer { status: 200, .. }), "{got:?}");
    let status = cluster.boxes[0].process.wait(SOON).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}
