//! What engines in need take: learnt from their answers.

use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::Note;
use crate::engine::EngineKey;
use crate::event::{Answer, Execution};
use crate::flight::Call;
use crate::intake::{Change, Told};

/// The lowest status of an answer that is no success.
const NO_SUCCESS: u16 = 300;

impl Gateway {
    /// Learns from the answer to a call. One of another engine at the same address says nothing; one
    /// that is no success may come from a part of the engine that names no limit, and lifts none.
    /// The end of a stream says nothing that its head has not said, long before.
    pub(super) fn learn_limit(&mut self, call: &Call, answer: &Answer) {
        if answer.execution != Execution::Moved && !call.has_begun {
            let may_lift = answer.execution == Execution::Ran && answer.status < NO_SUCCESS;
            self.learn_told(call.engine.key, answer.limit, call.sent, may_lift);
        }
    }

    /// Takes a limit that an engine names in its answer to an order or a question.
    pub(super) fn named(&mut self, engine: EngineKey, told: Told) {
        self.learn_told(engine, told, Time::ZERO, false);
    }

    /// Learns from an answer to something that was sent at a time.
    fn learn_told(&mut self, engine: EngineKey, told: Told, sent: Time, may_lift: bool) {
        let Some(known) = self.directory.get(engine) else { return };
        let change = self.intakes.learn(&known.engine, told, sent, may_lift, self.now);
        if let Some(change) = change {
            self.note_limit(engine, change);
        }
    }

    /// Adds a change of what an engine takes to the log.
    fn note_limit(&mut self, engine: EngineKey, change: Change) {
        if let Some(known) = self.directory.get(engine) {
            let id = known.engine.id.clone();
            self.note(Note::Limited { id, change });
        }
    }
}
