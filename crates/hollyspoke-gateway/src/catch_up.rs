//! How a box gets what it lacks of the store's state: everything after its start, and later the
//! engine changes that it has missed.
//!
//! Up to [`ALL_TO_ALL_MAX_BOXES`] boxes, each reads the store itself. With more, only a few read
//! their first list there, and each box that has a list hands it to others. What the store sends
//! then grows with the number of readers, and the time until all have the list with the logarithm
//! of the number of boxes. If each of 985 boxes read 10,000 engines, the store's link would need
//! 24 s.
//!
//! [`ALL_TO_ALL_MAX_BOXES`]: crate::cadence::ALL_TO_ALL_MAX_BOXES

use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;

/// The time after its start in which a box of many receives from most of the others, so that few
/// take themselves for readers. Boxes that start together do so within about 0.3 s of each other.
const DISCOVERY_DURATION: Duration = Duration::from_millis(300);

/// The time after which a box stops waiting for boxes that are listed and were not received from.
const MAX_DISCOVERY_DURATION: Duration = Duration::from_millis(900);

/// The time without a new box after which a box has received from all others.
pub const QUIET_DURATION: Duration = Duration::from_millis(100);

/// The interval at which a box without a list decides again whether it reads the store.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);

/// The interval at which the number of readers doubles for a box that still has no list: the
/// readers may be unable to reach the store, or the others. All of 1,500 boxes read after 21 s.
const READER_DOUBLING_INTERVAL: Duration = Duration::from_secs(3);

/// The maximum number of times that the number of readers doubles.
const MAX_READER_DOUBLINGS: u32 = 16;

/// The time in which forwarded changes reach a box that has learnt of them. Several followers
/// forward each change, up to one pause between their reads (0.2 s) after each other.
const FORWARDING_TIME: Duration = Duration::from_millis(300);

/// The minimum pause until another box is asked after one that handed nothing over. The maximum is
/// twice as long.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The time after which another box is asked although the first has neither answered nor failed.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);

/// The time for which changes must be missing until they are read from the store. By then other
/// boxes were asked several times. With it, a box knows that an engine leaves within half of the
/// 5 s in which requests may still reach it.
const READ_AFTER: Duration = Duration::from_secs(2);

/// What a box without a list of engines knows of the others.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings {
    /// The time since the box started.
    pub elapsed: Duration,
    /// Whether there are more boxes than may all read the store.
    pub are_many: bool,
    /// Whether all boxes that are listed were received from, the last new one some time ago.
    pub is_settled: bool,
    /// Whether another box is ready, and thus has a list.
    pub has_ready: bool,
}

/// The progress towards a newer revision of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Nothing is missing.
    Current,
    /// The changes for which another box was asked have arrived, after this time.
    Reached(Duration),
    /// Changes are missing. Whether they are read from the store.
    Behind {
        /// Whether the store is read, as no other box has handed them over in time.
        reads_store: bool,
    },
}

/// The revision that other boxes know.
#[derive(Debug, Clone, Copy)]
struct Target {
    /// The revision.
    revision: Revision,
    /// When this box learnt of it.
    since: Time,
    /// Whether another box was asked for the changes that lead there.
    was_asked: bool,
}

/// The state of getting what a box lacks.
#[derive(Debug, Clone, Default)]
pub struct CatchUp {
    /// Whether this box reads its first list from the store.
    reads_store: bool,
    /// When it is decided again whether to do so.
    next_decision: Time,
    /// The revision to reach; none if no newer one is known.
    target: Option<Target>,
    /// When another box is asked.
    next_ask: Option<Time>,
}

impl CatchUp {
    /// Returns whether this box reads its first list from the store.
    pub fn reads_store(&self) -> bool {
        self.reads_store
    }

    /// Returns whether it is due to decide how a box without a list gets it.
    pub fn is_decision_due(&self, now: Time) -> bool {
        now >= self.next_decision
    }

    /// Decides whether a box without a list reads the store. `is_reader` returns whether it is
    /// among the readers after their number has doubled as many times. Returns whether it begins to
    /// read.
    pub fn decide(
        &mut self,
        surroundings: Surroundings,
        is_reader: impl Fn(u32) -> bool,
        now: Time,
    ) -> bool {
        self.next_decision = now + DECISION_INTERVAL;
        let has_read = self.reads_store;
        self.reads_store = self.should_read(surroundings, is_reader);
        // The store may not answer a box that reads it.
        let has_read_long = surroundings.elapsed >= READER_DOUBLING_INTERVAL;
        let should_ask = !self.reads_store || has_read_long;
        if surroundings.are_many && surroundings.has_ready && should_ask {
            self.next_ask.get_or_insert(now);
        }
        self.reads_store && !has_read
    }

    /// Returns whether a box without a list should read the store.
    fn should_read(&self, surroundings: Surroundings, is_reader: impl Fn(u32) -> bool) -> bool {
        let Surroundings { elapsed, are_many, is_settled, has_ready } = surroundings;
        if !are_many {
            return is_settled || has_ready || elapsed >= MAX_DISCOVERY_DURATION;
        }
        let doublings = elapsed.as_millis() / READER_DOUBLING_INTERVAL.as_millis();
        // A box that starts later than the others asks these first.
        let may_begin = !has_ready || doublings > 0;
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX).min(MAX_READER_DOUBLINGS);
        elapsed >= DISCOVERY_DURATION && (self.reads_store || may_begin) && is_reader(doublings)
    }

    /// Records that another box knows a newer revision of the engines.
    pub fn record_newer(&mut self, revision: Revision, now: Time) {
        if self.target.is_none() {
            self.target = Some(Target { revision, since: now, was_asked: false });
            self.next_ask = Some(now + FORWARDING_TIME);
        }
    }

    /// Returns whether it is due to ask another box.
    pub fn is_ask_due(&self, now: Time) -> bool {
        self.next_ask.is_some_and(|it| it <= now)
    }

    /// Checks how far this box, which knows the engines up to `own`, has come.
    pub fn check(&mut self, own: Revision, now: Time) -> Progress {
        let Some(target) = self.target else {
            self.next_ask = None;
            return Progress::Current;
        };
        if own >= target.revision {
            (self.target, self.next_ask) = (None, None);
            let after = now.since(target.since);
            return if target.was_asked { Progress::Reached(after) } else { Progress::Current };
        }
        Progress::Behind { reads_store: now.since(target.since) >= READ_AFTER }
    }

    /// Records that another box was asked, or that none can be asked yet.
    pub fn record_ask(&mut self, was_sent: bool, random: f64, now: Time) {
        if let Some(target) = &mut self.target {
            target.was_asked |= was_sent;
        }
        let pause = if was_sent { ASK_TIMEOUT } else { retry_pause(random) };
        self.next_ask = Some(now + pause);
    }

    /// Records that a box that was asked has answered: the next is asked at once if something is
    /// still missing, or after a pause if nothing was handed over.
    pub fn record_answer(&mut self, has_succeeded: bool, random: f64, now: Time) {
        if self.next_ask.is_some() {
            let pause = if has_succeeded { Duration::ZERO } else { retry_pause(random) };
            self.next_ask = Some(now + pause);
        }
    }

    /// Returns when this box has something to do for what it lacks. Whether to go on reading is
    /// decided with other events.
    pub fn next_due(&self, has_list: bool) -> Option<Time> {
        let decision = (!has_list && !self.reads_store).then_some(self.next_decision);
        [decision, self.next_ask].into_iter().flatten().min()
    }
}

/// Returns the pause until another box is asked. The boxes that lack something spread their
/// questions by a random number in 0.0..1.0.
fn retry_pause(random: f64) -> Duration {
    RETRY_PAUSE.mul_f64(1.0 + random)
}
