//! Keeps the versions of streams in the store while engines of several versions serve, since a loss of
//! all boxes takes the memory of them along.
//!
//! Each shard of the streams has a keeper, the first box in the shard's order. A box that begins a
//! stream announces it to the keeper, which writes what is new once a second. So the number of writes
//! depends neither on the streams nor on the boxes. A box looks a stream up that no box knows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;

use super::Gateway;
use super::peers::service_hash;
use crate::effect::LogEvent;
use crate::in_flight::InFlight;
use crate::origin::archive::{Age, KIND, Record, Records, Shard};
use crate::origin::{Announcement, Notice, Origin, StreamKey};
use crate::version::{REACH, Verdict};

/// The interval at which an object is written: the streams of this time may be lost.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which a shard's recent streams are added to its older ones.
const ROTATION_INTERVAL: Duration = Duration::from_secs(10);

/// The pause before a failed read is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// An operation under way.
#[derive(Debug, Clone, Copy)]
struct Pending {
    /// Its number.
    number: u64,
    /// Whether it writes.
    is_write: bool,
}

/// An object of a shard that this box keeps, or has kept.
#[derive(Debug, Clone, Default)]
struct Object {
    /// Its version in the store, 0 if it doesn't exist; none if it must be read before it is written.
    version: Option<u64>,
    /// Its content.
    records: Records,
    /// Whether the store may lack some of it.
    is_unsaved: bool,
    /// The operation under way.
    pending: Option<Pending>,
    /// When the next operation may start.
    next_at: Time,
}

/// The rotation of a shard's recent streams.
#[derive(Debug, Clone, Default)]
struct Rotation {
    /// When they were last added to the older ones.
    rotated_at: Time,
    /// Which ones were. They are removed from the recent ones once the older ones are saved.
    rotated: Vec<StreamKey>,
}

/// What a shard's objects told a box that looked a stream up.
#[derive(Debug, Clone, Default)]
struct Lookup {
    /// The numbers of the reads under way.
    pending: BTreeSet<u64>,
    /// The records that were read.
    records: Records,
    /// Whether a read has failed.
    has_failed: bool,
    /// When the objects may be read again.
    next_at: Time,
}

/// The state of the archive at this box.
#[derive(Debug, Clone, Default)]
pub(super) struct Archive {
    /// The objects that this box writes.
    objects: BTreeMap<(Shard, Age), Object>,
    /// The rotations of their shards.
    rotations: BTreeMap<Shard, Rotation>,
    /// What this box has looked up.
    lookups: BTreeMap<Shard, Lookup>,
    /// The services whose streams are archived, by the hashes of their names.
    services: BTreeSet<u64>,
}

impl Object {
    /// Returns when the next operation is due; none if nothing is to be saved.
    fn due(&self) -> Option<Time> {
        (self.is_unsaved && self.pending.is_none()).then_some(self.next_at)
    }

    /// Applies the store's answer to an operation.
    fn apply(&mut self, is_write: bool, answer: &Answer, now: Time) {
        match answer {
            Answer::Found { version, value } if !is_write => {
                self.version = Some(*version);
                self.records.merge(&Records::decode(value));
            }
            Answer::Absent if !is_write => self.version = Some(0),
            Answer::Written { version } if is_write => self.version = Some(*version),
            // Another box has written it, or this write may have taken effect: it is read again.
            _ => {
                self.version = None;
                self.is_unsaved = true;
            }
        }
        let is_read = !is_write && self.version.is_some();
        self.next_at = if is_read { now } else { now + WRITE_INTERVAL };
    }
}

impl Archive {
    /// Returns when the next operation or rotation is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        let operations = self.objects.values().filter_map(Object::due);
        operations.chain(self.rotations.keys().filter_map(|it| self.rotation_due(*it))).min()
    }

    /// Returns when the recent streams of a shard are due to be added to the older ones; none if there
    /// are none, or the older ones are not saved yet.
    fn rotation_due(&self, shard: Shard) -> Option<Time> {
        let recent = self.objects.get(&(shard, Age::Recent))?;
        let older = self.objects.get(&(shard, Age::Older));
        let is_saved = older.is_none_or(|it| !it.is_unsaved && it.pending.is_none());
        let rotated_at = self.rotations.get(&shard)?.rotated_at;
        (is_saved && !recent.records.is_empty()).then_some(rotated_at + ROTATION_INTERVAL)
    }

    /// Adds a stream to be saved.
    fn add(&mut self, stream: StreamKey, record: Record, now: Time) {
        let shard = Shard::of(stream);
        let fresh = Rotation { rotated_at: now, rotated: Vec::new() };
        self.rotations.entry(shard).or_insert(fresh);
        let object = self.objects.entry((shard, Age::Recent)).or_default();
        object.is_unsaved |= object.records.insert(stream, record);
    }

    /// Adds a shard's recent streams to its older ones, and removes those for which that has been done
    /// and saved before.
    fn rotate(&mut self, shard: Shard, now: Time) {
        let rotation = self.rotations.entry(shard).or_default();
        let recent = self.objects.entry((shard, Age::Recent)).or_default();
        recent.records.remove(&rotation.rotated);
        *rotation = Rotation { rotated_at: now, rotated: recent.records.streams() };
        let added = recent.records.clone();
        if !added.is_empty() {
            let older = self.objects.entry((shard, Age::Older)).or_default();
            older.records.merge(&added);
            older.is_unsaved = true;
        }
    }

    /// Records that the store may have lost all objects.
    pub(super) fn invalidate(&mut self) {
        for object in self.objects.values_mut() {
            *object = Object {
                records: std::mem::take(&mut object.records),
                is_unsaved: true,
                ..Object::default()
            };
        }
        self.lookups.clear();
    }
}

impl Gateway {
    /// Returns whether the streams of a service are archived: if several versions have served. Large
    /// deployments have too many streams.
    fn archives(&self, service: u64) -> bool {
        !self.members.is_large() && self.served_versions(service, REACH) == Verdict::Several
    }

    /// Announces a stream that this box has begun to the keeper of its shard, if it is to be archived.
    pub(super) fn archive_stream(&mut self, service: u64, announcement: Announcement) {
        if !self.archives(service) {
            return;
        }
        let keeper = self.members.keeper(self.settings.peer, Shard::of(announcement.stream));
        if keeper == self.settings.peer {
            self.keep_stream(&announcement);
        } else {
            let notice = Notice { records: vec![announcement], ..self.notice() };
            self.notify(vec![keeper], notice);
        }
    }

    /// Announces the streams of this box that go on while another version has joined.
    pub(super) fn archive_running_streams(&mut self) {
        let services: BTreeSet<_> =
            self.directory.versions().map(|it| service_hash(it.0)).collect();
        let archived: BTreeSet<_> = services.into_iter().filter(|it| self.archives(*it)).collect();
        let joined: BTreeSet<_> = archived.difference(&self.archive.services).copied().collect();
        self.archive.services = archived;
        if joined.is_empty() {
            return;
        }
        let running = self.in_flight.values().filter(|it| it.is_origin_bound);
        let running = running.filter_map(|it| self.running_stream(it));
        let mut running: Vec<_> = running.filter(|it| joined.contains(&it.0)).collect();
        running.sort_unstable_by_key(|it| it.1.stream);
        for (service, announcement) in running {
            self.archive_stream(service, announcement);
        }
    }

    /// Returns the service and the announcement of a stream that a request receives, if its client may
    /// resume it.
    fn running_stream(&self, in_flight: &InFlight) -> Option<(u64, Announcement)> {
        let Origin::Version(version) = in_flight.origin else { return None };
        let announcement = self.announcement(in_flight, version)?;
        Some((service_hash(&in_flight.service.name), announcement))
    }

    /// Adds an announced stream to those that this box writes.
    pub(super) fn keep_stream(&mut self, announcement: &Announcement) {
        let &Announcement { stream, version, ttl_ms } = announcement;
        let until = self.unix_time() + u64::from(ttl_ms / 1000);
        let until = u32::try_from(until).unwrap_or(u32::MAX);
        self.archive.add(stream, Record { version: Some(version), until }, self.now);
    }

    /// Starts the rotations and the operations that are due.
    pub(super) fn sync_archive(&mut self) {
        let is_due = |it: Option<Time>| it.is_some_and(|it| it <= self.now);
        if !is_due(self.archive.next_due()) {
            return;
        }
        let shards = self.archive.rotations.keys().copied();
        let rotated = shards.filter(|it| is_due(self.archive.rotation_due(*it)));
        for shard in rotated.collect::<Vec<_>>() {
            self.archive.rotate(shard, self.now);
        }
        let due = self.archive.objects.iter().filter(|it| is_due(it.1.due()));
        for key in due.map(|it| *it.0).collect::<Vec<_>>() {
            self.advance_object(key);
        }
    }

    /// Writes an object, or reads it if its version isn't known.
    fn advance_object(&mut self, key: (Shard, Age)) {
        let unix_time = self.unix_time();
        let Some(object) = self.archive.objects.get_mut(&key) else { return };
        let (kind, name) = (KIND.to_owned(), key.0.name(key.1));
        let (operation, is_write) = match object.version {
            Some(expected) => {
                object.records.prune(unix_time);
                object.is_unsaved = false;
                let value = object.records.encode();
                (Operation::Put { kind, name, expected, value }, true)
            }
            None => (Operation::Get { kind, name }, false),
        };
        let number = self.start_operation(operation);
        if let Some(object) = self.archive.objects.get_mut(&key) {
            object.pending = Some(Pending { number, is_write });
        }
    }

    /// Handles the store's answer to an operation on the archive. Returns whether the operation was
    /// one.
    pub(super) fn apply_archive_answer(&mut self, number: u64, answer: &Answer) -> bool {
        for object in self.archive.objects.values_mut() {
            if let Some(pending) = object.pending.take_if(|it| it.number == number) {
                object.apply(pending.is_write, answer, self.now);
                return true;
            }
        }
        let mut lookups = self.archive.lookups.iter_mut();
        let Some((&shard, lookup)) = lookups.find(|it| it.1.pending.contains(&number)) else {
            return false;
        };
        lookup.pending.remove(&number);
        match answer {
            Answer::Found { value, .. } => lookup.records.merge(&Records::decode(value)),
            Answer::Absent => {}
            _ => lookup.has_failed = true,
        }
        if lookup.pending.is_empty() {
            self.end_lookup(shard);
        }
        true
    }

    /// Ends a lookup that the store has answered.
    fn end_lookup(&mut self, shard: Shard) {
        let Some(lookup) = self.archive.lookups.get_mut(&shard) else { return };
        let (streams, has_failed) = (lookup.records.len(), lookup.has_failed);
        if has_failed {
            lookup.next_at = self.now + RETRY_INTERVAL;
        }
        self.log(LogEvent::ArchiveRead { shard: shard.number(), streams, has_failed });
        self.advance_all_inquiries();
    }

    /// Reads the objects of a stream's shard, unless they are being read or were shortly before.
    pub(super) fn look_up_archive(&mut self, stream: StreamKey) {
        let shard = Shard::of(stream);
        let lookup = self.archive.lookups.get(&shard);
        let is_known = lookup.is_some_and(|it| !it.pending.is_empty() || self.now < it.next_at);
        if is_known || self.members.is_large() {
            return;
        }
        let next_at = self.next_read();
        let pending = [Age::Recent, Age::Older].map(|age| {
            let (kind, name) = (KIND.to_owned(), shard.name(age));
            self.start_operation(Operation::Get { kind, name })
        });
        let lookup = Lookup { pending: pending.into(), next_at, ..Lookup::default() };
        self.archive.lookups.insert(shard, lookup);
    }

    /// Returns whether the archive is still to be asked for a stream.
    pub(super) fn is_archive_awaited(&self, stream: StreamKey) -> bool {
        let lookup = self.archive.lookups.get(&Shard::of(stream));
        lookup.is_some_and(|it| it.has_failed || !it.pending.is_empty())
    }

    /// Returns what the archive has told about a stream.
    pub(super) fn archived(&self, stream: StreamKey) -> Option<Record> {
        let lookup = self.archive.lookups.get(&Shard::of(stream))?;
        let unix_time = self.unix_time();
        lookup.records.find(stream).filter(|it| u64::from(it.until) > unix_time)
    }
}
