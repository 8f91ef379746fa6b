//! Cold engines: this box's part of what they bear.

use super::Gateway;
use crate::cold::Part;
use crate::engine::EngineKey;
use crate::member::number;

impl Gateway {
    /// Gives this box's part of what cold engines bear.
    pub(super) fn cold_part(&self) -> Part {
        Part { number: number(&self.settings.peer), boxes: self.sharing_boxes() }
    }

    /// Notes that a call is sent to an engine, if that is cold.
    pub(super) fn note_cold(&mut self, engine: EngineKey) {
        if self.directory.get(engine).is_some_and(|it| it.is_cold(self.now)) {
            self.cold_turns.note(engine, self.now);
        }
    }
}
