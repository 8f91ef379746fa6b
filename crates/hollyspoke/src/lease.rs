//! A lease in the platform's store, with the object's version as its fencing token.
//!
//! The holder stops, by its own clock, before the lease can expire for any other box: its time
//! counts from the moment it sent the write and ends a margin early. Another box takes the lease
//! over only after it has seen the same version unchanged for the lease's full time and margin by
//! its own clock. No wall clock is involved.
//!
//! A store that was restored from an older copy may have lost the lease, while its holder does not
//! know so yet. A box that is notified of the new era no longer holds the lease, and a box that
//! then acquires it counts as having taken it over only when the time of every lost lease has
//! passed. Values written in an earlier era count as another box's.
//!
//! Operations on the store are started through a closure that returns their numbers.

use std::time::Duration;

use crate::store::{Answer, Operation, Revision};
use crate::time::Time;

/// The default time that a lease is valid after its last write.
const TTL: Duration = Duration::from_secs(9);

/// The default time by which a holder stops early.
const MARGIN: Duration = Duration::from_secs(1);

/// The default interval at which a holder renews.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// How long to wait after a missing answer, a conflict, or a lease held by another box.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The kind of the objects in the store.
const KIND: &str = "leases";

/// The durations of a lease, which must be equal on all boxes that want it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// How long the lease is valid after its last write.
    pub ttl: Duration,
    /// How much earlier the holder stops.
    pub margin: Duration,
    /// How often the holder renews.
    pub renew: Duration,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { ttl: TTL, margin: MARGIN, renew: RENEW_INTERVAL }
    }
}

/// A lease that this box holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The fencing token: the era and the version of the last write.
    pub token: u64,
    /// Until when the lease is held, by this box's own clock.
    pub until: Time,
    /// When this box took the lease over from another one. After a new era of the store, it lies in
    /// the future: when the time of a lost lease has passed. `None` if no box held it before.
    pub taken_over: Option<Time>,
}

/// The operation in progress on the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    /// Nothing before this time.
    Idle(Time),
    /// A read, with the operation's number.
    Get(u64),
    /// A write, with the operation's number.
    Put(u64, Unanswered),
}

/// A write without an answer so far: it may have taken effect, or may yet do so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Unanswered {
    /// When it was sent.
    sent: Time,
    /// The version that it replaces.
    expected: u64,
}

/// The state last read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    /// The version of the object.
    version: u64,
    /// Since when the version is unchanged, by this box's own clock.
    since: Time,
}

/// One box's view of a lease.
#[derive(Debug, Clone)]
pub struct Lease {
    /// The object's name.
    name: String,
    /// The holder's name that this box writes, unique to this box and incarnation.
    me: String,
    /// The durations of the lease.
    terms: Terms,
    /// The lease, while this box holds it.
    held: Option<Held>,
    /// The state last read from the store.
    seen: Option<Seen>,
    /// The operation in progress.
    pending: Pending,
    /// The last write whose answer was lost.
    unanswered: Option<Unanswered>,
    /// Whether the last write takes the lease over from another box.
    takes_over: bool,
    /// When this box took the lease over from another one.
    taken_over: Option<Time>,
    /// The store's era.
    era: u64,
}

impl Lease {
    /// Creates a lease that this box does not hold.
    pub fn new(now: Time, name: String, me: String, terms: Terms) -> Lease {
        let pending = Pending::Idle(now);
        Lease {
            name,
            me,
            terms,
            held: None,
            seen: None,
            pending,
            unanswered: None,
            takes_over: false,
            taken_over: None,
            era: 0,
        }
    }

    /// Enters a new era of the store. Operations in progress no longer count.
    pub fn enter_era(&mut self, now: Time, era: u64) {
        self.era = era;
        // By then the time of every lost lease has passed.
        self.taken_over = Some(now + self.terms.ttl + self.terms.margin);
        self.held = None;
        self.seen = None;
        self.unanswered = None;
        self.takes_over = false;
        self.pending = Pending::Idle(now);
    }

    /// Returns the lease if this box holds it now, by its own clock.
    pub fn held(&self, now: Time) -> Option<Held> {
        self.held.filter(|it| now < it.until)
    }

    /// Tries to acquire or renew the lease, if this box should hold it.
    pub fn tick(&mut self, now: Time, wanted: bool, begin: impl FnOnce(Operation) -> u64) {
        if self.held.is_some_and(|it| now >= it.until) {
            self.held = None;
        }
        if !wanted {
            return;
        }
        if matches!(self.pending, Pending::Idle(until) if until <= now) {
            self.pending = Pending::Get(begin(self.get()));
        }
    }

    /// Handles an answer of the store, if it belongs to this lease.
    pub fn answer(
        &mut self,
        now: Time,
        number: u64,
        answer: &Answer,
        begin: impl FnOnce(Operation) -> u64,
    ) {
        match self.pending {
            Pending::Get(it) if it == number => self.read(now, answer, begin),
            Pending::Put(it, write) if it == number => self.written(now, write, answer),
            Pending::Idle(_) | Pending::Get(_) | Pending::Put(..) => {}
        }
    }

    /// Handles the answer to a read: writes if the lease is free or this box's own.
    fn read(&mut self, now: Time, answer: &Answer, begin: impl FnOnce(Operation) -> u64) {
        let (version, holder) = match answer {
            Answer::Found { version, value } => (*version, value.as_str()),
            Answer::Absent => (0, ""),
            Answer::Written { .. } | Answer::Conflict | Answer::Away => {
                self.pending = Pending::Idle(now + RETRY_DELAY);
                return;
            }
        };
        let mine = holder == self.holder_name();
        // While the version is unchanged, the write whose answer was lost has not taken effect.
        let done = self.unanswered.take_if(|it| mine && it.expected != version);
        if let Some(write) = done {
            self.hold(now, version, write.sent);
        }
        let unchanged_for = match self.seen {
            Some(seen) if seen.version == version => now.since(seen.since),
            Some(_) | None => {
                self.seen = Some(Seen { version, since: now });
                Duration::ZERO
            }
        };
        let free = version == 0 || mine || unchanged_for >= self.terms.ttl + self.terms.margin;
        if !free {
            self.pending = Pending::Idle(now + RETRY_DELAY);
            return;
        }
        self.takes_over = version != 0 && !mine;
        let operation = Operation::Put {
            kind: KIND.to_owned(),
            name: self.name.clone(),
            expected: version,
            value: self.holder_name(),
        };
        let write = Unanswered { sent: now, expected: version };
        self.pending = Pending::Put(begin(operation), write);
    }

    /// Handles the answer to a write.
    fn written(&mut self, now: Time, write: Unanswered, answer: &Answer) {
        match answer {
            Answer::Written { version } => {
                self.unanswered = None;
                self.hold(now, *version, write.sent);
                self.pending = Pending::Idle(now + self.terms.renew);
            }
            Answer::Away => {
                self.unanswered = Some(write);
                self.pending = Pending::Idle(now + RETRY_DELAY);
            }
            Answer::Conflict | Answer::Found { .. } | Answer::Absent => {
                self.held = None;
                self.pending = Pending::Idle(now + RETRY_DELAY);
            }
        }
    }

    /// Records that the lease is held, counted from the moment the write was sent.
    fn hold(&mut self, now: Time, version: u64, sent: Time) {
        let until = sent + (self.terms.ttl - self.terms.margin);
        if std::mem::take(&mut self.takes_over) {
            self.taken_over = Some(now);
        }
        self.seen = Some(Seen { version, since: now });
        let token = Revision::new(self.era, version).token();
        self.held = Some(Held { token, until, taken_over: self.taken_over });
    }

    /// Returns the holder's name that this box writes in the store's current era. The era in it
    /// distinguishes a write that was in progress when the store was restored.
    fn holder_name(&self) -> String {
        if self.era == 0 { self.me.clone() } else { format!("{}@{}", self.me, self.era) }
    }

    /// Returns the read operation for the lease.
    fn get(&self) -> Operation {
        Operation::Get { kind: KIND.to_owned(), name: self.name.clone() }
    }
}
