//! One engine in a shard's ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::health::Health;
use crate::site::{DataCentreId, Role};
use crate::time::Time;

/// An engine's state in the ledger.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The engine's address.
    pub address: String,
    /// The engine's data centre.
    pub data_centre: DataCentreId,
    /// The engine's role.
    pub role: Role,
    /// The capacity of its KV cache, in tokens.
    pub memory_tokens: u64,
    /// The configured prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// The time to generate one token.
    pub token_time: Duration,
    /// Whether it is shutting down, according to the site file or its own report, and gets no new
    /// work.
    pub leaving: bool,
    /// The decode memory granted, in tokens.
    pub reserved: u64,
    /// When it is expected to have finished all granted prefills.
    pub prefill_free_at: Time,
    /// The ratio of the actual to the configured prefill time; 1 means as configured.
    pub slowness: f64,
    /// The memory in use according to its last report, in tokens.
    pub reported: Option<u64>,
    /// Until when it gets no new grants after it refused one for lack of memory.
    pub full_until: Time,
    /// Failures and ejections.
    pub health: Health,
    /// Whether the last ejection came while polls failed, so that an answered poll ends it.
    pub is_out_for_silence: bool,
    /// When each prefix was last computed here; a hint that expires.
    pub prefixes: BTreeMap<u32, Time>,
    /// Consecutive failed polls without a successful request in between.
    pub failed_polls: u32,
    /// Whether it is considered dead because its polls fail.
    pub is_unresponsive: bool,
}

impl Engine {
    /// Creates an engine's state from its entry in the site file.
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
            is_out_for_silence: false,
            prefixes: BTreeMap::new(),
            failed_polls: 0,
            is_unresponsive: false,
        }
    }

    /// Returns whether the engine may get new work.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.leaving && !self.health.is_out(now) && !self.is_unresponsive
    }

    /// Records that a request succeeded here, which proves as much as a report that the engine is
    /// alive.
    pub fn succeed(&mut self, now: Time) {
        self.health.succeed(now);
        self.failed_polls = 0;
        self.is_unresponsive = false;
    }

    /// Returns the memory that can still be granted, in tokens.
    ///
    /// A reported use above the reserved memory means that there are streams that the ledger does
    /// not know yet.
    pub fn free_tokens(&self, now: Time) -> u64 {
        let used = self.reserved.max(self.reported.unwrap_or(0));
        let ceiling = self.memory_tokens as f64 * self.health.weight(now);
        (ceiling as u64).saturating_sub(used)
    }
}
