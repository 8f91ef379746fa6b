//! Keys: a request that must run at most once, sent to its home and resent to any box.
//!
//! Bounds: two boxes and two requests, each with box 0 as its home and up to three sends; one
//! crash and restart, any changes of box 1's view of the home, one lost answer, messages in any
//! order. The handover at a planned stop and the expiry of epochs are left to the reducer's tests.

use std::collections::BTreeSet;

use crate::BoxId;
use crate::search::{Specification, Steps};

/// The number of requests: request 0 must run at most once, request 1 is repeatable.
pub const REQUESTS: usize = 2;

/// A safeguard that the specification omits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A box runs a key whose home is not known to be alive.
    RunUnknownHome,
    /// A call that failed after it was sent is reported as not run.
    SayNotRun,
    /// The home forgets a key once it has answered.
    ForgetAnswered,
}

/// What the home knows of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyState {
    /// The key is unknown.
    Absent,
    /// The request is running.
    Running,
    /// The request has ended, with or without an answer.
    Ended,
}

/// A message in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A caller's request to a box.
    Send(usize, BoxId),
    /// A request that box 1 relays to box 0.
    Relay(usize),
    /// The home's call to the service.
    Call(usize),
    /// The service's answer to the home.
    Answer(usize),
}

/// A state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether box 0 is still in the incarnation that is the keys' home.
    is_home_alive: bool,
    /// Whether box 0 is running, in any incarnation.
    up: bool,
    /// Whether box 1 sees the home as alive.
    sees_home_alive: bool,
    /// The state of each key at the home.
    key_states: [KeyState; REQUESTS],
    /// How often each request has run; 2 stands for more.
    runs: [u8; REQUESTS],
    /// Whether a request that had run was reported as not run.
    misreported: bool,
    /// The messages in transit.
    messages: BTreeSet<Message>,
    /// The number of sends left for each request.
    sends_left: [u8; REQUESTS],
    /// The number of crashes left.
    crashes: u8,
    /// The number of the service's answers that may still be lost.
    losses: u8,
}

/// Builds the specification, without the mutant's safeguard if one is given.
pub fn specification(mutant: Option<Mutant>) -> Specification<State> {
    let initial = State {
        is_home_alive: true,
        up: true,
        sees_home_alive: true,
        key_states: [KeyState::Absent; REQUESTS],
        runs: [0; REQUESTS],
        misreported: false,
        messages: BTreeSet::new(),
        sends_left: [3, 2],
        crashes: 1,
        losses: 1,
    };
    Specification {
        initial,
        steps: Box::new(move |state| {
            let mut steps = Steps::new(state);
            caller_steps(state, &mut steps);
            fault_steps(state, &mut steps);
            for &message in &state.messages {
                delivery_steps(state, message, mutant, &mut steps);
            }
            steps.finish()
        }),
        check_invariants: Box::new(|state| {
            if state.runs[0] > 1 {
                return Some("the request that must run at most once ran twice".to_owned());
            }
            state.misreported.then(|| "a request that ran was said to be not run".to_owned())
        }),
        check_quiescence: Box::new(|state| {
            let is_waiting = state.is_home_alive && state.key_states.contains(&KeyState::Running);
            is_waiting.then(|| "a request runs for ever".to_owned())
        }),
    }
}

/// Adds the callers' sends and resends, to either box.
fn caller_steps(state: &State, steps: &mut Steps<'_, State>) {
    for request in 0..REQUESTS {
        for to in 0..2 {
            if state.sends_left[request] > 0 {
                steps.add_optional(format!("R{request} is sent to box {to}"), |it| {
                    it.sends_left[request] -= 1;
                    it.messages.insert(Message::Send(request, to));
                });
            }
        }
    }
}

/// Adds the home's crash, its restart in another incarnation, and changes of box 1's view.
fn fault_steps(state: &State, steps: &mut Steps<'_, State>) {
    if state.crashes > 0 && state.up {
        steps.add_optional("box 0 crashes", |it| {
            it.crashes -= 1;
            it.up = false;
            it.is_home_alive = false;
            it.key_states = [KeyState::Absent; REQUESTS];
        });
    }
    if !state.up {
        steps.add_optional("box 0 starts anew", |it| it.up = true);
    }
    let other_view = !state.sees_home_alive;
    steps.add_optional(format!("box 1 takes the home for alive: {other_view}"), |it| {
        it.sees_home_alive = other_view;
    });
}

/// Adds the delivery of a message.
fn delivery_steps(
    state: &State,
    message: Message,
    mutant: Option<Mutant>,
    steps: &mut Steps<'_, State>,
) {
    match message {
        Message::Send(request, 0) | Message::Relay(request) => {
            steps.add(format!("{message:?} reaches box 0"), |it| {
                it.messages.remove(&message);
                handle_at_home(it, request);
            });
        }
        Message::Send(request, _) => {
            steps.add(format!("{message:?} reaches box 1"), |it| {
                it.messages.remove(&message);
                handle_elsewhere(it, request, mutant);
            });
        }
        Message::Call(request) => call_steps(state, request, mutant, steps),
        Message::Answer(request) => {
            steps.add(format!("the answer to R{request} reaches the home"), |it| {
                it.messages.remove(&message);
                if it.key_states[request] == KeyState::Running {
                    let is_forgotten = mutant == Some(Mutant::ForgetAnswered);
                    it.key_states[request] =
                        if is_forgotten { KeyState::Absent } else { KeyState::Ended };
                }
            });
        }
    }
}

/// Handles a request at box 0.
fn handle_at_home(state: &mut State, request: usize) {
    // Another incarnation is not the home and reports the outcome as unknown.
    let is_new = state.is_home_alive && state.key_states[request] == KeyState::Absent;
    if is_new {
        state.key_states[request] = KeyState::Running;
        state.messages.insert(Message::Call(request));
    }
}

/// Handles a request at box 1.
fn handle_elsewhere(state: &mut State, request: usize, mutant: Option<Mutant>) {
    if state.sees_home_alive {
        state.messages.insert(Message::Relay(request));
        return;
    }
    let repeatable = request == 1;
    if repeatable || mutant == Some(Mutant::RunUnknownHome) {
        state.runs[request] = (state.runs[request] + 1).min(2);
    }
}

/// Adds the outcomes of the home's call to the service: it runs, fails to connect, or its answer
/// is lost.
fn call_steps(state: &State, request: usize, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    let message = Message::Call(request);
    steps.add(format!("the service runs R{request}"), |it| {
        it.messages.remove(&message);
        it.runs[request] = (it.runs[request] + 1).min(2);
        it.messages.insert(Message::Answer(request));
    });
    steps.add_optional(format!("the service can't be connected to for R{request}"), |it| {
        it.messages.remove(&message);
        // Nothing was sent: the caller is informed and may resend the key.
        it.key_states[request] = KeyState::Absent;
    });
    if state.losses > 0 {
        steps.add_optional(format!("the service runs R{request} and its answer is lost"), |it| {
            it.losses -= 1;
            it.messages.remove(&message);
            it.runs[request] = (it.runs[request] + 1).min(2);
            if it.key_states[request] != KeyState::Running {
                return;
            }
            let is_misreported = mutant == Some(Mutant::SayNotRun);
            it.misreported |= is_misreported;
            it.key_states[request] =
                if is_misreported { KeyState::Absent } else { KeyState::Ended };
        });
    }
}
