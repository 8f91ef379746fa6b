//! What engines have said of themselves that binds whoever sends to them, by life and age.

use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::Engine;
use crate::{back_off, departure, rate_limit};

/// The terms of all engines that have set any.
#[derive(Debug, Clone, Default)]
pub struct Terms {
    /// How many requests a second they take from all boxes together.
    pub limits: rate_limit::Table,
    /// Those that are about to leave.
    pub departures: departure::Table,
    /// Those that want nothing from this box for a time.
    pub back_offs: back_off::Table,
}

/// What keeps requests from an engine by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Restriction {
    /// It is about to leave.
    Leaving,
    /// It wants nothing from this box for a time, or nothing more until it has answered.
    BackOff,
    /// It takes only so many requests a second.
    RateLimit,
}

impl Terms {
    /// Gives what keeps requests from an engine: of several the strictest. One that leaves is used all
    /// the same while that is known for no longer than a time, if one is given.
    pub fn restriction(
        &self,
        engine: &Engine,
        leaving_for: Option<Duration>,
        now: Time,
    ) -> Option<Restriction> {
        if !self.is_usable(engine, leaving_for, now) {
            return Some(Restriction::Leaving);
        }
        if self.back_offs.is_closed(engine, now) {
            return Some(Restriction::BackOff);
        }
        self.limits.of(engine.key).map(|_| Restriction::RateLimit)
    }

    /// Tells whether an engine does not leave, or is used all the same while that is known for no longer
    /// than a time.
    pub fn is_usable(&self, engine: &Engine, leaving_for: Option<Duration>, now: Time) -> bool {
        let departure = self.departures.of(engine);
        departure.is_none_or(|it| leaving_for.is_some_and(|most| it.age(now) <= most))
    }

    /// Tells whether an engine is known to leave.
    pub fn is_leaving(&self, engine: &Engine) -> bool {
        self.departures.of(engine).is_some()
    }
}
