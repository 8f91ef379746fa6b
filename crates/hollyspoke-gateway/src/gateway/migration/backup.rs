//! Backs up running streams at a second engine, from which they continue if the first one fails.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use super::super::Gateway;
use super::continuation::{Cause, Continuation};
use super::copy_between;
use crate::effect::{LogEvent, Source, Task};
use crate::engine::Engine;
use crate::in_flight::{Call, InFlight};
use crate::load::Urgency;
use crate::message::Load;
use crate::migration::{BackupCase, Copy, may_copy};
use crate::quarantine::Verdict;
use crate::request::RequestKey;
use crate::route::RouteKind;

/// The backup of a running stream.
#[derive(Debug, Clone)]
pub(super) struct Backup {
    /// The engine that receives it.
    engine: Arc<Engine>,
    /// The memory that it takes there.
    load: Load,
    /// The copy, for the bound on links.
    copy: Copy,
}

impl Gateway {
    /// Chooses the engine at which the stream of a decode call is backed up, if any, and counts the
    /// copy's memory there.
    pub(in crate::gateway) fn back_up(
        &mut self,
        key: RequestKey,
        task: &Task,
        engine: &Engine,
    ) -> Option<SocketAddr> {
        self.release_backup(key);
        if !self.settings.features.backups {
            return None;
        }
        let draw = self.draw();
        let in_flight = self.in_flight.get(&key)?;
        let backup = self.choose_backup(in_flight, task, engine, draw)?;
        let address = backup.engine.address;
        let request = in_flight.request.id.clone();
        let event = LogEvent::BackedUp {
            request,
            source: engine.id.clone(),
            target: backup.engine.id.clone(),
        };
        self.log(event);
        self.ledger.add(backup.engine.key, backup.load);
        self.migrations.backups.insert(key, backup);
        Some(address)
    }

    /// Chooses the engine at which a stream is backed up.
    fn choose_backup(
        &self,
        in_flight: &InFlight,
        task: &Task,
        engine: &Engine,
        draw: u64,
    ) -> Option<Backup> {
        let staged = in_flight.service.staged.filter(|it| it.operations.can_back_up)?;
        let is_stream = in_flight.route.kind == RouteKind::Stream;
        if !is_stream || !matches!(task, Task::Decode(_)) {
            return None;
        }
        let target = self.copy_target(in_flight, engine, &[engine.key], draw)?;
        let tokens = in_flight.request.mean_held_tokens();
        let case = BackupCase {
            is_idempotent: in_flight.route.is_idempotent(),
            prompt_tokens: in_flight.request.prompt_tokens_or_estimate(),
            tokens,
            held_tokens: u64::from(self.ledger.at(target.key).held_tokens),
            memory_tokens: staged.memory_tokens,
        };
        if !case.is_worthwhile() || !case.has_memory() {
            return None;
        }
        let copy = copy_between(in_flight, engine, &target)?;
        let in_progress: Vec<_> = self.migrations.backups.values().map(|it| it.copy).collect();
        let load = Load { prefill_tokens: 0, calls: 0, held_tokens: in_flight.capacity_units() };
        may_copy(&in_progress, copy).then_some(Backup { engine: target, load, copy })
    }

    /// Releases the memory of a request's backup in the ledger.
    pub(in crate::gateway) fn release_backup(&mut self, key: RequestKey) {
        if let Some(backup) = self.migrations.backups.remove(&key) {
            self.ledger.remove(backup.engine.key, backup.load, Urgency::Now);
        }
    }

    /// Continues a stream whose engine failed from its backup. Returns whether there is one.
    pub(in crate::gateway) fn continue_from_backup(&mut self, call: &Call) -> bool {
        let key = call.request;
        let Some(backup) = self.migrations.backups.get(&key).cloned() else { return false };
        self.release_backup(key);
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        let verdict = self.verdict(in_flight);
        let may_run = matches!(verdict, Verdict::Clear | Verdict::Suspect);
        // Without a forwarded event, nothing shows that the engine had begun to copy.
        if !may_run || !call.has_begun() || !call.progress.has_events() {
            return false;
        }
        let copy = Source {
            engine: backup.engine.key,
            address: backup.engine.address,
            handle: in_flight.request.id.to_string(),
        };
        let continuation = Continuation {
            copy,
            previous: call.engine.clone(),
            current: backup.engine.clone(),
            destinations: VecDeque::from([backup.engine]),
            cause: Cause::BackedUp,
            began: self.now,
            has_token: false,
        };
        self.migrations.continuations.insert(key, continuation);
        self.continue_from_copy(key)
    }
}
