//! Restores the store from an older copy. The operator and the upstreams rewrite what it has lost,
//! but not what the boxes had written.

use std::rc::Rc;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;

use crate::cluster::Cluster;
use crate::faults::drain;
use crate::observation::{MILLISECOND, What};
use crate::standin::store::{Command, Mood};

/// How long after the restore the operator and the upstreams rewrite their objects.
const WRITES_AFTER: Duration = Duration::from_millis(120);

/// Makes the store unavailable for a duration, then restores it from a copy of some age. Right
/// after that, an upstream's entry is marked as draining.
pub(crate) async fn come_back(
    cluster: &Rc<Cluster>,
    age: Duration,
    span: Duration,
    random: &mut Pcg64Mcg,
) -> eyre::Result<()> {
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let disturbed = u64::try_from((span + WRITES_AFTER).as_micros()).unwrap_or(u64::MAX);
    cluster.see(What::StoreDisturbed { span: disturbed + MILLISECOND });
    cluster.command(&Command::Mood(Mood::Silent)).await;
    tokio::time::sleep(span).await;
    cluster.command(&Command::Restore { age_ms }).await;
    cluster.command(&Command::Mood(Mood::Well)).await;
    tokio::time::sleep(WRITES_AFTER).await;
    cluster.write_again().await;
    drain(cluster, random).await
}
