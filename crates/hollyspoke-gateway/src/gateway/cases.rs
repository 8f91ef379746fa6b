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
use crate::quarantine::{Announcement, Crashes, MAX_CRASHES, RequestSummary};
use crate::signature::Signature;

/// The kind of the object.
pub const KIND: &str = "quarantine";

/// The name of the object.
const NAME: &str = "requests";

/// The most cases in the store, some 300 bytes each.
const MAX_STORED_CASES: usize = 256;

/// How long a box that starts waits for the cases before it serves without them.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after a box's start in which it hears the others, and does not read the cases again: with
/// 300 boxes that all start, each read them twice more.
const STARTUP_DURATION: Duration = Duration::from_secs(3);

/// How often it is looked whether boxes are missing to whom what is known may not come: often
/// against the time in which that is noticed, and seldom against the datagrams of many boxes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after an operation that failed, and between two that did not.
const OPERATION_INTERVAL: Duration = Duration::from_millis(250);

/// How often a box that follows the store reads the cases while it misses a few others; the rest hear
/// of it. If all read them, the loss of one box of 300 would cost 4,500 calls in a minute.
const READ_INTERVAL: Duration = Duration::from_secs(4);

/// How often one reads them that misses half of the others or more: it may be the one that is cut
/// off. With the former pause six boxes that heard nobody sent up to three repeats too late, of
/// three that are allowed; with this one, none or one (15 plays of 20 s).
const ISOLATED_READ_INTERVAL: Duration = Duration::from_secs(1);

/// How long boxes that heard of a crash leave it to the one that counted it to write it.
pub(super) const BACKUP_DELAY: Duration = Duration::from_millis(1500);

/// The time over which many boxes look whether the store has the cases again that it lost.
const REWRITE_SPREAD: Duration = Duration::from_secs(3);

/// A case as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredCase {
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
    pending: Option<(u64, bool)>,
    /// When the next operation may begin.
    next_operation_at: Time,
    /// When the object was last read.
    read_at: Time,
    /// When it is looked again whether it is to be read once more.
    next_check_at: Time,
    /// What the store holds, as it was last read or written.
    value: String,
}

impl Gateway {
    /// Tells whether this box may serve without having read the cases, or has read them.
    pub(super) fn knows_cases(&self) -> bool {
        self.cases.is_read || self.now.since(Time::ZERO) >= FIRST_READ_TIMEOUT
    }

    /// Reads or writes the cases, if it is time to.
    pub(super) fn sync_cases(&mut self) {
        let may_begin = self.cases.pending.is_none() && self.now >= self.cases.next_operation_at;
        if !may_begin || self.is_stopping() {
            return;
        }
        let needs_read = self.needs_read();
        let is_empty = self.quarantine.is_empty();
        let is_wanted =
            !is_empty && self.quarantine.has_unsaved(self.min_stored_crashes(), self.now);
        match self.cases.version {
            _ if !self.cases.is_read || needs_read => self.read_cases(),
            None if is_wanted => self.read_cases(),
            Some(version) if is_wanted => self.write_cases(version),
            _ => {}
        }
    }

    /// Tells whether the cases are to be read once more. It is looked now and then: counting the
    /// boxes that live with each datagram took six tenths of the time of 985 boxes.
    fn needs_read(&mut self) -> bool {
        if self.now < self.cases.next_check_at || self.now.since(Time::ZERO) < STARTUP_DURATION {
            return false;
        }
        self.cases.next_check_at = self.now + CHECK_INTERVAL;
        let age = self.now.since(self.cases.read_at);
        self.read_interval().is_some_and(|every| age >= every)
    }

    /// Gives when the cases are to be looked at, if that is before the next heartbeat.
    pub(super) fn cases_due(&self) -> Option<Time> {
        let is_wanted = !self.cases.is_read || !self.quarantine.is_empty();
        let is_idle = self.cases.pending.is_none();
        (is_wanted && is_idle && self.cases.next_operation_at > self.now)
            .then_some(self.cases.next_operation_at)
    }

    /// Gives how often this box reads the cases: if boxes are missing that may live, to whom what
    /// this one knows may not come, nor what they know to this one.
    fn read_interval(&self) -> Option<Duration> {
        let known = self.members.peak_serving()?;
        let heard = self.members.count(self.now);
        if heard * 2 <= known {
            return (heard < known).then_some(ISOLATED_READ_INTERVAL);
        }
        (heard < known && self.follows_store()).then_some(READ_INTERVAL)
    }

    /// Tells whether boxes are missing that may live.
    fn has_missing_boxes(&self) -> bool {
        let heard = self.members.count(self.now);
        self.members.peak_serving().is_some_and(|it| heard < it)
    }

    /// Gives how many crashes a case in the store has at the least.
    fn min_stored_crashes(&self) -> usize {
        if self.has_missing_boxes() { 1 } else { MAX_CRASHES - 1 }
    }

    /// Begins to read the cases.
    fn read_cases(&mut self) {
        let operation = Operation::Get { kind: KIND.to_owned(), name: NAME.to_owned() };
        let number = self.begin_operation(operation);
        self.cases.pending = Some((number, false));
    }

    /// Begins to write the cases, unless the store has them as they are.
    fn write_cases(&mut self, expected: u64) {
        let value = self.cases_text();
        self.quarantine.mark_saved();
        if value == self.cases.value {
            return;
        }
        self.cases.value.clone_from(&value);
        let (kind, name) = (KIND.to_owned(), NAME.to_owned());
        let number = self.begin_operation(Operation::Put { kind, name, expected, value });
        self.cases.pending = Some((number, true));
    }

    /// Gives the cases as text.
    fn cases_text(&self) -> String {
        let stored = self.quarantine.to_save(self.min_stored_crashes(), MAX_STORED_CASES);
        let stored: Vec<_> = stored
            .into_iter()
            .map(|(announcement, about)| to_stored(&announcement, about))
            .collect();
        // Plain data always has a form as text.
        serde_json::to_string(&stored).unwrap_or_default()
    }

    /// Notes that the store may have lost cases. The boxes that follow it write them again at once; the
    /// others look later, one after the other, whether the store has them.
    pub(super) fn cases_lost(&mut self) {
        self.cases.version = None;
        self.cases.value.clear();
        self.cases.pending = None;
        let spread = REWRITE_SPREAD.mul_f64((self.draw() % 1000) as f64 / 1000.0);
        let delay = if self.follows_store() { Duration::ZERO } else { BACKUP_DELAY + spread };
        self.quarantine.mark_unsaved(self.now + delay);
    }

    /// Takes the store's answer to an operation on the cases; tells whether it was one.
    pub(super) fn cases_stored(&mut self, number: u64, answer: &Answer) -> bool {
        let Some((_, writes)) = self.cases.pending.take_if(|it| it.0 == number) else {
            return false;
        };
        self.cases.next_operation_at = self.now + OPERATION_INTERVAL;
        match answer {
            Answer::Found { version, value } => self.apply_cases(*version, value),
            Answer::Absent if !writes => self.apply_cases(0, ""),
            Answer::Written { version } if writes => self.cases.version = Some(*version),
            // Another box has written, or this write may have taken effect: it is read again.
            _ => {
                self.cases.version = None;
                self.cases.value.clear();
                self.quarantine.mark_unsaved(self.now);
            }
        }
        true
    }

    /// Takes the cases as they were read.
    fn apply_cases(&mut self, version: u64, value: &str) {
        self.cases.version = Some(version);
        self.cases.is_read = true;
        self.cases.read_at = self.now;
        value.clone_into(&mut self.cases.value);
        // What is no list of cases was not written by a box; it is replaced with the next write.
        let stored: Vec<StoredCase> = serde_json::from_str(value).unwrap_or_default();
        for case in &stored {
            let Some(signature) = Signature::parse(&case.signature) else { continue };
            let announcement =
                Announcement { signature, epoch: case.epoch, crashes: case.crashes, at: case.at };
            let is_held = self.quarantine.receive(&announcement, self.now, None);
            if let Some(path) = case.path.clone() {
                let about = RequestSummary { customer: case.customer.clone(), path };
                self.quarantine.record_seen(signature, self.now, || about);
            }
            if is_held {
                self.log_held(&[signature]);
            }
        }
        self.log(LogEvent::CasesRead { cases: stored.len() });
    }
}

/// Gives a case as the store has it.
fn to_stored(announcement: &Announcement, about: Option<RequestSummary>) -> StoredCase {
    StoredCase {
        signature: announcement.signature.text(),
        epoch: announcement.epoch,
        crashes: announcement.crashes,
        at: announcement.at,
        customer: about.as_ref().and_then(|it| it.customer.clone()),
        path: about.map(|it| it.path),
    }
}
