//! Gets what this box lacks of the store's state, from the store or from other boxes.

use hollyspoke::time::Time;

use super::Gateway;
use super::era::KINDS;
use crate::catch_up::{Progress, QUIET_DURATION, Surroundings, reader_doublings};
use crate::effect::{Effect, LogEvent};
use crate::event::Kind;
use crate::message::StoreView;

impl Gateway {
    /// Returns whether this box reads the store itself for what it lacks.
    pub fn reads_store(&self) -> bool {
        self.are_engines_listed || self.catch_up.reads_store()
    }

    /// Returns when this box has something to do for what it lacks.
    pub(super) fn next_catch_up_at(&self) -> Option<Time> {
        self.catch_up.next_due(self.are_engines_listed)
    }

    /// Does what is due to get what this box lacks.
    pub(super) fn advance_catch_up(&mut self) {
        if !self.are_engines_listed && self.catch_up.is_decision_due(self.now) {
            self.decide_first_read();
        }
        if self.catch_up.is_ask_due(self.now) {
            self.ask_for_missing();
        }
    }

    /// Decides whether this box reads its first list from the store.
    fn decide_first_read(&mut self) {
        let elapsed = self.now.since(Time::ZERO);
        let are_many = self.members.expects_many();
        self.peek_census();
        let surroundings = Surroundings {
            elapsed,
            are_many,
            are_few: self.has_few_boxes(),
            is_settled: self.members.is_settled(self.now, QUIET_DURATION),
            has_ready: self.members.has_ready(),
            is_reader: are_many && self.is_reader(reader_doublings(elapsed)),
        };
        if self.catch_up.decide(surroundings, self.now) {
            self.effects.extend(KINDS.map(Effect::Read));
        }
    }

    /// Records the view of the store that another box has announced. With few boxes, each reads
    /// what it has missed from the store.
    pub(super) fn receive_store_view(&mut self, view: StoreView) {
        let is_newer = self.are_engines_listed && view.revision > self.directory.complete();
        if is_newer && self.members.is_large() {
            self.catch_up.record_newer(view.revision, self.now);
        }
    }

    /// Asks another box for what is missing, and reads the store if it is missing for long.
    fn ask_for_missing(&mut self) {
        if self.are_engines_listed {
            match self.catch_up.check(self.directory.complete(), self.now) {
                Progress::Current => return,
                Progress::Reached(after) => return self.log(LogEvent::CaughtUp { after }),
                Progress::FarBehind => self.effects.push(Effect::Read(Kind::Engines)),
                Progress::Behind => {}
            }
        }
        let was_sent = self.request_snapshot();
        let random = self.draw_share();
        self.catch_up.record_ask(was_sent, random, self.now);
    }

    /// Asks another box soon if something is still missing after one has answered or failed.
    pub(super) fn ask_another(&mut self) {
        let random = self.draw_share();
        self.catch_up.record_answer(random, self.now);
    }
}
