//! Requests that crash the engines that run them: how they come, and what was seen of them and of
//! the requests beside them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::effect::{NotRunReason, Refusal};
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::request::RequestKey;

/// How long a harmful request runs before its engine crashes.
pub const CRASH_DELAY: Duration = Duration::from_millis(60);

/// How long a crashed engine takes to be back.
pub const RESTART_DELAY: Duration = Duration::from_millis(2500);

/// How many crashes of its engines a request is allowed before it counts as harmful.
pub const MAX_CRASHES: usize = 3;

/// A request that crashes the engines that run it, and comes again at any box.
#[derive(Debug, Clone, Copy)]
pub struct Harmful {
    /// Its route.
    pub route: &'static str,
    /// How often it comes.
    pub every: Duration,
    /// Whether reading its prompt for another engine crashes an engine too.
    pub crashes_on_prefill: bool,
}

/// What is known of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct State {
    /// How often it has crashed.
    pub crashes: u64,
    /// Until when it is down.
    pub down_until: Time,
}

/// The engines, and what was seen.
#[derive(Debug, Clone, Default)]
pub struct Crashes {
    /// The engines that have crashed.
    pub states: BTreeMap<EngineKey, State>,
    /// The requests that are harmful.
    pub harmful: BTreeSet<RequestKey>,
    /// When engines crashed under a harmful request.
    pub harmful_crashes: Vec<Time>,
    /// When harmful requests came to engines.
    pub arrivals: Vec<Time>,
    /// What harmful requests were told by the boxes.
    pub answers: Vec<(Time, Refusal)>,
    /// The other requests that were refused, and when.
    pub refused: Vec<(Time, Refusal)>,
    /// When answers to other requests were broken off.
    pub aborted: Vec<Time>,
}

impl Crashes {
    /// Returns what is known of an engine.
    pub fn state(&self, engine: EngineKey) -> State {
        self.states.get(&engine).copied().unwrap_or_default()
    }

    /// Records what a request was told by its box.
    pub fn record_refusal(&mut self, request: RequestKey, refusal: Refusal, at: Time) {
        if self.harmful.contains(&request) {
            self.answers.push((at, refusal));
        } else {
            self.refused.push((at, refusal));
        }
    }

    /// Records that an answer was broken off.
    pub fn record_abort(&mut self, request: RequestKey, at: Time) {
        if !self.harmful.contains(&request) {
            self.aborted.push(at);
        }
    }

    /// Counts the harmless requests that were refused as if they were harmful.
    pub fn wrongly_quarantined(&self) -> usize {
        let is_wrong = |refusal: &Refusal| {
            matches!(
                refusal,
                Refusal::Quarantined(_) | Refusal::NotRun(_, NotRunReason::UnderSuspicion, _)
            )
        };
        self.refused.iter().filter(|(_, it)| is_wrong(it)).count()
    }

    /// Returns how often harmful requests came to engines later than some time after the third crash;
    /// none if there were not as many crashes.
    pub fn late_arrivals(&self, delay: Duration) -> Option<usize> {
        let third = *self.harmful_crashes.get(MAX_CRASHES - 1)?;
        Some(self.arrivals.iter().filter(|&&it| it > third + delay).count())
    }
}
