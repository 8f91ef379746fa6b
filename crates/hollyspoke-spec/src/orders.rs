//! Orders to engines under a lease whose holder may be paused.
//!
//! Bounds: two boxes, up to three fencing tokens; engine 0 compares the tokens of orders, engine 1
//! does not; two pauses, one crash. Orders to engine 0 have an unbounded delay. Orders to engine 1
//! have a maximum delay, and a new holder waits that long.

use std::collections::BTreeSet;

use crate::BoxId;
use crate::search::{Specification, Steps};

/// The highest fencing token.
const MAX_TOKEN: u8 = 3;

/// A safeguard that the specification omits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A holder sends orders without checking by its own clock that its lease is still valid.
    SkipFence,
    /// Engine 0 does not compare tokens.
    IgnoreToken,
    /// A new holder does not wait for the old holder's orders to arrive.
    NoWait,
}

/// A state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether each box is alive.
    alive: [bool; 2],
    /// Whether each box is paused.
    paused: [bool; 2],
    /// The token with which each box believes to hold the lease.
    held_token: [Option<u8>; 2],
    /// Whether the lease has lapsed by each box's own clock.
    lapsed: [bool; 2],
    /// The token in the store; zero before the first lease.
    token: u8,
    /// Whether the lease in the store has expired.
    expired: bool,
    /// The orders in transit: engine and token.
    orders: BTreeSet<(usize, u8)>,
    /// The highest token whose order each engine has carried out.
    newest_token: [u8; 2],
    /// An engine that carried out an older order after a newer one.
    violating_engine: Option<usize>,
    /// The number of pauses left.
    pauses: u8,
    /// The number of crashes left.
    crashes: u8,
}

/// Builds the specification, without the mutant's safeguard if one is given.
pub fn specification(mutant: Option<Mutant>) -> Specification<State> {
    let initial = State {
        alive: [true; 2],
        paused: [false; 2],
        held_token: [None; 2],
        lapsed: [false; 2],
        token: 0,
        expired: true,
        orders: BTreeSet::new(),
        newest_token: [0; 2],
        violating_engine: None,
        pauses: 2,
        crashes: 1,
    };
    Specification {
        initial,
        steps: Box::new(move |state| {
            let mut steps = Steps::new(state);
            for me in 0..2 {
                if state.alive[me] && !state.paused[me] {
                    box_steps(state, me, mutant, &mut steps);
                }
                fault_steps(state, me, &mut steps);
            }
            for &(engine, token) in &state.orders {
                order_steps(engine, token, mutant, &mut steps);
            }
            steps.finish()
        }),
        check_invariants: Box::new(|state| {
            let engine = state.violating_engine?;
            Some(format!("engine {engine} carried out an older order after a newer one"))
        }),
        check_quiescence: Box::new(|_| None),
    }
}

/// Adds the steps of a box: it acquires the lease, detects that it lapsed, or sends orders.
fn box_steps(state: &State, me: BoxId, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    if state.expired && state.held_token[me].is_none() && state.token < MAX_TOKEN {
        steps.add_optional(format!("box {me} takes the lease"), |it| {
            it.token += 1;
            it.expired = false;
            it.held_token[me] = Some(it.token);
            it.lapsed[me] = false;
        });
    }
    let Some(token) = state.held_token[me] else { return };
    if state.lapsed[me] && mutant != Some(Mutant::SkipFence) {
        steps.add(format!("box {me} sees that its lease has lapsed"), |it| {
            it.held_token[me] = None;
        });
        return;
    }
    for engine in 0..2 {
        let has_older_in_flight =
            state.orders.iter().any(|(other, older)| *other == engine && *older < token);
        let must_wait = engine == 1 && has_older_in_flight && mutant != Some(Mutant::NoWait);
        if !must_wait {
            steps.add_optional(
                format!("box {me} orders engine {engine} with token {token}"),
                |it| {
                    it.orders.insert((engine, token));
                },
            );
        }
    }
}

/// Adds the expiry of a lease, and pauses, resumptions and crashes of a box.
fn fault_steps(state: &State, me: BoxId, steps: &mut Steps<'_, State>) {
    let is_holder = state.held_token[me] == Some(state.token) && state.token > 0;
    if is_holder && !state.expired {
        // The holder uses a shorter duration than the store, so the lease lapses here first.
        if !state.lapsed[me] {
            steps.add_optional(format!("the lease of box {me} lapses by its own clock"), |it| {
                it.lapsed[me] = true;
            });
        } else {
            steps.add_optional("the lease expires for everybody", |it| it.expired = true);
        }
    }
    if !state.alive[me] && state.held_token[me].is_some() {
        steps.add_optional(format!("the lease of dead box {me} expires"), |it| {
            it.held_token[me] = None;
            it.expired = true;
        });
    }
    if state.alive[me] && !state.paused[me] && state.pauses > 0 {
        steps.add_optional(format!("box {me} stands still"), |it| {
            it.pauses -= 1;
            it.paused[me] = true;
        });
    }
    if state.paused[me] {
        steps.add(format!("box {me} goes on"), |it| it.paused[me] = false);
    }
    if state.alive[me] && state.crashes > 0 {
        steps.add_optional(format!("box {me} crashes"), |it| {
            it.crashes -= 1;
            it.alive[me] = false;
            it.paused[me] = false;
        });
    }
}

/// Adds the arrival of an order at its engine.
fn order_steps(engine: usize, token: u8, mutant: Option<Mutant>, steps: &mut Steps<'_, State>) {
    steps.add(format!("engine {engine} gets the order with token {token}"), |it| {
        it.orders.remove(&(engine, token));
        let is_older = token < it.newest_token[engine];
        let is_refused = engine == 0 && is_older && mutant != Some(Mutant::IgnoreToken);
        if is_refused {
            return;
        }
        if is_older {
            it.violating_engine = Some(engine);
        }
        it.newest_token[engine] = it.newest_token[engine].max(token);
    });
}
