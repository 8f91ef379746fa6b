//! Reservations of an engine's memory and of one of its slots.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_tests::platform::Received;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::memory::{Lease, Purpose};
use super::{Breach, Engine, answer};
use crate::observation::{LeaseEnd, What};

/// The longest time for which an engine reserves memory.
pub const MAX_TTL: Duration = Duration::from_millis(2000);

impl Engine {
    /// Answers a request for a reservation; `None` if the answer is lost.
    pub(super) async fn reserve(self: &Rc<Engine>, received: &Received) -> Option<Vec<u8>> {
        let breach = self.draw_breach();
        if self.settings.stage.is_none() || breach == Some(Breach::Unknown) {
            return Some(answer(received, "404 Not Found", &self.terms_headers(), ""));
        }
        if self.is_other(received) {
            return Some(answer(received, "421 Misdirected Request", &self.terms_headers(), ""));
        }
        let body: Value = serde_json::from_slice(&received.body).unwrap_or_default();
        let tokens = body["tokens"].as_u64().unwrap_or_default();
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or_default()).min(MAX_TTL);
        let is_full = !self.memory.borrow().has_room(tokens) || self.rejects_all();
        if is_full || breach == Some(Breach::Refuse) {
            return Some(answer(received, "503 Service Unavailable", &self.terms_headers(), ""));
        }
        let name = format!("{}-r{}", self.settings.id, self.number());
        let until =
            Instant::now() + if breach == Some(Breach::Expire) { Duration::ZERO } else { ttl };
        let lease = Lease { purpose: Purpose::Reservation, tokens, has_slot: true, until };
        self.memory.borrow_mut().lease(&name, lease);
        let is_answered = !matches!(breach, Some(Breach::Lose | Breach::Late));
        let engine = self.settings.id.clone();
        self.see(What::Reserved { engine, name: name.clone(), tokens, is_answered });
        self.delay(breach).await;
        let body = json!({"hold": name}).to_string();
        let bytes = answer(received, "200 OK", &self.terms_headers(), &body);
        (breach != Some(Breach::Lose)).then_some(bytes)
    }

    /// Drops a reservation.
    pub(super) fn drop_reservation(&self, received: &Received, name: &str) -> Vec<u8> {
        let is_there = self.end_reservation(name, LeaseEnd::Dropped);
        let status = if is_there { "200 OK" } else { "404 Not Found" };
        answer(received, status, &self.terms_headers(), "")
    }

    /// Records that a request names a reservation; returns whether it is valid.
    pub(super) fn present(&self, name: &str, attempt: &str) -> bool {
        let (engine, attempt) = (self.settings.id.clone(), attempt.to_owned());
        self.see(What::ReservationPresented { engine, name: name.to_owned(), attempt });
        self.memory.borrow().has(name, Purpose::Reservation, Instant::now())
    }

    /// Ends a reservation; returns whether there was one.
    pub(super) fn end_reservation(&self, name: &str, how: LeaseEnd) -> bool {
        let is_there = self.memory.borrow_mut().take(name, Instant::now()).is_some();
        if is_there {
            let (engine, name) = (self.settings.id.clone(), name.to_owned());
            self.see(What::ReservationEnded { engine, name, how });
        }
        is_there
    }
}
