//! Rate limits that engines report with their answers, and that boxes announce to each other.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::LogEvent;
use crate::engine::EngineKey;
use crate::event::{Answer, Execution};
use crate::in_flight::Call;
use crate::message::{Extension, Message};
use crate::rate_limit::{Announcement, Change, Reported};

/// Lowest status of an unsuccessful answer.
const MIN_UNSUCCESSFUL_STATUS: u16 = 300;

impl Gateway {
    /// Learns the engine's limit from the answer to a call. An unsuccessful answer may come from a
    /// component that never reports a limit, so it does not lift one. The end of a stream is
    /// ignored, since its head has reported the limit long before.
    pub(super) fn learn_limit(&mut self, call: &Call, answer: &Answer) {
        if !call.has_begun() {
            let may_lift =
                answer.execution == Execution::Ran && answer.status < MIN_UNSUCCESSFUL_STATUS;
            self.apply_limit_report(call.engine.key, answer.statement.limit, call.sent, may_lift);
        }
    }

    /// Applies a limit that an engine reports in its answer to an order or a query.
    pub(super) fn learn_reported_limit(&mut self, engine: EngineKey, reported: Reported) {
        self.apply_limit_report(engine, reported, Time::ZERO, false);
    }

    /// Applies what an engine reported in the answer to something sent at `sent`.
    fn apply_limit_report(
        &mut self,
        engine: EngineKey,
        reported: Reported,
        sent: Time,
        may_lift: bool,
    ) {
        let Some(record) = self.directory.get(engine) else { return };
        let change =
            self.terms.limits.apply_report(&record.engine, reported, sent, may_lift, self.now);
        if let Some(change) = change {
            self.unannounced.limits.push(engine);
            self.handle_limit_change(engine, change, None, Duration::ZERO);
        }
    }

    /// Handles the limits in another box's announcement or permit questions.
    pub(super) fn receive_limits(&mut self, sender: SocketAddr, extension: &Extension) {
        let in_questions = extension.asks.iter().map(|it| &it.limit);
        for announcement in extension.limits.iter().chain(in_questions) {
            self.receive_limit(announcement, sender);
        }
    }

    /// Handles another box's announcement of one engine's limit.
    fn receive_limit(&mut self, announcement: &Announcement, sender: SocketAddr) {
        let Some(record) = self.directory.get(announcement.engine) else { return };
        if let Some(change) =
            self.terms.limits.apply_announcement(announcement, record.engine.started_at, self.now)
        {
            let age = Duration::from_millis(u64::from(announcement.age_ms));
            self.handle_limit_change(announcement.engine, change, Some(sender), age);
        }
    }

    /// Drops an engine's limit, since the box that issues its permits reports that it has none.
    pub(super) fn forget_limit(&mut self, engine: EngineKey) {
        self.terms.limits.forget(engine);
        self.handle_limit_change(engine, Change::Lifted, None, Duration::ZERO);
    }

    /// Applies and logs a change of an engine's limit.
    fn handle_limit_change(
        &mut self,
        engine: EngineKey,
        change: Change,
        announced_by: Option<SocketAddr>,
        age: Duration,
    ) {
        self.permits.held.clear_refusal(engine);
        self.start_issuing(engine);
        self.may_have_capacity = true;
        if let Some(record) = self.directory.get(engine) {
            let id = record.engine.id.clone();
            self.log(LogEvent::Limited { id, change, announced_by, age });
        }
    }

    /// Announces to all boxes immediately the limits that the engines themselves have changed.
    /// Limits received from other boxes are not forwarded, since every box would then announce to
    /// every other one.
    pub(super) fn announce_limits(&mut self) {
        let changed = std::mem::take(&mut self.unannounced.limits);
        let limits: Vec<_> = changed
            .into_iter()
            .filter_map(|it| self.terms.limits.announcement(it, self.now))
            .collect();
        if !limits.is_empty() {
            let extension = Extension { limits, ..Extension::default() }.non_empty();
            let message = Message { extension, ..self.message(false) };
            self.send_to_all(message);
        }
    }
}
