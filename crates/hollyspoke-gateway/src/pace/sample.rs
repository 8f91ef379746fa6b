//! Measurements of the time that a unit of work takes.

use std::collections::VecDeque;
use std::time::Duration;

use hollyspoke::time::Time;

use super::estimate::TTL;

/// The number of samples kept of an engine.
const SAMPLE_COUNT: usize = 5;

/// The minimum number of samples for a median: a single one may include a prompt that was prefilled
/// beside the stream.
const MIN_MEDIAN_COUNT: usize = 2;

/// The minimum duration of a stretch. Over it, events that arrive together count like others.
const MIN_STRETCH: Duration = Duration::from_millis(200);

/// The most recent samples of one engine.
#[derive(Debug, Clone, Default)]
pub(super) struct Samples {
    /// The time per unit in milliseconds, and when it was measured, oldest first.
    samples: VecDeque<(f64, Time)>,
}

impl Samples {
    /// Adds a sample.
    pub(super) fn add(&mut self, unit_ms: f64, now: Time) {
        if self.samples.len() == SAMPLE_COUNT {
            self.samples.pop_front();
        }
        self.samples.push_back((unit_ms, now));
    }

    /// Returns the median of the samples of the given age at most, the lower one of two.
    pub(super) fn median(&self, max_age: Duration, now: Time) -> Option<f64> {
        let mut recent = self.recent(max_age, now);
        recent.sort_by(f64::total_cmp);
        (recent.len() >= MIN_MEDIAN_COUNT).then(|| recent[(recent.len() - 1) / 2])
    }

    /// Returns the least of the samples of the given age at most.
    pub(super) fn least(&self, max_age: Duration, now: Time) -> Option<f64> {
        self.recent(max_age, now).into_iter().min_by(f64::total_cmp)
    }

    /// Returns whether there is a recent sample.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        self.samples.back().is_some_and(|(_, at)| now.since(*at) < TTL)
    }

    /// Returns the samples of the given age at most.
    fn recent(&self, max_age: Duration, now: Time) -> Vec<f64> {
        let recent = self.samples.iter().filter(|(_, at)| now.since(*at) < max_age);
        recent.map(|(unit_ms, _)| *unit_ms).collect()
    }
}

/// A part of a stream whose events are counted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stretch {
    /// When it began, with the arrival of an event.
    started_at: Time,
    /// The id of the last event.
    last_id: Option<u64>,
    /// The number of events since it began.
    event_count: u64,
    /// Whether it is not measured.
    is_ignored: bool,
}

impl Stretch {
    /// Creates a stretch that begins now.
    pub(super) fn new(last_id: Option<u64>, now: Time) -> Stretch {
        Stretch { started_at: now, last_id, event_count: 0, is_ignored: false }
    }

    /// Creates a stretch that begins now and is not measured.
    pub(super) fn ignored(last_id: Option<u64>, now: Time) -> Stretch {
        Stretch { is_ignored: true, ..Stretch::new(last_id, now) }
    }

    /// Begins anew without measuring.
    pub(super) fn ignore(&mut self, now: Time) {
        *self = Stretch::ignored(self.last_id, now);
    }

    /// Adds events up to the id given. Returns the time per event in milliseconds, and begins anew,
    /// if the stretch is long enough.
    pub(super) fn advance(&mut self, last_id: Option<u64>, now: Time) -> Option<f64> {
        let count = match (self.last_id, last_id) {
            (Some(old), Some(new)) => new.saturating_sub(old).max(1),
            _ => 1,
        };
        self.event_count = self.event_count.saturating_add(count);
        self.last_id = last_id.or(self.last_id);
        let duration = now.since(self.started_at);
        if duration < MIN_STRETCH {
            return None;
        }
        let event_ms = duration.as_secs_f64() * 1e3 / self.event_count as f64;
        let is_measured = !self.is_ignored;
        *self = Stretch::new(self.last_id, now);
        is_measured.then_some(event_ms)
    }
}
