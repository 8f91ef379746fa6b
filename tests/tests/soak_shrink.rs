//! Shrinking of a schedule that breaks something.

use std::time::Duration;

use hollyspoke_soak::schedule::{self, Planned};
use hollyspoke_soak::shrink::shrink;

/// Gives a schedule of some thirty faults.
fn faults() -> Vec<Planned> {
    schedule::draw(7, Duration::from_secs(30))
}

#[test]
fn one_fault_is_found() {
    let all = faults();
    let culprit = all[all.len() / 3];
    let shrunk = shrink(&all, 100, |it| Ok(it.contains(&culprit))).expect("no run fails");
    assert_eq!(shrunk.faults, [culprit]);
    assert!(shrunk.runs <= 20, "{} runs for {} faults", shrunk.runs, all.len());
}

/// Two faults that break something only together, far apart.
#[test]
fn pair_is_found() {
    let all = faults();
    let pair = [all[1], all[all.len() - 2]];
    let fails = |it: &[Planned]| pair.iter().all(|fault| it.contains(fault));
    let shrunk = shrink(&all, 200, |it| Ok(fails(it))).expect("no run fails");
    assert_eq!(shrunk.faults, pair);
}

/// What breaks without any fault needs none.
#[test]
fn nothing_is_needed() {
    let shrunk = shrink(&faults(), 100, |_| Ok(true)).expect("no run fails");
    assert!(shrunk.faults.is_empty());
}

/// The runs are bounded, and what remains still fails.
#[test]
fn runs_are_bounded() {
    let all = faults();
    let pair = [all[1], all[all.len() - 2]];
    let fails = |it: &[Planned]| pair.iter().all(|fault| it.contains(fault));
    let shrunk = shrink(&all, 5, |it| Ok(fails(it))).expect("no run fails");
    assert_eq!(shrunk.runs, 5);
    assert!(fails(&shrunk.faults) && shrunk.faults.len() > 2);
}

/// A run that can't be judged ends the search.
#[test]
fn run_that_fails() {
    let error = shrink(&faults(), 9, |_| eyre::bail!("no box gets ready")).expect_err("it fails");
    assert_eq!(error.to_string(), "no box gets ready");
}
