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
const KEPT_FOR: Duration = Duration::from_secs(12);

/// The most engines noted for one prompt.
const MOST_ENGINES: usize = 2;

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
pub struct Kept {
    /// The prompt.
    pub prompt: PromptKey,
    /// The engine.
    pub engine: EngineKey,
}

/// The engines that keep one prompt.
#[derive(Debug, Clone, Default)]
struct Keepers {
    /// The engines, the newest last.
    engines: Vec<EngineKey>,
    /// When one was last noted.
    noted: Time,
}

/// The prompts that engines have read of late.
#[derive(Debug, Clone, Default)]
pub struct Prompts {
    /// The engines that keep each prompt.
    keepers: HashMap<PromptKey, Keepers>,
    /// When each prompt was noted, the oldest first.
    noted: VecDeque<(Time, PromptKey)>,
    /// What this box has seen itself and not told yet.
    untold: Vec<Kept>,
}

impl Prompts {
    /// Notes what this box has seen, to be told to others.
    pub fn see(&mut self, kept: Kept, now: Time) {
        self.note(kept, now);
        self.untold.push(kept);
    }

    /// Notes that an engine keeps a prompt.
    pub fn note(&mut self, kept: Kept, now: Time) {
        self.drop_old(now);
        let keepers = self.keepers.entry(kept.prompt).or_default();
        keepers.noted = now;
        keepers.engines.retain(|it| *it != kept.engine);
        keepers.engines.push(kept.engine);
        if keepers.engines.len() > MOST_ENGINES {
            keepers.engines.remove(0);
        }
        self.noted.push_back((now, kept.prompt));
    }

    /// Gives the engines that keep a prompt, the newest first.
    pub fn keepers(&self, prompt: PromptKey) -> impl Iterator<Item = EngineKey> {
        let keepers = self.keepers.get(&prompt);
        let engines = keepers.map(|it| it.engines.as_slice()).unwrap_or_default();
        engines.iter().rev().copied()
    }

    /// Notes that an engine keeps nothing any more.
    pub fn forget(&mut self, engine: EngineKey) {
        for keepers in self.keepers.values_mut() {
            keepers.engines.retain(|it| *it != engine);
        }
        self.untold.retain(|it| it.engine != engine);
    }

    /// Tells whether something is to be told to others.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Gives what is to be told to others.
    pub fn take_untold(&mut self) -> Vec<Kept> {
        std::mem::take(&mut self.untold)
    }

    /// Drops prompts that were not noted of late.
    fn drop_old(&mut self, now: Time) {
        while let Some(&(noted, prompt)) = self.noted.front() {
            if now.since(noted) < KEPT_FOR {
                return;
            }
            self.noted.pop_front();
            if self.keepers.get(&prompt).is_some_and(|it| it.noted <= noted) {
                self.keepers.remove(&prompt);
            }
        }
    }
}
