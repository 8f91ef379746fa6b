//! Configuration: operators race, answers are lost, versions reach boxes in any order.
//!
//! Bounds: two operators with one apply each, both having seen version zero or what is there when
//! they begin; two boxes, one of which restarts once; one lost answer, one late write; messages
//! lost, repeated and reordered.

use std::collections::BTreeSet;

use crate::BoxId;
use crate::search::{Specification, Steps};

/// A safeguard that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// An older version is taken.
    AcceptOlder,
    /// A write without an answer is said to have failed.
    BelieveLostWrite,
    /// A write is made without a condition.
    WriteBlindly,
}

/// What an operator's tool does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Apply {
    /// Not begun.
    Idle,
    /// It writes, expecting a version.
    Writing(u8),
    /// It reads back, having expected a version.
    ReadingBack(u8),
    /// It has said that the file was accepted.
    ReportedAccepted,
    /// It has said that the file was not written.
    ReportedNotWritten,
}

/// What is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// An operator's write, expecting a version.
    Put(usize, u8),
    /// A write that may take effect late.
    LatePut(usize, u8),
    /// A version on its way to a box.
    Site(BoxId, u8),
}

/// The state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The operator whose file each version in the store is; the first is version 1.
    pub history: Vec<usize>,
    /// What each operator's tool does.
    pub applies: [Apply; 2],
    /// The version in force at each box, zero for none.
    pub versions: [u8; 2],
    /// The box that has gone back to an older version.
    pub reverted: Option<BoxId>,
    /// What is on its way.
    pub messages: BTreeSet<Message>,
    /// Restarts left.
    pub restarts: u8,
    /// Lost answers and late writes left.
    pub losses: [u8; 2],
    /// Messages between boxes that may still be lost or repeated.
    pub message_faults: u8,
}

impl State {
    /// Gives the version in the store.
    fn stored(&self) -> u8 {
        self.history.len() as u8
    }
}

/// Makes the specification.
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

/// Gives the promise that a state breaks.
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
    // Both saw the same version: only one of them may have written on it.
    None
}

/// The steps of an operator's tool.
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
                    // The lost write may still take effect: the same write is made again.
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

/// Watchers see the store, boxes tell each other, and box 1 restarts.
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

/// Delivers a message.
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

/// A box is shown a version.
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

/// A write reaches the store: it is answered, its answer is lost, or it takes effect late.
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

/// The store takes a write if the version is the one expected.
fn apply_write(state: &mut State, operator: usize, expected: u8, mutant: Option<Mutant>) -> bool {
    let is_applied = state.stored() == expected || mutant == Some(Mutant::WriteBlindly);
    if is_applied && state.history.len() < 3 {
        state.history.push(operator);
    }
    is_applied
}
