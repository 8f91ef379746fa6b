//! Orders are sent to engines under a lease. A holder that was frozen or killed must not make an
//! engine carry out an older order after a newer one.

use std::time::Duration;

use hollyspoke_standin::engine::Ledger;
use hollyspoke_tests::cluster::{Cluster, Plan, until};

/// How long a new holder may take: the lease duration, a margin, and the wait for old orders.
const MAX_TAKEOVER: Duration = Duration::from_secs(30);

/// Starts a site whose engines accept orders, with an adapter.
async fn site() -> eyre::Result<Cluster> {
    let more = "adapters = [\"bylaws\"]".to_owned();
    Cluster::start(Plan { boxes: 3, orders: true, more, ..Plan::default() }).await
}

/// Waits until every engine has loaded an adapter.
async fn wait_loaded(cluster: &Cluster, adapter: &str) -> eyre::Result<()> {
    until(MAX_TAKEOVER, "the adapter is not loaded everywhere", async || {
        let ledgers = cluster.engines().await;
        ledgers.iter().all(|it| it.loaded.iter().any(|loaded| loaded == adapter))
    })
    .await
}

/// Asserts that no engine has carried out an older order after a newer one.
async fn assert_in_order(cluster: &Cluster) {
    for Ledger { orders, .. } in cluster.engines().await {
        assert!(orders.is_sorted(), "{orders:?}");
    }
}

/// Returns the first box whose log has an order.
fn ordering_box(cluster: &Cluster) -> Option<usize> {
    let ordered = |it: &String| it.contains("is ordered");
    cluster.boxes.iter().position(|it| it.process.lines().iter().any(ordered))
}

/// The model and the adapters of the site file are not loaded.
#[tokio::test]
async fn adapter_not_loaded() -> eyre::Result<()> {
    let cluster = site().await?;
    wait_loaded(&cluster, "bylaws").await?;
    let ledgers = cluster.engines().await;
    assert!(ledgers.iter().all(|it| it.loaded == ["m", "bylaws"]), "{ledgers:?}");
    assert_in_order(&cluster).await;
    Ok(())
}

/// The holder is frozen beyond its lease; it resumes after another box has sent orders.
#[tokio::test]
async fn frozen_holder_reorders() -> eyre::Result<()> {
    let mut cluster = site().await?;
    wait_loaded(&cluster, "bylaws").await?;
    let first = ordering_box(&cluster).expect("no box has sent an order");
    cluster.boxes[first].freeze();
    cluster.plan.more = "adapters = [\"bylaws\", \"lots\"]".to_owned();
    cluster.apply().await?;
    wait_loaded(&cluster, "lots").await?;
    cluster.boxes[first].resume();
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.plan.more = "adapters = [\"bylaws\", \"lots\", \"citations\"]".to_owned();
    cluster.apply().await?;
    wait_loaded(&cluster, "citations").await?;
    assert_in_order(&cluster).await;
    Ok(())
}

/// The holder is killed and the store loses answers; another box must take over.
#[tokio::test]
async fn dead_holder_blocks_orders() -> eyre::Result<()> {
    let mut cluster = site().await?;
    wait_loaded(&cluster, "bylaws").await?;
    let first = ordering_box(&cluster).expect("no box has sent an order");
    cluster.boxes[first].process.kill();
    cluster.plan.more = "adapters = [\"lots\"]".to_owned();
    cluster.apply().await?;
    let faults = hollyspoke_standin::platform::Faults { lose_answers: true, ..Default::default() };
    cluster.platform.faults(&faults).await?;
    wait_loaded(&cluster, "lots").await?;
    assert_in_order(&cluster).await;
    Ok(())
}
