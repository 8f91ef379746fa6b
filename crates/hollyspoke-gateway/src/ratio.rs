//! How many engines of a service read prompts, and how many generate.
//!
//! Reading takes time of an engine, generating takes its memory. The best split is the one whose
//! scarcer side has the most to spare: then both sides bear the same growth of the load before
//! requests wait. Which one that is depends on the lengths of prompts and answers alone, so that a
//! burst of the usual requests changes nothing.

use crate::message::Demand;

/// The share of the reading rate beyond which prompts wait for long.
const READING_FULL: f64 = 1.0;

/// The share of the memory beyond which requests wait for room.
const MEMORY_FULL: f64 = 0.65;

/// The pressure below which no split is worth a change: nobody waits.
const LEAST_PRESSURE: f64 = 0.35;

/// The share of the pressure that a change must take away to pay for an engine that does nothing
/// for some seconds.
const LEAST_GAIN: f64 = 0.12;

/// The share of what a side can bear that must be left to it while one of its engines changes.
const BEARABLE: f64 = 1.0;

/// The engines of a service by what they do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Split {
    /// Those that read prompts.
    pub readers: u32,
    /// Those that generate.
    pub generators: u32,
}

/// What one engine can bear.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Tokens that a reader reads a second.
    pub reading: f64,
    /// Tokens that a generator's memory holds.
    pub memory: f64,
}

/// Which way an engine is to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// From reading to generating.
    ToGenerating,
    /// From generating to reading.
    ToReading,
}

/// Gives the share of what readers can bear that is asked of a number of them.
fn reading_pressure(demand: Demand, capacity: Capacity, readers: u32) -> f64 {
    let rate = capacity.reading * f64::from(readers) * READING_FULL;
    f64::from(demand.prefill_tokens_per_s) / rate.max(f64::MIN_POSITIVE)
}

/// Gives the share of what generators can bear that is asked of a number of them.
fn memory_pressure(demand: Demand, capacity: Capacity, generators: u32) -> f64 {
    let memory = capacity.memory * f64::from(generators) * MEMORY_FULL;
    f64::from(demand.held_tokens) / memory.max(f64::MIN_POSITIVE)
}

/// Gives the pressure on the scarcer side of a split.
pub fn pressure(demand: Demand, capacity: Capacity, split: Split) -> f64 {
    let reading = reading_pressure(demand, capacity, split.readers);
    reading.max(memory_pressure(demand, capacity, split.generators))
}

/// Gives the split with the least pressure; both sides keep an engine.
pub fn best(demand: Demand, capacity: Capacity, engines: u32) -> Option<Split> {
    let splits = (1..engines).map(|readers| Split { readers, generators: engines - readers });
    splits.min_by(|a, b| pressure(demand, capacity, *a).total_cmp(&pressure(demand, capacity, *b)))
}

/// Gives the change that a split needs, if one is worth it; `working` are the engines that are not
/// changing already.
pub fn change(demand: Demand, capacity: Capacity, split: Split, working: Split) -> Option<Change> {
    let best = best(demand, capacity, split.readers + split.generators)?;
    let now = pressure(demand, capacity, split);
    let gain = now - pressure(demand, capacity, best);
    if now < LEAST_PRESSURE || gain < now * LEAST_GAIN {
        return None;
    }
    let is_bearable = if best.readers < split.readers {
        reading_pressure(demand, capacity, working.readers.saturating_sub(1)) <= BEARABLE
    } else {
        memory_pressure(demand, capacity, working.generators.saturating_sub(1)) <= BEARABLE
    };
    match best.readers.cmp(&split.readers) {
        std::cmp::Ordering::Less if is_bearable => Some(Change::ToGenerating),
        std::cmp::Ordering::Greater if is_bearable => Some(Change::ToReading),
        _ => None,
    }
}
