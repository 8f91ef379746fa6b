//! Stores the cases of requests and parts of prompts that crash engines in the platform's store.
//!
//! Announcements between boxes are lost if all boxes stop, and do not reach boxes that are
//! partitioned off, but the limit on repeats applies throughout. A box reads the cases when it
//! starts, before it serves, and periodically while other boxes are missing. The box that counts a
//! crash writes it once one more would hold the request back, or immediately while boxes are
//! missing. Some of the boxes that receive the announcement write the case a little later if it is
//! still not stored.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::effect::LogEvent;
use crate::quarantine::{
    Announcement, Case, Crash, Crashes, MAX_CRASHES, MAX_PART_CRASHES, NamedAnnouncement,
    RequestSummary,
};
use crate::signature::Signature;

/// Kind of the stored object.
pub const KIND: &str = "quarantine";

/// Name of the stored object.
const NAME: &str = "requests";

/// Maximum number of cases in the store, about 300 bytes each.
const MAX_STORED_CASES: usize = 256;

/// Maximum number of them that are about parts of prompts.
const MAX_STORED_PARTS: usize = 64;

/// Minimum number of crashes with which the case of a part is stored while no box is missing.
const MIN_STORED_PART_CRASHES: usize = 2;

/// How long a starting box waits for the cases before it serves without them.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the start during which a box does not read the cases again, since it is only
/// beginning to receive the other boxes' heartbeats. Without this, each of 300 boxes that start
/// together reads them twice more.
const STARTUP_DURATION: Duration = Duration::from_secs(3);

/// Interval between checks for missing boxes: short compared to the time in which a missing box is
/// detected, long compared to the interval between datagrams of many boxes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after each operation, whether it failed or not.
const OPERATION_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a box that follows the store reads the cases while a few others are missing;
/// other boxes receive announcements. If all boxes read them, the loss of one box of 300 would
/// cause 4,500 calls in a minute.
const READ_INTERVAL: Duration = Duration::from_secs(4);

/// Interval at which a box reads them while half of the other boxes or more are missing, since it
/// may be the one that is partitioned off. With [`READ_INTERVAL`], six isolated boxes sent up to
/// three repeats too late, of three that are allowed; with this interval, none or one.
const ISOLATED_READ_INTERVAL: Duration = Duration::from_secs(1);

/// How long boxes that receive an announced crash leave storing it to the box that counted it.
pub(super) const BACKUP_DELAY: Duration = Duration::from_millis(1500);

/// Period over which boxes spread their checks whether the store has regained lost cases.
const REWRITE_SPREAD: Duration = Duration::from_secs(3);

/// A case as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredCase {
    /// Signature of the request, in hexadecimal.
    signature: String,
    /// Epoch of the case.
    epoch: u32,
    /// The crashes, by slot.
    crashes: Crashes<MAX_CRASHES>,
    /// When the last crash was counted, in seconds of Unix time.
    at: u64,
    /// The customer that sent the request, if known.
    customer: Option<Arc<str>>,
    /// Its path, if the writing box knows it.
    path: Option<Arc<str>>,
    /// What else there is if the case is about a part of prompts; boxes of earlier versions ignore it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    part: Option<StoredPart>,
}

/// The additional fields of the case of a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredPart {
    /// The name of the part, if the writing box knows it.
    name: Option<Arc<str>>,
    /// The crashes in the slots that a request's case doesn't have.
    more_crashes: Vec<Option<Crash>>,
}

/// State of this box's reads and writes of the cases.
#[derive(Debug, Clone, Default)]
pub(super) struct Cases {
    /// Version of the object as last read or written, 0 if it is absent. `None` means that it must
    /// be read before the next write.
    version: Option<u64>,
    /// Whether the object has been read since the start.
    is_read: bool,
    /// Number of the pending operation, and whether it writes.
    pending: Option<(u64, bool)>,
    /// Earliest time of the next operation.
    next_operation_at: Time,
    /// When the object was last read.
    read_at: Time,
    /// When to check next whether to read the object again.
    next_check_at: Time,
    /// Content of the store, as last read or written.
    value: String,
}

impl StoredCase {
    /// Returns the summary for operators, if the writing box knew it.
    fn about(&self) -> Option<RequestSummary> {
        let path = self.path.clone()?;
        Some(RequestSummary { customer: self.customer.clone(), path })
    }
}

impl Gateway {
    /// Returns whether this box has read the cases, or may serve without them by now.
    pub(super) fn knows_cases(&self) -> bool {
        self.cases.is_read || self.now.since(Time::ZERO) >= FIRST_READ_TIMEOUT
    }

    /// Reads or writes the cases if an operation is due.
    pub(super) fn sync_cases(&mut self) {
        let may_begin = self.cases.pending.is_none() && self.now >= self.cases.next_operation_at;
        if !may_begin || self.is_stopping() {
            return;
        }
        let needs_read = self.needs_read();
        let is_wanted = self.has_unsaved_cases();
        match self.cases.version {
            _ if !self.cases.is_read || needs_read => self.read_cases(),
            None if is_wanted => self.read_cases(),
            Some(version) if is_wanted => self.write_cases(version),
            _ => {}
        }
    }

    /// Returns whether the store lacks a case that is due.
    fn has_unsaved_cases(&self) -> bool {
        let parts = &self.parts.cases;
        let lacks_request = !self.quarantine.is_empty()
            && self.quarantine.has_unsaved(self.min_stored_crashes(), self.now);
        lacks_request
            || !parts.is_empty() && parts.has_unsaved(self.min_stored_part_crashes(), self.now)
    }

    /// Returns whether the cases must be read again. The result is computed at intervals: counting
    /// the live boxes for each datagram took 60% of the CPU time of 985 boxes.
    fn needs_read(&mut self) -> bool {
        if self.now < self.cases.next_check_at || self.now.since(Time::ZERO) < STARTUP_DURATION {
            return false;
        }
        self.cases.next_check_at = self.now + CHECK_INTERVAL;
        let age = self.now.since(self.cases.read_at);
        self.read_interval().is_some_and(|every| age >= every)
    }

    /// Returns when the next operation is due, if one waits for the end of the pause.
    pub(super) fn cases_due(&self) -> Option<Time> {
        let has_cases = !self.quarantine.is_empty() || !self.parts.cases.is_empty();
        let is_wanted = !self.cases.is_read || has_cases;
        let is_idle = self.cases.pending.is_none();
        (is_wanted && is_idle && self.cases.next_operation_at > self.now)
            .then_some(self.cases.next_operation_at)
    }

    /// Returns how often this box reads the cases: only while boxes are missing that may be alive,
    /// since announcements from and to those may be lost.
    fn read_interval(&self) -> Option<Duration> {
        let known = self.members.peak_serving()?;
        let alive = self.members.count(self.now);
        if alive * 2 <= known {
            return (alive < known).then_some(ISOLATED_READ_INTERVAL);
        }
        (alive < known && self.follows_store()).then_some(READ_INTERVAL)
    }

    /// Returns whether boxes are missing that may be alive.
    fn has_missing_boxes(&self) -> bool {
        let alive = self.members.count(self.now);
        self.members.peak_serving().is_some_and(|it| alive < it)
    }

    /// Returns the minimum number of crashes with which a case is stored.
    fn min_stored_crashes(&self) -> usize {
        if self.has_missing_boxes() { 1 } else { MAX_CRASHES - 1 }
    }

    /// The same for the case of a part. Requests with a harmful part may be rare, and each crash that
    /// is forgotten costs one more.
    fn min_stored_part_crashes(&self) -> usize {
        if self.has_missing_boxes() { 1 } else { MIN_STORED_PART_CRASHES }
    }

    /// Starts to read the cases.
    fn read_cases(&mut self) {
        let operation = Operation::Get { kind: KIND.to_owned(), name: NAME.to_owned() };
        let number = self.start_operation(operation);
        self.cases.pending = Some((number, false));
    }

    /// Starts to write the cases, unless the store has them already.
    fn write_cases(&mut self, expected: u64) {
        let value = self.cases_text();
        self.quarantine.mark_saved();
        self.parts.cases.mark_saved();
        if value == self.cases.value {
            return;
        }
        self.cases.value.clone_from(&value);
        let (kind, name) = (KIND.to_owned(), NAME.to_owned());
        let number = self.start_operation(Operation::Put { kind, name, expected, value });
        self.cases.pending = Some((number, true));
    }

    /// Returns the cases as JSON text.
    fn cases_text(&self) -> String {
        let parts = self.parts.cases.to_save(self.min_stored_part_crashes(), MAX_STORED_PARTS);
        let requests = self
            .quarantine
            .to_save(self.min_stored_crashes(), MAX_STORED_CASES - parts.len())
            .into_iter()
            .map(|(announcement, case)| stored_request(&announcement, case));
        let parts = parts.into_iter().map(|(announcement, case)| stored_part(&announcement, case));
        let stored: Vec<_> = requests.chain(parts).collect();
        // Serialising plain data does not fail.
        serde_json::to_string(&stored).unwrap_or_default()
    }

    /// Handles a possible loss of cases in the store. The boxes that follow the store write the
    /// cases again immediately; the others check later, spread over time, whether the store has
    /// them.
    pub(super) fn invalidate_cases(&mut self) {
        self.cases.version = None;
        self.cases.value.clear();
        self.cases.pending = None;
        let spread = REWRITE_SPREAD.mul_f64((self.draw() % 1000) as f64 / 1000.0);
        let delay = if self.follows_store() { Duration::ZERO } else { BACKUP_DELAY + spread };
        self.mark_cases_unsaved(self.now + delay);
    }

    /// Records that the store may lack all cases, which this box saves at a time.
    fn mark_cases_unsaved(&mut self, due_at: Time) {
        self.quarantine.mark_unsaved(due_at);
        self.parts.cases.mark_unsaved(due_at);
    }

    /// Handles the store's answer to an operation. Returns whether the operation belonged to the
    /// cases.
    pub(super) fn apply_cases_answer(&mut self, number: u64, answer: &Answer) -> bool {
        let Some((_, writes)) = self.cases.pending.take_if(|it| it.0 == number) else {
            return false;
        };
        self.cases.next_operation_at = self.now + OPERATION_INTERVAL;
        match answer {
            Answer::Found { version, value } => self.apply_cases(*version, value),
            Answer::Absent if !writes => self.apply_cases(0, ""),
            Answer::Written { version } if writes => self.cases.version = Some(*version),
            // Another box has written, or this write may have taken effect: read again.
            _ => {
                self.cases.version = None;
                self.cases.value.clear();
                self.mark_cases_unsaved(self.now);
            }
        }
        true
    }

    /// Merges the cases that were read.
    fn apply_cases(&mut self, version: u64, value: &str) {
        self.cases.version = Some(version);
        self.cases.is_read = true;
        self.cases.read_at = self.now;
        value.clone_into(&mut self.cases.value);
        // Text that is not a list of cases was not written by a box; the next write replaces it.
        let stored: Vec<StoredCase> = serde_json::from_str(value).unwrap_or_default();
        for case in &stored {
            let Some(signature) = Signature::parse(&case.signature) else { continue };
            match &case.part {
                None => self.apply_request_case(signature, case),
                Some(part) => self.apply_part_case(signature, case, part),
            }
        }
        self.log(LogEvent::CasesRead { cases: stored.len() });
    }

    /// Merges the stored case of a request.
    fn apply_request_case(&mut self, signature: Signature, case: &StoredCase) {
        let announcement =
            Announcement { signature, epoch: case.epoch, crashes: case.crashes, at: case.at };
        let is_held = self.quarantine.receive(&announcement, self.now, None);
        if let Some(about) = case.about() {
            self.quarantine.record_seen(signature, self.now, || about);
        }
        if is_held {
            self.log_held(&[signature]);
        }
    }

    /// Merges the stored case of a part.
    fn apply_part_case(&mut self, signature: Signature, case: &StoredCase, part: &StoredPart) {
        let mut crashes = [None; MAX_PART_CRASHES];
        let stored = case.crashes.iter().chain(&part.more_crashes);
        for (slot, crash) in crashes.iter_mut().zip(stored) {
            *slot = *crash;
        }
        let announcement = NamedAnnouncement {
            case: Announcement { signature, epoch: case.epoch, crashes, at: case.at },
            name: part.name.clone(),
        };
        self.receive_parts(&[announcement], None);
        if let Some(about) = case.about() {
            self.parts.cases.record_seen(signature, self.now, || about);
        }
    }
}

/// Converts the case of a request to its stored form.
fn stored_request(
    announcement: &Announcement<MAX_CRASHES>,
    case: &Case<MAX_CRASHES>,
) -> StoredCase {
    StoredCase {
        signature: announcement.signature.text(),
        epoch: announcement.epoch,
        crashes: announcement.crashes,
        at: announcement.at,
        customer: case.about.as_ref().and_then(|it| it.customer.clone()),
        path: case.about.as_ref().map(|it| it.path.clone()),
        part: None,
    }
}

/// Converts the case of a part to its stored form.
fn stored_part(
    announcement: &Announcement<MAX_PART_CRASHES>,
    case: &Case<MAX_PART_CRASHES>,
) -> StoredCase {
    let (first, more) = announcement.crashes.split_at(MAX_CRASHES);
    let mut crashes = [None; MAX_CRASHES];
    crashes.copy_from_slice(first);
    StoredCase {
        signature: announcement.signature.text(),
        epoch: announcement.epoch,
        crashes,
        at: announcement.at,
        customer: case.about.as_ref().and_then(|it| it.customer.clone()),
        path: case.about.as_ref().map(|it| it.path.clone()),
        part: Some(StoredPart { name: case.name.clone(), more_crashes: more.to_vec() }),
    }
}
