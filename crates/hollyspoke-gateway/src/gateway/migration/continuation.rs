//! Continues streams from copies of their memory. A continuation counts as the same run.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::super::Gateway;
use super::super::start::NextCall;
use crate::effect::{Effect, LogEvent, Prompt, Source, Task};
use crate::engine::Engine;
use crate::placement::Choice;
use crate::request::{CallKey, RequestKey};

/// The time within which an engine that has the copy starts. It lets a continuation in first.
const EXPECTED_START: Duration = Duration::from_millis(50);

/// A stream that is about to continue from a copy.
#[derive(Debug, Clone)]
pub(super) struct Continuation {
    /// The copy.
    pub(super) copy: Source,
    /// The engine at which the stream ran before.
    pub(super) previous: Arc<Engine>,
    /// The engine that the last call was sent to.
    pub(super) current: Arc<Engine>,
    /// The engines that can still be tried, the best first.
    pub(super) destinations: VecDeque<Arc<Engine>>,
    /// Why the stream continues from a copy.
    pub(super) cause: Cause,
    /// When the move began, or the stream broke.
    pub(super) began: Time,
    /// Whether the next call has its token from the retry budget already.
    pub(super) has_token: bool,
}

/// Why a stream continues from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cause {
    /// It was moved, for this reason.
    Moved(&'static str),
    /// Its engine failed, and it was backed up.
    BackedUp,
}

impl Gateway {
    /// Continues a stream that has ended at its source, at the first destination that takes it.
    pub(super) fn continue_stream(&mut self, key: CallKey, destinations: Vec<Arc<Engine>>) {
        let Some(moved) = self.migrations.moves.remove(&key) else { return };
        self.release_target(&moved);
        let Some(call) = self.take_call(key) else { return self.free_copy(&moved) };
        self.effects.push(Effect::Cancel(key));
        let Some(handle) = moved.handle else { return self.call_lost(&call) };
        let copy = Source { engine: moved.source.key, address: moved.source.address, handle };
        let continuation = Continuation {
            copy,
            previous: moved.source,
            current: moved.target,
            destinations: destinations.into(),
            cause: Cause::Moved(moved.reason.name()),
            began: moved.began,
            has_token: true,
        };
        self.migrations.continuations.insert(call.request, continuation);
        if !self.continue_from_copy(call.request) {
            self.call_lost(&call);
        }
    }

    /// Sends the call with which a stream continues to the next destination. Returns whether there
    /// was one.
    pub(in crate::gateway) fn continue_from_copy(&mut self, key: RequestKey) -> bool {
        loop {
            let Some(next) = self.migrations.continuations.get_mut(&key) else { return false };
            let Some(engine) = next.destinations.pop_front() else { break };
            let source = next.previous.clone();
            if !self.may_continue_at(&engine, &source) {
                continue;
            }
            if !self.take_continuation_token(key) {
                break;
            }
            self.send_continuation(key, engine);
            return true;
        }
        self.drop_continuation(key, "refused");
        false
    }

    /// Takes the token for the next call of a continuation, unless it has one.
    fn take_continuation_token(&mut self, key: RequestKey) -> bool {
        let Some(next) = self.migrations.continuations.get_mut(&key) else { return false };
        std::mem::take(&mut next.has_token) || self.take_retry(key)
    }

    /// Sends the call with which a stream continues.
    fn send_continuation(&mut self, key: RequestKey, engine: Arc<Engine>) {
        let Some(next) = self.migrations.continuations.get_mut(&key) else { return };
        next.current = engine.clone();
        let task = Task::Decode(Prompt::Copied(next.copy.clone()));
        let choice = Choice { engine, expected: EXPECTED_START, queued_tokens: 0 };
        self.send(key, NextCall { task, choice, decode_engine: None }, true);
    }

    /// Records that a stream has continued from its copy.
    pub(in crate::gateway) fn stream_continued(&mut self, key: RequestKey) {
        let Some(done) = self.migrations.continuations.remove(&key) else { return };
        self.log_continuation(key, &done, "continued");
    }

    /// Frees the copy of a stream that doesn't continue from it.
    pub(in crate::gateway) fn drop_continuation(&mut self, key: RequestKey, outcome: &'static str) {
        let Some(dropped) = self.migrations.continuations.remove(&key) else { return };
        if dropped.has_token {
            self.refund_retry_of(key);
        }
        self.log_continuation(key, &dropped, outcome);
        let holder = match dropped.cause {
            Cause::Moved(_) => &dropped.previous,
            Cause::BackedUp => &dropped.current,
        };
        if self.accepts_transfers(holder) {
            self.effects.push(Effect::Free(dropped.copy));
        }
    }

    /// Logs the end of a continuation.
    fn log_continuation(&mut self, key: RequestKey, ended: &Continuation, outcome: &'static str) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        let request = in_flight.request.id.clone();
        let (source, target) = (ended.previous.id.clone(), ended.current.id.clone());
        let duration = self.now.since(ended.began);
        let event = match ended.cause {
            Cause::Moved(reason) if outcome == "continued" => {
                LogEvent::Moved { request, source, target, reason, duration }
            }
            Cause::Moved(reason) => {
                LogEvent::NotMoved { request, source, target: Some(target), reason, outcome }
            }
            Cause::BackedUp => LogEvent::BackupUsed { request, source, target, outcome },
        };
        self.log(event);
    }
}
