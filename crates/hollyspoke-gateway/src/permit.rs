//! Permits to send requests to engines whose request rate is limited for all boxes together.
//!
//! Each engine has one box that issues its permits: the first live one in an order drawn by a hash,
//! preferably in the engine's data centre. A box with a request for such an engine asks that box,
//! and sends only with a permit. The load may thus be spread over a thousand boxes in any way, and
//! the limit is still used in full.
//!
//! Boxes may disagree on which boxes are alive. A side in contact with a majority of all boxes
//! issues the whole limit, and there is at most one such side. The first [`PART_COUNT`] of all
//! known boxes for the engine each stand for one part of the limit, and each other side issues the
//! parts of those that it reaches. Engines count over 4 s. In any such window, restarts included
//! since a restarted box begins with no permits, the sum is at most
//!
//! - `USED_SHARE` of the limit over the window and a permit's lifetime, and `BURST_PERMIT_COUNT`;
//! - [`PART_COUNT`] times `PART_SHARE` of the limit over the same time, and one for each part;
//! - what a side keeps issuing until it misses the boxes that were cut off: `USED_SHARE` for that
//!   long.
//!
//! With 1.3 s for the last, the sum is 5.95 times the limit, and 5, where 6 times the limit and 5
//! are allowed.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::EngineKey;
use crate::rate_limit::Announcement;

/// Share of a limit that a side with a majority issues. The rest covers calls that are delayed on
/// the way and arrive together.
const USED_SHARE: f64 = 0.95;

/// Maximum number of permits that such a side issues at once after an idle time. With a load of
/// twice a limit of 1 to 3.5 requests per second on 66 boxes, a burst of one leaves 0.28 to 0.32 of
/// the limit unused, and a burst of two leaves 0.07 to 0.09.
const BURST_PERMIT_COUNT: f64 = 2.0;

/// Number of parts of a limit that belong to boxes that are not in contact with a majority of the
/// others.
pub const PART_COUNT: usize = 3;

/// Share of a limit that makes up one part. All parts together are small enough for the majority
/// side to issue its full share.
const PART_SHARE: f64 = 0.2 / PART_COUNT as f64;

/// How long a permit is valid. A request waits for its permit and so uses it immediately; the
/// permit of a request that was sent elsewhere is left to the next request.
const PERMIT_LIFETIME: Duration = Duration::from_millis(100);

/// How long the answer to a permit question may take. A datagram and its answer take up to 30 ms
/// between regions. Later answers are ignored, so that delayed permits do not lead to a burst.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// How long no permit is asked for after a question was not answered, or was sent to a box that
/// does not issue the engine's permits. Boxes that disagree on which boxes are alive agree after
/// their next heartbeats.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum time for which a refusal is believed: after that, another box may issue the permits, or
/// the issuer's share may have changed.
const MAX_REFUSAL_DURATION: Duration = Duration::from_secs(1);

/// A question for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// Number of the question at the box that asks.
    pub number: u64,
    /// The engine's limit as known to the box that asks.
    pub limit: Announcement,
    /// How long the request may wait for its permit, in milliseconds.
    pub patience_ms: u32,
}

/// The answer to a question for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// Number of the question.
    pub number: u64,
    /// The engine asked about.
    pub engine: EngineKey,
    /// The decision.
    pub outcome: Outcome,
}

/// The decision on a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Issued, and valid after this number of milliseconds.
    Issued(u32),
    /// Not available in time. The next permit is available after this number of milliseconds.
    Refused(u32),
    /// The engine no longer has a limit.
    Unlimited,
}

/// Which side of a possible network partition an issuing box is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// It is in contact with a majority of all boxes.
    Majority,
    /// It does not. This number of parts belongs to the boxes that it is in contact with.
    Minority(usize),
}

/// What a box may issue of one engine's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Share {
    /// Permits per second.
    rate: f64,
    /// Maximum number of permits at once.
    burst: f64,
}

impl Side {
    /// Returns the side's share of a limit, if it has any.
    fn share(self, limit: f64) -> Option<Share> {
        match self {
            Side::Majority => Some(Share { rate: limit * USED_SHARE, burst: BURST_PERMIT_COUNT }),
            Side::Minority(0) => None,
            Side::Minority(parts) => {
                let parts = parts as f64;
                Some(Share { rate: limit * PART_SHARE * parts, burst: parts })
            }
        }
    }
}

impl Share {
    /// Returns the average time between two permits.
    fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }
}

/// The permits that this box issues.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    /// Permits issued so far, for each engine whose permits this box issues.
    meters: BTreeMap<EngineKey, Meter>,
}

/// Permits issued so far for one engine.
#[derive(Debug, Clone, Copy)]
struct Meter {
    /// When this box began to issue the engine's permits.
    since: Time,
    /// When the issued permits would have been used up at the issuing rate, if any was issued.
    spent_until: Option<Time>,
}

impl Issuer {
    /// Begins to issue an engine's permits. None is available at first, since another box may just
    /// have issued a full burst.
    pub fn begin(&mut self, engine: EngineKey, now: Time) {
        self.meters.entry(engine).or_insert(Meter { since: now, spent_until: None });
    }

    /// Issues a permit for an engine with a limit in requests per second. Returns the time until
    /// the permit is valid.
    ///
    /// # Errors
    ///
    /// Returns the time until the next permit if that exceeds `patience`.
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

    /// Stops issuing an engine's permits, since another box issues them.
    pub fn end(&mut self, engine: EngineKey) {
        self.meters.remove(&engine);
    }

    /// Drops the engines that no longer have a limit.
    pub fn retain(&mut self, is_limited: impl Fn(EngineKey) -> bool) {
        self.meters.retain(|&it, _| is_limited(it));
    }
}

/// A permit that this box holds.
#[derive(Debug, Clone, Copy)]
struct Permit {
    /// When it becomes valid.
    from: Time,
}

impl Permit {
    /// Returns whether it is valid now.
    fn is_valid(self, now: Time) -> bool {
        self.from <= now && now < self.from + PERMIT_LIFETIME
    }

    /// Returns whether it is valid now or will be.
    fn is_left(self, now: Time) -> bool {
        now < self.from + PERMIT_LIFETIME
    }
}

/// The permits that this box holds, and the engines for which permits were refused.
#[derive(Debug, Clone, Default)]
pub struct Holder {
    /// The permits by engine.
    permits: BTreeMap<EngineKey, Vec<Permit>>,
    /// The refusals by engine.
    refusals: BTreeMap<EngineKey, Refusal>,
}

/// A refusal of permits for one engine.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// When permits may be asked for again.
    until: Time,
    /// When the next permit is available.
    next: Time,
}

impl Holder {
    /// Adds a permit that becomes valid at `from`.
    pub fn add(&mut self, engine: EngineKey, from: Time) {
        self.permits.entry(engine).or_default().push(Permit { from });
    }

    /// Returns whether there is a permit that is valid now.
    pub fn has(&self, engine: EngineKey, now: Time) -> bool {
        self.of(engine).iter().any(|it| it.is_valid(now))
    }

    /// Returns whether there is a permit that is valid now or will be.
    pub fn expects(&self, engine: EngineKey, now: Time) -> bool {
        self.of(engine).iter().any(|it| it.is_left(now))
    }

    /// Uses a valid permit, if there is one.
    pub fn take(&mut self, engine: EngineKey, now: Time) {
        let Some(permits) = self.permits.get_mut(&engine) else { return };
        if let Some(used) = permits.iter().position(|it| it.is_valid(now)) {
            permits.swap_remove(used);
        }
    }

    /// Records that the next permit is available after `wait`.
    pub fn refuse(&mut self, engine: EngineKey, wait: Duration, now: Time) {
        let until = now + wait.min(MAX_REFUSAL_DURATION);
        self.refusals.insert(engine, Refusal { until, next: now + wait });
    }

    /// Drops the refusal for an engine, which may no longer hold.
    pub fn clear_refusal(&mut self, engine: EngineKey) {
        self.refusals.remove(&engine);
    }

    /// Returns whether a request that can wait for `patience` need not ask, since the next permit
    /// is available later.
    pub fn is_refused(&self, engine: EngineKey, patience: Duration, now: Time) -> bool {
        self.refusals.get(&engine).is_some_and(|it| now < it.until && now + patience < it.next)
    }

    /// Returns the time until the next permit, if known.
    pub fn wait(&self, engine: EngineKey, now: Time) -> Option<Duration> {
        let next = self.refusals.get(&engine).map(|it| it.next);
        next.filter(|it| now < *it).map(|it| it.since(now))
    }

    /// Returns when the next permit becomes valid that is not valid yet.
    pub fn next_start(&self, now: Time) -> Option<Time> {
        self.permits.values().flatten().map(|it| it.from).filter(|it| now < *it).min()
    }

    /// Drops expired permits and refusals.
    pub fn sweep(&mut self, now: Time) {
        self.permits.retain(|_, permits| {
            permits.retain(|it| it.is_left(now));
            !permits.is_empty()
        });
        self.refusals.retain(|_, it| now < it.until.max(it.next));
    }

    /// Returns the permits for an engine.
    fn of(&self, engine: EngineKey) -> &[Permit] {
        self.permits.get(&engine).map_or(&[], Vec::as_slice)
    }
}
