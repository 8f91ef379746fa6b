//! A lease in the platform's store, with the object's version as its fencing token.
//!
//! The holder stops by its own clock before the lease can lapse for anybody else: its time counts
//! from the moment it sent the write, and ends a margin early. Another box takes the lease over
//! only after it has seen the same version stand for the lease's whole time by its own clock. No
//! box's wall clock matters.
//!
//! A store that comes back from an older copy has lost the lease of its holder, which may not know so
//! yet. Whoever learns of the new era holds nothing any more, and whoever takes the lease then has
//! taken it over when the time of every lost one is over. What was written in an earlier era counts as
//! another box's.
//!
//! Operations on the store go out through a closure that begins them and gives their numbers.

use std::time::Duration;

use crate::store::{Answer, Operation, Revision};
use crate::time::Time;

/// How long a lease holds after its last write, where nothing else is said.
const TTL: Duration = Duration::from_secs(9);

/// How much earlier its holder stops, where nothing else is said.
const MARGIN: Duration = Duration::from_secs(1);

/// How often a holder renews, where nothing else is said.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// How long to wait after no answer or a conflict.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The kind of the objects.
const KIND: &str = "leases";

/// The spans of a lease, the same on all boxes that want it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// How long it holds after its last write.
    pub ttl: Duration,
    /// How much earlier its holder stops.
    pub margin: Duration,
    /// How often its holder renews.
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
    /// Until when it holds, by this box's own clock.
    pub until: Time,
    /// When this box took it over from another one, or will have: when the time of a lost one is over;
    /// none if nobody had it before.
    pub taken_over: Option<Time>,
}

/// What is under way with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    /// Nothing until a time.
    Idle(Time),
    /// A read.
    Get(u64),
    /// A write, when it was sent, and the version that it replaces.
    Put(u64, Unanswered),
}

/// A write whose answer never came: it may have taken effect, or may yet do so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Unanswered {
    /// When it was sent.
    sent: Time,
    /// The version that it replaces.
    expected: u64,
}

/// What was last seen in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    /// The version.
    version: u64,
    /// Since when it has stood, by this box's own clock.
    since: Time,
}

/// One lease, as one box sees it.
#[derive(Debug, Clone)]
pub struct Lease {
    /// The object's name.
    name: String,
    /// The holder's name that this box writes; no other box, and no other life of it, has the same.
    me: String,
    /// Its spans.
    terms: Terms,
    /// The lease, while this box holds it.
    held: Option<Held>,
    /// What was last seen.
    seen: Option<Seen>,
    /// What is under way.
    pending: Pending,
    /// The last write whose answer never came.
    unanswered: Option<Unanswered>,
    /// Whether the last write was to take the lease from another box.
    takes_over: bool,
    /// When this box took the lease over from another one.
    taken_over: Option<Time>,
    /// The store's era.
    era: u64,
}

impl Lease {
    /// Makes a lease that this box does not hold.
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

    /// Notes the store's era. What was under way counts no more.
    pub fn enter_era(&mut self, now: Time, era: u64) {
        self.era = era;
        // By then the time of every lease is over that was lost.
        self.taken_over = Some(now + self.terms.ttl + self.terms.margin);
        self.held = None;
        self.seen = None;
        self.unanswered = None;
        self.takes_over = false;
        self.pending = Pending::Idle(now);
    }

    /// Gives the lease if this box holds it now, by its own clock.
    pub fn held(&self, now: Time) -> Option<Held> {
        self.held.filter(|it| now < it.until)
    }

    /// Tries to take or to renew the lease, where this box should hold it.
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

    /// Takes an answer of the store, if it is to this lease.
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

    /// Takes the answer to a read: writes if the lease is this box's or free.
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
        // As long as the version stands, the write whose answer was lost has not taken effect.
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

    /// Takes the answer to a write.
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

    /// Holds the lease for its time from the moment the write was sent.
    fn hold(&mut self, now: Time, version: u64, sent: Time) {
        let until = sent + (self.terms.ttl - self.terms.margin);
        if std::mem::take(&mut self.takes_over) {
            self.taken_over = Some(now);
        }
        self.seen = Some(Seen { version, since: now });
        let token = Revision::new(self.era, version).token();
        self.held = Some(Held { token, until, taken_over: self.taken_over });
    }

    /// Gives the holder's name that this box writes in the store's era. A write that was under way
    /// when the store came back is known by it.
    fn holder_name(&self) -> String {
        if self.era == 0 { self.me.clone() } else { format!("{}@{}", self.me, self.era) }
    }

    /// Makes a read.
    fn get(&self) -> Operation {
        Operation::Get { kind: KIND.to_owned(), name: self.name.clone() }
    }
}
