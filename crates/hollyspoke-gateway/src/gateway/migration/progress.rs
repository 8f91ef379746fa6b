//! Carries out moves: the copies, the wait for the source's connection to close, and the end.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::super::Gateway;
use crate::effect::{Effect, Source};
use crate::engine::Engine;
use crate::load::Urgency;
use crate::message::Load;
use crate::migration::{self, Answer, Copy, Reason, Transfer};
use crate::request::{CallKey, RequestKey};

/// How long the events that a source sent before it stopped a stream may take to arrive. What is
/// still missing then is sent again by the target.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a stream is watched after the answer to its final copy was lost. If the source had
/// stopped it, the stream closes within this time, unless the source is silent.
const WATCH_DURATION: Duration = Duration::from_secs(1);

/// The move of a stream.
#[derive(Debug, Clone)]
pub(super) struct Move {
    /// The request whose stream is moved.
    pub(super) request: RequestKey,
    /// Why it is moved.
    pub(super) reason: Reason,
    /// The engine at which it runs.
    pub(super) source: Arc<Engine>,
    /// The engine at which it is to continue.
    pub(super) target: Arc<Engine>,
    /// The copy, for the bound on links.
    pub(super) copy: Copy,
    /// The load reserved at the target.
    pub(super) load: Load,
    /// The source's handle for the copy, once known.
    pub(super) handle: Option<String>,
    /// When the move began.
    pub(super) began: Time,
    /// Whether the source's connection closed without the end of the stream.
    pub(super) has_closed: bool,
    /// The progress.
    pub(super) phase: Phase,
}

/// The progress of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// The memory is copied while the stream runs.
    Copying,
    /// The source has been told to stop the stream and to copy the rest.
    Stopping,
    /// The stream continues once the source's connection has closed.
    Closing(Closing),
    /// The stream has ended; the answer to the transfer shows what has to be freed.
    Abandoned,
}

/// The wait for the end of the source's connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Closing {
    /// When the wait began, or was last extended.
    since: Time,
    /// The end of the wait.
    pub(super) until: Time,
    /// Whether the source has certainly stopped the stream, so that it continues elsewhere in any
    /// case. Otherwise it stays if it is still open at the end of the wait.
    is_stopped: bool,
    /// Whether the wait was extended because the source is silent.
    pub(super) is_extended: bool,
    /// The engines at which the stream can continue, the best first.
    destinations: Vec<Arc<Engine>>,
}

impl Gateway {
    /// Orders the source of a move to copy the stream's memory.
    pub(super) fn order_transfer(&mut self, call: CallKey, moved: &Move, is_final: bool) {
        self.effects.push(Effect::Transfer(Transfer {
            request: moved.request,
            call,
            source: moved.source.clone(),
            target: moved.target.address,
            is_final,
        }));
    }

    /// Handles the answer to a transfer.
    pub(in crate::gateway) fn handle_transfer_answer(&mut self, key: CallKey, answer: &Answer) {
        let Some(moved) = self.migrations.moves.get_mut(&key) else { return };
        if let Answer::Copied { handle, .. } | Answer::Refused { handle: Some(handle) } = answer {
            moved.handle = Some(handle.clone());
        }
        match moved.phase {
            Phase::Copying => self.first_copy_ended(key, answer),
            Phase::Stopping => self.final_copy_ended(key, answer),
            Phase::Closing(_) => {}
            Phase::Abandoned => {
                if let Some(moved) = self.migrations.moves.remove(&key) {
                    self.free_copy(&moved);
                }
            }
        }
    }

    /// Handles the end of the copy that was made while the stream ran: the source is told to stop
    /// it.
    fn first_copy_ended(&mut self, key: CallKey, answer: &Answer) {
        if !matches!(answer, Answer::Copied { .. }) {
            return self.transfer_failed(key, answer);
        }
        let Some(call) = self.calls.get(&key) else { return };
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        let remaining = self.remaining_time(call, in_flight);
        let moved = self.migrations.moves.get(&key).cloned();
        if !moved.is_some_and(|it| self.may_continue_at(&it.target, &it.source)) {
            return self.cancel_move(key, "target leaving");
        }
        if !migration::outlives_engine(remaining, Duration::ZERO) {
            return self.cancel_move(key, "nearly complete");
        }
        let Some(moved) = self.migrations.moves.get_mut(&key) else { return };
        moved.phase = Phase::Stopping;
        let moved = moved.clone();
        self.order_transfer(key, &moved, true);
    }

    /// Handles the end of the copy for which the source was told to stop the stream.
    fn final_copy_ended(&mut self, key: CallKey, answer: &Answer) {
        let Some(moved) = self.migrations.moves.get(&key) else { return };
        let (source, target) = (moved.source.clone(), moved.target.clone());
        let has_closed = moved.has_closed;
        let wait = |duration, is_stopped, destinations| Closing {
            since: self.now,
            until: self.now + duration,
            is_stopped,
            is_extended: false,
            destinations,
        };
        let closing = match answer {
            Answer::Copied { .. } => wait(CLOSE_TIMEOUT, true, vec![target, source]),
            Answer::Refused { handle: Some(_) } => wait(CLOSE_TIMEOUT, true, vec![source, target]),
            Answer::Unknown => wait(WATCH_DURATION, false, vec![target, source]),
            // The stream wasn't stopped by this order: if it closed, its source has failed.
            _ if has_closed => wait(CLOSE_TIMEOUT, false, vec![target]),
            _ => return self.transfer_failed(key, answer),
        };
        if has_closed {
            return self.continue_stream(key, closing.destinations);
        }
        if let Some(moved) = self.migrations.moves.get_mut(&key) {
            moved.phase = Phase::Closing(closing);
        }
    }

    /// Handles a transfer that failed without stopping the stream.
    fn transfer_failed(&mut self, key: CallKey, answer: &Answer) {
        let Some(moved) = self.migrations.moves.get(&key) else { return };
        let (request, target) = (moved.request, moved.target.key);
        let incarnation = (moved.source.key, moved.source.started_at);
        match answer {
            Answer::Refused { .. } => {
                let failed = self.migrations.failed.entry(request).or_default();
                failed.refused_by.push(target);
            }
            Answer::Unsupported => {
                self.migrations.unsupported.insert(incarnation);
            }
            _ => {}
        }
        self.cancel_move(key, outcome_name(answer));
    }

    /// Ends the waits for closing connections that are over.
    pub(super) fn end_closings(&mut self) {
        let now = self.now;
        let over = self.migrations.moves.iter().filter_map(|(&key, moved)| match &moved.phase {
            Phase::Closing(closing) if closing.until <= now => Some((key, closing.clone())),
            _ => None,
        });
        let over: Vec<_> = over.collect();
        for (key, closing) in over {
            if closing.is_stopped {
                self.continue_stream(key, closing.destinations);
            } else if self.is_silent_since(key, closing.since) {
                self.extend_watch(key, closing);
            } else {
                self.cancel_move(key, "no answer");
            }
        }
    }

    /// Returns whether a call has brought no event since a time.
    fn is_silent_since(&self, key: CallKey, since: Time) -> bool {
        self.calls.get(&key).is_some_and(|it| it.last_event_at < since)
    }

    /// Watches a stream for longer whose source is silent: the source may carry the order to stop it
    /// out once it goes on, and the stream then needs the copy.
    fn extend_watch(&mut self, key: CallKey, closing: Closing) {
        let Some(moved) = self.migrations.moves.get_mut(&key) else { return };
        let (since, until) = (self.now, self.now + WATCH_DURATION);
        moved.phase = Phase::Closing(Closing { since, until, is_extended: true, ..closing });
    }

    /// Handles that the connection of a call closed without the end of its stream. Returns whether a
    /// move has stopped the stream, so that this is expected.
    pub(in crate::gateway) fn stream_closed(&mut self, key: CallKey) -> bool {
        let Some(moved) = self.migrations.moves.get_mut(&key) else { return false };
        moved.has_closed = true;
        match &moved.phase {
            Phase::Copying | Phase::Abandoned => false,
            Phase::Stopping => true,
            Phase::Closing(closing) => {
                let destinations = closing.destinations.clone();
                self.continue_stream(key, destinations);
                true
            }
        }
    }

    /// Ends a move whose stream goes on at its source.
    fn cancel_move(&mut self, key: CallKey, outcome: &'static str) {
        let Some(moved) = self.migrations.moves.remove(&key) else { return };
        self.release_target(&moved);
        self.refund_retry_of(moved.request);
        self.free_copy(&moved);
        let target = Some(&*moved.target);
        self.record_failed_move(moved.request, &moved.source, target, moved.reason, outcome);
    }

    /// Ends the move of a stream that has ended.
    pub(in crate::gateway) fn abandon_move(&mut self, key: CallKey) {
        let moved = self.migrations.moves.get_mut(&key);
        let Some(moved) = moved.filter(|it| it.phase != Phase::Abandoned) else { return };
        let awaits_answer = matches!(moved.phase, Phase::Copying | Phase::Stopping);
        moved.phase = Phase::Abandoned;
        let moved = moved.clone();
        self.release_target(&moved);
        self.refund_retry_of(moved.request);
        let target = Some(&*moved.target);
        self.record_failed_move(moved.request, &moved.source, target, moved.reason, "ended");
        if !awaits_answer {
            self.migrations.moves.remove(&key);
            self.free_copy(&moved);
        }
    }

    /// Releases the load that a move has reserved at its target.
    pub(super) fn release_target(&mut self, moved: &Move) {
        self.ledger.remove(moved.target.key, moved.load, Urgency::Now);
    }

    /// Frees the copy of a move that isn't used, at the target if the source has failed.
    pub(super) fn free_copy(&mut self, moved: &Move) {
        let Some(handle) = moved.handle.clone() else { return };
        let engine = if moved.has_closed { &moved.target } else { &moved.source };
        if self.accepts_transfers(engine) {
            let source = Source { engine: engine.key, address: engine.address, handle };
            self.effects.push(Effect::Free(source));
        }
    }
}

/// Returns the name of an answer because of which a stream stays.
fn outcome_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Copied { .. } => "copied",
        Answer::NotRunning => "not running",
        Answer::InProgress => "copy in progress",
        Answer::Refused { .. } => "no memory",
        Answer::Unsupported => "not supported",
        Answer::NotConnected => "not reached",
        Answer::Unknown => "no answer",
    }
}
