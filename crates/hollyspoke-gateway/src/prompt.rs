//! Which engines keep a prompt in their memory, so that a request that comes again with the same
//! prompt need not have it read anew.
//!
//! An engine keeps what it has read until newer prompts displace it. What is noted here is a hint:
//! an engine that no longer keeps a prompt reads it itself.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::EngineKey;

/// How long an engine is taken to keep a prompt. A run may take some seconds of it.
const CACHE_TTL: Duration = Duration::from_secs(12);

/// The most engines noted for one prompt.
const MAX_ENGINES_COUNT: usize = 2;

/// The short name of a prompt: a hash of the platform's name for its last part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PromptKey(pub u64);

impl PromptKey {
    /// Makes the key of a name.
    pub fn of(name: &str) -> PromptKey {
        PromptKey(xxh3_64(name.as_bytes()))
    }
}

/// An engine that keeps a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrompt {
    /// The prompt.
    pub prompt: PromptKey,
    /// The engine.
    pub engine: EngineKey,
}

/// The engines that keep one prompt.
#[derive(Debug, Clone, Default)]
struct CachingEngines {
    /// The engines, the newest last.
    engines: Vec<EngineKey>,
    /// When one was last noted.
    noted: Time,
}

/// The prompts that engines have read of late.
#[derive(Debug, Clone, Default)]
pub struct Prompts {
    /// The engines that keep each prompt.
    caching_engines: HashMap<PromptKey, CachingEngines>,
    /// When each prompt was noted, the oldest first.
    noted: VecDeque<(Time, PromptKey)>,
    /// What this box has seen itself and not told yet.
    unannounced: Vec<CachedPrompt>,
}

impl Prompts {
    /// Notes what this box has seen, to be told to others.
    pub fn observe(&mut self, cached: CachedPrompt, now: Time) {
        self.record(cached, now);
        self.unannounced.push(cached);
    }

    /// Notes that an engine keeps a prompt.
    pub fn record(&mut self, cached: CachedPrompt, now: Time) {
        self.remove_expired(now);
        let caching_engines = self.caching_engines.entry(cached.prompt).or_default();
        caching_engines.noted = now;
        caching_engines.engines.retain(|it| *it != cached.engine);
        caching_engines.engines.push(cached.engine);
        if caching_engines.engines.len() > MAX_ENGINES_COUNT {
            caching_engines.engines.remove(0);
        }
        self.noted.push_back((now, cached.prompt));
    }

    /// Gives the engines that keep a prompt, the newest first.
    pub fn caching_engines(&self, prompt: PromptKey) -> impl Iterator<Item = EngineKey> {
        let caching_engines = self.caching_engines.get(&prompt);
        let engines = caching_engines.map(|it| it.engines.as_slice()).unwrap_or_default();
        engines.iter().rev().copied()
    }

    /// Notes that an engine keeps nothing any more.
    pub fn forget(&mut self, engine: EngineKey) {
        for caching_engines in self.caching_engines.values_mut() {
            caching_engines.engines.retain(|it| *it != engine);
        }
        self.unannounced.retain(|it| it.engine != engine);
    }

    /// Tells whether something is to be told to others.
    pub fn has_unannounced(&self) -> bool {
        !self.unannounced.is_empty()
    }

    /// Gives what is to be told to others.
    pub fn take_unannounced(&mut self) -> Vec<CachedPrompt> {
        std::mem::take(&mut self.unannounced)
    }

    /// Drops prompts that were not noted of late.
    fn remove_expired(&mut self, now: Time) {
        while let Some(&(noted, prompt)) = self.noted.front() {
            if now.since(noted) < CACHE_TTL {
                return;
            }
            self.noted.pop_front();
            if self.caching_engines.get(&prompt).is_some_and(|it| it.noted <= noted) {
                self.caching_engines.remove(&prompt);
            }
        }
    }
}
