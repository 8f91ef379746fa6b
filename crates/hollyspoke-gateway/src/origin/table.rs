//! The versions of the streams that this box began, and of those that it holds for other boxes.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use hollyspoke::time::Time;

use super::StreamKey;
use crate::version::VersionKey;

/// The maximum number of streams. They take 8 MB.
const MAX_STREAM_COUNT: usize = 65_536;

/// The version of a stream.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// The version; none if two were announced.
    version: Option<VersionKey>,
    /// When it was recorded first.
    recorded: Time,
    /// When it expires.
    until: Time,
}

/// A stream in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Found {
    /// The version that began it; none if two were announced.
    pub version: Option<VersionKey>,
    /// How long it has been known.
    pub age: Duration,
}

/// The versions of streams, each until its client can't come back any more.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The streams.
    entries: HashMap<StreamKey, Entry>,
    /// The same streams by when they expire.
    expiries: BTreeSet<(Time, StreamKey)>,
}

impl Table {
    /// Records the version of a stream until a time. With too many streams, those that expire first
    /// are forgotten. Two versions of one stream contradict each other, so that none is known.
    pub fn record(&mut self, stream: StreamKey, version: VersionKey, now: Time, until: Time) {
        self.forget_expired(now);
        let new = Entry { version: Some(version), recorded: now, until };
        let entry = self.entries.entry(stream).or_insert(new);
        self.expiries.remove(&(entry.until, stream));
        if entry.version != Some(version) {
            entry.version = None;
        }
        entry.until = entry.until.max(until);
        self.expiries.insert((entry.until, stream));
        while self.expiries.len() > MAX_STREAM_COUNT {
            self.forget_first();
        }
    }

    /// Returns a stream, if it is known.
    pub fn find(&self, stream: StreamKey, now: Time) -> Option<Found> {
        let entry = self.entries.get(&stream).filter(|it| it.until > now)?;
        Some(Found { version: entry.version, age: now.since(entry.recorded) })
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets the streams that have expired.
    fn forget_expired(&mut self, now: Time) {
        while self.expiries.first().is_some_and(|it| it.0 <= now) {
            self.forget_first();
        }
    }

    /// Forgets the stream that expires first.
    fn forget_first(&mut self) {
        if let Some((_, stream)) = self.expiries.pop_first() {
            self.entries.remove(&stream);
        }
    }
}
