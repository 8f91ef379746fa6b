//! The retry budget: retries are limited to a share of first attempts, so that they can't amplify
//! an overload.

/// The fraction of a retry that each first attempt earns.
pub const EARNED_PER_REQUEST: f64 = 0.1;

/// The maximum number of retries that may be saved up.
pub const MAX_SAVED: f64 = 10.0;

/// The maximum number of attempts of one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// The retries that may be made now.
#[derive(Debug, Clone)]
pub struct Budget {
    /// The number of retries saved up.
    saved: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { saved: MAX_SAVED }
    }
}

impl Budget {
    /// Adds the earnings of one first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Spends one retry; returns whether one was available.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
