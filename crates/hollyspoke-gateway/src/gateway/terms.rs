//! What engines say of themselves, whichever answer brings it.

use std::time::Duration;

use super::Gateway;
use crate::effect::Note;
use crate::engine::EngineKey;
use crate::flight::Call;
use crate::rest;
use crate::statement::Statement;

/// By which share of itself a rest is drawn out at most, so that boxes that were told together do not
/// come back together.
const SPREAD_SHARE: f64 = 0.1;

/// What each box adds to that.
const SPREAD_A_BOX: Duration = Duration::from_millis(10);

impl Gateway {
    /// Takes what an engine says of itself in an answer that is not that to a call. What an earlier
    /// life said says nothing of this one.
    pub(super) fn stated(&mut self, engine: EngineKey, says: &Statement) {
        let listed = self.directory.get(engine).map(|it| it.engine.born);
        if says.born.is_some() && listed.is_some_and(|it| says.born < it) {
            return;
        }
        self.named(engine, says.limit);
        let life = says.born.or(listed.flatten());
        self.learn_departure(engine, life, says);
        self.learn_rest(engine, says.rest);
    }

    /// Learns from the answer to a call.
    pub(super) fn learn_terms(&mut self, call: &Call, says: &Statement) {
        self.learn_departure(call.engine.key, call.engine.born, says);
        if !call.has_begun {
            self.learn_rest(call.engine.key, says.rest);
        }
    }

    /// Learns whether a life of an engine is about to leave.
    fn learn_departure(&mut self, engine: EngineKey, life: Option<u64>, says: &Statement) {
        if says.is_leaving && self.terms.departures.note(engine, life, self.now, self.now) {
            let id = self.engine_name(engine).into();
            self.note(Note::Leaving { id, told_by: None, age: Duration::ZERO });
        }
    }

    /// Learns for how long an engine wants nothing from this box.
    fn learn_rest(&mut self, engine: EngineKey, told: rest::Told) {
        if told == rest::Told::Nothing {
            return;
        }
        let boxes = u32::try_from(self.members.count(self.now)).unwrap_or(u32::MAX);
        let drawn = (self.draw() % 1000) as f64 / 1000.0;
        let spread = |span: Duration| {
            let most = span.mul_f64(SPREAD_SHARE) + SPREAD_A_BOX.saturating_mul(boxes);
            most.min(span).mul_f64(drawn)
        };
        let Some(known) = self.directory.get(engine) else { return };
        if let Some(change) = self.terms.rests.learn(&known.engine, told, spread, self.now) {
            let id = known.engine.id.clone();
            self.note(Note::Rest { id, change });
        }
    }

    /// Notes the departures and rests that have ended.
    pub(super) fn sweep_terms(&mut self) {
        let (now, directory) = (self.now, &self.directory);
        let listed = |it: EngineKey| directory.get(it).map(|it| &*it.engine);
        let left = self.terms.departures.sweep(now, listed);
        let rested = self.terms.rests.sweep(now, listed);
        for ended in left {
            let id = self.engine_name(ended.engine).into();
            self.note(Note::HasLeft { id, end: ended.end, age: now.since(ended.since) });
        }
        for ended in rested {
            let id = self.engine_name(ended.engine).into();
            self.note(Note::Rest { id, change: rest::Change::Ended(ended.after) });
        }
    }
}
