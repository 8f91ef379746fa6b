//! The survey of the prompts that engines cache, at a box's start.
//!
//! If all boxes are lost at once, no box knows any more where the prompts of the streams are cached
//! that clients resume. Each box that starts asks some of the engines and announces the answers to
//! the others. Requests that resume after an event wait for them.

use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::Effect;
use crate::engine::{Engine, EngineKey, Stage};
use crate::in_flight::InFlight;
use crate::member::address_hash;
use crate::prompt::{CachedPrompt, PromptKey};
use crate::request::RequestKey;

/// The minimum delay after a box is ready, in which it learns which others have started.
const MIN_ASK_DELAY: Duration = Duration::from_millis(100);

/// The time without a new box after which all boxes count as received. While some are missing, each
/// box would ask their engines too.
const QUIET_DURATION: Duration = Duration::from_millis(100);

/// The delay after a box is ready at which it asks even if new boxes are still joining.
const MAX_ASK_DELAY: Duration = Duration::from_millis(900);

/// The time after asking within which all boxes have the answers.
const ANSWER_DURATION: Duration = Duration::from_millis(250);

/// The maximum number of engines that one box asks. A box that knows few others can't tell whether
/// there are few or it is cut off. Without the limit, the number of requests of all boxes grows
/// with boxes times engines.
const MAX_ASKED_ENGINES: usize = 16;

/// The maximum number of prompts recorded for one engine.
const MAX_PROMPTS_PER_ENGINE: usize = 64;

/// The progress of the survey.
#[derive(Debug, Clone, Default)]
pub(super) struct Survey {
    /// The time when the box became ready.
    ready_at: Option<Time>,
    /// The time when the engines are to be asked, until they have been.
    next_attempt: Option<Time>,
    /// The time when the engines were asked.
    asked_at: Option<Time>,
}

impl Survey {
    /// Returns when to check whether the engines can be asked.
    pub(super) fn due(&self) -> Option<Time> {
        self.next_attempt
    }

    /// Returns the latest time at which all boxes have the answers.
    fn end(&self) -> Option<Time> {
        let asked = self.asked_at.or_else(|| self.ready_at.map(|it| it + MAX_ASK_DELAY))?;
        Some(asked + ANSWER_DURATION)
    }
}

impl Gateway {
    /// Asks this box's share of the engines which prompts they cache, once after its start and not
    /// before it has received from the other boxes.
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

    /// Asks the engines that are assigned to this box among the live ones that it knows. In a large
    /// deployment, engines are assigned to the boxes of their data centre: the choice compares each
    /// engine with each box.
    fn ask_engines(&mut self) {
        let is_large = self.members.is_large();
        let own = address_hash(&self.settings.peer);
        let mut hashes = self.members.alive_hashes(is_large);
        hashes.push(own);
        let is_in_reach = |it: &Engine| !is_large || *it.data_centre == *self.settings.data_centre;
        let is_assigned =
            |engine: EngineKey| rank::first(engine.0, hashes.iter().copied()) == Some(own);
        let chosen = self.directory.all().filter(|it| {
            it.engine.stage == Some(Stage::Decode)
                && is_in_reach(&it.engine)
                && self.accepts_auxiliary(it.engine.key)
                && is_assigned(it.engine.key)
        });
        let chosen: Vec<_> = chosen.take(MAX_ASKED_ENGINES).map(|it| it.engine.clone()).collect();
        self.effects.extend(chosen.into_iter().map(Effect::QueryCachedPrompts));
    }

    /// Schedules the waiting requests for the time when the answers are there.
    fn wake_waiting_requests(&mut self) {
        let Some(end) = self.survey.end() else { return };
        for key in self.waiting.clone() {
            self.wake_at(key, Some(end));
        }
    }

    /// Records an engine's answer.
    pub(super) fn apply_survey_answer(&mut self, engine: EngineKey, prompts: Vec<PromptKey>) {
        for prompt in prompts.into_iter().take(MAX_PROMPTS_PER_ENGINE) {
            if self.prompts.caching_engines(prompt).next().is_none() {
                self.prompts.observe(CachedPrompt { prompt, engine }, self.now);
            }
        }
    }

    /// Returns until when a request waits for the survey. A request that resumes after an event has
    /// run before and is late already, so that only its first attempt waits, and only while no
    /// engine is known to cache its prompt.
    pub(super) fn survey_wait_until(&self, in_flight: &InFlight) -> Option<Time> {
        in_flight.request.last_event?;
        let prompt = in_flight.request.prompt?;
        let end = self.survey.end()?;
        let is_known = self.prompts.caching_engines(prompt).next().is_some();
        let is_first = in_flight.call_count == 0 && in_flight.service.staged.is_some();
        (is_first && !is_known && self.now < end).then_some(end)
    }

    /// Lets a request wait for the answers of the engines.
    pub(super) fn wait_for_survey(&mut self, key: RequestKey, until: Time) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        if in_flight.waits_until.is_some() {
            return;
        }
        in_flight.waits_until = Some(in_flight.deadline);
        self.waiting.push(key);
        self.wake_at(key, Some(until));
    }
}
