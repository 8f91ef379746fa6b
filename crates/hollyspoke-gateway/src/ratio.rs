//! How many engines of a service prefill prompts, and how many decode.
//!
//! Prefill is limited by an engine's time, decode by its memory. The best split is the one where
//! the scarcer side has the most spare capacity: then both sides can handle the same growth of the
//! load before requests wait. Which split that is depends only on the lengths of prompts and
//! answers, so a burst of the usual requests changes nothing.

use crate::message::Demand;

/// The share of the prefill rate above which prompts wait for long.
const MAX_PREFILL_SHARE: f64 = 1.0;

/// The share of the memory above which requests wait for free capacity.
const MAX_MEMORY_SHARE: f64 = 0.65;

/// The pressure below which no change of the split is worthwhile, since no request waits.
const MIN_PRESSURE_RATIO: f64 = 0.35;

/// The minimum share of the pressure that a change must remove, since the engine that changes is
/// idle for some seconds.
const MIN_GAIN_SHARE: f64 = 0.12;

/// The maximum pressure on a side while one of its engines changes.
const MAX_REMAINING_RATIO: f64 = 1.0;

/// The number of engines of a service in each stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Split {
    /// The engines that prefill prompts.
    pub prefill: u32,
    /// The engines that decode answers.
    pub decode: u32,
}

/// The capacity of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// The rate of a prefill engine, in tokens per second.
    pub prefill_rate: f64,
    /// The tokens that a decode engine's memory holds.
    pub memory_tokens: f64,
}

/// The stage change of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// From prefill to decode.
    ToDecode,
    /// From decode to prefill.
    ToPrefill,
}

/// Returns the demand for prefill as a share of what the given number of engines can handle.
fn prefill_pressure(demand: Demand, capacity: Capacity, prefill: u32) -> f64 {
    let rate = capacity.prefill_rate * f64::from(prefill) * MAX_PREFILL_SHARE;
    f64::from(demand.prefill_tokens_per_s) / rate.max(f64::MIN_POSITIVE)
}

/// Returns the demand for memory as a share of what the given number of decode engines can handle.
fn memory_pressure(demand: Demand, capacity: Capacity, decode: u32) -> f64 {
    let memory = capacity.memory_tokens * f64::from(decode) * MAX_MEMORY_SHARE;
    f64::from(demand.held_tokens) / memory.max(f64::MIN_POSITIVE)
}

/// Returns the pressure on the scarcer side of a split.
pub fn pressure(demand: Demand, capacity: Capacity, split: Split) -> f64 {
    let prefill = prefill_pressure(demand, capacity, split.prefill);
    prefill.max(memory_pressure(demand, capacity, split.decode))
}

/// Returns the split with the least pressure that has at least one engine on each side.
pub fn best(demand: Demand, capacity: Capacity, engines: u32) -> Option<Split> {
    let splits = (1..engines).map(|prefill| Split { prefill, decode: engines - prefill });
    splits.min_by(|a, b| pressure(demand, capacity, *a).total_cmp(&pressure(demand, capacity, *b)))
}

/// Returns the change that a split needs, if one is worthwhile. `working` counts the engines that
/// are not already changing.
pub fn change(demand: Demand, capacity: Capacity, split: Split, working: Split) -> Option<Change> {
    let best = best(demand, capacity, split.prefill + split.decode)?;
    let now = pressure(demand, capacity, split);
    let gain = now - pressure(demand, capacity, best);
    if now < MIN_PRESSURE_RATIO || gain < now * MIN_GAIN_SHARE {
        return None;
    }
    let stays_within_limit = if best.prefill < split.prefill {
        prefill_pressure(demand, capacity, working.prefill.saturating_sub(1)) <= MAX_REMAINING_RATIO
    } else {
        memory_pressure(demand, capacity, working.decode.saturating_sub(1)) <= MAX_REMAINING_RATIO
    };
    match best.prefill.cmp(&split.prefill) {
        std::cmp::Ordering::Less if stays_within_limit => Some(Change::ToDecode),
        std::cmp::Ordering::Greater if stays_within_limit => Some(Change::ToPrefill),
        _ => None,
    }
}
