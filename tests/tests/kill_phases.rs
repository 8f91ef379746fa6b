//! The front, the owner or the box that is both is killed in a phase of a request, and memory stays
//! held.

use std::time::Duration;

use hollyspoke_standin::engine::{Faults, Ledger};
use hollyspoke_tests::cluster::{Cluster, Plan};
use hollyspoke_tests::request::{CallerRequest, read_stream};

/// How long memory may stay held after the last process that knew of it was killed.
const MAX_HELD: Duration = Duration::from_secs(15);

/// The phase of the request in which a box is killed.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// The prompt is being prefilled.
    Prefill,
    /// The KV cache is being transferred.
    Transfer,
    /// Tokens are being decoded.
    Decode,
}

/// All phases, in the order of a request.
const PHASES: [Phase; 3] = [Phase::Prefill, Phase::Transfer, Phase::Decode];

/// The box that is killed.
#[derive(Debug, Clone, Copy)]
enum Victim {
    /// The front, which is not the owner.
    Front,
    /// The owner, which is not the front; the caller disconnects afterwards.
    Owner,
    /// The box that is both front and owner.
    Both,
}

/// Stalls a request in the phase, kills the box, and waits until the memory is free.
async fn kill_in_phase(phase: Phase, victim: Victim) -> eyre::Result<()> {
    let mut cluster = Cluster::start(Plan { boxes: 3, token_ms: 20, ..Plan::default() }).await?;
    let owner = cluster.owner().await?;
    let front = match victim {
        Victim::Front | Victim::Owner => (owner + 1) % 3,
        Victim::Both => owner,
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
    match victim {
        Victim::Front | Victim::Both => cluster.boxes[front].process.kill(),
        Victim::Owner => {
            cluster.boxes[owner].process.kill();
            caller.abort();
        }
    }
    let took = cluster.wait_memory_free(MAX_HELD).await?;
    println!("{victim:?} killed in {phase:?}: memory released after {took:?}");
    caller.abort();
    Ok(())
}

/// The owner must free the memory of a front that was killed.
#[tokio::test]
async fn front_death_holds_memory() -> eyre::Result<()> {
    for phase in PHASES {
        kill_in_phase(phase, Victim::Front).await?;
    }
    Ok(())
}

/// The front must free the memory after the owner was killed and the caller has disconnected.
#[tokio::test]
async fn owner_death_holds_memory() -> eyre::Result<()> {
    for phase in PHASES {
        kill_in_phase(phase, Victim::Owner).await?;
    }
    Ok(())
}

/// A new owner must free the memory after the box that was front and owner was killed.
#[tokio::test]
async fn joint_death_holds_memory() -> eyre::Result<()> {
    for phase in PHASES {
        kill_in_phase(phase, Victim::Both).await?;
    }
    Ok(())
}
