//! An upstream that is leaving gets no new work after a few seconds.

use std::time::Duration;

use hollyspoke_standin::engine;
use hollyspoke_standin::service;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON};
use hollyspoke_tests::request::CallerRequest;
use tokio::time::Instant;

/// Keeps sending small requests to every box until told to stop.
fn load(cluster: &Cluster, service: bool) -> Vec<tokio::task::JoinHandle<()>> {
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

/// Gives how long after a mark the last new work came, by the upstream's own ledger.
///
/// # Panics
///
/// When the upstream never had any work, since the test would then show nothing.
fn last_work(marked: Instant, idle_ms: Option<u64>) -> Duration {
    let idle = idle_ms.expect("the upstream had work before it was marked");
    marked.elapsed().saturating_sub(Duration::from_millis(idle))
}

/// An engine marked in the file.
#[tokio::test]
async fn marked_engine() -> eyre::Result<()> {
    let plan = Plan { boxes: 3, prefills: 2, decodes: 2, ..Plan::default() };
    let mut cluster = Cluster::start(plan).await?;
    let senders = load(&cluster, false);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let ledgers = cluster.engines().await;
    // The engine that works most is marked, of each role.
    let prefill = usize::from(ledgers[1].prefills > ledgers[0].prefills);
    let decode = usize::from(ledgers[3].decodes > ledgers[2].decodes);
    cluster.leaving = vec![format!("prefill-{prefill}"), format!("decode-{decode}")];
    let marked = Instant::now();
    cluster.apply().await?;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    for process in [&cluster.prefills[prefill], &cluster.decodes[decode]] {
        let ledger: engine::Ledger = process.ledger().await?;
        let last = last_work(marked, ledger.idle_ms);
        println!("last new work at a leaving engine {last:?} after the mark");
        assert!(last < Duration::from_secs(3), "new work came {last:?} after the mark");
    }
    let ledger: engine::Ledger = cluster.prefills[1 - prefill].ledger().await?;
    assert!(ledger.idle_ms.is_some_and(|it| it < 1000), "the load goes on elsewhere");
    senders.iter().for_each(|it| it.abort());
    Ok(())
}

/// An engine that says itself that it is leaving.
#[tokio::test]
async fn engine_says_so() -> eyre::Result<()> {
    let plan = Plan { boxes: 2, prefills: 1, decodes: 2, ..Plan::default() };
    let cluster = Cluster::start(plan).await?;
    let senders = load(&cluster, false);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.decodes[0].faults(&engine::Faults { leaving: true, ..Default::default() }).await?;
    let said = Instant::now();
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let ledger: engine::Ledger = cluster.decodes[0].ledger().await?;
    let last = last_work(said, ledger.idle_ms);
    assert!(last < Duration::from_secs(3), "new work came {last:?} after the engine's word");
    senders.iter().for_each(|it| it.abort());
    Ok(())
}

/// A plain upstream marked in the file, with the store gone right after.
#[tokio::test]
async fn marked_upstream() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { boxes: 3, services: 2, ..Plan::default() }).await?;
    let senders = load(&cluster, true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.leaving = vec!["holds-0".to_owned()];
    let marked = Instant::now();
    cluster.apply().await?;
    let faults = hollyspoke_standin::platform::Faults { down: true, ..Default::default() };
    cluster.platform.faults(&faults).await?;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let ledger: service::Ledger = cluster.services[0].ledger().await?;
    let last = last_work(marked, ledger.idle_ms);
    println!("last new work at a leaving upstream {last:?} after the mark");
    assert!(last < Duration::from_secs(3));
    senders.iter().for_each(|it| it.abort());
    Ok(())
}

/// A box cut off from the store and from all peers takes nothing new.
#[tokio::test]
async fn box_cut_off() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { services: 1, ..Plan::default() }).await?;
    cluster.boxes[1].process.kill();
    let faults = hollyspoke_standin::platform::Faults { down: true, ..Default::default() };
    cluster.platform.faults(&faults).await?;
    let address = cluster.boxes[0].address().to_owned();
    hollyspoke_tests::cluster::until(SOON, "the box goes on", async || {
        CallerRequest::hold("cut off").send(&address).await.slug() == "leaving"
    })
    .await?;
    cluster.platform.faults(&hollyspoke_standin::platform::Faults::default()).await?;
    hollyspoke_tests::cluster::until(SOON, "the box does not serve again", async || {
        CallerRequest::hold("back").send(&address).await.is_answer()
    })
    .await
}
