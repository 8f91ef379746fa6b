//! Orders to one engine to change its stage, which may be carried out late or have their answers
//! lost, at an engine that compares the count of orders and no tokens.
//!
//! Bounds: three decisions, two copies of each order. Who may decide at all is the matter of
//! [`crate::orders`]; a new holder's decisions follow on the old one's here.

use std::collections::BTreeSet;

use crate::search::{Specification, Steps};

/// The most decisions.
const MAX_DECISIONS: u8 = 3;

/// The most copies of one order.
const MAX_COPIES: u8 = 2;

/// A safeguard that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The engine does not compare the count.
    IgnoreCount,
    /// An order that got no answer is sent again with the count as it is then.
    NewCount,
}

/// What the holder waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Nothing.
    Idle,
    /// To send the order, with the count that the engine told.
    Ready(u8),
    /// For the answer to the newest copy, sent with that count.
    Sent(u8),
}

/// A copy of an order on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Copy {
    /// The decision.
    decision: u8,
    /// Which copy of the order it is.
    number: u8,
    /// The count that the engine must have.
    expected: u8,
}

/// The state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The decisions so far.
    decisions: u8,
    /// The copies sent of the newest order.
    copies: u8,
    /// What the holder waits for.
    phase: Phase,
    /// The copies on their way; each may take as long as it likes.
    in_flight: BTreeSet<Copy>,
    /// The orders that the engine has taken.
    count: u8,
    /// The newest decision that was carried out.
    newest_decision: u8,
    /// What went wrong.
    violation: Option<&'static str>,
}

/// Makes the specification.
pub fn specification(mutant: Option<Mutant>) -> Specification<State> {
    let initial = State {
        decisions: 0,
        copies: 0,
        phase: Phase::Idle,
        in_flight: BTreeSet::new(),
        count: 0,
        newest_decision: 0,
        violation: None,
    };
    Specification {
        initial,
        steps: Box::new(move |state| {
            let mut steps = Steps::new(state);
            holder_steps(state, mutant, &mut steps);
            for &copy in &state.in_flight {
                arrival_steps(copy, mutant, &mut steps);
            }
            steps.finish()
        }),
        check_invariants: Box::new(|state| state.violation.map(str::to_owned)),
        check_quiescence: Box::new(|state| {
            let is_waiting = state.phase != Phase::Idle;
            is_waiting.then(|| "the holder waits for ever".to_owned())
        }),
    }
}

/// The holder decides, sends, or gives up waiting.
fn holder_steps(state: &State, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    match state.phase {
        Phase::Idle if state.decisions < MAX_DECISIONS => {
            steps.add_optional("the holder decides, and the engine tells its count", |it| {
                it.decisions += 1;
                it.copies = 0;
                it.phase = Phase::Ready(it.count);
            });
        }
        Phase::Idle => {}
        Phase::Ready(expected) => {
            steps.add("the holder sends the order", |it| {
                it.in_flight.insert(Copy { decision: it.decisions, number: it.copies, expected });
                it.copies += 1;
                it.phase = Phase::Sent(expected);
            });
        }
        Phase::Sent(expected) => {
            steps.add("no answer comes in time", |it| {
                let retry_count =
                    if mutant == Some(Mutant::NewCount) { it.count } else { expected };
                let has_more = it.copies < MAX_COPIES;
                it.phase = if has_more { Phase::Ready(retry_count) } else { Phase::Idle };
            });
        }
    }
}

/// A copy reaches the engine; its answer reaches the holder, or is lost.
fn arrival_steps(copy: Copy, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    steps.add(format!("the engine gets {copy:?}, and its answer is lost"), |it| {
        carry_out(it, copy, mutant);
    });
    steps.add_optional(format!("the engine gets and answers {copy:?}"), |it| {
        carry_out(it, copy, mutant);
        let is_awaited = copy.decision == it.decisions && copy.number + 1 == it.copies;
        if is_awaited && matches!(it.phase, Phase::Sent(_)) {
            it.phase = Phase::Idle;
        }
    });
}

/// The engine carries an order out, if it has taken as many as are expected.
fn carry_out(state: &mut State, copy: Copy, mutant: Option<Mutant>) {
    state.in_flight.remove(&copy);
    if copy.expected != state.count && mutant != Some(Mutant::IgnoreCount) {
        return;
    }
    if copy.decision < state.newest_decision {
        state.violation = Some("an older decision was carried out after a newer one");
    } else if copy.decision == state.newest_decision {
        state.violation = Some("a decision was carried out twice");
    }
    state.count += 1;
    state.newest_decision = state.newest_decision.max(copy.decision);
}
