//! How many engines of a service read prompts, and how many generate.
//!
//! Reading takes time of an engine, generating takes its memory. The best split is the one whose
//! scarcer side has the most to spare: then both sides bear the same growth of the load before
//! requests wait. Which one that is depends on the lengths of prompts and answers alone, so that a
//! burst of the usual requests changes nothing.

use crate::message::Demand;

/// The share of the reading rate beyond which prompts wait for long.
const MAX_PREFILL_SHARE: f64 = 1.0;

/// The share of the memory beyond which requests wait for room.
const MAX_MEMORY_SHARE: f64 = 0.65;

/// The pressure below which no split is worth a change: nobody waits.
const MIN_PRESSURE_RATIO: f64 = 0.35;

/// The share of the pressure that a change must take away to pay for an engine that does nothing
/// for some seconds.
const MIN_GAIN_SHARE: f64 = 0.12;

/// The share of what a side can bear that must be left to it while one of its engines changes.
const MAX_REMAINING_RATIO: f64 = 1.0;

/// The engines of a service by what they do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Split {
    /// Those that read prompts.
    pub prefill: u32,
    /// Those that generate.
    pub decode: u32,
}

/// What one engine can bear.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Tokens that a reader reads a second.
    pub prefill_rate: f64,
    /// Tokens that a generator's memory holds.
    pub memory_tokens: f64,
}

/// Which way an engine is to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// From reading to generating.
    ToDecode,
    /// From generating to reading.
    ToPrefill,
}

/// Gives the share of what readers can bear that is asked of a number of them.
fn prefill_pressure(demand: Demand, capacity: Capacity, prefill: u32) -> f64 {
    let rate = capacity.prefill_rate * f64::from(prefill) * MAX_PREFILL_SHARE;
    f64::from(demand.prefill_tokens_per_s) / rate.max(f64::MIN_POSITIVE)
}

/// Gives the share of what generators can bear that is asked of a number of them.
fn memory_pressure(demand: Demand, capacity: Capacity, decode: u32) -> f64 {
    let memory = capacity.memory_tokens * f64::from(decode) * MAX_MEMORY_SHARE;
    f64::from(demand.held_tokens) / memory.max(f64::MIN_POSITIVE)
}

/// Gives the pressure on the scarcer side of a split.
pub fn pressure(demand: Demand, capacity: Capacity, split: Split) -> f64 {
    let reading = prefill_pressure(demand, capacity, split.prefill);
    reading.max(memory_pressure(demand, capacity, split.decode))
}

/// Gives the split with the least pressure; both sides keep an engine.
pub fn best(demand: Demand, capacity: Capacity, engines: u32) -> Option<Split> {
    let splits = (1..engines).map(|prefill| Split { prefill, decode: engines - prefill });
    splits.min_by(|a, b| pressure(demand, capacity, *a).total_cmp(&pressure(demand, capacity, *b)))
}

/// Gives the change that a split needs, if one is worth it; `working` are the engines that are not
/// changing already.
pub fn change(demand: Demand, capacity: Capacity, split: Split, working: Split) -> Option<Change> {
    let best = best(demand, capacity, split.prefill + split.decode)?;
    let now = pressure(demand, capacity, split);
    let gain = now - pressure(demand, capacity, best);
    if now < MIN_PRESSURE_RATIO || gain < now * MIN_GAIN_SHARE {
        return None;
    }
    let is_bearable = if best.prefill < split.prefill {
        prefill_pressure(demand, capacity, working.prefill.saturating_sub(1)) <= MAX_REMAINING_RATIO
    } else {
        memory_pressure(demand, capacity, working.decode.saturating_sub(1)) <= MAX_REMAINING_RATIO
    };
    match best.prefill.cmp(&split.prefill) {
        std::cmp::Ordering::Less if is_bearable => Some(Change::ToDecode),
        std::cmp::Ordering::Greater if is_bearable => Some(Change::ToPrefill),
        _ => None,
    }
}
