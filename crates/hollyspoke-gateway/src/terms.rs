//! Restrictions that engines have reported and that bind every sender, by incarnation and age.

use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::Engine;
use crate::{back_off, departure, rate_limit};

/// The restrictions of all engines that have reported any.
#[derive(Debug, Clone, Default)]
pub struct Terms {
    /// Limits on requests per second from all boxes together.
    pub limits: rate_limit::Table,
    /// Engines that are shutting down.
    pub departures: departure::Table,
    /// Engines that ask this box to back off.
    pub back_offs: back_off::Table,
}

/// What excludes requests from an engine, by its own report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Restriction {
    /// The engine is shutting down.
    ShuttingDown,
    /// The engine asks this box to back off, or accepts no more until it has answered.
    BackOff,
    /// The engine limits its requests per second.
    RateLimit,
}

impl Terms {
    /// Returns the strictest restriction on sending to an engine. An engine that is shutting down
    /// is still used if that has been known for at most `max_drain_age`.
    pub fn restriction(
        &self,
        engine: &Engine,
        max_drain_age: Option<Duration>,
        now: Time,
    ) -> Option<Restriction> {
        if !self.is_usable(engine, max_drain_age, now) {
            return Some(Restriction::ShuttingDown);
        }
        if self.back_offs.is_closed(engine, now) {
            return Some(Restriction::BackOff);
        }
        self.limits.of(engine.key).map(|_| Restriction::RateLimit)
    }

    /// Returns whether an engine is not shutting down, or that has been known for at most
    /// `max_drain_age`.
    pub fn is_usable(&self, engine: &Engine, max_drain_age: Option<Duration>, now: Time) -> bool {
        let departure = self.departures.of(engine);
        departure.is_none_or(|it| max_drain_age.is_some_and(|most| it.age(now) <= most))
    }

    /// Returns whether an engine is known to be shutting down.
    pub fn is_leaving(&self, engine: &Engine) -> bool {
        self.departures.of(engine).is_some()
    }
}
