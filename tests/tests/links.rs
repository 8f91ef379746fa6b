//! Connections that are cut, and connections that stay open with nothing passing.

use std::time::Duration;

use hollyspoke_standin::answer;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON, until};
use hollyspoke_tests::link::{Link, Mode};
use hollyspoke_tests::request::{CallerRequest, read_stream};

/// A site whose decode engines are reached over links.
async fn linked() -> eyre::Result<(Cluster, Vec<Link>)> {
    let mut cluster = Cluster::start(Plan { token_ms: 20, ..Plan::default() }).await?;
    let mut links = Vec::new();
    for decode in &mut cluster.decodes {
        let link = Link::open(&decode.address).await?;
        decode.address.clone_from(&link.address);
        links.push(link);
    }
    let version = cluster.apply().await?;
    cluster.wait_in_force(version).await?;
    Ok((cluster, links))
}

/// Sets the link of the decode engine at work, in the middle of an answer; gives the answer.
async fn fault_in_decode(mode: Mode) -> eyre::Result<()> {
    let (cluster, links) = linked().await?;
    let address = cluster.boxes[0].address().to_owned();
    let caller = tokio::spawn(async move {
        let response = CallerRequest::generate("over a link", 150, true).begin(&address).await?;
        eyre::Ok(read_stream(response).await)
    });
    cluster.wait_engines("no decode begins", |it| it[1..].iter().any(|e| e.decodes > 0)).await?;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let busy = usize::from(cluster.engines().await[1].decodes == 0);
    links[busy].set(mode);
    let (text, ended) = caller.await??;
    assert!(ended, "{text}");
    assert_eq!(text, answer::whole("over a link", 150));
    links[busy].set(Mode::Pass);
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// The connection to the decode engine is cut.
#[tokio::test]
async fn cut_stream() -> eyre::Result<()> {
    fault_in_decode(Mode::Cut).await
}

/// The connection to the decode engine stays open with nothing passing.
#[tokio::test]
async fn half_open_stream() -> eyre::Result<()> {
    fault_in_decode(Mode::Stall).await
}

/// The platform stays connected with nothing passing: boxes serve, and see the next version when
/// the path is whole again.
#[tokio::test]
async fn half_open_platform() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { boxes: 0, ..Plan::default() }).await?;
    let link = Link::open(&cluster.platform.address).await?;
    let direct = std::mem::replace(&mut cluster.platform.address, link.address.clone());
    for _ in 0..2 {
        cluster.add_box()?;
    }
    cluster.wait_for_members(2).await?;
    let version = cluster.store().get("sites", "test").await?.map_or(0, |it| it.version);
    cluster.wait_in_force(version).await?;
    link.set(Mode::Stall);
    cluster.platform.address = direct;
    let version = cluster.apply().await?;
    let got =
        CallerRequest::generate("meanwhile", 10, false).send(cluster.boxes[0].address()).await;
    assert_eq!(got.text()?, answer::whole("meanwhile", 10));
    until(SOON, "the silent store goes unnoticed", async || {
        cluster.boxes[0].status().await.is_ok_and(|it| !it.store_reachable)
    })
    .await?;
    link.set(Mode::Pass);
    let took = cluster.wait_in_force(version).await?;
    println!("in force {took:?} after the path to the platform was whole again");
    Ok(())
}

/// A caller's own connection stands still for long: the answer waits, and nothing else suffers.
#[tokio::test]
async fn half_open_caller() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { token_ms: 5, ..Plan::default() }).await?;
    let link = Link::open(cluster.boxes[0].address()).await?;
    let response = CallerRequest::generate("slow reader", 200, true).begin(&link.address).await?;
    link.set(Mode::Stall);
    cluster.wait_memory_free(SOON).await?;
    let got = CallerRequest::generate("other", 10, false).send(cluster.boxes[0].address()).await;
    assert_eq!(got.text()?, answer::whole("other", 10));
    link.set(Mode::Pass);
    let (text, ended) = read_stream(response).await;
    assert!(ended);
    assert_eq!(text, answer::whole("slow reader", 200));
    Ok(())
}
