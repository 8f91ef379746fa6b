//! The specification is searched whole, and every mutant of it is caught.

use std::fmt::Debug;
use std::hash::Hash;

use hollyspoke_spec::search::{Outcome, Specification};
use hollyspoke_spec::{claims, configuration, grants, keys, orders, stages};

/// Searches a part, prints its size, and asserts that nothing is wrong.
fn holds<S: Clone + Eq + Hash + Debug>(part: &str, specification: &Specification<S>) {
    let Outcome { states, depth, counterexample } = specification.search();
    println!("{part}: {states} states, depth {depth}");
    assert!(counterexample.is_none(), "{part}: {counterexample:#?}");
}

/// Searches a mutant, prints its counterexample, and asserts that there is one that says so.
fn caught<S: Clone + Eq + Hash + Debug>(
    mutant: impl Debug,
    specification: &Specification<S>,
    says: &str,
) {
    let outcome = specification.search();
    let Some(example) = outcome.counterexample else {
        panic!("{mutant:?} is not caught in {} states", outcome.states);
    };
    println!("{mutant:?}: {}", example.violation);
    example.trace.iter().for_each(|it| println!("  {it}"));
    assert!(example.violation.contains(says), "{mutant:?}: {}", example.violation);
}

/// Keys run at most once.
#[test]
fn keys_hold() {
    holds("keys", &keys::specification(None));
}

/// Claims bind one box.
#[test]
fn claims_hold() {
    holds("claims", &claims::specification(None));
}

/// Memory is freed.
#[test]
fn grants_hold() {
    holds("grants", &grants::specification(None));
}

/// Orders don't go back.
#[test]
fn orders_hold() {
    holds("orders", &orders::specification(None));
}

/// A change of stage is carried out at most once, and none after a newer one.
#[test]
fn stages_hold() {
    holds("stages", &stages::specification(None));
}

/// Configurations don't go back, and operators are told the truth.
#[test]
fn configuration_holds() {
    holds("configuration", &configuration::specification(None));
}

/// Every mutant of the keys is caught.
#[test]
fn key_mutants() {
    use keys::Mutant;
    let twice = "ran twice";
    caught(Mutant::RunUnknownHome, &keys::specification(Some(Mutant::RunUnknownHome)), twice);
    caught(Mutant::SayNotRun, &keys::specification(Some(Mutant::SayNotRun)), "not run");
    caught(Mutant::ForgetAnswered, &keys::specification(Some(Mutant::ForgetAnswered)), twice);
}

/// Every mutant of the claims is caught.
#[test]
fn claim_mutants() {
    use claims::Mutant;
    for mutant in
        [Mutant::BelieveLostWrite, Mutant::RunUnknownHome, Mutant::WriteBlindly, Mutant::RunAgain]
    {
        caught(mutant, &claims::specification(Some(mutant)), "ran twice");
    }
}

/// Every mutant of the grants is caught.
#[test]
fn grant_mutants() {
    use grants::Mutant;
    for mutant in [Mutant::GrantOutlivesFront, Mutant::NoSweep, Mutant::ForgetCancel] {
        caught(mutant, &grants::specification(Some(mutant)), "holds memory");
    }
    let skip = grants::specification(Some(Mutant::SkipFence));
    caught(Mutant::SkipFence, &skip, "taken from it");
}

/// Every mutant of the orders is caught.
#[test]
fn order_mutants() {
    use orders::Mutant;
    for mutant in [Mutant::SkipFence, Mutant::IgnoreToken, Mutant::NoWait] {
        caught(mutant, &orders::specification(Some(mutant)), "older order");
    }
}

/// Every mutant of the stages is caught.
#[test]
fn stage_mutants() {
    use stages::Mutant;
    for mutant in [Mutant::IgnoreCount, Mutant::NewCount] {
        caught(mutant, &stages::specification(Some(mutant)), "carried out");
    }
}

/// Every mutant of the configuration is caught.
#[test]
fn configuration_mutants() {
    use configuration::Mutant;
    let older = configuration::specification(Some(Mutant::AcceptOlder));
    caught(Mutant::AcceptOlder, &older, "went back");
    let believe = configuration::specification(Some(Mutant::BelieveLostWrite));
    caught(Mutant::BelieveLostWrite, &believe, "not to be written");
    let blindly = configuration::specification(Some(Mutant::WriteBlindly));
    caught(Mutant::WriteBlindly, &blindly, "");
}
