//! The mechanisms for overload and for uneven engines, each of which can be switched off.

use serde::Deserialize;

/// The mechanisms that are switched on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Features {
    /// Memory is reserved at a decode engine before a prompt is prefilled for it.
    pub reservations: bool,
    /// Engines receive the priority of each request.
    pub priorities: bool,
    /// Requests are admitted by priority and by customers' fair shares while capacity is short.
    pub admission: bool,
    /// Refused requests are given a time to return that is forecast from the load.
    pub appointments: bool,
    /// Engines are compared by the speed that their answers show.
    pub pace: bool,
    /// Running streams are moved away from engines that are shutting down.
    pub migration: bool,
    /// Streams that can't be repeated, and those with long prompts, are backed up at a second engine.
    pub backups: bool,
}

impl Default for Features {
    fn default() -> Features {
        Features { pace: true, ..Features::NONE }
    }
}

impl Features {
    /// No mechanism.
    pub const NONE: Features = Features {
        reservations: false,
        priorities: false,
        admission: false,
        appointments: false,
        pace: false,
        migration: false,
        backups: false,
    };

    /// All mechanisms.
    pub const ALL: Features = Features {
        reservations: true,
        priorities: true,
        admission: true,
        appointments: true,
        pace: true,
        migration: true,
        backups: true,
    };
}
