//! The users' past incidents, by their names.

use std::time::Duration;

use hollyspoke_cli::caller::{Call, Caller, Outcome};
use hollyspoke_standin::answer;
use hollyspoke_standin::service;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON, until};
use hollyspoke_tests::request::{CallerRequest, CallerResponse, key_of, read_stream};
use http::Method;
use http_body_util::BodyExt;

/// Carnival Monday: lot reprints press on the counters' engines. The counters are served before
/// them, and every reprint gets its answer or a refusal at once with a time to come back.
#[tokio::test]
async fn lot_reprints_backed_up() -> eyre::Result<()> {
    let plan = Plan { decodes: 1, memory_tokens: 1500, token_ms: 2, ..Plan::default() };
    let cluster = Cluster::start(plan).await?;
    let mut reprints = Vec::new();
    for number in 0..60 {
        let address = cluster.boxes[number % 2].address().to_owned();
        let lot = CallerRequest::generate(&format!("lot {number}"), 400, false);
        let lot = lot.header("hollyspoke-class", "2");
        reprints.push(tokio::spawn(async move { lot.send(&address).await }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let begun = tokio::time::Instant::now();
    let counter =
        CallerRequest::generate("counter", 20, false).send(cluster.boxes[0].address()).await;
    assert_eq!(counter.text()?, answer::whole("counter", 20));
    assert!(begun.elapsed() < Duration::from_secs(3), "the counter waited {:?}", begun.elapsed());
    let (mut answered, mut refused) = (0, 0);
    for reprint in reprints {
        match reprint.await? {
            CallerResponse::Answer { status: 200, .. } => answered += 1,
            CallerResponse::Problem(problem) => {
                assert_eq!(problem.ran, "no", "{problem:?}");
                assert!(problem.retry_after_ms.is_some(), "{problem:?}");
                refused += 1;
            }
            other => panic!("a reprint vanished: {other:?}"),
        }
    }
    println!("{answered} reprints answered, {refused} told when to come back");
    assert!(answered > 0 && answered + refused == 60);
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// Certificates came out doubled: an impatient counter sends the same order again and again, to
/// every box, while the first still runs and its answer is slow.
#[tokio::test]
async fn doubled_certificates() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 3, services: 2, ..Plan::default() }).await?;
    for service in &cluster.services {
        service.faults(&service::Faults { delay_ms: 700, ..Default::default() }).await?;
    }
    let order = CallerRequest::hold("certificate 7").key(&key_of(&cluster.boxes[0], 7));
    let sends = (0..9).map(|it| order.send(cluster.boxes[it % 3].address()));
    let got = futures::future::join_all(sends).await;
    assert_eq!(got.iter().filter(|it| it.is_answer()).count(), 1, "{got:?}");
    assert_eq!(cluster.runs("certificate 7").await?, 1, "one certificate was printed");
    Ok(())
}

/// A citation check vanished: its box died in the middle. The caller learns of it, and the check
/// is answered whole at another box under the same key.
#[tokio::test]
async fn vanished_citation_check() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { boxes: 3, token_ms: 20, ..Plan::default() }).await?;
    let check = CallerRequest::generate("citation", 150, true).key(&key_of(&cluster.boxes[0], 8));
    let response = check.begin(cluster.boxes[0].address()).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.boxes[0].process.kill();
    let (_, ended) = read_stream(response).await;
    assert!(!ended, "the broken answer does not look whole");
    let again = check.begin(cluster.boxes[1].address()).await?;
    let (text, ended) = read_stream(again).await;
    assert!(ended, "{text}");
    assert_eq!(text, answer::whole("citation", 150));
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// Hold confirmations were lost: the connection breaks after the hold was sent. The buyer's app
/// asks again with the same key and gets the one confirmation.
#[tokio::test]
async fn lost_hold_confirmations() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 2, services: 2, ..Plan::default() }).await?;
    for service in &cluster.services {
        service.faults(&service::Faults { delay_ms: 300, ..Default::default() }).await?;
    }
    for seat in 0..10 {
        let body = format!("hold seat {seat}");
        let hold = CallerRequest::hold(&body).key(&key_of(&cluster.boxes[0], 100 + seat));
        let home = cluster.boxes[0].address();
        let lost = tokio::time::timeout(Duration::from_millis(100), hold.send(home)).await;
        assert!(lost.is_err(), "the first connection is dropped");
        let CallerResponse::Answer { body: confirmation, .. } =
            hold.send(cluster.boxes[1].address()).await
        else {
            panic!("no confirmation of {body}");
        };
        assert!(confirmation.contains("\"run\":1"), "{confirmation}");
        assert_eq!(cluster.runs(&body).await?, 1);
    }
    Ok(())
}

/// A transfer went through twice: a caller that follows the rules sends a transfer while its box
/// dies, at any moment; it runs at most once, whatever the caller is told.
#[tokio::test]
async fn transfer_twice() -> eyre::Result<()> {
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
            Outcome::Unreachable(why) => panic!("two boxes live: {why}"),
        }
        assert!(runs <= 1, "the transfer ran {runs} times");
    }
    Ok(())
}

/// Everything at once and twice: the home and an engine die while the store is away.
#[tokio::test]
async fn twice_at_once() -> eyre::Result<()> {
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
