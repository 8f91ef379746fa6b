//! Sends requests that crash their upstreams, repeatedly and to any box.

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

/// The kinds of harmful requests.
const KINDS: [Kind; 2] = [Kind::Safe, Kind::Resumed];

/// The time without harmful requests at the start.
const WARM_UP: Duration = Duration::from_millis(1500);

/// The range of the time between two harmful requests, in milliseconds.
const PAUSE_MS: (u64, u64) = (200, 700);

/// The number of their client, above those of all others.
const CLIENT: usize = 900;

/// The number of tokens of their prompts.
const PROMPT_TOKENS: u64 = 1000;

/// Sends harmful requests until the clients are stopped.
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
            // All boxes know the key of the version before the newest.
            let key = Some(shared.version.get().saturating_sub(1));
            let caller = Caller {
                customer: CUSTOMERS[0].to_owned(),
                key,
                units: units(kind, PROMPT_TOKENS),
            };
            let deadline = Instant::now() + PLAIN_DEADLINE;
            let wanted = Wanted {
                kind,
                path,
                body: Bytes::from(body),
                after: 0,
                caller,
                deadline,
                received: Rc::default(),
            };
            client.forget_connection();
            client.attempt(&wanted, None).await;
        }
        let pause = random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
