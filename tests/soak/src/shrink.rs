//! Shrinks a schedule to few faults that still break the same promise.
//!
//! Removes halves of the faults, then quarters, and so on, as in delta debugging (Zeller and
//! Hildebrandt, 2002). The timing of processes differs from run to run: a fault that breaks
//! something only sometimes may remain, or the shrunk schedule may pass in another run.

use crate::schedule::Planned;

/// A shrunk schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shrunk {
    /// The remaining faults, in order.
    pub faults: Vec<Planned>,
    /// The number of schedules that were run.
    pub runs: usize,
}

/// Removes faults while the others still fail, with a maximum number of runs.
///
/// # Errors
///
/// If a run could not be judged.
pub fn shrink(
    faults: &[Planned],
    most_runs: usize,
    mut still_fails: impl FnMut(&[Planned]) -> eyre::Result<bool>,
) -> eyre::Result<Shrunk> {
    let mut kept = faults.to_vec();
    let mut runs = 0;
    let mut size = kept.len().div_ceil(2);
    while size > 0 {
        let mut first = 0;
        while first < kept.len() {
            if runs == most_runs {
                return Ok(Shrunk { faults: kept, runs });
            }
            let rest = without(&kept, first, size);
            runs += 1;
            if still_fails(&rest)? {
                kept = rest;
            } else {
                first += size;
            }
        }
        size /= 2;
    }
    Ok(Shrunk { faults: kept, runs })
}

/// Returns the faults without `count` of them from `first` on.
fn without(faults: &[Planned], first: usize, count: usize) -> Vec<Planned> {
    let is_left = |index: usize| index < first || index >= first + count;
    let numbered = faults.iter().enumerate();
    numbered.filter(|(index, _)| is_left(*index)).map(|(_, it)| *it).collect()
}
