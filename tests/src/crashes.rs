//! Requests that crash the engines that run them, and the effects on them and on other requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::effect::{NotRunReason, Refusal};
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::request::RequestKey;

/// The time that a harmful request runs before its engine crashes.
pub const CRASH_DELAY: Duration = Duration::from_millis(60);

/// The time that a crashed engine takes to restart.
pub const RESTART_DELAY: Duration = Duration::from_millis(2500);

/// The number of engine crashes after which a request counts as harmful.
pub const MAX_CRASHES: usize = 3;

/// A request that crashes the engines that run it, and is repeated at any box.
#[derive(Debug, Clone, Copy)]
pub struct Harmful {
    /// Its route.
    pub route: &'static str,
    /// The interval at which it is sent.
    pub every: Duration,
    /// Whether it also crashes the engine that prefills its prompt.
    pub crashes_on_prefill: bool,
}

/// Requests that share parts of their prompts and nothing else, sent to any box.
#[derive(Debug, Clone, Copy)]
pub struct Sharing {
    /// Their route.
    pub route: &'static str,
    /// The interval at which they are sent.
    pub every: Duration,
    /// The parts that they share.
    pub parts: &'static [&'static str],
    /// The number of documents of which each has one more as a part; 0 if they have no other part.
    pub document_count: u32,
    /// Whether they crash the engines that run them.
    pub is_harmful: bool,
}

/// The state of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct State {
    /// How often it has crashed.
    pub crashes: u64,
    /// The time until which it is down.
    pub down_until: Time,
}

/// The engines' states, and what happened to requests.
#[derive(Debug, Clone, Default)]
pub struct Crashes {
    /// The states of the engines that have crashed.
    pub states: BTreeMap<EngineKey, State>,
    /// The requests that are harmful.
    pub harmful: BTreeSet<RequestKey>,
    /// The harmless requests that share parts of their prompts.
    pub sharing: BTreeSet<RequestKey>,
    /// When engines crashed because of a harmful request.
    pub harmful_crashes: Vec<Time>,
    /// When harmful requests arrived at engines.
    pub arrivals: Vec<Time>,
    /// When a box's other calls arrived at an engine that one of its harmful requests was crashing.
    pub joined: Vec<Time>,
    /// When boxes refused harmful requests, and how.
    pub answers: Vec<(Time, Refusal)>,
    /// When boxes refused other requests, and how.
    pub refused: Vec<(Time, Refusal)>,
    /// When answers to other requests were aborted.
    pub aborted: Vec<Time>,
}

impl Crashes {
    /// Returns the state of an engine.
    pub fn state(&self, engine: EngineKey) -> State {
        self.states.get(&engine).copied().unwrap_or_default()
    }

    /// Records that a box refused a request.
    pub fn record_refusal(&mut self, request: RequestKey, refusal: Refusal, at: Time) {
        if self.harmful.contains(&request) {
            self.answers.push((at, refusal));
        } else {
            self.refused.push((at, refusal));
        }
    }

    /// Records that an answer was aborted, unless its request is harmful.
    pub fn record_abort(&mut self, request: RequestKey, at: Time) {
        if !self.harmful.contains(&request) {
            self.aborted.push(at);
        }
    }

    /// Returns how many harmless requests were refused as if they were harmful.
    pub fn wrongly_quarantined(&self) -> usize {
        let is_wrong = |refusal: &Refusal| {
            matches!(
                refusal,
                Refusal::Quarantined(_) | Refusal::NotRun(_, NotRunReason::UnderSuspicion, _)
            )
        };
        self.refused.iter().filter(|(_, it)| is_wrong(it)).count()
    }

    /// Returns how many harmful requests arrived at engines later than a delay after the third
    /// crash; `None` if there were fewer crashes.
    pub fn late_arrivals(&self, delay: Duration) -> Option<usize> {
        self.arrivals_after(MAX_CRASHES, delay)
    }

    /// Returns how many harmful requests arrived at engines later than a delay after a number of
    /// crashes; `None` if there were fewer crashes.
    pub fn arrivals_after(&self, crashes: usize, delay: Duration) -> Option<usize> {
        let last = *self.harmful_crashes.get(crashes - 1)?;
        Some(self.arrivals.iter().filter(|&&it| it > last + delay).count())
    }
}
