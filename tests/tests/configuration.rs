//! A configuration that was accepted is in force everywhere within seconds, and never reverts.

use std::time::Duration;

use hollyspoke_cli::apply::{self, Applied};
use hollyspoke_standin::answer;
use hollyspoke_standin::platform::Faults;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON};
use hollyspoke_tests::process::run_cli;
use hollyspoke_tests::request::CallerRequest;

/// A site of four boxes.
async fn site() -> eyre::Result<Cluster> {
    Cluster::start(Plan { boxes: 4, ..Plan::default() }).await
}

/// Every accepted version is soon in force at every box.
#[tokio::test]
async fn in_force() -> eyre::Result<()> {
    let cluster = site().await?;
    let mut times = Vec::new();
    for _ in 0..5 {
        let version = cluster.apply().await?;
        times.push(cluster.wait_in_force(version).await?);
    }
    times.sort();
    println!("in force at 4 boxes: median {:?}, worst {:?}", times[2], times[4]);
    Ok(())
}

/// One box that holds the watch dies, and the store goes away right after the write.
#[tokio::test]
async fn store_goes_after_write() -> eyre::Result<()> {
    let mut cluster = site().await?;
    cluster.boxes[3].process.kill();
    cluster.boxes.remove(3);
    let version = cluster.apply().await?;
    cluster.platform.faults(&Faults { down: true, ..Faults::default() }).await?;
    let took = cluster.wait_in_force(version).await?;
    println!("in force at 3 boxes {took:?} after a write that the store's outage followed");
    let got =
        CallerRequest::generate("in the outage", 10, false).send(cluster.boxes[0].address()).await;
    assert_eq!(got.text()?, answer::whole("in the outage", 10));
    Ok(())
}

/// A box that starts while the store is away takes its peers' version.
#[tokio::test]
async fn start_without_store() -> eyre::Result<()> {
    let mut cluster = site().await?;
    let version = cluster.apply().await?;
    cluster.wait_in_force(version).await?;
    cluster.platform.faults(&Faults { down: true, ..Faults::default() }).await?;
    cluster.add_box()?;
    cluster.wait_in_force(version).await?;
    let got = CallerRequest::generate("new box", 10, false).send(cluster.boxes[4].address()).await;
    assert_eq!(got.text()?, answer::whole("new box", 10));
    Ok(())
}

/// The answer to an apply is lost: reading back settles it.
#[tokio::test]
async fn lost_answer() -> eyre::Result<()> {
    let cluster = site().await?;
    cluster.platform.faults(&Faults { lose_answers: true, ..Faults::default() }).await?;
    let applied = apply::apply(&cluster.store(), "test", &cluster.file(), None).await;
    let Applied::Accepted { version } = applied else { panic!("{applied:?}") };
    cluster.wait_in_force(version).await?;
    Ok(())
}

/// The write takes effect late, after the tool has tried again: it is accepted once.
#[tokio::test]
async fn late_write() -> eyre::Result<()> {
    let cluster = site().await?;
    let before = cluster.store().get("sites", "test").await?.map_or(0, |it| it.version);
    cluster.platform.faults(&Faults { late_ms: 2500, ..Faults::default() }).await?;
    let applied = apply::apply(&cluster.store(), "test", &cluster.file(), None).await;
    let Applied::Accepted { version } = applied else { panic!("{applied:?}") };
    assert!(version > before);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let after = cluster.store().get("sites", "test").await?.map_or(0, |it| it.version);
    assert_eq!(after, version, "none of the repeated writes took effect later");
    let ledger: hollyspoke_standin::platform::Ledger = cluster.platform.ledger().await?;
    assert_eq!(ledger.taken["sites/test"], 2, "the first apply and this one, each once");
    Ok(())
}

/// The platform is slow at every call: boxes serve, an apply is accepted and comes into force.
#[tokio::test]
async fn slow_store() -> eyre::Result<()> {
    let cluster = site().await?;
    cluster.platform.faults(&Faults { delay_ms: 1200, ..Faults::default() }).await?;
    let version = cluster.apply().await?;
    let took = cluster.wait_in_force(version).await?;
    println!("in force {took:?} after an apply at a store that is 1.2 s late");
    let got =
        CallerRequest::generate("slow store", 10, false).send(cluster.boxes[0].address()).await;
    assert_eq!(got.text()?, answer::whole("slow store", 10));
    Ok(())
}

/// The store is away when the site is started: boxes wait, and serve when it is back.
#[tokio::test]
async fn store_away_at_start() -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { boxes: 0, ..Plan::default() }).await?;
    cluster.platform.faults(&Faults { down: true, ..Faults::default() }).await?;
    for _ in 0..2 {
        cluster.add_box()?;
    }
    cluster.wait_for_members(2).await?;
    let early = CallerRequest::generate("early", 10, false).send(cluster.boxes[0].address()).await;
    assert_eq!(early.slug(), "unavailable", "{early:?}");
    cluster.platform.faults(&Faults::default()).await?;
    cluster.wait_in_force(1).await?;
    let got = CallerRequest::generate("later", 10, false).send(cluster.boxes[0].address()).await;
    assert_eq!(got.text()?, answer::whole("later", 10));
    Ok(())
}

/// Two operators apply at the same time, each having seen the same version: one is told.
#[tokio::test]
async fn operators_race() -> eyre::Result<()> {
    let cluster = site().await?;
    let folder = std::env::temp_dir().join(format!("hollyspoke-race-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    for round in 0..4 {
        let seen = cluster.store().get("sites", "test").await?.map_or(0, |it| it.version);
        let seen = seen.to_string();
        let mut paths = Vec::new();
        for operator in ["anna", "blas"] {
            let path = folder.join(format!("{operator}-{round}.toml"));
            let more = format!("\n[[tenant]]\nname = \"{operator}-{round}\"\n");
            std::fs::write(&path, cluster.file() + &more)?;
            paths.push(path.to_string_lossy().into_owned());
        }
        let platform = cluster.platform.address.as_str();
        let first = ["apply", &paths[0], "--platform", platform, "--seen", &seen];
        let second = ["apply", &paths[1], "--platform", platform, "--seen", &seen];
        let (first, second) = tokio::try_join!(run_cli(&first), run_cli(&second))?;
        let mut codes = [first.0, second.0];
        codes.sort_unstable();
        assert_eq!(codes, [0, 4], "{first:?} {second:?}");
        let (winner, loser) = if first.0 == 0 { ("anna", &second.1) } else { ("blas", &first.1) };
        assert!(loser.contains(&format!("-name = \"{winner}-{round}\"")), "{loser}");
        let version: u64 = seen.parse::<u64>()? + 1;
        cluster.wait_in_force(version).await?;
    }
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

/// A box that was frozen during changes catches up and never shows an older version again.
#[tokio::test]
async fn frozen_box() -> eyre::Result<()> {
    let cluster = site().await?;
    cluster.boxes[1].freeze();
    let mut version = 0;
    for _ in 0..3 {
        version = cluster.apply().await?;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    cluster.boxes[1].resume();
    let mut last = 0;
    let begun = tokio::time::Instant::now();
    while last < version && begun.elapsed() < SOON {
        let seen = cluster.boxes[1].status().await?.site_version;
        assert!(seen >= last, "version {seen} came after {last}");
        last = seen;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(last, version);
    Ok(())
}
