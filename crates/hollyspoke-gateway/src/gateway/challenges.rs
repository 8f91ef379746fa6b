//! Engines that others say have ended. What is said holds for one incarnation, and until that one
//! answers itself.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::engine::{Engine, EngineKey};
use crate::message::Message;
use crate::quarantine::Incarnation;

/// The longest time until an engine is asked, in milliseconds. Boxes read of a change at the same time,
/// and don't all ask at once.
const MAX_DELAY_MS: u64 = 300;

/// The interval between questions to an engine that doesn't answer.
const QUESTION_INTERVAL: Duration = Duration::from_secs(2);

/// A question that an engine is to be asked: whether it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Question {
    /// The start of the incarnation that is said to have ended.
    started_at: Option<u64>,
    /// When it is asked next.
    due: Time,
}

/// The engines to ask.
#[derive(Debug, Clone, Default)]
pub(super) struct Challenges {
    /// The questions by engine.
    questions: BTreeMap<EngineKey, Question>,
}

impl Challenges {
    /// Returns when the next question is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.questions.values().map(|it| it.due).min()
    }
}

impl Gateway {
    /// Handles an engine's answer that a call was not meant for it, and announces it.
    pub(super) fn mark_misdirected(&mut self, engine: &Engine) {
        let Engine { key, started_at, .. } = *engine;
        self.directory.mark_misdirected(key, started_at, self.now);
        self.unannounced.replaced.push(Incarnation { engine: key, started_at });
    }

    /// Handles what another box has found out about addresses. A box of an earlier version doesn't say
    /// which incarnation it means, so that the engine is asked.
    pub(super) fn receive_replaced(&mut self, message: &Message) {
        let known = message.extension.as_ref().map_or(&[][..], |it| &it.replaced);
        for &engine in &message.replaced {
            match known.iter().find(|it| it.engine == engine) {
                Some(it) => self.directory.mark_misdirected(engine, it.started_at, self.now),
                None => self.challenge(engine),
            }
        }
    }

    /// Asks the engines for which that is due whether they run.
    pub(super) fn advance_challenges(&mut self) {
        for engine in self.directory.take_challenged() {
            self.challenge(engine);
        }
        if self.challenges.next_due().is_none_or(|it| it > self.now) {
            return;
        }
        let directory = &self.directory;
        self.challenges.questions.retain(|engine, question| {
            let record = directory.get(*engine);
            record.is_some_and(|it| it.engine.started_at == question.started_at)
        });
        for (key, question) in std::mem::take(&mut self.challenges.questions) {
            let Some(record) = self.directory.get(key).filter(|_| question.due <= self.now) else {
                self.challenges.questions.insert(key, question);
                continue;
            };
            self.probe(&record.engine.clone());
            let due = self.now + QUESTION_INTERVAL;
            self.challenges.questions.insert(key, Question { due, ..question });
        }
    }

    /// Ends the question to an engine that has answered, as itself or as another one.
    pub(super) fn answer_challenge(&mut self, engine: EngineKey, is_replaced: bool) {
        let Some(question) = self.challenges.questions.remove(&engine) else { return };
        if is_replaced {
            self.directory.mark_misdirected(engine, question.started_at, self.now);
        }
    }

    /// Lets an engine be asked whether it runs.
    fn challenge(&mut self, engine: EngineKey) {
        let delay = Duration::from_millis(self.draw() % MAX_DELAY_MS);
        let Some(record) = self.directory.get(engine) else { return };
        let question = Question { started_at: record.engine.started_at, due: self.now + delay };
        self.challenges.questions.entry(engine).or_insert(question);
    }
}
