//! How requests begin to run at an engine.

use std::net::SocketAddr;

use hollyspoke_tests::platform::Received;

use super::Engine;
use super::transfers::{call, is_copy};
use crate::keys::CUSTOMERS;
use crate::mutant::Mutant;

/// Counts a run as active until it is dropped.
pub(super) struct Run<'a> {
    /// The engine.
    engine: &'a Engine,
    /// Its memory, in tokens.
    tokens: u64,
}

impl Run<'_> {
    /// Begins a run.
    pub(super) fn begin(engine: &Engine, tokens: u64) -> Run<'_> {
        engine.memory.borrow_mut().begin(tokens);
        Run { engine, tokens }
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.engine.memory.borrow_mut().end(self.tokens);
    }
}

/// How a request may begin to run.
pub(super) struct Entry {
    /// The memory that it needs, in tokens.
    pub(super) tokens: u64,
    /// The copy that its stream goes on from.
    pub(super) copy: Option<String>,
    /// The valid reservation that it names.
    pub(super) reservation: Option<String>,
}

impl Engine {
    /// Returns whether it accepts no work at all.
    pub(super) fn rejects_all(&self) -> bool {
        self.is_switching.get() || self.terms.rest.get() > 0
    }

    /// Returns how a request may begin to run; `None` if it may not.
    pub(super) async fn enter(&self, received: &Received, attempt: &str) -> Option<Entry> {
        let reservation = received.header("x-kv-hold");
        let reservation = reservation.filter(|it| self.present(it, attempt)).map(str::to_owned);
        if self.rejects_all() || self.draw(attempt) < self.refuses.get() {
            return None;
        }
        let is_urgent = received.header("x-tenant") == Some(CUSTOMERS[0]);
        if self.settings.mutant == Some(Mutant::RefusesUrgent) && is_urgent {
            return None;
        }
        let tokens = self.tokens(received);
        let source = received.header("x-kv-source");
        let copy = source.and_then(|it| self.own_copy(it));
        let is_let_in = copy.is_some() || reservation.is_some();
        if !is_let_in && !self.memory.borrow().has_room(tokens) {
            return None;
        }
        if let Some(source) = source
            && copy.is_none()
            && !fetch(source).await
        {
            return None;
        }
        if let (Some(source), Some(name)) = (source, &copy) {
            self.use_copy(source, name);
        }
        Some(Entry { tokens, copy, reservation })
    }

    /// Returns the memory that a request needs, in tokens.
    fn tokens(&self, received: &Received) -> u64 {
        if self.settings.stage.is_none() {
            return 0;
        }
        let counts = received.header("x-token-count").unwrap_or_default();
        let counts = counts.split(',').filter_map(|it| it.trim().parse::<u64>().ok());
        let is_reading = received.header("x-serving-stage") == Some("prefill");
        counts.take(if is_reading { 1 } else { 2 }).sum()
    }
}

/// Returns the priority that a request names.
pub(super) fn priority(received: &Received) -> Option<u8> {
    received.header("x-request-priority")?.parse().ok()
}

/// Fetches a cached prompt from its prefill engine; returns whether it was there.
async fn fetch(source: &str) -> bool {
    let Some((address, name)) = source.split_once('/') else { return false };
    let Ok(address) = address.parse::<SocketAddr>() else { return false };
    !is_copy(name) && call(address, "DELETE", &format!("/kv-handle/{name}"), "").await
}
