//! The front, the owner, or both die in each phase of a request: no memory stays held.

use std::time::Duration;

use hollyspoke_standin::engine::{Faults, Ledger};
use hollyspoke_tests::cluster::{Cluster, Plan};
use hollyspoke_tests::request::{CallerRequest, read_stream};

/// How long memory may stay held after the last process that knew of it has died.
const LIMIT: Duration = Duration::from_secs(15);

/// The phase in which a box dies.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// The prompt is being computed.
    Prefill,
    /// The result is crossing.
    Transfer,
    /// Tokens are coming.
    Decode,
}

/// The phases.
const PHASES: [Phase; 3] = [Phase::Prefill, Phase::Transfer, Phase::Decode];

/// Who dies.
#[derive(Debug, Clone, Copy)]
enum Dying {
    /// The front, which is not the owner.
    Front,
    /// The owner, which is not the front; the caller goes afterwards.
    Owner,
    /// The box that is both.
    Both,
}

/// Stalls the phase, brings a request there, has the boxes die, and waits for the memory.
async fn play(phase: Phase, dying: Dying) -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { boxes: 3, token_ms: 20, ..Plan::default() }).await?;
    let owner = cluster.owner().await?;
    let front = match dying {
        Dying::Front | Dying::Owner => (owner + 1) % 3,
        Dying::Both => owner,
    };
    for process in cluster.prefills.iter().chain(&cluster.decodes) {
        let stall_prefill = matches!(phase, Phase::Prefill);
        let stall_import = matches!(phase, Phase::Transfer);
        process.faults(&Faults { stall_prefill, stall_import, ..Faults::default() }).await?;
    }
    let address = cluster.boxes[front].address().to_owned();
    let caller = tokio::spawn(async move {
        if let Ok(response) = CallerRequest::generate("long", 2000, true).begin(&address).await {
            read_stream(response).await;
        }
    });
    let reached = |it: &[Ledger]| match phase {
        Phase::Prefill => it[0].used_tokens > 0,
        Phase::Transfer => it[1..].iter().any(|e| e.used_tokens > 0),
        Phase::Decode => it[1..].iter().any(|e| e.decodes > 0),
    };
    cluster.wait_engines("the phase is not reached", reached).await?;
    match dying {
        Dying::Front | Dying::Both => cluster.boxes[front].process.kill(),
        Dying::Owner => {
            cluster.boxes[owner].process.kill();
            caller.abort();
        }
    }
    let took = cluster.wait_memory_free(LIMIT).await?;
    println!("{dying:?} died in {phase:?}: memory released after {took:?}");
    caller.abort();
    Ok(())
}

/// The front dies.
#[tokio::test]
async fn front_dies() -> eyre::Result<()> {
    for phase in PHASES {
        play(phase, Dying::Front).await?;
    }
    Ok(())
}

/// The owner dies, and the caller goes.
#[tokio::test]
async fn owner_dies() -> eyre::Result<()> {
    for phase in PHASES {
        play(phase, Dying::Owner).await?;
    }
    Ok(())
}

/// Front and owner are one box, which dies.
#[tokio::test]
async fn both_die() -> eyre::Result<()> {
    for phase in PHASES {
        play(phase, Dying::Both).await?;
    }
    Ok(())
}
