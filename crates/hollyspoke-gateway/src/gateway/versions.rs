//! Which software versions have served each service: as this box observes it, and as the store's
//! register tells a box that has just started.
//!
//! The register names the services that have only one version, and since when. The first box that
//! follows the store writes it when that changes. Any follower withdraws what is no longer true, and
//! reads the register for that as soon as it sees two versions of a service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};

use super::Gateway;
use super::peers::service_hash;
use crate::effect::{Effect, LogEvent};
use crate::event::Kind;
use crate::version::{REACH, SoftwareVersion, Verdict, VersionKey};

/// The kind of the register in the store.
pub const KIND: &str = "software";

/// The name of the register in the store.
pub(super) const NAME: &str = "versions";

/// The time after start before a box writes the register, as for the number of boxes.
const WRITE_DELAY: Duration = Duration::from_secs(3);

/// The pause between two operations.
const OPERATION_PAUSE: Duration = Duration::from_secs(1);

/// The difference between the clocks of two boxes that is allowed for.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// The interval per box at which a box reads the list of engines while it knows some of them without
/// their versions, from boxes that don't pass them on, and the register while streams come that it
/// can't place.
const READ_INTERVAL_PER_BOX: Duration = Duration::from_millis(200);

/// The least of these intervals.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(2);

/// How long ago the streams of boxes that write no register have usually begun. Such boxes tell nobody
/// which version began a stream either, so that it can go on at other boxes only as begun by the only
/// version of that time.
const USUAL_STREAM_AGE: Duration = Duration::from_secs(30);

/// The only version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct OnlyVersion {
    /// Its name.
    version: Arc<str>,
    /// The time since which there is no other, in seconds of Unix time.
    since: u64,
}

/// The content of the register.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Content {
    /// The era of the store in which it was written. What an older copy holds counts no more.
    era: u64,
    /// The services that have only one version.
    services: BTreeMap<Arc<str>, OnlyVersion>,
}

/// The register as it was last read or written.
#[derive(Debug, Clone, Default)]
struct Stored {
    /// The version of the object; 0 if it doesn't exist.
    version: u64,
    /// The content.
    content: Content,
}

/// The state of this box's reads and writes of the register.
#[derive(Debug, Clone, Default)]
pub(super) struct Register {
    /// The register; none until it was read.
    stored: Option<Stored>,
    /// The number of the operation under way, and the content that it writes if it is a write.
    under_way: Option<(u64, Option<Content>)>,
    /// The time when the next operation may start.
    paused_until: Time,
    /// When the list of engines may be read again for their versions.
    next_list_at: Time,
    /// When the register may be read again for a stream that can't be placed.
    next_lookup_at: Time,
    /// Whether a service had several versions at the last check.
    had_several: bool,
}

impl Gateway {
    /// Observes the versions of all engines.
    pub(super) fn observe_versions(&mut self) {
        if !self.are_engines_listed {
            return;
        }
        self.timeline.begin(self.settings.is_first_start, self.now);
        for (service, version) in self.directory.versions() {
            self.timeline.observe(service_hash(service), version, self.now);
        }
    }

    /// Observes the version of an engine that was added or changed.
    pub(super) fn observe_version(&mut self, service: &str, version: Option<&SoftwareVersion>) {
        let version = version.map(SoftwareVersion::key);
        self.timeline.observe(service_hash(service), version, self.now);
    }

    /// Returns which versions have served a service for a time that ends now. Without word of other
    /// boxes or the store, this box may have missed one.
    pub(super) fn served_versions(&self, service: u64, duration: Duration) -> Verdict {
        match self.timeline.verdict(service, duration, self.now) {
            Verdict::Only(_) if !self.is_informed() => Verdict::Unaware,
            verdict => verdict,
        }
    }

    /// Returns whether this box learns of new engines: it or a box that it hears follows a store that
    /// answers, or no box is missing that could have learnt of them.
    fn is_informed(&self) -> bool {
        let follows = self.follows_store() && !self.store_view().has_lost_store;
        let count = self.follower_count();
        follows
            || self.members.are_all_alive()
            || self.members.has_informed_follower(self.settings.peer, count)
    }

    /// Returns the name of a version, if an engine of a service has it.
    pub(super) fn version_name(&self, service: &str, version: VersionKey) -> Option<Arc<str>> {
        let mut versions =
            self.directory.of_service(service).filter_map(|it| it.engine.version.as_ref());
        versions.find(|it| it.key() == version).map(|it| it.name().into())
    }

    /// Reads the list of engines if some of them are known without their versions.
    pub(super) fn complete_versions(&mut self) {
        let is_complete = self.directory.versions().all(|it| it.1.is_some());
        if is_complete || self.now < self.register.next_list_at {
            return;
        }
        self.register.next_list_at = self.next_read();
        self.effects.push(Effect::Read(Kind::Engines));
    }

    /// Draws when this box may read something again that all boxes read.
    pub(super) fn next_read(&mut self) -> Time {
        let boxes = u32::try_from(self.members.peak_count()).unwrap_or(u32::MAX);
        let interval = READ_INTERVAL_PER_BOX.saturating_mul(boxes).max(MIN_READ_INTERVAL);
        self.now + interval.mul_f64(0.5 + self.draw_share())
    }

    /// Reads the register for a stream that can't be placed, unless it was read for another one
    /// shortly before. What it told then still holds: this box has observed the versions since.
    pub(super) fn look_up_register(&mut self) {
        if self.now >= self.register.next_lookup_at {
            self.register.next_lookup_at = self.next_read();
            self.read_register();
        }
    }

    /// Reads or writes the register if that is due.
    pub(super) fn sync_register(&mut self) {
        let may_begin = self.register.under_way.is_none() && self.now >= self.register.paused_until;
        let is_old = self.now.since(Time::ZERO) >= WRITE_DELAY;
        if !may_begin || !is_old || !self.follows_store() || self.is_stopping() {
            return;
        }
        let has_several = self.has_several_versions();
        let may_be_changed = has_several && !self.register.had_several;
        self.register.had_several = has_several;
        if !self.is_leader() {
            if !has_several {
                return;
            }
            // Another box may have changed it since this one has read it.
            self.register.stored = self.register.stored.take().filter(|_| !may_be_changed);
        }
        let Some(stored) = self.register.stored.clone() else { return self.read_register() };
        let content = self.current_content(&stored);
        if content != stored.content {
            self.write_register(stored.version, content);
        }
    }

    /// Returns whether a service has engines of several versions, or of an unknown one.
    fn has_several_versions(&self) -> bool {
        let mut versions: BTreeMap<&Arc<str>, Option<VersionKey>> = BTreeMap::new();
        self.directory.versions().any(|(service, version)| {
            version.is_none() || *versions.entry(service).or_insert(version) != version
        })
    }

    /// Returns the content that the register should have.
    fn current_content(&self, stored: &Stored) -> Content {
        let (era, adds) = (self.store_era(), self.is_leader());
        let is_first = stored.version == 0 && era == 0;
        let stored = &stored.content;
        let mut services =
            if stored.era == era { stored.services.clone() } else { BTreeMap::new() };
        for (service, versions) in self.named_versions() {
            let only = versions.first().filter(|_| versions.len() == 1).cloned().flatten();
            let known = services.get(&service).map(|it| it.version.clone());
            match only {
                Some(version) if known.as_ref() == Some(&version) => {}
                Some(version) if adds => {
                    let since = self.only_since(&service, is_first);
                    services.insert(service, OnlyVersion { version, since });
                }
                _ => {
                    services.remove(&service);
                }
            }
        }
        Content { era, services }
    }

    /// Returns since when a service is known to have had only one version, in seconds of Unix time.
    /// Where boxes wrote no register before, streams are taken to be of the usual age.
    fn only_since(&self, service: &str, is_first: bool) -> u64 {
        let known = self.timeline.only_for(service_hash(service), self.now);
        let assumed = if is_first { REACH - USUAL_STREAM_AGE } else { Duration::ZERO };
        self.unix_time().saturating_sub(known.max(assumed).as_secs())
    }

    /// Returns the names of the versions of each service's engines; none for an unknown one.
    fn named_versions(&self) -> BTreeMap<Arc<str>, BTreeSet<Option<Arc<str>>>> {
        let mut services: BTreeMap<Arc<str>, BTreeSet<Option<Arc<str>>>> = BTreeMap::new();
        for record in self.directory.all() {
            let version = record.engine.version.as_ref().map(|it| it.name().into());
            services.entry(record.engine.service.clone()).or_default().insert(version);
        }
        services
    }

    /// Starts to read the register, unless an operation is under way.
    pub(super) fn read_register(&mut self) {
        if self.register.under_way.is_some() {
            return;
        }
        let operation = Operation::Get { kind: KIND.to_owned(), name: NAME.to_owned() };
        let number = self.start_operation(operation);
        self.register.under_way = Some((number, None));
    }

    /// Starts to write the register.
    fn write_register(&mut self, expected: u64, content: Content) {
        let Ok(value) = serde_json::to_string(&content) else { return };
        let (kind, name) = (KIND.to_owned(), NAME.to_owned());
        let number = self.start_operation(Operation::Put { kind, name, expected, value });
        self.register.under_way = Some((number, Some(content)));
    }

    /// Returns whether the register is being read.
    pub(super) fn is_register_awaited(&self) -> bool {
        self.register.under_way.as_ref().is_some_and(|it| it.1.is_none())
    }

    /// Records that the store may have lost the register, so that it is read and written again.
    pub(super) fn invalidate_register(&mut self) {
        self.register.stored = None;
        self.register.under_way = None;
    }

    /// Handles the store's answer to an operation on the register. Returns whether the operation was
    /// one.
    pub(super) fn apply_register_answer(&mut self, number: u64, answer: &Answer) -> bool {
        let Some((_, written)) = self.register.under_way.take_if(|it| it.0 == number) else {
            return false;
        };
        self.register.paused_until = self.now + OPERATION_PAUSE;
        let is_written = written.is_some();
        self.register.stored = match (answer, written) {
            (Answer::Found { version, value }, None) => {
                // Content that can't be read was not written by a box and is overwritten.
                let content = serde_json::from_str(value).unwrap_or_default();
                Some(Stored { version: *version, content })
            }
            (Answer::Absent, None) => Some(Stored::default()),
            (Answer::Written { version }, Some(content)) => {
                Some(Stored { version: *version, content })
            }
            // It is read again: another box has written it, or this write may have taken effect.
            _ => None,
        };
        if self.register.stored.is_none() {
            self.register.next_lookup_at = self.register.paused_until;
        }
        if let Some(stored) = self.register.stored.clone() {
            let services = stored.content.services.len();
            self.log(LogEvent::VersionRegister { services, is_written });
            self.apply_register(&stored.content);
        }
        self.advance_all_inquiries();
        true
    }

    /// Extends what this box has observed by what the register tells of the time before.
    fn apply_register(&mut self, content: &Content) {
        if content.era != self.store_era() {
            return;
        }
        let unix_time = self.unix_time();
        for (service, only) in &content.services {
            let duration = Duration::from_secs(unix_time.saturating_sub(only.since));
            let duration = duration.saturating_sub(CLOCK_MARGIN);
            let version = SoftwareVersion::new(only.version.clone()).key();
            self.timeline.extend(service_hash(service), version, duration, self.now);
        }
    }
}
