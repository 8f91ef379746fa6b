//! Orders to engines under a lease: a holder that was frozen or has died orders nothing older.

use std::time::Duration;

use hollyspoke_standin::engine::Ledger;
use hollyspoke_tests::cluster::{Cluster, Plan, until};

/// How long a new holder may take: the lease's time, a margin, and the wait for old orders.
const TAKE_OVER: Duration = Duration::from_secs(30);

/// A site whose engines take orders, with an adapter.
async fn site() -> eyre::Result<Cluster> {
    let more = "adapters = [\"bylaws\"]".to_owned();
    Cluster::start(Plan { boxes: 3, orders: true, more, ..Plan::default() }).await
}

/// Waits until every engine has loaded an adapter.
async fn wait_loaded(cluster: &Cluster, adapter: &str) -> eyre::Result<()> {
    until(TAKE_OVER, "the adapter is not loaded everywhere", async || {
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

/// Finds the box that gave an order last, by its log.
fn holder(cluster: &Cluster) -> Option<usize> {
    let ordered = |it: &String| it.contains("is ordered");
    cluster.boxes.iter().position(|it| it.process.lines().iter().any(ordered))
}

/// The file's model and adapters are loaded.
#[tokio::test]
async fn file_is_loaded() -> eyre::Result<()> {
    let cluster = site().await?;
    wait_loaded(&cluster, "bylaws").await?;
    let ledgers = cluster.engines().await;
    assert!(ledgers.iter().all(|it| it.loaded == ["m", "bylaws"]), "{ledgers:?}");
    assert_in_order(&cluster).await;
    Ok(())
}

/// The holder is frozen beyond its lease; another one orders, and the first wakes.
#[tokio::test]
async fn frozen_holder() -> eyre::Result<()> {
    let mut cluster = site().await?;
    wait_loaded(&cluster, "bylaws").await?;
    let first = holder(&cluster).expect("some box has ordered");
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

/// The holder dies and the store loses answers; another one takes over.
#[tokio::test]
async fn dead_holder() -> eyre::Result<()> {
    let mut cluster = site().await?;
    wait_loaded(&cluster, "bylaws").await?;
    let first = holder(&cluster).expect("some box has ordered");
    cluster.boxes[first].process.kill();
    cluster.plan.more = "adapters = [\"lots\"]".to_owned();
    cluster.apply().await?;
    let faults = hollyspoke_standin::platform::Faults { lose_answers: true, ..Default::default() };
    cluster.platform.faults(&faults).await?;
    wait_loaded(&cluster, "lots").await?;
    assert_in_order(&cluster).await;
    Ok(())
}
