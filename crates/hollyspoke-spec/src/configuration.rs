//! Configuration: operators apply files concurrently, answers are lost, and versions reach boxes in
//! any order.
//!
//! Bounds: two operators with one apply each, based on the version stored when it starts; two boxes,
//! one of which restarts once; one lost answer, one late write; one message lost or duplicated;
//! messages reordered.

use std::collections::BTreeSet;

use crate::BoxId;
use crate::search::{Specification, Steps};

/// A safeguard that the specification omits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A box accepts an older version.
    AcceptOlder,
    /// The tool reports an unanswered write as failed.
    BelieveLostWrite,
    /// The tool writes unconditionally.
    WriteBlindly,
}

/// The phase of an operator's apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Apply {
    /// The apply has not started.
    Idle,
    /// The tool is writing, conditional on a version.
    Writing(u8),
    /// The tool reads back after a write conditional on a version.
    ReadingBack(u8),
    /// The tool has reported the file as accepted.
    ReportedAccepted,
    /// The tool has reported the file as not written.
    ReportedNotWritten,
}

/// A message in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// An operator's write, conditional on a version.
    Put(usize, u8),
    /// A write that has timed out and may still take effect.
    LatePut(usize, u8),
    /// A version announced to a box.
    Site(BoxId, u8),
}

/// A state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The operator whose file each version in the store is; the first is version 1.
    pub history: Vec<usize>,
    /// The phase of each operator's apply.
    pub applies: [Apply; 2],
    /// The version in force at each box; zero means none.
    pub versions: [u8; 2],
    /// A box that reverted to an older version.
    pub reverted: Option<BoxId>,
    /// The messages in transit.
    pub messages: BTreeSet<Message>,
    /// The number of restarts left.
    pub restarts: u8,
    /// The numbers of lost answers and late writes left.
    pub losses: [u8; 2],
    /// The number of messages between boxes that may still be lost or duplicated.
    pub message_faults: u8,
}

impl State {
    /// Returns the version in the store.
    fn stored(&self) -> u8 {
        self.history.len() as u8
    }
}

/// Builds the specification, without the mutant's safeguard if one is given.
pub fn specification(mutant: Option<Mutant>) -> Specification<State> {
    let initial = State {
        history: Vec::new(),
        applies: [Apply::Idle; 2],
        versions: [0; 2],
        reverted: None,
        messages: BTreeSet::new(),
        restarts: 1,
        losses: [1, 1],
        message_faults: 1,
    };
    Specification {
        initial,
        steps: Box::new(move |state| {
            let mut steps = Steps::new(state);
            for operator in 0..2 {
                operator_steps(state, operator, &mut steps);
            }
            box_steps(state, &mut steps);
            for &message in &state.messages {
                delivery_steps(state, message, mutant, &mut steps);
            }
            steps.finish()
        }),
        check_invariants: Box::new(check_invariants),
        check_quiescence: Box::new(|state| {
            let is_behind = state.versions.iter().any(|it| *it != state.stored());
            is_behind.then(|| "an accepted version is not in force everywhere".to_owned())
        }),
    }
}

/// Describes the invariant that a state violates, if any.
fn check_invariants(state: &State) -> Option<String> {
    if let Some(number) = state.reverted {
        return Some(format!("box {number} went back to an older version"));
    }
    for operator in 0..2 {
        let is_written = state.history.contains(&operator);
        match state.applies[operator] {
            Apply::ReportedNotWritten if is_written => {
                return Some("a file that was said not to be written is in force".to_owned());
            }
            Apply::ReportedAccepted if !is_written => {
                return Some("a file that was said to be accepted never was".to_owned());
            }
            _ => {}
        }
    }
    // Of two applies that are based on the same version, only one may have written.
    None
}

/// Adds the steps of an operator's tool.
fn operator_steps(state: &State, operator: usize, steps: &mut Steps<'_, State>) {
    match state.applies[operator] {
        Apply::Idle => steps.add_optional(format!("operator {operator} applies"), |it| {
            let seen = it.stored();
            it.applies[operator] = Apply::Writing(seen);
            it.messages.insert(Message::Put(operator, seen));
        }),
        Apply::ReadingBack(expected) => {
            steps.add(format!("operator {operator} reads back"), |it| {
                if it.history.contains(&operator) {
                    it.applies[operator] = Apply::ReportedAccepted;
                } else if it.stored() == expected {
                    // The lost write may still take effect, so the same write is repeated.
                    it.applies[operator] = Apply::Writing(expected);
                    it.messages.insert(Message::Put(operator, expected));
                } else {
                    it.applies[operator] = Apply::ReportedNotWritten;
                }
            });
        }
        Apply::Writing(_) | Apply::ReportedAccepted | Apply::ReportedNotWritten => {}
    }
}

/// Adds the store's notifications, announcements between boxes, and the restart of box 1.
fn box_steps(state: &State, steps: &mut Steps<'_, State>) {
    for number in 0..2 {
        let stored = state.stored();
        if stored > state.versions[number] {
            steps.add(format!("the watch shows box {number} version {stored}"), |it| {
                it.messages.insert(Message::Site(number, stored));
            });
        }
        let own_version = state.versions[number];
        let other = 1 - number;
        if own_version > state.versions[other] {
            steps.add(format!("box {number} passes version {own_version} on"), |it| {
                it.messages.insert(Message::Site(other, own_version));
            });
        }
    }
    if state.restarts > 0 {
        steps.add_optional("box 1 starts anew", |it| {
            it.restarts -= 1;
            it.versions[1] = 0;
        });
    }
}

/// Adds the delivery of a message.
fn delivery_steps(
    state: &State,
    message: Message,
    mutant: Option<Mutant>,
    steps: &mut Steps<'_, State>,
) {
    match message {
        Message::Put(operator, expected) => put_steps(state, operator, expected, mutant, steps),
        Message::LatePut(operator, expected) => {
            steps.add(format!("{message:?}"), |it| {
                it.messages.remove(&message);
                apply_write(it, operator, expected, mutant);
            });
        }
        Message::Site(to, version) => {
            steps.add(format!("{message:?}"), |it| {
                it.messages.remove(&message);
                receive_version(it, to, version, mutant);
            });
            if state.message_faults > 0 {
                steps.add_optional(format!("{message:?} is lost"), |it| {
                    it.message_faults -= 1;
                    it.messages.remove(&message);
                });
                steps.add_optional(format!("{message:?} arrives twice"), |it| {
                    it.message_faults -= 1;
                    receive_version(it, to, version, mutant);
                });
            }
        }
    }
}

/// Handles an announced version at a box.
fn receive_version(state: &mut State, to: BoxId, version: u8, mutant: Option<Mutant>) {
    let is_older = version <= state.versions[to];
    if is_older && mutant != Some(Mutant::AcceptOlder) {
        return;
    }
    if version < state.versions[to] {
        state.reverted = Some(to);
    }
    state.versions[to] = version;
}

/// Adds the outcomes of a write: it is answered, its answer is lost, or it takes effect late.
fn put_steps(
    state: &State,
    operator: usize,
    expected: u8,
    mutant: Option<Mutant>,
    steps: &mut Steps<'_, State>,
) {
    let message = Message::Put(operator, expected);
    let record_no_answer = move |it: &mut State| {
        it.applies[operator] = match mutant {
            Some(Mutant::BelieveLostWrite) => Apply::ReportedNotWritten,
            _ => Apply::ReadingBack(expected),
        };
    };
    steps.add(format!("{message:?}"), |it| {
        it.messages.remove(&message);
        let is_applied = apply_write(it, operator, expected, mutant);
        it.applies[operator] =
            if is_applied { Apply::ReportedAccepted } else { Apply::ReadingBack(expected) };
    });
    if state.losses[0] > 0 {
        steps.add_optional(format!("{message:?} and its answer is lost"), |it| {
            it.losses[0] -= 1;
            it.messages.remove(&message);
            apply_write(it, operator, expected, mutant);
            record_no_answer(it);
        });
    }
    if state.losses[1] > 0 {
        steps.add_optional(format!("{message:?} is late"), |it| {
            it.losses[1] -= 1;
            it.messages.remove(&message);
            it.messages.insert(Message::LatePut(operator, expected));
            record_no_answer(it);
        });
    }
}

/// Applies a write if the store has the expected version. Returns whether it did.
fn apply_write(state: &mut State, operator: usize, expected: u8, mutant: Option<Mutant>) -> bool {
    let is_applied = state.stored() == expected || mutant == Some(Mutant::WriteBlindly);
    if is_applied && state.history.len() < 3 {
        state.history.push(operator);
    }
    is_applied
}
