//! The engines of a fleet: what they do with calls, how they crash and are back.

use std::time::Duration;

use hollyspoke_gateway::back_off;
use hollyspoke_gateway::effect::{Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{Answer, CallEvent, Probe};
use hollyspoke_gateway::statement::Statement;
use rand::Rng;

use super::{ANSWERS_IN_MS, Caller, Due, Fleet, STORE_ANSWERS_IN, STREAM_LASTS, TRANSIT};
use crate::crashes::{BACK_AFTER, CRASHES_AFTER, State};
use crate::gateway::{MODEL, PLAIN, engine, ran, read, turned_away};
use crate::repeats::Arrival;

impl Fleet {
    /// Has a call arrive at its engine, which answers.
    pub(super) fn arrive(&mut self, number: usize, life: u64, send: &Send) {
        let caller = Caller { number, life, call: send.call };
        let engine = send.engine.key;
        let State { crashes, down_until } = self.crashes.state(engine);
        if self.now < down_until {
            let unsent = Due::Answer(caller, engine, CallEvent::NotConnected);
            return self.plan(self.now + TRANSIT, unsent);
        }
        let limit = self.needs.arrive((number, life), engine, self.now);
        let terms = self.terms.arrive((number, life), engine, self.now);
        let says = Statement { limit, ..terms };
        if self.crashes.harmful.contains(&send.request) {
            let when_read = self.harmful.is_some_and(|it| it.when_read);
            if when_read || send.task != Task::Prefill {
                self.crashes.arrivals.push(self.now);
                return self.plan(self.now + CRASHES_AFTER, Due::Crash(caller, engine, crashes));
            }
        }
        let turns_away = self.random.random_bool(self.behaviour.turns_away);
        let is_turned_away = turns_away || says.back_off != back_off::Reported::Nothing;
        let is_failed = self.random.random_bool(self.behaviour.fails);
        let is_reading = send.task == Task::Prefill;
        let is_free = is_reading && !is_turned_away;
        let service = if send.engine.stage.is_some() { MODEL } else { PLAIN };
        self.records.arrivals.push(Arrival {
            service,
            flight: (number, life, send.request.0),
            at: self.now,
            is_free,
        });
        let events: &[CallEvent] = if is_turned_away {
            &[CallEvent::Answered(turned_away())]
        } else if is_reading {
            &[CallEvent::Answered(read("h"))]
        } else if is_failed {
            &[CallEvent::Answered(ran(500))]
        } else if send.task == Task::Plain {
            &[CallEvent::Answered(ran(200))]
        } else {
            &[CallEvent::Began(ran(200)), CallEvent::Answered(ran(200))]
        };
        let mut at = self.now + Duration::from_millis(self.random.random_range(ANSWERS_IN_MS));
        for event in events {
            self.plan(at, Due::Answer(caller, engine, saying(event, says)));
            at = at + STREAM_LASTS;
        }
    }

    /// Has an engine crash under a harmful request, unless it has crashed since that began.
    pub(super) fn crash_by(&mut self, caller: Caller, engine: EngineKey, before: u64) {
        if self.crashes.state(engine).crashes == before {
            self.crashes.caused.push(self.now);
            self.crash(engine, Some(caller));
        }
    }

    /// Has engines crash without a request's fault.
    pub fn crash_all(&mut self, engines: impl IntoIterator<Item = EngineKey>) {
        for engine in engines {
            self.crash(engine, None);
        }
    }

    /// Has an engine crash, under a call or not: what it has under way breaks.
    pub(super) fn crash(&mut self, engine: EngineKey, caller: Option<Caller>) {
        self.needs.forget(engine, self.now);
        self.terms.forget(engine);
        let state = self.crashes.states.entry(engine).or_default();
        state.crashes += 1;
        state.down_until = self.now + BACK_AFTER;
        self.reset(engine, caller);
        self.plan(self.now + BACK_AFTER, Due::Back(engine));
    }

    /// Has all connections to an engine break, and that of one call more.
    pub(super) fn reset(&mut self, engine: EngineKey, caller: Option<Caller>) {
        let mut broken: Vec<_> = caller.into_iter().collect();
        self.due.retain(|_, due| match due {
            Due::Answer(caller, of, ..) | Due::Crash(caller, of, _) if *of == engine => {
                if !broken.contains(caller) {
                    broken.push(*caller);
                }
                false
            }
            _ => true,
        });
        for caller in broken {
            let answer = Due::Answer(caller, engine, CallEvent::Broken);
            self.plan(self.now + TRANSIT, answer);
        }
    }

    /// Has all connections to engines break that go on living.
    pub fn reset_all(&mut self, engines: impl IntoIterator<Item = EngineKey>) {
        for engine in engines {
            self.reset(engine, None);
        }
    }

    /// Has a crashed engine be back, which all boxes hear from the store.
    pub(super) fn come_back(&mut self, engine: EngineKey) {
        self.store.revision.number += 1;
        let Some(engine) = self.engines().into_iter().find(|it| it.key == engine) else { return };
        let change = EngineChange::Put(engine, self.store.revision);
        for number in 0..self.members.len() {
            let at = self.now + STORE_ANSWERS_IN;
            self.plan(at, Due::Changed(number, vec![change.clone()]));
        }
    }

    /// Gives the engines as they are listed now.
    pub fn engines(&self) -> Vec<Engine> {
        let current = |it: Engine| {
            let crashes = self.crashes.state(it.key).crashes;
            let is_down = self.now < self.crashes.state(it.key).down_until;
            Engine { started_at: Some(crashes - u64::from(is_down)), ..it }
        };
        engines().into_iter().map(current).collect()
    }

    /// Has a box hear whether an engine lives.
    pub(super) fn probe(&mut self, number: usize, engine: EngineKey) {
        let State { crashes, down_until } = self.crashes.state(engine);
        let probe =
            if self.now < down_until { Probe::NoAnswer } else { Probe::Alive(Some(crashes)) };
        let life = self.members[number].life;
        self.plan(self.now + TRANSIT * 2, Due::Probed(number, life, engine, probe));
    }
}

/// Adds to an event what the engine says of itself.
fn saying(event: &CallEvent, statement: Statement) -> CallEvent {
    let add = |answer: &Answer| Answer { statement, ..answer.clone() };
    match event {
        CallEvent::Began(answer) => CallEvent::Began(add(answer)),
        CallEvent::Answered(answer) => CallEvent::Answered(add(answer)),
        other => other.clone(),
    }
}

/// Gives three plain engines, six that read prompts and twelve that generate.
fn engines() -> Vec<Engine> {
    let plain = (1..=3).map(|it| engine(it, PLAIN, None));
    let readers = (11..=16).map(|it| engine(it, MODEL, Some(Stage::Prefill)));
    let generators = (21..=32).map(|it| engine(it, MODEL, Some(Stage::Decode)));
    plain.chain(readers).chain(generators).collect()
}
