//! The announcements of an engine that boxes must respect: a rate limit, a shutdown, a back-off.

use std::cell::Cell;

use super::Engine;
use crate::mutant::Mutant;
use crate::observation::What;

/// The announcements in an engine's answers.
#[derive(Debug, Default)]
pub(super) struct Terms {
    /// The limit in thousandths of a request a second; 0 for none.
    limit: Cell<u64>,
    /// Whether it announces that it is shutting down.
    is_leaving: Cell<bool>,
    /// The back-off that it asks for while it rejects all requests, in milliseconds; 0 if it does
    /// not reject them.
    pub(super) rest: Cell<u64>,
}

impl Engine {
    /// Announces another limit from now on, or none.
    pub(super) fn name_limit(&self, milli: u64) {
        self.terms.limit.set(milli);
        self.see(What::Limited { engine: self.settings.id.clone(), milli });
    }

    /// Announces in all answers from now on that it is shutting down.
    pub(super) fn say_leaving(&self) {
        self.terms.is_leaving.set(true);
        self.see(What::Leaving { engine: self.settings.id.clone() });
    }

    /// Returns the headers that announce the limit, if there is one, and whether the upstream is
    /// shutting down.
    pub(super) fn terms_headers(&self) -> String {
        let mut headers = String::new();
        let milli = self.terms.limit.get();
        if milli > 0 && self.settings.mutant != Some(Mutant::HidesLimit) {
            headers.push_str(&format!("Server-Limit: {}\r\n", milli as f64 / 1e3));
        }
        if self.terms.is_leaving.get() && self.settings.mutant != Some(Mutant::HidesLeaving) {
            headers.push_str("Server-Leaving: 1\r\n");
        }
        headers
    }

    /// Returns the header by which a rejection asks a box to back off, if it does.
    pub(super) fn rest_header(&self, attempt: &str) -> String {
        let milli = self.terms.rest.get();
        if milli == 0 {
            return String::new();
        }
        let (engine, attempt) = (self.settings.id.clone(), attempt.to_owned());
        self.see(What::AskedForRest { engine, attempt, milli });
        if self.settings.mutant == Some(Mutant::HidesRest) {
            return String::new();
        }
        format!("Retry-After: {}\r\n", milli as f64 / 1e3)
    }
}
