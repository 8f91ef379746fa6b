//! Requests that crash the upstreams that run them, and come again at any box.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::client::{Client, PLAIN_DEADLINE, Shared, Wanted};
use crate::keys::{CUSTOMERS, Caller, units};
use crate::mutant::Mutant;
use crate::observation::Kind;
use crate::standin::engine::HARMFUL;

/// The kinds of requests that do so.
const KINDS: [Kind; 2] = [Kind::Safe, Kind::Resumed];

/// The time at the start in which none comes.
const WARM_UP: Duration = Duration::from_millis(1500);

/// The time between two of them, in milliseconds, at least and at most.
const PAUSE_MS: (u64, u64) = (200, 700);

/// The number of their client, beyond those of all others.
const CLIENT: usize = 900;

/// The tokens of their prompts.
const PROMPT_TOKENS: u64 = 1000;

/// Sends them until clients are told to end.
pub async fn run(shared: Rc<Shared>, mutant: Option<Mutant>) {
    let mut random = Pcg64Mcg::seed_from_u64(shared.seed ^ 0x4A12);
    let mut client = Client::new(shared.clone(), CLIENT);
    tokio::time::sleep(WARM_UP).await;
    while shared.is_running.get() {
        for kind in KINDS {
            let nonce: u64 = random.random();
            let varies = mutant == Some(Mutant::VariesHarm);
            let body = if varies { format!("harm {nonce:x}") } else { "harm".to_owned() };
            let path = format!("/{}{HARMFUL}", kind.route());
            // The version before the newest holds a key that all boxes know.
            let key = Some(shared.version.get().saturating_sub(1));
            let caller = Caller {
                customer: CUSTOMERS[0].to_owned(),
                key,
                units: units(kind, PROMPT_TOKENS),
            };
            let deadline = Instant::now() + PLAIN_DEADLINE;
            let wanted = Wanted { kind, path, body: Bytes::from(body), after: 0, caller, deadline };
            client.forget_connection();
            client.attempt(&wanted, None).await;
        }
        let pause = random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
