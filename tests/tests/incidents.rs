//! Requests are delayed, lost or run twice under load, repeated sends and dead boxes or engines.

use std::time::Duration;

use hollyspoke_cli::caller::{Call, Caller, Outcome};
use hollyspoke_standin::answer;
use hollyspoke_standin::service;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON, until};
use hollyspoke_tests::request::{CallerRequest, CallerResponse, key_of, read_stream};
use http::Method;
use http_body_util::BodyExt;

/// Low-priority requests overload the engines and delay an urgent one. The urgent request must be
/// served first; each of the others gets an answer, or is rejected with a time for its retry.
#[tokio::test]
async fn low_priority_delays_urgent() -> eyre::Result<()> {
    let plan = Plan { decodes: 1, memory_tokens: 1500, token_ms: 2, ..Plan::default() };
    let cluster = Cluster::start(plan).await?;
    let mut low_priority = Vec::new();
    for number in 0..60 {
        let address = cluster.boxes[number % 2].address().to_owned();
        let sending = CallerRequest::generate(&format!("lot {number}"), 400, false);
        let sending = sending.header("hollyspoke-class", "2");
        low_priority.push(tokio::spawn(async move { sending.send(&address).await }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let begun = tokio::time::Instant::now();
    let urgent =
        CallerRequest::generate("counter", 20, false).send(cluster.boxes[0].address()).await;
    assert_eq!(urgent.text()?, answer::whole("counter", 20));
    assert!(
        begun.elapsed() < Duration::from_secs(3),
        "the urgent request took {:?}",
        begun.elapsed()
    );
    let (mut answered, mut refused) = (0, 0);
    for sender in low_priority {
        match sender.await? {
            CallerResponse::Answer { status: 200, .. } => answered += 1,
            CallerResponse::Problem(problem) => {
                assert_eq!(problem.ran, "no", "{problem:?}");
                assert!(problem.retry_after_ms.is_some(), "{problem:?}");
                refused += 1;
            }
            other => panic!("a low-priority request got no answer: {other:?}"),
        }
    }
    println!("{answered} low-priority requests answered, {refused} rejected with a retry time");
    assert!(answered > 0 && answered + refused == 60);
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// A caller sends the same call to every box, several times, while the first still runs. The call
/// must run once.
#[tokio::test]
async fn repeated_call_runs_twice() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 3, services: 2, ..Plan::default() }).await?;
    for service in &cluster.services {
        service.faults(&service::Faults { delay_ms: 700, ..Default::default() }).await?;
    }
    let call = CallerRequest::hold("certificate 7").key(&key_of(&cluster.boxes[0], 7));
    let sends = (0..9).map(|it| call.send(cluster.boxes[it % 3].address()));
    let got = futures::future::join_all(sends).await;
    assert_eq!(got.iter().filter(|it| it.is_answer()).count(), 1, "{got:?}");
    assert_eq!(cluster.runs("certificate 7").await?, 1, "the call did not run exactly once");
    Ok(())
}

/// The box of a request is killed during the answer. The caller must see that the answer is cut off,
/// and get it whole from another box under the same key.
#[tokio::test]
async fn killed_box_loses_request() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { boxes: 3, token_ms: 20, ..Plan::default() }).await?;
    let sending = CallerRequest::generate("citation", 150, true).key(&key_of(&cluster.boxes[0], 8));
    let response = sending.begin(cluster.boxes[0].address()).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.boxes[0].process.kill();
    let (_, ended) = read_stream(response).await;
    assert!(!ended, "the answer that was cut off looks whole");
    let again = sending.begin(cluster.boxes[1].address()).await?;
    let (text, ended) = read_stream(again).await;
    assert!(ended, "{text}");
    assert_eq!(text, answer::whole("citation", 150));
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// The connection is closed after a call was sent. A retry with the same key must get the answer of
/// the first run.
#[tokio::test]
async fn lost_connection_loses_answer() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 2, services: 2, ..Plan::default() }).await?;
    for service in &cluster.services {
        service.faults(&service::Faults { delay_ms: 300, ..Default::default() }).await?;
    }
    for seat in 0..10 {
        let body = format!("hold seat {seat}");
        let hold = CallerRequest::hold(&body).key(&key_of(&cluster.boxes[0], 100 + seat));
        let home = cluster.boxes[0].address();
        let lost = tokio::time::timeout(Duration::from_millis(100), hold.send(home)).await;
        assert!(lost.is_err(), "the first connection got an answer before it was closed");
        let CallerResponse::Answer { body: answer_body, .. } =
            hold.send(cluster.boxes[1].address()).await
        else {
            panic!("no answer to {body}");
        };
        assert!(answer_body.contains("\"run\":1"), "{answer_body}");
        assert_eq!(cluster.runs(&body).await?, 1);
    }
    Ok(())
}

/// A caller that follows the retry rules sends a call, and its box is killed at different moments.
/// The call must run at most once, whatever outcome the caller gets.
#[tokio::test]
async fn retry_after_kill_reruns() -> eyre::Result<()> {
    for kill_after in [20, 150, 400] {
        let plan = Plan { boxes: 3, services: 2, ..Plan::default() };
        let mut cluster = Cluster::start(plan).await?;
        for service in &cluster.services {
            service.faults(&service::Faults { delay_ms: 250, ..Default::default() }).await?;
        }
        let mut caller =
            Caller::new("buyer", cluster.boxes.iter().map(|it| it.address().to_owned()).collect());
        let first = caller.boxes().await?[0].address.clone();
        let call = Call {
            method: Method::POST,
            path: "/holds/transfer".to_owned(),
            headers: Vec::new(),
            body: "transfer 9".into(),
            once: true,
        };
        let sent = tokio::spawn(async move { caller.send(&call).await });
        tokio::time::sleep(Duration::from_millis(kill_after)).await;
        let home = cluster.boxes.iter().position(|it| it.address() == first);
        cluster.boxes[home.unwrap_or(0)].process.kill();
        let outcome = sent.await?;
        let runs = cluster.runs("transfer 9").await?;
        match outcome {
            Outcome::Answer(response) => {
                let body = response.into_body().collect().await?.to_bytes();
                let body = String::from_utf8_lossy(&body).into_owned();
                assert!(body.contains("\"run\":1"), "{body}");
            }
            Outcome::Problem(problem) if problem.ran == "no" => assert_eq!(runs, 0, "{problem:?}"),
            Outcome::Problem(problem) => assert_eq!(problem.ran, "unknown", "{problem:?}"),
            Outcome::Unreachable(reason) => panic!("two boxes are alive: {reason}"),
        }
        assert!(runs <= 1, "the call ran {runs} times");
    }
    Ok(())
}

/// A box and an engine are killed while the store is unreachable; requests must still be answered.
#[tokio::test]
async fn joint_deaths_cut_answer() -> eyre::Result<()> {
    let plan = Plan { boxes: 3, decodes: 3, services: 2, token_ms: 20, ..Plan::default() };
    let mut cluster = Cluster::start(plan).await?;
    let faults = hollyspoke_standin::platform::Faults { down: true, ..Default::default() };
    cluster.platform.faults(&faults).await?;
    let address = cluster.boxes[2].address().to_owned();
    let stream = tokio::spawn(async move {
        let response = CallerRequest::generate("double", 200, true).begin(&address).await?;
        eyre::Ok(read_stream(response).await)
    });
    cluster.wait_engines("no decode begins", |it| it[1..].iter().any(|e| e.decodes > 0)).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let busy = cluster.engines().await[1..].iter().position(|it| it.decodes > 0).unwrap_or(0);
    cluster.boxes[0].process.kill();
    cluster.decodes[busy].kill();
    let (text, ended) = stream.await??;
    assert!(ended, "{text}");
    assert_eq!(text, answer::whole("double", 200));
    let hold = CallerRequest::hold("hold double").send(cluster.boxes[2].address()).await;
    assert!(hold.is_answer(), "{hold:?}");
    assert_eq!(cluster.runs("hold double").await?, 1);
    until(SOON, "memory stays held", async || {
        cluster.engines().await.iter().all(|it| it.used_tokens == 0)
    })
    .await
}
