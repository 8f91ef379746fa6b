//! What a real daemon spends without requests: processor time and memory, sockets and all.
//!
//! `cargo build --release --workspace --bins && cargo bench --bench idle`.

use std::time::Duration;

use hollyspoke_tests::cluster::{Cluster, Plan};

/// How long each size is watched.
const WATCH: Duration = Duration::from_secs(10);

/// The sizes: boxes and engines that decode.
const SIZES: [(usize, usize); 5] = [(2, 3), (8, 3), (24, 3), (8, 15), (8, 63)];

/// Prints a row for each size: the owner of the engines, and the mean of the other boxes.
#[tokio::main]
async fn main() -> eyre::Result<()> {
    println!("| boxes | engines | owner, cores | others, cores | owner, MB | others, MB |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (boxes, decodes) in SIZES {
        let cluster = Cluster::start(Plan { boxes, decodes, ..Plan::default() }).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let owner = cluster.owner().await?;
        let usage = || -> Vec<(f64, f64)> {
            cluster.boxes.iter().filter_map(|it| it.process.usage()).collect()
        };
        let before = usage();
        tokio::time::sleep(WATCH).await;
        let after = usage();
        let cores: Vec<f64> =
            (0..boxes).map(|it| (after[it].0 - before[it].0) / WATCH.as_secs_f64()).collect();
        let others = |of: &dyn Fn(usize) -> f64| {
            let rest = (0..boxes).filter(|it| *it != owner);
            rest.map(of).sum::<f64>() / (boxes - 1) as f64
        };
        println!(
            "| {boxes} | {} | {:.4} | {:.4} | {:.1} | {:.1} |",
            decodes + 1,
            cores[owner],
            others(&|it| cores[it]),
            after[owner].1 / 1e6,
            others(&|it| after[it].1 / 1e6),
        );
    }
    Ok(())
}
