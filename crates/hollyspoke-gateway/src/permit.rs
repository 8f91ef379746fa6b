//! Permits to send requests to engines that take only so many a second from all boxes together.
//!
//! Each engine has one box that issues its permits: of those that live the first in an order drawn
//! by a hash, near the engine. A box that has a request for such an engine asks that one, and sends
//! with a permit alone. So the work may be at any of a thousand boxes, and the limit is used whole.
//!
//! Boxes may differ on who lives. A side that hears most of all boxes issues the whole limit, and
//! there is one such side at most. To each other side belong the parts of those of its boxes that
//! come first of all known ones for the engine. Engines count over 4 s; in any such time, with all
//! restarts, since a box begins with nothing, the sum is at most
//!
//! - `USED_SHARE` of the limit over that time and the life of a permit, and `BURST`;
//! - [`PART_COUNT`] times `PART_SHARE` of the limit over the same time, and one for each part;
//! - what a side issues on until it misses the boxes that were cut off: `USED_SHARE` for as long.
//!
//! With 1.3 s for the last, that is 5.95 times the limit, and 5, where 6 times the limit and 5 are
//! allowed.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::EngineKey;
use crate::rate_limit::Announcement;

/// The share of a limit that is issued by a side with most boxes. The rest is for calls that are held
/// up on the way and come together.
const USED_SHARE: f64 = 0.95;

/// The permits that such a side issues at once at most, when none was asked for in a while. Where twice
/// the work of a limit of 1 to 3.5 a second comes, one alone leaves 0.28 to 0.32 of the limit unused,
/// two leave 0.07 to 0.09 (66 boxes in virtual time, 200 s).
const BURST: f64 = 2.0;

/// The parts of a limit that belong to boxes which do not hear most of the others.
pub const PART_COUNT: usize = 3;

/// The share of a limit that is one part. All parts together leave the other side what it may use.
const PART_SHARE: f64 = 0.2 / PART_COUNT as f64;

/// How long a permit can be used. A request waits for it, so that it is used at once; one whose
/// request has gone elsewhere is left for the next.
const PERMIT_LIFETIME: Duration = Duration::from_millis(100);

/// How long an answer to a question for a permit may take; a datagram and its answer take up to 30 ms
/// between regions. Later ones are worth nothing, so that what is sent does not gather.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// How long nothing more is asked for an engine after a question got no answer, or was asked of a box
/// that does not issue its permits: boxes that differ on who lives agree with the next heartbeats.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long it is believed at most that there is no permit: the box that issues them, or what it may
/// issue, may be another one by then.
const MAX_REFUSAL_DURATION: Duration = Duration::from_secs(1);

/// A question for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// The number of the question at the box that asks.
    pub number: u64,
    /// What that box knows of the engine's limit.
    pub word: Announcement,
    /// For how long the request may wait for its turn, in milliseconds.
    pub patience_ms: u32,
}

/// The answer to a question for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// The number of the question.
    pub number: u64,
    /// The engine.
    pub engine: EngineKey,
    /// What was decided.
    pub outcome: Outcome,
}

/// What was decided on a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is issued, and can be used after so many milliseconds.
    Issued(u32),
    /// There is none in time; the next one is in so many milliseconds.
    Refused(u32),
    /// The engine has no limit any more.
    Unlimited,
}

/// How a box that issues permits stands to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// It hears most of all boxes.
    Majority,
    /// It does not; so many parts belong to the boxes that it hears.
    Minority(usize),
}

/// What a box may issue of one engine's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Share {
    /// Permits a second.
    rate: f64,
    /// Permits at once.
    burst: f64,
}

impl Side {
    /// Gives what the side may issue of a limit, if anything.
    fn share(self, limit: f64) -> Option<Share> {
        match self {
            Side::Majority => Some(Share { rate: limit * USED_SHARE, burst: BURST }),
            Side::Minority(0) => None,
            Side::Minority(parts) => {
                let parts = parts as f64;
                Some(Share { rate: limit * PART_SHARE * parts, burst: parts })
            }
        }
    }
}

impl Share {
    /// Gives the time in which one permit comes.
    fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }
}

/// The permits that this box issues.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    /// What was issued for each engine whose permits it issues.
    meters: BTreeMap<EngineKey, Meter>,
}

/// What was issued for one engine.
#[derive(Debug, Clone, Copy)]
struct Meter {
    /// Since when this box issues its permits.
    since: Time,
    /// When the permits issued so far would all have come one after the other, if there was one.
    spent_until: Option<Time>,
}

impl Issuer {
    /// Begins to issue an engine's permits, with none at first: another box may have issued all that
    /// may be at once until now.
    pub fn begin(&mut self, engine: EngineKey, now: Time) {
        self.meters.entry(engine).or_insert(Meter { since: now, spent_until: None });
    }

    /// Issues a permit for an engine that takes so many requests a second, and gives after which time
    /// it can be used.
    ///
    /// # Errors
    ///
    /// The time until the next one, if that is longer than the patience.
    pub fn issue(
        &mut self,
        engine: EngineKey,
        limit: f64,
        side: Side,
        patience: Duration,
        now: Time,
    ) -> Result<Duration, Duration> {
        self.begin(engine, now);
        let share = side.share(limit).ok_or(RETRY_DELAY)?;
        let meter = self.meters.get_mut(&engine).ok_or(RETRY_DELAY)?;
        let interval = share.interval();
        let empty = meter.since + interval.mul_f64(share.burst);
        let spent_until = meter.spent_until.unwrap_or(empty);
        let wait = spent_until.since(now + interval.mul_f64(share.burst - 1.0));
        if wait > patience {
            return Err(wait);
        }
        meter.spent_until = Some(spent_until.max(now) + interval);
        Ok(wait)
    }

    /// Notes that another box issues an engine's permits.
    pub fn end(&mut self, engine: EngineKey) {
        self.meters.remove(&engine);
    }

    /// Forgets the engines that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(EngineKey) -> bool) {
        self.meters.retain(|&it, _| is_limited(it));
    }
}

/// One permit that this box holds.
#[derive(Debug, Clone, Copy)]
struct Permit {
    /// From when on it can be used.
    from: Time,
}

impl Permit {
    /// Tells whether it can be used now.
    fn is_valid(self, now: Time) -> bool {
        self.from <= now && now < self.from + PERMIT_LIFETIME
    }

    /// Tells whether it can be used now or later.
    fn is_left(self, now: Time) -> bool {
        now < self.from + PERMIT_LIFETIME
    }
}

/// The permits that this box holds, and the engines for which there are none for a time.
#[derive(Debug, Clone, Default)]
pub struct Holder {
    /// The permits.
    permits: BTreeMap<EngineKey, Vec<Permit>>,
    /// The engines for which there are none.
    refusals: BTreeMap<EngineKey, Refusal>,
}

/// What is known of an engine for which there is no permit.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Until when none is asked for.
    until: Time,
    /// When the next one comes.
    next: Time,
}

impl Holder {
    /// Takes a permit that can be used from a time on.
    pub fn add(&mut self, engine: EngineKey, from: Time) {
        self.permits.entry(engine).or_default().push(Permit { from });
    }

    /// Tells whether there is a permit that can be used now.
    pub fn has(&self, engine: EngineKey, now: Time) -> bool {
        self.of(engine).iter().any(|it| it.is_valid(now))
    }

    /// Tells whether there is a permit that can be used now or later.
    pub fn expects(&self, engine: EngineKey, now: Time) -> bool {
        self.of(engine).iter().any(|it| it.is_left(now))
    }

    /// Uses a permit, if there is one.
    pub fn take(&mut self, engine: EngineKey, now: Time) {
        let Some(permits) = self.permits.get_mut(&engine) else { return };
        if let Some(used) = permits.iter().position(|it| it.is_valid(now)) {
            permits.swap_remove(used);
        }
    }

    /// Notes that the next permit comes after a time.
    pub fn refuse(&mut self, engine: EngineKey, wait: Duration, now: Time) {
        let until = now + wait.min(MAX_REFUSAL_DURATION);
        self.refusals.insert(engine, Refusal { until, next: now + wait });
    }

    /// Notes that what is known of an engine's permits may not hold any more.
    pub fn clear_refusal(&mut self, engine: EngineKey) {
        self.refusals.remove(&engine);
    }

    /// Tells whether a request that can wait for some time need not ask: the next permit comes later.
    pub fn is_refused(&self, engine: EngineKey, patience: Duration, now: Time) -> bool {
        self.refusals.get(&engine).is_some_and(|it| now < it.until && now + patience < it.next)
    }

    /// Gives how long it is until the next permit, if that is known.
    pub fn wait(&self, engine: EngineKey, now: Time) -> Option<Duration> {
        let next = self.refusals.get(&engine).map(|it| it.next);
        next.filter(|it| now < *it).map(|it| it.since(now))
    }

    /// Gives when the next permit can be used that can't be yet.
    pub fn next_start(&self, now: Time) -> Option<Time> {
        self.permits.values().flatten().map(|it| it.from).filter(|it| now < *it).min()
    }

    /// Forgets what is over.
    pub fn sweep(&mut self, now: Time) {
        self.permits.retain(|_, permits| {
            permits.retain(|it| it.is_left(now));
            !permits.is_empty()
        });
        self.refusals.retain(|_, it| now < it.until.max(it.next));
    }

    /// Gives the permits for an engine.
    fn of(&self, engine: EngineKey) -> &[Permit] {
        self.permits.get(&engine).map_or(&[], Vec::as_slice)
    }
}
