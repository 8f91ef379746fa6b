//! Grants and streams: no engine memory stays reserved by a request whose caller is gone.
//!
//! Bounds: two boxes, each the front of one request, either the owner; two engines with memory
//! for one stream each; one crash, one pause, one caller that disconnects; one message lost or
//! duplicated; messages reordered.

use std::collections::BTreeSet;

use crate::BoxId;
use crate::search::{Specification, Steps};

/// The maximum number of attempts of a request; after them the front reports a failure.
const MAX_ATTEMPTS: u8 = 2;

/// One attempt of a front's request: the front and the attempt's number.
pub type Ticket = (BoxId, u8);

/// A safeguard that the specification omits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The owner keeps the grants of a front that has timed out.
    GrantOutlivesFront,
    /// An owner does not sweep the engines for streams that its ledger lacks.
    NoSweep,
    /// A caller's disconnect frees nothing at the engine, and the owner does not sweep.
    ForgetCancel,
    /// A front that was paused continues under a grant that was revoked.
    SkipFence,
}

/// The phase of a front's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// The caller has not connected yet.
    Idle,
    /// The front has asked the owner.
    Asking,
    /// The front has a grant for an engine.
    Granted(usize),
    /// The front receives the engine's stream.
    Streaming(usize),
    /// The front has answered the caller, or reported a failure.
    Answered,
    /// The caller has disconnected.
    Gone,
}

/// A message in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// The front asks the owner.
    Ask(Ticket),
    /// The owner grants an engine.
    Grant(Ticket, usize),
    /// The front starts the stream at the engine.
    Begin(Ticket, usize),
    /// A box cancels the stream at the engine.
    Cancel(Ticket, usize),
    /// The owner revokes the grant.
    Fenced(Ticket),
}

/// A state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether each box is alive.
    alive: [bool; 2],
    /// Whether each box is paused.
    paused: [bool; 2],
    /// Whether each box was paused and has not detected it yet.
    stale: [bool; 2],
    /// The phase of each front's request.
    phase: [Phase; 2],
    /// The number of each front's attempt.
    attempt: [u8; 2],
    /// The owner.
    owner: BoxId,
    /// The attempt and the engine that the owner's ledger has for each front.
    ledger: [Option<(u8, usize)>; 2],
    /// The attempts whose grants the owner has revoked.
    fenced: BTreeSet<Ticket>,
    /// The attempt whose stream reserves each engine's memory.
    streams: [Option<Ticket>; 2],
    /// Whether a front streamed under a grant that was revoked.
    used_fenced_grant: bool,
    /// The messages in transit.
    messages: BTreeSet<Message>,
    /// The number of crashes left.
    crashes: u8,
    /// The number of pauses left.
    pauses: u8,
    /// The number of callers that may still disconnect.
    departures: u8,
    /// The number of messages that may still be lost or duplicated.
    message_faults: u8,
}

impl State {
    /// Returns whether a box is alive and not paused.
    fn is_running(&self, it: BoxId) -> bool {
        self.alive[it] && !self.paused[it]
    }

    /// Returns a front's current attempt.
    fn ticket(&self, front: BoxId) -> Ticket {
        (front, self.attempt[front])
    }

    /// Starts a front's next attempt, or gives up after the last.
    fn next_attempt(&mut self, front: BoxId) {
        self.attempt[front] += 1;
        let has_more = self.attempt[front] < MAX_ATTEMPTS;
        self.phase[front] = if has_more { Phase::Asking } else { Phase::Answered };
    }

    /// Removes an attempt from the owner's ledger.
    fn release(&mut self, ticket: Ticket) {
        if self.ledger[ticket.0].is_some_and(|(attempt, _)| attempt == ticket.1) {
            self.ledger[ticket.0] = None;
        }
    }
}

/// Builds the specification, without the mutant's safeguard if one is given.
pub fn specification(mutant: Option<Mutant>) -> Specification<State> {
    let initial = State {
        alive: [true; 2],
        paused: [false; 2],
        stale: [false; 2],
        phase: [Phase::Idle; 2],
        attempt: [0; 2],
        owner: 1,
        ledger: [None; 2],
        fenced: BTreeSet::new(),
        streams: [None; 2],
        used_fenced_grant: false,
        messages: BTreeSet::new(),
        crashes: 1,
        pauses: 1,
        departures: 1,
        message_faults: 1,
    };
    Specification {
        initial,
        steps: Box::new(move |state| {
            let mut steps = Steps::new(state);
            for front in 0..2 {
                if state.is_running(front) {
                    front_steps(state, front, mutant, &mut steps);
                }
                fault_steps(state, front, &mut steps);
            }
            owner_steps(state, mutant, &mut steps);
            for &message in &state.messages {
                delivery_steps(state, message, mutant, &mut steps);
            }
            let mut steps = steps.finish();
            steps.iter_mut().for_each(|it| forget_dead_messages(&mut it.next));
            steps.retain(|it| it.next != *state);
            steps
        }),
        check_invariants: Box::new(|state| {
            state
                .used_fenced_grant
                .then(|| "a front went on under a grant taken from it".to_owned())
        }),
        check_quiescence: Box::new(check_quiescence),
    }
}

/// Drops messages that change nothing whenever they arrive, to reduce the number of states.
fn forget_dead_messages(state: &mut State) {
    let messages = std::mem::take(&mut state.messages);
    let is_current = |(front, attempt): Ticket| state.attempt[front] == attempt;
    let kept = messages.iter().filter(|message| match **message {
        Message::Ask(ticket) => {
            is_current(ticket) && state.alive[ticket.0] && state.phase[ticket.0] == Phase::Asking
        }
        Message::Grant(ticket, _) => state.alive[ticket.0],
        Message::Fenced(ticket) => is_current(ticket) && state.alive[ticket.0],
        Message::Begin(..) => true,
        Message::Cancel(ticket, engine) => {
            let may_begin = messages.contains(&Message::Begin(ticket, engine));
            state.streams[engine] == Some(ticket) || may_begin
        }
    });
    state.messages = kept.copied().collect();
}

/// Describes memory that is not freed, or a caller that still waits, in a quiescent state.
fn check_quiescence(state: &State) -> Option<String> {
    let has_owner = state.is_running(0) || state.is_running(1);
    for (front, _) in state.streams.iter().flatten().copied() {
        let done = matches!(state.phase[front], Phase::Gone | Phase::Answered);
        if has_owner && !state.paused[front] && (!state.alive[front] || done) {
            return Some(format!("an engine holds memory for box {front}, which needs it no more"));
        }
    }
    let is_waiting = |it: BoxId| {
        let waiting = matches!(state.phase[it], Phase::Asking | Phase::Granted(_));
        state.is_running(it) && waiting
    };
    (is_waiting(0) || is_waiting(1)).then(|| "a caller waits for ever".to_owned())
}

/// Adds the steps of a front.
fn front_steps(state: &State, front: BoxId, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    let ticket = state.ticket(front);
    if state.stale[front] && mutant != Some(Mutant::SkipFence) {
        steps.add(format!("box {front} sees that it stood still"), |it| {
            it.stale[front] = false;
            let engine = match it.phase[front] {
                Phase::Granted(engine) => Some(engine),
                Phase::Streaming(engine) => return declare_stream(it, ticket, engine),
                Phase::Asking => None,
                Phase::Idle | Phase::Answered | Phase::Gone => return,
            };
            it.messages.extend(engine.map(|engine| Message::Cancel(ticket, engine)));
            it.release(ticket);
            it.next_attempt(front);
        });
        return;
    }
    match state.phase[front] {
        Phase::Idle => steps.add_optional(format!("a caller comes to box {front}"), |it| {
            it.phase[front] = Phase::Asking;
            it.messages.insert(Message::Ask(ticket));
        }),
        Phase::Asking => steps.add(format!("box {front} asks"), |it| {
            it.messages.insert(Message::Ask(ticket));
        }),
        Phase::Granted(engine) => {
            steps.add(format!("box {front} begins at engine {engine}"), |it| {
                it.messages.insert(Message::Begin(ticket, engine));
            });
        }
        Phase::Streaming(engine) => steps.add(format!("box {front} reads the end"), |it| {
            it.release(ticket);
            if it.streams[engine] == Some(ticket) {
                it.streams[engine] = None;
                it.phase[front] = Phase::Answered;
            } else {
                // The stream was cancelled: the front asks again and resumes.
                it.next_attempt(front);
            }
        }),
        Phase::Answered | Phase::Gone => {}
    }
    let is_waiting = !matches!(state.phase[front], Phase::Idle | Phase::Answered | Phase::Gone);
    if is_waiting && state.departures > 0 {
        steps.add_optional(format!("the caller of box {front} goes"), |it| {
            it.departures -= 1;
            if let Phase::Granted(engine) | Phase::Streaming(engine) = it.phase[front]
                && mutant != Some(Mutant::ForgetCancel)
            {
                it.messages.insert(Message::Cancel(ticket, engine));
            }
            it.phase[front] = Phase::Gone;
            it.release(ticket);
        });
    }
}

/// Declares a front's stream to the owner, which adopts it or answers that it is revoked.
fn declare_stream(state: &mut State, ticket: Ticket, engine: usize) {
    if !state.is_running(state.owner) {
        return;
    }
    if state.fenced.contains(&ticket) {
        state.messages.insert(Message::Fenced(ticket));
    } else {
        state.ledger[ticket.0] = Some((ticket.1, engine));
    }
}

/// Adds a crash, a pause and a resumption of a box.
fn fault_steps(state: &State, number: BoxId, steps: &mut Steps<'_, State>) {
    if state.alive[number] && state.crashes > 0 {
        steps.add_optional(format!("box {number} crashes"), |it| {
            it.crashes -= 1;
            it.alive[number] = false;
            it.paused[number] = false;
        });
    }
    if state.is_running(number) && state.pauses > 0 {
        steps.add_optional(format!("box {number} stands still"), |it| {
            it.pauses -= 1;
            it.paused[number] = true;
        });
    }
    if state.paused[number] {
        steps.add(format!("box {number} goes on"), |it| {
            it.paused[number] = false;
            it.stale[number] = true;
        });
    }
}

/// Adds the steps of the owner, and of the box that replaces it.
fn owner_steps(state: &State, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    let owner = state.owner;
    if !state.is_running(owner) {
        let other = 1 - owner;
        if state.is_running(other) {
            steps.add(format!("box {other} becomes the owner"), |it| {
                it.owner = other;
                it.ledger = [None; 2];
                it.fenced.clear();
            });
        }
        return;
    }
    for front in 0..2 {
        if let Some((attempt, engine)) = state.ledger[front]
            && !state.is_running(front)
            && mutant != Some(Mutant::GrantOutlivesFront)
        {
            steps.add(format!("the owner ends the grant of silent box {front}"), |it| {
                it.ledger[front] = None;
                it.fenced.insert((front, attempt));
                it.messages.insert(Message::Cancel((front, attempt), engine));
            });
        }
    }
    for engine in 0..2 {
        sweep_steps(state, engine, mutant, steps);
    }
}

/// Handles a stream on an engine that the owner's ledger lacks: its front declares it, or the
/// owner cancels it.
fn sweep_steps(state: &State, engine: usize, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    let Some(ticket) = state.streams[engine] else { return };
    let (front, attempt) = ticket;
    if state.ledger[front] == Some((attempt, engine)) {
        return;
    }
    let is_in_use = state.ticket(front) == ticket
        && matches!(state.phase[front], Phase::Granted(it) | Phase::Streaming(it) if it == engine);
    if state.is_running(front) && is_in_use && !state.fenced.contains(&ticket) {
        steps.add(format!("box {front} declares its stream"), |it| {
            it.ledger[front] = Some((attempt, engine));
        });
        return;
    }
    if matches!(mutant, Some(Mutant::NoSweep | Mutant::ForgetCancel)) {
        return;
    }
    steps.add(format!("the owner sweeps engine {engine}"), |it| {
        it.messages.insert(Message::Cancel(ticket, engine));
        it.fenced.insert(ticket);
        if it.is_running(front) {
            it.messages.insert(Message::Fenced(ticket));
        }
    });
}

/// Adds the delivery of a message; it may also be lost or duplicated.
fn delivery_steps(
    state: &State,
    message: Message,
    mutant: Option<Mutant>,
    steps: &mut Steps<'_, State>,
) {
    let is_deliverable = match message {
        Message::Ask(_) => state.is_running(state.owner),
        Message::Grant((front, _), _) | Message::Fenced((front, _)) => state.is_running(front),
        Message::Begin(..) | Message::Cancel(..) => true,
    };
    if is_deliverable {
        steps.add(format!("{message:?}"), |it| {
            it.messages.remove(&message);
            apply_message(it, message, mutant);
        });
    } else {
        steps.add(format!("{message:?} finds nobody"), |it| {
            it.messages.remove(&message);
        });
    }
    // A failed call to an engine is noticed and retried, so only messages between boxes are lost
    // for good.
    let between_boxes =
        matches!(message, Message::Ask(_) | Message::Grant(..) | Message::Fenced(_));
    if between_boxes && state.message_faults > 0 {
        steps.add_optional(format!("{message:?} is lost"), |it| {
            it.message_faults -= 1;
            it.messages.remove(&message);
        });
        if is_deliverable {
            steps.add_optional(format!("{message:?} arrives twice"), |it| {
                it.message_faults -= 1;
                apply_message(it, message, mutant);
            });
        }
    }
}

/// Applies a message at its recipient.
fn apply_message(state: &mut State, message: Message, mutant: Option<Mutant>) {
    match message {
        Message::Ask(ticket) => handle_ask(state, ticket),
        Message::Grant(ticket, engine) => {
            let front = ticket.0;
            let is_expected = state.ticket(front) == ticket && state.phase[front] == Phase::Asking;
            if is_expected && (!state.stale[front] || mutant == Some(Mutant::SkipFence)) {
                state.phase[front] = Phase::Granted(engine);
            } else if state.ticket(front) != ticket || state.phase[front] == Phase::Gone {
                state.release(ticket);
            }
        }
        Message::Begin(ticket, engine) => handle_begin(state, ticket, engine, mutant),
        Message::Cancel(ticket, engine) => {
            if state.streams[engine] == Some(ticket) {
                state.streams[engine] = None;
            }
        }
        Message::Fenced(ticket) => {
            let front = ticket.0;
            let (Phase::Granted(engine) | Phase::Streaming(engine)) = state.phase[front] else {
                return;
            };
            if state.ticket(front) == ticket && mutant != Some(Mutant::SkipFence) {
                state.messages.insert(Message::Cancel(ticket, engine));
                state.release(ticket);
                state.next_attempt(front);
            }
        }
    }
}

/// Handles a front's request for an engine at the owner.
fn handle_ask(state: &mut State, ticket: Ticket) {
    let front = ticket.0;
    if state.fenced.contains(&ticket) {
        return;
    }
    if let Some((attempt, engine)) = state.ledger[front] {
        if attempt == ticket.1 {
            state.messages.insert(Message::Grant(ticket, engine));
        }
        return;
    }
    let is_late = state.ticket(front) != ticket || state.phase[front] != Phase::Asking;
    if is_late {
        // The front returns a grant that answers a late request.
        return;
    }
    let other = state.ledger[1 - front].map(|(_, engine)| engine);
    let free = |it: &usize| other != Some(*it) && state.streams[*it].is_none();
    let Some(engine) = (0..2).find(free) else { return };
    state.ledger[front] = Some((ticket.1, engine));
    state.messages.insert(Message::Grant(ticket, engine));
}

/// Handles the start of a stream at an engine.
fn handle_begin(state: &mut State, ticket: Ticket, engine: usize, mutant: Option<Mutant>) {
    let front = ticket.0;
    let is_expected = state.ticket(front) == ticket && state.phase[front] == Phase::Granted(engine);
    let is_abandoned = !state.alive[front] || (state.stale[front] && !is_expected);
    if state.streams[engine].is_none() && (is_expected || is_abandoned) {
        state.streams[engine] = Some(ticket);
    }
    if !is_expected || !state.is_running(front) {
        return;
    }
    if state.streams[engine] == Some(ticket) {
        // A front that could know that its grant is revoked must not use it.
        let could_know = state.fenced.contains(&ticket) && state.stale[front];
        state.used_fenced_grant |= could_know && mutant == Some(Mutant::SkipFence);
        state.phase[front] = Phase::Streaming(engine);
    } else {
        // The engine has no free capacity: the owner releases the grant, and the front asks again.
        state.release(ticket);
        state.next_attempt(front);
    }
}
