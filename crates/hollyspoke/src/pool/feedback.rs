//! Feedback to the ledger from the reports of engines and the outcomes of attempts.

use std::collections::BTreeSet;

use crate::context::Context;
use crate::effect::Effect;
use crate::event::Report;
use crate::health;
use crate::key::{Incarnation, Ticket};
use crate::message::{End, Message, Stage};
use crate::pool::{
    Engine, FULL_BACKOFF, GRANT_TTL, HeldGrant, LENGTH_WEIGHT, Pool, SETTLE_TIMEOUT, STRAY_GRACE,
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
        if std::mem::take(&mut engine.is_out_for_silence) {
            engine.health.readmit();
        }
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

    /// Cancels the streams on an engine that are not in the ledger once it is known that their
    /// fronts do not hold them, or no longer may. Fronts that have not said are asked.
    pub(super) fn cancel_strays(
        &mut self,
        cx: &mut Context<'_>,
        engine: UpstreamId,
        streams: &[Ticket],
    ) {
        let now = cx.now;
        let mut undeclared = BTreeSet::new();
        for &ticket in streams {
            if self.grants.contains_key(&ticket) {
                self.strays.remove(&(engine, ticket));
                continue;
            }
            let first_seen = *self.strays.entry((engine, ticket)).or_insert(now);
            let has_declared = self.has_declared_since(ticket.front, first_seen);
            let is_given_up = has_declared || self.fenced.contains_key(&ticket);
            if !is_given_up {
                undeclared.insert(ticket.front);
            }
            let grace = if is_given_up { STRAY_GRACE } else { GRANT_TTL };
            if now.since(first_seen) < grace || now.since(self.since) < grace {
                continue;
            }
            let Some(row) = self.engines.get(&engine) else { return };
            cx.effect(Effect::Cancel { ticket, address: row.address.clone() });
        }
        for front in undeclared.into_iter().filter(|it| cx.members.is_alive(*it)) {
            cx.send(front, Message::DeclareWanted(self.shard));
        }
    }

    /// Returns whether a front has declared its grants to this ledger after a time.
    fn has_declared_since(&self, front: Incarnation, time: Time) -> bool {
        let declared_at = self.fronts.get(&front).and_then(|it| it.declared_at);
        declared_at.is_some_and(|it| it > time)
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
                    engine.is_out_for_silence = engine.failed_polls > 0;
                    cx.note(format!("engine at {} is out of service", engine.address));
                }
            }
        }
    }
}
