//! Sends requests that crash their upstreams, repeatedly and to any box: the same ones again, and
//! such that share only a part of their prompts.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::client::{Client, PLAIN_DEADLINE, Shared, Wanted};
use crate::keys::{CUSTOMERS, Caller, units};
use crate::mutant::Mutant;
use crate::observation::Kind;
use crate::standin::engine::{HARMFUL, HARMFUL_PART, WITH_HARMFUL_PART};

/// The kinds of harmful requests.
const KINDS: [Kind; 2] = [Kind::Safe, Kind::Resumed];

/// The time without harmful requests at the start.
const WARM_UP: Duration = Duration::from_millis(1500);

/// The range of the time between two harmful requests, in milliseconds.
const PAUSE_MS: (u64, u64) = (200, 700);

/// The number of their client, above those of all others.
const CLIENT: usize = 900;

/// The number of the client whose requests share a part of their prompts; it has the same customer.
const PART_CLIENT: usize = CLIENT + CUSTOMERS.len();

/// The kinds of requests with a harmful part in their prompts.
const PART_KINDS: [Kind; 2] = [Kind::Once, Kind::Resumed];

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
                shared_parts: Vec::new(),
                after: 0,
                caller,
                deadline,
                received: Rc::default(),
            };
            client.forget_connection();
            client.attempt(&wanted, None).await;
        }
        pause(&mut random).await;
    }
}

/// Sends requests with a harmful part in their prompts, no two alike, until the clients are stopped.
pub async fn run_parts(shared: Rc<Shared>, mutant: Option<Mutant>) {
    let mut random = Pcg64Mcg::seed_from_u64(shared.seed ^ 0x9A27);
    let mut client = Client::new(shared.clone(), PART_CLIENT);
    tokio::time::sleep(WARM_UP).await;
    while shared.is_running.get() {
        let kind = PART_KINDS.choose(&mut random).copied().unwrap_or(Kind::Once);
        let nonce: u64 = random.random();
        let is_renamed = mutant == Some(Mutant::RenamesPart);
        let name = if is_renamed { format!("{nonce:x}") } else { "1".to_owned() };
        let mut wanted = client.wanted(kind);
        wanted.path = format!("/{}{WITH_HARMFUL_PART}{nonce:x}", kind.route());
        wanted.shared_parts.push(format!("{HARMFUL_PART}{name}"));
        client.forget_connection();
        client.attempt(&wanted, None).await;
        pause(&mut random).await;
    }
}

/// Waits between two harmful requests.
async fn pause(random: &mut Pcg64Mcg) {
    let pause = random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
    tokio::time::sleep(Duration::from_millis(pause)).await;
}
