//! What engines have said of themselves that binds whoever sends to them, by life and age.

use crate::{departure, intake, rest};

/// The terms of all engines that have set any.
#[derive(Debug, Clone, Default)]
pub struct Terms {
    /// How many requests a second they take from all boxes together.
    pub limits: intake::Table,
    /// Those that are about to leave.
    pub departures: departure::Table,
    /// Those that want nothing from this box for a time.
    pub rests: rest::Table,
}
