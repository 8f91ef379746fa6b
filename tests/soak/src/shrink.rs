//! Finds few faults of a schedule that still break what all of them broke.
//!
//! Leaves out halves of the faults, then quarters, and so on, as in delta debugging (Zeller and
//! Hildebrandt, 2002). Times of processes differ from run to run: a fault that breaks something only
//! now and then may be left in, or the schedule that remains may pass when it is played again.

use crate::schedule::Planned;

/// What remains of a schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shrunk {
    /// The faults, in order.
    pub faults: Vec<Planned>,
    /// How many schedules were played.
    pub runs: usize,
}

/// Leaves faults out for as long as the rest still fails, in a number of runs at most.
///
/// # Errors
///
/// What a run fails with that could not be judged.
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

/// Gives the faults without some of them.
fn without(faults: &[Planned], first: usize, count: usize) -> Vec<Planned> {
    let is_left = |index: usize| index < first || index >= first + count;
    let numbered = faults.iter().enumerate();
    numbered.filter(|(index, _)| is_left(*index)).map(|(_, it)| *it).collect()
}
