//! Keys: a request that must run at most once, sent to its home and sent again to any box.
//!
//! Bounds: two boxes and two requests, each with box 0 as its home and up to three sendings; one
//! crash and restart, one cut in a box's view, one lost answer, messages in any order. What a
//! planned stop hands over, and when epochs are dropped, is left to the reducer's own tests.

use std::collections::BTreeSet;

use crate::BoxId;
use crate::search::{Specification, Steps};

/// The requests: the first must run at most once, the second may run again.
pub const REQUESTS: usize = 2;

/// A safeguard that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A key whose home is not known to live is run.
    RunUnknownHome,
    /// A call that failed after it was sent is said to be not run.
    SayNotRun,
    /// The home forgets a key when it has answered.
    ForgetAnswered,
}

/// What the home keeps of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kept {
    /// Nothing.
    Nothing,
    /// It runs.
    Running,
    /// It has ended, with an answer or not.
    Ended,
}

/// What is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A request to a box, by a caller.
    Send(usize, BoxId),
    /// A request that box 1 passes on to box 0.
    Relay(usize),
    /// The home's call of the service.
    Call(usize),
    /// The service's answer to the home.
    Answer(usize),
}

/// The state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether box 0 is still the incarnation that is the keys' home.
    home_lives: bool,
    /// Whether box 0 is up at all.
    up: bool,
    /// Whether box 1 takes the home for alive.
    seen_alive: bool,
    /// What the home keeps.
    kept: [Kept; REQUESTS],
    /// How often each request has run.
    runs: [u8; REQUESTS],
    /// Whether a caller was told that its request was not run after it had run.
    lied: bool,
    /// What is on its way.
    messages: BTreeSet<Message>,
    /// Sendings left for each request.
    sendings: [u8; REQUESTS],
    /// Crashes left.
    crashes: u8,
    /// Answers of the service that may still be lost.
    losses: u8,
}

/// Makes the specification.
pub fn specification(mutant: Option<Mutant>) -> Specification<State> {
    let initial = State {
        home_lives: true,
        up: true,
        seen_alive: true,
        kept: [Kept::Nothing; REQUESTS],
        runs: [0; REQUESTS],
        lied: false,
        messages: BTreeSet::new(),
        sendings: [3, 2],
        crashes: 1,
        losses: 1,
    };
    Specification {
        initial,
        steps: Box::new(move |state| {
            let mut steps = Steps::new(state);
            callers(state, &mut steps);
            faults(state, &mut steps);
            for &message in &state.messages {
                deliver(state, message, mutant, &mut steps);
            }
            steps.finish()
        }),
        broken: Box::new(|state| {
            if state.runs[0] > 1 {
                return Some("the request that must run at most once ran twice".to_owned());
            }
            state.lied.then(|| "a request that ran was said to be not run".to_owned())
        }),
        unfinished: Box::new(|state| {
            let waits = state.home_lives && state.kept.contains(&Kept::Running);
            waits.then(|| "a request runs for ever".to_owned())
        }),
    }
}

/// Callers send and send again, to either box.
fn callers(state: &State, steps: &mut Steps<'_, State>) {
    for request in 0..REQUESTS {
        for to in 0..2 {
            if state.sendings[request] > 0 {
                steps.may(format!("R{request} is sent to box {to}"), |it| {
                    it.sendings[request] -= 1;
                    it.messages.insert(Message::Send(request, to));
                });
            }
        }
    }
}

/// The home crashes and comes back as another incarnation; box 1's view changes.
fn faults(state: &State, steps: &mut Steps<'_, State>) {
    if state.crashes > 0 && state.up {
        steps.may("box 0 crashes", |it| {
            it.crashes -= 1;
            it.up = false;
            it.home_lives = false;
            it.kept = [Kept::Nothing; REQUESTS];
        });
    }
    if !state.up {
        steps.may("box 0 starts anew", |it| it.up = true);
    }
    let other_view = !state.seen_alive;
    steps.may(format!("box 1 takes the home for alive: {other_view}"), |it| {
        it.seen_alive = other_view;
    });
}

/// Delivers a message.
fn deliver(state: &State, message: Message, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    match message {
        Message::Send(request, 0) | Message::Relay(request) => {
            steps.add(format!("{message:?} reaches box 0"), |it| {
                it.messages.remove(&message);
                at_home(it, request);
            });
        }
        Message::Send(request, _) => {
            steps.add(format!("{message:?} reaches box 1"), |it| {
                it.messages.remove(&message);
                elsewhere(it, request, mutant);
            });
        }
        Message::Call(request) => call(state, request, mutant, steps),
        Message::Answer(request) => {
            steps.add(format!("the answer to R{request} reaches the home"), |it| {
                it.messages.remove(&message);
                if it.kept[request] == Kept::Running {
                    let forgets = mutant == Some(Mutant::ForgetAnswered);
                    it.kept[request] = if forgets { Kept::Nothing } else { Kept::Ended };
                }
            });
        }
    }
}

/// Box 0 gets a request.
fn at_home(state: &mut State, request: usize) {
    // Another incarnation is not the home: it answers that the outcome is unknown.
    let runs = state.home_lives && state.kept[request] == Kept::Nothing;
    if runs {
        state.kept[request] = Kept::Running;
        state.messages.insert(Message::Call(request));
    }
}

/// Box 1 gets a request.
fn elsewhere(state: &mut State, request: usize, mutant: Option<Mutant>) {
    if state.seen_alive {
        state.messages.insert(Message::Relay(request));
        return;
    }
    let repeatable = request == 1;
    if repeatable || mutant == Some(Mutant::RunUnknownHome) {
        state.runs[request] = (state.runs[request] + 1).min(2);
    }
}

/// The home's call reaches the service, or does not.
fn call(state: &State, request: usize, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    let message = Message::Call(request);
    steps.add(format!("the service runs R{request}"), |it| {
        it.messages.remove(&message);
        it.runs[request] = (it.runs[request] + 1).min(2);
        it.messages.insert(Message::Answer(request));
    });
    steps.may(format!("the service can't be connected to for R{request}"), |it| {
        it.messages.remove(&message);
        // Nothing was sent: the caller is told so, and may send the key again.
        it.kept[request] = Kept::Nothing;
    });
    if state.losses > 0 {
        steps.may(format!("the service runs R{request} and its answer is lost"), |it| {
            it.losses -= 1;
            it.messages.remove(&message);
            it.runs[request] = (it.runs[request] + 1).min(2);
            if it.kept[request] != Kept::Running {
                return;
            }
            let lies = mutant == Some(Mutant::SayNotRun);
            it.lied |= lies;
            it.kept[request] = if lies { Kept::Nothing } else { Kept::Ended };
        });
    }
}
