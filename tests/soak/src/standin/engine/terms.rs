//! What an engine says that binds whoever sends to it: a limit, that it leaves, a rest.

use std::cell::Cell;

use super::Engine;
use crate::mutant::Mutant;
use crate::observation::What;

/// What an engine says of itself in its answers.
#[derive(Debug, Default)]
pub(super) struct Terms {
    /// The thousandths of a request a second that it takes; 0 if it names no limit.
    limit: Cell<u64>,
    /// Whether it says that it is leaving.
    is_leaving: Cell<bool>,
    /// The rest that it asks for when it turns all away, in milliseconds; 0 if it does not.
    pub(super) rest: Cell<u64>,
}

impl Engine {
    /// Names another limit from now on, or none.
    pub(super) fn name_limit(&self, milli: u64) {
        self.terms.limit.set(milli);
        self.see(What::Limited { engine: self.settings.id.clone(), milli });
    }

    /// Says in all answers from now on that it is leaving.
    pub(super) fn say_leaving(&self) {
        self.terms.is_leaving.set(true);
        self.see(What::Leaving { engine: self.settings.id.clone() });
    }

    /// Gives the headers by which an answer names the limit, if there is one, and says whether the
    /// upstream is leaving.
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

    /// Gives the header by which a refusal asks for rest, if it does.
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
