//! Which engines have a prompt cached, so that a repeated request with the same prompt need not
//! prefill it again.
//!
//! An engine caches a prompt until newer prompts displace it. The records here are hints: an engine
//! that no longer has a prompt cached prefills it itself.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::EngineKey;

/// How long an engine is assumed to have a prompt cached. A run may take several seconds of this
/// time.
const CACHE_TTL: Duration = Duration::from_secs(12);

/// The maximum number of engines recorded per prompt.
const MAX_ENGINES_COUNT: usize = 2;

/// The key of a prompt: a hash of the platform's name for its last part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PromptKey(pub u64);

impl PromptKey {
    /// Computes the key of a name.
    pub fn of(name: &str) -> PromptKey {
        PromptKey(xxh3_64(name.as_bytes()))
    }
}

/// The fact that an engine has a prompt cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrompt {
    /// The cached prompt.
    pub prompt: PromptKey,
    /// The engine that has it cached.
    pub engine: EngineKey,
}

/// The engines that have one prompt cached.
#[derive(Debug, Clone, Default)]
struct CachingEngines {
    /// The engines, newest last.
    engines: Vec<EngineKey>,
    /// When the latest of them was recorded.
    recorded_at: Time,
}

/// The prompts that engines have recently prefilled.
#[derive(Debug, Clone, Default)]
pub struct Prompts {
    /// The engines that have each prompt cached.
    caching_engines: HashMap<PromptKey, CachingEngines>,
    /// When each prompt was recorded, oldest first.
    recorded_at: VecDeque<(Time, PromptKey)>,
    /// What this box has observed and not yet announced to other boxes.
    unannounced: Vec<CachedPrompt>,
}

impl Prompts {
    /// Records what this box has observed, for announcement to other boxes.
    pub fn observe(&mut self, cached: CachedPrompt, now: Time) {
        self.record(cached, now);
        self.unannounced.push(cached);
    }

    /// Records that an engine has a prompt cached.
    pub fn record(&mut self, cached: CachedPrompt, now: Time) {
        self.remove_expired(now);
        let caching_engines = self.caching_engines.entry(cached.prompt).or_default();
        caching_engines.recorded_at = now;
        caching_engines.engines.retain(|it| *it != cached.engine);
        caching_engines.engines.push(cached.engine);
        if caching_engines.engines.len() > MAX_ENGINES_COUNT {
            caching_engines.engines.remove(0);
        }
        self.recorded_at.push_back((now, cached.prompt));
    }

    /// Returns the engines that have a prompt cached, newest first.
    pub fn caching_engines(&self, prompt: PromptKey) -> impl Iterator<Item = EngineKey> {
        let caching_engines = self.caching_engines.get(&prompt);
        let engines = caching_engines.map(|it| it.engines.as_slice()).unwrap_or_default();
        engines.iter().rev().copied()
    }

    /// Records that an engine has no prompts cached any more.
    pub fn forget(&mut self, engine: EngineKey) {
        for caching_engines in self.caching_engines.values_mut() {
            caching_engines.engines.retain(|it| *it != engine);
        }
        self.unannounced.retain(|it| it.engine != engine);
    }

    /// Returns whether something remains to be announced to other boxes.
    pub fn has_unannounced(&self) -> bool {
        !self.unannounced.is_empty()
    }

    /// Returns what remains to be announced to other boxes, and clears it.
    pub fn take_unannounced(&mut self) -> Vec<CachedPrompt> {
        std::mem::take(&mut self.unannounced)
    }

    /// Removes prompts that were not recorded recently.
    fn remove_expired(&mut self, now: Time) {
        while let Some(&(recorded_at, prompt)) = self.recorded_at.front() {
            if now.since(recorded_at) < CACHE_TTL {
                return;
            }
            self.recorded_at.pop_front();
            if self.caching_engines.get(&prompt).is_some_and(|it| it.recorded_at <= recorded_at) {
                self.caching_engines.remove(&prompt);
            }
        }
    }
}
