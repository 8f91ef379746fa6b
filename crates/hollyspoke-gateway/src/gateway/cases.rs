//! The cases of requests that crash their engines, as the platform's store keeps them.
//!
//! What boxes tell each other is lost with all of them, and does not reach a part that is cut off;
//! the few repeats that are allowed are allowed over the whole time. A box reads the cases when it
//! starts, before it serves, and now and then while it misses others. Who counts a crash writes it
//! as soon as one more would hold the request back, or at once while it misses others; some boxes
//! that heard of it write it a little later if nobody has.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::effect::LogEvent;
use crate::quarantine::{About, Crashes, MOST_CRASHES, Word};
use crate::signature::Signature;

/// The kind of the object.
pub const KIND: &str = "quarantine";

/// The name of the object.
const NAME: &str = "requests";

/// The most cases in the store, some 300 bytes each.
const MOST_SAVED: usize = 256;

/// How long a box that starts waits for the cases before it serves without them.
const KNOWN_WITHIN: Duration = Duration::from_secs(1);

/// The time after a box's start in which it hears the others, and does not read the cases again: with
/// 300 boxes that all start, each read them twice more.
const SETTLES_AFTER: Duration = Duration::from_secs(3);

/// How often it is looked whether boxes are missing to whom what is known may not come: often
/// against the time in which that is noticed, and seldom against the datagrams of many boxes.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// The pause after an operation that failed, and between two that did not.
const PAUSE: Duration = Duration::from_millis(250);

/// How often a box that follows the store reads the cases while it misses a few others; the rest hear
/// of it. If all read them, the loss of one box of 300 would cost 4,500 calls in a minute.
const READ_EVERY: Duration = Duration::from_secs(4);

/// How often one reads them that misses half of the others or more: it may be the one that is cut
/// off. With the former pause six boxes that heard nobody sent up to three repeats too late, of
/// three that are allowed; with this one, none or one (15 plays of 20 s).
const READ_ALONE_EVERY: Duration = Duration::from_secs(1);

/// How long boxes that heard of a crash leave it to the one that counted it to write it.
pub(super) const BACKUP_AFTER: Duration = Duration::from_millis(1500);

/// The time over which many boxes look whether the store has the cases again that it lost.
const REWRITE_SPREAD: Duration = Duration::from_secs(3);

/// A case as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Saved {
    /// The signature.
    signature: String,
    /// The epoch.
    epoch: u32,
    /// The crashes.
    crashes: Crashes,
    /// When the last crash was counted, in seconds of Unix time.
    at: u64,
    /// The customer that sent the request, if it is known.
    customer: Option<Arc<str>>,
    /// Its path, if the writer knows it.
    path: Option<Arc<str>>,
}

/// How far this box is with the store.
#[derive(Debug, Clone, Default)]
pub(super) struct Cases {
    /// The version of the object, once it was read: 0 if there is none.
    version: Option<u64>,
    /// Whether it was ever read.
    is_read: bool,
    /// The number of the operation under way, and whether it writes.
    under_way: Option<(u64, bool)>,
    /// When the next operation may begin.
    rests_until: Time,
    /// When the object was last read.
    read_at: Time,
    /// When it is looked again whether it is to be read once more.
    looks_at: Time,
    /// What the store holds, as it was last read or written.
    value: String,
}

impl Gateway {
    /// Tells whether this box may serve without having read the cases, or has read them.
    pub(super) fn knows_cases(&self) -> bool {
        self.cases.is_read || self.now.since(Time::ZERO) >= KNOWN_WITHIN
    }

    /// Reads or writes the cases, if it is time to.
    pub(super) fn keep_cases(&mut self) {
        let may_begin = self.cases.under_way.is_none() && self.now >= self.cases.rests_until;
        if !may_begin || self.is_stopping() {
            return;
        }
        let is_old = self.is_old();
        let is_empty = self.quarantine.is_empty();
        let is_wanted = !is_empty && self.quarantine.has_unsaved(self.least_saved(), self.now);
        match self.cases.version {
            _ if !self.cases.is_read || is_old => self.read_cases(),
            None if is_wanted => self.read_cases(),
            Some(version) if is_wanted => self.write_cases(version),
            _ => {}
        }
    }

    /// Tells whether the cases are to be read once more. It is looked now and then: counting the
    /// boxes that live with each datagram took six tenths of the time of 985 boxes.
    fn is_old(&mut self) -> bool {
        if self.now < self.cases.looks_at || self.now.since(Time::ZERO) < SETTLES_AFTER {
            return false;
        }
        self.cases.looks_at = self.now + LOOK_EVERY;
        let age = self.now.since(self.cases.read_at);
        self.reads_every().is_some_and(|every| age >= every)
    }

    /// Gives when the cases are to be looked at, if that is before the next heartbeat.
    pub(super) fn cases_due(&self) -> Option<Time> {
        let is_wanted = !self.cases.is_read || !self.quarantine.is_empty();
        let is_idle = self.cases.under_way.is_none();
        (is_wanted && is_idle && self.cases.rests_until > self.now)
            .then_some(self.cases.rests_until)
    }

    /// Gives how often this box reads the cases: if boxes are missing that may live, to whom what
    /// this one knows may not come, nor what they know to this one.
    fn reads_every(&self) -> Option<Duration> {
        let most = self.members.peak_serving()?;
        let heard = self.members.count(self.now);
        if heard * 2 <= most {
            return (heard < most).then_some(READ_ALONE_EVERY);
        }
        (heard < most && self.follows_store()).then_some(READ_EVERY)
    }

    /// Tells whether boxes are missing that may live.
    fn misses_others(&self) -> bool {
        let heard = self.members.count(self.now);
        self.members.peak_serving().is_some_and(|it| heard < it)
    }

    /// Gives how many crashes a case in the store has at the least.
    fn least_saved(&self) -> usize {
        if self.misses_others() { 1 } else { MOST_CRASHES - 1 }
    }

    /// Begins to read the cases.
    fn read_cases(&mut self) {
        let operation = Operation::Get { kind: KIND.to_owned(), name: NAME.to_owned() };
        let number = self.begin_operation(operation);
        self.cases.under_way = Some((number, false));
    }

    /// Begins to write the cases, unless the store has them as they are.
    fn write_cases(&mut self, expected: u64) {
        let value = self.cases_text();
        self.quarantine.saved();
        if value == self.cases.value {
            return;
        }
        self.cases.value.clone_from(&value);
        let (kind, name) = (KIND.to_owned(), NAME.to_owned());
        let number = self.begin_operation(Operation::Put { kind, name, expected, value });
        self.cases.under_way = Some((number, true));
    }

    /// Gives the cases as text.
    fn cases_text(&self) -> String {
        let saved = self.quarantine.to_save(self.least_saved(), MOST_SAVED);
        let saved: Vec<_> = saved.into_iter().map(|(word, about)| save(&word, about)).collect();
        // Plain data always has a form as text.
        serde_json::to_string(&saved).unwrap_or_default()
    }

    /// Notes that the store may have lost cases. The boxes that follow it write them again at once; the
    /// others look later, one after the other, whether the store has them.
    pub(super) fn cases_lost(&mut self) {
        self.cases.version = None;
        self.cases.value.clear();
        self.cases.under_way = None;
        let spread = REWRITE_SPREAD.mul_f64((self.draw() % 1000) as f64 / 1000.0);
        let delay = if self.follows_store() { Duration::ZERO } else { BACKUP_AFTER + spread };
        self.quarantine.not_saved(self.now + delay);
    }

    /// Takes the store's answer to an operation on the cases; tells whether it was one.
    pub(super) fn cases_stored(&mut self, number: u64, answer: &Answer) -> bool {
        let Some((_, writes)) = self.cases.under_way.take_if(|it| it.0 == number) else {
            return false;
        };
        self.cases.rests_until = self.now + PAUSE;
        match answer {
            Answer::Found { version, value } => self.take_cases(*version, value),
            Answer::Absent if !writes => self.take_cases(0, ""),
            Answer::Written { version } if writes => self.cases.version = Some(*version),
            // Another box has written, or this write may have taken effect: it is read again.
            _ => {
                self.cases.version = None;
                self.cases.value.clear();
                self.quarantine.not_saved(self.now);
            }
        }
        true
    }

    /// Takes the cases as they were read.
    fn take_cases(&mut self, version: u64, value: &str) {
        self.cases.version = Some(version);
        self.cases.is_read = true;
        self.cases.read_at = self.now;
        value.clone_into(&mut self.cases.value);
        // What is no list of cases was not written by a box; it is replaced with the next write.
        let saved: Vec<Saved> = serde_json::from_str(value).unwrap_or_default();
        for case in &saved {
            let Some(signature) = Signature::parse(&case.signature) else { continue };
            let word = Word { signature, epoch: case.epoch, crashes: case.crashes, at: case.at };
            let is_held = self.quarantine.hear(&word, self.now, None);
            if let Some(path) = case.path.clone() {
                let about = About { customer: case.customer.clone(), path };
                self.quarantine.see(signature, self.now, || about);
            }
            if is_held {
                self.note_held(&[signature]);
            }
        }
        self.log(LogEvent::CasesRead { cases: saved.len() });
    }
}

/// Gives a case as the store has it.
fn save(word: &Word, about: Option<About>) -> Saved {
    Saved {
        signature: word.signature.text(),
        epoch: word.epoch,
        crashes: word.crashes,
        at: word.at,
        customer: about.as_ref().and_then(|it| it.customer.clone()),
        path: about.map(|it| it.path),
    }
}
