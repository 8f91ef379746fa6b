//! Orders to one engine to change its stage. An order may be carried out late or lose its answer;
//! the engine compares the count of orders, not fencing tokens.
//!
//! Bounds: three decisions, two copies of each order. [`crate::orders`] covers who may
//! decide; here a new holder's decisions continue the old one's.

use std::collections::BTreeSet;

use crate::search::{Specification, Steps};

/// The maximum number of decisions.
const MAX_DECISIONS: u8 = 3;

/// The maximum number of copies of one order.
const MAX_COPIES: u8 = 2;

/// A safeguard that the specification omits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The engine does not compare the count.
    IgnoreCount,
    /// The holder resends an unanswered order with the engine's current count.
    NewCount,
}

/// The phase of the lease holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// No order is pending.
    Idle,
    /// The order is ready to send, with the count that the engine reported.
    Ready(u8),
    /// The newest copy, with this count, awaits its answer.
    Sent(u8),
}

/// A copy of an order in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Copy {
    /// The number of the decision.
    decision: u8,
    /// The number of the copy.
    number: u8,
    /// The count of orders that the engine must have.
    expected: u8,
}

/// A state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The number of decisions so far.
    decisions: u8,
    /// The number of copies sent of the newest order.
    copies: u8,
    /// The phase of the lease holder.
    phase: Phase,
    /// The copies in transit, each with an unbounded delay.
    in_flight: BTreeSet<Copy>,
    /// The number of orders that the engine has carried out.
    count: u8,
    /// The newest decision that the engine has carried out.
    newest_decision: u8,
    /// The invariant that was violated.
    violation: Option<&'static str>,
}

/// Builds the specification, without the mutant's safeguard if one is given.
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

/// Adds the holder's steps: it decides, sends, or times out.
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

/// Adds the arrival of a copy at the engine; the answer reaches the holder or is lost.
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

/// Carries out an order if the engine's count is the expected one.
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
