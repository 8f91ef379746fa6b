//! Which software versions have served each service, and since when that is known.
//!
//! If only one version can have served while a stream can have begun, that version began it. What is
//! listed now doesn't show this: a version may have left moments ago.

use std::collections::HashMap;
use std::time::Duration;

use hollyspoke::time::Time;

use super::VersionKey;

/// The longest time between two observations of a version that serves.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(2);

/// How long ago a client may have begun a stream that it resumes and nobody knows. A device that
/// sleeps overnight resumes the next day what it was receiving.
pub const REACH: Duration = Duration::from_secs(24 * 3600);

/// How long versions that no longer serve are remembered.
const RETENTION: Duration = REACH.saturating_add(Duration::from_secs(3600));

/// What is known of the versions that have served a service for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Only this one.
    Only(VersionKey),
    /// Several, or one that isn't known.
    Several,
    /// It isn't known for all of the time.
    Unaware,
}

/// The versions that serve a service, or have served it.
#[derive(Debug, Clone, Default)]
struct History {
    /// The versions, each with the time when it was last observed; none stands for a version that
    /// isn't known.
    seen: Vec<(Option<VersionKey>, Time)>,
    /// The only version in a time before the timeline begins, if known, and how long that was.
    earlier: Option<(VersionKey, Duration)>,
}

impl History {
    /// Returns how long before the timeline begins a version is known to have been the only one.
    fn earlier_duration(&self, version: VersionKey) -> Duration {
        self.earlier.filter(|it| it.0 == version).map_or(Duration::ZERO, |it| it.1)
    }
}

/// The versions of all services over time.
#[derive(Debug, Clone, Default)]
pub struct Timeline {
    /// The time since which all versions are observed.
    since: Option<Time>,
    /// Whether nothing has served before.
    is_complete: bool,
    /// The history of each service, by the hash of its name.
    services: HashMap<u64, History>,
}

impl Timeline {
    /// Records that all versions are observed from now on, and whether none has served before.
    pub fn begin(&mut self, is_complete: bool, now: Time) {
        self.since.get_or_insert(now);
        self.is_complete = is_complete;
    }

    /// Records that an engine of a version serves.
    pub fn observe(&mut self, service: u64, version: Option<VersionKey>, now: Time) {
        let history = self.services.entry(service).or_default();
        history.seen.retain(|it| now.since(it.1) < RETENTION);
        match history.seen.iter_mut().find(|it| it.0 == version) {
            Some(seen) => seen.1 = now,
            None => history.seen.push((version, now)),
        }
    }

    /// Records that only one version has served a service for a time that ends now.
    pub fn extend(&mut self, service: u64, version: VersionKey, duration: Duration, now: Time) {
        let Some(since) = self.since else { return };
        let earlier = duration.saturating_sub(now.since(since));
        self.services.entry(service).or_default().earlier = Some((version, earlier));
    }

    /// Returns for how long a service is known to have had only one version, up to now; the longest
    /// time if always, none if it has had several.
    pub fn only_for(&self, service: u64, now: Time) -> Duration {
        let (Some(since), Some(history)) = (self.since, self.services.get(&service)) else {
            return Duration::ZERO;
        };
        let &[(Some(version), _)] = &history.seen[..] else { return Duration::ZERO };
        if self.is_complete {
            return Duration::MAX;
        }
        now.since(since) + history.earlier_duration(version)
    }

    /// Returns which versions have served a service for a time that ends now.
    pub fn verdict(&self, service: u64, duration: Duration, now: Time) -> Verdict {
        let (Some(since), Some(history)) = (self.since, self.services.get(&service)) else {
            return Verdict::Unaware;
        };
        if duration + MAX_OBSERVATION_GAP > RETENTION {
            return Verdict::Unaware;
        }
        let is_recent = |at: Time| now.since(at) <= duration + MAX_OBSERVATION_GAP;
        let mut recent = history.seen.iter().filter(|it| is_recent(it.1));
        let Some((first, _)) = recent.next() else { return Verdict::Unaware };
        let Some(version) = first.filter(|_| recent.next().is_none()) else {
            return Verdict::Several;
        };
        let known = now.since(since) + history.earlier_duration(version);
        if self.is_complete || known >= duration {
            Verdict::Only(version)
        } else {
            Verdict::Unaware
        }
    }
}
