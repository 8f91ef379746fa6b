//! The customers of a run, their keys and their limits. Each version of the configuration contains
//! the keys of its own number and of the one before, so each change adds and removes keys.

use hollyspoke::quota::{Limit, Tolerance};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::mutant::Mutant;
use crate::observation::Kind;

/// The prefix of all keys, by which they are searched for where they must not be.
pub const KEY_MARK: &str = "soak-key-";

/// The customers. The last has a limit.
pub const CUSTOMERS: [&str; 4] = ["press", "town", "school", "night"];

/// The ranks of the customers, 0 being the most urgent.
const RANKS: [u8; 4] = [0, 1, 2, 2];

/// The limit of the last customer, in tokens; its clients request about three times as much.
pub const LIMIT: Limit = Limit { rate: 5000.0, burst: 5000.0 };

/// How much the limit may be exceeded: the documented share, and a slack of about six requests.
pub const TOLERANCE: Tolerance =
    Tolerance { window: std::time::Duration::from_secs(8), overrun: 0.1, slack: 20_000.0 };

/// The units of a request that states no number of tokens.
pub const PLAIN_TOKENS: u64 = 200;

/// The maximum number of tokens of an answer that clients request.
pub const ANSWER_TOKENS: u64 = 200;

/// The number of versions that contain a key.
pub const HELD_FOR: u64 = 2;

/// The customer and key of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The customer; empty for none.
    pub customer: String,
    /// The version that introduced the key; `None` for an unknown key.
    pub key: Option<u64>,
    /// The units that the request counts against a limit.
    pub units: u64,
}

impl Caller {
    /// Returns the text of the key as it is sent.
    pub fn text(&self) -> String {
        match self.key {
            Some(version) => key(&self.customer, version),
            None => format!("{KEY_MARK}{}-made-up", self.customer),
        }
    }

    /// Returns whether the customer has a limit.
    pub fn is_limited(&self) -> bool {
        is_limited(&self.customer)
    }

    /// Returns whether a version contains the key.
    pub fn is_held_by(&self, version: u64) -> bool {
        self.key.is_some_and(|it| (it..it + HELD_FOR).contains(&version))
    }
}

/// Returns whether a customer has a limit.
pub fn is_limited(customer: &str) -> bool {
    CUSTOMERS.last() == Some(&customer)
}

/// Returns a customer's rank, 0 being the most urgent.
pub fn rank(customer: &str) -> u8 {
    let place = CUSTOMERS.iter().position(|&it| it == customer);
    place.and_then(|it| RANKS.get(it)).copied().unwrap_or(RANKS[RANKS.len() - 1])
}

/// Returns the units that a request counts against a limit.
pub fn units(kind: Kind, prompt_tokens: u64) -> u64 {
    if kind.is_stream() { prompt_tokens + ANSWER_TOKENS } else { PLAIN_TOKENS }
}

/// Returns the customers in a version of the configuration.
pub fn customers(version: u64, mutant: Option<Mutant>) -> Value {
    let oldest = match mutant {
        Some(Mutant::KeepsKeys) => 0,
        _ => (version + 1).saturating_sub(HELD_FOR),
    };
    let all = CUSTOMERS.iter().map(|&name| {
        let keys: Vec<_> = (oldest..=version).map(|it| key(name, it)).collect();
        let is_forgotten = mutant == Some(Mutant::ForgetsKeys) && name == CUSTOMERS[1];
        let keys = if is_forgotten { Vec::new() } else { keys };
        let is_limited = is_limited(name) || mutant == Some(Mutant::LimitsAll);
        let times = if mutant == Some(Mutant::LiftsLimit) { 20.0 } else { 1.0 };
        let rate = if is_limited { LIMIT.rate * times } else { 0.0 };
        let burst = if is_limited { LIMIT.burst * times } else { 0.0 };
        json!({"name": name, "apiKeys": keys, "priority": rank(name), "unit": "token_stream",
            "plainTokens": PLAIN_TOKENS, "ratePerS": rate, "burstSize": burst})
    });
    all.collect()
}

/// Returns a customer's key that a version introduced.
fn key(customer: &str, version: u64) -> String {
    format!("{KEY_MARK}{customer}-{version}")
}
