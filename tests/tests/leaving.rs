//! An upstream that is shutting down must not be sent new requests after a few seconds.

use std::time::Duration;

use hollyspoke_standin::engine;
use hollyspoke_standin::service;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON};
use hollyspoke_tests::request::CallerRequest;
use tokio::time::Instant;

/// Sends small requests to every box, one after another, until the tasks are aborted.
fn start_senders(cluster: &Cluster, service: bool) -> Vec<tokio::task::JoinHandle<()>> {
    let addresses: Vec<String> = cluster.boxes.iter().map(|it| it.address().to_owned()).collect();
    let sender = |address: String| {
        tokio::spawn(async move {
            for number in 0.. {
                let sending = match service {
                    true => CallerRequest::hold(&format!("{address} {number}")),
                    false => CallerRequest::generate(&format!("{address} {number}"), 8, false),
                };
                sending.send(&address).await;
            }
        })
    };
    addresses.into_iter().map(sender).collect()
}

/// Returns how long after a mark the last new request arrived, by the upstream's own ledger.
///
/// # Panics
///
/// Panics if the upstream never had a request, since the test would then show nothing.
fn last_request_after(marked_at: Instant, idle_ms: Option<u64>) -> Duration {
    let idle = idle_ms.expect("the upstream had no request before it was marked");
    marked_at.elapsed().saturating_sub(Duration::from_millis(idle))
}

/// An engine is marked as leaving in the site file.
#[tokio::test]
async fn marked_engine_gets_requests() -> eyre::Result<()> {
    let plan = Plan { boxes: 3, prefills: 2, decodes: 2, ..Plan::default() };
    let mut cluster = Cluster::start(plan).await?;
    let senders = start_senders(&cluster, false);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let ledgers = cluster.engines().await;
    // The busiest engine of each role is marked.
    let prefill = usize::from(ledgers[1].prefills > ledgers[0].prefills);
    let decode = usize::from(ledgers[3].decodes > ledgers[2].decodes);
    cluster.leaving = vec![format!("prefill-{prefill}"), format!("decode-{decode}")];
    let marked_at = Instant::now();
    cluster.apply().await?;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    for process in [&cluster.prefills[prefill], &cluster.decodes[decode]] {
        let ledger: engine::Ledger = process.ledger().await?;
        let last = last_request_after(marked_at, ledger.idle_ms);
        println!("last new request at an engine that is shutting down {last:?} after the mark");
        assert!(last < Duration::from_secs(3), "a new request arrived {last:?} after the mark");
    }
    let ledger: engine::Ledger = cluster.prefills[1 - prefill].ledger().await?;
    assert!(ledger.idle_ms.is_some_and(|it| it < 1000), "the other engine gets no requests");
    senders.iter().for_each(|it| it.abort());
    Ok(())
}

/// An engine reports that it is shutting down.
#[tokio::test]
async fn reporting_engine_gets_requests() -> eyre::Result<()> {
    let plan = Plan { boxes: 2, prefills: 1, decodes: 2, ..Plan::default() };
    let cluster = Cluster::start(plan).await?;
    let senders = start_senders(&cluster, false);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.decodes[0].faults(&engine::Faults { leaving: true, ..Default::default() }).await?;
    let reported_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let ledger: engine::Ledger = cluster.decodes[0].ledger().await?;
    let last = last_request_after(reported_at, ledger.idle_ms);
    assert!(
        last < Duration::from_secs(3),
        "a new request arrived {last:?} after the engine's report"
    );
    senders.iter().for_each(|it| it.abort());
    Ok(())
}

/// A plain upstream is marked in the site file, and the store is unreachable right afterwards.
#[tokio::test]
async fn marked_upstream_gets_requests() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { boxes: 3, services: 2, ..Plan::default() }).await?;
    let senders = start_senders(&cluster, true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.leaving = vec!["holds-0".to_owned()];
    let marked_at = Instant::now();
    cluster.apply().await?;
    let faults = hollyspoke_standin::platform::Faults { down: true, ..Default::default() };
    cluster.platform.faults(&faults).await?;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let ledger: service::Ledger = cluster.services[0].ledger().await?;
    let last = last_request_after(marked_at, ledger.idle_ms);
    println!("last new request at an upstream that is shutting down {last:?} after the mark");
    assert!(last < Duration::from_secs(3));
    senders.iter().for_each(|it| it.abort());
    Ok(())
}

/// A box that reaches neither the store nor a peer must reject new requests, until it reaches the
/// store again.
#[tokio::test]
async fn isolated_box_accepts_requests() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { services: 1, ..Plan::default() }).await?;
    cluster.boxes[1].process.kill();
    let faults = hollyspoke_standin::platform::Faults { down: true, ..Default::default() };
    cluster.platform.faults(&faults).await?;
    let address = cluster.boxes[0].address().to_owned();
    hollyspoke_tests::cluster::until(SOON, "the isolated box accepts requests", async || {
        CallerRequest::hold("cut off").send(&address).await.slug() == "leaving"
    })
    .await?;
    cluster.platform.faults(&hollyspoke_standin::platform::Faults::default()).await?;
    hollyspoke_tests::cluster::until(SOON, "the box does not serve again", async || {
        CallerRequest::hold("back").send(&address).await.is_answer()
    })
    .await
}
