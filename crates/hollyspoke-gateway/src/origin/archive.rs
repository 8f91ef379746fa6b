//! The versions of streams as they are kept in the store, for clients that come back after all boxes
//! that knew their streams were lost.
//!
//! Streams are divided into shards by their keys. Each shard has two objects: the one with its newest
//! streams is written often and stays small, the one with the older ones is written seldom.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::StreamKey;
use crate::version::VersionKey;

/// The kind of the objects in the store.
pub const KIND: &str = "streams";

/// The number of shards.
const SHARD_COUNT: u64 = 16;

/// The maximum number of streams in an object. They take 400 KB as text.
const MAX_RECORD_COUNT: usize = 16_384;

/// The number of hexadecimal digits of a stream's key.
const KEY_DIGIT_COUNT: usize = 16;

/// The number of hexadecimal digits of a record: the stream's key, and when it expires.
const RECORD_DIGIT_COUNT: usize = KEY_DIGIT_COUNT + 8;

/// A part of all streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shard(u8);

/// One of the objects of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Age {
    /// The object with the newest streams.
    Recent,
    /// The object with the older ones.
    Older,
}

/// What is kept of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// The version that began it; none if two were announced.
    pub version: Option<VersionKey>,
    /// When it expires, in seconds of Unix time.
    pub until: u32,
}

/// The records of some streams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Records {
    /// The records.
    entries: BTreeMap<StreamKey, Record>,
}

/// An object's value: for each version's key, in hexadecimal, the records of its streams one after the
/// other. Streams of which two versions were announced are under the empty key.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Value {
    /// The records.
    streams: BTreeMap<String, String>,
}

impl Shard {
    /// Returns the shard of a stream.
    pub fn of(stream: StreamKey) -> Shard {
        Shard((stream.0 % SHARD_COUNT) as u8)
    }

    /// Returns the number by which boxes are ranked for the shard.
    pub fn number(self) -> u64 {
        u64::from(self.0)
    }

    /// Returns the name of an object of the shard.
    pub fn name(self, age: Age) -> String {
        match age {
            Age::Recent => format!("recent-{}", self.0),
            Age::Older => format!("older-{}", self.0),
        }
    }
}

impl Records {
    /// Records a stream. Two versions of one stream contradict each other, so that none is known.
    /// Returns whether that changes anything.
    pub fn insert(&mut self, stream: StreamKey, record: Record) -> bool {
        let known = self.entries.get(&stream).copied();
        let merged = known.map_or(record, |known| Record {
            version: known.version.filter(|_| known.version == record.version),
            until: known.until.max(record.until),
        });
        self.entries.insert(stream, merged);
        known != Some(merged)
    }

    /// Adds other records.
    pub fn merge(&mut self, other: &Records) {
        for (&stream, &record) in &other.entries {
            self.insert(stream, record);
        }
    }

    /// Removes streams.
    pub fn remove(&mut self, streams: &[StreamKey]) {
        for stream in streams {
            self.entries.remove(stream);
        }
    }

    /// Removes the streams that have expired, and those that expire first if there are too many.
    pub fn prune(&mut self, unix_time: u64) {
        self.entries.retain(|_, it| u64::from(it.until) > unix_time);
        if self.entries.len() > MAX_RECORD_COUNT {
            let mut ends: Vec<_> = self.entries.values().map(|it| it.until).collect();
            ends.sort_unstable();
            let first_kept = ends[ends.len() - MAX_RECORD_COUNT];
            self.entries.retain(|_, it| it.until >= first_kept);
        }
        while self.entries.len() > MAX_RECORD_COUNT {
            self.entries.pop_first();
        }
    }

    /// Returns the record of a stream.
    pub fn find(&self, stream: StreamKey) -> Option<Record> {
        self.entries.get(&stream).copied()
    }

    /// Returns the streams.
    pub fn streams(&self) -> Vec<StreamKey> {
        self.entries.keys().copied().collect()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Encodes the records as JSON text.
    pub fn encode(&self) -> String {
        let mut value = Value::default();
        for (stream, record) in &self.entries {
            let version = record.version.map(|it| format!("{:016x}", it.0)).unwrap_or_default();
            let text = value.streams.entry(version).or_default();
            text.push_str(&format!("{:016x}{:08x}", stream.0, record.until));
        }
        // Serialising plain data doesn't fail.
        serde_json::to_string(&value).unwrap_or_default()
    }

    /// Decodes an object's value. What can't be read was not written by a box and is left out.
    pub fn decode(text: &str) -> Records {
        let value: Value = serde_json::from_str(text).unwrap_or_default();
        let mut records = Records::default();
        for (version, streams) in &value.streams {
            let Some(version) = decode_version(version) else { continue };
            for digits in streams.as_bytes().chunks(RECORD_DIGIT_COUNT) {
                if let Some((stream, until)) = decode_record(digits) {
                    records.insert(stream, Record { version, until });
                }
            }
        }
        records
    }
}

/// Decodes the key of a version: the inner `None` stands for two versions.
fn decode_version(text: &str) -> Option<Option<VersionKey>> {
    if text.is_empty() {
        return Some(None);
    }
    u64::from_str_radix(text, 16).ok().map(|it| Some(VersionKey(it)))
}

/// Decodes a stream's key and when it expires.
fn decode_record(digits: &[u8]) -> Option<(StreamKey, u32)> {
    let text = std::str::from_utf8(digits).ok().filter(|it| it.len() == RECORD_DIGIT_COUNT)?;
    let (key, until) = text.split_at_checked(KEY_DIGIT_COUNT)?;
    let stream = u64::from_str_radix(key, 16).ok()?;
    Some((StreamKey(stream), u32::from_str_radix(until, 16).ok()?))
}
