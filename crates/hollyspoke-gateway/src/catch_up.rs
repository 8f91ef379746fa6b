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

/// The time for which changes must be missing until they are read from the store, and the interval
/// of further reads. By then other boxes were asked several times. With it, a box knows that an
/// engine leaves within half of the 5 s in which requests may still reach it.
const READ_AFTER: Duration = Duration::from_secs(2);

/// What a box without a list of engines knows of the others.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings {
    /// The time since the box started.
    pub elapsed: Duration,
    /// Whether there are more boxes than may all read the store.
    pub are_many: bool,
    /// Whether the store tells that there are not. It counts boxes that this one has not received
    /// from yet.
    pub are_few: bool,
    /// Whether all boxes that are listed were received from, the last new one some time ago.
    pub is_settled: bool,
    /// Whether another box is ready, and thus has a list.
    pub has_ready: bool,
    /// Whether this box is among those that read the store where there are many, after the
    /// doublings by [`reader_doublings`].
    pub is_reader: bool,
}

/// The progress towards a newer revision of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Nothing is missing.
    Current,
    /// The changes for which another box was asked have arrived, after this time.
    Reached(Duration),
    /// Changes are missing. Other boxes are asked for them.
    Behind,
    /// Changes are missing for so long that they are also read from the store.
    FarBehind,
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
    /// When they are read from the store.
    read_at: Time,
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

    /// Lets a box without a list decide at once, because it has learnt more.
    pub fn decide_now(&mut self) {
        self.next_decision = Time::ZERO;
    }

    /// Decides whether a box without a list reads the store. Returns whether it begins to.
    pub fn decide(&mut self, surroundings: Surroundings, now: Time) -> bool {
        self.next_decision = now + DECISION_INTERVAL;
        let has_read = self.reads_store;
        self.reads_store = self.should_read(surroundings);
        // The store may not answer a box that reads it.
        let has_read_long = surroundings.elapsed >= READER_DOUBLING_INTERVAL;
        let should_ask = !self.reads_store || has_read_long;
        if surroundings.are_many && surroundings.has_ready && should_ask {
            self.next_ask.get_or_insert(now);
        }
        self.reads_store && !has_read
    }

    /// Returns whether a box without a list should read the store.
    fn should_read(&self, surroundings: Surroundings) -> bool {
        let Surroundings { elapsed, are_many, are_few, is_settled, has_ready, is_reader } =
            surroundings;
        if !are_many {
            return are_few || is_settled || has_ready || elapsed >= MAX_DISCOVERY_DURATION;
        }
        // A box that starts later than the others asks these first.
        let may_begin = !has_ready || elapsed >= READER_DOUBLING_INTERVAL;
        elapsed >= DISCOVERY_DURATION && (self.reads_store || may_begin) && is_reader
    }

    /// Records that another box knows a newer revision of the engines.
    pub fn record_newer(&mut self, revision: Revision, now: Time) {
        if self.target.is_none() {
            let read_at = now + READ_AFTER;
            self.target = Some(Target { revision, since: now, was_asked: false, read_at });
            self.next_ask = Some(now + FORWARDING_TIME);
        }
    }

    /// Returns whether it is due to ask another box.
    pub fn is_ask_due(&self, now: Time) -> bool {
        self.next_ask.is_some_and(|it| it <= now)
    }

    /// Checks how far this box, which knows the engines up to `own`, has come.
    pub fn check(&mut self, own: Revision, now: Time) -> Progress {
        let Some(target) = &mut self.target else {
            self.next_ask = None;
            return Progress::Current;
        };
        if own >= target.revision {
            let (after, was_asked) = (now.since(target.since), target.was_asked);
            (self.target, self.next_ask) = (None, None);
            return if was_asked { Progress::Reached(after) } else { Progress::Current };
        }
        if now < target.read_at {
            return Progress::Behind;
        }
        target.read_at = now + READ_AFTER;
        Progress::FarBehind
    }

    /// Records that another box was asked, or that none can be asked yet.
    pub fn record_ask(&mut self, was_sent: bool, random: f64, now: Time) {
        if let Some(target) = &mut self.target {
            target.was_asked |= was_sent;
        }
        let pause = if was_sent { ASK_TIMEOUT } else { retry_pause(random) };
        self.next_ask = Some(now + pause);
    }

    /// Records that a box that was asked has answered, or handed nothing over: the next one is
    /// asked after a pause if something is still missing.
    pub fn record_answer(&mut self, random: f64, now: Time) {
        if self.next_ask.is_some() {
            self.next_ask = Some(now + retry_pause(random));
        }
    }

    /// Returns when this box has something to do for what it lacks. Whether to go on reading is
    /// decided with other events.
    pub fn next_due(&self, has_list: bool) -> Option<Time> {
        let decision = (!has_list && !self.reads_store).then_some(self.next_decision);
        [decision, self.next_ask].into_iter().flatten().min()
    }
}

/// Returns how many times the number of readers has doubled for a box that has no list.
pub fn reader_doublings(elapsed: Duration) -> u32 {
    let doublings = elapsed.as_millis() / READER_DOUBLING_INTERVAL.as_millis();
    u32::try_from(doublings).unwrap_or(u32::MAX).min(MAX_READER_DOUBLINGS)
}

/// Returns the pause until another box is asked. The boxes that lack something spread their
/// questions by a random number in 0.0..1.0.
fn retry_pause(random: f64) -> Duration {
    RETRY_PAUSE.mul_f64(1.0 + random)
}
