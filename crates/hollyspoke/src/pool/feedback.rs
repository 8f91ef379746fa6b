//! Feedback to the ledger from the reports of engines and the outcomes of attempts.

use crate::context::Context;
use crate::effect::Effect;
use crate::event::Report;
use crate::health;
use crate::key::Ticket;
use crate::message::{End, Stage};
use crate::pool::{
    Engine, FULL_BACKOFF, HeldGrant, LENGTH_WEIGHT, Pool, SETTLE_TIMEOUT, STRAY_GRACE,
};
use crate::site::UpstreamId;
use crate::time::Time;

impl Pool {
    /// Handles an engine's report, or a failed poll if there is none.
    pub fn report(&mut self, cx: &mut Context<'_>, id: UpstreamId, report: Option<Report>) {
        let now = cx.now;
        let leaving = cx.site.engine(id).is_some_and(|it| it.leaving);
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let Some(report) = report else {
            engine.failed_polls += 1;
            self.update_unresponsive();
            return;
        };
        if engine.is_unresponsive {
            cx.note(format!("engine at {} answers again", engine.address));
        }
        engine.failed_polls = 0;
        engine.is_unresponsive = false;
        engine.leaving = leaving || report.leaving;
        engine.reported = Some(report.used_tokens);
        self.cancel_strays(cx, id, &report.streams);
        self.strays.retain(|(on, ticket), _| *on != id || report.streams.contains(ticket));
        if now.since(self.since) < SETTLE_TIMEOUT {
            return;
        }
        self.process_queue(cx);
    }

    /// Decides which engines are considered dead because their polls fail. If the polls of more
    /// than half of the engines fail, the cause is assumed to be the polling itself and no engine
    /// is marked.
    pub(super) fn update_unresponsive(&mut self) {
        let has_failed_polls = |it: &Engine| it.failed_polls >= health::EJECTION_FAILURES;
        let count = self.engines.values().filter(|it| has_failed_polls(it)).count();
        let is_majority = count * 2 > self.engines.len();
        for engine in self.engines.values_mut() {
            engine.is_unresponsive = has_failed_polls(engine) && !is_majority;
        }
    }

    /// Updates the ratio of generated to requested tokens from a completed attempt.
    pub(super) fn update_answer_share(&mut self, held: &HeldGrant, end: End) {
        let End::Done { tokens } = end else { return };
        let share = f64::from(tokens) / f64::from(held.grant.max_tokens.max(1));
        self.answer_share += LENGTH_WEIGHT * (share.min(1.0) - self.answer_share);
    }

    /// Cancels the streams on an engine that have not been in the ledger for [`STRAY_GRACE`].
    pub(super) fn cancel_strays(
        &mut self,
        cx: &mut Context<'_>,
        engine: UpstreamId,
        streams: &[Ticket],
    ) {
        let now = cx.now;
        for &ticket in streams {
            if self.grants.contains_key(&ticket) {
                self.strays.remove(&(engine, ticket));
                continue;
            }
            let since = *self.strays.entry((engine, ticket)).or_insert(now);
            let waited = now.since(since) >= STRAY_GRACE;
            if !waited || now.since(self.since) < STRAY_GRACE {
                continue;
            }
            let Some(row) = self.engines.get(&engine) else { return };
            cx.effect(Effect::Cancel { ticket, address: row.address.clone() });
        }
    }

    /// Records a transfer that did not finish; returns whether its link explains the failure, so
    /// that the engine is not blamed.
    pub(super) fn record_stalled_transfer(&mut self, now: Time, ticket: Ticket, end: End) -> bool {
        let Some(held) = self.grants.get(&ticket) else { return false };
        let (Stage::Transfer, Some((link, transfer_time))) = (held.grant.stage, held.transfer)
        else {
            return false;
        };
        if !matches!(end, End::Failed(_)) {
            return false;
        }
        let waited = now.since(held.since);
        let link = self.links.entry(link).or_default();
        link.record_stall(waited, transfer_time);
        link.explains_stall()
    }

    /// Updates the state of an engine from the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, cx: &mut Context<'_>, end: End) {
        let now = cx.now;
        match end {
            End::Done { .. } | End::Cancelled => {}
            End::Full(id) => {
                if let Some(engine) = self.engines.get_mut(&id) {
                    engine.full_until = now + FULL_BACKOFF;
                }
            }
            End::Failed(id) => {
                let Some(role) = self.engines.get(&id).map(|it| it.role) else { return };
                let group = self.engines.values().filter(|it| it.role == role);
                let (out, all) = group.fold((0, 0), |(out, all), it| {
                    (out + usize::from(it.health.is_out(now)), all + 1)
                });
                let Some(engine) = self.engines.get_mut(&id) else { return };
                if engine.health.fail(now, health::may_eject(out, all)) {
                    cx.note(format!("engine at {} is out of service", engine.address));
                }
            }
        }
    }
}
