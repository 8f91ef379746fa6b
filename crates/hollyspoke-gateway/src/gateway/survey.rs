//! What the engines' memory holds when a box starts.
//!
//! If all boxes were lost at once, nobody knows any more where the prompts of the streams are that
//! clients come back with. Each box that starts asks a part of the engines, and tells the others;
//! requests that go on behind an event wait for that.

use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::Effect;
use crate::engine::{EngineKey, Stage};
use crate::in_flight::InFlight;
use crate::member::address_hash;
use crate::prompt::{CachedPrompt, PromptKey};
use crate::request::RequestKey;

/// The least time after a box can serve in which it hears which others have started.
const MIN_ASK_DELAY: Duration = Duration::from_millis(100);

/// The time without a new box after which all are taken to be heard. While some are missing, each
/// box would ask their engines too.
const QUIET_DURATION: Duration = Duration::from_millis(100);

/// The time after a box can serve at which it asks even if new boxes are still heard.
const MAX_ASK_DELAY: Duration = Duration::from_millis(900);

/// The time from the question by which the answers have come to all.
const ANSWER_DURATION: Duration = Duration::from_millis(250);

/// The most engines that one box asks. A box that has heard few others can't tell whether it is
/// one of few or cut off: without a bound the questions of all grow with boxes times engines.
const MAX_ASKED_ENGINES: usize = 16;

/// The most prompts that are noted of one engine.
const MAX_PROMPTS_PER_ENGINE: usize = 64;

/// How far a box is with asking the engines.
#[derive(Debug, Clone, Default)]
pub(super) struct Survey {
    /// When the box could first serve.
    ready_at: Option<Time>,
    /// When the engines are to be asked, if that is known yet and they were not asked.
    next_attempt: Option<Time>,
    /// When the engines were asked.
    asked_at: Option<Time>,
}

impl Survey {
    /// Gives when it is to be looked whether the engines can be asked.
    pub(super) fn due(&self) -> Option<Time> {
        self.next_attempt
    }

    /// Gives when the answers have come to all, at the latest.
    fn end(&self) -> Option<Time> {
        let asked = self.asked_at.or_else(|| self.ready_at.map(|it| it + MAX_ASK_DELAY))?;
        Some(asked + ANSWER_DURATION)
    }
}

impl Gateway {
    /// Asks this box's part of the engines which prompts they keep, once in its life and not
    /// before it has heard the other boxes.
    pub(super) fn survey(&mut self) {
        if self.survey.ready_at.is_none() && self.is_ready() {
            self.survey.ready_at = Some(self.now);
            self.survey.next_attempt = Some(self.now + MIN_ASK_DELAY);
        }
        let (Some(ready_at), Some(due)) = (self.survey.ready_at, self.survey.next_attempt) else {
            return;
        };
        if self.now < due {
            return;
        }
        let is_late = self.now.since(ready_at) >= MAX_ASK_DELAY;
        if !is_late && !self.members.is_settled(self.now, QUIET_DURATION) {
            self.survey.next_attempt = Some(self.now + QUIET_DURATION / 2);
            return;
        }
        self.survey.next_attempt = None;
        self.survey.asked_at = Some(self.now);
        if !self.is_stopping() {
            self.ask_engines();
        }
        self.wake_waiting_requests();
    }

    /// Asks the engines that fall to this box, as far as it knows the others.
    fn ask_engines(&mut self) {
        let mut nodes = self.members.alive();
        nodes.push(self.settings.peer);
        let own = address_hash(&self.settings.peer);
        let engines = self.directory.all().filter(|it| self.accepts_auxiliary(it.engine.key));
        let generators = engines.filter(|it| it.engine.stage == Some(Stage::Decode));
        let is_assigned =
            |engine: EngineKey| rank::first(engine.0, nodes.iter().map(address_hash)) == Some(own);
        let chosen = generators.filter(|it| is_assigned(it.engine.key));
        let chosen: Vec<_> = chosen.take(MAX_ASKED_ENGINES).map(|it| it.engine.clone()).collect();
        self.effects.extend(chosen.into_iter().map(Effect::QueryCachedPrompts));
    }

    /// Has the requests that wait for the answers looked at when these have come.
    fn wake_waiting_requests(&mut self) {
        let Some(end) = self.survey.end() else { return };
        for key in self.waiting.clone() {
            self.wake_at(key, Some(end));
        }
    }

    /// Takes an engine's answer.
    pub(super) fn apply_survey_answer(&mut self, engine: EngineKey, prompts: Vec<PromptKey>) {
        for prompt in prompts.into_iter().take(MAX_PROMPTS_PER_ENGINE) {
            if self.prompts.caching_engines(prompt).next().is_none() {
                self.prompts.observe(CachedPrompt { prompt, engine }, self.now);
            }
        }
    }

    /// Gives until when a request waits for word of its prompt: one that goes on behind an event
    /// has run before, and is late already.
    pub(super) fn survey_wait_until(&self, flight: &InFlight) -> Option<Time> {
        flight.request.last_event?;
        let prompt = flight.request.prompt?;
        let end = self.survey.end()?;
        let is_known = self.prompts.caching_engines(prompt).next().is_some();
        let is_first = flight.call_count == 0 && flight.service.staged.is_some();
        (is_first && !is_known && self.now < end).then_some(end)
    }

    /// Has a request wait until the engines have been asked.
    pub(super) fn wait_for_survey(&mut self, key: RequestKey, until: Time) {
        let Some(flight) = self.in_flight.get_mut(&key) else { return };
        if flight.waits_until.is_some() {
            return;
        }
        flight.waits_until = Some(flight.deadline);
        self.waiting.push(key);
        self.wake_at(key, Some(until));
    }
}
