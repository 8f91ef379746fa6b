//! How many retries a box may make: a share of its first tries, so that retries can't feed an
//! overload.

/// The share of a retry that each first try earns.
pub const EARNED_PER_REQUEST: f64 = 0.1;

/// The most retries that may be saved up.
pub const MAX_SAVED: f64 = 10.0;

/// The most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// The retries that may be made now.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Retries saved up.
    saved: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { saved: MAX_SAVED }
    }
}

impl Budget {
    /// Earns for one first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Spends one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
