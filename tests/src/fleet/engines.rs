//! The engines of a fleet: how they answer calls, crash and restart.

use std::time::Duration;

use hollyspoke_gateway::back_off;
use hollyspoke_gateway::effect::{Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{Answer, CallEvent, Probe};
use hollyspoke_gateway::statement::Statement;
use rand::Rng;

use super::{ANSWER_DELAY_MS, CONNECT_TIMEOUT, Caller, Fleet, Path, Scheduled, TRANSIT};
use crate::crashes::{CRASH_DELAY, RESTART_DELAY, State};
use crate::gateway::{MODEL, PLAIN, engine, prefilled, ran, ran_unmarked, rejected};
use crate::repeats::Arrival;

impl Fleet {
    /// Handles a call that arrives at an engine, and schedules the answer.
    pub(super) fn arrive(&mut self, number: usize, start_count: u64, send: &Send) {
        let caller = Caller { number, start_count, call: send.call };
        let engine = send.engine.key;
        if let Some(delay) = self.connect_failure(number) {
            let unsent = Scheduled::Answer(caller, engine, CallEvent::NotConnected);
            return self.schedule(self.now + delay, unsent);
        }
        let State { crashes, down_until } = self.crashes.state(engine);
        if self.now < down_until {
            let unsent = Scheduled::Answer(caller, engine, CallEvent::NotConnected);
            return self.schedule(self.now + TRANSIT, unsent);
        }
        let is_tried = self.scheduled.values().any(|it| {
            let Scheduled::Crash(caller, of, _) = it else { return false };
            (caller.number, *of) == (number, engine)
        });
        if is_tried {
            self.crashes.joined.push(self.now);
        }
        let limit = self.rate_limits.arrive((number, start_count), engine, self.now);
        let stated = self.statements.arrive((number, start_count), engine, self.now);
        let statement = Statement { limit, ..stated };
        let is_sound = self.sound_version.is_some_and(|it| self.has_version(engine, it));
        if self.crashes.harmful.contains(&send.request) && !is_sound {
            let crashes_on_prefill = self.harmful.is_some_and(|it| it.crashes_on_prefill);
            if crashes_on_prefill || send.task != Task::Prefill {
                self.crashes.arrivals.push(self.now);
                return self
                    .schedule(self.now + CRASH_DELAY, Scheduled::Crash(caller, engine, crashes));
            }
            if self.harmful.is_none() {
                // Reaching an engine counts for a harmful part, also to be prefilled.
                self.crashes.arrivals.push(self.now);
            }
        }
        let reject_share = self.random.random_bool(self.behaviour.reject_share);
        let is_rejected = reject_share || statement.back_off != back_off::Reported::Nothing;
        let is_failed = self.random.random_bool(self.behaviour.fail_share);
        let is_prefill = send.task == Task::Prefill;
        let is_accepted_prefill = is_prefill && !is_rejected;
        let service = if send.engine.stage.is_some() { MODEL } else { PLAIN };
        self.records.arrivals.push(Arrival {
            service,
            request: (number, start_count, send.request.0),
            at: self.now,
            is_accepted_prefill,
        });
        let events: &[CallEvent] = if is_rejected {
            &[CallEvent::Answered(rejected())]
        } else if is_prefill {
            &[CallEvent::Answered(prefilled("h"))]
        } else if is_failed {
            &[CallEvent::Answered(ran(500))]
        } else if send.task == Task::Plain {
            &[CallEvent::Answered(ran(200))]
        } else if self.is_unmarked {
            &[CallEvent::Began(ran_unmarked(200)), CallEvent::Answered(ran_unmarked(200))]
        } else {
            &[CallEvent::Began(ran(200)), CallEvent::Answered(ran(200))]
        };
        let mut at = self.now + Duration::from_millis(self.random.random_range(ANSWER_DELAY_MS));
        if events.len() > 1 && self.schedule_events(caller, send, at) {
            return;
        }
        for event in events {
            self.schedule(at, Scheduled::Answer(caller, engine, with_statement(event, statement)));
            at = at + self.stream_duration;
        }
    }

    /// Crashes an engine by a harmful request, unless it has crashed since the request started
    /// there.
    pub(super) fn crash_by_request(&mut self, caller: Caller, engine: EngineKey, before: u64) {
        if self.crashes.state(engine).crashes == before {
            self.crashes.harmful_crashes.push(self.now);
            self.crash(engine, Some(caller));
        }
    }

    /// Crashes engines independently of requests.
    pub fn crash_all(&mut self, engines: impl IntoIterator<Item = EngineKey>) {
        for engine in engines {
            self.crash(engine, None);
        }
    }

    /// Crashes an engine, by a call or independently. Its connections break.
    pub(super) fn crash(&mut self, engine: EngineKey, caller: Option<Caller>) {
        self.rate_limits.forget(engine, self.now);
        self.statements.forget(engine);
        let state = self.crashes.states.entry(engine).or_default();
        state.crashes += 1;
        state.down_until = self.now + RESTART_DELAY;
        self.reset(engine, caller);
        self.schedule(self.now + RESTART_DELAY, Scheduled::Back(engine));
    }

    /// Breaks all connections to an engine, and additionally that of a call.
    pub(super) fn reset(&mut self, engine: EngineKey, caller: Option<Caller>) {
        let mut broken: Vec<_> = caller.into_iter().collect();
        self.scheduled.retain(|_, due| match due {
            Scheduled::Answer(caller, of, ..) | Scheduled::Crash(caller, of, _)
                if *of == engine =>
            {
                if !broken.contains(caller) {
                    broken.push(*caller);
                }
                false
            }
            _ => true,
        });
        for caller in broken {
            let answer = Scheduled::Answer(caller, engine, CallEvent::Broken);
            self.schedule(self.now + TRANSIT, answer);
        }
    }

    /// Breaks all connections to engines that stay alive.
    pub fn reset_all(&mut self, engines: impl IntoIterator<Item = EngineKey>) {
        for engine in engines {
            self.reset(engine, None);
        }
    }

    /// Restarts a crashed engine, which all boxes receive as a change from the store.
    pub(super) fn recover(&mut self, engine: EngineKey) {
        self.store.revision.number += 1;
        let Some(engine) = self.engines().into_iter().find(|it| it.key == engine) else { return };
        let change = EngineChange::Put(engine, self.store.revision);
        for number in 0..self.members.len() {
            let at = self.now + self.listing_delay;
            self.schedule(at, Scheduled::Changed(number, vec![change.clone()]));
        }
    }

    /// Returns the engines as the store lists them now.
    pub fn engines(&self) -> Vec<Engine> {
        let current = |it: Engine| {
            let crashes = self.crashes.state(it.key).crashes;
            let is_down = self.now < self.crashes.state(it.key).down_until;
            let version = self.software_version(it.key);
            Engine { started_at: Some(crashes - u64::from(is_down)), version, ..it }
        };
        engines().into_iter().chain(self.streams.joined.clone()).map(current).collect()
    }

    /// Schedules the result of a box's probe of an engine.
    pub(super) fn probe(&mut self, number: usize, engine: EngineKey) {
        let State { crashes, down_until } = self.crashes.state(engine);
        let failure = self.connect_failure(number);
        let is_answered = failure.is_none() && self.now >= down_until;
        let probe = if is_answered { Probe::Alive(Some(crashes)) } else { Probe::NotConnected };
        let start_count = self.members[number].start_count;
        self.schedule(
            self.now + failure.unwrap_or(TRANSIT * 2),
            Scheduled::Probed(number, start_count, engine, probe),
        );
    }

    /// Returns after what time a box's connection to any engine fails; none if it opens.
    fn connect_failure(&self, number: usize) -> Option<Duration> {
        match self.members[number].path {
            Path::Open => None,
            Path::Silent => Some(CONNECT_TIMEOUT),
            Path::Refused => Some(TRANSIT),
        }
    }
}

/// Adds an engine's statement to an event that carries an answer.
fn with_statement(event: &CallEvent, statement: Statement) -> CallEvent {
    let add = |answer: &Answer| Answer { statement, ..answer.clone() };
    match event {
        CallEvent::Began(answer) => CallEvent::Began(add(answer)),
        CallEvent::Answered(answer) => CallEvent::Answered(add(answer)),
        other => other.clone(),
    }
}

/// Returns three plain engines, six prefill engines and twelve decode engines.
fn engines() -> Vec<Engine> {
    let plain = (1..=3).map(|it| engine(it, PLAIN, None));
    let prefill_engines = (11..=16).map(|it| engine(it, MODEL, Some(Stage::Prefill)));
    let decode_engines = (21..=32).map(|it| engine(it, MODEL, Some(Stage::Decode)));
    plain.chain(prefill_engines).chain(decode_engines).collect()
}
