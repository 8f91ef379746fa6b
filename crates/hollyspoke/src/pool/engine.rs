//! One engine in a shard's ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::health::Health;
use crate::site::{DataCentreId, Role};
use crate::time::Time;

/// An engine's row.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its address.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its role.
    pub role: Role,
    /// The KV cache it can hold, in tokens.
    pub memory_tokens: u64,
    /// How fast it computes prompts, in tokens a second.
    pub prefill_rate: f64,
    /// How long a token takes.
    pub token_time: Duration,
    /// Whether it gets no new work, by the site's file or its own report.
    pub leaving: bool,
    /// The decode memory granted, in tokens.
    pub reserved: u64,
    /// When it is expected to have computed all prompts granted.
    pub prefill_free_at: Time,
    /// How much slower than the site's file says it computes prompts; 1 is as described.
    pub slowness: f64,
    /// The memory that its last report showed in use, in tokens.
    pub reported: Option<u64>,
    /// Until when it is given nothing after it refused for lack of room.
    pub full_until: Time,
    /// Its health.
    pub health: Health,
    /// When each prefix was last computed here; a hint that ages.
    pub prefixes: BTreeMap<u32, Time>,
    /// Failed polls in a row, without a success of a request between.
    pub failed_polls: u32,
    /// Whether it is taken to be dead for its silence.
    pub is_unresponsive: bool,
}

impl Engine {
    /// Makes an engine's row from the site's file.
    pub(super) fn new(engine: &crate::site::Engine) -> Engine {
        Engine {
            address: engine.address.clone(),
            data_centre: DataCentreId::of(&engine.data_centre),
            role: engine.role,
            memory_tokens: engine.memory_tokens,
            prefill_rate: engine.prefill_rate as f64,
            token_time: engine.token_time,
            leaving: engine.leaving,
            reserved: 0,
            prefill_free_at: Time::ZERO,
            slowness: 1.0,
            reported: None,
            full_until: Time::ZERO,
            health: Health::default(),
            prefixes: BTreeMap::new(),
            failed_polls: 0,
            is_unresponsive: false,
        }
    }

    /// Tells whether it may be given new work.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.leaving && !self.health.is_out(now) && !self.is_unresponsive
    }

    /// Notes that a request succeeded here, which is as good as a report.
    pub fn succeed(&mut self, now: Time) {
        self.health.succeed(now);
        self.failed_polls = 0;
        self.is_unresponsive = false;
    }

    /// Gives the memory that may still be granted, in tokens.
    ///
    /// A report above the ledger means streams that the ledger doesn't know of yet.
    pub fn free_tokens(&self, now: Time) -> u64 {
        let used = self.reserved.max(self.reported.unwrap_or(0));
        let ceiling = self.memory_tokens as f64 * self.health.weight(now);
        (ceiling as u64).saturating_sub(used)
    }
}
