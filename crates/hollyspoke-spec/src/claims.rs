//! Claims: a key chosen by the caller, sent to both boxes and bound to one of them by a
//! conditional write in the store.
//!
//! Bounds: two boxes with one send each; one crash, one lost read, one lost answer to a write, one
//! late write.

use std::collections::BTreeSet;

use crate::BoxId;
use crate::search::{Specification, Steps};

/// A safeguard that the specification omits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A box treats an unanswered write as having taken effect.
    BelieveLostWrite,
    /// A box reruns a request whose claim names a dead home.
    RunUnknownHome,
    /// A box writes the claim unconditionally.
    WriteBlindly,
    /// A box that finds its own claim runs the request although it has already run it.
    RunAgain,
}

/// The phase of the request at a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// The request has not arrived.
    Idle,
    /// The box is reading the claim.
    Reading,
    /// The box is writing the claim.
    Writing,
    /// The store did not answer; the box waits before it reads again.
    Waiting,
    /// The box has run or relayed the request, or given it up.
    Done,
}

/// A message in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A read by a box.
    Get(BoxId),
    /// The answer to a read: the box, the version, and the box to which the request is bound.
    Found(BoxId, u8, Option<BoxId>),
    /// A write by a box, conditional on a version.
    Put(BoxId, u8),
    /// A write that has timed out and may still take effect.
    LatePut(BoxId, u8),
    /// The answer to a write.
    PutAnswer(BoxId),
    /// The store did not answer in time.
    Away(BoxId),
    /// The request, relayed to the box to which it is bound.
    Relay(BoxId),
}

/// A state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether each box is alive in its first incarnation.
    pub alive: [bool; 2],
    /// The phase of the request at each box.
    pub phase: [Phase; 2],
    /// Whether each box has run the request under its own key.
    pub ran: [bool; 2],
    /// The claim object: its version, and the box to which the request is bound.
    pub claim: (u8, Option<BoxId>),
    /// How often the request has run; 2 stands for more.
    pub runs: u8,
    /// The messages in transit.
    pub messages: BTreeSet<Message>,
    /// The number of crashes left.
    pub crashes: u8,
    /// The numbers of lost reads, lost answers and late writes left.
    pub losses: [u8; 3],
}

/// The highest version of the claim in the search.
const MAX_VERSION: u8 = 4;

/// Builds the specification, without the mutant's safeguard if one is given.
pub fn specification(mutant: Option<Mutant>) -> Specification<State> {
    let initial = State {
        alive: [true; 2],
        phase: [Phase::Idle; 2],
        ran: [false; 2],
        claim: (0, None),
        runs: 0,
        messages: BTreeSet::new(),
        crashes: 1,
        losses: [1, 1, 1],
    };
    Specification {
        initial,
        steps: Box::new(move |state| {
            let mut steps = Steps::new(state);
            box_steps(state, &mut steps);
            for &message in &state.messages {
                delivery_steps(state, message, mutant, &mut steps);
            }
            steps.finish()
        }),
        check_invariants: Box::new(|state| {
            (state.runs > 1).then(|| "the request ran twice".to_owned())
        }),
        check_quiescence: Box::new(|state| {
            let is_waiting = |it: BoxId| {
                state.alive[it] && !matches!(state.phase[it], Phase::Idle | Phase::Done)
            };
            (is_waiting(0) || is_waiting(1))
                .then(|| "a box waits for its claim for ever".to_owned())
        }),
    }
}

/// Adds the arrival of the request at each box, the reread after a wait, and crashes.
fn box_steps(state: &State, steps: &mut Steps<'_, State>) {
    for me in 0..2 {
        if !state.alive[me] {
            continue;
        }
        if state.phase[me] == Phase::Idle {
            steps.add_optional(format!("box {me} gets the request"), |it| begin_read(it, me));
        }
        if state.phase[me] == Phase::Waiting {
            steps.add(format!("box {me} reads again"), |it| begin_read(it, me));
        }
        if state.crashes > 0 {
            steps.add_optional(format!("box {me} crashes"), |it| {
                it.crashes -= 1;
                it.alive[me] = false;
            });
        }
    }
}

/// Starts a read of the claim.
fn begin_read(state: &mut State, me: BoxId) {
    state.phase[me] = Phase::Reading;
    state.messages.insert(Message::Get(me));
}

/// Adds the delivery of a message.
fn delivery_steps(
    state: &State,
    message: Message,
    mutant: Option<Mutant>,
    steps: &mut Steps<'_, State>,
) {
    let name = format!("{message:?}");
    match message {
        Message::Get(me) => {
            steps.add(name.clone(), |it| {
                it.messages.remove(&message);
                it.messages.insert(Message::Found(me, it.claim.0, it.claim.1));
            });
            if state.losses[0] > 0 {
                steps.add_optional(format!("{name} is lost"), |it| {
                    it.losses[0] -= 1;
                    it.messages.remove(&message);
                    it.messages.insert(Message::Away(me));
                });
            }
        }
        Message::Put(me, expected) => put_steps(state, me, expected, mutant, steps),
        Message::LatePut(me, expected) => steps.add(name, |it| {
            it.messages.remove(&message);
            apply_write(it, me, expected, mutant);
        }),
        Message::Found(me, version, bound) => steps.add(name, |it| {
            it.messages.remove(&message);
            if it.alive[me] && it.phase[me] == Phase::Reading {
                handle_found(it, me, version, bound, mutant);
            }
        }),
        Message::PutAnswer(me) => steps.add(name, |it| {
            it.messages.remove(&message);
            if it.alive[me] && it.phase[me] == Phase::Writing {
                begin_read(it, me);
            }
        }),
        Message::Away(me) => steps.add(name, |it| {
            it.messages.remove(&message);
            handle_no_answer(it, me, mutant);
        }),
        Message::Relay(me) => steps.add(name, |it| {
            it.messages.remove(&message);
            // A dead box does not answer; the outcome is reported as unknown.
            if it.alive[me] && !it.ran[me] {
                run_request(it, me);
            }
        }),
    }
}

/// Adds the outcomes of a write: it is answered, its answer is lost, or it takes effect late.
fn put_steps(
    state: &State,
    me: BoxId,
    expected: u8,
    mutant: Option<Mutant>,
    steps: &mut Steps<'_, State>,
) {
    let message = Message::Put(me, expected);
    steps.add(format!("{message:?}"), |it| {
        it.messages.remove(&message);
        apply_write(it, me, expected, mutant);
        it.messages.insert(Message::PutAnswer(me));
    });
    if state.losses[1] > 0 {
        steps.add_optional(format!("{message:?} and its answer is lost"), |it| {
            it.losses[1] -= 1;
            it.messages.remove(&message);
            apply_write(it, me, expected, mutant);
            it.messages.insert(Message::Away(me));
        });
    }
    if state.losses[2] > 0 {
        steps.add_optional(format!("{message:?} is late"), |it| {
            it.losses[2] -= 1;
            it.messages.remove(&message);
            it.messages.insert(Message::LatePut(me, expected));
            it.messages.insert(Message::Away(me));
        });
    }
}

/// Applies a write if the store has the expected version.
fn apply_write(state: &mut State, me: BoxId, expected: u8, mutant: Option<Mutant>) {
    let is_applied = state.claim.0 == expected || mutant == Some(Mutant::WriteBlindly);
    if is_applied && state.claim.0 < MAX_VERSION {
        state.claim = (state.claim.0 + 1, Some(me));
    }
}

/// Handles the answer to a box's read.
fn handle_found(
    state: &mut State,
    me: BoxId,
    version: u8,
    bound: Option<BoxId>,
    mutant: Option<Mutant>,
) {
    match bound {
        None => {
            state.phase[me] = Phase::Writing;
            state.messages.insert(Message::Put(me, version));
        }
        Some(home) if home == me => {
            state.phase[me] = Phase::Done;
            if !state.ran[me] || mutant == Some(Mutant::RunAgain) {
                run_request(state, me);
            }
        }
        Some(home) => {
            state.phase[me] = Phase::Done;
            if state.alive[home] {
                state.messages.insert(Message::Relay(home));
            } else if mutant == Some(Mutant::RunUnknownHome) {
                run_request(state, me);
            }
        }
    }
}

/// Handles the lack of an answer at a box.
fn handle_no_answer(state: &mut State, me: BoxId, mutant: Option<Mutant>) {
    if !state.alive[me] {
        return;
    }
    let was_writing = state.phase[me] == Phase::Writing;
    if was_writing && mutant == Some(Mutant::BelieveLostWrite) {
        state.phase[me] = Phase::Done;
        run_request(state, me);
        return;
    }
    state.phase[me] = Phase::Waiting;
}

/// Runs the request at a box.
fn run_request(state: &mut State, me: BoxId) {
    state.ran[me] = true;
    state.runs = (state.runs + 1).min(2);
}
